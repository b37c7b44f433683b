package entryvm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/entry"
	"siskinrouter/internal/netopt"
	"siskinrouter/internal/peer"
)

const (
	// sweepInterval is the time between two looks at resting sessions.
	sweepInterval = 250 * time.Millisecond
	// drainShare is the part of the grace period after which open transactions are cut off, with a margin.
	drainShare = 0.8
	// deregisterTimeout bounds the removal of the VM's record when it leaves.
	deregisterTimeout = 300 * time.Millisecond
	// endingPatience bounds the wait for transactions that other VMs run here when this VM leaves.
	endingPatience = time.Second
)

// Daemon is one run of an entry VM.
type Daemon struct {
	settings  atomic.Pointer[Settings]
	platform  Dependencies
	log       *log.Logger
	registry  metrics.Registry
	self      directory.VM
	start     time.Time
	directory *directory.Directory
	peers     *peer.Peers
	owners    *owners
	quotas    *quotas
	router    *router
	callers   *entry.Server
	metrics   *broker.Metrics
	leaving   atomic.Bool
	beatAt    atomic.Int64                      // when an owner was heard last, on the daemon's clock
	confirmed [directory.KindCount]atomic.Int64 // when the state of each kind was confirmed, on the daemon's clock
	newsMu    sync.Mutex
	wanted    [directory.KindCount]wanted
}

// New returns a daemon that does not serve yet.
func New(s Settings, p Dependencies, logger *log.Logger, registry metrics.Registry) *Daemon {
	d := &Daemon{
		platform: p, log: logger, registry: registry, start: time.Now(),
		self: directory.VM{
			Name: s.Name, Incarnation: rand.Uint64(), Address: s.PeerAddress, Domain: s.Domain, Cores: s.Cores,
		},
		directory: directory.New(), metrics: broker.NewMetrics(registry),
	}
	d.settings.Store(&s)
	d.owners = newOwners(d)
	d.quotas = newQuotas(d)
	d.peers = peer.New(&handler{d}, logger, peer.NewMetrics(registry))
	d.router = &router{d: d, missing: missing{}}
	d.callers = entry.NewServer(entry.Config{
		Router: d.router, NewConn: p.NewConn, Log: logger, Registry: registry, MaxSessions: s.maxSessions(),
	})
	d.directory.OnChange(d.changed)
	return d
}

// clock returns the steady time since the daemon was created.
func (d *Daemon) clock() time.Duration { return time.Since(d.start) }

// bootClock returns the time since the machine started, which also counts suspended time.
func (d *Daemon) bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux kernel that Go supports.
		panic(fmt.Sprintf("boot clock: %v", err))
	}
	return time.Duration(ts.Nano())
}

func (d *Daemon) brokerConfig(service string) broker.Config {
	return broker.Config{
		Service: service, Dialer: d.platform.Dialer, Lease: d.owners, RateLimiter: d.quotas, Log: d.log, Metrics: d.metrics,
		Clock: d.clock,
	}
}

// changed puts news into force.
func (d *Daemon) changed(old, next *directory.View) {
	if old.Configuration != next.Configuration {
		d.log.Info("configuration in force", "version", next.Configuration.Version,
			"revision", next.Revisions[directory.Configurations], "routes", len(next.Configuration.Routes))
		d.callers.RecheckIdle()
	}
	if len(old.Withdrawn) != len(next.Withdrawn) {
		d.log.Info("failure domains withdrawn", "domains", next.Withdrawn, "revision", next.Revisions[directory.Withdrawals])
	}
	for _, k := range []directory.Kind{directory.Configurations, directory.Withdrawals} {
		if old.LastChanges[k] != next.LastChanges[k] && d.rechecks() {
			d.owners.advertise.Store(true)
		}
	}
	d.owners.apply(next, old.ServingVersion != next.ServingVersion)
}

// Run serves until ctx ends and then drains.
func (d *Daemon) Run(ctx context.Context) error {
	settings := d.settings.Load()
	peerLn, err := listen(settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for other VMs: %w", err)
	}
	callerLn, err := listen(settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	probeLn, err := listen(settings.ReadinessAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness probes: %w", err)
	}
	d.log.Info("starting", "vm", d.self.Name, "incarnation", d.self.Incarnation, "domain", d.self.Domain,
		"callers", settings.CallerAddress, "peers", settings.PeerAddress, "cores", d.self.Cores)
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	var g run.Group
	g.Add(func() error { return d.untilDrained(ctx, duties) }, func(error) { stop() })
	g.Add(func() error { return d.callers.Serve(callerLn) }, func(error) { _ = callerLn.Close() })
	g.Add(func() error { return d.peers.Serve(peerLn) }, func(error) { _ = peerLn.Close() })
	g.Add(func() error { return d.platform.ServeReady(probeLn, d.router.ready) }, func(error) { _ = probeLn.Close() })
	if settings.MetricsAddress != "" {
		d.addMetrics(&g, settings.MetricsAddress)
	}
	for k := range directory.KindCount {
		d.addDuty(&g, duties, stop, func(ctx context.Context) error { return d.follow(ctx, k) })
	}
	for _, k := range []directory.Kind{directory.Configurations, directory.Servers, directory.Withdrawals} {
		d.addDuty(&g, duties, stop, func(ctx context.Context) error { return d.recheckStore(ctx, k) })
	}
	for _, duty := range []func(context.Context) error{
		d.register, d.owners.run, d.owners.confirm, d.sweep, d.joinSeeds, d.reloadSettings,
	} {
		d.addDuty(&g, duties, stop, duty)
	}
	err = g.Run()
	d.peers.Close()
	d.log.Info("stopped", "reason", err)
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

func (d *Daemon) addDuty(g *run.Group, ctx context.Context, stop func(), duty func(context.Context) error) {
	g.Add(func() error { return duty(ctx) }, func(error) { stop() })
}

func (d *Daemon) addMetrics(g *run.Group, address string) {
	ln, err := listen(address)
	if err != nil {
		d.log.Warn("metrics are not served", "address", address, "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(d.registry, w) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	g.Add(func() error { return server.Serve(ln) }, func(error) { _ = server.Close() })
}

func listen(address string) (net.Listener, error) {
	return netopt.ListenConfig().Listen(context.Background(), "tcp", address)
}

// errDrained is how the drain ends the other duties.
var errDrained = errors.New("drained")

// untilDrained waits for the end of ctx, hands the services over and lets the sessions end.
func (d *Daemon) untilDrained(ctx, duties context.Context) error {
	select {
	case <-ctx.Done():
	case <-duties.Done():
		return nil
	}
	grace := d.settings.Load().GracePeriod
	d.log.Info("draining", "sessions", d.callers.Sessions(), "grace", grace)
	d.leaving.Store(true)
	handOver, cancel := context.WithTimeout(context.Background(), grace/2)
	go func() {
		defer cancel()
		d.owners.handOver(handOver)
	}()
	patience := time.Duration(drainShare * float64(grace))
	cut := d.callers.Drain(patience)
	end := time.Now().Add(min(endingPatience, grace-patience))
	for time.Now().Before(end) && d.owning() {
		time.Sleep(lookInterval / 4)
	}
	d.deregister()
	d.log.Info("drained", "cut", cut)
	return errDrained
}

// deregister removes the record of this VM, whose promises no longer count then.
func (d *Daemon) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := d.platform.Store.DeleteVM(ctx, d.self.Name); err != nil {
		d.log.Warn("VM not deregistered", "error", err)
	}
}

// owning reports whether services of this VM still serve or have open transactions.
func (d *Daemon) owning() bool {
	for _, b := range d.owners.all() {
		if b.ActiveStreams() > 0 {
			return true
		}
	}
	return d.owners.any()
}

// sweep looks at resting sessions and at entries that have expired.
func (d *Daemon) sweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.directory.Expire(d.clock())
			d.router.look()
		}
	}
}
