package daemon

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"siskinrouter/internal/audit"
	"siskinrouter/internal/catalog"
	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
)

const (
	ownersEvery   = time.Second
	ownersTimeout = 3 * time.Second
)

// decodeOwners returns the owners of a failure domain's part, which is the same for all domains.
func decodeOwners(o catalog.Object, domains int) (grant.Owners, error) {
	list, err := catalog.DecodeOwners(o.Value)
	if err != nil {
		return grant.Owners{}, err
	}
	owners := grant.Owners{
		Domain:  o.Name[len(catalog.PrefixOwners):],
		Version: o.Version,
		Part:    grant.Whole / grant.Share(max(domains, 1)),
	}
	for _, e := range list {
		n, err := strconv.ParseUint(e.Incarnation, 10, 64)
		if err != nil {
			return grant.Owners{}, fmt.Errorf("object %s: incarnation %q of VM %s: %w", o.Name, e.Incarnation, e.VM, err)
		}
		owners.Slots = append(owners.Slots, grant.VM{Name: e.VM, Incarnation: n})
	}
	return owners, nil
}

func encodeOwners(o grant.Owners) ([]byte, error) {
	list := make(catalog.Owners, len(o.Slots))
	for i, v := range o.Slots {
		list[i] = catalog.Owner{VM: v.Name, Incarnation: strconv.FormatUint(v.Incarnation, 10)}
	}
	return list.Encode()
}

// runOwners keeps the owners of the VM's failure domain up to date until ctx ends. Only the VMs that
// hold the domain's watches do so, and a conditional update decides between them.
func (d *Daemon) runOwners(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.holdsWatch() {
			if err := d.maintainOwners(ctx); err != nil {
				d.counters.platformFailures.Inc(1)
				d.log.Debug("owners not updated", "err", err)
			}
		}
		sleep(ctx, ownersEvery)
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

func (d *Daemon) maintainOwners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	name := catalog.PrefixOwners + d.settings.VM.Domain
	domains := len(d.config.snapshot().contract.Domains)
	candidates := d.ownerCandidates()
	if domains == 0 || len(candidates) == 0 {
		return nil
	}
	current, known := d.config.get(name)
	if !known {
		return d.putOwners(ctx, name, 0, grant.InitialOwners(d.settings.VM.Domain, domains, candidates))
	}
	owners, err := decodeOwners(current, domains)
	if err != nil {
		return err
	}
	next, changed := owners.Replace(d.ownerLive, candidates)
	if !changed {
		return nil
	}
	return d.putOwners(ctx, name, current.Version, next)
}

func (d *Daemon) ownerLive(v grant.VM) (live bool) {
	d.members.with(func(s *machine.Members) {
		live = !s.Dropped(v.Name, strconv.FormatUint(v.Incarnation, 10))
	})
	return live
}

// ownerCandidates returns the live VMs of the failure domain.
func (d *Daemon) ownerCandidates() []grant.VM {
	var vms []grant.VM
	for _, v := range d.members.live() {
		if v.Domain == d.settings.VM.Domain {
			vms = append(vms, runOf(v))
		}
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
		Cause: "a VM that owned shares is gone, or the failure domain had no owners",
	})
	return nil
}
