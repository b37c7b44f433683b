package devplatform

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/platform"
)

// Guards against a list without lag, and against a stopped or replaced incarnation that comes back.
func TestVMList(t *testing.T) {
	is := is.New(t)
	const lag, expiry = 2 * time.Second, 5 * time.Second
	l := newVMList(lag, expiry)
	begin := time.Unix(1000, 0)
	at := func(s int) time.Time { return begin.Add(time.Duration(s) * time.Second) }
	vm := platform.VM{Name: "vm1", Incarnation: "i1", State: platform.VMLive}
	states := func(s int) string {
		text := ""
		for _, v := range l.list(at(s)) {
			text += v.Incarnation + "=" + string(v.State)
		}
		return text
	}

	is.NoErr(l.renew(at(0), vm))
	is.Equal(states(1), "")
	is.Equal(states(2), "i1=live")
	vm.State = platform.VMLeaving
	is.NoErr(l.renew(at(4), vm))
	is.Equal(states(5), "i1=live")
	is.Equal(states(6), "i1=leaving")
	is.Equal(states(10), "i1=leaving") // expired at 9, shown at 11
	is.Equal(states(11), "")
	is.Equal(l.renew(at(12), vm), platform.ErrStopped)

	second := platform.VM{Name: "vm1", Incarnation: "i2", State: platform.VMLive}
	is.NoErr(l.renew(at(12), second))
	is.Equal(l.renew(at(13), vm), platform.ErrStopped)
	is.Equal(states(14), "i2=live")
	l.stop(at(14), "vm1")
	is.Equal(states(15), "i2=live")
	is.Equal(states(16), "")
	is.Equal(l.renew(at(16), second), platform.ErrStopped)
}
