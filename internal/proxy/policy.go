// Package proxy serves callers with the PostgreSQL protocol: it authenticates them, chooses a target for
// each transaction by the rules of the daemon, and relays messages between both.
package proxy

import (
	"context"

	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/retry"
	"siskinrouter/internal/target"
)

// Access is what a caller was granted at login.
type Access struct {
	Workspace  fleetconfig.Workspace
	KeyID      string // names the key; empty on an open route
	Database   string // as given by the caller
	Service    string
	Route      fleetconfig.Route
	Group      *target.Group
	Generation uint64 // generation of the policy that this access reflects
}

// Policy answers the questions of the proxy from the current configuration. Its errors are *verdict.Error.
type Policy interface {
	// NeedsKey reports whether the route of a database asks for a key.
	NeedsKey(database string) (bool, error)
	// Login checks the key of a workspace.
	Login(database, workspace, key string) (*Access, error)
	// Renew returns the access under the current configuration, or the reason why the caller
	// may not start new work any more.
	Renew(a *Access) (*Access, error)
	// Admit charges one request to the workspace. It may wait a short time for a loan of rate.
	Admit(ctx context.Context, a *Access) error
	// NewID returns an identifier for a request that names the VM.
	NewID() string
	// Explain records why a request was refused, routed or repeated.
	Explain(id string, lines ...string)
	// Retry decides whether a failed request may be sent again.
	Retry(f retry.Failure) (retry.Decision, retry.Reason)
	// CountRequest adds one request to the retry budget.
	CountRequest()
}
