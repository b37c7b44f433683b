// Package directory keeps what a VM knows of the operators' configuration, the database servers, the
// withdrawn failure domains, the other VMs and the owners of the services. News come from the
// platform's store and from other VMs; a later state always replaces an earlier one.
package directory

import (
	"context"
	"errors"
	"time"
)

// Kind is a class of objects in the platform's store. Each is listed and watched by itself.
type Kind uint8

// Kinds of objects.
const (
	Configurations Kind = iota
	Servers
	Withdrawals
	Fleet
	KindCount
)

var kindNames = [...]string{"configuration", "servers", "withdrawals", "fleet"}

// String returns the name of the kind for logs.
func (k Kind) String() string { return kindNames[k] }

// Consistency is what a route promises of its reads.
type Consistency uint8

// Consistencies of routes.
const (
	// Latest reads see every acknowledged write.
	Latest Consistency = iota
	// BoundedStaleness reads see every write that was acknowledged more than the maximum age ago.
	BoundedStaleness
	// ReadYourWrites reads are bounded and also see every write of their session.
	ReadYourWrites
)

// Route says how the requests for one database are served.
type Route struct {
	Name             string        `cbor:"1,keyasint,omitzero"`
	Database         string        `cbor:"2,keyasint,omitzero"`
	Service          string        `cbor:"3,keyasint,omitzero"`
	Consistency      Consistency   `cbor:"4,keyasint,omitzero"`
	MaxStaleness     time.Duration `cbor:"5,keyasint,omitzero"` // of Bounded and OwnWrites reads
	Timeout          time.Duration `cbor:"6,keyasint,omitzero"` // of one statement; 0 means none
	LatencyObjective time.Duration `cbor:"7,keyasint,omitzero"` // latency objective of a whole request
	Priority         int           `cbor:"8,keyasint,omitzero"` // 0 is the highest
	NoKey            bool          `cbor:"9,keyasint,omitzero"` // no key is asked for
}

// Service is a database group.
type Service struct {
	Name           string  `cbor:"1,keyasint,omitzero"`
	MaxConnections int     `cbor:"2,keyasint,omitzero"` // of one server, from all callers together
	WarmupRate     float64 `cbor:"3,keyasint,omitzero"` // requests per second that a cold server takes from the whole fleet; 0 means no limit
	SyncReplicas   int     `cbor:"4,keyasint,omitzero"` // replicas that acknowledge a commit before the caller
}

// Workspace is a customer.
type Workspace struct {
	Name     string  `cbor:"1,keyasint,omitzero"`
	Priority int     `cbor:"2,keyasint,omitzero"`
	Rate     float64 `cbor:"3,keyasint,omitzero"`
	Burst    float64 `cbor:"4,keyasint,omitzero"` // requests per second, and requests, of the whole fleet
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version    uint64               `cbor:"1,keyasint,omitzero"`
	Routes     map[string]Route     `cbor:"2,keyasint,omitzero"` // by database
	Services   map[string]Service   `cbor:"3,keyasint,omitzero"`
	Workspaces map[string]Workspace `cbor:"4,keyasint,omitzero"` // by name
	Keys       map[string]string    `cbor:"5,keyasint,omitzero"` // workspace by key
	// TxIdleTimeout is how long a transaction may rest between two statements.
	TxIdleTimeout time.Duration `cbor:"6,keyasint,omitzero"`
}

// Server is a database server as it registered itself.
type Server struct {
	ID        string `cbor:"1,keyasint,omitzero"`
	Service   string `cbor:"2,keyasint,omitzero"`
	Address   string `cbor:"3,keyasint,omitzero"`
	Domain    string `cbor:"4,keyasint,omitzero"`
	Slots     int    `cbor:"5,keyasint,omitzero"`
	Draining  bool   `cbor:"6,keyasint,omitzero"`
	Primary   bool   `cbor:"7,keyasint,omitzero"` // how the server sees itself
	StartTime int64  `cbor:"8,keyasint,omitzero"` // start of the process in Unix milliseconds; another value is another process
	// WarmingUp is set while the server is slow after its start.
	WarmingUp bool `cbor:"9,keyasint,omitzero"`
}

// VM is one run of an entry VM.
type VM struct {
	Name        string  `cbor:"1,keyasint,omitzero"`
	Incarnation uint64  `cbor:"2,keyasint,omitzero"` // random, another one for each start
	Address     string  `cbor:"3,keyasint,omitzero"` // IP:port for other VMs
	Domain      string  `cbor:"4,keyasint,omitzero"`
	Cores       float64 `cbor:"5,keyasint,omitzero"`
	Leaving     bool    `cbor:"6,keyasint,omitzero"`
}

// RunID names one run of a VM.
type RunID struct {
	Name        string `cbor:"1,keyasint,omitzero"`
	Incarnation uint64 `cbor:"2,keyasint,omitzero"`
}

// RunID returns the name of this run.
func (v VM) RunID() RunID { return RunID{v.Name, v.Incarnation} }

// OwnerRecord records which VM owns a service. It is changed by conditional updates only.
type OwnerRecord struct {
	Service string `cbor:"1,keyasint,omitzero"`
	Epoch   uint64 `cbor:"2,keyasint,omitzero"` // grows with each owner
	Holder  RunID  `cbor:"3,keyasint,omitzero"`
	// Predecessors are the owners before that were not known to have ended when this tenure began.
	Predecessors []RunID `cbor:"4,keyasint,omitzero" json:"Priors"`
	// HandedOver is set if the owner before wrote this record itself and has stopped.
	HandedOver bool `cbor:"5,keyasint,omitzero"`
	// Primary is the server that an owner has promoted or is about to promote; empty before the first change.
	Primary string `cbor:"6,keyasint,omitzero"`
}

// Entry is one object; exactly one of the pointers is set, none if the object could not be understood.
type Entry struct {
	Name          string         `cbor:"1,keyasint,omitzero"`
	Revision      uint64         `cbor:"2,keyasint,omitzero"`
	Deleted       bool           `cbor:"3,keyasint,omitzero"`
	Configuration *Configuration `cbor:"4,keyasint,omitzero"`
	Server        *Server        `cbor:"5,keyasint,omitzero"`
	VM            *VM            `cbor:"6,keyasint,omitzero"`
	OwnerRecord   *OwnerRecord   `cbor:"7,keyasint,omitzero"`
	// Patch stands for a configuration between VMs.
	Patch *Patch `cbor:"8,keyasint,omitzero"`
}

// Listing is the state of a kind, or the changes of a kind, up to a revision of the store.
type Listing struct {
	Kind Kind `cbor:"1,keyasint,omitzero"`
	// Since is set if only the changes after a revision are listed.
	Since    uint64  `cbor:"2,keyasint,omitzero"`
	Revision uint64  `cbor:"3,keyasint,omitzero"`
	Entries  []Entry `cbor:"4,keyasint,omitzero"`
}

// ErrCompacted means that the store no longer knows the changes since a revision.
var ErrCompacted = errors.New("the store has dropped the history of this revision")

// ErrConflict means that a conditional update met another revision.
var ErrConflict = errors.New("the object has changed")

// Store is the platform's store. Listings and updates are linearizable.
type Store interface {
	List(ctx context.Context, k Kind) (Listing, error)
	// Watch waits for changes after a revision, at most for the given time.
	Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (Listing, error)
	// PutVM replaces the record of a VM.
	PutVM(ctx context.Context, v VM) (Entry, error)
	// DeleteVM removes the record of a VM.
	DeleteVM(ctx context.Context, name string) error
	// OwnerRecord reads the record of a tenure.
	OwnerRecord(ctx context.Context, service string) (Entry, error)
	// PutOwnerRecord replaces the record of a tenure if it has the given revision; 0 creates it. On
	// ErrConflict the entry is the one that stands in the store.
	PutOwnerRecord(ctx context.Context, t OwnerRecord, revision uint64) (Entry, error)
}
