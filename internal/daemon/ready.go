package daemon

import (
	"time"

	"siskinrouter/internal/machine"
	"siskinrouter/internal/routing"
	"siskinrouter/internal/sleep"
)

const (
	// readyLimit is how long callers of a VM that has just started may wait in the accept queue. After it
	// they are accepted and refused with the reason.
	readyLimit = 5 * time.Second
	readyPause = 20 * time.Millisecond
	// aloneAfter is how long a VM waits to learn of others before it serves as the only one.
	aloneAfter = 1500 * time.Millisecond
)

// awaitReady waits until the VM knows its configuration, the state of its groups and VMs that lend it
// rate. A VM that accepted callers earlier would refuse requests that any other VM serves.
func (d *Daemon) awaitReady() {
	start := d.now()
	for d.ctx.Err() == nil && d.now()-start < readyLimit {
		if d.configured() && d.knowsGroups() && d.mayAdmit(d.now()-start) {
			d.log.Info("ready for callers", "after", (d.now() - start).Round(time.Millisecond))
			return
		}
		sleep.For(d.ctx, readyPause)
	}
	d.log.Warn("accepting callers without a complete configuration", "after", readyLimit)
}

func (d *Daemon) configured() bool { return len(d.config.snapshot().contract.Services) > 0 }

// knowsGroups reports whether a majority of each group that has a primary has answered. A group
// without a majority must not keep the VM from serving the others.
func (d *Daemon) knowsGroups() bool {
	for _, g := range d.groups.list() {
		known := false
		g.target.Inspect(func(v *routing.View) {
			_, known = v.Fresh()
		})
		if !known && !g.target.Tried() {
			return false
		}
	}
	return true
}

// mayAdmit reports whether the VM knows others, or has waited long enough to serve alone.
func (d *Daemon) mayAdmit(waited time.Duration) bool {
	if waited >= aloneAfter {
		return true
	}
	others := 0
	d.members.with(func(s *machine.Members) { others = len(s.Live()) - 1 })
	return others > 0 && d.rates.hasPeers()
}
