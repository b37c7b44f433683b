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
