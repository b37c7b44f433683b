package entryvm

import (
	"sync"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/quota"
)

const (
	// tokenTimeout bounds the wait for an allocator's response; a round trip takes a few milliseconds.
	tokenTimeout = 60 * time.Millisecond
	// allocatorBackoff is how long an allocator that did not respond is not asked again.
	allocatorBackoff = 700 * time.Millisecond
	// minBurst allows single requests of a workspace with a small rate.
	minBurst = 1
)

// rateLimiter applies the rate limits of workspaces to the requests of this VM's brokers.
type rateLimiter struct {
	d  *Daemon
	mu sync.Mutex
	// allocated holds the tokens of workspaces for which this VM is the allocator, fallback those that it admits on
	// its own while the allocator is unreachable.
	allocated, fallback *quota.Limiter
	requests            map[string]*tokenRequest
	skipUntil           map[string]time.Duration // allocators that did not respond, by VM
}

// tokenRequest batches the requests of a workspace that wait for tokens.
type tokenRequest struct {
	sent    bool
	waiting []waitingRequest
}

type waitingRequest struct {
	done func(broker.Admission)
	// mayFallBack is set if the request may be admitted by the fallback limiter.
	mayFallBack bool
}

// replicaRateLimiter is the limiter of readers of replicas. While the allocator is unreachable, only owners admit
// requests, because the rate is then divided among the services.
type replicaRateLimiter struct{ *rateLimiter }

// Admit implements broker.RateLimiter.
func (r replicaRateLimiter) Admit(workspace string, done func(broker.Admission)) {
	r.admit(workspace, waitingRequest{done: done})
}

func newRateLimiter(d *Daemon) *rateLimiter {
	return &rateLimiter{
		d: d, allocated: quota.NewLimiter(1, minBurst), fallback: quota.NewLimiter(1, minBurst),
		requests: map[string]*tokenRequest{}, skipUntil: map[string]time.Duration{},
	}
}

// Admit implements broker.RateLimiter.
func (r *rateLimiter) Admit(workspace string, done func(broker.Admission)) {
	r.admit(workspace, waitingRequest{done, true})
}

func (r *rateLimiter) admit(workspace string, w waitingRequest) {
	v := r.d.directory.View()
	if v.Configuration == nil {
		// A VM that has just started may receive a service before it knows the limits.
		w.done(broker.OverRate)
		return
	}
	limits, ok := v.Configuration.Workspaces[workspace]
	if !ok {
		// A route without a key has no workspace and no rate limit.
		w.done(broker.Admitted)
		return
	}
	allocator := v.OwnerRecords[quota.AllocatorService(workspace, v.AllServices())]
	if allocator.Holder == r.d.self.RunID() {
		w.done(admission(r.allocate(workspace, 1) > 0))
		return
	}
	r.mu.Lock()
	var link *peer.Link
	if r.d.clock() >= r.skipUntil[allocator.Holder.Name] {
		link = r.d.peers.LinkOrDial(v.VMs[allocator.Holder.Name].Address)
	}
	if link == nil {
		a := r.fallBack(v, limits, w)
		r.mu.Unlock()
		w.done(a)
		return
	}
	request := r.requests[workspace]
	if request == nil {
		request = &tokenRequest{}
		r.requests[workspace] = request
	}
	request.waiting = append(request.waiting, w)
	if request.sent {
		r.mu.Unlock()
		return
	}
	request.sent = true
	r.mu.Unlock()
	go r.fetchTokens(link, allocator.Holder.Name, limits)
}

func admission(ok bool) broker.Admission {
	if ok {
		return broker.Admitted
	}
	return broker.OverRate
}

// fetchTokens requests tokens from an allocator for all waiting requests, until none is waiting.
func (r *rateLimiter) fetchTokens(link *peer.Link, allocator string, w directory.Workspace) {
	for {
		r.mu.Lock()
		request := r.requests[w.Name]
		waiting := request.waiting
		request.waiting = nil
		if len(waiting) == 0 {
			delete(r.requests, w.Name)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		granted, ok := r.requestTokens(link, allocator, w, len(waiting))
		for i, request := range waiting {
			a := admission(i < granted)
			if !ok {
				r.mu.Lock()
				a = r.fallBack(r.d.directory.View(), w, request)
				r.mu.Unlock()
			}
			request.done(a)
		}
	}
}

// requestTokens returns how many of n requests the allocator admits. ok is false if it does not respond.
func (r *rateLimiter) requestTokens(link *peer.Link, allocator string, w directory.Workspace, n int) (granted int, ok bool) {
	m, err := link.Call(peer.Message{TokenRequest: &peer.TokenRequest{Workspace: w.Name, Count: n}}, tokenTimeout)
	if err == nil && m.TokenRequest != nil && m.TokenRequest.IsAllocator {
		return m.TokenRequest.Count, true
	}
	r.d.log.Info("token allocator unreachable", "vm", allocator, "workspace", w.Name, "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipUntil[allocator] = r.d.clock() + allocatorBackoff
	return 0, false
}

// fallBack admits a request without the allocator by this VM's fallback limiter, which divides a workspace's rate equally
// among the services. The mutex must be held.
func (r *rateLimiter) fallBack(v *directory.View, w directory.Workspace, request waitingRequest) broker.Admission {
	if !request.mayFallBack {
		return broker.RateUnknown
	}
	r.fallback.SetShare(1 / float64(max(len(v.Configuration.Services), 1)))
	return admission(r.fallback.Take(r.d.clock(), w, 1) > 0)
}

// allocate takes tokens of a workspace for which this VM is the allocator.
func (r *rateLimiter) allocate(workspace string, n int) int {
	w := r.d.directory.View().Configuration.Workspaces[workspace]
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allocated.Take(r.d.clock(), w, n)
}

// isAllocator reports whether this VM is the allocator of a workspace's tokens and may hand them out.
func (r *rateLimiter) isAllocator(workspace string) bool {
	v := r.d.directory.View()
	if v.Configuration == nil {
		return false
	}
	if _, ok := v.Configuration.Workspaces[workspace]; !ok {
		return false
	}
	service := quota.AllocatorService(workspace, v.AllServices())
	return v.OwnerRecords[service].Holder == r.d.self.RunID() && r.d.ownership.Valid(service)
}
