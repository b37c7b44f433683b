package grant

import (
	"maps"
	"slices"
	"time"
)

// HandleRequest responds to a borrow request. ok is false if the request is for another run of this
// VM.
func (m *Manager) HandleRequest(now time.Duration, r BorrowRequest) (reply BorrowReply, ok bool) {
	if r.To != m.self {
		return BorrowReply{}, false
	}
	for _, name := range r.Recalls {
		if w := m.workspaces[name]; w != nil {
			w.lenderState(r.From).recalled = true
			m.schedulePlan()
		}
	}
	reply = BorrowReply{From: m.self, To: r.From}
	for _, request := range r.LoanRequests {
		w := m.workspaces[request.Workspace]
		if w == nil {
			continue
		}
		limit, spare := m.loanLimit(now, w, r.From, request)
		g, answered := w.account.Lend(now, r.From, r.To, request, limit)
		if !answered {
			continue
		}
		g.SpareShare = spare
		reply.Grants = append(reply.Grants, g)
	}
	m.stats.Replies++
	return reply, true
}

// usage is the share and the demand of one VM as the lender knows them.
type usage struct {
	share, demand Share
	tokensLow     bool
}

// ratio returns the share relative to the demand.
func (s usage) ratio() float64 { return float64(s.share) / float64(max(s.demand, 1)) }

// underserved reports whether the VM is low on tokens and below the fair ratio, or below its demand
// if there is enough for all.
func (s usage) underserved(fairRatio float64) bool {
	return s.tokensLow && s.ratio() < min(fairRatio, 1)*underservedRatio
}

// usages returns the usage of this VM and of the borrowers that have sent a request recently.
func (m *Manager) usages(now time.Duration, w *workspaceState) (own usage, others map[RunID]usage) {
	own = usage{share: w.account.Share(now), demand: m.demandShare(now, w), tokensLow: m.tokensLow(now, w)}
	others = map[RunID]usage{}
	for vm, c := range w.borrowers {
		if now-c.requestedAt > borrowerLifetime {
			delete(w.borrowers, vm)
			continue
		}
		others[vm] = usage{share: c.otherShare + w.account.Lent(now, vm), demand: c.demandShare, tokensLow: c.tokensLow}
	}
	return own, others
}

// fairRatioOf returns the ratio of share to demand that every VM would have if the shares were
// divided in proportion to the demand.
func fairRatioOf(own usage, others map[RunID]usage) float64 {
	sum := own
	for _, o := range others {
		sum.share += o.share
		sum.demand += o.demand
	}
	return sum.ratio()
}

// loanLimit returns how much of the own share the borrower may hold, and how much more could be
// lent. Shares move towards the fair ratio: a borrower below it may grow up to it, and a borrower
// above it is recalled while another VM is underserved. A recall scales the loan by the ratio
// itself, so that several lenders that recall at the same time do not take too much.
func (m *Manager) loanLimit(now time.Duration, w *workspaceState, borrower RunID, r LoanRequest) (limit, spare Share) {
	m.recordBorrower(now, w, borrower, r)
	own, others := m.usages(now, w)
	fairRatio := fairRatioOf(own, others)
	lent := w.account.Lent(now, borrower)
	retained := min(lent, r.RetainedShare)
	borrowerUsage := usage{share: r.OtherShare + retained, demand: r.DemandShare, tokensLow: r.TokensLow}

	if borrowerUsage.ratio() > fairRatio*ratioTolerance && otherUnderserved(own, others, borrower, fairRatio) {
		scale := max(fairRatio/borrowerUsage.ratio(), minRecallScale)
		return Share(float64(retained) * scale), 0
	}
	free := m.freeShare(now, w, own, fairRatio) + lent - retained
	growth := min(r.RequestedShare-retained, free)
	if fairRatio < 1 {
		growth = min(growth, Share(fairRatio*float64(r.DemandShare))-borrowerUsage.share)
	}
	growth = max(growth, 0)
	borrowerUsage.share += growth
	if borrowerUsage.underserved(fairRatio) {
		w.contestedUntil = now + hintLifetime
	}
	return retained + growth, max(free-growth, 0)
}

// freeShare returns the owned share that is neither lent nor reserved for this VM.
func (m *Manager) freeShare(now time.Duration, w *workspaceState, own usage, fairRatio float64) Share {
	lendable := w.account.Lendable(now)
	borrowed := own.share - lendable
	reserved := max(Share(min(fairRatio, reserveFactor)*float64(own.demand))-borrowed, 0)
	return max(lendable-reserved, 0)
}

// recordBorrower records the demand that a borrower reports.
func (m *Manager) recordBorrower(now time.Duration, w *workspaceState, borrower RunID, r LoanRequest) {
	b := w.borrowers[borrower]
	if b == nil {
		b = &borrowerState{}
		w.borrowers[borrower] = b
	}
	b.demandShare = r.DemandShare
	b.otherShare = r.OtherShare
	b.tokensLow = r.TokensLow
	b.requestedAt = now
}

// otherUnderserved reports whether this VM or a borrower other than the given one is underserved.
func otherUnderserved(own usage, others map[RunID]usage, borrower RunID, fairRatio float64) bool {
	if own.underserved(fairRatio) {
		return true
	}
	for vm, o := range others {
		if vm != borrower && o.underserved(fairRatio) {
			return true
		}
	}
	return false
}

// planRecalls asks borrowers to renew early: those above the fair ratio while another VM is
// underserved, and underserved ones when there is a share to lend again.
func (m *Manager) planRecalls(now time.Duration, w *workspaceState, p *plan) {
	if len(w.borrowers) == 0 {
		return
	}
	own, others := m.usages(now, w)
	fairRatio := fairRatioOf(own, others)
	contested := own.underserved(fairRatio) || now < w.contestedUntil
	freeShare := m.freeShare(now, w, own, fairRatio)
	for _, vm := range slices.SortedFunc(maps.Keys(others), RunID.Compare) {
		o := others[vm]
		overserved := contested && w.account.Lent(now, vm) > 0 && o.ratio() > fairRatio*ratioTolerance
		underserved := o.underserved(fairRatio) && freeShare > minFreeShare
		if (overserved || underserved) && now-w.borrowers[vm].recalledAt >= routineInterval {
			p.recalls[vm] = append(p.recalls[vm], w.name)
		}
	}
}
