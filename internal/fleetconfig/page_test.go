package fleetconfig

import (
	"fmt"
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrouter/internal/tomltext"
)

var rowPattern = regexp.MustCompile("(?m)^\\| `([A-Za-z_.]+)` \\| (.*)$")

// Guards against undocumented keys, documented keys that do not exist, and documented limits that differ
// from those of the code.
func TestPageListsEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	_, section, _ := strings.Cut(string(page), "## Operators' text\n")
	section, _, _ = strings.Cut(section, "\n## ")
	var keys []string
	rows := map[string]string{}
	for _, m := range rowPattern.FindAllStringSubmatch(section, -1) {
		keys = append(keys, m[1])
		rows[m[1]] = m[2]
	}
	sort.Strings(keys)
	doc, _ := tomltext.Read([]byte(validText))
	newParser(doc).parse()
	is.Equal(keys, doc.Keys())

	for key, limits := range map[string]string{
		"service.group.server":             fmt.Sprintf("3 to %d", MaxServers),
		"service.group.server.slots":       fmt.Sprintf("1 to %d", MaxSlots),
		"service.group.server.connections": fmt.Sprintf("1 to %d", MaxConnections),
		"service.route.max_age":            fmt.Sprintf("%d ms to %g h", MinAge.Milliseconds(), MaxAge.Hours()),
		"service.route.timeout":            fmt.Sprintf("%d ms to %g h | `\"%s\"`", MinTimeout.Milliseconds(), MaxTimeout.Hours(), DefaultTimeout),
		"workspace.rate":                   fmt.Sprintf("up to %d/s", int(MaxRate)),
		"workspace.burst":                  fmt.Sprintf("1 to %d", MaxBurst),
		"workspace.weight":                 fmt.Sprintf("1 to %d | `%d`", MaxWeight, DefaultWeight),
	} {
		if !strings.Contains(rows[key], limits) {
			t.Errorf("the page does not say %q for %s", limits, key)
		}
	}
}
