package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Options of a measurement.
type Options struct {
	Runs     int
	Scale    float64 // of counts and durations; below 1 for a quick trial
	Only     string  // name of one experiment; empty for all
	Progress io.Writer
}

// experiment measures some slopes in one run.
type experiment struct {
	name string
	run  func(ctx context.Context, r *run) error
}

var experiments = []experiment{
	{"callers", measureCallers},
	{"statements", measureStatements},
	{"servers", measureServers},
	{"fleet", measureFleet},
	{"state", measureState},
	{"loans", measureLoans},
	{"text", measureText},
	{"keys", measureKeys},
	{"platform", measurePlatform},
	{"audit", measureAudit},
}

// run collects the values of one run of an experiment.
type run struct {
	scale  float64
	values map[string]float64
}

// set records a value. A difference of two noisy measurements below zero is recorded as zero.
func (r *run) set(id string, value float64) { r.values[id] = max(value, 0) }

// count returns a number of objects, scaled for quick trials.
func (r *run) count(n int) int { return max(int(float64(n)*r.scale), 4) }

// time returns the duration of a measured phase.
func (r *run) time(d time.Duration) time.Duration { return time.Duration(float64(d) * r.scale) }

// Measure runs the experiments and returns their slopes.
func Measure(ctx context.Context, o Options) ([]Slope, error) {
	var all []Slope
	found := false
	for _, e := range experiments {
		if o.Only != "" && o.Only != e.name {
			continue
		}
		found = true
		slopes, err := measureOne(ctx, e, o)
		if err != nil {
			return all, fmt.Errorf("experiment %s: %w", e.name, err)
		}
		all = append(all, slopes...)
	}
	if !found {
		return nil, fmt.Errorf("there is no experiment %q", o.Only)
	}
	return all, nil
}

func measureOne(ctx context.Context, e experiment, o Options) ([]Slope, error) {
	values := map[string][]float64{}
	for i := range o.Runs {
		begin := time.Now()
		r := &run{scale: o.Scale, values: map[string]float64{}}
		if err := e.run(ctx, r); err != nil {
			return nil, err
		}
		for id, v := range r.values {
			values[id] = append(values[id], v)
		}
		fmt.Fprintf(o.Progress, "%s: run %d of %d took %v\n", e.name, i+1, o.Runs, time.Since(begin).Round(time.Millisecond))
	}
	var slopes []Slope
	for _, k := range kinds {
		if len(values[k.id]) == 0 {
			continue
		}
		median, low, high := summarise(values[k.id])
		slopes = append(slopes, Slope{
			ID: k.id, What: k.what, Unit: k.unit, Value: median, Low: low, High: high, Runs: len(values[k.id]),
			Command: "siskinrouter capacity measure --only " + e.name + " --out docs/capacity-slopes.json",
		})
		delete(values, k.id)
	}
	for id := range values {
		return nil, fmt.Errorf("slope %q has no description", id)
	}
	return slopes, nil
}

// kind describes a slope.
type kind struct{ id, unit, what string }

var kinds = []kind{
	{"daemon.memory", "B", "live heap and stack of a daemon with one group and one workspace, and of its stand-ins"},
	{"daemon.idle", "us/s", "processor time of such a daemon without callers, probes each second"},
	{"caller.memory", "B", "live heap and stack of an idle caller connection"},
	{"caller.idle", "us/s", "processor time of an idle caller connection (sweeps)"},
	{"caller.login", "us", "processor time of a login, both sides"},
	{"statement.direct_read", "us", "read over a direct connection, caller and target, for comparison"},
	{"statement.direct_write", "us", "write over a direct connection, caller and targets, for comparison"},
	{"statement.read_token", "us", "forwarded read of a caller with a token"},
	{"statement.read_floor", "us", "forwarded read of a caller without a token, including its share of status queries"},
	{"statement.write", "us", "forwarded and confirmed write, including its share of group_wait on both sides"},
	{"server.memory", "B", "live heap and stack of a watched server"},
	{"server.idle", "us/s", "processor time of a watched server without its probes (driver, zones, budgets)"},
	{"probe.cpu", "us", "processor time of a status probe"},
	{"probe.bytes", "B", "bytes of a status probe in both directions, above TCP"},
	{"sync.cpu", "us", "processor time of a Sync with 4,667 equal objects, both sides"},
	{"sync.bytes", "B", "bytes of the same Sync in both directions, above TCP"},
	{"push.cpu", "us", "processor time of a Push of 1 KB, both sides, without putting it into force"},
	{"push.bytes", "B", "bytes of the same Push in both directions, above TCP"},
	{"push.large_cpu", "us/KB", "processor time of a Push per KB of a large object, both sides"},
	{"apply.group", "us", "processor time to put any change into force, per group of the text"},
	{"borrow.cpu", "us", "processor time of a Borrow for one workspace, both sides"},
	{"borrow.bytes", "B", "bytes of the same Borrow in both directions, above TCP"},
	{"vm.memory", "B", "live heap of a known VM in the membership"},
	{"vm.tick", "us", "processor time of Members.Tick at 2,100 VMs, mean over a minute of ticks"},
	{"vm.live", "us", "processor time of one copy of the list of 2,100 live VMs"},
	{"driver.peers", "us", "processor time of a driver that takes over a list of 2,100 VMs"},
	{"object.memory", "B", "live heap of a catalog object of 300 bytes with its version"},
	{"key.memory", "B", "live heap of a decoded key"},
	{"key.scan", "ns", "processor time per key of a login or renewal that searches all keys"},
	{"key.bytes", "B", "bytes of a key in the object keys"},
	{"account.memory", "B", "live heap of a workspace account on a VM with one owned slot"},
	{"account.poll_idle", "us", "processor time per idle workspace and Poll"},
	{"account.poll_busy", "us", "processor time per workspace with demand and Poll, 2,100 VMs, 240 owners"},
	{"account.poll_carriers", "us", "the same with 6 VMs, one owner per failure domain"},
	{"peer.memory", "B", "live heap of a VM that may be asked for loans"},
	{"account.load", "us", "processor time to add a workspace to a manager that already has thousands"},
	{"peer.set", "us", "processor time to replace the list of 2,100 VMs that may be asked for loans"},
	{"loan.sparse_refused", "%", "requests refused on a VM without slots that gets 0.73 requests per second of a workspace"},
	{"loan.messages", "/s", "Borrow requests per second of a VM without slots that needs a fifth of the rate of one workspace"},
	{"text.server", "B", "bytes of the operators' text per server"},
	{"text.workspace", "B", "bytes of the operators' text per workspace"},
	{"text.service", "B", "bytes of the operators' text per service with 3 routes, without servers"},
	{"text.parse", "us/KB", "processor time to parse and validate the operators' text"},
	{"text.memory", "B/KB", "live heap of the parsed operators' text"},
	{"list.entry", "B", "bytes of a VM in the platform's list"},
	{"platform.holder", "/s", "platform calls of a watch holder, without the list of VMs"},
	{"audit.calls", "", "platform calls per audit record on a writer that knows the end of the trail"},
	{"audit.first_calls", "", "platform calls of the first audit record of a VM, trail of 10,000 full"},
	{"audit.burst_calls", "", "platform calls of 233 VMs that each append their first record at once, 3 ms per call"},
	{"audit.bytes", "B", "bytes of an audit record of a primary change"},
	{"explain.cpu", "us", "processor time to record an explanation of 3 steps"},
	{"explain.memory", "B", "live heap of an explanation of 3 steps"},
	{"propagation.median", "s", "driven time until a change of 2 KB is in force everywhere, median"},
	{"propagation.worst", "s", "the same, worst"},
	{"propagation.large_worst", "s", "driven time until a change of 1 MB is in force everywhere, worst"},
	{"propagation.small_median", "B/s", "bytes of a VM with changes of 2 KB, median VM"},
	{"propagation.small_most", "B/s", "the same, most loaded VM"},
	{"propagation.large_median", "B/s", "bytes of a VM with changes of 1 MB in two of three changes, median VM"},
	{"propagation.large_most", "B/s", "the same, most loaded VM"},
	{"propagation.calls", "/s", "calls between VMs that a VM makes and serves"},
	{"propagation.platform", "/s", "platform calls of the fleet, mean"},
	{"propagation.platform_peak", "/s", "platform calls of the fleet, busiest second"},
}

// cpu returns the processor time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// micros returns the processor time of f per unit, in microseconds.
func micros(units float64, f func() error) (float64, error) {
	begin := cpu()
	err := f()
	return float64((cpu() - begin).Nanoseconds()) / 1000 / units, err
}

// live returns the bytes of reachable heap and of stacks.
func live() float64 {
	// The second collection frees what finalisers and pools released in the first.
	for range 2 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Machine describes the machine without naming it.
func Machine() string {
	model := "unknown processor"
	text, _ := os.ReadFile("/proc/cpuinfo")
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(key) == "model name" {
			model = strings.TrimSpace(value)
			break
		}
	}
	return fmt.Sprintf("%s, %d processors, %s/%s", model, runtime.NumCPU(), runtime.GOOS, runtime.GOARCH)
}

// Names returns the names of the experiments.
func Names() []string {
	var names []string
	for _, e := range experiments {
		names = append(names, e.name)
	}
	slices.Sort(names)
	return names
}
