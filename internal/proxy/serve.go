package proxy

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/link"
	"siskinrouter/internal/retry"
	"siskinrouter/internal/session"
	"siskinrouter/internal/target"
	"siskinrouter/internal/verdict"
)

// request is the state of one batch while it is served.
type request struct {
	batch   *batch
	access  *Access
	read    bool            // may be served by a replica
	since   time.Duration   // start of the request
	first   bool            // it starts a transaction
	exclude map[string]bool // servers that failed it
	attempt int
	open    bool  // the outcome of an attempt is not known
	flushed bool  // a part of the answer has been sent to the caller
	sent    int64 // bytes that reached a target in the last attempt
}

// serve answers a batch. An error ends the session.
func (c *callerSession) serve(ctx context.Context, b *batch) error {
	if c.skipToSync {
		return c.endSkip(b)
	}
	if b.fault != nil {
		return c.refuseBatch(b, b.fault)
	}
	if b.local != nil {
		return c.serveLocal(b)
	}
	if c.lease != nil {
		return c.continueTransaction(ctx, b)
	}
	if len(b.items) == 1 && b.items[0].kind != kindQuery && !needsTarget(b) {
		return c.answerEmpty(b)
	}
	return c.startTransaction(ctx, b)
}

// needsTarget reports whether any message of b must reach a target.
func needsTarget(b *batch) bool {
	for _, it := range b.items {
		switch it.kind {
		case kindSync, kindFlush, kindCloseStatement:
		default:
			return true
		}
	}
	return false
}

func (c *callerSession) answerEmpty(b *batch) error {
	for _, it := range b.items {
		switch it.kind {
		case kindCloseStatement:
			c.send(&pgproto3.CloseComplete{})
		case kindSync:
			c.ready('I')
		}
	}
	return c.flush()
}

// endSkip ends the series of messages that followed an error.
func (c *callerSession) endSkip(b *batch) error {
	if b.ends() {
		c.skipToSync = false
		c.ready(c.txStatus())
	}
	return c.flush()
}

// refuseBatch answers b with an error. Messages up to the next Sync are ignored, as the protocol asks.
func (c *callerSession) refuseBatch(b *batch, e *verdict.Error) error {
	c.refuse("ERROR", e)
	if b.ends() {
		c.ready(c.txStatus())
	} else {
		c.skipToSync = true
	}
	return c.flush()
}

// startTransaction serves the first batch of a transaction.
func (c *callerSession) startTransaction(ctx context.Context, b *batch) error {
	access, err := c.srv.cfg.Policy.Renew(c.currentAccess())
	if err != nil {
		return err
	}
	c.access.Store(access)
	r := &request{batch: b, access: access, first: true, since: c.srv.cfg.Clock()}
	r.read = access.Route.ReadOnly || c.readOnly
	ctx, cancel := context.WithTimeout(ctx, c.timeout(access))
	defer cancel()
	if b.runs() {
		defer func() { c.requestID = "" }() // also after a refusal, so that no other request takes the id
		if err := c.srv.cfg.Policy.Admit(ctx, access); err != nil {
			return c.refuseBatch(b, asVerdict(err, verdict.NotRun, verdict.StateRateExceeded))
		}
		c.srv.cfg.Metrics.Requests.Inc(1)
		c.srv.cfg.Policy.CountRequest()
	}
	return c.attempts(ctx, r)
}

// attempts serves r, again on another server when the verdict and the retry budget allow it.
func (c *callerSession) attempts(ctx context.Context, r *request) error {
	for {
		err := c.attempt(ctx, r)
		if err == nil {
			return nil
		}
		var fatal *callerGone
		if errors.As(err, &fatal) {
			return err
		}
		e := asVerdict(err, verdict.MayHaveRun, verdict.StateUnknownResolution)
		// A discarded write has no lasting effect, but others may have read it before, so that a caller
		// who is refused in the end is not told that it did not run.
		r.open = r.open || e.Verdict == verdict.MayHaveRun || errors.Is(e, target.ErrDiscarded)
		if !c.mayRetry(ctx, r, e) {
			return c.refuseBatch(r.batch, r.final(e))
		}
		c.srv.cfg.Metrics.Retries.Inc(1)
		r.attempt++
		if waitsForPrimary(r, e) {
			pause(ctx)
		}
	}
}

// final returns the refusal of the request after its last attempt ended with e. An earlier attempt with an
// open outcome keeps the outcome of the request open.
func (r *request) final(e *verdict.Error) *verdict.Error {
	if !r.open || e.Verdict != verdict.NotRun {
		return e
	}
	return verdict.Errorf(verdict.MayHaveRun, verdict.StateUnknownResolution,
		"an earlier attempt may have run, and the last one failed: %s", e.Reason)
}

// mayRetry reports whether r may be sent again after e. A write that the former primary refused waits for
// the new one until its deadline; that adds no load, so it is not charged to the retry budget.
func (c *callerSession) mayRetry(ctx context.Context, r *request, e *verdict.Error) bool {
	if ctx.Err() != nil || r.flushed {
		return false
	}
	if waitsForPrimary(r, e) {
		return true
	}
	if !retryable(e) {
		return false
	}
	// The target executes a request with an id at most once, however often it is sent.
	repeatable := r.read || r.access.Route.Repeatable || c.requestID != ""
	decision, _ := c.srv.cfg.Policy.Retry(retry.Failure{
		Verdict: e.Verdict, Repeatable: repeatable, BytesSent: r.sent, Attempt: r.attempt + 1,
	})
	return decision == retry.RetryElsewhere
}

// waitsForPrimary reports whether a request did not run because its group is changing the primary. Such
// attempts are spaced by primaryPause, so they cause no storm.
func waitsForPrimary(r *request, e *verdict.Error) bool {
	if e.Verdict != verdict.NotRun {
		return false
	}
	return e.SQLState == verdict.StateReadOnly || !r.read && e.SQLState == verdict.StateConnectionFailure
}

// primaryPause is the time between attempts while a group changes its primary.
const primaryPause = 10 * time.Millisecond

// pause waits before another attempt when the view of the group has to catch up.
func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(primaryPause):
	}
}

// retryable reports whether another attempt can end differently.
func retryable(e *verdict.Error) bool {
	return e.SQLState == verdict.StateConnectionFailure || e.SQLState == verdict.StateUnknownResolution
}

// attempt gets a link and exchanges the batch with it.
func (c *callerSession) attempt(ctx context.Context, r *request) error {
	r.sent = 0
	lease, err := c.acquire(ctx, r)
	if err != nil {
		return err
	}
	c.setLease(lease)
	if c.requestID != "" && !c.srv.cfg.Without.RequestIDs && lease.Primary && !r.read && r.batch.runs() {
		return c.runRecorded(ctx, r)
	}
	return c.exchange(ctx, r)
}

func (c *callerSession) acquire(ctx context.Context, r *request) (*target.Lease, error) {
	w := link.Waiter{Workspace: r.access.Workspace.Name, Weight: r.access.Workspace.Weight}
	w.Deadline, _ = ctx.Deadline()
	if !r.read {
		return c.acquirePrimary(ctx, r, w)
	}
	floor, err := c.readFloor(ctx, r)
	if err != nil {
		return nil, err
	}
	return r.access.Group.AcquireRead(ctx, w, target.Read{
		Floor: floor, MaxAge: r.access.Route.MaxAge, Exclude: r.exclude,
	})
}

// acquirePrimary returns a link to the primary. A server that leads in an earlier term than that of the
// session's last write was superseded and may lack the write.
func (c *callerSession) acquirePrimary(ctx context.Context, r *request, w link.Waiter) (*target.Lease, error) {
	lease, err := r.access.Group.AcquirePrimary(ctx, w)
	if err != nil || lease.Term >= c.floor.Term || c.srv.cfg.Without.PrimaryTerm {
		return lease, err
	}
	lease.Release()
	return nil, verdict.Errorf(verdict.NotRun, verdict.StateReadOnly,
		"target %s is no longer the primary: it leads in term %d, and the session has a write of term %d",
		lease.Server, lease.Term, c.floor.Term)
}

// readFloor returns the position that a read must see: the caller's own if it carries one, otherwise
// that of the last write acknowledged in the group before the read arrived.
func (c *callerSession) readFloor(ctx context.Context, r *request) (session.Position, error) {
	if c.srv.cfg.Without.ReadFloor {
		return session.Position{}, nil
	}
	if c.carriesToken {
		return c.floor, nil
	}
	since := r.access.Group.Demand()
	floor, _, err := r.access.Group.Floor(ctx, since)
	return floor, err
}

// continueTransaction serves a batch inside an open transaction. If the transaction is lost, the session ends as
// with a server that failed: further statements of the caller would otherwise run outside of a transaction.
func (c *callerSession) continueTransaction(ctx context.Context, b *batch) error {
	a := c.currentAccess()
	ctx, cancel := context.WithTimeout(ctx, c.timeout(a))
	defer cancel()
	r := &request{batch: b, access: a, since: c.srv.cfg.Clock()}
	r.read = a.Route.ReadOnly || c.readOnly
	if c.recording != "" && b.several() {
		return c.refuseBatch(b, errSeveral())
	}
	if c.recording != "" && isCommit(b.text()) {
		if err := c.recordOutcome(ctx, "COMMIT"); err != nil {
			return asVerdict(err, verdict.NotRun, verdict.StateConnectionFailure)
		}
	}
	err := c.exchange(ctx, r)
	var fatal *callerGone
	if err == nil || errors.As(err, &fatal) {
		return err
	}
	e := asVerdict(err, verdict.MayHaveRun, verdict.StateUnknownResolution)
	r.open = errors.Is(e, target.ErrDiscarded)
	return r.final(e)
}

func (c *callerSession) timeout(a *Access) time.Duration {
	if a.Route.Timeout > 0 {
		return a.Route.Timeout
	}
	return c.srv.cfg.RequestTimeout
}

func (c *callerSession) token(a *Access) session.Token {
	return session.Token{Workspace: a.Workspace.Name, Group: a.Group.Name(), Position: c.floor}
}

// isBegin and isCommit recognise transaction statements by their first word. They only decide when a
// request id is recorded; a statement that they miss is refused or recorded per statement.
func isBegin(text string) bool { return hasWord(text, "begin") || hasWord(text, "start") }

func isCommit(text string) bool { return hasWord(text, "commit") || hasWord(text, "end") }

func hasWord(text, word string) bool {
	text = strings.TrimSpace(text)
	if len(text) < len(word) || !strings.EqualFold(text[:len(word)], word) {
		return false
	}
	return len(text) == len(word) || strings.ContainsRune(" ;\t\n", rune(text[len(word)]))
}

// countRead counts a read transaction by the role of the server that served it.
func (c *callerSession) countRead(primary bool) {
	if primary {
		c.srv.cfg.Metrics.PrimaryReads.Inc(1)
	} else {
		c.srv.cfg.Metrics.ReplicaReads.Inc(1)
	}
}
