package target

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/link"
	"siskinrouter/internal/routing"
	"siskinrouter/internal/session"
)

// Columns of the answers to control statements.
const (
	columnRole     = "role"
	columnPromised = "promised_term"
	columnHeld     = "held"
	columnApplied  = "applied"
	columnActive   = "active"
	columnPrimary  = "primary"
	columnTerms    = "terms"
	columnGranted  = "granted"
)

const statusQuery = "SHOW group_status"

// Answer is the answer to a control statement.
type Answer struct {
	Status  routing.Status
	Granted bool // only meaningful for fence, promote and follow
}

// control is a connection for control statements.
type control struct {
	link    *link.Link
	columns []string // of the last answer, kept because all answers have the same
}

// openControl connects with the proxy's own credentials.
func openControl(ctx context.Context, server, address string, cred link.Credentials) (*control, error) {
	l, err := link.Dial(ctx, server, address, cred)
	if err != nil {
		return nil, err
	}
	return &control{link: l}, nil
}

// do runs one control statement. An error leaves the connection unusable.
func (c *control) do(deadline time.Time, statement string) (Answer, error) {
	c.link.SetDeadline(deadline)
	if err := c.link.Send(&pgproto3.Query{String: statement}); err != nil {
		return Answer{}, err
	}
	if err := c.link.Flush(); err != nil {
		return Answer{}, err
	}
	a, err := c.receive()
	if err != nil {
		return Answer{}, fmt.Errorf("%s: %w", statement, err)
	}
	return a, nil
}

func (c *control) receive() (Answer, error) {
	var a Answer
	rows := 0
	for {
		msg, err := c.link.Receive()
		if err != nil {
			return a, err
		}
		switch m := msg.(type) {
		case *pgproto3.RowDescription:
			c.setColumns(m)
		case *pgproto3.DataRow:
			rows++
			if err := c.parse(&a, m); err != nil {
				return a, err
			}
		case *pgproto3.ErrorResponse:
			return a, fmt.Errorf("%s (SQLSTATE %s)", m.Message, m.Code)
		case *pgproto3.ReadyForQuery:
			if rows != 1 {
				return a, fmt.Errorf("answer has %d rows instead of one", rows)
			}
			return a, nil
		}
	}
}

func (c *control) setColumns(m *pgproto3.RowDescription) {
	if len(c.columns) == len(m.Fields) && sameColumns(c.columns, m.Fields) {
		return
	}
	c.columns = make([]string, len(m.Fields))
	for i, f := range m.Fields {
		c.columns[i] = string(f.Name)
	}
}

func sameColumns(columns []string, fields []pgproto3.FieldDescription) bool {
	for i, f := range fields {
		if columns[i] != string(f.Name) {
			return false
		}
	}
	return true
}

func (c *control) parse(a *Answer, row *pgproto3.DataRow) error {
	if len(row.Values) != len(c.columns) {
		return fmt.Errorf("row has %d values for %d columns", len(row.Values), len(c.columns))
	}
	for i, column := range c.columns {
		if err := a.set(column, string(row.Values[i])); err != nil {
			return fmt.Errorf("column %s: %w", column, err)
		}
	}
	return nil
}

func (c *control) close() { c.link.Close() }

func (a *Answer) set(column, value string) (err error) {
	switch column {
	case columnRole:
		a.Status.Role = routing.Role(value)
	case columnPromised:
		a.Status.PromisedTerm, err = strconv.ParseUint(value, 10, 64)
	case columnHeld:
		a.Status.LogEnd, err = session.ParsePosition(value)
	case columnApplied:
		a.Status.Applied, err = session.ParsePosition(value)
	case columnActive:
		a.Status.Active, err = strconv.Atoi(value)
	case columnTerms:
		a.Status.Terms, err = session.ParsePositions(value)
	case columnPrimary:
		a.Status.Primary = value
	case columnGranted:
		a.Granted, err = strconv.ParseBool(value)
	}
	return err
}
