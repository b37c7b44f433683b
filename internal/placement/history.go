// Package placement chooses the server of a database group that serves a statement, the log position that a
// read must see there, and the server to be promoted when the group needs a new primary. It performs no I/O and
// reads no clock; times are durations since an arbitrary start.
package placement

import (
	"time"

	"siskinrouter/internal/session"
)

const (
	// sampleInterval and maxSamples keep samples for ages up to 5 s; the largest maximum staleness of a route
	// is a few seconds.
	sampleInterval = 25 * time.Millisecond
	maxSamples     = 200
	// stalenessMargin is subtracted from the maximum staleness of a route to allow for timers that fire late.
	stalenessMargin = 100 * time.Millisecond
)

// sample states that every write acknowledged before at is at or below position.
type sample struct {
	at       time.Duration
	position session.Position
}

// History holds positions of the primary and the times when they were requested.
type History struct {
	samples []sample
}

// Observe records a position that the primary reported in response to a statement sent at the given time. A
// position of a later term replaces all earlier samples.
func (h *History) Observe(sent time.Duration, p session.Position) {
	n := len(h.samples)
	if n > 0 {
		last := h.samples[n-1]
		if p.Term < last.position.Term {
			return
		}
		if p.Term > last.position.Term {
			h.samples = h.samples[:0]
			n = 0
		}
	}
	switch {
	case n > 0 && sent <= h.samples[n-1].at:
		// Responses arrived out of order; the later sample covers this one.
	case n > 1 && sent-h.samples[n-2].at < sampleInterval:
		h.samples[n-1] = sample{sent, p}
	case n == maxSamples:
		copy(h.samples, h.samples[1:])
		h.samples[n-1] = sample{sent, p}
	default:
		h.samples = append(h.samples, sample{sent, p})
	}
}

// Latest returns the most recent position and when it was requested.
func (h *History) Latest() (at time.Duration, p session.Position, ok bool) {
	if len(h.samples) == 0 {
		return 0, session.Position{}, false
	}
	last := h.samples[len(h.samples)-1]
	return last.at, last.position, true
}

// MinPosition returns the earliest position that is recent enough for a read with a maximum staleness, and when
// it was requested. ok is false if there is none; then only the primary can serve the read.
func (h *History) MinPosition(now, maxStaleness time.Duration) (p session.Position, at time.Duration, ok bool) {
	earliest := now - maxStaleness + stalenessMargin
	for _, s := range h.samples {
		if s.at >= earliest {
			return s.position, s.at, true
		}
	}
	return session.Position{}, 0, false
}

// Reset discards all positions.
func (h *History) Reset() { h.samples = h.samples[:0] }
