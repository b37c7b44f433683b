// Package daemon runs an entry VM: it joins the decision packages to sockets, one goroutine per duty.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/audit"
	"siskinrouter/internal/fleet"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/proxy"
	"siskinrouter/internal/retry"
	"siskinrouter/internal/session"
	"siskinrouter/internal/settings"
	"siskinrouter/internal/sleep"
	"siskinrouter/internal/verdict"
)

const (
	auditBuffer      = 1024 // records buffered while the platform is down
	explanationCount = 4096 // requests whose explanation is kept
	confirmTimeout   = 5 * time.Second
	writeTimeout     = 30 * time.Second // a caller that does not read is disconnected
	closeGrace       = 2 * time.Second  // for transactions of callers whose access ended
	registerEvery    = time.Second      // heartbeat to the platform stand-in
	sweepEvery       = 500 * time.Millisecond
)

// Options are what a daemon needs besides its settings.
type Options struct {
	Settings *settings.Settings
	Store    platform.Store
	Log      *log.Logger
	Seeds    []string // addresses of other VMs, for a start while the platform is down
	// Dial opens connections to targets and other VMs; nil for the default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// CallerListener and FleetListener replace the configured addresses if they are set.
	CallerListener, FleetListener net.Listener
	// Register is called regularly with the VM's entry for the list of the platform stand-in.
	// A real platform knows its VMs; then it is nil.
	Register func(context.Context, platform.VM) error
	// Experiment replaces policies for measurements.
	Experiment Experiment
}

// Daemon is one entry VM.
type Daemon struct {
	settings   *settings.Settings
	store      platform.Store
	log        *log.Logger
	register   func(context.Context, platform.VM) error
	dial       func(ctx context.Context, network, address string) (net.Conn, error)
	callerLn   net.Listener
	fleetLn    net.Listener
	start      time.Time
	seed       int64
	experiment Experiment
	self       machine.VM
	ctx        context.Context
	cancel     context.CancelFunc
	duties     sync.WaitGroup

	config       *config
	members      *members
	groups       *groups
	zones        *zones
	rates        *rates
	callers      *proxy.Server
	peers        *fleet.ClientPool
	audit        *audit.Recorder
	explanations *audit.Explanations
	registry     metrics.Registry
	counters     counters
	requestIDs   atomic.Uint64
	leaving      atomic.Bool

	retryMu sync.Mutex
	retries *retry.Budget
}

// counters of the duties.
type counters struct {
	callsSkipped, pushFailures, platformFailures metrics.Counter
}

// New returns a daemon that starts with Run.
func New(o Options) (*Daemon, error) {
	d := &Daemon{
		settings: o.Settings, store: o.Store, log: o.Log, register: o.Register,
		dial: o.Dial, callerLn: o.CallerListener, fleetLn: o.FleetListener,
		start: time.Now(), seed: time.Now().UnixNano(), experiment: o.Experiment,
		registry: metrics.NewRegistry(), retries: retry.NewBudget(retry.DefaultBurst),
		explanations: audit.NewExplanations(explanationCount),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.counters = counters{
		callsSkipped:     metrics.GetOrRegisterCounter("fleet.calls_skipped", d.registry),
		pushFailures:     metrics.GetOrRegisterCounter("fleet.push_failures", d.registry),
		platformFailures: metrics.GetOrRegisterCounter("platform.failures", d.registry),
	}
	d.self = machine.VM{
		Name: o.Settings.VM.Name, Incarnation: strconv.FormatInt(time.Now().UnixNano(), 10),
		Domain: o.Settings.VM.Domain, Address: o.Settings.Fleet.Advertise,
	}
	options, err := d.fleetOptions()
	if err != nil {
		return nil, err
	}
	if d.peers, err = fleet.NewClientPool(options); err != nil {
		return nil, fmt.Errorf("fleet clients: %w", err)
	}
	d.config = newConfig(o.Log)
	d.config.changed = d.onChange
	d.members = newMembers(d, d.self, o.Seeds, rand.New(rand.NewPCG(uint64(d.seed), 0)))
	d.groups = newGroups(d)
	d.zones = newZones(d)
	d.rates = newRates(d, d.self, d.seed)
	d.audit = audit.NewRecorder(audit.NewLog(o.Store, audit.DefaultRecords), d.self.Name, auditBuffer)
	callerTLS, err := loadTLS(o.Settings.Callers.TLSCertFile, o.Settings.Callers.TLSKeyFile)
	if err != nil {
		return nil, err
	}
	d.callers = proxy.NewServer(d.proxyConfig(callerTLS))
	return d, nil
}

func (d *Daemon) proxyConfig(callerTLS *tls.Config) proxy.Config {
	limits := d.settings.Limits
	return proxy.Config{
		Policy: &policy{d}, Sealer: session.NewSealer([]byte(d.settings.Fleet.Key)),
		Metrics: proxy.NewMetrics(d.registry), Log: d.log, TLS: callerTLS,
		MaxConnections: limits.MaxConnections, MaxMessage: limits.MaxMessageBytes, MaxBatch: limits.MaxMessageBytes,
		LoginTimeout: limits.LoginTimeout, RequestTimeout: limits.StatementTimeout,
		ConfirmTimeout: confirmTimeout, WriteTimeout: writeTimeout, CloseGrace: closeGrace,
		Clock: d.now, ForwardCancel: d.forwardCancel, Without: d.experiment.Without.Proxy,
	}
}

// now returns the monotonic time since the daemon was created.
func (d *Daemon) now() time.Duration { return time.Since(d.start) }

// Run serves until ctx ends, then drains: callers finish their transactions and leave.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(); err != nil {
		return err
	}
	adminListener, err := d.listenAdmin()
	if err != nil {
		return err
	}
	d.log.Info("serving", "vm", d.self.Name, "domain", d.self.Domain, "callers", d.callerLn.Addr().String(),
		"fleet", d.fleetLn.Addr().String())
	var g run.Group
	g.Add(func() error { return d.untilDrained(ctx) }, func(error) { d.cancel() })
	g.Add(func() error {
		d.awaitReady()
		return d.callers.Serve(d.callerLn)
	}, func(error) { _ = d.callerLn.Close() })
	d.addFleet(&g, d.fleetLn)
	if adminListener != nil {
		admin := d.newAdminServer()
		g.Add(func() error { return admin.Serve(adminListener) }, func(error) { _ = admin.Close() })
	}
	for _, duty := range []func(context.Context) error{
		d.members.run, d.zones.run, d.rates.run, d.runOwners, d.audit.Run, d.runRegister, d.runSweep, d.runBudgets,
	} {
		g.Add(func() error { return duty(d.ctx) }, func(error) { d.cancel() })
	}
	err = g.Run()
	d.duties.Wait()
	d.peers.Close()
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// listen opens the listeners that were not passed in.
func (d *Daemon) listen() (err error) {
	if d.callerLn == nil {
		if d.callerLn, err = net.Listen("tcp", d.settings.Callers.Listen); err != nil {
			return fmt.Errorf("listen for callers: %w", err)
		}
	}
	if d.fleetLn == nil {
		if d.fleetLn, err = net.Listen("tcp", d.settings.Fleet.Listen); err != nil {
			return fmt.Errorf("listen for other VMs: %w", err)
		}
	}
	return nil
}

// errDrained is how the drain ends the other duties.
var errDrained = errors.New("drained")

// untilDrained waits for the end of ctx and then lets the callers finish.
func (d *Daemon) untilDrained(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-d.ctx.Done():
		return nil
	}
	d.log.Info("draining", "timeout", d.settings.Timings.DrainTimeout)
	d.leaving.Store(true)
	d.members.with(func(s *machine.Members) { s.Leave() })
	d.registerNow(platform.VMLeaving)
	d.handOver()
	drainCtx, cancel := context.WithTimeout(context.Background(), d.settings.Timings.DrainTimeout)
	defer cancel()
	cut := d.callers.Drain(drainCtx, verdict.Errorf(verdict.NotRun, verdict.StateAdminShutdown,
		"this VM is shutting down; connect again to reach another VM"))
	d.log.Info("drained", "callers_cut", cut)
	return errDrained
}

func (d *Daemon) addFleet(g *run.Group, ln net.Listener) {
	options, err := d.fleetOptions()
	if err != nil {
		g.Add(func() error { return err }, func(error) {})
		return
	}
	server, err := fleet.NewServer(&handler{d}, options)
	if err != nil {
		g.Add(func() error { return err }, func(error) {})
		return
	}
	g.Add(func() error { return fleet.Serve(server, ln) }, func(error) { _ = server.Close() })
}

// fleetOptions returns the key and, if configured, mutual TLS for the calls between VMs.
func (d *Daemon) fleetOptions() (fleet.Options, error) {
	f := d.settings.Fleet
	tlsConfig, err := loadTLS(f.TLSCertFile, f.TLSKeyFile)
	if err != nil {
		return fleet.Options{}, err
	}
	if tlsConfig != nil && f.TLSCAFile != "" {
		if err := addAuthorities(tlsConfig, f.TLSCAFile); err != nil {
			return fleet.Options{}, err
		}
	}
	return fleet.Options{Key: []byte(f.Key), TLS: tlsConfig, Dial: d.dial}, nil
}

// onChange puts a changed configuration into force.
func (d *Daemon) onChange(names []string, s *snapshot) {
	for _, name := range names {
		o, ok := d.config.get(name)
		if !ok {
			continue
		}
		d.log.Info("configuration in force", "object", name, "version", o.Version)
	}
	d.rates.setWorkspaces(s.contract)
	d.rates.setAllOwners(s.contract)
	d.groups.update(s.contract)
	d.zones.apply(s)
	d.sweep()
}

// sweep ends the callers whose access ended.
func (d *Daemon) sweep() { go d.callers.Sweep() }

// runSweep repeats the check of connected callers, for access that ends by time.
func (d *Daemon) runSweep(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.For(ctx, sweepEvery)
		d.callers.Sweep()
	}
	return nil
}

// runRegister renews the VM's entry in the list of the platform stand-in.
func (d *Daemon) runRegister(ctx context.Context) error {
	for ctx.Err() == nil {
		state := platform.VMLive
		if d.leaving.Load() {
			state = platform.VMLeaving
		}
		d.registerNow(state)
		sleep.For(ctx, registerEvery)
	}
	return nil
}

func (d *Daemon) registerNow(state platform.VMState) {
	if d.register == nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, registerEvery)
	defer cancel()
	err := d.register(ctx, platform.VM{
		Name: d.self.Name, Incarnation: d.self.Incarnation, Domain: d.self.Domain, Address: d.self.Address, State: state,
	})
	if err != nil {
		d.counters.platformFailures.Inc(1)
	}
}

// linkBudget returns how many links this VM may open to a server: an equal part of the server's
// connections after one control connection for each VM.
func (d *Daemon) linkBudget(s fleetconfig.Server) int {
	vms := max(len(d.members.live()), 1)
	return max((s.Connections-vms)/vms, 1)
}

// runBudgets adapts the link budgets to the number of VMs.
func (d *Daemon) runBudgets(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, g := range d.groups.list() {
			for _, s := range g.cfg.Servers {
				g.target.Pool(s.Name).SetLimit(d.linkBudget(s))
			}
		}
		sleep.For(ctx, time.Second)
	}
	return nil
}

// fresh reports whether the configuration was confirmed recently enough.
func (d *Daemon) fresh() (ok bool) {
	d.members.with(func(s *machine.Members) {
		age, known := s.FreshAge(d.now())
		ok = known && age <= d.settings.Timings.CutOffAfter
	})
	return ok
}

// forwardCancel passes the cancel request of a caller of another VM on.
func (d *Daemon) forwardCancel(pid uint32, secret []byte) {
	for _, v := range d.members.live() {
		if v.Name == d.self.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(d.ctx, time.Second)
			defer cancel()
			// A VM that does not know the caller ignores the request.
			_ = d.peers.Client(v.Address).Cancel(ctx, uint64(pid), secret)
		}()
	}
}
