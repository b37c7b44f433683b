package devtarget

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/sleep"
	"siskinrouter/internal/verdict"
)

const (
	// oidText is the type of every parameter and column. Its text and binary formats are equal.
	oidText = 25
	// flushRows bounds the rows buffered before they are sent.
	flushRows = 500
	// replicationParameter marks the connection of a replica in its startup message.
	replicationParameter = "siskinrouter.replication"
	// startupTimeout bounds the time until a client has logged in.
	startupTimeout = 10 * time.Second
)

// conn is one client connection. Its goroutine handles one message after the other.
type conn struct {
	readOnly bool // default_transaction_read_only
	s        *Server
	nc       net.Conn
	backend  *pgproto3.Backend
	ctx      context.Context
	cancel   context.CancelCauseFunc
	app      string
	pid      uint32
	key      uint32
	counted  bool // occupies the connection limit

	running context.CancelCauseFunc // cancels the running statement; guarded by Server.mu

	tx         *tx
	failed     bool // the explicit transaction failed and waits for ROLLBACK
	wrote      string
	skipToSync bool
	statements map[string]statement
	portals    map[string]*portal
}

// portal is a bound statement. Rows that were not fetched yet stay in rest.
type portal struct {
	stmt     statement
	executed bool
	rest     [][][]byte
	tag      string
}

// refusal is an error with the SQLSTATE that the client receives.
type refusal struct {
	state string
	text  string
}

// Error returns the message sent to the client.
func (r *refusal) Error() string { return r.text }

func refuse(state, format string, args ...any) *refusal {
	return &refusal{state: state, text: fmt.Sprintf(format, args...)}
}

var errCancelled = refuse(verdict.StateQueryCanceled, "statement was cancelled by a cancel request")

// accept serves connections until the listener closes.
func (s *Server) accept(ctx context.Context, ln net.Listener) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		c := s.newConn(ctx, nc)
		if c == nil {
			nc.Close()
			return
		}
		s.duties.Go(c.serve)
	}
}

// newConn registers a connection. It returns nil if the server was killed.
func (s *Server) newConn(ctx context.Context, nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	s.nextPID++
	c := &conn{
		s:          s,
		nc:         nc,
		backend:    pgproto3.NewBackend(&sniffer{Conn: nc, s: s}, nc),
		pid:        s.nextPID,
		key:        rand.Uint32(),
		statements: map[string]statement{},
		portals:    map[string]*portal{},
	}
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	s.conns[c] = struct{}{}
	return c
}

// occupied returns the number of connections that count against the limit. The caller holds mu.
func (s *Server) occupied() int {
	n := 0
	for c := range s.conns {
		if c.counted {
			n++
		}
	}
	return n
}

func (c *conn) serve() {
	defer c.close()
	c.nc.SetReadDeadline(time.Now().Add(startupTimeout))
	replica, err := c.startup()
	if err != nil {
		c.closeWith(err)
		return
	}
	c.nc.SetReadDeadline(time.Time{})
	if replica {
		c.s.serveReplica(c.ctx, c.nc)
		return
	}
	for {
		msg, err := c.backend.Receive()
		if err == nil {
			err = c.handle(msg)
		}
		if c.s.shuttingDown() {
			c.closeWith(errShutdown)
			return
		}
		if err != nil {
			return
		}
	}
}

var errShutdown = refuse(verdict.StateAdminShutdown, "the server is shutting down")

func (s *Server) shuttingDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.shutdown
}

func (c *conn) close() {
	c.cancel(net.ErrClosed)
	c.nc.Close()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.tx != nil {
		c.s.finish(c.tx)
	}
	delete(c.s.conns, c)
	c.s.notify()
}

// reachable waits until the server is not frozen and not isolated from this client.
func (c *conn) reachable() error {
	err := c.s.lockWhen(c.ctx, func() bool { return !c.s.faults.frozen && !c.s.faults.noClients[c.app] })
	if err != nil {
		return err
	}
	c.s.mu.Unlock()
	return nil
}

// flush sends the buffered answers, delayed and withheld according to the injected faults.
func (c *conn) flush() error {
	c.s.mu.Lock()
	delay := c.s.faults.answerDelay
	c.s.mu.Unlock()
	if err := sleep.For(c.ctx, delay); err != nil {
		return err
	}
	if err := c.reachable(); err != nil {
		return err
	}
	return c.backend.Flush()
}

// startup performs the login and reports whether the client is a replica. An error of type
// *refusal is sent to the client.
func (c *conn) startup() (replica bool, err error) {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false, err
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.nc.Write([]byte{'N'}); err != nil {
				return false, err
			}
		case *pgproto3.CancelRequest:
			c.s.cancelRunning(m)
			return false, net.ErrClosed
		case *pgproto3.StartupMessage:
			return c.login(m)
		default:
			return false, refuse(verdict.StateProtocolViolation, "unexpected startup message %T", msg)
		}
	}
}

func (c *conn) login(m *pgproto3.StartupMessage) (replica bool, err error) {
	c.app = m.Parameters["application_name"]
	if err := c.reachable(); err != nil {
		return false, err
	}
	_, replica = m.Parameters[replicationParameter]
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.flush(); err != nil {
		return false, err
	}
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return false, err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return false, err
	}
	password, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return false, refuse(verdict.StateProtocolViolation, "expected a password message, not %T", msg)
	}
	if err := c.admit(m.Parameters, password.Password, replica); err != nil {
		return false, err
	}
	if !replica {
		if err := sleep.For(c.ctx, c.s.cfg.ConnectTime); err != nil {
			return false, err
		}
	}
	return replica, c.welcome()
}

// admit checks the credentials and the connection limit.
func (c *conn) admit(parameters map[string]string, password string, replica bool) error {
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := parameters["user"] == s.cfg.User && password == s.cfg.Password
	s.recordLogin(Login{Parameters: parameters, Password: password, Accepted: accepted})
	switch {
	case !accepted:
		return refuse(verdict.StateInvalidAuth, "password authentication failed for user %q", parameters["user"])
	case s.faults.refuseLogins || s.faults.shutdown:
		return errShutdown
	case !replica && s.occupied() >= s.cfg.MaxConnections:
		return refuse(verdict.StateTooManyConnections, "all %d connections are in use", s.cfg.MaxConnections)
	}
	c.counted = !replica
	return nil
}

func (c *conn) welcome() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}, {"DateStyle", "ISO, MDY"},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	key := binary.BigEndian.AppendUint32(nil, c.key)
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: key})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.flush()
}

// closeWith sends the reason why the server closes the connection, if it is one that the client
// should see.
func (c *conn) closeWith(err error) {
	var r *refusal
	if !errors.As(err, &r) {
		return
	}
	c.s.count("refused " + r.state)
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: r.state, Message: r.text})
	c.flush()
}

func (s *Server) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

// cancelRunning cancels the statement of the connection named by a cancel request.
func (s *Server) cancelRunning(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts["cancel"]++
	for c := range s.conns {
		match := c.pid == m.ProcessID && string(binary.BigEndian.AppendUint32(nil, c.key)) == string(m.SecretKey)
		if match && c.running != nil {
			c.running(errCancelled)
		}
	}
}

// handle processes one message. An error closes the connection.
func (c *conn) handle(msg pgproto3.FrontendMessage) error {
	if err := c.reachable(); err != nil {
		return err
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		c.simpleQuery(m.String)
		return c.ready()
	case *pgproto3.Sync:
		c.skipToSync = false
		if err := c.endImplicit(); err != nil {
			c.fail(err)
		}
		return c.ready()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.Terminate:
		return net.ErrClosed
	}
	if c.skipToSync {
		return nil
	}
	if err := c.extended(msg); err != nil {
		c.skipToSync = true
		c.fail(err)
	}
	return c.ctx.Err()
}

// ready ends a query cycle with ReadyForQuery, preceded by the position of a commit. Portals end
// with their transaction.
func (c *conn) ready() error {
	if c.tx == nil {
		clear(c.portals)
	}
	if c.wrote != "" {
		c.backend.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: c.wrote})
		c.wrote = ""
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus()})
	if err := c.flush(); err != nil {
		return err
	}
	return c.ctx.Err()
}

func (c *conn) txStatus() byte {
	switch {
	case c.failed:
		return 'E'
	case c.tx != nil:
		return 'T'
	default:
		return 'I'
	}
}

// fail reports err to the client and rolls the transaction back. An explicit transaction stays
// in the failed state until the client ends it.
func (c *conn) fail(err error) {
	var r *refusal
	if !errors.As(err, &r) {
		r = refuse(verdict.StateInternal, "%v", err)
	}
	if c.tx != nil {
		c.failed = !c.tx.implicit
		c.abort()
	}
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: r.state, Message: r.text})
}

// abort rolls the transaction back.
func (c *conn) abort() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.finish(c.tx)
	c.tx = nil
	c.s.notify()
}

func (c *conn) simpleQuery(text string) {
	parts := splitStatements(text)
	if len(parts) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, part := range parts {
		if err := c.simpleStatement(part, i == len(parts)-1); err != nil {
			c.fail(err)
			return
		}
	}
}

func (c *conn) simpleStatement(text string, last bool) error {
	stmt, err := parse(text)
	if err != nil {
		return refuse("42601", "%v", err)
	}
	if stmt.params() > 0 {
		return refuse("42P02", "a simple query has no parameters")
	}
	res, err := c.execute(stmt)
	if err != nil {
		return err
	}
	if last {
		if err := c.endImplicit(); err != nil {
			return err
		}
	}
	if shapes[stmt.kind].columns != nil {
		c.backend.Send(rowDescription(stmt))
	}
	if err := c.sendRows(res.rows); err != nil {
		return err
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}

func rowDescription(stmt statement) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, name := range shapes[stmt.kind].columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1,
		})
	}
	return d
}

func (c *conn) sendRows(rows [][][]byte) error {
	for i, row := range rows {
		c.backend.Send(&pgproto3.DataRow{Values: row})
		if (i+1)%flushRows == 0 {
			if err := c.flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// extended processes a message of the extended query protocol.
func (c *conn) extended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(m)
	case *pgproto3.Bind:
		return c.bind(m)
	case *pgproto3.Describe:
		return c.describe(m)
	case *pgproto3.Execute:
		return c.executePortal(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(c.statements, m.Name)
		} else {
			delete(c.portals, m.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	default:
		return refuse(verdict.StateFeatureNotSupported, "message %T is not supported", msg)
	}
}

func (c *conn) parse(m *pgproto3.Parse) error {
	if _, exists := c.statements[m.Name]; exists && m.Name != "" {
		return refuse("42P05", "prepared statement %q already exists", m.Name)
	}
	stmt, err := parse(m.Query)
	if err != nil {
		return refuse("42601", "%v", err)
	}
	if stmt.kind.control() {
		return refuse(verdict.StateFeatureNotSupported, "%s needs the simple query protocol", stmt.kind)
	}
	c.statements[m.Name] = stmt
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *conn) bind(m *pgproto3.Bind) error {
	stmt, exists := c.statements[m.PreparedStatement]
	if !exists {
		return refuse("26000", "prepared statement %q does not exist", m.PreparedStatement)
	}
	var values []string
	for i, p := range m.Parameters {
		if p == nil {
			return refuse("22004", "parameter $%d is NULL, which no statement accepts", i+1)
		}
		values = append(values, string(p))
	}
	bound, err := stmt.bind(values)
	if err != nil {
		return refuse(verdict.StateProtocolViolation, "%v", err)
	}
	c.portals[m.DestinationPortal] = &portal{stmt: bound}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *conn) describe(m *pgproto3.Describe) error {
	var stmt statement
	if m.ObjectType == 'S' {
		s, exists := c.statements[m.Name]
		if !exists {
			return refuse("26000", "prepared statement %q does not exist", m.Name)
		}
		stmt = s
		d := &pgproto3.ParameterDescription{}
		for range stmt.params() {
			d.ParameterOIDs = append(d.ParameterOIDs, oidText)
		}
		c.backend.Send(d)
	} else {
		p, exists := c.portals[m.Name]
		if !exists {
			return refuse("34000", "portal %q does not exist", m.Name)
		}
		stmt = p.stmt
	}
	if shapes[stmt.kind].columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	c.backend.Send(rowDescription(stmt))
	return nil
}

func (c *conn) executePortal(m *pgproto3.Execute) error {
	p, exists := c.portals[m.Portal]
	if !exists {
		return refuse("34000", "portal %q does not exist", m.Portal)
	}
	if p.stmt.kind == kindEmpty {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !p.executed {
		res, err := c.execute(p.stmt)
		if err != nil {
			return err
		}
		p.executed, p.rest, p.tag = true, res.rows, res.tag
	}
	rows := p.rest
	if limit := int(m.MaxRows); limit > 0 && limit < len(rows) {
		rows = rows[:limit]
	}
	p.rest = p.rest[len(rows):]
	if err := c.sendRows(rows); err != nil {
		return err
	}
	if len(p.rest) > 0 {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.tag)})
	return nil
}
