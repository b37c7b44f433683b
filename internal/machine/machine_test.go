package machine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func vmOf(name, incarnation, domain string) VM {
	return VM{Name: name, Incarnation: incarnation, Domain: domain, Address: name + ":1"}
}

func newMembers(self VM, seeds ...string) *Members {
	return New(Config{Self: self, Seeds: seeds}, rand.New(rand.NewPCG(1, 2)))
}

// fleetOf returns n VMs in the given number of failure domains.
func fleetOf(n, domains int) []VM {
	list := make([]VM, n)
	for i := range list {
		list[i] = vmOf(fmt.Sprintf("vm%03d", i), "1", fmt.Sprintf("d%d", i%domains))
	}
	return list
}

func hello(vm VM, sequence uint64, reports ...Report) Hello {
	return Hello{VM: vm, Sequence: sequence, Reports: reports}
}

func pick[A Action](actions []Action) []A {
	var list []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			list = append(list, x)
		}
	}
	return list
}

// Guards against duties that move between healthy VMs when another VM joins or leaves.
func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleetOf(rapid.IntRange(2, 40).Draw(t, "n"), 3)
		drop := rapid.IntRange(0, len(all)-1).Draw(t, "drop")
		key := rapid.String().Draw(t, "key")
		full := Rank(key, all)
		without := func(list []VM) []VM {
			return slices.DeleteFunc(slices.Clone(list), func(v VM) bool { return v.Name == all[drop].Name })
		}
		if !slices.Equal(without(full), Rank(key, without(all))) {
			t.Fatalf("order changed without %s", all[drop].Name)
		}
	})
}

// Guards against a version that reverts when updates arrive late or twice.
func TestVersionsNeverRevert(t *testing.T) {
	highest := func(v *Versions, updates []uint64) bool {
		for _, u := range updates {
			v.Set("contract", u)
		}
		return v.Get("contract") == slices.Max(updates)
	}
	rapid.Check(t, func(t *rapid.T) {
		if !highest(NewVersions(), rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "updates")) {
			t.Fatal("a lower version replaced a higher one")
		}
	})
	is.New(t).True(!highest(&Versions{acceptLower: true}, []uint64{2, 1}))
}

// Guards against differences that two VMs do not find, with full versions and with digests.
func TestSyncConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewVersions(), NewVersions()
		n := rapid.IntRange(0, 400).Draw(t, "objects")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for i := range n {
			name := fmt.Sprintf("groups/%d", i)
			a.Set(name, uint64(rng.IntN(3)+1))
			b.Set(name, uint64(rng.IntN(3)+1))
		}
		caller, peer := newMembers(vmOf("a", "1", "d0")), newMembers(vmOf("b", "1", "d1"))
		rounds := digestBuckets/maxBucketsPerSync + 1
		for range rounds {
			exchange(t, caller, peer, a, b)
		}
		if !slices.Equal(a.All(), b.All()) {
			t.Fatalf("versions differ after %d rounds", rounds)
		}
	})
}

// exchange runs one Sync with its repetition and applies what each side lacks.
func exchange(t *rapid.T, caller, peer *Members, a, b *Versions) {
	again := true
	var last *Hello
	for again {
		req := caller.Hello(0, a, last)
		answer, lacks := peer.Respond(0, b, req)
		for _, o := range lacks {
			a.Set(o.Name, o.Version)
		}
		for _, name := range answer.Wanted {
			b.Set(name, a.Get(name))
		}
		var err error
		if again, err = caller.ApplyResponse(0, 0, req, answer, true); err != nil {
			t.Fatal(err)
		}
		last = &answer
	}
}

// Guards against a VM of an earlier start that comes back (resumed, or its messages delayed) and
// acts for the new one.
func TestOldIncarnationIsIgnored(t *testing.T) {
	run := func(acceptOld bool) (*Members, error) {
		m := newMembers(vmOf("self", "1", "d0"))
		m.acceptOld = acceptOld
		_ = m.Heartbeat(0, hello(vmOf("a", "9", "d0"), 5, Report{Server: "s", Group: "g", Suspected: true}))
		_ = m.Heartbeat(1, hello(vmOf("a", "10", "d0"), 1))
		r := Report{Server: "s", Group: "g", Suspected: true}
		return m, m.Heartbeat(2, hello(vmOf("a", "9", "d1"), 6, r))
	}
	is := is.New(t)
	m, err := run(false)
	is.True(errors.Is(err, ErrOldIncarnation))
	vm, _ := m.Get("a")
	is.Equal(vm.Incarnation, "10")
	is.Equal(len(m.Suspicions(2, "s", 0).Domains), 0)

	m, _ = run(true)
	vm, _ = m.Get("a")
	is.Equal(vm.Incarnation, "9") // the rule is what prevents this
}

// Guards against a VM that the platform has stopped acting through a late message.
func TestDroppedIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	run := func(acceptOld bool) (State, error) {
		m := newMembers(vmOf("self", "1", "d0"))
		m.acceptOld = acceptOld
		a, b := vmOf("a", "1", "d0"), vmOf("b", "1", "d0")
		m.Observe(1, 2, []VM{a, b})
		is.NoErr(m.Heartbeat(2, hello(a, 1, Report{Server: "s", Group: "g", Suspected: true})))
		m.Observe(3, 4, []VM{b})
		is.Equal(len(m.Suspicions(4, "s", 0).Domains), 0) // its reports no longer count
		m.Observe(2*unlistedFor, 2*unlistedFor, []VM{b})
		m.Tick(2 * unlistedFor)
		err := m.Heartbeat(2*unlistedFor, hello(a, 2))
		vm, _ := m.Get("a")
		return vm.State, err
	}
	state, err := run(false)
	is.Equal(state, Gone)
	is.True(errors.Is(err, ErrGone))
	state, _ = run(true)
	is.Equal(state, Live)
}

// Guards against an old list, received late, that drops VMs which started since.
func TestLateListIsIgnored(t *testing.T) {
	run := func(acceptLate bool) State {
		m := newMembers(vmOf("self", "1", "d0"))
		m.acceptLateLists = acceptLate
		a, b := vmOf("a", "1", "d0"), vmOf("b", "1", "d0")
		m.Observe(2, 3, []VM{a, b})
		m.Observe(1, 4, []VM{b})
		vm, _ := m.Get("a")
		return vm.State
	}
	is := is.New(t)
	is.Equal(run(false), Live)
	is.Equal(run(true), Gone)
}

// Guards against the lag of the list: it neither brings back an old incarnation nor hides a new VM.
func TestListLag(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("self", "1", "d0"))
	other := vmOf("other", "1", "d0")
	m.Observe(1, 1, []VM{vmOf("a", "1", "d0"), other})
	is.NoErr(m.Heartbeat(2, hello(vmOf("a", "2", "d0"), 1)))
	is.NoErr(m.Heartbeat(2, hello(vmOf("new", "1", "d0"), 1)))
	m.Observe(3, 3, []VM{vmOf("a", "1", "d0"), other})
	vm, _ := m.Get("a")
	is.Equal(vm, vmOf("a", "2", "d0"))
	vm, _ = m.Get("new")
	is.Equal(vm.State, Live)
	is.True(!m.Dropped("a", "2"))
	is.True(!m.Dropped("a", "1")) // not before the list shows the new incarnation
	m.Observe(4, 4, []VM{vmOf("a", "2", "d0"), other})
	is.True(m.Dropped("a", "1"))
	is.True(!m.Observe(5, 5, nil)) // a platform that lists nothing is broken

	// A VM that no list and no message confirms is forgotten.
	m.Observe(3*time.Minute, 3*time.Minute, []VM{vmOf("a", "2", "d0"), other})
	m.Tick(3 * time.Minute)
	_, known := m.Get("new")
	is.True(!known)
	is.True(m.Dropped("new", "1"))
}

// Guards against a report that was withdrawn but comes back through a delayed message, and against
// a leaving VM that turns live again.
func TestOvertakenMessageIsIgnored(t *testing.T) {
	run := func(ignoreSequence bool) (*Members, Suspicion) {
		m := newMembers(vmOf("self", "1", "d0"))
		m.ignoreSequence = ignoreSequence
		leaving := vmOf("a", "1", "d1")
		leaving.State = Leaving
		_ = m.Heartbeat(1, hello(leaving, 2, Report{Server: "s", Group: "g"}))
		_ = m.Heartbeat(2, hello(vmOf("a", "1", "d1"), 1, Report{Server: "s", Group: "g", Suspected: true}))
		return m, m.Suspicions(2, "s", 0)
	}
	is := is.New(t)
	m, s := run(false)
	is.Equal(len(s.Domains), 0)
	vm, _ := m.Get("a")
	is.Equal(vm.State, Leaving)
	_, s = run(true)
	is.Equal(s.Domains, []string{"d1"})
}

// Guards against a process that keeps running after a newer start of its own name.
func TestSuperseded(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("self", "2", "d0"))
	is.True(errors.Is(m.Heartbeat(1, hello(vmOf("self", "1", "d0"), 1)), ErrOldIncarnation))
	is.True(!m.Superseded())
	m.Observe(1, 1, []VM{vmOf("self", "3", "d0")})
	is.True(m.Superseded())
}

// Guards against a failed watch holder that nobody replaces because the platform's list lags.
func TestWatchHolderIsReplaced(t *testing.T) {
	is := is.New(t)
	all := fleetOf(40, 2)
	views := map[string]*Members{}
	for i, vm := range all {
		views[vm.Name] = New(Config{Self: vm}, rand.New(rand.NewPCG(uint64(i), 1)))
		views[vm.Name].Observe(0, 0, all)
	}
	dead := views[all[0].Name].WatchHolders("d0")[0].Name
	watching := func(now time.Duration) (n int) {
		for _, vm := range all {
			m := views[vm.Name]
			for _, s := range pick[SyncWith](m.Tick(now)) {
				if s.Peer.Name == dead {
					m.CallFailed(now, s.Peer)
				}
			}
			if vm.Name != dead && vm.Domain == "d0" && m.watching {
				n++
			}
		}
		return n
	}
	is.Equal(watching(time.Second), 1)
	is.True(watching(2*time.Second) <= 2)
	for now := 3 * time.Second; now < 8*time.Second; now += time.Second {
		watching(now)
	}
	is.True(watching(8*time.Second) >= 2)

	// A message from the VM ends the suspicion.
	m := newMembers(all[1])
	m.Observe(0, 0, all)
	m.CallFailed(1, all[0])
	m.CallFailed(2, all[0])
	vm, _ := m.Get(all[0].Name)
	is.Equal(vm.State, Suspected)
	is.NoErr(m.Heartbeat(3, hello(all[0], 1)))
	vm, _ = m.Get(all[0].Name)
	is.Equal(vm.State, Live)
}

// Guards against more or fewer calls than one Sync per second, and pushes to one peer twice, to the
// VM itself or to VMs that do not answer.
func TestPeerChoice(t *testing.T) {
	is := is.New(t)
	all := fleetOf(60, 3)
	ranked := Rank("watch/d0", slices.DeleteFunc(slices.Clone(all), func(v VM) bool { return v.Domain != "d0" }))
	m := newMembers(ranked[len(ranked)-1])
	m.Observe(0, 0, all)
	m.CallFailed(0, all[1])
	m.CallFailed(0, all[1])
	syncs := 0
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		actions := m.Tick(now)
		syncs += len(pick[SyncWith](actions))
		is.Equal(len(pick[StartWatch](actions)), 0)
		push := m.PushLearned("keys")[0].(PushTo)
		is.Equal(len(push.Peers), pushPeers)
		names := map[string]bool{m.Self().Name: true, all[1].Name: true}
		for _, p := range push.Peers {
			is.True(!names[p.Name])
			names[p.Name] = true
		}
	}
	is.Equal(syncs, 20)
}

// Guards against a VM that starts or returns, learns the whole catalog and pushes it to its peers.
func TestCatchingUpIsNotPushed(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("self", "1", "d0"))
	m.Observe(0, 0, fleetOf(10, 2))
	names := make([]string, maxPushNames+1)
	is.Equal(len(m.PushLearned(names[1:]...)), 1)
	is.Equal(len(m.PushLearned(names...)), 0)
}

// Guards against a VM that cannot find the fleet when it starts during a platform outage.
func TestStartWithoutPlatform(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("new", "1", "d0"), "10.0.0.1:7")
	actions := m.Tick(time.Second)
	is.Equal(len(pick[StartWatch](actions)), 0) // without a list every VM would consider itself a holder
	seed := pick[SyncWith](actions)
	is.Equal(seed, []SyncWith{{VM{Address: "10.0.0.1:7"}}})

	all := fleetOf(100, 4)
	peer := newMembers(all[0])
	peer.Observe(0, 0, all)
	req := m.Hello(time.Second, NewVersions(), nil)
	is.NoErr(peer.Heartbeat(time.Second, req))
	answer, _ := peer.Respond(time.Second, NewVersions(), req)
	_, err := m.ApplyResponse(time.Second, time.Second, req, answer, true)
	is.NoErr(err)
	is.Equal(len(m.Live()), 1+1+maxSample) // itself, the peer and the sample
}

// Guards against a primary change because of one failure domain's own network fault, and against
// reports that count although they are old, withdrawn or about an earlier term.
func TestSuspicionsNeedTwoDomains(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("self", "1", "d0"))
	a, b := vmOf("a", "1", "d1"), vmOf("b", "1", "d1")
	suspected := Report{Server: "s", Group: "g", Suspected: true, Reason: "no answer for 400 ms", Term: 3}
	is.NoErr(m.Heartbeat(0, hello(a, 1, suspected)))
	is.NoErr(m.Heartbeat(0, hello(b, 1, suspected)))
	is.True(!m.Suspicions(0, "s", 3).Confirmed)

	calls := pick[SyncWith](m.Report(0, suspected, nil))
	is.Equal(len(calls), 2) // a and b are told at once
	is.Equal(len(m.Report(0, suspected, nil)), 0)
	s := m.Suspicions(0, "s", 3)
	is.True(s.Confirmed)
	is.Equal(s.Domains, []string{"d0", "d1"})
	is.Equal(len(m.Suspicions(0, "s", 4).Domains), 0) // reports about term 3 say nothing about term 4
	is.True(!m.Suspicions(reportTTL, "s", 3).Confirmed)

	is.NoErr(m.Heartbeat(1, hello(a, 2, Report{Server: "s", Group: "g", Term: 3})))
	is.NoErr(m.Heartbeat(1, hello(b, 2, Report{Server: "s", Group: "g", Term: 3})))
	is.Equal(m.Suspicions(1, "s", 3).Domains, []string{"d0"})

	alone := newMembers(vmOf("self", "1", "d0"))
	alone.Report(0, suspected, nil)
	is.True(alone.Suspicions(0, "s", 3).Confirmed) // only one failure domain is live
}

// Guards against a suspicion that is lost with a single message.
func TestSuspicionIsRepeated(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("self", "1", "d0"))
	m.Observe(0, 0, []VM{vmOf("a", "1", "d1")})
	m.Report(0, Report{Server: "s", Group: "g", Suspected: true}, []VM{vmOf("a", "1", "d1")})
	calls := 0
	for now := time.Duration(0); now <= reportTTL; now += 100 * time.Millisecond {
		calls += len(pick[SyncWith](m.tickReports(now, nil)))
	}
	is.True(calls >= 3)
	is.Equal(len(m.Hello(reportTTL, NewVersions(), nil).Reports), 1)
}

// Guards against state that grows with what peers send.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("self", "1", "d0"))
	for i := range maxMembers + 10 {
		vm := vmOf(fmt.Sprintf("vm%d", i), "1", "d1")
		var list []Report
		for j := range maxOwnReports + 1 {
			list = append(list, Report{Server: fmt.Sprintf("s%d", (i*maxOwnReports+j)%(2*maxReportedServers)), Suspected: true})
		}
		_ = m.Heartbeat(0, hello(vm, 1, list...))
	}
	is.Equal(len(m.members), maxMembers)
	is.Equal(len(m.reports), maxReportedServers)
	for _, held := range m.reports {
		is.True(len(held) <= maxReportsPerServer)
	}
	m.expire(reportTTL + expireInterval)
	is.Equal(len(m.reports), 0)
}

// Guards against a VM that is cut off but believes that its configuration is current.
func TestFreshnessIsNeverOverstated(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("self", "1", "d0"))
	_, ok := m.FreshAge(0)
	is.True(!ok)
	answer := hello(vmOf("a", "1", "d0"), 1)
	answer.Fresh, answer.FreshAge = true, 3*time.Second
	_, err := m.ApplyResponse(10*time.Second, 11*time.Second, Hello{}, answer, false)
	is.NoErr(err)
	_, ok = m.FreshAge(11 * time.Second)
	is.True(!ok) // objects were left out, so this VM does not hold what was confirmed
	_, err = m.ApplyResponse(10*time.Second, 11*time.Second, Hello{}, answer, true)
	is.NoErr(err)
	age, ok := m.FreshAge(11 * time.Second)
	is.True(ok)
	is.Equal(age, 4*time.Second) // the answer may have waited on its way since the call began
	m.Confirmed(5 * time.Second) // older knowledge does not replace newer
	age, _ = m.FreshAge(11 * time.Second)
	is.Equal(age, 4*time.Second)
}

// Guards against a large object that several peers announce and that is then transferred by each of
// them, and against waiting forever for a transfer that failed.
func TestAnnouncedObjectIsWantedOnce(t *testing.T) {
	is := is.New(t)
	m := newMembers(vmOf("self", "1", "d0"))
	v := NewVersions()
	v.Set("keys", 3)
	announced := []Version{{"keys", 3}, {"contract", 5}}
	is.Equal(m.Wanted(0, v, announced), []string{"contract"})
	is.Equal(len(m.Wanted(1, v, announced)), 0)
	is.Equal(m.Wanted(1, v, []Version{{"contract", 6}}), []string{"contract"})
	is.Equal(m.Wanted(1+wantTimeout, v, announced), []string{"contract"})
}

// Guards against VMs that suspect each other after a pause and stay apart for half a minute: a VM without
// other live VMs has nobody to borrow from and refuses callers inside their rate.
func TestMutualSuspicionEnds(t *testing.T) {
	is := is.New(t)
	all := fleetOf(3, 3)
	vms := map[string]*Members{}
	for _, vm := range all {
		m := newMembers(vm)
		m.Observe(0, 0, all)
		vms[vm.Name] = m
	}
	for _, a := range all {
		for _, b := range all {
			vms[a.Name].CallFailed(0, b)
			vms[a.Name].CallFailed(0, b)
		}
	}
	joined := time.Duration(-1)
	for now := time.Duration(0); now < 30*time.Second && joined < 0; now += 100 * time.Millisecond {
		for _, vm := range all {
			m := vms[vm.Name]
			for _, s := range pick[SyncWith](m.Tick(now)) {
				request := hello(vm, uint64(now/time.Millisecond)+1)
				is.NoErr(vms[s.Peer.Name].Heartbeat(now, request))
				is.NoErr(m.Heartbeat(now, hello(s.Peer, uint64(now/time.Millisecond)+1)))
			}
		}
		if len(vms[all[0].Name].Live()) == 3 && len(vms[all[1].Name].Live()) == 3 && len(vms[all[2].Name].Live()) == 3 {
			joined = now
		}
	}
	t.Logf("all live after %v", joined)
	is.True(joined >= 0 && joined <= 5*time.Second) // "within a few seconds"
}
