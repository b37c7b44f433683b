package link

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/session"
)

// Result is the answer to a statement that the proxy itself sends over a link.
type Result struct {
	Columns  []string
	Values   []string
	Position session.Position // of the write that the statement committed
	Wrote    bool
}

// TargetError is an error that a target reported. The link stays usable.
type TargetError struct {
	Server, Statement string
	Message, SQLState string
}

// Error names the target, the statement and the target's message.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target %s: %s: %s (SQLSTATE %s)", e.Server, e.Statement, e.Message, e.SQLState)
}

// Column returns the value of a column of the first row, or an empty string.
func (r Result) Column(name string) string {
	for i, c := range r.Columns {
		if c == name && i < len(r.Values) {
			return r.Values[i]
		}
	}
	return ""
}

// SendRaw queues an encoded message until Flush.
func (l *Link) SendRaw(encoded []byte) { l.out = append(l.out, encoded...) }

// Simple runs one statement with the simple query protocol and returns its first row. A
// *TargetError leaves the link usable; any other failure breaks it.
func (l *Link) Simple(statement string) (Result, error) {
	results, err := l.Pipeline(statement)
	if err != nil {
		return Result{}, err
	}
	return results[0], nil
}

// Pipeline runs statements one after the other in one exchange. All are executed even if one fails; the
// error is that of the first one that failed.
func (l *Link) Pipeline(statements ...string) ([]Result, error) {
	for _, s := range statements {
		if err := l.QueueSimple(s); err != nil {
			return nil, err
		}
	}
	if err := l.Flush(); err != nil {
		return nil, err
	}
	return l.ReceiveSimple(statements...)
}

// QueueSimple queues a statement until Flush. Its answer is read by ReceiveSimple.
func (l *Link) QueueSimple(statement string) error { return l.Send(&pgproto3.Query{String: statement}) }

// ReceiveSimple returns the answers to queued statements.
func (l *Link) ReceiveSimple(statements ...string) ([]Result, error) {
	results := make([]Result, len(statements))
	var first error
	for i, s := range statements {
		res, err := l.receiveSimple(s)
		if l.broken {
			return nil, err
		}
		if first == nil {
			first = err
		}
		results[i] = res
	}
	return results, first
}

func (l *Link) receiveSimple(statement string) (Result, error) {
	var res Result
	var failure error
	for {
		msg, err := l.Receive()
		if err != nil {
			return Result{}, err
		}
		switch m := msg.(type) {
		case *pgproto3.RowDescription:
			res.setColumns(m)
		case *pgproto3.DataRow:
			res.setValues(m)
		case *pgproto3.ParameterStatus:
			err = res.setPosition(m)
		case *pgproto3.ErrorResponse:
			failure = &TargetError{Server: l.Server, Statement: statement, Message: m.Message, SQLState: m.Code}
		case *pgproto3.ReadyForQuery:
			return res, failure
		}
		if err != nil {
			l.broken = true
			return Result{}, err
		}
	}
}

func (r *Result) setColumns(m *pgproto3.RowDescription) {
	r.Columns = r.Columns[:0]
	for _, f := range m.Fields {
		r.Columns = append(r.Columns, string(f.Name))
	}
}

func (r *Result) setValues(m *pgproto3.DataRow) {
	if r.Values != nil {
		return
	}
	for _, v := range m.Values {
		r.Values = append(r.Values, strings.Clone(string(v)))
	}
}

func (r *Result) setPosition(m *pgproto3.ParameterStatus) (err error) {
	if m.Name != "group_position" {
		return nil
	}
	r.Position, err = session.ParsePosition(m.Value)
	r.Wrote = err == nil
	return err
}
