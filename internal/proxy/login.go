package proxy

import (
	"context"
	crand "crypto/rand"
	"crypto/tls"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/verdict"
)

// Startup parameters understood by the proxy.
const (
	paramSession  = "siskinrouter.session"
	paramReadOnly = "default_transaction_read_only"
	sessionNew    = "new" // the caller will carry tokens and has none yet
)

// secretSize is the length of the cancel secret in protocol 3.0, in bytes.
const secretSize = 4

// reportedParameters are sent to each caller after the login. Drivers need them to choose encodings.
var reportedParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "15.0 (siskinrouter)"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
}

// errLoginEnded means that the connection ended during the login without an error to report.
var errLoginEnded = errors.New("connection ended during login")

func errTooManyCallers(limit int) error {
	return verdict.Errorf(verdict.NotRun, verdict.StateTooManyConnections,
		"this VM serves at most %d callers at once", limit)
}

// login performs the startup exchange and reports whether the caller may send requests.
func (c *callerSession) login(ctx context.Context) bool {
	_ = c.conn.SetDeadline(time.Now().Add(c.srv.cfg.LoginTimeout))
	err := c.startup(ctx)
	if err == nil {
		err = c.srv.register(c)
	}
	if err == nil {
		c.greet()
		err = c.flush()
	}
	_ = c.conn.SetDeadline(time.Time{})
	if err == nil {
		return true
	}
	c.rejectLogin(err)
	return false
}

// rejectLogin reports a failed login, unless the connection is already gone.
func (c *callerSession) rejectLogin(err error) {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return
	}
	c.refuse("FATAL", e)
	_ = c.flush()
}

func (c *callerSession) startup(ctx context.Context) error {
	for {
		msg, err := c.front.ReceiveStartupMessage()
		if err != nil {
			return errLoginEnded
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return c.authenticate(m.Parameters)
		case *pgproto3.SSLRequest:
			err = c.startTLS(ctx)
		case *pgproto3.GSSEncRequest:
			_, err = c.conn.Write([]byte{'N'})
		case *pgproto3.CancelRequest:
			c.forwardCancel(ctx, m)
			return errLoginEnded
		}
		if err != nil {
			return errLoginEnded
		}
	}
}

func (c *callerSession) startTLS(ctx context.Context) error {
	if c.srv.cfg.TLS == nil {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	secure := tls.Server(c.conn, c.srv.cfg.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		return err
	}
	c.setConn(secure)
	return nil
}

func (c *callerSession) forwardCancel(ctx context.Context, m *pgproto3.CancelRequest) {
	if c.srv.Cancel(ctx, m.ProcessID, m.SecretKey) {
		return
	}
	if c.srv.cfg.ForwardCancel != nil {
		c.srv.cfg.ForwardCancel(m.ProcessID, m.SecretKey)
	}
}

func (c *callerSession) authenticate(params map[string]string) error {
	database := params["database"]
	if database == "" {
		database = params["user"]
	}
	needsKey, err := c.srv.cfg.Policy.NeedsKey(database)
	if err != nil {
		return err
	}
	key := ""
	if needsKey {
		if key, err = c.askKey(); err != nil {
			return err
		}
	}
	access, err := c.srv.cfg.Policy.Login(database, params["user"], key)
	if err != nil {
		return err
	}
	c.access.Store(access)
	c.readOnly = isOn(params[paramReadOnly])
	return c.useSession(params[paramSession])
}

func isOn(value string) bool {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true
	}
	return false
}

func (c *callerSession) askKey() (string, error) {
	c.send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.flush(); err != nil {
		return "", errLoginEnded
	}
	if err := c.front.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", errLoginEnded
	}
	msg, err := c.front.Receive()
	if err != nil {
		return "", errLoginEnded
	}
	m, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return "", verdict.Errorf(verdict.NotRun, verdict.StateProtocolViolation, "expected a password message")
	}
	return m.Password, nil
}

// useSession takes the caller's token as the floor of its reads.
func (c *callerSession) useSession(value string) error {
	if value == "" {
		return nil
	}
	if value == sessionNew {
		c.carriesToken = true
		return nil
	}
	t, err := c.srv.cfg.Sealer.Open(value)
	a := c.currentAccess()
	switch {
	case err != nil:
		return verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth, "%w", err)
	case t.Workspace != a.Workspace.Name:
		return verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth, "session token belongs to another workspace")
	case t.Group != a.Group.Name():
		return verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth,
			"session token is for group %s, this database uses group %s", t.Group, a.Group.Name())
	}
	c.carriesToken = true
	if t.Position.Compare(c.floor) > 0 {
		c.floor = t.Position
	}
	return nil
}

// greet completes the login.
func (c *callerSession) greet() {
	c.secret = make([]byte, secretSize)
	_, _ = crand.Read(c.secret) // never fails
	c.send(&pgproto3.AuthenticationOk{})
	for i := range reportedParameters {
		c.send(&reportedParameters[i])
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.ready('I')
}
