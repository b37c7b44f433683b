package ring

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an unbounded queue: a full ring must reject values instead of growing or blocking.
func TestFullRingRefuses(t *testing.T) {
	is := is.New(t)
	r := New[int](2)
	is.True(r.Offer(1))
	is.True(r.Offer(2))
	is.True(!r.Offer(3))
	is.Equal(r.Dropped(), int64(1))
	is.Equal(<-r.C(), 1)
	is.True(r.Offer(4))
}
