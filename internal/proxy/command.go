package proxy

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/verdict"
)

// command is a statement that the proxy answers itself. It is recognised by its exact prefix.
type command struct {
	name  string // parameter name
	value string // new value of SET
	show  bool
}

const (
	setRequestID = "SET siskinrouter.request_id = "
	setSession   = "SET siskinrouter.session = "
	showSession  = "SHOW siskinrouter.session"

	nameRequestID = "siskinrouter.request_id"

	maxRequestID = 128 // bytes
)

// parseCommand returns the command in text, or nil if the text is for a target.
func parseCommand(text string) *command {
	text = strings.TrimSuffix(strings.TrimSpace(text), ";")
	switch {
	case text == showSession:
		return &command{name: paramSession, show: true}
	case strings.HasPrefix(text, setRequestID):
		return &command{name: nameRequestID, value: unquote(text[len(setRequestID):])}
	case strings.HasPrefix(text, setSession):
		return &command{name: paramSession, value: unquote(text[len(setSession):])}
	}
	return nil
}

func unquote(text string) string {
	return strings.TrimSuffix(strings.TrimPrefix(text, "'"), "'")
}

// apply runs a SET command.
func (c *callerSession) apply(cmd *command) error {
	if cmd.show {
		return nil
	}
	if cmd.name == paramSession {
		return c.useSession(cmd.value)
	}
	if !validRequestID(cmd.value) {
		return verdict.Errorf(verdict.NotRun, "22023",
			"request id must have 1 to %d letters, digits or -_.: characters", maxRequestID)
	}
	c.requestID = cmd.value
	return nil
}

// validRequestID admits only characters that need no quoting, because the id becomes part of a
// control statement.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for _, r := range id {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.:", r)
		if !ok {
			return false
		}
	}
	return true
}

// sessionToken returns the sealed position of the session.
func (c *callerSession) sessionToken() string {
	a := c.currentAccess()
	return c.srv.cfg.Sealer.Seal(c.token(a))
}

// serveLocal answers a batch that consists of a command of the proxy.
func (c *callerSession) serveLocal(b *batch) error {
	if err := c.apply(b.local); err != nil {
		return c.refuseBatch(b, asVerdict(err, verdict.NotRun, verdict.StateInternal))
	}
	for _, it := range b.items {
		c.answerLocal(b, it)
	}
	return c.flush()
}

func (c *callerSession) answerLocal(b *batch, it item) {
	switch it.kind {
	case kindParse:
		c.send(&pgproto3.ParseComplete{})
	case kindBind:
		c.send(&pgproto3.BindComplete{})
	case kindCloseStatement, kindClosePortal:
		c.send(&pgproto3.CloseComplete{})
	case kindDescribe:
		if it.stmt != nil {
			c.send(&pgproto3.ParameterDescription{})
		}
		c.describeLocal(b.local)
	case kindExecute:
		c.executeLocal(b.local)
	case kindQuery:
		if b.local.show {
			c.describeLocal(b.local)
		}
		c.executeLocal(b.local)
		c.ready(c.txStatus())
	case kindSync:
		c.ready(c.txStatus())
	}
}

// textOID is the type OID of text.
const textOID = 25

func (c *callerSession) describeLocal(cmd *command) {
	if !cmd.show {
		c.send(&pgproto3.NoData{})
		return
	}
	c.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(cmd.name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1},
	}})
}

func (c *callerSession) executeLocal(cmd *command) {
	if !cmd.show {
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return
	}
	c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(c.sessionToken())}})
	c.send(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
}

// txStatus returns the transaction status to report while no statement runs.
func (c *callerSession) txStatus() byte {
	if c.lease != nil {
		return c.openStatus
	}
	return 'I'
}
