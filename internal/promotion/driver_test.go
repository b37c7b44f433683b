package promotion

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// failoverGoal is the goal of the design page for the failover gap.
const failoverGoal = 2 * time.Second

// warmUp is long enough for the first probes and for the flapping guard to pass.
const warmUp = 3 * time.Second

// Guards against a failover that exceeds the goal, that several drivers perform one after the
// other, or after which the old primary stays outside the group.
func TestPrimaryFailure(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSim(9, seed)
		s.run(warmUp + time.Duration(seed)*7*time.Millisecond)
		s.down["s1"] = true
		killed := s.now
		s.run(5 * time.Second)
		s.verify(t)
		longest = max(longest, s.gap(killed))
		is.True(s.gap(killed) < failoverGoal)
		is.Equal(len(s.outcomes), 1)
		is.True(s.outcomes[0].Primary != "s1")
		s.down["s1"] = false
		s.run(2 * time.Second)
		s.verify(t)
		is.True(s.settled())
		is.Equal(s.term(), uint64(2)) // the return of the old primary needs no new term
	}
	t.Logf("longest gap %v", longest)
}

// Guards against a promotion because the VMs of a single failure domain have lost contact.
func TestSuspicionNeedsTwoDomains(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 1)
	s.run(warmUp)
	s.cut["c"] = true
	s.run(10 * time.Second)
	s.verify(t)
	is.Equal(s.term(), uint64(1))
	is.True(s.vms[2].suspects) // the VM in the domain that is cut off
}

// Guards against a primary that answers but whose writes can no longer be confirmed.
func TestStalledConfirmation(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	s.silent["s1"] = true
	cut := s.now
	s.run(5 * time.Second)
	s.verify(t)
	is.Equal(len(s.outcomes), 1)
	is.True(s.gap(cut) < failoverGoal+DefaultTiming.StallAfter)
}

// Guards against flapping: a working primary is left in place for the guard time, although its
// writes stall, but one that stops answering is replaced at once.
func TestNewPrimaryIsGuarded(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	s.down["s1"] = true
	for len(s.outcomes) == 0 && s.now < 10*time.Second {
		s.run(simStep)
	}
	promoted := s.now
	s.down["s1"] = false
	s.silent["s1"], s.silent["s2"], s.silent["s3"] = true, true, true
	s.run(DefaultTiming.MinTenure - 100*time.Millisecond)
	is.Equal(len(s.outcomes), 1) // stalled for longer than StallAfter, but guarded
	s.silent = map[string]bool{}
	s.down[s.outcomes[0].Primary] = true
	for len(s.outcomes) == 1 && s.now < promoted+10*time.Second {
		s.run(simStep)
	}
	s.verify(t)
	is.Equal(len(s.outcomes), 2)

	s.run(300 * time.Millisecond)
	s.down[s.outcomes[0].Primary] = false
	s.run(300 * time.Millisecond)
	second := s.now
	s.down[s.outcomes[1].Primary] = true
	for len(s.outcomes) == 2 && s.now < second+10*time.Second {
		s.run(simStep)
	}
	is.Equal(len(s.outcomes), 3)
	is.True(s.now-second < failoverGoal) // a primary that stops answering is not guarded
}

// Guards against a planned move that interrupts running transactions without need, holds new
// ones for too long, or promotes a server in a withdrawn domain.
func TestPlannedMove(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.active["s1"] = 2
	s.run(warmUp)
	s.each(func(v *simVM) { s.input(v, Placement{Withdrawn: []string{"a"}, Leaving: []string{"s2"}}) })
	s.run(500 * time.Millisecond)
	is.Equal(len(s.outcomes), 0) // transactions are still running
	is.True(s.vms[0].holds[0].On)
	s.noWrite = true
	s.active["s1"] = 0
	s.run(time.Second)
	s.verify(t)
	is.Equal(len(s.outcomes), 1)
	is.Equal(s.outcomes[0].Primary, "s3")
	s.run(2 * time.Second)
	is.True(s.settled())
	s.each(func(v *simVM) {
		is.Equal(len(v.holds), 2)
		is.True(!v.holds[1].On)
		is.True(v.heldAt[1]-v.heldAt[0] <= DefaultTiming.WritePauseLimit)
	})
}

// Guards against a planned move that waits forever for a transaction that does not end.
func TestPlannedMoveDoesNotWaitForever(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.active["s1"] = 1
	s.run(warmUp)
	s.each(func(v *simVM) { s.input(v, Placement{Withdrawn: []string{"a"}}) })
	s.run(DefaultTiming.WritePauseLimit + 500*time.Millisecond)
	s.verify(t)
	is.Equal(len(s.outcomes), 1)
	is.True(s.outcomes[0].Primary != "s1")
}

// Guards against holding writes when no other server may take over, and against a move to a
// server that the promotion could not choose.
func TestPlannedMoveWithoutSuccessor(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	s.each(func(v *simVM) { s.input(v, Placement{Withdrawn: []string{"a", "b", "c"}}) })
	s.run(5 * time.Second)
	is.Equal(s.term(), uint64(1))
	s.each(func(v *simVM) { is.Equal(len(v.holds), 0) })
}

// Guards against a driver that, after a pause, takes its old observations for a failure of the
// primary or continues an attempt that others have overtaken.
func TestPausedDriverWakes(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	s.each(s.pause)
	s.run(5 * time.Second)
	s.each(s.resume)
	s.run(5 * time.Second)
	is.Equal(s.term(), uint64(1))

	s.down["s1"] = true
	for s.vms[0].attempt.phase == idle && s.now < 30*time.Second {
		s.run(time.Millisecond)
		for _, v := range s.vms {
			if v.attempt.phase != idle {
				s.pause(v) // in the middle of its attempt
			}
		}
		if s.settledWithout("s1") {
			break
		}
	}
	s.run(5 * time.Second)
	s.each(s.resume)
	s.run(5 * time.Second)
	s.verify(t)
	is.True(s.settledWithout("s1"))
}

// settledWithout is settled, leaving one server aside.
func (s *sim) settledWithout(name string) bool {
	var primary *Member[int]
	for _, m := range s.members {
		if m.role == Primary && m.name != name && (primary == nil || m.promised > primary.promised) {
			primary = m
		}
	}
	if primary == nil {
		return false
	}
	for _, m := range s.members {
		if m != primary && m.name != name && m.primary != primary.name {
			return false
		}
	}
	return true
}

// Guards against a server that an unfinished promotion has fenced above the primary's term and
// that therefore can never follow the primary again.
func TestFencedServerRejoins(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	is.True(s.member("s3").Fence(5, "vanished"))
	s.run(5 * time.Second)
	s.verify(t)
	is.True(s.settled())
	is.Equal(s.outcomes[0].Primary, "s1") // the working primary keeps its role
}

// Guards against drivers that compete forever when none waits for its rank.
func TestCompetingDriversEnd(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSim(6, seed)
		s.each(func(v *simVM) { v.timing.RankDelay = 1 })
		s.run(warmUp)
		s.down["s1"] = true
		killed := s.now
		s.run(6 * time.Second)
		s.verify(t)
		is.True(s.settledWithout("s1"))
		is.True(s.gap(killed) < 2*failoverGoal)
	}
}

// Guards against the first promotion of a group that has never had a primary.
func TestFirstPromotion(t *testing.T) {
	is := is.New(t)
	s := newSim(3, 1)
	for i, m := range s.members {
		s.members[i] = NewMember[int](m.name)
	}
	s.primaries, s.writes = map[uint64]string{}, nil
	s.run(warmUp)
	s.verify(t)
	is.True(s.settled())
}

// Guards against sequences of faults, pauses and operators' changes that violate a safety rule
// or after which the group does not recover. The seed is fixed, so that a failure is repeatable.
func TestRandomFaults(t *testing.T) {
	settings := map[string]string{
		"rapid.seed": "20260801", "rapid.checks": "150", "rapid.steps": "60", "rapid.nofailfile": "true",
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(5, 7)
		server := rapid.SampledFrom([]string{"s1", "s2", "s3"})
		domain := rapid.SampledFrom([]string{"a", "b", "c"})
		vm := rapid.IntRange(0, len(s.vms)-1)
		toggle := func(set map[string]bool, g *rapid.Generator[string]) func(*rapid.T) {
			return func(t *rapid.T) {
				name := g.Draw(t, "name")
				set[name] = !set[name]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"server down or up":         toggle(s.down, server),
			"replication off or on":     toggle(s.silent, server),
			"domain cut or reconnected": toggle(s.cut, domain),
			"driver paused or resumed": func(t *rapid.T) {
				v := s.vms[vm.Draw(t, "vm")]
				if v.paused {
					s.resume(v)
					return
				}
				s.pause(v)
			},
			"placement": func(t *rapid.T) {
				p := Placement{Withdrawn: rapid.SliceOfNDistinct(domain, 0, 2, rapid.ID).Draw(t, "withdrawn")}
				s.each(func(v *simVM) { s.input(v, p) })
			},
			"short time passes": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			},
			"long time passes": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if s.violation != "" {
					t.Fatalf("%s at %v", s.violation, s.now)
				}
			},
		})
		s.down, s.silent, s.cut = map[string]bool{}, map[string]bool{}, map[string]bool{}
		s.each(func(v *simVM) {
			if v.paused {
				s.resume(v)
			}
			s.input(v, Placement{})
		})
		s.run(10 * time.Second)
		if s.violation != "" {
			t.Fatalf("%s at %v", s.violation, s.now)
		}
		if !s.settled() {
			t.Fatalf("group has not recovered 10 s after the last fault: %v", s.statuses())
		}
		if s.gap(s.now-2*time.Second) > time.Second {
			t.Fatalf("no writes are acknowledged 10 s after the last fault: %v", s.statuses())
		}
	})
}

func (s *sim) statuses() []Status {
	var all []Status
	for _, m := range s.members {
		all = append(all, m.Status())
	}
	return all
}

// Guards against a group without a stable primary when servers answer late because their machines are
// overloaded: each promotion took the place of a primary that answered again soon after, and no VM served.
func TestLatePrimaryIsNotReplacedOverAndOver(t *testing.T) {
	const (
		late   = 600 * time.Millisecond // longer than SuspectAfter
		period = 1200 * time.Millisecond
		length = 30 * time.Second
	)
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	served := 0
	for start := s.now; s.now-start < length; {
		for _, m := range s.members {
			s.down[m.name] = m.role == Primary
		}
		s.run(late)
		s.down = map[string]bool{}
		before := s.ackedAt
		s.run(period - late)
		if len(s.ackedAt) > len(before) {
			served++
		}
	}
	s.verify(t)
	t.Logf("%d promotions; writes in %d of %d periods", len(s.outcomes), served, int(length/period))
	is.True(len(s.outcomes) <= 3)

	// A primary that stops answering for good is still replaced within the goal.
	s.run(DefaultTiming.FalseAlarmWindow)
	for name := range s.down {
		s.down[name] = false
	}
	promotions, killed := len(s.outcomes), s.now
	for _, m := range s.members {
		s.down[m.name] = m.role == Primary && m.promised == s.term()
	}
	s.run(5 * time.Second)
	is.Equal(len(s.outcomes), promotions+1)
	is.True(s.gap(killed) < failoverGoal)
}
