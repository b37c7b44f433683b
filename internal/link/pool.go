package link

import (
	"context"
	"sync"
	"time"

	"siskinrouter/internal/verdict"
)

// Waiter is a request that waits for a link of a pool.
type Waiter struct {
	Workspace string
	Weight    int
	Deadline  time.Time
	ready     chan error // receives nil when the request may use a link
}

// Queue orders the requests that wait for the links of one server. Its methods are called with the
// pool's lock held.
type Queue interface {
	// Push adds a waiter, or returns the reason why it is refused.
	Push(now time.Time, w *Waiter) error
	// Pop removes and returns the waiter to serve next, and those whose deadline cannot be met.
	Pop(now time.Time) (next *Waiter, shed []*Waiter)
	// Remove drops a waiter that gave up.
	Remove(w *Waiter)
	// Clear removes and returns all waiters.
	Clear() []*Waiter
	// Resize changes how many requests may hold a link at once.
	Resize(links int)
	// Release records the end of a request and how long it held its link.
	Release(now time.Time, w *Waiter, held time.Duration)
}

// Pool holds the links to one server. It never has more than its limit open.
type Pool struct {
	server  string
	address string
	cred    Credentials
	dial    time.Duration // connection timeout
	queue   Queue

	mu     sync.Mutex
	limit  int
	used   int // requests that hold a link or open one
	idle   []*Link
	inUse  map[*Link]struct{}
	closed bool
}

// Grant is the use of a link by one request.
type Grant struct {
	*Link
	pool   *Pool
	waiter *Waiter
	since  time.Time
}

// NewPool returns a pool of at most limit links. Requests wait in queue, by default a FIFO queue.
func NewPool(server, address string, cred Credentials, limit int, dialTimeout time.Duration, queue Queue) *Pool {
	if queue == nil {
		queue = NewFIFO(defaultFIFOSize)
	}
	return &Pool{
		server: server, address: address, cred: cred, limit: limit, dial: dialTimeout, queue: queue,
		inUse: make(map[*Link]struct{}),
	}
}

// Acquire returns a link for w, waiting until its turn comes. Every failure has the verdict NotRun.
func (p *Pool) Acquire(ctx context.Context, w *Waiter) (*Grant, error) {
	w.ready = make(chan error, 1)
	if err := p.enqueue(w); err != nil {
		return nil, err
	}
	select {
	case err := <-w.ready:
		if err != nil {
			return nil, err
		}
	case <-ctx.Done():
		p.abandon(w)
		return nil, verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow,
			"no connection to target %s became free in time: %w", p.server, ctx.Err())
	}
	return p.take(ctx, w)
}

func (p *Pool) enqueue(w *Waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow, "target %s is no longer used", p.server)
	}
	if err := p.queue.Push(time.Now(), w); err != nil {
		return err
	}
	p.dispatch()
	return nil
}

// dispatch lets waiting requests proceed while there is room. The lock is held.
func (p *Pool) dispatch() {
	for p.used < p.limit {
		next, shed := p.queue.Pop(time.Now())
		for _, w := range shed {
			w.ready <- verdict.Errorf(verdict.NotRun, verdict.StateTooManyConnections,
				"target %s is too busy to start the request before its deadline", p.server)
		}
		if next == nil {
			return
		}
		p.used++
		next.ready <- nil
	}
}

// abandon withdraws w and passes its turn on if it had just been granted.
func (p *Pool) abandon(w *Waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Remove(w)
	select {
	case err := <-w.ready:
		if err == nil {
			p.used--
			p.queue.Release(time.Now(), w, 0)
			p.dispatch()
		}
	default:
	}
}

// take hands an idle link to w or opens one.
func (p *Pool) take(ctx context.Context, w *Waiter) (*Grant, error) {
	l := p.popIdle()
	if l == nil {
		var err error
		if l, err = p.open(ctx); err != nil {
			p.finish(w, 0)
			return nil, err
		}
	}
	p.mu.Lock()
	p.inUse[l] = struct{}{}
	p.mu.Unlock()
	return &Grant{Link: l, pool: p, waiter: w, since: time.Now()}, nil
}

func (p *Pool) open(ctx context.Context) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dial)
	defer cancel()
	return Dial(ctx, p.server, p.address, p.cred)
}

// popIdle returns the most recently used idle link that the target has not closed.
func (p *Pool) popIdle() *Link {
	for {
		l := p.popLast()
		if l == nil || l.alive() {
			return l
		}
		l.Close()
	}
}

func (p *Pool) popLast() *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	l := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return l
}

func (p *Pool) finish(w *Waiter, held time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.queue.Release(time.Now(), w, held)
	p.dispatch()
}

// Release returns the link. A link that is broken, or in a state that the next request could notice,
// must have been marked with Break.
func (g *Grant) Release() {
	g.pool.putIdle(g.Link)
	g.pool.finish(g.waiter, time.Since(g.since))
}

func (p *Pool) putIdle(l *Link) {
	p.mu.Lock()
	delete(p.inUse, l)
	keep := !l.Broken() && !p.closed && len(p.idle) < p.limit
	if keep {
		l.SetDeadline(time.Time{})
		l.idleSince = time.Now()
		p.idle = append(p.idle, l)
	}
	p.mu.Unlock()
	if !keep {
		l.Close()
	}
}

// Warm opens idle links until n exist, and reports whether all could be opened.
func (p *Pool) Warm(ctx context.Context, n int) bool {
	for range n {
		p.mu.Lock()
		enough := p.closed || len(p.idle)+p.used >= min(n, p.limit)
		p.mu.Unlock()
		if enough {
			return true
		}
		l, err := p.open(ctx)
		if err != nil {
			return false
		}
		p.putIdle(l)
	}
	return true
}

// CloseIdle closes the links that are not in use.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, l := range idle {
		l.Close()
	}
}

// Dismiss sends the waiting requests away with the verdict NotRun, so that they choose a server anew.
func (p *Pool) Dismiss(cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.queue.Clear() {
		w.ready <- verdict.Errorf(verdict.NotRun, verdict.StateConnectionFailure,
			"the request did not start on target %s: %w", p.server, cause)
	}
}

// Interrupt closes the links in use. Requests on them fail with the verdict that their progress allows.
func (p *Pool) Interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.inUse {
		l.Close()
	}
}

// Close refuses further requests and closes idle links. Requests that hold a link keep it.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// SetLimit changes how many links may be open.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.queue.Resize(limit)
	p.dispatch()
}

// InFlight returns the number of requests that hold a link.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}
