package entryvm

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/entry"
	"siskinrouter/internal/peer"
)

const (
	// ownerWaitTimeout is how long a statement waits while its service has no reachable owner. A planned hand-over
	// takes less; after an owner failure, statements are refused and callers retry.
	ownerWaitTimeout = 300 * time.Millisecond
	// ownerChangeTime is the time in which a failed owner is usually replaced: the suspect timeout and the write of
	// the next owner record. After that, statements no longer wait.
	ownerChangeTime = 1200 * time.Millisecond
	// ownerPollInterval is the time between two attempts to reach the owner.
	ownerPollInterval = 15 * time.Millisecond
	// maxOwnerSilence is the age of the last renewal up to which a VM that is not a voter considers an owner
	// reachable. It covers two of the renewals that such a VM receives.
	maxOwnerSilence = 1700 * time.Millisecond
	// maxOwnerSilenceVoter is the same for voters, which receive every renewal.
	maxOwnerSilenceVoter = 700 * time.Millisecond
	// isolationTimeout is how long most owners must be unreachable before this VM closes idle sessions, so that
	// callers connect to other VMs. Replacing an owner takes about a second.
	isolationTimeout = 1500 * time.Millisecond
)

// router routes the statements of this VM's sessions to the owners of services.
type router struct {
	d             *Daemon
	streams       atomic.Uint64
	isolation     isolation // used by checkOwners only
	unreachableMu sync.Mutex
	unreachable   unreachableOwners
	readers       readerHealth
	// nearReads and leftReads count the reads that a reader of the failure domain served or left to the owner, regionReads
	// those served by a reader in another failure domain of the region.
	nearReads, leftReads, regionReads metrics.Counter
}

// unreachableOwners holds, by service, since when this VM has not reached the owner.
type unreachableOwners map[string]time.Duration

// record updates the state of a service by whether its owner is reachable.
func (u unreachableOwners) record(now time.Duration, service string, reached bool) {
	if reached {
		delete(u, service)
	} else if _, known := u[service]; !known {
		u[service] = now
	}
}

// waitTimeout returns how long a statement should wait for the owner of a service. It limits the load of callers that
// retry against services without an owner: a statement that waits in vain could have been refused at once.
func (u unreachableOwners) waitTimeout(now time.Duration, service string) time.Duration {
	if since, ok := u[service]; ok && now-since > ownerChangeTime {
		return 0
	}
	return ownerWaitTimeout
}

// View implements entry.Router.
func (r *router) View() *directory.View { return r.d.directory.View() }

// NextStream implements entry.Router.
func (r *router) NextStream() uint64 { return r.streams.Add(1) }

// Run implements entry.Router.
func (r *router) Run(req broker.Request) (broker.Result, entry.Executor, error) {
	began := r.d.clock()
	timeout := req.Timeout
	if result, executor, admitted, served := r.runNear(req); served {
		return result, executor, nil
	} else {
		req.Admitted = req.Admitted || admitted
		req.GivenUp = result.GivenUp
	}
	req.Timeout = timeout - (r.d.clock() - began)
	r.unreachableMu.Lock()
	wait := min(r.unreachable.waitTimeout(began, req.Service), timeout)
	r.unreachableMu.Unlock()
	for {
		executor := r.executor(req.Service)
		reason := peer.ErrNotSent
		if executor != nil {
			result, err := executor.Do(req, req.Timeout+entry.ResponseMargin)
			if !errors.Is(err, peer.ErrNotSent) && !result.NotOwner {
				return result, executor, err
			}
			if errors.Is(err, peer.ErrNoMemory) {
				reason = peer.ErrNoMemory
			}
		}
		waited := r.d.clock() - began
		req.Timeout = timeout - waited
		if waited >= wait {
			r.d.log.Info("owner unreachable", "id", req.Statement.ID, "service", req.Service, "waited", waited, "error", reason)
			return broker.Result{}, nil, reason
		}
		time.Sleep(ownerPollInterval)
	}
}

// executor returns where the statements of a service currently run, or nil if that is unknown.
func (r *router) executor(service string) entry.Executor {
	v := r.View()
	record, ok := v.OwnerRecords[service]
	if !ok {
		return nil
	}
	if record.Holder == r.d.self.RunID() {
		if b := r.d.ownership.broker(service); b != nil {
			return localExecutor{b, r.d.cutOff}
		}
		return nil
	}
	vm, ok := v.VMs[record.Holder.Name]
	if !ok || vm.RunID() != record.Holder {
		return nil
	}
	l := r.d.peers.LinkOrDial(vm.Address)
	if l == nil || !r.d.ownership.heardWithin(record.OwnerRecord, r.maxSilence()) {
		return nil
	}
	return l
}

// maxSilence returns the maximum age of the last renewal of a reachable owner.
func (r *router) maxSilence() time.Duration {
	if r.d.ownership.voters().Votes(r.d.self.Name) {
		return maxOwnerSilenceVoter
	}
	return maxOwnerSilence
}

// reachability holds for each service whether this VM is its owner or receives its owner's renewals.
type reachability map[string]bool

// reachability checks all services.
func (r *router) reachability() reachability {
	v := r.View()
	if v.Configuration == nil {
		return nil
	}
	silence := r.maxSilence()
	services := make(reachability, len(v.Configuration.Services))
	for service := range v.Configuration.Services {
		record, ok := v.OwnerRecords[service]
		switch {
		case !ok:
			services[service] = false
		case record.Holder == r.d.self.RunID():
			services[service] = r.d.ownership.Valid(service)
		default:
			services[service] = r.d.ownership.heardWithin(record.OwnerRecord, silence)
		}
	}
	return services
}

// count returns the number of services with a reachable owner, and the number of all services.
func (r reachability) count() (reached, all int) {
	for _, ok := range r {
		if ok {
			reached++
		}
	}
	return reached, len(r)
}

// recordReachability records which services have a reachable owner.
func (r *router) recordReachability(services reachability) {
	now := r.d.clock()
	r.unreachableMu.Lock()
	defer r.unreachableMu.Unlock()
	for service, reached := range services {
		r.unreachable.record(now, service, reached)
	}
}

// ready reports whether the VM should receive new callers: the owners of most services are reachable.
func (r *router) ready() bool {
	reached, all := r.reachability().count()
	return !r.d.leaving.Load() && reachesMost(reached, all)
}

// reachesMost reports whether a VM can serve callers, given the number of reachable owners. Reaching the owner of one
// service proves nothing: it may run in the same failure domain and be isolated as well.
func reachesMost(reached, all int) bool { return all > 0 && 2*reached >= all }

// isolation tracks since when most owners have been unreachable.
type isolation struct{ reachedAt time.Duration }

// isolated reports whether the VM should close its idle sessions, so that callers connect to other VMs.
func (i *isolation) isolated(now time.Duration, reached, all int) bool {
	if reachesMost(reached, all) {
		i.reachedAt = now
	}
	return now-i.reachedAt > isolationTimeout
}

// checkOwners aborts reads at unreachable owners, and closes idle sessions if this VM is isolated from the owners.
func (r *router) checkOwners() {
	r.abortReads()
	services := r.reachability()
	r.recordReachability(services)
	reached, all := services.count()
	if r.isolation.isolated(r.d.clock(), reached, all) && r.d.callers.Sessions() > 0 {
		r.d.log.Warn("owners unreachable; closing idle sessions", "sessions", r.d.callers.Sessions(),
			"reached", reached, "services", all)
		r.d.callers.CloseIdle()
	}
}

// abortReads stops waiting for owners that have gone silent, for statements that the caller can repeat. The responses
// to writes may still arrive.
func (r *router) abortReads() {
	v := r.View()
	for _, record := range v.OwnerRecords {
		vm := v.VMs[record.Holder.Name]
		if record.Holder == r.d.self.RunID() || r.d.ownership.heardWithin(record.OwnerRecord, r.maxSilence()) {
			continue
		}
		if l := r.d.peers.OpenLink(vm.Address); l != nil {
			l.AbortRepeatable()
		}
	}
}

// localExecutor runs statements on this VM.
type localExecutor struct {
	b *broker.Broker
	// cutOff is closed when the VM exits and waits no longer for servers.
	cutOff chan struct{}
}

// Do implements entry.Executor.
func (l localExecutor) Do(req broker.Request, timeout time.Duration) (broker.Result, error) {
	results := make(chan broker.Result, 1)
	l.b.Execute(broker.StreamKey{Stream: req.Stream}, req, func(r broker.Result) { results <- r })
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case r := <-results:
		return r, nil
	case <-ctx.Done():
	case <-l.cutOff:
	}
	return broker.Result{}, peer.ErrNoResponse
}

// EndStream implements entry.Executor.
func (l localExecutor) EndStream(stream uint64) { l.b.RollBackStream(broker.StreamKey{Stream: stream}) }
