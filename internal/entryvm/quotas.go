package entryvm

import (
	"sync"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/quota"
)

const (
	// tokenTimeout bounds the wait for a keeper's answer; a round trip takes a few milliseconds.
	tokenTimeout = 60 * time.Millisecond
	// keeperPause is how long a keeper that did not answer is not asked.
	keeperPause = 700 * time.Millisecond
	// leastBurst lets a workspace with a small rate send single requests.
	leastBurst = 1
)

// quotas admits the requests of workspaces for the brokers of this VM.
type quotas struct {
	d  *Daemon
	mu sync.Mutex
	// kept holds the tokens of the workspaces that this VM keeps, local those that it admits by itself while
	// their keeper cannot be reached.
	kept, local *quota.Limiter
	asks        map[string]*ask
	silentUntil map[string]time.Duration // keepers that did not answer, by VM
}

// ask collects the requests of a workspace that wait for tokens.
type ask struct {
	sent    bool
	waiting []func(bool)
}

func newQuotas(d *Daemon) *quotas {
	return &quotas{
		d: d, kept: quota.NewLimiter(1, leastBurst), local: quota.NewLimiter(1, leastBurst), asks: map[string]*ask{},
		silentUntil: map[string]time.Duration{},
	}
}

// Admit calls done with whether a request of a workspace is inside its rate, possibly before it returns.
func (q *quotas) Admit(workspace string, done func(bool)) {
	v := q.d.directory.View()
	if v.Configuration == nil {
		// A VM that has just started may be given a service before it knows the limits.
		done(false)
		return
	}
	w, ok := v.Configuration.Workspaces[workspace]
	if !ok {
		// A route that is open to all has no workspace and no rate.
		done(true)
		return
	}
	keeper := v.OwnerRecords[quota.AllocatorService(workspace, v.AllServices())]
	if keeper.Holder == q.d.self.RunID() {
		done(q.Take(workspace, 1) > 0)
		return
	}
	q.mu.Lock()
	var link *peer.Link
	if q.d.clock() >= q.silentUntil[keeper.Holder.Name] {
		link = q.d.peers.LinkOrDial(v.VMs[keeper.Holder.Name].Address)
	}
	if link == nil {
		n := q.takeLocal(v, w, 1)
		q.mu.Unlock()
		done(n > 0)
		return
	}
	a := q.asks[workspace]
	if a == nil {
		a = &ask{}
		q.asks[workspace] = a
	}
	a.waiting = append(a.waiting, done)
	if a.sent {
		q.mu.Unlock()
		return
	}
	a.sent = true
	q.mu.Unlock()
	go q.fetch(link, keeper.Holder.Name, w)
}

// fetch asks a keeper for the tokens of all requests that wait, until none does.
func (q *quotas) fetch(link *peer.Link, keeper string, w directory.Workspace) {
	for {
		q.mu.Lock()
		a := q.asks[w.Name]
		waiting := a.waiting
		a.waiting = nil
		if len(waiting) == 0 {
			delete(q.asks, w.Name)
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
		granted := q.request(link, keeper, w, len(waiting))
		for i, done := range waiting {
			done(i < granted)
		}
	}
}

// request returns how many of n requests are admitted.
func (q *quotas) request(link *peer.Link, keeper string, w directory.Workspace, n int) int {
	m, err := link.Call(peer.Message{TokenRequest: &peer.TokenRequest{Workspace: w.Name, Count: n}}, tokenTimeout)
	if err == nil && m.TokenRequest != nil && m.TokenRequest.IsAllocator {
		return m.TokenRequest.Count
	}
	q.d.log.Info("keeper of tokens not reached", "vm", keeper, "workspace", w.Name, "error", err)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silentUntil[keeper] = q.d.clock() + keeperPause
	return q.takeLocal(q.d.directory.View(), w, n)
}

// takeLocal admits an equal part of a workspace's rate for each service. The mutex is held.
func (q *quotas) takeLocal(v *directory.View, w directory.Workspace, n int) int {
	q.local.SetShare(1 / float64(max(len(v.Configuration.Services), 1)))
	return q.local.Take(q.d.clock(), w, n)
}

// Take takes tokens of a workspace that this VM keeps.
func (q *quotas) Take(workspace string, n int) int {
	w := q.d.directory.View().Configuration.Workspaces[workspace]
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.kept.Take(q.d.clock(), w, n)
}

// keeps reports whether this VM keeps the tokens of a workspace and may hand them out.
func (q *quotas) keeps(workspace string) bool {
	v := q.d.directory.View()
	if v.Configuration == nil {
		return false
	}
	if _, ok := v.Configuration.Workspaces[workspace]; !ok {
		return false
	}
	service := quota.AllocatorService(workspace, v.AllServices())
	return v.OwnerRecords[service].Holder == q.d.self.RunID() && q.d.owners.Valid(service)
}
