package entryvm

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/membership"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/quota"
)

// returnedStore is a store in its second era that holds the record of one service.
type returnedStore struct {
	directory.Store
	stored directory.Entry // of number 0 if there is none
	writes int
}

func (s *returnedStore) ObserveEra(uint64) {}

func (s *returnedStore) PutOwnerRecord(_ context.Context, record directory.OwnerRecord, revision uint64) (directory.Entry, error) {
	if revision != s.stored.Revision && directory.NumberOf(revision)+directory.NumberOf(s.stored.Revision) > 0 {
		return s.stored, directory.ErrConflict
	}
	s.writes++
	s.stored = directory.Entry{Name: "service." + record.Service, Revision: s.stored.Revision + 1, OwnerRecord: &record}
	return s.stored, nil
}

func ownerEntry(number uint64, record directory.OwnerRecord) directory.Entry {
	record.Service = "ledger"
	return directory.Entry{Name: "service.ledger", Revision: directory.MakeRevision(2, number), OwnerRecord: &record}
}

// confirmedOwner returns the owner of a service whose lease a majority confirms.
func confirmedOwner(t *testing.T, s *returnedStore) *Daemon {
	t.Helper()
	d := isolatedOwner(t, "ledger")
	d.deps.Store = s
	d.ownership.leases["ledger"].Since -= lease.TTL // reads by lost predecessors have expired
	d.ownership.recordAck("b", d.bootClock(), []string{"ledger"})
	return d
}

// restored returns the listing of the fleet in the second era with a record of the service.
func restored(d *Daemon, record directory.Entry) directory.Listing {
	l := d.directory.Listing(directory.Fleet)
	l.Revision = directory.MakeRevision(2, 1)
	for i := range l.Entries {
		l.Entries[i].Revision = directory.MakeRevision(2, 1)
		if l.Entries[i].OwnerRecord != nil {
			l.Entries[i] = record
		}
	}
	return l
}

func (o *ownership) heldRecord(service string) (record directory.OwnerRecord, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.leases[service]
	if held == nil {
		return record, false
	}
	return held.Record, true
}

// Guards against an owner that stops although a majority confirms its lease, that keeps an epoch below those that may be
// lost, that hands out the tokens of a new bucket, or that uses the new epoch as a fencing token too early.
func TestConfirmedOwnerWritesItsRecordAgain(t *testing.T) {
	is := is.New(t)
	s := &returnedStore{}
	d := confirmedOwner(t, s)
	o := d.ownership
	s.stored = ownerEntry(1, directory.OwnerRecord{Epoch: 1, Holder: d.self.RunID()})
	b := o.broker("ledger")
	coordinator, _ := coordinatorRecord(d.directory.View())
	is.True(mayCoordinate(d.directory.View(), coordinator))
	d.observeEra(2) // another VM knows of it; the base of the first write is of the earlier era
	coordinator, _ = coordinatorRecord(d.directory.View())
	is.True(!mayCoordinate(d.directory.View(), coordinator))
	is.True(o.Valid("ledger"))
	o.writeRecordAgain(t.Context(), "ledger")
	record, ok := o.heldRecord("ledger")
	is.True(ok)
	is.Equal(s.writes, 1)
	is.Equal(record, *s.stored.OwnerRecord)
	is.Equal(record.Holder, d.self.RunID())
	is.True(record.Epoch >= 2<<20)
	is.True(o.Valid("ledger"))
	is.Equal(o.broker("ledger"), b)
	epoch, _, _, ok := o.allocation("ledger", func(string) bool { return true }, func(string) time.Duration { return 0 })
	is.True(ok)
	is.Equal(epoch, uint64(1)) // the buckets of the same ownership
	is.True(!o.holds(record))
	o.renew(toVoters)
	o.recordAck("b", d.bootClock(), []string{"ledger"})
	is.True(o.holds(record))
	o.writeRecordAgain(t.Context(), "ledger")
	is.Equal(s.writes, 1)
}

// Guards against an owner that goes on beside another one: the store holds a record of the new era by another VM.
func TestOwnerGivesUpForRecordOfNewEra(t *testing.T) {
	is := is.New(t)
	s := &returnedStore{stored: ownerEntry(1, directory.OwnerRecord{Epoch: 2 << 20, Era: 2, Holder: directory.RunID{Name: "b", Incarnation: 1}})}
	d := confirmedOwner(t, s)
	d.observeEra(2)
	d.ownership.writeRecordAgain(t.Context(), "ledger")
	_, ok := d.ownership.heldRecord("ledger")
	is.True(!ok)
	is.Equal(s.writes, 0)
}

// Guards against former owners that act on a restored record: one whose lease no majority confirms ends its ownership, and
// the record that names it starts none.
func TestRestoredRecordStartsNothing(t *testing.T) {
	is := is.New(t)
	s := &returnedStore{}
	d := confirmedOwner(t, s)
	o := d.ownership
	later := directory.OwnerRecord{Service: "ledger", Epoch: 2, Holder: directory.RunID{Name: "b", Incarnation: 1}}
	d.directory.MergeOwnerRecords(0, []directory.OwnerRecordEntry{{OwnerRecord: later, Revision: 5}})
	_, ok := o.heldRecord("ledger")
	is.True(!ok)
	d.directory.Replace(0, restored(d, ownerEntry(1, directory.OwnerRecord{Epoch: 1, Holder: d.self.RunID()})))
	_, ok = o.heldRecord("ledger")
	is.True(!ok)

	d = isolatedOwner(t, "ledger") // only its own promise
	d.deps.Store = s
	d.directory.Replace(0, restored(d, ownerEntry(1, directory.OwnerRecord{Epoch: 1, Holder: d.self.RunID()})))
	_, ok = d.ownership.heldRecord("ledger")
	is.True(!ok)
	d.ownership.writeAgain(t.Context())
	is.Equal(s.writes, 0)
}

// Guards against a claim on the word of a restored record: voters answer for any owner that they have promised to, with the
// latest epoch, and not before promises of an earlier run have expired.
func TestVotesOnOutdatedRecord(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	o := d.ownership
	d.deps.Store = &returnedStore{}
	current := directory.OwnerRecordEntry{OwnerRecord: directory.OwnerRecord{Service: "stock", Epoch: 9, Holder: directory.RunID{Name: "b", Incarnation: 1}}}
	o.voter = lease.NewVoter(d.bootClock() - lease.TTL)
	is.Equal(o.acknowledge(1, []directory.OwnerRecordEntry{current}), []string{"stock"})
	query := peer.FailureQuery{Era: 2, OwnerRecord: directory.OwnerRecord{Service: "stock", Epoch: 8, Holder: directory.RunID{Name: "gone"}}}
	is.Equal(o.vote(query), peer.FailureVote{Suspected: false, Epoch: 9})
	o.voter = lease.NewVoter(d.bootClock())
	is.True(!o.vote(query).Suspected)
	o.voter = lease.NewVoter(d.bootClock() - lease.TTL)
	is.True(o.vote(query).Suspected)
}

// Guards against an ownership at a store without eras that ends because a listing that started before the claim brings back
// the record of the former holder.
func TestListingBeforeClaimEndsNothing(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	claim := directory.OwnerRecord{Service: "ledger", Epoch: 6, Holder: d.self.RunID()}
	d.directory.Put(0, directory.Fleet, directory.Entry{Name: "service.ledger", Revision: 101, OwnerRecord: &claim})
	l := d.directory.Listing(directory.Fleet)
	l.Revision = 51
	former := directory.OwnerRecord{Service: "ledger", Epoch: 5, Holder: directory.RunID{Name: "b", Incarnation: 1}}
	for i := range l.Entries {
		if l.Entries[i].OwnerRecord != nil {
			l.Entries[i] = directory.Entry{Name: "service.ledger", Revision: 1, OwnerRecord: &former}
		}
	}
	is.True(d.directory.Replace(0, l))
	record, ok := d.ownership.heldRecord("ledger")
	is.True(ok)
	is.Equal(record.Epoch, uint64(6))
}

// Guards against an ownership that starts again after another VM has replaced it: the check that runs beside the directory
// may have read an older view.
func TestCheckWithOlderViewStartsNothing(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	d.deps.Store = &returnedStore{}
	d.observeEra(2)
	d.directory.Put(0, directory.Fleet, ownerEntry(3, directory.OwnerRecord{Epoch: 2 << 20, Holder: d.self.RunID(), Era: 2}))
	older := d.directory.View()
	next := directory.OwnerRecord{Epoch: 2<<20 + 1, Holder: directory.RunID{Name: "b", Incarnation: 1}, Era: 2}
	d.directory.Put(0, directory.Fleet, ownerEntry(4, next))
	d.ownership.giveUp(older)
	_, ok := d.ownership.heldRecord("ledger")
	is.True(!ok)
}

// Guards against an ownership that goes on after the return of the store once its promises have expired.
func TestUnconfirmedOwnershipEnds(t *testing.T) {
	is := is.New(t)
	d := confirmedOwner(t, &returnedStore{})
	o := d.ownership
	d.observeEra(2)
	_, ok := o.heldRecord("ledger")
	is.True(ok)
	o.leases["ledger"] = lease.New(0, o.leases["ledger"].Record) // no VM confirms it any longer
	o.writeAgain(t.Context())
	_, ok = o.heldRecord("ledger")
	is.True(!ok)
}

// Guards against an owner that stops waiting for the reads of unknown predecessors, or spares its successor the wait, by
// writing its record.
func TestWaitForUnknownPredecessorsIsKept(t *testing.T) {
	is := is.New(t)
	s := &returnedStore{}
	d := isolatedOwner(t, "ledger")
	d.deps.Store = s
	o := d.ownership
	d.observeEra(2) // ends the ownership
	s.stored = ownerEntry(3, directory.OwnerRecord{Epoch: 2 << 20, Holder: d.self.RunID(), Era: 2, LostPredecessors: true})
	d.directory.Put(0, directory.Fleet, s.stored)
	for _, name := range []string{"a", "b"} {
		o.recordAck(name, d.bootClock(), []string{"ledger"})
	}
	is.True(o.leases["ledger"].ValidUntil(o.voters()) > 0)
	is.NoErr(ownershipLease{o, o.leaseOf("ledger")}.RecordPrimary(t.Context(), "ledger", broker.RecordedPrimary{Server: "x", Term: 3}))
	is.True(s.stored.OwnerRecord.LostPredecessors)
	is.True(!o.Valid("ledger"))
	o.handOverTo(t.Context(), d.directory.View().OwnerRecords["ledger"], directory.VM{Name: "b", Incarnation: 1})
	is.Equal(s.writes, 1)
	o.leases["ledger"].Since -= lease.RecordTTL + lease.SafetyMargin
	o.handOverTo(t.Context(), d.directory.View().OwnerRecords["ledger"], directory.VM{Name: "b", Incarnation: 1})
	is.Equal(s.writes, 2)
	is.True(!s.stored.OwnerRecord.LostPredecessors)
}

// Guards against successors that wait for reads of unknown predecessors for as long as an owner record exists: once the
// owner has waited, it says so to the voters.
func TestSuccessorIsSparedTheWait(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	d.deps.Store = &returnedStore{}
	o := d.ownership
	d.observeEra(2)
	record := directory.OwnerRecord{Service: "ledger", Epoch: 2 << 20, Holder: d.self.RunID(), Era: 2, LostPredecessors: true}
	d.directory.Put(0, directory.Fleet, ownerEntry(3, record))
	o.voter = lease.NewVoter(d.bootClock() - lease.TTL)
	for _, name := range []string{"a", "b"} {
		o.recordAck(name, d.bootClock(), []string{"ledger"})
	}
	query := peer.FailureQuery{OwnerRecord: record}
	o.renew(toVoters)
	is.True(!o.vote(query).NoneBefore) // the owner still waits
	o.leases["ledger"].Since -= lease.RecordTTL + lease.SafetyMargin
	o.renew(toVoters)
	is.True(o.vote(query).NoneBefore)
	query.OwnerRecord.Epoch++
	is.True(!o.vote(query).NoneBefore)
	// A VM claims the service of a holder that has made the statement, or not.
	s := &returnedStore{}
	d.deps.Store = s
	revision := directory.MakeRevision(2, 4)
	d.directory.Update(0, directory.Listing{Kind: directory.Fleet, Revision: revision})
	d.directory.Replace(0, directory.Listing{Kind: directory.Fleet, Revision: revision + 1, Entries: []directory.Entry{
		{Name: "vm.a", Revision: revision, VM: &d.self},
		{Name: directory.VotersName, Revision: revision, Voters: &membership.Configuration{Number: 2, Oldest: 2, Era: 2, Voters: []string{"a"}}},
	}})
	d.directory.Expire(time.Hour) // the other VMs have not registered again
	is.Equal(o.voters().Members(), []string{"a"})
	for epoch, stated := range map[uint64]bool{3 << 20: false, 4 << 20: true} {
		former := directory.OwnerRecord{Epoch: epoch, Holder: directory.RunID{Name: "b", Incarnation: 1}, Era: 2, LostPredecessors: true}
		s.stored = ownerEntry(epoch, former)
		heard := directory.OwnerRecordEntry{OwnerRecord: *s.stored.OwnerRecord}
		heard.LostPredecessors = !stated
		o.acknowledge(2, []directory.OwnerRecordEntry{heard})
		o.claim(t.Context(), "ledger", directory.OwnerRecordEntry{OwnerRecord: former, Revision: s.stored.Revision})
		is.Equal(s.stored.OwnerRecord.Holder, d.self.RunID())
		is.Equal(s.stored.OwnerRecord.LostPredecessors, !stated)
	}
}

// Guards against votes for a claim beside an owner that this VM has just heard from without its records, or by a VM that is
// no voter and so makes no promises.
func TestVoteNeedsSilentHolders(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	o := d.ownership
	d.deps.Store = &returnedStore{}
	o.voter = lease.NewVoter(d.bootClock() - lease.TTL)
	holder := directory.RunID{Name: "b", Incarnation: 1}
	query := peer.FailureQuery{Era: 2, OwnerRecord: directory.OwnerRecord{Service: "stock", Epoch: 3, Holder: holder}}
	is.True(o.vote(query).Suspected)
	o.recordRunRenewal(holder)
	is.True(!o.vote(query).Suspected)
	o.runRenewals["b"] = runRenewal{holder, d.bootClock() - lease.SuspectTimeout - 1}
	is.True(o.vote(query).Suspected)

	d.directory.MergeVoters(0, directory.VotersEntry{Revision: 9,
		Configuration: membership.Configuration{Number: 2, Oldest: 2, Voters: []string{"b", "c"}}})
	is.True(!o.vote(query).Suspected)
}

// Guards against rates that are exceeded after a return of the store: the tokens that VMs have spent without the allocator
// were forgotten when it raised its epoch, and the buckets of an ownership outlived it.
func TestTokensAfterReturnOfTheStore(t *testing.T) {
	is := is.New(t)
	d := confirmedOwner(t, &returnedStore{stored: directory.Entry{Revision: 1}})
	r, o := d.rateLimiter, d.ownership
	w := directory.Workspace{Name: "ws", Rate: 1000, Burst: 1000}
	r.fallbacks["ws"] = quota.NewFallback(d.bootClock() - time.Minute)
	is.Equal(r.takeFallback(d.directory.View(), w, 10), 10)
	d.observeEra(2)
	o.writeRecordAgain(t.Context(), "ledger")
	allocator := allocatorOf(d.directory.View(), "ws")
	is.True(allocator.Epoch >= 2<<20)
	is.Equal(r.ownRequest(allocator, w, 1).Spent, 10)

	r.inherit(peer.Release{Service: "ledger", Successor: &allocator, Tokens: map[string]float64{"ws": 300}})
	is.Equal(r.release(directory.OwnerRecord{Service: "ledger", Epoch: allocator.Epoch, Era: 2}), nil) // another ownership
	is.True(r.tenures["ledger"] != nil)
	o.leases["ledger"] = lease.New(0, allocator.OwnerRecord) // no VM confirms it any longer
	d.observeEra(3)
	is.Equal(len(o.leases), 0)
	is.Equal(r.tenures["ledger"], nil)
}
