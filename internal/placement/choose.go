package placement

import (
	"math/rand/v2"
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
	// domain is expected to answer to be preferred over one in another domain that is faster by less than this share.
	// The preference shrinks as the near server's slots fill.
	nearShare = 4
	// minWeight is the weight of a server without free slots in a draw among equal servers.
	minWeight = 0.5
)

// Server is the state of a server by which statements are placed.
type Server struct {
	ID       string
	Slots    int
	Usable   bool // listed, not draining and not in a withdrawn failure domain
	Primary  bool
	Near     bool // in the failure domain of this VM
	Far      bool // in another region than this VM
	Applied  session.Position
	Lag      time.Duration // as reported by the server
	Load     int           // statements of this VM that are running or waiting
	Others   float64       // statements of other VMs, as far as reported; older reports count less
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
	// ByReport is set if this VM would have chosen another server by its own statements alone.
	ByReport bool
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

// option is a server that can serve a statement.
type option struct {
	choice  Choice
	server  Server
	penalty time.Duration // added to the expected delay
}

// Choose returns the server that is expected to answer first, if leaving the failure domain is counted as a delay: bytes
// between domains are billed, so a near server that has free slots is preferred, and the other servers keep theirs for
// the primary's work and for bursts. Equal servers are drawn at random, weighted by their free slots, so that VMs with
// the same information choose differently. avoid names a server that has just failed for this statement. ok is false if
// no server can serve the statement now.
func Choose(now time.Duration, servers []Server, h *History, req Requirements, avoid string, random *rand.Rand) (Choice, bool) {
	position, at, replicas := minPosition(now, h, req)
	var buffer [4]option // enough for most groups without an allocation
	options := buffer[:0]
	reported := false
	for _, s := range servers {
		if !canServe(now, s, position, at, replicas) {
			continue
		}
		o := option{choice: Choice{Server: s.ID}, server: s}
		if !s.Primary {
			o.choice.After = position
		}
		if s.ID == avoid {
			o.penalty = time.Second
		}
		if s.Far {
			// The link between regions is shared by all traffic, so near servers that are busy do not lower this cost.
			o.penalty += regionRoundTrip + req.LatencyObjective/nearShare
		}
		if req.MaxLatency > 0 && o.delay(replicas, true) > req.MaxLatency {
			continue
		}
		reported = reported || s.Others > 0
		options = append(options, o)
	}
	switch len(options) {
	case 0:
		return Choice{}, false
	case 1:
		return options[0].choice, true
	}
	draw := random.Float64()
	c := pick(options, req.LatencyObjective, replicas, true, draw).choice
	c.ByReport = reported && pick(options, req.LatencyObjective, replicas, false, draw).choice.Server != c.Server
	return c, true
}

// pick returns the option with the lowest cost. Options whose costs differ by less than one queued statement are equal,
// unless one is in another domain or needs a new connection; draw, in [0, 1), decides among them. others tells whether the statements of other VMs count.
func pick(options []option, objective time.Duration, replicas, others bool, draw float64) option {
	leaving := leavingCost(options, objective, replicas, others)
	cost := func(o option) time.Duration {
		if o.server.Near {
			return o.delay(replicas, others)
		}
		return o.delay(replicas, others) + leaving
	}
	best := options[0]
	for _, o := range options[1:] {
		if c, lowest := cost(o), cost(best); c < lowest || c == lowest && o.server.Near && !best.server.Near {
			best = o
		}
	}
	weight := func(o option) float64 {
		if o.server.Near != best.server.Near || o.server.ConnectDelay > best.server.ConnectDelay ||
			cost(o) > cost(best)+queuedStatement(best.server) {
			return 0
		}
		return max(float64(o.server.Slots)-load(o.server, replicas, others), 0) + minWeight
	}
	total := 0.0
	for _, o := range options {
		total += weight(o)
	}
	rest := draw * total
	for _, o := range options {
		if w := weight(o); w > 0 {
			if rest < w {
				return o
			}
			rest -= w
		}
	}
	return best
}

// leavingCost returns the delay that leaving the failure domain counts as. It is the tolerated delay of a near server
// while that is idle, and falls to one queued statement when its slots are in use.
func leavingCost(options []option, objective time.Duration, replicas, others bool) time.Duration {
	tolerated := objective / nearShare
	cost := time.Duration(0)
	for _, o := range options {
		if s := o.server; s.Near && o.delay(replicas, others) <= tolerated {
			free := 1 - load(s, replicas, others)/float64(max(s.Slots, 1))
			cost = max(cost, time.Duration(free*float64(tolerated)), queuedStatement(s))
		}
	}
	return cost
}

// queuedStatement returns the delay that one statement in the queue of a server adds.
func queuedStatement(s Server) time.Duration { return s.Service / time.Duration(max(s.Slots, 1)) }

// canServe reports whether a server can serve a statement that needs a position at replicas; replicas is false if only
// the primary can serve it.
func canServe(now time.Duration, s Server, p session.Position, at time.Duration, replicas bool) bool {
	return s.Usable && !s.Suspect && (s.Primary || replicas && hasApplied(now, s, p, at))
}

// hasApplied reports whether a replica has applied a position, or is expected to have applied it.
func hasApplied(now time.Duration, s Server, p session.Position, at time.Duration) bool {
	if s.Applied.Covers(p) {
		return true
	}
	recentlyLagging := s.LaggedAt > 0 && now-s.LaggedAt < laggingCooldown
	return !recentlyLagging && s.Applied.Term == p.Term && now-at > lagFactor*s.Lag+lagMargin
}

// delay estimates the time until one more statement is answered. Opening a connection occupies a slot, so its whole
// duration counts.
func (o option) delay(replicas, others bool) time.Duration {
	s := o.server
	rounds := (load(s, replicas, others) + 1) / float64(max(s.Slots, 1))
	return o.penalty + s.ConnectDelay + time.Duration(max(rounds, 1)*float64(s.Service))
}
