package entryvm

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/membership"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/sleep"
)

const (
	// firstVotersDelay is the time after startup during which VMs discover each other before the first configuration of the
	// voters is written; claims follow at startupClaimDelay.
	firstVotersDelay = 800 * time.Millisecond
	// firstVotersRankDelay and standInRankDelay are the additional delays of each following VM.
	firstVotersRankDelay = 100 * time.Millisecond
	standInRankDelay     = 250 * time.Millisecond
	// standInDelay is the time without a promotion coordinator after which other VMs change the voters.
	standInDelay = 1500 * time.Millisecond
	maxRank      = 20
	// presencePollInterval is the time between two polls by a VM that does not renew leases with the voters.
	presencePollInterval = 300 * time.Millisecond
	presenceQueryTimeout = 300 * time.Millisecond
	// heardByOthers is the age up to which another VM's contact with a silent voter counts against its replacement.
	heardByOthers = 1500 * time.Millisecond
	// vetoTime is the time until a change that another VM contradicts is looked at again.
	vetoTime = time.Second
	// announceVotersTime is how long renewals carry a new configuration.
	announceVotersTime = 2 * time.Second
	// confirmInterval is the time between two listings of the fleet by a VM that may not vote yet.
	confirmInterval = time.Second
	// otherSilence is the silence after which a VM that does not vote takes no services; it is polled every 0.8 s.
	otherSilence = 2 * time.Second
	// removalInterval is the time between two checks for VMs that are gone.
	removalInterval = 5 * time.Second
	// promiseTime is how long a promise of a voter can last on a clock that runs 1% slower.
	promiseTime = lease.TTL + lease.SafetyMargin
)

// members watches which VMs of the fleet are there. The promotion coordinator, or the next VM if there is none, replaces
// voters that are silent and removes the records of VMs that are gone.
type members struct {
	d  *Daemon
	mu sync.Mutex // never held during a call to the ownership, whose mutex may be held during calls to members
	// voter is this run as a voter. listed is set once this run has listed the fleet in the store with its own record,
	// listedEra is the era then. retired is set once it votes no more.
	voter     membership.Voter
	listed    bool
	listedEra uint64
	listedAt  time.Duration
	retired   bool
	// knownElsewhere is set once another VM has reported a configuration of the voters. The store may have lost it; a first
	// one would then replace it without a joint configuration.
	knownElsewhere atomic.Bool
	presence       *membership.Presence
	learned        time.Duration // when this VM learned of the present voters
	changing       bool
	backoff        claimBackoff
	vetoUntil      time.Duration
	// uncoordinatedSince is since when this VM has not heard from a promotion coordinator; 0 if it has.
	uncoordinatedSince time.Duration
	polledAt           time.Duration
	checkedGoneAt      time.Duration
	removed            map[directory.RunID]bool
	silentVMs          map[string]bool      // reported as silent
	seen               map[string]firstSeen // by VM
	removals           []Removal            // latest last
	number, size       metrics.Gauge
	silentCount        metrics.Gauge
	changes, vmsGone   metrics.Counter
}

func newMembers(d *Daemon) *members {
	return &members{d: d, presence: membership.NewPresence(), listedAt: d.bootClock(), removed: map[directory.RunID]bool{}, silentVMs: map[string]bool{},
		number:      metrics.GetOrRegisterGauge("voters.number", d.registry),
		silentCount: metrics.GetOrRegisterGauge("vms.silent", d.registry),
		size:        metrics.GetOrRegisterGauge("voters.size", d.registry),
		changes:     metrics.GetOrRegisterCounter("voters.changes", d.registry),
		vmsGone:     metrics.GetOrRegisterCounter("vms.removed", d.registry)}
}

// run changes the voters and removes VMs that are gone while that is this VM's duty.
func (m *members) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.For(ctx, checkInterval)
		v := m.d.directory.View()
		if v.Configuration == nil || m.d.leaving.Load() {
			continue
		}
		m.check(ctx, v, m.d.bootClock())
	}
	return nil
}

// check does what is due.
func (m *members) check(ctx context.Context, v *directory.View, now time.Duration) {
	coordinates := m.coordinates()
	missing := !coordinates && m.coordinatorMissing(v)
	m.mu.Lock()
	m.presence.Answered(now, m.d.self.Name, membership.Report{Incarnation: m.d.self.Incarnation,
		Number: v.Voters.Number, Confirmed: m.confirmed(v)})
	m.recordRemoved(v, now)
	switch {
	case !missing:
		m.uncoordinatedSince = 0
	case m.uncoordinatedSince == 0:
		m.uncoordinatedSince = now
	}
	uncoordinated := now - m.uncoordinatedSince
	confirmed := m.voter.Confirmed()
	m.mu.Unlock()
	if !confirmed {
		m.listAgain(ctx, now)
	}
	standsIn := missing && m.standsIn(v, uncoordinated)
	// Voters poll while there is no coordinator, so that they know which ones are silent when they have to stand in.
	if v.Voters.Number > 0 && (standsIn || missing && v.Voters.Votes(m.d.self.Name) || !confirmed) {
		m.poll(v, now)
	}
	if coordinates || standsIn {
		m.changeVoters(ctx, v, now)
	}
	if coordinates {
		m.reportSilence(v, now)
		m.removeGone(ctx, v, now)
	}
}

// reportSilence logs which VMs have fallen silent, and which are heard from again.
func (m *members) reportSilence(v *directory.View, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.silentVMs {
		if _, known := v.VMs[name]; !known {
			delete(m.silentVMs, name)
		}
	}
	for name := range v.VMs {
		silence := m.presence.Silence(now, name)
		switch reported := m.silentVMs[name]; {
		case silence > otherSilence && !reported:
			m.silentVMs[name] = true
			m.d.log.Info("VM is silent", "vm", name, "for", silence, "voter", v.Voters.Votes(name))
		case silence == 0 && reported:
			delete(m.silentVMs, name)
			m.d.log.Info("VM is heard from again", "vm", name)
		}
	}
	m.silentCount.Update(int64(len(m.silentVMs)))
}

// coordinates reports whether this VM is the promotion coordinator.
func (m *members) coordinates() bool {
	record, ok := coordinatorRecord(m.d.directory.View())
	return ok && record.Holder == m.d.self.RunID() && m.d.ownership.Valid(record.Service)
}

// coordinatorMissing reports whether no promotion coordinator is heard from.
func (m *members) coordinatorMissing(v *directory.View) bool {
	record, ok := coordinatorRecord(v)
	return !ok || record.Holder == m.d.self.RunID() || !m.d.ownership.heardWithin(record.OwnerRecord, m.d.router.maxSilence())
}

// standsIn reports whether this VM acts in place of a promotion coordinator that has been missing for the given time: the
// voters in their order, then others. The first configuration is written soon after the start.
func (m *members) standsIn(v *directory.View, missing time.Duration) bool {
	rank := slices.Index(v.Voters.Members(), m.d.self.Name)
	if rank < 0 {
		rank = len(v.Voters.Members()) + max(slices.Index(v.ByCores, m.d.self.Name), 0)
	}
	rank = min(rank, maxRank)
	if v.Voters.Number == 0 {
		return !m.knownElsewhere.Load() && m.d.clock() >= firstVotersDelay+time.Duration(rank)*firstVotersRankDelay
	}
	return missing >= standInDelay+time.Duration(rank)*standInRankDelay
}

// changeVoters writes the next configuration of the voters if a change is due.
func (m *members) changeVoters(ctx context.Context, v *directory.View, now time.Duration) {
	change, due := m.next(v, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !due || m.changing || now < m.vetoUntil || !m.backoff.allow(m.d.clock()) {
		return
	}
	m.changing = true
	go m.write(ctx, v, change)
}

// next returns the change of the voters that is due.
func (m *members) next(v *directory.View, now time.Duration) (membership.Change, bool) {
	candidates := m.candidates(v)
	m.mu.Lock()
	defer m.mu.Unlock()
	return membership.Situation{
		Now: now, Era: v.Era, Current: v.Voters.Configuration, Learned: m.learned, Candidates: candidates,
		Domain:   func(vm string) string { return v.VMs[vm].Domain },
		Presence: m.presence, PromiseTime: promiseTime,
	}.Next()
}

// candidates returns the VMs that may vote, in order of preference.
func (m *members) candidates(v *directory.View) []string {
	o := m.d.ownership
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(v.ByCores), func(name string) bool { return !o.available(v.VMs[name]) })
}

// write writes a configuration unless another VM still hears from a voter that it removes.
func (m *members) write(ctx context.Context, v *directory.View, change membership.Change) {
	sent, responded := false, false
	defer func() {
		m.mu.Lock()
		m.changing = false
		m.backoff.record(m.d.clock(), sent, responded)
		m.mu.Unlock()
	}()
	if by, heard := m.heardByOthers(v, change.Removed); heard != "" {
		m.d.log.Info("voter not replaced", "vm", heard, "reason", "another VM hears from it", "by", by)
		m.mu.Lock()
		m.vetoUntil = m.d.bootClock() + vetoTime
		m.mu.Unlock()
		return
	}
	if v.Voters.Number == 0 {
		// VMs that start together do not know each other yet.
		if !m.listFleet(ctx) {
			return
		}
		var due bool
		v = m.d.directory.View()
		if change, due = m.next(v, m.d.bootClock()); !due || v.Voters.Number > 0 || !m.standsIn(v, 0) {
			return
		}
	}
	m.d.log.Info("changing voters", "number", change.Next.Number, "before", v.Voters.Number, "reason", change.Reason,
		"voters", change.Next.Voters, "outgoing", change.Next.Outgoing, "silent", change.Removed)
	sent = true
	e, err := m.d.deps.Store.PutVoters(ctx, change.Next, v.Voters.Revision)
	responded = err == nil || errors.Is(err, directory.ErrConflict)
	if responded {
		m.d.directory.Put(m.d.clock(), directory.Fleet, e)
	}
	if err != nil {
		m.d.log.Warn("voters not written", "number", change.Next.Number, "error", err)
		return
	}
	m.changes.Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vetoUntil = m.d.bootClock() + vetoTime // until the store has reported it
	for _, vm := range change.Removed {
		m.recordRemoval(vm, fmt.Sprintf("votes no more since configuration %d: silent", change.Next.Number))
	}
}

// listFleet lists the fleet in the store.
func (m *members) listFleet(ctx context.Context) bool {
	l, err := m.d.deps.Store.List(ctx, directory.Fleet)
	if err != nil {
		m.d.log.Warn("fleet not listed", "error", err)
		return false
	}
	m.d.directory.Replace(m.d.clock(), l)
	m.fleetListed(l)
	return true
}

// listAgain lists the fleet from time to time until the store has the record of this run.
func (m *members) listAgain(ctx context.Context, now time.Duration) {
	m.mu.Lock()
	due := !m.listed && now-m.listedAt >= confirmInterval
	if due {
		m.listedAt = now
	}
	m.mu.Unlock()
	if due {
		go m.listFleet(ctx)
	}
}

// recordRemoved records the voters whose records the store no longer holds since the present configuration. A run removes its
// record when it votes no more, and registers before it votes. After a return of the store from an older copy a record may be
// missing for another reason. The mutex must be held.
func (m *members) recordRemoved(v *directory.View, now time.Duration) {
	if v.Era > 0 || v.Revisions[directory.Fleet] < v.Voters.Revision {
		return
	}
	for _, vm := range v.Voters.Members() {
		if _, registered := v.VMs[vm]; !registered {
			m.presence.Refused(now, vm)
		}
	}
}

// retire ends this run's part in votes, before it removes its record.
func (m *members) retire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retired = true
}

// heardByOthers asks the voters whether they have heard from one of the given VMs recently.
func (m *members) heardByOthers(v *directory.View, vms []string) (by, heard string) {
	if len(vms) == 0 {
		return "", ""
	}
	for by, report := range m.query(v, peer.PresenceQuery{VMs: vms}) {
		if slices.Contains(vms, by) {
			return m.d.self.Name, by
		}
		if len(report.Heard) > 0 {
			return by, report.Heard[0]
		}
	}
	return "", ""
}

// poll asks the voters for what they know, every presencePollInterval.
func (m *members) poll(v *directory.View, now time.Duration) {
	m.mu.Lock()
	due := now-m.polledAt >= presencePollInterval
	if due {
		m.polledAt = now
	}
	m.mu.Unlock()
	if due {
		m.polled(v, false)
		go m.confirmByMajority(v, m.query(v, peer.PresenceQuery{}))
	}
}

// query sends a query to all other voters and returns the responses.
func (m *members) query(v *directory.View, q peer.PresenceQuery) map[string]peer.PresenceReport {
	var wait sync.WaitGroup
	var mu sync.Mutex
	reports := map[string]peer.PresenceReport{}
	for _, name := range v.Voters.Members() {
		if name == m.d.self.Name || v.VMs[name].Address == "" {
			continue
		}
		l := m.d.peers.LinkOrDial(v.VMs[name].Address)
		if l == nil {
			continue
		}
		wait.Go(func() {
			response, err := l.Call(peer.Message{PresenceQuery: &q}, presenceQueryTimeout)
			if err != nil || response.PresenceReport == nil {
				return
			}
			m.answered(l, response.PresenceReport.State)
			mu.Lock()
			defer mu.Unlock()
			reports[name] = *response.PresenceReport
		})
	}
	wait.Wait()
	return reports
}

// report answers a query of another VM.
func (m *members) report(q peer.PresenceQuery) peer.PresenceReport {
	v, now := m.d.directory.View(), m.d.bootClock()
	m.mu.Lock()
	defer m.mu.Unlock()
	r := peer.PresenceReport{State: peer.MemberState{Number: v.Voters.Number, Confirmed: m.confirmed(v)}}
	for _, vm := range q.VMs {
		if vm != m.d.self.Name && m.presence.HeardWithin(now, vm, heardByOthers) {
			r.Heard = append(r.Heard, vm)
		}
	}
	return r
}

// state returns what this VM knows of the voters.
func (m *members) state() peer.MemberState {
	v := m.d.directory.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	return peer.MemberState{Number: v.Voters.Number, Confirmed: m.confirmed(v)}
}

// accepts reports whether this VM may vote for an owner that acts under a configuration of the voters.
func (m *members) accepts(number uint64) bool {
	v := m.d.directory.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed(v) && m.voter.Accepts(v.Voters.Configuration, number)
}

// confirmed reports whether this run votes. A run that has listed the fleet itself knows what was in force then; a listing of
// an older copy of the store counts only once the voters have been written again. The mutex must be held.
func (m *members) confirmed(v *directory.View) bool {
	if m.listed && v.Voters.Number > 0 && v.Voters.Era >= m.listedEra {
		m.voter.Confirm()
	}
	return m.voter.Confirmed() && !m.retired
}

// confirmByMajority lets this run vote if a majority of confirmed voters knows of no later configuration. Others take a VM
// without a record for one that has left.
func (m *members) confirmByMajority(v *directory.View, reports map[string]peer.PresenceReport) {
	agrees := func(vm string) bool {
		r, ok := reports[vm]
		return ok && r.State.Confirmed && r.State.Number <= v.Voters.Number
	}
	if _, recorded := v.VMs[m.d.self.Name]; !recorded || !v.Voters.Majority(agrees) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.voter.Confirmed() {
		m.d.log.Info("vote confirmed by a majority", "number", v.Voters.Number)
		m.voter.Confirm()
	}
}

// fleetListed records that this run has listed the fleet in the store. Without its own record the listing counts for nothing:
// others may take this VM for one that has left.
func (m *members) fleetListed(l directory.Listing) {
	listsSelf := slices.ContainsFunc(l.Entries, func(e directory.Entry) bool {
		return e.VM != nil && e.VM.RunID() == m.d.self.RunID()
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listedAt = m.d.bootClock()
	if listsSelf {
		m.listed, m.listedEra = true, directory.EraOf(l.Revision)
	}
}

// votersChanged records that this VM has learned of another configuration of the voters.
func (m *members) votersChanged(voters directory.VotersEntry) {
	m.d.log.Info("voters", "number", voters.Number, "voters", voters.Voters, "outgoing", voters.Outgoing, "era", voters.Era,
		"revision", voters.Revision)
	m.number.Update(int64(voters.Number))
	m.size.Update(int64(len(voters.Voters)))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learned = m.d.bootClock()
	m.presence.ConfigurationChanged()
}

// othersKnow records the number of the configuration of the voters that another VM knows.
func (m *members) othersKnow(number uint64) {
	if number == 0 || m.knownElsewhere.Swap(true) {
		return
	}
	if m.d.directory.View().Voters.Number == 0 {
		m.d.log.Info("voters are known to another VM; waiting for them", "number", number)
	}
}

// announced returns the configuration that renewals carry, nil if it is neither new nor missing in the store.
func (m *members) announced(v *directory.View) *directory.VotersEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	if lost := v.Voters.Number > 0 && directory.NumberOf(v.Voters.Revision) == 0; lost || m.d.bootClock()-m.learned <= announceVotersTime {
		return &v.Voters
	}
	return nil
}

// polled records that the voters, and if all is set the other VMs as well, were sent a message that they have to answer.
func (m *members) polled(v *directory.View, all bool) {
	now := m.d.bootClock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.presence.BeginPoll(now)
	for _, vm := range v.Voters.Members() {
		m.presence.Polled(now, vm)
	}
	if all {
		for vm := range v.VMs {
			m.presence.Polled(now, vm)
		}
	}
	m.presence.Heard(now, m.d.self.Name)
}

// silent reports whether a VM has left this one's polls unanswered. VMs that do not vote are polled by the coordinator only, but
// a voter that was replaced for its silence stays silent until it is heard from.
func (m *members) silent(vm string) bool {
	limit := otherSilence
	if m.d.directory.View().Voters.Votes(vm) {
		limit = lease.SuspectTimeout
	}
	now := m.d.bootClock()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.presence.Silence(now, vm) > limit
}

// heard records a message from a VM that is not an answer.
func (m *members) heard(vm string) {
	now := m.d.bootClock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.presence.Heard(now, vm)
}

// answered records the answer of a VM.
func (m *members) answered(l *peer.Link, state peer.MemberState) {
	now, run := m.d.bootClock(), l.Remote().RunID()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.presence.Answered(now, run.Name, membership.Report{Incarnation: run.Incarnation, Number: state.Number, Confirmed: state.Confirmed})
}

// refused records that no process listens at the address of a VM.
func (m *members) refused(address string) {
	now := m.d.bootClock()
	for name, vm := range m.d.directory.View().VMs {
		if vm.Address == address {
			m.mu.Lock()
			m.presence.Refused(now, name)
			m.mu.Unlock()
		}
	}
}

// removeGone removes the records of VMs that are gone.
func (m *members) removeGone(ctx context.Context, v *directory.View, now time.Duration) {
	holders := map[string]bool{m.d.self.Name: true}
	for _, record := range v.OwnerRecords {
		holders[record.Holder.Name] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if now-m.checkedGoneAt < removalInterval {
		return
	}
	m.checkedGoneAt = now
	for name, vm := range v.VMs {
		silence := m.presence.Silence(now, name)
		if silence <= membership.GoneAfter || holders[name] || v.Voters.Votes(name) || m.removed[vm.RunID()] {
			continue
		}
		m.removed[vm.RunID()] = true
		go m.remove(ctx, v, vm, silence)
	}
}

// remove removes the record of a VM unless another one hears from it.
func (m *members) remove(ctx context.Context, v *directory.View, vm directory.VM, silence time.Duration) {
	by, heard := m.heardByOthers(v, []string{vm.Name})
	var err error
	if heard == "" {
		m.d.log.Info("removing the record of a VM that is gone", "vm", vm.Name, "address", vm.Address, "silent_for", silence)
		err = m.d.deps.Store.DeleteVM(ctx, vm.Name)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case heard != "":
		m.d.log.Info("VM not removed", "vm", vm.Name, "reason", "another VM hears from it", "by", by)
		delete(m.removed, vm.RunID())
	case err != nil:
		m.d.log.Warn("record of a VM that is gone was not removed", "vm", vm.Name, "error", err)
		delete(m.removed, vm.RunID())
	default:
		m.vmsGone.Inc(1)
		m.recordRemoval(vm.Name, fmt.Sprintf("record removed: silent for %s", silence.Round(time.Second)))
		m.presence.Forget(vm.Name)
	}
}
