// Package catalog holds the platform objects that a VM knows. Versions only grow, so that objects
// may arrive in any order, repeatedly and from any peer.
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

// Object is a named value. It has the fields of platform.Object, so that the two types convert into
// each other. The value must not be changed.
type Object struct {
	Name    string
	Version uint64 // starts at 1
	Value   []byte
}

// Catalog is the set of the newest known objects. It is not safe for concurrent use.
type Catalog struct {
	objects map[string]Object
	digest  uint64
	asOf    time.Duration
	current bool // asOf is set
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{objects: map[string]Object{}} }

// Apply takes over the objects that are newer than the known ones and returns these. Other versions
// and audit records are ignored.
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

// Versions returns the summary by which a peer finds out what this catalog lacks.
func (c *Catalog) Versions() map[string]uint64 {
	versions := make(map[string]uint64, len(c.objects))
	for name, o := range c.objects {
		versions[name] = o.Version
	}
	return versions
}

// Digest returns a hash of Versions. Two peers with the same digest need not exchange summaries,
// which for thousands of groups exceed the control traffic that a daemon may cause.
func (c *Catalog) Digest() uint64 { return c.digest }

// Missing returns the objects that a peer with the given summary lacks, sorted by name, in chunks
// whose names and values have at most maxBytes. A larger object is a chunk of its own.
func (c *Catalog) Missing(peer map[string]uint64, maxBytes int) [][]Object {
	var chunks [][]Object
	room := 0
	for _, o := range c.List("") {
		if o.Version <= peer[o.Name] {
			continue
		}
		size := len(o.Name) + len(o.Value)
		if len(chunks) == 0 || size > room {
			chunks = append(chunks, nil)
			room = maxBytes
		}
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], o)
		room -= size
	}
	return chunks
}

// Confirm notes that the catalog contained every change that the platform had accepted at the given
// time. After a complete exchange with a peer, that is the time at which the request was sent less
// the age that the peer reported. An earlier time than the known one is ignored.
func (c *Catalog) Confirm(at time.Duration) {
	if !c.current || at > c.asOf {
		c.asOf = at
		c.current = true
	}
}

// AsOf returns the latest confirmed time, and false if there is none.
func (c *Catalog) AsOf() (time.Duration, bool) { return c.asOf, c.current }

// Fresh reports whether the catalog is confirmed for a time no longer than limit ago.
func (c *Catalog) Fresh(now, limit time.Duration) bool {
	return c.current && now-c.asOf <= limit
}

// digest returns the hash of the name and version of an object.
func digest(o Object) uint64 {
	b := binary.BigEndian.AppendUint64(nil, o.Version)
	return xxhash.Sum64(append(b, o.Name...))
}
