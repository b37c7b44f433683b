package promotion

import (
	"fmt"
	"slices"
	"time"

	"siskinrouter/internal/session"
)

// evaluate updates everything that the driver derives from its observations and starts an
// attempt if one is due.
func (d *Coordinator) evaluate(now time.Duration) {
	primary := d.primary()
	d.reports = slices.DeleteFunc(d.reports, func(r report) bool { return now-r.at >= d.timing.ReportTTL })
	d.noPrimary.set(primary == nil, now)
	d.evaluateStall(now, primary)
	reason := d.suspicion(now, primary)
	d.report(now, primary, reason)
	d.confirmed.set(reason != "" && d.confirmations() >= d.confirmationsNeeded(), now)
	d.repair.set(d.fencedAbove(now, primary) != "", now)
	d.evaluateMove(now, primary)
	d.rejoin(now, primary)
	if d.attempt.phase == idle && now >= d.backoff && now >= d.settleUntil && d.majorityAnswers(now) {
		d.startIfDue(now, primary, reason)
	}
}

// startIfDue starts an attempt for the most urgent cause that is due.
func (d *Coordinator) startIfDue(now time.Duration, primary *peer, reason string) {
	delay := d.rankDelay()
	stopped := primary == nil || !d.fresh(primary, now)
	guarded := now-d.primaryAt < d.timing.MinTenure && d.primaryTerm > 0
	switch {
	case d.confirmed.lasted(delay, now) && (stopped || !guarded):
		d.start(now, reason)
		if primary != nil {
			d.attempt.avoid = primary.Name
		}
	case stopped || guarded:
		return
	case d.moveDue(now, primary):
		d.start(now, fmt.Sprintf("planned move away from %s in %s", primary.Name, primary.Domain))
	case d.repair.lasted(d.timing.RepairAfter+delay, now):
		d.start(now, d.fencedAbove(now, primary))
	}
}

// suspicion returns why the primary is suspected, or "" if it is not. A suspicion outlasts the
// fencing of the primary, so that a failed attempt is repeated without another detection time.
func (d *Coordinator) suspicion(now time.Duration, primary *peer) string {
	switch {
	case primary == nil && d.suspected.Suspected:
		return d.suspected.Reason
	case primary == nil && d.noPrimary.lasted(d.timing.SuspectAfter, now):
		return fmt.Sprintf("no server has been primary for %v", d.timing.SuspectAfter)
	case primary == nil:
		return ""
	case now-primary.answeredAt >= d.suspectAfter(now):
		primary.overdue = true
		return fmt.Sprintf("primary %s has not answered for %v", primary.Name, d.suspectAfter(now))
	case d.stall.lasted(d.timing.StallAfter, now):
		return fmt.Sprintf("majority has held %s for %v while primary %s is ahead",
			d.stalledAt, d.timing.StallAfter, primary.Name)
	}
	return ""
}

// countedAlarms bounds the false alarms that lengthen the detection: it takes at most 1.6 s by default, so
// that the failover gap still meets its goal.
const countedAlarms = 2

// suspectAfter returns the time without an answer after which a primary is suspected. It grows while servers
// or this VM are overloaded, since each needless promotion adds to the load.
func (d *Coordinator) suspectAfter(now time.Duration) time.Duration {
	after := d.timing.SuspectAfter
	for _, at := range d.falseAlarms {
		if now-at < d.timing.FalseAlarmWindow {
			after *= 2
		}
	}
	return after
}

// noteLate records a false alarm if the server that answers now was suspected and only late.
func (d *Coordinator) noteLate(now time.Duration, p *peer) {
	if !p.overdue {
		return
	}
	p.overdue = false
	if now-p.answeredAt >= d.timing.FalseAlarmWithin {
		return
	}
	d.falseAlarms = append(d.falseAlarms, now)
	if len(d.falseAlarms) > countedAlarms {
		d.falseAlarms = d.falseAlarms[1:]
	}
	d.log("false alarm", p.status.Promised, p.Name, fmt.Sprintf("answer after %v; primaries are suspected after %v",
		now-p.answeredAt, d.suspectAfter(now)), now)
}

// evaluateStall follows whether the position held by a majority stays below the position of
// the primary. Without fresh answers of a majority nothing is known about it.
func (d *Coordinator) evaluateStall(now time.Duration, primary *peer) {
	if primary == nil || !d.fresh(primary, now) || !d.majorityAnswers(now) {
		d.stall = span{}
		return
	}
	held := d.majorityHeld()
	if held != d.stalledAt {
		d.stall = span{}
	}
	d.stalledAt = held
	d.stall.set(held.Compare(primary.status.LogEnd) < 0, now)
}

// majorityHeld returns the highest position that a majority of the servers covers.
func (d *Coordinator) majorityHeld() session.Position {
	held := make([]session.Position, 0, len(d.peers))
	for _, p := range d.peers {
		held = append(held, p.status.LogEnd)
	}
	slices.SortFunc(held, func(x, y session.Position) int { return y.Compare(x) })
	return held[Majority(len(held))-1]
}

// majorityAnswers reports whether a majority of the servers answers this VM. An attempt without
// them could only fence servers.
func (d *Coordinator) majorityAnswers(now time.Duration) bool {
	n := 0
	for i := range d.peers {
		if d.fresh(&d.peers[i], now) {
			n++
		}
	}
	return n >= Majority(len(d.peers))
}

// report tells the peers about the own suspicion when it changes, and repeats it while it lasts.
func (d *Coordinator) report(now time.Duration, primary *peer, reason string) {
	next := SuspicionReport{Suspected: reason != "", Reason: reason}
	if next.Suspected {
		next.Term = d.primaryTerm
	}
	if primary != nil && next.Suspected {
		next.Term = primary.status.Promised
	}
	changed := next != d.suspected
	if !changed && (!next.Suspected || now-d.reported < d.timing.ReportInterval) {
		return
	}
	if changed && next.Suspected {
		d.log("primary suspected", next.Term, "", reason, now)
	}
	if changed && !next.Suspected {
		next.Term = d.suspected.Term
		d.log("suspicion ended", next.Term, "", d.suspected.Reason, now)
	}
	d.do(next)
	if !next.Suspected {
		next.Term = 0
	}
	d.suspected, d.reported = next, now
}

// confirmations returns the number of failure domains whose VMs suspect the primary. Reports
// about an earlier primary do not count.
func (d *Coordinator) confirmations() int {
	domains := []string{d.cfg.Domain}
	for _, r := range d.reports {
		if r.Term >= d.suspected.Term && !slices.Contains(domains, r.Domain) {
			domains = append(domains, r.Domain)
		}
	}
	return len(domains)
}

// confirmationsNeeded returns two, or the number of live failure domains if fewer.
func (d *Coordinator) confirmationsNeeded() int {
	domains := []string{d.cfg.Domain}
	for _, vm := range d.live {
		if !slices.Contains(domains, vm.Domain) {
			domains = append(domains, vm.Domain)
		}
	}
	return min(2, len(domains))
}

// fencedAbove returns a cause if a server that answers has promised a term above the term of
// a working primary. An unfinished promotion left it there, and it cannot follow the primary.
func (d *Coordinator) fencedAbove(now time.Duration, primary *peer) string {
	if primary == nil {
		return ""
	}
	for i := range d.peers {
		p := &d.peers[i]
		if d.fresh(p, now) && p.status.Promised > primary.status.Promised {
			return fmt.Sprintf("server %s has promised term %d above the primary's term %d",
				p.Name, p.status.Promised, primary.status.Promised)
		}
	}
	return ""
}

// rejoin tells servers that do not follow the current primary to do so. Drivers of lower rank
// wait longer, so that usually one of them sends it.
func (d *Coordinator) rejoin(now time.Duration, primary *peer) {
	if primary == nil || !d.fresh(primary, now) || d.attempt.phase != idle {
		return
	}
	term := primary.status.Promised
	if now-d.primaryAt < d.rankDelay() {
		return
	}
	for i := range d.peers {
		p := &d.peers[i]
		behind := p.status.Promised < term || p.status.Promised == term && p.status.Role == Fenced
		if p == primary || !d.fresh(p, now) || !behind {
			continue
		}
		if p.followed && now-p.followedAt < d.timing.FollowInterval+d.rankDelay() {
			continue
		}
		d.follow(now, p, term, primary.Address)
	}
}

func (d *Coordinator) follow(now time.Duration, p *peer, term uint64, address string) {
	p.followed, p.followedAt = true, now
	d.do(ControlRequest{Server: p.Name, Op: Follow, Term: term, Primary: address})
}
