package entryvm

import (
	"container/heap"
	"context"
	"errors"
	"slices"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/peer"
)

const (
	// claimDelay is the time after the start in which VMs get to know each other before services are claimed.
	claimDelay = 1200 * time.Millisecond
	// rankDelay is how much later each further VM in the order of preference claims a service.
	rankDelay = 60 * time.Millisecond
	// maxInPlace services are claimed in one look in place of VMs that come first; those may just be starting.
	maxInPlace = 2
	// firstClaimPause is the time after a claim that the store did not answer; it doubles up to lastClaimPause.
	// Each call is priced, also in an outage, and VMs that reach the store claim sooner.
	firstClaimPause = 400 * time.Millisecond
	lastClaimPause  = 1600 * time.Millisecond
	// pollTimeout bounds the question whether other VMs have lost an owner, too.
	pollTimeout = 300 * time.Millisecond
)

// claimPause spaces the claims of a VM that the store does not answer. It answers many vacant services while a
// part of the fleet is cut from the store: each of these VMs would ask for each service again and again.
type claimPause struct {
	until, pause time.Duration // pause is 0 while the store answers
	trying       bool          // a claim is on its way while the store is in doubt
}

// begin reports whether a claim may be made now.
func (p *claimPause) begin(now time.Duration) bool {
	if p.pause == 0 {
		return true
	}
	if now < p.until || p.trying {
		return false
	}
	p.trying = true
	return true
}

// end records whether the store answered a claim. One that was not sent says nothing.
func (p *claimPause) end(now time.Duration, sent, answered bool) {
	p.trying = false
	switch {
	case !sent:
	case answered:
		p.pause = 0
	default:
		p.pause = min(max(2*p.pause, firstClaimPause), lastClaimPause)
		p.until = now + p.pause
	}
}

// look claims services whose owner is lost.
func (o *owners) look(ctx context.Context) {
	v := o.d.directory.View()
	if v.Configuration == nil || o.d.leaving.Load() {
		return
	}
	now := o.d.clock()
	o.mu.Lock()
	var vacant []string
	for service := range v.Configuration.Services {
		if o.vacant(now, service, v.OwnerRecords[service]) {
			vacant = append(vacant, service)
		}
	}
	if len(vacant) == 0 {
		o.mu.Unlock()
		return
	}
	slices.Sort(vacant)
	c := o.candidates(v)
	c.plan(vacant)
	rank := c.standing.rank("", o.d.self.Name, c.eligible)
	var due []string
	for _, service := range vacant {
		// A VM that has started again resumes its services at once; the others wait for it.
		resumed := v.OwnerRecords[service].Holder.Name == o.d.self.Name
		if !o.claiming[service] && (resumed || c.due(service, o.d.self.Name, rank, now-o.vacantSince[service])) && o.pause.begin(now) {
			o.claiming[service] = true
			due = append(due, service)
		}
	}
	o.mu.Unlock()
	for _, service := range due {
		go o.claim(ctx, service, v.OwnerRecords[service])
	}
}

// vacant reports whether a service needs an owner and remembers since when. The mutex is held.
func (o *owners) vacant(now time.Duration, service string, record directory.OwnerRecordEntry) bool {
	if now < claimDelay && record.Holder.Name != o.d.self.Name {
		return false
	}
	if record.Holder == o.d.self.RunID() || record.Epoch > 0 && !o.lostLocked(record.OwnerRecord) {
		delete(o.vacantSince, service)
		return false
	}
	if _, known := o.vacantSince[service]; !known {
		o.vacantSince[service] = now
	}
	return true
}

// candidates says which VM should claim a vacant service, as far as this VM knows. It holds for one look, since
// many services can be vacant at once.
type candidates struct {
	standing *standing
	eligible []bool
	planned  map[string]string // VM by service, if all claim at once what they should
	inPlace  int               // services that were due although other VMs come first
}

// order is a heap of the indices of VMs; the first one should own the next service.
type order struct {
	*standing
	vms []int
}

func (o *order) Len() int           { return len(o.vms) }
func (o *order) Less(i, j int) bool { return o.before("", o.vms[i], o.vms[j]) }
func (o *order) Swap(i, j int)      { o.vms[i], o.vms[j] = o.vms[j], o.vms[i] }
func (o *order) Push(any)           {} // the VMs stay the same
func (o *order) Pop() any           { return nil }

// plan says which VM should claim each of the vacant services. VMs that know the same fleet make the same plan, so
// that many services are claimed at once without two VMs that claim the same one. A fleet of some hundred VMs
// starts with a thousand vacant services, and each VM plans ten times a second.
func (c *candidates) plan(vacant []string) {
	c.planned = make(map[string]string, len(vacant))
	o := &order{standing: c.standing}
	for i, eligible := range c.eligible {
		if eligible {
			o.vms = append(o.vms, i)
		}
	}
	if len(o.vms) == 0 {
		return
	}
	heap.Init(o)
	for _, service := range vacant {
		i := o.vms[0]
		c.planned[service] = o.names[i]
		o.load[i] += 1 / o.cores[i]
		heap.Fix(o, 0)
	}
}

// due reports whether a VM should claim a service that has been vacant for some time. In one look a VM claims all
// services that the plan gives it, and a few of those that others have not claimed in their time. rank is its
// place after the plan.
func (c *candidates) due(service, vm string, rank int, vacant time.Duration) bool {
	if c.planned[service] == vm {
		return true
	}
	if vacant < time.Duration(max(rank, 1))*rankDelay || c.inPlace >= maxInPlace {
		return false
	}
	c.inPlace++
	return true
}

// candidates counts the services of the VMs that may live. The mutex is held.
func (o *owners) candidates(v *directory.View) *candidates {
	c := &candidates{standing: standings(v)}
	for _, name := range c.standing.names {
		c.eligible = append(c.eligible, !o.dead(v.VMs[name].RunID()))
	}
	return c
}

// claim makes this VM the owner of a service if a majority of the VMs has lost the owner, too.
func (o *owners) claim(ctx context.Context, service string, record directory.OwnerRecordEntry) {
	sent, answered := false, false
	defer func() {
		o.mu.Lock()
		delete(o.claiming, service)
		o.pause.end(o.d.clock(), sent, answered)
		o.mu.Unlock()
	}()
	if record.Epoch > 0 && record.Holder.Name != o.d.self.Name && !o.majorityLost(record.OwnerRecord) {
		return
	}
	o.mu.Lock()
	next := successor(record.OwnerRecord, service, o.d.self.RunID(), o.dead)
	o.mu.Unlock()
	o.d.log.Info("claiming service", "service", service, "epoch", next.Epoch, "prior", record.Holder.Name)
	sent = true
	err := o.write(ctx, next, record.Revision)
	answered = err == nil || errors.Is(err, directory.ErrConflict)
}

// write changes the record of a tenure and takes the outcome into the directory.
func (o *owners) write(ctx context.Context, t directory.OwnerRecord, revision uint64) error {
	e, err := o.d.platform.Store.PutOwnerRecord(ctx, t, revision)
	if err == nil || errors.Is(err, directory.ErrConflict) {
		o.d.directory.Put(o.d.clock(), directory.Fleet, e)
	}
	if err != nil {
		o.d.log.Warn("record of tenure not written", "service", t.Service, "epoch", t.Epoch, "error", err)
	}
	return err
}

// majorityLost asks the other VMs whether they have lost an owner.
func (o *owners) majorityLost(t directory.OwnerRecord) bool {
	v := o.d.directory.View()
	members := o.members()
	votes := make(chan bool, len(members))
	asked := 0
	for _, name := range members {
		if name == o.d.self.Name {
			continue
		}
		l := o.d.peers.LinkOrDial(v.VMs[name].Address)
		if l == nil {
			continue
		}
		asked++
		go func() {
			m, err := l.Call(peer.Message{FailureQuery: &peer.FailureQuery{OwnerRecord: t}}, pollTimeout)
			votes <- err == nil && m.FailureVote != nil && m.FailureVote.Suspected
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

// handOver gives the services of this VM to others and waits until those serve.
func (o *owners) handOver(ctx context.Context) {
	v := o.d.directory.View()
	for service, record := range v.OwnerRecords {
		if record.Holder != o.d.self.RunID() {
			continue
		}
		o.mu.Lock()
		t, now := o.tenures[service], o.d.bootClock()
		members := o.members()
		order := preference(v, service, func(vm directory.VM) bool {
			// VMs whose promises do not count hear every few renewals only.
			heard := t == nil || !slices.Contains(members, vm.Name) || t.SilentFor(now, vm.Name) < lease.SuspectTimeout
			return vm.Name != o.d.self.Name && !o.dead(vm.RunID()) && heard
		})
		o.mu.Unlock()
		if len(order) == 0 {
			continue
		}
		o.mu.Lock()
		next := successor(record.OwnerRecord, service, v.VMs[order[0]].RunID(), o.dead)
		next.HandedOver = true
		o.mu.Unlock()
		o.d.log.Info("handing over", "service", service, "epoch", next.Epoch, "to", next.Holder.Name)
		if err := o.write(ctx, next, record.Revision); err != nil {
			o.d.log.Warn("service not handed over", "service", service, "error", err)
		}
	}
}
