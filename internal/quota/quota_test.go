package quota

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrouter/internal/directory"
)

// Guards against a workspace that gets more than its rate and burst in a window, for any demand and any change
// of the limits.
func TestNeverMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := directory.Workspace{Name: "w", Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 200).Draw(t, "burst"))}
		b := NewAllocator(0)
		type taken struct {
			at time.Duration
			n  int
		}
		var all []taken
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			all = append(all, taken{now, b.Take(now, w, 1, rapid.IntRange(1, 50).Draw(t, "n"))})
			sum := 0
			for i := len(all) - 1; i >= 0 && now-all[i].at <= 5*time.Second; i-- {
				sum += all[i].n
			}
			if limit := w.Rate*5 + w.Burst; float64(sum) > limit {
				t.Fatalf("%d tokens in 5 s, limit %.1f", sum, limit)
			}
		}
	})
}

// Guards against rejecting a small workspace within its rate because its requests go to few of many services:
// an allocator of the whole rate admits them all, an equal share per VM does not.
func TestWholeRateAtOneService(t *testing.T) {
	is := is.New(t)
	w := directory.Workspace{Name: "small", Rate: 8, Burst: 8}
	whole, equal := NewAllocator(0), NewFallback(0)
	wholeServed, equalServed := 0, 0
	for i := range 40 { // 4 requests per second for 10 s, all for one of 8 services
		now := time.Second + time.Duration(i)*250*time.Millisecond
		wholeServed += whole.Take(now, w, 1, 1)
		equalServed += equal.Take(now, w, Source{}, 8, 1)
	}
	is.Equal(wholeServed, 40)
	is.True(equalServed < 20)
}

// Guards against an allocator that forgets what its predecessor has handed out, against one that forgets what it was told,
// and against debits that count twice because their response was lost.
func TestAllocatorAccountsForOthers(t *testing.T) {
	is := is.New(t)
	w := directory.Workspace{Name: "w", Rate: 10, Burst: 100}
	first := NewAllocator(0)
	is.Equal(first.Take(20*time.Second, w, 1, 70), 70)
	levels := first.Levels(20 * time.Second)
	next := NewAllocator(20 * time.Second)
	next.Inherit(levels)
	is.Equal(next.Take(20*time.Second, w, 1, 100), 30)
	late := NewAllocator(20 * time.Second)
	is.Equal(late.Take(20*time.Second, w, 1, 100), 6)
	late.Inherit(levels)
	is.Equal(late.Take(20*time.Second, w, 1, 100), 24)

	for range 3 {
		late.Debit(25*time.Second, w, 1, "vm", time.Second, 20)
	}
	is.Equal(late.Take(25*time.Second, w, 1, 100), 30)
	late.Debit(25*time.Second, w, 1, "vm", time.Second, 25)
	late.Debit(25*time.Second, w, 1, "other", time.Second, 5)
	late.Debit(25*time.Second, w, 1, "vm", 2*time.Second, 5) // another outage
	is.Equal(late.Take(27*time.Second, w, 1, 100), 5)
}

// Guards against more than the rate while half of the VMs cannot reach the allocator: it then hands out the share of the
// others only.
func TestAllocatorLeavesShareToOthers(t *testing.T) {
	is := is.New(t)
	w := directory.Workspace{Name: "w", Rate: 100, Burst: 100}
	a := NewAllocator(0)
	is.Equal(a.Take(10*time.Second, w, 1, 1000), 100)
	is.Equal(a.Take(10*time.Second, w, 0.5, 1000), 0)
	is.Equal(a.Take(11*time.Second, w, 0.5, 1000), 50)
}

// Guards against a workspace whose allocator changes with the services and is full again at the next one.
func TestReassignedWorkspaceStartsEmpty(t *testing.T) {
	is := is.New(t)
	w := directory.Workspace{Name: "w", Rate: 100, Burst: 100}
	a := NewAllocator(0)
	a.Reassign(10*time.Second, func(string) bool { return true })
	is.True(a.Take(10*time.Second, w, 1, 1000) < 10)
	a.Reassign(20*time.Second, func(string) bool { return false })
	is.True(a.Take(20*time.Second, w, 1, 1000) < 10)
}

// Guards against VMs that disagree on the token allocator of a workspace.
func TestAllocatorServiceIsStable(t *testing.T) {
	is := is.New(t)
	services := map[string]directory.Service{"a": {}, "b": {}, "c": {}}
	first := ""
	for range 20 { // each with another iteration order of the map
		d := directory.New()
		d.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 1, Entries: []directory.Entry{
			{Name: "main", Revision: 1, Configuration: &directory.Configuration{Version: 1, Services: services}},
		}})
		allocator := AllocatorService("w", d.View().AllServices())
		if first == "" {
			first = allocator
		}
		is.Equal(allocator, first)
		is.True(slices.IsSorted(d.View().AllServices()))
	}
	is.Equal(AllocatorService("w", nil), "")
}
