// Package peer connects the VMs of a fleet. A link carries messages in both directions over one TCP
// connection; requests and their answers are paired by a sequence number, and answers may come in
// any order.
package peer

import (
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
)

// Message is one message of a link. Exactly one of the pointers is set.
type Message struct {
	Seq            uint64             `cbor:"1,keyasint,omitzero"` // of a request, repeated in its answer; 0 if there is no answer
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
}

// Hello introduces a VM; it is the first message in each direction.
type Hello struct {
	VM          directory.VM                `cbor:"1,keyasint,omitzero"`
	LastChanges [directory.KindCount]uint64 `cbor:"2,keyasint,omitzero"` // last change of each kind that the sender knows
}

// EndStream rolls a stream of the sender back.
type EndStream struct {
	Stream uint64 `cbor:"1,keyasint,omitzero"`
}

// Renewal renews the tenures of the sender. Without tenures it says that the sender goes on with those that the store
// records for it; VMs whose promises do not count need no more.
type Renewal struct {
	Sent time.Duration `cbor:"1,keyasint,omitzero"` // on the sender's clock
	// OwnerRecords come with the revisions of their records, so that VMs find a new owner before the store tells them.
	OwnerRecords []directory.OwnerRecordEntry `cbor:"2,keyasint,omitzero"`
	// ConfirmedAge is the age of the sender's confirmation that its state is that of the store.
	ConfirmedAge [directory.KindCount]time.Duration `cbor:"3,keyasint,omitzero"`
	LastChanges  [directory.KindCount]uint64        `cbor:"4,keyasint,omitzero"` // last change of each kind that the sender knows
}

// RenewalAck answers a Beat with the services whose renewal is granted.
type RenewalAck struct {
	Sent        time.Duration               `cbor:"2,keyasint,omitzero"` // of the Beat
	Services    []string                    `cbor:"3,keyasint,omitzero"`
	LastChanges [directory.KindCount]uint64 `cbor:"4,keyasint,omitzero"` // last change of each kind that the sender knows
}

// FailureQuery asks whether the owner of a service counts as lost.
type FailureQuery struct {
	OwnerRecord directory.OwnerRecord `cbor:"1,keyasint,omitzero"`
}

// FailureVote answers a Poll.
type FailureVote struct {
	Suspected bool `cbor:"1,keyasint,omitzero"`
}

// Release says that the sender has stopped using a service.
type Release struct {
	Service string `cbor:"1,keyasint,omitzero"`
	Epoch   uint64 `cbor:"2,keyasint,omitzero"`
}

// Promote asks the VM that has the duty to make a server lead its service.
type Promote struct {
	Service string `cbor:"1,keyasint,omitzero"`
	Server  string `cbor:"2,keyasint,omitzero"`
}

// PromoteResult answers a Promote; Error is empty on success.
type PromoteResult struct {
	Error string `cbor:"1,keyasint,omitzero"`
}

// ChangesRequest asks for the changes of a kind after a revision. The answer is a listing.
type ChangesRequest struct {
	Kind  directory.Kind `cbor:"1,keyasint,omitzero"`
	Since uint64         `cbor:"2,keyasint,omitzero"`
}

// TokenRequest asks the keeper of a workspace's tokens for a number of them, and answers with the number that
// it hands out. Kept is set in the answer if the VM is the keeper.
type TokenRequest struct {
	Workspace   string `cbor:"1,keyasint,omitzero"`
	Count       int    `cbor:"2,keyasint,omitzero"`
	IsAllocator bool   `cbor:"3,keyasint,omitzero"`
}
