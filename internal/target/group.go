// Package target runs what one VM knows and does about a database group: it keeps the view of the
// group up to date by control statements, confirms writes, and hands out links.
package target

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/link"
	"siskinrouter/internal/routing"
	"siskinrouter/internal/session"
	"siskinrouter/internal/verdict"
)

// Config describes how a VM uses a group.
type Config struct {
	Group          fleetconfig.Group
	Credentials    link.Credentials
	LocalDomain    string        // failure domain of the VM
	ProbeInterval  time.Duration // between status queries without demand
	AnswerTimeout  time.Duration // a server that takes longer is counted as not answering
	ConnectTimeout time.Duration
	Links          func(fleetconfig.Server) int        // links that this VM may open to a server
	Queue          func(fleetconfig.Server) link.Queue // nil for FIFO
	Clock          func() time.Duration                // monotonic
	OnStatus       func(server string, sentAt time.Duration, a Answer)
	OnFail         func(server string, err error)
}

// Group is the runtime of one database group on one VM.
type Group struct {
	cfg     Config
	servers map[string]*serverRuntime

	mu      sync.Mutex
	view    *routing.View
	changed chan struct{} // closed and replaced whenever the view changes
	// wantSince and wantPosition are the demands of waiting requests on the monitors.
	wantSince    time.Duration
	wantPosition session.Position
	blocked      map[string]Block // servers that may not get certain work
	held         bool             // new transactions on the primary wait
	tried        map[string]bool  // servers that have answered or failed to answer
	leader       string           // last known primary
}

// Block says which work a server may not get.
type Block struct {
	Reads  bool
	Writes bool
	Reason string
}

type serverRuntime struct {
	fleetconfig.Server
	pool    *link.Pool
	monitor *monitor
}

// NewGroup returns a group whose monitors are started by Run.
func NewGroup(cfg Config) *Group {
	g := &Group{
		cfg:     cfg,
		servers: make(map[string]*serverRuntime, len(cfg.Group.Servers)),
		changed: make(chan struct{}),
		blocked: make(map[string]Block),
		tried:   make(map[string]bool),
	}
	var members []routing.Server
	for _, s := range cfg.Group.Servers {
		var q link.Queue
		if cfg.Queue != nil {
			q = cfg.Queue(s)
		}
		pool := link.NewPool(s.Name, s.Address, cfg.Credentials, cfg.Links(s), cfg.ConnectTimeout, q)
		g.servers[s.Name] = &serverRuntime{Server: s, pool: pool, monitor: newMonitor(g, s)}
		members = append(members, routing.Server{Name: s.Name, Domain: s.Domain})
	}
	g.view = routing.NewView(members)
	return g
}

// Run keeps the view up to date until ctx ends, then closes all idle links.
func (g *Group) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range g.servers {
		wg.Go(func() { s.monitor.run(ctx) })
	}
	<-ctx.Done()
	wg.Wait()
	for _, s := range g.servers {
		s.pool.Close()
	}
}

// Name returns the name of the group.
func (g *Group) Name() string { return g.cfg.Group.Name }

// SetBlocked replaces the set of servers that may not get certain work.
func (g *Group) SetBlocked(blocked map[string]Block) {
	g.mu.Lock()
	g.blocked = blocked
	g.broadcast()
	g.mu.Unlock()
}

// HoldWrites makes new transactions on the primary wait, or continue.
func (g *Group) HoldWrites(on bool) {
	g.mu.Lock()
	g.held = on
	g.broadcast()
	g.mu.Unlock()
}

// Inspect calls f with the view while no other goroutine changes it.
func (g *Group) Inspect(f func(*routing.View)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.view)
}

// Pool returns the pool of a server, or nil.
func (g *Group) Pool(server string) *link.Pool {
	if s, ok := g.servers[server]; ok {
		return s.pool
	}
	return nil
}

// Control runs a control statement on a server, for a change of primary.
func (g *Group) Control(ctx context.Context, server, statement string) (Answer, error) {
	s, ok := g.servers[server]
	if !ok {
		return Answer{}, fmt.Errorf("group %s has no server %s", g.Name(), server)
	}
	return s.monitor.command(ctx, statement)
}

// broadcast wakes everyone who waits for a change of the view. The lock is held.
func (g *Group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Group) observe(server string, sentAt time.Duration, a Answer) {
	g.mu.Lock()
	g.view.Observe(server, sentAt, a.Status)
	g.tried[server] = true
	former := g.noteLeader()
	g.broadcast()
	g.mu.Unlock()
	g.leave(former)
	if g.cfg.OnStatus != nil {
		g.cfg.OnStatus(server, sentAt, a)
	}
}

// errReplaced is why requests that wait for a former primary are sent away.
var errReplaced = errors.New("the group has another primary")

// formerPrimary is a primary that was replaced.
type formerPrimary struct {
	name    string
	answers bool // it still answers status queries
}

// noteLeader records the primary and returns the one that it replaces, if any. The lock is held.
func (g *Group) noteLeader() formerPrimary {
	name, _, ok := g.view.Leader()
	if !ok || name == g.leader {
		return formerPrimary{}
	}
	former := formerPrimary{name: g.leader}
	g.leader = name
	_, _, former.answers = g.view.Status(former.name)
	return former
}

// leave sends requests away from a former primary. One that answers ends its statements itself; from one
// that does not, for example because it is cut off, answers would be waited for until the time limit.
func (g *Group) leave(former formerPrimary) {
	s := g.servers[former.name]
	if s == nil {
		return
	}
	s.pool.Dismiss(errReplaced)
	if !former.answers {
		s.pool.Interrupt()
	}
}

func (g *Group) fail(server string, err error) {
	g.mu.Lock()
	g.view.Fail(server)
	g.tried[server] = true
	leads := server == g.leader
	g.broadcast()
	g.mu.Unlock()
	if !leads && errors.Is(err, os.ErrDeadlineExceeded) {
		// A server that is silent, not just unreachable, would keep requests until their time limit. Those
		// on the primary wait, because its successor may have to tell their outcome.
		g.servers[server].pool.Interrupt()
	}
	// Idle links to a server that does not answer are likely broken; a request sent over one would
	// end without a known outcome.
	g.servers[server].pool.CloseIdle()
	if g.cfg.OnFail != nil {
		g.cfg.OnFail(server, err)
	}
}

// await calls check whenever the view changes until it reports true or ctx ends.
func (g *Group) await(ctx context.Context, check func() bool) error {
	g.mu.Lock()
	for !check() {
		ch := g.changed
		g.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
		g.mu.Lock()
	}
	g.mu.Unlock()
	return nil
}

// Tried reports whether every server has answered or failed to answer at least once.
func (g *Group) Tried() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tried) == len(g.servers)
}

// Demand asks for status queries that start now or later, and returns that time.
func (g *Group) Demand() time.Duration {
	g.mu.Lock()
	since := g.cfg.Clock()
	g.wantSince = max(g.wantSince, since)
	g.mu.Unlock()
	g.kick()
	return since
}

func (g *Group) kick() {
	for _, s := range g.servers {
		s.monitor.kick()
	}
}

// Floor waits until a majority has answered status queries sent at since or later. It returns a position
// that covers every write acknowledged before since, and the highest term promised by that majority.
func (g *Group) Floor(ctx context.Context, since time.Duration) (floor session.Position, term uint64, err error) {
	err = g.await(ctx, func() (ok bool) {
		floor, term, ok = g.view.MinPosition(since)
		return ok
	})
	if err != nil {
		return floor, term, verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow,
			"no majority of group %s answered in time, so the session's last write is not known: %w", g.Name(), err)
	}
	return floor, term, nil
}

// ErrDiscarded means that a former primary executed a write that is not part of its successor's log. The
// write may be sent again, but reads on the former primary may have seen it.
var ErrDiscarded = errors.New("the primary was replaced, and the log of the new one does not contain the write")

// Confirm waits until a majority holds the write at p. When the primary is replaced meanwhile, the log of
// the new one tells whether the write survived; if not, the error has the verdict NotRun.
func (g *Group) Confirm(ctx context.Context, p session.Position) error {
	g.mu.Lock()
	if p.Compare(g.wantPosition) > 0 {
		g.wantPosition = p
	}
	g.mu.Unlock()
	g.kick()
	outcome := routing.Unknown
	err := g.await(ctx, func() bool {
		if g.view.Confirmed(p) {
			outcome = routing.Survived
		} else {
			outcome = g.view.Resolve(p)
		}
		return outcome != routing.Unknown
	})
	switch {
	case err != nil:
		return verdict.Errorf(verdict.MayHaveRun, verdict.StateUnknownResolution,
			"a majority of group %s did not confirm the write at %v in time: %w", g.Name(), p, err)
	case outcome == routing.Lost:
		return verdict.Errorf(verdict.NotRun, verdict.StateReadOnly,
			"write at %v in group %s: %w", p, g.Name(), ErrDiscarded)
	}
	return nil
}

// Lease is the use of a link to a server of the group by one request.
type Lease struct {
	*link.Grant
	Primary bool
	Term    uint64 // term that the server had promised when it was chosen
}

// AcquirePrimary waits for the group to have a primary that may get new work and for a link to it.
func (g *Group) AcquirePrimary(ctx context.Context, w link.Waiter) (*Lease, error) {
	for {
		name, term, err := g.awaitPrimary(ctx)
		if err != nil {
			return nil, err
		}
		attempt := w
		grant, err := g.servers[name].pool.Acquire(ctx, &attempt)
		if err != nil {
			if !g.retryAcquire(ctx, err) {
				return nil, err
			}
			continue
		}
		if g.leads(name, term) {
			return &Lease{Grant: grant, Primary: true, Term: term}, nil
		}
		grant.Release()
	}
}

// acquirePause is the time between attempts to reach a server that refuses connections.
const acquirePause = 10 * time.Millisecond

// retryAcquire waits a little if another attempt to get a link is useful before ctx ends.
func (g *Group) retryAcquire(ctx context.Context, err error) bool {
	if ctx.Err() != nil || !isConnectError(err) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(acquirePause):
		return true
	}
}

func (g *Group) awaitPrimary(ctx context.Context) (name string, term uint64, err error) {
	err = g.await(ctx, func() (ok bool) {
		name, term, ok = g.view.Leader()
		return ok && !g.held && !g.blocked[name].Writes
	})
	if err != nil {
		return "", 0, verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow,
			"group %s has no primary that takes new transactions: %w", g.Name(), err)
	}
	return name, term, nil
}

func (g *Group) leads(name string, term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, t, ok := g.view.Leader()
	return ok && n == name && t == term && !g.held && !g.blocked[name].Writes
}

// Read says what a read requires.
type Read struct {
	Floor   session.Position
	MaxAge  time.Duration
	Exclude map[string]bool // servers that already failed this request
}

// AcquireRead returns a link to a server whose data satisfies q. It tries other servers when one
// refuses the connection, and waits until ctx ends when none qualifies.
func (g *Group) AcquireRead(ctx context.Context, w link.Waiter, q Read) (*Lease, error) {
	exclude := make(map[string]bool, len(q.Exclude))
	for name := range q.Exclude {
		exclude[name] = true
	}
	for {
		name, role, term, err := g.awaitReader(ctx, q, exclude)
		if err != nil {
			return nil, err
		}
		attempt := w
		grant, err := g.servers[name].pool.Acquire(ctx, &attempt)
		if err == nil {
			return &Lease{Grant: grant, Primary: role == routing.Primary, Term: term}, nil
		}
		if ctx.Err() != nil || !isConnectError(err) {
			return nil, err
		}
		exclude[name] = true
	}
}

func (g *Group) awaitReader(ctx context.Context, q Read, exclude map[string]bool) (name string, role routing.Role, term uint64, err error) {
	var reason error
	err = g.await(ctx, func() bool {
		name, reason = g.view.Read(g.cfg.Clock(), routing.ReadRequest{
			MinPosition:  q.Floor,
			MaxStaleness: q.MaxAge,
			LocalDomain:  g.cfg.LocalDomain,
			Exclude:      g.unreadable(exclude),
			InFlight:     func(server string) int { return g.servers[server].pool.InFlight() },
		})
		if reason != nil {
			return len(exclude) >= len(g.servers)
		}
		st, _, _ := g.view.Status(name)
		role = st.Role
		term = st.PromisedTerm
		return true
	})
	if err == nil && reason == nil {
		return name, role, term, nil
	}
	return "", "", 0, verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow, "group %s: %w", g.Name(), reason)
}

// unreadable adds the servers that may not get reads to exclude. The lock is held.
func (g *Group) unreadable(exclude map[string]bool) map[string]bool {
	all := exclude
	for name, b := range g.blocked {
		if !b.Reads {
			continue
		}
		if len(all) == len(exclude) {
			all = make(map[string]bool, len(exclude)+len(g.blocked))
			for n := range exclude {
				all[n] = true
			}
		}
		all[name] = true
	}
	return all
}
