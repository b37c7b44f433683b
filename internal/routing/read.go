package routing

import (
	"fmt"
	"time"

	"siskinrouter/internal/session"
)

// ReadRequest says what a read requires of the server that serves it.
type ReadRequest struct {
	MinPosition  session.Position // position of the session; the server must have applied it
	MaxStaleness time.Duration    // maximum age of the data; 0 means unbounded
	LocalDomain  string           // failure domain of the VM
	Exclude      map[string]bool  // servers that already failed this request or accept no new work
	InFlight     func(server string) int
}

// Costs by which eligible servers are compared; the server with the lowest cost serves the read.
const (
	inFlightCost = 10 // per request in flight on the server
	remoteCost   = 15 // a server in another failure domain
	primaryCost  = 60 // keeps the slots of the primary free for writes
)

// Read selects the server with the lowest cost among those that meet the requirements of q. If none
// does, the error states the reason for each server.
func (v *View) Read(now time.Duration, q ReadRequest) (string, error) {
	best := ""
	bestCost := 0
	reasons := ""
	for _, name := range v.order {
		s := v.servers[name]
		if reason := v.ineligibleReason(now, s, q); reason != "" {
			reasons += fmt.Sprintf("; %s: %s", name, reason)
			continue
		}
		cost := q.cost(s)
		if best == "" || cost < bestCost {
			best, bestCost = name, cost
		}
	}
	if best == "" {
		return "", fmt.Errorf("no server can serve the read%s", reasons)
	}
	return best, nil
}

func (q ReadRequest) cost(s *server) int {
	cost := 0
	if q.InFlight != nil {
		cost = inFlightCost * q.InFlight(s.Name)
	}
	if s.Domain != q.LocalDomain {
		cost += remoteCost
	}
	if s.status.Role == Primary {
		cost += primaryCost
	}
	return cost
}

// ineligibleReason returns why s cannot serve q, or an empty string if it can.
func (v *View) ineligibleReason(now time.Duration, s *server, q ReadRequest) string {
	switch {
	case q.Exclude[s.Name]:
		return "excluded"
	case !s.hasStatus:
		return "no status yet"
	case s.failed:
		return "does not answer"
	case !s.status.Applied.Covers(q.MinPosition):
		return fmt.Sprintf("applied %v, session needs %v", s.status.Applied, q.MinPosition)
	case q.MaxStaleness > 0 && !s.hasFreshAt:
		return "age of its data is not known"
	case q.MaxStaleness > 0 && now-s.freshAt > q.MaxStaleness:
		return fmt.Sprintf("data is %v old, the route allows %v", now-s.freshAt, q.MaxStaleness)
	}
	return ""
}
