package promotion

import (
	"slices"
	"time"
)

// open reports whether the place of the server is open for a primary.
func (d *Coordinator) open(p *peer) bool {
	return !slices.Contains(d.placement.Withdrawn, p.Domain) && !slices.Contains(d.placement.Leaving, p.Name)
}

// evaluateMove follows a planned move: new transactions wait while a primary in a closed place
// drains, for at most HoldLimit. A move that did not happen in that time is tried again after
// MoveRetry.
func (d *Coordinator) evaluateMove(now time.Duration, primary *peer) {
	due := primary != nil && d.fresh(primary, now) && !d.open(primary) && d.hasFollower(now, primary)
	if due && !d.misplaced.on {
		d.log("primary is in a closed place", primary.status.Promised, primary.Name, "operators' placement", now)
	}
	d.misplaced.set(due, now)
	guarded := now-d.primaryAt < d.timing.MinTenure
	switch {
	case d.hold.on && (!due && d.attempt.phase == idle || now-d.hold.since >= d.timing.WritePauseLimit):
		d.hold.set(false, now)
		d.holdAgain = now + d.timing.SwitchoverRetry
		d.do(PauseWrites{On: false})
	case !d.hold.on && due && !guarded && now >= d.holdAgain:
		d.hold.set(true, now)
		d.do(PauseWrites{On: true})
	}
}

// moveDue reports whether the planned move may start: the primary has drained and a successor
// has caught up, both observed after the hold reached the other VMs, or the drain time is over.
func (d *Coordinator) moveDue(now time.Duration, primary *peer) bool {
	if !d.misplaced.on || !d.hold.on || now-d.hold.since < d.timing.ProbeInterval+d.rankDelay() {
		return false
	}
	next := d.successor(now)
	if next == nil || now-d.hold.since >= d.timing.DrainTimeout {
		return next != nil
	}
	observed := d.hold.since + d.timing.ProbeInterval
	return primary.status.Active == 0 && primary.answeredAt >= observed &&
		next.answeredAt >= observed && next.status.LogEnd.Covers(primary.status.LogEnd)
}

// hasFollower reports whether a server in an open place follows the primary. Whether it has
// caught up is decided only once writes are held: until then the answers of the servers are of
// different age, and a comparison of their positions changes with every probe.
func (d *Coordinator) hasFollower(now time.Duration, primary *peer) bool {
	for i := range d.peers {
		p := &d.peers[i]
		follows := p.status.Role == Replica && p.status.Promised == primary.status.Promised
		if follows && d.open(p) && d.fresh(p, now) {
			return true
		}
	}
	return false
}

// successor returns the most advanced server in an open place that could be promoted according
// to the last answers, or nil.
func (d *Coordinator) successor(now time.Duration) *peer {
	var grants []grant
	for i := range d.peers {
		if p := &d.peers[i]; d.fresh(p, now) {
			grants = append(grants, grant{server: p.Name, held: p.status.LogEnd})
		}
	}
	best, found := d.choose(grants)
	if !found || !d.open(d.peer(best.server)) {
		return nil
	}
	return d.peer(best.server)
}
