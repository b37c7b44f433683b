package catalog

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against values that change when they are encoded and decoded.
func TestCodecs(t *testing.T) {
	is := is.New(t)
	keys := Keys{NewKey("k1", "w", "secret", []byte("salt")), {ID: "k2", Workspace: "w", Hash: strings.Repeat("0", 64), Withdrawn: true}}
	value, err := keys.Encode()
	is.NoErr(err)
	is.True(!strings.Contains(string(value), "secret"))
	gotKeys, err := DecodeKeys(value)
	is.NoErr(err)
	is.Equal(gotKeys, keys)

	owners := Owners{{VM: "vm1", Incarnation: "i1"}, {VM: "vm1", Incarnation: "i1"}, {}}
	value, err = owners.Encode()
	is.NoErr(err)
	gotOwners, err := DecodeOwners(value)
	is.NoErr(err)
	is.Equal(gotOwners, owners)
}

// Guards against an error for an object that does not exist yet: its value is empty.
func TestDecodeEmpty(t *testing.T) {
	is := is.New(t)
	keys, err := DecodeKeys(nil)
	is.NoErr(err)
	is.Equal(len(keys), 0)
}

// Guards against keys that silently stay valid because their entry is invalid or has a misspelt field.
func TestDecodeRefuses(t *testing.T) {
	is := is.New(t)
	hash := strings.Repeat("0", 64)
	for _, value := range []string{
		`[{"id":"k","workspace":"w","salt":"","hash":"` + hash + `","withdrawm":true}]`,
		`[{"id":"k","workspace":"w","salt":"","hash":"00"}]`,
		`[{"id":"k","workspace":"w","salt":"x","hash":"` + hash + `"}]`,
		`[{"id":"","workspace":"w","salt":"","hash":"` + hash + `"}]`,
		`[{"id":"k","salt":"","hash":"` + hash + `"}]`,
		`[{"id":"k","workspace":"w","salt":"","hash":"` + hash + `"},{"id":"k","workspace":"w","salt":"","hash":"` + hash + `"}]`,
		`[] []`, `{}`, `[`,
	} {
		_, err := DecodeKeys([]byte(value))
		is.True(err != nil) // value is accepted
	}
	_, err := DecodeOwners([]byte(`[{"vm":"a","incarnation":"1"},{"incarnation":"2"}]`))
	is.True(err != nil)
	_, err = Owners{{VM: "a"}}.Encode()
	is.True(err != nil)
}

// Guards against a key that is accepted for another workspace, and against a withdrawn entry that
// hides a valid one.
func TestFindKey(t *testing.T) {
	is := is.New(t)
	old := NewKey("k1", "w", "secret", []byte{1})
	old.Withdrawn = true
	keys := Keys{old, NewKey("k2", "w", "secret", []byte{2}), NewKey("k3", "v", "other", []byte{3})}
	k, ok := keys.Find("w", "secret")
	is.True(ok)
	is.Equal(k.ID, "k2")
	k, ok = keys[:1].Find("w", "secret")
	is.True(ok)
	is.True(k.Withdrawn)
	_, ok = keys.Find("v", "secret")
	is.True(!ok)
	_, ok = keys.Find("w", "other")
	is.True(!ok)
}
