package fleetconfig

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// validText is the smallest valid configuration with two of everything that can be duplicated.
const validText = `
[[domain]]
name = "bne"
[[domain]]
name = "tsv"
[[domain]]
name = "cns"

[[service]]
name = "ledger"
[[service.group]]
name = "g-1"
server = [
  { name = "a", address = "127.0.0.1:1", domain = "bne", slots = 3, connections = 20 },
  { name = "b", address = "127.0.0.1:2", domain = "tsv", slots = 3, connections = 20 },
  { name = "c", address = "127.0.0.1:3", domain = "cns", slots = 3, connections = 20 },
]
[[service.route]]
name = "swaps"
access = "write"
[[service.route]]
name = "lookup"
access = "read"
max_age = "1s"

[[workspace]]
name = "one"
rate = "100/s"
burst = 10
weight = 2
groups = { ledger = "g-1" }
[[workspace]]
name = "two"
rate = "6/min"
burst = 1
groups = { ledger = "g-1" }
`

// faultMark marks the lines of a text that must have a fault, once for each fault.
const faultMark = "#F"

// serverAttributesA and serverAttributesB are the texts after the addresses of servers a and b.
const (
	serverAttributesA = `, domain = "bne", slots = 3, connections = 20 },`
	serverAttributesB = `, domain = "tsv", slots = 3, connections = 20 },`
)

// faultCases replace a part of validText. Each problem must be reported on a marked line.
var faultCases = []struct {
	name, old, new string
	problems       []string
}{
	{"no TOML", `access = "write"`, `access = #F`, []string{"not valid TOML"}},
	{"unfinished string", `access = "write"`, `access = "write #F`, []string{"not valid TOML"}},
	{"bad number", `burst = 10`, `burst = 1__0 #F`, []string{"not valid TOML"}},
	{"duplicate key", `burst = 10`, "burst = 10\nburst = 20 #F", []string{`"burst" appears twice`}},
	{"two duplicate keys", `burst = 10`, "burst = 10\nburst = 20 #F\nburst = 30 #F",
		[]string{`"burst" appears twice`, `"burst" appears twice`}},
	{"unknown key", `weight = 2`, `wieght = 2 #F`, []string{`unknown key "wieght"`}},
	{"unknown table", `[[domain]]`, "[[workspaces]] #F\nname = \"x\"\n[[domain]]", []string{`unknown key "workspaces"`}},
	{"key of another table", `max_age = "1s"`, `weight = 3 #F`, []string{`unknown key "weight" in [service.route]`}},
	{"table instead of array", "[[service.group]]", "[service.group] #F", []string{"not an array of tables"}},
	{"array of numbers", "server = [", "server = [ 5, #F", []string{"contains an integer"}},
	{"duration without unit", `max_age = "1s"`, `max_age = 1 #F`, []string{`"max_age" is an integer`}},
	{"duration without unit in a string", `max_age = "1s"`, `max_age = "1" #F`, []string{"not a duration"}},
	{"duration with an unknown unit", `max_age = "1s"`, `max_age = "1 week" #F`, []string{"not a duration"}},
	{"zero duration", `max_age = "1s"`, `max_age = "0s" #F`, []string{"out of range"}},
	{"negative duration", `max_age = "1s"`, `max_age = "-1s" #F`, []string{"out of range"}},
	{"zero timeout", `max_age = "1s"`, `timeout = "0s" #F`, []string{"out of range"}},
	{"rate without unit", `"100/s"`, `100 #F`, []string{`"rate" is an integer`}},
	{"rate without unit in a string", `"100/s"`, `"100" #F`, []string{"not a rate"}},
	{"rate with an unknown unit", `"100/s"`, `"100/week" #F`, []string{"not a rate"}},
	{"rate without number", `"100/s"`, `"/s" #F`, []string{"not a rate"}},
	{"zero rate", `"100/s"`, `"0/s" #F`, []string{"out of range"}},
	{"negative rate", `"100/s"`, `"-1/s" #F`, []string{"out of range"}},
	{"rate that is no number", `"100/s"`, `"nan/s" #F`, []string{"out of range"}},
	{"infinite rate", `"100/s"`, `"inf/s" #F`, []string{"out of range"}},
	{"table closed by an inline table", `groups = { ledger = "g-1" }`, "groups = { ledger = \"g-1\" }\n[workspace.groups] #F\nother = \"g\"", []string{`"groups" appears twice`}},
	{"key below a value", `weight = 2`, "weight.x = 2 #F", []string{`"weight" is a table`}},
	{"inline table extended", `groups = { ledger = "g-1" }`, "groups = { ledger = \"g-1\" }\ngroups.other = \"g-1\" #F", []string{`"groups" appears twice`}},
	{"table opened after dotted keys", "[[workspace]]\nname = \"two\"", "a.b = 1 #F\n[workspace.a] #F\n[[workspace]]\nname = \"two\"",
		[]string{`"a" appears twice`, `unknown key "a"`}},
	{"rate above the limit", `"100/s"`, `"1000001/s" #F`, []string{"out of range"}},
	{"zero burst", `burst = 10`, `burst = 0 #F`, []string{"out of range"}},
	{"negative burst", `burst = 10`, `burst = -1 #F`, []string{"out of range"}},
	{"burst with a fraction", `burst = 10`, `burst = 1.5 #F`, []string{"number with a fraction"}},
	{"huge burst", `burst = 10`, `burst = 9223372036854775807 #F`, []string{"out of range"}},
	{"zero weight", `weight = 2`, `weight = 0 #F`, []string{"out of range"}},
	{"weight out of range", `weight = 2`, `weight = 101 #F`, []string{"out of range"}},
	{"zero slots", `"bne", slots = 3, connections = 20 },`, `"bne", slots = 0, connections = 20 }, #F`,
		[]string{"slots = 0 is out of range"}},
	{"zero connections", `"bne", slots = 3, connections = 20 },`, `"bne", slots = 3, connections = 0 }, #F`,
		[]string{"connections = 0 is out of range"}},
	{"more slots than connections", `"bne", slots = 3, connections = 20 },`, `"bne", slots = 21, connections = 20 }, #F`,
		[]string{"more slots (21) than connections (20)"}},
	{"host name", `"127.0.0.1:1"` + serverAttributesA, `"db.example:1"` + serverAttributesA + faultMark, []string{"not IP:port"}},
	{"address without port", `"127.0.0.1:1"` + serverAttributesA, `"127.0.0.1"` + serverAttributesA + faultMark, []string{"not IP:port"}},
	{"port 0", `"127.0.0.1:1"` + serverAttributesA, `"127.0.0.1:0"` + serverAttributesA + faultMark, []string{"port 0"}},
	{"port out of range", `"127.0.0.1:1"` + serverAttributesA, `"127.0.0.1:65536"` + serverAttributesA + faultMark, []string{"not IP:port"}},
	{"unspecified address", `"127.0.0.1:1"` + serverAttributesA, `"0.0.0.0:1"` + serverAttributesA + faultMark, []string{"not an address that can be reached"}},
	{"duplicate address", `"127.0.0.1:2"` + serverAttributesB, `"127.0.0.1:1"` + serverAttributesB + faultMark, []string{`address "127.0.0.1:1" appears twice`}},
	{"duplicate address in another form", `"127.0.0.1:2"` + serverAttributesB, `"[::ffff:127.0.0.1]:1"` + serverAttributesB + faultMark,
		[]string{`address "127.0.0.1:1" appears twice`}},
	{"duplicate domain", `name = "tsv"`, "name = \"tsv\"\n[[domain]]\nname = \"tsv\" #F", []string{`failure domain "tsv" appears twice`}},
	{"duplicate group", "[[service.route]]\nname = \"swaps\"", "[[service.group]]\nname = \"g-1\" #F\nserver = [] #F\n[[service.route]]\nname = \"swaps\"",
		[]string{`group "g-1" appears twice`, "has no servers"}},
	{"duplicate server", `"b", address = "127.0.0.1:2"` + serverAttributesB, `"a", address = "127.0.0.1:2"` + serverAttributesB + faultMark, []string{`server "a" appears twice`}},
	{"duplicate route", `name = "lookup"`, `name = "swaps" #F`, []string{`route "swaps" appears twice`}},
	{"duplicate workspace", `name = "two"`, `name = "one" #F`, []string{`workspace "one" appears twice`}},
	{"duplicate service", "[[workspace]]\nname = \"one\"", "[[service]] #F #F\nname = \"ledger\" #F\n[[workspace]]\nname = \"one\"",
		[]string{`service "ledger" appears twice`, "there is no group", "there is no route"}},
	{"unknown domain", `domain = "bne", slots = 3, connections = 20 },`, `domain = "bme", slots = 3, connections = 20 }, #F`,
		[]string{`unknown failure domain "bme"`}},
	{"unknown group", "burst = 1\ngroups = { ledger = \"g-1\" }", "burst = 1\ngroups = { ledger = \"g-9\" } #F",
		[]string{`service "ledger" has no group "g-9"`}},
	{"unknown service", "burst = 1\ngroups = { ledger = \"g-1\" }", "burst = 1\ngroups = { legder = \"g-1\" } #F",
		[]string{`unknown service "legder"`}},
	{"group that is no string", "burst = 1\ngroups = { ledger = \"g-1\" }", "burst = 1\ngroups = { ledger = 1 } #F",
		[]string{`"ledger" is an integer`}},
	{"workspace without group", "burst = 1\ngroups = { ledger = \"g-1\" }", "burst = 1\ngroups = {} #F",
		[]string{`workspace "two" has no group`}},
	{"even number of servers", "server = [", "server = [ #F\n{ name = \"d\", address = \"127.0.0.1:4\", domain = \"bne\", slots = 3, connections = 20 },",
		[]string{"even number of servers (4)"}},
	{"majority in one domain", "server = [\n  { name = \"a\", address = \"127.0.0.1:1\"" + serverAttributesA, "server = [ #F\n  { name = \"a\", address = \"127.0.0.1:1\"" + serverAttributesB,
		[]string{`majority of its servers (2 of 3) in failure domain "tsv"`}},
	{"no servers", "server = [", "server = [] #F\nold = [ #F", []string{"has no servers", `unknown key "old"`}},
	{"open route without workspace", `max_age = "1s"`, `open = true #F`, []string{"open but has no workspace"}},
	{"workspace of a route that is not open", `max_age = "1s"`, `workspace = "one" #F`, []string{"not open"}},
	{"open route of an unknown workspace", `max_age = "1s"`, "open = true\nworkspace = \"three\" #F", []string{`unknown workspace "three"`}},
	{"open that is no boolean", `max_age = "1s"`, `open = "yes" #F`, []string{`"open" is a string`}},
	{"unknown access", `access = "read"`, `access = "reads" #F`, []string{`"reads" is not a value of "access"`}},
	{"unknown when_cut_off", `max_age = "1s"`, `when_cut_off = "stop" #F`, []string{`"stop" is not a value`}},
	{"no access", "[[service.route]]\nname = \"lookup\"\naccess = \"read\"", "[[service.route]] #F\nname = \"lookup\"", []string{`no key "access"`}},
	{"no route name", "[[service.route]]\nname = \"lookup\"", "[[service.route]] #F", []string{`no key "name"`}},
	{"name with a dot", `name = "lookup"`, `name = "look.up" #F`, []string{`"look.up" is not a valid name`}},
	{"name with a slash", `name = "lookup"`, `name = "look/up" #F`, []string{`"look/up" is not a valid name`}},
	{"empty name", `name = "two"`, `name = "" #F`, []string{`"" is not a valid name`}},
	{"long name", `name = "two"`, `name = "` + strings.Repeat("x", 64) + `" #F`, []string{"is not a valid name"}},
	{"workspace without keys", "[[workspace]]\nname = \"two\"\nrate = \"6/min\"\nburst = 1\ngroups = { ledger = \"g-1\" }", "[[workspace]] #F #F #F #F",
		[]string{`no key "name"`, `no key "rate"`, `no key "burst"`, `no key "groups"`}},
	{"several unrelated faults", "[[workspace]]\nname = \"two\"",
		"[[domain]] #F\nnane = \"x\" #F\n[[workspace]] #F #F\nname = \"three\"\nrate = 5 #F\n[[workspace]]\nweight = 0 #F\nname = \"two\"",
		[]string{"out of range", `no key "name"`, `unknown key "nane"`, `no key "burst"`, `no key "groups"`, `"rate" is an integer`}},
}

// Guards against a fault that is missed, reported on the wrong line, or reported together with faults that
// are only consequences of it.
func TestEachFaultIsReportedOnItsLine(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validText, c.old)) // the text to be replaced exists
			text := strings.Replace(validText, c.old, c.new, 1)
			got, faults := Parse([]byte(text))
			is.True(got == nil)
			checkMarks(t, text, faults)
			for _, problem := range c.problems {
				if !reported(faults, problem) {
					t.Errorf("no fault contains %q: %v", problem, faults)
				}
			}
		})
	}
}

// checkMarks fails the test unless each line has as many faults as marks.
func checkMarks(t *testing.T, text string, faults []Fault) {
	t.Helper()
	var want, got []int
	for i, line := range strings.Split(text, "\n") {
		for range strings.Count(line, faultMark) {
			want = append(want, i+1)
		}
	}
	for _, f := range faults {
		got = append(got, f.Line)
		if f.Problem == "" || f.Remedy == "" {
			t.Errorf("incomplete fault %+v", f)
		}
	}
	if !reflect.DeepEqual(want, got) {
		t.Errorf("faults on lines %v, want %v:\n%v", got, want, faultLines(faults))
	}
}

func reported(faults []Fault, problem string) bool {
	return strings.Contains(faultLines(faults), problem)
}

func faultLines(faults []Fault) string {
	var b strings.Builder
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

// Guards against faults in validText, on which all cases are based.
func TestValidText(t *testing.T) {
	is := is.New(t)
	c, faults := Parse([]byte(validText))
	is.Equal(faults, nil)
	is.Equal(c.Workspaces["two"].Rate, 0.1)
	is.Equal(c.Workspaces["two"].Weight, DefaultWeight)
	is.Equal(c.Services["ledger"].Routes["swaps"], Route{Name: "swaps", WhenCutOff: StaleServe, Timeout: DefaultTimeout})
}

// Guards against an empty configuration that is accepted: it would remove all services.
func TestEmptyText(t *testing.T) {
	is := is.New(t)
	c, faults := Parse(nil)
	is.True(c == nil)
	is.Equal(len(faults), 3)
	is.Equal(faults[0].Line, 1)
}

// Guards against a route without a key whose workspace has no group of the service.
func TestOpenRouteOfWorkspaceWithoutTheService(t *testing.T) {
	is := is.New(t)
	second := strings.NewReplacer(`"ledger"`, `"second"`, `"g-1"`, `"g-2"`, `"a"`, `"d"`, `"b"`, `"e"`, `"c"`, `"f"`, "127.0.0.1", "127.0.0.2",
		`max_age = "1s"`, "open = true\nworkspace = \"one\" "+faultMark)
	start, end := strings.Index(validText, "[[service]]"), strings.Index(validText, "[[workspace]]")
	text := validText + second.Replace(validText[start:end])
	_, faults := Parse([]byte(text))
	checkMarks(t, text, faults)
	is.True(reported(faults, `workspace "one" of the open route has no group of service "second"`))
}

// Guards against a group with so many servers that each write waits for a large majority.
func TestGroupWithTooManyServers(t *testing.T) {
	is := is.New(t)
	more := "server = [ " + faultMark + "\n"
	for i := range MaxServers - 1 {
		more += fmt.Sprintf("{ name = \"x%d\", address = \"127.0.0.2:%d\", domain = \"%s\", slots = 1, connections = 1 },\n",
			i, i+1, []string{"bne", "tsv", "cns"}[i%3])
	}
	text := strings.Replace(validText, "server = [\n", more, 1)
	_, faults := Parse([]byte(text))
	checkMarks(t, text, faults)
	is.True(reported(faults, `group "g-1" has 11 servers`))
}

// Guards against unhelpful suggestions for misspelled keys and names.
func TestSuggestions(t *testing.T) {
	is := is.New(t)
	_, faults := Parse([]byte(strings.Replace(validText, "max_age", "maxage", 1)))
	is.Equal(faultLines(faults), `24: unknown key "maxage" in [service.route]; did you mean "max_age"?`+"\n")
	_, faults = Parse([]byte(strings.Replace(validText, `domain = "bne"`, `domain = "bme"`, 1)))
	is.Equal(faultLines(faults), `14: unknown failure domain "bme"; did you mean "bne"?`+"\n")
}

// Guards against a text that Parse accepts although it exceeds the size limit of the platform, so that
// applying it would fail.
func TestTextAboveThePlatformLimit(t *testing.T) {
	is := is.New(t)
	_, faults := Parse([]byte(validText + strings.Repeat("#\n", 1<<19)))
	is.Equal(len(faults), 1)
}
