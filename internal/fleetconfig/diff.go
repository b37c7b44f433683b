package fleetconfig

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Diff returns one line for each difference between two configurations: removed elements, then changed
// ones, then added ones. Either configuration may be nil, which means an empty one.
func Diff(before, after *Config) []string {
	a, b := elementsOf(before), elementsOf(after)
	var removed, changed, added []string
	for _, title := range sortedKeys(a) {
		if _, ok := b[title]; !ok {
			removed = append(removed, title+" removed")
			continue
		}
		changed = append(changed, changes(title, a[title], b[title])...)
	}
	for _, title := range sortedKeys(b) {
		if _, ok := a[title]; !ok {
			added = append(added, title+" added"+b[title].summary())
		}
	}
	return append(append(removed, changed...), added...)
}

// element holds the attributes of one element of a configuration, such as a server or a route, in the
// order in which they are shown.
type element []attribute

type attribute struct{ name, value string }

func (e element) summary() string {
	if len(e) == 0 {
		return ""
	}
	parts := make([]string, len(e))
	for n, a := range e {
		parts[n] = a.name + " " + a.value
	}
	return ": " + strings.Join(parts, ", ")
}

// noValue is shown for an attribute that is not set.
const noValue = "none"

// value returns the value of an attribute and whether the element has it.
func (e element) value(name string) (string, bool) {
	for _, a := range e {
		if a.name == name {
			return a.value, true
		}
	}
	return noValue, false
}

// changes returns one line for each attribute that differs.
func changes(title string, a, b element) []string {
	var lines []string
	for _, attr := range b {
		if old, _ := a.value(attr.name); old != attr.value {
			lines = append(lines, fmt.Sprintf("%s: %s changed from %s to %s", title, attr.name, old, attr.value))
		}
	}
	for _, attr := range a {
		if value, ok := b.value(attr.name); !ok {
			lines = append(lines, fmt.Sprintf("%s: %s changed from %s to %s", title, attr.name, attr.value, value))
		}
	}
	return lines
}

// elementsOf returns the elements of a configuration by title, which is unique.
func elementsOf(c *Config) map[string]element {
	elements := map[string]element{}
	if c == nil {
		return elements
	}
	for _, d := range c.Domains {
		elements[fmt.Sprintf("failure domain %q", d)] = nil
	}
	for _, s := range c.Services {
		title := fmt.Sprintf("service %q", s.Name)
		elements[title] = element{{"when_cut_off", string(s.WhenCutOff)}}
		for _, r := range s.Routes {
			elements[fmt.Sprintf("%s route %q", title, r.Name)] = routeElement(r)
		}
		for _, g := range s.Groups {
			groupTitle := fmt.Sprintf("%s group %q", title, g.Name)
			elements[groupTitle] = nil
			for _, server := range g.Servers {
				elements[fmt.Sprintf("%s server %q", groupTitle, server.Name)] = serverElement(server)
			}
		}
	}
	for _, w := range c.Workspaces {
		elements[fmt.Sprintf("workspace %q", w.Name)] = workspaceElement(w)
	}
	return elements
}

func routeElement(r Route) element {
	access := "write"
	if r.ReadOnly {
		access = "read"
	}
	maxAge := noValue
	if r.MaxAge > 0 {
		maxAge = r.MaxAge.String()
	}
	open := noValue
	if r.AnonymousWorkspace != "" {
		open = strconv.Quote(r.AnonymousWorkspace)
	}
	return element{
		{"access", access},
		{"max_age", maxAge},
		{"repeatable", strconv.FormatBool(r.Repeatable)},
		{"open to workspace", open},
		{"when_cut_off", string(r.WhenCutOff)},
		{"timeout", r.Timeout.String()},
	}
}

func serverElement(s Server) element {
	return element{
		{"address", s.Address},
		{"domain", strconv.Quote(s.Domain)},
		{"slots", strconv.Itoa(s.Slots)},
		{"connections", strconv.Itoa(s.Connections)},
	}
}

func workspaceElement(w Workspace) element {
	e := element{
		{"rate", strconv.FormatFloat(w.Rate, 'g', -1, 64) + "/s"},
		{"burst", strconv.FormatFloat(w.Burst, 'g', -1, 64)},
		{"weight", strconv.Itoa(w.Weight)},
	}
	for _, service := range sortedKeys(w.Groups) {
		e = append(e, attribute{fmt.Sprintf("group of service %q", service), strconv.Quote(w.Groups[service])})
	}
	return e
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
