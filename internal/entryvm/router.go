package entryvm

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/entry"
	"siskinrouter/internal/peer"
)

const (
	// ownerPatience is how long a statement waits while its service has no owner or none that can be
	// reached. A planned hand-over takes less; after the loss of an owner callers are refused and return.
	ownerPatience = 300 * time.Millisecond
	// ownerChange is the time in which a service that has lost its owner usually has another one: the silence
	// after which it counts as lost and the record of the next. After that, statements no longer wait.
	ownerChange = 1200 * time.Millisecond
	// ownerPoll is the time between two attempts in this time.
	ownerPoll = 15 * time.Millisecond
	// ownerSilence is the age up to which the last renewal of an owner shows that it can be reached. It
	// holds two of the renewals that VMs get whose promises do not count.
	ownerSilence = 1700 * time.Millisecond
	// electorSilence is the same for VMs that get every renewal.
	electorSilence = 700 * time.Millisecond
	// isolationTime is how long the owners of most services are out of reach until this VM sends its callers to
	// others. The change of an owner takes about a second.
	isolationTime = 1500 * time.Millisecond
)

// router finds the owner of a service for the sessions of this VM.
type router struct {
	d         *Daemon
	streams   atomic.Uint64
	isolation isolation // used by look only
	missingMu sync.Mutex
	missing   missing
}

// missing says since when this VM has not reached the owner of a service, for those that it does not reach.
type missing map[string]time.Duration

// note records whether the owner of a service is reached.
func (m missing) note(now time.Duration, service string, reached bool) {
	if reached {
		delete(m, service)
	} else if _, known := m[service]; !known {
		m[service] = now
	}
}

// patience returns how long a statement should wait for the owner of a service. It answers the load of callers
// that return to services without an owner: a statement that waits in vain could have been refused at once.
func (m missing) patience(now time.Duration, service string) time.Duration {
	if since, ok := m[service]; ok && now-since > ownerChange {
		return 0
	}
	return ownerPatience
}

// View implements entry.Router.
func (r *router) View() *directory.View { return r.d.directory.View() }

// NextStream implements entry.Router.
func (r *router) NextStream() uint64 { return r.streams.Add(1) }

// Run implements entry.Router.
func (r *router) Run(req broker.Request) (broker.Result, entry.Executor, error) {
	began := r.d.clock()
	budget := req.Timeout
	r.missingMu.Lock()
	patience := min(r.missing.patience(began, req.Service), budget)
	r.missingMu.Unlock()
	for {
		place := r.place(req.Service)
		if place != nil {
			result, err := place.Do(req, req.Timeout+entry.ResponseMargin)
			if !errors.Is(err, peer.ErrNotSent) && !result.NotOwner {
				return result, place, err
			}
		}
		waited := r.d.clock() - began
		req.Timeout = budget - waited
		if waited >= patience {
			r.d.log.Info("owner not reached", "id", req.Statement.ID, "service", req.Service, "waited", waited)
			return broker.Result{}, nil, peer.ErrNotSent
		}
		time.Sleep(ownerPoll)
	}
}

// place returns where the statements of a service run now, nil if this is not known.
func (r *router) place(service string) entry.Executor {
	v := r.View()
	t, ok := v.OwnerRecords[service]
	if !ok {
		return nil
	}
	if t.Holder == r.d.self.RunID() {
		if b := r.d.owners.broker(service); b != nil {
			return local{b}
		}
		return nil
	}
	vm, ok := v.VMs[t.Holder.Name]
	if !ok || vm.RunID() != t.Holder {
		return nil
	}
	l := r.d.peers.LinkOrDial(vm.Address)
	if l == nil || !r.d.owners.heard(t.OwnerRecord, r.silence()) {
		return nil
	}
	return l
}

// silence returns how old the last renewal of an owner may be.
func (r *router) silence() time.Duration {
	if slices.Contains(r.d.owners.members(), r.d.self.Name) {
		return electorSilence
	}
	return ownerSilence
}

// reach says for each service whether this VM hears its owner, or is the owner.
type reach map[string]bool

// reach looks at all services.
func (r *router) reach() reach {
	v := r.View()
	if v.Configuration == nil {
		return nil
	}
	silence := r.silence()
	services := make(reach, len(v.Configuration.Services))
	for service := range v.Configuration.Services {
		t, ok := v.OwnerRecords[service]
		services[service] = ok && (t.Holder == r.d.self.RunID() && r.d.owners.Valid(service) || r.d.owners.heard(t.OwnerRecord, silence))
	}
	return services
}

// count returns how many services have an owner that is reached, and how many there are.
func (s reach) count() (reached, all int) {
	for _, ok := range s {
		if ok {
			reached++
		}
	}
	return reached, len(s)
}

// noteMissing records which services have an owner that this VM reaches.
func (r *router) noteMissing(services reach) {
	now := r.d.clock()
	r.missingMu.Lock()
	defer r.missingMu.Unlock()
	for service, reached := range services {
		r.missing.note(now, service, reached)
	}
}

// ready reports whether the VM is to get new callers: it reaches the owners of most services.
func (r *router) ready() bool {
	reached, all := r.reach().count()
	return !r.d.leaving.Load() && reachesMost(reached, all)
}

// reachesMost reports whether a VM that reaches the owners of some services can serve callers. Those of one
// service are no sign of it: a VM of the same failure domain may own it and be cut off as well.
func reachesMost(reached, all int) bool { return all > 0 && 2*reached >= all }

// isolation follows since when a VM has not reached the owners of most services.
type isolation struct{ reachedAt time.Duration }

// lasts reports whether the callers of the VM are to be sent to others.
func (i *isolation) lasts(now time.Duration, reached, all int) bool {
	if reachesMost(reached, all) {
		i.reachedAt = now
	}
	return now-i.reachedAt > isolationTime
}

// look sends the callers of a VM that does not reach the owners to other VMs.
func (r *router) look() {
	r.giveUpReads()
	services := r.reach()
	r.noteMissing(services)
	reached, all := services.count()
	if r.isolation.lasts(r.d.clock(), reached, all) && r.d.callers.Sessions() > 0 {
		r.d.log.Warn("owners not reached; closing resting sessions", "sessions", r.d.callers.Sessions(),
			"reached", reached, "services", all)
		r.d.callers.CloseIdle()
	}
}

// giveUpReads ends the wait for the answers of owners that have gone silent, for statements that the
// caller can repeat. The answers to writes may still arrive.
func (r *router) giveUpReads() {
	v := r.View()
	for _, t := range v.OwnerRecords {
		vm := v.VMs[t.Holder.Name]
		if t.Holder == r.d.self.RunID() || r.d.owners.heard(t.OwnerRecord, r.silence()) {
			continue
		}
		if l := r.d.peers.OpenLink(vm.Address); l != nil {
			l.AbortRepeatable()
		}
	}
}

// local runs statements on this VM.
type local struct{ b *broker.Broker }

// Do implements entry.Place.
func (l local) Do(req broker.Request, timeout time.Duration) (broker.Result, error) {
	answer := make(chan broker.Result, 1)
	l.b.Execute(broker.StreamKey{Stream: req.Stream}, req, func(r broker.Result) { answer <- r })
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return broker.Result{}, peer.ErrNoResponse
	}
}

// EndStream implements entry.Place.
func (l local) EndStream(stream uint64) { l.b.RollBackStream(broker.StreamKey{Stream: stream}) }
