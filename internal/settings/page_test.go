package settings

import (
	"os"
	"regexp"
	"sort"
	"strings"
	"testing"

	"siskinrouter/internal/tomltext"
)

// row is a row of the table of keys of docs/settings.md.
type row struct{ key, form, byDefault string }

var (
	rowPattern    = regexp.MustCompile("(?m)^\\| `([A-Za-z_.]+)` \\| ([^|]*) \\| ([^|]*) \\|")
	limitsPattern = regexp.MustCompile(`(\d+ ?[a-z]*) to (\d+ ?[a-z]*)$`)
)

// pageRows returns the rows of a section of the page.
func pageRows(t *testing.T, heading string) []row {
	t.Helper()
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), heading+"\n")
	section, _, _ = strings.Cut(section, "\n## ")
	var rows []row
	for _, m := range rowPattern.FindAllStringSubmatch(section, -1) {
		rows = append(rows, row{m[1], m[2], strings.Trim(m[3], "`")})
	}
	return rows
}

// limits returns the least and greatest value of a row without units between digits and text.
func (r row) limits() (low, high string, ok bool) {
	m := limitsPattern.FindStringSubmatch(r.form)
	if m == nil {
		return "", "", false
	}
	return strings.ReplaceAll(m[1], " ", ""), strings.ReplaceAll(m[2], " ", ""), true
}

// accepted reports whether a value of a key is within its limits.
func accepted(key, value string) bool {
	if strings.Trim(value, "-0123456789") != "" || strings.HasPrefix(key, "timings") || strings.HasSuffix(key, "timeout") {
		value = `"` + value + `"`
	}
	_, faults := Parse([]byte(key + " = " + value + "\n" + valid))
	for _, f := range faults {
		if strings.Contains(f.Problem, "out of range") || strings.Contains(f.Problem, "not a duration") {
			return false
		}
	}
	return true
}

func parsed(t *testing.T, line string) *Settings {
	t.Helper()
	s, faults := Parse([]byte(line + "\n" + valid))
	if len(faults) > 0 {
		t.Fatalf("%s: %v", line, faults)
	}
	return s
}

// readKeys returns the keys that the code reads from a text with all required sections.
func readKeys(text string) []string {
	doc, _ := tomltext.Read([]byte(text))
	parse(doc)
	return doc.Keys()
}

func sorted(keys []string) []string {
	sort.Strings(keys)
	return keys
}
