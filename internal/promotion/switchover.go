package promotion

import (
	"slices"
	"time"
)

// inService reports whether neither the server nor its failure domain is being withdrawn, so that the
// server may be the primary.
func (c *Coordinator) inService(s *server) bool {
	return !slices.Contains(c.placement.Withdrawn, s.Domain) && !slices.Contains(c.placement.Leaving, s.Name)
}

// evaluateSwitchover controls the pause of writes during a planned switchover: new transactions wait
// while a primary that is not in service drains, for at most WritePauseLimit. A switchover that did not
// happen in that time is retried after SwitchoverRetry.
func (c *Coordinator) evaluateSwitchover(now time.Duration, primary *server) {
	due := primary != nil && c.responsive(primary, now) && !c.inService(primary) && c.hasFollower(now, primary)
	if due && !c.switchoverWanted.active {
		c.emitStateChange("primary is in a withdrawn failure domain or on a leaving server", primary.status.Promised, primary.Name, "operators' withdrawal", now)
	}
	c.switchoverWanted.set(due, now)
	inMinTenure := now-c.primarySince < c.timing.MinTenure
	switch {
	case c.writePause.active && (!due && c.attempt.phase == idle || now-c.writePause.since >= c.timing.WritePauseLimit):
		c.writePause.set(false, now)
		c.nextWritePauseAt = now + c.timing.SwitchoverRetry
		c.emit(PauseWrites{On: false})
	case !c.writePause.active && due && !inMinTenure && now >= c.nextWritePauseAt:
		c.writePause.set(true, now)
		c.emit(PauseWrites{On: true})
	}
}

// switchoverDue reports whether the planned switchover may start: the primary has drained and a
// successor has caught up, both observed after the write pause reached the other VMs, or DrainTimeout
// has passed.
func (c *Coordinator) switchoverDue(now time.Duration, primary *server) bool {
	if !c.switchoverWanted.active || !c.writePause.active || now-c.writePause.since < c.timing.ProbeInterval+c.rankDelay() {
		return false
	}
	next := c.successor(now)
	if next == nil || now-c.writePause.since >= c.timing.DrainTimeout {
		return next != nil
	}
	observed := c.writePause.since + c.timing.ProbeInterval
	return primary.status.Active == 0 && primary.respondedAt >= observed &&
		next.respondedAt >= observed && next.status.LogEnd.Covers(primary.status.LogEnd)
}

// hasFollower reports whether a server in service follows the primary. Whether it has caught up is
// decided only once writes are paused: until then the responses of the servers differ in age, and a
// comparison of their log ends changes with every probe.
func (c *Coordinator) hasFollower(now time.Duration, primary *server) bool {
	for i := range c.servers {
		s := &c.servers[i]
		follows := s.status.Role == Replica && s.status.Promised == primary.status.Promised
		if follows && c.inService(s) && c.responsive(s, now) {
			return true
		}
	}
	return false
}

// successor returns the server in service that would be promoted according to the last responses, or
// nil if there is none.
func (c *Coordinator) successor(now time.Duration) *server {
	var grants []grant
	for i := range c.servers {
		if s := &c.servers[i]; c.responsive(s, now) {
			grants = append(grants, grant{server: s.Name, logEnd: s.status.LogEnd})
		}
	}
	best, found := c.chooseCandidate(grants)
	if !found || !c.inService(c.server(best.server)) {
		return nil
	}
	return c.server(best.server)
}
