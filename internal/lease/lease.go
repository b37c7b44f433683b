// Package lease decides which VM may act as the owner of a service. The owner is recorded in the
// platform's store under an epoch; it acts only while a majority of the VMs has promised not to accept a
// later epoch. Renewals go from VM to VM, so that the store may be away while an owner serves.
//
// Times are durations since an arbitrary start on a clock that also counts suspended time. The package
// does no I/O. Its types are not safe for concurrent use.
package lease

import (
	"slices"
	"time"

	"siskinrouter/internal/directory"
)

const (
	// RenewInterval is the time between two renewals. Lifetime holds five, so that lost messages do not
	// end a lease.
	RenewInterval = 200 * time.Millisecond
	// TTL is how long a promise binds, counted from the receipt of the renewal.
	TTL = time.Second
	// SafetyMargin is taken off the owner's side of a promise. It covers clocks whose rates differ by 1% and
	// the time between the check of the lease and the arrival of a statement at a server.
	SafetyMargin = 50 * time.Millisecond
	// RecordTTL is how long a reading of the record in the store binds, counted from the start of the
	// call. An owner that has lost the majority of the VMs but not the store continues by it.
	RecordTTL = 500 * time.Millisecond
	// SuspectTimeout is the silence after which an owner counts as lost. It holds three renewals.
	SuspectTimeout = 650 * time.Millisecond
)

// promise binds a VM to an epoch.
type promise struct {
	epoch  uint64
	holder directory.RunID
	until  time.Duration
	heard  time.Duration
}

// Voter is the side of a VM that makes promises.
type Voter struct {
	started  time.Duration
	promises map[string]promise
}

// NewVoter returns a VM without promises that started at now.
func NewVoter(now time.Duration) *Voter {
	return &Voter{started: now, promises: map[string]promise{}}
}

// Renew answers the renewal of a tenure. recorded is the epoch of the service's record as this VM has
// read it since its start, 0 if it has not. dead reports whether a run of a VM is known to have ended,
// which voids the promises made to it.
func (m *Voter) Renew(now time.Duration, t directory.OwnerRecord, recorded uint64, dead func(directory.RunID) bool) bool {
	p, known := m.promises[t.Service]
	if known && t.Epoch < p.epoch || t.Epoch < recorded {
		return false
	}
	if known && t.Epoch > p.epoch && !m.void(now, p, t.Holder, dead) {
		return false
	}
	if !known && !m.forgotten(now, t, recorded, dead) {
		return false
	}
	m.promises[t.Service] = promise{epoch: t.Epoch, holder: t.Holder, until: now + TTL, heard: now}
	return true
}

// void reports whether a promise no longer stands in the way of another holder.
func (m *Voter) void(now time.Duration, p promise, holder directory.RunID, dead func(directory.RunID) bool) bool {
	return now >= p.until || p.holder == holder || dead(p.holder)
}

// forgotten reports whether no promise of an earlier run of this VM can be in force: its time has passed,
// or the record shows that this is the latest tenure and that all earlier owners have ended.
func (m *Voter) forgotten(now time.Duration, t directory.OwnerRecord, recorded uint64, dead func(directory.RunID) bool) bool {
	if now-m.started >= TTL {
		return true
	}
	if recorded == 0 {
		return false
	}
	return !slices.ContainsFunc(t.Predecessors, func(h directory.RunID) bool { return !dead(h) })
}

// Release voids the promise to an epoch whose holder has stopped.
func (m *Voter) Release(service string, epoch uint64) {
	if p, ok := m.promises[service]; ok && p.epoch == epoch {
		p.until = 0
		m.promises[service] = p
	}
}

// OwnerSuspected reports whether the owner of a service counts as lost: it has been silent for too long, counted
// from when this VM learned of its tenure at the earliest, or is known to have ended.
func (m *Voter) OwnerSuspected(now time.Duration, t directory.OwnerRecord, learned time.Duration, dead func(directory.RunID) bool) bool {
	if dead(t.Holder) {
		return true
	}
	heard := learned
	if p, ok := m.promises[t.Service]; ok && p.epoch >= t.Epoch {
		heard = max(heard, p.heard)
	}
	return now-heard > SuspectTimeout
}

// Lease is the owner's side of a lease.
type Lease struct {
	Record directory.OwnerRecord
	Since  time.Duration            // when this VM learned that it is the owner
	read   time.Duration            // start of the latest call that showed the record unchanged
	grants map[string]time.Duration // by VM, when the renewal that it granted was sent
	// established is set once a majority has promised: from then on no earlier owner obtains one.
	established bool
}

// New returns a tenure that no VM has granted yet.
func New(now time.Duration, record directory.OwnerRecord) *Lease {
	return &Lease{Record: record, Since: now, grants: map[string]time.Duration{}}
}

// RecordGrant records that a VM granted the renewal that was sent at the given time.
func (t *Lease) RecordGrant(vm string, sent time.Duration) {
	t.grants[vm] = max(t.grants[vm], sent)
}

// SilentFor returns how long a VM has not granted a renewal, counted from the start of the tenure at the
// earliest.
func (t *Lease) SilentFor(now time.Duration, vm string) time.Duration {
	return now - max(t.Since, t.grants[vm])
}

// RecordRead records that a call to the store that started at the given time showed the record unchanged.
func (t *Lease) RecordRead(started time.Duration) { t.read = max(t.read, started) }

// Valid reports whether the VM may act as the owner. A new owner first waits until readings of the record
// before its own have lost their force, unless its predecessor has handed the service over or all have
// ended.
func (t *Lease) Valid(now time.Duration, members []string, dead func(directory.RunID) bool) bool {
	alive := slices.ContainsFunc(t.Record.Predecessors, func(h directory.RunID) bool { return !dead(h) })
	if !t.Record.HandedOver && alive && now < t.Since+RecordTTL+SafetyMargin {
		return false
	}
	if now < t.ValidUntil(members) {
		return true
	}
	return t.established && t.read > 0 && now < t.read+RecordTTL-SafetyMargin
}

// ValidUntil returns until when a majority of the members has promised.
func (t *Lease) ValidUntil(members []string) time.Duration {
	sent := make([]time.Duration, 0, len(members))
	for _, name := range members {
		if at, ok := t.grants[name]; ok {
			sent = append(sent, at)
		}
	}
	majority := len(members)/2 + 1
	if len(sent) < majority {
		return 0
	}
	t.established = true
	slices.SortFunc(sent, func(a, b time.Duration) int { return int(b - a) })
	return sent[majority-1] + TTL - SafetyMargin
}

// HeardWithin reports whether the holder of a tenure was heard within the given time.
func (m *Voter) HeardWithin(now time.Duration, t directory.OwnerRecord, within time.Duration) bool {
	p, ok := m.promises[t.Service]
	return ok && p.epoch >= t.Epoch && now-p.heard <= within
}
