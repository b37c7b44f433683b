package grant

import (
	"maps"
	"math/rand"
	"slices"
	"time"
)

const (
	// PollInterval is the maximum time between two calls of Poll. Loans are planned this often.
	PollInterval = 10 * time.Millisecond
	// minPlanInterval is the minimum time between two plans, however many requests are refused.
	minPlanInterval = 5 * time.Millisecond
	// responseTimeout is how long a loan request counts as outstanding. A response that arrives
	// later is ignored if a further request has been sent.
	responseTimeout = 100 * time.Millisecond
	// renewBefore is the remaining lifetime at which a loan is renewed. It leaves time for several
	// lost responses.
	renewBefore = LoanLifetime / 2
	// routineInterval is the time between two requests to the same lender that are not urgent.
	routineInterval = 200 * time.Millisecond
	// retryInterval is the time between two requests to a lender that had nothing to lend.
	retryInterval = 400 * time.Millisecond
	// hintLifetime is how long the spare share reported by a lender, and the observation that a
	// workspace is contested, remain valid.
	hintLifetime = 500 * time.Millisecond
	// borrowerLifetime is how long a borrower's demand counts after its latest request. It exceeds
	// the time between two renewals.
	borrowerLifetime = LoanLifetime * 3 / 4
	// unreachableDelay is the time without requests to a lender that could not be reached.
	unreachableDelay = 250 * time.Millisecond

	// peerRate and peerBurst limit the messages to one VM, messageRate and messageBurst those to
	// all VMs. One message carries the loan requests of all workspaces.
	peerRate     = 5.0 // per second
	peerBurst    = 5.0
	messageRate  = 40.0 // per second
	messageBurst = 32.0

	// tokenHorizon is how far ahead a VM checks whether its tokens run out. A deficit of share that
	// the tokens cover for longer than this is ignored.
	tokenHorizon = time.Second

	// borrowWait is the wait proposed to a request that needs a loan first.
	borrowWait = 5 * time.Millisecond
)

const (
	requestFactor    = 1.3 // share requested, relative to the demand
	returnFactor     = 2.0 // share, relative to the demand, above which the excess is returned early
	reserveFactor    = 1.5 // share that a lender reserves for itself, relative to its demand
	ratioTolerance   = 1.1 // tolerated excess over the fair ratio of share to demand
	underservedRatio = 0.95
	minFreeShare     = FullShare / 128 // free share above which a lender recalls an underserved borrower
	minRecallScale   = 0.5             // minimum part of a loan that remains after one recall
)

// Peer is another VM and its failure domain.
type Peer struct {
	Run    RunID
	Domain string
}

// Manager holds the accounts of all workspaces of one VM and moves shares to where the demand is.
type Manager struct {
	self          RunID
	domain        string
	rng           *rand.Rand
	rules         safetyRules
	workspaces    map[string]*workspaceState
	removed       map[string]*workspaceState // no longer configured
	names         []string                   // of workspaces, sorted
	owners        map[string]Owners
	releasedSlots map[string]uint64 // owners version up to which a released slot is not taken back, by slot name
	peers         map[RunID]*peerState
	messages      messageBucket
	stats         Stats
	// plannedAt and nextPlanAt are the times of the latest and of the next plan.
	plannedAt, nextPlanAt time.Duration
}

// schedulePlan brings the next plan forward. All workspaces are planned together, so that one
// message carries the loan requests of all.
func (m *Manager) schedulePlan() { m.nextPlanAt = min(m.nextPlanAt, m.plannedAt+minPlanInterval) }

// Stats are counters since the start of the manager.
type Stats struct {
	Requests, Replies int64 // borrow requests sent as a borrower, and replies sent as a lender
	LoanRequests      int64 // loan requests sent
	Admitted, Refused int64 // attempts to admit requests
}

// workspaceState is a workspace on this VM.
type workspaceState struct {
	name      string
	account   *Account
	demand    demand
	lenders   map[RunID]*lenderState
	borrowers map[RunID]*borrowerState
	// contestedUntil is set when a borrower could not get the share that it needs.
	contestedUntil time.Duration
}

// lenderState is what a borrower knows of one lender.
type lenderState struct {
	requestedAt     time.Duration
	outstanding     bool
	spareShare      Share
	spareAt         time.Duration
	spareKnown      bool // the lender has reported spareShare
	recalled        bool // the lender wants the loan to be renewed or reduced now
	retainLimit     Share
	returnRequested bool // the lender wants the share above retainLimit back
}

// borrowerState is what a lender knows of one borrower.
type borrowerState struct {
	demandShare, otherShare Share // otherShare excludes what this VM lends
	tokensLow               bool
	requestedAt             time.Duration
	recalledAt              time.Duration
}

// peerState is a peer with its message bucket.
type peerState struct {
	Peer
	messages   messageBucket
	notBefore  time.Duration
	ownedShare Share // owned share of every workspace
}

// messageBucket is a token bucket for messages.
type messageBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// take takes one message from the bucket and reports whether there was one.
func (b *messageBucket) take(now time.Duration, rate, burst float64) bool {
	b.tokens = min(burst, b.tokens+rate*max(now-b.updatedAt, 0).Seconds())
	b.updatedAt = max(b.updatedAt, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewManager returns a manager without workspaces, owners or peers. rng orders equivalent lenders,
// so that the VMs of a fleet do not all ask the same one.
func NewManager(self RunID, domain string, rng *rand.Rand) *Manager {
	return &Manager{
		self:          self,
		domain:        domain,
		rng:           rng,
		rules:         defaultRules,
		workspaces:    map[string]*workspaceState{},
		removed:       map[string]*workspaceState{},
		owners:        map[string]Owners{},
		releasedSlots: map[string]uint64{},
		peers:         map[RunID]*peerState{},
		messages:      messageBucket{tokens: messageBurst},
	}
}

// SetWorkspace adds a workspace or changes its rate (requests per second) and burst (requests).
func (m *Manager) SetWorkspace(now time.Duration, name string, rate, burst float64) {
	if w := m.workspaces[name]; w != nil {
		w.account.SetLimit(now, rate, burst)
		return
	}
	w := m.removed[name]
	if w == nil {
		w = m.newWorkspaceState(now, name)
	}
	delete(m.removed, name)
	w.account.SetLimit(now, rate, burst)
	m.workspaces[name] = w
	if i, found := slices.BinarySearch(m.names, name); !found {
		m.names = slices.Insert(m.names, i, name)
	}
	w.account.SetOwned(now, m.ownedSlots())
}

// newWorkspaceState returns a workspace without rate and share.
func (m *Manager) newWorkspaceState(now time.Duration, name string) *workspaceState {
	w := &workspaceState{
		name:      name,
		account:   NewAccount(name, m.self, now, 0, 0),
		demand:    newDemand(),
		lenders:   map[RunID]*lenderState{},
		borrowers: map[RunID]*borrowerState{},
	}
	w.account.rules = m.rules
	return w
}

// RemoveWorkspace stops admitting requests of a workspace and lending its share. The account is
// kept, because the sequence numbers of its loan requests must not start again in the same
// incarnation.
func (m *Manager) RemoveWorkspace(now time.Duration, name string) {
	w := m.workspaces[name]
	if w == nil {
		return
	}
	w.account.SetLimit(now, 0, 0)
	w.account.SetOwned(now, nil)
	m.removed[name] = w
	delete(m.workspaces, name)
	if i, found := slices.BinarySearch(m.names, name); found {
		m.names = slices.Delete(m.names, i, i+1)
	}
}

// SetOwners applies a version of an owners object and reports whether it is newer than the known
// one.
func (m *Manager) SetOwners(now time.Duration, o Owners) bool {
	known, ok := m.owners[o.Domain]
	if ok && o.Version <= known.Version {
		return false
	}
	m.owners[o.Domain] = o
	m.applyOwners(now)
	return true
}

// Release releases all slots of this VM before the owners objects name other holders, for example
// when the VM is shutting down. The slots come back only with a later version that names this VM.
func (m *Manager) Release(now time.Duration) {
	for _, o := range m.owners {
		for name := range o.slotsHeldBy(m.self) {
			m.releasedSlots[name] = o.Version
		}
	}
	m.applyOwners(now)
}

// applyOwners passes the owned slots to the accounts and updates the owned shares of the peers.
func (m *Manager) applyOwners(now time.Duration) {
	owned := m.ownedSlots()
	for _, name := range m.names {
		m.workspaces[name].account.SetOwned(now, owned)
	}
	for _, p := range m.peers {
		p.ownedShare = m.ownedShare(p.Run)
	}
}

// ownedSlots returns the slots of this VM in all failure domains.
func (m *Manager) ownedSlots() map[string]Share {
	owned := map[string]Share{}
	for _, o := range m.owners {
		for name, share := range o.slotsHeldBy(m.self) {
			if version, ok := m.releasedSlots[name]; ok && o.Version <= version {
				continue
			}
			owned[name] = share
		}
	}
	return owned
}

// ownedShare returns the share that vm owns.
func (m *Manager) ownedShare(vm RunID) Share {
	sum := Share(0)
	for _, o := range m.owners {
		for _, holder := range o.Slots {
			if holder == vm {
				sum += o.SlotShare()
			}
		}
	}
	return sum
}

// SetPeers replaces the VMs that may be asked for loans. The VM itself is left out.
func (m *Manager) SetPeers(peers []Peer) {
	next := map[RunID]*peerState{}
	for _, p := range peers {
		if p.Run == m.self {
			continue
		}
		known := m.peers[p.Run]
		if known == nil {
			known = &peerState{messages: messageBucket{tokens: peerBurst}}
		}
		known.Peer = p
		known.ownedShare = m.ownedShare(p.Run)
		next[p.Run] = known
	}
	m.peers = next
	for _, w := range m.workspaces {
		maps.DeleteFunc(w.lenders, func(vm RunID, _ *lenderState) bool { return next[vm] == nil })
	}
}

// Admit decides whether n new requests of a workspace are admitted. If not, wait is the time after
// which RetryAdmit may succeed. known is false if the workspace does not exist. After a refusal the
// caller should call Poll, which may request a loan at once.
func (m *Manager) Admit(now time.Duration, workspace string, n int64) (ok bool, wait time.Duration, known bool) {
	w := m.workspaces[workspace]
	if w == nil {
		return false, NeverAdmitted, false
	}
	w.demand.add(now, float64(n))
	ok, wait = m.admit(now, w, n)
	return ok, wait, true
}

// RetryAdmit repeats the attempt to admit requests that were refused and have waited. They do not
// count as new demand.
func (m *Manager) RetryAdmit(now time.Duration, workspace string, n int64) (ok bool, wait time.Duration, known bool) {
	w := m.workspaces[workspace]
	if w == nil {
		return false, NeverAdmitted, false
	}
	ok, wait = m.admit(now, w, n)
	return ok, wait, true
}

// admit takes the tokens from the account or proposes a wait.
func (m *Manager) admit(now time.Duration, w *workspaceState, n int64) (bool, time.Duration) {
	ok, wait := w.account.Admit(now, n)
	if ok {
		m.stats.Admitted++
		return true, 0
	}
	m.stats.Refused++
	m.schedulePlan()
	if n*MicroTokensPerToken > w.account.burst {
		return false, NeverAdmitted
	}
	if w.account.Share(now) < m.demandShare(now, w) {
		wait = min(wait, borrowWait)
	}
	return false, wait
}

// Stats returns the counters.
func (m *Manager) Stats() Stats { return m.stats }

// Share returns the share of a workspace in use at now.
func (m *Manager) Share(now time.Duration, workspace string) Share {
	if w := m.workspaces[workspace]; w != nil {
		return w.account.Share(now)
	}
	return 0
}

// demandShare returns the share that matches the demand for w, at least enough for one request.
func (m *Manager) demandShare(now time.Duration, w *workspaceState) Share {
	perSecond := w.demand.value(now)
	a := w.account
	if perSecond < minDemand || a.rate == 0 || a.burst < MicroTokensPerToken {
		return 0
	}
	share := perSecond * float64(MicroTokensPerToken) / float64(a.rate) * float64(FullShare)
	minShare := (int64(FullShare)*MicroTokensPerToken + a.burst - 1) / a.burst
	return Share(min(max(share, float64(minShare)), float64(FullShare)))
}

// tokensLow reports whether the share is below the demand and the tokens cover the difference for
// less than tokenHorizon.
func (m *Manager) tokensLow(now time.Duration, w *workspaceState) bool {
	a := w.account
	missing := m.demandShare(now, w) - a.Share(now)
	if missing <= 0 {
		return false
	}
	perSecond := mulDiv(a.rate, int64(missing), int64(FullShare))
	return a.tokens < MicroTokensPerToken+mulDiv(perSecond, int64(tokenHorizon), int64(time.Second))
}
