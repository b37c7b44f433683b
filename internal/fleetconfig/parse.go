package fleetconfig

import (
	"fmt"
	"time"

	"siskinrouter/internal/tomltext"
)

// Fault is an error in a configuration text, with its line and a remedy.
type Fault = tomltext.Fault

// Limits of the values of a configuration.
const (
	MaxRate        = 1e6 // requests per second of a workspace
	MaxBurst       = 1_000_000
	MaxWeight      = 100
	MaxSlots       = 10_000
	MaxConnections = 100_000
	MaxServers     = 9 // of one group; a larger majority only adds to the latency of writes

	MinAge     = time.Millisecond
	MaxAge     = 24 * time.Hour
	MinTimeout = time.Millisecond
	MaxTimeout = time.Hour
)

// Defaults of optional keys.
const (
	DefaultWeight  = 1
	DefaultTimeout = 10 * time.Second // of a route
)

// Parse parses and validates a fleet configuration. It returns either the configuration or all faults.
func Parse(text []byte) (*Config, []Fault) {
	doc, ok := tomltext.Read(text)
	if !ok {
		return nil, doc.Faults()
	}
	p := newParser(doc)
	p.parse()
	if faults := doc.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return p.config, nil
}

// parser fills a configuration. Elements are checked in the order in which they refer to each other:
// domains, services with groups, workspaces, and finally the workspaces of routes without a key.
type parser struct {
	doc             *tomltext.Document
	config          *Config
	domains         *nameSet
	services        *nameSet
	groups          *nameSet // of all services, because the names of platform objects contain the group only
	servers         *nameSet // of all groups
	addresses       *nameSet
	workspaces      *nameSet
	anonymousRoutes []anonymousRoute
	tables          map[string]*tomltext.Table // by the title that Diff shows
}

// anonymousRoute is a route that callers use without a key. Its workspace is checked once all workspaces
// are known.
type anonymousRoute struct {
	table   *tomltext.Table
	service string
	route   Route
}

func newParser(doc *tomltext.Document) *parser {
	return &parser{
		doc:        doc,
		config:     &Config{Services: map[string]Service{}, Workspaces: map[string]Workspace{}},
		domains:    newNameSet("failure domain"),
		services:   newNameSet("service"),
		groups:     newNameSet("group"),
		servers:    newNameSet("server"),
		addresses:  newNameSet("address"),
		workspaces: newNameSet("workspace"),
		tables:     map[string]*tomltext.Table{},
	}
}

func (p *parser) parse() {
	root := p.doc.Root()
	domains := root.Tables("domain")
	services := root.Tables("service")
	workspaces := root.Tables("workspace")
	p.requireTables(root, "domain", domains, `name = "bne"`)
	p.requireTables(root, "service", services, `name = "swap-ledger"`)
	p.requireTables(root, "workspace", workspaces, `name = "cairns"`)
	for _, t := range domains {
		p.domain(t)
	}
	for _, t := range services {
		p.service(t)
	}
	for _, t := range workspaces {
		p.workspace(t)
	}
	for _, r := range p.anonymousRoutes {
		p.checkAnonymousRoute(r)
	}
	root.Close()
}

// requireTables records a fault if t has no table with the given key.
func (p *parser) requireTables(t *tomltext.Table, key string, tables []*tomltext.Table, example string) {
	if len(tables) == 0 && !(t.Has(key) && !t.Good(key)) {
		t.Fault(key, fmt.Sprintf("add a table [[%s]] with %s", t.Path(key), example), "there is no %s", key)
	}
}

func (p *parser) domain(t *tomltext.Table) {
	t.Require(`name = "bne"`)
	name := t.Name("name")
	p.domains.add(t, "name", name)
	p.tables[domainTitle(name)] = t
	p.config.Domains = append(p.config.Domains, name)
	t.Close()
}

func (p *parser) service(t *tomltext.Table) {
	t.Require(`name = "swap-ledger"`)
	s := Service{
		Name:       t.Name("name"),
		WhenCutOff: stalePolicy(t, StaleServe),
		Groups:     map[string]Group{},
		Routes:     map[string]Route{},
	}
	p.services.add(t, "name", s.Name)
	groups := t.Tables("group")
	p.requireTables(t, "group", groups, `name = "swap-1"`)
	for _, gt := range groups {
		g := p.group(gt, s.Name)
		p.tables[groupTitle(s.Name, g.Name)] = gt
		s.Groups[g.Name] = g
	}
	routes := t.Tables("route")
	p.requireTables(t, "route", routes, `name = "swaps"`)
	names := newNameSet("route")
	for _, rt := range routes {
		r := p.route(rt, s)
		p.tables[routeTitle(s.Name, r.Name)] = rt
		names.add(rt, "name", r.Name)
		s.Routes[r.Name] = r
	}
	t.Close()
	if _, ok := p.config.Services[s.Name]; !ok {
		p.config.Services[s.Name] = s
	}
}

func (p *parser) group(t *tomltext.Table, service string) Group {
	t.Require(`name = "swap-1"`)
	g := Group{Name: t.Name("name"), Service: service}
	p.groups.add(t, "name", g.Name)
	servers := t.Tables("server")
	for _, st := range servers {
		s := p.server(st)
		g.Servers = append(g.Servers, s)
		p.tables[serverTitle(service, g.Name, s.Name)] = st
	}
	t.Close()
	if t.Has("server") && !t.Good("server") {
		return g
	}
	p.checkGroupSize(t, g)
	p.checkGroupPlacement(t, g)
	return g
}

// checkGroupSize checks that the majority of the group is well defined and survives the loss of a server.
func (p *parser) checkGroupSize(t *tomltext.Table, g Group) {
	n := len(g.Servers)
	switch {
	case n == 0:
		t.Fault("server", "list 3 servers in 3 failure domains", "group %q has no servers", g.Name)
	case n > MaxServers:
		t.Fault("server", fmt.Sprintf("use at most %d", MaxServers), "group %q has %d servers", g.Name, n)
	case n%2 == 0:
		remedy := fmt.Sprintf("use %d or %d servers; an even number tolerates no more failures than one server less", max(n-1, 3), n+1)
		t.Fault("server", remedy, "group %q has an even number of servers (%d)", g.Name, n)
	}
}

// checkGroupPlacement checks that the group keeps a majority when one failure domain fails.
func (p *parser) checkGroupPlacement(t *tomltext.Table, g Group) {
	perDomain := map[string]int{}
	for _, s := range g.Servers {
		perDomain[s.Domain]++
	}
	majority := len(g.Servers)/2 + 1
	for _, s := range g.Servers {
		n := perDomain[s.Domain]
		if s.Domain == "" || n < majority {
			continue
		}
		perDomain[s.Domain] = 0
		remedy := fmt.Sprintf("place at most %d of its servers in %q, the others in other failure domains", (len(g.Servers)-1)/2, s.Domain)
		if len(g.Servers) == 1 {
			remedy = "list 3 servers in 3 failure domains"
		}
		t.Fault("server", remedy, "group %q has a majority of its servers (%d of %d) in failure domain %q", g.Name, n, len(g.Servers), s.Domain)
	}
}

func (p *parser) server(t *tomltext.Table) Server {
	t.Require(`name = "swap-1-bne"`, `address = "10.0.0.1:5432"`, `domain = "bne"`, `slots = 3`, `connections = 20`)
	s := Server{
		Name:        t.Name("name"),
		Address:     t.Address("address"),
		Domain:      t.String("domain"),
		Slots:       t.Int("slots", 1, 1, MaxSlots),
		Connections: t.Int("connections", 1, 1, MaxConnections),
	}
	p.servers.add(t, "name", s.Name)
	p.addresses.add(t, "address", s.Address)
	p.domains.checkReference(t, "domain", s.Domain)
	if t.Good("slots") && t.Good("connections") && s.Slots > s.Connections {
		remedy := fmt.Sprintf("use at most %d slots, because each statement that runs needs a connection", s.Connections)
		t.Fault("slots", remedy, "server %q has more slots (%d) than connections (%d)", s.Name, s.Slots, s.Connections)
	}
	t.Close()
	return s
}

func (p *parser) route(t *tomltext.Table, s Service) Route {
	if !t.Has("name") {
		t.Fault("name", `add name = "swaps", or name = "" for callers that name no route`, `[[service.route]] has no key "name"`)
	}
	t.Require(`access = "read" or access = "write"`)
	r := Route{
		Name:     t.String("name"),
		ReadOnly: t.Choice("access", "write", "read") == "read",
		MaxAge:   t.Duration("max_age", 0, MinAge, MaxAge),
	}
	if r.Name != "" {
		t.CheckName("name", r.Name)
	}
	r.Repeatable = t.Bool("repeatable", r.ReadOnly)
	open := t.Bool("open", false)
	workspace := t.String("workspace")
	r.WhenCutOff = stalePolicy(t, s.WhenCutOff)
	r.Timeout = t.Duration("timeout", DefaultTimeout, MinTimeout, MaxTimeout)
	t.Close()
	switch {
	case open && !t.Has("workspace"):
		t.Fault("open", `add workspace = "NAME" to charge its requests to, or remove open`, "the route is open but has no workspace")
	case !open && t.Has("workspace"):
		t.Fault("workspace", "add open = true or remove workspace; callers with a key are charged to their own workspace", "the route has a workspace but is not open")
	case open:
		r.AnonymousWorkspace = workspace
		p.anonymousRoutes = append(p.anonymousRoutes, anonymousRoute{table: t, service: s.Name, route: r})
	}
	return r
}

// checkAnonymousRoute checks that the workspace of a route without a key exists and can use the service.
func (p *parser) checkAnonymousRoute(r anonymousRoute) {
	if !r.table.Good("workspace") {
		return
	}
	if !p.workspaces.checkReference(r.table, "workspace", r.route.AnonymousWorkspace) {
		return
	}
	if _, ok := p.config.Workspaces[r.route.AnonymousWorkspace].Groups[r.service]; !ok {
		remedy := fmt.Sprintf("add a group of service %q to the workspace", r.service)
		r.table.Fault("workspace", remedy, "workspace %q of the open route has no group of service %q", r.route.AnonymousWorkspace, r.service)
	}
}

func (p *parser) workspace(t *tomltext.Table) {
	t.Require(`name = "cairns"`, `rate = "200/s"`, `burst = 100`, `groups = { swap-ledger = "swap-1" }`)
	w := Workspace{
		Name:   t.Name("name"),
		Rate:   t.Rate("rate", MaxRate),
		Burst:  float64(t.Int("burst", 1, 1, MaxBurst)),
		Weight: t.Int("weight", DefaultWeight, 1, MaxWeight),
		Groups: map[string]string{},
	}
	groups := t.Table("groups")
	if t.Good("groups") && len(groups.Keys()) == 0 {
		t.Fault("groups", `write groups = { SERVICE = "GROUP" }`, "workspace %q has no group", w.Name)
	}
	for _, service := range groups.Keys() {
		w.Groups[service] = groups.Named(service)
		p.checkWorkspaceGroup(groups, service, w.Groups[service])
	}
	t.Close()
	p.workspaces.add(t, "name", w.Name)
	p.tables[workspaceTitle(w.Name)] = t
	if _, ok := p.config.Workspaces[w.Name]; !ok {
		p.config.Workspaces[w.Name] = w
	}
}

// checkWorkspaceGroup checks that the group that a workspace uses for a service exists.
func (p *parser) checkWorkspaceGroup(t *tomltext.Table, service, group string) {
	if !t.Good(service) || !p.services.checkReference(t, service, service) {
		return
	}
	s := p.config.Services[service]
	if _, ok := s.Groups[group]; ok || len(s.Groups) == 0 {
		return // a service without groups has a fault of its own
	}
	names := make([]string, 0, len(s.Groups))
	for name := range s.Groups {
		names = append(names, name)
	}
	t.Fault(service, tomltext.DidYouMean(group, names), "service %q has no group %q", service, group)
}

func stalePolicy(t *tomltext.Table, byDefault StalePolicy) StalePolicy {
	choices := []string{string(StaleServe), string(StaleReadOnly), string(StaleRefuse)}
	value := t.Choice("when_cut_off", choices...)
	if !t.Good("when_cut_off") {
		return byDefault
	}
	return StalePolicy(value)
}

// nameSet holds the names of one kind of element and detects duplicate and unknown names.
type nameSet struct {
	kind  string
	lines map[string]int // line of the first occurrence
}

func newNameSet(kind string) *nameSet {
	return &nameSet{kind: kind, lines: map[string]int{}}
}

// add adds a name and records a fault if it is a duplicate. An invalid name is added, too, so that
// references to it cause no further faults.
func (s *nameSet) add(t *tomltext.Table, key, name string) {
	if !t.Has(key) || name == "" && !t.Good(key) {
		return
	}
	if first, ok := s.lines[name]; ok {
		remedy := fmt.Sprintf("use another one; the first is on line %d", first)
		t.Fault(key, remedy, "%s %q appears twice", s.kind, name)
		return
	}
	s.lines[name] = t.KeyLine(key)
}

// checkReference reports whether the set contains the name, and records a fault if it does not.
func (s *nameSet) checkReference(t *tomltext.Table, key, name string) bool {
	if !t.Good(key) {
		return false
	}
	if _, ok := s.lines[name]; ok {
		return true
	}
	names := make([]string, 0, len(s.lines))
	for n := range s.lines {
		names = append(names, n)
	}
	t.Fault(key, tomltext.DidYouMean(name, names), "unknown %s %q", s.kind, name)
	return false
}
