package fleetconfig

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a caller that reaches a route which it did not name.
func TestLookup(t *testing.T) {
	c := mustParse(t, valid)
	withDefault := mustParse(t, strings.Replace(valid, `name = "lookup"`, `name = ""`, 1))
	for _, k := range []struct {
		contract        *Config
		database, route string
		err             error
	}{
		{c, "ledger.swaps", "swaps", nil},
		{c, "ledger", "", ErrUnknownDatabase},
		{withDefault, "ledger", "", nil},
		{withDefault, "ledger.", "", ErrUnknownDatabase},
		{c, "ledger.", "", ErrUnknownDatabase},
		{c, "ledger.swap", "", ErrUnknownDatabase},
		{c, "ledger.swaps.x", "", ErrUnknownDatabase},
		{c, "other", "", ErrUnknownDatabase},
		{c, "", "", ErrUnknownDatabase},
	} {
		is := is.New(t)
		s, r, err := k.contract.Lookup(k.database)
		is.True(errors.Is(err, k.err))
		is.Equal(r.Name, k.route)
		is.Equal(s.Name == "ledger", k.err == nil)
	}
}

// Guards against a refusal that does not say which database names exist.
func TestLookupNamesTheDatabases(t *testing.T) {
	is := is.New(t)
	_, _, err := mustParse(t, valid).Lookup("ledger")
	is.Equal(err.Error(), `unknown database: service "ledger" needs a route, one of ledger.lookup, ledger.swaps`)
}

// Guards against a workspace that is sent to a group which does not hold its data.
func TestGroupFor(t *testing.T) {
	is := is.New(t)
	c := mustParse(t, valid)
	g, err := c.GroupFor("one", "ledger")
	is.NoErr(err)
	is.Equal(g.Name, "g-1")
	is.Equal(g.Service, "ledger")
	_, err = c.GroupFor("three", "ledger")
	is.True(errors.Is(err, ErrUnknownWorkspace))
	_, err = c.GroupFor("one", "other")
	is.True(errors.Is(err, ErrNoGroup))
}
