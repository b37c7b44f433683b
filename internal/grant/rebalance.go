package grant

import "slices"

// ReleaseExcessSlots returns the owners after self has transferred the slots that it holds beyond
// an equal share to the candidates with the fewest. The candidates include self. Only the holder
// itself may do this, after it has stopped using the slots. changed is false if self holds no more
// than its share.
func (o Owners) ReleaseExcessSlots(self RunID, candidates []RunID) (next Owners, changed bool) {
	if len(candidates) == 0 || !slices.Contains(candidates, self) {
		return o, false
	}
	held := make(map[RunID]int)
	for _, vm := range o.Slots {
		held[vm]++
	}
	maxSlots := (len(o.Slots) + len(candidates) - 1) / len(candidates)
	ranked := slices.SortedFunc(slices.Values(candidates), RunID.Compare)
	next = o
	next.Slots = slices.Clone(o.Slots)
	for i, vm := range next.Slots {
		if vm != self || held[self] <= maxSlots {
			continue
		}
		receiver := holderOfFewest(ranked, held)
		if held[receiver] >= maxSlots {
			break
		}
		next.Slots[i] = receiver
		held[self]--
		held[receiver]++
		changed = true
	}
	return next, changed
}
