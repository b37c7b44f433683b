package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrouter/internal/directory"
)

const service = "ledger"

func holder(name string, incarnation uint64) directory.RunID {
	return directory.RunID{Name: name, Incarnation: incarnation}
}

func nobodyDead(directory.RunID) bool { return false }

// Guards against two VMs that act as the owner of a service at the same time: the successor must not
// obtain a majority while promises to its predecessor bind.
func TestSuccessorWaitsForPromises(t *testing.T) {
	is := is.New(t)
	m := NewVoter(0)
	first := directory.OwnerRecord{Service: service, Epoch: 1, Holder: holder("a", 1)}
	second := directory.OwnerRecord{Service: service, Epoch: 2, Holder: holder("b", 1), Predecessors: []directory.RunID{first.Holder}}
	now := 10 * time.Second
	is.True(m.Renew(now, first, 1, nobodyDead))
	is.True(!m.Renew(now+TTL-time.Millisecond, second, 2, nobodyDead))
	is.True(m.Renew(now+TTL, second, 2, nobodyDead))
	is.True(!m.Renew(now+TTL, first, 1, nobodyDead)) // an earlier epoch never returns
}

// Guards against a wait after an owner whose end is known, and against a promise that outlives its release.
func TestPromiseEndsWithHolder(t *testing.T) {
	is := is.New(t)
	first := directory.OwnerRecord{Service: service, Epoch: 1, Holder: holder("a", 1)}
	second := directory.OwnerRecord{Service: service, Epoch: 2, Holder: holder("b", 1), Predecessors: []directory.RunID{first.Holder}}
	dead := func(h directory.RunID) bool { return h == first.Holder }
	m := NewVoter(0)
	is.True(m.Renew(time.Second, first, 1, nobodyDead))
	is.True(m.Renew(time.Second, second, 2, dead))
	m = NewVoter(0)
	is.True(m.Renew(time.Second, first, 1, nobodyDead))
	m.Release(service, 1)
	is.True(m.Renew(time.Second, second, 2, nobodyDead))
}

// Guards against a VM that has lost its promises in a restart and makes contradicting ones.
func TestRestartedMemberWaits(t *testing.T) {
	is := is.New(t)
	second := directory.OwnerRecord{Service: service, Epoch: 2, Holder: holder("b", 1), Predecessors: []directory.RunID{holder("a", 1)}}
	m := NewVoter(time.Minute)
	is.True(!m.Renew(time.Minute+time.Millisecond, second, 2, nobodyDead))
	is.True(m.Renew(time.Minute+TTL, second, 2, nobodyDead))

	first := directory.OwnerRecord{Service: service, Epoch: 1, Holder: holder("a", 1)}
	m = NewVoter(time.Minute)
	is.True(!m.Renew(time.Minute, first, 2, nobodyDead)) // a later tenure is recorded
	is.True(!m.Renew(time.Minute, first, 0, nobodyDead)) // the record is not known
	is.True(m.Renew(time.Minute, first, 1, nobodyDead))  // the first tenure of all
}

// Guards against a lease that counts a renewal of a minority.
func TestLeaseNeedsMajority(t *testing.T) {
	is := is.New(t)
	tenure := New(0, directory.OwnerRecord{Service: service, Epoch: 1})
	members := []string{"a", "b", "c", "d"}
	tenure.RecordGrant("a", time.Second)
	tenure.RecordGrant("b", 2*time.Second)
	is.Equal(tenure.ValidUntil(members), time.Duration(0))
	tenure.RecordGrant("c", 3*time.Second)
	is.Equal(tenure.ValidUntil(members), time.Second+TTL-SafetyMargin)
}

// Guards against a new owner that counts as lost before its first renewal can have arrived.
func TestNewTenureIsNotLost(t *testing.T) {
	is := is.New(t)
	m := NewVoter(0)
	tenure := directory.OwnerRecord{Service: service, Epoch: 3, Holder: holder("a", 1)}
	learned := time.Minute
	is.True(!m.OwnerSuspected(learned+SuspectTimeout, tenure, learned, nobodyDead))
	is.True(m.OwnerSuspected(learned+SuspectTimeout+1, tenure, learned, nobodyDead))
	is.True(m.OwnerSuspected(learned, tenure, learned, func(directory.RunID) bool { return true }))
}

// Guards against a new owner that serves while its predecessor still relies on its reading of the record.
func TestSuccessorWaitsForReadings(t *testing.T) {
	is := is.New(t)
	members := []string{"a", "b", "c"}
	first := New(0, directory.OwnerRecord{Service: service, Epoch: 1, Holder: holder("a", 1)})
	read := time.Minute
	for _, name := range members {
		first.RecordGrant(name, time.Second)
	}
	is.True(first.Valid(time.Second, members, nobodyDead))
	first.RecordRead(read)
	second := New(read+time.Millisecond, directory.OwnerRecord{
		Service: service, Epoch: 2, Holder: holder("b", 1), Predecessors: []directory.RunID{first.Record.Holder}})
	for _, name := range members {
		second.RecordGrant(name, read+time.Millisecond)
	}
	for now := read; now < read+TTL; now += time.Millisecond {
		is.True(!first.Valid(now, members, nobodyDead) || !second.Valid(now, members, nobodyDead))
	}
	is.True(second.Valid(read+RecordTTL+2*SafetyMargin, members, nobodyDead))
	is.True(second.Valid(read+2*time.Millisecond, members, func(directory.RunID) bool { return true }))
	second.Record.HandedOver = true
	is.True(second.Valid(read+2*time.Millisecond, members, nobodyDead))
}

// Guards against an owner that serves by the record alone although the VMs still promise to its
// predecessor.
func TestReadingNeedsEarlierMajority(t *testing.T) {
	is := is.New(t)
	tenure := New(0, directory.OwnerRecord{Service: service, Epoch: 2})
	tenure.RecordRead(time.Minute)
	is.True(!tenure.Valid(time.Minute, []string{"a", "b", "c"}, nobodyDead))
}

// Guards against overlapping leases under delayed and lost renewals, restarts of members and any
// order of claims.
func TestLeasesDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 5
		var names []string
		members := map[string]*Voter{}
		read := map[string]uint64{} // epoch that a VM has read since its start
		for i := range vms {
			name := fmt.Sprintf("vm%d", i)
			names = append(names, name)
			members[name] = NewVoter(0)
		}
		now := 10 * time.Second
		current := directory.OwnerRecord{Service: service, Epoch: 1, Holder: holder(names[0], 1)}
		tenures := []*Lease{New(now, current)}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"beat", "beat", "beat", "claim", "restart", "wait", "read"}).Draw(t, "step") {
			case "beat":
				tenure := rapid.SampledFrom(tenures).Draw(t, "tenure")
				sent := now
				for _, name := range names {
					now += time.Duration(rapid.IntRange(0, 20).Draw(t, "delay")) * time.Millisecond
					lost := rapid.Bool().Draw(t, "lost")
					if !lost && members[name].Renew(now, tenure.Record, read[name], nobodyDead) {
						tenure.RecordGrant(name, sent)
					}
				}
			case "claim":
				next := directory.OwnerRecord{
					Service: service, Epoch: current.Epoch + 1,
					Predecessors: append(slices.Clone(current.Predecessors), current.Holder),
					Holder:       holder(rapid.SampledFrom(names).Draw(t, "holder"), current.Epoch+1),
				}
				current = next
				tenures = append(tenures, New(now, next))
			case "read":
				latest := tenures[len(tenures)-1]
				started := now
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "read takes")) * time.Millisecond
				latest.RecordRead(started)
			case "restart":
				name := rapid.SampledFrom(names).Draw(t, "restarted")
				members[name] = NewVoter(now)
				read[name] = current.Epoch
			case "wait":
				now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "wait")) * time.Millisecond
			}
			valid := 0
			for _, tenure := range tenures {
				if tenure.Valid(now, names, nobodyDead) {
					valid++
				}
			}
			if valid > 1 {
				t.Fatalf("%d leases are valid at %s", valid, now)
			}
		}
	})
}
