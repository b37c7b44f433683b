// Package statement defines the statements of callers, the commands that a server runs for them and the
// responses, independent of the protocol on either side.
package statement

import (
	"siskinrouter/internal/limits"
	"siskinrouter/internal/session"
)

// Kind is the type of a statement.
type Kind uint8

const (
	Begin Kind = iota + 1
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Set        // sets a session setting
	Prepare    // creates a prepared statement
	Execute    // runs a prepared statement
	Deallocate // removes a prepared statement
	Discard    // resets all session settings and removes all prepared statements
	Status     // queries the replication status of a server
	StepDown   // turns a primary of a lower term into a replica
)

// Statement is a statement as received from a caller.
type Statement struct {
	ID   string `cbor:"1,keyasint,omitzero"` // request id chosen by the caller
	Kind Kind   `cbor:"2,keyasint,omitzero"`
	Text string `cbor:"3,keyasint,omitzero"` // text as received
	Name string `cbor:"4,keyasint,omitzero"` // of the setting or prepared statement
	Args string `cbor:"5,keyasint,omitzero"` // value of a setting, query of a prepared statement, or arguments of an execution
	// Writes is set for a prepared statement that changes data.
	Writes bool `cbor:"6,keyasint,omitzero"`
}

// PreparedQuery is the query of a prepared statement.
type PreparedQuery struct {
	Text   string `cbor:"1,keyasint,omitzero"`
	Writes bool   `cbor:"2,keyasint,omitzero"`
}

// Setting is a session setting.
type Setting struct {
	Name  string `cbor:"1,keyasint,omitzero"`
	Value string `cbor:"2,keyasint,omitzero"`
}

// Command is a statement to be run on a server connection.
type Command struct {
	Kind Kind
	// ID is the request id chosen by the caller; empty for statements that the proxy issues itself.
	ID   string
	Text string // for statements that are forwarded unchanged
	Name string // of the setting or prepared statement
	Args string
	// Writes is set for a prepared statement that changes data.
	Writes bool
	// After makes a replica reject the command unless its log contains this position.
	After session.Position
	// Term is the new term of a StepDown.
	Term uint64
}

// Code is the outcome of a statement.
type Code uint8

// Outcomes. All codes from Overloaded to TooManyConnections guarantee that the statement had no lasting effect.
const (
	OK Code = iota
	Overloaded
	Aborted
	ReplicaBehind // the log of the server lacks the required position
	ReadOnly
	WrongServer
	TooManyConnections
	UnknownPrepared // there is no prepared statement of that name
	Failed          // the server ran the statement and it failed
	TimedOut
	OutcomeUnknown // the statement may have run
	AuthFailed
	UnknownDatabase
	TooLarge
	Malformed
)

// NotRun reports whether a server's code means that the statement did not run.
func (c Code) NotRun() bool {
	switch c {
	case Overloaded, ReplicaBehind, ReadOnly, UnknownPrepared, WrongServer, TooManyConnections:
		return true
	}
	return false
}

var codeNames = [...]string{"ok", "overloaded", "aborted", "behind", "read only", "wrong server",
	"too many connections", "unknown prepared statement", "failed", "timed out", "uncertain", "authentication failed",
	"unknown database", "too large", "malformed"}

// String returns the name of the code for logs.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}

// State is the transaction state of a session after a statement.
type State uint8

const (
	Idle State = iota
	InTransaction
	FailedTransaction
)

// Response is the complete response to one statement.
type Response struct {
	Rows      []string         `cbor:"1,keyasint,omitzero"`
	Signature string           `cbor:"2,keyasint,omitzero"` // the server's proof that it ran the statement
	Code      Code             `cbor:"3,keyasint,omitzero"`
	Detail    string           `cbor:"4,keyasint,omitzero"`
	State     State            `cbor:"5,keyasint,omitzero"`
	Position  session.Position `cbor:"6,keyasint,omitzero"` // end of the server's applied log; zero if not reported
	// Held is the memory that the rows are charged for. Who delivers or drops the response releases it.
	Held *limits.Hold `cbor:"-"`
}

// Refusal returns a response that rejects a statement.
func Refusal(code Code, detail string) Response { return Response{Code: code, Detail: detail} }
