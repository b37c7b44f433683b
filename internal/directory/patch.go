package directory

import (
	"maps"
	"time"
)

// maxPatchBases bounds the earlier configurations from which patches can be computed. A VM is at most
// a few versions behind when versions follow one another quickly.
const maxPatchBases = 8

// Patch transforms one version of the configuration into a later one. A configuration grows with the number of
// workspaces and services; a patch grows only with the number of changes.
type Patch struct {
	Base          uint64                     `cbor:"1,keyasint,omitzero"` // revision of the object to which the patch applies
	Version       uint64                     `cbor:"2,keyasint,omitzero"` // of the resulting configuration
	TxIdleTimeout time.Duration              `cbor:"3,keyasint,omitzero"`
	Routes        mapDiff[string, Route]     `cbor:"4,keyasint,omitzero"`
	Services      mapDiff[string, Service]   `cbor:"5,keyasint,omitzero"`
	Workspaces    mapDiff[string, Workspace] `cbor:"6,keyasint,omitzero"`
	Keys          mapDiff[string, string]    `cbor:"7,keyasint,omitzero"`
}

// mapDiff is the difference between two maps.
type mapDiff[K, V comparable] struct {
	Set     map[K]V `cbor:"1,keyasint,omitzero"`
	Removed []K     `cbor:"2,keyasint,omitzero"`
}

func diff[K, V comparable](from, to map[K]V) (c mapDiff[K, V]) {
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
			c.Removed = append(c.Removed, key)
		}
	}
	return c
}

// apply returns a changed copy of the map, or the map itself if nothing changes. It never modifies its
// argument, because views share it.
func (c mapDiff[K, V]) apply(m map[K]V) map[K]V {
	if len(c.Set) == 0 && len(c.Removed) == 0 {
		return m
	}
	next := maps.Clone(m)
	if next == nil {
		next = map[K]V{}
	}
	maps.Copy(next, c.Set)
	for _, key := range c.Removed {
		delete(next, key)
	}
	return next
}

// newPatch returns the patch from one configuration to another.
func newPatch(base uint64, from, to *Configuration) *Patch {
	return &Patch{
		Base: base, Version: to.Version, TxIdleTimeout: to.TxIdleTimeout,
		Routes: diff(from.Routes, to.Routes), Services: diff(from.Services, to.Services),
		Workspaces: diff(from.Workspaces, to.Workspaces), Keys: diff(from.Keys, to.Keys),
	}
}

// apply returns the later configuration.
func (p *Patch) apply(c *Configuration) *Configuration {
	return &Configuration{
		Version: p.Version, TxIdleTimeout: p.TxIdleTimeout, Routes: p.Routes.apply(c.Routes), Services: p.Services.apply(c.Services),
		Workspaces: p.Workspaces.apply(c.Workspaces), Keys: p.Keys.apply(c.Keys),
	}
}

// asPatch returns a configuration as a patch of the one that was current at a revision, or unchanged if that
// one is no longer kept. The caller holds the mutex.
func (d *Directory) asPatch(e Entry, since uint64) Entry {
	if e.Configuration == nil {
		return e
	}
	for i := len(d.patchBases) - 1; i >= 0; i-- {
		base := d.patchBases[i]
		if base.Name == e.Name && base.Revision <= since {
			e.Patch = newPatch(base.Revision, base.Configuration, e.Configuration)
			e.Configuration = nil
			return e
		}
	}
	return e
}

// resolvePatch replaces the patch of an entry by the resulting configuration. ok is false if this VM does not
// have the configuration to which the patch applies. The caller holds the mutex.
func (d *Directory) resolvePatch(e Entry) (_ Entry, ok bool) {
	if e.Patch == nil {
		return e, true
	}
	for _, base := range d.patchBases {
		if base.Name == e.Name && base.Revision == e.Patch.Base {
			e.Configuration = e.Patch.apply(base.Configuration)
			e.Patch = nil
			return e, true
		}
	}
	return e, false
}

// addPatchBase keeps a configuration as a base for patches. The caller holds the mutex.
func (d *Directory) addPatchBase(e Entry) {
	if e.Configuration == nil {
		return
	}
	if n := len(d.patchBases); n > 0 && d.patchBases[n-1].Name == e.Name && d.patchBases[n-1].Revision >= e.Revision {
		return
	}
	if len(d.patchBases) == maxPatchBases {
		d.patchBases = append(d.patchBases[:0], d.patchBases[1:]...)
	}
	d.patchBases = append(d.patchBases, e)
}
