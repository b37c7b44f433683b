package machine

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	syncInterval = time.Second
	// suspectAfter is the number of consecutive unanswered calls after which a VM is suspected. A
	// single lost message must not move a duty.
	suspectAfter = 2
	// suspectFor is the time after which a suspected VM is tried again.
	suspectFor = 30 * time.Second
	// goneFor is the time for which a dropped incarnation is remembered, so that its late messages
	// are recognised. It exceeds every call deadline by far.
	goneFor = 10 * time.Minute
	// unlistedFor is the time for which a VM that the platform's list does not contain yet is kept
	// without a message from it. It exceeds the usual lag of the list.
	unlistedFor = time.Minute
	// maxMembers bounds the memory for members; the planned size is 2,100 VMs.
	maxMembers = 8192
	// maxSample bounds the members sent to a VM that has no list.
	maxSample = 64
	// staleSample is the number of members asked for while the platform does not answer. It makes VMs
	// known that have started since; a full sample would double the bytes of every Sync.
	staleSample = 4
	// expireInterval is the time between two scans of all members.
	expireInterval = 5 * time.Second
)

// Errors of messages that are ignored. Each is checked with errors.Is.
var (
	// ErrOldIncarnation means that a newer incarnation of the VM is known.
	ErrOldIncarnation = errors.New("a newer incarnation of the VM is known")
	// ErrGone means that the platform has dropped the incarnation from its list.
	ErrGone = errors.New("the platform has dropped this incarnation of the VM")
	// ErrTooManyMembers means that no further VM is accepted.
	ErrTooManyMembers = errors.New("too many VMs are known")
	// ErrUnnamed means that a message does not name its VM and incarnation.
	ErrUnnamed = errors.New("message without VM name or incarnation")
)

// Hello is what a VM tells about itself in both directions of a Sync.
type Hello struct {
	VM            VM
	Sequence      uint64    // grows within an incarnation
	Digests       []uint64  // in a request: digest of all versions; in an answer: digests by bucket
	Versions      []Version // in a request: versions of all objects, or of those in Buckets
	Buckets       []uint32  // in a request: buckets that Versions covers
	Wanted        []string  // in an answer: objects that the answering VM lacks
	Reports       []Report
	Members       []VM // sample of known VMs
	MembersWanted int  // size of the sample that the sender asks for
	Fresh         bool // FreshAge is valid
	FreshAge      time.Duration
}

// Config is the fixed part of a Members.
type Config struct {
	Self  VM       // Incarnation must exceed that of every earlier start of the same name
	Seeds []string // addresses of peers for a start while the platform is down
}

type member struct {
	vm       VM
	listed   bool          // in the platform's latest list
	failures int           // consecutive unanswered calls
	seen     time.Duration // last time the VM was listed or heard from
	failed   time.Duration // time of the latest unanswered call
	goneAt   time.Duration
	sequence uint64 // of the latest Hello
}

type wantedObject struct {
	version uint64
	since   time.Duration
}

// Members is one VM's view of the fleet. It is not safe for concurrent use.
type Members struct {
	self    VM
	seeds   []string
	rng     *rand.Rand
	members map[string]*member // by VM name; includes self
	order   []string           // sorted names, for deterministic choices
	byZone  map[string][]string

	sequence    uint64
	listedAt    time.Duration // start of the latest list call that was applied
	hasList     bool
	firstList   time.Duration // start of the first list call that was applied
	listSize    int
	nextList    time.Duration
	nextSync    time.Duration
	nextView    time.Duration
	nearView    []string // peers for Sync and Push in the own failure domain, oldest first
	wideView    []string // peers for Sync and Push in the fleet, oldest first
	nextConfirm time.Duration
	nextExpire  time.Duration
	nextReports time.Duration
	turn        int // counts the choices of sync peers
	watching    bool
	superseded  bool
	fresh       time.Duration // the configuration held then was confirmed by the platform
	hasFresh    bool
	wanted      map[string]wantedObject // announced objects being waited for, by name
	ownReports  map[string]ownReport
	reports     map[string]map[string]heldReport // by server, by reporting VM

	acceptOld       bool // test hook: lets old and dropped incarnations act
	acceptLateLists bool // test hook: applies list answers out of order
	ignoreSequence  bool // test hook: applies heartbeats out of order
}

// New returns the view of a VM that knows only itself. rng decides the choice of peers.
func New(cfg Config, rng *rand.Rand) *Members {
	m := &Members{
		self:       cfg.Self,
		seeds:      slices.Clone(cfg.Seeds),
		rng:        rng,
		members:    make(map[string]*member),
		byZone:     make(map[string][]string),
		wanted:     make(map[string]wantedObject),
		ownReports: make(map[string]ownReport),
		reports:    make(map[string]map[string]heldReport),
	}
	m.add(0, cfg.Self)
	// A random phase keeps VMs that start together from calling at the same moments.
	m.nextSync = time.Duration(rng.Int64N(int64(syncInterval)))
	return m
}

// Self returns the VM itself.
func (m *Members) Self() VM { return m.self }

// Leave marks the VM itself as leaving. It cannot be undone within an incarnation.
func (m *Members) Leave() {
	m.self.State = Leaving
	m.members[m.self.Name].vm.State = Leaving
}

// Superseded reports whether a newer incarnation of this VM's own name is known. The process
// should then stop, because its messages are ignored.
func (m *Members) Superseded() bool { return m.superseded }

// Get returns a VM with its state.
func (m *Members) Get(name string) (VM, bool) {
	e := m.members[name]
	if e == nil {
		return VM{}, false
	}
	return e.view(), true
}

// All returns all known VMs with their states, sorted by name.
func (m *Members) All() []VM { return m.filter(func(VM) bool { return true }) }

// Live returns the VMs in state Live, sorted by name. It includes the VM itself unless it leaves.
func (m *Members) Live() []VM { return m.filter(func(v VM) bool { return v.State == Live }) }

func (m *Members) filter(keep func(VM) bool) []VM {
	list := make([]VM, 0, len(m.order))
	for _, name := range m.order {
		if v := m.members[name].view(); keep(v) {
			list = append(list, v)
		}
	}
	return list
}

// Observe applies the platform's list. started is the time at which the list call began; an answer
// to an earlier call than the one last applied is ignored. It reports whether the list was applied.
// An incarnation that was listed and no longer is, is gone. An empty list is ignored, because the
// platform lists at least one VM when it works.
func (m *Members) Observe(started, now time.Duration, list []VM) bool {
	late := m.hasList && started <= m.listedAt
	if len(list) == 0 || (late && !m.acceptLateLists) {
		return false
	}
	m.listedAt = started
	m.listSize = len(list)
	if !m.hasList {
		m.firstList = started
	}
	m.hasList = true
	present := make(map[string]bool, len(list))
	for _, vm := range list {
		present[vm.Name] = true
		m.observeOne(now, vm)
	}
	for _, name := range slices.Clone(m.order) {
		m.observeAbsence(now, name, present[name])
	}
	return true
}

func (m *Members) observeOne(now time.Duration, vm VM) {
	e := m.members[vm.Name]
	if e != nil && e.vm.State == Gone && e.vm.Incarnation == vm.Incarnation {
		// The platform is the authority on its own list: it lists the incarnation again.
		e.vm.State = vm.State
	}
	// An older incarnation than the known one only shows the lag of the list.
	e, err := m.accept(now, vm)
	if err != nil {
		return
	}
	e.listed = true
	e.seen = now
	if vm.State == Leaving {
		e.vm.State = Leaving
	}
}

func (m *Members) observeAbsence(now time.Duration, name string, present bool) {
	e := m.members[name]
	if present || name == m.self.Name {
		return
	}
	if e.listed {
		m.markGone(now, e)
	}
}

func (m *Members) markGone(now time.Duration, e *member) {
	e.listed = false
	e.vm.State = Gone
	e.goneAt = now
	m.dropReports(e.vm.Name)
}

// Dropped reports whether the platform has stopped an incarnation: it was listed and no longer is, a
// newer incarnation of the name is listed, or no list has contained the name for a minute. A VM takes
// ownership of shares only once it is listed, so the lag of the list does not make an owner appear
// stopped.
func (m *Members) Dropped(name, incarnation string) bool {
	e := m.members[name]
	if e == nil {
		return m.hasList && m.listedAt-m.firstList >= unlistedFor
	}
	switch c := CompareIncarnations(incarnation, e.vm.Incarnation); {
	case c < 0:
		return e.listed || e.vm.State == Gone
	case c == 0:
		return e.vm.State == Gone
	default:
		return false
	}
}

// Heartbeat applies the Hello of a peer, received as a request or as an answer. A message of an old
// or dropped incarnation is refused with an error and changes nothing. A message that was overtaken
// by a later one of the same incarnation is ignored.
func (m *Members) Heartbeat(now time.Duration, h Hello) error {
	if h.VM.Name == m.self.Name {
		return m.heardSelf(h.VM)
	}
	e, err := m.accept(now, h.VM)
	if err != nil {
		return err
	}
	e.seen = now
	e.failures = 0
	m.learnMembers(now, h.Members)
	if h.Sequence <= e.sequence && !m.ignoreSequence {
		return nil
	}
	e.sequence = h.Sequence
	if h.VM.State == Leaving {
		e.vm.State = Leaving
	}
	m.applyReports(now, h.VM, h.Reports)
	return nil
}

func (m *Members) heardSelf(vm VM) error {
	if CompareIncarnations(vm.Incarnation, m.self.Incarnation) > 0 {
		m.superseded = true
		return nil
	}
	if vm.Incarnation == m.self.Incarnation {
		return nil
	}
	return ErrOldIncarnation
}

// accept returns the entry of the VM's incarnation and creates or replaces it when it is new.
func (m *Members) accept(now time.Duration, vm VM) (*member, error) {
	if vm.Name == "" || vm.Incarnation == "" {
		return nil, ErrUnnamed
	}
	if vm.Name == m.self.Name {
		return m.members[vm.Name], m.heardSelf(vm)
	}
	e := m.members[vm.Name]
	if e == nil {
		if len(m.members) >= maxMembers {
			return nil, ErrTooManyMembers
		}
		return m.add(now, vm), nil
	}
	c := CompareIncarnations(vm.Incarnation, e.vm.Incarnation)
	if c < 0 && !m.acceptOld {
		return nil, ErrOldIncarnation
	}
	if c == 0 && e.vm.State == Gone && !m.acceptOld {
		return nil, ErrGone
	}
	if c != 0 || e.vm.State == Gone {
		m.dropReports(vm.Name)
		m.remove(vm.Name)
		return m.add(now, vm), nil
	}
	return e, nil
}

func (m *Members) add(now time.Duration, vm VM) *member {
	if vm.State != Leaving {
		vm.State = Live
	}
	e := &member{vm: vm, seen: now}
	m.members[vm.Name] = e
	m.order = insertSorted(m.order, vm.Name)
	m.byZone[vm.Domain] = insertSorted(m.byZone[vm.Domain], vm.Name)
	return e
}

func (m *Members) remove(name string) {
	domain := m.members[name].vm.Domain
	delete(m.members, name)
	m.order = deleteSorted(m.order, name)
	m.byZone[domain] = deleteSorted(m.byZone[domain], name)
	if len(m.byZone[domain]) == 0 {
		delete(m.byZone, domain)
	}
}

func insertSorted(list []string, name string) []string {
	i, found := slices.BinarySearch(list, name)
	if found {
		return list
	}
	return slices.Insert(list, i, name)
}

func deleteSorted(list []string, name string) []string {
	i, found := slices.BinarySearch(list, name)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

// learnMembers adds VMs named by a peer. Second-hand knowledge adds unknown or newer incarnations
// and never changes the state of a known one.
func (m *Members) learnMembers(now time.Duration, list []VM) {
	for _, vm := range list[:min(maxSample, len(list))] {
		_, _ = m.accept(now, vm)
	}
}

// CallFailed records that a call to the given incarnation failed or received no response in time.
func (m *Members) CallFailed(now time.Duration, vm VM) {
	e := m.members[vm.Name]
	if e == nil || e.vm.Incarnation != vm.Incarnation || vm.Name == m.self.Name {
		return
	}
	e.failures = min(e.failures+1, suspectAfter)
	e.failed = now
}

func (e *member) view() VM {
	vm := e.vm
	if vm.State != Gone && e.failures >= suspectAfter {
		vm.State = Suspected
	}
	return vm
}

// expire retries suspected VMs and forgets VMs that are gone or were never listed.
func (m *Members) expire(now time.Duration) {
	if now < m.nextExpire {
		return
	}
	m.nextExpire = now + expireInterval
	for _, name := range slices.Clone(m.order) {
		e := m.members[name]
		if name == m.self.Name {
			continue
		}
		if e.failures >= suspectAfter && now-e.failed >= suspectFor {
			e.failures = suspectAfter - 1
		}
		forget := e.vm.State == Gone && now-e.goneAt >= goneFor
		// Without a recent list, second-hand members are all that is known and are kept.
		unlisted := !e.listed && e.vm.State != Gone && m.hasList && m.listedAt > e.seen+unlistedFor
		if forget || unlisted {
			m.dropReports(name)
			m.remove(name)
		}
	}
	for server := range m.reports {
		m.trimServer(now, server)
	}
}

// Confirmed records that the platform confirmed the configuration that this VM holds. at is the
// start of the call that confirmed it.
func (m *Members) Confirmed(at time.Duration) {
	if !m.hasFresh || at > m.fresh {
		m.fresh = at
		m.hasFresh = true
	}
}

// FreshAge returns the time since the platform confirmed the configuration that this VM holds,
// directly or through peers. ok is false if that has not happened since the start.
func (m *Members) FreshAge(now time.Duration) (age time.Duration, ok bool) {
	return now - m.fresh, m.hasFresh
}

// Hello returns the request of a Sync call. again is nil, or the answer of the same peer that carried
// digests; the request then carries the versions in some of the buckets that differ.
func (m *Members) Hello(now time.Duration, v *Versions, again *Hello) Hello {
	h := m.hello(now)
	if again != nil {
		h.Buckets = v.differing(again.Digests)
	}
	switch {
	case len(h.Buckets) > 0:
		h.Versions = v.in(h.Buckets)
	case v.Len() <= maxFullVersions:
		h.Versions = v.All()
	default:
		h.Digests = []uint64{v.root()}
	}
	switch {
	case !m.hasList:
		h.MembersWanted = maxSample
	case now-m.listedAt > 2*m.listInterval():
		h.MembersWanted = staleSample
	}
	return h
}

// Respond returns the response to a Sync request and the objects that the caller lacks. The request is
// passed to Heartbeat first.
func (m *Members) Respond(now time.Duration, v *Versions, req Hello) (answer Hello, lacks []Version) {
	h := m.hello(now)
	switch {
	case len(req.Digests) == 0:
		lacks, h.Wanted = v.compare(req.Versions, req.Buckets)
	case req.Digests[0] != v.root():
		h.Digests = v.digests()
	}
	h.Members = m.sample(min(req.MembersWanted, maxSample), req.VM.Name)
	return h, lacks
}

// ApplyResponse applies the response to the Sync request req, after the caller has stored the objects of the response.
// sent is the time before the call was made and complete tells that no object was left out. If again
// is true, the caller repeats the call with Hello(now, versions, &answer).
func (m *Members) ApplyResponse(sent, now time.Duration, req, answer Hello, complete bool) (again bool, err error) {
	if err := m.Heartbeat(now, answer); err != nil {
		return false, err
	}
	if len(answer.Digests) > 0 {
		return true, nil
	}
	// The peer confirmed its versions no earlier than FreshAge before it answered, and it answered
	// after sent. The caller holds all these versions now.
	partial := len(req.Buckets) == maxBucketsPerSync
	if answer.Fresh && complete && !partial {
		m.Confirmed(sent - answer.FreshAge)
	}
	return false, nil
}

func (m *Members) hello(now time.Duration) Hello {
	m.sequence++
	h := Hello{VM: m.self, Sequence: m.sequence, Reports: m.currentReports(now)}
	if age, ok := m.FreshAge(now); ok {
		h.Fresh = true
		h.FreshAge = age
	}
	return h
}

// sample returns up to n random VMs that are live or leaving, without self and the given one.
func (m *Members) sample(n int, except string) []VM {
	var list []VM
	if n <= 0 {
		return nil
	}
	start := m.rng.IntN(len(m.order))
	for i := range m.order {
		name := m.order[(start+i)%len(m.order)]
		vm := m.members[name].view()
		if len(list) < n && name != except && name != m.self.Name && vm.State <= Leaving {
			list = append(list, vm)
		}
	}
	return list
}
