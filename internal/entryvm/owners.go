package entryvm

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/peer"
)

const (
	// claimDelay is the time after the start in which VMs get to know each other before services are claimed.
	claimDelay = 1200 * time.Millisecond
	// rankDelay is how much later each further VM in the order of preference claims a service.
	rankDelay = 60 * time.Millisecond
	// lookInterval is the time between two looks at the owners.
	lookInterval = 100 * time.Millisecond
	// goneAfter is the silence after which a VM counts as gone for good; it exceeds the outages of the users'
	// pages by far.
	goneAfter = 45 * time.Second
	// goneInterval is the time between two looks for such VMs.
	goneInterval = 5 * time.Second
	// othersBeat is the number of rounds after which the VMs get a renewal whose promises do not count.
	othersBeat = 4
	// confirmInterval is the time between two readings of a record while the majority of the VMs is silent,
	// and confirmBefore how long before the end of their promises they begin.
	confirmInterval = 150 * time.Millisecond
	confirmBefore   = 400 * time.Millisecond
	// claimPause is the time after a claim that the store did not take.
	claimPause = 400 * time.Millisecond
	// pollTimeout bounds the question whether other VMs have lost an owner, too.
	pollTimeout = 300 * time.Millisecond
)

// owners carries out this VM's part in the ownership of services.
type owners struct {
	d       *Daemon
	mu      sync.Mutex
	member  *lease.Member
	tenures map[string]*lease.Tenure
	brokers map[string]*broker.Broker
	// ending holds brokers whose tenure has ended and whose transactions still run.
	ending   []*broker.Broker
	claiming map[string]bool
	beats    int // rounds of renewals
	// vacantSince says since when this VM has seen a service without an owner.
	vacantSince map[string]time.Duration
	refusedBy   map[string]directory.Holder // VMs at whose address no process listens, by name
	learned     map[string]learnedTenure    // by service
}

// learnedTenure says when this VM learned of a tenure, on the clock of the leases.
type learnedTenure struct {
	epoch uint64
	at    time.Duration
}

func newOwners(d *Daemon) *owners {
	return &owners{
		d: d, member: lease.NewMember(d.bootClock()), tenures: map[string]*lease.Tenure{},
		brokers: map[string]*broker.Broker{}, claiming: map[string]bool{},
		vacantSince: map[string]time.Duration{}, refusedBy: map[string]directory.Holder{},
		learned: map[string]learnedTenure{},
	}
}

// run renews the tenures of this VM and claims services that have lost their owner.
func (o *owners) run(ctx context.Context) error {
	beat := time.NewTicker(lease.BeatInterval)
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
			o.beat()
		case <-look.C:
			o.look(ctx)
		case <-gone.C:
			go o.removeLost(ctx)
		}
	}
}

// dead reports whether a run of a VM has ended. The mutex is held.
func (o *owners) dead(h directory.Holder) bool {
	return o.d.directory.View().Dead(h) || o.refusedBy[h.Name] == h
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

// confirm reads the records of tenures that the majority of the VMs does not renew. An owner that is cut
// off from them together with the store goes on serving, since nobody else can become the owner.
func (o *owners) confirm(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, confirmInterval)
		now := o.d.bootClock()
		members := o.members()
		o.mu.Lock()
		var ending []directory.Tenure
		for _, t := range o.tenures {
			if t.ValidUntil(members)-now < confirmBefore {
				ending = append(ending, t.Record)
			}
		}
		o.mu.Unlock()
		for _, t := range ending {
			go o.confirmOne(ctx, t)
		}
	}
	return nil
}

func (o *owners) confirmOne(ctx context.Context, record directory.Tenure) {
	started := o.d.bootClock()
	ctx, cancel := context.WithTimeout(ctx, lease.RecordLifetime)
	defer cancel()
	e, err := o.d.platform.Store.Tenure(ctx, record.Service)
	if err != nil || e.Tenure == nil {
		o.d.log.Warn("tenure not confirmed", "service", record.Service, "error", err)
		return
	}
	o.d.directory.Put(o.d.clock(), directory.Fleet, e)
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.tenures[record.Service]
	if t != nil && t.Record.Epoch == e.Tenure.Epoch && e.Tenure.Holder == o.d.self.Holder() {
		t.Confirm(started)
	}
}

// beat renews all tenures of this VM.
func (o *owners) beat() {
	now := o.d.bootClock()
	o.mu.Lock()
	if len(o.tenures) == 0 {
		o.mu.Unlock()
		return
	}
	var records []directory.Tenure
	for _, t := range o.tenures {
		records = append(records, t.Record)
	}
	o.mu.Unlock()
	o.grant(o.d.self.Name, now, o.answerBeat(records))
	v := o.d.directory.View()
	m := peer.Message{Beat: &peer.Beat{
		Sent: now, Tenures: records, Changed: v.Changed, Confirmed: o.d.confirmations(),
	}}
	o.beats++
	all := o.beats%othersBeat == 0
	members := o.members()
	o.send(v, m, func(name string) bool { return all || slices.Contains(members, name) })
}

// send sends a message to other VMs. A VM that cannot be reached is missed when it does not answer.
func (o *owners) send(v *directory.View, m peer.Message, to func(name string) bool) {
	for name, vm := range v.VMs {
		if name == o.d.self.Name || !to(name) {
			continue
		}
		if l := o.d.peers.Get(vm.Address); l != nil {
			go func() { _ = l.Send(m) }()
		}
	}
}

// answerBeat returns the services whose renewal this VM grants.
func (o *owners) answerBeat(records []directory.Tenure) []string {
	now := o.d.bootClock()
	o.mu.Lock()
	defer o.mu.Unlock()
	var granted []string
	tenures := o.d.directory.View().Tenures
	for _, t := range records {
		if o.member.Beat(now, t, tenures[t.Service].Epoch, o.dead) {
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
			t.Grant(vm, sent)
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
	if !ok || duty.Holder != o.d.self.Holder() {
		return
	}
	holders := map[string]bool{o.d.self.Name: true}
	for _, t := range v.Tenures {
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
func (o *owners) lost(t directory.Tenure) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.d.bootClock()
	return o.member.Lost(now, t, o.learn(now, t), o.dead)
}

// learn returns when this VM learned of a tenure. The mutex is held.
func (o *owners) learn(now time.Duration, t directory.Tenure) time.Duration {
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
			o.refusedBy[name] = vm.Holder()
		}
	}
}

// connected forgets that a VM refused connections: this run of it lives.
func (o *owners) connected(vm directory.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refusedBy[vm.Name] == vm.Holder() {
		delete(o.refusedBy, vm.Name)
	}
}

// apply follows the records of the store: it begins and ends tenures of this VM.
func (o *owners) apply(v *directory.View) {
	o.mu.Lock()
	var ended []*broker.Broker
	var released []directory.Tenure
	for service, t := range o.tenures {
		record, ok := v.Tenures[service]
		if ok && record.Epoch > t.Record.Epoch {
			ended = append(ended, o.brokers[service])
			released = append(released, t.Record)
			delete(o.tenures, service)
			delete(o.brokers, service)
			o.d.log.Info("tenure ended", "service", service, "epoch", t.Record.Epoch, "successor", record.Holder.Name,
				"revision", record.Revision)
		}
	}
	o.ending = slices.DeleteFunc(append(o.ending, ended...), func(b *broker.Broker) bool { return b.Streams() == 0 })
	for service, record := range v.Tenures {
		o.learn(o.d.bootClock(), record.Tenure)
		t := o.tenures[service]
		if record.Holder != o.d.self.Holder() {
			continue
		}
		if t != nil {
			t.Record = record.Tenure
			continue
		}
		o.d.log.Info("tenure begins", "service", service, "epoch", record.Epoch, "priors", len(record.Priors),
			"primary", record.Primary)
		o.tenures[service] = lease.NewTenure(o.d.bootClock(), record.Tenure)
		o.brokers[service] = broker.New(o.d.brokerConfig(service), record.Primary)
	}
	var brokers []*broker.Broker
	for _, b := range o.brokers {
		brokers = append(brokers, b)
	}
	o.mu.Unlock()
	for _, b := range ended {
		b.Close()
	}
	for _, t := range released {
		o.announce(t)
	}
	for _, b := range brokers {
		b.Update(v)
	}
}

// announce tells all VMs that this VM has stopped using a service.
func (o *owners) announce(t directory.Tenure) {
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

// look claims services whose owner is lost.
func (o *owners) look(ctx context.Context) {
	v := o.d.directory.View()
	if v.Configuration == nil || o.d.leaving.Load() {
		return
	}
	now := o.d.clock()
	for service := range v.Configuration.Services {
		record, claimed := v.Tenures[service]
		// A VM that has started again resumes its services at once; the others wait for it.
		resumed := record.Holder.Name == o.d.self.Name
		if now < claimDelay && !resumed {
			continue
		}
		vacant := !claimed || o.lost(record.Tenure)
		o.mu.Lock()
		if !vacant || record.Holder == o.d.self.Holder() {
			delete(o.vacantSince, service)
			o.mu.Unlock()
			continue
		}
		since, known := o.vacantSince[service]
		if !known {
			since = now
			o.vacantSince[service] = now
		}
		due := resumed || now-since >= time.Duration(o.rank(v, service))*rankDelay
		due = due && !o.claiming[service]
		if due {
			o.claiming[service] = true
		}
		o.mu.Unlock()
		if due {
			go o.claim(ctx, service, record)
		}
	}
}

// rank returns this VM's place in the order in which VMs claim a service. The mutex is held.
func (o *owners) rank(v *directory.View, service string) int {
	order := preference(v, service, func(vm directory.VM) bool {
		return vm.Name == o.d.self.Name || !o.dead(vm.Holder())
	})
	return max(slices.Index(order, o.d.self.Name), 0)
}

// claim makes this VM the owner of a service if a majority of the VMs has lost the owner, too.
func (o *owners) claim(ctx context.Context, service string, record directory.TenureEntry) {
	defer func() {
		o.mu.Lock()
		delete(o.claiming, service)
		o.mu.Unlock()
	}()
	if record.Epoch > 0 && record.Holder.Name != o.d.self.Name && !o.majorityLost(record.Tenure) {
		return
	}
	o.mu.Lock()
	next := successor(record.Tenure, service, o.d.self.Holder(), o.dead)
	o.mu.Unlock()
	o.d.log.Info("claiming service", "service", service, "epoch", next.Epoch, "prior", record.Holder.Name)
	if err := o.write(ctx, next, record.Revision); err != nil {
		sleep(ctx, claimPause)
	}
}

// write changes the record of a tenure and takes the outcome into the directory.
func (o *owners) write(ctx context.Context, t directory.Tenure, revision uint64) error {
	e, err := o.d.platform.Store.PutTenure(ctx, t, revision)
	if err == nil || errors.Is(err, directory.ErrConflict) {
		o.d.directory.Put(o.d.clock(), directory.Fleet, e)
	}
	if err != nil {
		o.d.log.Warn("record of tenure not written", "service", t.Service, "epoch", t.Epoch, "error", err)
	}
	return err
}

// majorityLost asks the other VMs whether they have lost an owner.
func (o *owners) majorityLost(t directory.Tenure) bool {
	v := o.d.directory.View()
	members := o.members()
	votes := make(chan bool, len(members))
	asked := 0
	for _, name := range members {
		if name == o.d.self.Name {
			continue
		}
		l := o.d.peers.Get(v.VMs[name].Address)
		if l == nil {
			continue
		}
		asked++
		go func() {
			m, err := l.Call(peer.Message{Poll: &peer.Poll{Tenure: t}}, pollTimeout)
			votes <- err == nil && m.Vote != nil && m.Vote.Lost
		}()
	}
	yes := 0
	if slices.Contains(members, o.d.self.Name) {
		yes++
	}
	majority := len(members)/2 + 1
	for range asked {
		if yes >= majority {
			break
		}
		if <-votes {
			yes++
		}
	}
	return yes >= majority
}

// Promote records a server as the primary of a service and makes it lead.
func (o *owners) Promote(ctx context.Context, service, server string) error {
	record, ok := o.d.directory.View().Tenures[service]
	if !ok || record.Holder != o.d.self.Holder() {
		return fmt.Errorf("service %q belongs to another VM", service)
	}
	if record.Primary != server {
		next := record.Tenure
		next.Primary = server
		if err := o.write(ctx, next, record.Revision); err != nil {
			return err
		}
	}
	if !o.Valid(service) {
		return fmt.Errorf("the lease of service %q has ended", service)
	}
	return o.order(ctx, service, server)
}

// order has the VM with the duty make a server lead.
func (o *owners) order(ctx context.Context, service, server string) error {
	duty, ok := dutyService(o.d.directory.View())
	if !ok {
		return errors.New("no VM has the duty to promote")
	}
	if duty.Holder == o.d.self.Holder() {
		return o.carryOut(ctx, service, server)
	}
	l := o.d.peers.Wait(ctx, o.d.directory.View().VMs[duty.Holder.Name].Address)
	if l == nil {
		return errors.New("the VM that has the duty to promote cannot be reached")
	}
	m, err := l.Call(peer.Message{Promote: &peer.Promote{Service: service, Server: server}}, orderTimeout)
	if err != nil {
		return err
	}
	if m.Done == nil || m.Done.Error != "" {
		return fmt.Errorf("order refused: %+v", m.Done)
	}
	return nil
}

// orderTimeout bounds an order that another VM carries out.
const orderTimeout = 2 * time.Second

// carryOut sends the order to the platform if this VM has the duty.
func (o *owners) carryOut(ctx context.Context, service, server string) error {
	duty, ok := dutyService(o.d.directory.View())
	if !ok || duty.Holder != o.d.self.Holder() || !o.Valid(duty.Service) {
		return errors.New("this VM does not have the duty to promote")
	}
	o.d.log.Info("order to promote", "service", service, "server", server, "token", duty.Epoch)
	return o.d.platform.Promoter.Promote(ctx, service, server, o.d.self.Name, duty.Epoch)
}

// dutyService returns the tenure whose holder promotes servers for the whole fleet. Its epoch is the
// fencing token.
func dutyService(v *directory.View) (directory.TenureEntry, bool) {
	var first directory.TenureEntry
	for name, t := range v.Tenures {
		if first.Service == "" || name < first.Service {
			first = t
		}
	}
	return first, first.Service != ""
}

// handOver gives the services of this VM to others and waits until those serve.
func (o *owners) handOver(ctx context.Context) {
	v := o.d.directory.View()
	for service, record := range v.Tenures {
		if record.Holder != o.d.self.Holder() {
			continue
		}
		o.mu.Lock()
		t, now := o.tenures[service], o.d.bootClock()
		members := o.members()
		order := preference(v, service, func(vm directory.VM) bool {
			// VMs whose promises do not count hear every few renewals only.
			heard := t == nil || !slices.Contains(members, vm.Name) || t.SilentFor(now, vm.Name) < lease.Suspicion
			return vm.Name != o.d.self.Name && !o.dead(vm.Holder()) && heard
		})
		o.mu.Unlock()
		if len(order) == 0 {
			continue
		}
		o.mu.Lock()
		next := successor(record.Tenure, service, v.VMs[order[0]].Holder(), o.dead)
		next.HandedOver = true
		o.mu.Unlock()
		o.d.log.Info("handing over", "service", service, "epoch", next.Epoch, "to", next.Holder.Name)
		if err := o.write(ctx, next, record.Revision); err != nil {
			o.d.log.Warn("service not handed over", "service", service, "error", err)
		}
	}
}

// heard reports whether the owner of a service renewed its tenure within the given time.
func (o *owners) heard(t directory.Tenure, within time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.member.Heard(o.d.bootClock(), t, within)
}

// any reports whether this VM owns a service.
func (o *owners) any() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.tenures) > 0
}
