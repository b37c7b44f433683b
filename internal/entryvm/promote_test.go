package entryvm

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"siskinrouter/internal/broker"
)

// recordingPromoter records the promotions that are sent.
type recordingPromoter struct{ sent []Promotion }

func (p *recordingPromoter) Promote(ctx context.Context, promotion Promotion) error {
	if err := promotion.Confirm(ctx); err != nil {
		return notPromoted(err)
	}
	p.sent = append(p.sent, promotion)
	return nil
}

// Guards against a promotion request that reaches the coordinator after its owner has given it up, has lost the service
// or its lease, and is executed there.
func TestLatePromotionIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	o := d.ownership
	grant := func() {
		for _, name := range o.voters().Members() {
			o.recordAck(name, d.bootClock(), []string{"ledger"})
		}
	}
	grant()
	given := o.beginPromotion(o.leaseOf("ledger"))
	is.True(!o.endPromotion(given))
	is.True(!o.confirmPromotion(given)) // given up

	held := o.beginPromotion(o.leaseOf("ledger"))
	is.True(o.confirmPromotion(held))
	is.True(o.endPromotion(held)) // may have been executed

	lost := o.beginPromotion(o.leaseOf("ledger"))
	o.mu.Lock()
	delete(o.leases, "ledger")
	o.mu.Unlock()
	is.True(!o.confirmPromotion(lost)) // another VM owns the service
}

// Guards against a promotion that is sent after the VM has lost the duty to promote, or that its owner does not want.
func TestCoordinatorChecksBeforeItSends(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	p := &recordingPromoter{}
	d.deps.Promoter = p
	o := d.ownership
	wanted := func(context.Context) error { return nil }
	err := o.executePromotion(context.Background(), "ledger", "i-1", wanted) // no lease
	is.True(errors.Is(err, broker.ErrNotPromoted))
	for _, name := range o.voters().Members() {
		o.recordAck(name, d.bootClock(), []string{"ledger"})
	}
	err = o.executePromotion(context.Background(), "ledger", "i-1", func(context.Context) error { return errors.New("given up") })
	is.True(errors.Is(err, broker.ErrNotPromoted))
	is.Equal(len(p.sent), 0)
	is.NoErr(o.executePromotion(context.Background(), "ledger", "i-1", wanted))
	is.Equal(len(p.sent), 1)
}
