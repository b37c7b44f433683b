// Package ring provides a bounded queue for passing values between the goroutines of a daemon.
package ring

import "sync/atomic"

// Ring is a bounded queue of values for one or more senders and receivers. Senders never block: a full ring
// rejects the value and counts it as dropped.
type Ring[T any] struct {
	ch      chan T
	dropped atomic.Int64
}

// New returns a ring that holds at most size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, size)}
}

// Offer adds v and reports whether there was room for it.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the channel to receive from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns how many values were rejected because the ring was full.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }
