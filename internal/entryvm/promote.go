package entryvm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/peer"
)

const (
	// promotionTimeout bounds a promotion executed by another VM. That VM gives up after executionTimeout, so that its
	// response arrives in time.
	promotionTimeout = 2 * time.Second
	executionTimeout = 1700 * time.Millisecond
	// confirmTimeout bounds the question whether a promotion is still wanted; a round trip takes a few milliseconds.
	confirmTimeout = 300 * time.Millisecond
)

// promotionAttempt is a promotion that this VM has requested from the promotion coordinator.
type promotionAttempt struct {
	held *lease.Lease // of the ownership that wants it
	// confirmed is set once the coordinator was told to execute it. From then on its effect is unknown until the
	// coordinator responds.
	confirmed bool
}

// notPromoted wraps an error after which a promotion has no effect.
func notPromoted(err error) error { return fmt.Errorf("%w: %w", broker.ErrNotPromoted, err) }

// ownershipLease is the lease of a broker. It belongs to one ownership: if this VM owns the service again later, that is
// another ownership with a broker of its own, which knows nothing of the transactions and promotions of this one.
type ownershipLease struct {
	o    *ownership
	held *lease.Lease
}

// Valid implements broker.Lease.
func (l ownershipLease) Valid(string) bool { return l.o.validLease(l.held) }

// Promote implements broker.Lease.
func (l ownershipLease) Promote(ctx context.Context, service string, primary broker.RecordedPrimary) error {
	if err := l.RecordPrimary(ctx, service, primary); err != nil {
		return notPromoted(err)
	}
	if !l.Valid(service) {
		return notPromoted(fmt.Errorf("the lease of service %q has ended", service))
	}
	return l.o.requestPromotion(ctx, l.held, service, primary.Server)
}

// RecordPrimary implements broker.Lease.
func (l ownershipLease) RecordPrimary(ctx context.Context, service string, primary broker.RecordedPrimary) error {
	o := l.o
	record, ok := o.d.directory.View().OwnerRecords[service]
	if !ok || record.Holder != o.d.self.RunID() {
		return fmt.Errorf("service %q is owned by another VM", service)
	}
	o.mu.Lock()
	current := o.leases[service] == l.held && record.Epoch == l.held.Record.Epoch
	o.mu.Unlock()
	if !current {
		return fmt.Errorf("this ownership of service %q has ended", service)
	}
	if o.d.directory.View().Outdated(record.OwnerRecord) {
		return fmt.Errorf("the record of service %q has to be written again first", service)
	}
	if record.Primary == primary.Server && record.PrimaryTerm == primary.Term {
		return nil
	}
	next := record.OwnerRecord
	next.Primary, next.PrimaryTerm = primary.Server, primary.Term
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	if held := o.leases[service]; held != nil && held.NoneBefore(now, voters, o.ended) {
		next.LostPredecessors = false
	}
	o.mu.Unlock()
	return o.writeRecord(ctx, next, record.Revision)
}

// requestPromotion asks the promotion coordinator to promote a server.
func (o *ownership) requestPromotion(ctx context.Context, held *lease.Lease, service, server string) error {
	coordinator, ok := coordinatorRecord(o.d.directory.View())
	if !ok {
		return notPromoted(errors.New("there is no promotion coordinator"))
	}
	if coordinator.Holder == o.d.self.RunID() {
		ctx, cancel := context.WithTimeout(ctx, executionTimeout)
		defer cancel()
		return o.executePromotion(ctx, service, server, func(context.Context) error {
			if !o.validLease(held) {
				return fmt.Errorf("the lease of service %q has ended", service)
			}
			return nil
		})
	}
	l := o.d.peers.WaitForLink(ctx, o.d.directory.View().VMs[coordinator.Holder.Name].Address)
	if l == nil {
		return notPromoted(errors.New("the promotion coordinator cannot be reached"))
	}
	attempt := o.beginPromotion(held)
	m, err := l.Call(peer.Message{Promote: &peer.Promote{Service: service, Server: server, Attempt: attempt}}, promotionTimeout)
	confirmed := o.endPromotion(attempt)
	switch {
	case err != nil && !confirmed:
		// The coordinator asks for a confirmation before it executes the request, and gets none from now on.
		return notPromoted(err)
	case err != nil:
		return err
	case m.PromoteResult == nil:
		return errors.New("the promotion coordinator sent another response")
	case m.PromoteResult.NotPromoted:
		return notPromoted(errors.New(m.PromoteResult.Error))
	case m.PromoteResult.Error != "":
		return errors.New(m.PromoteResult.Error)
	}
	return nil
}

// beginPromotion registers a request to the promotion coordinator and returns its id.
func (o *ownership) beginPromotion(held *lease.Lease) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := rand.Uint64()
	o.promotions[id] = &promotionAttempt{held: held}
	return id
}

// endPromotion removes a request, so that the coordinator no longer executes it, and reports whether it may have done so.
func (o *ownership) endPromotion(id uint64) (confirmed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	confirmed = o.promotions[id].confirmed
	delete(o.promotions, id)
	return confirmed
}

// confirmPromotion reports whether this VM still waits for a promotion, under the ownership that wants it.
func (o *ownership) confirmPromotion(id uint64) bool {
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	defer o.mu.Unlock()
	attempt := o.promotions[id]
	if attempt == nil || !o.validLeaseLocked(now, voters, attempt.held) {
		return false
	}
	attempt.confirmed = true
	return true
}

// confirmWith asks the owner that requested a promotion whether it is still wanted.
func confirmWith(l *peer.Link, attempt uint64) error {
	m, err := l.Call(peer.Message{PromotionConfirm: &peer.PromotionConfirm{Attempt: attempt}}, confirmTimeout)
	if err != nil {
		return fmt.Errorf("promotion not confirmed: %w", err)
	}
	if m.PromotionConfirm == nil || !m.PromotionConfirm.Wanted {
		return errors.New("the owner no longer wants the promotion")
	}
	return nil
}

// executePromotion sends the promotion to the platform if this VM is the promotion coordinator. wanted reports why the
// owner of the service no longer wants it, nil if it does.
func (o *ownership) executePromotion(ctx context.Context, service, server string, wanted func(context.Context) error) error {
	coordinator, ok := o.duty()
	if !ok {
		return notPromoted(errNoDuty)
	}
	o.d.log.Info("promoting server", "service", service, "server", server, "token", coordinator.Epoch)
	return o.d.deps.Promoter.Promote(ctx, Promotion{
		Service: service, Server: server, Holder: o.d.self.Name, Token: coordinator.Epoch,
		Confirm: func(ctx context.Context) error {
			if err := wanted(ctx); err != nil {
				return err
			}
			return o.confirmDuty(coordinator)
		},
	})
}

// errNoDuty means that this VM may not call the platform on behalf of the fleet.
var errNoDuty = errors.New("this VM is not the promotion coordinator")

// duty returns the owner record by which this VM is the promotion coordinator; ok is false if it is not, or if a later
// record may have been lost.
func (o *ownership) duty() (record directory.OwnerRecord, ok bool) {
	v := o.d.directory.View()
	coordinator, ok := coordinatorRecord(v)
	return coordinator.OwnerRecord, ok && coordinator.Holder == o.d.self.RunID() && mayCoordinate(v, coordinator)
}

// confirmDuty returns an error unless this VM is the promotion coordinator under the given record and its lease is valid.
func (o *ownership) confirmDuty(record directory.OwnerRecord) error {
	current, ok := o.duty()
	if !ok || current.Service != record.Service || current.Epoch != record.Epoch || !o.holds(record) {
		return errNoDuty
	}
	return nil
}

// holds reports whether this VM may act under an owner record, with its epoch as the fencing token.
func (o *ownership) holds(record directory.OwnerRecord) bool {
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	defer o.mu.Unlock()
	held := o.leases[record.Service]
	return held != nil && held.Record.Epoch == record.Epoch && held.EpochConfirmed(voters) && held.Valid(now, voters, o.ended)
}

// mayCoordinate reports whether the epoch of the coordinator's record may be used as a fencing token. After a return of the
// store from an older copy, the record has to be of the present era, and a record of the first service that is missing may
// have been lost.
func mayCoordinate(v *directory.View, coordinator directory.OwnerRecordEntry) bool {
	if v.Era == 0 {
		return true
	}
	for _, first := range v.FirstServices(1) {
		if first < coordinator.Service {
			return false
		}
	}
	return !v.Outdated(coordinator.OwnerRecord)
}

// coordinatorRecord returns the owner record whose holder is the promotion coordinator: it promotes servers for the
// whole fleet. The epoch of the record is the fencing token.
func coordinatorRecord(v *directory.View) (directory.OwnerRecordEntry, bool) {
	var first directory.OwnerRecordEntry
	for name, record := range v.OwnerRecords {
		if first.Service == "" || name < first.Service {
			first = record
		}
	}
	return first, first.Service != ""
}
