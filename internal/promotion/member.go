// Package promotion implements the failover and switchover of a database group. Member is the
// server side: it decides which terms, writes and log entries a server accepts. Coordinator runs
// on each VM: it detects a failed primary and promotes another server.
//
// The package is deterministic: it does no I/O, starts no goroutine, reads no clock and uses
// no global random source.
package promotion

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strconv"

	"siskinrouter/internal/session"
)

// Role is the role that a server plays in its group.
type Role uint8

const (
	// Fenced means that the server has promised a term and has neither been promoted nor told
	// to follow a primary in it. It accepts no writes and no log entries.
	Fenced Role = iota
	// Replica means that the server accepts log entries of the primary of its promised term.
	Replica
	// Primary means that the server accepts writes in its promised term.
	Primary
)

// String returns the name used in the role column of a status row.
func (r Role) String() string {
	switch r {
	case Replica:
		return "replica"
	case Primary:
		return "primary"
	default:
		return "fenced"
	}
}

// ParseRole parses the role column of a status row.
func ParseRole(s string) (Role, error) {
	for _, r := range []Role{Fenced, Replica, Primary} {
		if r.String() == s {
			return r, nil
		}
	}
	return Fenced, fmt.Errorf("role %q is none of primary, replica, fenced", s)
}

// Status is the content of a status row.
type Status struct {
	Server   string
	Role     Role
	Promised uint64           // highest term the server has promised
	LogEnd   session.Position // position of the last log entry
	Applied  session.Position // position of the last log entry visible to reads
	Active   int              // open transactions
	Primary  string           // address of the primary that the server follows; empty if none
	Terms    string           // last positions of the latest terms in the log, see session.ParsePositions
}

// StatusColumns are the names of the columns of a status row, in order.
var StatusColumns = []string{"server", "role", "promised_term", "held", "applied", "active", "primary", "terms"}

// Row returns the values of the status row in the order of StatusColumns.
func (s Status) Row() []string {
	return []string{
		s.Server, s.Role.String(), strconv.FormatUint(s.Promised, 10), s.LogEnd.String(),
		s.Applied.String(), strconv.Itoa(s.Active), s.Primary, s.Terms,
	}
}

// ParseStatus parses a row that ends with the status columns; columns before them are ignored.
func ParseStatus(row []string) (Status, error) {
	if len(row) < len(StatusColumns) {
		return Status{}, fmt.Errorf("status row has %d columns instead of %d", len(row), len(StatusColumns))
	}
	row = row[len(row)-len(StatusColumns):]
	role, roleErr := ParseRole(row[1])
	promised, promisedErr := strconv.ParseUint(row[2], 10, 64)
	logEnd, logEndErr := session.ParsePosition(row[3])
	applied, appliedErr := session.ParsePosition(row[4])
	active, activeErr := strconv.Atoi(row[5])
	if err := errors.Join(roleErr, promisedErr, logEndErr, appliedErr, activeErr); err != nil {
		return Status{}, fmt.Errorf("status row of server %q: %w", row[0], err)
	}
	return Status{
		Server: row[0], Role: role, Promised: promised, LogEnd: logEnd, Applied: applied, Active: active, Primary: row[6], Terms: row[7],
	}, nil
}

// Confirms reports whether the status proves that the log of the server contains pos, a position
// written by the primary of pos.Term. A log that ends in a later term proves nothing: the primary of
// that term may have discarded pos, although the log end compares as covering it.
func (s Status) Confirms(pos session.Position) bool {
	return s.LogEnd.Term == pos.Term && s.LogEnd.Offset >= pos.Offset
}

// Majority returns the number of servers that form a majority of a group of n servers.
func Majority(n int) int { return n/2 + 1 }

// Errors returned by Member.
var (
	// ErrNotPrimary means that the server is a replica or fenced and accepts no writes.
	ErrNotPrimary = errors.New("server is not the primary of its promised term")
	// ErrTerm means that log entries belong to a term that the server does not follow.
	ErrTerm = errors.New("log entries of a term that the server does not follow")
	// ErrGap means that the log of the server does not contain the position before the entries.
	ErrGap = errors.New("log does not contain the position that precedes the entries")
)

// Entry is one log entry. Offsets are not stored: the entry at index i has offset i+1.
type Entry[D any] struct {
	Term  uint64
	Start bool // first entry of a term, written by promotion; carries no data
	Data  D
}

// Append carries log entries from the primary of Term to a replica.
type Append[D any] struct {
	Term    uint64
	Prev    session.Position // position that precedes Entries
	Entries []Entry[D]
}

// Member is the replication state of one server and enforces the rules for terms. The caller keeps
// it for the lifetime of the server's data: promises and log survive a restart of the server process.
type Member[D any] struct {
	name        string
	role        Role
	promised    uint64
	coordinator string // ID of the coordinator to which promised was granted; empty if set by Follow
	primary     string
	log         []Entry[D]

	disabledRules rule // rules switched off; set only by tests
}

// rule is a set of safety rules. Tests disable a rule to show that it is needed.
type rule uint32

const (
	ruleFenceOnce      rule = 1 << iota // a term is promised at most once
	rulePromoteGranted                  // promotion needs the term promised to the same coordinator
	ruleWriteUnfenced                   // only the primary of the promised term writes
	ruleAppendTerm                      // entries of a term other than the promised one are refused
	ruleLogMatch                        // entries must continue the log of the server
	ruleDiscardTail                     // a divergent tail is replaced
	ruleFollowTerm                      // a server does not follow in a term below its promise
	ruleMajority                        // promotion needs grants of a majority
	ruleMostAdvanced                    // the promoted server covers a majority of the grants
	ruleOnePromotion                    // a coordinator promotes one server per term
	ruleResponseTerm                    // responses of earlier terms are ignored
	ruleConfirmTerm                     // only a log that ends in the term of a write confirms it
)

// has reports whether the set contains r.
func (set rule) has(r rule) bool { return set&r != 0 }

// NewMember returns a server with an empty log that has promised no term.
func NewMember[D any](name string) *Member[D] { return &Member[D]{name: name} }

// Status returns the status of the server. The caller fills in Applied, Terms and Active.
func (m *Member[D]) Status() Status {
	return Status{Server: m.name, Role: m.role, Promised: m.promised, LogEnd: m.LogEnd(), Primary: m.primary}
}

// LogEnd returns the position of the last log entry.
func (m *Member[D]) LogEnd() session.Position { return m.At(uint64(len(m.log))) }

// At returns the position of the entry at offset, or the zero position if offset is 0.
func (m *Member[D]) At(offset uint64) session.Position {
	if offset == 0 {
		return session.Position{}
	}
	return session.Position{Term: m.log[offset-1].Term, Offset: offset}
}

// Entry returns the entry at offset, which must be between 1 and LogEnd().Offset.
func (m *Member[D]) Entry(offset uint64) Entry[D] { return m.log[offset-1] }

// Contains reports whether the log contains pos.
func (m *Member[D]) Contains(pos session.Position) bool {
	if pos.Offset == 0 {
		return true
	}
	return pos.Offset <= uint64(len(m.log)) && m.log[pos.Offset-1].Term == pos.Term
}

// Fence promises term to a coordinator. The promise is granted only if term is above every earlier
// promise. From then on the server accepts no writes and no entries of a lower term.
func (m *Member[D]) Fence(term uint64, coordinator string) bool {
	if term <= m.promised && !m.disabledRules.has(ruleFenceOnce) {
		return false
	}
	m.promised, m.coordinator, m.role, m.primary = term, coordinator, Fenced, ""
	return true
}

// Promote makes the server the primary of term, which it must have promised to coordinator, and
// writes the first log entry of the term. A repeated promotion is granted without effect.
// address is the address under which replicas reach this server.
func (m *Member[D]) Promote(term uint64, coordinator, address string) bool {
	granted := term == m.promised && coordinator == m.coordinator && m.role != Replica
	if !granted && !m.disabledRules.has(rulePromoteGranted) {
		return false
	}
	if m.role == Primary && m.promised == term {
		return true
	}
	m.promised, m.role, m.primary = term, Primary, address
	m.log = append(m.log, Entry[D]{Term: term, Start: true})
	return true
}

// Follow makes the server a replica of the primary of term. It is refused below the promised
// term, on the primary of term itself, and if the server already follows another address in
// term.
func (m *Member[D]) Follow(term uint64, primary string) bool {
	if term < m.promised && !m.disabledRules.has(ruleFollowTerm) {
		return false
	}
	if term == m.promised && m.role == Primary {
		return false
	}
	if term == m.promised && m.role == Replica {
		return m.primary == primary
	}
	m.promised, m.coordinator, m.role, m.primary = term, "", Replica, primary
	return true
}

// Write appends data to the log of a primary and returns its position. On any other server it returns
// ErrNotPrimary.
func (m *Member[D]) Write(data D) (session.Position, error) {
	if m.role != Primary {
		if !m.disabledRules.has(ruleWriteUnfenced) || len(m.log) == 0 {
			return session.Position{}, ErrNotPrimary
		}
		m.log = append(m.log, Entry[D]{Term: m.LogEnd().Term, Data: data})
		return m.LogEnd(), nil
	}
	m.log = append(m.log, Entry[D]{Term: m.promised, Data: data})
	return m.LogEnd(), nil
}

// TermBoundaries returns the last position of every term in the log, in ascending order. A
// replica sends them so that the primary finds the last position common to both logs.
func (m *Member[D]) TermBoundaries() []session.Position {
	var all []session.Position
	for end := 0; end < len(m.log); {
		term := m.log[end].Term
		// Terms never decrease along the log.
		end += sort.Search(len(m.log)-end, func(i int) bool { return m.log[end+i].Term > term })
		all = append(all, session.Position{Term: term, Offset: uint64(end)})
	}
	return all
}

// LastCommonPosition returns the last position that this log shares with a log that has the given
// boundaries. Two logs that contain the same term are equal up to the end of that term in the
// shorter one, because each term has one primary.
func (m *Member[D]) LastCommonPosition(boundaries []session.Position) session.Position {
	own := m.TermBoundaries()
	for _, b := range slices.Backward(boundaries) {
		i, found := slices.BinarySearchFunc(own, b, func(x, y session.Position) int {
			return session.Position{Term: x.Term}.Compare(session.Position{Term: y.Term})
		})
		if found {
			return session.Position{Term: b.Term, Offset: min(b.Offset, own[i].Offset)}
		}
	}
	return session.Position{}
}

// EntriesAfter returns at most limit entries that follow prev, for a replica. It returns false if
// the server is not the primary of term or its log does not contain prev.
func (m *Member[D]) EntriesAfter(term uint64, prev session.Position, limit int) (Append[D], bool) {
	if m.role != Primary || m.promised != term || !m.Contains(prev) {
		return Append[D]{}, false
	}
	end := min(uint64(len(m.log)), prev.Offset+uint64(limit))
	entries := slices.Clone(m.log[prev.Offset:end])
	return Append[D]{Term: term, Prev: prev, Entries: entries}, true
}

// AppendEntries adds the entries of a to the log of a replica and replaces a divergent tail. It
// returns the offset of the first entry that was discarded, or 0 if none was. The error is
// ErrTerm, ErrGap or nil.
func (m *Member[D]) AppendEntries(a Append[D]) (discardedFrom uint64, err error) {
	if (m.role != Replica || a.Term != m.promised) && !m.disabledRules.has(ruleAppendTerm) {
		return 0, ErrTerm
	}
	if !m.Contains(a.Prev) && !m.disabledRules.has(ruleLogMatch) {
		return 0, ErrGap
	}
	for i, e := range a.Entries {
		at := a.Prev.Offset + uint64(i)
		if at < uint64(len(m.log)) {
			if m.log[at].Term == e.Term || m.disabledRules.has(ruleDiscardTail) {
				continue
			}
			if discardedFrom == 0 {
				discardedFrom = at + 1
			}
			m.log = m.log[:at:at]
		}
		m.log = append(m.log, e)
	}
	return discardedFrom, nil
}
