package entryvm

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinrouter/internal/directory"
)

// preference returns the VMs in the order in which they should own a service: VMs that own fewer
// services come first, then those with more processor time, then the order of a hash, which spreads
// services that are claimed at the same time.
func preference(v *directory.View, service string, eligible func(directory.VM) bool) []string {
	owned := map[string]float64{}
	for _, t := range v.Tenures {
		if vm, ok := v.VMs[t.Holder.Name]; ok && t.Service != service && vm.Holder() == t.Holder {
			owned[t.Holder.Name]++
		}
	}
	var vms []directory.VM
	for _, vm := range v.VMs {
		if !vm.Leaving && eligible(vm) {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b directory.VM) int {
		return cmp.Or(
			cmp.Compare((owned[a.Name]+1)/a.Cores, (owned[b.Name]+1)/b.Cores),
			cmp.Compare(weight(a.Name, service), weight(b.Name, service)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

// weight orders VMs differently for each service.
func weight(vm, service string) uint64 { return xxhash.Sum64String(service + "/" + vm) }

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
	names := bySize(v)
	if len(names) <= allElectors {
		return names
	}
	return names[:electorCount]
}

// bySize returns the VMs in the order of their processor time.
func bySize(v *directory.View) []string {
	vms := make([]directory.VM, 0, len(v.VMs))
	for _, vm := range v.VMs {
		if !vm.Leaving {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b directory.VM) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(weight(a.Name, ""), weight(b.Name, "")),
			cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}
