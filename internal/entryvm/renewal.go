package entryvm

import (
	"context"
	"slices"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/sleep"
)

const (
	// goneAfter is the silence after which a VM counts as gone for good; it exceeds the outages of the users'
	// pages by far.
	goneAfter = 45 * time.Second
	// othersBeat is the number of rounds after which the VMs get a renewal whose promises do not count.
	othersBeat = 4
	// confirmInterval is the time between two readings of a record while the majority of the VMs is silent,
	// and confirmBefore how long before the end of their promises they begin.
	confirmInterval = 150 * time.Millisecond
	confirmBefore   = 400 * time.Millisecond
	// confirmByList tenures or more are read by one listing of the fleet, so that the calls of an owner do not
	// grow with its services.
	confirmByList = 4
)

// learnedTenure says when this VM learned of a tenure, on the clock of the leases.
type learnedTenure struct {
	epoch uint64
	at    time.Duration
}

// confirm reads the records of tenures that the majority of the VMs does not renew. An owner that is cut
// off from them together with the store goes on serving, since nobody else can become the owner.
func (o *owners) confirm(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.For(ctx, confirmInterval)
		now := o.d.bootClock()
		members := o.members()
		o.mu.Lock()
		var ending []directory.OwnerRecord
		for _, t := range o.tenures {
			if t.ValidUntil(members)-now < confirmBefore {
				ending = append(ending, t.Record)
			}
		}
		o.mu.Unlock()
		if len(ending) >= confirmByList {
			go o.confirmAll(ctx, ending)
			continue
		}
		for _, t := range ending {
			go o.confirmOne(ctx, t)
		}
	}
	return nil
}

func (o *owners) confirmOne(ctx context.Context, record directory.OwnerRecord) {
	started := o.d.bootClock()
	ctx, cancel := context.WithTimeout(ctx, lease.RecordTTL)
	defer cancel()
	e, err := o.d.platform.Store.OwnerRecord(ctx, record.Service)
	if err != nil || e.OwnerRecord == nil {
		o.d.log.Warn("tenure not confirmed", "service", record.Service, "error", err)
		return
	}
	o.d.directory.Put(o.d.clock(), directory.Fleet, e)
	o.confirmed(started, *e.OwnerRecord)
}

// confirmAll does the same for many tenures with one listing.
func (o *owners) confirmAll(ctx context.Context, records []directory.OwnerRecord) {
	started := o.d.bootClock()
	ctx, cancel := context.WithTimeout(ctx, lease.RecordTTL)
	defer cancel()
	l, err := o.d.platform.Store.List(ctx, directory.Fleet)
	if err != nil {
		o.d.log.Warn("tenures not confirmed", "services", len(records), "error", err)
		return
	}
	o.d.directory.Replace(o.d.clock(), l)
	for _, e := range l.Entries {
		if e.OwnerRecord != nil {
			o.confirmed(started, *e.OwnerRecord)
		}
	}
}

// confirmed takes a record that the store showed to a call that started at the given time.
func (o *owners) confirmed(started time.Duration, record directory.OwnerRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tenures[record.Service]
	if t != nil && t.Record.Epoch == record.Epoch && record.Holder == o.d.self.RunID() {
		t.RecordRead(started)
	}
}

// beat renews all tenures of this VM. Those whose promises count get the records; the others only have to hear
// that this run of the VM lives, unless there is a new tenure.
func (o *owners) beat(scope beatScope) {
	now := o.d.bootClock()
	o.mu.Lock()
	if len(o.tenures) == 0 {
		o.mu.Unlock()
		return
	}
	v := o.d.directory.View()
	var records []directory.OwnerRecordEntry
	for service, t := range o.tenures {
		record := directory.OwnerRecordEntry{OwnerRecord: t.Record}
		if known := v.OwnerRecords[service]; known.Epoch == t.Record.Epoch {
			record.Revision = known.Revision
		}
		records = append(records, record)
	}
	o.mu.Unlock()
	o.grant(o.d.self.Name, now, o.answerBeat(records))
	m := peer.Message{Renewal: &peer.Renewal{
		Sent: now, OwnerRecords: records, LastChanges: v.LastChanges, ConfirmedAge: o.d.confirmations(),
	}}
	members := o.members()
	if scope == withAll {
		o.send(v, m, func(string) bool { return true })
		return
	}
	o.send(v, m, func(name string) bool { return slices.Contains(members, name) })
	if scope == greetOthers {
		short := *m.Renewal
		short.OwnerRecords = nil
		o.send(v, peer.Message{Renewal: &short}, func(name string) bool { return !slices.Contains(members, name) })
	}
}

// beatScope says which VMs get a renewal.
type beatScope uint8

const (
	withElectors beatScope = iota // those whose promises count
	greetOthers                   // the others, too, without the records
	withAll                       // all VMs, with the records
)

// hearOwner records that a run of a VM lives and holds what the records of the store say.
func (o *owners) hearOwner(h directory.RunID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heardOwners[h.Name] = heardOwner{h, o.d.bootClock()}
}

// heardOwner says when the last renewal without records came.
type heardOwner struct {
	holder directory.RunID
	at     time.Duration
}

// ownerHeard returns when the holder of a tenure was heard last without records. The mutex is held.
func (o *owners) ownerHeard(t directory.OwnerRecord) time.Duration {
	if h := o.heardOwners[t.Holder.Name]; h.holder == t.Holder {
		return h.at
	}
	return 0
}

// answerBeat returns the services whose renewal this VM grants.
func (o *owners) answerBeat(records []directory.OwnerRecordEntry) []string {
	now := o.d.bootClock()
	o.mu.Lock()
	defer o.mu.Unlock()
	var granted []string
	tenures := o.d.directory.View().OwnerRecords
	for _, t := range records {
		if o.member.Renew(now, t.OwnerRecord, tenures[t.Service].Epoch, o.dead) {
			granted = append(granted, t.Service)
		}
	}
	return granted
}

// grant takes the answer of a VM to a renewal.
func (o *owners) grant(vm string, sent time.Duration, services []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, service := range services {
		if t := o.tenures[service]; t != nil {
			t.RecordGrant(vm, sent)
		}
	}
}

// release voids the promise to an owner that has stopped.
func (o *owners) release(r peer.Release) {
	o.mu.Lock()
	o.member.Release(r.Service, r.Epoch)
	o.mu.Unlock()
}

// removeLost removes the records of VMs that have been silent for so long that they count as gone for
// good, so that they no longer count for a majority. The VM with the duty to promote does so.
func (o *owners) removeLost(ctx context.Context) {
	v := o.d.directory.View()
	duty, ok := dutyService(v)
	if !ok || duty.Holder != o.d.self.RunID() {
		return
	}
	holders := map[string]bool{o.d.self.Name: true}
	for _, t := range v.OwnerRecords {
		holders[t.Holder.Name] = true
	}
	now := o.d.bootClock()
	o.mu.Lock()
	t := o.tenures[duty.Service]
	var lost []string
	for name := range v.VMs {
		if t != nil && !holders[name] && t.SilentFor(now, name) > goneAfter {
			lost = append(lost, name)
		}
	}
	o.mu.Unlock()
	for _, name := range lost {
		o.d.log.Info("removing the record of a lost VM", "vm", name, "silent_for_more_than", goneAfter)
		if err := o.d.platform.Store.DeleteVM(ctx, name); err != nil {
			o.d.log.Warn("record of a lost VM not removed", "vm", name, "error", err)
		}
	}
}

// lost reports whether the owner of a service counts as lost.
func (o *owners) lost(t directory.OwnerRecord) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lostLocked(t)
}

// lostLocked is lost with the mutex held.
func (o *owners) lostLocked(t directory.OwnerRecord) bool {
	now := o.d.bootClock()
	return o.member.OwnerSuspected(now, t, max(o.learn(now, t), o.ownerHeard(t)), o.dead)
}

// learn returns when this VM learned of a tenure. The mutex is held.
func (o *owners) learn(now time.Duration, t directory.OwnerRecord) time.Duration {
	known, ok := o.learned[t.Service]
	if !ok || known.epoch < t.Epoch {
		known = learnedTenure{t.Epoch, now}
		o.learned[t.Service] = known
	}
	return known.at
}

// refused remembers that no process listens at the address of a VM.
func (o *owners) refused(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, vm := range o.d.directory.View().VMs {
		if vm.Address == address {
			o.refusedBy[name] = vm.RunID()
		}
	}
}

// connected forgets that a VM refused connections: this run of it lives.
func (o *owners) connected(vm directory.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refusedBy[vm.Name] == vm.RunID() {
		delete(o.refusedBy, vm.Name)
	}
}

// heard reports whether the owner of a service renewed its tenure within the given time.
func (o *owners) heard(t directory.OwnerRecord, within time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.d.bootClock()
	at := o.ownerHeard(t)
	return at > 0 && now-at <= within || o.member.HeardWithin(now, t, within)
}
