package bench

import (
	"time"

	"siskinrouter/internal/devtarget"
)

// Correctness counts violations of guarantees. Every count should be zero.
type Correctness struct {
	WrongReads       int `json:"wrong_reads"`        // did not return the acknowledged write that they had to see
	LostWrites       int `json:"lost_writes"`        // acknowledged, but not in the log at the end
	DoubledWrites    int `json:"doubled_writes"`     // more than once in the log
	FalselyAcked     int `json:"falsely_acked"`      // acknowledged before a majority held them
	NotRunYetRan     int `json:"not_run_yet_ran"`    // refused with "not run", but in the log
	OverAdmitted     int `json:"over_admitted"`      // admitted beyond the exact bucket
	RequestsCut      int `json:"requests_cut"`       // connections that ended without an answer to a request
	StalledRequests  int `json:"stalled_requests"`   // took longer than stallTime from their sending
	UnknownOutcomes  int `json:"unknown_outcomes"`   // ended with "may have run" after all repeats
	UnknownFoundLate int `json:"unknown_found_late"` // of them, found in the log: the work was done
}

// Violations returns the sum of the counts that break a guarantee.
func (c Correctness) Violations() int {
	return c.WrongReads + c.LostWrites + c.DoubledWrites + c.FalselyAcked + c.NotRunYetRan + c.OverAdmitted
}

// written counts the commits that set each key in a log.
func written(log []devtarget.Record) map[string]int {
	counts := make(map[string]int)
	for _, record := range log {
		for _, w := range record.Writes {
			counts[w.Key]++
		}
	}
	return counts
}

// checkWrites compares the answers that callers got with the log of the group at the end.
func checkWrites(samples []sample, counts map[string]int, c *Correctness) {
	for _, s := range samples {
		if !s.write || s.key == "" {
			continue
		}
		n := counts[s.key]
		switch {
		case s.outcome == acked && n == 0:
			c.LostWrites++
		case s.outcome == notRun && n > 0:
			c.NotRunYetRan++
		case s.outcome == unknown && n > 0:
			c.UnknownFoundLate++
		}
		if n > 1 {
			c.DoubledWrites++
		}
	}
}

// stallTime is the goal for the failover gap. A request that takes longer waits for something else.
const stallTime = 2 * time.Second

// checkAnswers counts what the samples alone show.
func checkAnswers(samples []sample, c *Correctness) {
	for _, s := range samples {
		c.RequestsCut += s.cuts
		if s.wrong {
			c.WrongReads++
		}
		if s.falseAck {
			c.FalselyAcked++
		}
		if s.state == stateStalled || s.done-s.sent > stallTime {
			c.StalledRequests++
		}
		if s.write && s.outcome == unknown {
			c.UnknownOutcomes++
		}
	}
}
