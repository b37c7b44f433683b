package machine

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of groups into which object names are hashed. With 4,700 objects
	// a group has about 73 names, so that naming the versions of one group takes less than 3 KB.
	digestBuckets = 64
	// maxFullVersions is the largest number of versions sent without digests.
	maxFullVersions = 64
	// maxBucketsPerSync bounds the versions of one request to about 20 KB at 4,700 objects.
	maxBucketsPerSync = 8
	// InlineLimit is the largest object, in bytes, that a push carries without being asked for.
	// Each VM receives about four pushes per change, so larger objects are announced first.
	InlineLimit = 2 << 10
)

// Version is the version of one named object.
type Version struct {
	Name    string
	Version uint64
}

// Versions is the index of the object versions that a VM holds, with digests that allow two VMs
// to compare large indexes cheaply. It is not safe for concurrent use.
type Versions struct {
	buckets [digestBuckets]bucket
	count   int

	acceptLower bool // test hook: lets versions revert
}

type bucket struct {
	digest   uint64
	versions map[string]uint64
}

// NewVersions returns an empty index.
func NewVersions() *Versions { return &Versions{} }

// Len returns the number of objects.
func (v *Versions) Len() int { return v.count }

// Get returns the version of an object, 0 if it is unknown.
func (v *Versions) Get(name string) uint64 {
	return v.buckets[bucketOf(name)].versions[name]
}

// Set records a version and reports whether it is newer than the recorded one. Older and equal
// versions change nothing.
func (v *Versions) Set(name string, version uint64) bool {
	b := &v.buckets[bucketOf(name)]
	old := b.versions[name]
	if version == old || (version < old && !v.acceptLower) {
		return false
	}
	if b.versions == nil {
		b.versions = make(map[string]uint64)
	}
	if old == 0 {
		v.count++
	} else {
		b.digest ^= versionHash(name, old)
	}
	b.digest ^= versionHash(name, version)
	b.versions[name] = version
	return true
}

// All returns all versions sorted by name.
func (v *Versions) All() []Version {
	all := make([]Version, 0, v.count)
	for i := range v.buckets {
		all = v.buckets[i].appendTo(all)
	}
	sortVersions(all)
	return all
}

func (b *bucket) appendTo(list []Version) []Version {
	for name, version := range b.versions {
		list = append(list, Version{name, version})
	}
	return list
}

func sortVersions(list []Version) {
	slices.SortFunc(list, func(a, b Version) int { return cmp.Compare(a.Name, b.Name) })
}

// root returns a digest of all versions. It is a hash of the bucket digests, not their exclusive or,
// so that equal changes in two buckets do not cancel out.
func (v *Versions) root() uint64 {
	var b [8 * digestBuckets]byte
	for i := range v.buckets {
		binary.LittleEndian.PutUint64(b[8*i:], v.buckets[i].digest)
	}
	return xxhash.Sum64(b[:])
}

func (v *Versions) digests() []uint64 {
	digests := make([]uint64, digestBuckets)
	for i := range v.buckets {
		digests[i] = v.buckets[i].digest
	}
	return digests
}

// differing returns the first buckets whose digests differ, at most maxBucketsPerSync.
func (v *Versions) differing(digests []uint64) []uint32 {
	var list []uint32
	for i, d := range digests {
		if i < digestBuckets && d != v.buckets[i].digest && len(list) < maxBucketsPerSync {
			list = append(list, uint32(i))
		}
	}
	return list
}

// in returns the versions in the given buckets sorted by name.
func (v *Versions) in(buckets []uint32) []Version {
	var list []Version
	for _, b := range buckets {
		if b < digestBuckets {
			list = v.buckets[b].appendTo(list)
		}
	}
	sortVersions(list)
	return list
}

// compare returns the objects that a peer lacks and the names of the objects that the peer has in a
// newer version. The peer's versions cover the given buckets, or all objects if buckets is empty.
func (v *Versions) compare(peer []Version, buckets []uint32) (lacks []Version, wanted []string) {
	theirs := make(map[string]uint64, len(peer))
	for _, p := range peer {
		theirs[p.Name] = p.Version
		if p.Version > v.Get(p.Name) {
			wanted = append(wanted, p.Name)
		}
	}
	ours := v.All
	if len(buckets) > 0 {
		ours = func() []Version { return v.in(buckets) }
	}
	for _, o := range ours() {
		if o.Version > theirs[o.Name] {
			lacks = append(lacks, o)
		}
	}
	return lacks, wanted
}

func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % digestBuckets) }

func versionHash(name string, version uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], version)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
