package grant

import (
	"slices"
	"strconv"
)

// SlotsPerDomain is the number of slots of a new owners object. Twelve slots divide equally among
// 1, 2, 3, 4, 6 or 12 VMs.
const SlotsPerDomain = 12

// Owners is the content of an owners object: the owners of one failure domain's part. The part is
// divided equally among the slots, and a VM may hold several of them. A slot may change its holder
// only when the holder's incarnation is gone or has released the slot. Writers must not change the part
// or the number of slots, because VMs that have not yet learned of it would use the old values.
type Owners struct {
	Domain      string
	Version     uint64  // of the platform object
	DomainShare Share   // of the failure domain
	Slots       []RunID // holder of each slot; the zero VM holds nothing
}

// InitialOwners returns the first owners of a domain, one of the given number of domains that
// divide a workspace equally. The slots go to vms in turn.
func InitialOwners(domain string, domains int, vms []RunID) Owners {
	o := Owners{Domain: domain, Slots: make([]RunID, SlotsPerDomain)}
	o.DomainShare = FullShare / Share(max(domains, 1))
	next, _ := o.ReassignSlots(func(RunID) bool { return false }, vms)
	return next
}

// ReassignSlots returns the owners in which the slots of VMs that are not live are held by candidates,
// those with the fewest slots first. live must report true for every VM that the platform has not
// yet stopped. changed is false if no slot changes.
func (o Owners) ReassignSlots(live func(RunID) bool, candidates []RunID) (next Owners, changed bool) {
	next = o
	next.Slots = slices.Clone(o.Slots)
	held := map[RunID]int{}
	var free []int
	for i, vm := range o.Slots {
		if vm != (RunID{}) && live(vm) {
			held[vm]++
		} else {
			free = append(free, i)
		}
	}
	ranked := slices.SortedFunc(slices.Values(candidates), RunID.Compare)
	for _, i := range free {
		vm := fewest(ranked, held)
		held[vm]++
		changed = changed || next.Slots[i] != vm
		next.Slots[i] = vm
	}
	return next, changed
}

// fewest returns the first VM that holds the fewest slots, or the zero VM if there is none.
func fewest(vms []RunID, held map[RunID]int) RunID {
	if len(vms) == 0 {
		return RunID{}
	}
	least := vms[0]
	for _, vm := range vms {
		if held[vm] < held[least] {
			least = vm
		}
	}
	return least
}

// SlotShare returns the share that one slot carries.
func (o Owners) SlotShare() Share {
	if len(o.Slots) == 0 || o.DomainShare <= 0 {
		return 0
	}
	return o.DomainShare / Share(len(o.Slots))
}

// heldBy returns the slots of vm as share by slot name.
func (o Owners) heldBy(vm RunID) map[string]Share {
	held := map[string]Share{}
	for i, holder := range o.Slots {
		if holder == vm {
			held[slotName(o.Domain, i)] = o.SlotShare()
		}
	}
	return held
}

// slotName names slot i of a domain.
func slotName(domain string, i int) string {
	return domain + "#" + strconv.Itoa(i)
}
