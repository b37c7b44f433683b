package configcheck

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"siskinrouter/internal/configdiff"
	"siskinrouter/internal/directory"
)

// Difference is one difference between two versions and what it means for callers, as far as that is known.
type Difference struct {
	configdiff.Difference
	Meaning string
}

// Names of the attributes whose changes have a meaning for callers.
const (
	attrService      = "service"
	attrConsistency  = "consistency"
	attrMaxStaleness = "maximum staleness"
	attrTimeout      = "timeout"
	attrObjective    = "latency objective"
	attrKey          = "key"
	attrConnections  = "connections"
	attrRate         = "rate"
	attrBurst        = "burst"
	attrWorkspace    = "workspace"
	attrIdle         = "idle timeout"
)

// Titles of entries start with these words.
const (
	titleRoute     = "route "
	titleService   = "service "
	titleWorkspace = "workspace "
	titleKey       = "key "
)

// Diff returns what differs between two versions. before may be nil, which means an empty one.
func Diff(before, after *directory.Configuration) []Difference {
	var all []Difference
	for _, d := range configdiff.Compare(entries(before), entries(after)) {
		all = append(all, Difference{d, meaning(d)})
	}
	return all
}

// CheckVersion returns an error if the VMs would ignore the change because its version is not above the one in force.
func CheckVersion(d *Document, inForce *directory.Configuration) []Finding {
	if inForce == nil || d.Version > inForce.Version || len(Diff(inForce, d.Configuration())) == 0 {
		return nil
	}
	c := checker{}
	c.add(Error, d.VersionLine, fmt.Sprintf("use %d or more", inForce.Version+1),
		"version %d is not above version %d in force, so the VMs ignore the change", d.Version, inForce.Version)
	return c.findings
}

func entries(c *directory.Configuration) map[string]configdiff.Entry {
	all := map[string]configdiff.Entry{}
	if c == nil {
		return all
	}
	for _, r := range c.Routes {
		key := "required"
		if r.NoKey {
			key = "not required"
		}
		all[titleRoute+strconv.Quote(r.Database)] = configdiff.Entry{
			{Name: "name", Value: strconv.Quote(r.Name)},
			{Name: attrService, Value: strconv.Quote(r.Service)},
			{Name: attrConsistency, Value: consistencyNames[r.Consistency]},
			durationAttribute(attrMaxStaleness, r.MaxStaleness, 0),
			durationAttribute(attrTimeout, r.Timeout, DefaultTimeout.Seconds()),
			durationAttribute(attrObjective, r.LatencyObjective, math.Inf(1)),
			{Name: "priority", Value: strconv.Itoa(r.Priority)},
			{Name: attrKey, Value: key},
		}
	}
	for _, s := range c.Services {
		all[titleService+strconv.Quote(s.Name)] = configdiff.Entry{
			numberAttribute(attrConnections, float64(s.MaxConnections)),
			numberAttribute("warm-up rate", s.WarmupRate),
			numberAttribute("synchronous replicas", float64(s.SyncReplicas)),
		}
	}
	for _, w := range c.Workspaces {
		all[titleWorkspace+strconv.Quote(w.Name)] = configdiff.Entry{
			numberAttribute(attrRate, w.Rate), numberAttribute(attrBurst, w.Burst),
			{Name: "priority", Value: strconv.Itoa(w.Priority)},
		}
	}
	for key, workspace := range c.Keys {
		all[titleKey+keyName(key)] = configdiff.Entry{{Name: attrWorkspace, Value: strconv.Quote(workspace)}}
	}
	all["transactions"] = configdiff.Entry{durationAttribute(attrIdle, c.TxIdleTimeout, math.Inf(1))}
	return all
}

var consistencyNames = map[directory.Consistency]string{
	directory.Latest: "latest", directory.BoundedStaleness: "bounded staleness", directory.ReadYourWrites: "read your writes",
}

func numberAttribute(name string, value float64) configdiff.Attribute {
	return configdiff.Attribute{Name: name, Value: strconv.FormatFloat(value, 'g', -1, 64), Number: value}
}

// durationAttribute returns an attribute; unset is the number of seconds for which 0 stands.
func durationAttribute(name string, value time.Duration, unset float64) configdiff.Attribute {
	if value == 0 {
		return configdiff.Attribute{Name: name, Value: configdiff.NoValue, Number: unset}
	}
	return configdiff.Attribute{Name: name, Value: value.String(), Number: value.Seconds()}
}

// meaning says what a difference means for callers, or nothing.
func meaning(d configdiff.Difference) string {
	switch d.Kind {
	case configdiff.Removed:
		return removalMeaning(d.Title)
	case configdiff.Changed:
		return changeMeaning(d)
	default:
		return ""
	}
}

func removalMeaning(title string) string {
	switch {
	case strings.HasPrefix(title, titleRoute):
		return "idle sessions of the database are closed and new ones are refused"
	case strings.HasPrefix(title, titleService):
		return "its requests are refused"
	case strings.HasPrefix(title, titleWorkspace):
		return "its keys are no longer valid unless another workspace lists them"
	case strings.HasPrefix(title, titleKey):
		return "idle sessions with it are closed, transactions are rolled back, and new sessions are refused, except on routes without keys"
	}
	return ""
}

func changeMeaning(d configdiff.Difference) string {
	lowered := d.Direction < 0
	switch {
	case d.Attribute == attrRate && lowered, d.Attribute == attrBurst && lowered:
		return "requests above it are refused"
	case d.Attribute == attrTimeout && lowered:
		return "statements that take longer fail, and the outcome of such writes is unknown"
	case d.Attribute == attrObjective && lowered:
		return "requests that cannot start in time for it wait behind all others"
	case d.Attribute == attrMaxStaleness && lowered:
		return "more reads are left to the primary"
	case d.Attribute == attrMaxStaleness:
		return "reads may return older data"
	case d.Attribute == attrConsistency && d.New == consistencyNames[directory.Latest]:
		return "all reads go to the primary"
	case d.Attribute == attrConsistency && d.New == consistencyNames[directory.BoundedStaleness]:
		return "reads may miss writes, also of their own session"
	case d.Attribute == attrConsistency && d.Old == consistencyNames[directory.Latest]:
		return "reads may miss writes of other sessions"
	case d.Attribute == attrConsistency:
		return "reads see the writes of their own session; some are left to the primary"
	case d.Attribute == attrService:
		return "the next request of every session goes to the other service, also where its data differs"
	case d.Attribute == attrKey && d.New == "required":
		return "idle sessions without a valid key are closed, and new ones are refused"
	case d.Attribute == attrKey:
		return "callers without a key are admitted"
	case d.Attribute == attrConnections && lowered:
		return "fewer statements run at once at a server if its slots cannot be used"
	case d.Attribute == attrWorkspace:
		return "requests are charged to the other workspace; open transactions are rolled back"
	case d.Attribute == attrIdle && lowered:
		return "transactions that are idle for longer are rolled back"
	}
	return ""
}
