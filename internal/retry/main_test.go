package retry

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests to make every run reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260401", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
