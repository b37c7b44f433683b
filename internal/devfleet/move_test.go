package devfleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a withdrawal of the primary's failure domain that stops or fails writes: they wait for
// the planned change of primary, and none ends with an error.
func TestWithdrawnDomainMovesPrimaryWithoutErrors(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, small())
	ctx := context.Background()
	g := f.Groups[0]
	domain := g.Primary().Domain()
	conn := connect(t, f, f.VM(1), "w1", "")
	_, err := f.Operator.WithdrawDomain(ctx, domain, "test", false)
	is.NoErr(err)
	var worst time.Duration
	for start := time.Now(); time.Since(start) < 4*time.Second; {
		begin := time.Now()
		_, err := conn.Exec(ctx, "PUT a 1")
		is.NoErr(err)
		worst = max(worst, time.Since(begin))
	}
	t.Logf("longest write %v", worst)
	is.True(g.Primary().Domain() != domain)
	is.True(worst < 2*time.Second)
}
