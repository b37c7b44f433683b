package entryvm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that stay connected to the VMs of an isolated failure domain: these VMs still received
// renewals from the one owner among them, which had lost its lease, and refused statements for the whole isolation.
func TestCallersLeaveIsolatedDomain(t *testing.T) {
	is := is.New(t)
	var i isolation
	const services = 8
	now := 10 * time.Second
	is.True(!i.isolated(now, services, services))
	for cut := now; now < cut+isolationTimeout; now += 250 * time.Millisecond {
		is.True(!i.isolated(now, 1, services)) // an owner change may take this long
	}
	is.True(i.isolated(now+time.Millisecond, 1, services))
	is.True(!i.isolated(now+time.Second, services-1, services)) // after the isolation

	// One failed owner of three does not count as isolation.
	for range 20 {
		now += 250 * time.Millisecond
		is.True(!i.isolated(now, 2, 3))
	}
}

// Guards against statements that wait although their service has had no owner for long, and against refusals during a
// normal owner change. The load is a statement every 10 ms while an owner is missing for four seconds.
func TestWaitTimeoutWithMissingOwner(t *testing.T) {
	is := is.New(t)
	m := unreachableOwners{}
	const lost, back = 10 * time.Second, 14 * time.Second
	var waited time.Duration
	for now := 9 * time.Second; now < 15*time.Second; now += 10 * time.Millisecond {
		m.record(now, "ledger", now < lost || now >= back)
		wait := m.waitTimeout(now, "ledger")
		switch {
		case now < lost+ownerChangeTime || now >= back:
			is.Equal(wait, ownerWaitTimeout)
		case now > lost+ownerChangeTime:
			is.Equal(wait, time.Duration(0))
		}
		if now >= lost && now < back {
			waited += min(wait, back-now)
		}
		is.Equal(m.waitTimeout(now, "other"), ownerWaitTimeout)
	}
	t.Logf("400 callers waited for %v in all", waited)
	is.True(waited <= 2*ownerWaitTimeout*time.Duration(ownerChangeTime/(10*time.Millisecond)))
}
