package entryvm

import (
	"context"
	"errors"
	"slices"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/membership"
)

// writeAgainAttempts bounds the conditional writes of a record in one check: the first one may only return the revision
// that the store has now.
const writeAgainAttempts = 3

// continued reports whether a record is the one that this VM has written again in a later era of the store during its
// ownership. The mutex must be held.
func (o *ownership) continued(v *directory.View, now time.Duration, voters membership.Configuration, held *lease.Lease,
	record directory.OwnerRecordEntry) bool {
	return record.Era > held.Record.Era && record.Holder == held.Record.Holder && !v.Outdated(record.OwnerRecord) &&
		held.Confirmed(now, voters, o.ended)
}

// givenUp reports whether an ownership ends because the store has returned from an older copy: only an owner whose lease a
// majority confirms knows that no record of a later owner was lost. The mutex must be held.
func (o *ownership) givenUp(v *directory.View, now time.Duration, voters membership.Configuration, held *lease.Lease) bool {
	return v.Outdated(held.Record) && !held.Confirmed(now, voters, o.ended)
}

// endGivenUp ends an ownership that is given up and returns its broker. The mutex must be held.
func (o *ownership) endGivenUp(v *directory.View, held *lease.Lease) *broker.Broker {
	service := held.Record.Service
	b := o.brokers[service]
	delete(o.leases, service)
	delete(o.brokers, service)
	o.d.log.Warn("ownership given up", "service", service, "epoch", held.Record.Epoch, "era", v.Era,
		"reason", "no majority confirms the lease after the store returned from an older copy")
	return b
}

// giveUp ends the ownerships that the return of the store ends. It starts none, because the view may be older than the one
// that the directory has applied last.
func (o *ownership) giveUp(v *directory.View) {
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	var closed []*broker.Broker
	var released []directory.OwnerRecord
	for _, held := range o.leases {
		if o.givenUp(v, now, voters, held) {
			closed = append(closed, o.endGivenUp(v, held))
			released = append(released, held.Record)
		}
	}
	if len(closed) == 0 {
		o.mu.Unlock()
		return
	}
	o.draining = append(o.draining, closed...)
	draining := slices.Clone(o.draining)
	o.mu.Unlock()
	closeBrokers(closed)
	o.removeDrained(draining)
	for _, record := range released {
		o.announceRelease(record)
		o.d.rateLimiter.release(record)
	}
}

// writeAgain writes the records of this VM's services again after the store has returned from an older copy.
func (o *ownership) writeAgain(ctx context.Context) {
	v := o.d.directory.View()
	if v.Era == 0 {
		return
	}
	o.giveUp(v)
	now, voters := o.d.bootClock(), o.voters()
	o.mu.Lock()
	var services []string
	for service, held := range o.leases {
		switch {
		case !v.Outdated(held.Record) || !held.Confirmed(now, voters, o.ended):
		case !o.claiming[service] && o.claimBackoff.allow(o.d.clock()):
			o.claiming[service] = true
			services = append(services, service)
		}
	}
	o.mu.Unlock()
	for _, service := range services {
		go o.writeRecordAgain(ctx, service)
	}
}

// writeRecordAgain writes the record of a service with an epoch of the present era, unless the store holds a record of this
// era by another VM; the directory then ends the ownership.
func (o *ownership) writeRecordAgain(ctx context.Context, service string) {
	sent, responded := false, false
	defer func() {
		o.mu.Lock()
		delete(o.claiming, service)
		o.claimBackoff.record(o.d.clock(), sent, responded)
		o.mu.Unlock()
	}()
	for range writeAgainAttempts {
		v := o.d.directory.View()
		known := v.OwnerRecords[service]
		o.mu.Lock()
		held := o.leases[service]
		if held == nil || !v.Outdated(held.Record) || !v.Outdated(known.OwnerRecord) ||
			!held.Confirmed(o.d.bootClock(), o.voters(), o.ended) {
			o.mu.Unlock()
			return
		}
		next := held.RecordAgain(v.Era)
		o.mu.Unlock()
		next.Epoch = max(next.Epoch, lease.NextEpoch(known.Epoch, v.Era))
		sent = true
		err := o.writeRecord(ctx, next, known.Revision)
		responded = err == nil || errors.Is(err, directory.ErrConflict)
		if !errors.Is(err, directory.ErrConflict) {
			return
		}
	}
}
