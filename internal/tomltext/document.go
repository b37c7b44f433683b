// Package tomltext reads TOML texts that people write. Unlike a decoder it reports every fault of a
// text, each with its line and with what would be correct. It does no I/O.
package tomltext

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxTextBytes is the largest text that is read. It is the platform's limit for a value.
const MaxTextBytes = 1 << 20

// Fault is something wrong in a text.
type Fault struct {
	Line    int    // from 1 to the number of lines of the text
	Problem string // what is wrong
	Remedy  string // what would be correct
}

// String returns the fault without the name of the file.
func (f Fault) String() string {
	return fmt.Sprintf("%d: %s; %s", f.Line, f.Problem, f.Remedy)
}

// Document is a text that is being read. The faults found while reading it are collected.
type Document struct {
	root   *node
	lines  lineIndex
	faults []Fault
	known  map[Fault]bool  // the faults, to report each once
	keys   map[string]bool // path of every key that was asked for
}

// Read parses a text. It returns false if the text cannot be read at all; Faults then says why.
func Read(text []byte) (*Document, bool) {
	d := &Document{
		root:  newTable(1),
		lines: indexLines(text),
		known: map[Fault]bool{},
		keys:  map[string]bool{},
	}
	if len(text) > MaxTextBytes {
		d.Fault(1, fmt.Sprintf("keep the text below %d bytes", MaxTextBytes), "the text has %d bytes", len(text))
		return d, false
	}
	if offset, tooDeep := nestedTooDeep(text); tooDeep {
		d.Fault(d.lines.at(offset), "nest them less", "more than %d arrays, tables or parts of a key are nested", maxNesting)
		return d, false
	}
	if !d.build(text) {
		return d, false
	}
	d.checkSyntax(text, "correct this line")
	return d, true
}

// Fault records a fault. The problem is formatted as by fmt.Sprintf.
func (d *Document) Fault(line int, remedy, problem string, args ...any) {
	f := Fault{
		Line:    min(max(line, 1), d.lines.count()),
		Problem: fmt.Sprintf(problem, args...),
		Remedy:  remedy,
	}
	if d.known[f] {
		return
	}
	d.known[f] = true
	d.faults = append(d.faults, f)
}

// Faults returns the faults found so far, ordered by line.
func (d *Document) Faults() []Fault {
	sorted := append([]Fault(nil), d.faults...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Line < sorted[j].Line })
	return sorted
}

// Keys returns the path of every key that was asked for, such as "service.group.name", sorted.
func (d *Document) Keys() []string {
	keys := make([]string, 0, len(d.keys))
	for k := range d.keys {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Root returns the top-level table.
func (d *Document) Root() *Table {
	return &Table{doc: d, node: d.root}
}

// checkSyntax applies the rules of TOML that building the tree does not cover, such as the form of numbers.
// The decoder stops at the first fault.
func (d *Document) checkSyntax(text []byte, remedy string) {
	err := decode(text)
	if err == nil {
		return
	}
	line := d.errorLine(text, err)
	for _, f := range d.faults {
		if f.Line == line {
			return // a duplicate key, which building the tree has found, too
		}
	}
	problem := strings.TrimPrefix(err.Error(), "toml: ")
	d.Fault(line, remedy, "the text is not valid TOML: %s", problem)
}

func decode(text []byte) error {
	var discard map[string]any
	return toml.Unmarshal(text, &discard)
}

// errorLine returns the line of an error of the decoder. Errors of key conflicts have no position; their line
// is the last one of the shortest text that has the conflict.
func (d *Document) errorLine(text []byte, err error) int {
	var positioned *toml.DecodeError
	if errors.As(err, &positioned) {
		line, _ := positioned.Position()
		return line
	}
	return 1 + sort.Search(d.lines.count()-1, func(i int) bool {
		prefixErr := decode(text[:d.lines[i+1]])
		return prefixErr != nil && !errors.As(prefixErr, &positioned)
	})
}

// kind is the type of a value.
type kind int

const (
	kindTable kind = iota
	kindArray
	kindString
	kindInteger
	kindFloat
	kindBool
	kindTime
)

// String returns the name of the kind for messages.
func (k kind) String() string {
	return [...]string{"a table", "an array", "a string", "an integer", "a number with a fraction", "a boolean", "a time"}[k]
}

// node is a value of the text.
type node struct {
	kind     kind
	line     int
	text     string           // of a scalar
	order    []string         // keys of a table in the order of the text
	children map[string]*node // of a table
	items    []*node          // of an array
	explicit bool             // the table has a header or the array was written by headers
	inline   bool             // the table was written as a value and cannot be extended
}

func newTable(line int) *node {
	return &node{kind: kindTable, line: line, children: map[string]*node{}}
}

func (n *node) add(key string, child *node) {
	n.order = append(n.order, key)
	n.children[key] = child
}

// part is one part of a dotted key.
type part struct {
	name string
	line int
}

// build fills the tree. It returns false if the text is not TOML.
func (d *Document) build(text []byte) bool {
	var p unstable.Parser
	p.Reset(text)
	current := d.root
	for p.NextExpression() {
		e := p.Expression()
		parts := d.parts(e.Key())
		if len(parts) == 0 {
			continue
		}
		switch e.Kind {
		case unstable.Table:
			current = d.openTable(parts)
		case unstable.ArrayTable:
			current = d.openItem(parts)
		case unstable.KeyValue:
			d.set(current, parts, e.Value())
		}
	}
	if p.Error() == nil {
		return true
	}
	d.faults, d.known = nil, map[Fault]bool{}
	d.checkSyntax(text, "correct this line; the other lines are checked after that")
	if len(d.faults) == 0 {
		d.Fault(1, "write the text in TOML", "the text is not valid TOML: %v", p.Error())
	}
	return false
}

func (d *Document) parts(it unstable.Iterator) []part {
	var parts []part
	for it.Next() {
		n := it.Node()
		parts = append(parts, part{name: string(n.Data), line: d.lines.at(int(n.Raw.Offset))})
	}
	return parts
}

// descend returns the table below n that a part of a dotted key names, creating it if needed.
func (d *Document) descend(n *node, p part) *node {
	child, ok := n.children[p.name]
	if !ok {
		child = newTable(p.line)
		n.add(p.name, child)
		return child
	}
	if child.kind == kindArray && child.explicit {
		return child.items[len(child.items)-1]
	}
	if child.kind != kindTable || child.inline {
		d.duplicate(p, child)
		return newTable(p.line)
	}
	return child
}

func (d *Document) duplicate(p part, first *node) {
	d.Fault(p.line, fmt.Sprintf("keep one of them; the first is on line %d", first.line), "%q appears twice", p.name)
}

// openTable returns the table of a [header].
func (d *Document) openTable(parts []part) *node {
	n := d.root
	last := parts[len(parts)-1]
	for _, p := range parts[:len(parts)-1] {
		n = d.descend(n, p)
	}
	child, ok := n.children[last.name]
	if ok && (child.explicit || child.inline || child.kind != kindTable) {
		d.duplicate(last, child)
		return newTable(last.line)
	}
	child = d.descend(n, last)
	child.explicit = true
	child.line = last.line
	return child
}

// openItem returns the new table of a [[header]].
func (d *Document) openItem(parts []part) *node {
	n := d.root
	last := parts[len(parts)-1]
	for _, p := range parts[:len(parts)-1] {
		n = d.descend(n, p)
	}
	item := newTable(last.line)
	item.explicit = true
	array, ok := n.children[last.name]
	switch {
	case !ok:
		n.add(last.name, &node{kind: kindArray, line: last.line, items: []*node{item}, explicit: true})
	case array.kind == kindArray && array.explicit:
		array.items = append(array.items, item)
	default:
		d.duplicate(last, array)
	}
	return item
}

// set stores the value of a key.
func (d *Document) set(n *node, parts []part, value *unstable.Node) {
	last := parts[len(parts)-1]
	for _, p := range parts[:len(parts)-1] {
		known := n.children[p.name] != nil
		n = d.descend(n, p)
		n.explicit = n.explicit || !known // a later header of this table would be a duplicate
	}
	if first, ok := n.children[last.name]; ok {
		d.duplicate(last, first)
		return
	}
	n.add(last.name, d.value(value, last.line))
}

// value converts a value of the parser. A value that has no position of its own gets the given line.
func (d *Document) value(v *unstable.Node, line int) *node {
	n := &node{line: line, text: string(v.Data)}
	switch v.Kind {
	case unstable.String:
		n.kind = kindString
	case unstable.Integer:
		n.kind = kindInteger
	case unstable.Float:
		n.kind = kindFloat
	case unstable.Bool:
		n.kind = kindBool
	case unstable.Array:
		n.kind = kindArray
		for it := v.Children(); it.Next(); {
			n.items = append(n.items, d.value(it.Node(), line))
		}
	case unstable.InlineTable:
		return d.inlineTable(v, line)
	default:
		n.kind = kindTime
	}
	return n
}

func (d *Document) inlineTable(v *unstable.Node, line int) *node {
	table := newTable(line)
	first := true
	for it := v.Children(); it.Next(); {
		parts := d.parts(it.Node().Key())
		if len(parts) == 0 {
			continue
		}
		if first {
			table.line = parts[0].line
			first = false
		}
		d.set(table, parts, it.Node().Value())
	}
	table.inline = true
	return table
}

// lineIndex holds the offsets at which the lines of a text start.
type lineIndex []int

func indexLines(text []byte) lineIndex {
	index := lineIndex{0}
	for i, b := range text {
		if b == '\n' && i+1 < len(text) {
			index = append(index, i+1)
		}
	}
	return index
}

// at returns the line of an offset, starting at 1.
func (l lineIndex) at(offset int) int {
	return sort.Search(len(l), func(i int) bool { return l[i] > offset })
}

func (l lineIndex) count() int { return len(l) }
