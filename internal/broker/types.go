// Package broker runs the statements of one service on the VM that owns it. The owner alone holds
// connections to the service's servers, so it knows how many statements run on each server, which
// position the primary has reached, and that nobody uses a primary that it has replaced.
package broker

import (
	"context"
	"fmt"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

// Conn is a connection to a server that belongs to one workspace.
type Conn interface {
	// Do sends all commands at once and returns their answers. With an error, the answers that were
	// complete are returned.
	Do(commands []statement.Command, deadline time.Time) ([]statement.Response, error)
	Close() error
}

// Dialer opens connections to servers.
type Dialer interface {
	// Dial returns a *RefusedError if the server refuses the session.
	Dial(ctx context.Context, s directory.Server, workspace string) (Conn, error)
	// ParseStatus decodes the answer to a status command.
	ParseStatus(a statement.Response) (Status, error)
}

// RefusedError is the refusal of a session by a server.
type RefusedError struct {
	Code   statement.Code
	Detail string
}

// Error names the code.
func (e *RefusedError) Error() string { return fmt.Sprintf("session refused: %s %s", e.Code, e.Detail) }

// Status is the replication status of a server.
type Status struct {
	Primary           bool
	Term              uint64
	Received, Applied session.Position
	Lag               time.Duration
}

// Request is one statement of a caller, sent by the VM that holds the caller's session.
type Request struct {
	// Stream is the transaction or single statement; its first statement opens it.
	Stream    uint64 `cbor:"1,keyasint,omitzero"`
	Service   string `cbor:"2,keyasint,omitzero"`
	Workspace string `cbor:"3,keyasint,omitzero"`
	// First marks the first statement of a request, which counts against the workspace's rate.
	First bool `cbor:"4,keyasint,omitzero"`
	// Begin is Begin or BeginRead for the first statement of a transaction, otherwise zero.
	Begin            statement.Kind          `cbor:"5,keyasint,omitzero"`
	Consistency      directory.Consistency   `cbor:"6,keyasint,omitzero"`
	MaxStaleness     time.Duration           `cbor:"7,keyasint,omitzero"`
	MinPosition      session.Position        `cbor:"8,keyasint,omitzero"` // last acknowledged write of the session
	Priority         int                     `cbor:"9,keyasint,omitzero"`
	LatencyObjective time.Duration           `cbor:"10,keyasint,omitzero"` // in which the caller expects the answer; 0 means none
	Timeout          time.Duration           `cbor:"11,keyasint,omitzero"` // until the answer is of no use
	Statement        statement.Statement     `cbor:"12,keyasint,omitzero"`
	Prepared         statement.PreparedQuery `cbor:"13,keyasint,omitzero"` // of an execution
	Settings         []statement.Setting     `cbor:"14,keyasint,omitzero"`
}

// Writes reports whether the statement changes data.
func (r *Request) Writes() bool {
	switch r.Statement.Kind {
	case statement.Write:
		return true
	case statement.Execute:
		return r.Prepared.Writes
	}
	return false
}

// Repeatable reports whether the caller loses nothing if the answer is not waited for: nothing is kept of
// a read, nor of a transaction without its commit.
func (r *Request) Repeatable() bool {
	inTransaction := !r.First || r.Begin != 0
	return r.Statement.Kind != statement.Commit && (inTransaction || !r.Writes())
}

// Result is the answer to a Request.
type Result struct {
	Stream   uint64             `cbor:"1,keyasint,omitzero"`
	Response statement.Response `cbor:"2,keyasint,omitzero"`
	// TransactionOpen is set while the stream's transaction continues.
	TransactionOpen bool `cbor:"3,keyasint,omitzero"`
	// NotOwner means that another VM owns the service; the statement did not run.
	NotOwner bool `cbor:"4,keyasint,omitzero"`
}

// RateLimiter admits the requests of workspaces.
type RateLimiter interface {
	// Admit calls done once with whether a request is inside the rate of its workspace, possibly before it
	// returns.
	Admit(workspace string, done func(bool))
}

// StreamKey identifies a stream. Link is the connection between VMs that it came by, 0 for this VM.
type StreamKey struct{ Link, Stream uint64 }

// Lease is what a broker needs to know of its ownership.
type Lease interface {
	// Valid reports whether this VM may act as the owner now.
	Valid(service string) bool
	// Promote records a server as the primary and makes it lead. It returns once the platform has
	// accepted the order.
	Promote(ctx context.Context, service, server string) error
}
