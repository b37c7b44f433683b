package broker

import (
	"fmt"
	"time"

	"siskinrouter/internal/placement"
	"siskinrouter/internal/session"
)

// earlierGrace is the rest of handOverGrace of an owner that handed the service over to one that has failed since: a lease
// after a failure begins only when the reads of the record by earlier owners have expired.
const earlierGrace = 350 * time.Millisecond

// durability is what a broker knows of the commits that have been acknowledged to callers.
type durability struct {
	// syncReplicas is the number of replicas that receive a commit before the primary acknowledges it.
	syncReplicas int
	// acknowledged is a position that no acknowledged commit is after, and known is set once that holds for the commits of
	// earlier owners, too.
	acknowledged session.Position
	known        bool
	// settledAt is the time of the last acknowledgment of a commit, by this owner or by an earlier one.
	settledAt time.Duration
	// departed is the number of servers that are no longer listed and whose logs may hold acknowledged commits.
	departed int
	// notCaughtUp is set if the last planned change was given up because the new primary did not receive the log in time.
	notCaughtUp bool
	// held is set while no server may be promoted, since heldAt.
	held   bool
	heldAt time.Duration
}

// leaseBegan records that this VM may act as the owner from now on. Earlier owners may acknowledge commits for a while if
// they have handed the service over.
func (b *Broker) leaseBegan(now time.Duration) {
	grace := handOverGrace + handOverMargin
	if b.TakenOver {
		grace = earlierGrace
	}
	b.durable.settledAt = now + grace
}

// observePrimary records the position of the primary, which holds all commits that have been acknowledged. The mutex must
// be held.
func (d *durability) observePrimary(asked time.Duration, received session.Position) {
	if !d.known && asked >= d.settledAt {
		d.raise(received)
		d.known = true
	}
}

// acknowledge records that a commit is acknowledged to a caller. The mutex must be held.
func (d *durability) acknowledge(now time.Duration, p session.Position) {
	d.raise(p)
	d.settledAt = max(d.settledAt, now)
	d.known = d.known && p != (session.Position{})
}

// recordAcknowledged records that a commit was acknowledged. Once its server has been fenced, the next primary may already
// have been chosen without this commit, so the acknowledgment counts as lost. The mutex must be held.
func (b *Broker) recordAcknowledged(now time.Duration, c *conn, o *outcome) {
	if b.durable.syncReplicas > 0 && b.fenced[c.server.ID] {
		o.err = errFenced
		return
	}
	b.durable.acknowledge(now, o.response.Position)
}

func (d *durability) raise(p session.Position) {
	if p.Compare(d.acknowledged) > 0 {
		d.acknowledged = p
	}
}

// placement returns what the choice of a primary has to know.
func (d *durability) placement() placement.Durability {
	return placement.Durability{SyncReplicas: d.syncReplicas, Acknowledged: d.acknowledged, AcknowledgedKnown: d.known,
		Departed: d.departed, NotCaughtUp: d.notCaughtUp}
}

// setHeld records whether the group needs another primary while no server may be promoted, and refuses the statements that
// wait for one. The mutex must be held.
func (b *Broker) setHeld(now time.Duration, action placement.Action) []pendingReply {
	d := &b.durable
	if !action.Held && b.primaryResponds() {
		d.notCaughtUp = false
	}
	switch {
	case action.Held && !d.held:
		d.held, d.heldAt = true, now
		b.Metrics.PromotionsHeld.Inc(1)
		b.Log.Warn("primary not replaced", "service", b.Service, "primary", b.primary, "reason", action.Reason,
			"acknowledged", d.acknowledged, "acknowledged_known", d.known, "departed", d.departed, "servers", b.positions())
	case !action.Held && d.held && (action.Follow != "" || action.Promote != "" || b.primaryResponds()):
		d.held = false
		b.Log.Info("primary can be used or replaced again", "service", b.Service, "held_for", now-d.heldAt)
	}
	if !d.held {
		return nil
	}
	return b.refuseWaitingForPrimary(placement.NoSafeSuccessor)
}

// primaryResponds reports whether the primary can be used. The mutex must be held.
func (b *Broker) primaryResponds() bool {
	s := b.servers[b.primary]
	return s != nil && s.usable && !s.suspect
}

// positions describes the logs of the servers for the log of decisions. The mutex must be held.
func (b *Broker) positions() []string {
	var all []string
	for _, s := range b.servers {
		all = append(all, fmt.Sprintf("%s %s settled:%t usable:%t", s.ID, s.status.Received, b.settled(s), s.usable))
	}
	return all
}

// settled reports whether the known position of a server contains all acknowledged commits that the server has. The mutex
// must be held.
func (b *Broker) settled(s *server) bool {
	return s.statusKnown && s.reachable && s.statusAt >= b.durable.settledAt
}

// awaitDurable waits until a server is known to have all acknowledged commits, as far as the service promises to keep them.
// The present primary must be fenced.
func (b *Broker) awaitDurable(server string) bool {
	for end := b.Clock() + quiesceTime; ; time.Sleep(pollInterval) {
		b.mu.Lock()
		now := b.Clock()
		may := b.group(now).MayPromote(server)
		b.mu.Unlock()
		if may || now >= end {
			return may
		}
	}
}
