package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Report is the outcome of all runs of a scenario.
type Report struct {
	Scenario   string    `json:"scenario"`
	Deployment string    `json:"deployment"`
	Policy     string    `json:"policy"`
	Seed       uint64    `json:"seed"`
	Duration   string    `json:"duration"`
	Repeats    int       `json:"repeats"`
	Machine    string    `json:"machine"`
	Runs       []*Result `json:"runs"`
	// Measures holds one value for each run.
	Measures map[string][]float64 `json:"measures"`
	// Gaps are the failover gaps of all runs in milliseconds, sorted.
	Gaps []float64 `json:"gaps_ms"`
}

func newReport(c Config) *Report {
	policy := c.Policy
	if policy == "" {
		policy = Policies[0]
	}
	return &Report{
		Scenario: c.Scenario, Deployment: c.Deployment, Policy: policy, Seed: c.Seed, Duration: c.Duration.String(),
		Repeats: c.Repeat, Machine: machineName(),
	}
}

// machineName describes the machine as far as figures depend on it.
func machineName() string {
	return fmt.Sprintf("%s/%s, %d CPUs, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
}

// measure is one figure of a run.
type measure struct {
	name  string
	value func(*Result) float64
}

// measures are the figures that reports list and compare.
var measures = []measure{
	{"replica share", func(r *Result) float64 { return r.ReplicaShare }},
	{"replica share, tokens", func(r *Result) float64 { return r.ReplicaBy.Tokens }},
	{"replica share, no tokens", func(r *Result) float64 { return r.ReplicaBy.NoTokens }},
	{"failover gap max ms", func(r *Result) float64 { return maxGap(r.Gaps) }},
	{"worst workspace share", func(r *Result) float64 { return r.Worst.Share }},
	{"worst workspace p99 ms", func(r *Result) float64 { return r.Worst.P99 }},
	{"worst p99 / median p99", func(r *Result) float64 { return r.Worst.P99Ratio }},
	{"refused inside rate", func(r *Result) float64 { return r.Inside.Share }},
	{"refused inside, tenants within", func(r *Result) float64 { return r.Inside.WithinShare }},
	{"change success share", func(r *Result) float64 { return r.Change.Success }},
	{"change worst second success", func(r *Result) float64 { return r.Change.WorstSecond }},
	{"change worst second p99 ms", func(r *Result) float64 { return r.Change.WorstP99 }},
	{"read p50 ms", func(r *Result) float64 { return r.ReadP50 }},
	{"read p99 ms", func(r *Result) float64 { return r.ReadP99 }},
	{"write p50 ms", func(r *Result) float64 { return r.WriteP50 }},
	{"write p99 ms", func(r *Result) float64 { return r.WriteP99 }},
	{"read max ms", func(r *Result) float64 { return r.ReadMax }},
	{"write max ms", func(r *Result) float64 { return r.WriteMax }},
	{"wrong reads", func(r *Result) float64 { return float64(r.Correctness.WrongReads) }},
	{"lost writes", func(r *Result) float64 { return float64(r.Correctness.LostWrites) }},
	{"doubled writes", func(r *Result) float64 { return float64(r.Correctness.DoubledWrites) }},
	{"falsely acknowledged", func(r *Result) float64 { return float64(r.Correctness.FalselyAcked) }},
	{"not run, yet ran", func(r *Result) float64 { return float64(r.Correctness.NotRunYetRan) }},
	{"over-admitted", func(r *Result) float64 { return float64(r.Correctness.OverAdmitted) }},
	{"requests cut", func(r *Result) float64 { return float64(r.Correctness.RequestsCut) }},
	{"requests stalled", func(r *Result) float64 { return float64(r.Correctness.StalledRequests) }},
	{"outcomes unknown", func(r *Result) float64 { return float64(r.Correctness.UnknownOutcomes) }},
	{"key accepted after ms", func(r *Result) float64 { return r.KeyAcceptedMS }},
	{"domain work after ms", func(r *Result) float64 { return r.DomainWorkMS }},
}

func maxGap(gaps []Gap) float64 {
	longest := 0.0
	for _, g := range gaps {
		longest = max(longest, g.Millis)
	}
	return longest
}

// summarise fills Measures and Gaps from the runs.
func (r *Report) summarise() {
	r.Measures = make(map[string][]float64)
	r.Gaps = nil
	for _, run := range r.Runs {
		for _, m := range measures {
			r.Measures[m.name] = append(r.Measures[m.name], m.value(run))
		}
		for _, g := range run.Gaps {
			r.Gaps = append(r.Gaps, g.Millis)
		}
	}
	slices.Sort(r.Gaps)
}

// gapQuantile returns a quantile of the failover gaps in milliseconds, q from 0 to 1.
func (r *Report) gapQuantile(q float64) float64 {
	if len(r.Gaps) == 0 {
		return 0
	}
	return stat.Quantile(q, stat.Empirical, r.Gaps, nil)
}

// Violations returns the number of violated guarantees of all runs.
func (r *Report) Violations() int {
	n := 0
	for _, run := range r.Runs {
		n += run.Correctness.Violations()
	}
	return n
}

// title says what was run and where.
func (r *Report) title() string {
	return fmt.Sprintf("%s, %s, policy %s, %s, %d runs from seed %d, %s",
		r.Scenario, r.Deployment, r.Policy, r.Duration, r.Repeats, r.Seed, r.Machine)
}

// names returns the names of the measures: those of all scenarios in their order, then the others.
func (r *Report) names() []string {
	var names []string
	for _, m := range measures {
		if _, ok := r.Measures[m.name]; ok {
			names = append(names, m.name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Measures)) {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Print writes the measures: mean, least and greatest value over the runs.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintln(w, r.title())
	for _, name := range r.names() {
		values := r.Measures[name]
		if !applies(values) {
			continue
		}
		fmt.Fprintf(w, "  %-32s %10s   (%s to %s)\n", name, number(stat.Mean(values, nil)), number(slices.Min(values)), number(slices.Max(values)))
	}
	if len(r.Gaps) > 0 {
		fmt.Fprintf(w, "  %-32s p50 %s  p99 %s  max %s  of %d\n", "failover gap ms",
			number(r.gapQuantile(0.5)), number(r.gapQuantile(0.99)), number(r.gapQuantile(1)), len(r.Gaps))
	}
	for _, run := range r.Runs {
		fmt.Fprintf(w, "  seed %d: %d requests, %d answered, refused %s, moved %d\n",
			run.Seed, run.Requests, run.Answered, counts(run.Refused), run.Moves)
	}
}

// applies reports whether any run has a value for a measure; negative values mean that it has none.
func applies(values []float64) bool {
	return slices.ContainsFunc(values, func(v float64) bool { return v >= 0 })
}

// number formats a figure with the precision that it deserves.
func number(v float64) string {
	switch {
	case v == math.Trunc(v) && math.Abs(v) < 1e6:
		return fmt.Sprintf("%.0f", v)
	case math.Abs(v) < 10:
		return fmt.Sprintf("%.4f", v)
	}
	return fmt.Sprintf("%.1f", v)
}

func counts(m map[string]int) string {
	var parts []string
	for state, n := range m {
		parts = append(parts, fmt.Sprintf("%s:%d", state, n))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " ")
}

// reportFile is the name of the JSON report in its directory.
const reportFile = "report.json"

// Write writes the JSON report and the plots to a directory of their own inside dir and returns it.
func (r *Report) Write(dir string) (string, error) {
	dir = filepath.Join(dir, fmt.Sprintf("%s-%s-%s", r.Scenario, r.Deployment, r.Policy))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, reportFile), text, 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	if len(r.Runs) == 0 {
		return dir, nil
	}
	return dir, r.plots(dir)
}

// Load reads a report from its file or from the directory that holds it.
func Load(path string) (*Report, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, reportFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("report %s: %w", path, err)
	}
	return &r, nil
}

// DefaultDuration of a run.
const DefaultDuration = 15 * time.Second
