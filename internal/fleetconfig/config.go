// Package fleetconfig parses and compares the fleet configuration, a TOML text that operators write. It
// defines the services, the database groups on which they depend, the routes by which callers reach them,
// and the workspaces with their rates. Its platform object is named contract.
package fleetconfig

import "time"

// Config is a validated fleet configuration. It is immutable after Parse.
type Config struct {
	Domains    []string             // names of all failure domains
	Services   map[string]Service   // by name
	Workspaces map[string]Workspace // by name
}

// Service is a set of database groups that serve the same routes.
type Service struct {
	Name       string
	WhenCutOff StalePolicy      // default of the routes
	Groups     map[string]Group // by name
	Routes     map[string]Route // by name; the route "" applies to a database name without a route
}

// Group is a database group: servers that replicate one log.
type Group struct {
	Name    string
	Service string
	Servers []Server
}

// Server is one server of a group, a target.
type Server struct {
	Name        string // unique within the configuration
	Address     string // host:port
	Domain      string // failure domain
	Slots       int    // statements that may run concurrently
	Connections int    // connections that the server accepts from the whole fleet
}

// Workspace is a customer whose requests share a rate and burst across the fleet.
type Workspace struct {
	Name   string
	Rate   float64           // requests per second
	Burst  float64           // requests
	Weight int               // share of a target's slots relative to other workspaces
	Groups map[string]string // group name by service name
}

// Route says how requests of one kind are served.
type Route struct {
	Name               string
	ReadOnly           bool          // reads may be served by replicas; writes are refused
	MaxAge             time.Duration // maximum staleness of a replica; 0 means that only the session's minimum position applies
	Repeatable         bool          // a request may be retried after an unknown outcome
	AnonymousWorkspace string        // workspace charged for callers without a key; empty if a key is required
	WhenCutOff         StalePolicy
	Timeout            time.Duration // of one statement
}

// StalePolicy says what a VM does on a route while its configuration may be stale, because the VM cannot
// confirm that it is current.
type StalePolicy string

// Values of StalePolicy, as written in the key when_cut_off.
const (
	StaleServe    StalePolicy = "serve"
	StaleReadOnly StalePolicy = "read_only"
	StaleRefuse   StalePolicy = "refuse"
)
