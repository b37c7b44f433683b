package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"siskinrouter/internal/catalog"
	"siskinrouter/internal/fleet"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/sleep"
)

const (
	memberTick   = 100 * time.Millisecond
	listTimeout  = 5 * time.Second
	watchBackoff = 500 * time.Millisecond // after a watch that failed
	maxCalls     = 16                     // calls to other VMs in flight
)

// members is the duty that keeps up membership and distributes configuration.
type members struct {
	d     *Daemon
	calls chan struct{} // bounds calls in flight

	mu        sync.Mutex
	state     *machine.Members
	stopWatch context.CancelFunc
	watching  bool // a watch is established and has not failed since
}

func newMembers(d *Daemon, self machine.VM, seeds []string, rng *rand.Rand) *members {
	return &members{
		d:     d,
		calls: make(chan struct{}, maxCalls),
		state: machine.New(machine.Config{Self: self, Seeds: seeds}, rng),
	}
}

// with calls f with the membership while no other goroutine changes it.
func (m *members) with(f func(*machine.Members)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

func (m *members) live() (vms []machine.VM) {
	m.with(func(s *machine.Members) { vms = s.Live() })
	return vms
}

// run drives the membership until ctx ends.
func (m *members) run(ctx context.Context) error {
	tick := time.NewTicker(memberTick)
	defer tick.Stop()
	for {
		var actions []machine.Action
		var superseded bool
		m.with(func(s *machine.Members) {
			actions = s.Tick(m.d.now())
			superseded = s.Superseded()
		})
		if superseded {
			return errors.New("a newer start of this VM is known; this process ends")
		}
		m.perform(ctx, actions)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// perform carries out actions without blocking the duty.
func (m *members) perform(ctx context.Context, actions []machine.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case machine.SyncWith:
			m.call(func() { m.sync(ctx, a.Peer) })
		case machine.PushTo:
			for _, peer := range a.Peers {
				m.call(func() { m.push(ctx, peer, a.Names) })
			}
		case machine.ListVMs:
			m.call(func() { m.list(ctx) })
		case machine.ConfirmFresh:
			m.call(func() { m.confirm(ctx) })
		case machine.StartWatch:
			m.startWatch(ctx)
		case machine.StopWatch:
			m.endWatch()
		}
	}
}

// call runs f unless too many calls are in flight; periodic exchange makes up for what is left out.
func (m *members) call(f func()) {
	select {
	case m.calls <- struct{}{}:
	default:
		m.d.counters.callsSkipped.Inc(1)
		return
	}
	go func() {
		defer func() { <-m.calls }()
		f()
	}()
}

// sync exchanges versions with a peer, in several rounds if only digests differ.
func (m *members) sync(ctx context.Context, peer machine.VM) {
	var again *machine.Hello
	for range maxSyncRounds {
		more, next, err := m.syncOnce(ctx, peer, again)
		switch {
		case errors.Is(err, machine.ErrGone), errors.Is(err, machine.ErrOldIncarnation):
			// The peer lives; it waits until the platform lists this VM again.
			m.d.log.Debug("sync refused", "peer", peer.Name, "err", err)
			return
		case err != nil:
			m.d.log.Debug("sync failed", "peer", peer.Name, "err", err)
			m.with(func(s *machine.Members) { s.CallFailed(m.d.now(), peer) })
			return
		}
		if !more {
			return
		}
		again = next
	}
}

// maxSyncRounds bounds the rounds of one exchange; a later one continues.
const maxSyncRounds = 8

func (m *members) syncOnce(ctx context.Context, peer machine.VM, again *machine.Hello) (bool, *machine.Hello, error) {
	req := m.hello(again)
	sent := m.d.now()
	answer, err := m.d.peers.Client(peer.Address).Sync(ctx, req)
	if err != nil {
		return false, nil, err
	}
	m.d.learn(ctx, answer.Objects)
	m.send(ctx, peer, answer.Hello.Wanted)
	m.d.groups.reports(answer.Hello)
	var more bool
	m.with(func(s *machine.Members) {
		more, err = s.ApplyResponse(sent, m.d.now(), req, answer.Hello, !answer.More)
	})
	if err != nil {
		return false, nil, err
	}
	return more || answer.More, &answer.Hello, nil
}

func (m *members) hello(again *machine.Hello) (h machine.Hello) {
	m.d.config.withVersions(func(v *machine.Versions) {
		m.with(func(s *machine.Members) { h = s.Hello(m.d.now(), v, again) })
	})
	return h
}

func (m *members) send(ctx context.Context, peer machine.VM, names []string) {
	if len(names) > 0 {
		m.push(ctx, peer, names)
	}
}

func (m *members) push(ctx context.Context, peer machine.VM, names []string) {
	objects := m.d.config.objects(names)
	if err := m.d.peers.Client(peer.Address).PushObjects(ctx, objects); err != nil {
		m.d.counters.pushFailures.Inc(1)
	}
}

func (m *members) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	started := m.d.now()
	vms, err := m.d.store.VMs(ctx)
	if err != nil {
		m.d.counters.platformFailures.Inc(1)
		return
	}
	list := make([]machine.VM, len(vms))
	for i, v := range vms {
		list[i] = fromPlatform(v)
	}
	m.with(func(s *machine.Members) { s.Observe(started, m.d.now(), list) })
}

func fromPlatform(v platform.VM) machine.VM {
	state := machine.Live
	if v.State == platform.VMLeaving {
		state = machine.Leaving
	}
	return machine.VM{Name: v.Name, Incarnation: v.Incarnation, Domain: v.Domain, Address: v.Address, State: state}
}

// confirm asks the platform for one object, to learn that the watch is still connected to it.
func (m *members) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	started := m.d.now()
	// The object of failure domains is small; the operators' text would cost up to 1 MB for each call.
	o, err := m.d.store.Get(ctx, catalog.NameDomains)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		m.d.counters.platformFailures.Inc(1)
		return
	}
	if err == nil {
		m.d.learn(ctx, []platform.Object{o})
	}
	// One object says nothing about the others; a watch that works does.
	m.with(func(s *machine.Members) {
		if m.watching {
			s.Confirmed(started)
		}
	})
}

// setWatching records whether a watch is established.
func (m *members) setWatching(on bool) { m.with(func(*machine.Members) { m.watching = on }) }

func (m *members) startWatch(ctx context.Context) {
	m.endWatch()
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	m.stopWatch = cancel
	m.mu.Unlock()
	go m.watch(ctx)
}

func (m *members) endWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopWatch != nil {
		m.stopWatch()
		m.stopWatch = nil
	}
}

// watch follows the platform's objects. After each failure it lists them anew, because changes may
// have been missed meanwhile.
func (m *members) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.follow(ctx); err != nil && ctx.Err() == nil {
			m.d.counters.platformFailures.Inc(1)
			sleep.For(ctx, watchBackoff)
		}
	}
}

func (m *members) follow(ctx context.Context) error {
	started := m.d.now()
	objects, revision, err := m.d.store.List(ctx, "")
	if err != nil {
		return err
	}
	m.d.learn(ctx, objects)
	m.with(func(s *machine.Members) {
		s.Confirmed(started)
		m.watching = true
	})
	defer m.setWatching(false)
	for {
		objects, revision, err = m.d.store.Watch(ctx, "", revision)
		if err != nil {
			return err
		}
		m.d.learn(ctx, objects)
	}
}

// learn takes over objects and passes news on.
func (d *Daemon) learn(ctx context.Context, objects []platform.Object) {
	names := d.config.apply(objects)
	if len(names) == 0 {
		return
	}
	var actions []machine.Action
	d.members.with(func(s *machine.Members) { actions = s.PushLearned(names...) })
	d.members.perform(ctx, actions)
}

// handler serves the calls of other VMs.
type handler struct {
	d *Daemon
}

func (h *handler) Sync(ctx context.Context, hello machine.Hello) (fleet.SyncResult, error) {
	var answer fleet.SyncResult
	var lacks []machine.Version
	var err error
	h.d.config.withVersions(func(v *machine.Versions) {
		h.d.members.with(func(s *machine.Members) {
			if err = s.Heartbeat(h.d.now(), hello); err == nil {
				answer.Hello, lacks = s.Respond(h.d.now(), v, hello)
			}
		})
	})
	if err != nil {
		return answer, err
	}
	h.d.groups.reports(hello)
	names := make([]string, len(lacks))
	for i, v := range lacks {
		names[i] = v.Name
	}
	answer.Objects, answer.More = fleet.LimitSyncObjects(h.d.config.objects(names))
	return answer, nil
}

func (h *handler) Push(ctx context.Context, objects []platform.Object, announced []machine.Version) ([]string, error) {
	h.d.learn(h.d.ctx, objects)
	var wanted []string
	h.d.config.withVersions(func(v *machine.Versions) {
		h.d.members.with(func(s *machine.Members) { wanted = s.Wanted(h.d.now(), v, announced) })
	})
	return wanted, nil
}

func (h *handler) Cancel(ctx context.Context, link uint64, secret []byte) error {
	h.d.callers.Cancel(ctx, uint32(link), secret)
	return nil
}

func (h *handler) Explain(_ context.Context, id string) ([]string, error) {
	lines, ok := h.d.explanations.Get(id)
	if !ok {
		return nil, nil
	}
	return lines, nil
}
