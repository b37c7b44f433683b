package entryvm

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
)

// Guards against a flood of store calls during an outage: without a backoff, a VM retries the claim of each vacant
// service at every check. The load is six vacant services at one VM for seven seconds, a check every 100 ms; each
// claim takes 20 ms.
func TestClaimsOfSilentStoreAreSpaced(t *testing.T) {
	is := is.New(t)
	const outage = 7 * time.Second
	var p claimBackoff
	claims := 0
	for now := time.Duration(0); now < outage; now += checkInterval {
		begun := 0
		for range 6 {
			if p.allow(now) {
				begun++
			}
		}
		claims += begun
		for range begun {
			p.record(now+20*time.Millisecond, true, false)
		}
	}
	t.Logf("%d claims in %v", claims, outage)
	is.True(claims <= 6+int(outage/maxClaimBackoff)+3)

	// The first claim with a response ends the backoff.
	now := outage + maxClaimBackoff
	is.True(p.allow(now))
	is.True(!p.allow(now))
	p.record(now, true, true)
	is.True(p.allow(now))
	is.True(p.allow(now))
}

// Guards against a VM that stops claiming for good: a claim that is not sent, because a majority still hears the
// owner, must release the backoff.
func TestClaimThatWasNotSentSaysNothing(t *testing.T) {
	is := is.New(t)
	var p claimBackoff
	is.True(p.allow(0))
	p.record(0, true, false)
	is.True(!p.allow(minClaimBackoff / 2))
	is.True(p.allow(minClaimBackoff))
	p.record(minClaimBackoff, false, false)
	is.True(p.allow(minClaimBackoff))
}

// Guards against two valid leases after a takeover and a hand-over in quick succession: the successor does not wait for the
// reads of the first owner, so the second one has to have waited.
func TestHandOverWaitsForReadsOfPredecessors(t *testing.T) {
	is := is.New(t)
	s := &returnedStore{}
	d := isolatedOwner(t, "ledger")
	d.deps.Store = s
	o := d.ownership
	first := directory.RunID{Name: "b", Incarnation: 1}
	s.stored = directory.Entry{Name: "service.ledger", Revision: 7, OwnerRecord: &directory.OwnerRecord{Service: "ledger", Epoch: 3,
		Holder: d.self.RunID(), Predecessors: []directory.RunID{first}}}
	o.leases["ledger"] = lease.New(d.bootClock(), *s.stored.OwnerRecord)
	d.directory.Put(0, directory.Fleet, s.stored)
	o.recordAck("a", d.bootClock(), []string{"ledger"})
	o.recordAck("b", d.bootClock(), []string{"ledger"})
	record := d.directory.View().OwnerRecords["ledger"]
	o.handOverTo(t.Context(), record, directory.VM{Name: "c", Incarnation: 2})
	is.Equal(s.writes, 0)
	o.leases["ledger"].Since -= lease.RecordTTL + lease.SafetyMargin
	o.handOverTo(t.Context(), record, directory.VM{Name: "c", Incarnation: 2})
	is.Equal(s.writes, 1)
}
