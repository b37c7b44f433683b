package promotion

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// failoverObjective is the objective of the design page for the failover gap.
const failoverObjective = 2 * time.Second

// warmUp is long enough for the first probes and for MinTenure to pass.
const warmUp = 3 * time.Second

// Guards against a failover that exceeds the objective, that several coordinators perform one after
// the other, or after which the old primary does not rejoin the group.
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
		longest = max(longest, s.longestGap(killed))
		is.True(s.longestGap(killed) < failoverObjective)
		is.Equal(len(s.outcomes), 1)
		is.True(s.outcomes[0].Primary != "s1")
		s.down["s1"] = false
		s.run(2 * time.Second)
		s.verify(t)
		is.True(s.converged())
		is.Equal(s.term(), uint64(2)) // the old primary rejoins without a new term
	}
	t.Logf("longest gap %v", longest)
}

// Guards against a failover when only the VMs of one failure domain have lost contact with the primary.
func TestSuspicionNeedsTwoDomains(t *testing.T) {
	is := is.New(t)
	s := newSim(9, 1)
	s.run(warmUp)
	s.isolated["c"] = true
	s.run(10 * time.Second)
	s.verify(t)
	is.Equal(s.term(), uint64(1))
	is.True(s.vms[2].suspects) // the VM in the isolated domain
}

// Guards against a primary that stays in its role although its writes are no longer replicated: it still
// responds to probes.
func TestStalledConfirmation(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	s.notReplicating["s1"] = true
	stopped := s.now
	s.run(5 * time.Second)
	s.verify(t)
	is.Equal(len(s.outcomes), 1)
	is.True(s.longestGap(stopped) < failoverObjective+DefaultTiming.StallAfter)
}

// Guards against flapping: a new primary that responds is not replaced within MinTenure, even if its
// writes stall, but one that stops responding is replaced at once.
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
	s.notReplicating["s1"], s.notReplicating["s2"], s.notReplicating["s3"] = true, true, true
	s.run(DefaultTiming.MinTenure - 100*time.Millisecond)
	is.Equal(len(s.outcomes), 1) // stalled for longer than StallAfter, but within MinTenure
	s.notReplicating = map[string]bool{}
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
	is.True(s.now-second < failoverObjective) // MinTenure does not apply to a primary that stops responding
}

// Guards against a planned switchover that interrupts running transactions unnecessarily, pauses new
// ones for too long, or promotes a server in a withdrawn domain.
func TestPlannedSwitchover(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.active["s1"] = 2
	s.run(warmUp)
	s.eachVM(func(v *simVM) { s.input(v, Placement{Withdrawn: []string{"a"}, Leaving: []string{"s2"}}) })
	s.run(500 * time.Millisecond)
	is.Equal(len(s.outcomes), 0) // transactions are still running
	is.True(s.vms[0].writePauses[0].On)
	s.writesStopped = true
	s.active["s1"] = 0
	s.run(time.Second)
	s.verify(t)
	is.Equal(len(s.outcomes), 1)
	is.Equal(s.outcomes[0].Primary, "s3")
	s.run(2 * time.Second)
	is.True(s.converged())
	s.eachVM(func(v *simVM) {
		is.Equal(len(v.writePauses), 2)
		is.True(!v.writePauses[1].On)
		is.True(v.writePausedAt[1]-v.writePausedAt[0] <= DefaultTiming.WritePauseLimit)
	})
}

// Guards against a planned switchover that waits indefinitely for a transaction that does not end.
func TestPlannedSwitchoverDoesNotWaitForever(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.active["s1"] = 1
	s.run(warmUp)
	s.eachVM(func(v *simVM) { s.input(v, Placement{Withdrawn: []string{"a"}}) })
	s.run(DefaultTiming.WritePauseLimit + 500*time.Millisecond)
	s.verify(t)
	is.Equal(len(s.outcomes), 1)
	is.True(s.outcomes[0].Primary != "s1")
}

// Guards against pausing writes when no other server may become primary, and against a switchover to a
// server that is not eligible.
func TestPlannedSwitchoverWithoutSuccessor(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	s.eachVM(func(v *simVM) { s.input(v, Placement{Withdrawn: []string{"a", "b", "c"}}) })
	s.run(5 * time.Second)
	is.Equal(s.term(), uint64(1))
	s.eachVM(func(v *simVM) { is.Equal(len(v.writePauses), 0) })
}

// Guards against a coordinator that, after a pause, treats its stale observations as a failure of the
// primary or continues an attempt that another coordinator has superseded.
func TestPausedCoordinatorResumes(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	s.eachVM(s.pause)
	s.run(5 * time.Second)
	s.eachVM(s.resume)
	s.run(5 * time.Second)
	is.Equal(s.term(), uint64(1))

	s.down["s1"] = true
	for s.vms[0].attempt.phase == idle && s.now < 30*time.Second {
		s.run(time.Millisecond)
		for _, v := range s.vms {
			if v.attempt.phase != idle {
				s.pause(v) // during its attempt
			}
		}
		if s.convergedWithout("s1") {
			break
		}
	}
	s.run(5 * time.Second)
	s.eachVM(s.resume)
	s.run(5 * time.Second)
	s.verify(t)
	is.True(s.convergedWithout("s1"))
}

// convergedWithout reports whether all servers except one follow the same primary.
func (s *sim) convergedWithout(name string) bool {
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

// Guards against a server that cannot follow the primary any more because an unfinished promotion has
// fenced it above the primary's term.
func TestFencedServerRejoins(t *testing.T) {
	is := is.New(t)
	s := newSim(6, 1)
	s.run(warmUp)
	is.True(s.member("s3").Fence(5, "vanished"))
	s.run(5 * time.Second)
	s.verify(t)
	is.True(s.converged())
	is.Equal(s.outcomes[0].Primary, "s1") // the working primary keeps its role
}

// Guards against coordinators that compete indefinitely if the delay by rank is negligible.
func TestCompetingCoordinatorsEnd(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		s := newSim(6, seed)
		s.eachVM(func(v *simVM) { v.timing.RankDelay = 1 })
		s.run(warmUp)
		s.down["s1"] = true
		killed := s.now
		s.run(6 * time.Second)
		s.verify(t)
		is.True(s.convergedWithout("s1"))
		is.True(s.longestGap(killed) < 2*failoverObjective)
	}
}

// Guards against a group that gets no primary because it has never had one.
func TestFirstPromotion(t *testing.T) {
	is := is.New(t)
	s := newSim(3, 1)
	for i, m := range s.members {
		s.members[i] = NewMember[int](m.name)
	}
	s.primaries, s.writes = map[uint64]string{}, nil
	s.run(warmUp)
	s.verify(t)
	is.True(s.converged())
}

// Guards against violations of the invariants, and against a group that does not recover, after random
// sequences of faults, pauses and withdrawals. The seed is fixed, so that a failure can be reproduced.
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
			"server down or up":              toggle(s.down, server),
			"replication off or on":          toggle(s.notReplicating, server),
			"domain isolated or reconnected": toggle(s.isolated, domain),
			"failover coordinator paused or resumed": func(t *rapid.T) {
				v := s.vms[vm.Draw(t, "vm")]
				if v.paused {
					s.resume(v)
					return
				}
				s.pause(v)
			},
			"placement": func(t *rapid.T) {
				p := Placement{Withdrawn: rapid.SliceOfNDistinct(domain, 0, 2, rapid.ID).Draw(t, "withdrawn")}
				s.eachVM(func(v *simVM) { s.input(v, p) })
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
		s.down, s.notReplicating, s.isolated = map[string]bool{}, map[string]bool{}, map[string]bool{}
		s.eachVM(func(v *simVM) {
			if v.paused {
				s.resume(v)
			}
			s.input(v, Placement{})
		})
		s.run(10 * time.Second)
		if s.violation != "" {
			t.Fatalf("%s at %v", s.violation, s.now)
		}
		if !s.converged() {
			t.Fatalf("group has not recovered 10 s after the last fault: %v", s.statuses())
		}
		if s.longestGap(s.now-2*time.Second) > time.Second {
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

// Guards against repeated failovers when servers respond late because their machines are overloaded:
// each promotion replaced a primary that responded again soon after, and no VM could serve writes.
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

	// A primary that stops responding permanently is still replaced within the objective.
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
	is.True(s.longestGap(killed) < failoverObjective)
}
