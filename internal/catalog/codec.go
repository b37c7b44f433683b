package catalog

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"
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

// State is the state of a failure domain or of a target.
type State string

// States of failure domains (in service, withdrawn) and targets (in service, leaving). A name that
// is absent from its object is in service.
const (
	InService State = "in_service"
	Withdrawn State = "withdrawn"
	Leaving   State = "leaving"
)

// Domain is the state of a failure domain.
type Domain struct {
	State State     `json:"state"`
	By    string    `json:"by"` // operator
	At    time.Time `json:"at"`
}

// Domains is the value of the object "domains", by failure domain.
type Domains map[string]Domain

// Target is the state of a server.
type Target struct {
	State State `json:"state"`
}

// Targets is the value of the object "targets", by server.
type Targets map[string]Target

// Owner is one start of a VM.
type Owner struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

// Owners is the value of an object "owners/DOMAIN": the holder of each slot of the failure domain's part.
// A VM may hold several slots; an empty entry is a slot without a holder.
type Owners []Owner

// NewKey returns an entry for a key that is presented as secret. The salt should be random.
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

// DecodeDomains returns the value of the object "domains". An empty value has no entries.
func DecodeDomains(value []byte) (Domains, error) {
	return decodeMap[Domains](NameDomains, value)
}

// DecodeTargets returns the value of the object "targets". An empty value has no entries.
func DecodeTargets(value []byte) (Targets, error) {
	return decodeMap[Targets](NameTargets, value)
}

// DecodeOwners returns the value of an object "owners/DOMAIN". An empty value has no entries.
func DecodeOwners(value []byte) (Owners, error) { return decode[Owners]("owners", value) }

// Encode returns the value of the object, or an error if an entry is invalid.
func (ks Keys) Encode() ([]byte, error) { return encode(NameKeys, ks) }

// Encode returns the value of the object, or an error if an entry is invalid.
func (ds Domains) Encode() ([]byte, error) { return encode(NameDomains, ds) }

// Encode returns the value of the object, or an error if an entry is invalid.
func (ts Targets) Encode() ([]byte, error) { return encode(NameTargets, ts) }

// Encode returns the value of the object, or an error if an entry is invalid.
func (os Owners) Encode() ([]byte, error) { return encode("owners", os) }

// checker is a value of an object that can check its entries.
type checker interface{ check() error }

func (ks Keys) check() error {
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

func (ds Domains) check() error {
	for name, d := range ds {
		if d.State != InService && d.State != Withdrawn {
			return fmt.Errorf("failure domain %q: state %q is neither %q nor %q", name, d.State, InService, Withdrawn)
		}
	}
	return nil
}

func (ts Targets) check() error {
	for name, t := range ts {
		if t.State != InService && t.State != Leaving {
			return fmt.Errorf("target %q: state %q is neither %q nor %q", name, t.State, InService, Leaving)
		}
	}
	return nil
}

func (os Owners) check() error {
	for i, o := range os {
		if (o.VM == "") != (o.Incarnation == "") {
			return fmt.Errorf("slot %d: owner %q with incarnation %q", i, o.VM, o.Incarnation)
		}
	}
	return nil
}

func encode(what string, v checker) ([]byte, error) {
	if err := v.check(); err != nil {
		return nil, fmt.Errorf("object %q: %w", what, err)
	}
	return json.Marshal(v)
}

// decodeMap is decode with a map that entries can be added to.
func decodeMap[M interface {
	~map[string]E
	checker
}, E any](what string, value []byte) (M, error) {
	m, err := decode[M](what, value)
	if m == nil && err == nil {
		m = M{}
	}
	return m, err
}

// decode returns the checked value. Unknown fields and text after the value are errors.
func decode[T checker](what string, value []byte) (T, error) {
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
		err = v.check()
	}
	if err != nil {
		return v, fmt.Errorf("object %q: %w", what, err)
	}
	return v, nil
}
