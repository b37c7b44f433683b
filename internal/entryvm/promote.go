package entryvm

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
)

// Promote records a server as the primary of a service and promotes it.
func (o *ownership) Promote(ctx context.Context, service, server string) error {
	record, ok := o.d.directory.View().OwnerRecords[service]
	if !ok || record.Holder != o.d.self.RunID() {
		return fmt.Errorf("service %q is owned by another VM", service)
	}
	if record.Primary != server {
		next := record.OwnerRecord
		next.Primary = server
		if err := o.writeRecord(ctx, next, record.Revision); err != nil {
			return err
		}
	}
	if !o.Valid(service) {
		return fmt.Errorf("the lease of service %q has ended", service)
	}
	return o.requestPromotion(ctx, service, server)
}

// requestPromotion asks the promotion coordinator to promote a server.
func (o *ownership) requestPromotion(ctx context.Context, service, server string) error {
	coordinator, ok := coordinatorRecord(o.d.directory.View())
	if !ok {
		return errors.New("there is no promotion coordinator")
	}
	if coordinator.Holder == o.d.self.RunID() {
		return o.executePromotion(ctx, service, server)
	}
	l := o.d.peers.WaitForLink(ctx, o.d.directory.View().VMs[coordinator.Holder.Name].Address)
	if l == nil {
		return errors.New("the promotion coordinator cannot be reached")
	}
	m, err := l.Call(peer.Message{Promote: &peer.Promote{Service: service, Server: server}}, promotionTimeout)
	if err != nil {
		return err
	}
	if m.PromoteResult == nil || m.PromoteResult.Error != "" {
		return fmt.Errorf("promotion refused: %+v", m.PromoteResult)
	}
	return nil
}

// promotionTimeout bounds a promotion executed by another VM.
const promotionTimeout = 2 * time.Second

// executePromotion sends the promotion to the platform if this VM is the promotion coordinator.
func (o *ownership) executePromotion(ctx context.Context, service, server string) error {
	coordinator, ok := coordinatorRecord(o.d.directory.View())
	if !ok || coordinator.Holder != o.d.self.RunID() || !o.Valid(coordinator.Service) {
		return errors.New("this VM does not have the duty to promote")
	}
	o.d.log.Info("promoting server", "service", service, "server", server, "token", coordinator.Epoch)
	return o.d.deps.Promoter.Promote(ctx, service, server, o.d.self.Name, coordinator.Epoch)
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
