package link

import (
	"slices"
	"time"

	"siskinrouter/internal/verdict"
)

const defaultFIFOSize = 4096 // waiting requests

// FIFO is a Queue in order of arrival, the baseline for fair queueing.
type FIFO struct {
	waiters []*Waiter
	size    int
}

// NewFIFO returns a queue of at most size waiters.
func NewFIFO(size int) *FIFO { return &FIFO{size: size} }

// Push adds w at the end.
func (q *FIFO) Push(_ time.Time, w *Waiter) error {
	if len(q.waiters) >= q.size {
		return verdict.Errorf(verdict.NotRun, verdict.StateTooManyConnections, "too many requests wait for the target")
	}
	q.waiters = append(q.waiters, w)
	return nil
}

// Pop returns the oldest waiter and drops those whose deadline has passed.
func (q *FIFO) Pop(now time.Time) (next *Waiter, shed []*Waiter) {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		if w.Deadline.IsZero() || now.Before(w.Deadline) {
			return w, shed
		}
		shed = append(shed, w)
	}
	return nil, shed
}

// Remove drops w.
func (q *FIFO) Remove(w *Waiter) {
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
}

// Release does nothing, because a FIFO keeps no account of service.
func (q *FIFO) Release(time.Time, *Waiter, time.Duration) {}

// Clear removes and returns all waiters.
func (q *FIFO) Clear() []*Waiter {
	all := q.waiters
	q.waiters = nil
	return all
}

// Resize does nothing, because the pool itself bounds the links in use.
func (q *FIFO) Resize(int) {}
