package proxy

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/target"
)

type leaseLink = *target.Lease

// expect is the answer that is due for one message of a batch. The target answers in order.
type expect struct {
	kind      kind
	swallow   bool                    // the caller did not send the message
	synthetic pgproto3.BackendMessage // sent instead of an answer of the target; nil if the target answers
	prepared  string                  // statement that the target has once this answer arrives
}

// sendAll sends the batch, adding the preparations that the link lacks.
func (x *relay) sendAll() error {
	pending := make(map[string]bool)
	for i := range x.r.batch.items {
		it := &x.r.batch.items[i]
		if err := x.sendItem(it, pending); err != nil {
			return err
		}
	}
	if x.lease.Queued() <= directWrite {
		return x.lease.Flush()
	}
	x.written = make(chan error, 1)
	go func() { x.written <- x.lease.Flush() }()
	return nil
}

// sendItem queues one message. pending names the statements whose preparation is queued.
func (x *relay) sendItem(it *item, pending map[string]bool) error {
	switch it.kind {
	case kindParse:
		return x.sendParse(it, pending)
	case kindCloseStatement:
		// Prepared statements of the target outlive those of the caller, since callers share them.
		x.expects = append(x.expects, expect{kind: it.kind, synthetic: &pgproto3.CloseComplete{}})
		return nil
	case kindFlush:
		x.lease.SendRaw(x.r.batch.buf[it.start:it.end])
		return nil
	}
	if it.stmt != nil {
		if err := x.prepare(it.stmt, pending, true); err != nil {
			return err
		}
	}
	x.expects = append(x.expects, expect{kind: it.kind})
	x.lease.SendRaw(x.r.batch.buf[it.start:it.end])
	return nil
}

func (x *relay) sendParse(it *item, pending map[string]bool) error {
	if x.lease.Has(it.stmt.linkName) || pending[it.stmt.linkName] {
		x.expects = append(x.expects, expect{kind: kindParse, synthetic: &pgproto3.ParseComplete{}})
		return nil
	}
	return x.prepare(it.stmt, pending, false)
}

// prepare queues the preparation of stmt if the link lacks it.
func (x *relay) prepare(stmt *statement, pending map[string]bool, swallow bool) error {
	if x.lease.Has(stmt.linkName) || pending[stmt.linkName] {
		return nil
	}
	pending[stmt.linkName] = true
	x.expects = append(x.expects, expect{kind: kindParse, swallow: swallow, prepared: stmt.linkName})
	return x.lease.Send(&pgproto3.Parse{Name: stmt.linkName, Query: stmt.query, ParameterOIDs: stmt.types})
}

// synthesize sends the answers that are due next and need no target.
func (x *relay) synthesize() {
	for len(x.expects) > 0 && x.expects[0].synthetic != nil {
		x.c.send(x.expects[0].synthetic)
		x.expects = x.expects[1:]
	}
}

// answer relays a message that belongs to the first expected answer.
func (x *relay) answer(msg pgproto3.BackendMessage) {
	if len(x.expects) == 0 {
		x.lease.Break()
		return
	}
	e := x.expects[0]
	if !e.swallow {
		x.c.send(msg)
	}
	if !completes(e.kind, msg) {
		return
	}
	x.expects = x.expects[1:]
	if e.prepared != "" {
		x.notePrepared(e.prepared)
	}
}

// notePrepared records a preparation. The target keeps the statements that the link forgets until
// it is closed, so a link that reached its bound is closed after the transaction.
func (x *relay) notePrepared(name string) {
	if evicted := x.lease.Prepared(name); evicted != "" {
		x.lease.Break()
	}
}

// completes reports whether msg is the last message of the answer to a message of kind k.
func completes(k kind, msg pgproto3.BackendMessage) bool {
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		return k == kindParse
	case *pgproto3.BindComplete:
		return k == kindBind
	case *pgproto3.CloseComplete:
		return k == kindClosePortal
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return k == kindDescribe
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return k == kindExecute
	}
	return false
}

// dropUntilSync forgets the answers that the target skips after an error.
func (x *relay) dropUntilSync() {
	for len(x.expects) > 0 && x.expects[0].kind != kindSync && x.expects[0].kind != kindQuery {
		x.expects = x.expects[1:]
	}
	if len(x.expects) == 0 {
		x.c.skipToSync = true
	}
}
