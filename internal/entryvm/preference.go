package entryvm

import (
	"cmp"
	"slices"

	"siskinrouter/internal/directory"
)

// standing says how loaded the VMs of a fleet are with services.
type standing struct {
	names []string // by size
	index map[string]int
	cores []float64
	load  []float64      // services, one more included, for the processor time
	place map[string]int // of a service among all
}

// standings counts the services of all VMs.
func standings(v *directory.View) *standing {
	s := &standing{names: v.ByCores, index: make(map[string]int, len(v.ByCores)), place: map[string]int{}}
	for i, name := range s.names {
		s.index[name] = i
		s.cores = append(s.cores, v.VMs[name].Cores)
		s.load = append(s.load, 1/v.VMs[name].Cores)
	}
	for _, t := range v.OwnerRecords {
		i, ok := s.index[t.Holder.Name]
		if vm := v.VMs[t.Holder.Name]; ok && vm.RunID() == t.Holder {
			s.load[i] += 1 / vm.Cores
		}
	}
	for i, service := range v.AllServices() {
		s.place[service] = i
	}
	return s
}

// servicesPerCore is up to how many services for a core the larger VMs own before smaller ones own any. Owners
// renew with all VMs, so the messages of a fleet grow with their number. A VM of 0.8 cores with 230 services used
// 28% of its processor time.
const servicesPerCore = 60

// before reports whether VM i should own a service rather than VM j: larger VMs come first while they have room,
// then those that own fewer services for their processor time. Among equals the order is rotated by the place of
// the service, so that services that are claimed at the same time go to different VMs.
func (s *standing) before(service string, i, j int) bool {
	if s.cores[i] != s.cores[j] {
		if largerHasRoom := s.load[min(i, j)] <= servicesPerCore; largerHasRoom {
			return i < j // names are ordered by size
		}
	}
	if s.load[i] != s.load[j] {
		return s.load[i] < s.load[j]
	}
	if s.cores[i] != s.cores[j] {
		return i < j
	}
	first, n := s.group(i)
	turn := s.place[service] % n
	return (i-first-turn+n)%n < (j-first-turn+n)%n
}

// group returns the index of the first VM of the same size, and how many there are.
func (s *standing) group(i int) (first, n int) {
	first, _ = slices.BinarySearchFunc(s.cores, s.cores[i], func(a, b float64) int { return cmp.Compare(b, a) })
	end, _ := slices.BinarySearchFunc(s.cores, s.cores[i], func(a, b float64) int {
		if a >= b {
			return -1
		}
		return 1
	})
	return first, end - first
}

// rank returns how many of the eligible VMs should own a service rather than the given one; without a name, any
// service. eligible is by index.
func (s *standing) rank(service, vm string, eligible []bool) int {
	self, ok := s.index[vm]
	if !ok {
		return 0
	}
	n := 0
	for i := range s.names {
		if i != self && eligible[i] && s.before(service, i, self) {
			n++
		}
	}
	return n
}

// preference returns the eligible VMs in the order in which they should own a service.
func preference(v *directory.View, service string, eligible func(directory.VM) bool) []string {
	s := standings(v)
	names := slices.DeleteFunc(slices.Clone(s.names), func(name string) bool { return !eligible(v.VMs[name]) })
	slices.SortFunc(names, func(a, b string) int {
		if s.before(service, s.index[a], s.index[b]) {
			return -1
		}
		return 1
	})
	return names
}

// successor returns the tenure that follows another one. Earlier owners that have ended are forgotten.
func successor(t directory.OwnerRecord, service string, holder directory.RunID, dead func(directory.RunID) bool) directory.OwnerRecord {
	next := directory.OwnerRecord{Service: service, Epoch: t.Epoch + 1, Holder: holder, Primary: t.Primary}
	for _, h := range append(slices.Clone(t.Predecessors), t.Holder) {
		if h != (directory.RunID{}) && h != holder && !dead(h) && !slices.Contains(next.Predecessors, h) {
			next.Predecessors = append(next.Predecessors, h)
		}
	}
	return next
}

const (
	// allElectors is the size up to which the promises of all VMs of a fleet count.
	allElectors = 12
	// electorCount VMs of a larger fleet promise: four may be lost, and renewals do not grow with the fleet.
	electorCount = 9
)

// electors returns the VMs whose promises to owners count. The order does not depend on who owns what, so
// that two VMs that know the same fleet agree.
func electors(v *directory.View) []string {
	names := v.ByCores
	if len(names) <= allElectors {
		return names
	}
	return names[:electorCount]
}

const (
	// watcherCount VMs watch the store besides owners, so that the news arrive if all owners are cut off.
	watcherCount = 3
	// newsServices is the number of services whose owners watch the store and tell the others. If all owners
	// did so, the calls and messages after a change would grow with VMs times services.
	newsServices = 8
	// recheckers is the number of services whose owners list the store again; two, so that one may be cut off.
	recheckers = 2
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
