package devplatform

import (
	"sync"
	"time"
)

// quota is a token bucket that holds the calls of one second.
type quota struct {
	rate float64 // calls/s; 0 means no limit

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newQuota(rate float64) *quota { return &quota{rate: rate, tokens: rate} }

// take reports whether the quota admits one more call.
func (q *quota) take(now time.Time) bool {
	if q.rate == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.last.IsZero() {
		q.tokens = min(max(q.rate, 1), q.tokens+q.rate*now.Sub(q.last).Seconds())
	}
	q.last = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}
