package fleetconfig

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Diff returns one line for each difference between two contracts: things removed, then things changed,
// then things added. Either contract may be nil, which stands for an empty one.
func Diff(before, after *Config) []string {
	a, b := itemsOf(before), itemsOf(after)
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

// item holds the attributes of a part of a contract in the order in which they are shown.
type item []attribute

type attribute struct{ name, value string }

func (i item) summary() string {
	if len(i) == 0 {
		return ""
	}
	parts := make([]string, len(i))
	for n, a := range i {
		parts[n] = a.name + " " + a.value
	}
	return ": " + strings.Join(parts, ", ")
}

// noValue stands for an attribute that is not set.
const noValue = "none"

// value returns the value of an attribute and whether the item has it.
func (i item) value(name string) (string, bool) {
	for _, a := range i {
		if a.name == name {
			return a.value, true
		}
	}
	return noValue, false
}

// changes returns a line for each attribute that differs.
func changes(title string, a, b item) []string {
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

// itemsOf returns the parts of a contract by title, which names each uniquely.
func itemsOf(c *Config) map[string]item {
	items := map[string]item{}
	if c == nil {
		return items
	}
	for _, d := range c.Domains {
		items[fmt.Sprintf("failure domain %q", d)] = nil
	}
	for _, s := range c.Services {
		title := fmt.Sprintf("service %q", s.Name)
		items[title] = item{{"when_cut_off", string(s.WhenCutOff)}}
		for _, r := range s.Routes {
			items[fmt.Sprintf("%s route %q", title, r.Name)] = routeItem(r)
		}
		for _, g := range s.Groups {
			groupTitle := fmt.Sprintf("%s group %q", title, g.Name)
			items[groupTitle] = nil
			for _, server := range g.Servers {
				items[fmt.Sprintf("%s server %q", groupTitle, server.Name)] = serverItem(server)
			}
		}
	}
	for _, w := range c.Workspaces {
		items[fmt.Sprintf("workspace %q", w.Name)] = workspaceItem(w)
	}
	return items
}

func routeItem(r Route) item {
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
	return item{
		{"access", access},
		{"max_age", maxAge},
		{"repeatable", strconv.FormatBool(r.Repeatable)},
		{"open to workspace", open},
		{"when_cut_off", string(r.WhenCutOff)},
		{"timeout", r.Timeout.String()},
	}
}

func serverItem(s Server) item {
	return item{
		{"address", s.Address},
		{"domain", strconv.Quote(s.Domain)},
		{"slots", strconv.Itoa(s.Slots)},
		{"connections", strconv.Itoa(s.Connections)},
	}
}

func workspaceItem(w Workspace) item {
	i := item{
		{"rate", strconv.FormatFloat(w.Rate, 'g', -1, 64) + "/s"},
		{"burst", strconv.FormatFloat(w.Burst, 'g', -1, 64)},
		{"weight", strconv.Itoa(w.Weight)},
	}
	for _, service := range sortedKeys(w.Groups) {
		i = append(i, attribute{fmt.Sprintf("group of service %q", service), strconv.Quote(w.Groups[service])})
	}
	return i
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
