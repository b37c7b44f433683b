package proxy

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/session"
	"siskinrouter/internal/verdict"
)

// callerGone says that the caller can no longer be reached.
type callerGone struct{ err error }

func (e *callerGone) Error() string { return fmt.Sprintf("caller connection: %v", e.err) }

func (e *callerGone) Unwrap() error { return e.err }

const (
	// flushSize is the amount of output after which rows are passed on before the statement ends, in bytes.
	flushSize = 32 << 10
	// maxHeld is the most output that is held back until a write is confirmed, in bytes.
	maxHeld = 16 << 20
	// directWrite is the largest batch that is written before the answers are read, in bytes. A larger
	// one is written by a goroutine, because the target may stop reading until its answers are read.
	directWrite = 64 << 10
)

// paramPosition is the parameter by which a target reports the log position of a committed write.
const paramPosition = "group_position"

// exchange sends a batch over the session's link and relays the answers. On failure the link is
// closed and nothing of the answer has been sent unless r.flushed is set.
func (c *callerSession) exchange(ctx context.Context, r *request) error {
	x := &relay{c: c, r: r, ctx: ctx, lease: c.lease}
	err := x.run()
	if err == nil {
		return c.complete(x)
	}
	c.dropLease()
	c.out = c.out[:0]
	return err
}

// complete passes the answer on and releases the link if the transaction is over.
func (c *callerSession) complete(x *relay) error {
	c.openStatus = x.status
	if x.status == 'I' || c.srv.cfg.Without.OwnLink {
		c.recording = ""
		if x.r.read {
			c.countRead(x.lease.Primary)
		}
		c.releaseLease()
	}
	if err := c.flush(); err != nil {
		return &callerGone{err}
	}
	return nil
}

// relay is one exchange with a target.
type relay struct {
	c        *callerSession
	r        *request
	ctx      context.Context
	lease    leaseLink
	expects  []expect
	status   byte             // transaction status of the last ReadyForQuery
	position session.Position // of the write that the exchange committed
	wrote    bool
	demand   time.Duration // start of the status queries that prove the primary's term
	verify   bool          // the primary's term must be proved before the answer is passed on
	tag      string        // last command tag
	held     bool          // the output contains the end of a statement
	failed   bool          // the target reported an error
	ended    bool          // the batch itself has committed a transaction
	written  chan error    // result of a write in the background
	before   int64         // bytes that the link had sent before
}

func (x *relay) run() error {
	if deadline, ok := x.ctx.Deadline(); ok {
		x.lease.SetDeadline(deadline)
	}
	// A read was given a server that reaches its floor, whichever role it has; it needs no proof of a term.
	if x.lease.Primary && !x.r.read && !x.c.carriesToken && !x.c.srv.cfg.Without.PrimaryTerm {
		x.verify = true
		x.demand = x.r.access.Group.Demand()
	}
	x.r.sent = int64(len(x.r.batch.buf))
	x.before = x.lease.Sent()
	if err := x.sendInMode(); err != nil {
		return x.linkError(err)
	}
	if err := x.receiveAll(); err != nil {
		return err
	}
	if x.written != nil {
		if err := <-x.written; err != nil {
			return x.linkError(err)
		}
	}
	return x.confirm()
}

// sendInMode sends the batch. A transaction of a read starts in read-only mode on every server, because a
// replica may have become the primary since it was chosen.
func (x *relay) sendInMode() error {
	mode := ""
	if x.r.first {
		var err error
		if mode, err = x.lease.QueueMode(x.r.read); err != nil {
			return err
		}
	}
	if err := x.sendAll(); err != nil || mode == "" {
		return err
	}
	_, err := x.lease.ReceiveSimple(mode)
	return err
}

// linkError returns the verdict after the link failed. What was sent may have run, unless it was a read. A
// link to a silent server can be closed between its choice and the first byte; nothing has run then.
func (x *relay) linkError(err error) error {
	v := verdict.MayHaveRun
	state := verdict.StateUnknownResolution
	unsent := x.r.first && x.lease.Sent() == x.before
	if unsent {
		x.r.sent = 0
	}
	if x.r.read || unsent || x.c.srv.cfg.Without.OpenOutcome {
		v = verdict.NotRun
	}
	if x.r.read || unsent {
		state = verdict.StateConnectionFailure
	}
	if x.r.exclude == nil {
		x.r.exclude = make(map[string]bool)
	}
	x.r.exclude[x.lease.Server] = true
	return verdict.Errorf(v, state, "connection to target %s failed during the request: %w", x.lease.Server, err)
}

// confirm waits until the answer may be passed on: a write is held by a majority, or the primary
// that answered a read was still the primary after the read arrived.
func (x *relay) confirm() error {
	ctx, cancel := context.WithTimeout(x.ctx, x.c.srv.cfg.ConfirmTimeout)
	defer cancel()
	if !x.wrote {
		return x.verifyTerm(ctx)
	}
	if !x.c.srv.cfg.Without.Confirmation {
		if err := x.r.access.Group.Confirm(ctx, x.position); err != nil {
			return err
		}
	}
	x.c.srv.cfg.Metrics.Writes.Inc(1)
	if x.position.Compare(x.c.floor) > 0 {
		x.c.floor = x.position
	}
	x.c.insertToken(x.status)
	return nil
}

// insertToken reports the session's new position ahead of the final ReadyForQuery, if the output ends with
// one: a caller that asked for a flush only gets it later.
func (c *callerSession) insertToken(status byte) {
	if n := len(c.out); n < readySize || c.out[n-readySize] != 'Z' {
		return
	}
	c.out = c.out[:len(c.out)-readySize]
	c.send(&pgproto3.ParameterStatus{Name: paramSession, Value: c.sessionToken()})
	c.ready(status)
}

// readySize is the length of an encoded ReadyForQuery message in bytes.
const readySize = 6

// verifyTerm waits for a majority to show that no later term existed when the request arrived.
func (x *relay) verifyTerm(ctx context.Context) error {
	if !x.verify || x.failed {
		return nil
	}
	_, term, err := x.r.access.Group.Floor(ctx, x.demand)
	if err != nil {
		return err
	}
	if term > x.lease.Term {
		return verdict.Errorf(verdict.NotRun, verdict.StateReadOnly,
			"target %s is no longer the primary: term %d was followed by %d", x.lease.Server, x.lease.Term, term)
	}
	x.verify = false
	return nil
}

// receiveAll relays answers until the target waits for the next request.
func (x *relay) receiveAll() error {
	for {
		x.synthesize()
		if x.finished() {
			return nil
		}
		msg, err := x.lease.Receive()
		if err != nil {
			return x.linkError(err)
		}
		if err := x.handle(msg); err != nil {
			return err
		}
		if err := x.passOn(); err != nil {
			return err
		}
	}
}

// finished reports whether all answers of the batch have arrived.
func (x *relay) finished() bool {
	return len(x.expects) == 0
}

// handle processes one message of the target.
func (x *relay) handle(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		x.status = m.TxStatus
		x.expects = nil
		x.c.ready(m.TxStatus)
		return nil
	case *pgproto3.ParameterStatus:
		return x.parameter(m)
	case *pgproto3.ErrorResponse:
		return x.targetError(m)
	case *pgproto3.NoticeResponse:
		x.c.send(m)
		return nil
	case *pgproto3.NotificationResponse:
		x.lease.Break()
		return nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return verdict.Errorf(x.refusal(), verdict.StateFeatureNotSupported, "COPY is not supported")
	case *pgproto3.CommandComplete:
		x.held = true
		x.tag = string(m.CommandTag)
		x.ended = x.ended || x.tag == "COMMIT"
		if leavesState(x.tag) {
			x.lease.Break()
		}
	}
	x.answer(msg)
	return nil
}

// leavesState reports whether a statement may change the state of the connection in a way that a later
// caller could notice. Such a link is closed after the transaction.
func leavesState(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	switch word {
	case "SET", "LISTEN", "PREPARE", "LOAD", "DISCARD", "DEALLOCATE", "DECLARE":
		return true
	}
	return false
}

// parameter takes the position of a write; any other change means that the connection has a state
// that the next caller must not see.
func (x *relay) parameter(m *pgproto3.ParameterStatus) error {
	if m.Name != paramPosition {
		x.lease.Break()
		return nil
	}
	p, err := session.ParsePosition(m.Value)
	if err != nil {
		return verdict.Errorf(verdict.MayHaveRun, verdict.StateUnknownResolution,
			"target %s reported an invalid position: %w", x.lease.Server, err)
	}
	x.position = p
	x.wrote = true
	return nil
}

// targetError relays an error of the target, or turns it into a failure that allows another attempt.
func (x *relay) targetError(m *pgproto3.ErrorResponse) error {
	if m.Severity == "FATAL" || m.Severity == "PANIC" {
		return x.linkError(fmt.Errorf("%s (SQLSTATE %s)", m.Message, m.Code))
	}
	if m.Code == verdict.StateReadOnly && x.lease.Primary && !x.r.read && x.r.first && !x.r.flushed && !x.ended {
		return verdict.Errorf(verdict.NotRun, verdict.StateReadOnly,
			"target %s is no longer the primary: %s", x.lease.Server, m.Message)
	}
	x.failed = true
	x.held = true
	detail := "verdict=" + x.refusal().String()
	if m.Detail != "" {
		detail = m.Detail + " " + detail
	}
	m.Detail = detail
	x.c.send(m)
	x.dropUntilSync()
	return nil
}

// refusal returns the verdict after the target refused a statement. Its transaction is rolled back, but
// an earlier part of the batch may have committed by itself, and an earlier attempt may have run.
func (x *relay) refusal() verdict.Verdict {
	if x.ended || x.r.open {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// passOn sends rows to the caller before the statement ends, so that large results need little memory.
func (x *relay) passOn() error {
	if len(x.c.out) < flushSize {
		return nil
	}
	if x.held && x.lease.Primary {
		if len(x.c.out) > maxHeld {
			return verdict.Errorf(verdict.MayHaveRun, verdict.StateProgramLimit,
				"more than %d bytes of results before the end of the transaction", maxHeld)
		}
		return nil
	}
	if err := x.verifyTerm(x.ctx); err != nil {
		return err
	}
	x.r.flushed = true
	if err := x.c.flush(); err != nil {
		return &callerGone{err}
	}
	return nil
}
