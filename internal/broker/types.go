// Package broker runs the statements of one service on the VM that owns it. Only the owner holds connections to the
// service's servers, so it knows how many statements run on each server, which position the primary has reached, and
// that nobody uses a primary that has been replaced.
package broker

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/limits"
	"siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

// Conn is a connection to a server on behalf of one workspace.
type Conn interface {
	// Do sends all commands at once and returns their responses. On an error, it returns the complete responses
	// received so far.
	Do(commands []statement.Command, deadline time.Time) ([]statement.Response, error)
	Close() error
}

// Dialer opens connections to servers.
type Dialer interface {
	// Dial returns a *RefusedError if the server refuses the session.
	Dial(ctx context.Context, s directory.Server, workspace string) (Conn, error)
	// ParseStatus decodes the response to a status command.
	ParseStatus(response statement.Response) (Status, error)
}

// RefusedError is returned when a server refuses a session.
type RefusedError struct {
	Code   statement.Code
	Detail string
}

func (e *RefusedError) Error() string { return fmt.Sprintf("session refused: %s %s", e.Code, e.Detail) }

// Status is the replication status of a server.
type Status struct {
	Primary           bool
	Term              uint64
	Received, Applied session.Position
	Lag               time.Duration
	// Busy is the number of slots in use, by the statements of all VMs and by the status query itself.
	Busy int
}

// Request is one statement of a caller, sent by the VM that holds the caller's session.
type Request struct {
	// Stream identifies the transaction or single statement; its first statement opens it.
	Stream    uint64 `cbor:"1,keyasint,omitzero"`
	Service   string `cbor:"2,keyasint,omitzero"`
	Workspace string `cbor:"3,keyasint,omitzero"`
	// First marks the first statement of a request, which counts against the workspace's rate limit.
	First bool `cbor:"4,keyasint,omitzero"`
	// Begin is Begin or BeginReadOnly for the first statement of a transaction, otherwise zero.
	Begin            statement.Kind          `cbor:"5,keyasint,omitzero"`
	Consistency      directory.Consistency   `cbor:"6,keyasint,omitzero"`
	MaxStaleness     time.Duration           `cbor:"7,keyasint,omitzero"`
	MinPosition      session.Position        `cbor:"8,keyasint,omitzero"` // of the session's last acknowledged write
	Priority         int                     `cbor:"9,keyasint,omitzero"`
	LatencyObjective time.Duration           `cbor:"10,keyasint,omitzero"` // expected response time; 0 means none
	Timeout          time.Duration           `cbor:"11,keyasint,omitzero"` // time after which the response is of no use
	Statement        statement.Statement     `cbor:"12,keyasint,omitzero"`
	Prepared         statement.PreparedQuery `cbor:"13,keyasint,omitzero"` // of an execution
	Settings         []statement.Setting     `cbor:"14,keyasint,omitzero"`
	// AtReplicas sends a read to the broker of the receiving VM that serves the replicas of its failure domain.
	AtReplicas bool `cbor:"15,keyasint,omitzero"`
	// Admitted marks a request that another broker has already counted against the workspace's rate limit.
	Admitted bool `cbor:"16,keyasint,omitzero"`
	// GivenUp is how often another broker gave up this read at a server that did not answer it.
	GivenUp int `cbor:"17,keyasint,omitzero"`
	// Held is the memory that a request from another VM is charged for; Refused is set if there was none.
	Held    *limits.Hold `cbor:"-"`
	Refused bool         `cbor:"-"`
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

// ReplicaCanServe reports whether a replica can serve the first statement of the request's stream, as far as the
// request tells.
func (r *Request) ReplicaCanServe() bool {
	return r.First && r.Consistency != directory.Latest && !r.Writes() &&
		(r.Begin == 0 || r.Begin == statement.BeginReadOnly)
}

// Repeatable reports whether the caller can repeat the request if its response is abandoned: reads change nothing,
// and a transaction without its commit is rolled back.
func (r *Request) Repeatable() bool {
	inTransaction := !r.First || r.Begin != 0
	return r.Statement.Kind != statement.Commit && (inTransaction || !r.Writes())
}

// Result is the response to a Request.
type Result struct {
	Stream   uint64             `cbor:"1,keyasint,omitzero"`
	Response statement.Response `cbor:"2,keyasint,omitzero"`
	// TransactionOpen is set while the stream's transaction is open.
	TransactionOpen bool `cbor:"3,keyasint,omitzero"`
	// NotOwner means that another VM owns the service; the statement did not run.
	NotOwner bool `cbor:"4,keyasint,omitzero"`
	// Admitted is set with NotOwner if the request was counted against the workspace's rate limit.
	Admitted bool `cbor:"5,keyasint,omitzero"`
	// GivenUp is set with NotOwner to how often the read was given up at a server that did not answer it.
	GivenUp int `cbor:"6,keyasint,omitzero"`
}

// PositionReport tells a VM that serves replicas what the owner knows about the primary's position.
type PositionReport struct {
	// Position is the latest position that the primary has reported, Age the time since the owner asked for it.
	Position session.Position `cbor:"1,keyasint,omitzero"`
	Age      time.Duration    `cbor:"2,keyasint,omitzero"`
	// Replicas holds the servers of the asking VM's failure domain, by server.
	Replicas map[string]ReplicaStatus `cbor:"3,keyasint,omitzero"`
	// Known is false if the receiver does not own the service or knows no primary.
	Known bool `cbor:"4,keyasint,omitzero"`
	// FreeElsewhere is the number of free slots of the servers outside the failure domain that can serve reads.
	FreeElsewhere int `cbor:"5,keyasint,omitzero"`
}

// ReplicaStatus is the part of a replica's status by which reads are placed.
type ReplicaStatus struct {
	Applied session.Position `cbor:"1,keyasint,omitzero"`
	Lag     time.Duration    `cbor:"2,keyasint,omitzero"`
	// Outstanding is the number of statements that the owner and VMs other than the asking one have there.
	Outstanding int `cbor:"3,keyasint,omitzero"`
}

// RateLimiter applies the rate limits of workspaces.
type RateLimiter interface {
	// Admit calls done once with whether a request is within the rate of its workspace, possibly before it returns.
	Admit(workspace string, done func(bool))
}

// StreamKey identifies a stream. Link is the link over which it arrived, 0 for this VM.
type StreamKey struct{ Link, Stream uint64 }

// Lease is the broker's view of the ownership of its service.
type Lease interface {
	// Valid reports whether this VM may currently act as the owner.
	Valid(service string) bool
	// Promote records a server as the primary and promotes it. It returns once the platform has accepted the
	// promotion. After an error that does not wrap ErrNotPromoted, the promotion may still take effect at any time.
	Promote(ctx context.Context, service string, primary RecordedPrimary) error
	// RecordPrimary records a server that is already the primary.
	RecordPrimary(ctx context.Context, service string, primary RecordedPrimary) error
}

// RecordedPrimary is the primary of a service according to its owner record. Server is empty before the first change.
type RecordedPrimary struct {
	Server string
	// Term is the term from which on the server leads.
	Term uint64
}

// ErrNotPromoted means that a promotion has no effect, neither now nor later.
var ErrNotPromoted = errors.New("the server was not promoted")
