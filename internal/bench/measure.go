package bench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskinrouter/internal/verdict"
)

// Result holds what one run showed. Times are in milliseconds unless the name says otherwise.
type Result struct {
	Seed         uint64            `json:"seed"`
	Seconds      float64           `json:"seconds"`
	Requests     int               `json:"requests"`
	Answered     int               `json:"answered"`
	Writes       int               `json:"writes"`
	Refused      map[string]int    `json:"refused"` // by SQLSTATE of the last failure
	Moves        int               `json:"moves"`   // refusals of leaving VMs that were repeated elsewhere
	ReadP50      float64           `json:"read_p50_ms"`
	ReadP99      float64           `json:"read_p99_ms"`
	WriteP50     float64           `json:"write_p50_ms"`
	WriteP99     float64           `json:"write_p99_ms"`
	WriteMax     float64           `json:"write_max_ms"`
	ReadMax      float64           `json:"read_max_ms"`
	ReplicaShare float64           `json:"replica_share"`
	ReplicaBy    ReplicaShares     `json:"replica_share_by_session"`
	Gaps         []Gap             `json:"failover_gaps"`
	Workspaces   []WorkspaceResult `json:"workspaces"`
	Worst        Worst             `json:"worst_workspace"`
	Inside       InsideRefusals    `json:"refused_inside_rate"`
	Change       ChangeService     `json:"service_during_change"`
	BySecond     []Second          `json:"by_second"`
	Correctness  Correctness       `json:"correctness"`
	// KeyAcceptedMS is the time from the start of the withdrawal of a key to the last request that was
	// sent with it and answered, DomainWorkMS that from the start of the withdrawal of a failure domain to
	// the last work of its targets. Both are negative if they do not apply.
	KeyAcceptedMS float64           `json:"key_accepted_ms"`
	DomainWorkMS  float64           `json:"domain_work_ms"`
	Events        []Event           `json:"events"`
	Examples      map[string]string `json:"examples"` // first text of each kind of failure
}

// ReplicaShares are the shares of reads served by replicas, by how sessions carry their position.
type ReplicaShares struct {
	Tokens   float64 `json:"tokens"`    // all sessions carry tokens
	NoTokens float64 `json:"no_tokens"` // no session does
	Mixed    float64 `json:"mixed"`     // every second session does
}

// Gap is the time without acknowledged writes after a primary failed.
type Gap struct {
	Group  string  `json:"group"`
	Millis float64 `json:"ms"`
	Open   bool    `json:"open,omitempty"` // no write was acknowledged until the end
}

// WorkspaceResult is the service of one workspace.
type WorkspaceResult struct {
	Name     string  `json:"name"`
	Offered  int     `json:"offered"`  // requests that arrived
	Entitled int     `json:"entitled"` // of them, admitted by an exact bucket
	Served   int     `json:"served"`   // answered
	Share    float64 `json:"share"`    // served / entitled, at most 1
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	Inside   int     `json:"refused_inside"` // refusals inside the rate while steady
	Excluded bool    `json:"excluded,omitempty"`
}

// Worst is the service of the worst-served workspace. A workspace without a valid key is left out.
type Worst struct {
	Workspace string  `json:"workspace"`
	Share     float64 `json:"share"`
	SlowName  string  `json:"slowest_workspace"`
	P99       float64 `json:"p99_ms"`
	MedianP99 float64 `json:"median_p99_ms"`
	P99Ratio  float64 `json:"p99_ratio"`
}

// InsideRefusals are requests that were refused although an exact bucket would have admitted them.
type InsideRefusals struct {
	Count    int     `json:"count"`
	Requests int     `json:"requests"`
	Share    float64 `json:"share"`
	// Within counts only workspaces whose demand is within their rate.
	Within      int     `json:"within_count"`
	WithinShare float64 `json:"within_share"`
	WarmUp      int     `json:"warm_up"` // in the first seconds of demand
}

// Second is the service in one second of the run.
type Second struct {
	Offered int     `json:"offered"`
	Served  int     `json:"served"`
	Success float64 `json:"success"`
	P99     float64 `json:"p99_ms"`
}

// ChangeService is the service between the first and the last event of a scenario.
type ChangeService struct {
	Success      float64 `json:"success"`
	WorstSecond  float64 `json:"worst_second_success"`
	P99          float64 `json:"p99_ms"`
	WorstP99     float64 `json:"worst_second_p99_ms"`
	P99WithoutIt float64 `json:"p99_outside_ms"`
}

// Range of the histograms of latency.
const (
	histogramMin    = 1                             // us
	histogramMax    = int64(60 * time.Second / 1e3) // us
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

// quantile returns a quantile in milliseconds; q is in percent.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1e3
}

// p99of returns the 99th percentile of the latency of the answered samples that keep selects.
func p99of(samples []sample, keep func(sample) bool) float64 {
	return quantile(histogramOf(samples, keep), 99)
}

func histogramOf(samples []sample, keep func(sample) bool) *hdrhistogram.Histogram {
	h := newHistogram()
	for _, s := range samples {
		if s.outcome == acked && keep(s) {
			record(h, s.latency())
		}
	}
	return h
}

// result computes the measures of a finished run.
func (r *run) result() (*Result, error) {
	samples := r.recorder.samples
	res := &Result{
		Seed: r.seed, Seconds: r.duration.Seconds(), Requests: len(samples), Refused: make(map[string]int),
		Events: r.events, Examples: r.recorder.examples, KeyAcceptedMS: -1, DomainWorkMS: -1,
	}
	for _, s := range samples {
		res.count(s)
	}
	isWrite := func(s sample) bool { return s.write }
	isRead := func(s sample) bool { return !s.write }
	reads, writes := histogramOf(samples, isRead), histogramOf(samples, isWrite)
	res.ReadP50, res.ReadP99 = quantile(reads, 50), quantile(reads, 99)
	res.WriteP50, res.WriteP99 = quantile(writes, 50), quantile(writes, 99)
	res.ReadMax, res.WriteMax = quantile(reads, 100), quantile(writes, 100)
	r.replicaShares(res)
	r.workspaces(res)
	res.Worst = worst(res.Workspaces)
	res.BySecond = bySecond(samples, r.duration)
	res.Change = changeService(samples, res.BySecond, r.events)
	for _, f := range r.faults {
		res.Gaps = append(res.Gaps, r.gap(f))
	}
	r.delays(res)
	r.correctness(&res.Correctness)
	return res, nil
}

func (res *Result) count(s sample) {
	if s.write {
		res.Writes++
	}
	res.Moves += s.moves
	if s.outcome == acked {
		res.Answered++
		return
	}
	res.Refused[s.state]++
}

func (r *run) replicaShares(res *Result) {
	share := func(groups ...int) float64 {
		var replica, all int64
		for _, g := range groups {
			replica += r.roles.replica[g]
			all += r.roles.replica[g] + r.roles.primary[g]
		}
		return ratio(float64(replica), float64(all))
	}
	all := make([]int, len(r.roles.replica))
	for i := range all {
		all[i] = i
	}
	res.ReplicaShare = share(all...)
	if len(all) > 2 {
		res.ReplicaBy = ReplicaShares{Tokens: share(0), NoTokens: share(1), Mixed: share(2)}
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (r *run) workspaces(res *Result) {
	offset := r.load.start.Sub(r.base)
	withinRequests := 0
	for i, w := range r.deployment.Workspaces {
		mine := slices.DeleteFunc(slices.Clone(r.recorder.samples), func(s sample) bool { return s.workspace != i })
		wr := workspaceResult(w.Name, mine, w.Rate, w.Burst)
		wr.Excluded = r.withdrawal != nil && r.withdrawal.workspace == i
		decisions := slices.Concat(r.recorder.admissions[i], rateRefusals(mine, offset))
		before, after := refusedInside(decisions, w.Rate, w.Burst, offset+steadyAfter)
		wr.Inside = after
		res.Inside.Count += after
		res.Inside.WarmUp += before
		steady := 0
		for _, s := range mine {
			if s.due >= steadyAfter {
				steady++
			}
		}
		res.Inside.Requests += steady
		if r.load.spaces[i].rate <= w.Rate {
			res.Inside.Within += after
			withinRequests += steady
		}
		res.Correctness.OverAdmitted += overAdmitted(decisions, w.Rate, w.Burst)
		res.Workspaces = append(res.Workspaces, wr)
	}
	res.Inside.Share = ratio(float64(res.Inside.Count), float64(res.Inside.Requests))
	res.Inside.WithinShare = ratio(float64(res.Inside.Within), float64(withinRequests))
}

// rateRefusals returns the refusals by the rate limit that callers got. offset is the start of the load.
func rateRefusals(samples []sample, offset time.Duration) []admission {
	var refusals []admission
	for _, s := range samples {
		if s.outcome == notRun && s.state == verdict.StateRateExceeded {
			refusals = append(refusals, admission{from: offset + s.sent, to: offset + s.done})
		}
	}
	return refusals
}

func workspaceResult(name string, samples []sample, rate, burst float64) WorkspaceResult {
	arrivals := make([]time.Duration, 0, len(samples))
	wr := WorkspaceResult{Name: name, Offered: len(samples)}
	for _, s := range samples {
		arrivals = append(arrivals, s.due)
		if s.outcome == acked {
			wr.Served++
		}
	}
	wr.Entitled = entitled(arrivals, rate, burst)
	wr.Share = min(ratio(float64(wr.Served), float64(wr.Entitled)), 1)
	h := histogramOf(samples, func(sample) bool { return true })
	wr.P50, wr.P99 = quantile(h, 50), quantile(h, 99)
	return wr
}

func worst(all []WorkspaceResult) Worst {
	kept := slices.DeleteFunc(slices.Clone(all), func(w WorkspaceResult) bool { return w.Excluded })
	if len(kept) == 0 {
		return Worst{}
	}
	least := slices.MinFunc(kept, func(a, b WorkspaceResult) int { return cmp.Compare(a.Share, b.Share) })
	slices.SortFunc(kept, func(a, b WorkspaceResult) int { return cmp.Compare(a.P99, b.P99) })
	slowest := kept[len(kept)-1]
	median := (kept[(len(kept)-1)/2].P99 + kept[len(kept)/2].P99) / 2
	return Worst{
		Workspace: least.Name, Share: least.Share, SlowName: slowest.Name, P99: slowest.P99,
		MedianP99: median, P99Ratio: ratio(slowest.P99, median),
	}
}

func bySecond(samples []sample, duration time.Duration) []Second {
	n := int(math.Ceil(duration.Seconds()))
	seconds := make([]Second, n)
	histograms := make([]*hdrhistogram.Histogram, n)
	for i := range histograms {
		histograms[i] = newHistogram()
	}
	for _, s := range samples {
		i := min(int(s.due/time.Second), n-1)
		seconds[i].Offered++
		if s.outcome == acked {
			seconds[i].Served++
			record(histograms[i], s.latency())
		}
	}
	for i := range seconds {
		seconds[i].Success = 1
		if seconds[i].Offered > 0 {
			seconds[i].Success = ratio(float64(seconds[i].Served), float64(seconds[i].Offered))
		}
		seconds[i].P99 = quantile(histograms[i], 99)
	}
	return seconds
}

// changeTail is the time after the last event that still counts as part of the change.
const changeTail = 3.0 // s

func changeService(samples []sample, seconds []Second, events []Event) ChangeService {
	if len(events) == 0 {
		return ChangeService{Success: 1, WorstSecond: 1}
	}
	from, to := events[0].Seconds, events[len(events)-1].Seconds+changeTail
	inside := func(s sample) bool { return s.due.Seconds() >= from && s.due.Seconds() < to }
	c := ChangeService{WorstSecond: 1}
	c.P99 = p99of(samples, inside)
	c.P99WithoutIt = p99of(samples, func(s sample) bool { return !inside(s) })
	offered, served := 0, 0
	for _, s := range samples {
		if inside(s) {
			offered++
			if s.outcome == acked {
				served++
			}
		}
	}
	c.Success = ratio(float64(served), float64(offered))
	for i, s := range seconds {
		if float64(i+1) > from && float64(i) < to {
			c.WorstSecond = min(c.WorstSecond, s.Success)
			c.WorstP99 = max(c.WorstP99, s.P99)
		}
	}
	return c
}

// stallLimit is the latency above which a write counts as stalled by a failed primary.
const stallLimit = 150 * time.Millisecond

// gap returns the time from the first write of the group that failed or stalled around the fault to the
// first one acknowledged after the fault.
func (r *run) gap(f fault) Gap {
	g := Gap{Group: r.deployment.GroupName(f.group)}
	var writes []sample
	for _, s := range r.recorder.samples {
		if s.write && r.deployment.GroupOf(s.workspace) == f.group {
			writes = append(writes, s)
		}
	}
	var end time.Duration
	g.Millis, end = gapOf(writes, f, r.duration+overrun)
	g.Open = end < 0
	return g
}

// gapOf returns the gap in milliseconds and its end, which is negative if there was no end before limit.
func gapOf(writes []sample, f fault, limit time.Duration) (millis float64, end time.Duration) {
	first := time.Duration(-1)
	affected := func(s sample) bool {
		return s.sent <= f.at+faultPeriod && s.done >= f.at &&
			(s.failures > 0 || s.outcome != acked || s.done-s.sent > stallLimit)
	}
	for _, s := range writes {
		if affected(s) && (first < 0 || s.sent < first) {
			first = s.sent
		}
	}
	if first < 0 {
		return 0, f.at
	}
	end = -1
	for _, s := range writes {
		fresh := s.sent >= f.effective || affected(s)
		if s.outcome == acked && fresh && s.done >= f.at && (end < 0 || s.done < end) {
			end = s.done
		}
	}
	if end < 0 {
		return float64(limit-first) / 1e6, -1
	}
	return float64(max(end-first, 0)) / 1e6, end
}

// delays measures how long withdrawn keys and failure domains were still used.
func (r *run) delays(res *Result) {
	if w := r.withdrawal; w != nil {
		res.KeyAcceptedMS = 0
		for _, s := range r.recorder.samples {
			if s.workspace == w.workspace && s.outcome == acked && s.sent >= w.from && s.sent < w.to {
				res.KeyAcceptedMS = max(res.KeyAcceptedMS, float64(s.sent-w.from)/1e6)
			}
		}
	}
	if r.watch.domain != "" {
		res.DomainWorkMS = max(float64(r.watch.last-r.watch.from)/1e6, 0)
	}
}

// correctness compares the answers with the logs of the primaries at the end.
func (r *run) correctness(c *Correctness) {
	checkAnswers(r.recorder.samples, c)
	for g, group := range r.fleet.Groups {
		counts := written(group.Primary().History())
		var mine []sample
		for _, s := range r.recorder.samples {
			if r.deployment.GroupOf(s.workspace) == g {
				mine = append(mine, s)
			}
		}
		checkWrites(mine, counts, c)
	}
}
