package promotion

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrouter/internal/session"
)

// Timing holds the intervals of a Driver. Zero fields take the value of DefaultTiming.
type Timing struct {
	ProbeInterval   time.Duration // interval of status probes per server
	ProbeTimeout    time.Duration // a probe without any result is repeated after this time
	SuspectAfter    time.Duration // time without an answer after which the primary is suspected
	StallAfter      time.Duration // time without confirmation progress after which it is suspected
	RankDelay       time.Duration // delay per rank before a driver acts
	ReportInterval  time.Duration // repetition of an own suspicion report
	ReportTTL       time.Duration // time for which a peer's report counts
	MinTenure       time.Duration // time for which a new primary is left in place
	GrantWait       time.Duration // wait for grants beyond the majority
	PhaseTimeout    time.Duration // time for each of the phases fence and promote
	SettleDelay     time.Duration // wait after another driver obtained a promise
	BackoffBase     time.Duration // first backoff after a failed attempt, before jitter
	BackoffLimit    time.Duration // longest backoff before jitter
	WritePauseLimit time.Duration // time for which new transactions wait during a planned move
	DrainTimeout    time.Duration // time after which a planned move no longer waits for transactions
	SwitchoverRetry time.Duration // time between two holds for the same planned move
	FollowInterval  time.Duration // interval at which a server is told again to follow
	RepairAfter     time.Duration // time for which a server may stay fenced above the primary's term
	PauseThreshold  time.Duration // gap between steps after which earlier observations are discarded
	// A suspected primary that answers again within FalseAlarmWithin of its last answer was only late. Each
	// such false alarm in the last FalseAlarmLife doubles SuspectAfter.
	FalseAlarmWithin time.Duration
	FalseAlarmWindow time.Duration
}

// DefaultTiming holds the intervals of section 6.1 of the design page. The remaining ones are
// chosen so that detection, confirmation and promotion by the third-ranked driver end within
// the goal of 2 s for the failover gap.
var DefaultTiming = Timing{
	ProbeInterval:   100 * time.Millisecond,
	ProbeTimeout:    1 * time.Second,
	SuspectAfter:    400 * time.Millisecond,
	StallAfter:      1 * time.Second,
	RankDelay:       150 * time.Millisecond,
	ReportInterval:  500 * time.Millisecond,
	ReportTTL:       2 * time.Second,
	MinTenure:       2 * time.Second,
	GrantWait:       50 * time.Millisecond,
	PhaseTimeout:    500 * time.Millisecond,
	SettleDelay:     200 * time.Millisecond,
	BackoffBase:     100 * time.Millisecond,
	BackoffLimit:    800 * time.Millisecond,
	WritePauseLimit: 2 * time.Second,
	DrainTimeout:    1500 * time.Millisecond,
	SwitchoverRetry: 5 * time.Second,
	FollowInterval:  500 * time.Millisecond,
	RepairAfter:     1 * time.Second,
	PauseThreshold:  300 * time.Millisecond,

	FalseAlarmWithin: 2 * time.Second,
	FalseAlarmWindow: 20 * time.Second,
}

func (t Timing) withDefaults() Timing {
	d := DefaultTiming
	for _, f := range []struct{ field, value *time.Duration }{
		{&t.ProbeInterval, &d.ProbeInterval}, {&t.ProbeTimeout, &d.ProbeTimeout}, {&t.SuspectAfter, &d.SuspectAfter},
		{&t.StallAfter, &d.StallAfter}, {&t.RankDelay, &d.RankDelay}, {&t.ReportInterval, &d.ReportInterval},
		{&t.ReportTTL, &d.ReportTTL}, {&t.MinTenure, &d.MinTenure}, {&t.GrantWait, &d.GrantWait},
		{&t.PhaseTimeout, &d.PhaseTimeout}, {&t.SettleDelay, &d.SettleDelay}, {&t.BackoffBase, &d.BackoffBase},
		{&t.BackoffLimit, &d.BackoffLimit}, {&t.WritePauseLimit, &d.WritePauseLimit}, {&t.DrainTimeout, &d.DrainTimeout},
		{&t.SwitchoverRetry, &d.SwitchoverRetry}, {&t.FollowInterval, &d.FollowInterval}, {&t.RepairAfter, &d.RepairAfter},
		{&t.PauseThreshold, &d.PauseThreshold}, {&t.FalseAlarmWithin, &d.FalseAlarmWithin},
		{&t.FalseAlarmWindow, &d.FalseAlarmWindow},
	} {
		if *f.field == 0 {
			*f.field = *f.value
		}
	}
	return t
}

// Server is one server of the group as configured.
type Server struct {
	Name    string
	Address string // address that replicas and VMs connect to
	Domain  string // failure domain
}

// VM is a live VM that uses the group.
type VM struct {
	Name   string
	Domain string
}

// Config configures the Driver of one VM for one group.
type Config struct {
	Group         string
	VM            string // VM name, as in Peers
	Domain        string // failure domain of the VM
	CoordinatorID string // name sent with fence and promote; VM and incarnation, unique per process
	Servers       []Server
	Timing        Timing
	Rand          *rand.Rand // source of the backoff jitter; nil for none
}

// Operation is a control statement sent to a server.
type Operation uint8

// Operations that a Driver requests.
const (
	Fence Operation = iota
	Promote
	Follow
)

// String returns the lower-case name of the operation.
func (o Operation) String() string { return [...]string{"fence", "promote", "follow"}[o] }

// Input is one of Tick, StatusAnswer, ProbeFailed, Answer, Failed, Peers, PeerReport and
// Placement.
type Input interface{ input() }

type (
	// Tick lets time pass. The caller sends one at least every 50 ms.
	Tick struct{}
	// StatusResponse is the answer to a Probe. Any other status row received from the server,
	// for example by group_wait, may be passed as well.
	StatusResponse struct {
		Server string
		Status Status
	}
	// ProbeFailed means that a Probe got no status row.
	ProbeFailed struct {
		Server string
		Reason string
	}
	// ControlResponse is the result of a Send.
	ControlResponse struct {
		Server  string
		Op      Operation
		Term    uint64
		Granted bool
		Status  Status
	}
	// ControlFailed means that a Send got no answer. The statement may have taken effect.
	ControlFailed struct {
		Server string
		Op     Operation
		Term   uint64
		Reason string
	}
	// LiveVMs replaces the list of live VMs that use the group, including this one.
	LiveVMs struct{ Live []VM }
	// PeerSuspicion is a Report of another VM.
	PeerSuspicion struct {
		VM        string
		Domain    string
		Term      uint64
		Suspected bool
		Reason    string
	}
	// Placement replaces the places that operators have closed: withdrawn failure domains and
	// leaving servers. A primary in one of them is moved away.
	Placement struct {
		Withdrawn []string // failure domains
		Leaving   []string // server names
	}
)

func (Tick) input()            {}
func (StatusResponse) input()  {}
func (ProbeFailed) input()     {}
func (ControlResponse) input() {}
func (ControlFailed) input()   {}
func (LiveVMs) input()         {}
func (PeerSuspicion) input()   {}
func (Placement) input()       {}

// Action is one of Probe, Send, Publish, Report, HoldWrites and LogChange.
type Action interface{ action() }

type (
	// Probe asks a server for its status. The caller answers with StatusAnswer or ProbeFailed.
	Probe struct{ Server string }
	// ControlRequest sends a control statement. The caller answers with Answer or Failed.
	ControlRequest struct {
		Server        string
		Op            Operation
		Term          uint64
		CoordinatorID string // for Fence and Promote
		Primary       string // address of the primary, for Follow
	}
	// Publish announces a promotion in the object groups/GROUP and in the audit trail.
	Publish struct{ Outcome Outcome }
	// SuspicionReport tells the other VMs whether this VM suspects the primary of Term.
	SuspicionReport struct {
		Term      uint64
		Suspected bool
		Reason    string
	}
	// PauseWrites makes new transactions on the primary wait (On) or continue.
	PauseWrites struct{ On bool }
	// StateChange is a change of state for the log.
	StateChange struct {
		Change   string
		Term     uint64
		Server   string // may be empty
		Cause    string
		Evidence string
	}
)

func (Probe) action()           {}
func (ControlRequest) action()  {}
func (Publish) action()         {}
func (SuspicionReport) action() {}
func (PauseWrites) action()     {}
func (StateChange) action()     {}

// Outcome describes a completed promotion.
type Outcome struct {
	Group         string
	Term          uint64
	Primary       string // server name
	Address       string
	CoordinatorID string
	Cause         string
	Evidence      string
	LogEnd        session.Position // end of the log of the primary when it was promoted
}

// peer is the view of one server.
type peer struct {
	Server
	status     Status
	known      bool          // status holds an answer
	answeredAt time.Duration // time of the last answer, or of the start or wake-up of the driver
	probedAt   time.Duration
	probing    bool
	followedAt time.Duration // last time the server was told to follow
	followed   bool
	overdue    bool // suspected as the primary because it has not answered
}

// report is a peer's suspicion report.
type report struct {
	PeerSuspicion
	at time.Duration
}

// span is the time since a condition holds.
type span struct {
	on    bool
	since time.Duration
}

// set updates the condition and keeps the time since it holds.
func (s *span) set(on bool, now time.Duration) {
	if on && !s.on {
		s.since = now
	}
	s.on = on
}

// lasted reports whether the condition has held for at least d.
func (s span) lasted(d, now time.Duration) bool { return s.on && now-s.since >= d }

// Coordinator detects that a group needs another primary and promotes it. Its zero value is not
// usable; call NewDriver. Methods must not be called concurrently.
type Coordinator struct {
	cfg       Config
	timing    Timing
	peers     []peer
	live      []VM
	reports   []report
	placement Placement

	started  bool
	lastStep time.Duration
	actions  []Action

	primaryTerm uint64        // term of the newest primary seen
	primaryAt   time.Duration // time at which that primary was first seen
	highest     uint64        // highest term seen in any promise or own attempt
	settleUntil time.Duration

	noPrimary span
	stall     span
	stalledAt session.Position // position held by a majority when the stall began
	confirmed span             // enough failure domains suspect the primary
	repair    span             // a server is fenced above the primary's term
	misplaced span             // the primary is in a closed place and another server follows it
	hold      span
	holdAgain time.Duration
	suspected SuspicionReport
	reported  time.Duration
	// falseAlarms are the times of the latest false alarms, at most as many as count.
	falseAlarms []time.Duration

	attempt     attempt
	unpublished attempt // promotion whose answer was lost
	backoff     time.Duration
	failures    int

	without rule // rules switched off; set only by tests
}

// NewCoordinator returns a driver that has observed nothing.
func NewCoordinator(cfg Config) *Coordinator {
	d := &Coordinator{cfg: cfg, timing: cfg.Timing.withDefaults()}
	for _, s := range cfg.Servers {
		d.peers = append(d.peers, peer{Server: s})
	}
	d.live = []VM{{Name: cfg.VM, Domain: cfg.Domain}}
	return d
}

// Step processes one input at the time now and returns the actions to perform in order. now
// must not decrease.
func (d *Coordinator) Step(now time.Duration, in Input) []Action {
	d.actions = nil
	d.noticePause(now)
	switch m := in.(type) {
	case StatusResponse:
		d.observe(now, m.Server, m.Status)
		d.endProbe(m.Server)
	case ProbeFailed:
		d.endProbe(m.Server)
	case ControlResponse:
		d.observe(now, m.Server, m.Status)
		d.answered(now, m)
	case ControlFailed:
		d.failed(now, m)
	case LiveVMs:
		d.live = slices.Clone(m.Live)
	case PeerSuspicion:
		d.keepReport(now, m)
	case Placement:
		d.placement = m
	}
	d.probe(now)
	d.evaluate(now)
	d.advance(now)
	return d.actions
}

// Primary returns the server that the driver regards as the primary, and its term. It returns
// false if no primary is known.
func (d *Coordinator) Primary() (Server, uint64, bool) {
	p := d.primary()
	if p == nil {
		return Server{}, 0, false
	}
	return p.Server, p.status.Promised, true
}

func (d *Coordinator) do(a Action) { d.actions = append(d.actions, a) }

func (d *Coordinator) log(change string, term uint64, server, cause string, now time.Duration) {
	d.do(StateChange{Change: change, Term: term, Server: server, Cause: cause, Evidence: d.evidence(now)})
}

func (d *Coordinator) peer(name string) *peer {
	for i := range d.peers {
		if d.peers[i].Name == name {
			return &d.peers[i]
		}
	}
	return nil
}

// noticePause discards observations that became stale while the driver was paused. Otherwise a
// driver that wakes up would suspect every server at once, because none has answered lately.
func (d *Coordinator) noticePause(now time.Duration) {
	paused := d.started && now-d.lastStep > d.timing.PauseThreshold
	gap := now - d.lastStep
	d.lastStep = now
	if d.started && !paused {
		return
	}
	d.started = true
	for i := range d.peers {
		d.peers[i].answeredAt = now
		d.peers[i].probing = false
		d.peers[i].overdue = false
	}
	d.noPrimary, d.stall, d.confirmed, d.repair = span{}, span{}, span{}, span{}
	d.reports = nil
	if !paused {
		return
	}
	if d.attempt.phase != idle {
		d.giveUp(now, fmt.Sprintf("driver was paused for %v", gap))
	}
}

// observe keeps a status row. Rows from before the last known promise are late answers.
func (d *Coordinator) observe(now time.Duration, server string, st Status) {
	p := d.peer(server)
	if p == nil || p.known && st.Promised < p.status.Promised {
		return
	}

	d.noteLate(now, p)
	p.status, p.known, p.answeredAt = st, true, now
	if st.Promised > d.highest {
		d.highest = st.Promised
		d.settleUntil = now + d.timing.SettleDelay
	}
	if st.Role == Primary && st.Promised > d.primaryTerm {
		d.primaryTerm, d.primaryAt = st.Promised, now
		d.failures, d.backoff, d.holdAgain = 0, now, now
		d.stall = span{}
		d.log("primary seen", st.Promised, server, "status of the server", now)
	}
	if d.unpublished.phase == promoting && st.Role == Primary && server == d.unpublished.chosen &&
		st.Promised == d.unpublished.term {
		d.publish(now, d.unpublished, st)
		d.unpublished = attempt{}
	}
}

func (d *Coordinator) endProbe(server string) {
	if p := d.peer(server); p != nil {
		p.probing = false
	}
}

// probe sends the status probes that are due. A server has one probe in flight, so that probes
// do not pile up on a server that does not answer.
func (d *Coordinator) probe(now time.Duration) {
	for i := range d.peers {
		p := &d.peers[i]
		wait := d.timing.ProbeInterval
		if p.probing {
			wait = d.timing.ProbeTimeout
		}
		if p.probedAt != 0 && now-p.probedAt < wait {
			continue
		}
		p.probedAt, p.probing = max(now, 1), true
		d.do(Probe{Server: p.Name})
	}
}

func (d *Coordinator) keepReport(now time.Duration, m PeerSuspicion) {
	d.reports = slices.DeleteFunc(d.reports, func(r report) bool { return r.VM == m.VM })
	if m.Suspected {
		d.reports = append(d.reports, report{PeerSuspicion: m, at: now})
	}
}

// fresh reports whether the server has answered within the suspicion time.
func (d *Coordinator) fresh(p *peer, now time.Duration) bool {
	return p.known && now-p.answeredAt < d.timing.SuspectAfter
}

// primary returns the primary of the highest term, or nil if none is known or a majority of
// the servers has promised a higher term.
func (d *Coordinator) primary() *peer {
	var found *peer
	for i := range d.peers {
		p := &d.peers[i]
		if p.known && p.status.Role == Primary && (found == nil || p.status.Promised > found.status.Promised) {
			found = p
		}
	}
	if found == nil {
		return nil
	}
	above := 0
	for _, p := range d.peers {
		if p.known && p.status.Promised > found.status.Promised {
			above++
		}
	}
	if above >= Majority(len(d.peers)) {
		return nil
	}
	return found
}

// rank returns the position of this VM in the rendezvous ranking of the live VMs.
func (d *Coordinator) rank() int {
	own := d.weight(d.cfg.VM)
	rank := 0
	for _, vm := range d.live {
		if w := d.weight(vm.Name); w > own || w == own && vm.Name < d.cfg.VM {
			rank++
		}
	}
	return rank
}

func (d *Coordinator) weight(vm string) uint64 { return xxhash.Sum64String(d.cfg.Group + "\x00" + vm) }

func (d *Coordinator) rankDelay() time.Duration { return time.Duration(d.rank()) * d.timing.RankDelay }

// evidence describes what the driver knows, for the log and the audit trail.
func (d *Coordinator) evidence(now time.Duration) string {
	var b strings.Builder
	for i, p := range d.peers {
		if i > 0 {
			b.WriteString("; ")
		}
		if !p.known {
			fmt.Fprintf(&b, "%s has not answered", p.Name)
			continue
		}
		st := p.status
		fmt.Fprintf(&b, "%s %s promised %d held %s %v ago", p.Name, st.Role, st.Promised, st.LogEnd, now-p.answeredAt)
	}
	reports := slices.Clone(d.reports)
	slices.SortFunc(reports, func(x, y report) int { return cmp.Compare(x.VM, y.VM) })
	for _, r := range reports {
		fmt.Fprintf(&b, "; %s in %s suspects term %d: %s", r.VM, r.Domain, r.Term, r.Reason)
	}
	return b.String()
}
