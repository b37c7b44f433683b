// Package statement holds the statements of callers, the commands that a server runs for them and
// the answers, independent of the protocol on either side.
package statement

import (
	"siskinrouter/internal/session"
)

// Kind is what a statement does.
type Kind uint8

// Kinds of statements.
const (
	Begin Kind = iota + 1
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	Set        // sets a session value
	Prepare    // names a statement for later
	Execute    // runs a prepared statement
	Deallocate // forgets a prepared statement
	Discard    // forgets all session values and prepared statements
	Status     // asks a server for its replication status
	StepDown   // makes a primary of a lower term a replica
)

// Statement is a statement as a caller sent it.
type Statement struct {
	ID   string `cbor:"1,keyasint,omitzero"` // the caller's id of the request
	Kind Kind   `cbor:"2,keyasint,omitzero"`
	Text string `cbor:"3,keyasint,omitzero"` // unchanged text
	Name string `cbor:"4,keyasint,omitzero"` // setting or prepared statement
	Args string `cbor:"5,keyasint,omitzero"` // value of a setting, shape of a prepared statement, or arguments of an execution
	// Writes is set for a prepared statement that changes data.
	Writes bool `cbor:"6,keyasint,omitzero"`
}

// PreparedQuery is what a prepared statement runs.
type PreparedQuery struct {
	Text   string `cbor:"1,keyasint,omitzero"`
	Writes bool   `cbor:"2,keyasint,omitzero"`
}

// Setting is a session value.
type Setting struct {
	Name  string `cbor:"1,keyasint,omitzero"`
	Value string `cbor:"2,keyasint,omitzero"`
}

// Command is one statement to be run on a server connection.
type Command struct {
	Kind Kind
	// ID is the caller's id; empty for statements that the proxy issues itself.
	ID   string
	Text string // for statements that are passed on unchanged
	Name string // setting or prepared statement
	Args string
	// Writes is set for a prepared statement that changes data.
	Writes bool
	// After makes a replica refuse the command unless its log contains this position.
	After session.Position
	// Term is the term of a StepDown.
	Term uint64
}

// Code is the outcome of a statement.
type Code uint8

// Outcomes. All from Overloaded to TooManyConnections promise that nothing is kept.
const (
	OK Code = iota
	Overloaded
	Aborted
	ReplicaBehind // the log of the server lacks the required position
	ReadOnly
	WrongServer
	TooManyConnections
	UnknownPrepared // no prepared statement of that name
	Failed          // the server ran the statement and it failed
	TimedOut
	OutcomeUnknown // the statement may have run
	AuthFailed
	UnknownDatabase
	TooLarge
	Malformed
)

// NotRun reports whether the code of a server says that the statement did not run.
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

// State of a session after a statement.
type State uint8

// States of a session.
const (
	Idle State = iota
	InTransaction
	FailedTransaction
)

// Response is the complete answer to one statement.
type Response struct {
	Rows      []string         `cbor:"1,keyasint,omitzero"`
	Signature string           `cbor:"2,keyasint,omitzero"` // proof of the server that it ran the statement
	Code      Code             `cbor:"3,keyasint,omitzero"`
	Detail    string           `cbor:"4,keyasint,omitzero"`
	State     State            `cbor:"5,keyasint,omitzero"`
	Position  session.Position `cbor:"6,keyasint,omitzero"` // end of the server's applied log; zero if not told
}

// Refusal returns an answer that refuses a statement.
func Refusal(code Code, detail string) Response { return Response{Code: code, Detail: detail} }
