package entryvm

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	"siskinrouter/internal/limits"
	"siskinrouter/internal/netopt"
	"siskinrouter/internal/peer"
)

const (
	// sweepInterval is the time between two checks for idle sessions and expired entries.
	sweepInterval = 250 * time.Millisecond
	// drainShare is the fraction of the grace period after which open transactions are aborted. Statements run on until
	// exitReserve before its end, at least for half of it.
	drainShare  = 0.8
	exitReserve = 500 * time.Millisecond
	// deregisterTimeout bounds the removal of the VM's record at shutdown, lastAnswersTimeout the writing of the answers to
	// statements that no longer wait for a server.
	deregisterTimeout  = 300 * time.Millisecond
	lastAnswersTimeout = 150 * time.Millisecond
	// metricsTimeout bounds each step of a request for metrics, maxHeaderBytes its headers.
	metricsTimeout = 10 * time.Second
	maxHeaderBytes = 8 << 10
)

// Daemon is one run of an entry VM.
type Daemon struct {
	settings  atomic.Pointer[Settings]
	deps      Dependencies
	log       *log.Logger
	registry  metrics.Registry
	self      directory.VM
	start     time.Time
	directory *directory.Directory
	peers     *peer.Peers
	ownership *ownership
	members   *members
	// replicaReaders serves reads at the replicas of this VM's failure domain.
	replicaReaders *replicaReaders
	rateLimiter    *rateLimiter
	usage          *usageReports // nil if usage is not reported
	router         *router
	callers        *entry.Server
	refusedRuns    metrics.Counter // statements of other VMs that were refused for lack of memory
	metrics        *broker.Metrics
	era            metrics.Gauge // of the store
	leaving        atomic.Bool
	registered     chan struct{}                     // closed when the store has the record of this VM
	cutOff         chan struct{}                     // closed when the statements in hand no longer wait for servers
	lastRenewalAt  atomic.Int64                      // last renewal received from any owner, on the daemon's clock
	confirmed      [directory.KindCount]atomic.Int64 // when each kind last matched the store, on the daemon's clock
	pendingMu      sync.Mutex
	pending        [directory.KindCount]pendingChanges
}

// New returns a daemon that does not serve yet.
func New(s Settings, deps Dependencies, logger *log.Logger, registry metrics.Registry) *Daemon {
	s = s.WithDefaults()
	d := &Daemon{
		deps: deps, log: logger, registry: registry, start: time.Now(),
		self: directory.VM{
			Name: s.Name, Incarnation: rand.Uint64(), Address: s.PeerAddress, Domain: s.Domain, Cores: s.Cores,
		},
		cutOff: make(chan struct{}), registered: make(chan struct{}),
		directory: directory.New(), metrics: broker.NewMetrics(registry), era: metrics.GetOrRegisterGauge("store.era", registry),
	}
	d.settings.Store(&s)
	d.ownership = newOwnership(d)
	d.members = newMembers(d)
	d.replicaReaders = newReplicaReaders(d)
	d.rateLimiter = newRateLimiter(d)
	d.usage = newUsageReports(d, s.Usage)
	d.peers = peer.New(&handler{d}, logger, peer.NewMetrics(registry))
	d.peers.Budget = deps.Budget
	d.refusedRuns = metrics.GetOrRegisterCounter("limits.refused_from_vms", registry)
	d.router = &router{d: d, unreachable: unreachableOwners{},
		readers:     readerHealth{skipUntil: map[string]time.Duration{}},
		nearReads:   metrics.GetOrRegisterCounter("reads.near", registry),
		leftReads:   metrics.GetOrRegisterCounter("reads.left", registry),
		regionReads: metrics.GetOrRegisterCounter("reads.region", registry)}
	d.callers = entry.NewServer(entry.Config{
		Router: d.router, NewConn: deps.NewConn, Log: logger, Registry: registry,
		MaxSessions: s.Callers.Sessions, MaxUnstarted: s.Callers.Unstarted, Budget: deps.Budget,
		StartupTimeout: s.Callers.StartupTimeout, MessageTimeout: s.Callers.MessageTimeout, AnswerTimeout: s.Callers.AnswerTimeout,
	})
	for name, value := range map[string]func(limits.Stats) int64{
		"limits.bytes":       func(s limits.Stats) int64 { return s.Used },
		"limits.state_bytes": func(s limits.Stats) int64 { return s.State },
		"limits.refused":     func(s limits.Stats) int64 { return s.Refused },
	} {
		_ = registry.Register(name, metrics.NewFunctionalGauge(func() int64 { return value(deps.Budget.Stats()) }))
	}
	d.directory.OnChange(d.viewChanged)
	return d
}

// clock returns the monotonic time since the daemon was created.
func (d *Daemon) clock() time.Duration { return time.Since(d.start) }

// bootClock returns the time since the machine booted, including time spent suspended.
func (d *Daemon) bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux kernel that Go supports.
		panic(fmt.Sprintf("boot clock: %v", err))
	}
	return time.Duration(ts.Nano())
}

// brokerConfig returns the configuration of a broker without its lease.
func (d *Daemon) brokerConfig(service string) broker.Config {
	c := broker.Config{
		Service: service, Dialer: d.deps.Dialer, RateLimiter: d.rateLimiter,
		Log: d.log, Metrics: d.metrics, Clock: d.clock, LeaseClock: d.bootClock, Domain: d.self.Domain,
		Regions: d.settings.Load().Regions,
	}
	if d.usage != nil {
		c.Usage = d.usage
	}
	return c
}

// viewChanged applies a new directory view.
func (d *Daemon) viewChanged(old, next *directory.View) {
	if old.Configuration != next.Configuration {
		d.log.Info("configuration applied", "version", next.Configuration.Version,
			"revision", next.Revisions[directory.Configurations], "routes", len(next.Configuration.Routes))
		d.callers.RecheckIdle()
	}
	if old.Era != next.Era {
		d.log.Info("era of the store", "era", next.Era, "before", old.Era)
		d.era.Update(int64(next.Era))
	}
	if len(old.Withdrawn) != len(next.Withdrawn) {
		d.log.Info("failure domains withdrawn", "domains", next.Withdrawn, "revision", next.Revisions[directory.Withdrawals])
	}
	for _, k := range []directory.Kind{directory.Configurations, directory.Withdrawals} {
		if old.LastChanges[k] != next.LastChanges[k] && d.relists() {
			d.ownership.broadcast.Store(true)
		}
	}
	if !maps.Equal(old.VMs, next.VMs) {
		d.members.vmsChanged(old, next)
	}
	if old.Voters.Number != next.Voters.Number {
		d.members.votersChanged(next.Voters)
		d.ownership.changeVoters(old.Voters.Configuration)
	}
	serving := old.ServingVersion != next.ServingVersion || !old.SameDomains(next)
	d.ownership.applyRecords(next, serving)
	d.replicaReaders.applyView(next, serving)
	if len(old.OwnerRecords) == 0 && len(next.OwnerRecords) > 0 {
		d.ownership.announce(next)
	}
}

// allBrokers returns the brokers of this VM's services, current and ended, and of the replicas that it serves.
func (d *Daemon) allBrokers() []*broker.Broker {
	return append(d.ownership.ownedBrokers(), d.replicaReaders.brokers()...)
}

// Run serves until ctx is done and then drains.
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
		"callers", settings.CallerAddress, "peers", settings.PeerAddress, "cores", d.self.Cores,
		"region", settings.Regions[d.self.Domain])
	tasks, stop := context.WithCancel(context.Background())
	defer stop()
	var g run.Group
	g.Add(func() error { return d.drainOnDone(ctx, tasks) }, func(error) { stop() })
	g.Add(func() error { return d.callers.Serve(callerLn) }, func(error) { _ = callerLn.Close() })
	g.Add(func() error { return d.peers.Serve(peerLn) }, func(error) { _ = peerLn.Close() })
	probeLn = netopt.Limit(probeLn, settings.Callers.Probes)
	g.Add(func() error { return d.deps.ServeReady(probeLn, d.router.ready) }, func(error) { _ = probeLn.Close() })
	if settings.MetricsAddress != "" {
		d.addMetrics(&g, settings.MetricsAddress)
	}
	for k := range directory.KindCount {
		d.addTask(&g, tasks, stop, func(ctx context.Context) error { return d.followStore(ctx, k) })
	}
	for _, k := range []directory.Kind{directory.Configurations, directory.Servers, directory.Withdrawals} {
		d.addTask(&g, tasks, stop, func(ctx context.Context) error { return d.relistStale(ctx, k) })
	}
	for _, task := range []func(context.Context) error{
		d.register, d.ownership.run, d.members.run, d.ownership.extendByReads, d.sweep, d.dialSeeds, d.reloadSettings,
		d.replicaReaders.run, d.usage.run,
	} {
		d.addTask(&g, tasks, stop, task)
	}
	err = g.Run()
	d.peers.Close()
	d.log.Info("stopped", "reason", err)
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

func (d *Daemon) addTask(g *run.Group, ctx context.Context, stop func(), task func(context.Context) error) {
	g.Add(func() error { return task(ctx) }, func(error) { stop() })
}

func (d *Daemon) addMetrics(g *run.Group, address string) {
	ln, err := listen(address)
	if err != nil {
		d.log.Warn("metrics endpoint not started", "address", address, "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(d.registry, w) })
	mux.HandleFunc("GET /members", d.members.serveList)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: metricsTimeout,
		WriteTimeout: metricsTimeout, IdleTimeout: metricsTimeout, MaxHeaderBytes: maxHeaderBytes}
	ln = netopt.Limit(ln, d.settings.Load().Callers.Probes)
	g.Add(func() error { return server.Serve(ln) }, func(error) { _ = server.Close() })
}

func listen(address string) (net.Listener, error) {
	return netopt.ListenConfig().Listen(context.Background(), "tcp", address)
}

// errDrained stops the run group once the daemon has drained.
var errDrained = errors.New("drained")

// drainOnDone waits for ctx, hands over the services and waits for the sessions to end.
func (d *Daemon) drainOnDone(ctx, tasks context.Context) error {
	select {
	case <-ctx.Done():
	case <-tasks.Done():
		return nil
	}
	grace := d.settings.Load().GracePeriod
	d.log.Info("draining", "sessions", d.callers.Sessions(), "grace", grace)
	d.leaving.Store(true)
	began := time.Now()
	transactions, statements := drainTimes(grace)
	handOver, cancel := context.WithTimeout(context.Background(), transactions)
	go func() {
		defer cancel()
		d.ownership.handOverAll(handOver, grace/2)
	}()
	left := d.callers.Drain(transactions, statements)
	for time.Since(began) < statements && d.stillServing(time.Since(began) < transactions) {
		time.Sleep(checkInterval / 4)
	}
	var handedOver sync.WaitGroup
	handedOver.Go(d.usage.handOver) // beside the store call, so that the grace period suffices for both
	d.deregister()
	handedOver.Wait()
	close(d.cutOff)
	d.peers.Close()
	cut := d.callers.AwaitAnswers(lastAnswersTimeout)
	d.log.Info("drained", "took", time.Since(began), "sessions_left", left, "answers_cut", cut)
	return errDrained
}

// drainTimes returns for how long the transactions and the statements in hand may go on after SIGTERM.
func drainTimes(grace time.Duration) (transactions, statements time.Duration) {
	statements = max(grace-exitReserve, grace/2)
	return min(time.Duration(drainShare*float64(grace)), statements), statements
}

// deregister removes the record of this VM, which no longer votes from here on.
func (d *Daemon) deregister() {
	d.members.retire()
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := d.deps.Store.DeleteVM(ctx, d.self.Name); err != nil {
		d.log.Warn("VM not deregistered", "error", err)
	}
}

// stillServing reports whether this VM runs statements for other VMs or, while transactions may go on, has open transactions
// or owns services.
func (d *Daemon) stillServing(transactions bool) bool {
	for _, b := range d.allBrokers() {
		if b.RunningStatements() > 0 || transactions && b.ActiveStreams() > 0 {
			return true
		}
	}
	return transactions && d.ownership.any()
}

// sweep periodically checks for idle sessions and expired directory entries.
func (d *Daemon) sweep(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			d.directory.Expire(d.clock())
			d.router.checkOwners()
		}
	}
}
