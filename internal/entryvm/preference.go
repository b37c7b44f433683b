package entryvm

import (
	"cmp"
	"slices"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
)

// loadRanking ranks the VMs of a fleet by how many services they own relative to their size.
type loadRanking struct {
	names        []string // by size
	index        map[string]int
	cores        []float64
	load         []float64      // services per core, counting one more service than the VM owns
	serviceIndex map[string]int // index of a service among all services
}

// newLoadRanking counts the services of all VMs.
func newLoadRanking(v *directory.View) *loadRanking {
	ranking := &loadRanking{names: v.ByCores, index: make(map[string]int, len(v.ByCores)), serviceIndex: map[string]int{}}
	for i, name := range ranking.names {
		ranking.index[name] = i
		ranking.cores = append(ranking.cores, v.VMs[name].Cores)
		ranking.load = append(ranking.load, 1/v.VMs[name].Cores)
	}
	for _, record := range v.OwnerRecords {
		i, ok := ranking.index[record.Holder.Name]
		if vm := v.VMs[record.Holder.Name]; ok && vm.RunID() == record.Holder {
			ranking.load[i] += 1 / vm.Cores
		}
	}
	for i, service := range v.AllServices() {
		ranking.serviceIndex[service] = i
	}
	return ranking
}

// maxServicesPerCore is the number of services per core up to which larger VMs are preferred over smaller ones.
// Owners exchange renewals with all VMs, so the messages in a fleet grow with the number of owners. A VM of 0.8 cores
// with 230 services used 28% of its CPU time.
const maxServicesPerCore = 60

// before reports whether VM i is preferred over VM j as the owner of a service: larger VMs come first while they are
// below maxServicesPerCore, then those with fewer services per core. Equal VMs are rotated by the index of the
// service, so that services claimed at the same time go to different VMs.
func (r *loadRanking) before(service string, i, j int) bool {
	if r.cores[i] != r.cores[j] {
		if largerHasRoom := r.load[min(i, j)] <= maxServicesPerCore; largerHasRoom {
			return i < j // names are ordered by size
		}
	}
	if r.load[i] != r.load[j] {
		return r.load[i] < r.load[j]
	}
	if r.cores[i] != r.cores[j] {
		return i < j
	}
	first, n := r.sameSize(i)
	turn := r.serviceIndex[service] % n
	return (i-first-turn+n)%n < (j-first-turn+n)%n
}

// sameSize returns the index of the first VM of the same size, and how many there are.
func (r *loadRanking) sameSize(i int) (first, n int) {
	first, _ = slices.BinarySearchFunc(r.cores, r.cores[i], func(a, b float64) int { return cmp.Compare(b, a) })
	end, _ := slices.BinarySearchFunc(r.cores, r.cores[i], func(a, b float64) int {
		if a >= b {
			return -1
		}
		return 1
	})
	return first, end - first
}

// rank returns how many eligible VMs are preferred over the given one as the owner of a service; an empty service
// stands for any. eligible is by VM index.
func (r *loadRanking) rank(service, vm string, eligible []bool) int {
	self, ok := r.index[vm]
	if !ok {
		return 0
	}
	n := 0
	for i := range r.names {
		if i != self && eligible[i] && r.before(service, i, self) {
			n++
		}
	}
	return n
}

// preferredVMs returns the eligible VMs in order of preference as the owner of a service.
func preferredVMs(v *directory.View, service string, eligible func(directory.VM) bool) []string {
	ranking := newLoadRanking(v)
	names := slices.DeleteFunc(slices.Clone(ranking.names), func(name string) bool { return !eligible(v.VMs[name]) })
	slices.SortFunc(names, func(a, b string) int {
		if ranking.before(service, ranking.index[a], ranking.index[b]) {
			return -1
		}
		return 1
	})
	return names
}

// nextRecord returns the owner record that succeeds another one in an era of the store. Predecessors that have ended are
// dropped.
func nextRecord(record directory.OwnerRecord, service string, holder directory.RunID, era uint64,
	ended func(directory.RunID) bool) directory.OwnerRecord {
	next := directory.OwnerRecord{Service: service, Epoch: lease.NextEpoch(record.Epoch, era), Holder: holder,
		Primary: record.Primary, PrimaryTerm: record.PrimaryTerm, Era: era,
		LostPredecessors: record.LostPredecessors || record.Era < era}
	for _, run := range append(slices.Clone(record.Predecessors), record.Holder) {
		if run != (directory.RunID{}) && run != holder && !ended(run) && !slices.Contains(next.Predecessors, run) {
			next.Predecessors = append(next.Predecessors, run)
		}
	}
	return next
}

const (
	// watcherCount VMs watch the store in addition to owners, so that changes still arrive if all owners are
	// isolated.
	watcherCount = 3
	// watchingServices is the number of services whose owners watch the store and announce changes. If all owners did
	// so, the calls and messages after a change would grow with VMs times services.
	watchingServices = 8
	// relisters is the number of services whose owners relist the store; two, so that one may be isolated.
	relisters = 2
)

// watchers returns the VMs that watch the store even if they own no service.
func watchers(v *directory.View) []string { return v.ByCores[:min(len(v.ByCores), watcherCount)] }

// ownsFirst reports whether a VM owns one of the first n services by name.
func ownsFirst(v *directory.View, vm string, n int) bool {
	for _, service := range v.FirstServices(n) {
		if v.OwnerRecords[service].Holder.Name == vm {
			return true
		}
	}
	return false
}
