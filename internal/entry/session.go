package entry

import (
	"container/list"
	"errors"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	position "siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

const (
	// defaultTimeout is the statement timeout of routes that set none.
	defaultTimeout = 10 * time.Second
	// ResponseMargin is how long an owner's response may take beyond the timeout of the statement.
	ResponseMargin = 300 * time.Millisecond
)

// session is one session of a caller.
type session struct {
	server      *Server
	conn        Conn
	database    string
	key         string
	workspace   string
	route       directory.Route
	settings    []statement.Setting
	prepared    map[string]statement.PreparedQuery
	minPosition position.Position // position of the last acknowledged write
	state       statement.State
	tx          transaction
	account     *account
	// waiting is the element of Server.unstarted, nil once started; counted is the workspace for which the session counts
	// in Server.workspaces. Both are under the mutex of the server.
	waiting       *list.Element
	counted       *string
	idleSince     atomic.Int64 // when the session became idle outside of a transaction, in nanoseconds since 1970; 0 if it is not
	readyAt       time.Time    // when the session was accepted; zero once it has sent a statement
	ending        atomic.Int32 // an endReason, 0 while the session goes on
	busy          atomic.Bool  // a statement is running or its response is being written
	closeWhenIdle atomic.Bool  // close the session once it is idle
}

// transaction is the open transaction of a session.
type transaction struct {
	begin    statement.Kind // zero outside of a transaction
	stream   uint64
	executor Executor // nil until a statement has run
	aborted  string   // why this VM has rolled it back, empty if it has not
}

// run serves the session until it ends.
func (s *session) run() {
	defer s.account.close()
	if !s.start() {
		return
	}
	defer s.rollBack()
	for {
		st, err := s.read()
		if err != nil {
			s.end(err)
			return
		}
		s.busy.Store(true)
		s.readyAt = time.Time{}
		response := s.handle(st)
		response.State = s.state
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.server.AnswerTimeout))
		err = s.conn.WriteResponse(response)
		response.Held.Release()
		s.busy.Store(false)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.server.counters.slowReaders.Inc(1)
			s.server.logLimit("session ended", "database", s.database, "workspace", s.workspace, "reason", "answer not read in time")
		}
		if err != nil || response.Code == statement.AuthFailed {
			return
		}
	}
}

// start reads the startup message and accepts or refuses the session.
func (s *session) start() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(s.server.StartupTimeout))
	if s.ending.Load() != 0 {
		s.end(errClosed)
		return false
	}
	var err error
	if s.database, s.key, err = s.conn.ReadStartup(); err != nil {
		s.end(err)
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	if err := s.account.ChargeState(int64(len(s.database) + len(s.key))); err != nil {
		s.end(err)
		return false
	}
	if refused := s.authorize(); refused != nil {
		s.server.Log.Info("session refused", "database", s.database, "code", refused.Code)
		_ = s.conn.WriteError(*refused)
		return false
	}
	s.server.started(s)
	s.readyAt = time.Now()
	return s.conn.WriteReady() == nil
}

// firstStatementTime is how long a session that was accepted during a drain is kept for its first statement, which callers
// send at once. A close meanwhile would leave them without an answer.
const firstStatementTime = 500 * time.Millisecond

// expectsFirst reports whether the first statement of the session is probably on its way.
func (s *session) expectsFirst() bool {
	return !s.readyAt.IsZero() && time.Since(s.readyAt) < firstStatementTime
}

// end sends the caller an error if the session ends because of a message, or because of a limit.
func (s *session) end(err error) {
	code := statement.Malformed
	reason := endReason(s.ending.Load())
	switch {
	case errors.Is(err, ErrTooLarge):
		s.server.counters.tooLarge.Inc(1)
		code = statement.TooLarge
	case errors.Is(err, ErrNoMemory):
		s.server.counters.noMemory.Inc(1)
		code = statement.Overloaded
	case errors.Is(err, ErrMalformed):
	case reason == endUnstarted, reason == endNoMemory, reason == endCrowded:
		// The last message, if there is one, was not read completely and has not run.
		code = statement.Overloaded
		err = reason.err()
	case reason != 0:
		code = statement.TimedOut
		err = reason.err()
	default:
		return
	}
	// What the session holds is not needed any more.
	s.rollBack()
	s.account.close()
	s.server.counters.refused.Inc(1)
	s.server.logLimit("session ended", "database", s.database, "workspace", s.workspace, "code", code, "error", err)
	_ = s.conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if err := s.conn.WriteError(statement.Refusal(code, err.Error())); err != nil {
		s.server.Log.Debug("refusal not delivered", "database", s.database, "error", err)
		return
	}
	s.conn.CloseGently()
}

// authorize sets the route and the workspace of the session from the configuration in effect. It returns the
// response that refuses the session, or nil.
func (s *session) authorize() *statement.Response {
	c := s.server.Router.View().Configuration
	if c == nil {
		refusal := statement.Refusal(statement.Overloaded, "this VM has no configuration yet")
		return &refusal
	}
	route, ok := c.Routes[s.database]
	if !ok {
		refusal := statement.Refusal(statement.UnknownDatabase, "no route to this database")
		return &refusal
	}
	workspace, ok := c.Keys[s.key]
	if !ok && !route.NoKey {
		refusal := statement.Refusal(statement.AuthFailed, "the key is not valid")
		return &refusal
	}
	s.route = route
	s.workspace = workspace
	return nil
}

// read returns the next statement. While it waits it closes the session if it may not continue, and rolls
// back a transaction that exceeds the idle timeout.
func (s *session) read() (statement.Statement, error) {
	idleSince := time.Now()
	if s.state == statement.Idle {
		s.idleSince.Store(idleSince.UnixNano())
		s.account.idle(idleSince)
	}
	for {
		if s.mustClose() {
			return statement.Statement{}, errClosed
		}
		switch {
		case s.tx.executor != nil && s.keyWithdrawn():
			s.abort(keyNotValid)
		case s.state == statement.InTransaction && s.tx.aborted == "" && s.server.stopping.Load():
			s.abort(vmStops)
		}
		limit := s.idleTimeout()
		var deadline time.Time
		if limit > 0 {
			deadline = idleSince.Add(limit)
		}
		// A wake between the check above and this line is lost; the next RecheckIdle repeats it.
		if err := s.conn.SetReadDeadline(deadline); err != nil {
			return statement.Statement{}, err
		}
		// Unlike RecheckIdle, interrupt is not repeated.
		if s.ending.Load() != 0 {
			return statement.Statement{}, errClosed
		}
		st, err := s.conn.Read()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			s.idleSince.Store(0)
			s.account.running()
			return st, err
		}
		if limit > 0 && time.Since(idleSince) >= limit {
			s.abort("the transaction rested for too long")
		}
	}
}

// vmStops is the reason why a transaction ends, or a statement does not run, on a VM that is about to exit.
const vmStops = "this VM is about to exit"

// keyNotValid is the reason why a transaction ends whose key has been withdrawn.
const keyNotValid = "the key is no longer valid"

// abort rolls back the open transaction; its next statement is told why.
func (s *session) abort(reason string) {
	s.server.Log.Info("transaction rolled back", "reason", reason, "database", s.database, "workspace", s.workspace)
	s.rollBack()
	s.tx.aborted = reason
}

var errClosed = errors.New("session closed by this VM")

// idleTimeout returns how long the session may stay idle in its current state; 0 means no limit.
func (s *session) idleTimeout() time.Duration {
	c := s.server.Router.View().Configuration
	if s.tx.executor == nil || c == nil {
		return 0
	}
	return c.TxIdleTimeout
}

// wake interrupts the wait for the next statement.
func (s *session) wake() {
	if !s.busy.Load() {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// mustClose reports whether the session is idle outside of a transaction and has to be closed: because of a
// drain, of CloseIdle, or of a route or key that is no longer valid.
func (s *session) mustClose() bool {
	if s.state != statement.Idle || s.conn.Buffered() {
		return false
	}
	if (s.server.draining.Load() || s.closeWhenIdle.Load()) && !s.expectsFirst() {
		return true
	}
	c := s.server.Router.View().Configuration
	route, routed := c.Routes[s.database]
	_, known := c.Keys[s.key]
	return !routed || !known && !route.NoKey
}

// handle runs a statement and returns its response.
func (s *session) handle(st statement.Statement) statement.Response {
	if s.state == statement.FailedTransaction {
		return s.handleInFailed(st)
	}
	if s.state == statement.Idle {
		if refused := s.authorize(); refused != nil {
			s.server.counters.refused.Inc(1)
			s.server.Log.Info("statement refused", "id", st.ID, "database", s.database, "code", refused.Code)
			return *refused
		}
	}
	switch st.Kind {
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(st)
	case statement.Rollback:
		return s.handleRollback()
	case statement.Set:
		return s.set(st)
	case statement.Prepare:
		return s.prepare(st)
	case statement.Deallocate:
		return s.deallocate(st)
	case statement.Read, statement.Write, statement.Commit, statement.Execute:
		return s.forward(st)
	}
	return s.fail(statement.Refusal(statement.Malformed, "the statement is unknown"))
}

// handleInFailed returns the response to a statement in a failed transaction. Only a rollback or a commit
// ends the transaction, and a commit returns Aborted.
func (s *session) handleInFailed(st statement.Statement) statement.Response {
	switch st.Kind {
	case statement.Rollback:
		return s.handleRollback()
	case statement.Commit:
		s.endTransaction()
		return statement.Refusal(statement.Aborted, "the transaction has failed")
	}
	return statement.Refusal(statement.Malformed, "the transaction has failed")
}

func (s *session) begin(st statement.Statement) statement.Response {
	if s.state != statement.Idle {
		return s.fail(statement.Refusal(statement.Malformed, "a transaction is open"))
	}
	s.state = statement.InTransaction
	// The rest of the statement is not kept: its id may be as large as a message.
	s.tx = transaction{begin: st.Kind, stream: s.server.Router.NextStream()}
	return statement.Response{}
}

func (s *session) handleRollback() statement.Response {
	s.rollBack()
	s.endTransaction()
	return statement.Response{}
}

// rollBack rolls back the open transaction on its executor if one of its statements has run.
func (s *session) rollBack() {
	if s.tx.executor != nil {
		s.tx.executor.EndStream(s.tx.stream)
		s.tx.executor = nil
	}
}

// endTransaction returns the session to the idle state.
func (s *session) endTransaction() {
	s.tx = transaction{}
	s.state = statement.Idle
}

// fail marks an open transaction as failed and rolls it back.
func (s *session) fail(response statement.Response) statement.Response {
	if s.state == statement.InTransaction {
		s.rollBack()
		s.state = statement.FailedTransaction
	}
	return response
}

// stateOverhead is the memory of a setting or a prepared statement beside its texts.
const stateOverhead = 128

// stateSize returns the memory of a setting or a prepared statement.
func stateSize(name, text string) int64 { return int64(len(name) + len(text) + stateOverhead) }

// refuseState refuses a statement that would exceed the memory for session state.
func (s *session) refuseState(st statement.Statement, err error) statement.Response {
	s.server.counters.refused.Inc(1)
	s.server.counters.noMemory.Inc(1)
	s.server.logLimit("statement refused", "id", shorten(st.ID), "database", s.database, "workspace", s.workspace,
		"code", statement.Overloaded, "detail", err)
	return s.fail(statement.Refusal(statement.Overloaded, err.Error()))
}

// maxLoggedID bounds the part of a caller's request id in a log line about a limit.
const maxLoggedID = 64

func shorten(id string) string { return id[:min(len(id), maxLoggedID)] }

// The texts that a session keeps are copied: they are parts of the message, which may be much larger.

func (s *session) set(st statement.Statement) statement.Response {
	i := slices.IndexFunc(s.settings, func(x statement.Setting) bool { return x.Name == st.Name })
	size := stateSize(st.Name, st.Args)
	if i >= 0 {
		size -= stateSize(st.Name, s.settings[i].Value)
	}
	if err := s.account.ChargeState(size); err != nil {
		return s.refuseState(st, err)
	}
	if i < 0 {
		s.settings = append(s.settings, statement.Setting{Name: strings.Clone(st.Name), Value: strings.Clone(st.Args)})
		return statement.Response{}
	}
	// The slice may be in use by a request that was sent to the owner.
	s.settings = slices.Clone(s.settings)
	s.settings[i].Value = strings.Clone(st.Args)
	return statement.Response{}
}

func (s *session) prepare(st statement.Statement) statement.Response {
	size := stateSize(st.Name, st.Args)
	old, replaced := s.prepared[st.Name]
	if replaced {
		size -= stateSize(st.Name, old.Text)
	}
	if err := s.account.ChargeState(size); err != nil {
		return s.refuseState(st, err)
	}
	s.prepared[strings.Clone(st.Name)] = statement.PreparedQuery{Text: strings.Clone(st.Args), Writes: st.Writes}
	return statement.Response{}
}

func (s *session) deallocate(st statement.Statement) statement.Response {
	old, ok := s.prepared[st.Name]
	if !ok {
		return s.fail(statement.Refusal(statement.UnknownPrepared, "no prepared statement of this name"))
	}
	delete(s.prepared, st.Name)
	_ = s.account.ChargeState(-stateSize(st.Name, old.Text))
	return statement.Response{}
}

// forward runs a statement on the owner of the service.
func (s *session) forward(st statement.Statement) statement.Response {
	began := time.Now()
	s.server.counters.statements.Inc(1)
	if st.Kind == statement.Commit && s.state != statement.InTransaction {
		return statement.Refusal(statement.Malformed, "no transaction is open")
	}
	if s.tx.aborted != "" {
		return s.fail(statement.Refusal(statement.Aborted, s.tx.aborted))
	}
	refused := s.refusalOfStop()
	if refused == nil {
		refused = s.recheck()
	}
	if refused != nil {
		s.server.counters.refused.Inc(1)
		s.server.Log.Info("statement refused", "id", st.ID, "database", s.database, "code", refused.Code, "detail", refused.Detail)
		return s.fail(*refused)
	}
	req := s.request(st)
	if st.Kind == statement.Execute {
		shape, ok := s.prepared[st.Name]
		if !ok {
			return s.fail(statement.Refusal(statement.UnknownPrepared, "no prepared statement of this name"))
		}
		req.Prepared = shape
	}
	response := s.send(req)
	s.server.counters.latency.Update(int64(time.Since(began) / time.Microsecond))
	return s.applyResponse(st, req, response)
}

// refusalOfStop returns the response to a statement that arrives when this VM is about to exit, nil at other times.
func (s *session) refusalOfStop() *statement.Response {
	if !s.server.stopping.Load() {
		return nil
	}
	code := statement.Overloaded
	if s.state == statement.InTransaction {
		code = statement.Aborted
	}
	refusal := statement.Refusal(code, vmStops)
	return &refusal
}

// recheck checks the key and the route of a statement inside a transaction against the configuration in effect. No server
// has heard of a transaction before its first statement, which is therefore checked like a single one. Later, a change of
// the route applies from the next transaction onward, and a key that is no longer valid ends the transaction.
func (s *session) recheck() *statement.Response {
	switch {
	case s.state != statement.InTransaction:
		return nil
	case s.tx.executor == nil:
		return s.authorize()
	case s.keyWithdrawn():
		refusal := statement.Refusal(statement.Aborted, keyNotValid)
		return &refusal
	}
	return nil
}

// keyWithdrawn reports whether the key of the session no longer identifies its workspace.
func (s *session) keyWithdrawn() bool {
	c := s.server.Router.View().Configuration
	workspace, known := c.Keys[s.key]
	return !s.route.NoKey && (!known || workspace != s.workspace)
}

// request builds the request for the owner.
func (s *session) request(st statement.Statement) broker.Request {
	timeout := s.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	req := broker.Request{
		Stream: s.tx.stream, Service: s.route.Service, Workspace: s.workspace,
		Consistency: s.route.Consistency, MaxStaleness: s.route.MaxStaleness, MinPosition: s.minPosition,
		Priority: s.route.Priority, LatencyObjective: s.route.LatencyObjective,
		Timeout: s.server.runtime(timeout), Statement: st, Settings: s.settings,
	}
	switch {
	case s.state == statement.Idle:
		req.Stream = s.server.Router.NextStream()
		req.First = true
	case s.tx.executor == nil:
		req.First = true
		req.Begin = s.tx.begin
	}
	return req
}

// send runs a request on the executor of its transaction, or routes it to the owner. Errors become
// responses that say whether the statement may have run.
func (s *session) send(req broker.Request) statement.Response {
	var r broker.Result
	var err error
	if s.tx.executor != nil {
		r, err = s.tx.executor.Do(req, req.Timeout+ResponseMargin)
	} else {
		var executor Executor
		r, executor, err = s.server.Router.Run(req)
		switch {
		case s.state != statement.InTransaction || executor == nil:
		case err == nil && r.TransactionOpen:
			s.tx.executor = executor
		case err != nil:
			// The transaction may begin after this VM has stopped waiting.
			executor.EndStream(s.tx.stream)
		}
	}
	if err == nil {
		if !r.TransactionOpen {
			s.tx.executor = nil
		}
		return r.Response
	}
	if s.tx.executor != nil && req.Statement.Kind != statement.Commit {
		s.tx.executor.EndStream(s.tx.stream)
	}
	s.tx.executor = nil
	return lostResponse(req, err)
}

// lostResponse returns the response for a statement whose outcome was not received.
func lostResponse(req broker.Request, err error) statement.Response {
	inTransaction := !req.First || req.Begin != 0
	commit := req.Statement.Kind == statement.Commit
	switch {
	case errors.Is(err, peer.ErrNoMemory) && inTransaction:
		return statement.Refusal(statement.Aborted, peer.ErrNoMemory.Error())
	case errors.Is(err, peer.ErrNoMemory):
		return statement.Refusal(statement.Overloaded, peer.ErrNoMemory.Error())
	case errors.Is(err, peer.ErrNotSent) && inTransaction:
		return statement.Refusal(statement.Aborted, "the owner of the service was lost")
	case errors.Is(err, peer.ErrNotSent):
		return statement.Refusal(statement.Overloaded, "the owner of the service cannot be reached")
	case inTransaction && !commit:
		// A transaction without a commit is rolled back wherever it runs.
		return statement.Refusal(statement.Aborted, "the owner of the service was lost")
	case commit || req.Writes():
		return statement.Refusal(statement.OutcomeUnknown, "the owner of the service was lost")
	}
	return statement.Refusal(statement.TimedOut, "the owner of the service was lost")
}

// applyResponse updates the state of the session after a response.
func (s *session) applyResponse(st statement.Statement, req broker.Request, response statement.Response) statement.Response {
	if response.Code != statement.OK {
		s.server.counters.failed.Inc(1)
		s.server.Log.Info("statement failed", "id", st.ID, "database", s.database, "workspace", s.workspace, "code", response.Code,
			"detail", response.Detail, "configuration", s.server.Router.View().Configuration.Version)
		if st.Kind == statement.Commit {
			s.endTransaction()
			return response
		}
		return s.fail(response)
	}
	wrote := st.Kind == statement.Commit || s.state == statement.Idle && (st.Kind == statement.Write || req.Prepared.Writes)
	if wrote && response.Position.Compare(s.minPosition) > 0 {
		s.minPosition = response.Position
	}
	if st.Kind == statement.Commit {
		s.endTransaction()
	}
	return response
}
