package entryvm

import (
	"container/heap"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/sleep"
)

const (
	// startupClaimDelay is the time after startup during which VMs discover each other before they claim services.
	startupClaimDelay = 1200 * time.Millisecond
	// claimRankDelay is the additional delay of each following VM in the claim order.
	claimRankDelay = 60 * time.Millisecond
	// maxOutOfTurnClaims limits the services that a VM claims in one check ahead of higher-ranked VMs, which may
	// still be starting.
	maxOutOfTurnClaims = 2
	// minClaimBackoff is the delay after a claim that the store did not respond to; it doubles up to maxClaimBackoff.
	// Each store call is billed, also during an outage, and VMs that reach the store claim sooner.
	minClaimBackoff = 400 * time.Millisecond
	maxClaimBackoff = 1600 * time.Millisecond
	// failureQueryTimeout bounds the query whether other VMs suspect an owner as well.
	failureQueryTimeout = 300 * time.Millisecond
)

// claimBackoff rate-limits the claims of a VM while the store does not respond. Without it, when part of the fleet is
// isolated from the store and many services are vacant, each of its VMs would retry each service over and over.
type claimBackoff struct {
	retryAt, delay time.Duration // delay is 0 while the store responds
	probing        bool          // a single claim is in flight while the store is unresponsive
}

// allow reports whether a claim may be sent now.
func (b *claimBackoff) allow(now time.Duration) bool {
	if b.delay == 0 {
		return true
	}
	if now < b.retryAt || b.probing {
		return false
	}
	b.probing = true
	return true
}

// record updates the backoff after a claim. A claim that was not sent carries no information about the store.
func (b *claimBackoff) record(now time.Duration, sent, responded bool) {
	b.probing = false
	switch {
	case !sent:
	case responded:
		b.delay = 0
	default:
		b.delay = min(max(2*b.delay, minClaimBackoff), maxClaimBackoff)
		b.retryAt = now + b.delay
	}
}

// claimVacant claims services that have no owner, or whose owner this VM suspects.
func (o *ownership) claimVacant(ctx context.Context) {
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
	plan := o.newClaimPlan(v)
	plan.inRegion = o.ownerRegions(v)
	plan.assign(vacant, o.ownerDomains(v))
	rank := plan.ranking.rank("", o.d.self.Name, plan.eligible)
	var due []string
	for _, service := range vacant {
		// A restarted VM resumes its own services at once; the others wait for it.
		resumed := v.OwnerRecords[service].Holder.Name == o.d.self.Name
		if !o.claiming[service] && (resumed || plan.due(service, o.d.self.Name, rank, now-o.vacantSince[service])) &&
			o.claimBackoff.allow(now) {
			o.claiming[service] = true
			due = append(due, service)
		}
	}
	o.mu.Unlock()
	for _, service := range due {
		go o.claim(ctx, service, v.OwnerRecords[service])
	}
}

// vacant reports whether a service needs an owner and records since when. The mutex must be held.
func (o *ownership) vacant(now time.Duration, service string, record directory.OwnerRecordEntry) bool {
	if now < startupClaimDelay && record.Holder.Name != o.d.self.Name {
		return false
	}
	outdated := o.d.directory.View().Outdated(record.OwnerRecord)
	active := record.Holder == o.d.self.RunID() && !outdated || outdated && o.leases[service] != nil
	if active || record.Epoch > 0 && !o.suspectedLocked(record.OwnerRecord) {
		delete(o.vacantSince, service)
		return false
	}
	if _, known := o.vacantSince[service]; !known {
		o.vacantSince[service] = now
	}
	return true
}

// claimPlan determines which VM should claim each vacant service, based on this VM's view. It is computed once per
// check, because many services can be vacant at the same time.
type claimPlan struct {
	ranking   *loadRanking
	eligible  []bool
	domains   []string                          // failure domains of the VMs
	inRegion  func(service, domain string) bool // whether a domain comes before others if the preferred one has no VM
	assigned  map[string]string                 // VM by service, assuming that all VMs claim their assigned services at once
	outOfTurn int                               // services that were due although other VMs rank higher
}

// candidateHeap is a heap of the indices of a failure domain's VMs; the first one should own the next service.
type candidateHeap struct {
	*loadRanking
	vms []int
}

func (h *candidateHeap) Len() int           { return len(h.vms) }
func (h *candidateHeap) Less(i, j int) bool { return h.before("", h.vms[i], h.vms[j]) }
func (h *candidateHeap) Swap(i, j int)      { h.vms[i], h.vms[j] = h.vms[j], h.vms[i] }
func (h *candidateHeap) Push(any)           {} // the set of VMs is fixed
func (h *candidateHeap) Pop() any           { return nil }

// assign assigns a VM to each vacant service: one of the service's preferred failure domain, or if that is empty or has no
// eligible VM, one of the region of the primary, or any. VMs with the same view of the fleet compute the same assignment, so many services can be claimed
// at once without two VMs claiming the same one. A fleet of a few hundred VMs starts with a thousand vacant services,
// and each VM computes the plan ten times a second.
func (p *claimPlan) assign(vacant []string, preferredDomain func(service string) string) {
	p.assigned = make(map[string]string, len(vacant))
	heaps := map[string]*candidateHeap{}
	for i, eligible := range p.eligible {
		if !eligible {
			continue
		}
		h := heaps[p.domains[i]]
		if h == nil {
			h = &candidateHeap{loadRanking: p.ranking}
			heaps[p.domains[i]] = h
		}
		h.vms = append(h.vms, i)
	}
	for _, h := range heaps {
		heap.Init(h)
	}
	for _, service := range vacant {
		h := heaps[preferredDomain(service)]
		if h == nil && p.inRegion != nil {
			h = firstOf(heaps, func(domain string) bool { return p.inRegion(service, domain) })
		}
		if h == nil {
			h = firstOf(heaps, func(string) bool { return true })
		}
		if h == nil {
			return
		}
		i := h.vms[0]
		p.assigned[service] = h.names[i]
		h.load[i] += 1 / h.cores[i]
		heap.Fix(h, 0)
	}
}

// firstOf returns the heap of the allowed failure domains whose first VM should own the next service, or nil if there is
// none.
func firstOf(heaps map[string]*candidateHeap, allowed func(domain string) bool) *candidateHeap {
	var first *candidateHeap
	for domain, h := range heaps {
		if !allowed(domain) {
			continue
		}
		if first == nil || h.before("", h.vms[0], first.vms[0]) {
			first = h
		}
	}
	return first
}

// due reports whether a VM should claim a service that has been vacant for the given time. In one check a VM claims
// all services assigned to it, and a few that their assigned VMs have not claimed in time. rank is the VM's rank
// after the assignment.
func (p *claimPlan) due(service, vm string, rank int, vacant time.Duration) bool {
	if p.assigned[service] == vm {
		return true
	}
	if vacant < time.Duration(max(rank, 1))*claimRankDelay || p.outOfTurn >= maxOutOfTurnClaims {
		return false
	}
	p.outOfTurn++
	return true
}

// available reports whether a VM may take a service: its run has not ended, is not about to end, and is not silent. The mutex
// must be held.
func (o *ownership) available(vm directory.VM) bool {
	return !o.ended(vm.RunID()) && o.leaving[vm.Name] != vm.RunID() && !o.d.members.silent(vm.Name)
}

// newClaimPlan ranks the VMs by their load. The mutex must be held.
func (o *ownership) newClaimPlan(v *directory.View) *claimPlan {
	plan := &claimPlan{ranking: newLoadRanking(v)}
	for _, name := range plan.ranking.names {
		plan.eligible = append(plan.eligible, o.available(v.VMs[name]))
		plan.domains = append(plan.domains, v.VMs[name].Domain)
	}
	return plan
}

// claim makes this VM the owner of a service. If another VM owns it, a majority of the voters has to suspect that
// owner.
func (o *ownership) claim(ctx context.Context, service string, record directory.OwnerRecordEntry) {
	sent, responded := false, false
	defer func() {
		o.mu.Lock()
		delete(o.claiming, service)
		o.claimBackoff.record(o.d.clock(), sent, responded)
		o.mu.Unlock()
	}()
	v := o.d.directory.View()
	record.Service = service
	if v.Outdated(record.OwnerRecord) {
		answer := o.majorityKnowsNoOwner(record.OwnerRecord, v.Era)
		if !answer.Suspected {
			return
		}
		record.Epoch = max(record.Epoch, answer.Epoch)
	} else if record.Epoch > 0 && record.Holder.Name != o.d.self.Name {
		answer := o.majoritySuspects(record.OwnerRecord)
		if !answer.Suspected {
			return
		}
		record.LostPredecessors = record.LostPredecessors && !answer.NoneBefore
	}
	o.mu.Lock()
	next := nextRecord(record.OwnerRecord, service, o.d.self.RunID(), v.Era, o.ended)
	o.mu.Unlock()
	o.d.log.Info("claiming service", "service", service, "epoch", next.Epoch, "prior", record.Holder.Name)
	sent = true
	err := o.writeRecord(ctx, next, record.Revision)
	responded = err == nil || errors.Is(err, directory.ErrConflict)
}

// writeRecord updates an owner record in the store and merges the result into the directory.
func (o *ownership) writeRecord(ctx context.Context, record directory.OwnerRecord, revision uint64) error {
	if directory.NumberOf(revision) == 0 {
		revision = 0
	}
	e, err := o.d.deps.Store.PutOwnerRecord(ctx, record, revision)
	if err == nil || errors.Is(err, directory.ErrConflict) {
		o.d.directory.Put(o.d.clock(), directory.Fleet, e)
	}
	if err != nil {
		o.d.log.Warn("owner record not written", "service", record.Service, "epoch", record.Epoch, "error", err)
	}
	return err
}

// majoritySuspects asks the other voters whether they suspect an owner.
func (o *ownership) majoritySuspects(record directory.OwnerRecord) peer.FailureVote {
	own := peer.FailureVote{Suspected: o.voters().Votes(o.d.self.Name), NoneBefore: o.knowsNoneBefore(record)}
	return o.askVoters(peer.FailureQuery{OwnerRecord: record}, own)
}

// majorityKnowsNoOwner asks the voters whether they know of any active owner of a service whose record is outdated. The
// answer holds the latest epoch that they know: the record of an owner that a majority confirmed may be lost, but one of the
// voters knows its epoch.
func (o *ownership) majorityKnowsNoOwner(record directory.OwnerRecord, era uint64) peer.FailureVote {
	query := peer.FailureQuery{OwnerRecord: record, Era: era}
	return o.askVoters(query, o.vote(query))
}

// vote responds to a failure query.
func (o *ownership) vote(q peer.FailureQuery) peer.FailureVote {
	v := o.d.directory.View()
	service := q.OwnerRecord.Service
	if q.OwnerRecord.Era >= max(v.Era, q.Era) {
		return peer.FailureVote{Suspected: o.suspected(q.OwnerRecord), NoneBefore: o.knowsNoneBefore(q.OwnerRecord)}
	}
	now, isVoter := o.d.bootClock(), v.Voters.Votes(o.d.self.Name)
	o.mu.Lock()
	defer o.mu.Unlock()
	return peer.FailureVote{
		Suspected: isVoter && o.voter.NoOwner(now, service, o.ended) && o.silent(now, q.OwnerRecord) &&
			o.silent(now, v.OwnerRecords[service].OwnerRecord),
		Epoch: max(o.voter.Epoch(service), v.OwnerRecords[service].Epoch),
	}
}

// silent reports whether the holder of an owner record has ended or has sent no renewal recently, also none without records.
// The mutex must be held.
func (o *ownership) silent(now time.Duration, record directory.OwnerRecord) bool {
	last := o.lastRunRenewal(record)
	return last == 0 || now-last > lease.SuspectTimeout || o.ended(record.Holder)
}

// askVoters sends a failure query to the other voters and returns whether a majority suspects, with this VM's own vote,
// the latest epoch in the votes, and whether any of them knows of no owner before.
func (o *ownership) askVoters(query peer.FailureQuery, own peer.FailureVote) peer.FailureVote {
	type response struct {
		vm   string
		vote peer.FailureVote
	}
	v := o.d.directory.View()
	voters := v.Voters.Members()
	responses := make(chan response, len(voters))
	asked := 0
	for _, name := range voters {
		if name == o.d.self.Name {
			continue
		}
		l := o.d.peers.LinkOrDial(v.VMs[name].Address)
		if l == nil {
			continue
		}
		asked++
		go func() {
			m, err := l.Call(peer.Message{FailureQuery: &query}, failureQueryTimeout)
			if err != nil || m.FailureVote == nil {
				responses <- response{name, peer.FailureVote{}}
				return
			}
			responses <- response{name, *m.FailureVote}
		}()
	}
	suspects := map[string]bool{o.d.self.Name: own.Suspected}
	majority := func() bool { return v.Voters.Majority(func(vm string) bool { return suspects[vm] }) }
	answer := peer.FailureVote{Epoch: own.Epoch, NoneBefore: own.NoneBefore}
	for range asked {
		if majority() {
			break
		}
		r := <-responses
		answer.Epoch = max(answer.Epoch, r.vote.Epoch)
		answer.NoneBefore = answer.NoneBefore || r.vote.NoneBefore
		suspects[r.vm] = r.vote.Suspected
	}
	answer.Suspected = majority()
	return answer
}

const (
	// handOverCheckInterval is the time between two checks whether a service can be handed over, and handOverRetryInterval
	// the time between two attempts; each is a billed store call.
	handOverCheckInterval = 25 * time.Millisecond
	handOverRetryInterval = 400 * time.Millisecond
)

// handOverAll transfers the services of this VM to other VMs until ctx is done. A service is handed over when the
// transactions that are open now have ended, at the latest after the time transactions: the next owner cannot finish them.
// Until then this VM serves it as before.
func (o *ownership) handOverAll(ctx context.Context, transactions time.Duration) {
	began, attempted := o.d.clock(), map[string]time.Duration{}
	awaited := o.openTransactions()
	for ctx.Err() == nil {
		v, left := o.d.directory.View(), false
		for service, record := range v.OwnerRecords {
			if record.Holder != o.d.self.RunID() {
				continue
			}
			left = true
			now := o.d.clock()
			last, tried := attempted[service]
			wait := now-began < transactions && o.anyOpen(service, awaited[service])
			if wait || tried && now-last < handOverRetryInterval {
				continue
			}
			attempted[service] = now
			o.handOver(ctx, v, record)
		}
		if !left {
			return
		}
		sleep.For(ctx, handOverCheckInterval)
	}
}

// openTransactions returns the open transactions of the services of this VM.
func (o *ownership) openTransactions() map[string][]broker.StreamKey {
	o.mu.Lock()
	brokers := maps.Clone(o.brokers)
	o.mu.Unlock()
	open := map[string][]broker.StreamKey{}
	for service, b := range brokers {
		open[service] = b.OpenTransactions()
	}
	return open
}

// anyOpen reports whether any of the given transactions of a service is still open.
func (o *ownership) anyOpen(service string, transactions []broker.StreamKey) bool {
	b := o.broker(service)
	return b != nil && slices.ContainsFunc(transactions, b.HasTransaction)
}

// handOver transfers a service of this VM to the VM that is preferred as its owner.
func (o *ownership) handOver(ctx context.Context, v *directory.View, record directory.OwnerRecordEntry) {
	o.mu.Lock()
	candidates := o.successors(v, record.Service)
	o.mu.Unlock()
	if len(candidates) == 0 {
		return
	}
	// VMs of the primary's failure domain come first.
	domain := primaryDomain(v, record.Service)
	slices.SortStableFunc(candidates, func(a, b string) int {
		return boolRank(v.VMs[a].Domain != domain) - boolRank(v.VMs[b].Domain != domain)
	})
	o.handOverTo(ctx, record, v.VMs[candidates[0]])
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// successors returns the VMs to which a service of this VM may be handed over, in order of preference. The mutex must be
// held.
func (o *ownership) successors(v *directory.View, service string) []string {
	return preferredVMs(v, service, func(vm directory.VM) bool {
		return vm.Name != o.d.self.Name && o.available(vm)
	})
}

// handOverTo transfers a service of this VM to another VM.
func (o *ownership) handOverTo(ctx context.Context, record directory.OwnerRecordEntry, vm directory.VM) {
	era := o.d.directory.View().Era
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	held := o.leases[record.Service]
	mayBeLost := record.Era < era && (held == nil || !held.Confirmed(now, voters, o.ended))
	// The successor does not wait for reads of the record by earlier owners.
	waits := (record.LostPredecessors || !record.HandedOver && slices.ContainsFunc(record.Predecessors,
		func(run directory.RunID) bool { return !o.ended(run) })) && (held == nil || !held.Valid(now, voters, o.ended))
	next := nextRecord(record.OwnerRecord, record.Service, vm.RunID(), era, o.ended)
	next.LostPredecessors = next.LostPredecessors && (held == nil || !held.NoneBefore(now, voters, o.ended))
	o.mu.Unlock()
	if mayBeLost || waits {
		o.d.log.Info("service not handed over", "service", record.Service, "reason", "an earlier owner may still act")
		return
	}
	next.HandedOver = true
	o.d.log.Info("handing over service", "service", record.Service, "epoch", next.Epoch, "to", next.Holder.Name)
	if err := o.writeRecord(ctx, next, record.Revision); err != nil {
		o.d.log.Warn("service not handed over", "service", record.Service, "error", err)
	}
}
