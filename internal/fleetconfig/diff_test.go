package fleetconfig

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a change that the audit trail omits or describes incorrectly.
func TestDiffShowsEachChange(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"nothing", "", "", nil},
		{"comment", "rate =", "# new\nrate =", nil},
		{"rate", `"100/s"`, `"150/s"`, []string{`workspace "one": rate changed from 100/s to 150/s`}},
		{"burst", `burst = 10`, `burst = 12`, []string{`workspace "one": burst changed from 10 to 12`}},
		{"weight", `weight = 2`, `weight = 3`, []string{`workspace "one": weight changed from 2 to 3`}},
		{"domain", "[[service]]", "[[domain]]\nname = \"too\"\n[[service]]", []string{`failure domain "too" added`}},
		{"server renamed", `"a", address`, `"d", address`, []string{
			`service "ledger" group "g-1" server "a" removed`,
			`service "ledger" group "g-1" server "d" added: address 127.0.0.1:1, domain "bne", slots 3, connections 20`,
		}},
		{"address", `:1"`, `:9"`, []string{`service "ledger" group "g-1" server "a": address changed from 127.0.0.1:1 to 127.0.0.1:9`}},
		{"slots", `slots = 3`, `slots = 4`, []string{`service "ledger" group "g-1" server "a": slots changed from 3 to 4`}},
		{"connections", `connections = 20`, `connections = 30`, []string{`service "ledger" group "g-1" server "a": connections changed from 20 to 30`}},
		{"max_age", `max_age = "1s"`, "", []string{`service "ledger" route "lookup": max_age changed from 1s to none`}},
		{"timeout", `max_age = "1s"`, "max_age = \"1s\"\ntimeout = \"1s\"", []string{`service "ledger" route "lookup": timeout changed from 10s to 1s`}},
		{"repeatable", `max_age = "1s"`, "max_age = \"1s\"\nrepeatable = false", []string{`service "ledger" route "lookup": repeatable changed from true to false`}},
		{"open", `max_age = "1s"`, "max_age = \"1s\"\nopen = true\nworkspace = \"one\"", []string{`service "ledger" route "lookup": open to workspace changed from none to "one"`}},
		{"access", `access = "write"`, "access = \"read\"\nrepeatable = false", []string{`service "ledger" route "swaps": access changed from write to read`}},
		{"when_cut_off", `name = "ledger"`, "name = \"ledger\"\nwhen_cut_off = \"refuse\"", []string{
			`service "ledger": when_cut_off changed from serve to refuse`,
			`service "ledger" route "lookup": when_cut_off changed from serve to refuse`,
			`service "ledger" route "swaps": when_cut_off changed from serve to refuse`,
		}},
	}
	before := mustParse(t, validText)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validText, c.old)) // the text to be replaced exists
			is.Equal(Diff(before, mustParse(t, strings.Replace(validText, c.old, c.new, 1))), c.want)
		})
	}
}

// Guards against a change of a workspace's group of which only one side is shown, and against a diff with
// an empty configuration that omits elements.
func TestDiffOfGroupsAndOfNothing(t *testing.T) {
	is := is.New(t)
	before := mustParse(t, validText)
	after := mustParse(t, validText)
	w := after.Workspaces["two"]
	w.Groups = map[string]string{"other": "g-2"}
	after.Workspaces["two"] = w
	is.Equal(Diff(before, after), []string{
		`workspace "two": group of service "other" changed from none to "g-2"`,
		`workspace "two": group of service "ledger" changed from "g-1" to none`,
	})
	is.Equal(len(Diff(nil, before)), 12)
	is.Equal(len(Diff(before, nil)), 12)
	is.Equal(Diff(nil, nil), nil)
}

func mustParse(t *testing.T, text string) *Config {
	t.Helper()
	c, faults := Parse([]byte(text))
	if len(faults) > 0 {
		t.Fatalf("%v", faults)
	}
	return c
}
