// Package lease implements the ownership leases of services. The owner of a service is recorded in the
// platform's store under an epoch. It may act only while a majority of the VMs has promised to accept no later
// epoch. Renewals are exchanged between the VMs directly, so that an owner keeps serving while the store is
// unavailable.
//
// Times are durations since an arbitrary start on a clock that includes suspended time. The package performs no
// I/O. Its types are not safe for concurrent use.
package lease

import (
	"slices"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/membership"
)

const (
	// RenewInterval is the time between two renewals. TTL spans five renewals, so that a few lost messages
	// do not end a lease.
	RenewInterval = 200 * time.Millisecond
	// TTL is how long a promise is valid after the receipt of the renewal.
	TTL = time.Second
	// SafetyMargin is subtracted from a promise on the owner's side. It covers clocks whose rates differ by 1%
	// and the time between the lease check and the arrival of a statement at a server.
	SafetyMargin = 50 * time.Millisecond
	// RecordTTL is how long a read of the owner record in the store is valid, counted from the start of the
	// call. It lets an owner that has lost the majority of the VMs but not the store continue.
	RecordTTL = 500 * time.Millisecond
	// SuspectTimeout is the time without a renewal after which an owner is suspected to have failed. It spans
	// three renewals.
	SuspectTimeout = 650 * time.Millisecond
	// heardTimeout is the time without an acknowledgment up to which a member counts as connected; it spans two
	// renewals. After failedTimeout it counts as failed rather than as cut off.
	heardTimeout  = 500 * time.Millisecond
	failedTimeout = time.Second
)

// promise is a VM's promise to accept no later epoch until it expires.
type promise struct {
	epoch       uint64
	holder      directory.RunID
	expires     time.Duration
	lastRenewal time.Duration
}

// Voter makes and keeps the promises of one VM.
type Voter struct {
	started  time.Duration
	promises map[string]promise
}

// NewVoter returns a voter without promises for a VM that started at now.
func NewVoter(now time.Duration) *Voter {
	return &Voter{started: now, promises: map[string]promise{}}
}

// Renew handles a renewal sent by the holder of an owner record and reports whether this VM acknowledges it
// with a new promise. read is the service's owner record as read by this VM since its start, of epoch 0 if it has not
// read it. era is the era of the store that this VM knows. ended reports whether a run of a VM is known
// to have ended, which voids the promises made to it.
func (v *Voter) Renew(now time.Duration, record, read directory.OwnerRecord, era uint64,
	ended func(directory.RunID) bool) bool {
	p, known := v.promises[record.Service]
	if record.Era < era && !(known && p.epoch == record.Epoch && p.holder == record.Holder) {
		return false // the store may have lost later records, so only a promise made before is renewed
	}
	if known && record.Epoch < p.epoch || record.Epoch < read.Epoch {
		return false
	}
	if known && record.Epoch == p.epoch && record.Holder != p.holder {
		return false // two claims can have the same epoch if the store has lost the record of one
	}
	if known && record.Epoch > p.epoch && !v.superseded(now, p, record.Holder, ended) {
		return false
	}
	if !known && read.Epoch > 0 && read.Era < era {
		return false // the owner to which an earlier run of this VM has promised may have had a later epoch
	}
	if !known && !v.noEarlierPromise(now, record, read.Epoch, ended) {
		return false
	}
	v.promises[record.Service] = promise{epoch: record.Epoch, holder: record.Holder, expires: now + TTL, lastRenewal: now}
	return true
}

// superseded reports whether a promise no longer prevents a promise to another holder.
func (v *Voter) superseded(now time.Duration, p promise, holder directory.RunID, ended func(directory.RunID) bool) bool {
	return now >= p.expires || p.holder == holder || ended(p.holder)
}

// noEarlierPromise reports whether no promise made by an earlier run of this VM can still be valid: either it
// has expired, or the record shows that this is the latest ownership and that all previous owners have ended.
func (v *Voter) noEarlierPromise(now time.Duration, record directory.OwnerRecord, knownEpoch uint64, ended func(directory.RunID) bool) bool {
	if now-v.started >= TTL {
		return true
	}
	if knownEpoch == 0 || record.LostPredecessors {
		return false
	}
	return !slices.ContainsFunc(record.Predecessors, func(run directory.RunID) bool { return !ended(run) })
}

// Release voids the promise to an epoch whose holder has stopped.
func (v *Voter) Release(service string, epoch uint64) {
	if p, ok := v.promises[service]; ok && p.epoch == epoch {
		p.expires = 0
		v.promises[service] = p
	}
}

// OwnerSuspected reports whether the owner of a service is suspected to have failed: it is known to have ended,
// or it has sent no renewal for SuspectTimeout, counted at the earliest from when this VM learned of its
// ownership.
func (v *Voter) OwnerSuspected(now time.Duration, record directory.OwnerRecord, learned time.Duration, ended func(directory.RunID) bool) bool {
	if ended(record.Holder) {
		return true
	}
	last := learned
	if p, ok := v.promises[record.Service]; ok && p.epoch >= record.Epoch {
		last = max(last, p.lastRenewal)
	}
	return now-last > SuspectTimeout
}

// NoOwner reports whether this VM knows that no owner of a service is active, whatever its record says, because the store
// may have lost later records. A VM that started less than TTL ago does not know which promises its earlier run made.
func (v *Voter) NoOwner(now time.Duration, service string, ended func(directory.RunID) bool) bool {
	p, ok := v.promises[service]
	return now-v.started >= TTL && (!ok || now-p.lastRenewal > SuspectTimeout || ended(p.holder))
}

// Epoch returns the epoch of the latest promise for a service, 0 if there is none.
func (v *Voter) Epoch(service string) uint64 { return v.promises[service].epoch }

// Lease is the owner's side of a lease.
type Lease struct {
	Record   directory.OwnerRecord
	Since    time.Duration            // when this VM learned that it is the owner
	lastRead time.Duration            // start of the latest call that found the record unchanged
	acked    map[string]time.Duration // by VM, the send time of the latest renewal that it acknowledged
	promised time.Duration            // until when a majority of former voters has promised
	changed  time.Duration            // when the voters last changed; promises to earlier renewals no longer count
	raised   time.Duration            // when the epoch last rose during the ownership; 0 if it has not
	// established is set once a majority has promised. From then on no earlier owner can obtain a majority.
	established bool
}

// New returns a lease that no VM has acknowledged yet.
func New(now time.Duration, record directory.OwnerRecord) *Lease {
	return &Lease{Record: record, Since: now, acked: map[string]time.Duration{}}
}

// RecordGrant records that a VM acknowledged the renewal sent at the given time. One that was sent before this ownership
// began asked for a promise to an earlier one.
func (l *Lease) RecordGrant(vm string, sent time.Duration) {
	if sent < l.Since {
		return
	}
	l.acked[vm] = max(l.acked[vm], sent)
}

// SilentFor returns the time since a VM last acknowledged a renewal, counted at the earliest from the start of
// the ownership.
func (l *Lease) SilentFor(now time.Duration, vm string) time.Duration {
	return now - max(l.Since, l.acked[vm])
}

// HeardShare returns the share of the members that have acknowledged a renewal recently, or that otherwise reached this
// VM and got its response. Members that have ended do not count, nor do those that have been silent for so long that they
// have most likely failed. reached returns when a member reached this VM, 0 if it has not.
func (l *Lease) HeardShare(now time.Duration, members []string, ended func(vm string) bool,
	reached func(vm string) time.Duration) float64 {
	heard, silent := 0, 0
	for _, name := range members {
		switch since := min(l.SilentFor(now, name), now-reached(name)); {
		case since <= heardTimeout:
			heard++
		case since <= failedTimeout && !ended(name):
			silent++
		}
	}
	if heard == 0 {
		return 1
	}
	return float64(heard) / float64(heard+silent)
}

// RecordRead records that a call to the store that started at the given time found a record. It extends the lease if the
// record is unchanged and of the era of the store: a record of an earlier era may have been restored from a copy.
func (l *Lease) RecordRead(started time.Duration, read directory.OwnerRecord, era uint64) {
	if read.Epoch == l.Record.Epoch && read.Holder == l.Record.Holder && read.Era >= era {
		l.lastRead = max(l.lastRead, started)
	}
}

// RecordAgain returns the record that an owner writes again in a later era of the store. Claims that followed the record
// may have been lost, and restarted voters may have promised to them.
func (l *Lease) RecordAgain(era uint64) directory.OwnerRecord {
	next := l.Record
	next.FirstEpoch = l.Record.Ownership()
	next.Epoch, next.Era, next.LostPredecessors = NextEpoch(l.Record.Epoch, era), era, true
	return next
}

// Continue replaces the record by one that the owner has written again with a later epoch.
func (l *Lease) Continue(now time.Duration, record directory.OwnerRecord) {
	l.Record = record
	l.raised = now
}

// EpochConfirmed reports whether a majority of the voters has promised to accept no earlier epoch than the present one.
// Until then a VM whose claim of an earlier epoch was lost from the store may still obtain a majority, so the epoch must not
// be used as a fencing token, and reads of the record do not extend the lease.
func (l *Lease) EpochConfirmed(voters membership.Configuration) bool {
	return l.raised == 0 || voters.Majority(func(vm string) bool {
		at, ok := l.granted(vm)
		return ok && at > l.raised
	})
}

// NoneBefore reports whether no other run can act under a record that may have been lost: the reads of unknown predecessors
// have expired, and a majority has promised to accept no earlier epoch.
func (l *Lease) NoneBefore(now time.Duration, voters membership.Configuration, ended func(directory.RunID) bool) bool {
	return l.Valid(now, voters, ended) && l.established && l.EpochConfirmed(voters)
}

// NextEpoch returns the epoch that follows the known ones in an era of the store.
func NextEpoch(known, era uint64) uint64 { return max(known+1, directory.FirstEpoch(era)) }

// Valid reports whether the VM may act as the owner. A new owner first waits until its predecessors' reads of
// the record have expired, unless the latest one has handed the service over or all of them are known to have ended.
func (l *Lease) Valid(now time.Duration, voters membership.Configuration, ended func(directory.RunID) bool) bool {
	alive := l.Record.LostPredecessors ||
		slices.ContainsFunc(l.Record.Predecessors, func(run directory.RunID) bool { return !ended(run) })
	if !l.Record.HandedOver && alive && now < l.Since+RecordTTL+SafetyMargin {
		return false
	}
	if now < l.ValidUntil(voters) {
		return true
	}
	return l.established && l.EpochConfirmed(voters) && l.lastRead > 0 && now < l.lastRead+RecordTTL-SafetyMargin
}

// Confirmed reports whether a majority of the voters confirms the lease, without reads of the record. Only such an owner
// may go on after the store has returned from an older copy.
func (l *Lease) Confirmed(now time.Duration, voters membership.Configuration, ended func(directory.RunID) bool) bool {
	return l.Valid(now, voters, ended) && now < l.ValidUntil(voters)
}

// Lost reports whether a lease that the majority had confirmed is no longer valid.
func (l *Lease) Lost(now time.Duration, voters membership.Configuration, ended func(directory.RunID) bool) bool {
	return !l.Valid(now, voters, ended) && l.established
}

// ValidUntil returns the time until which a majority of the voters has promised, less SafetyMargin, or 0 if
// fewer voters have ever acknowledged a renewal. It sets established once a majority has.
func (l *Lease) ValidUntil(voters membership.Configuration) time.Duration {
	sent, ok := voters.Reached(l.granted)
	if !ok {
		return l.promised
	}
	l.established = true
	return max(l.promised, sent+TTL-SafetyMargin)
}

// granted returns when the latest renewal was sent that a voter has acknowledged under the present configuration.
func (l *Lease) granted(vm string) (sent time.Duration, ok bool) {
	sent, ok = l.acked[vm]
	return sent, ok && sent >= l.changed
}

// VotersChanged records that the voters have changed. The promises of a majority of those before stay valid, because the
// change is completed only after they have expired. A single one counts no longer: a voter that had joined, but did not know
// the owners until the completion of the change, may have promised to a former one.
func (l *Lease) VotersChanged(now time.Duration, before membership.Configuration) {
	l.promised, l.changed = l.ValidUntil(before), now
}

// HeardWithin reports whether this VM received a renewal from the holder of an owner record within the given
// time.
func (v *Voter) HeardWithin(now time.Duration, record directory.OwnerRecord, within time.Duration) bool {
	p, ok := v.promises[record.Service]
	return ok && p.epoch >= record.Epoch && now-p.lastRenewal <= within
}
