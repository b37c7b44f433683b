package session

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against tokens that lose or change a field when a caller passes them on.
func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSealer([]byte("fleet"))
		want := Token{
			Workspace: rapid.StringN(0, 40, 40).Draw(t, "workspace"),
			Group:     rapid.StringN(0, 40, 40).Draw(t, "group"),
			Position:  Position{Term: rapid.Uint64().Draw(t, "term"), Offset: rapid.Uint64().Draw(t, "offset")},
		}
		got, err := s.Open(s.Seal(want))
		if err != nil || got != want {
			t.Fatalf("got %v, %v; want %v", got, err, want)
		}
	})
}

// Guards against accepting a forged or altered token, with which a caller could lower its own minimum position
// or use a position of another workspace.
func TestAlteredTokenIsRefused(t *testing.T) {
	is := is.New(t)
	s := NewSealer([]byte("fleet"))
	sealed := s.Seal(Token{Workspace: "w", Group: "g", Position: Position{Term: 3, Offset: 9}})
	for i := range sealed {
		altered := []byte(sealed)
		altered[i] ^= 1
		_, err := s.Open(string(altered))
		is.True(errors.Is(err, ErrBadToken))
	}
	_, err := NewSealer([]byte("other")).Open(sealed)
	is.True(errors.Is(err, ErrBadToken))
}

// Guards against comparing offsets of different terms without regard to the term.
func TestPositionsCompareByTermFirst(t *testing.T) {
	is := is.New(t)
	is.True(Position{Term: 2, Offset: 1}.Covers(Position{Term: 1, Offset: 900}))
	is.True(!Position{Term: 1, Offset: 900}.Covers(Position{Term: 2, Offset: 1}))
}
