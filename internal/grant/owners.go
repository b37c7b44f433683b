package grant

import (
	"slices"
	"strconv"
)

// SlotsPerDomain is the number of slots of a new owners object. Twelve slots divide equally among
// 1, 2, 3, 4, 6 or 12 VMs.
const SlotsPerDomain = 12

// Owners is the content of an owners object: the owners of one failure domain's share. The share is
// divided equally among the slots, and a VM may hold several of them. The holder of a slot may
// change only when the holder's incarnation has ended or has released the slot. Writers must not
// change DomainShare or the number of slots, because VMs that have not yet seen the change would
// use the old values.
type Owners struct {
	Domain      string
	Version     uint64  // of the platform object
	DomainShare Share   // of the failure domain
	Slots       []RunID // holder of each slot; the zero RunID means that there is none
}

// InitialOwners returns the first owners of a domain, which is one of the given number of domains
// that divide a workspace equally. The slots go to vms in turn.
func InitialOwners(domain string, domains int, vms []RunID) Owners {
	o := Owners{Domain: domain, Slots: make([]RunID, SlotsPerDomain)}
	o.DomainShare = FullShare / Share(max(domains, 1))
	next, _ := o.ReassignSlots(func(RunID) bool { return false }, vms)
	return next
}

// ReassignSlots returns the owners after the transfer of slots without a live holder to candidates,
// those with the fewest slots first. live must report true for every run that the platform has not
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
		vm := holderOfFewest(ranked, held)
		held[vm]++
		changed = changed || next.Slots[i] != vm
		next.Slots[i] = vm
	}
	return next, changed
}

// holderOfFewest returns the first run that holds the fewest slots, or the zero RunID if vms is
// empty.
func holderOfFewest(vms []RunID, held map[RunID]int) RunID {
	if len(vms) == 0 {
		return RunID{}
	}
	best := vms[0]
	for _, vm := range vms {
		if held[vm] < held[best] {
			best = vm
		}
	}
	return best
}

// SlotShare returns the share of one slot.
func (o Owners) SlotShare() Share {
	if len(o.Slots) == 0 || o.DomainShare <= 0 {
		return 0
	}
	return o.DomainShare / Share(len(o.Slots))
}

// slotsHeldBy returns the slots of vm as share by slot name.
func (o Owners) slotsHeldBy(vm RunID) map[string]Share {
	held := map[string]Share{}
	for i, holder := range o.Slots {
		if holder == vm {
			held[slotName(o.Domain, i)] = o.SlotShare()
		}
	}
	return held
}

// slotName returns the name of slot i of a domain.
func slotName(domain string, i int) string {
	return domain + "#" + strconv.Itoa(i)
}
