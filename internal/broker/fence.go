package broker

import (
	"errors"
	"time"

	"siskinrouter/internal/statement"
)

// A fenced server is a primary that has been replaced, or that a pending promotion may replace at any time. It still
// acknowledges writes until it learns of its successor, which then drops them. Therefore nothing that changes data is
// sent to a fenced server, and a response that was not received before the fence counts as lost.

// errFenced means that the statement was not sent, because its server is no longer the primary.
var errFenced = errors.New("the server is no longer the primary")

// fence ends the use of a server as the primary: it rolls back the open transactions there and closes the connections
// on which statements are running. Servers are named by id, because a server that was listed anew has transactions from
// before. Once the connections returned are closed, nothing can be committed at the server. The mutex must be held.
func (b *Broker) fence(id string) (open []*conn) {
	if id == "" || b.fenced[id] {
		return nil
	}
	b.fenced[id] = true
	for key, t := range b.txs {
		if t.conn.server.ID != id || t.readOnly || t.busy {
			continue
		}
		b.Log.Info("transaction rolled back", "service", b.Service, "server", id, "link", key.Link, "stream", key.Stream,
			"reason", "the primary is being replaced")
		delete(b.txs, key)
		go b.rollBack(t.conn)
	}
	for _, e := range b.executions {
		if e.conn != nil && e.conn.server.ID == id && e.changesData() {
			b.Log.Info("statement broken off", "id", e.req.Statement.ID, "service", b.Service, "server", id,
				"kind", e.req.Statement.Kind, "reason", "the primary is being replaced")
			open = append(open, e.conn)
		}
	}
	return open
}

// fencePrimary fences the current primary and closes the connections in use there.
func (b *Broker) fencePrimary() {
	b.mu.Lock()
	open := b.fence(b.primary)
	b.mu.Unlock()
	closeAll(open)
}

// changesData reports whether the statement, or the transaction that it belongs to, may change data.
func (e *execution) changesData() bool {
	if e.tx != nil {
		return !e.tx.readOnly
	}
	return e.needsPrimary()
}

// begin reports whether a statement may be sent on a connection, and registers the connection so that a fence can
// close it.
func (b *Broker) begin(e *execution, c *conn) error {
	if !b.mayRun() {
		return errNoLease
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fenced[c.server.ID] && e.changesData() {
		return errFenced
	}
	e.conn = c
	c.server.unanswered++
	b.watch(e, c)
	return nil
}

// acknowledges reports whether the response of a statement promises the caller that data was changed.
func (e *execution) acknowledges(o outcome) bool {
	if o.err != nil || o.response.Code != statement.OK {
		return false
	}
	if e.req.Statement.Kind == statement.Commit {
		return e.tx != nil && e.tx.wrote
	}
	return e.req.Writes() && e.req.Begin == 0 && e.tx == nil
}

// mayRun reports whether this VM may use the service's servers: it holds the lease, or it handed the service over less
// than handOverGrace ago. A successor waits longer than that before it replaces a primary that does not step down.
func (b *Broker) mayRun() bool {
	if b.Lease.Valid(b.Service) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed && b.LeaseClock() < b.graceEnd
}

// awaitPredecessor waits until a previous owner that handed the service over can no longer run statements. It learns
// that its ownership has ended before this VM's lease becomes valid.
func (b *Broker) awaitPredecessor() {
	if b.TakenOver {
		return
	}
	b.mu.Lock()
	since := b.leaseSince
	b.mu.Unlock()
	if wait := since + handOverGrace + handOverMargin - b.LeaseClock(); wait > 0 {
		time.Sleep(wait)
	}
}
