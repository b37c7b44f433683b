package fleetconfig

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"siskinrouter/internal/tomltext"
)

// Facts are properties of a deployment that its configuration does not hold. Rules that need one that is 0 are left out.
type Facts struct {
	ReplicationLag time.Duration // of a replica
	ServiceTime    time.Duration // mean time for which a request occupies a slot
	VMs            int
}

// Warnings returns entries of a valid configuration text that have no effect, and limits that contradict each other,
// ordered by line. A text with faults has no warnings.
func Warnings(text []byte, f Facts) []Fault {
	doc, ok := tomltext.Read(text)
	if !ok {
		return nil
	}
	p := newParser(doc)
	p.parse()
	if len(doc.Faults()) > 0 {
		return nil
	}
	w := &warner{config: p.config, tables: p.tables, facts: f}
	w.checkUse()
	for _, s := range p.config.Services {
		for _, r := range s.Routes {
			w.checkRoute(s, r)
		}
		for _, g := range s.Groups {
			for _, server := range g.Servers {
				w.checkConnections(g, server)
			}
		}
	}
	for _, workspace := range p.config.Workspaces {
		w.checkWorkspace(workspace)
	}
	slices.SortFunc(w.found, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Problem, b.Problem))
	})
	return w.found
}

type warner struct {
	config *Config
	tables map[string]*tomltext.Table
	facts  Facts
	found  []Fault
}

// add records a warning on the line of a key, or on that of its table if the key is not written.
func (w *warner) add(title, key, remedy, problem string, args ...any) {
	line := w.tables[title].KeyLine(key)
	w.found = append(w.found, Fault{Line: line, Problem: fmt.Sprintf(problem, args...), Remedy: remedy})
}

// checkUse finds failure domains without targets and groups without workspaces.
func (w *warner) checkUse() {
	domains, groups := map[string]bool{}, map[string]bool{}
	for _, workspace := range w.config.Workspaces {
		for service, group := range workspace.Groups {
			groups[groupTitle(service, group)] = true
		}
	}
	for _, s := range w.config.Services {
		for _, g := range s.Groups {
			for _, server := range g.Servers {
				domains[server.Domain] = true
			}
			if title := groupTitle(s.Name, g.Name); !groups[title] {
				w.add(title, "name", "assign a workspace to it or remove it", "no workspace uses group %q", g.Name)
			}
		}
	}
	for _, d := range w.config.Domains {
		if !domains[d] {
			w.add(domainTitle(d), "name", "place servers there or remove it", "failure domain %q has no server", d)
		}
	}
}

func (w *warner) checkRoute(s Service, r Route) {
	title := routeTitle(s.Name, r.Name)
	if lag := w.facts.ReplicationLag; r.MaxAge > 0 && r.MaxAge <= lag {
		w.add(title, "max_age", fmt.Sprintf("use more than %v", lag),
			"max_age of route %q (%v) is not above the replication lag (%v), so replicas can rarely serve it", r.Name, r.MaxAge, lag)
	}
	if t := w.facts.ServiceTime; r.Timeout <= t {
		w.add(title, "timeout", fmt.Sprintf("use more than %v", t),
			"the timeout of route %q (%v) is not above the service time (%v)", r.Name, r.Timeout, t)
	}
}

// checkConnections compares the connections of a server with what the VMs open: one each for status queries, and an
// equal part of the others, at least one.
func (w *warner) checkConnections(g Group, s Server) {
	vms := w.facts.VMs
	if vms <= 0 {
		return
	}
	title := serverTitle(g.Service, g.Name, s.Name)
	if s.Connections < 2*vms {
		w.add(title, "connections", fmt.Sprintf("use at least %d, or fewer VMs", 2*vms),
			"%d connections of server %q do not suffice for two from each of %d VMs", s.Connections, s.Name, vms)
	} else if usable := (s.Connections - vms) / vms * vms; usable < s.Slots {
		w.add(title, "connections", fmt.Sprintf("use at least %d", vms+(s.Slots+vms-1)/vms*vms),
			"%d connections of server %q, one of each VM for status queries and the others in equal parts, leave %d for requests, fewer than its %d slots",
			s.Connections, s.Name, usable, s.Slots)
	}
}

func (w *warner) checkWorkspace(workspace Workspace) {
	title := workspaceTitle(workspace.Name)
	if vms := w.facts.VMs; workspace.Burst < float64(vms) {
		w.add(title, "burst", fmt.Sprintf("use at least %d, better 20 for each VM", vms),
			"burst %g of workspace %q is less than one request for each of %d VMs", workspace.Burst, workspace.Name, vms)
	}
	if w.facts.ServiceTime <= 0 {
		return
	}
	slots := 0
	for service, group := range workspace.Groups {
		for _, s := range w.config.Services[service].Groups[group].Servers {
			slots += s.Slots
		}
	}
	if capacity := float64(slots) / w.facts.ServiceTime.Seconds(); workspace.Rate > capacity {
		w.add(title, "rate", fmt.Sprintf("use at most %.0f/s, or more slots", capacity),
			"rate %g/s of workspace %q is above what the %d slots of its groups serve at %v each (%.0f/s)",
			workspace.Rate, workspace.Name, slots, w.facts.ServiceTime, capacity)
	}
}
