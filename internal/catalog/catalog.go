// Package catalog stores the newest known version of each platform object. Versions only increase, so
// objects can be applied in any order, more than once and from any peer.
package catalog

import (
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Names and prefixes of the platform objects.
const (
	NameContract = "contract"
	NameKeys     = "keys"
	NameDomains  = "domains"
	NameTargets  = "targets"
	PrefixOwners = "owners/" // followed by a failure domain
	PrefixGroups = "groups/" // followed by a database group
	PrefixAudit  = "audit/"  // not kept in a catalog
)

// Object is a named, versioned value. Its fields match those of platform.Object, so that the two types
// can be converted into each other. Value must not be modified.
type Object struct {
	Name    string
	Version uint64 // starts at 1
	Value   []byte
}

// Catalog is the set of the newest known objects, keyed by name. It is not safe for concurrent use.
type Catalog struct {
	objects   map[string]Object
	digest    uint64
	asOf      time.Duration
	confirmed bool // asOf is set
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{objects: map[string]Object{}} }

// Apply stores the objects that are newer than the known versions and returns them. It ignores all other
// versions and audit records.
func (c *Catalog) Apply(objects []Object) []Object {
	var changed []Object
	for _, o := range objects {
		old := c.objects[o.Name]
		if o.Version <= old.Version || strings.HasPrefix(o.Name, PrefixAudit) {
			continue
		}
		if old.Version > 0 {
			c.digest ^= digest(old)
		}
		c.digest ^= digest(o)
		c.objects[o.Name] = o
		changed = append(changed, o)
	}
	return changed
}

// Get returns the newest known version of an object.
func (c *Catalog) Get(name string) (Object, bool) {
	o, ok := c.objects[name]
	return o, ok
}

// List returns the objects whose names start with prefix, sorted by name.
func (c *Catalog) List(prefix string) []Object {
	var objects []Object
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, c.objects[name])
		}
	}
	return objects
}

// Versions returns the version of each object by name. A peer uses it to compute the objects that this
// catalog is missing.
func (c *Catalog) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(c.objects))
	for name, o := range c.objects {
		versions[name] = o.Version
	}
	return versions
}

// Digest returns a hash of Versions. Peers with equal digests skip the exchange of versions, which for
// thousands of groups would exceed the limit on a daemon's control traffic.
func (c *Catalog) Digest() uint64 { return c.digest }

// Missing returns the objects that a peer with the given versions is missing, sorted by name, in
// chunks whose names and values total at most maxBytes. A larger object gets its own chunk.
func (c *Catalog) Missing(peer map[string]uint64, maxBytes int) [][]Object {
	var chunks [][]Object
	remaining := 0
	for _, o := range c.List("") {
		if o.Version <= peer[o.Name] {
			continue
		}
		size := len(o.Name) + len(o.Value)
		if len(chunks) == 0 || size > remaining {
			chunks = append(chunks, nil)
			remaining = maxBytes
		}
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], o)
		remaining -= size
	}
	return chunks
}

// Confirm records that the catalog contains every change that the platform had accepted by the given
// time. After a complete exchange with a peer, that is the time at which the request was sent minus the
// age that the peer reported. A time before the latest confirmed one is ignored.
func (c *Catalog) Confirm(at time.Duration) {
	if !c.confirmed || at > c.asOf {
		c.asOf = at
		c.confirmed = true
	}
}

// AsOf returns the latest confirmed time, and false if there is none.
func (c *Catalog) AsOf() (time.Duration, bool) { return c.asOf, c.confirmed }

// Fresh reports whether the latest confirmed time is at most limit before now.
func (c *Catalog) Fresh(now, limit time.Duration) bool {
	return c.confirmed && now-c.asOf <= limit
}

// digest returns the hash of the name and version of an object.
func digest(o Object) uint64 {
	b := binary.BigEndian.AppendUint64(nil, o.Version)
	return xxhash.Sum64(append(b, o.Name...))
}
