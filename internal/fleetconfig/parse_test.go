package fleetconfig

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// example returns the content of an example configuration.
func example(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against example configurations that the daemon would refuse or that are incomplete.
func TestExamplesAreValid(t *testing.T) {
	for _, c := range []struct {
		file, service      string
		routes             []string
		slots, connections int
	}{
		{"queensland.toml", "swap-ledger", []string{"swaps", "claims", "lookup", "stock"}, 3, 20},
		{"tasmania.toml", "fold-ledger", []string{"orders", "dispatch", "cards"}, 5, 50},
	} {
		t.Run(c.file, func(t *testing.T) {
			is := is.New(t)
			got, faults := Parse(example(t, c.file))
			is.Equal(faults, nil)
			is.Equal(len(got.Domains), 4)
			is.Equal(len(got.Workspaces), 8)
			is.Equal(len(got.Services[c.service].Groups), 3)
			for _, g := range got.Services[c.service].Groups {
				is.Equal(len(g.Servers), 3)
				for _, s := range g.Servers {
					is.Equal(s.Slots, c.slots)
					is.Equal(s.Connections, c.connections)
				}
			}
			for _, name := range c.routes {
				_, r, err := got.Lookup(c.service + "." + name)
				is.NoErr(err)
				is.Equal(r.Repeatable, r.ReadOnly) // writes must not be repeatable
				is.Equal(r.MaxAge > 0, r.ReadOnly)
			}
			for name := range got.Workspaces {
				_, err := got.GroupFor(name, c.service)
				is.NoErr(err)
			}
		})
	}
}
