package grant

import (
	"math"
	"math/bits"
	"time"
)

// NeverAdmitted is the wait of a request that no passage of time would admit.
const NeverAdmitted time.Duration = math.MaxInt64

const (
	// fractions is the number of parts into which a micro-token is divided while it accrues:
	// a rate in micro-tokens per second times a share times nanoseconds is in these parts.
	fractions = uint64(FullShare) * uint64(time.Second)
	// maxRefill bounds one refill step so that the product fits into 128 bits.
	maxRefill = time.Hour
	// MaxRate and MaxBurst are the largest configurable values, in requests (per second).
	// A rate in micro-tokens times Whole fits into 63 bits.
	MaxRate  = 1 << 22
	MaxBurst = 1 << 22
)

// rules are the safety rules of an account. Tests switch single rules off to show that the
// exploration finds the resulting violation.
type rules struct {
	lifetime time.Duration
	margin   time.Duration

	grantBeforeReduce bool // the lender keeps using what it lends
	countFromReply    bool // the borrower counts the lifetime from the reply
	skipWaitOut       bool // a new owner uses its share at once
	startWithTokens   bool // a new owner starts with the tokens of its share
	acceptAnyReply    bool // replies are applied repeatedly and after a later ask
	ignoreIncarnation bool // messages of earlier incarnations are accepted
	acceptOldAsk      bool // the lender accepts asks that are not newer than the last
	creditAnyLoan     bool // returned tokens are credited without a matching loan
	extendRecalled    bool // the borrower extends a loan of which the lender wants a part back
	renewUnowned      bool // the lender renews loans of a share that it no longer owns
	keepExcessTokens  bool // tokens above the share of the burst are kept
}

var standardRules = rules{lifetime: LoanLifetime, margin: LoanMargin}

// Account is the share of one workspace on one VM, together with its tokens.
type Account struct {
	workspace string
	self      RunID
	rules     rules
	rate      int64 // micro-tokens per second for the whole fleet
	burst     int64 // micro-tokens for the whole fleet

	now    time.Duration
	next   time.Duration // earliest expiry or activation
	tokens int64
	frac   uint64 // accrued part of a micro-token, in 1/fractions
	live   Share  // share in use now

	seq     uint64 // last ask
	lastID  uint64 // last loan granted
	slots   map[string]*slot
	loans   map[RunID]*loan // borrowed, by lender
	lending map[RunID]*lent // by borrower
}

// slot is an owned part of the workspace.
type slot struct {
	active   Share
	pending  Share // starts at startsAt
	startsAt time.Duration
}

// loan is a share borrowed from one lender, and the ask on the way to it.
type loan struct {
	id      uint64
	amount  Share
	expires time.Duration
	asked   uint64 // outstanding ask, 0 if none
	askedAt time.Duration
	kept    Share // Keep of the outstanding ask
}

// lent is the most that a borrower may hold of this account's share.
type lent struct {
	id      uint64
	amount  Share
	expires time.Duration
	seq     uint64 // latest ask seen
}

// NewAccount returns an account without any share. rate is in requests per second, burst in requests.
func NewAccount(workspace string, self RunID, now time.Duration, rate, burst float64) *Account {
	a := &Account{
		workspace: workspace,
		self:      self,
		rules:     standardRules,
		now:       now,
		next:      NeverAdmitted,
		slots:     map[string]*slot{},
		loans:     map[RunID]*loan{},
		lending:   map[RunID]*lent{},
	}
	a.rate = microTokens(rate, MaxRate)
	a.burst = microTokens(burst, MaxBurst)
	return a
}

// microTokens converts a number of requests to micro-tokens, rounded down.
func microTokens(requests, limit float64) int64 {
	bounded := min(max(requests, 0), limit)
	return int64(bounded * float64(MicroTokensPerToken))
}

// SetLimit changes rate and burst. Tokens are never added; those above the new burst are dropped.
func (a *Account) SetLimit(now time.Duration, rate, burst float64) {
	a.advance(now)
	a.rate = microTokens(rate, MaxRate)
	a.burst = microTokens(burst, MaxBurst)
	a.clamp()
}

// SetOwned replaces the owned slots, given as share by slot name. A decrease takes effect at once.
// An increase takes effect without tokens after all loans that an earlier owner may have granted
// have ended.
func (a *Account) SetOwned(now time.Duration, owned map[string]Share) {
	a.advance(now)
	for name, s := range a.slots {
		a.reduceSlot(s, owned[name])
		if owned[name] == 0 {
			delete(a.slots, name)
		}
	}
	for name, share := range owned {
		a.raiseSlot(name, share)
	}
	a.recount()
}

// reduceSlot lowers s to at most share, beginning with the part that has not started.
func (a *Account) reduceSlot(s *slot, share Share) {
	s.active = min(s.active, share)
	s.pending = min(s.pending, share-s.active)
}

// raiseSlot lets the slot grow to share after the wait-out.
func (a *Account) raiseSlot(name string, share Share) {
	s := a.slots[name]
	if s == nil && share == 0 {
		return
	}
	if s == nil {
		s = &slot{}
		a.slots[name] = s
	}
	if share <= s.active+s.pending {
		return
	}
	s.pending = share - s.active
	s.startsAt = a.now + a.rules.lifetime + a.rules.margin
	if a.rules.skipWaitOut {
		s.startsAt = a.now
	}
}

// Admit takes the tokens of n requests if the account holds them. Otherwise wait is the time after
// which it will hold them with its present share, or Never if the share is too small for n requests.
func (a *Account) Admit(now time.Duration, n int64) (ok bool, wait time.Duration) {
	a.advance(now)
	if n < 0 || n > math.MaxInt64/MicroTokensPerToken {
		return false, NeverAdmitted
	}
	cost := n * MicroTokensPerToken
	if a.tokens >= cost {
		a.tokens -= cost
		return true, 0
	}
	return false, a.waitFor(cost)
}

// waitFor returns the time until the account holds cost micro-tokens.
func (a *Account) waitFor(cost int64) time.Duration {
	if cost > a.capacity() || a.rate == 0 {
		return NeverAdmitted
	}
	perSecond := uint64(a.rate) * uint64(a.live)
	hi, lo := bits.Mul64(uint64(cost-a.tokens), fractions)
	if hi >= perSecond {
		return NeverAdmitted
	}
	wait, _ := bits.Div64(hi, lo, perSecond)
	if wait >= uint64(NeverAdmitted) {
		return NeverAdmitted
	}
	return time.Duration(wait) + 1
}

// RequestLoan returns the next ask to lender and gives up what exceeds want. The lifetime of the answer
// counts from now. A later ask to the same lender makes the answer to this one void.
func (a *Account) RequestLoan(now time.Duration, lender RunID, want Share) LoanRequest {
	a.advance(now)
	want = max(want, 0)
	l := a.loans[lender]
	if l == nil {
		l = &loan{}
		a.loans[lender] = l
	}
	returned := a.giveUp(l, want)
	a.seq++
	l.asked = a.seq
	l.askedAt = a.now
	l.kept = l.amount
	a.recount()
	return LoanRequest{
		Workspace:      a.workspace,
		Seq:            a.seq,
		Loan:           l.id,
		RetainedShare:  l.amount,
		ReturnedTokens: returned,
		RequestedShare: want,
		OtherShare:     a.live - l.amount,
	}
}

// giveUp reduces l to at most keep and returns the tokens that go with the reduction.
func (a *Account) giveUp(l *loan, keep Share) int64 {
	if l.amount <= keep {
		return 0
	}
	surplus := l.amount - keep
	tokens := mulDiv(a.tokens, int64(surplus), int64(a.live))
	l.amount = keep
	a.tokens -= tokens
	return tokens
}

// addressed reports whether a message to the given VM is for this run of the account's VM.
func (a *Account) addressed(to RunID) bool {
	if a.rules.ignoreIncarnation {
		return to.Name == a.self.Name
	}
	return to == a.self
}

// Lend answers an ask of borrower to lender, this VM. The borrower may hold up to limit of this
// account's share afterwards. ok is false if the ask is for another run of this VM or is not newer
// than the last one; it is not answered then.
func (a *Account) Lend(now time.Duration, borrower, lender RunID, ask LoanRequest, limit Share) (g Grant, ok bool) {
	a.advance(now)
	if !a.addressed(lender) {
		return Grant{}, false
	}
	l := a.lending[borrower]
	if l != nil && ask.Seq <= l.seq && !a.rules.acceptOldAsk {
		return Grant{}, false
	}
	if l == nil {
		a.lastID++
		l = &lent{id: a.lastID, expires: a.now}
		a.lending[borrower] = l
	}
	l.seq = ask.Seq
	a.takeBack(l, ask)
	amount := min(max(limit, 0), max(ask.RequestedShare, 0), a.most(l))
	return a.hand(l, ask, amount), true
}

// most returns the largest loan that the owned share allows. It is below the present loan if this
// account no longer owns all that it lends; such a loan is not renewed.
func (a *Account) most(l *lent) Share {
	if a.rules.renewUnowned {
		return l.amount + max(a.lendable(), 0)
	}
	return max(l.amount+a.lendable(), 0)
}

// takeBack records what the borrower has given up. The borrower ignores the answers to its earlier
// asks, so it holds no more than it keeps.
func (a *Account) takeBack(l *lent, ask LoanRequest) {
	known := ask.Loan == l.id
	if known || a.rules.creditAnyLoan {
		a.tokens += max(ask.ReturnedTokens, 0)
	}
	keep := max(ask.RetainedShare, 0)
	if !known {
		// The loan that the borrower mentions has ended.
		keep = 0
	}
	l.amount = min(l.amount, keep)
	a.recount()
}

// hand sets the loan to amount. A grant below the kept share is a request to return the
// difference; it extends nothing, because this account may no longer own what was lent.
func (a *Account) hand(l *lent, ask LoanRequest, amount Share) Grant {
	g := Grant{Workspace: a.workspace, Seq: ask.Seq, Loan: l.id, Amount: amount}
	if amount < l.amount {
		return g
	}
	if amount > l.amount && a.live > 0 {
		g.Tokens = mulDiv(a.tokens, int64(amount-l.amount), int64(a.live))
	}
	l.amount = amount
	l.expires = max(l.expires, a.now+a.rules.lifetime+a.rules.margin)
	if !a.rules.grantBeforeReduce {
		a.tokens -= g.Tokens
	}
	a.recount()
	return g
}

// ApplyGrant takes the answer of lender to an ask of borrower, this VM, and reports whether it took
// effect. Answers to other runs of this VM, and answers other than the first one to the latest ask
// are ignored. A grant below the kept share changes nothing: the loan ends at its time unless the
// next ask returns the difference.
func (a *Account) ApplyGrant(now time.Duration, lender, borrower RunID, g Grant) bool {
	a.advance(now)
	if !a.addressed(borrower) {
		return false
	}
	l := a.loans[lender]
	if l == nil {
		return false
	}
	if (l.asked == 0 || l.asked != g.Seq) && !a.rules.acceptAnyReply {
		return false
	}
	expires := l.askedAt + a.rules.lifetime
	if a.rules.countFromReply {
		expires = a.now + a.rules.lifetime
	}
	l.asked = 0
	if a.rules.extendRecalled && g.Amount < l.kept {
		l.expires = max(l.expires, expires)
	}
	if expires <= a.now || g.Amount < l.kept {
		return false
	}
	l.id = g.Loan
	l.amount = max(g.Amount, 0)
	l.expires = max(l.expires, expires)
	a.tokens += max(g.Tokens, 0)
	a.recount()
	return true
}

// Share returns the share in use at now.
func (a *Account) Share(now time.Duration) Share {
	a.advance(now)
	return a.live
}

// Tokens returns the micro-tokens held at now.
func (a *Account) Tokens(now time.Duration) int64 {
	a.advance(now)
	return a.tokens
}

// Borrowed returns the share held from lender and when it ends.
func (a *Account) Borrowed(now time.Duration, lender RunID) (Share, time.Duration) {
	a.advance(now)
	if l := a.loans[lender]; l != nil {
		return l.amount, l.expires
	}
	return 0, 0
}

// Lent returns the share that borrower may hold.
func (a *Account) Lent(now time.Duration, borrower RunID) Share {
	a.advance(now)
	if l := a.lending[borrower]; l != nil {
		return l.amount
	}
	return 0
}

// Lendable returns the owned share that is not lent.
func (a *Account) Lendable(now time.Duration) Share {
	a.advance(now)
	return max(a.lendable(), 0)
}

// lendable is negative while shares are lent that this account no longer owns.
func (a *Account) lendable() Share {
	owned := Share(0)
	for _, s := range a.slots {
		owned += s.active
	}
	if a.rules.grantBeforeReduce {
		return owned
	}
	for _, l := range a.lending {
		owned -= l.amount
	}
	return owned
}

// capacity returns the most micro-tokens that the account may hold.
func (a *Account) capacity() int64 {
	return mulDiv(a.burst, int64(a.live), int64(FullShare))
}

// advance brings the account to now: tokens accrue at the share in use at each moment, and loans
// end and slots start in the order of their times. The time never goes back.
func (a *Account) advance(now time.Duration) {
	for a.next <= now {
		a.refill(a.next)
		a.change()
	}
	a.refill(now)
}

// refill adds the tokens that accrue until t with the present share.
func (a *Account) refill(t time.Duration) {
	if t <= a.now {
		return
	}
	elapsed := min(t-a.now, maxRefill)
	a.now = t
	before := a.tokens
	hi, lo := bits.Mul64(uint64(a.rate)*uint64(a.live), uint64(elapsed))
	lo, carry := bits.Add64(lo, a.frac, 0)
	tokens, frac := bits.Div64(hi+carry, lo, fractions)
	a.tokens += int64(tokens)
	a.frac = frac
	a.clamp()
	if a.rules.keepExcessTokens {
		a.tokens = min(a.tokens, max(before, a.capacity()))
	}
}

// clamp drops tokens above the share of the burst.
func (a *Account) clamp() {
	limit := a.capacity()
	if a.tokens >= limit && !a.rules.keepExcessTokens {
		a.tokens = limit
		a.frac = 0
	}
}

// change applies the expiries and activations that are due.
func (a *Account) change() {
	for lender, l := range a.loans {
		if l.amount > 0 && l.expires <= a.now {
			l.amount = 0
			l.id = 0
		}
		if l.amount == 0 && (l.asked == 0 || l.askedAt+a.rules.lifetime <= a.now) {
			delete(a.loans, lender)
		}
	}
	for borrower, l := range a.lending {
		if l.expires <= a.now {
			delete(a.lending, borrower)
		}
	}
	for _, s := range a.slots {
		if s.pending > 0 && s.startsAt <= a.now {
			a.start(s)
		}
	}
	a.recount()
}

// start puts the pending part of s into use.
func (a *Account) start(s *slot) {
	if a.rules.startWithTokens {
		a.tokens += mulDiv(a.burst, int64(s.pending), int64(FullShare))
	}
	s.active += s.pending
	s.pending = 0
}

// recount updates the share in use and the time of the next change.
func (a *Account) recount() {
	a.live = max(a.lendable(), 0)
	a.next = NeverAdmitted
	for _, l := range a.loans {
		a.live += l.amount
		if l.amount > 0 {
			a.next = min(a.next, l.expires)
		} else {
			a.next = min(a.next, l.askedAt+a.rules.lifetime)
		}
	}
	for _, l := range a.lending {
		a.next = min(a.next, l.expires)
	}
	for _, s := range a.slots {
		if s.pending > 0 {
			a.next = min(a.next, s.startsAt)
		}
	}
	a.clamp()
}
