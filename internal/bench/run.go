package bench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/promotion"
)

const (
	settleTime    = 500 * time.Millisecond // between the start of the fleet and that of the load
	overrun       = 60 * time.Second       // after the load, until a run is given up
	sampleEvery   = 50 * time.Millisecond  // of the counters of the targets
	progressEvery = 5 * time.Second
	quietLimit    = 10 * time.Second // until the logs of a group are equal after a run
	steadyAfter   = 2 * time.Second  // from the start of the load until the demand counts as steady
)

// run is one run of a scenario.
type run struct {
	scenario   scenario
	duration   time.Duration
	seed       uint64
	deployment devfleet.Deployment
	fleet      *devfleet.Fleet
	load       *load
	recorder   *recorder
	base       time.Time // zero of the times of admissions
	progress   func(format string, args ...any)

	faults     []fault
	withdrawal *withdrawal
	restarted  bool

	mu     sync.Mutex
	events []Event
	roles  roleCounts
	watch  domainWatch
}

// Event is a step of a scenario.
type Event struct {
	Seconds float64 `json:"seconds"`
	Text    string  `json:"text"`
}

func (r *run) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, Event{Seconds: r.load.now().Seconds(), Text: fmt.Sprintf(format, args...)})
}

// Run runs the scenario of c as often as it says and returns the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	report := newReport(c)
	if c.Scenario == latencyScenario || c.Scenario == leaseScenario {
		return report, runBaseline(ctx, c, report)
	}
	for i := range c.Repeat {
		result, err := runOnce(ctx, c, i)
		if err != nil {
			return nil, fmt.Errorf("run %d of %d with seed %d: %w", i+1, c.Repeat, c.Seed+uint64(i), err)
		}
		report.Runs = append(report.Runs, result)
	}
	report.summarise()
	return report, nil
}

// runBaseline runs the measurements that are not scenarios of a whole deployment.
func runBaseline(ctx context.Context, c Config, report *Report) error {
	for i := range c.Repeat {
		if c.Scenario == leaseScenario {
			runLease(c.Seed+uint64(i), report)
			continue
		}
		if err := runLatency(ctx, c, report); err != nil {
			return fmt.Errorf("run %d of %d: %w", i+1, c.Repeat, err)
		}
	}
	return nil
}

func runOnce(ctx context.Context, c Config, index int) (*Result, error) {
	r, err := newRun(c, index)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.duration+overrun)
	defer cancel()
	if err := r.startFleet(ctx, c); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	if err := r.drive(ctx); err != nil {
		return nil, err
	}
	return r.result()
}

func newRun(c Config, index int) (*run, error) {
	s, err := findScenario(c.Scenario)
	if err != nil {
		return nil, err
	}
	d, err := c.deployment()
	if err != nil {
		return nil, err
	}
	r := &run{scenario: s, duration: c.Duration, seed: c.Seed + uint64(index), deployment: d}
	r.progress = func(format string, args ...any) {
		if c.Progress != nil {
			fmt.Fprintf(c.Progress, "%s %s %s run %d/%d: %s\n", c.Scenario, c.Deployment, c.Policy,
				index+1, c.Repeat, fmt.Sprintf(format, args...))
		}
	}
	if s.prepare != nil {
		s.prepare(r)
	}
	r.recorder = newRecorder(len(d.Workspaces))
	return r, nil
}

// startFleet starts the deployment with a hook on the admissions.
func (r *run) startFleet(ctx context.Context, c Config) error {
	index := make(map[string]int)
	for i, w := range r.deployment.Workspaces {
		index[w.Name] = i
	}
	r.base = time.Now()
	r.deployment.Experiment.OnAdmission = func(workspace string, from, to time.Time) {
		r.recorder.admission(index[workspace], admission{from: from.Sub(r.base), to: to.Sub(r.base), admitted: true})
	}
	var err error
	if r.fleet, err = devfleet.Start(ctx, r.deployment, c.Log); err != nil {
		return err
	}
	pause(ctx, settleTime)
	r.load = newLoad(ctx, r.fleet, r.recorder, r.scenario.factors(len(r.deployment.Workspaces)))
	return nil
}

// drive runs the load and the script at the same time.
func (r *run) drive(ctx context.Context) error {
	r.load.start = time.Now()
	r.load.connect(r.seed)
	r.load.start = time.Now()
	stop := make(chan struct{})
	var duties sync.WaitGroup
	duties.Go(func() { r.countRoles(stop) })
	duties.Go(func() { r.reportProgress(stop) })
	script := make(chan error, 1)
	go func() {
		if r.scenario.script == nil {
			script <- nil
			return
		}
		script <- r.scenario.script(r)
	}()
	r.load.run(r.duration, r.seed)
	err := <-script
	close(stop)
	duties.Wait()
	r.fleet.Platform.SetFaults(devplatform.Faults{})
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return fmt.Errorf("the run did not end within %v after the load: %w", overrun, ctx.Err())
	}
	return r.awaitQuiet()
}

func (r *run) reportProgress(stop <-chan struct{}) {
	tick := time.NewTicker(progressEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			all, good := r.recorder.progress()
			r.progress("%.0f of %.0f s, %d requests, %d answered", r.load.now().Seconds(), r.duration.Seconds(), all, good)
		}
	}
}

// errNotQuiet means that the logs of a group differ after all faults have ended.
var errNotQuiet = errors.New("the servers of a group do not agree after the run")

// awaitQuiet waits until all servers of each group hold the same log.
func (r *run) awaitQuiet() error {
	deadline := time.Now().Add(quietLimit)
	for i, g := range r.fleet.Groups {
		for !agreed(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", errNotQuiet, r.deployment.GroupName(i))
			}
			time.Sleep(sampleEvery)
		}
	}
	return nil
}

func agreed(g *devtarget.Group) bool {
	primary := g.Primary()
	if primary == nil {
		return false
	}
	held := primary.Status().LogEnd
	for _, s := range g.Servers() {
		if s.Status().LogEnd != held {
			return false
		}
	}
	return true
}

// roleCounts are the reads served by role, for each group.
type roleCounts struct {
	replica, primary []int64
}

// domainWatch looks for work of targets in a withdrawn failure domain.
type domainWatch struct {
	domain    string
	from, to  time.Duration
	last      time.Duration // time of the last work seen
	lastTotal int64
}

func (r *run) watchDomain(domain string, from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch = domainWatch{domain: domain, from: from, lastTotal: -1}
}

func (r *run) stopWatch(to time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.to = to
}

// countRoles attributes the reads of each server to its role at the time.
func (r *run) countRoles(stop <-chan struct{}) {
	groups := len(r.fleet.Groups)
	r.roles = roleCounts{replica: make([]int64, groups), primary: make([]int64, groups)}
	last := make(map[*devtarget.Server]int64)
	for _, g := range r.fleet.Groups {
		for _, s := range g.Servers() {
			last[s] = s.Counts()["GET"]
		}
	}
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		r.countOnce(last)
	}
}

func (r *run) countOnce(last map[*devtarget.Server]int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var watched int64
	for i, g := range r.fleet.Groups {
		for _, s := range g.Servers() {
			counts := s.Counts()
			reads := counts["GET"]
			if s.Status().Role == promotion.Primary {
				r.roles.primary[i] += reads - last[s]
			} else {
				r.roles.replica[i] += reads - last[s]
			}
			last[s] = reads
			if s.Domain() == r.watch.domain {
				watched += reads + counts["PUT"]
			}
		}
	}
	r.watch.note(watched, r.load.now())
}

// note records that the watched targets have done some work up to now.
func (w *domainWatch) note(total int64, now time.Duration) {
	if w.domain == "" || w.to != 0 {
		return
	}
	if w.lastTotal >= 0 && total > w.lastTotal {
		w.last = now
	}
	w.lastTotal = total
}
