package tomltext

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Table is a table of a Document. The read methods record a fault if the value is of the wrong type or
// out of range and then return the default. A table that is absent from the text has no keys.
type Table struct {
	doc   *Document
	path  string // keys from the root, separated by dots
	node  *node
	asked []string
	bad   map[string]bool
}

// Line returns the line on which the table starts.
func (t *Table) Line() int { return t.node.line }

// Has reports whether the text has the key.
func (t *Table) Has(key string) bool { return t.node.children[key] != nil }

// Good reports whether the text has the key and no fault was found in its value.
func (t *Table) Good(key string) bool { return t.Has(key) && !t.bad[key] }

// Bad reports whether a fault was found in the value of the key.
func (t *Table) Bad(key string) bool { return t.bad[key] }

// KeyLine returns the line of a key, or that of the table if the key is absent.
func (t *Table) KeyLine(key string) int {
	if n := t.node.children[key]; n != nil {
		return n.line
	}
	return t.Line()
}

// Fault records a fault in the value of a key.
func (t *Table) Fault(key, remedy, problem string, args ...any) {
	if t.bad == nil {
		t.bad = map[string]bool{}
	}
	t.bad[key] = true
	t.doc.Fault(t.KeyLine(key), remedy, problem, args...)
}

// Require records a fault for each key that is absent. The examples are complete lines such as "slots = 3".
func (t *Table) Require(examples ...string) {
	for _, example := range examples {
		key, _, _ := strings.Cut(example, " ")
		if !t.Has(key) {
			t.Fault(key, "add "+example, "%s has no key %q", t.Title(), key)
		}
	}
}

// Close records a fault for each key of the text that was not asked for.
func (t *Table) Close() {
	for _, key := range t.node.order {
		if t.wasAsked(key) {
			continue
		}
		remedy := "remove it; known keys are " + strings.Join(t.asked, ", ")
		if near := Nearest(key, t.asked); near != "" {
			remedy = fmt.Sprintf("did you mean %q?", near)
		}
		t.Fault(key, remedy, "unknown key %q in %s", key, t.Title())
	}
}

// Keys returns the keys of a table whose keys are names chosen by the operator.
func (t *Table) Keys() []string { return t.node.order }

// Tables returns the tables of an array of tables.
func (t *Table) Tables(key string) []*Table {
	n := t.ask(key)
	if n == nil {
		return nil
	}
	if n.kind != kindArray {
		t.Fault(key, fmt.Sprintf("write [[%s]] above each of them", t.Path(key)), "%q is %s, not an array of tables", key, n.kind)
		return nil
	}
	var tables []*Table
	for _, item := range n.items {
		if item.kind != kindTable {
			t.Fault(key, fmt.Sprintf("write %s = [{ name = \"...\" }]", key), "%q contains %s instead of a table", key, item.kind)
			continue
		}
		tables = append(tables, &Table{doc: t.doc, path: t.Path(key), node: item})
	}
	return tables
}

// Table returns a table below this one.
func (t *Table) Table(key string) *Table {
	n := t.ask(key)
	sub := &Table{doc: t.doc, path: t.Path(key), node: newTable(t.Line())}
	switch {
	case n == nil:
	case n.kind != kindTable:
		t.Fault(key, fmt.Sprintf("write [%s] above its keys", t.Path(key)), "%q is %s, not a table", key, n.kind)
	default:
		sub.node = n
	}
	return sub
}

// String returns a string.
func (t *Table) String(key string) string {
	n := t.askFor(key, kindString, fmt.Sprintf("write %s = \"text\"", key))
	if n == nil {
		return ""
	}
	return n.text
}

// Text returns a string that must not be empty.
func (t *Table) Text(key string) string {
	s := t.String(key)
	if s == "" && t.Good(key) {
		t.Fault(key, "write its value or remove the key", "%q is empty", key)
	}
	return s
}

// maxNameBytes is the length of a name in PostgreSQL startup messages that clients do not cut.
const maxNameBytes = 63

// names excludes the dot, which separates service and route, and the slash, which separates the
// parts of platform object names.
var names = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// CheckName records a fault for a key if its value is not a valid name.
func (t *Table) CheckName(key, name string) {
	if len(name) > maxNameBytes || !names.MatchString(name) {
		remedy := fmt.Sprintf("use up to %d lower-case letters, digits, '-' and '_', starting with a letter or digit", maxNameBytes)
		t.Fault(key, remedy, "%q is not a valid name", name)
	}
}

// Name returns a name. It returns the text even if that is not a valid name.
func (t *Table) Name(key string) string {
	name := t.String(key)
	if t.Good(key) {
		t.CheckName(key, name)
	}
	return name
}

// Choice returns one of the given strings, of which the first is the default.
func (t *Table) Choice(key string, choices ...string) string {
	s := t.String(key)
	if !t.Good(key) {
		return choices[0]
	}
	for _, c := range choices {
		if s == c {
			return s
		}
	}
	t.Fault(key, "use "+quoted(choices), "%q is not a value of %q", s, key)
	return choices[0]
}

// Bool returns a boolean.
func (t *Table) Bool(key string, byDefault bool) bool {
	n := t.askFor(key, kindBool, fmt.Sprintf("write %s = true or %s = false", key, key))
	if n == nil {
		return byDefault
	}
	return n.text == "true"
}

// Int returns an integer between low and high.
func (t *Table) Int(key string, byDefault, low, high int) int {
	n := t.askFor(key, kindInteger, fmt.Sprintf("write %s = %d", key, byDefault))
	if n == nil {
		return byDefault
	}
	v, err := strconv.ParseInt(strings.ReplaceAll(n.text, "_", ""), 0, 64)
	if err != nil || v < int64(low) || v > int64(high) {
		t.Fault(key, fmt.Sprintf("use a value from %d to %d", low, high), "%s = %s is out of range", key, n.text)
		return byDefault
	}
	return int(v)
}

// Duration returns a duration between low and high, written such as "5s".
func (t *Table) Duration(key string, byDefault, low, high time.Duration) time.Duration {
	example := byDefault
	if example == 0 {
		example = low
	}
	remedy := fmt.Sprintf("write a number with a unit (ms, s, m, h), such as %s = %q", key, shortDuration(example))
	n := t.askFor(key, kindString, remedy)
	if n == nil {
		return byDefault
	}
	v, err := time.ParseDuration(n.text)
	if err != nil {
		t.Fault(key, remedy, "%s = %q is not a duration", key, n.text)
		return byDefault
	}
	if v < low || v > high {
		t.Fault(key, fmt.Sprintf("use a value from %s to %s", shortDuration(low), shortDuration(high)), "%s = %q is out of range", key, n.text)
		return byDefault
	}
	return v
}

// rateUnits holds the length of the units of a rate in seconds.
var rateUnits = map[string]float64{"s": 1, "min": 60, "h": 3600}

// Rate returns a positive rate per second of at most high, written such as "200/s", "90/min" or "30/h".
func (t *Table) Rate(key string, high float64) float64 {
	remedy := fmt.Sprintf("write a number with a unit (/s, /min, /h), such as %s = \"200/s\"", key)
	n := t.askFor(key, kindString, remedy)
	if n == nil {
		return 0
	}
	number, unit, _ := strings.Cut(n.text, "/")
	seconds, known := rateUnits[strings.TrimSpace(unit)]
	v, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil || !known {
		t.Fault(key, remedy, "%s = %q is not a rate", key, n.text)
		return 0
	}
	v /= seconds
	if !(v > 0 && v <= high) { // NaN is out of range, too
		t.Fault(key, fmt.Sprintf("use a value above 0 and up to %g/s", high), "%s = %q is out of range", key, n.text)
		return 0
	}
	return v
}

// Address returns an IP address with a port in its canonical form.
func (t *Table) Address(key string) string {
	return t.address(key, false)
}

// ListenAddress returns an IP address with a port, of which the address may be unspecified (0.0.0.0 or ::).
func (t *Table) ListenAddress(key string) string {
	return t.address(key, true)
}

func (t *Table) address(key string, unspecified bool) string {
	remedy := fmt.Sprintf("write an IP address and a port, such as %s = \"127.0.0.1:5432\"", key)
	n := t.askFor(key, kindString, remedy)
	if n == nil {
		return ""
	}
	addr, err := netip.ParseAddrPort(n.text)
	if err != nil {
		t.Fault(key, remedy, "%s = %q is not IP:port", key, n.text)
		return ""
	}
	if addr.Port() == 0 {
		t.Fault(key, "use a port from 1 to 65535", "%s = %q has port 0", key, n.text)
	}
	if addr.Addr().IsUnspecified() && !unspecified {
		t.Fault(key, "write the address at which others reach it", "%s = %q is not an address that can be reached", key, n.text)
	}
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()).String()
}

// Named returns the string of a key that the operator chose, one of Keys.
func (t *Table) Named(key string) string {
	t.asked = append(t.asked, key)
	t.doc.keys[t.Path("NAME")] = true
	n := t.askFor(key, kindString, fmt.Sprintf("write %s = \"name\"", key))
	if n == nil {
		return ""
	}
	return n.text
}

// ask returns the value of a key and marks the key as known.
func (t *Table) ask(key string) *node {
	if !t.wasAsked(key) {
		t.asked = append(t.asked, key)
		t.doc.keys[t.Path(key)] = true
	}
	return t.node.children[key]
}

// askFor returns the value of a key if it is of the wanted kind.
func (t *Table) askFor(key string, want kind, remedy string) *node {
	n := t.ask(key)
	if n == nil || n.kind == want {
		return n
	}
	t.Fault(key, remedy, "%q is %s, not %s", key, n.kind, want)
	return nil
}

func (t *Table) wasAsked(key string) bool {
	for _, k := range t.asked {
		if k == key {
			return true
		}
	}
	return false
}

// Path returns the path of a key from the root, such as "service.group.name".
func (t *Table) Path(key string) string {
	if t.path == "" {
		return key
	}
	return t.path + "." + key
}

// Title names the table in messages, such as "[service.group]".
func (t *Table) Title() string {
	if t.path == "" {
		return "the text"
	}
	return "[" + t.path + "]"
}

// shortDuration formats a duration without zero parts: "1h" instead of "1h0m0s".
func shortDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
