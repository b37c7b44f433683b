package promotion

import (
	"fmt"
	"slices"
	"time"

	"siskinrouter/internal/session"
)

// phase is a stage of a promotion attempt.
type phase uint8

const (
	idle phase = iota
	fencing
	promoting
)

// attempt is one attempt to promote a server in a new term.
type attempt struct {
	phase      phase
	term       uint64
	cause      string
	avoid      string // suspected primary; promoted only if no other server is eligible
	evidence   string
	phaseStart time.Duration
	grants     []grant
	refusals   int
	candidate  string // server being promoted
	logEnd     session.Position
	majorityAt time.Duration // time of the grant that completed the majority
}

// grant is the promise of a server not to accept a lower term, with the end of its log at that time.
type grant struct {
	server string
	logEnd session.Position
}

// startAttempt fences all servers in a term above every term that this coordinator has seen or used.
func (c *Coordinator) startAttempt(now time.Duration, cause string) {
	c.highestTerm++
	c.attempt = attempt{phase: fencing, term: c.highestTerm, cause: cause, evidence: c.evidence(now), phaseStart: now}
	c.emitStateChange("promotion started", c.highestTerm, "", cause, now)
	for _, s := range c.servers {
		c.emit(ControlRequest{Server: s.Name, Op: Fence, Term: c.highestTerm, CoordinatorID: c.cfg.CoordinatorID})
	}
}

// handleResponse processes the response to a control statement.
func (c *Coordinator) handleResponse(now time.Duration, m ControlResponse) {
	a := &c.attempt
	current := m.Term == a.term || c.disabledRules.has(ruleResponseTerm)
	if a.phase == idle || !current || c.server(m.Server) == nil {
		return
	}
	switch {
	case m.Op == Fence && a.phase == fencing && m.Granted:
		c.recordGrant(now, m)
	case m.Op == Fence && a.phase == fencing:
		a.refusals++
		if len(c.servers)-a.refusals < Majority(len(c.servers)) {
			c.abortAttempt(now, fmt.Sprintf("%d servers refused the term", a.refusals))
		}
	case m.Op == Promote && a.phase == promoting && m.Server == a.candidate && m.Granted:
		c.completeAttempt(now, m.Status)
	case m.Op == Promote && a.phase == promoting && m.Server == a.candidate:
		c.abortAttempt(now, fmt.Sprintf("server %s refused the promotion", m.Server))
	}
}

func (c *Coordinator) recordGrant(now time.Duration, m ControlResponse) {
	a := &c.attempt
	if slices.ContainsFunc(a.grants, func(g grant) bool { return g.server == m.Server }) {
		return
	}
	a.grants = append(a.grants, grant{server: m.Server, logEnd: m.Status.LogEnd})
	if len(a.grants) == c.grantsNeeded() {
		a.majorityAt = now
	}
}

// grantsNeeded returns the number of grants that a promotion needs.
func (c *Coordinator) grantsNeeded() int {
	if c.disabledRules.has(ruleMajority) {
		return 1
	}
	return Majority(len(c.servers))
}

// handleFailure processes a control statement without a response. A promotion without a response is not
// repeated on another server: the first server may have been promoted, and a term has one primary.
func (c *Coordinator) handleFailure(now time.Duration, m ControlFailed) {
	a := &c.attempt
	if m.Term != a.term || m.Op != Promote || a.phase != promoting || m.Server != a.candidate {
		return
	}
	if c.disabledRules.has(ruleOnePromotion) {
		a.phase = fencing
		a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.server == a.candidate })
		c.promote(now)
		return
	}
	c.abortAttempt(now, fmt.Sprintf("no response to the promotion of %s: %s", m.Server, m.Reason))
}

// advanceAttempt promotes a server once enough servers have granted the term, and aborts an attempt
// whose phase has timed out.
func (c *Coordinator) advanceAttempt(now time.Duration) {
	a := &c.attempt
	expired := now-a.phaseStart >= c.timing.PhaseTimeout
	switch {
	case a.phase == fencing && len(a.grants) >= c.grantsNeeded():
		if !c.awaitsGrants(now) || now-a.majorityAt >= c.timing.GrantWait {
			c.promote(now)
		}
	case a.phase == fencing && expired:
		c.abortAttempt(now, fmt.Sprintf("%d of %d grants within %v", len(a.grants), len(c.servers), c.timing.PhaseTimeout))
	case a.phase == promoting && expired:
		c.abortAttempt(now, fmt.Sprintf("no response to the promotion of %s within %v", a.candidate, c.timing.PhaseTimeout))
	}
}

// awaitsGrants reports whether a responsive server has not yet responded to the fence. Its log may be
// longer, or its failure domain a better choice, than those of the servers that have.
func (c *Coordinator) awaitsGrants(now time.Duration) bool {
	responsive := 0
	for i := range c.servers {
		if c.responsive(&c.servers[i], now) {
			responsive++
		}
	}
	return len(c.attempt.grants)+c.attempt.refusals < responsive
}

// promote selects a server that granted the term and promotes it.
func (c *Coordinator) promote(now time.Duration) {
	a := &c.attempt
	best, found := c.chooseCandidate(a.grants)
	if !found {
		c.abortAttempt(now, "no server can be promoted")
		return
	}
	a.phase, a.phaseStart, a.candidate, a.logEnd = promoting, now, best.server, best.logEnd
	c.emit(ControlRequest{Server: best.server, Op: Promote, Term: a.term, CoordinatorID: c.cfg.CoordinatorID})
}

// chooseCandidate returns the server with the longest log among the eligible servers that are in
// service and not the suspected primary, or among all eligible servers if there is no such server. A
// server is eligible if its log covers the log ends of a majority of the group, each bound by its
// grant: an entry that it lacks is then stored by a minority only, so that the entry has not been
// confirmed and cannot be confirmed later.
func (c *Coordinator) chooseCandidate(grants []grant) (grant, bool) {
	var best grant
	found := false
	for _, g := range grants {
		if !c.coversMajority(g, grants) {
			continue
		}
		if !found || c.preferred(g, best) {
			best, found = g, true
		}
	}
	return best, found
}

func (c *Coordinator) coversMajority(g grant, grants []grant) bool {
	if c.disabledRules.has(ruleMostAdvanced) {
		return true
	}
	covered := 0
	for _, other := range grants {
		if g.logEnd.Covers(other.logEnd) {
			covered++
		}
	}
	return covered >= c.grantsNeeded()
}

// preferred reports whether x is promoted rather than y, both being eligible: by suitable, then log
// end, then whether x is the current primary. Without the first criterion, a primary whose log no
// longer reaches the replicas would be promoted again, because its own log is the longest.
func (c *Coordinator) preferred(x, y grant) bool {
	sx, sy := c.server(x.server), c.server(y.server)
	if suitable := c.suitable(sx); suitable != c.suitable(sy) {
		return suitable
	}
	if order := x.logEnd.Compare(y.logEnd); order != 0 {
		return order > 0
	}
	return sx.status.Promised == c.primaryTerm && sx.status.Role == Primary
}

// suitable reports whether the server is in service and not the suspected primary.
func (c *Coordinator) suitable(s *server) bool { return c.inService(s) && s.Name != c.attempt.avoid }

// completeAttempt ends an attempt whose promotion was granted and makes the other servers follow.
func (c *Coordinator) completeAttempt(now time.Duration, st Status) {
	a := c.attempt
	c.attempt = attempt{}
	c.publish(now, a, st)
	primary := c.server(a.candidate)
	for i := range c.servers {
		if s := &c.servers[i]; s != primary {
			c.sendFollow(now, s, a.term, primary.Address)
		}
	}
}

func (c *Coordinator) publish(now time.Duration, a attempt, st Status) {
	s := c.server(a.candidate)
	c.emitStateChange("primary promoted", a.term, a.candidate, a.cause, now)
	c.emit(Publish{Outcome: Outcome{
		Group: c.cfg.Group, Term: a.term, Primary: a.candidate, Address: s.Address, CoordinatorID: c.cfg.CoordinatorID,
		Cause: a.cause, Evidence: a.evidence, LogEnd: st.LogEnd,
	}})
}

// abortAttempt ends an attempt without a known result and backs off with jitter.
func (c *Coordinator) abortAttempt(now time.Duration, why string) {
	c.emitStateChange("promotion aborted", c.attempt.term, c.attempt.candidate, why, now)
	if c.attempt.phase == promoting {
		c.unconfirmed = c.attempt
	}
	c.attempt = attempt{}
	wait := min(c.timing.BackoffBase<<min(c.failedAttempts, 10), c.timing.BackoffLimit)
	c.failedAttempts++
	if c.cfg.Rand != nil {
		wait = wait/2 + time.Duration(c.cfg.Rand.Int64N(int64(wait)))
	}
	c.backoffUntil = now + wait
}
