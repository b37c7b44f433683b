package placement

import (
	"time"

	"siskinrouter/internal/session"
)

const (
	// primaryTimeout is how long a primary may be unreachable before it is replaced. It spans two status
	// queries, so that one lost response or reset connection does not replace a primary.
	primaryTimeout = 800 * time.Millisecond
	// plannedTimeout is the time without a response up to which a primary is considered able to step down in a
	// planned change.
	plannedTimeout = 400 * time.Millisecond
	// heldTimeout is how long a primary may be unreachable before statements are refused because no server is known to have
	// all acknowledged commits. Within that time all other servers are asked again.
	heldTimeout = 2 * primaryTimeout
	// failoverCooldown is the time after a change of the primary in which it is not changed again. It prevents
	// the role from moving back and forth between servers.
	failoverCooldown = 2 * time.Second
	// discoveryTime is how long a new owner waits for the servers to report their roles, and takeoverTime how long it waits
	// after its predecessor has failed, if all servers but the primary respond: the primary has been silent together
	// with the predecessor, and two attempts to connect have failed.
	discoveryTime = time.Second
	takeoverTime  = 500 * time.Millisecond
	// demotedTimeout is the time in which a server that was promoted leads after the former primary has stepped down.
	demotedTimeout = 1200 * time.Millisecond
	// promotionRetryInterval is the time between two promotions while the primary is not known.
	promotionRetryInterval = 300 * time.Millisecond
	// promotionSettleTime is how long another server is not promoted while the promotion of the recorded primary may
	// still be on its way: the coordinator gives up a request that was not answered within that time.
	promotionSettleTime = 2 * time.Second
)

// Candidate is the state of a server by which a primary is chosen.
type Candidate struct {
	ID        string
	Usable    bool
	Heard     bool          // it has answered a status query of this owner
	Reachable bool          // it answered the latest status query
	SilentFor time.Duration // since its last response
	Primary   bool          // reported role
	// DemotedFor is the time since it last reported to be primary, if it was the primary of this owner.
	DemotedFor time.Duration
	Term       uint64
	Received   session.Position
	// Settled is set if Received was asked for when no further commit could be acknowledged to a caller.
	Settled bool
}

// Group is the state of a database group from which the next action is derived.
type Group struct {
	Primary  string // empty if not known
	Recorded string // primary according to the owner record; empty before the first change
	// RecordedTerm is the term from which on the recorded primary leads.
	RecordedTerm uint64
	Since        time.Duration // start of this ownership
	ChangedAt    time.Duration // last change of the primary by this owner; 0 if none
	TakenOver    bool          // the previous owner has failed
	// Unsettled is the server whose promotion was not answered the last time, at UnsettledAt; empty if there is none. The
	// request may still take effect, also after the server was promoted by another one and has been replaced.
	Unsettled   string
	UnsettledAt time.Duration
	Servers     []Candidate
	Durability
}

// Action is the next action for a group.
type Action struct {
	// Follow names a server that is already the primary.
	Follow string
	// Promote names the server to be promoted.
	Promote string
	// Term is the term from which on the promoted server leads.
	Term uint64
	// From is the server that leads before the promotion, as far as known.
	From string
	// Planned is set if the server that leads still responds and can step down first.
	Planned bool
	// Held is set if the group needs another primary and no server is known to have all commits that callers rely on.
	Held   bool
	Reason string
}

// NoSafeSuccessor is the reason of an action that is held.
const NoSafeSuccessor = "no server is known to have all acknowledged commits"

// NextAction decides whether a group needs another primary.
func NextAction(now time.Duration, g Group) Action {
	byID := map[string]Candidate{}
	for _, s := range g.Servers {
		byID[s.ID] = s
	}
	if g.Primary == "" {
		return discover(now, g, byID)
	}
	current, listed := byID[g.Primary]
	if primary := reportedPrimary(g); listed && primary.ID != g.Primary && primary.Term > current.Term {
		// A promotion that was given up has taken effect. The former primary may go on for a second.
		return Action{Follow: primary.ID, Reason: "another server leads a later term"}
	}
	if listed && current.Reachable && !current.Primary {
		if primary := reportedPrimary(g); primary.ID != "" && primary.Term == current.Term {
			return Action{Follow: primary.ID, Reason: "another server leads"}
		}
		if current.DemotedFor >= demotedTimeout && reportedPrimary(g).ID == "" && now-g.ChangedAt >= promotionRetryInterval &&
			g.MayPromote(g.Primary) {
			// A former owner has made it step down, and its promotion did not follow. It has the most advanced log.
			return Action{Promote: g.Primary, Term: nextTerm(g), Reason: "the primary has stepped down and no server leads"}
		}
	}
	healthy := listed && current.Usable && current.SilentFor < primaryTimeout
	if healthy || g.ChangedAt > 0 && now-g.ChangedAt < failoverCooldown {
		return Action{}
	}
	planned := listed && current.Reachable && current.SilentFor < plannedTimeout
	// In a planned change, the new primary receives the rest of the log before it is promoted.
	target, ok := successor(g, !planned || g.NotCaughtUp)
	switch {
	case !ok && (planned || !listed || current.SilentFor >= heldTimeout) && g.holdsBack():
		return Action{Held: true, Reason: NoSafeSuccessor}
	case !ok || !settled(now, g, target.ID):
		return Action{}
	}
	action := Action{Promote: target.ID, Term: nextTerm(g), From: g.Primary, Planned: planned,
		Reason: "the primary does not answer"}
	if !listed || !current.Usable {
		action.Reason = "the primary is leaving or in a withdrawn failure domain"
	}
	return action
}

// discover finds the primary after a change of the owner, or after a promotion. The recorded primary may have been
// promoted although another server still reports to lead, so no other server is followed: it is promoted anew.
func discover(now time.Duration, g Group, byID map[string]Candidate) Action {
	recorded := byID[g.Recorded] // the zero Candidate if it is not listed
	recordedResponds := recorded.Heard && recorded.SilentFor < primaryTimeout
	leader := reportedPrimary(g)
	waited := now - g.Since
	switch {
	case g.Recorded == "" && leader.ID != "":
		return Action{Follow: leader.ID, Reason: "reports to lead the latest term"}
	case recorded.Reachable && leader.ID == g.Recorded && leader.Term >= g.RecordedTerm:
		return Action{Follow: g.Recorded, Reason: "recorded primary"}
	case g.ChangedAt > 0 && now-g.ChangedAt < promotionRetryInterval:
		return Action{}
	case recordedResponds && waited <= discoveryTime:
		return Action{}
	case recordedResponds && g.MayPromote(g.Recorded):
		// A previous owner may have ended before its promotion took effect.
		return Action{Promote: g.Recorded, Term: nextTerm(g), Planned: leader.ID != "" && leader.ID != g.Recorded, From: leader.ID,
			Reason: "recorded primary does not lead"}
	case waited < discoveryTime && (waited < takeoverTime || !onlyPrimarySilent(g)):
		return Action{}
	case g.Recorded != "" && (leader.ID != "" || recordedResponds || g.RecordedTerm > latestTerm(g)) &&
		now-max(g.Since, g.ChangedAt) < promotionSettleTime:
		return Action{} // the recorded promotion may still take effect
	}
	target, ok := successor(g, true)
	switch {
	case !ok && g.holdsBack():
		return Action{Held: true, Reason: NoSafeSuccessor}
	case !ok || !settled(now, g, target.ID):
		return Action{}
	}
	return Action{Promote: target.ID, Term: nextTerm(g), Planned: leader.ID != "" && leader.ID != target.ID, From: leader.ID,
		Reason: "no primary answers"}
}

// settled reports whether a server may be promoted: no promotion of another one may still take effect after it.
func settled(now time.Duration, g Group, server string) bool {
	return g.Unsettled == "" || g.Unsettled == server || now-g.UnsettledAt >= promotionSettleTime
}

// nextTerm returns the term that a promotion begins at the earliest.
func nextTerm(g Group) uint64 { return latestTerm(g) + 1 }

// latestTerm returns the latest term that a server has reported.
func latestTerm(g Group) (latest uint64) {
	for _, s := range g.Servers {
		latest = max(latest, s.Term)
	}
	return latest
}

// onlyPrimarySilent reports whether the previous owner has failed and all servers but one respond as replicas. The one
// that does not respond is then the primary, and this VM is not cut off from the group.
func onlyPrimarySilent(g Group) bool {
	silent := 0
	for _, s := range g.Servers {
		if !s.Reachable {
			silent++
		} else if s.Primary || s.ID == g.Recorded {
			return false
		}
	}
	return g.TakenOver && silent == 1 && len(g.Servers) > 2
}

// reportedPrimary returns the server that reports to be the primary of the latest term. The ID is empty if
// there is none, or if a server that has answered knows a later term.
func reportedPrimary(g Group) Candidate {
	var primary Candidate
	var latest uint64
	for _, s := range g.Servers {
		latest = max(latest, s.Term)
		if s.Reachable && s.Primary && s.Term > primary.Term {
			primary = s
		}
	}
	if primary.Term < latest {
		return Candidate{}
	}
	return primary
}

// successor returns the server with the most advanced log that can become the primary. durable requires that it is known
// to have all acknowledged commits.
func successor(g Group, durable bool) (Candidate, bool) {
	var best Candidate
	for _, s := range g.Servers {
		if !g.eligible(s) || durable && !g.MayPromote(s.ID) {
			continue
		}
		if best.ID == "" || s.Received.Compare(best.Received) > 0 {
			best = s
		}
	}
	return best, best.ID != ""
}

// eligible reports whether a server can take over from the primary, apart from its log.
func (g Group) eligible(s Candidate) bool { return s.ID != g.Primary && s.Usable && s.Reachable }
