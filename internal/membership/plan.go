package membership

import (
	"slices"
	"time"
)

const (
	// allVotersLimit is the fleet size up to which all VMs vote.
	allVotersLimit = 12
	// voterCount VMs vote in a larger fleet: four may fail, and the number of renewals does not grow with the fleet.
	voterCount = 9
	// recent is the silence up to which a voter counts as reached; it spans three polls.
	recent = 650 * time.Millisecond
	// candidateSilence is the same for VMs that do not vote, which are polled every 0.8 s.
	candidateSilence = 2 * time.Second
	// urgentPatience, shortPatience and patience are the silences after which a voter is replaced: when no further voter may
	// fail, when one may, and when more may. A restart takes one to three seconds, and each change two calls to the store.
	urgentPatience = time.Second
	shortPatience  = 2 * time.Second
	patience       = 6 * time.Second
	// additionInterval is the time after a change during which VMs that arrive are collected.
	additionInterval = 2 * time.Second
	// unconfirmedWait is the time after which voters that have restarted or are gone count in favor of the known configuration.
	unconfirmedWait = 3 * time.Second
	// GoneAfter is the silence after which a VM counts as gone for good. It is far longer than the outages that the users
	// expect.
	GoneAfter = 45 * time.Second
)

// Situation is what the next configuration depends on.
type Situation struct {
	Now     time.Duration
	Era     uint64 // of the store
	Current Configuration
	Learned time.Duration // when this VM learned of Current
	// Candidates are the VMs of the fleet that may vote, in order of preference.
	Candidates []string
	Domain     func(vm string) string
	Presence   *Presence
	// PromiseTime is how long a promise of a voter binds it, with the margin for clocks.
	PromiseTime time.Duration
}

// Change is the next configuration.
type Change struct {
	Next    Configuration
	Reason  string
	Removed []string // silent voters that the change removes
}

// Next returns the change that is due; ok is false if there is none.
func (s Situation) Next() (c Change, ok bool) {
	switch {
	case s.Current.Number == 0:
		c = Change{Next: Configuration{Voters: s.choose(nil, s.Candidates)}, Reason: "first configuration"}
		ok = len(c.Next.Voters) > 0
	case s.Current.Era < s.Era:
		c = Change{Next: Configuration{Voters: s.Current.Voters, Outgoing: s.Current.Outgoing, Oldest: s.Current.Oldest}, Reason: "written again"}
		ok = s.noneLater()
	case s.Current.Joint():
		c = Change{Next: Configuration{Voters: s.Current.Voters, Oldest: s.Current.Number}, Reason: "change completed"}
		ok = s.settled()
	default:
		c, ok = s.replacement()
	}
	c.Next.Number, c.Next.Era = nextNumber(s.Current.Number, s.Era), s.Era
	if c.Next.Oldest == 0 {
		c.Next.Oldest = c.Next.Number
	}
	return c, ok
}

// settled reports whether the configuration before the present one is out of use: no majority of its voters can renew a lease
// under it, and none has for as long as a promise lasts.
func (s Situation) settled() bool {
	return blocks(s.Current.Outgoing, func(vm string) bool {
		if s.Presence.goneFor(s.Now, vm, s.PromiseTime) {
			return true
		}
		since, ok := s.Presence.knows(s.Now, vm, s.Current.Number)
		return ok && s.Now-max(since, s.Learned) >= s.PromiseTime
	}) && s.Now-s.Learned >= s.PromiseTime
}

// noneLater reports whether no later configuration can be in use than the present one, which was written before the store
// returned from an older copy: a majority of the voters states so. After a while those count that have restarted or are gone:
// a VM that knows of a later one has then had the time to say so.
func (s Situation) noneLater() bool {
	agrees := func(vm string) bool {
		if s.Presence.goneFor(s.Now, vm, unconfirmedWait) && s.Now-s.Learned >= unconfirmedWait {
			return true
		}
		c := s.Presence.contacts[vm]
		return c != nil && c.number <= s.Current.Number && s.Presence.HeardWithin(s.Now, vm, recent) &&
			(c.confirmed || s.Now-max(c.since, s.Learned) >= unconfirmedWait)
	}
	return s.Current.Majority(agrees)
}

// replacement returns the change that replaces silent voters and adds VMs that have arrived.
func (s Situation) replacement() (Change, bool) {
	reached := func(vm string) bool { return s.Presence.Silence(s.Now, vm) <= recent }
	voters := s.Current.Voters
	spare := count(voters, reached) - (len(voters)/2 + 1)
	limit := patience
	switch {
	case spare <= 0:
		limit = urgentPatience
	case spare == 1:
		limit = shortPatience
	}
	arrived := slices.DeleteFunc(slices.Clone(s.Candidates), func(vm string) bool {
		return s.Presence.Silence(s.Now, vm) > candidateSilence || !s.Presence.HeardWithin(s.Now, vm, candidateSilence)
	})
	if added := count(arrived, func(vm string) bool { return !s.Current.Votes(vm) }); added > 0 && len(voters)+added <= allVotersLimit {
		limit = min(limit, shortPatience) // one change for those that arrive and those that they replace
	}
	var kept, removed []string
	for _, vm := range voters {
		limit := limit
		if s.Presence.goneFor(s.Now, vm, 0) {
			limit = min(limit, shortPatience) // it has left, or its process has ended
		}
		if s.Presence.Silence(s.Now, vm) > limit {
			removed = append(removed, vm)
		} else {
			kept = append(kept, vm)
		}
	}
	arrived = slices.DeleteFunc(arrived, func(vm string) bool { return slices.Contains(removed, vm) })
	if len(removed) == 0 && s.Now-s.Learned < additionInterval {
		return Change{}, false
	}
	next := s.choose(kept, arrived)
	if slices.Equal(next, voters) {
		return Change{}, false
	}
	// Only a VM that reaches enough voters to end the present configuration may change it, and only to one that can act.
	able := blocks(voters, func(vm string) bool { return reached(vm) || s.Presence.goneFor(s.Now, vm, 0) }) && majority(next, reached)
	return Change{Next: Configuration{Voters: next, Outgoing: voters}, Reason: reason(removed), Removed: removed}, able
}

func reason(removed []string) string {
	if len(removed) > 0 {
		return "voters are silent"
	}
	return "VMs have arrived"
}

// choose returns the voters: all VMs of a small fleet; in a larger one those that vote already, and further ones from the
// failure domains with the fewest voters.
func (s Situation) choose(kept, arrived []string) []string {
	next := slices.Clone(kept)
	arrived = slices.DeleteFunc(slices.Clone(arrived), func(vm string) bool { return slices.Contains(kept, vm) })
	if len(kept)+len(arrived) <= allVotersLimit {
		return append(next, arrived...)
	}
	inDomain := map[string]int{}
	for _, vm := range next {
		inDomain[s.Domain(vm)]++
	}
	for len(next) < voterCount {
		best := 0
		for i, vm := range arrived {
			if inDomain[s.Domain(vm)] < inDomain[s.Domain(arrived[best])] {
				best = i
			}
		}
		next = append(next, arrived[best])
		inDomain[s.Domain(arrived[best])]++
		arrived = slices.Delete(arrived, best, best+1)
	}
	return next
}
