package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/verdict"
)

// statement is a prepared statement of a caller. Targets know it by linkName, so that any link can
// serve it and equal statements of different callers share one preparation.
type statement struct {
	linkName string
	query    string
	types    []uint32 // parameter type OIDs
	command  *command // set for statements that the proxy answers itself
}

func newStatement(query string, types []uint32) *statement {
	h := xxhash.New()
	_, _ = h.WriteString(query)
	for _, t := range types {
		fmt.Fprintf(h, ",%d", t)
	}
	return &statement{
		linkName: fmt.Sprintf("sr_%016x_%d", h.Sum64(), len(query)),
		query:    query,
		types:    types,
		command:  parseCommand(query),
	}
}

// kind says which protocol message an item holds.
type kind uint8

const (
	kindParse kind = iota
	kindBind
	kindDescribe
	kindExecute
	kindClosePortal
	kindCloseStatement
	kindQuery
	kindSync
	kindFlush
)

// item is one message of a batch. Its encoded form is buf[start:end] of the batch.
type item struct {
	kind       kind
	start, end int
	stmt       *statement // of Parse, Bind and Describe statement
}

// batch holds the messages of a caller up to the point where it waits for an answer.
type batch struct {
	items     []item
	buf       []byte
	terminate bool
	query     string // text of a simple query
	local     *command
	fault     *verdict.Error // refusal found while reading
}

// ends reports whether the batch ends with a message that is answered by ReadyForQuery.
func (b *batch) ends() bool {
	n := len(b.items)
	return n > 0 && (b.items[n-1].kind == kindSync || b.items[n-1].kind == kindQuery)
}

// runs reports whether the batch executes a statement.
func (b *batch) runs() bool {
	for _, it := range b.items {
		if it.kind == kindExecute || it.kind == kindQuery {
			return true
		}
	}
	return false
}

// text returns the text of the first statement that the batch executes, if it is known.
func (b *batch) text() string {
	if b.query != "" {
		return b.query
	}
	for _, it := range b.items {
		if it.stmt != nil && it.kind != kindParse {
			return it.stmt.query
		}
	}
	return ""
}

// several reports whether the batch executes more than one statement. Only semicolons outside quotes
// separate the statements of a simple query.
func (b *batch) several() bool {
	executes := 0
	for _, it := range b.items {
		if it.kind == kindExecute {
			executes++
		}
	}
	var quote rune // the quote that is open, or 0
	for i, r := range b.query {
		switch {
		case r == quote:
			quote = 0
		case quote == 0 && (r == '\'' || r == '"'):
			quote = r
		case r == ';' && quote == 0 && strings.Trim(b.query[i:], "; \t\r\n") != "":
			return true
		}
	}
	return executes > 1
}

// readBatch reads messages until the caller waits for an answer.
func (c *callerSession) readBatch() (*batch, error) {
	b := &batch{}
	for {
		msg, err := c.front.Receive()
		if err != nil {
			return nil, c.readError(err)
		}
		if len(b.items) == 0 {
			c.begin()
		}
		done, err := c.add(b, msg)
		if err != nil || done {
			return b, err
		}
		if len(b.buf) > c.srv.cfg.MaxBatch {
			return nil, verdict.Errorf(verdict.NotRun, verdict.StateProgramLimit,
				"messages before Sync exceed %d bytes", c.srv.cfg.MaxBatch)
		}
	}
}

// begin marks the session as busy.
func (c *callerSession) begin() {
	c.mu.Lock()
	c.busy = true
	c.mu.Unlock()
}

// readError tells a caller that left from one that sent something invalid.
func (c *callerSession) readError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr):
		return err
	}
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return verdict.Errorf(verdict.NotRun, verdict.StateProgramLimit, "message of %d bytes exceeds the limit of %d",
			tooLarge.ActualBodyLen, tooLarge.MaxExpectedBodyLen)
	}
	return verdict.Errorf(verdict.NotRun, verdict.StateProtocolViolation, "invalid message: %w", err)
}

// add appends a message to b and reports whether the caller now waits for an answer.
func (c *callerSession) add(b *batch, msg pgproto3.FrontendMessage) (done bool, err error) {
	if _, isSync := msg.(*pgproto3.Sync); c.skipToSync && !isSync {
		_, isTerminate := msg.(*pgproto3.Terminate)
		b.terminate = isTerminate
		return isTerminate, nil
	}
	switch m := msg.(type) {
	case *pgproto3.Terminate:
		b.terminate = true
		return true, nil
	case *pgproto3.Query:
		b.query = m.String
		b.local = parseCommand(m.String)
		return true, b.append(kindQuery, nil, m)
	case *pgproto3.Sync:
		return true, b.append(kindSync, nil, m)
	case *pgproto3.Flush:
		return true, b.append(kindFlush, nil, m)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// A caller may still send these after COPY was refused; the protocol asks to ignore them.
		return false, nil
	case *pgproto3.FunctionCall:
		b.fail(verdict.StateFeatureNotSupported, "function call messages are not supported")
		return true, b.append(kindSync, nil, &pgproto3.Sync{})
	}
	return false, c.addExtended(b, msg)
}

func (c *callerSession) addExtended(b *batch, msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return c.addParse(b, m)
	case *pgproto3.Bind:
		stmt := c.find(b, m.PreparedStatement)
		if stmt == nil {
			return nil
		}
		m.PreparedStatement = stmt.linkName
		return b.append(kindBind, stmt, m)
	case *pgproto3.Describe:
		if m.ObjectType == 'P' {
			return b.append(kindDescribe, nil, m)
		}
		stmt := c.find(b, m.Name)
		if stmt == nil {
			return nil
		}
		m.Name = stmt.linkName
		return b.append(kindDescribe, stmt, m)
	case *pgproto3.Execute:
		return b.append(kindExecute, nil, m)
	case *pgproto3.Close:
		if m.ObjectType == 'P' {
			return b.append(kindClosePortal, nil, m)
		}
		delete(c.statements, m.Name)
		return b.append(kindCloseStatement, nil, m)
	}
	return verdict.Errorf(verdict.NotRun, verdict.StateProtocolViolation, "unexpected message %T", msg)
}

// maxCallerStatements bounds the prepared statements of one caller.
const maxCallerStatements = 4096

func (c *callerSession) addParse(b *batch, m *pgproto3.Parse) error {
	if len(c.statements) >= maxCallerStatements {
		b.fail(verdict.StateProgramLimit, "more than %d prepared statements on one connection", maxCallerStatements)
		return nil
	}
	types := append([]uint32(nil), m.ParameterOIDs...)
	stmt := newStatement(strings.Clone(m.Query), types)
	c.statements[m.Name] = stmt
	m.Name = stmt.linkName
	if stmt.command != nil {
		b.local = stmt.command
	}
	return b.append(kindParse, stmt, m)
}

func (c *callerSession) find(b *batch, name string) *statement {
	stmt := c.statements[name]
	if stmt == nil {
		b.fail(stateInvalidStatement, "prepared statement %q does not exist", name)
		return nil
	}
	if stmt.command != nil {
		b.local = stmt.command
	}
	return stmt
}

// stateInvalidStatement is the SQLSTATE of a reference to an unknown prepared statement.
const stateInvalidStatement = "26000"

// fail records the first refusal of the batch.
func (b *batch) fail(sqlState, format string, args ...any) {
	if b.fault == nil {
		b.fault = verdict.Errorf(verdict.NotRun, sqlState, format, args...)
	}
}

func (b *batch) append(k kind, stmt *statement, msg pgproto3.FrontendMessage) error {
	start := len(b.buf)
	buf, err := msg.Encode(b.buf)
	if err != nil {
		return verdict.Errorf(verdict.NotRun, verdict.StateProtocolViolation, "encode %T: %w", msg, err)
	}
	b.buf = buf
	b.items = append(b.items, item{kind: k, start: start, end: len(buf), stmt: stmt})
	return nil
}
