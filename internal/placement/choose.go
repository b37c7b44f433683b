package placement

import (
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/session"
)

const (
	// behindPause is how long a replica that lacked a position is not asked optimistically again.
	behindPause = 100 * time.Millisecond
	// lagFactor and lagSlack estimate from the reported lag when a replica has surely applied a write.
	lagFactor = 2
	lagSlack  = 20 * time.Millisecond
)

// Server is what is known of a server when a statement is placed.
type Server struct {
	ID       string
	Slots    int
	Usable   bool // listed, not draining and not in a withdrawn failure domain
	Primary  bool
	Applied  session.Position
	Lag      time.Duration // as the server reports it
	Load     int           // statements that run or wait
	Service  time.Duration // estimate of the time that a statement holds a slot
	LaggedAt time.Duration // when it last lacked a position
	// Suspect is set from the failure of a connection until the server answers again.
	Suspect bool
	// ConnectDelay is the time until a connection for the statement is open; 0 if one rests.
	ConnectDelay time.Duration
}

// Requirements is what a read asks of its server.
type Requirements struct {
	Consistency  directory.Consistency
	MaxStaleness time.Duration
	MinPosition  session.Position // last write of the session
	Writes       bool             // only the primary can serve it
}

// Choice is the server of a statement.
type Choice struct {
	Server string
	After  session.Position // position that the server must have; zero at the primary
}

// required returns the position that a replica must have for a read. ok is false if only the primary
// can serve it.
func required(now time.Duration, h *History, n Requirements) (p session.Position, at time.Duration, ok bool) {
	if n.Writes || n.Consistency == directory.Latest {
		return p, 0, false
	}
	p, at, ok = h.MinPosition(now, n.MaxStaleness)
	if !ok || n.Consistency != directory.ReadYourWrites {
		return p, at, ok
	}
	latestAt, latest, _ := h.Latest()
	floor := n.MinPosition
	if floor != (session.Position{}) && floor.Term < latest.Term {
		// What a new primary kept of an earlier term lies below all positions of its own term.
		floor = latest
	}
	if floor.Compare(p) > 0 {
		p, at = floor, latestAt
		if !latest.Covers(floor) {
			at = now
		}
	}
	return p, at, true
}

// Choose returns the server that is expected to answer first. avoid names a server that has just failed
// for this statement. ok is false if no server can serve it now.
func Choose(now time.Duration, servers []Server, h *History, n Requirements, avoid string) (Choice, bool) {
	position, at, replicas := required(now, h, n)
	var best Choice
	bestWait := time.Duration(-1)
	for _, s := range servers {
		if !s.Usable || s.Suspect || !s.Primary && (!replicas || !hasApplied(now, s, position, at)) {
			continue
		}
		wait := expectedWait(s)
		if s.ID == avoid {
			wait += time.Second
		}
		if bestWait < 0 || wait < bestWait {
			bestWait = wait
			best = Choice{Server: s.ID}
			if !s.Primary {
				best.After = position
			}
		}
	}
	return best, bestWait >= 0
}

// hasApplied reports whether a replica has a position, or is expected to have it.
func hasApplied(now time.Duration, s Server, p session.Position, at time.Duration) bool {
	if s.Applied.Covers(p) {
		return true
	}
	recentlyBehind := s.LaggedAt > 0 && now-s.LaggedAt < behindPause
	return !recentlyBehind && s.Applied.Term == p.Term && now-at > lagFactor*s.Lag+lagSlack
}

// expectedWait estimates the time until the answer of one more statement. The opening of a connection occupies a
// slot, so it is paid in full.
func expectedWait(s Server) time.Duration {
	rounds := float64(s.Load+1) / float64(max(s.Slots, 1))
	return s.ConnectDelay + time.Duration(max(rounds, 1)*float64(s.Service))
}
