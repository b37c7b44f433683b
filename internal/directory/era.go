package directory

import "time"

// The store may return from a copy that is some seconds old and assign the revisions since then again. Its era, which rises
// with each return, precedes the store's number in a revision, so that revisions stay ordered. A store without eras has
// era 0, and its revisions equal its numbers.

// numberBits is the size of the store's number in a revision. At 1,200 writes a second it lasts for 29 years.
const numberBits = 40

// MaxEra is the largest era that a revision can hold.
const MaxEra = 1<<(64-numberBits) - 1

// epochBits is the size of the range of epochs of one era. Epochs of a later era are above all epochs that may have been
// lost with the records of earlier eras.
const epochBits = 20

// RestoredGrace is how long a withdrawal, or the draining state of a server, that was known before the store returned from
// an older copy stays in force unless its entry is written again.
const RestoredGrace = 8 * time.Second

// restoredVMGrace is how long the record of a VM that the copy lacks is kept. A running VM registers again within seconds;
// the time equals the silence after which a VM counts as gone.
const restoredVMGrace = 45 * time.Second

// MakeRevision returns the revision of a number of the store in an era.
func MakeRevision(era, number uint64) uint64 { return era<<numberBits | number }

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> numberBits }

// NumberOf returns the store's number of a revision; 0 stands for an object that the store does not hold.
func NumberOf(revision uint64) uint64 { return revision & (1<<numberBits - 1) }

// FirstEpoch returns the lowest epoch of an era.
func FirstEpoch(era uint64) uint64 { return era << epochBits }

// Outdated reports whether an owner record was written in an earlier era than the known one. Later records may have been
// lost, so it is only a hint at who owned the service.
func (v *View) Outdated(record OwnerRecord) bool { return record.Era < v.Era }

// Unregistered reports whether the store lacks the record of the known run of a VM since it returned from an older copy.
func (v *View) Unregistered(vm string) bool { return v.unregistered[vm] }

// ObserveEra records an era that another VM knows.
func (d *Directory) ObserveEra(now time.Duration, era uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if era > d.view.Load().Era {
		d.era = era
		d.republish(now, Fleet)
	}
}

// laterContent returns an entry with the content that is more recent: that of the known entry if the new one was restored
// from an older copy of the store.
func laterContent(known, next Entry) Entry {
	old, record := known.OwnerRecord, next.OwnerRecord
	if old == nil || record == nil || record.Era >= EraOf(next.Revision) {
		return next
	}
	if record.Epoch < old.Epoch || record.Epoch == old.Epoch && record.PrimaryTerm <= old.PrimaryTerm {
		next.OwnerRecord = old
	}
	return next
}

// keepKnown adds to the objects of a complete listing what is known to be more recent: what was written again since the
// listing, and what an older copy of the store lacks or holds in an earlier state. returned is set if it is the first
// listing of its era. The caller holds the mutex.
func (d *Directory) keepKnown(now time.Duration, l Listing, objects map[string]Entry, returned bool) {
	if EraOf(l.Revision) == 0 {
		return
	}
	if returned || d.view.Load().Revisions[l.Kind] == 0 {
		d.firstListed[l.Kind] = l.Revision
	}
	for name, known := range d.objects[l.Kind] {
		listed, ok := objects[name]
		switch {
		case known.Revision > l.Revision:
			objects[name] = known
		case known.OwnerRecord != nil && ok:
			objects[name] = laterContent(known, listed)
		case known.OwnerRecord != nil:
			objects[name] = lacking(known, l)
		case known.VM != nil && (returned || NumberOf(known.Revision) == 0):
			d.keepVM(now, known, listed, l, objects)
		case known.Server != nil && returned && listed.Server != nil:
			state := d.withKnown(name, known) // the store may return again during the grace period
			known.Server = &state
			d.keptServers[name] = keptEntry{known, listed.Revision, now}
		case l.Kind == Withdrawals && returned && !ok:
			d.keptWithdrawals[name] = now
		}
	}
	if l.Kind == Withdrawals && returned {
		for name := range d.keptWithdrawals {
			d.keptWithdrawals[name] = now // the operators' entries have to be written again since this return
		}
	}
	for name, e := range objects {
		if l.Kind == Withdrawals {
			delete(d.keptWithdrawals, name)
		}
		if _, known := d.keptVMs[name]; e.VM != nil && NumberOf(e.Revision) == 0 && !known {
			d.keptVMs[name] = now // kept by the VM that sent the listing
		}
	}
}

// lacking returns an entry as one that the store does not hold.
func lacking(e Entry, l Listing) Entry {
	e.Revision = MakeRevision(EraOf(l.Revision), 0)
	return e
}

// keepVM keeps the known record of a VM until the VM registers again: a record that is missing from an older copy, or
// that names another run there, does not mean that the known run has ended. The caller holds the mutex.
func (d *Directory) keepVM(now time.Duration, known, listed Entry, l Listing, objects map[string]Entry) {
	if listed.VM != nil {
		if listed.VM.Incarnation == known.VM.Incarnation || listed.Revision > d.firstListed[Fleet] {
			d.confirmed(Fleet, known.Name)
			return
		}
		d.restoredRuns[known.Name] = listed.VM.RunID()
		d.listedVMs[known.Name] = listed
	}
	if _, ok := d.keptVMs[known.Name]; !ok {
		d.keptVMs[known.Name] = now
	}
	objects[known.Name] = lacking(known, l)
}

// restoredVMs returns the VMs whose records the store lacks, and the runs in an older copy of which it is unknown whether
// they have ended. The caller holds the mutex.
func (d *Directory) restoredVMs() (unregistered map[string]bool, runs map[RunID]bool) {
	mark := func(name string, listed bool) {
		if e := d.objects[Fleet][name]; e.VM != nil && (listed || NumberOf(e.Revision) == 0) {
			if unregistered == nil {
				unregistered = map[string]bool{}
			}
			unregistered[e.VM.Name] = true
		}
	}
	for name := range d.keptVMs {
		mark(name, false)
	}
	for name := range d.restoredRuns {
		mark(name, true)
	}
	for _, run := range d.restoredRuns {
		if runs == nil {
			runs = map[RunID]bool{}
		}
		runs[run] = true
	}
	return unregistered, runs
}

// keptEntry is an entry that was known before the store returned from an older copy.
type keptEntry struct {
	Entry
	restored uint64 // revision of the entry in the copy; a later one confirms the new content
	since    time.Duration
}

// withKnown returns a restored server with the state that was known before. The caller holds the mutex.
func (d *Directory) withKnown(name string, e Entry) Server {
	kept, ok := d.keptServers[name]
	switch {
	case !ok || kept.restored != e.Revision:
		return *e.Server
	case kept.Server.StartTime > e.Server.StartTime:
		return *kept.Server
	}
	s := *e.Server
	s.Draining = s.Draining || kept.Server.Draining && kept.Server.StartTime == s.StartTime
	return s
}

// expireKept drops what was known before the store returned and has not been written again within its grace period. The
// caller holds the mutex.
func (d *Directory) expireKept(now time.Duration) {
	servers, withdrawals, fleet := false, false, false
	for name, kept := range d.keptServers {
		if now-kept.since > RestoredGrace {
			delete(d.keptServers, name)
			servers = true
		}
	}
	for name, since := range d.keptWithdrawals {
		if now-since > RestoredGrace {
			delete(d.keptWithdrawals, name)
			withdrawals = true
		}
	}
	for name, since := range d.keptVMs {
		if now-since <= restoredVMGrace {
			continue
		}
		delete(d.keptVMs, name)
		if e := d.objects[Fleet][name]; e.VM != nil && NumberOf(e.Revision) == 0 {
			d.dropKeptVM(name, e.VM.RunID())
		}
		fleet = true
	}
	for kind, dropped := range map[Kind]bool{Servers: servers, Withdrawals: withdrawals, Fleet: fleet} {
		if dropped {
			d.republish(now, kind)
		}
	}
}

// dropKeptVM replaces a kept VM by the run that the store lists, if any. Whether the kept run has ended stays unknown, so
// that the promises made to it stay valid. The caller holds the mutex.
func (d *Directory) dropKeptVM(name string, kept RunID) {
	listed, ok := d.listedVMs[name]
	if !ok {
		delete(d.objects[Fleet], name)
		return
	}
	delete(d.listedVMs, name)
	d.objects[Fleet][name] = listed
	d.restoredRuns[name] = kept
}

// announcedListed replaces a kept VM by the run that the store lists, because this run has announced itself: the VM has
// restarted around the return of the store. The caller holds the mutex.
func (d *Directory) announcedListed(v VM) {
	for name, listed := range d.listedVMs {
		if listed.VM.RunID() == v.RunID() {
			d.objects[Fleet][name] = listed
			d.confirmed(Fleet, name)
		}
	}
}

// confirmed drops what was kept of an object that was written or deleted in the present era. The caller holds the mutex.
func (d *Directory) confirmed(k Kind, name string) {
	switch k {
	case Servers:
		delete(d.keptServers, name)
	case Withdrawals:
		delete(d.keptWithdrawals, name)
	case Fleet:
		delete(d.keptVMs, name)
		delete(d.restoredRuns, name)
		delete(d.listedVMs, name)
	}
}
