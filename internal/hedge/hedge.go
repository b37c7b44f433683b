// Package hedge decides when a read that waits for its server is given up and repeated. Both extremes are costly: a read
// that is only long holds a second slot, and a read whose answer is lost makes its caller wait.
package hedge

import (
	"time"

	"siskinrouter/internal/directory"
)

const (
	// MinWait is the time for which a read waits at least. It is far above the round trip and the usual service time, and
	// below the latency objectives of most callers.
	MinWait = 200 * time.Millisecond
	// maxWeight is the number of recent reads that determine the moments of a kind. With 64, the mean of an exponential
	// distribution varies by an eighth.
	maxWeight = 64
	// tailDeviations is the number of mean deviations above the mean that few reads exceed: one in 1,000 of an exponential
	// distribution, one in 150 of a lognormal one with sigma 1.
	tailDeviations = 8
	// repetitionDeviations is the same for the time that is kept for the repetition of a read, which nine in ten reads
	// meet.
	repetitionDeviations = 2
	// maxTails is the number of tails that a read waits if its caller loses nothing by it.
	maxTails = 2
	// objectiveShare is the share of a read's latency objective, 1/2, that it may wait; the rest is for the repetition.
	objectiveShare = 2
	// initialServiceTime is the estimate of the service time until one has been measured.
	initialServiceTime = 20 * time.Millisecond
	// maxKinds bounds the kinds whose service times are kept. Kinds are given by routes, of which a configuration has few.
	maxKinds = 64
)

// Kind identifies the reads whose service times are alike, as far as their requests tell.
type Kind struct {
	Consistency      directory.Consistency
	MaxStaleness     time.Duration
	LatencyObjective time.Duration
	Transaction      bool // begins a transaction
}

// Spread holds the mean and the mean absolute deviation of recent service times.
type Spread struct {
	mean, deviation time.Duration
	weight          int // of the samples so far, up to maxWeight
}

// observe adds a service time.
func (s *Spread) observe(took time.Duration) {
	s.weight = min(s.weight+1, maxWeight)
	if s.weight == 1 {
		s.mean, s.deviation = took, took/2
		return
	}
	difference := took - s.mean
	s.mean += difference / time.Duration(s.weight)
	s.deviation += (difference.Abs() - s.deviation) / time.Duration(s.weight)
}

// Mean returns the mean service time.
func (s Spread) Mean() time.Duration {
	if s.weight == 0 {
		return initialServiceTime
	}
	return s.mean
}

// Tail returns the service time that few reads exceed.
func (s Spread) Tail() time.Duration { return s.Mean() + tailDeviations*s.deviation }

// repetition returns the time to keep for the repetition of a read.
func (s Spread) repetition() time.Duration { return s.Mean() + repetitionDeviations*s.deviation }

// Spreads holds the service times by kind.
type Spreads struct {
	byKind map[Kind]*Spread
	others Spread // of the kinds above maxKinds
}

// Observe records the service time of a read.
func (s *Spreads) Observe(k Kind, took time.Duration) {
	if s.byKind == nil {
		s.byKind = map[Kind]*Spread{}
	}
	spread := s.byKind[k]
	switch {
	case spread == nil && len(s.byKind) >= maxKinds:
		spread = &s.others
	case spread == nil:
		spread = &Spread{}
		s.byKind[k] = spread
	}
	spread.observe(took)
}

// Of returns the service times of a kind.
func (s *Spreads) Of(k Kind) Spread {
	if spread := s.byKind[k]; spread != nil {
		return *spread
	}
	return s.others
}

// Wait is a read that waits for its server.
type Wait struct {
	Waited           time.Duration // since it was sent
	Left             time.Duration // until its deadline
	LatencyObjective time.Duration // 0 if there is none
	Spread           Spread        // of its kind
	// Silence is the time since the server last answered any statement or status query.
	Silence time.Duration
	// Outstanding is the number of statements that this VM has sent to the server and that are not answered, including
	// this one.
	Outstanding int
	// Suspect is set if another connection to the server has failed since it last answered.
	Suspect bool
	// GivenUp is how often the read was given up before.
	GivenUp int
	// OtherServer is set if another server can run the read.
	OtherServer bool
}

// Reason says why a read is given up.
type Reason string

const (
	// ServerSilent means that the server does not answer anybody.
	ServerSilent Reason = "the server is silent"
	// NoAnswer means that the server answers other statements, so that the answer is lost or the read is very long.
	NoAnswer Reason = "the statement is not answered"
)

// Decision is the result of Decide. If Reason is empty, the read waits on and is checked again after Next; a Next of 0
// means that it runs to its deadline.
type Decision struct {
	Reason Reason
	Next   time.Duration
}

// Decide decides whether a read is given up now.
func Decide(w Wait) Decision {
	if w.Left <= 0 {
		return Decision{}
	}
	quiet := min(w.Waited, w.Silence)
	silenceLimit := w.silenceLimit()
	if quiet >= silenceLimit {
		return Decision{Reason: ServerSilent}
	}
	// The server may become silent or suspect at any time.
	next := min(max(silenceLimit-quiet, time.Millisecond), MinWait)
	if limit, ok := w.lengthLimit(); ok {
		if w.Waited >= limit {
			return Decision{Reason: NoAnswer}
		}
		next = min(next, limit-w.Waited)
	}
	if next >= w.Left {
		return Decision{}
	}
	return Decision{Next: next}
}

// silenceLimit returns how long a server may answer nobody.
func (w Wait) silenceLimit() time.Duration {
	switch {
	case w.Suspect:
		return MinWait
	case w.GivenUp > 0:
		return max(MinWait, w.Spread.Tail())
	}
	// The more statements wait in parallel, the sooner one of them is due.
	return max(MinWait, w.Spread.Tail()/time.Duration(max(w.Outstanding, 1)))
}

// lengthLimit returns how long a read waits at a server that answers others. ok is false if it runs to its deadline.
func (w Wait) lengthLimit() (limit time.Duration, ok bool) {
	if w.GivenUp > 0 {
		return 0, false
	}
	shortest := max(MinWait, w.Spread.Tail())
	longest := max(MinWait, maxTails*w.Spread.Tail())
	limit = max(shortest, min(longest, w.LatencyObjective/objectiveShare))
	if !w.OtherServer {
		limit = longest
	}
	limit = min(limit, w.Waited+w.Left-w.Spread.repetition())
	return limit, limit >= shortest
}
