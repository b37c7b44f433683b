package devplatform

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a quota that admits more than its rate, or that saves up more than one second.
func TestQuotaRate(t *testing.T) {
	is := is.New(t)
	q := newQuota(10)
	now := time.Unix(1000, 0)
	taken := func() int {
		n := 0
		for q.take(now) {
			n++
		}
		return n
	}
	is.Equal(taken(), 10)
	now = now.Add(500 * time.Millisecond)
	is.Equal(taken(), 5)
	now = now.Add(time.Minute)
	is.Equal(taken(), 10)
}
