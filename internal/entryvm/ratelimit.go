package entryvm

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/quota"
)

const (
	// tokenTimeout bounds the wait for an allocator's response; a round trip takes a few milliseconds. A VM that passes
	// on a request waits for forwardTimeout.
	tokenTimeout   = 60 * time.Millisecond
	forwardTimeout = 40 * time.Millisecond
	// allocatorBackoff is how long an allocator that did not respond is not asked directly, newAllocatorBackoff how
	// long one whose lease is not valid yet, and forwardBackoff how long nobody is asked to pass on requests after none
	// of forwardAttempts VMs could.
	allocatorBackoff    = 700 * time.Millisecond
	newAllocatorBackoff = 100 * time.Millisecond
	forwardBackoff      = 300 * time.Millisecond
	forwardAttempts     = 2
)

// rateLimiter applies the rate limits of workspaces to the requests of this VM's brokers. Its times are on the clock of
// the leases.
type rateLimiter struct {
	d  *Daemon
	mu sync.Mutex
	// tenures holds the tokens of the workspaces for which this VM is the allocator, by service.
	tenures     map[string]*tenure
	services    []string                 // by which tenures assign workspaces
	servedAt    map[string]time.Duration // when a VM last got tokens from this one, by VM
	fallbacks   map[string]*quota.Fallback
	admittingOf *directory.View // the view of admitting
	admitting   map[string]bool // VMs that may admit requests
	requests    map[string]*tokenRequest
	unreachable map[string]*unreachableAllocator // by the VM that allocates
}

// tenure is the allocation of tokens during one ownership of a service.
type tenure struct {
	*quota.Allocator
	epoch uint64 // with which the ownership began
}

// unreachableAllocator holds until when an allocator is not asked.
type unreachableAllocator struct {
	direct, forward time.Duration
	via             string // VM that has passed on the latest request
}

// tokenRequest batches the requests of a workspace that wait for tokens.
type tokenRequest struct {
	sent    bool
	waiting []func(bool)
}

func newRateLimiter(d *Daemon) *rateLimiter {
	return &rateLimiter{
		d: d, tenures: map[string]*tenure{}, servedAt: map[string]time.Duration{}, fallbacks: map[string]*quota.Fallback{},
		requests: map[string]*tokenRequest{}, unreachable: map[string]*unreachableAllocator{},
	}
}

// allocatorOf returns the owner record of the service whose owner allocates the tokens of a workspace.
func allocatorOf(v *directory.View, workspace string) directory.OwnerRecordEntry {
	return v.OwnerRecords[quota.AllocatorService(workspace, v.AllServices())]
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
	r.mu.Lock()
	allocator := allocatorOf(v, workspace)
	if allocator.Holder == r.d.self.RunID() {
		n, ok := r.allocateLocked(v, r.ownRequest(allocator, w, 1))
		if ok {
			r.fallback(workspace).Granted(r.d.bootClock())
		} else {
			n = r.takeFallback(v, w, 1)
		}
		r.mu.Unlock()
		done(n > 0)
		return
	}
	now := r.d.bootClock()
	if u := r.unreachable[allocator.Holder.Name]; u != nil && now < u.direct && now < u.forward {
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
	go r.fetchTokens(w)
}

// fetchTokens requests tokens for all waiting requests of a workspace, until none is waiting.
func (r *rateLimiter) fetchTokens(w directory.Workspace) {
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
		granted := r.requestTokens(w, len(waiting))
		for i, done := range waiting {
			done(i < granted)
		}
	}
}

// requestTokens returns how many of n requests are admitted: as many as the allocator grants, asked directly or through
// another VM, else as many as this VM admits on its own.
func (r *rateLimiter) requestTokens(w directory.Workspace, n int) int {
	v := r.d.directory.View()
	allocator := allocatorOf(v, w.Name)
	r.mu.Lock()
	m := r.ownRequest(allocator, w, n)
	r.mu.Unlock()
	granted, ok := r.askAllocator(v, allocator, m)
	if !ok {
		granted, ok = r.askOthers(v, allocator, m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.fallback(w.Name).Granted(r.d.bootClock())
		return granted
	}
	return r.takeFallback(v, w, n)
}

// ownRequest returns a request of this VM. The mutex must be held.
func (r *rateLimiter) ownRequest(allocator directory.OwnerRecordEntry, w directory.Workspace, n int) peer.TokenRequest {
	m := peer.TokenRequest{Workspace: w.Name, Count: n, VM: r.d.self.Name}
	m.Outage, m.Spent = r.fallback(w.Name).Outage(quota.Source{Service: allocator.Service, Epoch: allocator.Ownership()})
	return m
}

// askAllocator asks an allocator directly.
func (r *rateLimiter) askAllocator(v *directory.View, allocator directory.OwnerRecordEntry, m peer.TokenRequest) (granted int, ok bool) {
	name := allocator.Holder.Name
	r.mu.Lock()
	u := r.unreachable[name]
	if u == nil {
		u = &unreachableAllocator{}
		r.unreachable[name] = u
	}
	skip := r.d.bootClock() < u.direct
	r.mu.Unlock()
	if skip {
		return 0, false
	}
	l := r.d.peers.LinkOrDial(v.VMs[name].Address)
	if l == nil {
		return 0, false
	}
	granted, ok, err := callForTokens(l, m, tokenTimeout)
	if ok {
		return granted, true
	}
	r.d.log.Info("token allocator unreachable", "vm", name, "workspace", m.Workspace, "error", err)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.d.bootClock()
	if err == nil {
		// It responds but is not the allocator yet, so there is no need to ask others.
		u.direct, u.forward = now+newAllocatorBackoff, now+newAllocatorBackoff
	} else {
		u.direct = now + allocatorBackoff
	}
	return 0, false
}

// askOthers asks other VMs to pass on a request to an allocator that this VM cannot reach, because the link between their
// failure domains is cut or loses packets in one direction.
func (r *rateLimiter) askOthers(v *directory.View, allocator directory.OwnerRecordEntry, m peer.TokenRequest) (granted int, ok bool) {
	name := allocator.Holder.Name
	r.mu.Lock()
	u := r.unreachable[name]
	if r.d.bootClock() < u.forward || r.d.ownership.runEnded(allocator.Holder) {
		r.mu.Unlock()
		return 0, false
	}
	via := u.via
	r.mu.Unlock()
	m.Forward = true
	for _, vm := range r.forwarders(v, name, via) {
		l := r.d.peers.OpenLink(v.VMs[vm].Address)
		if l == nil {
			continue
		}
		if granted, ok, _ = callForTokens(l, m, tokenTimeout); ok {
			r.mu.Lock()
			if u.via != vm {
				r.d.log.Info("token requests are passed on", "allocator", name, "via", vm)
			}
			u.via = vm
			r.mu.Unlock()
			return granted, true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	u.forward = r.d.bootClock() + forwardBackoff
	u.via = ""
	return 0, false
}

// forwarders returns the VMs to be asked to pass on a request to an allocator: the one that has done so before, then
// some of other failure domains than the allocator and this VM.
func (r *rateLimiter) forwarders(v *directory.View, allocator, via string) []string {
	var all, chosen []string
	for name, vm := range v.VMs {
		if name != allocator && name != r.d.self.Name && vm.Domain != r.d.self.Domain && vm.Domain != v.VMs[allocator].Domain &&
			r.d.peers.OpenLink(vm.Address) != nil {
			all = append(all, name)
		}
	}
	if slices.Contains(all, via) {
		chosen = append(chosen, via)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, name := range all {
		if len(chosen) < forwardAttempts && name != via {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

// forward passes on a request of a VM that cannot reach the allocator.
func (r *rateLimiter) forward(m peer.TokenRequest) (granted int, ok bool) {
	v := r.d.directory.View()
	l := r.d.peers.OpenLink(v.VMs[allocatorOf(v, m.Workspace).Holder.Name].Address)
	if l == nil {
		return 0, false
	}
	m.Forward = false
	granted, ok, _ = callForTokens(l, m, forwardTimeout)
	return granted, ok
}

// callForTokens sends a token request. ok reports whether an allocator has responded.
func callForTokens(l *peer.Link, m peer.TokenRequest, timeout time.Duration) (granted int, ok bool, err error) {
	response, err := l.Call(peer.Message{TokenRequest: &m}, timeout)
	if err != nil || response.TokenRequest == nil || !response.TokenRequest.IsAllocator {
		return 0, false, err
	}
	return response.TokenRequest.Count, true, nil
}

// fallback returns the fallback of a workspace. The mutex must be held.
func (r *rateLimiter) fallback(workspace string) *quota.Fallback {
	f := r.fallbacks[workspace]
	if f == nil {
		f = quota.NewFallback(r.d.bootClock())
		r.fallbacks[workspace] = f
	}
	return f
}

// takeFallback takes tokens on this VM's own account, which are an equal share of those of all VMs that admit requests.
// The mutex must be held.
func (r *rateLimiter) takeFallback(v *directory.View, w directory.Workspace, n int) int {
	allocator := allocatorOf(v, w.Name)
	source := quota.Source{Service: allocator.Service, Epoch: allocator.Ownership()}
	return r.fallback(w.Name).Take(r.d.bootClock(), w, source, len(r.admittingVMs(v)), n)
}

// admittingVMs returns the VMs that may admit requests. The mutex must be held.
func (r *rateLimiter) admittingVMs(v *directory.View) map[string]bool {
	if r.admittingOf != v {
		r.admittingOf, r.admitting = v, admittingVMs(v)
	}
	return r.admitting
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

// allocate takes tokens for a request. ok is false if this VM is not the allocator of the workspace, or its lease is not
// valid.
func (r *rateLimiter) allocate(m peer.TokenRequest) (granted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allocateLocked(r.d.directory.View(), m)
}

// allocateLocked is allocate with the mutex held.
func (r *rateLimiter) allocateLocked(v *directory.View, m peer.TokenRequest) (granted int, ok bool) {
	if v.Configuration == nil {
		return 0, false
	}
	w, ok := v.Configuration.Workspaces[m.Workspace]
	if !ok {
		return 0, false
	}
	service := quota.AllocatorService(m.Workspace, v.AllServices())
	now := r.d.bootClock()
	if m.Outage == 0 {
		r.servedAt[m.VM] = now // it got the response to its previous request
	}
	admitting := r.admittingVMs(v)
	epoch, since, share, ok := r.d.ownership.allocation(service, func(vm string) bool { return admitting[vm] },
		func(vm string) time.Duration { return r.servedAt[vm] })
	if !ok {
		return 0, false
	}
	r.reassign(now, v.AllServices())
	t := r.tenures[service]
	if t == nil || t.epoch != epoch {
		t = &tenure{quota.NewAllocator(since), epoch}
		r.tenures[service] = t
	}
	if m.Spent > 0 {
		t.Debit(now, w, share, m.VM, m.Outage, m.Spent)
	}
	return t.Take(now, w, share, m.Count), true
}

// reassign assigns the workspaces to the services again if these have changed. The mutex must be held.
func (r *rateLimiter) reassign(now time.Duration, services []string) {
	if slices.Equal(r.services, services) {
		return
	}
	first := r.services == nil
	r.services = services
	if first {
		return
	}
	for service, t := range r.tenures {
		t.Reassign(now, func(workspace string) bool { return quota.AllocatorService(workspace, services) == service })
	}
}

// release ends the allocation of tokens under an owner record and returns the levels of the buckets for the next owner.
func (r *rateLimiter) release(record directory.OwnerRecord) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenures[record.Service]
	if t == nil || t.epoch != record.Ownership() {
		return nil
	}
	delete(r.tenures, record.Service)
	return t.Levels(r.d.bootClock())
}

// inherit takes over the levels of the buckets from the previous owner of a service.
func (r *rateLimiter) inherit(m peer.Release) {
	if m.Successor == nil || m.Successor.Holder != r.d.self.RunID() || m.Tokens == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenures[m.Service]
	if t == nil || t.epoch < m.Successor.Ownership() {
		t = &tenure{quota.NewAllocator(r.d.bootClock()), m.Successor.Ownership()}
		r.tenures[m.Service] = t
	}
	if t.epoch == m.Successor.Ownership() {
		t.Inherit(m.Tokens)
	}
}
