package entryvm

import (
	"context"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/membership"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/sleep"
)

const (
	// nonVoterRounds is the number of renewal rounds after which VMs that are not voters receive a renewal as well.
	nonVoterRounds = 4
	// recordReadInterval is the time between two reads of an owner record while the majority of the voters is silent,
	// and recordReadAhead how long before the lease expires the reads start.
	recordReadInterval = 150 * time.Millisecond
	recordReadAhead    = 400 * time.Millisecond
	// listThreshold or more owner records are read with one listing of the fleet, so that an owner's store calls do
	// not grow with its services.
	listThreshold = 4
)

// firstSeenRecord holds when this VM first saw an epoch of an owner record, on the clock of the leases.
type firstSeenRecord struct {
	epoch uint64
	at    time.Duration
}

// extendByReads extends leases that the majority of the voters does not renew by reading their records from the
// store. If a partition leaves an owner on the side of the store and the voters on the other side, it continues to
// serve, because no other VM can become the owner.
func (o *ownership) extendByReads(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.For(ctx, recordReadInterval)
		now := o.d.bootClock()
		voters := o.voters()
		o.mu.Lock()
		var expiring []directory.OwnerRecord
		for _, held := range o.leases {
			if held.ValidUntil(voters)-now < recordReadAhead {
				expiring = append(expiring, held.Record)
			}
		}
		o.mu.Unlock()
		if len(expiring) >= listThreshold {
			go o.readRecords(ctx, expiring)
			continue
		}
		for _, record := range expiring {
			go o.readRecord(ctx, record)
		}
	}
	return nil
}

func (o *ownership) readRecord(ctx context.Context, record directory.OwnerRecord) {
	started := o.d.bootClock()
	ctx, cancel := context.WithTimeout(ctx, lease.RecordTTL)
	defer cancel()
	e, err := o.d.deps.Store.OwnerRecord(ctx, record.Service)
	if err != nil || e.OwnerRecord == nil {
		o.d.log.Warn("owner record not read", "service", record.Service, "error", err)
		return
	}
	o.d.directory.Put(o.d.clock(), directory.Fleet, e)
	o.recordRead(started, e)
}

// readRecords reads many owner records with one listing.
func (o *ownership) readRecords(ctx context.Context, records []directory.OwnerRecord) {
	started := o.d.bootClock()
	ctx, cancel := context.WithTimeout(ctx, lease.RecordTTL)
	defer cancel()
	l, err := o.d.deps.Store.List(ctx, directory.Fleet)
	if err != nil {
		o.d.log.Warn("owner records not read", "services", len(records), "error", err)
		return
	}
	o.d.directory.Replace(o.d.clock(), l)
	for _, e := range l.Entries {
		if e.OwnerRecord != nil {
			o.recordRead(started, e)
		}
	}
}

// recordRead extends a lease after a store call, started at the given time, returned its record.
func (o *ownership) recordRead(started time.Duration, e directory.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if held := o.leases[e.OwnerRecord.Service]; held != nil {
		held.RecordRead(started, *e.OwnerRecord, directory.EraOf(e.Revision))
	}
}

// renew sends a renewal of all leases of this VM. Voters receive the owner records; the other VMs only need to know
// that this run of the VM is alive, unless it has a new lease.
func (o *ownership) renew(scope renewalScope) {
	o.mu.Lock()
	now := o.d.bootClock() // with the mutex held, so that no lease in this renewal begins later
	if len(o.leases) == 0 {
		o.mu.Unlock()
		return
	}
	v := o.d.directory.View()
	voters := o.voters()
	var records []directory.OwnerRecordEntry
	for service, held := range o.leases {
		record := directory.OwnerRecordEntry{OwnerRecord: held.Record}
		if known := v.OwnerRecords[service]; known.Epoch == held.Record.Epoch {
			record.Revision = known.Revision
		}
		if record.LostPredecessors && held.NoneBefore(now, voters, o.ended) {
			record.LostPredecessors = false // spares a successor the wait, without a write to the store
		}
		records = append(records, record)
	}
	isolated := o.lostAll(now, voters)
	o.reportsIsolation = isolated
	o.mu.Unlock()
	o.recordAck(o.d.self.Name, now, o.acknowledge(v.Voters.Number, records))
	m := peer.Message{Renewal: &peer.Renewal{
		Sent: now, OwnerRecords: records, LastChanges: v.LastChanges, ConfirmedAge: o.d.confirmationAges(),
		Isolated: isolated, Leaving: o.d.leaving.Load(), VotersNumber: v.Voters.Number, Voters: o.d.members.announced(v),
		Poll: o.d.members.coordinates(),
	}}
	o.d.members.polled(v, m.Renewal.Poll && scope != toVoters)
	votes := func(name string) bool { return voters.Votes(name) }
	switch scope {
	case toAll:
		o.send(v, m, func(string) bool { return true })
	case toVoters:
		o.send(v, m, votes)
	case toOthersBrief:
		o.send(v, m, votes)
		brief := *m.Renewal
		brief.OwnerRecords = nil
		o.send(v, peer.Message{Renewal: &brief}, func(name string) bool { return !votes(name) })
	}
}

// renewalScope selects the VMs that receive a renewal.
type renewalScope uint8

const (
	toVoters      renewalScope = iota // voters only
	toOthersBrief                     // also the other VMs, without the records
	toAll                             // all VMs, with the records
)

// recordRunRenewal records a renewal without owner records: the run is alive and owns what the store records for it.
func (o *ownership) recordRunRenewal(run directory.RunID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runRenewals[run.Name] = runRenewal{run, o.d.bootClock()}
}

// runRenewal is the last renewal without owner records that a VM has sent.
type runRenewal struct {
	run directory.RunID
	at  time.Duration
}

// lostAll reports whether this VM has lost all its leases. The mutex must be held.
func (o *ownership) lostAll(now time.Duration, voters membership.Configuration) bool {
	for _, held := range o.leases {
		if !held.Lost(now, voters, o.ended) {
			return false
		}
	}
	return true
}

// recordIsolation records whether a VM has reported that none of its leases is valid.
func (o *ownership) recordIsolation(run directory.RunID, isolated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if isolated {
		o.isolated[run.Name] = run
	} else {
		delete(o.isolated, run.Name)
	}
}

// recordLeaving records whether a VM has reported that it is about to exit. Such a VM takes no further services: it would
// soon hand them over again, and end transactions each time.
func (o *ownership) recordLeaving(run directory.RunID, leaving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !leaving {
		delete(o.leaving, run.Name)
		return
	}
	if o.leaving[run.Name] != run {
		o.d.log.Info("VM is about to exit", "vm", run.Name)
	}
	o.leaving[run.Name] = run
}

// lastRunRenewal returns the time of the last renewal without records from the holder of an owner record. The mutex
// must be held.
func (o *ownership) lastRunRenewal(record directory.OwnerRecord) time.Duration {
	if h := o.runRenewals[record.Holder.Name]; h.run == record.Holder {
		return h.at
	}
	return 0
}

// acknowledge returns the services whose renewal, by an owner under the given configuration of the voters, this VM
// acknowledges.
func (o *ownership) acknowledge(votersNumber uint64, records []directory.OwnerRecordEntry) []string {
	if !o.d.members.accepts(votersNumber) {
		return nil
	}
	now := o.d.bootClock()
	o.mu.Lock()
	defer o.mu.Unlock()
	var acknowledged []string
	v := o.d.directory.View()
	for _, record := range records {
		if record.Era > 0 && !record.LostPredecessors {
			o.noneBefore[record.Service] = record.OwnerRecord
		}
		if o.voter.Renew(now, record.OwnerRecord, v.OwnerRecords[record.Service].OwnerRecord, v.Era, o.ended) {
			acknowledged = append(acknowledged, record.Service)
		}
	}
	return acknowledged
}

// knowsNoneBefore reports whether the holder of an owner record has stated that no owner before it can act under a record
// that was lost.
func (o *ownership) knowsNoneBefore(record directory.OwnerRecord) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	stated := o.noneBefore[record.Service]
	return record.Era > 0 && stated.Epoch == record.Epoch && stated.Holder == record.Holder
}

// recordAck records the acknowledgment of a renewal by a VM.
func (o *ownership) recordAck(vm string, sent time.Duration, services []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, service := range services {
		if held := o.leases[service]; held != nil {
			held.RecordGrant(vm, sent)
		}
	}
	if o.reportsIsolation && !o.lostAll(o.d.bootClock(), o.voters()) {
		o.broadcast.Store(true) // the VMs that have heard of the isolation serve again
	}
}

// releasePromise ends the promise to an owner that has released its service.
func (o *ownership) releasePromise(r peer.Release) {
	o.mu.Lock()
	o.voter.Release(r.Service, r.Epoch)
	o.mu.Unlock()
}

// suspected reports whether this VM suspects that the owner of a service has failed.
func (o *ownership) suspected(record directory.OwnerRecord) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.suspectedLocked(record)
}

// suspectedLocked is suspected with the mutex held.
func (o *ownership) suspectedLocked(record directory.OwnerRecord) bool {
	now := o.d.bootClock()
	return o.voter.OwnerSuspected(now, record, max(o.firstSeenAt(now, record), o.lastRunRenewal(record)), o.ended)
}

// firstSeenAt returns when this VM first saw the epoch of an owner record. The mutex must be held.
func (o *ownership) firstSeenAt(now time.Duration, record directory.OwnerRecord) time.Duration {
	known, ok := o.firstSeen[record.Service]
	if !ok || known.epoch < record.Epoch {
		known = firstSeenRecord{record.Epoch, now}
		o.firstSeen[record.Service] = known
	}
	return known.at
}

// markRefused records that no process listens at the address of a VM.
func (o *ownership) markRefused(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, vm := range o.d.directory.View().VMs {
		if vm.Address == address {
			o.refusedRuns[name] = vm.RunID()
		}
	}
}

// clearRefused clears the record of a refused connection, since this run of the VM is alive.
func (o *ownership) clearRefused(vm directory.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refusedRuns[vm.Name] == vm.RunID() {
		delete(o.refusedRuns, vm.Name)
	}
}

// heardWithin reports whether the owner of a service renewed its lease within the given time and can serve. VMs that are
// isolated together hear from each other.
func (o *ownership) heardWithin(record directory.OwnerRecord, within time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.d.bootClock()
	if o.isolated[record.Holder.Name] == record.Holder {
		return false
	}
	at := o.lastRunRenewal(record)
	return at > 0 && now-at <= within || o.voter.HeardWithin(now, record, within)
}
