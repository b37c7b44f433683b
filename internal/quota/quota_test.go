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
		b := NewLimiter(1, 1)
		type taken struct {
			at time.Duration
			n  int
		}
		var all []taken
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			all = append(all, taken{now, b.Take(now, w, rapid.IntRange(1, 50).Draw(t, "n"))})
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
// an allocator of the whole rate admits them all, an equal share per service does not.
func TestWholeRateAtOneService(t *testing.T) {
	is := is.New(t)
	w := directory.Workspace{Name: "small", Rate: 8, Burst: 8}
	whole, equal := NewLimiter(1, 1), NewLimiter(1.0/8, 1)
	wholeServed, equalServed := 0, 0
	for i := range 40 { // 4 requests per second for 10 s, all for one of 8 services
		now := time.Duration(i) * 250 * time.Millisecond
		wholeServed += whole.Take(now, w, 1)
		equalServed += equal.Take(now, w, 1)
	}
	is.Equal(wholeServed, 40)
	is.True(equalServed < 20)
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
