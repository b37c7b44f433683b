package grant

import (
	"maps"
	"math/rand"
	"slices"
	"time"
)

const (
	// PollInterval is the longest time between two calls of Poll. Loans are planned this often.
	PollInterval = 10 * time.Millisecond
	// urgentInterval is the least time between two plans, however many requests are refused.
	urgentInterval = 5 * time.Millisecond
	// askTimeout is how long an ask counts as outstanding. An answer that arrives later is ignored
	// if a further ask has been sent.
	askTimeout = 100 * time.Millisecond
	// renewBefore is the remaining lifetime at which a loan is renewed. It leaves room for several
	// lost answers.
	renewBefore = LoanLifetime / 2
	// reviewInterval is the time between two asks to the same lender that are not urgent.
	reviewInterval = 200 * time.Millisecond
	// retryInterval is the time between two asks to a lender that had nothing to lend.
	retryInterval = 400 * time.Millisecond
	// hintLifetime is how long the spare share reported by a lender is believed.
	hintLifetime = 500 * time.Millisecond
	// claimLifetime is how long a borrower's demand counts after its last ask. It exceeds the time
	// between two renewals.
	claimLifetime = LoanLifetime * 3 / 4
	// failureDelay is the time without asks to a lender that could not be reached.
	failureDelay = 250 * time.Millisecond

	// peerRate and peerBurst bound the messages to one VM, messageRate and messageBurst those to
	// all VMs. One message carries the asks of all workspaces.
	peerRate     = 5.0 // per second
	peerBurst    = 5.0
	messageRate  = 40.0 // per second
	messageBurst = 32.0

	// horizon is how far ahead a VM looks for the end of its tokens. A deficit of share that the
	// tokens cover for longer than this is left alone.
	horizon = time.Second

	// borrowWait is the wait proposed to a request that needs a loan first.
	borrowWait = 5 * time.Millisecond
)

const (
	headroom    = 1.3 // share asked for, relative to the need
	surplus     = 2.0 // share, relative to the need, above which the excess is returned early
	maxKeep     = 1.5 // share that a lender keeps for itself, relative to its need
	unevenness  = 1.1 // tolerated excess over the common ratio of share to need
	shortRatio  = 0.95
	leastOffer  = FullShare / 128 // free share of which a lender informs a short borrower
	leastReturn = 0.5             // least part of a loan that remains after one recall
)

// Peer is another VM and its failure domain.
type Peer struct {
	Run    RunID
	Domain string
}

// Manager holds the accounts of all workspaces of one VM and moves shares to where demand is.
type Manager struct {
	self     RunID
	domain   string
	random   *rand.Rand
	rules    rules
	spaces   map[string]*space
	removed  map[string]*space // no longer configured
	names    []string          // of spaces, sorted
	owners   map[string]Owners
	released map[string]uint64 // version up to which a released slot is not taken back
	peers    map[RunID]*peer
	sending  budget
	stats    Stats
	// plannedAt and planAt are the times of the last and of the next plan.
	plannedAt, planAt time.Duration
}

// planSoon brings the next plan forward. All workspaces are planned together, so that one message
// carries the asks of all.
func (m *Manager) planSoon() { m.planAt = min(m.planAt, m.plannedAt+urgentInterval) }

// Stats are counters since the start of the manager.
type Stats struct {
	Requests, Replies int64 // borrow requests sent and answered
	LoanRequests      int64 // asks sent
	Admitted, Refused int64 // attempts of requests
}

// space is a workspace on this VM.
type space struct {
	name    string
	account *Account
	demand  demand
	lenders map[RunID]*lender
	claims  map[RunID]*claim
	// contestedUntil is set when a borrower could not be given what it needs.
	contestedUntil time.Duration
}

// lender is what a borrower knows of one lender.
type lender struct {
	askedAt     time.Duration
	outstanding bool
	spare       Share
	spareAt     time.Duration
	known       bool // spare has been reported
	recalled    bool // the lender wants to see the loan renewed or reduced now
	keep        Share
	reduce      bool // keep is the share that the lender lets us keep
}

// claim is what a lender knows of one borrower.
type claim struct {
	need, have Share // have excludes what this VM lends
	short      bool
	at         time.Duration
	recalledAt time.Duration
}

// peer is the message budget of one VM.
type peer struct {
	Peer
	sending    budget
	notBefore  time.Duration
	ownedShare Share // of every workspace
}

// budget is a token bucket for messages.
type budget struct {
	left float64
	at   time.Duration
}

// take takes one message from the bucket.
func (b *budget) take(now time.Duration, rate, burst float64) bool {
	b.left = min(burst, b.left+rate*max(now-b.at, 0).Seconds())
	b.at = max(b.at, now)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// NewManager returns a manager without workspaces, owners or peers. random orders lenders of equal
// standing, so that the VMs of a fleet do not all ask the same one.
func NewManager(self RunID, domain string, random *rand.Rand) *Manager {
	return &Manager{
		self:     self,
		domain:   domain,
		random:   random,
		rules:    standardRules,
		spaces:   map[string]*space{},
		removed:  map[string]*space{},
		owners:   map[string]Owners{},
		released: map[string]uint64{},
		peers:    map[RunID]*peer{},
		sending:  budget{left: messageBurst},
	}
}

// SetWorkspace adds a workspace or changes its rate (requests per second) and burst (requests).
func (m *Manager) SetWorkspace(now time.Duration, name string, rate, burst float64) {
	if s := m.spaces[name]; s != nil {
		s.account.SetLimit(now, rate, burst)
		return
	}
	s := m.removed[name]
	if s == nil {
		s = m.newSpace(now, name)
	}
	delete(m.removed, name)
	s.account.SetLimit(now, rate, burst)
	m.spaces[name] = s
	if i, found := slices.BinarySearch(m.names, name); !found {
		m.names = slices.Insert(m.names, i, name)
	}
	s.account.SetOwned(now, m.ownedSlots())
}

// newSpace returns a workspace without rate and share.
func (m *Manager) newSpace(now time.Duration, name string) *space {
	s := &space{
		name:    name,
		account: NewAccount(name, m.self, now, 0, 0),
		demand:  newDemand(),
		lenders: map[RunID]*lender{},
		claims:  map[RunID]*claim{},
	}
	s.account.rules = m.rules
	return s
}

// RemoveWorkspace stops admitting requests of a workspace and lending its share. The account is
// kept, because the numbers of its asks must not start again in the same incarnation.
func (m *Manager) RemoveWorkspace(now time.Duration, name string) {
	s := m.spaces[name]
	if s == nil {
		return
	}
	s.account.SetLimit(now, 0, 0)
	s.account.SetOwned(now, nil)
	m.removed[name] = s
	delete(m.spaces, name)
	if i, found := slices.BinarySearch(m.names, name); found {
		m.names = slices.Delete(m.names, i, i+1)
	}
}

// SetOwners takes a version of an owners object and reports whether it is newer than the known one.
func (m *Manager) SetOwners(now time.Duration, o Owners) bool {
	known, ok := m.owners[o.Domain]
	if ok && o.Version <= known.Version {
		return false
	}
	m.owners[o.Domain] = o
	m.applyOwners(now)
	return true
}

// Release gives up all slots of this VM before the owners objects name other holders, for example
// when the VM is shutting down. The slots come back only with a later version that names this VM.
func (m *Manager) Release(now time.Duration) {
	for _, o := range m.owners {
		for name := range o.heldBy(m.self) {
			m.released[name] = o.Version
		}
	}
	m.applyOwners(now)
}

// applyOwners passes the owned slots to the accounts and the peers.
func (m *Manager) applyOwners(now time.Duration) {
	owned := m.ownedSlots()
	for _, name := range m.names {
		m.spaces[name].account.SetOwned(now, owned)
	}
	for _, p := range m.peers {
		p.ownedShare = m.ownedBy(p.Run)
	}
}

// ownedSlots returns the slots of this VM in all failure domains.
func (m *Manager) ownedSlots() map[string]Share {
	owned := map[string]Share{}
	for _, o := range m.owners {
		for name, share := range o.heldBy(m.self) {
			if version, ok := m.released[name]; ok && o.Version <= version {
				continue
			}
			owned[name] = share
		}
	}
	return owned
}

// ownedBy returns the share that vm owns.
func (m *Manager) ownedBy(vm RunID) Share {
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
	next := map[RunID]*peer{}
	for _, p := range peers {
		if p.Run == m.self {
			continue
		}
		known := m.peers[p.Run]
		if known == nil {
			known = &peer{sending: budget{left: peerBurst}}
		}
		known.Peer = p
		known.ownedShare = m.ownedBy(p.Run)
		next[p.Run] = known
	}
	m.peers = next
	for _, s := range m.spaces {
		maps.DeleteFunc(s.lenders, func(vm RunID, _ *lender) bool { return next[vm] == nil })
	}
}

// Admit decides on n new requests of a workspace. If they are not admitted, wait is the time after
// which AdmitAgain may succeed. known is false if the workspace does not exist.
// After a refusal the caller should call Poll, which may ask for a loan at once.
func (m *Manager) Admit(now time.Duration, workspace string, n int64) (ok bool, wait time.Duration, known bool) {
	s := m.spaces[workspace]
	if s == nil {
		return false, NeverAdmitted, false
	}
	s.demand.add(now, float64(n))
	ok, wait = m.admit(now, s, n)
	return ok, wait, true
}

// RetryAdmit repeats the attempt of requests that were refused and waited. They do not count as
// new demand.
func (m *Manager) RetryAdmit(now time.Duration, workspace string, n int64) (ok bool, wait time.Duration, known bool) {
	s := m.spaces[workspace]
	if s == nil {
		return false, NeverAdmitted, false
	}
	ok, wait = m.admit(now, s, n)
	return ok, wait, true
}

// admit asks the account and proposes a wait.
func (m *Manager) admit(now time.Duration, s *space, n int64) (bool, time.Duration) {
	ok, wait := s.account.Admit(now, n)
	if ok {
		m.stats.Admitted++
		return true, 0
	}
	m.stats.Refused++
	m.planSoon()
	if n*MicroTokensPerToken > s.account.burst {
		return false, NeverAdmitted
	}
	if s.account.Share(now) < m.need(now, s) {
		wait = min(wait, borrowWait)
	}
	return false, wait
}

// Stats returns the counters.
func (m *Manager) Stats() Stats { return m.stats }

// Share returns the share of a workspace in use at now.
func (m *Manager) Share(now time.Duration, workspace string) Share {
	if s := m.spaces[workspace]; s != nil {
		return s.account.Share(now)
	}
	return 0
}

// need returns the share that matches the demand for s, at least enough for one request.
func (m *Manager) need(now time.Duration, s *space) Share {
	perSecond := s.demand.value(now)
	a := s.account
	if perSecond < idleDemand || a.rate == 0 || a.burst < MicroTokensPerToken {
		return 0
	}
	share := perSecond * float64(MicroTokensPerToken) / float64(a.rate) * float64(FullShare)
	least := (int64(FullShare)*MicroTokensPerToken + a.burst - 1) / a.burst
	return Share(min(max(share, float64(least)), float64(FullShare)))
}

// short reports whether the share is below the need and the tokens do not cover the difference for
// long.
func (m *Manager) short(now time.Duration, s *space) bool {
	a := s.account
	missing := m.need(now, s) - a.Share(now)
	if missing <= 0 {
		return false
	}
	perSecond := mulDiv(a.rate, int64(missing), int64(FullShare))
	return a.tokens < MicroTokensPerToken+mulDiv(perSecond, int64(horizon), int64(time.Second))
}
