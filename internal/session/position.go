// Package session defines log positions and the authenticated tokens by which a caller carries the position of
// its last acknowledged write from one VM to another.
package session

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Position is a position in the log of a database group: a term and an offset that increases within and across
// terms. The zero value precedes every write.
type Position struct {
	Term   uint64 `cbor:"1,keyasint,omitzero"`
	Offset uint64 `cbor:"2,keyasint,omitzero"`
}

// Compare orders positions by term and then by offset.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// Covers reports whether a log that ends at p contains the acknowledged position q.
func (p Position) Covers(q Position) bool { return p.Compare(q) >= 0 }

// String returns TERM/OFFSET, the form used by the group_position parameter.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }

// ParsePosition parses TERM/OFFSET.
func ParsePosition(s string) (Position, error) {
	term, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("position %q is not of the form TERM/OFFSET", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: term: %w", s, err)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: offset: %w", s, err)
	}
	return Position{Term: t, Offset: o}, nil
}

// FormatPositions returns positions as a comma-separated list.
func FormatPositions(positions []Position) string {
	texts := make([]string, len(positions))
	for i, p := range positions {
		texts[i] = p.String()
	}
	return strings.Join(texts, ",")
}

// ParsePositions parses a comma-separated list of positions. An empty text is an empty list.
func ParsePositions(text string) ([]Position, error) {
	if text == "" {
		return nil, nil
	}
	var positions []Position
	for _, part := range strings.Split(text, ",") {
		p, err := ParsePosition(part)
		if err != nil {
			return nil, err
		}
		positions = append(positions, p)
	}
	return positions, nil
}
