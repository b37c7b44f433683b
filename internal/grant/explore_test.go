package grant

import (
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The exploration runs the accounts of three VMs through all sequences of a bounded number of
// steps and checks the limit in every state that it reaches.

const (
	exploreRate  = 1.0 // per second
	exploreBurst = 7.0
	// exploreStep is half a lifetime plus a quarter of the margin, so that the end of a loan at
	// the borrower and at the lender fall into different steps.
	exploreStep = LoanLifetime/2 + LoanMargin/4
	// exploreLong exceeds the time for which a lender considers a loan in use.
	exploreLong = LoanLifetime + 3*LoanMargin/2
	// slowClock is the rate of the third VM's clock in thousandths. The margin covers 1%.
	slowClock = 995
)

// bounds limit one exploration. Each field is a number of steps; exchanges are asks that are
// answered within one step, which reaches deeper states.
type bounds struct {
	depth, ticks, asks, exchanges, copies, restarts, handovers int

	limits  int           // number of limits that a lender tries
	step    time.Duration // time of one tick
	wants   []Share
	noDrain bool
	focus   bool // only VM c asks, it asks only VM a, and only c restarts
}

// network is a message on the way: an ask or a grant.
type network struct {
	from, to RunID
	ask      *LoanRequest
	grant    *Grant
}

// world is one state: three accounts, the messages between them, the holders of two slots, and an
// exact bucket that every admission must fit into. States share accounts that a step leaves
// unchanged.
type world struct {
	now      time.Duration
	accounts [3]*Account
	keys     [3]string // encodings of the accounts, empty after a change
	net      []network
	holders  [2]RunID
	level    int64 // of the exact bucket, in micro-tokens x nanoseconds per second
	used     bounds
	parent   *world
	step     string
	on       network // message that the step delivered
}

func (w *world) clock(i int) time.Duration {
	if i == 2 {
		return w.now / 1000 * slowClock
	}
	return w.now
}

// change returns a copy of account i that the world may modify.
func (w *world) change(i int) *Account {
	w.accounts[i] = w.accounts[i].clone()
	w.keys[i] = ""
	return w.accounts[i]
}

func (a *Account) clone() *Account {
	c := *a
	c.slots = map[string]*slot{}
	for k, v := range a.slots {
		s := *v
		c.slots[k] = &s
	}
	c.loans = map[RunID]*loan{}
	for k, v := range a.loans {
		l := *v
		c.loans[k] = &l
	}
	c.lending = map[RunID]*lent{}
	for k, v := range a.lending {
		l := *v
		c.lending[k] = &l
	}
	return &c
}

func (w *world) clone() *world {
	c := *w
	c.net = slices.Clone(w.net)
	c.parent = w
	c.on = network{}
	return &c
}

func exploreVM(i int) RunID { return RunID{Name: string(rune('a' + i)), Incarnation: 1} }

// newWorld returns three VMs of which the first two own half of the workspace each.
func newWorld(r rules) *world {
	w := &world{level: int64(exploreBurst) * MicroTokensPerToken * int64(time.Second)}
	for i := range w.accounts {
		a := NewAccount("w", exploreVM(i), 0, exploreRate, exploreBurst)
		a.rules = r
		if i < 2 {
			w.holders[i] = a.self
			a.slots[slotName("d", i)] = &slot{active: FullShare / 2}
			a.recount()
			a.tokens = a.capacity()
		}
		w.accounts[i] = a
	}
	return w
}

// owned returns the slots that the platform lists for vm.
func (w *world) owned(vm RunID) map[string]Share {
	owned := map[string]Share{}
	for i, h := range w.holders {
		if h == vm {
			owned[slotName("d", i)] = FullShare / 2
		}
	}
	return owned
}

// check returns the fault of the state, if there is one.
func (w *world) check() string {
	var share Share
	var tokens int64
	for i, a := range w.accounts {
		share += a.Share(w.clock(i))
		tokens += a.Tokens(w.clock(i))
	}
	switch {
	case share > FullShare:
		return fmt.Sprintf("live shares %d > %d", share, FullShare)
	case tokens*int64(time.Second) > w.level:
		return fmt.Sprintf("tokens held %d > tokens that may be admitted %d", tokens, w.level/int64(time.Second))
	}
	return ""
}

// tick lets time pass. It brings all accounts up to date; TestAdvanceInOneStep shows that an
// account that is brought up to date later ends in the same state.
func (w *world) tick(d time.Duration) {
	w.now += d
	limit := int64(exploreBurst) * MicroTokensPerToken * int64(time.Second)
	w.level = min(limit, w.level+int64(exploreRate)*MicroTokensPerToken*int64(d))
	for i := range w.accounts {
		w.change(i).advance(w.clock(i))
	}
}

// drain admits as much as the account holds.
func (w *world) drain(i int) {
	a := w.change(i)
	n := a.Tokens(w.clock(i)) / MicroTokensPerToken
	if ok, _ := a.Admit(w.clock(i), n); ok {
		w.level -= n * MicroTokensPerToken * int64(time.Second)
	}
}

func (w *world) deliver(k int, limit Share) {
	m := w.net[k]
	i := int(m.to.Name[0] - 'a')
	a := w.change(i)
	if m.grant != nil {
		a.ApplyGrant(w.clock(i), m.from, m.to, *m.grant)
		return
	}
	if g, ok := a.Lend(w.clock(i), m.from, m.to, *m.ask, limit); ok {
		w.net = append(w.net, network{from: m.to, to: m.from, grant: &g})
	}
}

// restart replaces a VM by its next run. The platform has stopped the old run and gives its slots
// to the VM after it.
func (w *world) restart(i int) {
	old := w.accounts[i]
	self := RunID{old.self.Name, old.self.Incarnation + 1}
	a := NewAccount("w", self, w.clock(i), exploreRate, exploreBurst)
	a.rules = old.rules
	w.accounts[i] = a
	w.keys[i] = ""
	w.pass(old.self, (i+1)%3)
}

// pass lists another holder for the slots of vm.
func (w *world) pass(vm RunID, to int) {
	for k, h := range w.holders {
		if h == vm {
			w.holders[k] = w.accounts[to].self
		}
	}
}

// steps with a want or a limit, as names without formatting cost.
var (
	exploreWants = map[Share]string{0: " for nothing", FullShare / 4: " for a quarter", FullShare: " for all"}
	vmNames      = [3]string{"a", "b", "c"}
)

// successors passes all states one step away to visit.
func (w *world) successors(b bounds, visit func(*world)) {
	do := func(name string, f func(*world)) {
		c := w.clone()
		c.step = name
		f(c)
		visit(c)
	}
	if w.used.ticks < b.ticks {
		do("tick", func(c *world) { c.used.ticks++; c.tick(b.step) })
	}
	for i, a := range w.accounts {
		if a.tokens >= MicroTokensPerToken && !b.noDrain {
			do("drain "+vmNames[i], func(c *world) { c.drain(i) })
		}
		if w.used.restarts < b.restarts && (i == 2 || !b.focus) {
			do("restart "+vmNames[i], func(c *world) { c.used.restarts++; c.restart(i) })
		}
		if w.used.handovers < b.handovers && len(a.slots) > 0 {
			do("hand over "+vmNames[i], func(c *world) {
				c.used.handovers++
				c.change(i).SetOwned(c.clock(i), nil)
				c.pass(a.self, (i+1)%3)
			})
		}
		if !maps.EqualFunc(a.slots, w.owned(a.self), func(s *slot, _ Share) bool { return s != nil }) {
			do("learn owners "+vmNames[i], func(c *world) {
				c.change(i).SetOwned(c.clock(i), c.owned(a.self))
			})
		}
		w.asks(b, i, do)
		w.exchanges(b, i, do)
	}
	for k, m := range w.net {
		limits := []Share{FullShare, FullShare / 8}
		if m.grant != nil || b.limits < 2 {
			limits = limits[:1]
		}
		for _, limit := range limits {
			do("deliver ", func(c *world) {
				c.on = m
				c.deliver(k, limit)
				c.net = slices.Delete(c.net, k, k+1)
			})
			if w.used.copies < b.copies {
				do("deliver and keep a copy ", func(c *world) {
					c.on = m
					c.used.copies++
					c.deliver(k, limit)
				})
			}
		}
	}
}

// asks adds the steps in which VM i asks another one.
func (w *world) asks(b bounds, i int, do func(string, func(*world))) {
	if w.used.asks >= b.asks {
		return
	}
	for j, lender := range w.accounts {
		if i == j || b.focus && (i != 2 || j != 0) {
			continue
		}
		for _, want := range b.wants {
			if want == 0 && w.accounts[i].loans[lender.self] == nil {
				continue
			}
			do(vmNames[i]+" asks "+vmNames[j]+exploreWants[want], func(c *world) {
				c.used.asks++
				a := c.change(i)
				ask := a.RequestLoan(c.clock(i), lender.self, want)
				c.net = append(c.net, network{from: a.self, to: lender.self, ask: &ask})
			})
		}
	}
}

// exchanges adds the steps in which VM i asks another one and has the answer.
func (w *world) exchanges(b bounds, i int, do func(string, func(*world))) {
	if w.used.exchanges >= b.exchanges {
		return
	}
	for j, lender := range w.accounts {
		if i == j || (len(lender.slots) == 0 && w.accounts[i].loans[lender.self] == nil) {
			continue
		}
		for _, want := range b.wants {
			do(vmNames[i]+" borrows from "+vmNames[j]+exploreWants[want], func(c *world) {
				c.used.exchanges++
				a := c.change(i)
				ask := a.RequestLoan(c.clock(i), lender.self, want)
				g, ok := c.change(j).Lend(c.clock(j), a.self, lender.self, ask, FullShare)
				if ok {
					a.ApplyGrant(c.clock(i), lender.self, a.self, g)
				}
			})
		}
	}
}

// trace lists the steps that lead to the state.
func (w *world) trace() string {
	if w.parent == nil {
		return ""
	}
	line := w.step
	if w.on != (network{}) {
		line += w.on.String()
	}
	return w.parent.trace() + "\n  " + line
}

// encoder writes the parts of a key.
type encoder []byte

func (e *encoder) put(values ...int64) {
	for _, x := range values {
		*e = binary.AppendVarint(*e, x)
	}
}

func (e *encoder) vm(v RunID) { e.put(int64(v.Name[0]), int64(v.Incarnation)) }

// encode returns all of the account that its future depends on.
func (a *Account) encode() string {
	var e encoder
	e.put(a.tokens, int64(a.frac), int64(a.seq), int64(a.lastID), int64(a.self.Incarnation))
	for _, n := range slices.Sorted(maps.Keys(a.slots)) {
		s := a.slots[n]
		e = append(e, n...)
		e.put(int64(s.active), int64(s.pending), int64(s.startsAt))
	}
	e.put(int64(len(a.loans)))
	for _, n := range slices.SortedFunc(maps.Keys(a.loans), RunID.Compare) {
		l := a.loans[n]
		e.vm(n)
		e.put(int64(l.id), int64(l.amount), int64(l.expires), int64(l.asked), int64(l.askedAt), int64(l.kept))
	}
	e.put(int64(len(a.lending)))
	for _, n := range slices.SortedFunc(maps.Keys(a.lending), RunID.Compare) {
		l := a.lending[n]
		e.vm(n)
		e.put(int64(l.id), int64(l.amount), int64(l.expires), int64(l.seq))
	}
	return string(e)
}

// encode returns the content of the message.
func (m network) encode() string {
	var e encoder
	e.vm(m.from)
	e.vm(m.to)
	if m.ask != nil {
		e.put(1, int64(m.ask.Seq), int64(m.ask.Loan), int64(m.ask.RetainedShare), m.ask.ReturnedTokens, int64(m.ask.RequestedShare))
	} else {
		e.put(2, int64(m.grant.Seq), int64(m.grant.Loan), int64(m.grant.Amount), m.grant.Tokens)
	}
	return string(e)
}

// key identifies a state; two states with the same key have the same future.
func (w *world) key() string {
	var e encoder
	e.put(int64(w.now), w.level, int64(w.used.asks), int64(w.used.exchanges), int64(w.used.copies), int64(w.used.restarts), int64(w.used.handovers))
	for i, a := range w.accounts {
		if w.keys[i] == "" {
			w.keys[i] = a.encode()
		}
		e = append(e, w.keys[i]...)
		e = append(e, '|')
	}
	for _, h := range w.holders {
		e.vm(h)
	}
	var messages []string
	for _, m := range w.net {
		messages = append(messages, m.encode())
	}
	slices.Sort(messages)
	return string(e) + strings.Join(messages, "|")
}

// String shows a message in a trace.
func (m network) String() string {
	if m.ask != nil {
		return fmt.Sprintf("ask %v->%v %+v", m.from, m.to, *m.ask)
	}
	return fmt.Sprintf("grant %v->%v %+v", m.from, m.to, *m.grant)
}

// explore visits all states within the bounds, nearest first, and returns the first fault with the
// steps that lead to it, and the number of states.
func explore(r rules, b bounds) (fault string, states int) {
	frontier := []*world{newWorld(r)}
	seen := map[string]struct{}{}
	for range b.depth {
		var next []*world
		visit := func(s *world) {
			k := s.key()
			if _, ok := seen[k]; ok || fault != "" {
				return
			}
			seen[k] = struct{}{}
			if f := s.check(); f != "" {
				fault = f + s.trace()
			}
			next = append(next, s)
		}
		for _, w := range frontier {
			w.successors(b, visit)
			if fault != "" {
				return fault, len(seen)
			}
		}
		frontier = next
	}
	return "", len(seen)
}

// explorations are the bounded searches. Together they cover loss (a message that is never
// delivered), duplication, reordering, pauses (a VM that takes no step), restarts, expiry, and
// changes of ownership.
var explorations = map[string]bounds{
	"loans":     {depth: 5, ticks: 3, asks: 2, copies: 1, limits: 2, wants: anyWant, step: exploreStep},
	"expiry":    {depth: 7, ticks: 4, asks: 1, copies: 1, wants: quarter, step: exploreStep},
	"restarts":  {depth: 5, ticks: 3, asks: 1, copies: 1, restarts: 1, wants: quarter, step: exploreStep},
	"handovers": {depth: 6, ticks: 3, asks: 1, handovers: 1, wants: quarter, step: exploreStep},
	"renewals":  {depth: 10, ticks: 5, exchanges: 3, handovers: 1, wants: quarter, step: exploreStep, noDrain: true},
	"changes":   {depth: 6, ticks: 2, exchanges: 1, handovers: 1, restarts: 1, wants: quarter, step: exploreLong},
	"crossings": {depth: 10, ticks: 4, asks: 3, restarts: 1, wants: quarter, step: exploreStep, noDrain: true, focus: true},
	"returns":   {depth: 7, ticks: 1, asks: 2, copies: 1, wants: []Share{0, FullShare / 4}, step: exploreLong},
}

var (
	quarter = []Share{FullShare / 4}
	anyWant = []Share{0, FullShare / 4, FullShare}
)

// deeper returns the bounds of the long run, which GRANT_EXPLORE=deep selects.
func (b bounds) deeper() bounds {
	b.depth++
	b.ticks++
	b.wants = anyWant
	return b
}

// Guards against any sequence of messages, expiries, restarts and changes of owners by which the
// fleet could admit more than burst + rate x window.
func TestExplore(t *testing.T) {
	t.Parallel()
	for name, b := range explorations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if os.Getenv("GRANT_EXPLORE") == "deep" {
				b = b.deeper()
			}
			start := time.Now()
			fault, states := explore(standardRules, b)
			t.Logf("%d states %v", states, time.Since(start))
			is.New(t).Equal(fault, "")
		})
	}
}

// breaches switch off one safety rule each, and name an exploration that must notice.
var breaches = map[string]struct {
	set    func(*rules)
	search string
}{
	"lender keeps using what it lends":        {func(r *rules) { r.grantBeforeReduce = true }, "loans"},
	"borrower counts from the reply":          {func(r *rules) { r.countFromReply = true }, "expiry"},
	"lender adds no margin":                   {func(r *rules) { r.margin = 0 }, "renewals"},
	"new owner does not wait":                 {func(r *rules) { r.skipWaitOut = true }, "handovers"},
	"new owner starts with tokens":            {func(r *rules) { r.startWithTokens = true }, "changes"},
	"replies are applied more than once":      {func(r *rules) { r.acceptAnyReply = true }, "expiry"},
	"messages of earlier runs are accepted":   {func(r *rules) { r.ignoreIncarnation = true }, "crossings"},
	"asks are accepted out of order":          {func(r *rules) { r.acceptOldAsk = true }, "loans"},
	"returned tokens are credited repeatedly": {func(r *rules) { r.creditAnyLoan = true }, "returns"},
	"a recall extends the loan":               {func(r *rules) { r.extendRecalled = true }, "renewals"},
	"loans of a lost slot are renewed":        {func(r *rules) { r.renewUnowned = true }, "renewals"},
	"tokens of an ended loan are kept":        {func(r *rules) { r.keepExcessTokens = true }, "renewals"},
}

// Guards against an exploration that is too shallow to notice a missing safety rule.
func TestExploreFindsBreaches(t *testing.T) {
	t.Parallel()
	for name, breach := range breaches {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := standardRules
			breach.set(&r)
			b := explorations[breach.search]
			fault, states := explore(r, b)
			t.Logf("%d states: %s", states, fault)
			is.New(t).True(fault != "")
		})
	}
}

// Guards against a loan or slot that counts for a different time when the account is brought up
// to date late, as after a pause.
func TestAdvanceInOneStep(t *testing.T) {
	is := is.New(t)
	fine := newWorld(standardRules).accounts[0]
	g, ok := fine.Lend(0, exploreVM(1), fine.self, LoanRequest{Seq: 1, RequestedShare: FullShare}, FullShare/3)
	is.True(ok)
	is.Equal(g.Amount, FullShare/3)
	ask := fine.RequestLoan(time.Millisecond, exploreVM(2), FullShare/5)
	is.True(fine.ApplyGrant(2*time.Millisecond, exploreVM(2), fine.self, Grant{Seq: ask.Seq, Loan: 1, Amount: FullShare / 5}))
	fine.SetOwned(3*time.Millisecond, map[string]Share{slotName("d", 0): FullShare / 2, slotName("d", 1): FullShare / 4})
	late := fine.clone()
	for now := 3 * time.Millisecond; now < 2*LoanLifetime; now += 7 * time.Microsecond {
		fine.advance(now)
	}
	fine.advance(2 * LoanLifetime)
	late.advance(2 * LoanLifetime)
	is.Equal(fine.encode(), late.encode())
}
