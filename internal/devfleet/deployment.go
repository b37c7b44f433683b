// Package devfleet runs a whole deployment in one process on loopback, for tests, trials and
// measurements: the substitutes for the platform, the targets and the network, and real daemons.
package devfleet

import (
	"fmt"
	"strings"
	"time"

	"siskinrouter/internal/daemon"
)

// Deployment describes the systems that a fleet serves.
type Deployment struct {
	Name             string
	Domains          []string
	Service          string
	Groups           int // database groups
	ServersPerGroup  int
	Slots            int           // statements that a server runs at once
	Connections      int           // connections that a server accepts
	ConnectTime      time.Duration // to open a connection to a server
	OneWay           time.Duration // latency between failure domains
	VMs              int           // entry VMs, spread over the failure domains
	Workspaces       []Workspace
	ServiceTime      time.Duration     // time that a statement occupies a slot
	Lag              time.Duration     // of what reads on replicas see
	StatementTimeout time.Duration     // of every route; 0 for 10 s
	Suspicion        time.Duration     // after which a silent primary is suspected; 0 for the default
	Experiment       daemon.Experiment // policies of all VMs that differ from the design
}

// Workspace is a customer of a deployment.
type Workspace struct {
	Name   string
	Rate   float64 // requests per second
	Burst  float64
	Weight int
}

// Queensland returns the deployment of the swap ledger.
func Queensland() Deployment {
	return Deployment{
		Name: "queensland", Domains: []string{"bne", "tsv", "cns", "too"}, Service: "swap-ledger",
		Groups: 3, ServersPerGroup: 3, Slots: 3, Connections: 20, ConnectTime: 10 * time.Millisecond,
		OneWay: 1500 * time.Microsecond, VMs: 9, Workspaces: workspaces(),
	}
}

// Tasmania returns the deployment of the fold ledger.
func Tasmania() Deployment {
	return Deployment{
		Name: "tasmania", Domains: []string{"hobart", "launceston", "devonport", "huon"}, Service: "fold-ledger",
		Groups: 3, ServersPerGroup: 3, Slots: 5, Connections: 50, ConnectTime: 10 * time.Millisecond,
		OneWay: 500 * time.Microsecond, VMs: 8, Workspaces: workspaces(),
	}
}

// workspaces returns eight workspaces, of which two are large.
func workspaces() []Workspace {
	var all []Workspace
	for i := range 8 {
		w := Workspace{Name: fmt.Sprintf("w%d", i+1), Rate: 100, Burst: 100, Weight: 1}
		if i < 2 {
			w.Rate, w.Burst, w.Weight = 400, 400, 4
		}
		all = append(all, w)
	}
	return all
}

// GroupName returns the name of a database group.
func (d Deployment) GroupName(i int) string { return fmt.Sprintf("%s-g%d", d.Name, i+1) }

// ServerName returns the name of a server.
func (d Deployment) ServerName(group, server int) string {
	return fmt.Sprintf("%s-s%d", d.GroupName(group), server+1)
}

// ServerDomain returns the failure domain of a server. The servers of a group are in different ones.
func (d Deployment) ServerDomain(group, server int) string {
	return d.Domains[(group+server)%len(d.Domains)]
}

// GroupOf returns the index of the database group of a workspace.
func (d Deployment) GroupOf(workspace int) int { return workspace % d.Groups }

// Routes of every deployment: write for requests that may not be repeated, lookup for reads that may
// be a second old, and a default route that may do both.
const (
	RouteWrite  = "write"
	RouteLookup = "lookup"
)

const defaultStatementTimeout = 10 * time.Second

// Text returns the operators' text. addresses holds the address of each server by name.
func (d Deployment) Text(addresses map[string]string) string {
	var b strings.Builder
	for _, name := range d.Domains {
		fmt.Fprintf(&b, "[[domain]]\nname = %q\n\n", name)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\nwhen_cut_off = \"serve\"\n\n", d.Service)
	for g := range d.Groups {
		fmt.Fprintf(&b, "[[service.group]]\nname = %q\nserver = [\n", d.GroupName(g))
		for s := range d.ServersPerGroup {
			name := d.ServerName(g, s)
			fmt.Fprintf(&b, "  { name = %q, address = %q, domain = %q, slots = %d, connections = %d },\n",
				name, addresses[name], d.ServerDomain(g, s), d.Slots, d.Connections)
		}
		b.WriteString("]\n\n")
	}
	d.writeRoutes(&b)
	for i, w := range d.Workspaces {
		fmt.Fprintf(&b, "[[workspace]]\nname = %q\nrate = \"%g/s\"\nburst = %g\nweight = %d\ngroups = { %s = %q }\n\n",
			w.Name, w.Rate, w.Burst, w.Weight, d.Service, d.GroupName(d.GroupOf(i)))
	}
	return b.String()
}

func (d Deployment) writeRoutes(b *strings.Builder) {
	timeout := d.StatementTimeout
	if timeout == 0 {
		timeout = defaultStatementTimeout
	}
	route := func(name, access, extra string) {
		fmt.Fprintf(b, "[[service.route]]\nname = %q\naccess = %q\ntimeout = %q\n%s\n", name, access, timeout, extra)
	}
	route("", "write", "")
	route(RouteWrite, "write", "repeatable = false\n")
	route(RouteLookup, "read", "max_age = \"1s\"\n")
}
