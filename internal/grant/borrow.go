package grant

import (
	"cmp"
	"slices"
	"time"
)

// idleDemand is the demand, in requests per second, below which a workspace needs no share. A
// single request falls below it after about 1.5 s.
const idleDemand = 1.0

// intent is an ask that the manager would like to send.
type intent struct {
	space *space
	want  Share
}

// plan collects the intents and recalls of one call of Poll, by lender.
type plan struct {
	asks    map[RunID][]intent
	recalls map[RunID][]string
	urgent  map[RunID]bool // a request waits for the answer, or another VM for the return
}

// Poll returns the borrow requests to send now. It is called every PollInterval, and after a refusal
// or the receipt of a message; calls that come too early do nothing. Requests of which no answer arrives need no
// further attention, but Unreachable saves the time until the next attempt.
func (m *Manager) Poll(now time.Duration) []BorrowRequest {
	if now < m.planAt {
		return nil
	}
	m.plannedAt = now
	m.planAt = now + PollInterval
	p := plan{asks: map[RunID][]intent{}, recalls: map[RunID][]string{}, urgent: map[RunID]bool{}}
	for _, name := range m.names {
		s := m.spaces[name]
		m.planLoans(now, s, &p)
		m.planRecalls(now, s, &p)
	}
	var out []BorrowRequest
	for _, vm := range m.receivers(&p) {
		if !m.mayMessage(now, vm) {
			continue
		}
		out = append(out, m.request(now, vm, &p))
	}
	return out
}

// receivers returns the VMs for which p has a message, urgent ones first and otherwise in random
// order, so that the bound on messages disadvantages none of them.
func (m *Manager) receivers(p *plan) []RunID {
	var vms []RunID
	for vm := range p.asks {
		vms = append(vms, vm)
	}
	for vm := range p.recalls {
		if len(p.asks[vm]) == 0 {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, RunID.Compare)
	m.random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	slices.SortStableFunc(vms, func(a, b RunID) int {
		if p.urgent[a] == p.urgent[b] {
			return 0
		}
		if p.urgent[a] {
			return -1
		}
		return 1
	})
	return vms
}

// mayMessage takes one message to vm from the budgets.
func (m *Manager) mayMessage(now time.Duration, vm RunID) bool {
	p := m.peers[vm]
	if p == nil || now < p.notBefore {
		return false
	}
	if !m.sending.take(now, messageRate, messageBurst) {
		return false
	}
	if !p.sending.take(now, peerRate, peerBurst) {
		m.sending.left++
		return false
	}
	return true
}

// request turns the intents for one lender into asks.
func (m *Manager) request(now time.Duration, vm RunID, p *plan) BorrowRequest {
	r := BorrowRequest{From: m.self, To: vm, Recalls: p.recalls[vm]}
	for _, i := range p.asks[vm] {
		ask := i.space.account.RequestLoan(now, vm, i.want)
		ask.DemandShare = m.need(now, i.space)
		ask.TokensLow = m.short(now, i.space)
		l := i.space.lender(vm)
		l.askedAt = now
		l.outstanding = true
		l.recalled = false
		l.reduce = false
		r.LoanRequests = append(r.LoanRequests, ask)
	}
	for _, name := range r.Recalls {
		m.spaces[name].claims[vm].recalledAt = now
	}
	m.stats.Requests++
	m.stats.LoanRequests += int64(len(r.LoanRequests))
	return r
}

// lender returns what is known of vm.
func (s *space) lender(vm RunID) *lender {
	l := s.lenders[vm]
	if l == nil {
		l = &lender{}
		s.lenders[vm] = l
	}
	return l
}

// waiting reports whether an answer is still expected.
func (l *lender) waiting(now time.Duration) bool {
	return l.outstanding && now < l.askedAt+askTimeout
}

// candidate is a VM from which s borrows or could borrow.
type candidate struct {
	vm      RunID
	near    bool // in the same failure domain
	held    Share
	expires time.Duration
	owned   Share
	tie     int
}

// candidates returns the possible lenders, those in the own failure domain first.
func (m *Manager) candidates(now time.Duration, s *space) []candidate {
	var list []candidate
	for vm, p := range m.peers {
		held, expires := s.account.Borrowed(now, vm)
		if held == 0 && p.ownedShare == 0 {
			continue
		}
		list = append(list, candidate{vm: vm, near: p.Domain == m.domain, held: held, expires: expires, owned: p.ownedShare})
	}
	slices.SortFunc(list, func(a, b candidate) int { return a.vm.Compare(b.vm) })
	for i := range list {
		list[i].tie = m.random.Int()
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		if a.near != b.near {
			return farLast(a, b)
		}
		return cmp.Compare(a.tie, b.tie)
	})
	return list
}

// farLast orders lenders of other failure domains last.
func farLast(a, _ candidate) int {
	if a.near {
		return -1
	}
	return 1
}

// planLoans decides which loans of s to renew, return or add.
func (m *Manager) planLoans(now time.Duration, s *space, p *plan) {
	need := m.need(now, s)
	share := s.account.Share(now)
	if need == 0 && share == 0 {
		return
	}
	list := m.candidates(now, s)
	wants := make([]Share, len(list))
	due := make([]bool, len(list))
	for i, c := range list {
		l := s.lender(c.vm)
		wants[i] = c.held
		if l.reduce {
			wants[i] = min(c.held, l.keep)
		}
		renew := c.held > 0 && c.expires-now < renewBefore
		due[i] = renew || l.recalled || l.reduce
	}
	target := Share(min(float64(need)*headroom, float64(FullShare)))
	if float64(share) > float64(need)*surplus {
		m.planReturns(now, s, list, wants, due, share-target)
	}
	short := m.short(now, s)
	if share < need {
		m.planGrowth(now, s, list, wants, due, target-share, short)
	}
	for i, c := range list {
		l := s.lender(c.vm)
		if !due[i] || l.waiting(now) {
			continue
		}
		p.asks[c.vm] = append(p.asks[c.vm], intent{space: s, want: wants[i]})
		grows := short && wants[i] > c.held && l.expected(now, c) > 0
		p.urgent[c.vm] = p.urgent[c.vm] || grows || l.reduce
	}
}

// planReturns gives back excess, to other failure domains first.
func (m *Manager) planReturns(now time.Duration, s *space, list []candidate, wants []Share, due []bool, excess Share) {
	for i := len(list) - 1; i >= 0 && excess > 0; i-- {
		back := min(excess, wants[i])
		if back == 0 {
			continue
		}
		excess -= back
		wants[i] -= back
		l := s.lender(list[i].vm)
		due[i] = due[i] || now-l.askedAt >= reviewInterval
	}
}

// planGrowth spreads a deficit over the lenders that can be expected to cover it, and lets the
// others know of the need from time to time. A deficit that is not urgent is added to asks that are
// due anyway or that the last one is long enough past.
func (m *Manager) planGrowth(now time.Duration, s *space, list []candidate, wants []Share, due []bool, deficit Share, urgent bool) {
	for i, c := range list {
		l := s.lender(c.vm)
		expected := l.expected(now, c)
		if l.waiting(now) {
			deficit -= expected
			continue
		}
		more := min(deficit, expected)
		review := now-l.askedAt >= reviewInterval
		if more <= 0 || l.reduce || !(urgent || due[i] || review) {
			continue
		}
		wants[i] += more
		due[i] = true
		deficit -= more
	}
	if deficit <= 0 || len(list) == 0 || !urgent {
		return
	}
	each := deficit/Share(len(list)) + 1
	for i, c := range list {
		l := s.lender(c.vm)
		if l.reduce || (!due[i] && now-l.askedAt < retryInterval) {
			continue
		}
		wants[i] += each
		due[i] = true
	}
}

// expected returns the further share that the lender can be expected to lend.
func (l *lender) expected(now time.Duration, c candidate) Share {
	if l.known && now-l.spareAt < hintLifetime {
		return l.spare
	}
	return max(c.owned-c.held, 0)
}

// HandleReply applies the answer of a lender.
func (m *Manager) HandleReply(now time.Duration, r BorrowReply) {
	for _, g := range r.Grants {
		s := m.spaces[g.Workspace]
		if s == nil {
			continue
		}
		m.applyGrant(now, s, r, g)
	}
}

// applyGrant applies one grant and notes what it says about the lender.
func (m *Manager) applyGrant(now time.Duration, s *space, r BorrowReply, g Grant) {
	applied := s.account.ApplyGrant(now, r.From, r.To, g)
	l := s.lenders[r.From]
	if l == nil || r.To != m.self {
		return
	}
	l.outstanding = false
	l.known = true
	l.spare = g.SpareShare
	l.spareAt = now
	held, _ := s.account.Borrowed(now, r.From)
	if !applied && g.Amount < held {
		l.reduce = true
		l.keep = g.Amount
		m.planSoon()
	}
}

// MarkUnreachable records that a borrow request did not reach vm or was not answered.
func (m *Manager) MarkUnreachable(now time.Duration, vm RunID) {
	if p := m.peers[vm]; p != nil {
		p.notBefore = now + failureDelay
	}
	for _, s := range m.spaces {
		l := s.lenders[vm]
		if l == nil {
			continue
		}
		l.outstanding = false
		l.known = true
		l.spare = 0
		l.spareAt = now
	}
}
