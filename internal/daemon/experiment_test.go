package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/fleetconfig"
)

// Guards against a baseline that admits more than the part of one VM, or nothing after a pause.
func TestStaticSplit(t *testing.T) {
	is := is.New(t)
	s := make(split)
	w := fleetconfig.Workspace{Name: "w", Rate: 40, Burst: 20}
	admitted := func(now time.Duration, attempts int) (n int) {
		for range attempts {
			if ok, _, known := s.admit(now, w, 4); ok && known {
				n++
			}
		}
		return n
	}
	is.Equal(admitted(0, 10), 5)                    // a quarter of the burst
	is.Equal(admitted(200*time.Millisecond, 10), 2) // a quarter of the rate
	is.Equal(admitted(10*time.Second, 10), 5)       // not more than the burst after a pause
	_, _, known := s.admit(0, fleetconfig.Workspace{}, 4)
	is.True(!known)
}

// Guards against an experiment that changes routes without being asked to.
func TestPrimaryOnlyReads(t *testing.T) {
	is := is.New(t)
	r := fleetconfig.Route{Name: "lookup", ReadOnly: true}
	is.Equal(Experiment{}.route(r), r)
	is.True(!Experiment{PrimaryOnlyReads: true}.route(r).ReadOnly)
}
