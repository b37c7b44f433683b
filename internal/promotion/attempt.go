package promotion

import (
	"fmt"
	"slices"
	"time"

	"siskinrouter/internal/session"
)

// phase is the progress of an attempt to promote a server.
type phase uint8

const (
	idle phase = iota
	fencing
	promoting
)

// attempt is one attempt to promote a server in one term.
type attempt struct {
	phase    phase
	term     uint64
	cause    string
	avoid    string // suspected primary, promoted only if no other server can be
	evidence string
	since    time.Duration // start of the phase
	grants   []grant
	refused  int
	chosen   string // server that is being promoted
	held     session.Position
	majority time.Duration // time at which a majority had granted
}

// grant is the promise of a server with the position it held.
type grant struct {
	server string
	held   session.Position
}

// start begins an attempt in a term that this driver has neither seen nor used.
func (d *Coordinator) start(now time.Duration, cause string) {
	d.highest++
	d.attempt = attempt{phase: fencing, term: d.highest, cause: cause, evidence: d.evidence(now), since: now}
	d.log("promotion started", d.highest, "", cause, now)
	for _, p := range d.peers {
		d.do(ControlRequest{Server: p.Name, Op: Fence, Term: d.highest, CoordinatorID: d.cfg.CoordinatorID})
	}
}

// answered processes the answer to a control statement.
func (d *Coordinator) answered(now time.Duration, m ControlResponse) {
	a := &d.attempt
	current := m.Term == a.term || d.without.has(ruleAnswerTerm)
	if a.phase == idle || !current || d.peer(m.Server) == nil {
		return
	}
	switch {
	case m.Op == Fence && a.phase == fencing && m.Granted:
		d.granted(now, m)
	case m.Op == Fence && a.phase == fencing:
		a.refused++
		if len(d.peers)-a.refused < Majority(len(d.peers)) {
			d.giveUp(now, fmt.Sprintf("%d servers refused the term", a.refused))
		}
	case m.Op == Promote && a.phase == promoting && m.Server == a.chosen && m.Granted:
		d.succeed(now, m.Status)
	case m.Op == Promote && a.phase == promoting && m.Server == a.chosen:
		d.giveUp(now, fmt.Sprintf("server %s refused the promotion", m.Server))
	}
}

func (d *Coordinator) granted(now time.Duration, m ControlResponse) {
	a := &d.attempt
	if slices.ContainsFunc(a.grants, func(g grant) bool { return g.server == m.Server }) {
		return
	}
	a.grants = append(a.grants, grant{server: m.Server, held: m.Status.LogEnd})
	if len(a.grants) == d.majorityOfGrants() {
		a.majority = now
	}
}

// majorityOfGrants returns the number of grants that a promotion needs.
func (d *Coordinator) majorityOfGrants() int {
	if d.without.has(ruleMajority) {
		return 1
	}
	return Majority(len(d.peers))
}

// failed processes a control statement without an answer. A failed promotion is not repeated
// with another server: the first server may have been promoted, and a term has one primary.
func (d *Coordinator) failed(now time.Duration, m ControlFailed) {
	a := &d.attempt
	if m.Term != a.term || m.Op != Promote || a.phase != promoting || m.Server != a.chosen {
		return
	}
	if d.without.has(ruleOnePromotion) {
		a.phase = fencing
		a.grants = slices.DeleteFunc(a.grants, func(g grant) bool { return g.server == a.chosen })
		d.promote(now)
		return
	}
	d.giveUp(now, fmt.Sprintf("no answer to the promotion of %s: %s", m.Server, m.Reason))
}

// advance moves an attempt on when its conditions or time limits are reached.
func (d *Coordinator) advance(now time.Duration) {
	a := &d.attempt
	expired := now-a.since >= d.timing.PhaseTimeout
	switch {
	case a.phase == fencing && len(a.grants) >= d.majorityOfGrants():
		if !d.awaitsGrant(now) || now-a.majority >= d.timing.GrantWait {
			d.promote(now)
		}
	case a.phase == fencing && expired:
		d.giveUp(now, fmt.Sprintf("%d of %d grants within %v", len(a.grants), len(d.peers), d.timing.PhaseTimeout))
	case a.phase == promoting && expired:
		d.giveUp(now, fmt.Sprintf("no answer to the promotion of %s within %v", a.chosen, d.timing.PhaseTimeout))
	}
}

// awaitsGrant reports whether a server that answers has not yet answered the fence. It may be
// more advanced or better placed than those that have.
func (d *Coordinator) awaitsGrant(now time.Duration) bool {
	fresh := 0
	for i := range d.peers {
		if d.fresh(&d.peers[i], now) {
			fresh++
		}
	}
	return len(d.attempt.grants)+d.attempt.refused < fresh
}

// promote selects a server among the grants and promotes it.
func (d *Coordinator) promote(now time.Duration) {
	a := &d.attempt
	best, found := d.choose(a.grants)
	if !found {
		d.giveUp(now, "no server can be promoted")
		return
	}
	a.phase, a.since, a.chosen, a.held = promoting, now, best.server, best.held
	d.do(ControlRequest{Server: best.server, Op: Promote, Term: a.term, CoordinatorID: d.cfg.CoordinatorID})
}

// choose returns the most advanced server that is in an open place and not the suspected
// primary, or the most advanced of all if no such server may be promoted. A server may be
// promoted if it covers the positions of a majority of the group, each bound by its grant: a
// position that it lacks is then held by a minority, which can neither have been confirmed nor
// be confirmed later.
func (d *Coordinator) choose(grants []grant) (grant, bool) {
	var best grant
	found := false
	for _, g := range grants {
		if !d.coversMajority(g, grants) {
			continue
		}
		if !found || d.better(g, best) {
			best, found = g, true
		}
	}
	return best, found
}

func (d *Coordinator) coversMajority(g grant, grants []grant) bool {
	if d.without.has(ruleMostAdvanced) {
		return true
	}
	covered := 0
	for _, other := range grants {
		if g.held.Covers(other.held) {
			covered++
		}
	}
	return covered >= d.majorityOfGrants()
}

// better orders two servers that may be promoted: suitable, position, current primary. Without
// the first criterion, a primary whose log no longer reaches the replicas would be promoted
// again, because its own position is the most advanced.
func (d *Coordinator) better(x, y grant) bool {
	px, py := d.peer(x.server), d.peer(y.server)
	if suitable := d.suitable(px); suitable != d.suitable(py) {
		return suitable
	}
	if c := x.held.Compare(y.held); c != 0 {
		return c > 0
	}
	return px.status.Promised == d.primaryTerm && px.status.Role == Primary
}

// suitable reports whether the server is in an open place and not the suspected primary.
func (d *Coordinator) suitable(p *peer) bool { return d.open(p) && p.Name != d.attempt.avoid }

// succeed ends an attempt whose promotion was granted.
func (d *Coordinator) succeed(now time.Duration, st Status) {
	a := d.attempt
	d.attempt = attempt{}
	d.publish(now, a, st)
	primary := d.peer(a.chosen)
	for i := range d.peers {
		if p := &d.peers[i]; p != primary {
			d.follow(now, p, a.term, primary.Address)
		}
	}
}

func (d *Coordinator) publish(now time.Duration, a attempt, st Status) {
	p := d.peer(a.chosen)
	d.log("primary promoted", a.term, a.chosen, a.cause, now)
	d.do(Publish{Outcome: Outcome{
		Group: d.cfg.Group, Term: a.term, Primary: a.chosen, Address: p.Address, CoordinatorID: d.cfg.CoordinatorID,
		Cause: a.cause, Evidence: a.evidence, LogEnd: st.LogEnd,
	}})
}

// giveUp ends an attempt without a result and backs off with jitter.
func (d *Coordinator) giveUp(now time.Duration, why string) {
	d.log("promotion abandoned", d.attempt.term, d.attempt.chosen, why, now)
	if d.attempt.phase == promoting {
		d.unpublished = d.attempt
	}
	d.attempt = attempt{}
	wait := min(d.timing.BackoffBase<<min(d.failures, 10), d.timing.BackoffLimit)
	d.failures++
	if d.cfg.Rand != nil {
		wait = wait/2 + time.Duration(d.cfg.Rand.Int64N(int64(wait)))
	}
	d.backoff = now + wait
}
