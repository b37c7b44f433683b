// Package fleet is the service between entry VMs: a connect-go server handler, and clients with
// limits on calls and message sizes, for Sync, Push, Borrow, Cancel, Explain and Status. No
// protobuf type leaves this package.
package fleet

import (
	"context"

	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
)

// Handler serves the calls of other VMs. Its methods are called concurrently and must return when
// the context ends.
type Handler interface {
	// Sync applies a heartbeat and returns the Hello of this VM with the objects that the caller lacks. It
	// returns at most MaxSyncBytes of objects, but at least one, and sets More if some were
	// omitted. machine.ErrOldIncarnation and machine.ErrGone are reported to the caller.
	Sync(ctx context.Context, hello machine.Hello) (SyncResult, error)
	// Push stores objects and returns the announced ones that this VM lacks.
	Push(ctx context.Context, objects []platform.Object, announced []machine.Version) (wanted []string, err error)
	// Borrow lends shares. It fails if the request is for another run of this VM.
	Borrow(ctx context.Context, req grant.BorrowRequest) (grant.BorrowReply, error)
	// Cancel cancels the statement that runs on a caller connection. An unknown link or a wrong
	// secret is ignored, as PostgreSQL does.
	Cancel(ctx context.Context, link uint64, secret []byte) error
	// Explain returns what is known about a request, one line per event.
	Explain(ctx context.Context, requestID string) ([]string, error)
	// Status returns the VM's view of the fleet.
	Status(ctx context.Context) (Status, error)
}

// SyncResult is the result of Sync.
type SyncResult struct {
	Hello   machine.Hello
	Objects []platform.Object
	More    bool // objects were omitted because of the size limit
}

// Status is one VM's view of the fleet.
type Status struct {
	VM       machine.VM
	Versions []machine.Version
	Members  []machine.VM
	Groups   []GroupStatus
	Domains  []DomainStatus
	Counters map[string]int64
}

// GroupStatus is one VM's view of a database group.
type GroupStatus struct {
	Name    string
	Primary string // server name, empty if none is known
	Term    uint64
	Healthy bool
	Detail  string
	Servers []ServerStatus
}

// ServerStatus is one VM's view of a server.
type ServerStatus struct {
	Name    string
	Role    string
	Healthy bool
	Detail  string
}

// DomainStatus is one VM's view of a failure domain.
type DomainStatus struct {
	Name   string
	State  string
	Detail string
}
