// Package directory keeps a VM's copy of the operators' configuration, the database servers, the withdrawn
// failure domains, the other VMs and the owners of the services. Updates come from the platform's store and
// from other VMs; a more recent state always replaces an older one.
package directory

import (
	"context"
	"errors"
	"time"

	"siskinrouter/internal/membership"
)

// Kind is a class of objects in the platform's store. Each kind is listed and watched separately.
type Kind uint8

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

// Consistency is the read consistency of a route.
type Consistency uint8

const (
	// Latest reads see every acknowledged write.
	Latest Consistency = iota
	// BoundedStaleness reads see every write that was acknowledged more than the maximum staleness ago.
	BoundedStaleness
	// ReadYourWrites reads have bounded staleness and also see every write of their session.
	ReadYourWrites
)

// Route defines how the requests for one database are served.
type Route struct {
	Name             string        `cbor:"1,keyasint,omitzero"`
	Database         string        `cbor:"2,keyasint,omitzero"`
	Service          string        `cbor:"3,keyasint,omitzero"`
	Consistency      Consistency   `cbor:"4,keyasint,omitzero"`
	MaxStaleness     time.Duration `cbor:"5,keyasint,omitzero"` // of BoundedStaleness and ReadYourWrites reads
	Timeout          time.Duration `cbor:"6,keyasint,omitzero"` // of one statement; 0 means none
	LatencyObjective time.Duration `cbor:"7,keyasint,omitzero"` // of a whole request
	Priority         int           `cbor:"8,keyasint,omitzero"` // 0 is the highest
	NoKey            bool          `cbor:"9,keyasint,omitzero"` // no API key is required
}

// Service is a database group: one primary and its replicas.
type Service struct {
	Name           string  `cbor:"1,keyasint,omitzero"`
	MaxConnections int     `cbor:"2,keyasint,omitzero"` // of one server, from all callers together
	WarmupRate     float64 `cbor:"3,keyasint,omitzero"` // requests per second that the whole fleet sends to a server that is warming up; 0 means no limit
	SyncReplicas   int     `cbor:"4,keyasint,omitzero"` // replicas that acknowledge a commit before the caller is answered
}

// Workspace is a customer with its request limits.
type Workspace struct {
	Name     string  `cbor:"1,keyasint,omitzero"`
	Priority int     `cbor:"2,keyasint,omitzero"`
	Rate     float64 `cbor:"3,keyasint,omitzero"` // requests per second, of the whole fleet
	Burst    float64 `cbor:"4,keyasint,omitzero"` // requests, of the whole fleet
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version    uint64               `cbor:"1,keyasint,omitzero"`
	Routes     map[string]Route     `cbor:"2,keyasint,omitzero"` // by database
	Services   map[string]Service   `cbor:"3,keyasint,omitzero"`
	Workspaces map[string]Workspace `cbor:"4,keyasint,omitzero"` // by name
	Keys       map[string]string    `cbor:"5,keyasint,omitzero"` // workspace by API key
	// TxIdleTimeout is how long a transaction may be idle between two statements.
	TxIdleTimeout time.Duration `cbor:"6,keyasint,omitzero"`
}

// Server is the registration of a database server.
type Server struct {
	ID        string `cbor:"1,keyasint,omitzero"`
	Service   string `cbor:"2,keyasint,omitzero"`
	Address   string `cbor:"3,keyasint,omitzero"`
	Domain    string `cbor:"4,keyasint,omitzero"`
	Slots     int    `cbor:"5,keyasint,omitzero"`
	Draining  bool   `cbor:"6,keyasint,omitzero"`
	Primary   bool   `cbor:"7,keyasint,omitzero"` // role reported by the server
	StartTime int64  `cbor:"8,keyasint,omitzero"` // start of the process in Unix milliseconds; another value means another process
	// WarmingUp is set while the server is slow after its start.
	WarmingUp bool `cbor:"9,keyasint,omitzero"`
}

// VM is one run of a proxy VM.
type VM struct {
	Name        string  `cbor:"1,keyasint,omitzero"`
	Incarnation uint64  `cbor:"2,keyasint,omitzero"` // random, different for each start
	Address     string  `cbor:"3,keyasint,omitzero"` // IP:port used by other VMs
	Domain      string  `cbor:"4,keyasint,omitzero"`
	Cores       float64 `cbor:"5,keyasint,omitzero"`
	Leaving     bool    `cbor:"6,keyasint,omitzero"`
}

// RunID identifies one run of a VM.
type RunID struct {
	Name        string `cbor:"1,keyasint,omitzero"`
	Incarnation uint64 `cbor:"2,keyasint,omitzero"`
}

// RunID returns the identity of this run.
func (v VM) RunID() RunID { return RunID{v.Name, v.Incarnation} }

// OwnerRecord records which VM owns a service. It is changed by conditional updates only.
type OwnerRecord struct {
	Service string `cbor:"1,keyasint,omitzero"`
	Epoch   uint64 `cbor:"2,keyasint,omitzero"` // increases with each owner
	Holder  RunID  `cbor:"3,keyasint,omitzero"`
	// Predecessors are the previous owners that were not known to have ended when this ownership began.
	Predecessors []RunID `cbor:"4,keyasint,omitzero" json:"Priors"`
	// HandedOver is set if the previous owner wrote this record itself and has stopped serving.
	HandedOver bool `cbor:"5,keyasint,omitzero"`
	// Primary is the server that an owner has promoted or is about to promote; empty before the first change.
	Primary string `cbor:"6,keyasint,omitzero"`
	// PrimaryTerm is the term from which on Primary leads. In an earlier term it is a former primary that has not
	// learned of its successor, and the promotion has not taken effect.
	PrimaryTerm uint64 `cbor:"8,keyasint,omitzero"` // 7 is the revision of an OwnerRecordEntry
	// Era is the era of the store that the writer knew.
	Era uint64 `cbor:"9,keyasint,omitzero" json:",omitempty"`
	// LostPredecessors is set if there may be previous owners that Predecessors does not name, because their records
	// were lost when the store returned from an older copy.
	LostPredecessors bool `cbor:"10,keyasint,omitzero" json:",omitempty"`
	// FirstEpoch is the epoch with which the ownership began, if the holder has written the record again since then in a
	// later era of the store.
	FirstEpoch uint64 `cbor:"11,keyasint,omitzero" json:",omitempty"`
}

// Ownership returns the epoch with which the ownership began.
func (r OwnerRecord) Ownership() uint64 {
	if r.FirstEpoch > 0 {
		return r.FirstEpoch
	}
	return r.Epoch
}

// VotersName is the name of the object of kind Fleet that holds the configuration of the voters.
const VotersName = "voters"

// Entry is one object of the store. Exactly one of the pointers is set, or none if the object could not be
// decoded.
type Entry struct {
	Name          string                    `cbor:"1,keyasint,omitzero"`
	Revision      uint64                    `cbor:"2,keyasint,omitzero"`
	Deleted       bool                      `cbor:"3,keyasint,omitzero"`
	Configuration *Configuration            `cbor:"4,keyasint,omitzero"`
	Server        *Server                   `cbor:"5,keyasint,omitzero"`
	VM            *VM                       `cbor:"6,keyasint,omitzero"`
	OwnerRecord   *OwnerRecord              `cbor:"7,keyasint,omitzero"`
	Voters        *membership.Configuration `cbor:"9,keyasint,omitzero"`
	// Patch replaces Configuration in messages between VMs.
	Patch *Patch `cbor:"8,keyasint,omitzero"`
}

// Listing is the state of a kind at a revision of the store, or its changes up to that revision.
type Listing struct {
	Kind Kind `cbor:"1,keyasint,omitzero"`
	// Since is the revision after which changes are listed; 0 if the listing is complete.
	Since    uint64  `cbor:"2,keyasint,omitzero"`
	Revision uint64  `cbor:"3,keyasint,omitzero"`
	Entries  []Entry `cbor:"4,keyasint,omitzero"`
}

// ErrCompacted means that the store no longer keeps the changes since a revision.
var ErrCompacted = errors.New("the store has dropped the history of this revision")

// ErrConflict means that a conditional update found another revision.
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
	// ObserveEra tells the store's client of an era that another VM knows. Calls that are based on an earlier era then
	// fail.
	ObserveEra(era uint64)
	// OwnerRecord reads the owner record of a service.
	OwnerRecord(ctx context.Context, service string) (Entry, error)
	// PutOwnerRecord replaces the owner record of a service if it has the given revision; the number 0, in any era,
	// creates it. On ErrConflict it returns the entry that is in the store, a deleted one if there is none.
	PutOwnerRecord(ctx context.Context, record OwnerRecord, revision uint64) (Entry, error)
	// PutVoters replaces the configuration of the voters under the same conditions.
	PutVoters(ctx context.Context, voters membership.Configuration, revision uint64) (Entry, error)
}
