// Package configcheck finds faults of a configuration of the users' platform that its VMs accept but that does not
// do what it says, and tells what differs from another version. It does no I/O.
package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/tomltext"
)

// Severity of a finding.
type Severity uint8

const (
	// Note is worth knowing and often intended.
	Note Severity = iota
	// Warning means that an entry has no effect or that limits contradict each other.
	Warning
	// Error means that an entry cannot work or that the VMs ignore the configuration.
	Error
)

// String returns the name of the severity.
func (s Severity) String() string { return [...]string{"note", "warning", "error"}[s] }

// Finding is what a rule has found.
type Finding struct {
	Severity Severity
	tomltext.Fault
}

// Field is a field of an entry, by which lines are found.
type Field uint8

const (
	Consistency Field = iota
	ServiceName
	MaxStaleness
	Timeout
	Objective
	Connections
	Warmup
	SyncReplicas
	Rate
	Burst
)

// Position holds the line of an entry and those of its fields.
type Position struct {
	Line   int
	Fields map[Field]int
}

func (p Position) at(f Field) int {
	if line := p.Fields[f]; line > 0 {
		return line
	}
	return p.Line
}

// Document is a configuration as it is written. Unlike directory.Configuration it keeps entries with the same name.
type Document struct {
	Version              uint64
	VersionLine          int
	Routes               []Route
	Services             []Service
	Workspaces           []Workspace
	TxIdleTimeout        time.Duration
	TxIdleLine           int
	UnknownConsistencies map[int]string // text of a consistency that does not exist, by index of the route
}

// Route is a route and its lines.
type Route struct {
	directory.Route
	Position
}

// Service is a service and its lines.
type Service struct {
	directory.Service
	Position
}

// Workspace is a workspace with its keys and lines.
type Workspace struct {
	directory.Workspace
	Position
	Keys []Key
}

// Key is a key of a workspace.
type Key struct {
	Text string
	Line int
}

// keyName names a key without revealing it: the start of its SHA-256.
func keyName(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:6])
}

// Configuration returns the configuration that takes effect: of entries with the same name the last one.
func (d *Document) Configuration() *directory.Configuration {
	c := &directory.Configuration{
		Version: d.Version, Routes: make(map[string]directory.Route, len(d.Routes)),
		Services: map[string]directory.Service{}, Workspaces: map[string]directory.Workspace{}, Keys: map[string]string{},
		TxIdleTimeout: d.TxIdleTimeout,
	}
	for _, r := range d.Routes {
		c.Routes[r.Database] = r.Route
	}
	for _, s := range d.Services {
		c.Services[s.Service.Name] = s.Service
	}
	for _, w := range d.Workspaces {
		c.Workspaces[w.Name] = w.Workspace
		for _, k := range w.Keys {
			c.Keys[k.Text] = w.Name
		}
	}
	return c
}

// Facts are properties of a deployment that its configuration does not hold. Rules that need one that is 0 are left out.
type Facts struct {
	ReplicationLag    time.Duration // of a replica
	ServiceTime       time.Duration // mean time for which a request occupies a slot
	SlotsPerServer    int
	ServersPerService int
	// Servers are the registered servers by service. If it is set, SlotsPerServer and ServersPerService are not used.
	Servers map[string][]directory.Server
}

// slots returns the slots of all servers of a service and those of its largest one.
func (f Facts) slots(service string) (sum, largest int) {
	if f.Servers == nil {
		return f.SlotsPerServer * f.ServersPerService, f.SlotsPerServer
	}
	for _, s := range f.Servers[service] {
		sum += s.Slots
		largest = max(largest, s.Slots)
	}
	return sum, largest
}

func (f Facts) servers(service string) int {
	if f.Servers == nil {
		return f.ServersPerService
	}
	return len(f.Servers[service])
}
