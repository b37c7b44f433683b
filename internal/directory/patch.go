package directory

import (
	"maps"
	"time"
)

// maxBases bounds the earlier configurations from which patches are made. Versions that follow one another
// quickly reach a VM within some of them.
const maxBases = 8

// Patch changes one version of the configuration into a later one. A configuration grows with the workspaces
// and services, its changes do not.
type Patch struct {
	Base          uint64                     `cbor:"1,keyasint,omitzero"` // revision of the object that is changed
	Version       uint64                     `cbor:"2,keyasint,omitzero"` // of the result
	TxIdleTimeout time.Duration              `cbor:"3,keyasint,omitzero"`
	Routes        changes[string, Route]     `cbor:"4,keyasint,omitzero"`
	Services      changes[string, Service]   `cbor:"5,keyasint,omitzero"`
	Workspaces    changes[string, Workspace] `cbor:"6,keyasint,omitzero"`
	Keys          changes[string, string]    `cbor:"7,keyasint,omitzero"`
}

// changes are the differences between two maps.
type changes[K, V comparable] struct {
	Set  map[K]V `cbor:"1,keyasint,omitzero"`
	Gone []K     `cbor:"2,keyasint,omitzero"`
}

func difference[K, V comparable](from, to map[K]V) (c changes[K, V]) {
	for key, value := range to {
		if old, ok := from[key]; !ok || old != value {
			if c.Set == nil {
				c.Set = map[K]V{}
			}
			c.Set[key] = value
		}
	}
	for key := range from {
		if _, ok := to[key]; !ok {
			c.Gone = append(c.Gone, key)
		}
	}
	return c
}

// apply returns the changed map. The given one stays as it is, since views share it.
func (c changes[K, V]) apply(m map[K]V) map[K]V {
	if len(c.Set) == 0 && len(c.Gone) == 0 {
		return m
	}
	next := maps.Clone(m)
	if next == nil {
		next = map[K]V{}
	}
	maps.Copy(next, c.Set)
	for _, key := range c.Gone {
		delete(next, key)
	}
	return next
}

// newPatch returns the patch from one configuration to another.
func newPatch(base uint64, from, to *Configuration) *Patch {
	return &Patch{
		Base: base, Version: to.Version, TxIdleTimeout: to.TxIdleTimeout,
		Routes: difference(from.Routes, to.Routes), Services: difference(from.Services, to.Services),
		Workspaces: difference(from.Workspaces, to.Workspaces), Keys: difference(from.Keys, to.Keys),
	}
}

// apply returns the later configuration.
func (p *Patch) apply(c *Configuration) *Configuration {
	return &Configuration{
		Version: p.Version, TxIdleTimeout: p.TxIdleTimeout, Routes: p.Routes.apply(c.Routes), Services: p.Services.apply(c.Services),
		Workspaces: p.Workspaces.apply(c.Workspaces), Keys: p.Keys.apply(c.Keys),
	}
}

// patched returns a configuration as a patch of the one that was in force at a revision, or as it is if that
// one is not known any more. The mutex is held.
func (d *Directory) patched(e Entry, since uint64) Entry {
	if e.Configuration == nil {
		return e
	}
	for i := len(d.bases) - 1; i >= 0; i-- {
		base := d.bases[i]
		if base.Name == e.Name && base.Revision <= since {
			e.Patch = newPatch(base.Revision, base.Configuration, e.Configuration)
			e.Configuration = nil
			return e
		}
	}
	return e
}

// unpatch replaces the patch of an entry by the configuration that results. ok is false if this VM does not
// know the configuration that the patch changes. The mutex is held.
func (d *Directory) unpatch(e Entry) (_ Entry, ok bool) {
	if e.Patch == nil {
		return e, true
	}
	for _, base := range d.bases {
		if base.Name == e.Name && base.Revision == e.Patch.Base {
			e.Configuration = e.Patch.apply(base.Configuration)
			e.Patch = nil
			return e, true
		}
	}
	return e, false
}

// keepBase remembers a configuration for patches. The mutex is held.
func (d *Directory) keepBase(e Entry) {
	if e.Configuration == nil {
		return
	}
	if n := len(d.bases); n > 0 && d.bases[n-1].Name == e.Name && d.bases[n-1].Revision >= e.Revision {
		return
	}
	if len(d.bases) == maxBases {
		d.bases = append(d.bases[:0], d.bases[1:]...)
	}
	d.bases = append(d.bases, e)
}
