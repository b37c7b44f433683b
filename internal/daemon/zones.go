package daemon

import (
	"context"
	"sync"
	"time"

	"siskinrouter/internal/promotion"
	"siskinrouter/internal/routing"
	"siskinrouter/internal/target"
	"siskinrouter/internal/verdict"
	"siskinrouter/internal/zone"
)

const (
	zoneTick    = 50 * time.Millisecond
	warmTimeout = 2 * time.Second // to open links before a place takes load again
	warmLinks   = 2               // links opened to each server of a returning place
)

// zones is the duty that carries out withdrawals and returns of failure domains and servers.
type zones struct {
	d       *Daemon
	mu      sync.Mutex
	domains zone.DrainStates
	targets zone.DrainStates
	moving  map[string]uint64 // places whose primaries are being moved, with the epoch
	leaving map[string]uint64
}

func newZones(d *Daemon) *zones {
	return &zones{d: d, moving: make(map[string]uint64), leaving: make(map[string]uint64)}
}

// apply puts the orders of a configuration into force.
func (z *zones) apply(s *snapshot) {
	now := z.d.now()
	z.mu.Lock()
	domainActions := z.domains.Apply(now, s.domains.version, s.domains.orders)
	targetActions := z.targets.Apply(now, s.targets.version, s.targets.orders)
	z.mu.Unlock()
	z.perform(domainActions, &z.domains, z.moving)
	z.perform(targetActions, &z.targets, z.leaving)
	z.block()
}

// run follows the progress of withdrawals and returns until ctx ends.
func (z *zones) run(ctx context.Context) error {
	tick := time.NewTicker(zoneTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			z.progress()
		}
	}
}

func (z *zones) progress() {
	now := z.d.now()
	z.mu.Lock()
	domainActions := z.domains.Tick(now)
	targetActions := z.targets.Tick(now)
	domainActions = append(domainActions, z.drained(now, &z.domains, z.moving, byDomain)...)
	targetActions = append(targetActions, z.drained(now, &z.targets, z.leaving, byName)...)
	z.mu.Unlock()
	z.perform(domainActions, &z.domains, z.moving)
	z.perform(targetActions, &z.targets, z.leaving)
	z.block()
}

// placeOf returns the place of a server: its failure domain, or the server itself.
type placeOf func(server, domain string) string

func byDomain(_, domain string) string { return domain }

func byName(server, _ string) string { return server }

// drained reports the places that hold no primary and no running transaction of this VM any more.
func (z *zones) drained(now time.Duration, t *zone.DrainStates, places map[string]uint64, of placeOf) []zone.Action {
	var actions []zone.Action
	for place, epoch := range places {
		if z.busy(place, of) {
			continue
		}
		delete(places, place)
		actions = append(actions, t.Drained(now, place, epoch)...)
	}
	return actions
}

func (z *zones) busy(place string, of placeOf) bool {
	for _, g := range z.d.groups.list() {
		leader := ""
		g.target.Inspect(func(v *routing.View) { leader, _, _ = v.Leader() })
		for _, s := range g.cfg.Servers {
			if of(s.Name, s.Domain) != place {
				continue
			}
			if s.Name == leader || g.target.Pool(s.Name).InFlight() > 0 {
				return true
			}
		}
	}
	return false
}

func (z *zones) perform(actions []zone.Action, t *zone.DrainStates, places map[string]uint64) {
	for _, a := range actions {
		z.d.log.Info("failure domain or target changes state", "place", a.Resource, "step", stepNames[a.Kind])
		switch a.Kind {
		case zone.SwitchOverPrimaries:
			z.mu.Lock()
			places[a.Resource] = a.Epoch
			z.mu.Unlock()
		case zone.StopTraffic:
			z.mu.Lock()
			delete(places, a.Resource)
			z.mu.Unlock()
			z.d.sweep()
		case zone.OpenLinks:
			go z.warm(t, a)
		}
	}
}

var stepNames = map[zone.ActionKind]string{
	zone.SwitchOverPrimaries: "primaries are being moved",
	zone.StopTraffic:         "receives no more work",
	zone.OpenLinks:           "links are being opened",
	zone.ResumeTraffic:       "receives work",
}

// warm opens links to the servers of a returning place.
func (z *zones) warm(t *zone.DrainStates, a zone.Action) {
	ctx, cancel := context.WithTimeout(z.d.ctx, warmTimeout)
	defer cancel()
	for _, g := range z.d.groups.list() {
		for _, s := range g.cfg.Servers {
			if s.Domain == a.Resource || s.Name == a.Resource {
				g.target.Pool(s.Name).Warm(ctx, warmLinks)
			}
		}
	}
	z.mu.Lock()
	actions := t.LinksOpened(a.Resource, a.Epoch)
	z.mu.Unlock()
	z.perform(actions, t, nil)
	z.block()
}

// block tells every group which of its servers may get which work.
func (z *zones) block() {
	if z.d.experiment.Without.Blocking {
		return
	}
	now := z.d.now()
	for _, g := range z.d.groups.list() {
		blocked := make(map[string]target.Block)
		z.mu.Lock()
		for _, s := range g.cfg.Servers {
			read := zone.DecideServer(now, &z.domains, &z.targets, s.Domain, s.Name, zone.ReplicaRead)
			write := zone.DecideServer(now, &z.domains, &z.targets, s.Domain, s.Name, zone.NewTransaction)
			if read.Admission == zone.Admit && write.Admission == zone.Admit {
				continue
			}
			blocked[s.Name] = target.Block{
				Reads: read.Admission != zone.Admit, Writes: write.Admission != zone.Admit, Reason: write.Reason,
			}
		}
		z.mu.Unlock()
		g.target.SetBlocked(blocked)
	}
}

// placement returns the places that must not hold a primary.
func (z *zones) placement() promotion.Placement {
	z.mu.Lock()
	defer z.mu.Unlock()
	return promotion.Placement{Withdrawn: closed(&z.domains), Leaving: closed(&z.targets)}
}

func closed(t *zone.DrainStates) []string {
	var names []string
	for name, state := range t.States() {
		if state == zone.Draining || state == zone.Withdrawn {
			names = append(names, name)
		}
	}
	return names
}

// admitsCallers returns why this VM takes no new work, or nil.
func (d *Daemon) admitsCallers(*snapshot) error {
	d.zones.mu.Lock()
	defer d.zones.mu.Unlock()
	decision := d.zones.domains.Decide(d.now(), d.settings.VM.Domain, zone.NewCaller)
	if decision.Admission == zone.Admit {
		return nil
	}
	return verdict.Errorf(verdict.NotRun, verdict.StateAdminShutdown,
		"this VM is in failure domain %s: %s; connect again to reach another VM", d.settings.VM.Domain, decision.Reason)
}
