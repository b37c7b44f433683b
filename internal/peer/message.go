// Package peer connects the VMs of a fleet. A link carries messages in both directions over one TCP
// connection. Requests and responses are matched by sequence number, and responses may arrive in any
// order.
package peer

import (
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/usage"
)

// Message is one message of a link. Exactly one of the pointers is set.
type Message struct {
	Seq            uint64             `cbor:"1,keyasint,omitzero"` // of a request, repeated in its response; 0 for messages without a response
	IsResponse     bool               `cbor:"2,keyasint,omitzero"`
	Hello          *Hello             `cbor:"3,keyasint,omitzero"`
	Run            *broker.Request    `cbor:"4,keyasint,omitzero"`
	Result         *broker.Result     `cbor:"5,keyasint,omitzero"`
	EndStream      *EndStream         `cbor:"6,keyasint,omitzero"`
	Renewal        *Renewal           `cbor:"7,keyasint,omitzero"`
	RenewalAck     *RenewalAck        `cbor:"8,keyasint,omitzero"`
	FailureQuery   *FailureQuery      `cbor:"9,keyasint,omitzero"`
	FailureVote    *FailureVote       `cbor:"10,keyasint,omitzero"`
	Release        *Release           `cbor:"11,keyasint,omitzero"`
	Changes        *directory.Listing `cbor:"12,keyasint,omitzero"`
	Promote        *Promote           `cbor:"13,keyasint,omitzero"`
	PromoteResult  *PromoteResult     `cbor:"14,keyasint,omitzero"`
	TokenRequest   *TokenRequest      `cbor:"15,keyasint,omitzero"`
	ChangesRequest *ChangesRequest    `cbor:"16,keyasint,omitzero"`
	PositionQuery  *PositionQuery     `cbor:"17,keyasint,omitzero"`
	// PositionReport is the response to a PositionQuery.
	PositionReport   *broker.PositionReport `cbor:"18,keyasint,omitzero"`
	PromotionConfirm *PromotionConfirm      `cbor:"19,keyasint,omitzero"`
	UsageQuery       *UsageQuery            `cbor:"20,keyasint,omitzero"`
	UsageReport      *UsageReport           `cbor:"21,keyasint,omitzero"`
	PresenceQuery    *PresenceQuery         `cbor:"22,keyasint,omitzero"`
	PresenceReport   *PresenceReport        `cbor:"23,keyasint,omitzero"`
	// Reserve announces a large Run or Result. The message itself has the Seq of its Reserve in Reserved.
	Reserve  *Reserve `cbor:"30,keyasint,omitzero"`
	Reserved uint64   `cbor:"31,keyasint,omitzero"`
}

// Hello announces a VM; it is the first message in each direction.
type Hello struct {
	VM          directory.VM                `cbor:"1,keyasint,omitzero"`
	LastChanges [directory.KindCount]uint64 `cbor:"2,keyasint,omitzero"` // revision of the last change of each kind known to the sender
	// VotersNumber is the number of the configuration of the voters that the sender knows, 0 if it knows none.
	VotersNumber uint64 `cbor:"3,keyasint,omitzero"`
	// Reserves is set if the sender responds to Reserve.
	Reserves bool `cbor:"30,keyasint,omitzero"`
}

// Reserve asks the receiver for memory for a message of Bytes. The response has Granted set if it has the memory.
type Reserve struct {
	Bytes   int64 `cbor:"1,keyasint,omitzero"`
	Granted bool  `cbor:"2,keyasint,omitzero"`
}

// EndStream rolls back one of the sender's streams.
type EndStream struct {
	Stream uint64 `cbor:"1,keyasint,omitzero"`
}

// Renewal renews the leases of the sender. Without owner records it says that the sender keeps the services that the
// store records for it, which is all that VMs without a vote need.
type Renewal struct {
	Sent time.Duration `cbor:"1,keyasint,omitzero"` // on the sender's clock
	// OwnerRecords carry their store revisions, so that VMs learn of a new owner before the store reports it.
	OwnerRecords []directory.OwnerRecordEntry `cbor:"2,keyasint,omitzero"`
	// ConfirmedAge is the time since the sender confirmed that its state of each kind matches the store.
	ConfirmedAge [directory.KindCount]time.Duration `cbor:"3,keyasint,omitzero"`
	LastChanges  [directory.KindCount]uint64        `cbor:"4,keyasint,omitzero"` // revision of the last change of each kind known to the sender
	// Isolated is set if the sender has lost all its leases: it reaches neither the majority nor the store.
	Isolated bool `cbor:"5,keyasint,omitzero"`
	// Leaving is set if the sender is about to exit.
	Leaving bool `cbor:"6,keyasint,omitzero"`
	// VotersNumber is the number of the configuration of the voters under which the sender acts. Voters is set for a while
	// after a change.
	VotersNumber uint64                 `cbor:"7,keyasint,omitzero"`
	Voters       *directory.VotersEntry `cbor:"8,keyasint,omitzero"`
	// Poll is set if the sender watches which VMs of the fleet are there, and needs an acknowledgment from each.
	Poll bool `cbor:"9,keyasint,omitzero"`
}

// RenewalAck acknowledges a Renewal and lists the services whose renewal is granted.
type RenewalAck struct {
	Sent        time.Duration               `cbor:"2,keyasint,omitzero"` // of the Renewal
	Services    []string                    `cbor:"3,keyasint,omitzero"`
	LastChanges [directory.KindCount]uint64 `cbor:"4,keyasint,omitzero"` // revision of the last change of each kind known to the sender
	// Leaving is set if the sender is about to exit: it still votes, and takes no services.
	Leaving bool `cbor:"5,keyasint,omitzero"`
	// Presence states what the sender knows of the voters.
	Presence MemberState `cbor:"6,keyasint,omitzero"`
}

// MemberState is what a VM knows of the configuration of the voters.
type MemberState struct {
	Number uint64 `cbor:"1,keyasint,omitzero"` // of the latest configuration that it knows
	// Confirmed is set if it votes.
	Confirmed bool `cbor:"2,keyasint,omitzero"`
}

// PresenceQuery asks which of the named VMs the receiver has heard from recently.
type PresenceQuery struct {
	VMs []string `cbor:"1,keyasint,omitzero"`
}

// PresenceReport is the response to a PresenceQuery.
type PresenceReport struct {
	State MemberState `cbor:"1,keyasint,omitzero"`
	Heard []string    `cbor:"2,keyasint,omitzero"`
}

// FailureQuery asks whether the receiver suspects the owner of a service to have failed.
type FailureQuery struct {
	OwnerRecord directory.OwnerRecord `cbor:"1,keyasint,omitzero"`
	// Era is the era of the store that the sender knows. If the record is of an earlier one, the query asks for any owner.
	Era uint64 `cbor:"2,keyasint,omitzero"`
}

// FailureVote is the response to a FailureQuery.
type FailureVote struct {
	Suspected bool `cbor:"1,keyasint,omitzero"`
	// Epoch is the latest epoch of the service that the sender knows, if the record is of an earlier era of the store.
	Epoch uint64 `cbor:"2,keyasint,omitzero"`
	// NoneBefore is set if the owner has stated that no owner before it can act under a record that was lost.
	NoneBefore bool `cbor:"3,keyasint,omitzero"`
}

// Release reports that the sender has stopped using a service.
type Release struct {
	Service string `cbor:"1,keyasint,omitzero"`
	Epoch   uint64 `cbor:"2,keyasint,omitzero"`
	// Successor is the record of the next owner, so that it starts before the store reports the change.
	Successor *directory.OwnerRecordEntry `cbor:"3,keyasint,omitzero"`
	// Tokens holds the levels of the token buckets for which the sender was the allocator, by workspace. It is sent to
	// the next owner only.
	Tokens map[string]float64 `cbor:"4,keyasint,omitzero"`
}

// Promote asks the promotion coordinator to make a server the primary of its service.
type Promote struct {
	Service string `cbor:"1,keyasint,omitzero"`
	Server  string `cbor:"2,keyasint,omitzero"`
	// Attempt identifies the request in a PromotionConfirm.
	Attempt uint64 `cbor:"3,keyasint,omitzero"`
}

// PromoteResult is the response to a Promote; Error is empty on success.
type PromoteResult struct {
	Error string `cbor:"1,keyasint,omitzero"`
	// NotPromoted is set if the promotion has no effect, neither now nor later.
	NotPromoted bool `cbor:"2,keyasint,omitzero"`
}

// PromotionConfirm is sent by the promotion coordinator before it executes a Promote, which may have arrived late. The
// response repeats it with Wanted set if the owner still waits for the promotion.
type PromotionConfirm struct {
	Attempt uint64 `cbor:"1,keyasint,omitzero"`
	Wanted  bool   `cbor:"2,keyasint,omitzero"`
}

// PositionQuery asks the owner of a service for the primary's position. The sender serves reads at the replicas of a
// failure domain.
type PositionQuery struct {
	Service string `cbor:"1,keyasint,omitzero"`
	Domain  string `cbor:"2,keyasint,omitzero"`
	// Outstanding holds the statements that the sender has running or waiting at the replicas, by server.
	Outstanding map[string]int `cbor:"3,keyasint,omitzero"`
}

// UsageQuery asks a VM for the statements that it sent to servers between two ages, so that the clocks of VMs need not
// agree.
type UsageQuery struct {
	From time.Duration `cbor:"1,keyasint,omitzero"`
	To   time.Duration `cbor:"2,keyasint,omitzero"`
}

// UsageReport is the response to a UsageQuery. As a request, it hands over the counts of a VM that is about to exit; the
// response is then empty.
type UsageReport struct {
	Counts map[string]int `cbor:"1,keyasint,omitzero"` // by workspace
	// TimeOfDay is the time of day on the sender, since the start of 1970.
	TimeOfDay time.Duration `cbor:"2,keyasint,omitzero"`
	// CountingFor is the time for which the sender has counted.
	CountingFor time.Duration `cbor:"3,keyasint,omitzero"`
	Spans       []usage.Span  `cbor:"4,keyasint,omitzero"` // counts that are handed over
	// Refused is set in the response of a VM that does not take over counts, because it exits or does not report usage.
	Refused bool `cbor:"5,keyasint,omitzero"`
}

// ChangesRequest requests the changes of a kind after a revision. The response is a directory.Listing.
type ChangesRequest struct {
	Kind  directory.Kind `cbor:"1,keyasint,omitzero"`
	Since uint64         `cbor:"2,keyasint,omitzero"`
}

// TokenRequest asks the allocator of a workspace's tokens for Count tokens. In the response Count is the number
// granted, and IsAllocator reports whether the allocator has responded.
type TokenRequest struct {
	Workspace   string `cbor:"1,keyasint,omitzero"`
	Count       int    `cbor:"2,keyasint,omitzero"`
	IsAllocator bool   `cbor:"3,keyasint,omitzero"`
	// VM is the VM that admits the requests, Spent what it has admitted since the start of an outage of the allocator.
	VM     string        `cbor:"4,keyasint,omitzero"`
	Outage time.Duration `cbor:"5,keyasint,omitzero"` // on the clock of VM
	Spent  int           `cbor:"6,keyasint,omitzero"`
	// Forward asks a VM that is not the allocator to pass on the request, because VM cannot reach the allocator.
	Forward bool `cbor:"7,keyasint,omitzero"`
}
