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
	// startupTimeout bounds the time until a caller names its database.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds the time that a caller may leave its connection full.
	writeTimeout = 10 * time.Second
	// defaultTimeout of a statement applies to routes that set none.
	defaultTimeout = 10 * time.Second
	// ResponseMargin is how long an owner's answer may take beyond the time limit of the statement.
	ResponseMargin = 300 * time.Millisecond
)

// session is the session of a caller.
type session struct {
	server    *Server
	conn      Conn
	database  string
	key       string
	workspace string
	route     directory.Route
	settings  []statement.Setting
	prepared  map[string]statement.PreparedQuery
	floor     position.Position // last acknowledged write
	state     statement.State
	tx        transaction
	busy      atomic.Bool // a statement is being answered
	leave     atomic.Bool // to be closed when it rests
}

// transaction is the open transaction of a session.
type transaction struct {
	begin   statement.Statement // zero outside of a transaction
	stream  uint64
	place   Executor // nil until a statement has run
	expired bool
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
		a := s.handle(st)
		a.State = s.state
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		err = s.conn.WriteResponse(a)
		s.busy.Store(false)
		if err != nil || a.Code == statement.AuthFailed {
			return
		}
	}
}

// start accepts or refuses the session.
func (s *session) start() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	var err error
	if s.database, s.key, err = s.conn.ReadStartup(); err != nil {
		s.end(err)
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	if refused := s.access(); refused != nil {
		s.server.Log.Info("session refused", "database", s.database, "code", refused.Code)
		_ = s.conn.WriteError(*refused)
		return false
	}
	return s.conn.WriteReady() == nil
}

// end tells the caller why its session ends, if it sent what cannot be understood.
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

// access finds the route and the workspace of the session in the configuration in force.
func (s *session) access() *statement.Response {
	c := s.server.Router.View().Configuration
	if c == nil {
		a := statement.Refusal(statement.Overloaded, "this VM has no configuration yet")
		return &a
	}
	route, ok := c.Routes[s.database]
	if !ok {
		a := statement.Refusal(statement.UnknownDatabase, "no route to this database")
		return &a
	}
	workspace, ok := c.Keys[s.key]
	if !ok && !route.NoKey {
		a := statement.Refusal(statement.AuthFailed, "the key is not valid")
		return &a
	}
	s.route = route
	s.workspace = workspace
	return nil
}

// read returns the next statement. While it waits it ends the session if it may not continue, and
// transactions that rest for too long.
func (s *session) read() (statement.Statement, error) {
	rests := time.Now()
	for {
		if s.mayClose() {
			return statement.Statement{}, errClosed
		}
		limit := s.idleLimit()
		var deadline time.Time
		if limit > 0 {
			deadline = rests.Add(limit)
		}
		// A poke between the check above and this line is repeated by the next sweep.
		if err := s.conn.SetReadDeadline(deadline); err != nil {
			return statement.Statement{}, err
		}
		st, err := s.conn.Read()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return st, err
		}
		if limit > 0 && time.Since(rests) >= limit {
			s.server.Log.Info("transaction ended", "reason", "idle", "database", s.database, "workspace", s.workspace)
			s.rollBack()
			s.tx.expired = true
		}
	}
}

var errClosed = errors.New("session closed by this VM")

// idleLimit returns how long the session may rest now; 0 means without limit.
func (s *session) idleLimit() time.Duration {
	c := s.server.Router.View().Configuration
	if s.tx.place == nil || c == nil {
		return 0
	}
	return c.TxIdleTimeout
}

// poke interrupts the wait for a statement.
func (s *session) poke() {
	if !s.busy.Load() {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// mayClose reports whether the session is to be closed now. It must rest outside of a transaction.
func (s *session) mayClose() bool {
	if s.state != statement.Idle || s.conn.Buffered() {
		return false
	}
	if s.server.draining.Load() || s.leave.Load() {
		return true
	}
	c := s.server.Router.View().Configuration
	route, routed := c.Routes[s.database]
	_, known := c.Keys[s.key]
	return !routed || !known && !route.NoKey
}

// handle answers a statement.
func (s *session) handle(st statement.Statement) statement.Response {
	if s.state == statement.FailedTransaction {
		return s.inFailed(st)
	}
	if s.state == statement.Idle {
		if refused := s.access(); refused != nil {
			s.server.counters.refused.Inc(1)
			s.server.Log.Info("refused", "id", st.ID, "database", s.database, "code", refused.Code)
			return *refused
		}
	}
	switch st.Kind {
	case statement.Begin, statement.BeginReadOnly:
		return s.begin(st)
	case statement.Rollback:
		return s.rollBackAnswer()
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

// inFailed answers a statement in a transaction that has failed. The end of the transaction rolls back.
func (s *session) inFailed(st statement.Statement) statement.Response {
	switch st.Kind {
	case statement.Rollback:
		return s.rollBackAnswer()
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

func (s *session) rollBackAnswer() statement.Response {
	s.rollBack()
	s.endTransaction()
	return statement.Response{}
}

// rollBack ends the part of the open transaction that has run.
func (s *session) rollBack() {
	if s.tx.place != nil {
		s.tx.place.EndStream(s.tx.stream)
		s.tx.place = nil
	}
}

// endTransaction makes the session rest outside of a transaction.
func (s *session) endTransaction() {
	s.tx = transaction{}
	s.state = statement.Idle
}

// fail gives an error its effect on an open transaction.
func (s *session) fail(a statement.Response) statement.Response {
	if s.state == statement.InTransaction {
		s.rollBack()
		s.state = statement.FailedTransaction
	}
	return a
}

func (s *session) set(st statement.Statement) {
	i := slices.IndexFunc(s.settings, func(x statement.Setting) bool { return x.Name == st.Name })
	if i < 0 {
		s.settings = append(s.settings, statement.Setting{Name: st.Name, Value: st.Args})
		return
	}
	// The list may be in use by a statement that was sent to the owner.
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

// forward runs a statement at the owner of the service.
func (s *session) forward(st statement.Statement) statement.Response {
	began := time.Now()
	s.server.counters.statements.Inc(1)
	if st.Kind == statement.Commit && s.state != statement.InTransaction {
		return statement.Refusal(statement.Malformed, "no transaction is open")
	}
	if s.tx.expired {
		return s.fail(statement.Refusal(statement.Aborted, "the transaction rested for too long"))
	}
	req := s.request(st)
	if st.Kind == statement.Execute {
		shape, ok := s.prepared[st.Name]
		if !ok {
			return s.fail(statement.Refusal(statement.UnknownPrepared, "no prepared statement of this name"))
		}
		req.Prepared = shape
	}
	a := s.send(req)
	s.server.counters.latency.Update(int64(time.Since(began) / time.Microsecond))
	return s.settle(st, req, a)
}

// request describes a statement for the owner.
func (s *session) request(st statement.Statement) broker.Request {
	timeout := s.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	req := broker.Request{
		Stream: s.tx.stream, Service: s.route.Service, Workspace: s.workspace,
		Consistency: s.route.Consistency, MaxStaleness: s.route.MaxStaleness, MinPosition: s.floor, Priority: s.route.Priority, LatencyObjective: s.route.LatencyObjective,
		Timeout: timeout, Statement: st, Settings: s.settings,
	}
	switch {
	case s.state == statement.Idle:
		req.Stream = s.server.Router.NextStream()
		req.First = true
	case s.tx.place == nil:
		req.First = true
		req.Begin = s.tx.begin.Kind
	}
	return req
}

// send runs a request where its transaction is, or at the owner. Errors become answers that say
// whether the statement may have run.
func (s *session) send(req broker.Request) statement.Response {
	var r broker.Result
	var err error
	if s.tx.place != nil {
		r, err = s.tx.place.Do(req, req.Timeout+ResponseMargin)
	} else {
		var place Executor
		r, place, err = s.server.Router.Run(req)
		switch {
		case s.state != statement.InTransaction || place == nil:
		case err == nil && r.TransactionOpen:
			s.tx.place = place
		case err != nil:
			// The transaction may begin after this VM has given up.
			place.EndStream(s.tx.stream)
		}
	}
	if err == nil {
		if !r.TransactionOpen {
			s.tx.place = nil
		}
		return r.Response
	}
	if s.tx.place != nil && req.Statement.Kind != statement.Commit {
		s.tx.place.EndStream(s.tx.stream)
	}
	s.tx.place = nil
	return lost(req, err)
}

// lost returns the answer to a statement whose outcome was not received.
func lost(req broker.Request, err error) statement.Response {
	inTransaction := !req.First || req.Begin != 0
	commit := req.Statement.Kind == statement.Commit
	switch {
	case errors.Is(err, peer.ErrNotSent) && inTransaction:
		return statement.Refusal(statement.Aborted, "the owner of the service was lost")
	case errors.Is(err, peer.ErrNotSent):
		return statement.Refusal(statement.Overloaded, "the owner of the service cannot be reached")
	case inTransaction && !commit:
		// Without its commit a transaction is rolled back wherever it is.
		return statement.Refusal(statement.Aborted, "the owner of the service was lost")
	case commit || req.Writes():
		return statement.Refusal(statement.OutcomeUnknown, "the owner of the service was lost")
	}
	return statement.Refusal(statement.TimedOut, "the owner of the service was lost")
}

// settle gives an answer its effect on the session.
func (s *session) settle(st statement.Statement, req broker.Request, a statement.Response) statement.Response {
	if a.Code != statement.OK {
		s.server.counters.failed.Inc(1)
		s.server.Log.Info("failed", "id", st.ID, "database", s.database, "workspace", s.workspace, "code", a.Code,
			"detail", a.Detail, "configuration", s.server.Router.View().Configuration.Version)
		if st.Kind == statement.Commit {
			s.endTransaction()
			return a
		}
		return s.fail(a)
	}
	wrote := st.Kind == statement.Commit || s.state == statement.Idle && (st.Kind == statement.Write || req.Prepared.Writes)
	if wrote && a.Position.Compare(s.floor) > 0 {
		s.floor = a.Position
	}
	if st.Kind == statement.Commit {
		s.endTransaction()
	}
	return a
}
