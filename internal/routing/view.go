// Package routing decides which server of a database group serves a request. It keeps the
// latest status of each server, the positions that a majority is known to hold, and how old
// the data of each replica may be. Times are durations since the start of the process.
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

// Status is the answer of a server to a status query.
type Status struct {
	Role         Role
	PromisedTerm uint64           // highest term that the server has promised
	LogEnd       session.Position // end of the log that the server has received
	Applied      session.Position // end of the log that reads see
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

// server is what the view knows of one server.
type server struct {
	Server
	status    Status
	heard     bool          // at least one status was received
	failed    bool          // the last query had no answer
	sentAt    time.Duration // start of the query that brought status
	coveredAt time.Duration // latest sample time whose floor the applied position reaches
	covered   bool          // coveredAt is valid
}

// sample says that every write acknowledged before at lies at or below floor.
type sample struct {
	at    time.Duration
	floor session.Position
}

const (
	maxSamples    = 2048
	sampleSpacing = 50 * time.Millisecond // with maxSamples, ages up to 100 s can be told apart
)

// View is the state of one database group as seen by one VM. It is not safe for concurrent use.
type View struct {
	servers map[string]*server
	order   []string
	samples []sample
	floor   session.Position // highest floor of all samples
	fresh   time.Duration    // latest time for which a majority has answered a query sent then or later
	known   bool             // fresh is valid
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

// Observe records the answer to a status query that was sent at sentAt. Answers to earlier
// queries than the latest one are ignored, because they may arrive late.
func (v *View) Observe(name string, sentAt time.Duration, st Status) {
	s, ok := v.servers[name]
	if !ok || (s.heard && sentAt < s.sentAt) {
		return
	}
	s.status = st
	s.heard = true
	s.failed = false
	s.sentAt = sentAt
	v.advance()
	v.cover(s)
}

// Fail records that a server did not answer.
func (v *View) Fail(name string) {
	if s, ok := v.servers[name]; ok {
		s.failed = true
	}
}

// advance adds a sample if a majority has answered a later query than before.
func (v *View) advance() {
	at, ok := v.majorityTime()
	if !ok || (v.known && at <= v.fresh) {
		return
	}
	v.fresh = at
	v.known = true
	v.floor = v.maxHeldSince(at, v.floor)
	v.addSample(sample{at: at, floor: v.floor})
	for _, s := range v.servers {
		v.cover(s)
	}
}

// addSample appends x. Within sampleSpacing of the sample before the last, the last is replaced,
// which keeps the latest sample exact and the number of samples bounded.
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

// cover updates the latest sample time that the applied position of s reaches.
func (v *View) cover(s *server) {
	if !s.heard {
		return
	}
	// Floors grow with time, so the samples that s reaches form a prefix.
	n := sort.Search(len(v.samples), func(i int) bool {
		return !s.status.Applied.Covers(v.samples[i].floor)
	})
	if n > 0 && (!s.covered || v.samples[n-1].at > s.coveredAt) {
		s.coveredAt = v.samples[n-1].at
		s.covered = true
	}
}

// majorityTime returns the latest time t such that a majority has answered queries sent at t or later.
func (v *View) majorityTime() (time.Duration, bool) {
	times := make([]time.Duration, 0, len(v.order))
	for _, s := range v.servers {
		if s.heard {
			times = append(times, s.sentAt)
		}
	}
	if len(times) < v.Majority() {
		return 0, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	return times[v.Majority()-1], true
}

func (v *View) maxHeldSince(at time.Duration, floor session.Position) session.Position {
	for _, s := range v.servers {
		if s.heard && s.sentAt >= at && s.status.LogEnd.Compare(floor) > 0 {
			floor = s.status.LogEnd
		}
	}
	return floor
}

// MinPosition returns a position that covers every write acknowledged before since, and the highest term
// promised by the servers that answered. It reports false until a majority has answered a query
// that was sent at since or later.
func (v *View) MinPosition(since time.Duration) (session.Position, uint64, bool) {
	if !v.known || v.fresh < since {
		return session.Position{}, 0, false
	}
	var term uint64
	var floor session.Position
	for _, s := range v.servers {
		if !s.heard || s.sentAt < since {
			continue
		}
		term = max(term, s.status.PromisedTerm)
		if s.status.LogEnd.Compare(floor) > 0 {
			floor = s.status.LogEnd
		}
	}
	return floor, term, true
}

// Confirmed reports whether a majority holds the write at p. Only servers whose log ends in the term of p
// count: a log of a later term may have discarded p.
func (v *View) Confirmed(p session.Position) bool {
	n := 0
	for _, s := range v.servers {
		if s.heard && s.status.LogEnd.Term == p.Term && s.status.LogEnd.Offset >= p.Offset {
			n++
		}
	}
	return n >= v.Majority()
}

// Outcome says what became of a write whose primary was replaced before a majority confirmed it.
type Outcome uint8

// Outcomes of a write.
const (
	Unknown  Outcome = iota // not known yet, or no longer
	Survived                // part of the log of a later term that a majority holds
	Lost                    // not part of it, so no later primary can have it
)

// Resolve returns the outcome of the write at p. It is known once a majority holds the first entry of a
// later term: from then on every primary has that term's log, which shows whether p is part of it.
func (v *View) Resolve(p session.Position) Outcome {
	name, term, ok := v.Leader()
	if !ok || term <= p.Term {
		return Unknown
	}
	terms := v.servers[name].status.Terms
	if len(terms) == 0 || terms[0].Term > p.Term {
		// The report is bounded; the term of p may have been left out.
		return Unknown
	}
	last := terms[len(terms)-1]
	if last.Term != term || !v.holdTerm(term) {
		return Unknown
	}
	for _, t := range terms {
		if t.Term == p.Term && t.Offset >= p.Offset {
			return Survived
		}
	}
	return Lost
}

// holdTerm reports whether a majority holds an entry of term.
func (v *View) holdTerm(term uint64) bool {
	n := 0
	for _, s := range v.servers {
		if s.heard && s.status.LogEnd.Term == term {
			n++
		}
	}
	return n >= v.Majority()
}

// Leader returns the server that leads the group and its term: the one that reports the role of
// primary with the highest term, unless a server has promised a later one.
func (v *View) Leader() (name string, term uint64, ok bool) {
	var promised uint64
	for _, n := range v.order {
		s := v.servers[n]
		if !s.heard {
			continue
		}
		promised = max(promised, s.status.PromisedTerm)
		if s.status.Role == Primary && !s.failed && s.status.PromisedTerm > term {
			name, term, ok = n, s.status.PromisedTerm, true
		}
	}
	return name, term, ok && term >= promised
}

// Status returns the latest status of a server, the time when it was asked for, and whether the
// last query was answered.
func (v *View) Status(name string) (st Status, sentAt time.Duration, ok bool) {
	s, found := v.servers[name]
	if !found || !s.heard {
		return Status{}, 0, false
	}
	return s.status, s.sentAt, !s.failed
}

// Fresh returns the latest time for which a majority has answered a query sent then or later.
func (v *View) Fresh() (time.Duration, bool) { return v.fresh, v.known }
