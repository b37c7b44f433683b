package routing

import (
	"fmt"
	"time"

	"siskinrouter/internal/session"
)

// ReadRequest says what a read requires of the server that serves it.
type ReadRequest struct {
	MinPosition  session.Position // the session's position
	MaxStaleness time.Duration    // greatest age of the data; 0 for no bound
	LocalDomain  string           // failure domain of the VM
	Exclude      map[string]bool  // servers that already failed this request, or that may not get new work
	InFlight     func(server string) int
}

// Costs by which servers are compared: one request in flight on a server costs inFlightCost.
const (
	inFlightCost = 10
	remoteCost   = 15 // a server in another failure domain
	primaryCost  = 60 // the primary keeps its slots for writes
)

// Read returns the server that should serve a read. When none qualifies, the error names the reason
// for each server.
func (v *View) Read(now time.Duration, q ReadRequest) (string, error) {
	best := ""
	bestCost := 0
	reasons := ""
	for _, name := range v.order {
		s := v.servers[name]
		if reason := v.unfit(now, s, q); reason != "" {
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

// unfit returns why s cannot serve q, or an empty string.
func (v *View) unfit(now time.Duration, s *server, q ReadRequest) string {
	switch {
	case q.Exclude[s.Name]:
		return "excluded"
	case !s.heard:
		return "no status yet"
	case s.failed:
		return "does not answer"
	case !s.status.Applied.Covers(q.MinPosition):
		return fmt.Sprintf("applied %v, session needs %v", s.status.Applied, q.MinPosition)
	case q.MaxStaleness > 0 && !s.covered:
		return "age of its data is not known"
	case q.MaxStaleness > 0 && now-s.coveredAt > q.MaxStaleness:
		return fmt.Sprintf("data is %v old, the route allows %v", now-s.coveredAt, q.MaxStaleness)
	}
	return ""
}
