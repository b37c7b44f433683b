package grant

import (
	"math"
	"math/bits"
	"time"
)

// NeverAdmitted is the wait of a request that the account can never admit with its present share.
const NeverAdmitted time.Duration = math.MaxInt64

const (
	// fracPerMicroToken is the number of units into which a micro-token is divided while it
	// accrues. A rate in micro-tokens per second times a share times nanoseconds has this unit.
	fracPerMicroToken = uint64(FullShare) * uint64(time.Second)
	// maxRefillStep bounds one refill step so that the product fits into 128 bits.
	maxRefillStep = time.Hour
	// MaxRate and MaxBurst are the largest configurable values, in requests per second and
	// requests. A rate in micro-tokens times FullShare fits into 63 bits.
	MaxRate  = 1 << 22
	MaxBurst = 1 << 22
)

// safetyRules are the rules on which the limit depends. Each flag disables or breaks one rule;
// tests set single flags to show that the state exploration finds the resulting violation.
type safetyRules struct {
	lifetime time.Duration
	margin   time.Duration

	grantBeforeReduce   bool // the lender keeps using the share that it lends
	lifetimeFromReply   bool // the borrower counts the lifetime from the arrival of the reply
	skipActivationDelay bool // a new owner uses its share before earlier loans have expired
	startWithTokens     bool // a new owner starts with the tokens of its share
	acceptAnyReply      bool // replies are applied more than once and after a later loan request
	ignoreIncarnation   bool // messages for earlier incarnations are accepted
	acceptOldRequest    bool // the lender accepts loan requests that are not newer than the latest one
	creditUnknownLoan   bool // returned tokens are credited without a matching loan
	extendRecalled      bool // the borrower extends a loan although the lender requests a return
	renewUnowned        bool // the lender renews loans of a share that it no longer owns
	keepExcessTokens    bool // tokens above the share of the burst are kept
}

var defaultRules = safetyRules{lifetime: LoanLifetime, margin: LoanMargin}

// Account is the share of one workspace on one VM, together with its tokens.
type Account struct {
	workspace string
	self      RunID
	rules     safetyRules
	rate      int64 // micro-tokens per second for the whole fleet
	burst     int64 // micro-tokens for the whole fleet

	now         time.Duration
	nextChange  time.Duration // earliest expiry or activation
	tokens      int64
	fracTokens  uint64 // accrued fraction of a micro-token, in units of 1/fracPerMicroToken
	activeShare Share  // share in use: owned and not lent, plus borrowed

	lastSeq    uint64 // sequence number of the latest loan request
	lastLoanID uint64 // id of the latest loan granted
	slots      map[string]*slot
	borrowed   map[RunID]*borrowedLoan // by lender
	lent       map[RunID]*lentLoan     // by borrower
}

// slot is one owned part of the workspace.
type slot struct {
	active      Share
	pending     Share // becomes active at activatesAt
	activatesAt time.Duration
}

// borrowedLoan is a share borrowed from one lender, with the outstanding request to that lender.
type borrowedLoan struct {
	id          uint64
	amount      Share
	expires     time.Duration
	pendingSeq  uint64 // outstanding request, 0 if none
	requestedAt time.Duration
	retained    Share // RetainedShare of the outstanding request
}

// lentLoan is the upper bound of what a borrower may hold of this account's share.
type lentLoan struct {
	id      uint64
	amount  Share
	expires time.Duration
	seq     uint64 // latest loan request seen
}

// NewAccount returns an account without a share. rate is in requests per second, burst in requests.
func NewAccount(workspace string, self RunID, now time.Duration, rate, burst float64) *Account {
	a := &Account{
		workspace:  workspace,
		self:       self,
		rules:      defaultRules,
		now:        now,
		nextChange: NeverAdmitted,
		slots:      map[string]*slot{},
		borrowed:   map[RunID]*borrowedLoan{},
		lent:       map[RunID]*lentLoan{},
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

// SetLimit changes rate and burst. It adds no tokens, and drops those above the new burst.
func (a *Account) SetLimit(now time.Duration, rate, burst float64) {
	a.advance(now)
	a.rate = microTokens(rate, MaxRate)
	a.burst = microTokens(burst, MaxBurst)
	a.capTokens()
}

// SetOwned replaces the owned slots, given as share by slot name. A decrease takes effect at once.
// An increase takes effect, without tokens, once all loans that an earlier owner may have granted
// have expired.
func (a *Account) SetOwned(now time.Duration, owned map[string]Share) {
	a.advance(now)
	for name, s := range a.slots {
		a.shrinkSlot(s, owned[name])
		if owned[name] == 0 {
			delete(a.slots, name)
		}
	}
	for name, share := range owned {
		a.growSlot(name, share)
	}
	a.updateActiveShare()
}

// shrinkSlot lowers s to at most share, beginning with the part that is not yet active.
func (a *Account) shrinkSlot(s *slot, share Share) {
	s.active = min(s.active, share)
	s.pending = min(s.pending, share-s.active)
}

// growSlot raises the slot to share. The increase becomes active once loans granted by an earlier
// owner have expired.
func (a *Account) growSlot(name string, share Share) {
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
	s.activatesAt = a.now + a.rules.lifetime + a.rules.margin
	if a.rules.skipActivationDelay {
		s.activatesAt = a.now
	}
}

// Admit takes the tokens of n requests if the account holds them. Otherwise wait is the time after
// which it will hold them with its present share, or NeverAdmitted if the share is too small for n
// requests.
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
	perSecond := uint64(a.rate) * uint64(a.activeShare)
	hi, lo := bits.Mul64(uint64(cost-a.tokens), fracPerMicroToken)
	if hi >= perSecond {
		return NeverAdmitted
	}
	wait, _ := bits.Div64(hi, lo, perSecond)
	if wait >= uint64(NeverAdmitted) {
		return NeverAdmitted
	}
	return time.Duration(wait) + 1
}

// RequestLoan returns the next loan request to lender and releases what is held above requested.
// The lifetime of the granted loan counts from now. A later request to the same lender voids the
// response to this one.
func (a *Account) RequestLoan(now time.Duration, lender RunID, requested Share) LoanRequest {
	a.advance(now)
	requested = max(requested, 0)
	l := a.borrowed[lender]
	if l == nil {
		l = &borrowedLoan{}
		a.borrowed[lender] = l
	}
	returned := a.returnShare(l, requested)
	a.lastSeq++
	l.pendingSeq = a.lastSeq
	l.requestedAt = a.now
	l.retained = l.amount
	a.updateActiveShare()
	return LoanRequest{
		Workspace:      a.workspace,
		Seq:            a.lastSeq,
		Loan:           l.id,
		RetainedShare:  l.amount,
		ReturnedTokens: returned,
		RequestedShare: requested,
		OtherShare:     a.activeShare - l.amount,
	}
}

// returnShare reduces l to at most retain and returns the tokens that go with the released share.
func (a *Account) returnShare(l *borrowedLoan, retain Share) int64 {
	if l.amount <= retain {
		return 0
	}
	surplus := l.amount - retain
	tokens := mulDiv(a.tokens, int64(surplus), int64(a.activeShare))
	l.amount = retain
	a.tokens -= tokens
	return tokens
}

// isForThisRun reports whether a message to the given run is for this run of the account's VM.
func (a *Account) isForThisRun(to RunID) bool {
	if a.rules.ignoreIncarnation {
		return to.Name == a.self.Name
	}
	return to == a.self
}

// Lend responds to a loan request of borrower to lender, this VM. Afterwards the borrower may hold
// up to limit of this account's share. ok is false, and there is no response, if the request is for
// another run of this VM or is not newer than the latest one.
func (a *Account) Lend(now time.Duration, borrower, lender RunID, r LoanRequest, limit Share) (g Grant, ok bool) {
	a.advance(now)
	if !a.isForThisRun(lender) {
		return Grant{}, false
	}
	l := a.lent[borrower]
	if l != nil && r.Seq <= l.seq && !a.rules.acceptOldRequest {
		return Grant{}, false
	}
	if l == nil {
		a.lastLoanID++
		l = &lentLoan{id: a.lastLoanID, expires: a.now}
		a.lent[borrower] = l
	}
	l.seq = r.Seq
	a.recordReturn(l, r)
	amount := min(max(limit, 0), max(r.RequestedShare, 0), a.maxLoan(l))
	return a.grantLoan(l, r, amount), true
}

// maxLoan returns the largest loan that the owned share allows. It is below the present loan if
// this account no longer owns all that it lends; such a loan is not renewed.
func (a *Account) maxLoan(l *lentLoan) Share {
	if a.rules.renewUnowned {
		return l.amount + max(a.lendable(), 0)
	}
	return max(l.amount+a.lendable(), 0)
}

// recordReturn records what the borrower has released. The borrower ignores responses to its
// earlier requests, so it holds no more than the retained share.
func (a *Account) recordReturn(l *lentLoan, r LoanRequest) {
	sameLoan := r.Loan == l.id
	if sameLoan || a.rules.creditUnknownLoan {
		a.tokens += max(r.ReturnedTokens, 0)
	}
	retained := max(r.RetainedShare, 0)
	if !sameLoan {
		// The loan that the borrower names has expired.
		retained = 0
	}
	l.amount = min(l.amount, retained)
	a.updateActiveShare()
}

// grantLoan sets the loan to amount. A grant below the retained share requests the return of the
// difference. It extends nothing, because this account may no longer own what was lent.
func (a *Account) grantLoan(l *lentLoan, r LoanRequest, amount Share) Grant {
	g := Grant{Workspace: a.workspace, Seq: r.Seq, Loan: l.id, Amount: amount}
	if amount < l.amount {
		return g
	}
	if amount > l.amount && a.activeShare > 0 {
		g.Tokens = mulDiv(a.tokens, int64(amount-l.amount), int64(a.activeShare))
	}
	l.amount = amount
	l.expires = max(l.expires, a.now+a.rules.lifetime+a.rules.margin)
	if !a.rules.grantBeforeReduce {
		a.tokens -= g.Tokens
	}
	a.updateActiveShare()
	return g
}

// ApplyGrant applies the response of lender to a loan request of borrower, this VM, and reports
// whether it took effect. It ignores responses to other runs of this VM and all but the first
// response to the latest request. A grant below the retained share changes nothing: the loan
// expires at its time unless the next request returns the difference.
func (a *Account) ApplyGrant(now time.Duration, lender, borrower RunID, g Grant) bool {
	a.advance(now)
	if !a.isForThisRun(borrower) {
		return false
	}
	l := a.borrowed[lender]
	if l == nil {
		return false
	}
	if (l.pendingSeq == 0 || l.pendingSeq != g.Seq) && !a.rules.acceptAnyReply {
		return false
	}
	expires := l.requestedAt + a.rules.lifetime
	if a.rules.lifetimeFromReply {
		expires = a.now + a.rules.lifetime
	}
	l.pendingSeq = 0
	if a.rules.extendRecalled && g.Amount < l.retained {
		l.expires = max(l.expires, expires)
	}
	if expires <= a.now || g.Amount < l.retained {
		return false
	}
	l.id = g.Loan
	l.amount = max(g.Amount, 0)
	l.expires = max(l.expires, expires)
	a.tokens += max(g.Tokens, 0)
	a.updateActiveShare()
	return true
}

// Share returns the share in use at now.
func (a *Account) Share(now time.Duration) Share {
	a.advance(now)
	return a.activeShare
}

// Tokens returns the micro-tokens held at now.
func (a *Account) Tokens(now time.Duration) int64 {
	a.advance(now)
	return a.tokens
}

// Borrowed returns the share held from lender and when it expires.
func (a *Account) Borrowed(now time.Duration, lender RunID) (Share, time.Duration) {
	a.advance(now)
	if l := a.borrowed[lender]; l != nil {
		return l.amount, l.expires
	}
	return 0, 0
}

// Lent returns the share that borrower may hold.
func (a *Account) Lent(now time.Duration, borrower RunID) Share {
	a.advance(now)
	if l := a.lent[borrower]; l != nil {
		return l.amount
	}
	return 0
}

// Lendable returns the owned share that is not lent.
func (a *Account) Lendable(now time.Duration) Share {
	a.advance(now)
	return max(a.lendable(), 0)
}

// lendable returns the owned share that is not lent. It is negative while loans exceed what this
// account still owns.
func (a *Account) lendable() Share {
	owned := Share(0)
	for _, s := range a.slots {
		owned += s.active
	}
	if a.rules.grantBeforeReduce {
		return owned
	}
	for _, l := range a.lent {
		owned -= l.amount
	}
	return owned
}

// capacity returns the maximum number of micro-tokens that the account may hold.
func (a *Account) capacity() int64 {
	return mulDiv(a.burst, int64(a.activeShare), int64(FullShare))
}

// advance brings the account up to now. Tokens accrue at the share in use at each moment; loans
// expire and slots become active in the order of their times. The time never goes back.
func (a *Account) advance(now time.Duration) {
	for a.nextChange <= now {
		a.refill(a.nextChange)
		a.applyDueChanges()
	}
	a.refill(now)
}

// refill adds the tokens that accrue until t at the present share.
func (a *Account) refill(t time.Duration) {
	if t <= a.now {
		return
	}
	elapsed := min(t-a.now, maxRefillStep)
	a.now = t
	before := a.tokens
	hi, lo := bits.Mul64(uint64(a.rate)*uint64(a.activeShare), uint64(elapsed))
	lo, carry := bits.Add64(lo, a.fracTokens, 0)
	tokens, frac := bits.Div64(hi+carry, lo, fracPerMicroToken)
	a.tokens += int64(tokens)
	a.fracTokens = frac
	a.capTokens()
	if a.rules.keepExcessTokens {
		a.tokens = min(a.tokens, max(before, a.capacity()))
	}
}

// capTokens drops tokens above the share of the burst.
func (a *Account) capTokens() {
	limit := a.capacity()
	if a.tokens >= limit && !a.rules.keepExcessTokens {
		a.tokens = limit
		a.fracTokens = 0
	}
}

// applyDueChanges applies the expiries and activations that are due.
func (a *Account) applyDueChanges() {
	for lender, l := range a.borrowed {
		if l.amount > 0 && l.expires <= a.now {
			l.amount = 0
			l.id = 0
		}
		if l.amount == 0 && (l.pendingSeq == 0 || l.requestedAt+a.rules.lifetime <= a.now) {
			delete(a.borrowed, lender)
		}
	}
	for borrower, l := range a.lent {
		if l.expires <= a.now {
			delete(a.lent, borrower)
		}
	}
	for _, s := range a.slots {
		if s.pending > 0 && s.activatesAt <= a.now {
			a.activate(s)
		}
	}
	a.updateActiveShare()
}

// activate puts the pending part of s into use.
func (a *Account) activate(s *slot) {
	if a.rules.startWithTokens {
		a.tokens += mulDiv(a.burst, int64(s.pending), int64(FullShare))
	}
	s.active += s.pending
	s.pending = 0
}

// updateActiveShare recomputes the share in use and the time of the next change.
func (a *Account) updateActiveShare() {
	a.activeShare = max(a.lendable(), 0)
	a.nextChange = NeverAdmitted
	for _, l := range a.borrowed {
		a.activeShare += l.amount
		if l.amount > 0 {
			a.nextChange = min(a.nextChange, l.expires)
		} else {
			a.nextChange = min(a.nextChange, l.requestedAt+a.rules.lifetime)
		}
	}
	for _, l := range a.lent {
		a.nextChange = min(a.nextChange, l.expires)
	}
	for _, s := range a.slots {
		if s.pending > 0 {
			a.nextChange = min(a.nextChange, s.activatesAt)
		}
	}
	a.capTokens()
}
