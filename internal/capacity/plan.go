// Package capacity computes what the daemon needs at the planned size from slopes that are measured
// on one machine, and measures these slopes against the real code.
package capacity

import "math"

// Plan is the planned size of section 2 of the design page, and the sizes that follow from it.
type Plan struct {
	VMs               float64
	Servers           float64
	ServersPerGroup   float64
	Callers           float64 // connections of callers
	Statements        float64 // per second
	PrimaryChanges    float64 // per day
	PrimaryLimit      float64 // seconds for one change of primary
	Regions           float64
	Domains           float64 // failure domains
	Changes           float64 // configuration changes per day
	ChangeLimit       float64 // seconds until a change is in force everywhere
	ControlCPU        float64 // cores per daemon
	ControlMemory     float64 // bytes per daemon
	ControlBytes      float64 // bytes per second and daemon, sent and received
	FailedVMs         float64 // per day
	RestartedVMs      float64 // per day
	PlatformWrites    float64 // per second
	PlatformReads     float64 // per second
	PlatformValue     float64 // bytes of one object
	ConnectionsLow    float64 // connections that a server accepts, smallest described deployment
	ConnectionsHigh   float64 // the same, largest described deployment
	SlotsLow          float64 // statements that a server runs at once, smallest described deployment
	GroupsPerService  float64
	WorkspacesService float64
	Carriers          float64 // VMs per group that would open connections to its servers
	HopMillis         float64 // one-way latency between failure domains, upper of the two deployments
}

// Default returns the planned size. Several hundred writes per second are taken as 300. Services and
// workspaces per group are those of the two described deployments (8 workspaces on 3 groups),
// because the design page gives no number of workspaces for the planned size.
func Default() Plan {
	return Plan{
		VMs: 2100, Servers: 14000, ServersPerGroup: 3, Callers: 7e6, Statements: 19e6,
		PrimaryChanges: 36, PrimaryLimit: 11, Regions: 10, Domains: 20, Changes: 5800, ChangeLimit: 16,
		ControlCPU: 0.05, ControlMemory: 32e6, ControlBytes: 23e3, FailedVMs: 30, RestartedVMs: 1400,
		PlatformWrites: 300, PlatformReads: 2000, PlatformValue: 1 << 20,
		ConnectionsLow: 20, ConnectionsHigh: 50, GroupsPerService: 3, WorkspacesService: 8,
		SlotsLow: 3, Carriers: 6, HopMillis: 1.5,
	}
}

// Groups returns the number of database groups.
func (p Plan) Groups() float64 { return math.Ceil(p.Servers / p.ServersPerGroup) }

// Services returns the number of services.
func (p Plan) Services() float64 { return math.Ceil(p.Groups() / p.GroupsPerService) }

// Workspaces returns the number of workspaces.
func (p Plan) Workspaces() float64 { return p.Services() * p.WorkspacesService }

// PerDay converts a number per day into a number per second.
func PerDay(n float64) float64 { return n / (24 * 60 * 60) }
