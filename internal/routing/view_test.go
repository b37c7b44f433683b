package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrouter/internal/session"
)

func pos(term, offset uint64) session.Position { return session.Position{Term: term, Offset: offset} }

func threeServers() *View {
	return NewView([]Server{{Name: "a", Domain: "d1"}, {Name: "b", Domain: "d2"}, {Name: "c", Domain: "d3"}})
}

func primaryStatus(term uint64, logEnd session.Position) Status {
	return Status{Role: Primary, PromisedTerm: term, LogEnd: logEnd, Applied: logEnd, Terms: []session.Position{logEnd}}
}

func replicaStatus(term uint64, logEnd, applied session.Position) Status {
	return Status{Role: Replica, PromisedTerm: term, LogEnd: logEnd, Applied: applied}
}

// Guards against reads that miss acknowledged writes because the minimum position is taken from fewer servers
// than a majority, or from queries that were sent before the read arrived.
func TestFloorNeedsMajorityAskedSince(t *testing.T) {
	is := is.New(t)
	v := threeServers()
	v.Observe("a", 10, primaryStatus(1, pos(1, 5)))
	_, _, ok := v.MinPosition(10)
	is.True(!ok)
	v.Observe("b", 9, replicaStatus(1, pos(1, 7), pos(1, 2)))
	_, _, ok = v.MinPosition(10)
	is.True(!ok)
	v.Observe("b", 11, replicaStatus(1, pos(1, 7), pos(1, 2)))
	minPosition, term, ok := v.MinPosition(10)
	is.True(ok)
	is.Equal(minPosition, pos(1, 7))
	is.Equal(term, uint64(1))
}

// Guards against an outdated status because a response to an earlier query arrives late and replaces a newer one.
func TestLateAnswerIsIgnored(t *testing.T) {
	is := is.New(t)
	v := threeServers()
	v.Observe("a", 20, primaryStatus(2, pos(2, 9)))
	v.Observe("a", 10, primaryStatus(1, pos(1, 3)))
	st, _, _ := v.Status("a")
	is.Equal(st.PromisedTerm, uint64(2))
}

// Guards against reads that miss confirmed writes because the minimum position is below a write that was
// confirmed before the read arrived. Servers respond in random order.
func TestFloorCoversConfirmedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := threeServers()
		names := []string{"a", "b", "c"}
		logEnd := map[string]uint64{}
		now := time.Duration(0)
		confirmed := uint64(0)
		confirmedAt := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now++
			name := rapid.SampledFrom(names).Draw(t, "server")
			if rapid.Bool().Draw(t, "replicate") {
				logEnd[name] += rapid.Uint64Range(0, 3).Draw(t, "entries")
			}
			v.Observe(name, now, replicaStatus(1, pos(1, logEnd[name]), pos(1, 0)))
			if m := median(logEnd, names); m > confirmed {
				confirmed, confirmedAt = m, now
			}
			minPosition, _, ok := v.MinPosition(confirmedAt + 1)
			if ok && minPosition.Offset < confirmed {
				t.Fatalf("minimum position %v is below the confirmed offset %d", minPosition, confirmed)
			}
		}
	})
}

// median returns the highest offset that two of three servers hold.
func median(logEnd map[string]uint64, names []string) uint64 {
	a, b, c := logEnd[names[0]], logEnd[names[1]], logEnd[names[2]]
	return max(min(a, b), min(b, c), min(a, c))
}

// Guards against a write that is confirmed too early: a server counts although its log ends in a later term
// and may have discarded the write.
func TestLaterTermDoesNotConfirm(t *testing.T) {
	is := is.New(t)
	v := threeServers()
	v.Observe("a", 1, primaryStatus(1, pos(1, 8)))
	v.Observe("b", 1, replicaStatus(2, pos(2, 8), pos(2, 8)))
	is.True(!v.Confirmed(pos(1, 8)))
	v.Observe("c", 1, replicaStatus(1, pos(1, 8), pos(1, 2)))
	is.True(v.Confirmed(pos(1, 8)))
}

// Guards against a false "not run" or a false acknowledgment: the primary is replaced before the write is
// confirmed, and its outcome is resolved before a majority holds the new term.
func TestResolveReadsTheLogOfTheNewPrimary(t *testing.T) {
	is := is.New(t)
	v := threeServers()
	v.Observe("a", 1, primaryStatus(1, pos(1, 9)))
	next := primaryStatus(2, pos(2, 8))
	next.Terms = []session.Position{pos(1, 7), pos(2, 8)}
	v.Observe("b", 2, next)
	is.Equal(v.Resolve(pos(1, 7)), Unknown) // only the new primary holds the new term
	v.Observe("c", 3, replicaStatus(2, pos(2, 8), pos(1, 7)))
	is.Equal(v.Resolve(pos(1, 7)), Survived)
	is.Equal(v.Resolve(pos(1, 8)), Lost)
	next.Terms = []session.Position{pos(2, 8)}
	v.Observe("b", 4, next)
	is.Equal(v.Resolve(pos(1, 7)), Unknown) // the reported terms do not include term 1
}

// Guards against reads that are served below the position of the session or from data older than the route
// allows.
func TestReadKeepsBothBounds(t *testing.T) {
	is := is.New(t)
	v := threeServers()
	ms := time.Millisecond
	v.Observe("a", 100*ms, primaryStatus(1, pos(1, 5)))
	v.Observe("b", 100*ms, replicaStatus(1, pos(1, 5), pos(1, 3)))
	v.Observe("c", 100*ms, replicaStatus(1, pos(1, 5), pos(1, 5)))

	q := ReadRequest{MinPosition: pos(1, 4), LocalDomain: "d2"}
	name, err := v.Read(110*ms, q)
	is.NoErr(err)
	is.Equal(name, "c") // b is local but has not applied the minimum position

	q = ReadRequest{MinPosition: pos(1, 3), MaxStaleness: 50 * ms, LocalDomain: "d2"}
	name, err = v.Read(110*ms, q)
	is.NoErr(err)
	is.Equal(name, "c") // the age of b's data is not known
	_, err = v.Read(300*ms, q)
	is.True(err != nil) // no status is recent enough

	q = ReadRequest{MinPosition: pos(2, 1)}
	_, err = v.Read(110*ms, q)
	is.True(err != nil) // no log has reached the term of the minimum position
}

// Guards against data older than a route allows: the age of the data is underestimated when samples are
// merged or dropped.
func TestAgeIsNeverUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := threeServers()
		now := time.Duration(0)
		offset, applied := uint64(0), uint64(0)
		written := []time.Duration{0} // time at which each offset was written
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "write") {
				offset++
				written = append(written, now)
			}
			v.Observe("a", now, primaryStatus(1, pos(1, offset)))
			v.Observe("b", now, replicaStatus(1, pos(1, offset), pos(1, 0)))
			applied = rapid.Uint64Range(applied, offset).Draw(t, "applied")
			v.Observe("c", now, replicaStatus(1, pos(1, offset), pos(1, applied)))
			c := v.servers["c"]
			if applied == offset || !c.hasFreshAt {
				continue
			}
			// The data of c lacks the next write, so it is at least as old as that write.
			if next := written[applied+1]; c.freshAt >= next {
				t.Fatalf("data counts as fresh at %v, but offset %d was written at %v", c.freshAt, applied+1, next)
			}
		}
	})
}
