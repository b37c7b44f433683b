package grant

import (
	"container/heap"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The simulation runs 9 VMs in 4 failure domains on simulated time.
const (
	simCrossDomainLatency = 1500 * time.Microsecond // one-way latency between failure domains
	simDomainLatency      = 100 * time.Microsecond  // one-way latency within one
	simPhase              = 6 * time.Second         // demand moves to other VMs after each phase
	simPhases             = 8
	simSettleTime         = 2 * time.Second // after which demand counts as steady
	simWaitLimit          = 100 * time.Millisecond
	simRetryInterval      = 5 * time.Millisecond // interval at which waiting requests are retried
	simDemandFactor       = 0.9                  // demand relative to the rate
	simStart              = 3 * time.Second      // activation delay of the first owners
	platformWriteQuota    = 500.0                // platform writes per second
)

var simDomains = []string{"bne", "bne", "bne", "tsv", "tsv", "cns", "cns", "too", "too"}

// simRates are the rates of the 8 workspaces; the last one sends 5x its rate.
var simRates = []float64{2000, 1000, 300, 200, 100, 100, 50, 500}

// rateLimiter is one way to enforce rates in the simulation.
type rateLimiter interface {
	admit(vm, workspace int, retry bool) bool
	tick(vm int)
}

// simulation is a discrete event simulation.
type simulation struct {
	random       *rand.Rand
	now          time.Duration
	events       eventHeap
	order        int
	burst        float64 // in seconds of the rate
	overload     float64 // demand of the last workspace relative to its rate
	limiter      rateLimiter
	workspaces   []*workspaceLoad
	weights      [][]float64 // by workspace and VM
	messages     int
	loanRequests int
}

// workspaceLoad counts the requests of one workspace.
type workspaceLoad struct {
	rate, burst  int64 // micro-tokens
	bucketLevel  int64 // of the reference bucket that the admitted requests must fit into
	frac         int64
	idealLevel   float64 // level of a single bucket that receives all requests
	updatedAt    time.Duration
	overAdmitted int // admissions that the reference bucket does not allow
	sent         int
	admitted     int
	steady       int               // requests in steady phases that a single bucket would admit
	refused      int               // of these, not admitted within simWaitLimit
	delayed      int               // of these, not admitted at once
	recover      [20]int           // requests within the rate not admitted at once, by 100 ms after a shift of demand
	sentByCell   [20]int           // requests within the rate, by 100 ms after a shift of demand
	waiting      [][]queuedRequest // by VM
}

type queuedRequest struct {
	since      time.Duration
	withinRate bool
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.events, event{sim.now + d, sim.order, run})
}

func delay(a, b int) time.Duration {
	if simDomains[a] == simDomains[b] {
		return simDomainLatency
	}
	return simCrossDomainLatency
}

// refill advances both buckets to the present time.
func (w *workspaceLoad) refill(now time.Duration) {
	elapsed := int64(now - w.updatedAt)
	w.updatedAt = now
	w.idealLevel = min(float64(w.burst), w.idealLevel+float64(w.rate)*float64(elapsed)/1e9)
	total := w.rate*elapsed + w.frac
	w.bucketLevel += total / 1e9
	w.frac = total % 1e9
	if w.bucketLevel >= w.burst {
		w.bucketLevel = w.burst
		w.frac = 0
	}
}

// recordAdmission takes a token from the reference bucket and counts the admission.
func (w *workspaceLoad) recordAdmission(now time.Duration) {
	w.refill(now)
	w.bucketLevel -= MicroTokensPerToken
	w.admitted++
	if w.bucketLevel < 0 {
		w.overAdmitted++
	}
}

func (sim *simulation) arrive(vm, workspace int) {
	w := sim.workspaces[workspace]
	w.sent++
	w.refill(sim.now)
	withinRate := w.idealLevel >= float64(MicroTokensPerToken)
	if withinRate {
		w.idealLevel -= float64(MicroTokensPerToken)
	}
	sinceShift := (sim.now - simStart) % simPhase
	cell := int(sinceShift / (100 * time.Millisecond))
	counted := withinRate && sim.now >= simStart
	if counted && cell < len(w.recover) {
		w.sentByCell[cell]++
	}
	steady := counted && sinceShift >= simSettleTime
	if steady {
		w.steady++
	}
	if sim.limiter.admit(vm, workspace, false) {
		w.recordAdmission(sim.now)
		return
	}
	if counted && cell < len(w.recover) {
		w.recover[cell]++
	}
	if steady {
		w.delayed++
	}
	if len(w.waiting[vm]) < 64 {
		w.waiting[vm] = append(w.waiting[vm], queuedRequest{sim.now, steady})
	} else if steady {
		w.refused++
	}
}

// retry retries the waiting requests of one VM.
func (sim *simulation) retry(vm int) {
	for workspace, w := range sim.workspaces {
		queue := w.waiting[vm]
		for len(queue) > 0 {
			if sim.now-queue[0].since > simWaitLimit {
				if queue[0].withinRate {
					w.refused++
				}
				queue = queue[1:]
				continue
			}
			if !sim.limiter.admit(vm, workspace, true) {
				break
			}
			w.recordAdmission(sim.now)
			queue = queue[1:]
		}
		w.waiting[vm] = queue
	}
	sim.limiter.tick(vm)
	sim.after(simRetryInterval, func() { sim.retry(vm) })
}

// generate schedules the next arrival for a workspace on a VM. The process restarts when demand
// moves, so that a VM with little demand sees an increase at once.
func (sim *simulation) generate(vm, workspace, phase int) {
	perSecond := simRates[workspace] * simDemandFactor * sim.weights[workspace][vm]
	if workspace == len(simRates)-1 {
		perSecond *= sim.overload / simDemandFactor
	}
	if perSecond <= 0 {
		return
	}
	gap := time.Duration(sim.random.ExpFloat64() / perSecond * 1e9)
	end := simStart + time.Duration(phase+1)*simPhase
	if sim.now+gap >= end {
		return
	}
	sim.after(gap, func() {
		sim.arrive(vm, workspace)
		sim.generate(vm, workspace, phase)
	})
}

// shiftDemand divides the demand of each workspace anew among the VMs: all on one VM, evenly, or
// skewed.
func (sim *simulation) shiftDemand(phase int) {
	vms := len(simDomains)
	for workspace := range sim.weights {
		w := make([]float64, vms)
		first := sim.random.Intn(vms)
		switch (phase + workspace) % 3 {
		case 0:
			w[first] = 1
		case 1:
			for i := range w {
				w[i] = 1 / float64(vms)
			}
		default:
			sum := 0.0
			for i, vm := range sim.random.Perm(vms) {
				w[vm] = 1 / float64(i*i+1)
				sum += w[vm]
			}
			for i := range w {
				w[i] /= sum
			}
		}
		sim.weights[workspace] = w
		for vm := range w {
			sim.generate(vm, workspace, phase)
		}
	}
}

func newSimulation(seed int64, burst float64) *simulation {
	sim := &simulation{random: rand.New(rand.NewSource(seed)), burst: burst, overload: 5}
	for _, rate := range simRates {
		w := &workspaceLoad{rate: int64(rate) * MicroTokensPerToken, burst: int64(rate * burst * float64(MicroTokensPerToken))}
		w.bucketLevel = w.burst
		w.idealLevel = float64(w.burst)
		w.waiting = make([][]queuedRequest, len(simDomains))
		sim.workspaces = append(sim.workspaces, w)
		sim.weights = append(sim.weights, nil)
	}
	return sim
}

// run simulates all phases.
func (sim *simulation) run(phases int) {
	for phase := range phases {
		sim.after(simStart+time.Duration(phase)*simPhase, func() { sim.shiftDemand(phase) })
	}
	for vm := range simDomains {
		sim.after(time.Duration(vm)*time.Millisecond/3, func() { sim.retry(vm) })
	}
	end := simStart + time.Duration(phases)*simPhase
	for len(sim.events) > 0 && sim.events[0].at < end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// loanLimiter is the rate limiter of this package.
type loanLimiter struct {
	sim      *simulation
	managers []*Manager
	sent     map[[2]int][]time.Duration // times of the messages by sender and receiver
}

func simVM(i int) RunID { return RunID{Name: fmt.Sprintf("vm%d", i), Incarnation: 1} }

// newLoanLimiter returns a limiter with managers for all VMs. The workspaces are owned by the first VMs;
// owners is the number of these.
func newLoanLimiter(sim *simulation, owners int) *loanLimiter {
	b := &loanLimiter{sim: sim, sent: map[[2]int][]time.Duration{}}
	var peers []Peer
	byDomain := map[string][]RunID{}
	for i, d := range simDomains {
		peers = append(peers, Peer{simVM(i), d})
		if i < owners {
			byDomain[d] = append(byDomain[d], simVM(i))
		}
	}
	for i, d := range simDomains {
		m := NewManager(simVM(i), d, rand.New(rand.NewSource(int64(i))))
		for domain, vms := range byDomain {
			o := InitialOwners(domain, len(byDomain), vms)
			o.Version = 1
			m.SetOwners(0, o)
		}
		m.SetPeers(peers)
		for workspace, rate := range simRates {
			m.SetWorkspace(0, workspaceName(workspace), rate, rate*sim.burst)
		}
		b.managers = append(b.managers, m)
	}
	return b
}

func workspaceName(i int) string { return fmt.Sprintf("w%d", i) }

func (b *loanLimiter) admit(vm, workspace int, retry bool) bool {
	m := b.managers[vm]
	f := m.Admit
	if retry {
		f = m.RetryAdmit
	}
	ok, _, _ := f(b.sim.now, workspaceName(workspace), 1)
	if !ok && !retry {
		b.send(vm)
	}
	return ok
}

func (b *loanLimiter) tick(vm int) { b.send(vm) }

func (b *loanLimiter) send(vm int) {
	for _, r := range b.managers[vm].Poll(b.sim.now) {
		var to int
		fmt.Sscanf(r.To.Name, "vm%d", &to)
		b.sim.messages++
		b.sent[[2]int{vm, to}] = append(b.sent[[2]int{vm, to}], b.sim.now)
		b.sim.loanRequests += len(r.LoanRequests)
		b.sim.after(delay(vm, to), func() {
			reply, ok := b.managers[to].HandleRequest(b.sim.now, r)
			if !ok {
				return
			}
			b.sim.after(delay(vm, to), func() { b.managers[vm].HandleReply(b.sim.now, reply) })
			if len(r.Recalls) > 0 {
				b.send(to)
			}
		})
	}
}

// staticLimiter gives every VM a fixed equal share.
type staticLimiter struct {
	sim      *simulation
	accounts [][]*Account
}

func newStaticLimiter(sim *simulation) *staticLimiter {
	s := &staticLimiter{sim: sim}
	vms := len(simDomains)
	for vm := range simDomains {
		var list []*Account
		for workspace, rate := range simRates {
			a := NewAccount(workspaceName(workspace), simVM(vm), 0, rate, rate*sim.burst)
			a.SetOwned(0, map[string]Share{"part": FullShare / Share(vms)})
			list = append(list, a)
		}
		s.accounts = append(s.accounts, list)
	}
	return s
}

func (s *staticLimiter) admit(vm, workspace int, _ bool) bool {
	ok, _ := s.accounts[vm][workspace].Admit(s.sim.now, 1)
	return ok
}

func (s *staticLimiter) tick(int) {}

// centralLimiter fetches batches of tokens for 100 ms of demand from a counter in the platform,
// with one conditional update for each batch.
type centralLimiter struct {
	sim         *simulation
	buckets     []*Account
	localTokens [][]int64
	demand      [][]demand
	pending     [][]bool
	quota       messageBucket
	outage      [2]time.Duration
	writes      int
}

func newCentralLimiter(sim *simulation, outage bool) *centralLimiter {
	c := &centralLimiter{sim: sim}
	for workspace, rate := range simRates {
		a := NewAccount(workspaceName(workspace), simVM(0), 0, rate, rate*sim.burst)
		a.SetOwned(0, map[string]Share{"all": FullShare})
		c.buckets = append(c.buckets, a)
	}
	for range simDomains {
		c.localTokens = append(c.localTokens, make([]int64, len(simRates)))
		c.pending = append(c.pending, make([]bool, len(simRates)))
		d := make([]demand, len(simRates))
		for i := range d {
			d[i] = newDemand()
		}
		c.demand = append(c.demand, d)
	}
	if outage {
		c.outage = [2]time.Duration{simStart + 15*time.Second, simStart + 20*time.Second}
	}
	return c
}

func (c *centralLimiter) admit(vm, workspace int, retry bool) bool {
	if !retry {
		c.demand[vm][workspace].add(c.sim.now, 1)
	}
	batch := max(1, int64(c.demand[vm][workspace].value(c.sim.now)/10))
	ok := c.localTokens[vm][workspace] > 0
	if ok {
		c.localTokens[vm][workspace]--
	}
	if c.localTokens[vm][workspace] < batch/2+1 && !c.pending[vm][workspace] {
		c.fetch(vm, workspace, batch)
	}
	return ok
}

func (c *centralLimiter) fetch(vm, workspace int, batch int64) {
	c.pending[vm][workspace] = true
	c.sim.after(simCrossDomainLatency, func() {
		down := c.sim.now >= c.outage[0] && c.sim.now < c.outage[1]
		got := int64(0)
		if !down && c.quota.take(c.sim.now, platformWriteQuota, platformWriteQuota/10) {
			c.writes++
			for n := batch; n > 0 && got == 0; n /= 2 {
				if ok, _ := c.buckets[workspace].Admit(c.sim.now, n); ok {
					got = n
				}
			}
		}
		c.sim.after(simCrossDomainLatency, func() {
			c.localTokens[vm][workspace] += got
			if got > 0 {
				c.pending[vm][workspace] = false
				return
			}
			c.sim.after(50*time.Millisecond, func() { c.pending[vm][workspace] = false })
		})
	})
}

func (c *centralLimiter) tick(int) {}

// simTotals are the results of a simulation over the workspaces within their rates.
type simTotals struct {
	overAdmitted, steady, refused, delayed int
	overloadAdmitted                       float64 // admitted part of the rate of the overloading workspace
	recoveryTime                           time.Duration
}

func (sim *simulation) totals(phases int) simTotals {
	var sum simTotals
	var all, bad [20]int
	for i, w := range sim.workspaces {
		sum.overAdmitted += w.overAdmitted
		if i == len(sim.workspaces)-1 {
			length := (time.Duration(phases) * simPhase).Seconds()
			sum.overloadAdmitted = float64(w.admitted) / (float64(w.rate) / 1e6 * (length + sim.burst))
			continue
		}
		sum.steady += w.steady
		sum.refused += w.refused
		sum.delayed += w.delayed
		for c := range all {
			all[c] += w.sentByCell[c]
			bad[c] += w.recover[c]
		}
	}
	for c := range all {
		if bad[c]*100 > all[c] {
			sum.recoveryTime = time.Duration(c+1) * 100 * time.Millisecond
		}
	}
	return sum
}

func (sim *simulation) reportRow(name string, phases int) string {
	totals := sim.totals(phases)
	seconds := (simStart + time.Duration(phases)*simPhase).Seconds()
	return fmt.Sprintf("| %s | %.2f | %d | %.3f%% | %.3f%% | %v | %.1f%% | %.1f |", name, sim.burst, totals.overAdmitted,
		100*float64(totals.refused)/float64(totals.steady), 100*float64(totals.delayed)/float64(totals.steady), totals.recoveryTime,
		100*totals.overloadAdmitted, float64(sim.messages)/seconds/float64(len(simDomains)))
}

// simSeed returns the seed of the report, 1 unless GRANT_SEED is set.
func simSeed() int64 {
	if n, err := strconv.ParseInt(os.Getenv("GRANT_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

// Reports the comparison in docs/notes/fair-share.md when GRANT_REPORT is set.
func TestPolicyReport(t *testing.T) {
	if os.Getenv("GRANT_REPORT") == "" {
		t.Skip("set GRANT_REPORT=1 to run the comparison")
	}
	var rows []string
	for _, burst := range []float64{1, 0.25} {
		for _, kind := range []string{"loans", "static", "central", "central, 5 s outage"} {
			sim := newSimulation(simSeed(), burst)
			switch kind {
			case "loans":
				sim.limiter = newLoanLimiter(sim, len(simDomains))
			case "static":
				sim.limiter = newStaticLimiter(sim)
			default:
				sim.limiter = newCentralLimiter(sim, kind != "central")
			}
			sim.run(simPhases)
			rows = append(rows, sim.reportRow(kind, simPhases))
			for i, s := range sim.workspaces {
				t.Logf("%s burst %.2f w%d rate %v: sent %d admitted %d steady %d delayed %d refused %d", kind, burst, i, simRates[i], s.sent, s.admitted, s.steady, s.delayed, s.refused)
			}
		}
	}
	t.Logf("\n%s", strings.Join(rows, "\n"))
}

// Guards against over-admission, against shares that do not follow demand, and against more
// messages than the limits allow.
func TestPolicyFollowsDemand(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(1, 1)
	b := newLoanLimiter(sim, len(simDomains))
	sim.limiter = b
	sim.run(2)
	s := sim.totals(2)
	is.Equal(s.overAdmitted, 0)
	is.True(s.refused*1000 < s.steady) // refusals within the rate < 0.1%
	for _, times := range b.sent {
		for i, at := range times {
			// A peer receives at most the burst plus the rate times the elapsed time.
			j := max(i-int(peerBurst)-int(peerRate), 0)
			is.True(i < int(peerBurst+peerRate) || at-times[j] >= time.Second-time.Microsecond)
		}
	}
}

// generateFor generates demand for one workspace by VM, in requests per second, from now on.
func (sim *simulation) generateFor(workspace int, perSecond map[int]float64, until time.Duration) {
	for vm, rate := range perSecond {
		var next func()
		next = func() {
			if sim.now >= until {
				return
			}
			sim.arrive(vm, workspace)
			sim.after(time.Duration(sim.random.ExpFloat64()/rate*1e9), next)
		}
		sim.after(0, next)
	}
}

// runUntil processes the events until end.
func (sim *simulation) runUntil(end time.Duration) {
	for vm := range simDomains {
		sim.after(0, func() { sim.retry(vm) })
	}
	for len(sim.events) > 0 && sim.events[0].at < end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// Guards against a refused first request on a VM without an owned share: the request must wait for
// a loan.
func TestNewVMBorrowsAtFirstRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(1, 1)
	b := newLoanLimiter(sim, 8)
	sim.limiter = b
	sim.after(3*time.Second, func() { sim.arrive(8, 2) })
	sim.runUntil(3*time.Second + 2*simCrossDomainLatency + 2*simRetryInterval)
	is.Equal(sim.workspaces[2].admitted, 1)
}

// Guards against starvation: a lender serves the first of two borrowers and has nothing left for
// the second.
func TestBorrowersShareInProportion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(1, 1)
	b := newLoanLimiter(sim, 7)
	sim.limiter = b
	sim.after(3*time.Second, func() { sim.generateFor(2, map[int]float64{7: 300}, time.Hour) })
	sim.after(5*time.Second, func() { sim.generateFor(2, map[int]float64{8: 300}, time.Hour) })
	sim.runUntil(8 * time.Second)
	first := b.managers[7].Share(sim.now, workspaceName(2))
	second := b.managers[8].Share(sim.now, workspaceName(2))
	t.Logf("shares %d and %d of %d", first, second, FullShare)
	is.True(first+second > FullShare*9/10)       // the demand of both is met as far as possible
	is.True(min(first, second) > FullShare*4/10) // and divided equally
}

// Guards against a share that does not follow demand to another VM.
func TestShareFollowsDemandWithinASecond(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(1, 1)
	b := newLoanLimiter(sim, 9)
	sim.limiter = b
	sim.after(3*time.Second, func() { sim.generateFor(2, map[int]float64{0: 270}, 8*time.Second) })
	sim.after(8*time.Second, func() { sim.generateFor(2, map[int]float64{8: 270}, time.Hour) })
	sim.runUntil(9 * time.Second)
	share := b.managers[8].Share(sim.now, workspaceName(2))
	t.Logf("share %d of %d", share, FullShare)
	is.True(share > FullShare*85/100)
}
