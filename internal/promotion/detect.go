package promotion

import (
	"fmt"
	"slices"
	"time"

	"siskinrouter/internal/session"
)

// evaluate updates everything that the coordinator derives from its observations and starts an
// attempt if one is due.
func (c *Coordinator) evaluate(now time.Duration) {
	primary := c.primary()
	c.suspicions = slices.DeleteFunc(c.suspicions, func(r receivedSuspicion) bool { return now-r.receivedAt >= c.timing.ReportTTL })
	c.noPrimary.set(primary == nil, now)
	c.evaluateStall(now, primary)
	reason := c.suspicionReason(now, primary)
	c.reportSuspicion(now, primary, reason)
	c.suspicionConfirmed.set(reason != "" && c.suspectingDomains() >= c.suspectingDomainsNeeded(), now)
	c.fencedAhead.set(c.fencedAheadReason(now, primary) != "", now)
	c.evaluateSwitchover(now, primary)
	c.rejoin(now, primary)
	if c.attempt.phase == idle && now >= c.backoffUntil && now >= c.settleUntil && c.majorityResponds(now) {
		c.startIfDue(now, primary, reason)
	}
}

// startIfDue starts an attempt for the most urgent cause that is due.
func (c *Coordinator) startIfDue(now time.Duration, primary *server, reason string) {
	delay := c.rankDelay()
	stopped := primary == nil || !c.responsive(primary, now)
	inMinTenure := now-c.primarySince < c.timing.MinTenure && c.primaryTerm > 0
	switch {
	case c.suspicionConfirmed.heldFor(delay, now) && (stopped || !inMinTenure):
		c.startAttempt(now, reason)
		if primary != nil {
			c.attempt.avoid = primary.Name
		}
	case stopped || inMinTenure:
		return
	case c.switchoverDue(now, primary):
		c.startAttempt(now, fmt.Sprintf("planned move away from %s in %s", primary.Name, primary.Domain))
	case c.fencedAhead.heldFor(c.timing.RepairAfter+delay, now):
		c.startAttempt(now, c.fencedAheadReason(now, primary))
	}
}

// suspicionReason returns why the primary is suspected, or "" if it is not. A suspicion continues after
// the primary has been fenced, so that a failed attempt is repeated without another detection time.
func (c *Coordinator) suspicionReason(now time.Duration, primary *server) string {
	switch {
	case primary == nil && c.lastReport.Suspected:
		return c.lastReport.Reason
	case primary == nil && c.noPrimary.heldFor(c.timing.SuspectAfter, now):
		return fmt.Sprintf("no server has been primary for %v", c.timing.SuspectAfter)
	case primary == nil:
		return ""
	case now-primary.respondedAt >= c.suspectAfter(now):
		primary.overdue = true
		return fmt.Sprintf("primary %s has not answered for %v", primary.Name, c.suspectAfter(now))
	case c.stall.heldFor(c.timing.StallAfter, now):
		return fmt.Sprintf("majority has held %s for %v while primary %s is ahead",
			c.stalledLogEnd, c.timing.StallAfter, primary.Name)
	}
	return ""
}

// maxFalseAlarms bounds the false alarms that lengthen the detection. With DefaultTiming the detection
// takes at most 1.6 s, so that the failover gap still meets its objective.
const maxFalseAlarms = 2

// suspectAfter returns the time without a response after which a primary is suspected. It doubles with
// each recent false alarm, which indicates that servers or this VM are overloaded: a needless promotion
// adds to the load.
func (c *Coordinator) suspectAfter(now time.Duration) time.Duration {
	after := c.timing.SuspectAfter
	for _, at := range c.falseAlarms {
		if now-at < c.timing.FalseAlarmWindow {
			after *= 2
		}
	}
	return after
}

// recordFalseAlarm records a false alarm if the server that has responded was suspected although it was
// only slow.
func (c *Coordinator) recordFalseAlarm(now time.Duration, s *server) {
	if !s.overdue {
		return
	}
	s.overdue = false
	if now-s.respondedAt >= c.timing.FalseAlarmWithin {
		return
	}
	c.falseAlarms = append(c.falseAlarms, now)
	if len(c.falseAlarms) > maxFalseAlarms {
		c.falseAlarms = c.falseAlarms[1:]
	}
	c.emitStateChange("false alarm", s.status.Promised, s.Name, fmt.Sprintf("response after %v; primaries are suspected after %v",
		now-s.respondedAt, c.suspectAfter(now)), now)
}

// evaluateStall tracks whether the position stored by a majority stays the same and below the log end of
// the primary. Without recent responses of a majority nothing is known about it.
func (c *Coordinator) evaluateStall(now time.Duration, primary *server) {
	if primary == nil || !c.responsive(primary, now) || !c.majorityResponds(now) {
		c.stall = condition{}
		return
	}
	logEnd := c.majorityLogEnd()
	if logEnd != c.stalledLogEnd {
		c.stall = condition{}
	}
	c.stalledLogEnd = logEnd
	c.stall.set(logEnd.Compare(primary.status.LogEnd) < 0, now)
}

// majorityLogEnd returns the highest position that the logs of a majority of the servers cover.
func (c *Coordinator) majorityLogEnd() session.Position {
	logEnds := make([]session.Position, 0, len(c.servers))
	for _, s := range c.servers {
		logEnds = append(logEnds, s.status.LogEnd)
	}
	slices.SortFunc(logEnds, func(x, y session.Position) int { return y.Compare(x) })
	return logEnds[Majority(len(logEnds))-1]
}

// majorityResponds reports whether a majority of the servers responds to this VM. An attempt without a
// majority could fence servers but not promote one.
func (c *Coordinator) majorityResponds(now time.Duration) bool {
	n := 0
	for i := range c.servers {
		if c.responsive(&c.servers[i], now) {
			n++
		}
	}
	return n >= Majority(len(c.servers))
}

// reportSuspicion sends the suspicion of this VM to the other VMs when it changes, and repeats it while
// it lasts.
func (c *Coordinator) reportSuspicion(now time.Duration, primary *server, reason string) {
	next := SuspicionReport{Suspected: reason != "", Reason: reason}
	if next.Suspected {
		next.Term = c.primaryTerm
	}
	if primary != nil && next.Suspected {
		next.Term = primary.status.Promised
	}
	changed := next != c.lastReport
	if !changed && (!next.Suspected || now-c.lastReportAt < c.timing.ReportInterval) {
		return
	}
	if changed && next.Suspected {
		c.emitStateChange("primary suspected", next.Term, "", reason, now)
	}
	if changed && !next.Suspected {
		next.Term = c.lastReport.Term
		c.emitStateChange("suspicion ended", next.Term, "", c.lastReport.Reason, now)
	}
	c.emit(next)
	if !next.Suspected {
		next.Term = 0
	}
	c.lastReport, c.lastReportAt = next, now
}

// suspectingDomains returns the number of failure domains whose VMs suspect the primary. Reports
// about the primary of an earlier term do not count.
func (c *Coordinator) suspectingDomains() int {
	domains := []string{c.cfg.Domain}
	for _, r := range c.suspicions {
		if r.Term >= c.lastReport.Term && !slices.Contains(domains, r.Domain) {
			domains = append(domains, r.Domain)
		}
	}
	return len(domains)
}

// suspectingDomainsNeeded returns two, or the number of live failure domains if fewer.
func (c *Coordinator) suspectingDomainsNeeded() int {
	domains := []string{c.cfg.Domain}
	for _, vm := range c.liveVMs {
		if !slices.Contains(domains, vm.Domain) {
			domains = append(domains, vm.Domain)
		}
	}
	return min(2, len(domains))
}

// fencedAheadReason returns a cause if a responsive server has promised a term above the term of a
// working primary, or "". An unfinished promotion left the server in that term, and it cannot follow the
// primary.
func (c *Coordinator) fencedAheadReason(now time.Duration, primary *server) string {
	if primary == nil {
		return ""
	}
	for i := range c.servers {
		s := &c.servers[i]
		if c.responsive(s, now) && s.status.Promised > primary.status.Promised {
			return fmt.Sprintf("server %s has promised term %d above the primary's term %d",
				s.Name, s.status.Promised, primary.status.Promised)
		}
	}
	return ""
}

// rejoin makes servers follow the current primary if they do not. Coordinators of lower rank wait
// longer, so that usually only one of them sends the statement.
func (c *Coordinator) rejoin(now time.Duration, primary *server) {
	if primary == nil || !c.responsive(primary, now) || c.attempt.phase != idle {
		return
	}
	term := primary.status.Promised
	if now-c.primarySince < c.rankDelay() {
		return
	}
	for i := range c.servers {
		s := &c.servers[i]
		behind := s.status.Promised < term || s.status.Promised == term && s.status.Role == Fenced
		if s == primary || !c.responsive(s, now) || !behind {
			continue
		}
		if s.followSent && now-s.followSentAt < c.timing.FollowInterval+c.rankDelay() {
			continue
		}
		c.sendFollow(now, s, term, primary.Address)
	}
}

func (c *Coordinator) sendFollow(now time.Duration, s *server, term uint64, address string) {
	s.followSent, s.followSentAt = true, now
	c.emit(ControlRequest{Server: s.Name, Op: Follow, Term: term, Primary: address})
}
