package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/catalog"
	"siskinrouter/internal/machine"
)

const (
	adminTimeout   = 5 * time.Second
	explainTimeout = 2 * time.Second
)

// adminHandler serves operators' tools: /status, /metrics and /explain?id=ID.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.status()) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteJSONOnce(d.registry, w) })
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
		defer cancel()
		lines, err := d.explain(ctx, r.URL.Query().Get("id"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		writeJSON(w, lines)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that left needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

// explain says why the primary of a group changed if id is the name of a group. Otherwise it returns the
// explanation of a request from the VM that the id names.
func (d *Daemon) explain(ctx context.Context, id string) ([]string, error) {
	if d.groups.get(id) != nil {
		return d.explainPrimary(id)
	}
	name := vmOf(id)
	if name == d.self.Name {
		if lines, ok := d.explanations.Get(id); ok {
			return lines, nil
		}
		return nil, fmt.Errorf("VM %s no longer knows request %q", name, id)
	}
	var peer machine.VM
	var found bool
	d.members.with(func(s *machine.Members) { peer, found = s.Get(name) })
	if !found {
		return nil, fmt.Errorf("request id %q names no known VM", id)
	}
	lines, err := d.peers.Client(peer.Address).Explain(ctx, id)
	if err != nil {
		return nil, fmt.Errorf("ask VM %s: %w", name, err)
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("VM %s no longer knows request %q", name, id)
	}
	return lines, nil
}

// explainPrimary returns the published outcome of the last change of a group's primary.
func (d *Daemon) explainPrimary(group string) ([]string, error) {
	o, ok := d.config.get(catalog.PrefixGroups + group)
	if !ok {
		return []string{"the primary of group " + group + " has not changed since the group was set up"}, nil
	}
	var p published
	if err := json.Unmarshal(o.Value, &p); err != nil {
		return nil, fmt.Errorf("object %s: %w", o.Name, err)
	}
	return []string{
		fmt.Sprintf("group %s: %s became primary in term %d", group, p.Primary, p.Term),
		"cause: " + p.Cause,
		"evidence: " + p.Evidence,
		"driver: " + p.Driver,
	}, nil
}

// vmOf returns the name of the VM that issued a request id.
func vmOf(id string) string {
	i := strings.LastIndexByte(id, '-')
	if i < 0 {
		return ""
	}
	return id[:i]
}

func (d *Daemon) newAdminServer() *http.Server {
	return &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: adminTimeout, WriteTimeout: adminTimeout}
}

// listenAdmin opens the admin listener, or returns nil if none is configured.
func (d *Daemon) listenAdmin() (net.Listener, error) {
	if d.settings.Admin.Listen == "" {
		return nil, nil
	}
	ln, err := net.Listen("tcp", d.settings.Admin.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for operators' tools: %w", err)
	}
	return ln, nil
}
