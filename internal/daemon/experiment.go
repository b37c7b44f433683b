package daemon

import (
	"time"

	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/link"
	"siskinrouter/internal/proxy"
)

// Experiment replaces single policies by simpler ones, so that measurements can compare them. The
// zero value selects the policies of the design.
type Experiment struct {
	// PrimaryOnlyReads sends every read to the primary without asking a majority for the floor.
	PrimaryOnlyReads bool
	// FIFO orders the requests that wait for a server by arrival instead of fairly by workspace.
	FIFO bool
	// StaticSplit divides each rate and burst by this number of VMs, without loans; 0 for the design.
	StaticSplit int
	// OnAdmission is called for every request that the rate limit admits, at some time between from
	// and to. It is called on the path of requests and must not block.
	OnAdmission func(workspace string, from, to time.Time)
	// Without switches safety rules off. Only tests do so.
	Without Rules
}

// Rules names safety rules that tests switch off, to show that their checks find the violation that each
// rule prevents. The zero value keeps all rules.
type Rules struct {
	Proxy       proxy.Rules
	LinkClosing bool // a link is closed after a failure
	LoginKey    bool // the key is compared at login
	KeyRecheck  bool // the key is checked again for each transaction and after each change
	RateLimit   bool // requests are charged to the workspace
	Blocking    bool // servers that are withdrawn or leave get no new work
}

// route returns the route as the experiment serves it.
func (e Experiment) route(r fleetconfig.Route) fleetconfig.Route {
	if e.PrimaryOnlyReads {
		r.ReadOnly = false
	}
	return r
}

// queue returns the queue of one server.
func (d *Daemon) queue(s fleetconfig.Server) link.Queue {
	if d.experiment.FIFO {
		return link.NewFIFO(maxWaiting)
	}
	return d.newQueue(s)
}

// admitted reports one admission whose decision began at from.
func (e Experiment) admitted(workspace string, from time.Time) {
	if e.OnAdmission != nil {
		e.OnAdmission(workspace, from, time.Now())
	}
}

// split holds the token buckets of a static split by workspace.
type split map[string]*splitBucket

type splitBucket struct {
	tokens float64
	at     time.Duration
}

// admit takes one token of the VM's part of the workspace's rate.
func (s split) admit(now time.Duration, w fleetconfig.Workspace, vms int) (ok bool, wait time.Duration, known bool) {
	if w.Name == "" {
		return false, 0, false
	}
	part := 1 / float64(vms)
	b := s[w.Name]
	if b == nil {
		b = &splitBucket{tokens: w.Burst * part, at: now}
		s[w.Name] = b
	}
	b.tokens = min(w.Burst*part, b.tokens+w.Rate*part*(now-b.at).Seconds())
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0, true
	}
	return false, admitPause, true
}
