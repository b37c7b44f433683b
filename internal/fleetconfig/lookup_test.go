package fleetconfig

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a database name that resolves to a route that it does not name.
func TestLookup(t *testing.T) {
	c := mustParse(t, validText)
	withDefault := mustParse(t, strings.Replace(validText, `name = "lookup"`, `name = ""`, 1))
	for _, k := range []struct {
		config          *Config
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
		s, r, err := k.config.Lookup(k.database)
		is.True(errors.Is(err, k.err))
		is.Equal(r.Name, k.route)
		is.Equal(s.Name == "ledger", k.err == nil)
	}
}

// Guards against an error that does not list the valid database names.
func TestLookupNamesTheDatabases(t *testing.T) {
	is := is.New(t)
	_, _, err := mustParse(t, validText).Lookup("ledger")
	is.Equal(err.Error(), `unknown database: service "ledger" needs a route, one of ledger.lookup, ledger.swaps`)
}

// Guards against routing a workspace to a group that does not store its data.
func TestGroupFor(t *testing.T) {
	is := is.New(t)
	c := mustParse(t, validText)
	g, err := c.GroupFor("one", "ledger")
	is.NoErr(err)
	is.Equal(g.Name, "g-1")
	is.Equal(g.Service, "ledger")
	_, err = c.GroupFor("three", "ledger")
	is.True(errors.Is(err, ErrUnknownWorkspace))
	_, err = c.GroupFor("one", "other")
	is.True(errors.Is(err, ErrNoGroup))
}
