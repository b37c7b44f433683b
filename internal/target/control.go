package target

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

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
	conn *pgconn.PgConn
}

// openControl connects with the proxy's own credentials.
func openControl(ctx context.Context, address string, cred link.Credentials) (*control, error) {
	conn, err := link.Connect(ctx, address, cred)
	if err != nil {
		return nil, fmt.Errorf("control connection to %s: %w", address, err)
	}
	return &control{conn: conn}, nil
}

// do runs one control statement.
func (c *control) do(ctx context.Context, statement string) (Answer, error) {
	results, err := c.conn.Exec(ctx, statement).ReadAll()
	if err != nil {
		return Answer{}, fmt.Errorf("%s: %w", statement, err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return Answer{}, fmt.Errorf("%s: answer does not have exactly one row", statement)
	}
	return parseAnswer(results[0])
}

func (c *control) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
}

// closeTimeout bounds the farewell on a control connection whose peer may no longer answer.
const closeTimeout = 50 * time.Millisecond

func parseAnswer(r *pgconn.Result) (Answer, error) {
	var a Answer
	var err error
	for i, field := range r.FieldDescriptions {
		if err = a.set(field.Name, string(r.Rows[0][i])); err != nil {
			return Answer{}, fmt.Errorf("column %s: %w", field.Name, err)
		}
	}
	return a, nil
}

func (a *Answer) set(column, value string) (err error) {
	switch column {
	case columnRole:
		a.Status.Role = routing.Role(value)
	case columnPromised:
		a.Status.PromisedTerm, err = strconv.ParseUint(value, 10, 64)
	case columnHeld:
		a.Status.Held, err = session.ParsePosition(value)
	case columnApplied:
		a.Status.Applied, err = session.ParsePosition(value)
	case columnActive:
		a.Status.Active, err = strconv.Atoi(value)
	case columnPrimary:
		a.Status.Primary = value
	case columnGranted:
		a.Granted, err = strconv.ParseBool(value)
	}
	return err
}
