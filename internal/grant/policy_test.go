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

// The trial runs 9 VMs in 4 failure domains under a driven clock.
const (
	trialFar      = 1500 * time.Microsecond // one way between failure domains
	trialNear     = 100 * time.Microsecond  // one way within one
	trialPhase    = 6 * time.Second         // demand moves after each phase
	trialPhases   = 8
	trialSettle   = 2 * time.Second // after which demand counts as steady
	trialPatience = 100 * time.Millisecond
	trialTick     = 5 * time.Millisecond // interval at which waiting requests try again
	trialLoad     = 0.9                  // demand of a workspace inside its rate
	trialStart    = 3 * time.Second      // wait-out of the first owners
	quotaWrites   = 500.0                // platform writes per second
)

var trialDomains = []string{"bne", "bne", "bne", "tsv", "tsv", "cns", "cns", "too", "too"}

// trialRates are the rates of the 8 workspaces; the last one sends 5x its rate.
var trialRates = []float64{2000, 1000, 300, 200, 100, 100, 50, 500}

// limiter is one way to enforce rates in the trial.
type limiter interface {
	admit(vm, space int, again bool) bool
	tick(vm int)
}

// trial is a discrete event simulation.
type trial struct {
	random   *rand.Rand
	now      time.Duration
	events   eventHeap
	order    int
	burst    float64 // seconds of rate
	flood    float64 // demand of the last tenant relative to its rate
	limiter  limiter
	tenants  []*tenant
	weights  [][]float64 // by workspace and VM
	messages int
	asks     int
}

// tenant counts the requests of one workspace.
type tenant struct {
	rate, burst int64 // micro-tokens
	level       int64 // of the exact bucket that the admitted requests must fit into
	frac        int64
	ideal       float64 // level of a single bucket that sees all requests
	at          time.Duration
	over        int // admissions that the exact bucket does not allow
	sent        int
	admitted    int
	steady      int // requests in steady phases that a single bucket would admit
	refused     int // of these, not admitted within the patience
	delayed     int // of these, not admitted at once
	recover     [20]int
	recoverAll  [20]int
	waiting     [][]waiter // by VM
}

type waiter struct {
	since  time.Duration
	inside bool
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

func (t *trial) after(d time.Duration, run func()) {
	t.order++
	heap.Push(&t.events, event{t.now + d, t.order, run})
}

func delay(a, b int) time.Duration {
	if trialDomains[a] == trialDomains[b] {
		return trialNear
	}
	return trialFar
}

// refill brings both reference buckets to the present time.
func (s *tenant) refill(now time.Duration) {
	elapsed := int64(now - s.at)
	s.at = now
	s.ideal = min(float64(s.burst), s.ideal+float64(s.rate)*float64(elapsed)/1e9)
	total := s.rate*elapsed + s.frac
	s.level += total / 1e9
	s.frac = total % 1e9
	if s.level >= s.burst {
		s.level = s.burst
		s.frac = 0
	}
}

// take records an admission.
func (s *tenant) take(now time.Duration) {
	s.refill(now)
	s.level -= MicroTokensPerToken
	s.admitted++
	if s.level < 0 {
		s.over++
	}
}

func (t *trial) arrive(vm, space int) {
	s := t.tenants[space]
	s.sent++
	s.refill(t.now)
	inside := s.ideal >= float64(MicroTokensPerToken)
	if inside {
		s.ideal -= float64(MicroTokensPerToken)
	}
	moved := (t.now - trialStart) % trialPhase
	cell := int(moved / (100 * time.Millisecond))
	counted := inside && t.now >= trialStart
	if counted && cell < len(s.recover) {
		s.recoverAll[cell]++
	}
	steady := counted && moved >= trialSettle
	if steady {
		s.steady++
	}
	if t.limiter.admit(vm, space, false) {
		s.take(t.now)
		return
	}
	if counted && cell < len(s.recover) {
		s.recover[cell]++
	}
	if steady {
		s.delayed++
	}
	if len(s.waiting[vm]) < 64 {
		s.waiting[vm] = append(s.waiting[vm], waiter{t.now, steady})
	} else if steady {
		s.refused++
	}
}

// retry lets waiting requests of one VM try again.
func (t *trial) retry(vm int) {
	for space, s := range t.tenants {
		queue := s.waiting[vm]
		for len(queue) > 0 {
			if t.now-queue[0].since > trialPatience {
				if queue[0].inside {
					s.refused++
				}
				queue = queue[1:]
				continue
			}
			if !t.limiter.admit(vm, space, true) {
				break
			}
			s.take(t.now)
			queue = queue[1:]
		}
		s.waiting[vm] = queue
	}
	t.limiter.tick(vm)
	t.after(trialTick, func() { t.retry(vm) })
}

// generate schedules the next arrival of a workspace on a VM. The process is restarted when demand
// moves, so a VM with little demand notices an increase.
func (t *trial) generate(vm, space, phase int) {
	perSecond := trialRates[space] * trialLoad * t.weights[space][vm]
	if space == len(trialRates)-1 {
		perSecond *= t.flood / trialLoad
	}
	if perSecond <= 0 {
		return
	}
	gap := time.Duration(t.random.ExpFloat64() / perSecond * 1e9)
	end := trialStart + time.Duration(phase+1)*trialPhase
	if t.now+gap >= end {
		return
	}
	t.after(gap, func() {
		t.arrive(vm, space)
		t.generate(vm, space, phase)
	})
}

// move gives each workspace a new division of its demand among the VMs: all on one VM, even, or
// skewed.
func (t *trial) move(phase int) {
	vms := len(trialDomains)
	for space := range t.weights {
		w := make([]float64, vms)
		first := t.random.Intn(vms)
		switch (phase + space) % 3 {
		case 0:
			w[first] = 1
		case 1:
			for i := range w {
				w[i] = 1 / float64(vms)
			}
		default:
			sum := 0.0
			for i, vm := range t.random.Perm(vms) {
				w[vm] = 1 / float64(i*i+1)
				sum += w[vm]
			}
			for i := range w {
				w[i] /= sum
			}
		}
		t.weights[space] = w
		for vm := range w {
			t.generate(vm, space, phase)
		}
	}
}

func newTrial(seed int64, burst float64) *trial {
	t := &trial{random: rand.New(rand.NewSource(seed)), burst: burst, flood: 5}
	for _, rate := range trialRates {
		s := &tenant{rate: int64(rate) * MicroTokensPerToken, burst: int64(rate * burst * float64(MicroTokensPerToken))}
		s.level = s.burst
		s.ideal = float64(s.burst)
		s.waiting = make([][]waiter, len(trialDomains))
		t.tenants = append(t.tenants, s)
		t.weights = append(t.weights, nil)
	}
	return t
}

// run plays all phases.
func (t *trial) run(phases int) {
	for phase := range phases {
		t.after(trialStart+time.Duration(phase)*trialPhase, func() { t.move(phase) })
	}
	for vm := range trialDomains {
		t.after(time.Duration(vm)*time.Millisecond/3, func() { t.retry(vm) })
	}
	end := trialStart + time.Duration(phases)*trialPhase
	for len(t.events) > 0 && t.events[0].at < end {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
}

// borrowing is the limiter of this package.
type borrowing struct {
	t        *trial
	managers []*Manager
	sent     map[[2]int][]time.Duration // times of the messages by sender and receiver
}

func trialVM(i int) RunID { return RunID{Name: fmt.Sprintf("vm%d", i), Incarnation: 1} }

// newBorrowing returns managers for all VMs, of which the first ones own the workspaces.
func newBorrowing(t *trial, owners int) *borrowing {
	b := &borrowing{t: t, sent: map[[2]int][]time.Duration{}}
	var peers []Peer
	byDomain := map[string][]RunID{}
	for i, d := range trialDomains {
		peers = append(peers, Peer{trialVM(i), d})
		if i < owners {
			byDomain[d] = append(byDomain[d], trialVM(i))
		}
	}
	for i, d := range trialDomains {
		m := NewManager(trialVM(i), d, rand.New(rand.NewSource(int64(i))))
		for domain, vms := range byDomain {
			o := InitialOwners(domain, len(byDomain), vms)
			o.Version = 1
			m.SetOwners(0, o)
		}
		m.SetPeers(peers)
		for space, rate := range trialRates {
			m.SetWorkspace(0, spaceName(space), rate, rate*t.burst)
		}
		b.managers = append(b.managers, m)
	}
	return b
}

func spaceName(i int) string { return fmt.Sprintf("w%d", i) }

func (b *borrowing) admit(vm, space int, again bool) bool {
	m := b.managers[vm]
	f := m.Admit
	if again {
		f = m.RetryAdmit
	}
	ok, _, _ := f(b.t.now, spaceName(space), 1)
	if !ok && !again {
		b.send(vm)
	}
	return ok
}

func (b *borrowing) tick(vm int) { b.send(vm) }

func (b *borrowing) send(vm int) {
	for _, r := range b.managers[vm].Poll(b.t.now) {
		var to int
		fmt.Sscanf(r.To.Name, "vm%d", &to)
		b.t.messages++
		b.sent[[2]int{vm, to}] = append(b.sent[[2]int{vm, to}], b.t.now)
		b.t.asks += len(r.LoanRequests)
		b.t.after(delay(vm, to), func() {
			reply, ok := b.managers[to].HandleRequest(b.t.now, r)
			if !ok {
				return
			}
			b.t.after(delay(vm, to), func() { b.managers[vm].HandleReply(b.t.now, reply) })
			if len(r.Recalls) > 0 {
				b.send(to)
			}
		})
	}
}

// static gives every VM an equal part for good.
type static struct {
	t        *trial
	accounts [][]*Account
}

func newStatic(t *trial) *static {
	s := &static{t: t}
	vms := len(trialDomains)
	for vm := range trialDomains {
		var list []*Account
		for space, rate := range trialRates {
			a := NewAccount(spaceName(space), trialVM(vm), 0, rate, rate*t.burst)
			a.SetOwned(0, map[string]Share{"part": FullShare / Share(vms)})
			list = append(list, a)
		}
		s.accounts = append(s.accounts, list)
	}
	return s
}

func (s *static) admit(vm, space int, _ bool) bool {
	ok, _ := s.accounts[vm][space].Admit(s.t.now, 1)
	return ok
}

func (s *static) tick(int) {}

// central fetches batches of tokens for 100 ms of demand from a counter in the platform, one
// conditional update for each batch.
type central struct {
	t       *trial
	buckets []*Account
	local   [][]int64
	demand  [][]demand
	pending [][]bool
	quota   budget
	outage  [2]time.Duration
	writes  int
}

func newCentral(t *trial, outage bool) *central {
	c := &central{t: t}
	for space, rate := range trialRates {
		a := NewAccount(spaceName(space), trialVM(0), 0, rate, rate*t.burst)
		a.SetOwned(0, map[string]Share{"all": FullShare})
		c.buckets = append(c.buckets, a)
	}
	for range trialDomains {
		c.local = append(c.local, make([]int64, len(trialRates)))
		c.pending = append(c.pending, make([]bool, len(trialRates)))
		d := make([]demand, len(trialRates))
		for i := range d {
			d[i] = newDemand()
		}
		c.demand = append(c.demand, d)
	}
	if outage {
		c.outage = [2]time.Duration{trialStart + 15*time.Second, trialStart + 20*time.Second}
	}
	return c
}

func (c *central) admit(vm, space int, again bool) bool {
	if !again {
		c.demand[vm][space].add(c.t.now, 1)
	}
	batch := max(1, int64(c.demand[vm][space].value(c.t.now)/10))
	ok := c.local[vm][space] > 0
	if ok {
		c.local[vm][space]--
	}
	if c.local[vm][space] < batch/2+1 && !c.pending[vm][space] {
		c.fetch(vm, space, batch)
	}
	return ok
}

func (c *central) fetch(vm, space int, batch int64) {
	c.pending[vm][space] = true
	c.t.after(trialFar, func() {
		down := c.t.now >= c.outage[0] && c.t.now < c.outage[1]
		got := int64(0)
		if !down && c.quota.take(c.t.now, quotaWrites, quotaWrites/10) {
			c.writes++
			for n := batch; n > 0 && got == 0; n /= 2 {
				if ok, _ := c.buckets[space].Admit(c.t.now, n); ok {
					got = n
				}
			}
		}
		c.t.after(trialFar, func() {
			c.local[vm][space] += got
			if got > 0 {
				c.pending[vm][space] = false
				return
			}
			c.t.after(50*time.Millisecond, func() { c.pending[vm][space] = false })
		})
	})
}

func (c *central) tick(int) {}

// totals are the results of a trial over the workspaces inside their rates.
type totals struct {
	over, steady, refused, delayed int
	flood                          float64 // admitted part of the flooding tenant's rate
	recovered                      time.Duration
}

func (t *trial) totals(phases int) totals {
	var sum totals
	var all, bad [20]int
	for i, s := range t.tenants {
		sum.over += s.over
		if i == len(t.tenants)-1 {
			length := (time.Duration(phases) * trialPhase).Seconds()
			sum.flood = float64(s.admitted) / (float64(s.rate) / 1e6 * (length + t.burst))
			continue
		}
		sum.steady += s.steady
		sum.refused += s.refused
		sum.delayed += s.delayed
		for c := range all {
			all[c] += s.recoverAll[c]
			bad[c] += s.recover[c]
		}
	}
	for c := range all {
		if bad[c]*100 > all[c] {
			sum.recovered = time.Duration(c+1) * 100 * time.Millisecond
		}
	}
	return sum
}

func (t *trial) row(name string, phases int) string {
	s := t.totals(phases)
	seconds := (trialStart + time.Duration(phases)*trialPhase).Seconds()
	return fmt.Sprintf("| %s | %.2f | %d | %.3f%% | %.3f%% | %v | %.1f%% | %.1f |", name, t.burst, s.over,
		100*float64(s.refused)/float64(s.steady), 100*float64(s.delayed)/float64(s.steady), s.recovered,
		100*s.flood, float64(t.messages)/seconds/float64(len(trialDomains)))
}

// trialSeed returns the seed of the report, 1 unless GRANT_SEED is set.
func trialSeed() int64 {
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
			w := newTrial(trialSeed(), burst)
			switch kind {
			case "loans":
				w.limiter = newBorrowing(w, len(trialDomains))
			case "static":
				w.limiter = newStatic(w)
			default:
				w.limiter = newCentral(w, kind != "central")
			}
			w.run(trialPhases)
			rows = append(rows, w.row(kind, trialPhases))
			for i, s := range w.tenants {
				t.Logf("%s burst %.2f w%d rate %v: sent %d admitted %d steady %d delayed %d refused %d", kind, burst, i, trialRates[i], s.sent, s.admitted, s.steady, s.delayed, s.refused)
			}
		}
	}
	t.Logf("\n%s", strings.Join(rows, "\n"))
}

// Guards against over-admission, against a policy that does not follow demand, and against more
// messages than the bounds allow.
func TestPolicyFollowsDemand(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTrial(1, 1)
	b := newBorrowing(w, len(trialDomains))
	w.limiter = b
	w.run(2)
	s := w.totals(2)
	is.Equal(s.over, 0)
	is.True(s.refused*1000 < s.steady) // refusals inside the rate < 0.1%
	for _, times := range b.sent {
		for i, at := range times {
			// A peer receives at most the burst and the rate of the time since.
			j := max(i-int(peerBurst)-int(peerRate), 0)
			is.True(i < int(peerBurst+peerRate) || at-times[j] >= time.Second-time.Microsecond)
		}
	}
}

// only sets the demand of one workspace by VM, in requests per second, from now on.
func (t *trial) only(space int, perSecond map[int]float64, until time.Duration) {
	for vm, rate := range perSecond {
		var next func()
		next = func() {
			if t.now >= until {
				return
			}
			t.arrive(vm, space)
			t.after(time.Duration(t.random.ExpFloat64()/rate*1e9), next)
		}
		t.after(0, next)
	}
}

// play runs the events until end.
func (t *trial) play(end time.Duration) {
	for vm := range trialDomains {
		t.after(0, func() { t.retry(vm) })
	}
	for len(t.events) > 0 && t.events[0].at < end {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
}

// Guards against a VM without an owned share that refuses its first request instead of borrowing.
func TestNewVMBorrowsAtFirstRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTrial(1, 1)
	b := newBorrowing(w, 8)
	w.limiter = b
	w.after(3*time.Second, func() { w.arrive(8, 2) })
	w.play(3*time.Second + 2*trialFar + 2*trialTick)
	is.Equal(w.tenants[2].admitted, 1)
}

// Guards against a lender that serves the first of two borrowers and starves the other one.
func TestBorrowersShareInProportion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTrial(1, 1)
	b := newBorrowing(w, 7)
	w.limiter = b
	w.after(3*time.Second, func() { w.only(2, map[int]float64{7: 300}, time.Hour) })
	w.after(5*time.Second, func() { w.only(2, map[int]float64{8: 300}, time.Hour) })
	w.play(8 * time.Second)
	first := b.managers[7].Share(w.now, spaceName(2))
	second := b.managers[8].Share(w.now, spaceName(2))
	t.Logf("shares %d and %d of %d", first, second, FullShare)
	is.True(first+second > FullShare*9/10)       // the demand of both is met as far as possible
	is.True(min(first, second) > FullShare*4/10) // and divided equally
}

// Guards against a share that stays where demand was.
func TestShareFollowsDemandWithinASecond(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTrial(1, 1)
	b := newBorrowing(w, 9)
	w.limiter = b
	w.after(3*time.Second, func() { w.only(2, map[int]float64{0: 270}, 8*time.Second) })
	w.after(8*time.Second, func() { w.only(2, map[int]float64{8: 270}, time.Hour) })
	w.play(9 * time.Second)
	share := b.managers[8].Share(w.now, spaceName(2))
	t.Logf("share %d of %d", share, FullShare)
	is.True(share > FullShare*85/100)
}
