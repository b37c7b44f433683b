package grant

import (
	"maps"
	"slices"
	"time"
)

// HandleRequest answers a borrow request. ok is false if the request is for another run of this VM.
func (m *Manager) HandleRequest(now time.Duration, r BorrowRequest) (reply BorrowReply, ok bool) {
	if r.To != m.self {
		return BorrowReply{}, false
	}
	for _, name := range r.Recalls {
		if s := m.spaces[name]; s != nil {
			s.lender(r.From).recalled = true
			m.planSoon()
		}
	}
	reply = BorrowReply{From: m.self, To: r.From}
	for _, ask := range r.LoanRequests {
		s := m.spaces[ask.Workspace]
		if s == nil {
			continue
		}
		limit, spare := m.limit(now, s, r.From, ask)
		g, answered := s.account.Lend(now, r.From, r.To, ask, limit)
		if !answered {
			continue
		}
		g.SpareShare = spare
		reply.Grants = append(reply.Grants, g)
	}
	m.stats.Replies++
	return reply, true
}

// standing is the share and need of one VM as the lender knows them.
type standing struct {
	share, need Share
	short       bool
}

// ratio returns share relative to need.
func (s standing) ratio() float64 { return float64(s.share) / float64(max(s.need, 1)) }

// wronged reports whether the VM is short and below the common ratio, or below its need if there
// is enough for all.
func (s standing) wronged(common float64) bool {
	return s.short && s.ratio() < min(common, 1)*shortRatio
}

// standings returns this VM's standing and those of the borrowers that have asked recently.
func (m *Manager) standings(now time.Duration, s *space) (own standing, others map[RunID]standing) {
	own = standing{share: s.account.Share(now), need: m.need(now, s), short: m.short(now, s)}
	others = map[RunID]standing{}
	for vm, c := range s.claims {
		if now-c.at > claimLifetime {
			delete(s.claims, vm)
			continue
		}
		others[vm] = standing{share: c.have + s.account.Lent(now, vm), need: c.need, short: c.short}
	}
	return own, others
}

// commonRatio returns the ratio of share to need that all VMs would have if the shares were
// divided in proportion to the needs.
func commonRatio(own standing, others map[RunID]standing) float64 {
	sum := own
	for _, o := range others {
		sum.share += o.share
		sum.need += o.need
	}
	return sum.ratio()
}

// limit decides how much of the own share the borrower may hold, and how much could be lent in
// addition. Shares move towards the common ratio: a borrower below it may grow up to it, a borrower
// above it is recalled while another VM is short. A recall scales the loan by the ratio itself, so
// that several lenders who recall at the same time do not take too much.
func (m *Manager) limit(now time.Duration, s *space, borrower RunID, ask LoanRequest) (limit, spare Share) {
	m.noteClaim(now, s, borrower, ask)
	own, others := m.standings(now, s)
	common := commonRatio(own, others)
	lent := s.account.Lent(now, borrower)
	kept := min(lent, ask.RetainedShare)
	theirs := standing{share: ask.OtherShare + kept, need: ask.DemandShare, short: ask.TokensLow}

	if theirs.ratio() > common*unevenness && othersWronged(own, others, borrower, common) {
		scale := max(common/theirs.ratio(), leastReturn)
		return Share(float64(kept) * scale), 0
	}
	free := m.free(now, s, own, common) + lent - kept
	grow := min(ask.RequestedShare-kept, free)
	if common < 1 {
		grow = min(grow, Share(common*float64(ask.DemandShare))-theirs.share)
	}
	grow = max(grow, 0)
	theirs.share += grow
	if theirs.wronged(common) {
		s.contestedUntil = now + hintLifetime
	}
	return kept + grow, max(free-grow, 0)
}

// free returns the owned share that is neither lent nor due to this VM itself.
func (m *Manager) free(now time.Duration, s *space, own standing, common float64) Share {
	lendable := s.account.Lendable(now)
	borrowed := own.share - lendable
	keep := max(Share(min(common, maxKeep)*float64(own.need))-borrowed, 0)
	return max(lendable-keep, 0)
}

// noteClaim records the standing of a borrower.
func (m *Manager) noteClaim(now time.Duration, s *space, borrower RunID, ask LoanRequest) {
	c := s.claims[borrower]
	if c == nil {
		c = &claim{}
		s.claims[borrower] = c
	}
	c.need = ask.DemandShare
	c.have = ask.OtherShare
	c.short = ask.TokensLow
	c.at = now
}

// othersWronged reports whether this VM or a borrower other than the given one is wronged.
func othersWronged(own standing, others map[RunID]standing, borrower RunID, common float64) bool {
	if own.wronged(common) {
		return true
	}
	for vm, o := range others {
		if vm != borrower && o.wronged(common) {
			return true
		}
	}
	return false
}

// planRecalls asks borrowers to renew early: those above the common ratio while another VM is
// wronged, and short ones when there is a share to lend again.
func (m *Manager) planRecalls(now time.Duration, s *space, p *plan) {
	if len(s.claims) == 0 {
		return
	}
	own, others := m.standings(now, s)
	common := commonRatio(own, others)
	contested := own.wronged(common) || now < s.contestedUntil
	free := m.free(now, s, own, common)
	for _, vm := range slices.SortedFunc(maps.Keys(others), RunID.Compare) {
		o := others[vm]
		above := contested && s.account.Lent(now, vm) > 0 && o.ratio() > common*unevenness
		below := o.wronged(common) && free > leastOffer
		if (above || below) && now-s.claims[vm].recalledAt >= reviewInterval {
			p.recalls[vm] = append(p.recalls[vm], s.name)
		}
	}
}
