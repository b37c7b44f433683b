package broker

import (
	"context"
	"errors"
	"slices"
	"time"

	"siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

const (
	// dialTimeout bounds the opening of a connection, which takes some ten milliseconds and a slot.
	dialTimeout = 700 * time.Millisecond
	// handOverGrace is how long open transactions may continue after the service was handed over.
	handOverGrace = 700 * time.Millisecond
	// rollBackTimeout bounds the rollback of a transaction whose caller has left.
	rollBackTimeout = 300 * time.Millisecond
	// initialDialTime is the initial estimate of the time to open a connection; dialTimeShift gives each new
	// measurement a weight of 1/8.
	initialDialTime = 12 * time.Millisecond
	dialTimeShift   = 3
	// Statements that take slowLogThreshold or longer are logged as slow; typical latency objectives are a few hundred
	// milliseconds.
	slowLogThreshold = 300 * time.Millisecond
)

// runOn runs a statement on its idle connection, or on a new one.
func (b *Broker) runOn(s dispatched) {
	if s.conn != nil {
		b.Metrics.ConnectsReused.Inc(1)
		b.run(s.execution, s.conn)
		return
	}
	if s.evicted != nil {
		_ = s.evicted.Close()
	}
	server := s.execution.server
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	began := b.Clock()
	raw, err := b.Dialer.Dial(ctx, server.Server, s.execution.req.Workspace)
	if err != nil {
		b.dialFailed(s.execution, began, err)
		return
	}
	b.mu.Lock()
	b.Metrics.Connects.Inc(1)
	server.pool.limit.accepted(server.pool.open)
	b.dialTime += (b.Clock() - began - b.dialTime) >> dialTimeShift
	b.mu.Unlock()
	b.run(s.execution, &conn{
		Conn: raw, server: server, workspace: s.execution.req.Workspace,
		settings: map[string]string{}, prepared: map[statement.PreparedQuery]string{},
	})
}

// dialFailed reroutes a statement whose connection could not be opened. It did not run.
func (b *Broker) dialFailed(e *execution, began time.Duration, err error) {
	now := b.Clock()
	b.Log.Warn("server connection failed", "id", e.req.Statement.ID, "service", b.Service,
		"server", e.server.ID, "error", err)
	b.mu.Lock()
	s := e.server
	var refused *RefusedError
	switch {
	case !errors.As(err, &refused):
		// The server may be executing an opening that was not answered.
		s.pool.closed(e.req.Workspace, now+min(unansweredTime, max(closedTime, now-began)))
		b.markSuspect(s)
	case refused.Code == statement.TooManyConnections:
		b.Metrics.ConnectsRefused.Inc(1)
		s.pool.refused(e.req.Workspace)
		s.pool.limit.refused(now, began, s.pool.open)
	default:
		s.pool.refused(e.req.Workspace)
	}
	start, replies := b.releaseSlot(now, e, false)
	more, others := b.retry(now, e, "the server cannot be reached")
	b.mu.Unlock()
	b.startAndReply(append(start, more...), append(replies, others...))
}

// releaseSlot frees the slot of a statement and starts the next one. The mutex must be held.
func (b *Broker) releaseSlot(now time.Duration, e *execution, responded bool) ([]dispatched, []pendingReply) {
	s := e.server
	s.running--
	if e.holdsSlot && responded {
		s.queue.Done(now, e.id)
	} else if e.holdsSlot {
		s.queue.Abandon(e.id)
	}
	e.holdsSlot = false
	return b.startWaiting(now, s)
}

// retry reroutes a statement that did not run, or refuses it. The mutex must be held.
func (b *Broker) retry(now time.Duration, e *execution, reason string) ([]dispatched, []pendingReply) {
	e.attempts++
	e.avoid = e.server.ID
	if b.closed {
		delete(b.executions, e.id)
		return nil, []pendingReply{{e, notOwnerResult(e)}}
	}
	if b.ReplicasOnly {
		return nil, b.refuse(e, reason)
	}
	if e.attempts >= maxAttempts || now >= e.deadline {
		return nil, b.refuse(e, reason)
	}
	return b.route(now, e)
}

// outcome is the outcome of a statement on a connection.
type outcome struct {
	response statement.Response
	sent     time.Duration // when the statement was sent
	// ran is false if the statement was not sent.
	ran bool
	err error
}

// run runs a statement and handles its outcome.
func (b *Broker) run(e *execution, c *conn) {
	if err := b.begin(e, c); err != nil {
		b.finish(e, c, outcome{err: err})
		return
	}
	o := b.exchange(e, c)
	if e.acknowledges(o) && !b.mayRun() {
		// Another owner may have replaced the primary before the statement ran.
		o.err = errNoLease
	}
	b.finish(e, c, o)
}

// exchange sets up the caller's session state on the connection and runs the statement.
func (b *Broker) exchange(e *execution, c *conn) outcome {
	sent := b.Clock()
	deadline := time.Now().Add(e.deadline - sent)
	before := c.sessionCommands(e.req)
	if e.req.Begin != 0 {
		before = append(before, statement.Command{Kind: e.req.Begin, After: e.choice.After})
	}
	if len(before) > 0 {
		responses, err := c.Do(before, deadline)
		if err != nil {
			return outcome{err: err, sent: sent}
		}
		for _, response := range responses {
			if response.Code != statement.OK {
				// The connection's state no longer matches its bookkeeping.
				return outcome{response: response, sent: sent, err: errStateNotReached}
			}
		}
	}
	command := c.command(e.req)
	if e.req.Begin == 0 && e.tx == nil {
		command.After = e.choice.After
	}
	sent = b.Clock()
	uncountIfNotRun := b.countUsage(e)
	responses, err := c.Do([]statement.Command{command}, deadline)
	if err != nil {
		return outcome{err: err, sent: sent, ran: true}
	}
	uncountIfNotRun(responses[0].Code)
	return outcome{response: responses[0], sent: sent, ran: true}
}

// errStateNotReached means that a server refused to set up the session state on a connection.
var errStateNotReached = errors.New("the server refused to prepare the session")

// errNoLease means that this VM may no longer use the service's servers.
var errNoLease = errors.New("the lease of the service has ended")

// retryable reports whether the statement may be sent again although it may have run.
func (e *execution) retryable() bool {
	if e.tx != nil || e.req.Begin == statement.Begin {
		return false
	}
	return e.req.Begin == statement.BeginReadOnly || !e.needsPrimary()
}

// finish releases the connection and the slot, and responds to the caller or retries the statement.
func (b *Broker) finish(e *execution, c *conn, o outcome) {
	now := b.Clock()
	b.mu.Lock()
	b.endWatch(now, e, c, &o)
	if e.acknowledges(o) {
		b.recordAcknowledged(now, c, &o)
	}
	start, replies := b.updateServerState(now, c.server, o)
	if e.conn != nil {
		c.server.unanswered--
		e.conn = nil
	}
	if e.tx != nil {
		e.tx.busy = false
	}
	keep := o.err == nil && !c.givenUp
	c.unanswered = o.err != nil && o.ran && (c.givenUp || now >= e.deadline)
	switch {
	case o.err == nil && o.response.State == statement.InTransaction:
		b.keepTx(e, c, o, &replies)
		start, replies = join(start, replies)(b.releaseSlot(now, e, o.err == nil))
		abandoned := e.tx.abandoned // read before the reply, which lets the next statement use the connection
		b.mu.Unlock()
		b.startAndReply(start, replies)
		if abandoned {
			b.rollBack(c)
		}
		return
	case o.err == nil && o.response.State == statement.FailedTransaction:
		keep = false
	}
	if e.tx != nil {
		delete(b.txs, e.tx.key)
	}
	excess := b.releaseConn(now, c, keep)
	start, replies = join(start, replies)(b.releaseSlot(now, e, o.err == nil))
	start, replies = join(start, replies)(b.complete(now, e, o))
	b.mu.Unlock()
	b.startAndReply(start, replies)
	if excess != nil {
		// Closing a connection rolls back its open transaction.
		_ = excess.Close()
	}
}

// releaseConn returns a usable connection to its pool. excess is the connection that has to be closed, nil if there
// is none. The mutex must be held.
func (b *Broker) releaseConn(now time.Duration, c *conn, usable bool) (excess *conn) {
	if usable && !b.closed {
		return c.server.pool.release(now, c)
	}
	until := now + closedTime
	if c.unanswered {
		until = now + unansweredTime
	}
	c.server.pool.closed(c.workspace, until)
	return c
}

// join appends further statements and replies to earlier ones.
func join(start []dispatched, replies []pendingReply) func([]dispatched, []pendingReply) ([]dispatched, []pendingReply) {
	return func(s []dispatched, r []pendingReply) ([]dispatched, []pendingReply) {
		return append(start, s...), append(replies, r...)
	}
}

// updateServerState updates the state of a server from a response. The mutex must be held.
func (b *Broker) updateServerState(now time.Duration, s *server, o outcome) ([]dispatched, []pendingReply) {
	if o.err != nil && !errors.Is(o.err, errStateNotReached) {
		// Connections to a fenced server are closed by the fence.
		if !errors.Is(o.err, errNoLease) && !errors.Is(o.err, errFenced) && !errors.Is(o.err, errNoAnswer) && !b.fenced[s.ID] {
			b.markSuspect(s)
		}
		return nil, nil
	}
	if o.ran {
		s.queue.ObserveServiceTime(now - o.sent)
	}
	if o.response.Code == statement.ReplicaBehind {
		s.behindAt = now
	}
	b.recordPosition(s, o.sent, o.response.Position)
	return b.recordResponse(now, s)
}

// recordPosition records a position reported by a server. The mutex must be held.
func (b *Broker) recordPosition(s *server, sent time.Duration, p session.Position) {
	if p == (session.Position{}) {
		return
	}
	if p.Compare(s.status.Applied) > 0 {
		s.status.Applied = p
	}
	if s.ID == b.primary && !b.changingPrimary {
		b.history.Observe(sent, p)
	}
}

// keepTx keeps a transaction open after a successful statement. The mutex must be held.
func (b *Broker) keepTx(e *execution, c *conn, o outcome, replies *[]pendingReply) {
	delete(b.executions, e.id)
	if e.tx == nil {
		e.tx = &tx{key: e.key, conn: c, abandoned: e.abandoned, readOnly: e.req.Begin == statement.BeginReadOnly}
		if !e.abandoned {
			b.txs[e.key] = e.tx
		}
	}
	e.tx.wrote = e.tx.wrote || e.req.Writes()
	e.tx.usedAt = b.Clock()
	b.recordLatency(e, o)
	*replies = append(*replies, pendingReply{e, Result{Stream: e.req.Stream, Response: o.response, TransactionOpen: true}})
}

// complete responds to a statement that leaves no open transaction, or retries it. The mutex must be held.
func (b *Broker) complete(now time.Duration, e *execution, o outcome) ([]dispatched, []pendingReply) {
	notRun := !o.ran || o.err == nil && o.response.Code.NotRun()
	if e.tx == nil && notRun {
		if o.response.Code == statement.ReadOnly {
			b.markNotPrimary(e.server)
		}
		return b.retry(now, e, "the server refused the statement: "+o.response.Code.String())
	}
	if o.err != nil && e.retryable() && now < e.deadline {
		b.Metrics.Retries.Inc(1)
		return b.retry(now, e, "the server does not answer")
	}
	delete(b.executions, e.id)
	b.recordLatency(e, o)
	response := o.response
	switch {
	case o.err == nil && response.Code == statement.OK:
	case o.err == nil && e.inTransaction() && !(e.req.Statement.Kind == statement.Commit && !response.Code.NotRun()):
		// The server connection was closed, so the transaction was rolled back.
		response = statement.Refusal(statement.Aborted, response.Code.String())
	case o.err == nil:
	case e.inTransaction() && !(e.req.Statement.Kind == statement.Commit && o.ran):
		response = statement.Refusal(statement.Aborted, "the connection to the server broke")
	case e.retryable():
		response = statement.Refusal(statement.TimedOut, "no server answered in time")
	default:
		response = statement.Refusal(statement.OutcomeUnknown, "the connection to the server broke")
	}
	response.State = statement.Idle
	if response.Code != statement.OK {
		b.Metrics.Failed.Inc(1)
		b.Log.Info("failed", "id", e.req.Statement.ID, "service", b.Service, "server", e.server.ID, "code", response.Code,
			"detail", response.Detail, "after", now-e.arrived, "error", o.err)
	}
	return nil, []pendingReply{{e, Result{Stream: e.req.Stream, Response: response}}}
}

// inTransaction reports whether the statement belongs to an explicit transaction.
func (e *execution) inTransaction() bool { return e.tx != nil || e.req.Begin != 0 }

// recordLatency records the latency of a statement on this VM and logs the details of a slow one. The mutex must be
// held.
func (b *Broker) recordLatency(e *execution, o outcome) {
	now := b.Clock()
	b.Metrics.Latency.Update(int64((now - e.arrived) / time.Microsecond))
	if now-e.arrived < slowLogThreshold {
		return
	}
	waiting, running := e.server.queue.Len()
	b.Log.Info("slow", "id", e.req.Statement.ID, "service", b.Service, "workspace", e.req.Workspace, "server", e.server.ID,
		"primary", e.server.ID == b.primary, "took", now-e.arrived, "at_server", now-o.sent, "attempts", e.attempts,
		"waiting", waiting, "running", running, "idle_connections", e.server.pool.idleCount(),
		"connections", e.server.pool.open)
}

// rollBack rolls back the transaction of a connection and returns the connection to the pool.
func (b *Broker) rollBack(c *conn) {
	responses, err := c.Do([]statement.Command{{Kind: statement.Rollback}}, time.Now().Add(rollBackTimeout))
	now := b.Clock()
	clean := err == nil && responses[0].Code == statement.OK && responses[0].State == statement.Idle
	b.mu.Lock()
	excess := b.releaseConn(now, c, clean)
	start, replies := b.startWaiting(now, c.server)
	b.mu.Unlock()
	b.startAndReply(start, replies)
	if excess != nil {
		_ = excess.Close()
	}
}

// startWaiting assigns free connections to waiting statements, and free slots to queued ones. The mutex must be held.
func (b *Broker) startWaiting(now time.Duration, s *server) (start []dispatched, replies []pendingReply) {
	service := s.queue.ServiceTime()
	kept := s.pool.waiting[:0]
	for _, next := range s.pool.waiting {
		if latestStart(next.deadline, service) < now {
			s.running--
			s.queue.Abandon(next.id)
			next.holdsSlot = false
			replies = append(replies, b.refuse(next, "no connection became free")...)
			continue
		}
		c, evicted, ok := s.pool.acquire(now, next)
		if !ok {
			closeEvicted(evicted)
			kept = append(kept, next)
			continue
		}
		start = append(start, dispatched{next, c, evicted})
	}
	clear(s.pool.waiting[len(kept):])
	s.pool.waiting = kept
	if len(kept) > 0 {
		b.wakeWaiting(now, s)
	}
	more, others := b.dispatch(now, s)
	return append(start, more...), append(replies, others...)
}

// wakeWaiting starts waiting statements when the next closed connection is no longer counted. The mutex must be held.
func (b *Broker) wakeWaiting(now time.Duration, s *server) {
	if s.pool.waking || len(s.pool.closing) == 0 {
		return
	}
	s.pool.waking = true
	time.AfterFunc(slices.Min(s.pool.closing)-now, func() {
		b.mu.Lock()
		s.pool.waking = false
		start, replies := b.startWaiting(b.Clock(), s)
		b.mu.Unlock()
		b.startAndReply(start, replies)
	})
}

// closeEvicted closes a connection that was evicted while its successor cannot be opened yet.
func closeEvicted(c *conn) {
	if c != nil {
		go func() { _ = c.Close() }()
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
