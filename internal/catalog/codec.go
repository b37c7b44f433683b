package catalog

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// Key is an entry of the object "keys". It holds a hash, so that the object does not disclose keys.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Salt      string `json:"salt"` // hexadecimal
	Hash      string `json:"hash"` // hexadecimal SHA-256 of salt and key
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// Keys is the value of the object "keys".
type Keys []Key

// Owner identifies one run of a VM.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// Owners is the value of an object "owners/DOMAIN": the owner of each slot of the failure domain.
// A VM may own several slots; an empty entry is a slot without an owner.
type Owners []Owner

// NewKey returns an entry that matches secret. The salt should be random.
func NewKey(id, workspace, secret string, salt []byte) Key {
	return Key{ID: id, Workspace: workspace, Salt: hex.EncodeToString(salt), Hash: keyHash(salt, secret)}
}

// Matches reports whether secret is the key of the entry.
func (k Key) Matches(secret string) bool {
	salt, err := hex.DecodeString(k.Salt)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(keyHash(salt, secret)), []byte(k.Hash)) == 1
}

func keyHash(salt []byte, secret string) string {
	sum := sha256.Sum256(append(bytes.Clone(salt), secret...))
	return hex.EncodeToString(sum[:])
}

// Find returns the entry of a workspace that matches secret. It prefers an entry that is not
// withdrawn.
func (ks Keys) Find(workspace, secret string) (Key, bool) {
	var found Key
	var ok bool
	for _, k := range ks {
		if k.Workspace != workspace || !k.Matches(secret) {
			continue
		}
		if !k.Withdrawn {
			return k, true
		}
		found, ok = k, true
	}
	return found, ok
}

// DecodeKeys returns the value of the object "keys". An empty value has no entries.
func DecodeKeys(value []byte) (Keys, error) { return decode[Keys](NameKeys, value) }

// DecodeOwners returns the value of an object "owners/DOMAIN". An empty value has no entries.
func DecodeOwners(value []byte) (Owners, error) { return decode[Owners]("owners", value) }

// Encode returns the value of the object, or an error if an entry is invalid.
func (ks Keys) Encode() ([]byte, error) { return encode(NameKeys, ks) }

// Encode returns the value of the object, or an error if an entry is invalid.
func (os Owners) Encode() ([]byte, error) { return encode("owners", os) }

// validator is an object value that can validate its entries.
type validator interface{ validate() error }

func (ks Keys) validate() error {
	ids := map[string]bool{}
	for _, k := range ks {
		hash, err := hex.DecodeString(k.Hash)
		_, saltErr := hex.DecodeString(k.Salt)
		switch {
		case k.ID == "" || ids[k.ID]:
			return fmt.Errorf("key id %q is empty or repeated", k.ID)
		case k.Workspace == "":
			return fmt.Errorf("key %q has no workspace", k.ID)
		case err != nil || len(hash) != sha256.Size:
			return fmt.Errorf("key %q: hash is not a hexadecimal SHA-256", k.ID)
		case saltErr != nil:
			return fmt.Errorf("key %q: salt is not hexadecimal", k.ID)
		}
		ids[k.ID] = true
	}
	return nil
}

func (os Owners) validate() error {
	for i, o := range os {
		if (o.VM == "") != (o.Incarnation == "") {
			return fmt.Errorf("slot %d: owner %q with incarnation %q", i, o.VM, o.Incarnation)
		}
	}
	return nil
}

func encode(name string, v validator) ([]byte, error) {
	if err := v.validate(); err != nil {
		return nil, fmt.Errorf("object %q: %w", name, err)
	}
	return json.Marshal(v)
}

// decode parses and validates value. Unknown fields and text after the JSON value are errors.
func decode[T validator](name string, value []byte) (T, error) {
	var v T
	if len(value) == 0 {
		return v, nil
	}
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	err := d.Decode(&v)
	if err == nil && !json.Valid(value) {
		err = errors.New("text after the JSON value")
	}
	if err == nil {
		err = v.validate()
	}
	if err != nil {
		return v, fmt.Errorf("object %q: %w", name, err)
	}
	return v, nil
}
