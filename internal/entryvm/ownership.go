package entryvm

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/membership"
	"siskinrouter/internal/peer"
)

const (
	// checkInterval is the time between two checks for vacant services.
	checkInterval = 100 * time.Millisecond
)

// ownership manages the services that this VM owns and votes on the ownership of the others.
type ownership struct {
	d *Daemon
	// mu is never held during a call to a broker.
	mu      sync.Mutex
	voter   *lease.Voter
	leases  map[string]*lease.Lease
	brokers map[string]*broker.Broker
	// draining holds brokers whose ownership has ended but whose transactions are still running.
	draining      []*broker.Broker
	claiming      map[string]bool
	claimBackoff  claimBackoff
	renewalRounds int // number of renewal rounds sent
	// broadcast requests an immediate renewal to all VMs, to announce changes.
	broadcast atomic.Bool
	// votersChanged requests an immediate renewal by the voters, as those of a new configuration have not promised yet.
	votersChanged chan struct{}
	// vacantSince holds when this VM first saw a service without an owner.
	vacantSince map[string]time.Duration
	refusedRuns map[string]directory.RunID // runs at whose address no process listens, by VM name
	firstSeen   map[string]firstSeenRecord // by service
	runRenewals map[string]runRenewal      // by VM
	// noneBefore holds the latest records whose holders have stated that no unknown owner before them can act, by service.
	noneBefore map[string]directory.OwnerRecord
	isolated   map[string]directory.RunID // VMs that have reported to be isolated, by name
	leaving    map[string]directory.RunID // VMs that have reported to be about to exit, by name
	// promotions holds the promotions that this VM has requested and still waits for.
	promotions map[uint64]*promotionAttempt
	// reportsIsolation is set while the renewals of this VM say that it is isolated.
	reportsIsolation bool
	absences         absences // used by run only
}

func newOwnership(d *Daemon) *ownership {
	return &ownership{
		d: d, voter: lease.NewVoter(d.bootClock()), leases: map[string]*lease.Lease{},
		brokers: map[string]*broker.Broker{}, claiming: map[string]bool{},
		vacantSince: map[string]time.Duration{}, refusedRuns: map[string]directory.RunID{},
		firstSeen: map[string]firstSeenRecord{}, runRenewals: map[string]runRenewal{},
		noneBefore: map[string]directory.OwnerRecord{}, isolated: map[string]directory.RunID{}, leaving: map[string]directory.RunID{}, absences: absences{},
		promotions: map[uint64]*promotionAttempt{}, votersChanged: make(chan struct{}, 1),
	}
}

// run renews the leases of this VM and claims services whose owner has failed.
func (o *ownership) run(ctx context.Context) error {
	renewal := time.NewTicker(lease.RenewInterval)
	defer renewal.Stop()
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-renewal.C:
			o.renewalRounds++
			scope := toVoters
			if o.renewalRounds%nonVoterRounds == 0 {
				scope = toOthersBrief
			}
			o.renew(scope)
		case <-check.C:
			if o.broadcast.Swap(false) {
				o.renew(toAll)
			}
			o.writeAgain(ctx)
			o.claimVacant(ctx)
			o.followPrimaries(ctx)
		case <-o.votersChanged:
			o.renew(toVoters)
		}
	}
}

// renewUnconfirmed requests an immediate renewal if the majority has not acknowledged an ownership yet.
func (o *ownership) renewUnconfirmed() {
	now := o.d.bootClock()
	voters := o.voters()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, held := range o.leases {
		if !held.Valid(now, voters, o.ended) {
			o.broadcast.Store(true)
			return
		}
	}
}

// announce dials the VMs that vote on leases and the owners, so that they know that this VM is reachable.
func (o *ownership) announce(v *directory.View) {
	addresses := map[string]bool{}
	for _, name := range v.Voters.Members() {
		addresses[v.VMs[name].Address] = true
	}
	for _, record := range v.OwnerRecords {
		addresses[v.VMs[record.Holder.Name].Address] = true
	}
	for address := range addresses {
		if address != "" && address != o.d.self.Address {
			o.d.peers.LinkOrDial(address)
		}
	}
}

// ended reports whether a run of a VM has ended. The mutex must be held.
func (o *ownership) ended(run directory.RunID) bool {
	return o.d.directory.View().Ended(run) || o.refusedRuns[run.Name] == run
}

// runEnded is ended without the mutex held.
func (o *ownership) runEnded(run directory.RunID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ended(run)
}

// voters returns the configuration of the VMs that vote on leases.
func (o *ownership) voters() membership.Configuration {
	return o.d.directory.View().Voters.Configuration
}

// Valid reports whether this VM may act as the owner of a service.
func (o *ownership) Valid(service string) bool {
	now := o.d.bootClock()
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.leases[service]
	return held != nil && held.Valid(now, o.voters(), o.ended)
}

// changeVoters adapts the leases to a change of the voters.
func (o *ownership) changeVoters(before membership.Configuration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.d.bootClock()
	for _, held := range o.leases {
		held.VotersChanged(now, before)
	}
	select {
	case o.votersChanged <- struct{}{}:
	default:
	}
}

// validLease reports whether this VM may act under a lease, which is that of its present ownership.
func (o *ownership) validLease(held *lease.Lease) bool {
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.validLeaseLocked(now, voters, held)
}

// validLeaseLocked is validLease with the mutex held.
func (o *ownership) validLeaseLocked(now time.Duration, voters membership.Configuration, held *lease.Lease) bool {
	return o.leases[held.Record.Service] == held && held.Valid(now, voters, o.ended)
}

// allocation returns the ownership of a service whose lease is valid, for the allocation of tokens: its first epoch, its
// start, and the share of the VMs that admit requests and can reach this VM, as far as they are voters. reached returns
// when a VM got tokens from this one.
func (o *ownership) allocation(service string, admits func(vm string) bool, reached func(vm string) time.Duration) (
	epoch uint64, since time.Duration, share float64, ok bool) {
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.leases[service]
	if held == nil || !held.Valid(now, voters, o.ended) {
		return 0, 0, 0, false
	}
	vms := o.d.directory.View().VMs
	admitting := slices.DeleteFunc(slices.Clone(voters.Members()), func(vm string) bool { return !admits(vm) })
	share = held.HeardShare(now, admitting, func(vm string) bool { return o.ended(vms[vm].RunID()) }, reached)
	return held.Record.Ownership(), held.Since, share, true
}

// send sends a message to other VMs. Errors are ignored; an unreachable VM is detected by its missing responses.
func (o *ownership) send(v *directory.View, m peer.Message, to func(name string) bool) {
	for name, vm := range v.VMs {
		if name == o.d.self.Name || !to(name) {
			continue
		}
		if l := o.d.peers.LinkOrDial(vm.Address); l != nil {
			go func() { _ = l.Send(m) }()
		}
	}
}

// applyRecords applies the owner records of the store by starting and ending leases of this VM. serving is set if the
// configuration, the servers or the withdrawals have changed; brokers depend on nothing else.
func (o *ownership) applyRecords(v *directory.View, serving bool) {
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	var closed, handedOver []*broker.Broker
	var released, givenUp []directory.OwnerRecord
	var update []*broker.Broker
	for service, held := range o.leases {
		record, ok := v.OwnerRecords[service]
		if o.continued(v, now, voters, held, record) {
			o.d.log.Info("owner record written again", "service", service, "epoch", record.Epoch, "era", record.Era,
				"revision", record.Revision)
			held.Continue(o.d.bootClock(), record.OwnerRecord)
			o.broadcast.Store(true)
		}
		if o.givenUp(v, now, voters, held) {
			closed = append(closed, o.endGivenUp(v, held))
			released = append(released, held.Record)
			givenUp = append(givenUp, held.Record)
			continue
		}
		// Without eras a listing that started before a claim may bring back the record of the former holder, so only the
		// epoch decides.
		replaced := v.Era > 0 && record.Era >= held.Record.Era && !v.Outdated(record.OwnerRecord) &&
			record.Holder != held.Record.Holder
		if ok && (record.Epoch > held.Record.Epoch || replaced) {
			if mayFinish(held, record.OwnerRecord, held.Valid(now, voters, o.ended)) {
				handedOver = append(handedOver, o.brokers[service])
			} else {
				closed = append(closed, o.brokers[service])
			}
			released = append(released, held.Record)
			delete(o.leases, service)
			delete(o.brokers, service)
			o.d.log.Info("ownership ended", "service", service, "epoch", held.Record.Epoch, "successor", record.Holder.Name,
				"revision", record.Revision)
		}
	}
	o.draining = append(append(o.draining, closed...), handedOver...)
	draining := slices.Clone(o.draining)
	for service, record := range v.OwnerRecords {
		o.firstSeenAt(o.d.bootClock(), record.OwnerRecord)
		held := o.leases[service]
		if record.Holder != o.d.self.RunID() || v.Outdated(record.OwnerRecord) {
			continue
		}
		if held != nil {
			held.Record = record.OwnerRecord
			continue
		}
		o.d.log.Info("ownership started", "service", service, "epoch", record.Epoch, "priors", len(record.Predecessors),
			"primary", record.Primary, "term", record.PrimaryTerm)
		o.broadcast.Store(true) // callers on all VMs wait for the new owner
		held = lease.New(o.d.bootClock(), record.OwnerRecord)
		o.leases[service] = held
		config := o.d.brokerConfig(service)
		config.Lease = ownershipLease{o, held}
		config.TakenOver = len(record.Predecessors) > 0 && !record.HandedOver
		config.HandedOver = record.HandedOver
		o.brokers[service] = broker.New(config, broker.RecordedPrimary{Server: record.Primary, Term: record.PrimaryTerm})
		update = append(update, o.brokers[service])
	}
	if serving {
		update = slices.Collect(maps.Values(o.brokers))
	}
	o.mu.Unlock()
	closeBrokers(closed)
	for _, b := range handedOver {
		b.HandOver()
	}
	o.removeDrained(draining)
	for _, record := range released {
		o.announceRelease(record)
	}
	for _, record := range givenUp {
		o.d.rateLimiter.release(record)
	}
	for _, b := range update {
		b.ApplyView(v)
	}
}

// mayFinish reports whether transactions may continue for a while after the ownership has ended: this VM has handed the
// service over, and its lease was valid until it learned so. With an earlier end of the lease, the next owner may already
// have replaced the primary.
func mayFinish(held *lease.Lease, next directory.OwnerRecord, valid bool) bool {
	return valid && next.HandedOver && next.Epoch == held.Record.Epoch+1
}

// removeDrained drops the brokers whose transactions have ended. It calls brokers without holding the mutex, because
// a broker checks its lease, which takes this mutex, while holding its own.
func (o *ownership) removeDrained(draining []*broker.Broker) {
	var idle []*broker.Broker
	for _, b := range draining {
		if b.ActiveStreams() == 0 {
			idle = append(idle, b)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.draining = slices.DeleteFunc(o.draining, func(b *broker.Broker) bool { return slices.Contains(idle, b) })
}

// announceRelease tells all VMs that this VM has released a service.
func (o *ownership) announceRelease(record directory.OwnerRecord) {
	v := o.d.directory.View()
	r := peer.Release{Service: record.Service, Epoch: record.Epoch}
	if next := v.OwnerRecords[record.Service]; next.Epoch > record.Epoch {
		r.Successor = &next
		withTokens := r
		withTokens.Tokens = o.d.rateLimiter.release(record)
		o.send(v, peer.Message{Release: &withTokens}, func(name string) bool { return name == next.Holder.Name })
	}
	o.releasePromise(r)
	o.send(v, peer.Message{Release: &r}, func(name string) bool { return r.Successor == nil || name != r.Successor.Holder.Name })
}

// broker returns the broker of a service owned by this VM, or nil.
func (o *ownership) broker(service string) *broker.Broker {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.brokers[service]
}

// ownedBrokers returns the brokers of current and ended leases.
func (o *ownership) ownedBrokers() []*broker.Broker {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := slices.Clone(o.draining)
	for _, b := range o.brokers {
		all = append(all, b)
	}
	return all
}

// any reports whether this VM owns any service.
func (o *ownership) any() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.leases) > 0
}
