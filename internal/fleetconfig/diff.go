package fleetconfig

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"siskinrouter/internal/configdiff"
)

// Diff returns one line for each difference between two configurations: removed elements, then changed
// ones, then added ones. Either configuration may be nil, which means an empty one.
func Diff(before, after *Config) []string {
	var lines []string
	for _, d := range Differences(before, after) {
		lines = append(lines, d.String())
	}
	return lines
}

// Differences returns what Diff describes.
func Differences(before, after *Config) []configdiff.Difference {
	return configdiff.Compare(elementsOf(before), elementsOf(after))
}

type (
	element   = configdiff.Entry
	attribute = configdiff.Attribute
)

const noValue = configdiff.NoValue

// elementsOf returns the elements of a configuration by title, which is unique.
func elementsOf(c *Config) map[string]element {
	elements := map[string]element{}
	if c == nil {
		return elements
	}
	for _, d := range c.Domains {
		elements[domainTitle(d)] = nil
	}
	for _, s := range c.Services {
		elements[serviceTitle(s.Name)] = element{{Name: "when_cut_off", Value: string(s.WhenCutOff)}}
		for _, r := range s.Routes {
			elements[routeTitle(s.Name, r.Name)] = routeElement(r)
		}
		for _, g := range s.Groups {
			elements[groupTitle(s.Name, g.Name)] = nil
			for _, server := range g.Servers {
				elements[serverTitle(s.Name, g.Name, server.Name)] = serverElement(server)
			}
		}
	}
	for _, w := range c.Workspaces {
		elements[workspaceTitle(w.Name)] = workspaceElement(w)
	}
	return elements
}

func domainTitle(domain string) string       { return fmt.Sprintf("failure domain %q", domain) }
func serviceTitle(service string) string     { return fmt.Sprintf("service %q", service) }
func workspaceTitle(workspace string) string { return fmt.Sprintf("workspace %q", workspace) }

func routeTitle(service, route string) string {
	return fmt.Sprintf("%s route %q", serviceTitle(service), route)
}

func groupTitle(service, group string) string {
	return fmt.Sprintf("%s group %q", serviceTitle(service), group)
}

func serverTitle(service, group, server string) string {
	return fmt.Sprintf("%s server %q", groupTitle(service, group), server)
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
		{Name: "access", Value: access},
		{Name: "max_age", Value: maxAge, Number: maxAgeNumber(r.MaxAge)},
		{Name: "repeatable", Value: strconv.FormatBool(r.Repeatable)},
		{Name: "open to workspace", Value: open},
		{Name: "when_cut_off", Value: string(r.WhenCutOff)},
		{Name: "timeout", Value: r.Timeout.String(), Number: r.Timeout.Seconds()},
	}
}

// maxAgeNumber orders ages; none is the greatest.
func maxAgeNumber(age time.Duration) float64 {
	if age == 0 {
		return math.Inf(1)
	}
	return age.Seconds()
}

func serverElement(s Server) element {
	return element{
		{Name: "address", Value: s.Address},
		{Name: "domain", Value: strconv.Quote(s.Domain)},
		{Name: "slots", Value: strconv.Itoa(s.Slots), Number: float64(s.Slots)},
		{Name: "connections", Value: strconv.Itoa(s.Connections), Number: float64(s.Connections)},
	}
}

func workspaceElement(w Workspace) element {
	e := element{
		{Name: "rate", Value: strconv.FormatFloat(w.Rate, 'g', -1, 64) + "/s", Number: w.Rate},
		{Name: "burst", Value: strconv.FormatFloat(w.Burst, 'g', -1, 64), Number: w.Burst},
		{Name: "weight", Value: strconv.Itoa(w.Weight), Number: float64(w.Weight)},
	}
	for _, service := range sortedKeys(w.Groups) {
		e = append(e, attribute{Name: fmt.Sprintf("group of service %q", service), Value: strconv.Quote(w.Groups[service])})
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

// Meaning says what a difference means for callers, or nothing if that is not known.
func Meaning(d configdiff.Difference) string {
	if d.Kind == configdiff.Removed {
		return removalMeaning(d.Title)
	}
	if d.Kind != configdiff.Changed {
		return ""
	}
	lowered := d.Direction < 0
	switch {
	case (d.Attribute == "rate" || d.Attribute == "burst") && lowered:
		return "requests above it are refused"
	case d.Attribute == "timeout" && lowered:
		return "statements that take longer fail, and the outcome of such writes is unknown"
	case d.Attribute == "max_age" && lowered:
		return "more reads go to the primary"
	case d.Attribute == "max_age":
		return "reads may return older data"
	case d.Attribute == "access" && d.New == "read":
		return "writes are refused"
	case d.Attribute == "repeatable" && d.New == "true":
		return "a request with an unknown outcome may run twice"
	case d.Attribute == "open to workspace" && d.New == noValue:
		return "callers without a key are refused"
	case d.Attribute == "open to workspace" && d.Old == noValue:
		return "callers without a key are admitted"
	case d.Attribute == "when_cut_off" && d.New == string(StaleRefuse):
		return "a VM that is cut off refuses requests"
	case strings.HasPrefix(d.Attribute, "group of service"):
		if d.New == noValue {
			return "requests of the workspace to the service are refused"
		}
		return "requests go to the other group, also where its data differs"
	}
	return ""
}

func removalMeaning(title string) string {
	switch {
	case strings.HasPrefix(title, "workspace "):
		return "its callers are refused"
	case strings.Contains(title, " route "):
		return "requests to its database are refused"
	case strings.Contains(title, " server "):
		return "connections to it are closed; what runs there may have an unknown outcome"
	}
	return ""
}
