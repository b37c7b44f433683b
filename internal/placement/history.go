// Package placement decides which server of a database group serves a statement, which log position
// a read must see there, and which server is to lead the group. It does no I/O and reads no clock; times
// are durations since an arbitrary start.
package placement

import (
	"time"

	"siskinrouter/internal/session"
)

const (
	// historySpacing and historyLength let ages up to 5 s be told apart; the largest maximum age of a
	// route is a few seconds.
	historySpacing = 25 * time.Millisecond
	historyLength  = 200
	// ageMargin is taken off the maximum age of a route for timers that fire late.
	ageMargin = 100 * time.Millisecond
)

// sample says that every write acknowledged before at lies at or below position.
type sample struct {
	at       time.Duration
	position session.Position
}

// History remembers positions of the primary and when they were asked for.
type History struct {
	samples []sample
}

// Observe records a position that the primary reported to a statement sent at the given time. A
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
		// An answer that was overtaken; the later sample covers it.
	case n > 1 && sent-h.samples[n-2].at < historySpacing:
		h.samples[n-1] = sample{sent, p}
	case n == historyLength:
		copy(h.samples, h.samples[1:])
		h.samples[n-1] = sample{sent, p}
	default:
		h.samples = append(h.samples, sample{sent, p})
	}
}

// Latest returns the newest position and when it was asked for.
func (h *History) Latest() (at time.Duration, p session.Position, ok bool) {
	if len(h.samples) == 0 {
		return 0, session.Position{}, false
	}
	last := h.samples[len(h.samples)-1]
	return last.at, last.position, true
}

// MinPosition returns the earliest position that is young enough for a read with a maximum age, and when it
// was asked for. ok is false if there is none; only the primary can serve the read then.
func (h *History) MinPosition(now, maxAge time.Duration) (p session.Position, at time.Duration, ok bool) {
	earliest := now - maxAge + ageMargin
	for _, s := range h.samples {
		if s.at >= earliest {
			return s.position, s.at, true
		}
	}
	return session.Position{}, 0, false
}

// Reset forgets all positions.
func (h *History) Reset() { h.samples = h.samples[:0] }
