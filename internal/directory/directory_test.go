package directory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/membership"
)

func serverEntry(id string, revision uint64) Entry {
	return Entry{Name: id, Revision: revision, Server: &Server{ID: id, Service: "s"}}
}

// Guards against reverting to an earlier configuration when an update arrives late.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	d := New()
	version := func(v, revision uint64) Listing {
		return Listing{Kind: Configurations, Revision: revision, Entries: []Entry{
			{Name: "main", Revision: revision, Configuration: &Configuration{Version: v}}}}
	}
	is.True(d.Replace(0, version(5, 50)))
	is.True(!d.Replace(0, version(4, 40)))
	d.Update(0, version(4, 45))
	is.Equal(d.View().Configuration.Version, uint64(5))
	d.Update(0, version(6, 60))
	is.Equal(d.View().Configuration.Version, uint64(6))
}

// Guards against losing the configuration because a later object cannot be decoded.
func TestUnreadableConfigurationIsSkipped(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Replace(0, Listing{Kind: Configurations, Revision: 1, Entries: []Entry{
		{Name: "main", Revision: 1, Configuration: &Configuration{Version: 1}}}})
	d.Update(0, Listing{Kind: Configurations, Revision: 2, Entries: []Entry{{Name: "main", Revision: 2}}})
	is.Equal(d.View().Configuration.Version, uint64(1))
}

// Guards against dropping servers whose entries expire during an outage of the store, and against keeping
// servers whose entries do not come back.
func TestMissingServerIsKeptForItsGrace(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Replace(0, Listing{Kind: Servers, Revision: 5, Entries: []Entry{serverEntry("a", 4), serverEntry("b", 5)}})
	d.Replace(time.Second, Listing{Kind: Servers, Revision: 9, Entries: []Entry{serverEntry("a", 4)}})
	is.True(d.View().Usable("b"))
	d.Expire(time.Second + MissingServerGrace)
	is.True(d.View().Usable("b"))
	d.Expire(time.Second + MissingServerGrace + 1)
	is.True(!d.View().Usable("b"))
	d.Update(5*time.Second, Listing{Kind: Servers, Revision: 12, Entries: []Entry{serverEntry("b", 12)}})
	is.True(d.View().Usable("b"))
}

// Guards against sending work to servers that are draining or whose failure domain is withdrawn.
func TestUsable(t *testing.T) {
	is := is.New(t)
	d := New()
	draining := Entry{Name: "a", Revision: 1, Server: &Server{ID: "a", Draining: true}}
	domain := Entry{Name: "b", Revision: 2, Server: &Server{ID: "b", Domain: "bne"}}
	d.Replace(0, Listing{Kind: Servers, Revision: 2, Entries: []Entry{draining, domain}})
	is.True(!d.View().Usable("a"))
	is.True(d.View().Usable("b"))
	d.Replace(0, Listing{Kind: Withdrawals, Revision: 3, Entries: []Entry{{Name: "bne", Revision: 3}}})
	is.True(!d.View().Usable("b"))
	d.Update(0, Listing{Kind: Withdrawals, Revision: 4, Entries: []Entry{{Name: "bne", Revision: 3, Deleted: true}}})
	is.True(d.View().Usable("b"))
}

// Guards against VMs that diverge when they receive changes from each other instead of the store.
func TestChangesBringAnotherVMUpToDate(t *testing.T) {
	is := is.New(t)
	a, b := New(), New()
	listing := Listing{Kind: Servers, Revision: 3, Entries: []Entry{serverEntry("x", 2), serverEntry("y", 3)}}
	a.Replace(0, listing)
	b.Replace(0, listing)
	a.Update(0, Listing{Kind: Servers, Revision: 7, Entries: []Entry{serverEntry("z", 6), {Name: "x", Revision: 2, Deleted: true}}})
	changes := a.Changes(Servers, b.View().LastChanges[Servers])
	is.Equal(len(changes.Entries), 2)
	is.True(b.MergeListing(0, changes))
	is.Equal(b.View().LastChanges[Servers], a.View().LastChanges[Servers])
	is.Equal(len(b.Listing(Servers).Entries), 2)

	late := New() // knows nothing, so it needs the complete state
	is.True(late.MergeListing(0, a.Changes(Servers, late.View().LastChanges[Servers])))
	is.Equal(len(late.Listing(Servers).Entries), 2)
}

// Guards against treating a run of a VM as alive after another run has replaced it.
func TestEnded(t *testing.T) {
	is := is.New(t)
	d := New()
	first := VM{Name: "vm", Incarnation: 1}
	d.Replace(0, Listing{Kind: Fleet, Revision: 1, Entries: []Entry{{Name: "vm.vm", Revision: 1, VM: &first}}})
	is.True(!d.View().Ended(first.RunID()))
	second := VM{Name: "vm", Incarnation: 2}
	d.MergeVM(0, second)
	is.True(d.View().Ended(first.RunID()))
	d.Update(0, Listing{Kind: Fleet, Revision: 2, Entries: []Entry{{Name: "vm.vm", Revision: 2, VM: &second}}})
	is.True(!d.View().Ended(second.RunID()))
	d.Update(0, Listing{Kind: Fleet, Revision: 3, Entries: []Entry{{Name: "vm.vm", Revision: 3, Deleted: true}}})
	is.True(d.View().Ended(second.RunID()))
	is.Equal(len(d.View().VMs), 0)
	d.MergeVM(0, second) // a delayed announcement
	is.Equal(len(d.View().VMs), 0)
}

// Guards against publishing a new view for each announcement that matches the store's record, which makes the
// start of a fleet quadratic in the number of VMs.
func TestAnnouncementOfKnownVMChangesNothing(t *testing.T) {
	is := is.New(t)
	d := New()
	changes := 0
	d.OnChange(func(_, _ *View) { changes++ })
	known := VM{Name: "a", Incarnation: 1, Address: "10.0.0.1:1", Cores: 0.4}
	d.Replace(0, Listing{Kind: Fleet, Revision: 1, Entries: []Entry{{Name: "vm.a", Revision: 1, VM: &known}}})
	is.Equal(changes, 1)
	d.MergeVM(0, known)
	is.Equal(changes, 1)
	restarted := known
	restarted.Incarnation = 2
	d.MergeVM(0, restarted)
	is.Equal(changes, 2)
	is.True(d.View().Ended(known.RunID()))
	is.Equal(d.View().ByCores, []string{"a"})
	d.MergeVM(0, VM{Name: "b", Incarnation: 1, Cores: 0.8})
	is.Equal(d.View().ByCores, []string{"b", "a"})
}

// Guards against VMs that keep sending requests to a former owner until the store's update reaches them
// although the new owner has announced itself, and against replacing a later record by an earlier one.
func TestOwnerRecordFromItsHolder(t *testing.T) {
	is := is.New(t)
	d := New()
	first := OwnerRecord{Service: "s", Epoch: 1, Holder: RunID{Name: "a"}}
	second := OwnerRecord{Service: "s", Epoch: 2, Holder: RunID{Name: "b"}}
	d.MergeOwnerRecords(0, []OwnerRecordEntry{{second, 9}})
	is.Equal(len(d.View().OwnerRecords), 0) // the name of the record is not known yet
	d.Replace(0, Listing{Kind: Fleet, Revision: 5, Entries: []Entry{{Name: "service.s", Revision: 5, OwnerRecord: &first}}})
	d.MergeOwnerRecords(0, []OwnerRecordEntry{{second, 9}})
	is.Equal(d.View().OwnerRecords["s"].Holder.Name, "b")
	changes := 0
	d.OnChange(func(_, _ *View) { changes++ })
	d.MergeOwnerRecords(0, []OwnerRecordEntry{{first, 5}})
	is.Equal(changes, 0) // building a view takes time proportional to the fleet
	is.Equal(d.View().OwnerRecords["s"].Holder.Name, "b")
	d.Update(0, Listing{Kind: Fleet, Revision: 9, Entries: []Entry{{Name: "service.s", Revision: 9, OwnerRecord: &second}}})
	is.Equal(len(d.Listing(Fleet).Entries), 1)
}

// Guards against VMs that treat a restarted VM as ended for good: its record was removed and written again
// within one response of the store, and the listing sent to other VMs had the removal after the new record.
// Found by the soak test (seed 115).
func TestRestartInOneResponseOfTheStore(t *testing.T) {
	is := is.New(t)
	sender, receiver := New(), New()
	first, second := VM{Name: "vm", Incarnation: 1}, VM{Name: "vm", Incarnation: 2}
	start := Listing{Kind: Fleet, Revision: 20, Entries: []Entry{{Name: "vm.vm", Revision: 20, VM: &first}}}
	sender.Replace(0, start)
	receiver.Replace(0, start)
	sender.Update(0, Listing{Kind: Fleet, Revision: 23, Entries: []Entry{
		{Name: "vm.vm", Revision: 20, Deleted: true}, {Name: "vm.vm", Revision: 23, VM: &second},
	}})
	receiver.MergeVM(0, second)
	is.True(receiver.MergeListing(0, sender.Changes(Fleet, 20)))
	for _, d := range []*Directory{sender, receiver} {
		is.True(d.View().Ended(first.RunID()))
		is.True(!d.View().Ended(second.RunID()))
		is.Equal(d.View().VMs["vm"], second)
		is.Equal(d.View().ByCores, []string{"vm"})
	}
}

// Guards against a new owner that takes the listed servers for the whole group: one that crashed may hold acknowledged commits.
func TestDepartedServersAreCounted(t *testing.T) {
	is := is.New(t)
	d := New()
	list := func(now time.Duration, revision uint64, servers ...Server) int {
		l := Listing{Kind: Servers, Revision: revision}
		for _, s := range servers {
			s.Service = "s"
			l.Entries = append(l.Entries, Entry{Name: s.ID, Revision: revision, Server: &s})
		}
		d.Replace(now, l)
		d.Expire(now + MissingServerGrace + 1)
		return d.View().Departed["s"]
	}
	a, b := Server{ID: "a", Address: "1"}, Server{ID: "b", Address: "2"}
	is.Equal(list(0, 1, a, b), 0)
	is.Equal(list(time.Second, 2, a), 1)
	is.Equal(list(10*time.Second, 3, a, b), 0)                             // it is back
	is.Equal(list(20*time.Second, 4, a), 1)                                // it crashes again
	is.Equal(list(30*time.Second, 5, a, Server{ID: "c", Address: "2"}), 0) // another one has its address and its log
	is.Equal(list(40*time.Second, 6, a), 1)
	d.Expire(40*time.Second + 2*departedMemory)
	is.Equal(d.View().Departed["s"], 0)
}

// Guards against VMs that never learn of a record: its writer knew it before it listed the kind, so the listing did not count
// as a change, and the writer told nobody.
func TestListingAnnouncesOwnRecord(t *testing.T) {
	is := is.New(t)
	d := New()
	d.Replace(0, Listing{Kind: Fleet, Revision: 4})
	e := Entry{Name: "service.s", Revision: 6, OwnerRecord: &OwnerRecord{Service: "s", Epoch: 1}}
	d.Put(0, Fleet, e)
	d.Replace(0, Listing{Kind: Fleet, Revision: 7, Entries: []Entry{e}})
	is.Equal(d.View().LastChanges[Fleet], uint64(6))
	is.Equal(len(d.Changes(Fleet, 4).Entries), 1)
}

// Guards against a voter that joins, learns of the completed change alone, and promises to an owner whose successor it does not
// know; and against a store that returns empty or with earlier voters and replaces those in force.
func TestVotersInForce(t *testing.T) {
	is := is.New(t)
	d := New()
	voters := func(number, oldest uint64, names ...string) *membership.Configuration {
		return &membership.Configuration{Number: number, Oldest: oldest, Voters: names}
	}
	first := Entry{Name: VotersName, Revision: 3, Voters: voters(1, 1, "a")}
	d.Replace(0, Listing{Kind: Fleet, Revision: 4, Entries: []Entry{first}})
	d.MergeVoters(0, VotersEntry{*voters(2, 2, "b"), 6})
	is.Equal(d.View().Voters.Number, uint64(2)) // a joint one counts at once
	d.MergeVoters(0, VotersEntry{*voters(3, 2, "b"), 8})
	is.Equal(d.View().Voters.Number, uint64(2))
	d.Update(0, Listing{Kind: Fleet, Revision: 8})
	is.Equal(d.View().Voters.Number, uint64(3))
	d.Replace(0, Listing{Kind: Fleet, Revision: 9, Entries: []Entry{{Name: VotersName, Revision: 9, Voters: voters(1, 1, "a")}}})
	is.Equal(d.View().Voters, VotersEntry{*voters(3, 2, "b"), 9}) // to be written over revision 9
	d.Replace(0, Listing{Kind: Fleet, Revision: 10})
	is.Equal(d.View().Voters, VotersEntry{*voters(3, 2, "b"), 0})
}
