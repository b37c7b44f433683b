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
		}
	}
	reply = BorrowReply{From: m.self, To: r.From}
	for _, ask := range r.Asks {
		s := m.spaces[ask.Workspace]
		if s == nil {
			continue
		}
		limit, spare := m.limit(now, s, r.From, ask)
		g, answered := s.account.Lend(now, r.From, r.To, ask, limit)
		if !answered {
			continue
		}
		g.Spare = spare
		reply.Grants = append(reply.Grants, g)
	}
	m.stats.Replies++
	return reply, true
}

// standing is the share and need of one VM as the lender knows them.
type standing struct {
	share, need Share
}

// ratio returns share relative to need.
func (s standing) ratio() float64 { return float64(s.share) / float64(max(s.need, 1)) }

// short reports whether the VM has less than the common ratio, or less than its need if there is
// enough for all.
func (s standing) short(common float64) bool {
	return s.need > 0 && s.ratio() < min(common, 1)*shortRatio
}

// standings returns this VM's standing and those of the borrowers that have asked recently.
func (m *Manager) standings(now time.Duration, s *space) (own standing, others map[VM]standing) {
	own = standing{share: s.account.Share(now), need: m.need(now, s)}
	others = map[VM]standing{}
	for vm, c := range s.claims {
		if now-c.at > claimLifetime {
			delete(s.claims, vm)
			continue
		}
		others[vm] = standing{share: c.have + s.account.Lent(now, vm), need: c.need}
	}
	return own, others
}

// commonRatio returns the ratio of share to need that all VMs would have if the shares were
// divided in proportion to the needs.
func commonRatio(own standing, others map[VM]standing) float64 {
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
func (m *Manager) limit(now time.Duration, s *space, borrower VM, ask Ask) (limit, spare Share) {
	m.noteClaim(now, s, borrower, ask)
	own, others := m.standings(now, s)
	common := commonRatio(own, others)
	lent := s.account.Lent(now, borrower)
	kept := min(lent, ask.Keep)
	theirs := standing{share: ask.Have + kept, need: ask.Need}

	pool := s.account.Lendable(now) + lent - kept
	borrowed := own.share - s.account.Lendable(now)
	keep := max(Share(min(common, maxKeep)*float64(own.need))-borrowed, 0)
	free := max(pool-keep, 0)
	if ask.Want > kept {
		grow := min(ask.Want-kept, free)
		if common < 1 {
			grow = min(grow, Share(common*float64(ask.Need))-theirs.share)
		}
		grow = max(grow, 0)
		if standing.short(standing{theirs.share + grow, theirs.need}, common) {
			s.contestedUntil = now + hintLifetime
		}
		return kept + grow, free - grow
	}
	if theirs.ratio() > common*unevenness && m.othersShort(own, others, borrower, common) {
		scale := max(common/theirs.ratio(), leastReturn)
		return Share(float64(kept) * scale), free
	}
	return kept, free
}

// noteClaim records the standing of a borrower.
func (m *Manager) noteClaim(now time.Duration, s *space, borrower VM, ask Ask) {
	c := s.claims[borrower]
	if c == nil {
		c = &claim{}
		s.claims[borrower] = c
	}
	c.need = ask.Need
	c.have = ask.Have
	c.at = now
}

// othersShort reports whether this VM or a borrower other than the given one is short.
func (m *Manager) othersShort(own standing, others map[VM]standing, borrower VM, common float64) bool {
	if own.short(common) {
		return true
	}
	for vm, o := range others {
		if vm != borrower && o.short(common) {
			return true
		}
	}
	return false
}

// planRecalls asks borrowers above the common ratio to renew early while this VM or another
// borrower is short.
func (m *Manager) planRecalls(now time.Duration, s *space, p *plan) {
	if len(s.claims) == 0 {
		return
	}
	own, others := m.standings(now, s)
	common := commonRatio(own, others)
	if !own.short(common) && now >= s.contestedUntil {
		return
	}
	for _, vm := range slices.SortedFunc(maps.Keys(others), VM.Compare) {
		lent := s.account.Lent(now, vm)
		c := s.claims[vm]
		if lent == 0 || others[vm].ratio() <= common*unevenness || now-c.recalledAt < reviewInterval {
			continue
		}
		p.recalls[vm] = append(p.recalls[vm], s.name)
	}
}
