// Package zone decides what work a failure domain or a leaving server may receive while operators
// withdraw and return it. It is deterministic: time is passed in, and effects are returned as actions.
package zone

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdLimit is the longest time for which new transactions wait for a planned change of the
	// primary.
	holdLimit = 2 * time.Second
	// drainLimit is the time after which a withdrawn place receives no work even if a primary could
	// not be moved out of it, so that a withdrawal takes effect within a few seconds.
	drainLimit = 4 * time.Second
	// warmLimit is the time after which a returned place takes load although not all of its links are
	// open. A server that is down must not keep the others out of service.
	warmLimit = 10 * time.Second
)

// State is the state of a failure domain or server on this VM.
type State uint8

const (
	// InService means that the place receives all kinds of work.
	InService State = iota
	// Draining means that the place is withdrawn and primaries are being moved out of it.
	Draining
	// Withdrawn means that the place receives no work.
	Withdrawn
	// WarmingUp means that the place has been returned and links to it are being opened.
	WarmingUp
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"in service", "draining", "out", "warming"}[s]
}

// WorkKind is a kind of work.
type WorkKind uint8

const (
	// NewCaller is a connection of a caller to a VM of the failure domain.
	NewCaller WorkKind = iota
	// NewTransaction is a transaction that starts on a primary in the place.
	NewTransaction
	// ReplicaRead is a read on a replica in the place.
	ReplicaRead
	// Primary is the promotion of a server in the place.
	Primary
)

// Admission says whether work may be placed.
type Admission uint8

const (
	// Admit means that the work may be placed now.
	Admit Admission = iota
	// Hold means that the work is held until the primary has moved, at most until Decision.Until.
	Hold
	// Reject means that the work is placed elsewhere or refused as not run.
	Reject
)

// Decision is the answer to Decide.
type Decision struct {
	Admission Admission
	Until     time.Duration // end of the wait, only with Wait
	Reason    string        // for the refusal, only with Wait and No
}

// ActionKind is a step of a withdrawal or return.
type ActionKind uint8

const (
	// SwitchOverPrimaries asks for planned promotions out of the place. Drained is reported when no primary
	// and no running transaction of this VM is left there.
	SwitchOverPrimaries ActionKind = iota
	// StopTraffic says that the place receives no work from now on. VMs of a withdrawn failure domain
	// close idle callers.
	StopTraffic
	// OpenLinks asks for links to the servers of the place. LinksOpened is reported when they are open.
	OpenLinks
	// ResumeTraffic says that the place receives work again.
	ResumeTraffic
)

// Action is a step that the caller of Table carries out.
type Action struct {
	Kind     ActionKind
	Resource string
	Epoch    uint64 // passed back with the progress event
}

type place struct {
	state     State
	since     time.Duration
	epoch     uint64 // version of the orders that started the state
	linksOpen bool   // links were open when the withdrawal started
}

// DrainStates holds the states of all failure domains, or of all servers that operators can withdraw. It
// is not safe for concurrent use. The zero value has everything in service.
type DrainStates struct {
	version uint64
	places  map[string]*place // absent means in service

	acceptOldVersion  bool // test hook: applies orders out of order
	acceptOldProgress bool // test hook: accepts progress of an earlier withdrawal or return
}

// State returns the state of a place.
func (t *DrainStates) State(name string) State {
	if p := t.places[name]; p != nil {
		return p.state
	}
	return InService
}

// States returns the places that are not simply in service.
func (t *DrainStates) States() map[string]State {
	states := make(map[string]State, len(t.places))
	for name, p := range t.places {
		states[name] = p.state
	}
	return states
}

// Version returns the version of the orders in force.
func (t *DrainStates) Version() uint64 { return t.version }

// Apply puts the orders of an object version into force. Versions that are not newer than the one in
// force are ignored: of two operators, the one whose update the platform accepted last decides, on
// every VM and in whatever order the versions arrive.
func (t *DrainStates) Apply(now time.Duration, version uint64, orders Withdrawals) []Action {
	if version <= t.version && !t.acceptOldVersion {
		return nil
	}
	t.version = version
	if t.places == nil {
		t.places = make(map[string]*place)
	}
	var actions []Action
	for _, name := range t.names(orders) {
		_, withdrawn := orders.Withdrawn[name]
		if withdrawn {
			actions = t.withdraw(now, name, actions)
		} else {
			actions = t.giveBack(now, name, actions)
		}
	}
	return actions
}

// names returns the places that are or were withdrawn, sorted for deterministic actions.
func (t *DrainStates) names(orders Withdrawals) []string {
	names := slices.Collect(maps.Keys(orders.Withdrawn))
	names = slices.AppendSeq(names, maps.Keys(t.places))
	slices.Sort(names)
	return slices.Compact(names)
}

func (t *DrainStates) withdraw(now time.Duration, name string, actions []Action) []Action {
	p := t.places[name]
	if p != nil && p.state != WarmingUp {
		return actions
	}
	t.places[name] = &place{state: Draining, since: now, epoch: t.version, linksOpen: p == nil}
	return append(actions, Action{SwitchOverPrimaries, name, t.version})
}

// giveBack returns a place. In the middle of a withdrawal its links are still open, so that it takes
// load at once; otherwise its links are opened first.
func (t *DrainStates) giveBack(now time.Duration, name string, actions []Action) []Action {
	p := t.places[name]
	switch {
	case p == nil || p.state == WarmingUp:
		return actions
	case p.state == Draining && p.linksOpen:
		delete(t.places, name)
		return append(actions, Action{ResumeTraffic, name, t.version})
	}
	t.places[name] = &place{state: WarmingUp, since: now, epoch: t.version}
	return append(actions, Action{OpenLinks, name, t.version})
}

// Drained reports that no primary and no running transaction is left in a draining place. Reports
// about an earlier withdrawal are ignored.
func (t *DrainStates) Drained(now time.Duration, name string, epoch uint64) []Action {
	p := t.inState(name, Draining, epoch)
	if p == nil {
		return nil
	}
	p.state = Withdrawn
	p.since = now
	return []Action{{StopTraffic, name, p.epoch}}
}

// LinksOpened reports that the links to a warming place are open. Reports about an earlier return are
// ignored.
func (t *DrainStates) LinksOpened(name string, epoch uint64) []Action {
	p := t.inState(name, WarmingUp, epoch)
	if p == nil {
		return nil
	}
	delete(t.places, name)
	return []Action{{ResumeTraffic, name, p.epoch}}
}

func (t *DrainStates) inState(name string, state State, epoch uint64) *place {
	p := t.places[name]
	if p == nil || p.state != state {
		return nil
	}
	if p.epoch != epoch && !t.acceptOldProgress {
		return nil
	}
	return p
}

// Tick ends states that have lasted too long. It is called at least every 100 ms.
func (t *DrainStates) Tick(now time.Duration) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(t.places)) {
		p := t.places[name]
		switch {
		case p.state == Draining && now-p.since >= drainLimit:
			actions = append(actions, t.Drained(now, name, p.epoch)...)
		case p.state == WarmingUp && now-p.since >= warmLimit:
			actions = append(actions, t.LinksOpened(name, p.epoch)...)
		}
	}
	return actions
}

// Decide says whether work may be placed in the place now.
func (t *DrainStates) Decide(now time.Duration, name string, use WorkKind) Decision {
	p := t.places[name]
	if p == nil {
		return Decision{Admission: Admit}
	}
	switch p.state {
	case Draining:
		return p.decideDraining(now, name, use)
	case WarmingUp:
		return Decision{Admission: Reject, Reason: name + " has been returned and its links are being opened"}
	default:
		return Decision{Admission: Reject, Reason: name + " has been withdrawn"}
	}
}

func (p *place) decideDraining(now time.Duration, name string, use WorkKind) Decision {
	if now-p.since >= drainLimit {
		return Decision{Admission: Reject, Reason: name + " has been withdrawn"}
	}
	switch {
	case use == NewCaller || use == ReplicaRead:
		return Decision{Admission: Admit}
	case use == NewTransaction && now-p.since < holdLimit:
		return Decision{Hold, p.since + holdLimit, name + " is being withdrawn and its primary is moving"}
	default:
		return Decision{Admission: Reject, Reason: name + " is being withdrawn"}
	}
}

// DecideServer combines the decisions about a server and its failure domain; the stricter one holds.
func DecideServer(now time.Duration, domains, targets *DrainStates, domain, server string, use WorkKind) Decision {
	a := domains.Decide(now, domain, use)
	b := targets.Decide(now, server, use)
	if a.Admission == Hold && b.Admission == Hold {
		a.Until = min(a.Until, b.Until)
	}
	if b.Admission > a.Admission {
		return b
	}
	return a
}
