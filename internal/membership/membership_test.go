package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleet is a situation whose VMs all know the present configuration and answer.
func fleet(now time.Duration, voters, vms int) Situation {
	s := Situation{Now: now, Presence: NewPresence(), PromiseTime: 1050 * time.Millisecond, Domain: func(vm string) string { return vm[2:3] }}
	for i := range vms {
		s.Candidates = append(s.Candidates, fmt.Sprintf("vm%02d", i))
	}
	s.Current = Configuration{Number: 4, Oldest: 3, Voters: slices.Clone(s.Candidates[:voters])}
	s.answer(s.Candidates...)
	return s
}

// answer records that VMs answer with what the present configuration is.
func (s Situation) answer(vms ...string) {
	s.Presence.BeginPoll(s.Now)
	for _, vm := range vms {
		s.Presence.Polled(s.Now, vm)
		s.Presence.Answered(s.Now, vm, Report{Incarnation: 1, Number: s.Current.Number, Confirmed: true})
	}
}

// after returns the situation after a time in which the given VMs leave all polls unanswered.
func (s Situation) after(d time.Duration, silent ...string) Situation {
	for end := s.Now + d; s.Now < end; {
		s.Now += 200 * time.Millisecond
		s.Presence.BeginPoll(s.Now)
		for _, vm := range s.Candidates {
			s.Presence.Polled(s.Now, vm)
			if !slices.Contains(silent, vm) {
				s.answer(vm)
			}
		}
	}
	return s
}

// Guards against configurations in use at the same time whose majorities share no voter, and against a blocking set that a
// majority avoids.
func TestMajoritiesIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f"}
		subset := func(label string) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, len(names), rapid.ID).Draw(t, label)
		}
		joint := Configuration{Voters: subset("voters"), Outgoing: subset("outgoing")}
		in := func(set []string) func(string) bool { return func(vm string) bool { return slices.Contains(set, vm) } }
		first, second := subset("first"), subset("second")
		both := func(vm string) bool { return in(first)(vm) && in(second)(vm) }
		for _, other := range []Configuration{joint, Of(joint.Voters...), Of(joint.Outgoing...)} {
			at := func(vm string) (time.Duration, bool) { return time.Second, in(first)(vm) }
			if _, reached := other.Reached(at); reached != other.Majority(in(first)) {
				t.Fatalf("%v reached by %v: %v", other, first, reached)
			}
			if joint.Majority(in(first)) && other.Majority(in(second)) && !slices.ContainsFunc(names, both) {
				t.Fatalf("%v of %v and %v of %v share no voter", first, joint, second, other)
			}
		}
		if blocks(joint.Outgoing, in(first)) && Of(joint.Outgoing...).Majority(in(second)) && !slices.ContainsFunc(names, both) {
			t.Fatalf("%v blocks %v, but %v is a majority", first, joint.Outgoing, second)
		}
	})
}

// Guards against renewals that grow with the fleet, and against voters that one failure domain can take away.
func TestVoters(t *testing.T) {
	is := is.New(t)
	s := fleet(time.Minute, 0, 82)
	s.Current = Configuration{}
	c, ok := s.Next()
	is.True(ok)
	is.Equal(len(c.Next.Voters), voterCount)
	inDomain := map[string]int{}
	for _, vm := range c.Next.Voters {
		inDomain[s.Domain(vm)]++
	}
	is.Equal(len(inDomain), voterCount)
	s.Candidates = s.Candidates[:9]
	c, ok = s.Next()
	is.True(ok)
	is.Equal(len(c.Next.Voters), 9)
}

// Guards against voters that are gone and keep their votes, and against a change at each restart of a VM.
func TestSilentVoterIsReplaced(t *testing.T) {
	is := is.New(t)
	s := fleet(time.Minute, 9, 30)
	_, ok := s.after(patience, "vm03").Next()
	is.True(!ok)
	c, ok := s.after(patience+time.Second, "vm03").Next()
	is.True(ok)
	is.Equal(c.Removed, []string{"vm03"})
	is.Equal(c.Next.Outgoing, s.Current.Voters)
	is.Equal(len(c.Next.Voters), 9)
	is.True(!slices.Contains(c.Next.Voters, "vm03"))
	is.Equal(c.Next.Oldest, c.Next.Number)

	s = fleet(time.Minute, 9, 30) // no further voter may fail
	c, ok = s.after(urgentPatience+time.Second, "vm00", "vm01", "vm02", "vm03").Next()
	is.True(ok)
	is.Equal(len(c.Removed), 4)
	_, ok = fleet(time.Minute, 9, 30).after(10*time.Second, "vm00", "vm01", "vm02", "vm03", "vm04").Next()
	is.True(!ok) // the others may still be a majority elsewhere
	_, ok = fleet(time.Minute, 9, 30).after(GoneAfter+time.Second, "vm00", "vm01", "vm02", "vm03", "vm04").Next()
	is.True(ok)
}

// Guards against a calm fleet in which the voters change, and against a VM that was suspended itself and takes all others for
// silent.
func TestCalmFleetKeepsItsVoters(t *testing.T) {
	is := is.New(t)
	for _, vms := range []int{1, 9, 80} {
		_, ok := fleet(time.Minute, min(vms, voterCount), vms).after(92 * time.Second).Next()
		is.True(!ok)
	}
	s := fleet(time.Minute, 9, 9)
	for _, vm := range s.Candidates[1:] {
		s.Presence.Polled(s.Now, vm)
	}
	s.Now += 50 * time.Second // suspended
	s.Presence.BeginPoll(s.Now)
	_, ok := s.Next()
	is.True(!ok)
}

// Guards against a change that is completed while a majority may still act under the configuration before: voters that do not
// know of the change, that have known it for less than a promise lasts, or whose run has ended since they said so.
func TestChangeIsCompleted(t *testing.T) {
	is := is.New(t)
	s := fleet(time.Minute, 5, 5)
	s.Learned = s.Now
	s.Current = Configuration{Number: 5, Oldest: 5, Voters: []string{"vm00", "vm01", "vm02", "vm03"}, Outgoing: s.Current.Voters}
	s.answer("vm00", "vm01", "vm02")
	_, ok := s.Next()
	is.True(!ok)
	later := s.after(2*time.Second, "vm03", "vm04")
	c, ok := later.Next()
	is.True(ok)
	is.Equal(c.Next, Configuration{Number: 6, Oldest: 5, Voters: s.Current.Voters})
	later.Presence.Answered(later.Now, "vm02", Report{Incarnation: 2, Number: 5})
	_, ok = later.Next()
	is.True(!ok) // a restarted run
	later.Presence.Refused(later.Now, "vm03")
	_, ok = later.Next()
	is.True(!ok) // it may have promised just before
	later = later.after(s.PromiseTime, "vm03", "vm04")
	_, ok = later.Next()
	is.True(ok)
	later.Presence.Answered(later.Now, "vm01", Report{Incarnation: 3, Number: 4})
	later.Presence.Answered(later.Now, "vm02", Report{Incarnation: 3, Number: 4})
	_, ok = later.Next()
	is.True(!ok)
}

// Guards against a VM that votes before it knows what is in force, or for an owner under a configuration that is not.
func TestVoterAccepts(t *testing.T) {
	is := is.New(t)
	var v Voter
	known := Configuration{Number: 6, Oldest: 5, Voters: []string{"a"}}
	is.True(!v.Accepts(known, 6))
	v.Confirm()
	for number, accepted := range map[uint64]bool{4: false, 5: true, 6: true, 7: false} {
		is.Equal(v.Accepts(known, number), accepted)
	}
}

// Guards against voters of an older copy of the store that replace those in force.
func TestVotersAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	s := fleet(time.Minute, 5, 5)
	s.Era = 2
	c, ok := s.Next()
	is.True(ok)
	is.Equal(c.Next, Configuration{Number: 2 << numberBits, Oldest: 3, Era: 2, Voters: s.Current.Voters})
	for _, vm := range s.Candidates[:3] {
		s.Presence.Answered(s.Now, vm, Report{Incarnation: 1, Number: 5, Confirmed: true}) // they know a later one
	}
	_, ok = s.Next()
	is.True(!ok)
	s = fleet(time.Minute, 5, 5)
	s.Era, s.Learned = 2, s.Now
	gone := []string{"vm00", "vm01", "vm02"}
	s = s.after(time.Second, gone...)
	s.Presence.Refused(s.Now, "vm00")
	s.Presence.Refused(s.Now, "vm01")
	s.Presence.Refused(s.Now, "vm02")
	_, ok = s.Next()
	is.True(!ok)
	_, ok = s.after(unconfirmedWait, gone...).Next()
	is.True(ok)
}
