package bench

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func reportOf(values ...float64) *Report {
	return &Report{Scenario: "steady", Repeats: len(values), Measures: map[string][]float64{"read p50 ms": values}}
}

// Guards against a comparison that calls noise a difference, misses a clear one, or judges single runs.
func TestCompare(t *testing.T) {
	is := is.New(t)
	one := func(a, b *Report) Difference {
		all := Compare(a, b, 1)
		is.Equal(len(all), 1)
		return all[0]
	}
	clear := one(reportOf(10, 11, 10, 11), reportOf(20, 21, 20, 21))
	is.True(clear.Judged)
	is.True(clear.Noticeable)
	is.True(clear.Low > 8 && clear.High < 12)
	noise := one(reportOf(10, 20, 15, 12), reportOf(12, 19, 16, 11))
	is.True(noise.Judged)
	is.True(!noise.Noticeable)
	is.True(!one(reportOf(10, 11), reportOf(20, 21)).Judged)
	is.Equal(len(Compare(reportOf(-1, -1), reportOf(3, 4), 1)), 0) // a measure that does not apply

	var out bytes.Buffer
	PrintComparison(&out, reportOf(10, 11, 10, 11), reportOf(20, 21, 20, 21), 1)
	is.True(strings.Contains(out.String(), "differs"))
}

// Guards against a stand-in whose gap does not include the rest of the lease.
func TestLeaseGap(t *testing.T) {
	is := is.New(t)
	gaps := leaseGaps(2*time.Second, rand.New(rand.NewPCG(1, 0)))
	is.True(gaps[0] >= 1330)          // a lease that was about to be renewed
	is.True(gaps[len(gaps)-1] < 2200) // one that had just been renewed
	r := newReport(Config{Scenario: leaseScenario, Seed: 1, Repeat: 2})
	is.NoErr(runBaseline(context.Background(), Config{Scenario: leaseScenario, Seed: 1, Repeat: 2}, r))
	is.Equal(len(r.Measures["computed gap ms, lease 2s, p50"]), 2)
}

// Guards against a latency measurement that reads nothing or mixes up its paths.
func TestLatency(t *testing.T) {
	is := is.New(t)
	c := Config{Scenario: latencyScenario, Deployment: "tasmania", Duration: 200 * time.Millisecond, Repeat: 1}
	r := newReport(c)
	is.NoErr(runBaseline(context.Background(), c, r))
	is.True(r.Measures["p50 us, direct"][0] > 0)
	is.True(r.Measures["added p50 us, tokens"][0] > 0)
	is.True(r.Measures["added p50 us, no tokens"][0] > 0)
}
