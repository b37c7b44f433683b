package entryvm

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/membership"
	"siskinrouter/internal/peer"
)

// isolatedOwner returns a VM that owns services and voted for itself, in a fleet of three whose other VMs are silent.
func isolatedOwner(t *testing.T, services ...string) *Daemon {
	t.Helper()
	d := New(Settings{Name: "a"}, Dependencies{}, log.New(io.Discard), metrics.NewRegistry())
	fleet := directory.Listing{Kind: directory.Fleet, Revision: 1}
	for _, vm := range []directory.VM{d.self, {Name: "b", Incarnation: 1}, {Name: "c", Incarnation: 2}} {
		fleet.Entries = append(fleet.Entries, directory.Entry{Name: "vm." + vm.Name, Revision: 1, VM: &vm})
	}
	c := &directory.Configuration{Version: 1, Services: map[string]directory.Service{}}
	for _, service := range services {
		c.Services[service] = directory.Service{Name: service}
		record := directory.OwnerRecord{Service: service, Epoch: 1, Holder: d.self.RunID()}
		fleet.Entries = append(fleet.Entries, directory.Entry{Name: "service." + service, Revision: 1, OwnerRecord: &record})
	}
	d.directory.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 1, Entries: []directory.Entry{{
		Name: "main", Revision: 1, Configuration: c,
	}}})
	fleet.Entries = append(fleet.Entries, directory.Entry{Name: directory.VotersName, Revision: 1,
		Voters: &membership.Configuration{Number: 1, Oldest: 1, Voters: []string{"a", "b", "c"}}})
	d.directory.Replace(0, fleet)
	d.members.fleetListed(fleet)
	for _, b := range d.ownership.ownedBrokers() {
		t.Cleanup(b.Close)
	}
	// The voter of this VM acknowledges its own renewals.
	d.ownership.renew(toVoters)
	return d
}

// Guards against a VM that keeps its callers although it has lost the leases of all services: it acknowledged its own
// renewals and so counted itself as a reachable owner, for as long as its failure domain was cut off.
func TestOwnerWithoutLeaseIsNotReachable(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger", "stock")
	reached, all := d.router.reachability().count()
	is.Equal(reached, 0)
	is.Equal(all, 2)
	is.True(!d.router.ready())
	now := d.bootClock()
	d.ownership.recordAck("b", now, []string{"ledger", "stock"})
	reached, _ = d.router.reachability().count()
	is.Equal(reached, 2)
	is.True(d.router.ready())
}

// Guards against VMs of an isolated failure domain that count its owners as reachable, because they still receive their
// renewals, and against an owner that counts as isolated before a majority has confirmed its first lease.
func TestIsolatedOwnersSaySo(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	o := d.ownership
	lost := func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.lostAll(d.bootClock(), o.voters())
	}
	is.True(!lost())
	o.leases["ledger"].Since -= lease.TTL // the ownership began before the renewals that were acknowledged
	o.recordAck("a", d.bootClock()-lease.TTL, []string{"ledger"})
	o.leases["ledger"].RecordGrant("b", d.bootClock()-lease.TTL)
	is.True(!o.Valid("ledger"))
	is.True(lost())
	o.reportsIsolation = true
	o.broadcast.Store(false)
	o.recordAck("b", d.bootClock(), []string{"ledger"})
	is.True(!lost())
	is.True(o.broadcast.Load()) // the others hear of it at once

	record := directory.OwnerRecord{Service: "stock", Epoch: 3, Holder: directory.RunID{Name: "c", Incarnation: 2}}
	o.recordRunRenewal(record.Holder)
	is.True(o.heardWithin(record, time.Minute))
	o.recordIsolation(record.Holder, true)
	is.True(!o.heardWithin(record, time.Minute))
	o.recordIsolation(record.Holder, false)
	is.True(o.heardWithin(record, time.Minute))
	o.recordIsolation(directory.RunID{Name: "c", Incarnation: 1}, true) // an earlier run
	is.True(o.heardWithin(record, time.Minute))
}

// Guards against services that go to a VM that is gone: once it was replaced as a voter, it counted as one that is not asked
// often enough to be silent.
func TestSilentVMGetsNoService(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	o := d.ownership
	past := d.bootClock() - 3*time.Second
	d.members.presence.Heard(past, "b")
	d.members.presence.Heard(past, "c")
	d.members.presence.Polled(past, "b")
	d.directory.MergeVoters(0, directory.VotersEntry{Revision: 9,
		Configuration: membership.Configuration{Number: 2, Oldest: 2, Voters: []string{"a", "c"}}})
	o.mu.Lock()
	defer o.mu.Unlock()
	is.Equal(o.successors(d.directory.View(), "ledger"), []string{"c"})
}

// Guards against a VM that starts while the store lacks the configuration of the voters and replaces the one that others know.
func TestFirstVotersOnlyInNewFleet(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Name: "a"}, Dependencies{}, log.New(io.Discard), metrics.NewRegistry())
	d.start = time.Now().Add(-time.Minute)
	is.True(d.members.standsIn(d.directory.View(), 0))
	(&handler{d}).Handle(&peer.Link{}, peer.Message{Hello: &peer.Hello{VM: directory.VM{Name: "b", Incarnation: 1}, VotersNumber: 5}})
	is.True(!d.members.standsIn(d.directory.View(), 0))
}

// Guards against operators who cannot tell which VMs vote, own services and are heard from.
func TestMemberList(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger", "stock")
	d.members.presence.Answered(d.bootClock()-time.Second, "b", membership.Report{Incarnation: 1, Number: 1})
	d.members.recordRemoval("x", "silent")
	w := httptest.NewRecorder()
	d.members.serveList(w, nil)
	var l MemberList
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &l))
	is.Equal(l.Coordinator, "a")
	is.Equal(l.Number, uint64(1))
	is.Equal(len(l.Members), 3)
	is.Equal(l.Members[0].Services, 2)
	is.True(l.Members[1].Voter)
	is.True(l.Members[1].HeardAgo >= 1)
	is.Equal(l.Members[1].Number, uint64(1))
	is.True(l.Members[2].HeardAgo < 0)
	is.Equal(l.Removals[0].VM, "x")
}
