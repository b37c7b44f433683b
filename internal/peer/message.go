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
	Seq     uint64 // of a request, repeated in its answer; 0 if there is no answer
	Answer  bool
	Hello   *Hello
	Run     *broker.Request
	Result  *broker.Result
	End     *End
	Beat    *Beat
	Grant   *Grant
	Poll    *Poll
	Vote    *Vote
	Release *Release
	News    *directory.Listing
	Promote *Promote
	Done    *Done
	Tokens  *Tokens
}

// Hello introduces a VM; it is the first message in each direction.
type Hello struct {
	VM      directory.VM
	Changed [directory.KindCount]uint64 // last change of each kind that the sender knows
}

// End rolls a stream of the sender back.
type End struct{ Stream uint64 }

// Beat renews the tenures of the sender.
type Beat struct {
	Sent    time.Duration // on the sender's clock
	Tenures []directory.Tenure
	// Confirmed is the age of the sender's confirmation that its state is that of the store.
	Confirmed [directory.KindCount]time.Duration
	Changed   [directory.KindCount]uint64 // last change of each kind that the sender knows
}

// Grant answers a Beat with the services whose renewal is granted.
type Grant struct {
	// Watching is set if the sender learns news from the store by itself.
	Watching bool
	Sent     time.Duration // of the Beat
	Services []string
	Changed  [directory.KindCount]uint64 // last change of each kind that the sender knows
}

// Poll asks whether the owner of a service counts as lost.
type Poll struct{ Tenure directory.Tenure }

// Vote answers a Poll.
type Vote struct{ Lost bool }

// Release says that the sender has stopped using a service.
type Release struct {
	Service string
	Epoch   uint64
}

// Promote asks the VM that has the duty to make a server lead its service.
type Promote struct{ Service, Server string }

// Done answers a Promote; Error is empty on success.
type Done struct{ Error string }

// Tokens asks the keeper of a workspace's tokens for a number of them, and answers with the number that
// it hands out. Kept is set in the answer if the VM is the keeper.
type Tokens struct {
	Workspace string
	Count     int
	Kept      bool
}
