// Package retry decides whether a failed request is sent to another target. The decision depends on the verdict
// of the failure, never on the text of its error.
//
// A Budget is not safe for concurrent use. It counts requests and does not depend on time.
package retry

import "siskinrouter/internal/verdict"

// MaxAttempts is the number of targets to which one request may be sent. A database group has three servers.
const MaxAttempts = 3

const (
	// requestsPerRetry is the number of requests that earn one retry (10%).
	requestsPerRetry = 10
	// DefaultBurst is the number of retries that a budget accumulates for a short outage.
	DefaultBurst = 20
)

// Decision is the action taken on a failed request.
type Decision uint8

const (
	GiveUp         Decision = iota // the failure is returned to the caller
	RetryElsewhere                 // the request is sent to another target
)

// String returns the text used in explanations.
func (d Decision) String() string {
	if d == RetryElsewhere {
		return "retry elsewhere"
	}
	return "give up"
}

// Reason is the reason for a decision.
type Reason uint8

const (
	Allowed         Reason = iota // the retry is safe and within the budget
	HasRun                        // the request has taken effect
	NotRepeatable                 // the request may have run and its route is not repeatable
	BytesSent                     // some bytes reached a target and the route is not repeatable
	TooManyAttempts               // MaxAttempts targets have been tried
	BudgetSpent                   // retries have used up their share of the requests
)

// String returns the text used in explanations.
func (r Reason) String() string {
	switch r {
	case Allowed:
		return "the retry is safe and within the budget"
	case HasRun:
		return "the request has run"
	case NotRepeatable:
		return "the request may have run and its route is not repeatable"
	case BytesSent:
		return "the request was partly sent and its route is not repeatable"
	case TooManyAttempts:
		return "all attempts have been used"
	default:
		return "the retry budget is spent"
	}
}

// Failure describes a failed attempt of a request.
type Failure struct {
	Verdict    verdict.Verdict
	Repeatable bool  // the route allows the request to be executed more than once
	BytesSent  int64 // bytes of the request that reached a target
	Attempt    int   // 1 for the first attempt
}

// Decide returns whether the request may be sent to another target, and why. It takes an allowed retry from the
// budget.
func Decide(f Failure, b *Budget) (Decision, Reason) {
	if !f.Repeatable {
		switch {
		case f.Verdict == verdict.Ran:
			return GiveUp, HasRun
		case f.Verdict != verdict.NotRun:
			return GiveUp, NotRepeatable
		case f.BytesSent != 0:
			return GiveUp, BytesSent
		}
	}
	if f.Attempt >= MaxAttempts || f.Attempt < 1 {
		return GiveUp, TooManyAttempts
	}
	if !b.take() {
		return GiveUp, BudgetSpent
	}
	return RetryElsewhere, Allowed
}

// Budget limits retries to a tenth of the requests plus a burst. The zero value allows no retry.
type Budget struct {
	credit int64 // in 1/requestsPerRetry of a retry
	limit  int64
}

// NewBudget returns a full budget that accumulates at most burst retries.
func NewBudget(burst int) *Budget {
	limit := int64(max(burst, 0)) * requestsPerRetry
	return &Budget{credit: limit, limit: limit}
}

// RecordRequest counts a new request. Retries are not counted.
func (b *Budget) RecordRequest() {
	b.credit = min(b.credit+1, b.limit)
}

// Available returns the number of retries that the budget currently allows.
func (b *Budget) Available() int64 { return b.credit / requestsPerRetry }

// take uses up one retry and reports whether the budget allowed it.
func (b *Budget) take() bool {
	if b.credit < requestsPerRetry {
		return false
	}
	b.credit -= requestsPerRetry
	return true
}
