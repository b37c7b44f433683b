package broker

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"siskinrouter/internal/placement"
	"siskinrouter/internal/statement"
)

const (
	// quiesceTime is how long a switchover waits for running transactions, and then for the new primary to receive
	// the end of the log.
	quiesceTime = 700 * time.Millisecond
	// promotionTimeout bounds a promotion, including the update of the owner record in the store.
	promotionTimeout = 3 * time.Second
	// becomePrimaryTimeout bounds the time from the promotion request until the server is primary; a few hundred
	// milliseconds are usual.
	becomePrimaryTimeout = 4 * time.Second
	// promotionEffectTime is longer than a promotion takes from its acceptance until the server leads.
	promotionEffectTime = 1500 * time.Millisecond
	// handOverMargin is added to handOverGrace for clocks whose rates differ, and for the time from a check of the
	// lease until the statement arrives at the server.
	handOverMargin = 300 * time.Millisecond
	// notYet is the time of an event that has not happened.
	notYet = time.Duration(math.MaxInt64)
	// pollInterval is the time between two checks of the state during a change of the primary.
	pollInterval = 20 * time.Millisecond
)

// maintain refuses statements that have timed out and starts changes of the primary.
func (b *Broker) maintain() {
	defer b.background.Done()
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-tick.C:
			b.check()
		}
	}
}

func (b *Broker) check() {
	now := b.Clock()
	b.endIdleTxs(now)
	b.mu.Lock()
	var replies []pendingReply
	for _, s := range b.servers {
		replies = append(replies, b.refuseAll(s.queue.Expire(now))...)
	}
	replies = append(replies, b.expireWaiting(now)...)
	var start []dispatched
	for _, s := range b.servers {
		if len(s.pool.waiting) > 0 {
			// The connection limit grows with time, and some statements can no longer be served in time.
			start, replies = join(start, replies)(b.startWaiting(now, s))
		}
	}
	if p := b.servers[b.primary]; len(b.waitingForPrimary) > 0 && !b.changingPrimary &&
		p != nil && !p.suspect && !p.saturated() {
		start, replies = join(start, replies)(b.resumeWaiting(now))
	}
	var action placement.Action
	valid := b.Lease.Valid(b.Service)
	if valid && b.leaseSince == notYet {
		b.leaseSince = b.LeaseClock()
		b.leaseBegan(now)
	}
	if !b.changingPrimary && valid && !b.ReplicasOnly {
		action = placement.NextAction(now, b.group(now))
		replies = append(replies, b.setHeld(now, action)...)
	}
	if action.Follow != "" {
		start, replies = join(start, replies)(b.usePrimary(now, action))
	}
	if action.Promote != "" {
		b.changingPrimary = true
		go b.changePrimary(action)
	}
	b.mu.Unlock()
	b.startAndReply(start, replies)
}

// expireWaiting refuses the statements that timed out waiting for a primary. The mutex must be held.
func (b *Broker) expireWaiting(now time.Duration) []pendingReply {
	var replies []pendingReply
	kept := b.waitingForPrimary[:0]
	for _, e := range b.waitingForPrimary {
		if now < e.deadline {
			kept = append(kept, e)
			continue
		}
		replies = append(replies, b.refuse(e, "no primary in time")...)
	}
	b.waitingForPrimary = kept
	return replies
}

// usePrimary uses a server that is already primary. The mutex must be held.
func (b *Broker) usePrimary(now time.Duration, action placement.Action) ([]dispatched, []pendingReply) {
	s := b.servers[action.Follow]
	if s == nil {
		return nil, nil // the server was removed in the meantime
	}
	b.durable.observePrimary(s.statusAt, s.status.Received)
	b.Log.Info("primary", "service", b.Service, "server", s.ID, "term", s.status.Term, "reason", action.Reason,
		"position", s.status.Received)
	if b.primary != s.ID {
		go closeAll(b.fence(b.primary))
	}
	delete(b.fenced, s.ID)
	b.primary = s.ID
	b.followedAt = now
	b.promotionUnknown = false
	leads := RecordedPrimary{s.ID, s.status.Term}
	if b.recordOutdated || b.recorded.Server != "" && (b.recorded.Server != leads.Server || b.recorded.Term > leads.Term) {
		b.recorded = leads
		b.recordOutdated = false
		go b.recordPrimary(leads)
	}
	b.history.Reset()
	b.setConnLimits()
	return b.resumeWaiting(now)
}

// recordPrimary corrects the owner record, so that a later owner follows the primary instead of promoting the server
// that the record names.
func (b *Broker) recordPrimary(primary RecordedPrimary) {
	ctx, cancel := context.WithTimeout(context.Background(), promotionTimeout)
	defer cancel()
	if err := b.Lease.RecordPrimary(ctx, b.Service, primary); err != nil {
		b.Log.Warn("primary not recorded", "service", b.Service, "server", primary.Server, "error", err)
	}
}

// resumeWaiting routes the statements that waited for a primary. The mutex must be held.
func (b *Broker) resumeWaiting(now time.Duration) (start []dispatched, replies []pendingReply) {
	waiting := b.waitingForPrimary
	b.waitingForPrimary = nil
	for _, e := range waiting {
		s, r := b.route(now, e)
		start = append(start, s...)
		replies = append(replies, r...)
	}
	return start, replies
}

// changePrimary replaces the primary. While it runs, no statement is routed to a primary.
func (b *Broker) changePrimary(action placement.Action) {
	began := b.Clock()
	b.Log.Info("primary change started", "service", b.Service, "from", action.From, "to", action.Promote,
		"planned", action.Planned, "reason", action.Reason)
	b.rerouteFromPrimary()
	var ready bool
	if action.Planned {
		ready = b.quiesce(action.From, action.Promote)
	} else {
		b.fencePrimary()
		b.awaitPredecessor()
		ready = b.awaitDurable(action.Promote)
	}
	next := RecordedPrimary{action.Promote, action.Term}
	err := errNotDurable
	var replies []pendingReply
	if ready {
		ctx, cancel := context.WithTimeout(context.Background(), promotionTimeout)
		err = b.Lease.Promote(ctx, b.Service, next)
		cancel()
		replies = b.recordPromotion(next, err)
		b.startAndReply(nil, replies)
	}
	promoted := err == nil && b.awaitPrimary(next)
	b.Metrics.Promotions.Inc(1)
	now := b.Clock()
	b.mu.Lock()
	b.changingPrimary = false
	b.durable.notCaughtUp = action.Planned && !ready
	b.primaryChangedAt = now
	b.primary = ""
	var start []dispatched
	replies = nil
	if promoted {
		start, replies = b.usePrimary(now, placement.Action{Follow: action.Promote, Reason: "promoted"})
	}
	b.mu.Unlock()
	b.Log.Info("primary change finished", "service", b.Service, "to", action.Promote, "leads", promoted, "took", now-began,
		"error", err)
	b.startAndReply(start, replies)
}

// errNotDurable means that a server was not promoted because it may lack commits that were acknowledged to callers.
var errNotDurable = fmt.Errorf("%w: %s", ErrNotPromoted, placement.NoSafeSuccessor)

// recordPromotion records the outcome of a promotion request. If it is unknown, the statements that wait for a primary
// are refused: neither the old primary nor the new one can be used until the outcome is known.
func (b *Broker) recordPromotion(primary RecordedPrimary, err error) []pendingReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case err == nil:
		b.recorded = primary
		b.promotionUnknown, b.recordOutdated = false, false
		return nil
	case errors.Is(err, ErrNotPromoted):
		b.recordOutdated = true
		return nil
	}
	b.Log.Warn("outcome of a promotion unknown", "service", b.Service, "server", primary.Server, "error", err)
	b.Metrics.PromotionsUnknown.Inc(1)
	b.recorded = primary
	b.promotionUnknown = true
	b.unsettled, b.unsettledAt = primary.Server, b.Clock()
	return b.refuseWaitingForPrimary("the outcome of a promotion is unknown")
}

// refuseWaitingForPrimary refuses the statements that wait for a primary. The mutex must be held.
func (b *Broker) refuseWaitingForPrimary(reason string) (replies []pendingReply) {
	for _, e := range b.waitingForPrimary {
		replies = append(replies, b.refuse(e, reason)...)
	}
	b.waitingForPrimary = nil
	return replies
}

func (b *Broker) primaryID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.primary
}

// rerouteFromPrimary reroutes the statements that wait for the current primary.
func (b *Broker) rerouteFromPrimary() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[b.primary]; s != nil {
		b.reroute(s)
	}
}

// quiesce waits for the transactions at the old primary to end and for the new primary to receive its log, then makes
// the old primary a replica. It reports whether the new primary may be promoted; if not, the old one still leads.
func (b *Broker) quiesce(from, to string) bool {
	end := b.Clock() + quiesceTime
	for b.Clock() < end && b.busyAtPrimary() {
		time.Sleep(pollInterval)
	}
	b.abortAtPrimary()
	b.fencePrimary()
	b.mu.Lock()
	b.quiescedAt = b.Clock()
	s := b.servers[from]
	if s == nil || from == to {
		b.mu.Unlock()
		b.awaitPredecessor()
		return b.awaitDurable(to)
	}
	old, term := s.Server, s.status.Term
	b.mu.Unlock()
	// The new primary catches up while the old one is still primary, because a server that has stepped down may no
	// longer send its log.
	end = b.Clock() + quiesceTime
	for b.Clock() < end && !b.caughtUp(from, to) {
		time.Sleep(pollInterval)
	}
	if !b.awaitDurable(to) {
		return false
	}
	if !b.Lease.Valid(b.Service) {
		return true // the server may be the primary of the next owner, which the promotion will find
	}
	response, c, err := b.control(old, nil, statement.Command{Kind: statement.StepDown, Term: term + 1})
	if c != nil {
		_ = c.Close()
	}
	if err != nil || response.Code != statement.OK {
		b.Log.Warn("step down failed", "service", b.Service, "server", old.ID, "code", response.Code, "error", err)
		b.awaitPredecessor()
	}
	return true
}

// busyAtPrimary reports whether statements are running or transactions are open at the primary.
func (b *Broker) busyAtPrimary() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[b.primary]
	if s == nil {
		return false
	}
	for _, t := range b.txs {
		if t.conn.server == s {
			return true
		}
	}
	return s.running > 0
}

// abortAtPrimary rolls back the transactions that are still open at the primary.
func (b *Broker) abortAtPrimary() {
	b.mu.Lock()
	var keys []StreamKey
	for key, t := range b.txs {
		if s := b.servers[b.primary]; s != nil && t.conn.server == s {
			keys = append(keys, key)
		}
	}
	b.mu.Unlock()
	for _, key := range keys {
		b.RollBackStream(key)
	}
}

// caughtUp reports whether a server has received the log of the primary, according to status queries sent since the
// old primary was quiesced.
func (b *Broker) caughtUp(primary, newPrimary string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, t := b.servers[primary], b.servers[newPrimary]
	if p == nil || t == nil {
		return true
	}
	return p.statusAt > b.quiescedAt && t.status.Received.Covers(p.status.Received)
}

// awaitPrimary waits until a server that was promoted leads the term that the promotion began, or a later one. The platform
// leaves a server in its term that is the primary already, so a primary of an earlier term is used once the promotion must
// have taken effect.
func (b *Broker) awaitPrimary(next RecordedPrimary) bool {
	accepted := b.Clock()
	for end := accepted + becomePrimaryTimeout; b.Clock() < end; time.Sleep(pollInterval) {
		b.mu.Lock()
		s := b.servers[next.Server]
		isPrimary := s != nil && s.reachable && s.status.Primary &&
			(s.status.Term >= next.Term || s.statusAt >= accepted+promotionEffectTime)
		b.mu.Unlock()
		if isPrimary {
			return true
		}
	}
	return false
}
