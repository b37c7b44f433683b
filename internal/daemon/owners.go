package daemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"siskinrouter/internal/audit"
	"siskinrouter/internal/catalog"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/sleep"
)

const (
	ownersEvery   = time.Second
	ownersTimeout = 3 * time.Second
	// handOverTimeout bounds the part of a shutdown in which the platform may be down.
	handOverTimeout = time.Second
)

// decodeOwners returns the owners of a failure domain's part, which is the same for all domains.
func decodeOwners(o catalog.Object, c *fleetconfig.Config) (grant.Owners, error) {
	list, err := catalog.DecodeOwners(o.Value)
	if err != nil {
		return grant.Owners{}, err
	}
	owners := grant.Owners{
		Domain:      o.Name[len(catalog.PrefixOwners):],
		Version:     o.Version,
		DomainShare: grant.FullShare / grant.Share(len(c.Domains)),
	}
	for _, e := range list {
		v, err := slotHolder(e)
		if err != nil {
			return grant.Owners{}, fmt.Errorf("object %s: %w", o.Name, err)
		}
		owners.Slots = append(owners.Slots, v)
	}
	return owners, nil
}

// slotHolder returns the run of a VM that holds a slot, or the zero VM for a slot without a holder.
func slotHolder(e catalog.Owner) (grant.RunID, error) {
	if e.VM == "" {
		return grant.RunID{}, nil
	}
	n, err := strconv.ParseUint(e.Incarnation, 10, 64)
	if err != nil {
		return grant.RunID{}, fmt.Errorf("incarnation %q of VM %s: %w", e.Incarnation, e.VM, err)
	}
	return grant.RunID{Name: e.VM, Incarnation: n}, nil
}

func encodeOwners(o grant.Owners) ([]byte, error) {
	list := make(catalog.Owners, len(o.Slots))
	for i, v := range o.Slots {
		if v.Name != "" {
			list[i] = catalog.Owner{VM: v.Name, Incarnation: strconv.FormatUint(v.Incarnation, 10)}
		}
	}
	return list.Encode()
}

// runOwners keeps the owners of the VM's failure domain up to date until ctx ends. Owners that are gone are
// replaced by the VMs that hold the domain's watches, and a conditional update decides between them;
// slots in use are passed on by their holder only.
func (d *Daemon) runOwners(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := d.maintainOwners(ctx, d.holdsWatch()); err != nil {
			d.counters.platformFailures.Inc(1)
			d.log.Debug("owners not updated", "err", err)
		}
		sleep.For(ctx, ownersEvery)
	}
	return nil
}

func (d *Daemon) holdsWatch() bool {
	var holders []machine.VM
	d.members.with(func(s *machine.Members) { holders = s.WatchHolders(d.settings.VM.Domain) })
	for _, v := range holders {
		if v.Name == d.self.Name {
			return true
		}
	}
	return false
}

// maintainOwners replaces owners that are gone, in the VM's own failure domain and in domains of
// which no VM is left. Without the latter the part of a lost domain would be refused to callers.
func (d *Daemon) maintainOwners(ctx context.Context, replace bool) error {
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	c := d.config.snapshot().contract
	live := d.liveByDomain()
	var errs []error
	for _, domain := range c.Domains {
		if domain != d.settings.VM.Domain && len(live[domain]) > 0 {
			errs = append(errs, d.returnSlots(ctx, c, domain, live[domain]))
			continue
		}
		if replace {
			errs = append(errs, d.maintainDomain(ctx, c, domain, live[d.settings.VM.Domain]))
		}
		if domain == d.settings.VM.Domain {
			errs = append(errs, d.rebalance(ctx, c, live[domain]))
		}
	}
	return errors.Join(errs...)
}

// handOver passes all slots of this VM on before it shuts down. Its successors start after one loan
// lifetime, for which the borrowers keep what this VM has lent them, so no rate is missing meanwhile.
func (d *Daemon) handOver() {
	ctx, cancel := context.WithTimeout(d.ctx, handOverTimeout)
	defer cancel()
	c := d.config.snapshot().contract
	live := d.liveByDomain()
	for _, domain := range c.Domains {
		candidates := live[domain]
		if len(candidates) == 0 {
			// Without a successor the slots stay with this VM until the platform has dropped it.
			continue
		}
		if err := d.returnSlots(ctx, c, domain, candidates); err != nil {
			d.log.Debug("slots not handed over", "object", catalog.PrefixOwners+domain, "err", err)
		}
	}
}

// returnSlots hands slots that this VM took over back to the VMs of a failure domain that is alive again.
func (d *Daemon) returnSlots(ctx context.Context, c *fleetconfig.Config, domain string, candidates []grant.RunID) error {
	self := runOf(d.self)
	return d.passOn(ctx, c, domain, func(o grant.Owners) (grant.Owners, bool) {
		return o.ReassignSlots(func(v grant.RunID) bool { return v != self }, candidates)
	})
}

func (d *Daemon) maintainDomain(ctx context.Context, c *fleetconfig.Config, domain string, candidates []grant.RunID) error {
	if len(candidates) == 0 {
		return nil
	}
	name := catalog.PrefixOwners + domain
	current, known := d.config.get(name)
	if !known && domain != d.settings.VM.Domain {
		return nil
	}
	if !known {
		return d.putOwners(ctx, name, 0, grant.InitialOwners(domain, len(c.Domains), candidates))
	}
	owners, err := decodeOwners(current, c)
	if err != nil {
		return err
	}
	next, changed := owners.ReassignSlots(d.ownerLive, candidates)
	if !changed {
		return nil
	}
	return d.putOwners(ctx, name, current.Version, next)
}

// rebalance passes on slots that this VM holds beyond its equal part of its failure domain.
func (d *Daemon) rebalance(ctx context.Context, c *fleetconfig.Config, candidates []grant.RunID) error {
	return d.passOn(ctx, c, d.settings.VM.Domain, func(o grant.Owners) (grant.Owners, bool) {
		return o.ReleaseExcessSlots(runOf(d.self), candidates)
	})
}

// passOn writes owners in which this VM holds fewer slots. The VM gives the slots up before the update:
// it might be paused between the update and the moment at which it learns of it.
func (d *Daemon) passOn(ctx context.Context, c *fleetconfig.Config, domain string,
	change func(grant.Owners) (grant.Owners, bool)) error {
	name := catalog.PrefixOwners + domain
	current, known := d.config.get(name)
	if !known {
		return nil
	}
	owners, err := decodeOwners(current, c)
	if err != nil {
		return err
	}
	next, changed := change(owners)
	if !changed {
		return nil
	}
	d.rates.giveUp(next)
	return d.putOwners(ctx, name, current.Version, next)
}

// ownerLive reports whether a slot's holder may still use it.
func (d *Daemon) ownerLive(v grant.RunID) (live bool) {
	if v == (grant.RunID{}) {
		return false
	}
	d.members.with(func(s *machine.Members) {
		live = !s.Dropped(v.Name, strconv.FormatUint(v.Incarnation, 10))
	})
	return live
}

// liveByDomain returns the live VMs of each failure domain.
func (d *Daemon) liveByDomain() map[string][]grant.RunID {
	vms := make(map[string][]grant.RunID)
	for _, v := range d.members.live() {
		vms[v.Domain] = append(vms[v.Domain], runOf(v))
	}
	return vms
}

// putOwners writes the owners if the object still has the given version; losing the race is no failure.
func (d *Daemon) putOwners(ctx context.Context, name string, version uint64, o grant.Owners) error {
	value, err := encodeOwners(o)
	if err != nil {
		return err
	}
	written, err := d.store.Put(ctx, name, version, value)
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	d.audit.Record(audit.Record{
		Who: d.self.Name, What: "owners changed", Object: name, FromRevision: version, ToRevision: written,
		Cause: "VMs of the failure domain started, stopped or were lost",
	})
	return nil
}
