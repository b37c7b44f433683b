package daemon

import (
	"context"
	"fmt"

	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/fleet"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/routing"
)

// Status implements fleet.Handler.
func (h *handler) Status(context.Context) (fleet.Status, error) { return h.d.status(), nil }

// status returns the VM's view of the fleet.
func (d *Daemon) status() fleet.Status {
	s := fleet.Status{VM: d.self, Counters: make(map[string]int64)}
	d.config.withVersions(func(v *machine.Versions) { s.Versions = v.All() })
	d.members.with(func(m *machine.Members) { s.Members = m.All() })
	for _, g := range d.groups.list() {
		s.Groups = append(s.Groups, g.status())
	}
	d.zones.mu.Lock()
	for name, state := range d.zones.domains.States() {
		s.Domains = append(s.Domains, fleet.DomainStatus{Name: name, State: state.String()})
	}
	d.zones.mu.Unlock()
	d.registry.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok {
			s.Counters[name] = c.Count()
		}
	})
	return s
}

func (g *group) status() fleet.GroupStatus {
	s := fleet.GroupStatus{Name: g.cfg.Name}
	g.target.Inspect(func(v *routing.View) {
		s.Primary, s.Term, s.Healthy = v.Leader()
		for _, server := range g.cfg.Servers {
			st, _, ok := v.Status(server.Name)
			s.Servers = append(s.Servers, fleet.ServerStatus{
				Name: server.Name, Role: string(st.Role), Healthy: ok,
				Detail: fmt.Sprintf("held %v, applied %v, promised term %d", st.LogEnd, st.Applied, st.PromisedTerm),
			})
		}
	})
	return s
}
