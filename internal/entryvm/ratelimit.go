package entryvm

import (
	"sync"
	"time"

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
	sharesOf            *directory.View // the view from which the share of fallback was derived
	requests            map[string]*tokenRequest
	skipUntil           map[string]time.Duration // allocators that did not respond, by VM
}

// tokenRequest batches the requests of a workspace that wait for tokens.
type tokenRequest struct {
	sent    bool
	waiting []func(bool)
}

func newRateLimiter(d *Daemon) *rateLimiter {
	return &rateLimiter{
		d: d, allocated: quota.NewLimiter(1, minBurst), fallback: quota.NewLimiter(1, minBurst),
		requests: map[string]*tokenRequest{}, skipUntil: map[string]time.Duration{},
	}
}

// Admit implements broker.RateLimiter.
func (r *rateLimiter) Admit(workspace string, done func(bool)) {
	v := r.d.directory.View()
	if v.Configuration == nil {
		// A VM that has just started may receive a service before it knows the limits.
		done(false)
		return
	}
	w, ok := v.Configuration.Workspaces[workspace]
	if !ok {
		// A route without a key has no workspace and no rate limit.
		done(true)
		return
	}
	allocator := v.OwnerRecords[quota.AllocatorService(workspace, v.AllServices())]
	if allocator.Holder == r.d.self.RunID() {
		done(r.allocate(workspace, 1) > 0)
		return
	}
	r.mu.Lock()
	var link *peer.Link
	if r.d.clock() >= r.skipUntil[allocator.Holder.Name] {
		link = r.d.peers.LinkOrDial(v.VMs[allocator.Holder.Name].Address)
	}
	if link == nil {
		n := r.takeFallback(v, w, 1)
		r.mu.Unlock()
		done(n > 0)
		return
	}
	request := r.requests[workspace]
	if request == nil {
		request = &tokenRequest{}
		r.requests[workspace] = request
	}
	request.waiting = append(request.waiting, done)
	if request.sent {
		r.mu.Unlock()
		return
	}
	request.sent = true
	r.mu.Unlock()
	go r.fetchTokens(link, allocator.Holder.Name, w)
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
		granted := r.requestTokens(link, allocator, w, len(waiting))
		for i, done := range waiting {
			done(i < granted)
		}
	}
}

// requestTokens returns how many of n requests are admitted.
func (r *rateLimiter) requestTokens(link *peer.Link, allocator string, w directory.Workspace, n int) int {
	m, err := link.Call(peer.Message{TokenRequest: &peer.TokenRequest{Workspace: w.Name, Count: n}}, tokenTimeout)
	if err == nil && m.TokenRequest != nil && m.TokenRequest.IsAllocator {
		return m.TokenRequest.Count
	}
	r.d.log.Info("token allocator unreachable", "vm", allocator, "workspace", w.Name, "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipUntil[allocator] = r.d.clock() + allocatorBackoff
	return r.takeFallback(r.d.directory.View(), w, n)
}

// takeFallback takes tokens from this VM's fallback limiter, which divides a workspace's rate equally among the VMs that
// admit requests. The mutex must be held.
func (r *rateLimiter) takeFallback(v *directory.View, w directory.Workspace, n int) int {
	if r.sharesOf != v {
		r.sharesOf = v
		r.fallback.SetShare(1 / float64(max(len(admittingVMs(v)), 1)))
	}
	return r.fallback.Take(r.d.clock(), w, n)
}

// admittingVMs returns the VMs that may admit requests: the owners of the services, and the readers of the other failure
// domains.
func admittingVMs(v *directory.View) map[string]bool {
	names := map[string]bool{}
	for service := range v.Configuration.Services {
		if holder := v.OwnerRecords[service].Holder.Name; holder != "" {
			names[holder] = true
		}
		for _, id := range v.ServersOf(service) {
			domain := v.Servers[id].Domain
			if ownedIn(v, service, domain) || !hasReplica(v, service, domain) {
				continue
			}
			for _, vm := range readersOf(v, service, domain) {
				names[vm.Name] = true
			}
		}
	}
	return names
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
