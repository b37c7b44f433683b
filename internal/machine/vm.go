// Package machine tracks the entry VMs of the fleet. It derives membership from the platform's
// lagging list and from heartbeats, ranks VMs for duties, chooses peers for the exchange of
// object versions, and aggregates health reports. It is deterministic: time and randomness are
// passed in, and effects are returned as actions.
package machine

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a VM as seen by another VM.
type State uint8

const (
	// Live means that the VM is listed or answers.
	Live State = iota
	// Leaving means that the VM is shutting down and takes no new work.
	Leaving
	// Suspected means that the VM did not answer several calls in a row.
	Suspected
	// Gone means that the platform has dropped this incarnation from its list.
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Suspected:
		return "suspected"
	default:
		return "gone"
	}
}

// VM is one start of an entry VM.
type VM struct {
	Name        string
	Incarnation string // grows with each start of the same name, see CompareIncarnations
	Domain      string // failure domain
	Address     string // host:port of the fleet service
	State       State
}

// CompareIncarnations orders two incarnations of one VM name: first by length, then bytewise.
// This orders both counters without leading zeros and time-ordered identifiers of fixed length.
// A fixed order makes all VMs agree on the newer incarnation regardless of the order of messages.
func CompareIncarnations(a, b string) int {
	if c := cmp.Compare(len(a), len(b)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

// Rank orders candidates by rendezvous hashing of key and VM name, best first. It does not change
// candidates. VMs with the same candidates compute the same order, and a VM that joins or leaves
// does not change the relative order of the others.
func Rank(key string, candidates []VM) []VM {
	type scored struct {
		score uint64
		vm    VM
	}
	list := make([]scored, len(candidates))
	for i, vm := range candidates {
		list[i] = scored{rankScore(key, vm.Name), vm}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.Name, b.vm.Name)
	})
	ranked := make([]VM, len(list))
	for i, s := range list {
		ranked[i] = s.vm
	}
	return ranked
}

func rankScore(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a hash do not fail. The separator keeps ("ab","c") and ("a","bc") apart.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
