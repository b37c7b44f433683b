package placement

import (
	"time"

	"siskinrouter/internal/session"
)

const (
	// primarySilence is how long a primary may be unreachable until it is replaced. It holds two status
	// queries, so that one lost answer or reset connection does not replace a primary.
	primarySilence = 800 * time.Millisecond
	// plannedSilence is the silence up to which a primary counts as able to step down in order.
	plannedSilence = 400 * time.Millisecond
	// settleTime is how long a group is left alone after a change, so that servers do not take turns.
	settleTime = 2 * time.Second
	// surveyTime is how long the servers have at the start of a tenure to report their roles.
	surveyTime = time.Second
)

// Candidate is what is known of a server when a primary is chosen.
type Candidate struct {
	ID        string
	Usable    bool
	Heard     bool          // it has answered a status query in this tenure
	Reachable bool          // it answered the latest status query
	SilentFor time.Duration // since its last answer
	Primary   bool          // role that it reports
	Term      uint64
	Received  session.Position
}

// Group is the state of a database group from which the next step is decided.
type Group struct {
	Primary   string // the server that leads, empty if not known
	Recorded  string // the server that the owners' record names, empty if there was no change yet
	Since     time.Duration
	ChangedAt time.Duration // last change of primary in this tenure; 0 if none
	Servers   []Candidate
}

// Action is the next step for a group.
type Action struct {
	// Follow names a server that already leads.
	Follow string
	// Promote names the server to be promoted.
	Promote string
	// Planned is set if the present primary still serves and can be stepped down first.
	Planned bool
	Reason  string
}

// NextAction decides whether a group needs another primary.
func NextAction(now time.Duration, g Group) Action {
	byID := map[string]Candidate{}
	for _, s := range g.Servers {
		byID[s.ID] = s
	}
	if g.Primary == "" {
		return survey(now, g, byID)
	}
	current, listed := byID[g.Primary]
	if listed && current.Reachable && !current.Primary {
		if leader := leading(g); leader.Term > current.Term || leader.ID != "" && leader.Term == current.Term {
			return Action{Follow: leader.ID, Reason: "another server leads a later term"}
		}
	}
	healthy := listed && current.Usable && current.SilentFor < primarySilence
	if healthy || g.ChangedAt > 0 && now-g.ChangedAt < settleTime {
		return Action{}
	}
	target, ok := successor(g)
	if !ok {
		return Action{}
	}
	step := Action{Promote: target.ID, Planned: listed && current.Reachable && current.SilentFor < plannedSilence,
		Reason: "the primary does not answer"}
	if !listed || !current.Usable {
		step.Reason = "the primary is leaving or in a withdrawn failure domain"
	}
	return step
}

// survey finds the primary at the start of a tenure.
func survey(now time.Duration, g Group, byID map[string]Candidate) Action {
	if g.Recorded != "" {
		recorded, listed := byID[g.Recorded]
		if listed && recorded.Reachable && recorded.Primary {
			return Action{Follow: g.Recorded, Reason: "recorded primary"}
		}
		if listed && recorded.Heard && now-g.Since > surveyTime {
			// An earlier owner may have ended before its order took effect.
			return Action{Promote: g.Recorded, Planned: true, Reason: "recorded primary does not lead"}
		}
	}
	leader := leading(g)
	if leader.ID != "" && (g.Recorded == "" || leader.Term > byID[g.Recorded].Term && now-g.Since > surveyTime) {
		return Action{Follow: leader.ID, Reason: "reports to lead the latest term"}
	}
	if now-g.Since < surveyTime {
		return Action{}
	}
	target, ok := successor(g)
	if !ok {
		return Action{}
	}
	return Action{Promote: target.ID, Reason: "no primary answers"}
}

// leading returns the server that reports to lead the latest term. The ID is empty if there is none, or
// if a server that has answered knows a later term.
func leading(g Group) Candidate {
	var leader Candidate
	var latest uint64
	for _, s := range g.Servers {
		latest = max(latest, s.Term)
		if s.Reachable && s.Primary && s.Term > leader.Term {
			leader = s
		}
	}
	if leader.Term < latest {
		return Candidate{}
	}
	return leader
}

// successor returns the most advanced server that can lead.
func successor(g Group) (Candidate, bool) {
	var best Candidate
	for _, s := range g.Servers {
		if s.ID == g.Primary || !s.Usable || !s.Reachable {
			continue
		}
		if best.ID == "" || s.Received.Compare(best.Received) > 0 {
			best = s
		}
	}
	return best, best.ID != ""
}
