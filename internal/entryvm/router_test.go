package entryvm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that stay with the VMs of a failure domain that is cut off: its VMs went on hearing the
// one owner among them, which had lost its lease, and refused what they were asked for the whole cut.
func TestCallersLeaveCutDomain(t *testing.T) {
	is := is.New(t)
	var i isolation
	const services = 8
	now := 10 * time.Second
	is.True(!i.lasts(now, services, services))
	for cut := now; now < cut+isolationTime; now += 250 * time.Millisecond {
		is.True(!i.lasts(now, 1, services)) // as long as the change of an owner may last
	}
	is.True(i.lasts(now+time.Millisecond, 1, services))
	is.True(!i.lasts(now+time.Second, services-1, services)) // after the cut

	// One lost owner of three is no isolation.
	for range 20 {
		now += 250 * time.Millisecond
		is.True(!i.lasts(now, 2, 3))
	}
}

// Guards against statements that wait although their service has had no owner for long, and against refusals
// during a usual change of owner. The load is a statement every 10 ms while an owner is missing for four seconds.
func TestPatienceWithMissingOwner(t *testing.T) {
	is := is.New(t)
	m := missing{}
	const lost, back = 10 * time.Second, 14 * time.Second
	var waited time.Duration
	for now := 9 * time.Second; now < 15*time.Second; now += 10 * time.Millisecond {
		m.note(now, "ledger", now < lost || now >= back)
		patience := m.patience(now, "ledger")
		switch {
		case now < lost+ownerChange || now >= back:
			is.Equal(patience, ownerPatience)
		case now > lost+ownerChange:
			is.Equal(patience, time.Duration(0))
		}
		if now >= lost && now < back {
			waited += min(patience, back-now)
		}
		is.Equal(m.patience(now, "other"), ownerPatience)
	}
	t.Logf("400 callers waited for %v in all", waited)
	is.True(waited <= 2*ownerPatience*time.Duration(ownerChange/(10*time.Millisecond)))
}
