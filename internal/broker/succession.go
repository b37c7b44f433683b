package broker

import (
	"context"
	"time"

	"siskinrouter/internal/placement"
	"siskinrouter/internal/statement"
)

const (
	// quiesceTime is how long a planned change waits for running transactions, and then for the new
	// primary to receive the end of the log.
	quiesceTime = 700 * time.Millisecond
	// orderTimeout bounds the order to promote, including the record in the store.
	orderTimeout = 3 * time.Second
	// leadTimeout bounds the time from the order until the server leads; some hundred milliseconds are usual.
	leadTimeout = 4 * time.Second
	// closingMargin is added to the closing time of an earlier owner, which may learn later than this VM
	// that its tenure has ended.
	closingMargin = 300 * time.Millisecond
	// pollInterval is the time between two looks at the state during a change.
	pollInterval = 20 * time.Millisecond
)

// watchOver refuses statements whose time has passed and starts changes of the primary.
func (b *Broker) watchOver() {
	defer b.background.Done()
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.done:
			return
		case <-tick.C:
			b.look()
		}
	}
}

func (b *Broker) look() {
	now := b.Clock()
	b.endResting(now)
	b.mu.Lock()
	var replies []answered
	for _, s := range b.servers {
		replies = append(replies, b.refuseAll(s.queue.Expire(now))...)
	}
	replies = append(replies, b.expireParked(now)...)
	var start []started
	for _, s := range b.servers {
		if len(s.pool.waiting) > 0 {
			// Room for connections grows with time, and some can no longer be served in time.
			start, replies = join(start, replies)(b.startWaiting(now, s))
		}
	}
	if p := b.servers[b.primary]; len(b.parked) > 0 && !b.changing && p != nil && !p.suspect && !p.saturated() {
		start, replies = join(start, replies)(b.unpark(now))
	}
	var step placement.Action
	valid := b.Lease.Valid(b.Service)
	if !b.changing && valid {
		step = placement.NextAction(now, b.group(now))
	}
	if step.Follow != "" {
		start, replies = join(start, replies)(b.follow(now, step))
	}
	if step.Promote != "" {
		b.changing = true
		go b.change(step)
	}
	b.mu.Unlock()
	b.after(start, replies)
}

// expireParked refuses the statements that have waited for a primary in vain. The mutex is held.
func (b *Broker) expireParked(now time.Duration) []answered {
	var replies []answered
	kept := b.parked[:0]
	for _, w := range b.parked {
		if now < w.deadline {
			kept = append(kept, w)
			continue
		}
		replies = append(replies, b.refuse(w, "no primary in time")...)
	}
	b.parked = kept
	return replies
}

// follow uses a server that already leads. The mutex is held.
func (b *Broker) follow(now time.Duration, step placement.Action) ([]started, []answered) {
	s := b.servers[step.Follow]
	if s == nil {
		return nil, nil // it has left meanwhile
	}
	b.Log.Info("primary", "service", b.Service, "server", s.ID, "term", s.status.Term, "reason", step.Reason,
		"position", s.status.Received)
	b.primary = s.ID
	b.history.Reset()
	return b.unpark(now)
}

// unpark places the statements that waited for a primary. The mutex is held.
func (b *Broker) unpark(now time.Duration) (start []started, replies []answered) {
	parked := b.parked
	b.parked = nil
	for _, w := range parked {
		s, r := b.place(now, w)
		start = append(start, s...)
		replies = append(replies, r...)
	}
	return start, replies
}

// change replaces the primary. While it runs, no statement is placed on a primary.
func (b *Broker) change(step placement.Action) {
	began := b.Clock()
	b.Log.Info("change of primary begins", "service", b.Service, "from", b.primaryID(), "to", step.Promote,
		"planned", step.Planned, "reason", step.Reason)
	b.moveFromPrimary()
	if step.Planned {
		b.quiesce(step.Promote)
	} else {
		// An earlier owner that handed the service over may still finish transactions at a primary that
		// this VM cannot reach.
		b.sleepUntil(b.since + closingTime + closingMargin)
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	err := b.Lease.Promote(ctx, b.Service, step.Promote)
	cancel()
	led := err == nil && b.awaitLead(step.Promote)
	b.Metrics.Promotions.Inc(1)
	now := b.Clock()
	b.mu.Lock()
	b.changing = false
	b.changedAt = now
	b.primary = ""
	if err == nil {
		b.recorded = step.Promote
	}
	var start []started
	var replies []answered
	if led {
		start, replies = b.follow(now, placement.Action{Follow: step.Promote, Reason: "promoted"})
	}
	b.mu.Unlock()
	b.Log.Info("change of primary ends", "service", b.Service, "to", step.Promote, "leads", led, "took", now-began,
		"error", err)
	b.after(start, replies)
}

func (b *Broker) primaryID() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.primary
}

// moveFromPrimary places the statements anew that wait for the present primary.
func (b *Broker) moveFromPrimary() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[b.primary]; s != nil {
		b.move(s)
	}
}

func (b *Broker) sleepUntil(t time.Duration) {
	if wait := t - b.Clock(); wait > 0 {
		time.Sleep(wait)
	}
}

// quiesce lets the transactions at the old primary end, makes it a replica and waits until the new
// primary has received its log.
func (b *Broker) quiesce(target string) {
	end := b.Clock() + quiesceTime
	for b.Clock() < end && b.busyAtPrimary() {
		time.Sleep(pollInterval)
	}
	b.abortAtPrimary()
	b.mu.Lock()
	b.quietAt = b.Clock()
	s := b.servers[b.primary]
	if s == nil || s.ID == target {
		b.mu.Unlock()
		return
	}
	old, term := s.Server, s.status.Term
	b.mu.Unlock()
	// The new primary catches up while the old one still leads, because a server that has stepped down
	// may no longer send its log.
	end = b.Clock() + quiesceTime
	for b.Clock() < end && !b.caughtUp(old.ID, target) {
		time.Sleep(pollInterval)
	}
	a, c, err := b.control(old, nil, statement.Command{Kind: statement.StepDown, Term: term + 1})
	if c != nil {
		_ = c.Close()
	}
	if err != nil || a.Code != statement.OK {
		b.Log.Warn("step down failed", "service", b.Service, "server", old.ID, "code", a.Code, "error", err)
	}
}

// busyAtPrimary reports whether statements run or transactions are open at the primary.
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

// caughtUp reports whether a server has received the log of the primary, as status queries since the
// start of the change have shown.
func (b *Broker) caughtUp(primary, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, t := b.servers[primary], b.servers[target]
	if p == nil || t == nil {
		return true
	}
	return p.polledAt > b.quietAt && t.status.Received.Covers(p.status.Received)
}

// awaitLead waits until a server reports that it leads.
func (b *Broker) awaitLead(id string) bool {
	end := b.Clock() + leadTimeout
	for b.Clock() < end {
		b.mu.Lock()
		s := b.servers[id]
		leads := s != nil && s.reachable && s.status.Primary
		b.mu.Unlock()
		if leads {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}
