package entryvm

import (
	"cmp"
	"maps"
	"slices"

	"siskinrouter/internal/directory"
)

// preference returns the VMs in the order in which they should own a service: VMs that own fewer
// services for their processor time come first. Among equals the order is rotated by the place of the
// service, so that services that are claimed at the same time go to different VMs.
func preference(v *directory.View, service string, eligible func(directory.VM) bool) []string {
	owned := map[string]float64{}
	for _, t := range v.Tenures {
		if vm, ok := v.VMs[t.Holder.Name]; ok && t.Service != service && vm.Holder() == t.Holder {
			owned[t.Holder.Name]++
		}
	}
	names := slices.Clone(v.BySize)
	first := 0
	if v.Configuration != nil && len(names) > 0 {
		first = max(slices.Index(slices.Sorted(maps.Keys(v.Configuration.Services)), service), 0) % len(names)
	}
	names = slices.Concat(names[first:], names[:first])
	names = slices.DeleteFunc(names, func(name string) bool { return !eligible(v.VMs[name]) })
	load := func(name string) float64 { return (owned[name] + 1) / v.VMs[name].Cores }
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(load(a), load(b)) })
	return names
}

// successor returns the tenure that follows another one. Earlier owners that have ended are forgotten.
func successor(t directory.Tenure, service string, holder directory.Holder, dead func(directory.Holder) bool) directory.Tenure {
	next := directory.Tenure{Service: service, Epoch: t.Epoch + 1, Holder: holder, Primary: t.Primary}
	for _, h := range append(slices.Clone(t.Priors), t.Holder) {
		if h != (directory.Holder{}) && h != holder && !dead(h) && !slices.Contains(next.Priors, h) {
			next.Priors = append(next.Priors, h)
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
	names := v.BySize
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
func watchers(v *directory.View) []string { return v.BySize[:min(len(v.BySize), watcherCount)] }

// ownsFirst reports whether a VM owns one of the first n services by name.
func ownsFirst(v *directory.View, vm string, n int) bool {
	for _, service := range v.FirstServices(n) {
		if v.Tenures[service].Holder.Name == vm {
			return true
		}
	}
	return false
}
