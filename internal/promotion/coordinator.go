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

// Timing holds the durations of a Coordinator. Zero fields take the value of DefaultTiming.
type Timing struct {
	ProbeInterval   time.Duration // interval between status probes of a server
	ProbeTimeout    time.Duration // time after which a probe without a result is repeated
	SuspectAfter    time.Duration // time without a response after which the primary is suspected
	StallAfter      time.Duration // time without progress of the majority's log after which the primary is suspected
	RankDelay       time.Duration // delay per rank before a coordinator acts
	ReportInterval  time.Duration // interval at which a suspicion report is repeated
	ReportTTL       time.Duration // time for which a suspicion report of another VM counts
	MinTenure       time.Duration // time for which a new primary that responds is not replaced
	GrantWait       time.Duration // time to wait for further grants after the majority
	PhaseTimeout    time.Duration // timeout of each phase (fencing, promoting)
	SettleDelay     time.Duration // wait after another coordinator has obtained a promise
	BackoffBase     time.Duration // first backoff after a failed attempt, before jitter
	BackoffLimit    time.Duration // longest backoff before jitter
	WritePauseLimit time.Duration // time for which new transactions wait during a planned switchover
	DrainTimeout    time.Duration // time after which a planned switchover no longer waits for transactions
	SwitchoverRetry time.Duration // time between two write pauses for the same switchover
	FollowInterval  time.Duration // interval at which a follow statement is repeated
	RepairAfter     time.Duration // time for which a server may stay fenced above the primary's term
	PauseThreshold  time.Duration // gap between steps after which earlier observations are discarded
	// A suspected primary that responds within FalseAlarmWithin of its last response was only slow. Each
	// such false alarm in the last FalseAlarmWindow doubles SuspectAfter.
	FalseAlarmWithin time.Duration
	FalseAlarmWindow time.Duration
}

// DefaultTiming holds the durations given in section 6.1 of the design page. With the remaining ones,
// detection, confirmation and promotion by the third-ranked coordinator end within the objective of 2 s
// for the failover gap.
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

// Server is the configuration of one server of the group.
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

// Config configures the Coordinator of one VM for one group.
type Config struct {
	Group         string
	VM            string // VM name, as in LiveVMs
	Domain        string // failure domain of the VM
	CoordinatorID string // sent with fence and promote; VM and incarnation, unique per process
	Servers       []Server
	Timing        Timing
	Rand          *rand.Rand // source of the backoff jitter; nil for none
}

// Operation is a control statement sent to a server.
type Operation uint8

// Operations that a Coordinator requests.
const (
	Fence Operation = iota
	Promote
	Follow
)

// String returns the lower-case name of the operation.
func (o Operation) String() string { return [...]string{"fence", "promote", "follow"}[o] }

// Input is one of Tick, StatusResponse, ProbeFailed, ControlResponse, ControlFailed, LiveVMs,
// PeerSuspicion and Placement.
type Input interface{ input() }

type (
	// Tick only advances the time. The caller sends one at least every 50 ms.
	Tick struct{}
	// StatusResponse is the response to a Probe. Any other status row received from the server,
	// for example by group_wait, may be passed as well.
	StatusResponse struct {
		Server string
		Status Status
	}
	// ProbeFailed means that a Probe returned no status row.
	ProbeFailed struct {
		Server string
		Reason string
	}
	// ControlResponse is the response to a ControlRequest.
	ControlResponse struct {
		Server  string
		Op      Operation
		Term    uint64
		Granted bool
		Status  Status
	}
	// ControlFailed means that a ControlRequest got no response. The statement may have taken effect.
	ControlFailed struct {
		Server string
		Op     Operation
		Term   uint64
		Reason string
	}
	// LiveVMs replaces the list of live VMs that use the group, including this one.
	LiveVMs struct{ Live []VM }
	// PeerSuspicion is a SuspicionReport of another VM.
	PeerSuspicion struct {
		VM        string
		Domain    string
		Term      uint64
		Suspected bool
		Reason    string
	}
	// Placement replaces the resources that operators have withdrawn: failure domains and leaving
	// servers. A primary in one of them is replaced by a planned switchover.
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

// Action is one of Probe, ControlRequest, Publish, SuspicionReport, PauseWrites and StateChange.
type Action interface{ action() }

type (
	// Probe requests the status of a server. The caller returns StatusResponse or ProbeFailed.
	Probe struct{ Server string }
	// ControlRequest sends a control statement. The caller returns ControlResponse or ControlFailed.
	ControlRequest struct {
		Server        string
		Op            Operation
		Term          uint64
		CoordinatorID string // for Fence and Promote
		Primary       string // address of the primary, for Follow
	}
	// Publish announces a promotion in the object groups/GROUP and in the audit trail.
	Publish struct{ Outcome Outcome }
	// SuspicionReport informs the other VMs whether this VM suspects the primary of Term.
	SuspicionReport struct {
		Term      uint64
		Suspected bool
		Reason    string
	}
	// PauseWrites makes new transactions on the primary wait (On) or continue.
	PauseWrites struct{ On bool }
	// StateChange is a change of state to be written to the VM's log.
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

// server is what the coordinator knows about one server.
type server struct {
	Server
	status        Status
	known         bool          // status is the content of a response
	respondedAt   time.Duration // time of the last response, or of the coordinator's start or resumption
	probedAt      time.Duration
	probeInFlight bool
	followSentAt  time.Duration // time of the last follow statement to the server
	followSent    bool
	overdue       bool // is primary and suspected because it has not responded
}

// receivedSuspicion is the suspicion of another VM with the time of its receipt.
type receivedSuspicion struct {
	PeerSuspicion
	receivedAt time.Duration
}

// condition records whether a condition holds and since when.
type condition struct {
	active bool
	since  time.Duration
}

// set updates the condition and records when it began to hold.
func (s *condition) set(on bool, now time.Duration) {
	if on && !s.active {
		s.since = now
	}
	s.active = on
}

// heldFor reports whether the condition has held for at least d.
func (s condition) heldFor(d, now time.Duration) bool { return s.active && now-s.since >= d }

// Coordinator detects that a group needs another primary and promotes it. Its zero value is not
// usable; call NewCoordinator. Methods must not be called concurrently.
type Coordinator struct {
	cfg        Config
	timing     Timing
	servers    []server
	liveVMs    []VM
	suspicions []receivedSuspicion
	placement  Placement

	running  bool
	lastStep time.Duration
	actions  []Action

	primaryTerm  uint64        // term of the latest primary seen
	primarySince time.Duration // time at which that primary was first seen
	highestTerm  uint64        // highest term seen in any promise or used by this coordinator
	settleUntil  time.Duration

	noPrimary          condition
	stall              condition
	stalledLogEnd      session.Position // position that a majority had stored when the stall began
	suspicionConfirmed condition        // enough failure domains suspect the primary
	fencedAhead        condition        // a server is fenced above the primary's term
	switchoverWanted   condition        // the primary is not in service and another server follows it
	writePause         condition
	nextWritePauseAt   time.Duration
	lastReport         SuspicionReport
	lastReportAt       time.Duration
	// falseAlarms are the times of the latest false alarms, at most maxFalseAlarms.
	falseAlarms []time.Duration

	attempt        attempt
	unconfirmed    attempt // promotion whose response was lost
	backoffUntil   time.Duration
	failedAttempts int

	disabledRules rule // rules switched off; set only by tests
}

// NewCoordinator returns a coordinator that has no information about the servers yet.
func NewCoordinator(cfg Config) *Coordinator {
	c := &Coordinator{cfg: cfg, timing: cfg.Timing.withDefaults()}
	for _, s := range cfg.Servers {
		c.servers = append(c.servers, server{Server: s})
	}
	c.liveVMs = []VM{{Name: cfg.VM, Domain: cfg.Domain}}
	return c
}

// Step processes one input at the time now and returns the actions to perform in order. now
// must not decrease.
func (c *Coordinator) Step(now time.Duration, in Input) []Action {
	c.actions = nil
	c.detectPause(now)
	switch m := in.(type) {
	case StatusResponse:
		c.recordStatus(now, m.Server, m.Status)
		c.endProbe(m.Server)
	case ProbeFailed:
		c.endProbe(m.Server)
	case ControlResponse:
		c.recordStatus(now, m.Server, m.Status)
		c.handleResponse(now, m)
	case ControlFailed:
		c.handleFailure(now, m)
	case LiveVMs:
		c.liveVMs = slices.Clone(m.Live)
	case PeerSuspicion:
		c.recordSuspicion(now, m)
	case Placement:
		c.placement = m
	}
	c.sendProbes(now)
	c.evaluate(now)
	c.advanceAttempt(now)
	return c.actions
}

// Primary returns the server that the coordinator considers the primary, and its term. It returns
// false if no primary is known.
func (c *Coordinator) Primary() (Server, uint64, bool) {
	s := c.primary()
	if s == nil {
		return Server{}, 0, false
	}
	return s.Server, s.status.Promised, true
}

func (c *Coordinator) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Coordinator) emitStateChange(change string, term uint64, server, cause string, now time.Duration) {
	c.emit(StateChange{Change: change, Term: term, Server: server, Cause: cause, Evidence: c.evidence(now)})
}

func (c *Coordinator) server(name string) *server {
	for i := range c.servers {
		if c.servers[i].Name == name {
			return &c.servers[i]
		}
	}
	return nil
}

// detectPause discards observations that became stale while the coordinator was not running (for
// example a paused VM). Otherwise a coordinator that resumes would suspect every server at once, because
// none has responded recently.
func (c *Coordinator) detectPause(now time.Duration) {
	paused := c.running && now-c.lastStep > c.timing.PauseThreshold
	gap := now - c.lastStep
	c.lastStep = now
	if c.running && !paused {
		return
	}
	c.running = true
	for i := range c.servers {
		c.servers[i].respondedAt = now
		c.servers[i].probeInFlight = false
		c.servers[i].overdue = false
	}
	c.noPrimary, c.stall, c.suspicionConfirmed, c.fencedAhead = condition{}, condition{}, condition{}, condition{}
	c.suspicions = nil
	if !paused {
		return
	}
	if c.attempt.phase != idle {
		c.abortAttempt(now, fmt.Sprintf("coordinator was paused for %v", gap))
	}
}

// recordStatus stores a status row. It ignores a row with a promise below the last known one, which is
// a delayed response.
func (c *Coordinator) recordStatus(now time.Duration, server string, st Status) {
	s := c.server(server)
	if s == nil || s.known && st.Promised < s.status.Promised {
		return
	}

	c.recordFalseAlarm(now, s)
	s.status, s.known, s.respondedAt = st, true, now
	if st.Promised > c.highestTerm {
		c.highestTerm = st.Promised
		c.settleUntil = now + c.timing.SettleDelay
	}
	if st.Role == Primary && st.Promised > c.primaryTerm {
		c.primaryTerm, c.primarySince = st.Promised, now
		c.failedAttempts, c.backoffUntil, c.nextWritePauseAt = 0, now, now
		c.stall = condition{}
		c.emitStateChange("primary seen", st.Promised, server, "status of the server", now)
	}
	if c.unconfirmed.phase == promoting && st.Role == Primary && server == c.unconfirmed.candidate &&
		st.Promised == c.unconfirmed.term {
		c.publish(now, c.unconfirmed, st)
		c.unconfirmed = attempt{}
	}
}

func (c *Coordinator) endProbe(server string) {
	if s := c.server(server); s != nil {
		s.probeInFlight = false
	}
}

// sendProbes sends the status probes that are due. At most one probe per server is in flight, so that
// probes do not accumulate on a server that does not respond.
func (c *Coordinator) sendProbes(now time.Duration) {
	for i := range c.servers {
		s := &c.servers[i]
		wait := c.timing.ProbeInterval
		if s.probeInFlight {
			wait = c.timing.ProbeTimeout
		}
		if s.probedAt != 0 && now-s.probedAt < wait {
			continue
		}
		s.probedAt, s.probeInFlight = max(now, 1), true
		c.emit(Probe{Server: s.Name})
	}
}

func (c *Coordinator) recordSuspicion(now time.Duration, m PeerSuspicion) {
	c.suspicions = slices.DeleteFunc(c.suspicions, func(r receivedSuspicion) bool { return r.VM == m.VM })
	if m.Suspected {
		c.suspicions = append(c.suspicions, receivedSuspicion{PeerSuspicion: m, receivedAt: now})
	}
}

// responsive reports whether the server has responded within SuspectAfter.
func (c *Coordinator) responsive(s *server, now time.Duration) bool {
	return s.known && now-s.respondedAt < c.timing.SuspectAfter
}

// primary returns the primary of the highest term. It returns nil if no primary is known or a majority
// of the servers has promised a higher term.
func (c *Coordinator) primary() *server {
	var found *server
	for i := range c.servers {
		s := &c.servers[i]
		if s.known && s.status.Role == Primary && (found == nil || s.status.Promised > found.status.Promised) {
			found = s
		}
	}
	if found == nil {
		return nil
	}
	above := 0
	for _, s := range c.servers {
		if s.known && s.status.Promised > found.status.Promised {
			above++
		}
	}
	if above >= Majority(len(c.servers)) {
		return nil
	}
	return found
}

// rank returns the position of this VM in the rendezvous ranking of the live VMs.
func (c *Coordinator) rank() int {
	own := c.weight(c.cfg.VM)
	rank := 0
	for _, vm := range c.liveVMs {
		if w := c.weight(vm.Name); w > own || w == own && vm.Name < c.cfg.VM {
			rank++
		}
	}
	return rank
}

func (c *Coordinator) weight(vm string) uint64 { return xxhash.Sum64String(c.cfg.Group + "\x00" + vm) }

func (c *Coordinator) rankDelay() time.Duration { return time.Duration(c.rank()) * c.timing.RankDelay }

// evidence describes what the coordinator knows, for the log and the audit trail.
func (c *Coordinator) evidence(now time.Duration) string {
	var b strings.Builder
	for i, s := range c.servers {
		if i > 0 {
			b.WriteString("; ")
		}
		if !s.known {
			fmt.Fprintf(&b, "%s has not answered", s.Name)
			continue
		}
		st := s.status
		fmt.Fprintf(&b, "%s %s promised %d held %s %v ago", s.Name, st.Role, st.Promised, st.LogEnd, now-s.respondedAt)
	}
	reports := slices.Clone(c.suspicions)
	slices.SortFunc(reports, func(x, y receivedSuspicion) int { return cmp.Compare(x.VM, y.VM) })
	for _, r := range reports {
		fmt.Fprintf(&b, "; %s in %s suspects term %d: %s", r.VM, r.Domain, r.Term, r.Reason)
	}
	return b.String()
}
