package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrouter/internal/audit"
	"siskinrouter/internal/catalog"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/link"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/promotion"
	"siskinrouter/internal/ring"
	"siskinrouter/internal/routing"
	"siskinrouter/internal/sleep"
	"siskinrouter/internal/target"
)

const (
	driverTick     = 25 * time.Millisecond
	driverInputs   = 256                    // inputs that wait for a driver
	controlTimeout = 500 * time.Millisecond // of one control statement of a driver
	connectTimeout = 300 * time.Millisecond // of one connection to a target
	publishTimeout = 5 * time.Second
	peersEvery     = 500 * time.Millisecond // between two updates of a driver's live VMs
)

// groups holds the database groups of the configuration in force.
type groups struct {
	d   *Daemon
	mu  sync.Mutex
	all map[string]*group
}

// group is one database group with the driver that changes its primary.
type group struct {
	d      *Daemon
	cfg    fleetconfig.Group
	target *target.Group
	driver *promotion.Coordinator
	inputs *ring.Ring[promotion.Input]
	stop   context.CancelFunc
	names  map[string]promotion.Server
}

func newGroups(d *Daemon) *groups { return &groups{d: d, all: make(map[string]*group)} }

func (gs *groups) get(name string) *group {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.all[name]
}

func (gs *groups) list() []*group {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	all := make([]*group, 0, len(gs.all))
	for _, g := range gs.all {
		all = append(all, g)
	}
	return all
}

// update starts and stops groups so that they match the contract. A group whose servers changed is
// replaced; transactions that run on the old one keep their links until they end.
func (gs *groups) update(c *fleetconfig.Config) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	wanted := make(map[string]fleetconfig.Group)
	for _, s := range c.Services {
		for name, g := range s.Groups {
			wanted[name] = g
		}
	}
	for name, g := range gs.all {
		if !reflect.DeepEqual(wanted[name], g.cfg) {
			g.stop()
			delete(gs.all, name)
		}
	}
	for name, cfg := range wanted {
		if gs.all[name] == nil {
			gs.all[name] = gs.d.startGroup(cfg)
		}
	}
}

// reports passes the health reports of another VM to the drivers.
func (gs *groups) reports(h machine.Hello) {
	for _, r := range h.Reports {
		if g := gs.get(r.Group); g != nil {
			g.inputs.Offer(promotion.PeerSuspicion{
				VM: h.VM.Name, Domain: h.VM.Domain, Term: r.Term, Suspected: r.Suspected, Reason: r.Reason,
			})
		}
	}
}

func (d *Daemon) startGroup(cfg fleetconfig.Group) *group {
	ctx, cancel := context.WithCancel(d.ctx)
	g := &group{
		d: d, cfg: cfg, stop: cancel,
		inputs: ring.New[promotion.Input](driverInputs),
		names:  make(map[string]promotion.Server),
	}
	var servers []promotion.Server
	for _, s := range cfg.Servers {
		ps := promotion.Server{Name: s.Name, Address: s.Address, Domain: s.Domain}
		servers = append(servers, ps)
		g.names[s.Name] = ps
	}
	g.target = target.NewGroup(target.Config{
		Group: cfg,
		Credentials: link.Credentials{
			User: d.settings.Target.User, Password: string(d.settings.Target.Password),
			Database: cfg.Service, Client: d.settings.VM.Name, Dial: d.dial,
			KeepBroken: d.experiment.Without.LinkClosing,
		},
		LocalDomain:    d.settings.VM.Domain,
		ProbeInterval:  d.settings.Timings.ProbeInterval,
		AnswerTimeout:  d.settings.Timings.Suspicion,
		ConnectTimeout: connectTimeout,
		Links:          d.linkBudget,
		Queue:          d.queue,
		Clock:          d.now,
		OnStatus:       g.onStatus,
		OnFail:         g.onFail,
	})
	timing := promotion.DefaultTiming
	timing.ProbeInterval = d.settings.Timings.ProbeInterval
	timing.SuspectAfter = d.settings.Timings.Suspicion
	g.driver = promotion.NewCoordinator(promotion.Config{
		Group: cfg.Name, VM: d.settings.VM.Name, Domain: d.settings.VM.Domain,
		CoordinatorID: d.self.Name + "/" + d.self.Incarnation, Servers: servers, Timing: timing,
		Rand: rand.New(rand.NewPCG(uint64(d.seed), xxhash.Sum64String(cfg.Name))),
	})
	d.duties.Go(func() { g.target.Run(ctx) })
	d.duties.Go(func() { g.run(ctx) })
	return g
}

func (g *group) onStatus(server string, _ time.Duration, a target.Answer) {
	st, err := toPromotion(server, a.Status)
	if err != nil {
		return
	}
	g.inputs.Offer(promotion.StatusResponse{Server: server, Status: st})
}

func (g *group) onFail(server string, err error) {
	g.inputs.Offer(promotion.ProbeFailed{Server: server, Reason: err.Error()})
}

func toPromotion(server string, s routing.Status) (promotion.Status, error) {
	role, err := promotion.ParseRole(string(s.Role))
	if err != nil {
		return promotion.Status{}, fmt.Errorf("status of %s: %w", server, err)
	}
	return promotion.Status{
		Server: server, Role: role, Promised: s.PromisedTerm, LogEnd: s.LogEnd, Applied: s.Applied,
		Active: s.Active, Primary: s.Primary,
	}, nil
}

// run drives the group's driver until ctx ends.
func (g *group) run(ctx context.Context) {
	tick := time.NewTicker(driverTick)
	defer tick.Stop()
	var lastPeers time.Duration = -peersEvery
	for {
		if now := g.d.now(); now-lastPeers >= peersEvery {
			lastPeers = now
			g.step(ctx, g.peers())
			g.step(ctx, g.d.zones.placement())
		}
		select {
		case <-ctx.Done():
			return
		case in := <-g.inputs.C():
			g.step(ctx, in)
		case <-tick.C:
			g.step(ctx, promotion.Tick{})
		}
	}
}

func (g *group) peers() promotion.LiveVMs {
	var live []promotion.VM
	for _, v := range g.d.members.live() {
		live = append(live, promotion.VM{Name: v.Name, Domain: v.Domain})
	}
	return promotion.LiveVMs{Live: live}
}

func (g *group) step(ctx context.Context, in promotion.Input) {
	for _, a := range g.driver.Step(g.d.now(), in) {
		g.perform(ctx, a)
	}
}

// perform carries out an action of the driver. Probes need no action, because the monitors of the
// group query every server regularly and pass the answers on.
func (g *group) perform(ctx context.Context, a promotion.Action) {
	switch a := a.(type) {
	case promotion.ControlRequest:
		go g.send(ctx, a)
	case promotion.Publish:
		go g.publish(ctx, a.Outcome)
	case promotion.SuspicionReport:
		g.report(ctx, a)
	case promotion.PauseWrites:
		g.target.HoldWrites(a.On)
	case promotion.StateChange:
		g.d.log.Info(a.Change, "group", g.cfg.Name, "term", a.Term, "server", a.Server,
			"cause", a.Cause, "evidence", a.Evidence)
	}
}

func statement(a promotion.ControlRequest) string {
	switch a.Op {
	case promotion.Fence:
		return fmt.Sprintf("SELECT group_fence(%d, '%s')", a.Term, a.CoordinatorID)
	case promotion.Promote:
		return fmt.Sprintf("SELECT group_promote(%d, '%s')", a.Term, a.CoordinatorID)
	default:
		return fmt.Sprintf("SELECT group_follow(%d, '%s')", a.Term, a.Primary)
	}
}

func (g *group) send(ctx context.Context, a promotion.ControlRequest) {
	callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := g.target.Control(callCtx, a.Server, statement(a))
	if err == nil {
		var st promotion.Status
		if st, err = toPromotion(a.Server, answer.Status); err == nil {
			g.offer(ctx, promotion.ControlResponse{Server: a.Server, Op: a.Op, Term: a.Term, Granted: answer.Granted, Status: st})
			return
		}
	}
	g.offer(ctx, promotion.ControlFailed{Server: a.Server, Op: a.Op, Term: a.Term, Reason: err.Error()})
}

// offer passes the result of a control statement to the driver. Unlike a status it is not repeated,
// so a full ring is waited for.
func (g *group) offer(ctx context.Context, in promotion.Input) {
	for !g.inputs.Offer(in) && ctx.Err() == nil {
		sleep.For(ctx, time.Millisecond)
	}
}

func (g *group) report(ctx context.Context, r promotion.SuspicionReport) {
	server, _, _ := g.driver.Primary()
	var actions []machine.Action
	g.d.members.with(func(s *machine.Members) {
		actions = s.Report(g.d.now(), machine.Report{
			Server: server.Name, Group: g.cfg.Name, Suspected: r.Suspected, Reason: r.Reason, Term: r.Term,
		}, nil)
	})
	g.d.members.perform(ctx, actions)
}

// published is the value of an object groups/GROUP.
type published struct {
	Term     uint64 `json:"term"`
	Primary  string `json:"primary"`
	Address  string `json:"address"`
	Driver   string `json:"driver"`
	Cause    string `json:"cause"`
	Evidence string `json:"evidence"`
}

// publish writes the outcome of a promotion to the platform. An outcome of a later term stays.
func (g *group) publish(ctx context.Context, o promotion.Outcome) {
	g.d.audit.Record(audit.Record{
		Who: o.CoordinatorID, What: "primary changed", Object: catalog.PrefixGroups + o.Group, ToRevision: o.Term,
		Cause: o.Cause, Evidence: fmt.Sprintf("primary %s at %s; %s", o.Primary, o.LogEnd, o.Evidence),
	})
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	next := published{Term: o.Term, Primary: o.Primary, Address: o.Address, Driver: o.CoordinatorID, Cause: o.Cause, Evidence: o.Evidence}
	_, err := platform.Update(ctx, g.d.store, catalog.PrefixGroups+o.Group, func(old []byte) ([]byte, error) {
		var known published
		if err := json.Unmarshal(old, &known); len(old) > 0 && err == nil && known.Term >= o.Term {
			return old, nil
		}
		return json.Marshal(next)
	})
	if err != nil {
		g.d.counters.platformFailures.Inc(1)
	}
}
