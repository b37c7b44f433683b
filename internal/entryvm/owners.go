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
	"siskinrouter/internal/peer"
)

const (
	// lookInterval is the time between two looks at the owners.
	lookInterval = 100 * time.Millisecond
	// goneInterval is the time between two looks for VMs that are gone for good.
	goneInterval = 5 * time.Second
)

// owners carries out this VM's part in the ownership of services.
type owners struct {
	d *Daemon
	// mu is never held during a call to a broker.
	mu      sync.Mutex
	member  *lease.Voter
	tenures map[string]*lease.Lease
	brokers map[string]*broker.Broker
	// ending holds brokers whose tenure has ended and whose transactions still run.
	ending   []*broker.Broker
	claiming map[string]bool
	pause    claimPause
	beats    int // rounds of renewals
	// advertise is set when all VMs are to hear at once that there are news.
	advertise atomic.Bool
	// vacantSince says since when this VM has seen a service without an owner.
	vacantSince map[string]time.Duration
	refusedBy   map[string]directory.RunID // VMs at whose address no process listens, by name
	learned     map[string]learnedTenure   // by service
	heardOwners map[string]heardOwner      // by VM
}

func newOwners(d *Daemon) *owners {
	return &owners{
		d: d, member: lease.NewVoter(d.bootClock()), tenures: map[string]*lease.Lease{},
		brokers: map[string]*broker.Broker{}, claiming: map[string]bool{},
		vacantSince: map[string]time.Duration{}, refusedBy: map[string]directory.RunID{},
		learned: map[string]learnedTenure{}, heardOwners: map[string]heardOwner{},
	}
}

// run renews the tenures of this VM and claims services that have lost their owner.
func (o *owners) run(ctx context.Context) error {
	beat := time.NewTicker(lease.RenewInterval)
	defer beat.Stop()
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	gone := time.NewTicker(goneInterval)
	defer gone.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
			o.beats++
			scope := withElectors
			if o.beats%othersBeat == 0 {
				scope = greetOthers
			}
			o.beat(scope)
		case <-look.C:
			if o.advertise.Swap(false) {
				o.beat(withAll)
			}
			o.look(ctx)
		case <-gone.C:
			go o.removeLost(ctx)
		}
	}
}

// dead reports whether a run of a VM has ended. The mutex is held.
func (o *owners) dead(h directory.RunID) bool {
	return o.d.directory.View().Ended(h) || o.refusedBy[h.Name] == h
}

// members returns the VMs whose promises count.
func (o *owners) members() []string {
	return electors(o.d.directory.View())
}

// Valid reports whether this VM may act as the owner of a service.
func (o *owners) Valid(service string) bool {
	now := o.d.bootClock()
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tenures[service]
	return t != nil && t.Valid(now, o.members(), o.dead)
}

// send sends a message to other VMs. A VM that cannot be reached is missed when it does not answer.
func (o *owners) send(v *directory.View, m peer.Message, to func(name string) bool) {
	for name, vm := range v.VMs {
		if name == o.d.self.Name || !to(name) {
			continue
		}
		if l := o.d.peers.LinkOrDial(vm.Address); l != nil {
			go func() { _ = l.Send(m) }()
		}
	}
}

// apply follows the records of the store: it begins and ends tenures of this VM. serving is set if the
// configuration, the servers or the withdrawals have changed; brokers need no more.
func (o *owners) apply(v *directory.View, serving bool) {
	o.mu.Lock()
	var ended []*broker.Broker
	var released []directory.OwnerRecord
	var update []*broker.Broker
	for service, t := range o.tenures {
		record, ok := v.OwnerRecords[service]
		if ok && record.Epoch > t.Record.Epoch {
			ended = append(ended, o.brokers[service])
			released = append(released, t.Record)
			delete(o.tenures, service)
			delete(o.brokers, service)
			o.d.log.Info("tenure ended", "service", service, "epoch", t.Record.Epoch, "successor", record.Holder.Name,
				"revision", record.Revision)
		}
	}
	o.ending = append(o.ending, ended...)
	ending := slices.Clone(o.ending)
	for service, record := range v.OwnerRecords {
		o.learn(o.d.bootClock(), record.OwnerRecord)
		t := o.tenures[service]
		if record.Holder != o.d.self.RunID() {
			continue
		}
		if t != nil {
			t.Record = record.OwnerRecord
			continue
		}
		o.d.log.Info("tenure begins", "service", service, "epoch", record.Epoch, "priors", len(record.Predecessors),
			"primary", record.Primary)
		o.advertise.Store(true) // callers of all VMs wait for the new owner
		o.tenures[service] = lease.New(o.d.bootClock(), record.OwnerRecord)
		o.brokers[service] = broker.New(o.d.brokerConfig(service), record.Primary)
		update = append(update, o.brokers[service])
	}
	if serving {
		update = slices.Collect(maps.Values(o.brokers))
	}
	o.mu.Unlock()
	for _, b := range ended {
		b.Close()
	}
	o.forgetEnded(ending)
	for _, t := range released {
		o.announce(t)
	}
	for _, b := range update {
		b.ApplyView(v)
	}
}

// forgetEnded drops the brokers whose transactions have ended. The mutex is not held while a broker is asked:
// brokers ask for the validity of the lease under their own.
func (o *owners) forgetEnded(ending []*broker.Broker) {
	var ended []*broker.Broker
	for _, b := range ending {
		if b.ActiveStreams() == 0 {
			ended = append(ended, b)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ending = slices.DeleteFunc(o.ending, func(b *broker.Broker) bool { return slices.Contains(ended, b) })
}

// announce tells all VMs that this VM has stopped using a service.
func (o *owners) announce(t directory.OwnerRecord) {
	r := peer.Release{Service: t.Service, Epoch: t.Epoch}
	o.release(r)
	o.send(o.d.directory.View(), peer.Message{Release: &r}, func(string) bool { return true })
}

// broker returns the broker of a service that this VM owns.
func (o *owners) broker(service string) *broker.Broker {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.brokers[service]
}

// all returns the brokers of present and ending tenures.
func (o *owners) all() []*broker.Broker {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := slices.Clone(o.ending)
	for _, b := range o.brokers {
		all = append(all, b)
	}
	return all
}

// any reports whether this VM owns a service.
func (o *owners) any() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.tenures) > 0
}
