// Package zone decides what work a failure domain or server may receive while operators withdraw and
// return it. Comments call the failure domain or server the resource. The package is deterministic: time
// is passed in, and effects are returned as actions.
package zone

import (
	"maps"
	"slices"
	"time"
)

const (
	// holdLimit is the longest time for which new transactions wait for a planned switchover.
	holdLimit = 2 * time.Second
	// drainLimit is the time after which a resource that is being withdrawn receives no more work even if
	// it still has a primary, so that a withdrawal takes effect within a few seconds.
	drainLimit = 4 * time.Second
	// warmUpLimit is the time after which a returned resource receives work even if not all of its links
	// are open. A server that is down must not keep the others out of service.
	warmUpLimit = 10 * time.Second
)

// State is the state of a resource on this VM.
type State uint8

const (
	// InService means that the resource receives all kinds of work.
	InService State = iota
	// Draining means that the resource is being withdrawn and its primaries are being switched over.
	Draining
	// Withdrawn means that the resource receives no work.
	Withdrawn
	// WarmingUp means that the resource has been returned and links to it are being opened.
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
	// NewTransaction is a transaction that starts on a primary of the resource.
	NewTransaction
	// ReplicaRead is a read on a replica of the resource.
	ReplicaRead
	// Primary is the promotion of a server of the resource.
	Primary
)

// Admission says whether work may run on a resource.
type Admission uint8

const (
	// Admit means that the work may start now.
	Admit Admission = iota
	// Hold means that the work waits for the switchover of the primary, at most until Decision.Until.
	Hold
	// Reject means that the work runs on another resource or is refused as not run.
	Reject
)

// Decision is the result of Decide.
type Decision struct {
	Admission Admission
	Until     time.Duration // end of the wait; only with Hold
	Reason    string        // for the refusal; only with Hold and Reject
}

// ActionKind is a step of a withdrawal or return.
type ActionKind uint8

const (
	// SwitchOverPrimaries requests planned switchovers to servers outside the resource. The caller calls
	// Drained when no primary and no running transaction of this VM is left on it.
	SwitchOverPrimaries ActionKind = iota
	// StopTraffic means that the resource receives no work from now on. VMs of a withdrawn failure domain
	// close the connections of idle callers.
	StopTraffic
	// OpenLinks requests links to the servers of the resource. The caller calls LinksOpened when they are
	// open.
	OpenLinks
	// ResumeTraffic means that the resource receives work again.
	ResumeTraffic
)

// Action is a step that the caller of DrainStates performs.
type Action struct {
	Kind     ActionKind
	Resource string
	Epoch    uint64 // to be passed to Drained or LinksOpened
}

type resource struct {
	state     State
	since     time.Duration
	epoch     uint64 // version of the withdrawals that started the state
	linksOpen bool   // links were open when the withdrawal started
}

// DrainStates holds the states of all failure domains, or those of all servers. It is not safe for
// concurrent use. In the zero value everything is in service.
type DrainStates struct {
	version   uint64
	resources map[string]*resource // by name; absent means in service

	acceptOldVersion  bool // test hook: applies withdrawals out of order
	acceptOldProgress bool // test hook: accepts progress of an earlier withdrawal or return
}

// State returns the state of a resource.
func (d *DrainStates) State(name string) State {
	if r := d.resources[name]; r != nil {
		return r.state
	}
	return InService
}

// States returns the resources that are not in service, with their states.
func (d *DrainStates) States() map[string]State {
	states := make(map[string]State, len(d.resources))
	for name, r := range d.resources {
		states[name] = r.state
	}
	return states
}

// Version returns the version of the withdrawals in effect.
func (d *DrainStates) Version() uint64 { return d.version }

// Apply applies a version of the withdrawals. Versions that are not newer than the one in effect are
// ignored: if two operators update the object, the update that the platform accepted last wins on every
// VM, whatever the order in which the versions arrive.
func (d *DrainStates) Apply(now time.Duration, version uint64, withdrawals Withdrawals) []Action {
	if version <= d.version && !d.acceptOldVersion {
		return nil
	}
	d.version = version
	if d.resources == nil {
		d.resources = make(map[string]*resource)
	}
	var actions []Action
	for _, name := range d.affectedNames(withdrawals) {
		_, withdrawn := withdrawals.Withdrawn[name]
		if withdrawn {
			actions = d.withdraw(now, name, actions)
		} else {
			actions = d.restore(now, name, actions)
		}
	}
	return actions
}

// affectedNames returns the resources that are or were withdrawn, sorted for deterministic actions.
func (d *DrainStates) affectedNames(withdrawals Withdrawals) []string {
	names := slices.Collect(maps.Keys(withdrawals.Withdrawn))
	names = slices.AppendSeq(names, maps.Keys(d.resources))
	slices.Sort(names)
	return slices.Compact(names)
}

// withdraw starts the withdrawal of a resource that is in service or warming up.
func (d *DrainStates) withdraw(now time.Duration, name string, actions []Action) []Action {
	r := d.resources[name]
	if r != nil && r.state != WarmingUp {
		return actions
	}
	d.resources[name] = &resource{state: Draining, since: now, epoch: d.version, linksOpen: r == nil}
	return append(actions, Action{SwitchOverPrimaries, name, d.version})
}

// restore returns a resource to service. During a withdrawal its links are still open, so that it receives
// work at once; otherwise its links are opened first.
func (d *DrainStates) restore(now time.Duration, name string, actions []Action) []Action {
	r := d.resources[name]
	switch {
	case r == nil || r.state == WarmingUp:
		return actions
	case r.state == Draining && r.linksOpen:
		delete(d.resources, name)
		return append(actions, Action{ResumeTraffic, name, d.version})
	}
	d.resources[name] = &resource{state: WarmingUp, since: now, epoch: d.version}
	return append(actions, Action{OpenLinks, name, d.version})
}

// Drained records that no primary and no running transaction is left on a draining resource. Calls for
// an earlier withdrawal are ignored.
func (d *DrainStates) Drained(now time.Duration, name string, epoch uint64) []Action {
	r := d.inState(name, Draining, epoch)
	if r == nil {
		return nil
	}
	r.state = Withdrawn
	r.since = now
	return []Action{{StopTraffic, name, r.epoch}}
}

// LinksOpened records that the links to a resource that is warming up are open. Calls for an earlier
// return are ignored.
func (d *DrainStates) LinksOpened(name string, epoch uint64) []Action {
	r := d.inState(name, WarmingUp, epoch)
	if r == nil {
		return nil
	}
	delete(d.resources, name)
	return []Action{{ResumeTraffic, name, r.epoch}}
}

func (d *DrainStates) inState(name string, state State, epoch uint64) *resource {
	r := d.resources[name]
	if r == nil || r.state != state {
		return nil
	}
	if r.epoch != epoch && !d.acceptOldProgress {
		return nil
	}
	return r
}

// Tick ends the states Draining and WarmingUp when they have reached their limits. The caller calls it at
// least every 100 ms.
func (d *DrainStates) Tick(now time.Duration) []Action {
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(d.resources)) {
		r := d.resources[name]
		switch {
		case r.state == Draining && now-r.since >= drainLimit:
			actions = append(actions, d.Drained(now, name, r.epoch)...)
		case r.state == WarmingUp && now-r.since >= warmUpLimit:
			actions = append(actions, d.LinksOpened(name, r.epoch)...)
		}
	}
	return actions
}

// Decide decides whether work may run on the resource now.
func (d *DrainStates) Decide(now time.Duration, name string, kind WorkKind) Decision {
	r := d.resources[name]
	if r == nil {
		return Decision{Admission: Admit}
	}
	switch r.state {
	case Draining:
		return r.decideDraining(now, name, kind)
	case WarmingUp:
		return Decision{Admission: Reject, Reason: name + " has been returned and its links are being opened"}
	default:
		return Decision{Admission: Reject, Reason: name + " has been withdrawn"}
	}
}

func (r *resource) decideDraining(now time.Duration, name string, kind WorkKind) Decision {
	if now-r.since >= drainLimit {
		return Decision{Admission: Reject, Reason: name + " has been withdrawn"}
	}
	switch {
	case kind == NewCaller || kind == ReplicaRead:
		return Decision{Admission: Admit}
	case kind == NewTransaction && now-r.since < holdLimit:
		return Decision{Hold, r.since + holdLimit, name + " is being withdrawn and its primary is moving"}
	default:
		return Decision{Admission: Reject, Reason: name + " is being withdrawn"}
	}
}

// DecideServer combines the decisions about a server and its failure domain; the stricter one applies.
func DecideServer(now time.Duration, domains, targets *DrainStates, domain, server string, kind WorkKind) Decision {
	a := domains.Decide(now, domain, kind)
	b := targets.Decide(now, server, kind)
	if a.Admission == Hold && b.Admission == Hold {
		a.Until = min(a.Until, b.Until)
	}
	if b.Admission > a.Admission {
		return b
	}
	return a
}
