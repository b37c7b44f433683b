package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/tomltext"
)

const (
	// StalenessMargin is what a VM subtracts from the maximum staleness of a route, as in internal/placement.
	StalenessMargin = 100 * time.Millisecond
	// reservedDivisor, minReserved and maxReserved give the connections of each server that are not used for requests: a
	// sixteenth of its limit within these bounds, as in internal/broker.
	reservedDivisor = 16
	minReserved     = 2
	maxReserved     = 4
	// minConnections are the reserved ones and one each for the owner of the service and the reader of replicas.
	minConnections = minReserved + 2
	// DefaultTimeout is the statement timeout of routes that set none, as in internal/entry.
	DefaultTimeout = 10 * time.Second
)

// Check returns what the rules find, ordered by line.
func Check(d *Document, f Facts) []Finding {
	c := &checker{doc: d, facts: f, services: map[string]int{}, used: map[string]bool{}}
	for i, s := range d.Services {
		c.services[s.Service.Name] = i
	}
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	c.checkKeys()
	c.checkCapacity()
	c.checkIdleTimeout()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return c.findings
}

type checker struct {
	doc      *Document
	facts    Facts
	services map[string]int // index of the one that takes effect, by name
	used     map[string]bool
	findings []Finding
}

func (c *checker) add(s Severity, line int, remedy, problem string, args ...any) {
	c.findings = append(c.findings, Finding{s, tomltext.Fault{Line: max(line, 1), Problem: fmt.Sprintf(problem, args...), Remedy: remedy}})
}

func (c *checker) checkRoutes() {
	if len(c.doc.Routes) == 0 {
		c.add(Error, 1, "add one; every session is refused without", "there is no route")
	}
	last := map[string]int{}
	for i, r := range c.doc.Routes {
		last[r.Database] = i
	}
	for i, r := range c.doc.Routes {
		if later := c.doc.Routes[last[r.Database]]; last[r.Database] != i {
			c.add(Error, r.Line, "remove one of them or change its database",
				"route %q is hidden: route %q on line %d has the same database %q", r.Name, later.Name, later.Line, r.Database)
		}
		if r.Database == "" {
			c.add(Error, r.Line, "name the database by which callers reach it", "route %q has no database", r.Name)
		}
		c.used[r.Service] = true
		if _, ok := c.services[r.Service]; !ok {
			names := make([]string, 0, len(c.services))
			for name := range c.services {
				names = append(names, name)
			}
			c.add(Error, r.at(ServiceName), tomltext.DidYouMean(r.Service, names),
				"route %q leads to service %q, which does not exist, so its requests are refused", r.Name, r.Service)
		}
		if text, unknown := c.doc.UnknownConsistencies[i]; unknown {
			c.add(Error, r.at(Consistency), "write primary, bounded_stale or read_your_writes",
				"type %q of route %q is unknown, so the VMs ignore the whole configuration", text, r.Name)
			continue
		}
		c.checkStaleness(r)
		c.checkTimes(r)
	}
}

// checkStaleness finds routes whose reads no replica can serve, or serve only at times.
func (c *checker) checkStaleness(r Route) {
	line, allowed := r.at(MaxStaleness), r.MaxStaleness-StalenessMargin
	switch {
	case r.MaxStaleness < 0:
		c.add(Error, line, "write 0 or more", "the maximum staleness of route %q is negative", r.Name)
	case r.Consistency == directory.Latest:
		if r.MaxStaleness > 0 {
			c.add(Warning, line, "remove it, or choose a consistency that allows reads at replicas",
				"route %q reads the latest state at the primary, so its maximum staleness (%v) has no effect", r.Name, r.MaxStaleness)
		}
	case allowed <= 0:
		c.add(Warning, line, fmt.Sprintf("use more than %v plus the replication lag", StalenessMargin),
			"the maximum staleness of route %q (%v) is within the margin of %v that the proxy subtracts, so the primary serves all its reads",
			r.Name, r.MaxStaleness, StalenessMargin)
	case c.facts.ReplicationLag > 0 && allowed <= c.facts.ReplicationLag:
		c.add(Warning, line, fmt.Sprintf("use more than %v", c.facts.ReplicationLag+StalenessMargin),
			"the maximum staleness of route %q (%v) less the margin of %v is not above the replication lag (%v), so replicas can rarely serve it",
			r.Name, r.MaxStaleness, StalenessMargin, c.facts.ReplicationLag)
	}
}

func (c *checker) checkTimes(r Route) {
	if r.Timeout < 0 || r.LatencyObjective < 0 {
		c.add(Error, r.at(Timeout), "write 0 or more", "a time limit of route %q is negative", r.Name)
		return
	}
	timeout := effectiveTimeout(r.Route)
	if timeout < r.LatencyObjective {
		c.add(Warning, r.at(Timeout), "raise the timeout or lower the objective",
			"the timeout of route %q (%v) is below its latency objective (%v), which no statement can use up", r.Name, timeout, r.LatencyObjective)
	}
	if t := c.facts.ServiceTime; t > 0 && timeout <= t {
		c.add(Warning, r.at(Timeout), fmt.Sprintf("use more than %v", t),
			"the timeout of route %q (%v) is not above the service time (%v)", r.Name, timeout, t)
	}
	if t := c.facts.ServiceTime; t > 0 && r.LatencyObjective > 0 && r.LatencyObjective <= t {
		c.add(Warning, r.at(Objective), fmt.Sprintf("use more than %v", t),
			"the latency objective of route %q (%v) is not above the service time (%v), so requests miss it without any load",
			r.Name, r.LatencyObjective, t)
	}
}

func effectiveTimeout(r directory.Route) time.Duration {
	if r.Timeout == 0 {
		return DefaultTimeout
	}
	return r.Timeout
}

func (c *checker) checkServices() {
	for i, s := range c.doc.Services {
		name := s.Service.Name
		if last := c.services[name]; last != i {
			c.add(Error, s.Line, "remove one of them", "service %q is hidden by another one of this name on line %d", name, c.doc.Services[last].Line)
		}
		if !c.used[name] {
			c.add(Warning, s.Line, "add a route to it or remove it", "no route leads to service %q", name)
		}
		c.checkConnections(s)
		if s.WarmupRate < 0 {
			c.add(Error, s.at(Warmup), "write 0 for no limit, or more", "the warm-up rate of service %q is negative", name)
		}
		servers := c.facts.servers(name)
		if c.facts.Servers != nil && servers == 0 {
			c.add(Warning, s.Line, "check the name, or register its servers", "no server of service %q is registered", name)
		}
		if s.SyncReplicas < 0 || servers > 0 && s.SyncReplicas >= servers {
			c.add(Error, s.at(SyncReplicas), fmt.Sprintf("use 0 to %d", max(servers-1, 0)),
				"service %q cannot wait for %d replicas with %d servers", name, s.SyncReplicas, servers)
		}
	}
}

// reservedConnections returns how many connections of a server are not used for requests.
func reservedConnections(limit int) int {
	return min(max(limit/reservedDivisor, minReserved), maxReserved)
}

func (c *checker) checkConnections(s Service) {
	name, limit, line := s.Service.Name, s.MaxConnections, s.at(Connections)
	reserved := reservedConnections(limit)
	_, slots := c.facts.slots(name)
	switch {
	case limit <= 0:
		c.add(Error, line, "write what one server accepts", "service %q permits no connection to its servers", name)
	case limit < minConnections:
		c.add(Warning, line, fmt.Sprintf("use at least %d", minConnections),
			"%d connections of a server of service %q do not suffice: %d are reserved, and the owner and a reader need one each",
			limit, name, reserved)
	case limit-reserved < slots:
		c.add(Warning, line, fmt.Sprintf("use at least %d", slots+reservedConnections(slots+reserved)),
			"%d connections of a server of service %q, %d of them reserved, cannot use its %d slots", limit, name, reserved, slots)
	}
}

func (c *checker) checkWorkspaces() {
	last := map[string]int{}
	for i, w := range c.doc.Workspaces {
		last[w.Name] = i
	}
	for i, w := range c.doc.Workspaces {
		if last[w.Name] != i {
			c.add(Error, w.Line, "remove one of them; the keys of both are charged to the last one",
				"workspace %q is hidden by another one of this name on line %d", w.Name, c.doc.Workspaces[last[w.Name]].Line)
		}
		if len(w.Keys) == 0 {
			c.add(Warning, w.Line, "add a key or remove the workspace", "workspace %q has no key, so no request can be charged to it", w.Name)
		}
		if !(w.Rate > 0) {
			c.add(Error, w.at(Rate), "use a rate above 0, or withdraw the keys of a workspace that must not be served",
				"rate %g of workspace %q admits nothing over time", w.Rate, w.Name)
		}
		switch {
		case !(w.Burst >= 0):
			c.add(Error, w.at(Burst), "use 1 or more", "burst %g of workspace %q is negative", w.Burst, w.Name)
		case w.Burst < 1:
			c.add(Warning, w.at(Burst), "use 1 or more", "burst %g of workspace %q is less than one request; the VMs use 1", w.Burst, w.Name)
		}
	}
}

func (c *checker) checkKeys() {
	type owner struct {
		workspace string
		number    int
		line      int
	}
	seen := map[string]owner{}
	keys, public := 0, false
	for _, w := range c.doc.Workspaces {
		for i, k := range w.Keys {
			keys++
			first, again := seen[k.Text]
			switch {
			case k.Text == "":
				c.add(Error, k.Line, "remove it", "key %d of workspace %q is empty, so callers that send no key are admitted", i+1, w.Name)
			case again && first.workspace != w.Name:
				c.add(Error, k.Line, "remove it from one of them and issue a new one",
					"key %d of workspace %q (%s) is also key %d of workspace %q on line %d, which it no longer identifies",
					i+1, w.Name, keyName(k.Text), first.number, first.workspace, first.line)
			case again:
				c.add(Warning, k.Line, "remove one of them", "key %d of workspace %q (%s) appears twice", i+1, w.Name, keyName(k.Text))
			}
			seen[k.Text] = owner{w.Name, i + 1, k.Line}
		}
	}
	for _, r := range c.doc.Routes {
		public = public || r.NoKey
	}
	if keys == 0 && !public && len(c.doc.Routes) > 0 {
		c.add(Error, 1, "add a workspace with a key", "every route needs a key and there is none")
	}
}

// checkCapacity compares the rates with what the slots of all services can serve.
func (c *checker) checkCapacity() {
	if c.facts.ServiceTime <= 0 {
		return
	}
	slots := 0
	for name := range c.services {
		sum, _ := c.facts.slots(name)
		slots += sum
	}
	if slots == 0 {
		return
	}
	capacity, total := float64(slots)/c.facts.ServiceTime.Seconds(), 0.0
	for _, w := range c.doc.Workspaces {
		total += max(w.Rate, 0)
		if w.Rate > capacity {
			c.add(Warning, w.at(Rate), fmt.Sprintf("use at most %.0f, or add servers", capacity),
				"rate %g of workspace %q is above what all %d slots serve at %v each (%.0f/s)", w.Rate, w.Name, slots, c.facts.ServiceTime, capacity)
		}
	}
	if total > capacity {
		c.add(Note, 1, "add servers if the workspaces use their rates at the same time",
			"the rates of all workspaces together (%.0f/s) are above what all %d slots serve at %v each (%.0f/s)",
			total, slots, c.facts.ServiceTime, capacity)
	}
}

// checkIdleTimeout notes routes with a longer timeout than that of idle transactions. It is no contradiction by
// itself, because a transaction is idle between its statements only. But a caller that waits for a statement in
// another session meanwhile loses its transaction before that statement times out.
func (c *checker) checkIdleTimeout() {
	idle := c.doc.TxIdleTimeout
	if idle < 0 {
		c.add(Error, c.doc.TxIdleLine, "write 0 for no limit, or more", "the idle timeout of transactions is negative")
	}
	if idle <= 0 {
		return
	}
	longest, over := Route{}, 0
	for _, r := range c.doc.Routes {
		if t := effectiveTimeout(r.Route); t > idle {
			over++
			if over == 1 || t > effectiveTimeout(longest.Route) {
				longest = r
			}
		}
	}
	if over > 0 {
		c.add(Note, c.doc.TxIdleLine, "raise it if callers wait for other sessions within a transaction",
			"the idle timeout of transactions (%v) is below the timeout of %d routes, the longest of route %q (%v)",
			idle, over, longest.Name, effectiveTimeout(longest.Route))
	}
}
