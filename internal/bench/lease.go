package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// leaseScenario computes the failover gap of the alternative design, a lease in the platform. It is a
// calculation over random phases and no measurement.
const leaseScenario = "lease-computed"

const (
	leaseTrials       = 10_000
	leaseRenewals     = 3                      // renewals within one lease
	leaseClockError   = 0.01                   // of the rates of clocks, as loans allow for
	leasePoll         = 100 * time.Millisecond // between two looks at an expired lease
	leaseCall         = 5 * time.Millisecond   // one call to the platform
	leaseCalls        = 2                      // take the lease, publish the new primary
	leasePromotion    = 10 * time.Millisecond  // tell the new primary
	outage            = 60 * time.Second       // of the platform, in the case that the primary dies in it
	plannedDatabases  = 14_000                 // section 2 of the design
	platformWriteRate = 300.0                  // per second, "several hundred"
)

// runLease adds the figures of one repeat to the report.
func runLease(seed uint64, report *Report) {
	if report.Measures == nil {
		report.Measures = make(map[string][]float64)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for _, lease := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second} {
		gaps := leaseGaps(lease, random)
		for _, q := range []float64{0.5, 0.99, 1} {
			name := fmt.Sprintf("computed gap ms, lease %v, p%.0f", lease, q*100)
			report.Measures[name] = append(report.Measures[name], stat.Quantile(q, stat.Empirical, gaps, nil))
		}
		name := fmt.Sprintf("platform writes/s at planned size, lease %v", lease)
		writes := plannedDatabases * leaseRenewals / lease.Seconds()
		report.Measures[name] = append(report.Measures[name], writes)
	}
	add := func(name string, value float64) { report.Measures[name] = append(report.Measures[name], value) }
	add("shortest lease in s that the platform's writes allow", plannedDatabases*leaseRenewals/platformWriteRate)
	down := outageGaps(2*time.Second, random)
	add("computed gap ms, lease 2s, platform down 60 s, p50", stat.Quantile(0.5, stat.Empirical, down, nil))
}

// leaseGaps returns sorted gaps in milliseconds for primaries that die at a random time.
func leaseGaps(lease time.Duration, random *rand.Rand) []float64 {
	gaps := make([]float64, leaseTrials)
	for i := range gaps {
		gaps[i] = float64(leaseGap(lease, random)) / 1e6
	}
	slices.Sort(gaps)
	return gaps
}

// leaseGap is the rest of the lease with the allowance for clocks, the wait for the next look, the calls
// to the platform and the promotion.
func leaseGap(lease time.Duration, random *rand.Rand) time.Duration {
	sinceRenewal := time.Duration(random.Float64() * float64(lease/leaseRenewals))
	waitOut := time.Duration(float64(lease)*(1+leaseClockError)) - sinceRenewal
	look := time.Duration(random.Float64() * float64(leasePoll))
	return waitOut + look + leaseCalls*leaseCall + leasePromotion
}

// outageGaps are the gaps for primaries that die at a random time in an outage of the platform.
func outageGaps(lease time.Duration, random *rand.Rand) []float64 {
	gaps := make([]float64, leaseTrials)
	for i := range gaps {
		rest := time.Duration(random.Float64() * float64(outage))
		gaps[i] = float64(max(rest+leaseCalls*leaseCall+leasePromotion, leaseGap(lease, random))) / 1e6
	}
	slices.Sort(gaps)
	return gaps
}
