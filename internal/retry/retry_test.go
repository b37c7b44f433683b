package retry

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrouter/internal/verdict"
)

func drawFailure(t *rapid.T) Failure {
	return Failure{
		Verdict:    verdict.Verdict(rapid.Uint8Range(0, 4).Draw(t, "verdict")),
		Repeatable: rapid.Bool().Draw(t, "repeatable"),
		BytesSent:  rapid.Int64Range(0, 3).Draw(t, "bytes"),
		Attempt:    rapid.IntRange(0, MaxAttempts+1).Draw(t, "attempt"),
	}
}

// Guards against executing a request twice that must not be repeated. Values other than the three verdicts are
// treated as "may have run".
func TestOnlyRepeatableRequestsRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFailure(t)
		d, reason := Decide(f, NewBudget(DefaultBurst))
		untouched := f.Verdict == verdict.NotRun && f.BytesSent == 0
		if d == RetryElsewhere && !f.Repeatable && !untouched {
			t.Fatalf("%+v is sent again", f)
		}
		if d == RetryElsewhere && f.Attempt >= MaxAttempts {
			t.Fatalf("attempt %d is followed by another one", f.Attempt)
		}
		if (d == RetryElsewhere) != (reason == Allowed) {
			t.Fatalf("decision %v with reason %q", d, reason)
		}
	})
}

// Guards against denying retries that are safe and within the budget.
func TestSafeRetriesAreAllowed(t *testing.T) {
	is := is.New(t)
	for _, f := range []Failure{
		{Verdict: verdict.NotRun, Attempt: 1},
		{Verdict: verdict.MayHaveRun, Repeatable: true, BytesSent: 10, Attempt: 2},
		{Verdict: verdict.Ran, Repeatable: true, BytesSent: 10, Attempt: 1},
	} {
		d, _ := Decide(f, NewBudget(1))
		is.Equal(d, RetryElsewhere)
	}
}

// Guards against a reason that does not match the failure and would mislead the caller.
func TestReasons(t *testing.T) {
	is := is.New(t)
	for reason, f := range map[Reason]Failure{
		HasRun:          {Verdict: verdict.Ran, Attempt: 1},
		NotRepeatable:   {Verdict: verdict.MayHaveRun, Attempt: 1},
		BytesSent:       {Verdict: verdict.NotRun, BytesSent: 1, Attempt: 1},
		TooManyAttempts: {Verdict: verdict.NotRun, Attempt: MaxAttempts},
		BudgetSpent:     {Verdict: verdict.NotRun, Attempt: 1},
	} {
		_, got := Decide(f, NewBudget(0))
		is.Equal(got, reason)
	}
}

// Guards against a retry storm: while a partial outage fails any share of the attempts, retries stay within a
// tenth of the requests plus the burst, in every window.
func TestNoRetryStorm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.IntRange(0, 50).Draw(t, "burst")
		failing := rapid.IntRange(0, 100).Draw(t, "failing percent")
		b := NewBudget(burst)
		requests, retries, lowest := 0, 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "requests") {
			b.RecordRequest()
			requests++
			for attempt := 1; rapid.IntRange(1, 100).Draw(t, "outcome") <= failing; attempt++ {
				d, _ := Decide(Failure{Verdict: verdict.NotRun, Attempt: attempt}, b)
				if d == GiveUp {
					break
				}
				retries++
			}
			// Over any window, 10 x retries - requests increases by at most 10 x the burst.
			excess := requestsPerRetry*retries - requests
			if excess-lowest > requestsPerRetry*burst {
				t.Fatalf("%d retries after %d requests exceed the budget of a window", retries, requests)
			}
			lowest = min(lowest, excess)
		}
	})
}
