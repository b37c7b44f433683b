package placement

import (
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/session"
)

const (
	// laggingCooldown is how long a replica that lacked a required position is excluded from optimistic
	// choices.
	laggingCooldown = 100 * time.Millisecond
	// lagFactor and lagMargin estimate from the reported lag the time after which a replica has applied a write.
	lagFactor = 2
	lagMargin = 20 * time.Millisecond
	// nearShare is the share of a statement's latency objective, 1/4, within which a server of the VM's own failure
	// domain is expected to answer to be preferred over a faster one in another domain.
	nearShare = 4
)

// Server is the state of a server by which statements are placed.
type Server struct {
	ID       string
	Slots    int
	Usable   bool // listed, not draining and not in a withdrawn failure domain
	Primary  bool
	Near     bool // in the failure domain of this VM
	Applied  session.Position
	Lag      time.Duration // as reported by the server
	Load     int           // statements that are running or waiting
	Service  time.Duration // estimated time that a statement holds a slot
	LaggedAt time.Duration // when it last lacked a required position
	// Suspect is set when a connection fails and cleared when the server answers again.
	Suspect bool
	// ConnectDelay is the expected time to open a connection for the statement; 0 if an idle one exists.
	ConnectDelay time.Duration
}

// Requirements are the conditions that a server must meet for a statement.
type Requirements struct {
	Consistency  directory.Consistency
	MaxStaleness time.Duration
	MinPosition  session.Position // position of the session's last write
	Writes       bool             // the statement writes, so only the primary can serve it
	// LatencyObjective is the expected response time of the request; 0 means none.
	LatencyObjective time.Duration
	// MaxLatency excludes servers that are expected to take longer; 0 means no limit.
	MaxLatency time.Duration
}

// Choice is the server chosen for a statement.
type Choice struct {
	Server string
	After  session.Position // position that the server must have applied; zero at the primary
}

// minPosition returns the position that a replica must have applied to serve a read, and when the primary was
// queried for it. ok is false if only the primary can serve the read.
func minPosition(now time.Duration, h *History, req Requirements) (p session.Position, at time.Duration, ok bool) {
	if req.Writes || req.Consistency == directory.Latest {
		return p, 0, false
	}
	p, at, ok = h.MinPosition(now, req.MaxStaleness)
	if !ok || req.Consistency != directory.ReadYourWrites {
		return p, at, ok
	}
	latestAt, latest, _ := h.Latest()
	own := req.MinPosition
	if own != (session.Position{}) && own.Term < latest.Term {
		// Whatever a new primary kept of an earlier term precedes all positions of its own term.
		own = latest
	}
	if own.Compare(p) > 0 {
		p, at = own, latestAt
		if !latest.Covers(own) {
			at = now
		}
	}
	return p, at, true
}

// Choose returns the server that is expected to answer first. Reads that the near servers answer well within the
// latency objective stay in the failure domain: bytes between domains are billed, and the other servers keep their
// slots for the primary's work and for bursts. avoid names a server that has just failed for this statement. ok is
// false if no server can serve the statement now.
func Choose(now time.Duration, servers []Server, h *History, req Requirements, avoid string) (Choice, bool) {
	position, at, replicas := minPosition(now, h, req)
	var best, near Choice
	bestLatency, nearLatency := time.Duration(-1), time.Duration(-1)
	for _, s := range servers {
		if !s.Usable || s.Suspect || !s.Primary && (!replicas || !hasApplied(now, s, position, at)) {
			continue
		}
		latency := expectedLatency(s)
		if s.ID == avoid {
			latency += time.Second
		}
		if req.MaxLatency > 0 && latency > req.MaxLatency {
			continue
		}
		c := Choice{Server: s.ID}
		if !s.Primary {
			c.After = position
		}
		if bestLatency < 0 || latency < bestLatency {
			best, bestLatency = c, latency
		}
		if s.Near && latency <= req.LatencyObjective/nearShare && (nearLatency < 0 || latency < nearLatency) {
			near, nearLatency = c, latency
		}
	}
	if nearLatency >= 0 {
		return near, true
	}
	return best, bestLatency >= 0
}

// hasApplied reports whether a replica has applied a position, or is expected to have applied it.
func hasApplied(now time.Duration, s Server, p session.Position, at time.Duration) bool {
	if s.Applied.Covers(p) {
		return true
	}
	recentlyLagging := s.LaggedAt > 0 && now-s.LaggedAt < laggingCooldown
	return !recentlyLagging && s.Applied.Term == p.Term && now-at > lagFactor*s.Lag+lagMargin
}

// expectedLatency estimates the time until one more statement is answered. Opening a connection occupies a slot,
// so its whole duration counts.
func expectedLatency(s Server) time.Duration {
	rounds := float64(s.Load+1) / float64(max(s.Slots, 1))
	return s.ConnectDelay + time.Duration(max(rounds, 1)*float64(s.Service))
}
