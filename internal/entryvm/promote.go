package entryvm

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
)

// Promote records a server as the primary of a service and makes it lead.
func (o *owners) Promote(ctx context.Context, service, server string) error {
	record, ok := o.d.directory.View().OwnerRecords[service]
	if !ok || record.Holder != o.d.self.RunID() {
		return fmt.Errorf("service %q belongs to another VM", service)
	}
	if record.Primary != server {
		next := record.OwnerRecord
		next.Primary = server
		if err := o.write(ctx, next, record.Revision); err != nil {
			return err
		}
	}
	if !o.Valid(service) {
		return fmt.Errorf("the lease of service %q has ended", service)
	}
	return o.order(ctx, service, server)
}

// order has the VM with the duty make a server lead.
func (o *owners) order(ctx context.Context, service, server string) error {
	duty, ok := dutyService(o.d.directory.View())
	if !ok {
		return errors.New("no VM has the duty to promote")
	}
	if duty.Holder == o.d.self.RunID() {
		return o.carryOut(ctx, service, server)
	}
	l := o.d.peers.WaitForLink(ctx, o.d.directory.View().VMs[duty.Holder.Name].Address)
	if l == nil {
		return errors.New("the VM that has the duty to promote cannot be reached")
	}
	m, err := l.Call(peer.Message{Promote: &peer.Promote{Service: service, Server: server}}, orderTimeout)
	if err != nil {
		return err
	}
	if m.PromoteResult == nil || m.PromoteResult.Error != "" {
		return fmt.Errorf("order refused: %+v", m.PromoteResult)
	}
	return nil
}

// orderTimeout bounds an order that another VM carries out.
const orderTimeout = 2 * time.Second

// carryOut sends the order to the platform if this VM has the duty.
func (o *owners) carryOut(ctx context.Context, service, server string) error {
	duty, ok := dutyService(o.d.directory.View())
	if !ok || duty.Holder != o.d.self.RunID() || !o.Valid(duty.Service) {
		return errors.New("this VM does not have the duty to promote")
	}
	o.d.log.Info("order to promote", "service", service, "server", server, "token", duty.Epoch)
	return o.d.platform.Promoter.Promote(ctx, service, server, o.d.self.Name, duty.Epoch)
}

// dutyService returns the tenure whose holder promotes servers for the whole fleet. Its epoch is the
// fencing token.
func dutyService(v *directory.View) (directory.OwnerRecordEntry, bool) {
	var first directory.OwnerRecordEntry
	for name, t := range v.OwnerRecords {
		if first.Service == "" || name < first.Service {
			first = t
		}
	}
	return first, first.Service != ""
}
