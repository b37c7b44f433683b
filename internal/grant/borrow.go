package grant

import (
	"cmp"
	"slices"
	"time"
)

// minDemand is the demand, in requests per second, below which a workspace needs no share. The
// estimate after a single request falls below it after about 1.5 s.
const minDemand = 1.0

// plannedLoan is a loan request that the manager plans to send.
type plannedLoan struct {
	workspace      *workspaceState
	requestedShare Share
}

// plan collects the loan requests and recalls of one call of Poll, by receiver.
type plan struct {
	loans   map[RunID][]plannedLoan
	recalls map[RunID][]string
	urgent  map[RunID]bool // a request waits for the response, or another VM for the return
}

// Poll returns the borrow requests to send now. It is called every PollInterval, and after a
// refusal or the receipt of a message; calls that come too early do nothing. The caller may ignore
// a request that gets no response, but MarkUnreachable shortens the time until the next attempt.
func (m *Manager) Poll(now time.Duration) []BorrowRequest {
	if now < m.nextPlanAt {
		return nil
	}
	m.plannedAt = now
	m.nextPlanAt = now + PollInterval
	p := plan{loans: map[RunID][]plannedLoan{}, recalls: map[RunID][]string{}, urgent: map[RunID]bool{}}
	for _, name := range m.names {
		w := m.workspaces[name]
		m.planLoans(now, w, &p)
		m.planRecalls(now, w, &p)
	}
	var out []BorrowRequest
	for _, vm := range m.receivers(&p) {
		if !m.takeMessageBudget(now, vm) {
			continue
		}
		out = append(out, m.buildRequest(now, vm, &p))
	}
	return out
}

// receivers returns the VMs for which p has a message, urgent ones first and otherwise in random
// order, so that the limit on messages puts none of them at a disadvantage.
func (m *Manager) receivers(p *plan) []RunID {
	var vms []RunID
	for vm := range p.loans {
		vms = append(vms, vm)
	}
	for vm := range p.recalls {
		if len(p.loans[vm]) == 0 {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, RunID.Compare)
	m.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
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

// takeMessageBudget takes one message to vm from the message buckets and reports whether it may be
// sent.
func (m *Manager) takeMessageBudget(now time.Duration, vm RunID) bool {
	p := m.peers[vm]
	if p == nil || now < p.notBefore {
		return false
	}
	if !m.messages.take(now, messageRate, messageBurst) {
		return false
	}
	if !p.messages.take(now, peerRate, peerBurst) {
		m.messages.tokens++
		return false
	}
	return true
}

// buildRequest returns the borrow request to vm with its planned loan requests and recalls.
func (m *Manager) buildRequest(now time.Duration, vm RunID, p *plan) BorrowRequest {
	r := BorrowRequest{From: m.self, To: vm, Recalls: p.recalls[vm]}
	for _, loan := range p.loans[vm] {
		request := loan.workspace.account.RequestLoan(now, vm, loan.requestedShare)
		request.DemandShare = m.demandShare(now, loan.workspace)
		request.TokensLow = m.tokensLow(now, loan.workspace)
		l := loan.workspace.lenderState(vm)
		l.requestedAt = now
		l.outstanding = true
		l.recalled = false
		l.returnRequested = false
		r.LoanRequests = append(r.LoanRequests, request)
	}
	for _, name := range r.Recalls {
		m.workspaces[name].borrowers[vm].recalledAt = now
	}
	m.stats.Requests++
	m.stats.LoanRequests += int64(len(r.LoanRequests))
	return r
}

// lenderState returns the state kept about the lender vm.
func (s *workspaceState) lenderState(vm RunID) *lenderState {
	l := s.lenders[vm]
	if l == nil {
		l = &lenderState{}
		s.lenders[vm] = l
	}
	return l
}

// awaitsResponse reports whether a response is still expected.
func (l *lenderState) awaitsResponse(now time.Duration) bool {
	return l.outstanding && now < l.requestedAt+responseTimeout
}

// candidate is a VM from which a workspace borrows or could borrow.
type candidate struct {
	vm         RunID
	sameDomain bool // in the failure domain of this VM
	borrowed   Share
	expires    time.Duration
	ownedShare Share
	tieBreak   int
}

// candidates returns the possible lenders, those in the failure domain of this VM first.
func (m *Manager) candidates(now time.Duration, w *workspaceState) []candidate {
	var list []candidate
	for vm, p := range m.peers {
		held, expires := w.account.Borrowed(now, vm)
		if held == 0 && p.ownedShare == 0 {
			continue
		}
		list = append(list, candidate{vm: vm, sameDomain: p.Domain == m.domain, borrowed: held, expires: expires, ownedShare: p.ownedShare})
	}
	slices.SortFunc(list, func(a, b candidate) int { return a.vm.Compare(b.vm) })
	for i := range list {
		list[i].tieBreak = m.rng.Int()
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		if a.sameDomain != b.sameDomain {
			return otherDomainsLast(a, b)
		}
		return cmp.Compare(a.tieBreak, b.tieBreak)
	})
	return list
}

// otherDomainsLast orders lenders of other failure domains last.
func otherDomainsLast(a, _ candidate) int {
	if a.sameDomain {
		return -1
	}
	return 1
}

// planLoans decides which loans of w to renew, return or add.
func (m *Manager) planLoans(now time.Duration, w *workspaceState, p *plan) {
	demand := m.demandShare(now, w)
	share := w.account.Share(now)
	if demand == 0 && share == 0 {
		return
	}
	candidates := m.candidates(now, w)
	requested := make([]Share, len(candidates))
	due := make([]bool, len(candidates))
	for i, c := range candidates {
		l := w.lenderState(c.vm)
		requested[i] = c.borrowed
		if l.returnRequested {
			requested[i] = min(c.borrowed, l.retainLimit)
		}
		renew := c.borrowed > 0 && c.expires-now < renewBefore
		due[i] = renew || l.recalled || l.returnRequested
	}
	target := Share(min(float64(demand)*requestFactor, float64(FullShare)))
	if float64(share) > float64(demand)*returnFactor {
		m.planReturns(now, w, candidates, requested, due, share-target)
	}
	tokensLow := m.tokensLow(now, w)
	if share < demand {
		m.planGrowth(now, w, candidates, requested, due, target-share, tokensLow)
	}
	for i, c := range candidates {
		l := w.lenderState(c.vm)
		if !due[i] || l.awaitsResponse(now) {
			continue
		}
		p.loans[c.vm] = append(p.loans[c.vm], plannedLoan{workspace: w, requestedShare: requested[i]})
		grows := tokensLow && requested[i] > c.borrowed && l.expectedShare(now, c) > 0
		p.urgent[c.vm] = p.urgent[c.vm] || grows || l.returnRequested
	}
}

// planReturns returns the excess, to lenders in other failure domains first.
func (m *Manager) planReturns(now time.Duration, w *workspaceState, candidates []candidate, requested []Share, due []bool, excess Share) {
	for i := len(candidates) - 1; i >= 0 && excess > 0; i-- {
		returned := min(excess, requested[i])
		if returned == 0 {
			continue
		}
		excess -= returned
		requested[i] -= returned
		l := w.lenderState(candidates[i].vm)
		due[i] = due[i] || now-l.requestedAt >= routineInterval
	}
}

// planGrowth spreads a deficit over the lenders that can be expected to cover it, and periodically
// reports the demand to the others. A deficit that is not urgent is added only to requests that are
// due anyway, or to lenders without a request for routineInterval.
func (m *Manager) planGrowth(now time.Duration, w *workspaceState, candidates []candidate, requested []Share, due []bool, deficit Share, urgent bool) {
	for i, c := range candidates {
		l := w.lenderState(c.vm)
		expected := l.expectedShare(now, c)
		if l.awaitsResponse(now) {
			deficit -= expected
			continue
		}
		growth := min(deficit, expected)
		routineDue := now-l.requestedAt >= routineInterval
		if growth <= 0 || l.returnRequested || !(urgent || due[i] || routineDue) {
			continue
		}
		requested[i] += growth
		due[i] = true
		deficit -= growth
	}
	if deficit <= 0 || len(candidates) == 0 || !urgent {
		return
	}
	perLender := deficit/Share(len(candidates)) + 1
	for i, c := range candidates {
		l := w.lenderState(c.vm)
		if l.returnRequested || (!due[i] && now-l.requestedAt < retryInterval) {
			continue
		}
		requested[i] += perLender
		due[i] = true
	}
}

// expectedShare returns the further share that the lender can be expected to lend.
func (l *lenderState) expectedShare(now time.Duration, c candidate) Share {
	if l.spareKnown && now-l.spareAt < hintLifetime {
		return l.spareShare
	}
	return max(c.ownedShare-c.borrowed, 0)
}

// HandleReply applies the grants of a lender.
func (m *Manager) HandleReply(now time.Duration, r BorrowReply) {
	for _, g := range r.Grants {
		w := m.workspaces[g.Workspace]
		if w == nil {
			continue
		}
		m.applyGrant(now, w, r, g)
	}
}

// applyGrant applies one grant and records what it says about the lender.
func (m *Manager) applyGrant(now time.Duration, w *workspaceState, r BorrowReply, g Grant) {
	applied := w.account.ApplyGrant(now, r.From, r.To, g)
	l := w.lenders[r.From]
	if l == nil || r.To != m.self {
		return
	}
	l.outstanding = false
	l.spareKnown = true
	l.spareShare = g.SpareShare
	l.spareAt = now
	borrowed, _ := w.account.Borrowed(now, r.From)
	if !applied && g.Amount < borrowed {
		l.returnRequested = true
		l.retainLimit = g.Amount
		m.schedulePlan()
	}
}

// MarkUnreachable records that a borrow request did not reach vm or got no response.
func (m *Manager) MarkUnreachable(now time.Duration, vm RunID) {
	if p := m.peers[vm]; p != nil {
		p.notBefore = now + unreachableDelay
	}
	for _, s := range m.workspaces {
		l := s.lenders[vm]
		if l == nil {
			continue
		}
		l.outstanding = false
		l.spareKnown = true
		l.spareShare = 0
		l.spareAt = now
	}
}
