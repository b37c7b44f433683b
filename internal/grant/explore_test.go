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

// The exploration runs the accounts of three VMs through all sequences of a bounded number of steps
// and checks the limit in every state that it reaches.

const (
	exploreRate  = 1.0 // per second
	exploreBurst = 7.0
	// exploreStep is half a lifetime plus a quarter of the margin, so that the expiry of a loan at
	// the borrower and at the lender fall into different steps.
	exploreStep = LoanLifetime/2 + LoanMargin/4
	// exploreLongStep exceeds the time after which a loan expires at the lender.
	exploreLongStep = LoanLifetime + 3*LoanMargin/2
	// slowClock is the rate of the third VM's clock in thousandths. The margin covers 1%.
	slowClock = 995
)

// explorationBounds limits one exploration. The counts are maximum numbers of steps; an exchange is
// a loan request and its response in one step, which reaches deeper states.
type explorationBounds struct {
	depth, ticks, loanRequests, exchanges, duplicates, restarts, transfers int

	lenderLimits    int           // number of loan limits that a lender tries
	step            time.Duration // time of one tick
	requestedShares []Share
	skipAdmissions  bool
	singleBorrower  bool // only VM c requests loans, only from VM a, and only c restarts
}

// message is a message in transit: a loan request or a grant.
type message struct {
	from, to    RunID
	loanRequest *LoanRequest
	grant       *Grant
}

// modelState is one state of the model: three accounts, the messages between them, the holders of
// two slots, and a reference token bucket that every admission must fit into. States share accounts
// that a step leaves unchanged.
type modelState struct {
	now         time.Duration
	accounts    [3]*Account
	keys        [3]string // encodings of the accounts, empty after a change
	messages    []message
	holders     [2]RunID
	bucketLevel int64 // of the reference bucket, in micro-tokens x nanoseconds per second
	used        explorationBounds
	parent      *modelState
	step        string
	delivered   message // message that the step delivered
}

func (st *modelState) clock(i int) time.Duration {
	if i == 2 {
		return st.now / 1000 * slowClock
	}
	return st.now
}

// modifiableAccount replaces account i by a copy that the state may modify.
func (st *modelState) modifiableAccount(i int) *Account {
	st.accounts[i] = st.accounts[i].clone()
	st.keys[i] = ""
	return st.accounts[i]
}

func (a *Account) clone() *Account {
	c := *a
	c.slots = map[string]*slot{}
	for k, v := range a.slots {
		s := *v
		c.slots[k] = &s
	}
	c.borrowed = map[RunID]*borrowedLoan{}
	for k, v := range a.borrowed {
		l := *v
		c.borrowed[k] = &l
	}
	c.lent = map[RunID]*lentLoan{}
	for k, v := range a.lent {
		l := *v
		c.lent[k] = &l
	}
	return &c
}

func (st *modelState) clone() *modelState {
	c := *st
	c.messages = slices.Clone(st.messages)
	c.parent = st
	c.delivered = message{}
	return &c
}

func exploreVM(i int) RunID { return RunID{Name: string(rune('a' + i)), Incarnation: 1} }

// newModelState returns three VMs of which the first two own half of the workspace each.
func newModelState(r safetyRules) *modelState {
	st := &modelState{bucketLevel: int64(exploreBurst) * MicroTokensPerToken * int64(time.Second)}
	for i := range st.accounts {
		a := NewAccount("w", exploreVM(i), 0, exploreRate, exploreBurst)
		a.rules = r
		if i < 2 {
			st.holders[i] = a.self
			a.slots[slotName("d", i)] = &slot{active: FullShare / 2}
			a.updateActiveShare()
			a.tokens = a.capacity()
		}
		st.accounts[i] = a
	}
	return st
}

// owned returns the slots that the platform lists for vm.
func (st *modelState) owned(vm RunID) map[string]Share {
	owned := map[string]Share{}
	for i, h := range st.holders {
		if h == vm {
			owned[slotName("d", i)] = FullShare / 2
		}
	}
	return owned
}

// violation describes how the state violates the limit, or returns an empty string.
func (st *modelState) violation() string {
	var share Share
	var tokens int64
	for i, a := range st.accounts {
		share += a.Share(st.clock(i))
		tokens += a.Tokens(st.clock(i))
	}
	switch {
	case share > FullShare:
		return fmt.Sprintf("active shares %d > %d", share, FullShare)
	case tokens*int64(time.Second) > st.bucketLevel:
		return fmt.Sprintf("tokens held %d > tokens that may be admitted %d", tokens, st.bucketLevel/int64(time.Second))
	}
	return ""
}

// advanceTime lets time pass. It advances all accounts; TestAdvanceInOneStep shows that an account
// that is advanced later ends in the same state.
func (st *modelState) advanceTime(d time.Duration) {
	st.now += d
	limit := int64(exploreBurst) * MicroTokensPerToken * int64(time.Second)
	st.bucketLevel = min(limit, st.bucketLevel+int64(exploreRate)*MicroTokensPerToken*int64(d))
	for i := range st.accounts {
		st.modifiableAccount(i).advance(st.clock(i))
	}
}

// admitAll admits as many requests as the account has tokens for.
func (st *modelState) admitAll(i int) {
	a := st.modifiableAccount(i)
	n := a.Tokens(st.clock(i)) / MicroTokensPerToken
	if ok, _ := a.Admit(st.clock(i), n); ok {
		st.bucketLevel -= n * MicroTokensPerToken * int64(time.Second)
	}
}

func (st *modelState) deliver(k int, limit Share) {
	msg := st.messages[k]
	i := int(msg.to.Name[0] - 'a')
	a := st.modifiableAccount(i)
	if msg.grant != nil {
		a.ApplyGrant(st.clock(i), msg.from, msg.to, *msg.grant)
		return
	}
	if g, ok := a.Lend(st.clock(i), msg.from, msg.to, *msg.loanRequest, limit); ok {
		st.messages = append(st.messages, message{from: msg.to, to: msg.from, grant: &g})
	}
}

// restart replaces a VM by its next run. The platform has stopped the old run and transfers its
// slots to the next VM.
func (st *modelState) restart(i int) {
	old := st.accounts[i]
	self := RunID{old.self.Name, old.self.Incarnation + 1}
	a := NewAccount("w", self, st.clock(i), exploreRate, exploreBurst)
	a.rules = old.rules
	st.accounts[i] = a
	st.keys[i] = ""
	st.transferSlots(old.self, (i+1)%3)
}

// transferSlots transfers the slots of the run vm to the current run of the VM with index to.
func (st *modelState) transferSlots(vm RunID, to int) {
	for k, h := range st.holders {
		if h == vm {
			st.holders[k] = st.accounts[to].self
		}
	}
}

// shareNames and vmNames name steps without the cost of formatting.
var (
	shareNames = map[Share]string{0: " for nothing", FullShare / 4: " for a quarter", FullShare: " for all"}
	vmNames    = [3]string{"a", "b", "c"}
)

// successors calls visit with all states that are one step away.
func (st *modelState) successors(b explorationBounds, visit func(*modelState)) {
	do := func(name string, f func(*modelState)) {
		c := st.clone()
		c.step = name
		f(c)
		visit(c)
	}
	if st.used.ticks < b.ticks {
		do("tick", func(c *modelState) { c.used.ticks++; c.advanceTime(b.step) })
	}
	for i, a := range st.accounts {
		if a.tokens >= MicroTokensPerToken && !b.skipAdmissions {
			do("admit all on "+vmNames[i], func(c *modelState) { c.admitAll(i) })
		}
		if st.used.restarts < b.restarts && (i == 2 || !b.singleBorrower) {
			do("restart "+vmNames[i], func(c *modelState) { c.used.restarts++; c.restart(i) })
		}
		if st.used.transfers < b.transfers && len(a.slots) > 0 {
			do("transfer slots of "+vmNames[i], func(c *modelState) {
				c.used.transfers++
				c.modifiableAccount(i).SetOwned(c.clock(i), nil)
				c.transferSlots(a.self, (i+1)%3)
			})
		}
		if !maps.EqualFunc(a.slots, st.owned(a.self), func(s *slot, _ Share) bool { return s != nil }) {
			do("learn owners "+vmNames[i], func(c *modelState) {
				c.modifiableAccount(i).SetOwned(c.clock(i), c.owned(a.self))
			})
		}
		st.loanRequestSteps(b, i, do)
		st.exchangeSteps(b, i, do)
	}
	for k, msg := range st.messages {
		limits := []Share{FullShare, FullShare / 8}
		if msg.grant != nil || b.lenderLimits < 2 {
			limits = limits[:1]
		}
		for _, limit := range limits {
			do("deliver ", func(c *modelState) {
				c.delivered = msg
				c.deliver(k, limit)
				c.messages = slices.Delete(c.messages, k, k+1)
			})
			if st.used.duplicates < b.duplicates {
				do("deliver and keep a copy ", func(c *modelState) {
					c.delivered = msg
					c.used.duplicates++
					c.deliver(k, limit)
				})
			}
		}
	}
}

// loanRequestSteps adds the steps in which VM i requests a loan from another one.
func (st *modelState) loanRequestSteps(b explorationBounds, i int, do func(string, func(*modelState))) {
	if st.used.loanRequests >= b.loanRequests {
		return
	}
	for j, lender := range st.accounts {
		if i == j || b.singleBorrower && (i != 2 || j != 0) {
			continue
		}
		for _, requested := range b.requestedShares {
			if requested == 0 && st.accounts[i].borrowed[lender.self] == nil {
				continue
			}
			do(vmNames[i]+" requests a loan from "+vmNames[j]+shareNames[requested], func(c *modelState) {
				c.used.loanRequests++
				a := c.modifiableAccount(i)
				request := a.RequestLoan(c.clock(i), lender.self, requested)
				c.messages = append(c.messages, message{from: a.self, to: lender.self, loanRequest: &request})
			})
		}
	}
}

// exchangeSteps adds the steps in which VM i requests a loan and receives the response.
func (st *modelState) exchangeSteps(b explorationBounds, i int, do func(string, func(*modelState))) {
	if st.used.exchanges >= b.exchanges {
		return
	}
	for j, lender := range st.accounts {
		if i == j || (len(lender.slots) == 0 && st.accounts[i].borrowed[lender.self] == nil) {
			continue
		}
		for _, requested := range b.requestedShares {
			do(vmNames[i]+" borrows from "+vmNames[j]+shareNames[requested], func(c *modelState) {
				c.used.exchanges++
				a := c.modifiableAccount(i)
				request := a.RequestLoan(c.clock(i), lender.self, requested)
				g, ok := c.modifiableAccount(j).Lend(c.clock(j), a.self, lender.self, request, FullShare)
				if ok {
					a.ApplyGrant(c.clock(i), lender.self, a.self, g)
				}
			})
		}
	}
}

// trace lists the steps that lead to the state.
func (st *modelState) trace() string {
	if st.parent == nil {
		return ""
	}
	line := st.step
	if st.delivered != (message{}) {
		line += st.delivered.String()
	}
	return st.parent.trace() + "\n  " + line
}

// encoder appends the parts of a key.
type encoder []byte

func (e *encoder) put(values ...int64) {
	for _, x := range values {
		*e = binary.AppendVarint(*e, x)
	}
}

func (e *encoder) vm(v RunID) { e.put(int64(v.Name[0]), int64(v.Incarnation)) }

// encode returns every part of the account that its future depends on.
func (a *Account) encode() string {
	var e encoder
	e.put(a.tokens, int64(a.fracTokens), int64(a.lastSeq), int64(a.lastLoanID), int64(a.self.Incarnation))
	for _, n := range slices.Sorted(maps.Keys(a.slots)) {
		s := a.slots[n]
		e = append(e, n...)
		e.put(int64(s.active), int64(s.pending), int64(s.activatesAt))
	}
	e.put(int64(len(a.borrowed)))
	for _, n := range slices.SortedFunc(maps.Keys(a.borrowed), RunID.Compare) {
		l := a.borrowed[n]
		e.vm(n)
		e.put(int64(l.id), int64(l.amount), int64(l.expires), int64(l.pendingSeq), int64(l.requestedAt), int64(l.retained))
	}
	e.put(int64(len(a.lent)))
	for _, n := range slices.SortedFunc(maps.Keys(a.lent), RunID.Compare) {
		l := a.lent[n]
		e.vm(n)
		e.put(int64(l.id), int64(l.amount), int64(l.expires), int64(l.seq))
	}
	return string(e)
}

// encode returns the content of the message.
func (m message) encode() string {
	var e encoder
	e.vm(m.from)
	e.vm(m.to)
	if m.loanRequest != nil {
		e.put(1, int64(m.loanRequest.Seq), int64(m.loanRequest.Loan), int64(m.loanRequest.RetainedShare), m.loanRequest.ReturnedTokens, int64(m.loanRequest.RequestedShare))
	} else {
		e.put(2, int64(m.grant.Seq), int64(m.grant.Loan), int64(m.grant.Amount), m.grant.Tokens)
	}
	return string(e)
}

// key identifies a state; two states with the same key have the same future.
func (st *modelState) key() string {
	var e encoder
	e.put(int64(st.now), st.bucketLevel, int64(st.used.loanRequests), int64(st.used.exchanges), int64(st.used.duplicates), int64(st.used.restarts), int64(st.used.transfers))
	for i, a := range st.accounts {
		if st.keys[i] == "" {
			st.keys[i] = a.encode()
		}
		e = append(e, st.keys[i]...)
		e = append(e, '|')
	}
	for _, h := range st.holders {
		e.vm(h)
	}
	var messages []string
	for _, msg := range st.messages {
		messages = append(messages, msg.encode())
	}
	slices.Sort(messages)
	return string(e) + strings.Join(messages, "|")
}

// String formats a message for a trace.
func (m message) String() string {
	if m.loanRequest != nil {
		return fmt.Sprintf("loan request %v->%v %+v", m.from, m.to, *m.loanRequest)
	}
	return fmt.Sprintf("grant %v->%v %+v", m.from, m.to, *m.grant)
}

// explore visits all states within the bounds in breadth-first order. It returns the first
// violation with the steps that lead to it, and the number of states.
func explore(r safetyRules, b explorationBounds) (violation string, states int) {
	frontier := []*modelState{newModelState(r)}
	seen := map[string]struct{}{}
	for range b.depth {
		var next []*modelState
		visit := func(s *modelState) {
			k := s.key()
			if _, ok := seen[k]; ok || violation != "" {
				return
			}
			seen[k] = struct{}{}
			if f := s.violation(); f != "" {
				violation = f + s.trace()
			}
			next = append(next, s)
		}
		for _, st := range frontier {
			st.successors(b, visit)
			if violation != "" {
				return violation, len(seen)
			}
		}
		frontier = next
	}
	return "", len(seen)
}

// explorations are the bounded searches. Together they cover loss (a message that is never
// delivered), duplication, reordering, pauses (a VM that takes no step), restarts, expiry, and
// changes of ownership.
var explorations = map[string]explorationBounds{
	"loans":     {depth: 5, ticks: 3, loanRequests: 2, duplicates: 1, lenderLimits: 2, requestedShares: anyShare, step: exploreStep},
	"expiry":    {depth: 7, ticks: 4, loanRequests: 1, duplicates: 1, requestedShares: quarterShare, step: exploreStep},
	"restarts":  {depth: 5, ticks: 3, loanRequests: 1, duplicates: 1, restarts: 1, requestedShares: quarterShare, step: exploreStep},
	"handovers": {depth: 6, ticks: 3, loanRequests: 1, transfers: 1, requestedShares: quarterShare, step: exploreStep},
	"renewals":  {depth: 10, ticks: 5, exchanges: 3, transfers: 1, requestedShares: quarterShare, step: exploreStep, skipAdmissions: true},
	"changes":   {depth: 6, ticks: 2, exchanges: 1, transfers: 1, restarts: 1, requestedShares: quarterShare, step: exploreLongStep},
	"crossings": {depth: 10, ticks: 4, loanRequests: 3, restarts: 1, requestedShares: quarterShare, step: exploreStep, skipAdmissions: true, singleBorrower: true},
	"returns":   {depth: 7, ticks: 1, loanRequests: 2, duplicates: 1, requestedShares: []Share{0, FullShare / 4}, step: exploreLongStep},
}

var (
	quarterShare = []Share{FullShare / 4}
	anyShare     = []Share{0, FullShare / 4, FullShare}
)

// deeper returns the bounds of the long run, which GRANT_EXPLORE=deep selects.
func (b explorationBounds) deeper() explorationBounds {
	b.depth++
	b.ticks++
	b.requestedShares = anyShare
	return b
}

// Guards against over-admission: a sequence of messages, expiries, restarts and changes of owners
// by which the fleet could admit more than burst + rate x window.
func TestExplore(t *testing.T) {
	t.Parallel()
	for name, b := range explorations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if os.Getenv("GRANT_EXPLORE") == "deep" {
				b = b.deeper()
			}
			start := time.Now()
			violation, states := explore(defaultRules, b)
			t.Logf("%d states %v", states, time.Since(start))
			is.New(t).Equal(violation, "")
		})
	}
}

// ruleBreaches disable one safety rule each and name the exploration that must find a violation.
var ruleBreaches = map[string]struct {
	set    func(*safetyRules)
	search string
}{
	"lender keeps using what it lends":        {func(r *safetyRules) { r.grantBeforeReduce = true }, "loans"},
	"borrower counts from the reply":          {func(r *safetyRules) { r.lifetimeFromReply = true }, "expiry"},
	"lender adds no margin":                   {func(r *safetyRules) { r.margin = 0 }, "renewals"},
	"new owner does not wait":                 {func(r *safetyRules) { r.skipActivationDelay = true }, "handovers"},
	"new owner starts with tokens":            {func(r *safetyRules) { r.startWithTokens = true }, "changes"},
	"replies are applied more than once":      {func(r *safetyRules) { r.acceptAnyReply = true }, "expiry"},
	"messages of earlier runs are accepted":   {func(r *safetyRules) { r.ignoreIncarnation = true }, "crossings"},
	"loan requests are accepted out of order": {func(r *safetyRules) { r.acceptOldRequest = true }, "loans"},
	"returned tokens are credited repeatedly": {func(r *safetyRules) { r.creditUnknownLoan = true }, "returns"},
	"a recall extends the loan":               {func(r *safetyRules) { r.extendRecalled = true }, "renewals"},
	"loans of a lost slot are renewed":        {func(r *safetyRules) { r.renewUnowned = true }, "renewals"},
	"tokens of an ended loan are kept":        {func(r *safetyRules) { r.keepExcessTokens = true }, "renewals"},
}

// Guards against an exploration that is too shallow to find a missing safety rule.
func TestExploreFindsBreaches(t *testing.T) {
	t.Parallel()
	for name, ruleBreach := range ruleBreaches {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := defaultRules
			ruleBreach.set(&r)
			b := explorations[ruleBreach.search]
			violation, states := explore(r, b)
			t.Logf("%d states: %s", states, violation)
			is.New(t).True(violation != "")
		})
	}
}

// Guards against expiries and activations at the wrong time: an account may be advanced late, as
// after a pause.
func TestAdvanceInOneStep(t *testing.T) {
	is := is.New(t)
	frequent := newModelState(defaultRules).accounts[0]
	g, ok := frequent.Lend(0, exploreVM(1), frequent.self, LoanRequest{Seq: 1, RequestedShare: FullShare}, FullShare/3)
	is.True(ok)
	is.Equal(g.Amount, FullShare/3)
	request := frequent.RequestLoan(time.Millisecond, exploreVM(2), FullShare/5)
	is.True(frequent.ApplyGrant(2*time.Millisecond, exploreVM(2), frequent.self, Grant{Seq: request.Seq, Loan: 1, Amount: FullShare / 5}))
	frequent.SetOwned(3*time.Millisecond, map[string]Share{slotName("d", 0): FullShare / 2, slotName("d", 1): FullShare / 4})
	single := frequent.clone()
	for now := 3 * time.Millisecond; now < 2*LoanLifetime; now += 7 * time.Microsecond {
		frequent.advance(now)
	}
	frequent.advance(2 * LoanLifetime)
	single.advance(2 * LoanLifetime)
	is.Equal(frequent.encode(), single.encode())
}
