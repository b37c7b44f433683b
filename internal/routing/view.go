// Package routing selects the server of a database group that serves a request. It tracks the
// latest status of each server, the positions that a majority is known to hold, and an upper bound
// for the age of the data of each replica. Times are durations since the start of the process.
package routing

import (
	"sort"
	"time"

	"siskinrouter/internal/session"
)

// Role is the role that a server reports.
type Role string

// Roles of a server.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// Status is the response of a server to a status query.
type Status struct {
	Role         Role
	PromisedTerm uint64           // highest term that the server has promised to follow
	LogEnd       session.Position // end of the log that the server has received
	Applied      session.Position // end of the part of the log that reads see
	Active       int              // open transactions
	Primary      string           // address of the primary that the server follows; empty if none
	// Terms are the last positions of the latest terms in the log, in ascending order.
	Terms []session.Position
}

// Server describes one server of the group.
type Server struct {
	Name   string
	Domain string // failure domain
}

// server is the latest known state of one server.
type server struct {
	Server
	status     Status
	hasStatus  bool          // status is valid
	failed     bool          // the last query received no response
	sentAt     time.Duration // start time of the query that returned status
	freshAt    time.Duration // time of the latest sample whose minimum position is applied
	hasFreshAt bool          // freshAt is valid
}

// sample records that every write acknowledged before at lies at or below minPosition.
type sample struct {
	at          time.Duration
	minPosition session.Position
}

const (
	maxSamples    = 2048
	sampleSpacing = 50 * time.Millisecond // with maxSamples, covers data ages of up to 100 s
)

// View is the state of one database group as seen by one VM. It is not safe for concurrent use.
type View struct {
	servers     map[string]*server
	order       []string
	samples     []sample
	minPosition session.Position // highest minimum position of all samples
	majorityAt  time.Duration    // latest time such that a majority has responded to queries sent then or later
	hasMajority bool             // majorityAt is valid
}

// NewView returns a view of a group without any status.
func NewView(servers []Server) *View {
	v := &View{servers: make(map[string]*server, len(servers))}
	for _, s := range servers {
		v.servers[s.Name] = &server{Server: s}
		v.order = append(v.order, s.Name)
	}
	return v
}

// Majority returns the number of servers that form a majority.
func (v *View) Majority() int { return len(v.order)/2 + 1 }

// Observe records the response to a status query that was sent at sentAt. A response to a query
// older than the one that returned the current status is ignored, because responses may arrive out of order.
func (v *View) Observe(name string, sentAt time.Duration, st Status) {
	s, ok := v.servers[name]
	if !ok || (s.hasStatus && sentAt < s.sentAt) {
		return
	}
	s.status = st
	s.hasStatus = true
	s.failed = false
	s.sentAt = sentAt
	v.advance()
	v.updateFreshness(s)
}

// Fail records that a server did not respond.
func (v *View) Fail(name string) {
	if s, ok := v.servers[name]; ok {
		s.failed = true
	}
}

// advance adds a sample if a majority has responded to later queries than before.
func (v *View) advance() {
	at, ok := v.majorityTime()
	if !ok || (v.hasMajority && at <= v.majorityAt) {
		return
	}
	v.majorityAt = at
	v.hasMajority = true
	v.minPosition = v.maxLogEndSince(at, v.minPosition)
	v.addSample(sample{at: at, minPosition: v.minPosition})
	for _, s := range v.servers {
		v.updateFreshness(s)
	}
}

// addSample appends x, or replaces the last sample if x is within sampleSpacing of the one before it.
// This keeps the latest sample exact and the number of samples bounded.
func (v *View) addSample(x sample) {
	n := len(v.samples)
	if n >= 2 && x.at-v.samples[n-2].at < sampleSpacing {
		v.samples[n-1] = x
		return
	}
	if n == maxSamples {
		copy(v.samples, v.samples[1:])
		v.samples = v.samples[:n-1]
	}
	v.samples = append(v.samples, x)
}

// updateFreshness sets freshAt of s to the time of the latest sample whose minimum position s has applied.
func (v *View) updateFreshness(s *server) {
	if !s.hasStatus {
		return
	}
	// Minimum positions never decrease, so the samples that s has applied form a prefix.
	n := sort.Search(len(v.samples), func(i int) bool {
		return !s.status.Applied.Covers(v.samples[i].minPosition)
	})
	if n > 0 && (!s.hasFreshAt || v.samples[n-1].at > s.freshAt) {
		s.freshAt = v.samples[n-1].at
		s.hasFreshAt = true
	}
}

// majorityTime returns the latest time t such that a majority has responded to queries sent at t or later.
func (v *View) majorityTime() (time.Duration, bool) {
	times := make([]time.Duration, 0, len(v.order))
	for _, s := range v.servers {
		if s.hasStatus {
			times = append(times, s.sentAt)
		}
	}
	if len(times) < v.Majority() {
		return 0, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[v.Majority()-1], true
}

// maxLogEndSince returns the highest log end reported in response to queries sent at or after at, but at
// least minPosition.
func (v *View) maxLogEndSince(at time.Duration, minPosition session.Position) session.Position {
	for _, s := range v.servers {
		if s.hasStatus && s.sentAt >= at && s.status.LogEnd.Compare(minPosition) > 0 {
			minPosition = s.status.LogEnd
		}
	}
	return minPosition
}

// MinPosition returns a position that covers every write acknowledged before since, and the highest term
// promised by the servers that responded. It reports false until a majority has responded to queries
// sent at since or later.
func (v *View) MinPosition(since time.Duration) (session.Position, uint64, bool) {
	if !v.hasMajority || v.majorityAt < since {
		return session.Position{}, 0, false
	}
	var term uint64
	var minPosition session.Position
	for _, s := range v.servers {
		if !s.hasStatus || s.sentAt < since {
			continue
		}
		term = max(term, s.status.PromisedTerm)
		if s.status.LogEnd.Compare(minPosition) > 0 {
			minPosition = s.status.LogEnd
		}
	}
	return minPosition, term, true
}

// Confirmed reports whether a majority holds the write at p. It counts only servers whose log ends in the
// term of p, because a log of a later term may have discarded p.
func (v *View) Confirmed(p session.Position) bool {
	n := 0
	for _, s := range v.servers {
		if s.hasStatus && s.status.LogEnd.Term == p.Term && s.status.LogEnd.Offset >= p.Offset {
			n++
		}
	}
	return n >= v.Majority()
}

// Outcome is the outcome of a write whose primary was replaced before a majority confirmed it.
type Outcome uint8

// Outcomes of a write.
const (
	Unknown  Outcome = iota // not determined yet, or no longer determinable
	Survived                // contained in the log of a later term that a majority holds
	Lost                    // not contained in that log, so no later primary can have it
)

// Resolve returns the outcome of the write at p. It is known once a majority holds an entry of a later
// term: from then on every primary has the log of that term, which shows whether it contains p.
func (v *View) Resolve(p session.Position) Outcome {
	name, term, ok := v.Leader()
	if !ok || term <= p.Term {
		return Unknown
	}
	terms := v.servers[name].status.Terms
	if len(terms) == 0 || terms[0].Term > p.Term {
		// The number of reported terms is bounded; the term of p may have been omitted.
		return Unknown
	}
	last := terms[len(terms)-1]
	if last.Term != term || !v.majorityHoldsTerm(term) {
		return Unknown
	}
	for _, t := range terms {
		if t.Term == p.Term && t.Offset >= p.Offset {
			return Survived
		}
	}
	return Lost
}

// majorityHoldsTerm reports whether the logs of a majority end in term.
func (v *View) majorityHoldsTerm(term uint64) bool {
	n := 0
	for _, s := range v.servers {
		if s.hasStatus && s.status.LogEnd.Term == term {
			n++
		}
	}
	return n >= v.Majority()
}

// Leader returns the current primary and its term: the server that reports the role of primary with the
// highest term, unless another server has promised a later term.
func (v *View) Leader() (name string, term uint64, ok bool) {
	var promised uint64
	for _, n := range v.order {
		s := v.servers[n]
		if !s.hasStatus {
			continue
		}
		promised = max(promised, s.status.PromisedTerm)
		if s.status.Role == Primary && !s.failed && s.status.PromisedTerm > term {
			name, term, ok = n, s.status.PromisedTerm, true
		}
	}
	return name, term, ok && term >= promised
}

// Status returns the latest status of a server, the start time of the query that returned it, and
// whether the server responded to the last query.
func (v *View) Status(name string) (st Status, sentAt time.Duration, ok bool) {
	s, found := v.servers[name]
	if !found || !s.hasStatus {
		return Status{}, 0, false
	}
	return s.status, s.sentAt, !s.failed
}

// Fresh returns the latest time such that a majority has responded to queries sent then or later.
func (v *View) Fresh() (time.Duration, bool) { return v.majorityAt, v.hasMajority }
