package scenario

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/operator"
)

// maxFaults bounds the faults that overlap.
const maxFaults = 3

// injected is a fault that is in force.
type injected struct {
	kind string
	heal func()
	end  time.Time
}

// injector plays a schedule of faults that its seed determines. The fleet reacts in real time, so the
// same schedule need not meet the same state of the fleet.
type injector struct {
	h      *history
	rand   *rand.Rand
	active []injected
	ended  map[*devtarget.Server]bool // by another fault that is in force
}

// faultKind returns how to heal the fault that it injects, or nil if it cannot be injected now.
type faultKind struct {
	name   string
	inject func(in *injector) (heal func())
}

var faultKinds = []faultKind{
	{"primary killed", (*injector).killPrimary},
	{"primary frozen", (*injector).freezePrimary},
	{"primary isolated from its peers", (*injector).isolatePrimary},
	{"failure domain cut off", (*injector).cutOff},
	{"two failure domains cut off from each other", (*injector).cutPair},
	{"VM drained", (*injector).drainVM},
	{"platform down", (*injector).platformDown},
	{"platform answers lost", (*injector).platformLosesAnswers},
	{"answers of a server late", (*injector).lateAnswers},
	{"replica lags", (*injector).lag},
	{"failure domain withdrawn", (*injector).withdrawDomain},
	{"target leaves", (*injector).leaveTarget},
	{"key withdrawn", (*injector).withdrawKey},
	{"server shut down", (*injector).shutdownServer},
}

// schedule returns a function that injects and heals faults until its context ends, and heals the rest.
func (h *history) schedule(seed uint64) func(context.Context) {
	in := &injector{h: h, rand: rand.New(rand.NewPCG(seed, 2)), ended: make(map[*devtarget.Server]bool)}
	return func(ctx context.Context) {
		for ctx.Err() == nil {
			in.step()
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(50+in.rand.IntN(400)) * time.Millisecond):
			}
		}
		for _, f := range in.active {
			f.heal()
		}
	}
}

// step heals what is due and injects another fault.
func (in *injector) step() {
	var rest []injected
	for _, f := range in.active {
		if time.Now().Before(f.end) {
			rest = append(rest, f)
			continue
		}
		f.heal()
	}
	in.active = rest
	if len(in.active) >= maxFaults {
		return
	}
	kind := faultKinds[in.rand.IntN(len(faultKinds))]
	length := time.Duration(300+in.rand.IntN(2200)) * time.Millisecond
	for _, f := range in.active {
		if f.kind == kind.name {
			return
		}
	}
	if heal := kind.inject(in); heal != nil {
		in.active = append(in.active, injected{kind.name, heal, time.Now().Add(length)})
		in.h.played = append(in.h.played, kind.name)
	}
}

func (in *injector) server() *devtarget.Server {
	all := in.h.fleet.Groups[0].Servers()
	return all[in.rand.IntN(len(all))]
}

func (in *injector) domain() string {
	all := in.h.fleet.Deployment.Domains
	return all[in.rand.IntN(len(all))]
}

// toggle switches a fault of the primary on and returns how to switch it off.
func (in *injector) toggle(set func(*devtarget.Server, bool)) func() {
	p := in.h.fleet.Groups[0].Primary()
	if p == nil {
		return nil
	}
	set(p, true)
	return func() { set(p, false) }
}

func (in *injector) freezePrimary() func() { return in.toggle((*devtarget.Server).Freeze) }

func (in *injector) isolatePrimary() func() { return in.toggle((*devtarget.Server).IsolatePeers) }

func (in *injector) killPrimary() func() {
	return in.end(in.h.fleet.Groups[0].Primary(), (*devtarget.Server).Kill)
}

// end ends a server and returns how to start it again, or nil if it has ended already.
func (in *injector) end(s *devtarget.Server, end func(*devtarget.Server)) func() {
	if s == nil || in.ended[s] {
		return nil
	}
	in.ended[s] = true
	end(s)
	return func() {
		delete(in.ended, s)
		if err := s.Restart(); err != nil {
			in.h.violation("restart of server %s: %v", s.Name(), err)
		}
	}
}

func (in *injector) shutdownServer() func() {
	return in.end(in.server(), (*devtarget.Server).Shutdown)
}

// cutOff cuts a failure domain off from all others, its server included. The VM there goes on to see
// the server, and callers go on to reach the VM.
func (in *injector) cutOff() func() {
	d := in.domain()
	set := func(on bool) {
		for _, other := range in.h.fleet.Deployment.Domains {
			if other != d {
				in.h.fleet.Network.Cut(d, other, on)
			}
		}
		for _, s := range in.h.fleet.Groups[0].Servers() {
			if s.Domain() == d {
				s.IsolatePeers(on)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

func (in *injector) cutPair() func() {
	a, b := in.domain(), in.domain()
	if a == b {
		return nil
	}
	in.h.fleet.Network.Cut(a, b, true)
	return func() { in.h.fleet.Network.Cut(a, b, false) }
}

func (in *injector) drainVM() func() {
	i := in.rand.IntN(in.h.fleet.Deployment.VMs)
	drained := make(chan error, 1)
	go func() { drained <- in.h.fleet.VM(i).Drain() }()
	return func() {
		if err := <-drained; err != nil {
			in.h.violation("drain of VM %d: %v", i, err)
		}
		if _, err := in.h.fleet.StartVM(i); err != nil {
			in.h.violation("start of VM %d: %v", i, err)
		}
	}
}

func (in *injector) platformDown() func() {
	return in.platform(devplatform.Faults{Down: true})
}

func (in *injector) platformLosesAnswers() func() {
	return in.platform(devplatform.Faults{LoseAnswers: devplatform.AllAnswers, CutWatches: true})
}

func (in *injector) platform(f devplatform.Faults) func() {
	in.h.fleet.Platform.SetFaults(f)
	return func() { in.h.fleet.Platform.SetFaults(devplatform.Faults{}) }
}

func (in *injector) lateAnswers() func() {
	s := in.server()
	s.SetAnswerDelay(time.Duration(20+in.rand.IntN(300)) * time.Millisecond)
	return func() { s.SetAnswerDelay(0) }
}

func (in *injector) lag() func() {
	s := in.server()
	s.SetLag(time.Duration(100+in.rand.IntN(900)) * time.Millisecond)
	return func() { s.SetLag(in.h.fleet.Deployment.Lag) }
}

// change runs an operator's command, which may fail while the platform is down.
func (in *injector) change(f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return f(ctx)
}

// undo repeats an operator's command until it takes effect.
func (in *injector) undo(f func(ctx context.Context) error) {
	if err := poll(func() error { in.h.fleet.Platform.SetFaults(devplatform.Faults{}); return in.change(f) }); err != nil {
		in.h.violation("operator's change: %v", err)
	}
}

func (in *injector) withdrawDomain() func() {
	d := in.domain()
	_ = in.change(func(ctx context.Context) error {
		_, err := in.h.fleet.Operator.WithdrawDomain(ctx, d, "test", false)
		return err
	})
	return func() {
		in.undo(func(ctx context.Context) error { return ignoreNoChange(in.h.fleet.Operator.ReturnDomain(ctx, d)) })
	}
}

func (in *injector) leaveTarget() func() {
	s := in.server()
	_ = in.change(func(ctx context.Context) error {
		_, err := in.h.fleet.Operator.LeaveTarget(ctx, s.Name(), "test", false)
		return err
	})
	return func() {
		in.undo(func(ctx context.Context) error { return ignoreNoChange(in.h.fleet.Operator.JoinTarget(ctx, s.Name())) })
	}
}

// withdrawKey replaces the key of a workspace and withdraws the old one.
func (in *injector) withdrawKey() func() {
	f := in.h.fleet
	workspace := fmt.Sprintf("w%d", 1+in.rand.IntN(2))
	var id, secret string
	err := in.change(func(ctx context.Context) (err error) {
		id, secret, _, err = f.Operator.AddKey(ctx, workspace)
		return err
	})
	if err != nil {
		return nil
	}
	for _, s := range f.Groups[0].Servers() {
		s.Forbid(secret)
	}
	old := f.SetKey(workspace, id, secret)
	return func() {
		in.undo(func(ctx context.Context) error { return ignoreNoChange(f.Operator.WithdrawKey(ctx, old)) })
	}
}

func ignoreNoChange(_ operator.Change, err error) error {
	if errors.Is(err, operator.ErrNoChange) {
		return nil
	}
	return err
}
