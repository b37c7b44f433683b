package broker

import (
	"context"
	"errors"
	"time"

	"siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

const (
	// dialTimeout bounds the opening of a connection, which takes some ten milliseconds and a slot.
	dialTimeout = 700 * time.Millisecond
	// closingTime is how long open transactions may continue after the service was handed over.
	closingTime = 700 * time.Millisecond
	// rollBackTimeout bounds the rollback of a transaction whose caller has left.
	rollBackTimeout = 300 * time.Millisecond
	// firstTry is the least time that a read waits for the answer of its first server; a server that
	// has lost the answer is told from a slow one by readPatience mean service times.
	firstTry     = 200 * time.Millisecond
	readPatience = 6
	// firstOpening is the estimate of the time to open a connection before one was opened; openingShift sets the
	// weight of a new measurement to 1/8.
	firstOpening = 12 * time.Millisecond
	openingShift = 3
	// slowAfter is the time after which a statement is logged; the usual objectives are some hundred
	// milliseconds.
	slowAfter = 300 * time.Millisecond
)

// runOn runs a statement on an idle connection, or on a new one.
func (b *Broker) runOn(s started) {
	if s.c != nil {
		b.run(s.w, s.c)
		return
	}
	if s.evicted != nil {
		_ = s.evicted.Close()
	}
	server := s.w.server
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	b.Metrics.Connects.Inc(1)
	began := b.Clock()
	raw, err := b.Dialer.Dial(ctx, server.Server, s.w.req.Workspace)
	if err != nil {
		b.dialFailed(s.w, began, err)
		return
	}
	b.mu.Lock()
	server.pool.room.accepted(server.pool.open)
	b.opening += (b.Clock() - began - b.opening) >> openingShift
	b.mu.Unlock()
	b.run(s.w, &conn{
		Conn: raw, server: server, workspace: s.w.req.Workspace,
		settings: map[string]string{}, prepared: map[statement.PreparedQuery]string{},
	})
}

// dialFailed places a statement anew after its connection could not be opened. It did not run.
func (b *Broker) dialFailed(w *work, began time.Duration, err error) {
	now := b.Clock()
	b.Log.Warn("server connection failed", "id", w.req.Statement.ID, "service", b.Service, "server", w.server.ID, "error", err)
	b.mu.Lock()
	s := w.server
	s.pool.open--
	var refused *RefusedError
	switch {
	case !errors.As(err, &refused):
		b.distrust(s)
	case refused.Code == statement.TooManyConnections:
		s.pool.room.refused(now, began, s.pool.open)
	}
	start, replies := b.release(now, w, false)
	more, others := b.again(now, w, "the server cannot be reached")
	b.mu.Unlock()
	b.after(append(start, more...), append(replies, others...))
}

// release frees the slot of a statement and starts the next one. The mutex is held.
func (b *Broker) release(now time.Duration, w *work, answered bool) ([]started, []answered) {
	s := w.server
	s.running--
	if w.queued && answered {
		s.queue.Done(now, w.id)
	} else if w.queued {
		s.queue.Abandon(w.id)
	}
	w.queued = false
	return b.startWaiting(now, s)
}

// again places a statement that did not run a further time, or refuses it. The mutex is held.
func (b *Broker) again(now time.Duration, w *work, reason string) ([]started, []answered) {
	w.attempts++
	w.avoid = w.server.ID
	if b.closed {
		delete(b.works, w.id)
		return nil, []answered{{w, Result{Stream: w.req.Stream, NotOwner: true}}}
	}
	if w.attempts >= maxAttempts || now >= w.deadline {
		return nil, b.refuse(w, reason)
	}
	return b.place(now, w)
}

// outcome is what became of a statement on a connection.
type outcome struct {
	answer statement.Response
	sent   time.Duration // when the statement was sent
	// ran is false if the statement was not sent.
	ran bool
	err error
}

// run runs a statement and handles its outcome.
func (b *Broker) run(w *work, c *conn) {
	if !b.mayRun() {
		b.finish(w, c, outcome{err: errNoLease})
		return
	}
	b.finish(w, c, b.exchange(w, c))
}

// mayRun reports whether this VM may use the service's servers: it holds the lease, or has handed the
// service over so recently that its successor does not replace the primary without it.
func (b *Broker) mayRun() bool {
	if b.Lease.Valid(b.Service) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed && b.Clock()-b.closedAt < closingTime
}

// exchange brings the connection to the state of the caller's session and runs the statement.
func (b *Broker) exchange(w *work, c *conn) outcome {
	sent := b.Clock()
	deadline := time.Now().Add(w.deadline - sent)
	if w.retryable() {
		b.mu.Lock()
		patience := max(firstTry, readPatience*c.server.queue.ServiceTime())
		b.mu.Unlock()
		deadline = time.Now().Add(min(patience, w.deadline-sent))
	}
	before := c.prepare(w.req)
	if w.req.Begin != 0 {
		before = append(before, statement.Command{Kind: w.req.Begin, After: w.choice.After})
	}
	if len(before) > 0 {
		answers, err := c.Do(before, deadline)
		if err != nil {
			return outcome{err: err, sent: sent}
		}
		for _, a := range answers {
			if a.Code != statement.OK {
				// The connection's state is no longer what the pool believes.
				return outcome{answer: a, sent: sent, err: errStateNotReached}
			}
		}
	}
	command := c.command(w.req)
	if w.req.Begin == 0 && w.tx == nil {
		command.After = w.choice.After
	}
	sent = b.Clock()
	answers, err := c.Do([]statement.Command{command}, deadline)
	if err != nil {
		return outcome{err: err, sent: sent, ran: true}
	}
	return outcome{answer: answers[0], sent: sent, ran: true}
}

// errStateNotReached means that a server refused to bring a connection to a session's state.
var errStateNotReached = errors.New("the server refused to prepare the session")

// errNoLease means that this VM may no longer use the service's servers.
var errNoLease = errors.New("the lease of the service has ended")

// retryable reports whether the statement may be sent again although it may have run.
func (w *work) retryable() bool {
	if w.tx != nil || w.req.Begin == statement.Begin {
		return false
	}
	return w.req.Begin == statement.BeginReadOnly || !w.writes()
}

// finish releases the connection and the slot and answers or repeats the statement.
func (b *Broker) finish(w *work, c *conn, o outcome) {
	now := b.Clock()
	b.mu.Lock()
	start, replies := b.learn(now, c.server, o)
	if w.tx != nil {
		w.tx.busy = false
	}
	keep := o.err == nil
	switch {
	case o.err == nil && o.answer.State == statement.InTransaction:
		b.continueTx(w, c, o, &replies)
		start, replies = join(start, replies)(b.release(now, w, o.err == nil))
		b.mu.Unlock()
		b.after(start, replies)
		if w.tx != nil && w.tx.ended {
			b.rollBack(c)
		}
		return
	case o.err == nil && o.answer.State == statement.FailedTransaction:
		keep = false
	}
	if w.tx != nil {
		delete(b.txs, w.tx.key)
	}
	surplus := b.giveBack(now, c, keep)
	start, replies = join(start, replies)(b.release(now, w, o.err == nil))
	start, replies = join(start, replies)(b.conclude(now, w, o))
	b.mu.Unlock()
	b.after(start, replies)
	if surplus != nil {
		// Closing a connection rolls an open transaction back.
		_ = surplus.Close()
	}
}

// giveBack returns a connection to its pool if it can be used further. surplus is the connection to be closed, nil
// if none is. The mutex is held.
func (b *Broker) giveBack(now time.Duration, c *conn, usable bool) (surplus *conn) {
	if usable && !b.closed {
		return c.server.pool.put(now, c)
	}
	c.server.pool.open--
	return c
}

// join appends the results of a decision to those before.
func join(start []started, replies []answered) func([]started, []answered) ([]started, []answered) {
	return func(s []started, r []answered) ([]started, []answered) {
		return append(start, s...), append(replies, r...)
	}
}

// learn takes from an answer what it says of the server. The mutex is held.
func (b *Broker) learn(now time.Duration, s *server, o outcome) ([]started, []answered) {
	if o.err != nil && !errors.Is(o.err, errStateNotReached) {
		if !errors.Is(o.err, errNoLease) {
			b.distrust(s)
		}
		return nil, nil
	}
	if o.ran {
		s.queue.ObserveServiceTime(now - o.sent)
	}
	if o.answer.Code == statement.ReplicaBehind {
		s.behindAt = now
	}
	b.observe(s, o.sent, o.answer.Position)
	return b.heard(now, s)
}

// observe records a position that a server reported. The mutex is held.
func (b *Broker) observe(s *server, sent time.Duration, p session.Position) {
	if p == (session.Position{}) {
		return
	}
	if p.Compare(s.status.Applied) > 0 {
		s.status.Applied = p
	}
	if s.ID == b.primary && !b.changing {
		b.history.Observe(sent, p)
	}
}

// continueTx keeps a transaction open after a statement that succeeded. The mutex is held.
func (b *Broker) continueTx(w *work, c *conn, o outcome, replies *[]answered) {
	delete(b.works, w.id)
	if w.tx == nil {
		w.tx = &tx{key: w.key, conn: c, ended: w.gone}
		if !w.gone {
			b.txs[w.key] = w.tx
		}
	}
	w.tx.usedAt = b.Clock()
	b.measure(w, o)
	*replies = append(*replies, answered{w, Result{Stream: w.req.Stream, Response: o.answer, TransactionOpen: true}})
}

// conclude answers a statement that leaves no open transaction, or places it again. The mutex is held.
func (b *Broker) conclude(now time.Duration, w *work, o outcome) ([]started, []answered) {
	notRun := !o.ran || o.err == nil && o.answer.Code.NotRun()
	if w.tx == nil && notRun {
		if o.answer.Code == statement.ReadOnly {
			b.primaryLost(w.server)
		}
		return b.again(now, w, "the server refused the statement: "+o.answer.Code.String())
	}
	if o.err != nil && w.retryable() && now < w.deadline {
		b.Metrics.Retries.Inc(1)
		return b.again(now, w, "the server does not answer")
	}
	delete(b.works, w.id)
	b.measure(w, o)
	a := o.answer
	switch {
	case o.err == nil && a.Code == statement.OK:
	case o.err == nil && w.inTransaction() && !(w.req.Statement.Kind == statement.Commit && !a.Code.NotRun()):
		// The server connection was closed, so nothing of the transaction is kept.
		a = statement.Refusal(statement.Aborted, a.Code.String())
	case o.err == nil:
	case w.inTransaction() && !(w.req.Statement.Kind == statement.Commit && o.ran):
		a = statement.Refusal(statement.Aborted, "the connection to the server broke")
	case w.retryable():
		a = statement.Refusal(statement.TimedOut, "no server answered in time")
	default:
		a = statement.Refusal(statement.OutcomeUnknown, "the connection to the server broke")
	}
	a.State = statement.Idle
	if a.Code != statement.OK {
		b.Metrics.Failed.Inc(1)
		b.Log.Info("failed", "id", w.req.Statement.ID, "service", b.Service, "server", w.server.ID, "code", a.Code,
			"detail", a.Detail, "after", now-w.arrived, "error", o.err)
	}
	return nil, []answered{{w, Result{Stream: w.req.Stream, Response: a}}}
}

// inTransaction reports whether the statement belongs to an explicit transaction.
func (w *work) inTransaction() bool { return w.tx != nil || w.req.Begin != 0 }

// measure records how long the statement took on this VM and says what made it slow. The mutex is held.
func (b *Broker) measure(w *work, o outcome) {
	now := b.Clock()
	b.Metrics.Latency.Update(int64((now - w.arrived) / time.Microsecond))
	if now-w.arrived < slowAfter {
		return
	}
	waiting, running := w.server.queue.Len()
	b.Log.Info("slow", "id", w.req.Statement.ID, "service", b.Service, "workspace", w.req.Workspace, "server", w.server.ID,
		"primary", w.server.ID == b.primary, "took", now-w.arrived, "at_server", now-o.sent, "attempts", w.attempts,
		"waiting", waiting, "running", running, "idle_connections", w.server.pool.idleCount(),
		"connections", w.server.pool.open)
}

// rollBack ends the transaction of a connection and returns it to the pool.
func (b *Broker) rollBack(c *conn) {
	answers, err := c.Do([]statement.Command{{Kind: statement.Rollback}}, time.Now().Add(rollBackTimeout))
	now := b.Clock()
	clean := err == nil && answers[0].Code == statement.OK && answers[0].State == statement.Idle
	b.mu.Lock()
	surplus := b.giveBack(now, c, clean)
	start, replies := b.startWaiting(now, c.server)
	b.mu.Unlock()
	b.after(start, replies)
	if surplus != nil {
		_ = surplus.Close()
	}
}

// startWaiting gives free connections to the statements that wait for one, and free slots to those in
// the queue. The mutex is held.
func (b *Broker) startWaiting(now time.Duration, s *server) (start []started, replies []answered) {
	for len(s.pool.waiting) > 0 {
		next := s.pool.waiting[0]
		if next.deadline < now {
			s.pool.waiting = s.pool.waiting[1:]
			s.running--
			s.queue.Done(now, next.id)
			replies = append(replies, b.refuse(next, "no connection became free")...)
			continue
		}
		c, evicted, ok := s.pool.take(now, next)
		if !ok {
			break
		}
		s.pool.waiting = s.pool.waiting[1:]
		start = append(start, started{next, c, evicted})
	}
	more, others := b.dispatch(now, s)
	return append(start, more...), append(replies, others...)
}

// closeAll closes connections that are no longer used.
func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
