package placement

import (
	"slices"

	"siskinrouter/internal/session"
)

// Durability is what is known of the commits that have been acknowledged to callers. A service with synchronous replicas
// promises that a change of the primary keeps them.
type Durability struct {
	// SyncReplicas is the number of replicas that have received a commit before it is acknowledged. If it is 0, a commit may
	// be lost with its primary, and any server may be promoted.
	SyncReplicas int
	// Acknowledged is a position that no acknowledged commit is after. It is valid if AcknowledgedKnown is set.
	Acknowledged      session.Position
	AcknowledgedKnown bool
	// Departed is the number of servers that are no longer listed and whose logs no other server is known to have taken over.
	Departed int
	// NotCaughtUp is set if the last planned change was given up because the new primary did not receive the log in time.
	NotCaughtUp bool
}

// MayPromote reports whether a server has all commits that were acknowledged to callers, as far as the service promises to
// keep them. There are two proofs, each of which suffices: the log of the server reaches the latest acknowledged position,
// or it has all that was received by so many servers that each acknowledged commit is among it.
func (g Group) MayPromote(server string) bool {
	if g.SyncReplicas == 0 {
		return true
	}
	i := slices.IndexFunc(g.Servers, func(s Candidate) bool { return s.ID == server })
	if i < 0 || !g.Servers[i].Heard {
		return false
	}
	target := g.Servers[i].Received
	return g.AcknowledgedKnown && hasReceived(target, g.Acknowledged) || g.hasAllReceived(target)
}

// hasAllReceived reports whether a log contains everything that the servers with settled positions have received, and
// whether these are enough: an acknowledged commit is held by its primary and SyncReplicas others, so at most SyncReplicas
// servers may be unknown.
func (g Group) hasAllReceived(target session.Position) bool {
	unknown := g.Departed
	for _, s := range g.Servers {
		switch {
		case !s.Settled:
			unknown++
		case !hasReceived(target, s.Received):
			return false
		}
	}
	return unknown <= g.SyncReplicas
}

// hasReceived reports whether a log that ends at p contains the entries up to q. A server reports a new term before it has
// received the entries of the earlier ones, so the term alone does not tell. Offsets increase across terms.
func hasReceived(p, q session.Position) bool { return p.Term >= q.Term && p.Offset >= q.Offset }

// holdsBack reports whether a server could be promoted if it had all acknowledged commits.
func (g Group) holdsBack() bool { return slices.ContainsFunc(g.Servers, g.eligible) }
