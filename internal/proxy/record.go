package proxy

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/link"
	"siskinrouter/internal/session"
	"siskinrouter/internal/verdict"
)

// Values of the column state of group_request.
const requestDone = "done"

// recordError is the failure of a control statement that belongs to a request with an id. A refusal by a
// former primary lets the request wait for the new one.
func recordError(v verdict.Verdict, err error) *verdict.Error {
	var refused *link.TargetError
	state := verdict.StateConnectionFailure
	if errors.As(err, &refused) && refused.SQLState == verdict.StateReadOnly {
		state = verdict.StateReadOnly
	}
	return verdict.Errorf(v, state, "record the request id: %w", err)
}

// outcome is what a target recorded for a request id.
type outcome struct {
	done     bool
	tag      string
	position session.Position
}

// runRecorded serves the first batch of a transaction that has a request id. The id is recorded in the
// target in the same transaction as the effect, so that a repeat is answered with the first outcome.
func (c *callerSession) runRecorded(ctx context.Context, r *request) error {
	if r.batch.several() {
		c.releaseLease()
		return errSeveral()
	}
	if deadline, ok := ctx.Deadline(); ok {
		c.lease.SetDeadline(deadline)
	}
	if !isBegin(r.batch.text()) && r.batch.ends() {
		return c.runSingle(ctx, r, c.requestID)
	}
	first, err := c.beginRecorded(c.requestID)
	if err != nil {
		c.dropLease()
		return recordError(verdict.NotRun, err)
	}
	if first.done {
		return c.replay(ctx, r, first)
	}
	if !isBegin(r.batch.text()) {
		c.dropLease()
		return verdict.Errorf(verdict.NotRun, verdict.StateFeatureNotSupported,
			"a request id needs the statement and its Sync message together, or an explicit transaction")
	}
	c.recording = c.requestID
	return c.answerBegin(r)
}

// errSeveral refuses a batch that could end a transaction before its outcome is recorded.
func errSeveral() *verdict.Error {
	return verdict.Errorf(verdict.NotRun, verdict.StateFeatureNotSupported,
		"a request id needs a single statement, or an explicit transaction whose statements are sent one by one")
}

// recordStatements open a transaction that may write and record the request id in it.
func recordStatements(id string) []string {
	return []string{"BEGIN READ WRITE", fmt.Sprintf("SELECT group_request('%s')", id)}
}

func (c *callerSession) beginRecorded(id string) (outcome, error) {
	results, err := c.lease.Pipeline(recordStatements(id)...)
	if err != nil {
		return outcome{}, err
	}
	return newOutcome(results[1])
}

func newOutcome(res link.Result) (outcome, error) {
	o := outcome{done: res.Column("state") == requestDone, tag: res.Column("tag")}
	if !o.done {
		return o, nil
	}
	var err error
	o.position, err = session.ParsePosition(res.Column("term") + "/" + res.Column("position"))
	return o, err
}

// answerBegin reports the transaction that beginRecorded opened.
func (c *callerSession) answerBegin(r *request) error {
	c.openStatus = 'T'
	c.answerTag(r.batch, "BEGIN", 'T')
	return c.flush()
}

// answerTag answers a batch as a target does that completes its statement with tag and no rows.
func (c *callerSession) answerTag(b *batch, tag string, status byte) {
	for _, it := range b.items {
		switch it.kind {
		case kindParse:
			c.send(&pgproto3.ParseComplete{})
		case kindBind:
			c.send(&pgproto3.BindComplete{})
		case kindDescribe:
			if it.stmt != nil {
				c.send(&pgproto3.ParameterDescription{})
			}
			c.send(&pgproto3.NoData{})
		case kindExecute, kindQuery:
			c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		}
		if it.kind == kindQuery || it.kind == kindSync {
			c.ready(status)
		}
	}
}

// replay answers a repeated request with its first outcome, once a majority holds it. The outcome is
// confirmed in the term of the primary that reported it: a log that ends in this term at or beyond the
// offset contains the outcome, also if that has an earlier term. A later term at a majority proves
// nothing, because the primary that reported the outcome may be a former one.
func (c *callerSession) replay(ctx context.Context, r *request, first outcome) error {
	if _, err := c.lease.Simple("ROLLBACK"); err != nil {
		c.dropLease()
		return recordError(verdict.Ran, err)
	}
	term := c.lease.Term
	c.releaseLease()
	ctx, cancel := context.WithTimeout(ctx, c.srv.cfg.ConfirmTimeout)
	defer cancel()
	if err := r.access.Group.Confirm(ctx, session.Position{Term: term, Offset: first.position.Offset}); err != nil {
		return err
	}
	c.srv.cfg.Policy.Explain(c.srv.cfg.Policy.NewID(), "repeat of a finished request answered with its first outcome",
		"tag "+first.tag, "position "+first.position.String())
	c.floor = maxPosition(c.floor, first.position)
	if isBegin(r.batch.text()) || len(first.tag) == 0 {
		e := verdict.Errorf(verdict.Ran, verdict.StateDuplicateRequest,
			"a transaction with this request id has already committed at %v", first.position)
		return c.refuseBatch(r.batch, e)
	}
	c.answerTag(r.batch, first.tag, 'I')
	c.insertToken('I')
	return c.flush()
}

func maxPosition(a, b session.Position) session.Position {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

// runSingle runs one batch in a transaction with the request id, records its outcome and commits. The
// batch is sent together with the request id; if the id turns out to be known, the transaction is rolled
// back, so that the batch has no effect. This saves a round trip over waiting for the answer first.
func (c *callerSession) runSingle(ctx context.Context, r *request, id string) error {
	x := &relay{c: c, r: r, ctx: ctx, lease: c.lease}
	first, err := x.runInside(recordStatements(id))
	if err != nil {
		c.dropLease()
		c.out = c.out[:0]
		return err
	}
	if first.done {
		c.out = c.out[:0]
		return c.replay(ctx, r, first)
	}
	if x.status == 'I' {
		c.dropLease()
		c.out = c.out[:0]
		return verdict.Errorf(verdict.MayHaveRun, verdict.StateFeatureNotSupported,
			"the statement ended the transaction in which its request id was to be recorded")
	}
	if x.status != 'T' {
		return c.abortSingle(x)
	}
	res, err := c.commitRecorded(id, x.tag)
	if err != nil {
		c.dropLease()
		c.out = c.out[:0]
		return recordError(verdict.MayHaveRun, err)
	}
	x.status = 'I'
	c.setFinalStatus('I')
	x.position, x.wrote = res.Position, res.Wrote
	if err := x.confirm(); err != nil {
		c.dropLease()
		c.out = c.out[:0]
		return err
	}
	return c.complete(x)
}

// abortSingle rolls back after the target refused the statement; its error has been queued already.
func (c *callerSession) abortSingle(x *relay) error {
	if _, err := c.lease.Simple("ROLLBACK"); err != nil {
		c.lease.Break()
	}
	x.status = 'I'
	c.setFinalStatus('I')
	return c.complete(x)
}

// setFinalStatus replaces the transaction status in the ReadyForQuery at the end of the output.
func (c *callerSession) setFinalStatus(status byte) { c.out[len(c.out)-1] = status }

func (c *callerSession) commitRecorded(id, tag string) (link.Result, error) {
	results, err := c.lease.Pipeline(outcomeStatement(id, tag), "COMMIT")
	if err != nil {
		return link.Result{}, err
	}
	return results[1], nil
}

func outcomeStatement(id, tag string) string {
	return fmt.Sprintf("SELECT group_outcome('%s', '%s')", id, tag)
}

// recordOutcome records the outcome of the open transaction ahead of its COMMIT.
func (c *callerSession) recordOutcome(ctx context.Context, tag string) error {
	deadline, _ := ctx.Deadline() // the zero time removes the bound
	c.lease.SetDeadline(deadline)
	if _, err := c.lease.Simple(outcomeStatement(c.recording, tag)); err != nil {
		return recordError(verdict.NotRun, err)
	}
	return nil
}

// runInside exchanges a batch after the statements that record its request id, without confirming it,
// because the commit comes later. It returns what the target knew of the request id.
func (x *relay) runInside(record []string) (outcome, error) {
	for _, s := range record {
		if err := x.lease.QueueSimple(s); err != nil {
			return outcome{}, recordError(verdict.NotRun, err)
		}
	}
	if err := x.sendAll(); err != nil {
		return outcome{}, recordError(verdict.NotRun, err)
	}
	results, err := x.lease.ReceiveSimple(record...)
	if err != nil {
		// Without a COMMIT nothing of the transaction takes effect.
		return outcome{}, recordError(verdict.NotRun, err)
	}
	first, err := newOutcome(results[1])
	if err != nil {
		return first, recordError(verdict.NotRun, err)
	}
	if err := x.receiveAll(); err != nil {
		return first, recordError(verdict.NotRun, err)
	}
	if x.written == nil {
		return first, nil
	}
	if err := <-x.written; err != nil {
		return first, recordError(verdict.NotRun, err)
	}
	return first, nil
}
