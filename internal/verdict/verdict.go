// Package verdict defines whether a failed request may have run at a target, and the error type that carries
// this verdict from the point of failure to the caller.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict states whether a request may have taken effect.
type Verdict uint8

const (
	// NotRun means that no target has started the request.
	NotRun Verdict = iota
	// Ran means that the request has taken effect.
	Ran
	// MayHaveRun means that the outcome is not known.
	MayHaveRun
)

// String returns the text used in error fields: "not run", "ran" or "may have run".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// SQLSTATE codes used by the proxy, from appendix A of the PostgreSQL documentation.
const (
	StateConnectionFailure   = "08006" // the connection to a target broke
	StateUnknownResolution   = "08007" // the outcome of a transaction is not known
	StateProtocolViolation   = "08P01"
	StateFeatureNotSupported = "0A000"
	StateInvalidAuth         = "28P01" // wrong or withdrawn key
	StateInvalidCatalog      = "3D000" // unknown service or route
	StateReadOnly            = "25006"
	StateDuplicateRequest    = "23505" // request id already used by a finished transaction
	StateTooManyConnections  = "53300"
	StateRateExceeded        = "53400" // configured rate or burst exceeded
	StateQueryCanceled       = "57014"
	StateAdminShutdown       = "57P01"
	StateCannotConnectNow    = "57P03" // no target can serve the request now
	StateProgramLimit        = "54000" // message larger than the limit
	StateInternal            = "XX000"
)

// Error is a rejection or failure of a request, with its verdict.
type Error struct {
	Verdict   Verdict
	SQLState  string // five-character SQLSTATE
	Reason    string // human-readable cause
	RequestID string // identifies the request in `siskinrouter explain`; may be empty
	Err       error  // wrapped cause; may be nil
}

// Errorf returns an Error with a formatted reason. A %w argument becomes the wrapped cause.
func Errorf(v Verdict, sqlState, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Verdict: v, SQLState: sqlState, Reason: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the reason with SQLSTATE and verdict.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (SQLSTATE %s, %s)", e.Reason, e.SQLState, e.Verdict)
}

// Unwrap returns the wrapped cause.
func (e *Error) Unwrap() error { return e.Err }

// Detail returns the text of the Detail field sent to callers.
func (e *Error) Detail() string {
	if e.RequestID == "" {
		return fmt.Sprintf("verdict=%s", e.Verdict)
	}
	return fmt.Sprintf("verdict=%s id=%s", e.Verdict, e.RequestID)
}

// Of returns the verdict carried by err. An error without a verdict counts as MayHaveRun, the only safe
// assumption without further knowledge.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
