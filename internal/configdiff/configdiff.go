// Package configdiff compares two versions of a configuration, given as sets of entries with attributes.
package configdiff

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// NoValue is shown for an attribute that is not set.
const NoValue = "none"

// Entry holds the attributes of one entry of a configuration, such as a server or a route, in the order in which
// they are shown.
type Entry []Attribute

// Attribute is a named value of an entry, as it is shown. Number is the value of an attribute with an order, in any
// unit; it is the same for all values of other attributes.
type Attribute struct {
	Name, Value string
	Number      float64
}

// Kind tells what happened to an entry.
type Kind uint8

const (
	Removed Kind = iota
	Changed
	Added
)

// Difference is one difference between two versions. Attribute, Old and New are set for changed attributes only.
type Difference struct {
	Kind                Kind
	Title               string
	Attribute, Old, New string
	Direction           int   // of a changed attribute: -1 if it was lowered, 1 if it was raised, 0 if it has no order
	Attributes          Entry // of an added entry
}

// String describes the difference in one line.
func (d Difference) String() string {
	switch d.Kind {
	case Removed:
		return d.Title + " removed"
	case Added:
		return d.Title + " added" + d.Attributes.summary()
	default:
		return fmt.Sprintf("%s: %s changed from %s to %s", d.Title, d.Attribute, d.Old, d.New)
	}
}

// Compare returns the differences between two sets of entries by title: removed entries, then changed ones, then
// added ones, each in the order of their titles.
func Compare(before, after map[string]Entry) []Difference {
	var removed, changed, added []Difference
	for _, title := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[title]; !ok {
			removed = append(removed, Difference{Kind: Removed, Title: title})
			continue
		}
		changed = append(changed, changes(title, before[title], after[title])...)
	}
	for _, title := range slices.Sorted(maps.Keys(after)) {
		if _, ok := before[title]; !ok {
			added = append(added, Difference{Kind: Added, Title: title, Attributes: after[title]})
		}
	}
	return slices.Concat(removed, changed, added)
}

func (e Entry) summary() string {
	if len(e) == 0 {
		return ""
	}
	parts := make([]string, len(e))
	for n, a := range e {
		parts[n] = a.Name + " " + a.Value
	}
	return ": " + strings.Join(parts, ", ")
}

// find returns the attribute with the given name, or one with NoValue.
func (e Entry) find(name string) Attribute {
	for _, a := range e {
		if a.Name == name {
			return a
		}
	}
	return Attribute{Name: name, Value: NoValue}
}

// changes returns one difference for each attribute that differs.
func changes(title string, before, after Entry) []Difference {
	var all []Difference
	for _, a := range after {
		old := before.find(a.Name)
		if old.Value != a.Value {
			all = append(all, Difference{Kind: Changed, Title: title, Attribute: a.Name, Old: old.Value, New: a.Value,
				Direction: cmp.Compare(a.Number, old.Number)})
		}
	}
	for _, a := range before {
		if !slices.ContainsFunc(after, func(b Attribute) bool { return a.Name == b.Name }) {
			all = append(all, Difference{Kind: Changed, Title: title, Attribute: a.Name, Old: a.Value, New: NoValue})
		}
	}
	return all
}
