// Package membership decides which VMs of a fleet vote on leases, and which VMs count as gone.
//
// The voters are a numbered configuration that is agreed on through conditional writes of one object in the platform's
// store. A change goes through a joint configuration, in which decisions need a majority of the voters before and after, so
// that majorities of configurations that are in use at the same time share a voter. The package performs no I/O; times are
// durations on a clock that includes suspended time.
package membership

import (
	"fmt"
	"slices"
	"time"
)

// Configuration is a numbered set of voters.
type Configuration struct {
	Number uint64   `cbor:"1,keyasint,omitzero"`
	Era    uint64   `cbor:"2,keyasint,omitzero" json:",omitempty"` // of the store that the writer knew
	Voters []string `cbor:"3,keyasint,omitzero"`
	// Outgoing holds the voters of the configuration before while the change is under way. Until it has ended, decisions need
	// a majority of both sets.
	Outgoing []string `cbor:"4,keyasint,omitzero" json:",omitempty"`
	// Oldest is the lowest number under which owners may still act: that of the joint configuration that led here.
	Oldest uint64 `cbor:"5,keyasint,omitzero"`
}

// Of returns a configuration that is not stored, with the given voters.
func Of(voters ...string) Configuration { return Configuration{Voters: voters} }

// Validate returns an error if the configuration cannot be used.
func (c Configuration) Validate() error {
	if c.Number == 0 || len(c.Voters) == 0 || c.Oldest == 0 || c.Oldest > c.Number {
		return fmt.Errorf("configuration %d with %d voters, oldest %d", c.Number, len(c.Voters), c.Oldest)
	}
	for _, set := range [][]string{c.Voters, c.Outgoing} {
		sorted := slices.Sorted(slices.Values(set))
		if len(slices.Compact(sorted)) != len(set) || slices.Contains(set, "") {
			return fmt.Errorf("configuration %d names a voter twice, or one without a name", c.Number)
		}
	}
	return nil
}

// Joint reports whether a change of the voters is under way.
func (c Configuration) Joint() bool { return len(c.Outgoing) > 0 }

// First reports whether owners under no other configuration may act. Under any other, a voter may be asked for a promise
// after a later owner had one from voters that have left, so it has to know the owners up to the change.
func (c Configuration) First() bool { return c.Oldest == c.Number }

// Members returns all VMs that vote.
func (c Configuration) Members() []string {
	if !c.Joint() {
		return c.Voters
	}
	all := slices.Sorted(slices.Values(append(slices.Clone(c.Voters), c.Outgoing...)))
	return slices.Compact(all)
}

// Votes reports whether a VM votes.
func (c Configuration) Votes(vm string) bool {
	return slices.Contains(c.Voters, vm) || slices.Contains(c.Outgoing, vm)
}

// Majority reports whether the VMs that agree are a majority of the voters, and of the outgoing ones if there are any.
func (c Configuration) Majority(agrees func(vm string) bool) bool {
	return len(c.Voters) > 0 && majority(c.Voters, agrees) && (!c.Joint() || majority(c.Outgoing, agrees))
}

// Reached returns the latest time that a majority has reached; ok is false if no majority has a time.
func (c Configuration) Reached(at func(vm string) (time.Duration, bool)) (reached time.Duration, ok bool) {
	reached, ok = majorityTime(c.Voters, at)
	if ok && c.Joint() {
		var outgoing time.Duration
		outgoing, ok = majorityTime(c.Outgoing, at)
		reached = min(reached, outgoing)
	}
	return reached, ok
}

func majorityTime(voters []string, at func(vm string) (time.Duration, bool)) (time.Duration, bool) {
	times := make([]time.Duration, 0, len(voters))
	for _, vm := range voters {
		if t, ok := at(vm); ok {
			times = append(times, t)
		}
	}
	needed := len(voters)/2 + 1
	if len(times) < needed {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-needed], true
}

func majority(voters []string, agrees func(vm string) bool) bool {
	return 2*count(voters, agrees) > len(voters)
}

// blocks reports whether no majority of the voters can form without one of the given VMs.
func blocks(voters []string, refuses func(vm string) bool) bool {
	return 2*(len(voters)-count(voters, refuses)) <= len(voters)
}

func count(voters []string, counts func(vm string) bool) int {
	n := 0
	for _, vm := range voters {
		if counts(vm) {
			n++
		}
	}
	return n
}

// numberBits is the size of the range of numbers of one era of the store. Numbers of a later era are above all that may have
// been lost with earlier ones.
const numberBits = 20

// nextNumber returns the number that follows a known one in an era of the store.
func nextNumber(known, era uint64) uint64 { return max(known+1, era<<numberBits) }

// Voter is the knowledge of one run of a VM by which it votes.
type Voter struct {
	confirmed bool
}

// Confirm records that this run knows every configuration whose predecessor is no longer in use: it has read the present one
// in the store, or a majority of confirmed voters knows no later one. Runs that restart have forgotten what they knew.
func (v *Voter) Confirm() { v.confirmed = true }

// Confirmed reports whether this run may vote.
func (v *Voter) Confirmed() bool { return v.confirmed }

// Accepts reports whether this run, which knows a configuration, may vote for an owner that acts under the one of the given
// number. An owner under an earlier one, or a voter that knows no later one, has to learn of the change first.
func (v *Voter) Accepts(known Configuration, owners uint64) bool {
	return v.confirmed && known.Oldest <= owners && owners <= known.Number
}
