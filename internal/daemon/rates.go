package daemon

import (
	"context"
	"math/rand"
	"strconv"
	"sync"
	"time"

	"siskinrouter/internal/catalog"
	"siskinrouter/internal/fleet"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/sleep"
	"siskinrouter/internal/verdict"
)

const (
	// admitWait is the longest time that a request waits for tokens, which covers a loan from a VM in
	// another failure domain.
	admitWait  = 250 * time.Millisecond
	admitPause = 5 * time.Millisecond // between two attempts to be admitted
	lendWait   = 500 * time.Millisecond
	// peersRefresh is the time between two updates of the VMs that may be asked for loans.
	peersRefresh = 200 * time.Millisecond
	// ownersVersionBits is the room for the version of an owners object below that of the operators' text.
	ownersVersionBits = 32
)

// rates is the duty that keeps each workspace within its rate and burst.
type rates struct {
	d       *Daemon
	mu      sync.Mutex
	manager *grant.Manager
	wake    chan struct{}
	known   map[string]fleetconfig.Workspace
	peers   int   // VMs that may be asked for loans
	split   split // used instead of manager by Experiment.StaticSplit
}

func newRates(d *Daemon, self machine.VM, seed int64) *rates {
	return &rates{
		d:       d,
		manager: grant.NewManager(runOf(self), self.Domain, rand.New(rand.NewSource(seed))),
		wake:    make(chan struct{}, 1),
		known:   make(map[string]fleetconfig.Workspace),
		split:   make(split),
	}
}

// runOf returns the run of a VM as the grant package names it. An incarnation that is not a number
// belongs to no run of ours and owns nothing.
func runOf(v machine.VM) grant.RunID {
	n, err := strconv.ParseUint(v.Incarnation, 10, 64)
	if err != nil {
		return grant.RunID{}
	}
	return grant.RunID{Name: v.Name, Incarnation: n}
}

// setWorkspaces puts the rates of a contract into force.
func (r *rates) setWorkspaces(c *fleetconfig.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, w := range c.Workspaces {
		if old, ok := r.known[name]; !ok || old.Rate != w.Rate || old.Burst != w.Burst {
			r.manager.SetWorkspace(r.d.now(), name, w.Rate, w.Burst)
		}
	}
	for name := range r.known {
		if _, ok := c.Workspaces[name]; !ok {
			r.manager.RemoveWorkspace(r.d.now(), name)
		}
	}
	r.known = c.Workspaces
}

// setAllOwners puts the owners of every failure domain of a contract into force. The part of a domain
// depends on the number of domains, so nothing is owned before the operators' text is known.
func (r *rates) setAllOwners(c *fleetconfig.Config) {
	text, _ := r.d.config.get(catalog.NameContract)
	for _, name := range c.Domains {
		o, ok := r.d.config.get(catalog.PrefixOwners + name)
		if !ok {
			continue
		}
		owners, err := decodeOwners(o, c)
		if err != nil {
			r.d.log.Error("owners cannot be read", "object", o.Name, "err", err)
			continue
		}
		// The part follows from both objects, so the order of both versions decides.
		owners.Version |= text.Version << ownersVersionBits
		r.mu.Lock()
		r.manager.SetOwners(r.d.now(), owners)
		r.mu.Unlock()
	}
}

// giveUp puts owners into force that this VM is about to write, so that it stops using slots first.
func (r *rates) giveUp(next grant.Owners) {
	text, _ := r.d.config.get(catalog.NameContract)
	next.Version = (next.Version + 1) | text.Version<<ownersVersionBits
	r.mu.Lock()
	defer r.mu.Unlock()
	r.manager.SetOwners(r.d.now(), next)
}

// admit charges one request, waiting a short time for tokens.
func (r *rates) admit(ctx context.Context, w fleetconfig.Workspace) error {
	if r.d.experiment.Without.RateLimit {
		return nil
	}
	from := time.Now()
	ok, wait, known := r.try(w.Name, true)
	if ok {
		r.d.experiment.admitted(w.Name, from)
		return nil
	}
	if !known {
		return verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth, "workspace %q is not configured", w.Name)
	}
	r.poke()
	ctx, cancel := context.WithTimeout(ctx, admitWait)
	defer cancel()
	for ctx.Err() == nil {
		sleep.For(ctx, min(max(wait, time.Millisecond), admitPause))
		attempt := time.Now()
		if ok, wait, _ = r.try(w.Name, false); ok {
			r.d.experiment.admitted(w.Name, attempt)
			return nil
		}
	}
	return verdict.Errorf(verdict.NotRun, verdict.StateRateExceeded,
		"workspace %q exceeds its rate of %g requests per second with burst %g; try again later", w.Name, w.Rate, w.Burst)
}

func (r *rates) try(workspace string, first bool) (ok bool, wait time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if vms := r.d.experiment.StaticSplit; vms > 0 {
		return r.split.admit(r.d.now(), r.known[workspace], vms)
	}
	if first {
		return r.manager.Admit(r.d.now(), workspace, 1)
	}
	return r.manager.RetryAdmit(r.d.now(), workspace, 1)
}

func (r *rates) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run moves shares to where demand is until ctx ends.
func (r *rates) run(ctx context.Context) error {
	tick := time.NewTicker(grant.PollInterval)
	defer tick.Stop()
	peersAt := time.Duration(-1)
	for {
		if now := r.d.now(); peersAt < 0 || now-peersAt > peersRefresh {
			peersAt = now
			r.setPeers()
		}
		r.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-r.wake:
		}
	}
}

func (r *rates) setPeers() {
	var peers []grant.Peer
	for _, v := range r.d.members.live() {
		if v.Name != r.d.self.Name {
			peers = append(peers, grant.Peer{Run: runOf(v), Domain: v.Domain})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.manager.SetPeers(peers)
	r.peers = len(peers)
}

func (r *rates) hasPeers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers > 0
}

func (r *rates) poll(ctx context.Context) {
	r.mu.Lock()
	requests := r.manager.Poll(r.d.now())
	r.mu.Unlock()
	for _, req := range requests {
		go r.borrow(ctx, req)
	}
}

func (r *rates) borrow(ctx context.Context, req grant.BorrowRequest) {
	ctx, cancel := context.WithTimeout(ctx, lendWait)
	defer cancel()
	var peer machine.VM
	var found bool
	r.d.members.with(func(s *machine.Members) { peer, found = s.Get(req.To.Name) })
	var reply grant.BorrowReply
	err := fleet.ErrResponseMismatch
	if found {
		reply, err = r.d.peers.Client(peer.Address).Borrow(ctx, req)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.manager.MarkUnreachable(r.d.now(), req.To)
		return
	}
	r.manager.HandleReply(r.d.now(), reply)
	r.poke()
}

// Borrow implements fleet.Handler.
func (h *handler) Borrow(_ context.Context, req grant.BorrowRequest) (grant.BorrowReply, error) {
	r := h.d.rates
	r.mu.Lock()
	defer r.mu.Unlock()
	reply, ok := r.manager.HandleRequest(h.d.now(), req)
	r.poke()
	if !ok {
		return reply, machine.ErrOldIncarnation
	}
	return reply, nil
}
