package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawObjects(t *rapid.T) []Object {
	return rapid.SliceOf(rapid.Custom(func(t *rapid.T) Object {
		name := rapid.SampledFrom([]string{"contract", "keys", "owners/bne", "groups/g1"}).Draw(t, "name")
		version := rapid.Uint64Range(1, 6).Draw(t, "version")
		return Object{Name: name, Version: version, Value: fmt.Appendf(nil, "%s %d", name, version)}
	})).Draw(t, "objects")
}

// Guards against a version that decreases, and against peers that still differ after an exchange, when objects
// arrive late, repeatedly and out of order.
func TestPeersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b := New(), New()
		for _, o := range drawObjects(t) {
			before := a.Versions()[o.Name]
			changed := a.Apply([]Object{o})
			is.Equal(len(changed) == 1, o.Version > before)
			is.Equal(a.Versions()[o.Name], max(before, o.Version))
		}
		b.Apply(drawObjects(t))
		for _, chunk := range a.Missing(b.Versions(), 20) {
			is.Equal(len(b.Apply(chunk)), len(chunk)) // only missing objects are sent
		}
		for _, chunk := range b.Missing(a.Versions(), 20) {
			a.Apply(chunk)
		}
		is.Equal(a.Versions(), b.Versions())
		is.Equal(a.Digest(), b.Digest())
		is.Equal(a.List(""), b.List(""))
	})
}

// Guards against chunks above the bound, lost objects, and equal digests of unequal catalogs.
func TestMissingChunks(t *testing.T) {
	is := is.New(t)
	c := New()
	is.Equal(len(c.Missing(nil, 10)), 0)
	c.Apply([]Object{{"a", 1, make([]byte, 4)}, {"b", 2, make([]byte, 4)}, {"c", 1, make([]byte, 50)}, {"d", 1, nil}})
	other := New()
	other.Apply([]Object{{"a", 1, nil}, {"b", 1, nil}, {"c", 1, nil}, {"d", 1, nil}})
	is.True(c.Digest() != other.Digest())
	names := ""
	for _, chunk := range c.Missing(map[string]uint64{}, 10) {
		for _, o := range chunk {
			names += o.Name
		}
		names += ";"
	}
	is.Equal(names, "ab;c;d;")
	is.Equal(c.Missing(other.Versions(), 10), [][]Object{{{"b", 2, make([]byte, 4)}}})
}

// Guards against audit records that use up the memory of every VM, and against objects with version 0.
func TestIgnoredObjects(t *testing.T) {
	is := is.New(t)
	c := New()
	is.Equal(len(c.Apply([]Object{{"audit/00001", 1, nil}, {"keys", 0, nil}})), 0)
	is.Equal(len(c.Versions()), 0)
}

// Guards against a catalog that counts as fresh before its first confirmation, and against a confirmed
// time that a late confirmation moves back.
func TestFreshness(t *testing.T) {
	is := is.New(t)
	c := New()
	is.True(!c.Fresh(0, time.Hour))
	c.Confirm(-5 * time.Second) // a peer's reported age can reach back before the start of this VM
	is.True(c.Fresh(0, 5*time.Second))
	c.Confirm(10 * time.Second)
	c.Confirm(3 * time.Second)
	at, ok := c.AsOf()
	is.True(ok)
	is.Equal(at, 10*time.Second)
	is.True(c.Fresh(20*time.Second, 10*time.Second))
	is.True(!c.Fresh(20*time.Second+1, 10*time.Second))
}
