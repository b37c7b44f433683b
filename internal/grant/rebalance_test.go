package grant

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an uneven division of slots: the VM that starts first keeps the whole share of a
// failure domain. Also guards against a VM that transfers slots of another holder.
func TestRebalancePassesOnOwnSlotsOnly(t *testing.T) {
	is := is.New(t)
	a, b, c := RunID{Name: "a", Incarnation: 1}, RunID{Name: "b", Incarnation: 1}, RunID{Name: "c", Incarnation: 1}
	all := []RunID{a, b, c}
	o := InitialOwners("d", 1, []RunID{a})

	next, changed := o.ReleaseExcessSlots(a, all)
	is.True(changed)
	held := map[RunID]int{}
	for _, vm := range next.Slots {
		held[vm]++
	}
	is.Equal(held, map[RunID]int{a: 4, b: 4, c: 4})

	_, changed = o.ReleaseExcessSlots(b, all)
	is.True(!changed)
	_, changed = next.ReleaseExcessSlots(a, all)
	is.True(!changed)
}
