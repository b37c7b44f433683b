package entry

import (
	"errors"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	position "siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

const (
	// startupTimeout bounds the wait for the startup message of a caller.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds the write of a response to a caller that does not read.
	writeTimeout = 10 * time.Second
	// defaultTimeout is the statement timeout of routes that set none.
	defaultTimeout = 10 * time.Second
	// ResponseMargin is how long an owner's response may take beyond the timeout of the statement.
	ResponseMargin = 300 * time.Millisecond
)

// session is one session of a caller.
type session struct {
	server        *Server
	conn          Conn
	database      string
	key           string
	workspace     string
	route         directory.Route
	settings      []statement.Setting
	prepared      map[string]statement.PreparedQuery
	minPosition   position.Position // position of the last acknowledged write
	state         statement.State
	tx            transaction
	busy          atomic.Bool // a statement is running or its response is being written
	closeWhenIdle atomic.Bool // close the session once it is idle
}

// transaction is the open transaction of a session.
type transaction struct {
	begin    statement.Statement // zero outside of a transaction
	stream   uint64
	executor Executor // nil until a statement has run
	aborted  string   // why this VM has rolled it back, empty if it has not
}

// run serves the session until it ends.
func (s *session) run() {
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
		response := s.handle(st)
		response.State = s.state
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		err = s.conn.WriteResponse(response)
		s.busy.Store(false)
		if err != nil || response.Code == statement.AuthFailed {
			return
		}
	}
}

// start reads the startup message and accepts or refuses the session.
func (s *session) start() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	var err error
	if s.database, s.key, err = s.conn.ReadStartup(); err != nil {
		s.end(err)
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	if refused := s.authorize(); refused != nil {
		s.server.Log.Info("session refused", "database", s.database, "code", refused.Code)
		_ = s.conn.WriteError(*refused)
		return false
	}
	return s.conn.WriteReady() == nil
}

// end sends the caller an error if the session ends because of a malformed or oversized message.
func (s *session) end(err error) {
	code := statement.Malformed
	switch {
	case errors.Is(err, ErrTooLarge):
		code = statement.TooLarge
	case !errors.Is(err, ErrMalformed):
		return
	}
	s.server.counters.refused.Inc(1)
	s.server.Log.Info("session ended", "database", s.database, "workspace", s.workspace, "code", code, "error", err)
	if err := s.conn.WriteError(statement.Refusal(code, err.Error())); err != nil {
		s.server.Log.Debug("refusal not delivered", "database", s.database, "error", err)
	}
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
	for {
		if s.mustClose() {
			return statement.Statement{}, errClosed
		}
		if s.tx.executor != nil && s.keyWithdrawn() {
			s.abort(keyNotValid)
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
		st, err := s.conn.Read()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		if limit > 0 && time.Since(idleSince) >= limit {
			s.abort("the transaction rested for too long")
		}
	}
}

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
	if s.server.draining.Load() || s.closeWhenIdle.Load() {
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
		s.set(st)
		return statement.Response{}
	case statement.Prepare:
		s.prepared[st.Name] = statement.PreparedQuery{Text: st.Args, Writes: st.Writes}
		return statement.Response{}
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
	s.tx = transaction{begin: st, stream: s.server.Router.NextStream()}
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

func (s *session) set(st statement.Statement) {
	i := slices.IndexFunc(s.settings, func(x statement.Setting) bool { return x.Name == st.Name })
	if i < 0 {
		s.settings = append(s.settings, statement.Setting{Name: st.Name, Value: st.Args})
		return
	}
	// The slice may be in use by a request that was sent to the owner.
	s.settings = slices.Clone(s.settings)
	s.settings[i].Value = st.Args
}

func (s *session) deallocate(st statement.Statement) statement.Response {
	if _, ok := s.prepared[st.Name]; !ok {
		return s.fail(statement.Refusal(statement.UnknownPrepared, "no prepared statement of this name"))
	}
	delete(s.prepared, st.Name)
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
	if refused := s.recheck(); refused != nil {
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
		Timeout: timeout, Statement: st, Settings: s.settings,
	}
	switch {
	case s.state == statement.Idle:
		req.Stream = s.server.Router.NextStream()
		req.First = true
	case s.tx.executor == nil:
		req.First = true
		req.Begin = s.tx.begin.Kind
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
