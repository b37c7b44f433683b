package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
)

// Token is the position of a session's last acknowledged write in one database group.
type Token struct {
	Workspace string
	Group     string
	Position  Position
}

// ErrBadToken means that a token was not issued by this fleet or was altered.
var ErrBadToken = errors.New("session token is not valid")

const (
	macSize      = sha256.Size // bytes
	maxTokenSize = 512         // bytes of the encoded form
)

// Sealer issues and verifies tokens with a key derived from the fleet key.
type Sealer struct {
	key []byte
}

// NewSealer returns a Sealer that authenticates tokens with fleetKey.
func NewSealer(fleetKey []byte) *Sealer {
	mac := hmac.New(sha256.New, fleetKey)
	mac.Write([]byte("siskinrouter session token v1"))
	return &Sealer{key: mac.Sum(nil)}
}

// Seal returns the encoded form of t with its message authentication code.
func (s *Sealer) Seal(t Token) string {
	body := encode(t)
	sealed := append(s.sum(body), body...)
	return base64.RawURLEncoding.EncodeToString(sealed)
}

// Open verifies and decodes a token. Any defect results in ErrBadToken.
func (s *Sealer) Open(text string) (Token, error) {
	if len(text) > maxTokenSize {
		return Token{}, ErrBadToken
	}
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) < macSize {
		return Token{}, ErrBadToken
	}
	body := sealed[macSize:]
	if !hmac.Equal(sealed[:macSize], s.sum(body)) {
		return Token{}, ErrBadToken
	}
	return decode(body)
}

func (s *Sealer) sum(body []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write(body)
	return mac.Sum(nil)
}

func encode(t Token) []byte {
	b := binary.AppendUvarint(nil, t.Position.Term)
	b = binary.AppendUvarint(b, t.Position.Offset)
	b = appendString(b, t.Workspace)
	return appendString(b, t.Group)
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func decode(b []byte) (Token, error) {
	var t Token
	var err error
	read := func(dst *uint64) {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			err = fmt.Errorf("%w: truncated", ErrBadToken)
			return
		}
		*dst, b = v, b[n:]
	}
	readString := func(dst *string) {
		var n uint64
		read(&n)
		if err != nil || n > uint64(len(b)) {
			err = fmt.Errorf("%w: truncated", ErrBadToken)
			return
		}
		*dst, b = string(b[:n]), b[n:]
	}
	read(&t.Position.Term)
	read(&t.Position.Offset)
	readString(&t.Workspace)
	readString(&t.Group)
	return t, err
}
