package machine

import "time"

const (
	// watchHolders is the number of VMs per failure domain that hold a watch on the platform. Two
	// tolerate the failure of one; a watch held by each of 2,100 VMs would use the platform's quota
	// for every change.
	watchHolders = 2
	// watchCandidates is the number of top-ranked VMs per failure domain that check the holders.
	watchCandidates = 6
	// pushPeers is the number of peers that receive a newly learned version. With 4, a change reaches
	// about 98% of the VMs by push alone; Sync reaches the rest.
	pushPeers = 4
	// viewSize is the number of peers, in the own failure domain and in the fleet each, among which a
	// VM chooses for Sync and Push. Calls within a small set reuse connections; with a new peer per
	// call, TLS handshakes would be the largest part of the control bytes. One peer of each set is
	// replaced per viewInterval, so that the sets differ over time.
	viewSize     = 8
	viewInterval = 10 * time.Second
	// maxPushNames is the largest number of objects that are pushed at once. A VM that learns more is
	// catching up, and what it learns is not new to its peers.
	maxPushNames = 32
	// wantTimeout is the time after which an object that was asked for is asked for again. It is the
	// deadline of a call between VMs.
	wantTimeout = time.Second
	// maxWanted bounds the objects that are being waited for.
	maxWanted = 1024
	// retrySuspects is the number of Syncs of which one goes to a suspected VM, if there is one.
	retrySuspects = 4
	// confirmInterval is the time between two checks of a watch holder that the platform answers.
	confirmInterval = 2 * time.Second
	// After staleAfter without confirmation of the configuration a VM makes every fourth Sync with a
	// watch holder of its failure domain, after veryStaleAfter every second one. This keeps VMs that
	// are not cut off below the default of cut_off_after, 10 s.
	staleAfter     = 4 * time.Second
	veryStaleAfter = 5 * time.Second
	// staleUntil ends that preference. A configuration of this age shows that the failure domain is
	// cut off or the platform is down; the holders know no more and must not receive the calls of all.
	staleUntil = 12 * time.Second
	// listEntrySize is the approximate size in bytes of one VM in the platform's list.
	listEntrySize = 130
	// Bytes per second that a watch holder and another VM may spend on the platform's list.
	holderListRate = 4000
	otherListRate  = 2000
	// minListInterval limits the calls of a small fleet.
	minListInterval = 2 * time.Second
	// listRetry is the time until a list call without an answer is repeated.
	listRetry = 5 * time.Second
	// maxReportPeers bounds the VMs that are called because of health reports at one time.
	maxReportPeers = 32
)

// Action is an effect that the caller of Members carries out.
type Action interface{ action() }

// SyncWith asks for a Sync call to a peer. For a seed only the address is known.
type SyncWith struct{ Peer VM }

// PushTo asks for delivery of the current values of the named objects to the peers.
type PushTo struct {
	Peers []VM
	Names []string
}

// ListVMs asks for the platform's list; the answer is passed to Observe.
type ListVMs struct{}

// ConfirmFresh asks for a cheap platform call. If it succeeds while the watch is established,
// Confirmed is called with the start time of the call.
type ConfirmFresh struct{}

// StartWatch asks this VM to hold a watch on the platform.
type StartWatch struct{}

// StopWatch asks this VM to end its watch.
type StopWatch struct{}

func (SyncWith) action()     {}
func (PushTo) action()       {}
func (ListVMs) action()      {}
func (ConfirmFresh) action() {}
func (StartWatch) action()   {}
func (StopWatch) action()    {}

// Tick returns the actions that are due. It is called at least every 100 ms.
func (m *Members) Tick(now time.Duration) []Action {
	var actions []Action
	if now >= m.nextList {
		m.nextList = now + m.listWait()
		actions = append(actions, ListVMs{})
	}
	if now >= m.nextSync {
		m.nextSync = now + syncInterval
		m.expire(now)
		m.expireWanted(now)
		m.refreshViews(now)
		actions = m.tickWatch(actions)
		actions = m.tickSync(now, actions)
	}
	if m.watching && now >= m.nextConfirm {
		m.nextConfirm = now + confirmInterval
		actions = append(actions, ConfirmFresh{})
	}
	return m.tickReports(now, actions)
}

// listInterval spreads the bytes of the platform's list evenly over time.
func (m *Members) listInterval() time.Duration {
	rate := otherListRate
	if m.watching {
		rate = holderListRate
	}
	return max(minListInterval, time.Duration(m.listSize*listEntrySize)*time.Second/time.Duration(rate))
}

// listWait returns the time until the next list call, with jitter of up to a quarter so that VMs
// that started together spread their calls.
func (m *Members) listWait() time.Duration {
	wait := m.listInterval()
	if !m.hasList {
		wait = listRetry
	}
	return wait - time.Duration(m.rng.Int64N(int64(wait)/4))
}

// WatchHolders returns the VMs that hold a watch for a failure domain: the first two by rendezvous
// ranking among its live VMs.
func (m *Members) WatchHolders(domain string) []VM {
	ranked := m.watchRanking(domain, func(v VM) bool { return v.State == Live })
	return ranked[:min(watchHolders, len(ranked))]
}

func (m *Members) watchRanking(domain string, keep func(VM) bool) []VM {
	var candidates []VM
	for _, name := range m.byZone[domain] {
		if vm := m.members[name].view(); keep(vm) {
			candidates = append(candidates, vm)
		}
	}
	return Rank("watch/"+domain, candidates)
}

func (m *Members) tickWatch(actions []Action) []Action {
	hold := false
	// Before the first list arrives, every VM would consider itself a holder.
	for _, vm := range m.WatchHolders(m.self.Domain) {
		hold = hold || (m.hasList && vm.Name == m.self.Name)
	}
	if hold == m.watching {
		return actions
	}
	m.watching = hold
	if hold {
		return append(actions, StartWatch{})
	}
	return append(actions, StopWatch{})
}

// tickSync returns one call to a peer and, on a candidate for the watch, one call to a VM that ranks
// before it, so that the failure of a holder is noticed within a few seconds.
func (m *Members) tickSync(now time.Duration, actions []Action) []Action {
	m.turn++
	if peer, ok := m.syncPeer(now); ok {
		actions = append(actions, SyncWith{peer})
	}
	if peer, ok := m.monitoredPeer(); ok {
		actions = append(actions, SyncWith{peer})
	}
	return actions
}

// syncPeer chooses the sync peer of this second. Every second choice is from the own failure domain,
// so that a cut-off failure domain stays consistent within itself. A VM whose configuration is
// becoming stale prefers the watch holders.
func (m *Members) syncPeer(now time.Duration) (VM, bool) {
	if suspect, ok := m.longestSuspected(); ok && (m.turn%retrySuspects == 0 || !m.hasLivePeer()) {
		return suspect, true
	}
	age, ok := m.FreshAge(now)
	stale := ok && age > staleAfter && age < staleUntil
	if stale && m.prefersHolder(age) {
		holders := m.WatchHolders(m.self.Domain)
		if len(holders) > 0 {
			if vm := holders[m.rng.IntN(len(holders))]; vm.Name != m.self.Name {
				return vm, true
			}
		}
	}
	// While stale, the whole fleet is asked, because both watch holders may have failed.
	if m.turn%2 == 0 && !stale {
		if vm, ok := m.randomPeer(m.nearView, nil); ok {
			return vm, true
		}
	}
	if vm, ok := m.randomPeer(m.wideView, nil); ok {
		return vm, true
	}
	if len(m.seeds) > 0 {
		return VM{Address: m.seeds[m.rng.IntN(len(m.seeds))]}, true
	}
	return VM{}, false
}

// longestSuspected returns the suspected VM that was called the longest time ago. Two VMs that were cut off
// from each other, or of which one was paused, suspect each other and end that only by a call.
func (m *Members) longestSuspected() (VM, bool) {
	var longest *member
	for _, name := range m.order {
		e := m.members[name]
		if e.view().State == Suspected && (longest == nil || e.failed < longest.failed) {
			longest = e
		}
	}
	if longest == nil {
		return VM{}, false
	}
	return longest.view(), true
}

func (m *Members) hasLivePeer() bool {
	for _, name := range m.order {
		if name != m.self.Name && m.members[name].view().State == Live {
			return true
		}
	}
	return false
}

func (m *Members) prefersHolder(age time.Duration) bool {
	if age > veryStaleAfter {
		return m.rng.IntN(2) == 0
	}
	return m.rng.IntN(4) == 0
}

// refreshViews drops peers that are of no use from the two views, replaces the oldest peer of each
// from time to time, and fills them up.
func (m *Members) refreshViews(now time.Duration) {
	if now >= m.nextView {
		m.nextView = now + viewInterval
		m.nearView = m.nearView[min(1, len(m.nearView)):]
		m.wideView = m.wideView[min(1, len(m.wideView)):]
	}
	m.nearView = m.fillView(m.nearView, m.byZone[m.self.Domain])
	m.wideView = m.fillView(m.wideView, m.order)
}

func (m *Members) fillView(view, from []string) []string {
	var kept []VM
	for _, name := range view {
		if e := m.members[name]; e != nil && e.view().State <= Leaving {
			kept = append(kept, e.view())
		}
	}
	for len(kept) < viewSize {
		vm, ok := m.randomPeer(from, kept)
		if !ok {
			break
		}
		kept = append(kept, vm)
	}
	names := make([]string, len(kept))
	for i, vm := range kept {
		names[i] = vm.Name
	}
	return names
}

// randomPeer returns a random VM of the list that is live or leaving and not excluded. It gives up
// after a full scan.
func (m *Members) randomPeer(names []string, exclude []VM) (VM, bool) {
	if len(names) == 0 {
		return VM{}, false
	}
	start := m.rng.IntN(len(names))
	for i := range names {
		e := m.members[names[(start+i)%len(names)]]
		if e == nil {
			continue
		}
		vm := e.view()
		if vm.Name != m.self.Name && vm.State <= Leaving && !containsVM(exclude, vm.Name) {
			return vm, true
		}
	}
	return VM{}, false
}

func containsVM(list []VM, name string) bool {
	for _, vm := range list {
		if vm.Name == name {
			return true
		}
	}
	return false
}

// monitoredPeer returns one of the VMs that rank before this VM among the watch candidates.
func (m *Members) monitoredPeer() (VM, bool) {
	ranked := m.watchRanking(m.self.Domain, func(v VM) bool { return v.State == Live })
	for i, vm := range ranked[:min(watchCandidates, len(ranked))] {
		if vm.Name == m.self.Name && i > 0 {
			return ranked[m.turn%min(i, watchHolders)], true
		}
	}
	return VM{}, false
}

// PushLearned returns the pushes for object versions that this VM has just learned: half of the peers
// are from the own failure domain if it has enough.
func (m *Members) PushLearned(names ...string) []Action {
	if len(names) == 0 || len(names) > maxPushNames {
		return nil
	}
	var peers []VM
	for i := range pushPeers {
		from := m.wideView
		if i < pushPeers/2 {
			from = m.nearView
		}
		vm, ok := m.randomPeer(from, peers)
		if !ok {
			vm, ok = m.randomPeer(m.order, peers)
		}
		if ok {
			peers = append(peers, vm)
		}
	}
	if len(peers) == 0 {
		return nil
	}
	return []Action{PushTo{Peers: peers, Names: names}}
}

// Wanted returns the announced objects that this VM lacks and is not already waiting for, so that a
// large object announced by several peers is transferred once.
func (m *Members) Wanted(now time.Duration, v *Versions, announced []Version) []string {
	var names []string
	for _, a := range announced {
		w := m.wanted[a.Name]
		waiting := w.version >= a.Version && now-w.since < wantTimeout
		if a.Version <= v.Get(a.Name) || waiting || len(m.wanted) >= maxWanted {
			continue
		}
		m.wanted[a.Name] = wantedObject{version: a.Version, since: now}
		names = append(names, a.Name)
	}
	return names
}

// expireWanted forgets objects that did not arrive or have been stored.
func (m *Members) expireWanted(now time.Duration) {
	for name, w := range m.wanted {
		if now-w.since >= wantTimeout {
			delete(m.wanted, name)
		}
	}
}
