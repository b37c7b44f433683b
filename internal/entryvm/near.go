package entryvm

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/entry"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/placement"
)

const (
	// readerAttempts is the number of VMs that are considered for a read at the replicas.
	readerAttempts = 2
	// readerLinkTimeout is the time without any message from a reader after which a read that waits for it goes to the
	// owner. It covers the probe of the link, a round trip within the failure domain and the pauses of a busy VM.
	readerLinkTimeout = 350 * time.Millisecond
	// readerSilence is the time after which a reader that does not respond gets no further reads.
	readerSilence = 100 * time.Millisecond
	// readerBackoff is how long a reader that did not respond gets no reads.
	readerBackoff = time.Second
)

// hasReplica reports whether a service has a usable replica in a failure domain.
func hasReplica(v *directory.View, service, domain string) bool {
	return slices.ContainsFunc(v.ServersOf(service), func(id string) bool {
		s := v.Servers[id]
		return s.Domain == domain && !s.Primary && !s.WarmingUp && v.Usable(id)
	})
}

// ownedIn reports whether a VM of a failure domain owns a service.
func ownedIn(v *directory.View, service, domain string) bool {
	return v.VMs[v.OwnerRecords[service].Holder.Name].Domain == domain
}

// readDomain returns the failure domain at whose replicas a VM of a domain reads a service: its own one, or one of its
// region if its own has no replica and the owner is in another region. It is empty if the owner serves the reads.
func readDomain(v *directory.View, regions placement.Regions, service, domain string) string {
	if ownedIn(v, service, domain) {
		return ""
	}
	if hasReplica(v, service, domain) {
		return domain
	}
	if !regions.Differ(v.VMs[v.OwnerRecords[service].Holder.Name].Domain, domain) {
		return ""
	}
	var others []string
	turn := 0
	for _, d := range slices.Sorted(maps.Keys(regions)) {
		switch {
		case !regions.Share(d, domain):
		case hasReplica(v, service, d) && len(v.VMsIn(d)) > 0:
			others = append(others, d)
		case d < domain:
			turn++ // domains without a replica take turns
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[turn%len(others)]
}

// readersOf returns the VMs of a failure domain that should serve reads of a service at its replicas, in order of
// preference. The callers of all VMs share the few connections of a replica, so they have to use the same VM. Services
// are spread over the VMs of at least half the cores of the largest one.
func readersOf(v *directory.View, service, domain string) []directory.VM {
	names := v.VMsIn(domain)
	n := 0
	for n < len(names) && 2*v.VMs[names[n]].Cores >= v.VMs[names[0]].Cores {
		n++
	}
	index, _ := slices.BinarySearch(v.AllServices(), service)
	var readers []directory.VM
	for i := range min(n, readerAttempts) {
		readers = append(readers, v.VMs[names[(index+i)%n]])
	}
	return readers
}

// readerRank returns the position of a VM among the readers of a service in its failure domain, or -1.
func readerRank(v *directory.View, service string, self directory.VM) int {
	return slices.IndexFunc(readersOf(v, service, self.Domain), func(vm directory.VM) bool { return vm.Name == self.Name })
}

// readerHealth holds until when a reader gets no reads, by VM.
type readerHealth struct {
	mu        sync.Mutex
	skipUntil map[string]time.Duration
}

// failed records that a VM did not respond to a read.
func (h *readerHealth) failed(now time.Duration, vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.skipUntil[vm] = now + readerBackoff
}

// usable reports whether a VM may get reads.
func (h *readerHealth) usable(now time.Duration, vm string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now >= h.skipUntil[vm]
}

// runNear runs the first statement of a read at the replicas of this VM's failure domain. served is false if the owner
// has to run it; admitted then reports whether it was counted against the rate limit.
func (r *router) runNear(req broker.Request) (result broker.Result, executor entry.Executor, admitted, served bool) {
	v := r.View()
	if !req.ReplicaCanServe() {
		return result, nil, false, false
	}
	domain := readDomain(v, r.d.settings.Load().Regions, req.Service, r.d.self.Domain)
	if domain == "" {
		return result, nil, false, false
	}
	now := r.d.clock()
	for _, vm := range readersOf(v, req.Service, domain) {
		executor := r.reader(now, vm, req.Service)
		if executor == nil {
			continue
		}
		req.AtReplicas = true
		result, err := doAtReader(executor, req)
		switch {
		case err == nil && !result.NotOwner:
			if domain == r.d.self.Domain {
				r.nearReads.Inc(1)
			} else {
				r.regionReads.Inc(1)
			}
			return result, executor, true, true
		case err == nil:
			r.leftReads.Inc(1)
			return result, nil, result.Admitted, false
		case errors.Is(err, peer.ErrNotSent):
			continue
		}
		// The read may still run there; it changes nothing, and the owner serves it instead.
		if req.Begin != 0 {
			executor.EndStream(req.Stream)
		}
		r.readers.failed(r.d.clock(), vm.Name)
		r.d.log.Info("reader of replicas does not respond", "id", req.Statement.ID, "service", req.Service, "vm", vm.Name,
			"error", err)
		return result, nil, false, false
	}
	return result, nil, false, false
}

// doAtReader runs a read at a reader. A read may take its whole timeout while the VM of the reader is alive.
func doAtReader(executor entry.Executor, req broker.Request) (broker.Result, error) {
	timeout := req.Timeout + entry.ResponseMargin
	if l, ok := executor.(*peer.Link); ok {
		return l.DoWhileAlive(req, timeout, readerLinkTimeout)
	}
	return executor.Do(req, timeout)
}

// reader returns the executor of the reads that a VM serves at the replicas, or nil if it cannot be used now.
func (r *router) reader(now time.Duration, vm directory.VM, service string) entry.Executor {
	if vm.Name == r.d.self.Name {
		if b := r.d.replicaReaders.broker(service); b != nil {
			return localExecutor{b, r.d.cutOff}
		}
		return nil
	}
	if !r.readers.usable(now, vm.Name) {
		return nil
	}
	l := r.d.peers.LinkOrDial(vm.Address)
	if l == nil || l.Silent(readerSilence) {
		return nil
	}
	return l
}
