package promotion

import (
	"testing"

	"github.com/matryer/is"

	"siskinrouter/internal/session"
)

// Guards against a status row that changes when it is written and parsed, and against a malformed row
// that is accepted.
func TestStatusRow(t *testing.T) {
	is := is.New(t)
	st := Status{
		Server: "s1", Role: Replica, Promised: 7, LogEnd: session.Position{Term: 6, Offset: 40},
		Applied: session.Position{Term: 5, Offset: 30}, Active: 2, Primary: "10.0.0.1:5432",
	}
	got, err := ParseStatus(append([]string{"true"}, st.Row()...))
	is.NoErr(err)
	is.Equal(got, st)
	_, err = ParseStatus(st.Row()[1:])
	is.True(err != nil)
	for column := 1; column <= 5; column++ {
		broken := st.Row()
		broken[column] = "x"
		_, err = ParseStatus(broken)
		is.True(err != nil)
	}
}
