package entryvm

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against VMs that ask a store that does not answer again and again for each service without an owner.
// The load is six vacant services at one VM for seven seconds, a look every 100 ms; each claim takes 20 ms.
func TestClaimsOfSilentStoreAreSpaced(t *testing.T) {
	is := is.New(t)
	const outage = 7 * time.Second
	var p claimPause
	claims := 0
	for now := time.Duration(0); now < outage; now += lookInterval {
		begun := 0
		for range 6 {
			if p.begin(now) {
				begun++
			}
		}
		claims += begun
		for range begun {
			p.end(now+20*time.Millisecond, true, false)
		}
	}
	t.Logf("%d claims in %v", claims, outage)
	is.True(claims <= 6+int(outage/lastClaimPause)+3)

	// The first claim that is answered frees the others.
	now := outage + lastClaimPause
	is.True(p.begin(now))
	is.True(!p.begin(now))
	p.end(now, true, true)
	is.True(p.begin(now))
	is.True(p.begin(now))
}

// Guards against a VM that never claims again because a majority still heard the owner.
func TestClaimThatWasNotSentSaysNothing(t *testing.T) {
	is := is.New(t)
	var p claimPause
	is.True(p.begin(0))
	p.end(0, true, false)
	is.True(!p.begin(firstClaimPause / 2))
	is.True(p.begin(firstClaimPause))
	p.end(firstClaimPause, false, false)
	is.True(p.begin(firstClaimPause))
}
