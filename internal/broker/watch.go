package broker

import (
	"errors"
	"time"

	"siskinrouter/internal/hedge"
	"siskinrouter/internal/statement"
)

// errNoAnswer means that a read was given up although its server answers others.
var errNoAnswer = errors.New("the server does not answer the statement")

// errServerSilent means that a read was given up because its server answers nobody.
var errServerSilent = errors.New("the server answers nobody")

// watch observes a read that waits for its server, and closes its connection if the read is given up.
type watch struct {
	timer  *time.Timer
	sent   time.Duration
	reason hedge.Reason
}

// watch starts to observe a read that is about to be sent. The mutex must be held.
func (b *Broker) watch(e *execution, c *conn) {
	if !e.retryable() {
		return
	}
	w := &watch{sent: b.Clock()}
	// A timer for each read costs less than a goroutine, and most reads end before it expires.
	w.timer = time.AfterFunc(hedge.MinWait, func() { b.checkRead(e, c, w) })
	e.watched = w
}

// checkRead gives up a read, or sets the time of its next check.
func (b *Broker) checkRead(e *execution, c *conn, w *watch) {
	now := b.Clock()
	b.mu.Lock()
	if e.watched != w || w.reason != "" {
		b.mu.Unlock()
		return
	}
	spread := b.serviceTimes.Of(e.kind())
	d := hedge.Decide(hedge.Wait{
		Waited: now - w.sent, Left: e.deadline - now, LatencyObjective: e.arrived + e.req.LatencyObjective - w.sent,
		Spread: spread, Silence: now - c.server.respondedAt, Outstanding: c.server.unanswered, Suspect: c.server.suspect,
		GivenUp: e.givenUp, OtherServer: b.hasOtherServer(now, e),
	})
	if d.Reason == "" {
		if d.Next > 0 {
			w.timer.Reset(d.Next)
		}
		b.mu.Unlock()
		return
	}
	w.reason = d.Reason
	e.givenUp++
	c.givenUp = true
	counter := b.Metrics.ReadsUnanswered
	if d.Reason == hedge.ServerSilent {
		counter = b.Metrics.ReadsSilent
	}
	counter.Inc(1)
	b.Log.Info("read given up", "id", e.req.Statement.ID, "service", b.Service, "server", c.server.ID, "reason", d.Reason,
		"waited", now-w.sent, "mean", spread.Mean(), "tail", spread.Tail(), "given_up", e.givenUp,
		"silence", now-c.server.respondedAt, "outstanding", c.server.unanswered)
	b.mu.Unlock()
	_ = c.Close()
}

// hasOtherServer reports whether a server other than the one that a read waits for can run it. A reader of replicas
// leaves it to the owner, which may use all servers. The mutex must be held.
func (b *Broker) hasOtherServer(now time.Duration, e *execution) bool {
	if b.ReplicasOnly {
		return true
	}
	avoided := e.avoid
	e.avoid = e.server.ID
	choice, ok := b.choose(now, e, 0)
	e.avoid = avoided
	return ok && choice.Server != e.server.ID
}

// endWatch ends the observation of a read and records its service time. If the read was given up, its connection is
// closed, and o becomes the corresponding outcome. The mutex must be held.
func (b *Broker) endWatch(now time.Duration, e *execution, c *conn, o *outcome) {
	w := e.watched
	if w == nil {
		return
	}
	e.watched = nil
	w.timer.Stop()
	// The answer may have arrived while the read was given up. It is delivered unless it opens a transaction, which
	// ended with the connection.
	answered := o.err == nil && (w.reason == "" || o.response.State != statement.InTransaction)
	if w.reason != "" && !answered {
		o.err = errServerSilent
		if w.reason == hedge.NoAnswer {
			o.err = errNoAnswer
			// The service time is at least the time waited; without such reads the tail would be underestimated.
			b.serviceTimes.Observe(e.kind(), now-w.sent)
		}
	}
	if answered && o.ran && o.response.Code == statement.OK {
		b.serviceTimes.Observe(e.kind(), now-o.sent)
	}
	if o.err != nil && w.reason == "" && now >= e.deadline && now-c.server.respondedAt < hedge.MinWait {
		// The read ran to its deadline at a server that answers others.
		o.err = errors.Join(errNoAnswer, o.err)
	}
}

// kind returns the kind of a read.
func (e *execution) kind() hedge.Kind {
	return hedge.Kind{Consistency: e.req.Consistency, MaxStaleness: e.req.MaxStaleness,
		LatencyObjective: e.req.LatencyObjective, Transaction: e.req.Begin != 0}
}
