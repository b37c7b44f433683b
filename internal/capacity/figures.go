package capacity

import "math"

// Roles of the daemon, in the order of the page.
const (
	roleCallers      = "callers"
	roleStatements   = "statements"
	roleStatus       = "status"
	roleCarriers     = "carriers"
	roleDistribution = "distribution"
	roleWatch        = "watch"
	roleShares       = "shares"
	rolePrimary      = "primary"
	roleAudit        = "audit"
	roleExplanation  = "explanation"
	roleTotal        = "total"
)

// Remedies that several figures share.
const (
	carrierSets    = "carrier sets (docs/notes/scale.md, planned)"
	carrierProbes  = "carrier sets with slower probes (docs/notes/scale.md, planned)"
	serviceObjects = "one object per service, in force for its group only (docs/notes/scale.md, planned)"
	keysByService  = "one object of keys per service, indexed by workspace (planned)"
	carrierOwners  = "accounts on the carriers of the workspace's group only (docs/notes/scale.md, planned)"
)

// specs returns the computation of every figure, in the order in which they depend on each other.
func specs() []spec {
	var all []spec
	for _, part := range [][]spec{
		callerSpecs(), statementSpecs(), distributionSpecs(), watchSpecs(), statusSpecs(), shareSpecs(), carrierSpecs(),
		primarySpecs(), auditSpecs(), totalSpecs(),
	} {
		all = append(all, part...)
	}
	return all
}

func callerSpecs() []spec {
	return []spec{
		{id: "workspaces", role: roleCallers, what: "workspaces (assumed as in section 2 of the design page: 8 on 3 groups)",
			how: "groups / 3 x 8", value: func(c *calc) float64 { return c.Workspaces() }},
		{id: "callers.per_vm", role: roleCallers, what: "caller connections of a VM", how: "7 million / 2,100", limit: &limitCallers,
			value: func(c *calc) float64 { return math.Ceil(c.Callers / c.VMs) }},
		{id: "callers.memory", role: roleCallers, what: "live memory of the connections of a VM", unit: "B", how: "connections x caller.memory",
			value: func(c *calc) float64 { return c.figure("callers.per_vm") * c.slope("caller.memory") }},
		{id: "callers.heap", role: roleCallers, what: "the same with room for garbage (GOGC=100)", unit: "B", how: "2 x live memory",
			value: func(c *calc) float64 { return garbageFactor * c.figure("callers.memory") }},
		{id: "callers.idle", role: roleCallers, what: "processor time of idle connections", unit: "core", how: "connections x caller.idle",
			value: func(c *calc) float64 { return cores(c.figure("callers.per_vm") * c.slope("caller.idle")) }},
		{id: "callers.login", role: roleCallers, what: "processor time of one login with one key per workspace", unit: "us",
			how: "caller.login + workspaces x key.scan",
			value: func(c *calc) float64 {
				return c.slope("caller.login") + c.figure("workspaces")*c.slope("key.scan")/1000
			}},
		{id: "callers.restart_logins", role: roleCallers, what: "logins of the fleet because of restarted and failed VMs", unit: "/s",
			how:   "(1,400 + 30) per day x connections of a VM",
			value: func(c *calc) float64 { return PerDay(c.RestartedVMs+c.FailedVMs) * c.figure("callers.per_vm") }},
	}
}

func statementSpecs() []spec {
	return []spec{
		{id: "statements.per_vm", role: roleStatements, what: "statements of a VM", unit: "/s", how: "19 million / 2,100",
			value: func(c *calc) float64 { return math.Ceil(c.Statements / c.VMs) }},
		{id: "statements.token", role: roleStatements, what: "processor time if all are reads with a token", unit: "core",
			how:   "statements x statement.read_token",
			value: func(c *calc) float64 { return cores(c.figure("statements.per_vm") * c.slope("statement.read_token")) }},
		{id: "statements.floor", role: roleStatements, what: "processor time if all are reads without a token", unit: "core",
			how:   "statements x statement.read_floor",
			value: func(c *calc) float64 { return cores(c.figure("statements.per_vm") * c.slope("statement.read_floor")) }},
		{id: "statements.write", role: roleStatements, what: "processor time if all are confirmed writes", unit: "core",
			how:   "statements x statement.write",
			value: func(c *calc) float64 { return cores(c.figure("statements.per_vm") * c.slope("statement.write")) }},
		{id: "statements.mix", role: roleStatements, what: "processor time of an assumed mix: 45% reads with a token, 45% without, 10% writes", unit: "core",
			how: "weighted sum of the three rows above",
			value: func(c *calc) float64 {
				return readShare*tokenShare*c.figure("statements.token") + readShare*(1-tokenShare)*c.figure("statements.floor") +
					(1-readShare)*c.figure("statements.write")
			}},
		{id: "statements.per_server", role: roleStatements, what: "statements of a server", unit: "/s", how: "19 million / 14,000",
			value: func(c *calc) float64 { return c.Statements / c.Servers }},
		{id: "statements.slot_time", role: roleStatements, what: "mean time that a statement may occupy one of the 3 slots of a server, a bound of the servers", unit: "ms", how: "3 / statements of a server",
			value: func(c *calc) float64 { return 1000 * c.SlotsLow / c.figure("statements.per_server") }},
		{id: "statements.per_workspace", role: roleStatements, what: "statements of a workspace", unit: "/s", how: "19 million / workspaces",
			value: func(c *calc) float64 { return c.Statements / c.figure("workspaces") }},
	}
}

func statusSpecs() []spec {
	return []spec{
		{id: "status.connections", role: roleStatus, what: "connections to each server: one for control and at least one link of every VM",
			how: "2 x 2,100", limit: &limitLarge, remedy: carrierSets,
			value: func(c *calc) float64 { return 2 * c.VMs }},
		{id: "status.vms_low", role: roleStatus, what: "VMs that a server of 20 connections admits with one control connection and one link each", how: "20 / 2",
			value: func(c *calc) float64 { return math.Floor(c.ConnectionsLow / 2) }},
		{id: "status.vms_high", role: roleStatus, what: "the same for a server of 50", how: "50 / 2",
			value: func(c *calc) float64 { return math.Floor(c.ConnectionsHigh / 2) }},
		{id: "status.probes", role: roleStatus, what: "status probes of a VM", unit: "/s", how: "14,000 servers x 10",
			value: func(c *calc) float64 { return c.Servers * probesPerSecond }},
		{id: "status.cpu", role: roleStatus, what: "processor time of the probes", unit: "core", how: "probes x probe.cpu", limit: &limitCPU, remedy: carrierProbes,
			value: func(c *calc) float64 { return cores(c.figure("status.probes") * c.slope("probe.cpu")) }},
		{id: "status.idle", role: roleStatus, what: "processor time of the drivers and other periodic work per server", unit: "core",
			how: "14,000 x server.idle", limit: &limitCPU, remedy: carrierSets,
			value: func(c *calc) float64 { return cores(c.Servers * c.slope("server.idle")) }},
		{id: "status.live", role: roleStatus, what: "processor time of copies of the VM list for link budgets (each server each second) and drivers (each group twice a second)", unit: "core",
			how: "(14,000 + 2 x groups) x vm.live + 2 x groups x driver.peers", limit: &limitCPU, remedy: "pass the list on only when the membership changes; " + carrierSets,
			value: func(c *calc) float64 {
				groups := peersPerSecond * c.Groups()
				return cores((c.Servers+groups)*c.slope("vm.live") + groups*c.slope("driver.peers"))
			}},
		{id: "status.bytes", role: roleStatus, what: "bytes of the probes", unit: "B/s", how: "probes x (probe.bytes + 2 x 52)", limit: &limitBytes, remedy: carrierProbes,
			value: func(c *calc) float64 {
				return c.figure("status.probes") * (c.slope("probe.bytes") + 2*packetHeader)
			}},
		{id: "status.memory", role: roleStatus, what: "live memory of the watched servers", unit: "B", how: "14,000 x server.memory", limit: &limitMemory, remedy: carrierSets,
			value: func(c *calc) float64 { return c.Servers * c.slope("server.memory") }},
		{id: "status.per_server", role: roleStatus, what: "status queries that each server answers", unit: "/s", how: "2,100 VMs x 10",
			value: func(c *calc) float64 { return c.VMs * probesPerSecond }},
	}
}

func distributionSpecs() []spec {
	return []spec{
		{id: "members.memory", role: roleDistribution, what: "live memory of the members table", unit: "B", how: "2,100 x vm.memory", limit: &limitMemory,
			value: func(c *calc) float64 { return c.VMs * c.slope("vm.memory") }},
		{id: "sync.cpu", role: roleDistribution, what: "processor time of calls between VMs", unit: "core", how: "propagation.calls / 2 x sync.cpu + 10 x vm.tick", limit: &limitCPU,
			value: func(c *calc) float64 {
				return cores(c.slope("propagation.calls")/2*c.slope("sync.cpu") + 10*c.slope("vm.tick"))
			}},
		{id: "fleet.bytes", role: roleDistribution, what: "bytes of calls between VMs and of the platform's list, changes of 2 KB, median VM", unit: "B/s",
			how: "propagation.small_median", limit: &limitBytes,
			value: func(c *calc) float64 { return c.slope("propagation.small_median") }},
		{id: "fleet.bytes_most", role: roleDistribution, what: "bytes of the same, most loaded VM", unit: "B/s", how: "propagation.small_most", limit: &limitBytes,
			value: func(c *calc) float64 { return c.slope("propagation.small_most") }},
		{id: "fleet.bytes_large", role: roleDistribution, what: "bytes of calls between VMs with changes of 1 MB, median VM", unit: "B/s", how: "propagation.large_median", limit: &limitBytes,
			remedy: serviceObjects,
			value:  func(c *calc) float64 { return c.slope("propagation.large_median") }},
		{id: "fleet.bytes_large_most", role: roleDistribution, what: "bytes of calls between VMs with changes of 1 MB, most loaded VM", unit: "B/s", how: "propagation.large_most", limit: &limitBytes,
			remedy: serviceObjects,
			value:  func(c *calc) float64 { return c.slope("propagation.large_most") }},
		{id: "propagation.worst", role: roleDistribution, what: "time until a change is in force on every reachable VM, worst", unit: "s", how: "propagation.worst", limit: &limitChange,
			value: func(c *calc) float64 { return c.slope("propagation.worst") }},
		{id: "text.total", role: roleDistribution, what: "operators' text of all services", unit: "B",
			how: "servers x text.server + workspaces x text.workspace + services x text.service", limit: &limitValue, remedy: serviceObjects,
			value: func(c *calc) float64 {
				return c.Servers*c.slope("text.server") + c.figure("workspaces")*c.slope("text.workspace") + c.Services()*c.slope("text.service")
			}},
		{id: "text.service", role: roleDistribution, what: "operators' text of one service", unit: "B", how: "9 servers, 8 workspaces, 3 routes", limit: &limitValue, planned: true,
			value: func(c *calc) float64 {
				return c.GroupsPerService*c.ServersPerGroup*c.slope("text.server") + c.WorkspacesService*c.slope("text.workspace") + c.slope("text.service")
			}},
		{id: "text.bytes", role: roleDistribution, what: "bytes of whole texts, received once and passed on once by a VM", unit: "B/s", how: "2 x text x 5,800 per day", limit: &limitBytes,
			remedy: serviceObjects,
			value:  func(c *calc) float64 { return 2 * c.figure("text.total") * PerDay(c.Changes) }},
		{id: "text.cpu", role: roleDistribution, what: "processor time to parse whole texts", unit: "core", how: "text x text.parse x 5,800 per day", limit: &limitCPU, remedy: serviceObjects,
			value: func(c *calc) float64 {
				return cores(c.figure("text.total") / 1024 * c.slope("text.parse") * PerDay(c.Changes))
			}},
		{id: "text.cpu_service", role: roleDistribution, what: "the same with one object per service", unit: "core", how: "text of a service x text.parse x 5,800 per day", limit: &limitCPU, planned: true,
			value: func(c *calc) float64 {
				return cores(c.figure("text.service") / 1024 * c.slope("text.parse") * PerDay(c.Changes))
			}},
		{id: "text.memory", role: roleDistribution, what: "live memory of text and parsed text", unit: "B", how: "text x (1 + text.memory / 1024)", limit: &limitMemory, remedy: serviceObjects,
			value: func(c *calc) float64 { return c.figure("text.total") * (1 + c.slope("text.memory")/1024) }},
		{id: "keys.object", role: roleDistribution, what: "object keys with one key per workspace", unit: "B", how: "workspaces x key.bytes", limit: &limitValue, remedy: keysByService,
			value: func(c *calc) float64 { return c.figure("workspaces") * c.slope("key.bytes") }},
		{id: "keys.memory", role: roleDistribution, what: "live memory of keys and of their object", unit: "B", how: "workspaces x (key.memory + key.bytes)", limit: &limitMemory,
			value: func(c *calc) float64 {
				return c.figure("workspaces") * (c.slope("key.memory") + c.slope("key.bytes"))
			}},
		{id: "keys.sweep", role: roleDistribution, what: "processor time to check the key of every caller after each change", unit: "core",
			how: "connections x workspaces x key.scan x 5,800 per day", limit: &limitCPU, remedy: keysByService,
			value: func(c *calc) float64 {
				return cores(c.figure("callers.per_vm") * c.figure("workspaces") * c.slope("key.scan") / 1000 * PerDay(c.Changes))
			}},
		{id: "keys.sweep_once", role: roleDistribution, what: "processor time of one such check of all callers of a VM", unit: "s",
			how: "connections x workspaces x key.scan",
			value: func(c *calc) float64 {
				return cores(c.figure("callers.per_vm") * c.figure("workspaces") * c.slope("key.scan") / 1000)
			}},
		{id: "apply.cpu", role: roleDistribution, what: "processor time to put changes into force beside parsing", unit: "core", how: "groups x apply.group x (5,800 + 36) per day", limit: &limitCPU,
			value: func(c *calc) float64 {
				return cores(c.Groups() * c.slope("apply.group") * PerDay(c.Changes+c.PrimaryChanges))
			}},
		{id: "catalog.memory", role: roleDistribution, what: "live memory of the objects groups/GROUP", unit: "B", how: "groups x object.memory", limit: &limitMemory,
			value: func(c *calc) float64 { return c.Groups() * c.slope("object.memory") }},
	}
}

func watchSpecs() []spec {
	return []spec{
		{id: "watch.holders", role: roleWatch, what: "watch holders", how: "2 x 20 failure domains",
			value: func(c *calc) float64 { return holdersPerDomain * c.Domains }},
		{id: "watch.calls", role: roleWatch, what: "platform calls of the holders without changes", unit: "/s", how: "holders x platform.holder", limit: &limitReads,
			value: func(c *calc) float64 { return c.figure("watch.holders") * c.slope("platform.holder") }},
		{id: "watch.confirm", role: roleWatch, what: "bytes with which a holder confirms that its watch is connected: an object of 200 bytes and 400 bytes of headers", unit: "B/s",
			how: "platform.holder x (200 x 4/3 + 400)", limit: &limitBytes,
			value: func(c *calc) float64 { return c.slope("platform.holder") * (200*base64Growth + 400) }},
		{id: "watch.relist", role: roleWatch, what: "bytes of one list of all objects, read after each watch that failed", unit: "B",
			how: "4/3 x (text + keys + groups x 300 + 10,000 x audit.bytes)",
			value: func(c *calc) float64 {
				return base64Growth * (c.figure("text.total") + c.figure("keys.object") + c.Groups()*groupObject + auditKept*c.slope("audit.bytes"))
			}},
		{id: "list.size", role: roleWatch, what: "the platform's list of VMs", unit: "B", how: "2,100 x list.entry", limit: &limitValue,
			value: func(c *calc) float64 { return c.VMs * c.slope("list.entry") }},
		{id: "list.interval", role: roleWatch, what: "time between two reads of the list by a VM", unit: "s", how: "2,100 x 130 / 2,000 x 0.875",
			value: func(c *calc) float64 { return c.VMs * listEntryAssumed / listRate * listJitter }},
		{id: "list.calls", role: roleWatch, what: "reads of the list by the fleet", unit: "/s", how: "2,100 / interval", limit: &limitReads,
			value: func(c *calc) float64 { return c.VMs / c.figure("list.interval") }},
		{id: "list.bytes", role: roleWatch, what: "bytes of the list per VM", unit: "B/s", how: "size / interval", limit: &limitBytes,
			value: func(c *calc) float64 { return c.figure("list.size") / c.figure("list.interval") }},
		{id: "platform.calls", role: roleWatch, what: "platform calls of the fleet, driven with a cut-off failure domain, mean", unit: "/s", how: "propagation.platform", limit: &limitReads,
			value: func(c *calc) float64 { return c.slope("propagation.platform") }},
		{id: "platform.peak", role: roleWatch, what: "the same, busiest second", unit: "/s", how: "propagation.platform_peak", limit: &limitReads,
			value: func(c *calc) float64 { return c.slope("propagation.platform_peak") }},
	}
}

func shareSpecs() []spec {
	return []spec{
		{id: "shares.memory", role: roleShares, what: "live memory of one account per workspace", unit: "B", how: "workspaces x account.memory", limit: &limitMemory, remedy: carrierOwners,
			value: func(c *calc) float64 { return c.figure("workspaces") * c.slope("account.memory") }},
		{id: "shares.peers", role: roleShares, what: "live memory of possible lenders", unit: "B", how: "2,100 x peer.memory", limit: &limitMemory,
			value: func(c *calc) float64 { return c.VMs * c.slope("peer.memory") }},
		{id: "shares.load", role: roleShares, what: "processor time to add all workspaces at the start of a daemon", unit: "s", how: "workspaces x account.load", limit: &limitChange, remedy: carrierOwners,
			value: func(c *calc) float64 {
				return c.figure("workspaces") * c.slope("account.load") / 1e6
			}},
		{id: "shares.idle", role: roleShares, what: "processor time of idle accounts", unit: "core", how: "workspaces x 100 x account.poll_idle", limit: &limitCPU, remedy: carrierOwners,
			value: func(c *calc) float64 {
				return cores(c.figure("workspaces") * pollsPerSecond * c.slope("account.poll_idle"))
			}},
		{id: "shares.set", role: roleShares, what: "processor time of the update of the lenders each second", unit: "core", how: "peer.set", limit: &limitCPU,
			value: func(c *calc) float64 { return cores(c.slope("peer.set")) }},
		{id: "shares.present", role: roleShares, what: "workspaces that have a caller on a given VM", how: "distinct workspaces of the connections of a VM",
			value: func(c *calc) float64 { return distinct(c.figure("workspaces"), c.figure("callers.per_vm")) }},
		{id: "shares.busy", role: roleShares, what: "processor time of planning loans if all present workspaces have demand", unit: "core", how: "present workspaces x 100 x account.poll_busy", limit: &limitCPU, remedy: carrierOwners,
			value: func(c *calc) float64 {
				return cores(c.figure("shares.present") * pollsPerSecond * c.slope("account.poll_busy"))
			}},
		{id: "shares.owners", role: roleShares, what: "VMs that own a slot", how: "12 x 20 failure domains",
			value: func(c *calc) float64 { return slotsPerDomain * c.Domains }},
		{id: "shares.part", role: roleShares, what: "statements that the VM gets for one present workspace", unit: "/s", how: "statements of a VM / present workspaces",
			value: func(c *calc) float64 { return c.figure("statements.per_vm") / c.figure("shares.present") }},
		{id: "shares.messages", role: roleShares, what: "Borrow requests of a VM without slots for a fifth of the rate of one workspace (its limit is 40/s)", unit: "/s", how: "loan.messages",
			value: func(c *calc) float64 { return c.slope("loan.messages") }},
		{id: "shares.bytes", role: roleShares, what: "bytes of these Borrow requests, made and served", unit: "B/s", how: "2 x loan.messages x (borrow.bytes + 4 x 52)", limit: &limitBytes, remedy: carrierOwners,
			value: func(c *calc) float64 {
				return 2 * c.slope("loan.messages") * (c.slope("borrow.bytes") + callHeaders)
			}},
		{id: "shares.cpu", role: roleShares, what: "processor time of these requests, made and served", unit: "core", how: "loan.messages x borrow.cpu", limit: &limitCPU,
			value: func(c *calc) float64 { return cores(c.slope("loan.messages") * c.slope("borrow.cpu")) }},
		{id: "shares.per_owner", role: roleShares, what: "Borrow requests that each owner serves if every VM without slots sends its limit", unit: "/s", how: "40 x (2,100 - owners) / owners",
			value: func(c *calc) float64 {
				return loanMessageRate * (c.VMs - c.figure("shares.owners")) / c.figure("shares.owners")
			}},
		{id: "shares.owner_cpu", role: roleShares, what: "processor time of an owner to serve the Borrow requests of all VMs without slots at their limit", unit: "core", how: "served requests x borrow.cpu / 2", limit: &limitCPU, remedy: carrierOwners,
			value: func(c *calc) float64 { return cores(c.figure("shares.per_owner") * c.slope("borrow.cpu") / 2) }},
		{id: "shares.refused", role: roleShares, what: "refusals inside the rate on a VM without slots, 0.73 requests per second, idle lenders that answer at once", unit: "%", how: "loan.sparse_refused", limit: &limitRefusals,
			value: func(c *calc) float64 { return c.slope("loan.sparse_refused") }},
	}
}

func carrierSpecs() []spec {
	planned := func(s spec) spec {
		s.role, s.planned = roleCarriers, true
		return s
	}
	return []spec{
		planned(spec{id: "carrier.groups", what: "groups of a VM", how: "groups x 6 / 2,100",
			value: func(c *calc) float64 { return c.Groups() * c.Carriers / c.VMs }}),
		planned(spec{id: "carrier.servers", what: "servers to which a VM connects", how: "groups of a VM x 3",
			value: func(c *calc) float64 { return c.figure("carrier.groups") * c.ServersPerGroup }}),
		planned(spec{id: "carrier.links_low", what: "links per VM and server of 20 connections, after 6 for control", how: "floor((20 - 6) / 6)",
			value: func(c *calc) float64 { return math.Floor((c.ConnectionsLow - c.Carriers) / c.Carriers) }}),
		planned(spec{id: "carrier.connections_low", what: "connections to a server of 20", how: "6 x (1 + links)", limit: &limitConnections,
			value: func(c *calc) float64 { return c.Carriers * (1 + c.figure("carrier.links_low")) }}),
		planned(spec{id: "carrier.links_high", what: "links per VM and server of 50 connections, after 6 for control", how: "floor((50 - 6) / 6)",
			value: func(c *calc) float64 { return math.Floor((c.ConnectionsHigh - c.Carriers) / c.Carriers) }}),
		planned(spec{id: "carrier.connections_high", what: "connections to a server of 50", how: "6 x (1 + links)", limit: &limitLarge,
			value: func(c *calc) float64 { return c.Carriers * (1 + c.figure("carrier.links_high")) }}),
		planned(spec{id: "carrier.link_time", what: "mean time that a statement may hold a link if a server of 20 connections gets its statements through its 12 links", unit: "ms", how: "6 x links / statements.per_server",
			value: func(c *calc) float64 {
				return 1000 * c.Carriers * c.figure("carrier.links_low") / c.figure("statements.per_server")
			}}),
		planned(spec{id: "carrier.relayed", what: "share of statements that a VM relays", unit: "%", how: "1 - 6 / 2,100",
			value: func(c *calc) float64 { return 100 * (1 - c.Carriers/c.VMs) }}),
		planned(spec{id: "carrier.latency", what: "latency added by a carrier in any failure domain, against the goal for a read", unit: "us", how: "2 x 1.5 ms + statement.read_token", limit: &limitLatency,
			remedy: "carriers in the failure domains of the servers",
			value:  func(c *calc) float64 { return 2*1000*c.HopMillis + c.slope("statement.read_token") }}),
		planned(spec{id: "carrier.latency_near", what: "the same if the carrier is in the failure domain of the server, so that the relay replaces the way to the server (without the time on the wire inside a failure domain)", unit: "us", how: "statement.read_token", limit: &limitLatency,
			value: func(c *calc) float64 { return c.slope("statement.read_token") }}),
		planned(spec{id: "carrier.cpu", what: "processor time of forwarding with the relay counted as a second pass", unit: "core", how: "statements.mix + relayed share x statements.token",
			value: func(c *calc) float64 {
				return c.figure("statements.mix") + c.figure("carrier.relayed")/100*c.figure("statements.token")
			}}),
		planned(spec{id: "carrier.wanted", what: "groups that the callers of a VM use", how: "distinct groups of the connections of a VM",
			value: func(c *calc) float64 { return distinct(c.Groups(), c.figure("callers.per_vm")) }}),
		planned(spec{id: "carrier.peers", what: "VMs to which a VM relays if it uses the first carrier of each group", how: "distinct VMs of these groups",
			value: func(c *calc) float64 { return distinct(c.VMs, c.figure("carrier.wanted")) }}),
		planned(spec{id: "carrier.peer_memory", what: "live memory of relay connections, opened and accepted, each counted as a caller connection", unit: "B", how: "2 x VMs x caller.memory",
			value: func(c *calc) float64 { return 2 * c.figure("carrier.peers") * c.slope("caller.memory") }}),
		planned(spec{id: "carrier.probes_fast", what: "status probes of a VM at 100 ms by all 6 carriers", unit: "/s", how: "servers of a VM x 10",
			value: func(c *calc) float64 { return c.figure("carrier.servers") * probesPerSecond }}),
		planned(spec{id: "carrier.bytes_fast", what: "bytes of probes at 100 ms by all 6 carriers", unit: "B/s", how: "probes x (probe.bytes + 2 x 52)", limit: &limitBytes,
			remedy: "slower probes by 3 carriers, next rows",
			value: func(c *calc) float64 {
				return c.figure("carrier.probes_fast") * (c.slope("probe.bytes") + 2*packetHeader)
			}}),
		planned(spec{id: "carrier.probes", what: "status probes of a VM if 3 carriers probe primaries each 500 ms and replicas each 2 s", unit: "/s", how: "groups / 2,100 x 3 x (2 + 2 x 0.5)",
			value: func(c *calc) float64 {
				perCarrier := carrierProbesPrimary + (c.ServersPerGroup-1)*carrierProbesReplica
				return c.Groups() / c.VMs * probingCarriers * perCarrier
			}}),
		planned(spec{id: "carrier.bytes", what: "bytes of these probes", unit: "B/s", how: "probes x (probe.bytes + 2 x 52)", limit: &limitBytes,
			value: func(c *calc) float64 {
				return c.figure("carrier.probes") * (c.slope("probe.bytes") + 2*packetHeader)
			}}),
		planned(spec{id: "carrier.probe_cpu", what: "processor time of these probes and of the periodic work per server", unit: "core", how: "probes x probe.cpu + servers of a VM x server.idle", limit: &limitCPU,
			value: func(c *calc) float64 {
				return cores(c.figure("carrier.probes")*c.slope("probe.cpu") + c.figure("carrier.servers")*c.slope("server.idle"))
			}}),
		planned(spec{id: "carrier.live", what: "processor time of copies of the VM list and of drivers that take it over, as today", unit: "core", how: "(servers + 2 x groups of a VM) x vm.live + 2 x groups of a VM x driver.peers", limit: &limitCPU,
			value: func(c *calc) float64 {
				groups := peersPerSecond * c.figure("carrier.groups")
				return cores((c.figure("carrier.servers")+groups)*c.slope("vm.live") + groups*c.slope("driver.peers"))
			}}),
		planned(spec{id: "carrier.list", what: "the same if the list is copied and drivers are told only when the membership changes, twice for each VM that fails or restarts", unit: "core", how: "2 x 1,430 per day x (vm.live + groups of a VM x driver.peers)", limit: &limitCPU,
			value: func(c *calc) float64 {
				changes := 2 * PerDay(c.RestartedVMs+c.FailedVMs)
				return cores(changes * (c.slope("vm.live") + c.figure("carrier.groups")*c.slope("driver.peers")))
			}}),
		planned(spec{id: "carrier.memory", what: "live memory of the watched servers", unit: "B", how: "servers of a VM x server.memory", limit: &limitMemory,
			value: func(c *calc) float64 { return c.figure("carrier.servers") * c.slope("server.memory") }}),
		planned(spec{id: "carrier.loan_peers", what: "VMs with which a VM shares groups, its possible lenders", how: "groups of a VM x 5",
			value: func(c *calc) float64 { return c.figure("carrier.groups") * (c.Carriers - 1) }}),
		planned(spec{id: "carrier.loan_bytes", what: "bytes of Borrow, made and served, at today's limit of 40 messages per second", unit: "B/s", how: "2 x 40 x (borrow.bytes + 4 x 52)", limit: &limitBytes,
			remedy: "at most 10 messages per second; relays spread the demand of a workspace over its carriers",
			value: func(c *calc) float64 {
				return 2 * loanMessageRate * (c.slope("borrow.bytes") + callHeaders)
			}}),
		planned(spec{id: "carrier.loan_bytes_low", what: "the same at 10 messages per second", unit: "B/s", how: "2 x 10 x (borrow.bytes + 4 x 52)", limit: &limitBytes,
			value: func(c *calc) float64 {
				return 2 * carrierLoanRate * (c.slope("borrow.bytes") + callHeaders)
			}}),
		planned(spec{id: "carrier.accounts", what: "accounts of a VM", how: "workspaces x 6 / 2,100",
			value: func(c *calc) float64 { return c.figure("workspaces") * c.Carriers / c.VMs }}),
		planned(spec{id: "carrier.loans", what: "processor time of the loans if all have demand", unit: "core", how: "accounts x 100 x account.poll_carriers", limit: &limitCPU,
			value: func(c *calc) float64 {
				return cores(c.figure("carrier.accounts") * pollsPerSecond * c.slope("account.poll_carriers"))
			}}),
	}
}

func primarySpecs() []spec {
	return []spec{
		{id: "primary.statements", role: rolePrimary, what: "control statements of one change", how: "3 fence + 1 promote + 2 follow",
			value: func(*calc) float64 { return controlStatements }},
		{id: "primary.time", role: rolePrimary, what: "time of a change by the third driver with both phases at their limit", unit: "s", how: "0.4 + 0.5 + 2 x 0.15 + 2 x 0.5", limit: &limitPrimary,
			value: func(*calc) float64 { return suspectAfter + reportDelay + 2*rankDelay + 2*attemptLimit }},
		{id: "primary.slow_time", role: rolePrimary, what: "the same if a primary is probed each 500 ms and suspected after 4 lost probes", unit: "s", how: "2 + 0.5 + 2 x 0.15 + 2 x 0.5", limit: &limitPrimary, planned: true,
			value: func(*calc) float64 { return 4/carrierProbesPrimary + reportDelay + 2*rankDelay + 2*attemptLimit }},
		{id: "lost.vms", role: rolePrimary, what: "VMs lost with a failure domain", how: "2,100 / 20",
			value: func(c *calc) float64 { return c.VMs / c.Domains }},
		{id: "lost.primaries", role: rolePrimary, what: "primaries lost with a failure domain", how: "groups / 20",
			value: func(c *calc) float64 { return c.Groups() / c.Domains }},
		{id: "lost.promotions", role: rolePrimary, what: "promotions of a remaining VM with carrier sets", how: "lost primaries / remaining VMs", planned: true,
			value: func(c *calc) float64 { return c.figure("lost.primaries") / (c.VMs - c.figure("lost.vms")) }},
		{id: "lost.rate", role: rolePrimary, what: "promotions per second of the fleet to end within 11 s after detection", unit: "/s", how: "lost primaries / (11 - 0.4 - 0.5)",
			value: func(c *calc) float64 {
				return c.figure("lost.primaries") / (c.PrimaryLimit - suspectAfter - reportDelay)
			}},
		{id: "lost.writes", role: rolePrimary, what: "platform writes if all are published in one second, without races", unit: "/s", how: "lost primaries x (1 object + 1 audit record)", limit: &limitWrites,
			remedy: "publish with random delay of up to 10 s; promotions do not wait for it (planned)",
			value:  func(c *calc) float64 { return 2 * c.figure("lost.primaries") }},
		{id: "lost.audit", role: rolePrimary, what: "platform calls of 233 VMs that each write their first audit record at once", how: "audit.burst_calls",
			value: func(c *calc) float64 { return c.slope("audit.burst_calls") }},
		{id: "lost.audit_time", role: rolePrimary, what: "time for which the first audit records of 233 VMs use up the platform's reads", unit: "s", how: "calls / 2,000", limit: &limitPrimary,
			remedy: "records of one VM per failure domain: drivers hand records to a watch holder (planned)",
			value:  func(c *calc) float64 { return c.figure("lost.audit") / c.PlatformReads }},
		{id: "lost.reports", role: rolePrimary, what: "Sync calls of a VM that reports the lost primaries today, made and served", unit: "/s", how: "2 x 32 peers x 2 per second",
			value: func(*calc) float64 { return 2 * maxReportPeers * reportsPerSecond }},
		{id: "lost.report_bytes", role: rolePrimary, what: "bytes of Sync calls that report lost primaries, 128 reports each", unit: "B/s", how: "calls x (sync.bytes + 4 x 52 + 128 x 100)", limit: &limitBytes, remedy: carrierSets,
			value: func(c *calc) float64 {
				return c.figure("lost.reports") * (c.slope("sync.bytes") + callHeaders + maxReports*reportBytes)
			}},
		{id: "lost.unreported", role: rolePrimary, what: "lost primaries beyond the 128 reports of one message", how: "lost primaries - 128",
			value: func(c *calc) float64 { return math.Max(c.figure("lost.primaries")-maxReports, 0) }},
		{id: "lost.reports_carriers", role: rolePrimary, what: "suspicions that a remaining VM reports with carrier sets", how: "lost primaries x 6 / remaining VMs", planned: true,
			value: func(c *calc) float64 {
				return c.figure("lost.primaries") * c.Carriers / (c.VMs - c.figure("lost.vms"))
			}},
		{id: "lost.reconnects", role: rolePrimary, what: "callers that reconnect to a remaining VM", how: "7 million / 20 / remaining VMs",
			value: func(c *calc) float64 { return c.Callers / c.Domains / (c.VMs - c.figure("lost.vms")) }},
		{id: "lost.login_time", role: rolePrimary, what: "processor time of these logins", unit: "s", how: "callers x callers.login",
			value: func(c *calc) float64 { return cores(c.figure("lost.reconnects") * c.figure("callers.login")) }},
	}
}

func auditSpecs() []spec {
	return []spec{
		{id: "audit.records", role: roleAudit, what: "audit records per day", how: "5,800 + 36 + (1,400 + 30) x owners / 2,100",
			value: func(c *calc) float64 {
				return c.Changes + c.PrimaryChanges + (c.RestartedVMs+c.FailedVMs)*c.figure("shares.owners")/c.VMs
			}},
		{id: "audit.writes", role: roleAudit, what: "platform calls of audit records if each writer is new", unit: "/s", how: "records x audit.first_calls", limit: &limitWrites,
			value: func(c *calc) float64 { return PerDay(c.figure("audit.records")) * c.slope("audit.first_calls") }},
		{id: "audit.memory", role: roleAudit, what: "full buffer of a VM during an outage", unit: "B", how: "1,024 x audit.bytes", limit: &limitMemory,
			value: func(c *calc) float64 { return auditBuffer * c.slope("audit.bytes") }},
		{id: "audit.hour", role: roleAudit, what: "records of the whole fleet in an hour in which a region is cut off", how: "records / 24", limit: &limitBuffer,
			value: func(c *calc) float64 { return c.figure("audit.records") / 24 }},
		{id: "audit.kept", role: roleAudit, what: "time that the trail covers", unit: "h", how: "10,000 / records",
			value: func(c *calc) float64 { return 24 * auditKept / c.figure("audit.records") }},
		{id: "explain.memory", role: roleExplanation, what: "live memory of explanations", unit: "B", how: "4,096 x explain.memory", limit: &limitMemory,
			value: func(c *calc) float64 { return explanationsKept * c.slope("explain.memory") }},
		{id: "explain.cpu", role: roleExplanation, what: "processor time if 0.1% of statements are refused", unit: "core", how: "statements x 0.1% x explain.cpu", limit: &limitCPU,
			value: func(c *calc) float64 {
				return cores(c.figure("statements.per_vm") * refusedShare * c.slope("explain.cpu"))
			}},
		{id: "explain.kept", role: roleExplanation, what: "time that they cover then", unit: "s", how: "4,096 / (statements x 0.1%)",
			value: func(c *calc) float64 { return explanationsKept / (c.figure("statements.per_vm") * refusedShare) }},
	}
}

// sum returns a spec that adds figures.
func sum(id, what, unit string, l *limit, planned bool, factor float64, ids ...string) spec {
	how := ""
	for i, part := range ids {
		if i > 0 {
			how += " + "
		}
		how += part
	}
	if factor != 1 {
		how = "2 x (" + how + " + daemon.memory)"
	}
	return spec{id: id, role: roleTotal, what: what, how: how, unit: unit, limit: l, planned: planned, remedy: sumRemedy(id),
		value: func(c *calc) float64 {
			total := 0.0
			if factor != 1 {
				total = c.slope("daemon.memory")
			}
			for _, part := range ids {
				total += c.figure(part)
			}
			return factor * total
		}}
}

func sumRemedy(id string) string {
	switch id {
	case "total.planned_cpu":
		return "fewer timers where nothing waits; loans planned only when they are due (docs/notes/scale.md)"
	case "total.planned_memory":
		return "a VM keeps only the text and keys of services that it serves, next row"
	case "total.planned_copies":
		return "a list of VMs that is passed on when it changes, row before"
	case "total.planned_most":
		return "VMs that may hold watches carry no groups"
	default:
		return "see the rows that it adds"
	}
}

func totalSpecs() []spec {
	return []spec{
		{id: "total.idle", role: roleTotal, what: "processor time of a daemon with one group, without callers", unit: "core", how: "daemon.idle", limit: &limitCPU,
			value: func(c *calc) float64 { return cores(c.slope("daemon.idle")) }},
		sum("total.cpu", "control processor time of a daemon today", "core", &limitCPU, false, 1,
			"total.idle", "status.cpu", "status.idle", "status.live", "sync.cpu", "text.cpu", "keys.sweep", "apply.cpu", "shares.idle", "shares.set", "shares.busy", "shares.cpu", "explain.cpu"),
		sum("total.memory", "control memory of a daemon today with room for garbage", "B", &limitMemory, false, garbageFactor,
			"status.memory", "members.memory", "text.memory", "keys.memory", "catalog.memory", "shares.memory", "shares.peers", "audit.memory", "explain.memory"),
		sum("total.bytes", "control bytes of a daemon today", "B/s", &limitBytes, false, 1,
			"status.bytes", "fleet.bytes", "text.bytes", "shares.bytes"),
		sum("total.planned_cpu", "control processor time with carrier sets, one object per service and a list of VMs that is passed on when it changes", "core", &limitCPU, true, 1,
			"total.idle", "carrier.probe_cpu", "carrier.list", "sync.cpu", "text.cpu_service", "carrier.loans", "explain.cpu"),
		sum("total.planned_copies", "control processor time with carrier sets and one object per service, VM lists copied as today", "core", &limitCPU, true, 1,
			"total.idle", "carrier.probe_cpu", "carrier.live", "sync.cpu", "text.cpu_service", "carrier.loans", "explain.cpu"),
		sum("total.planned_memory", "control memory with carrier sets and one object per service, whole texts and keys still held", "B", &limitMemory, true, garbageFactor,
			"carrier.memory", "members.memory", "text.memory", "keys.memory", "catalog.memory", "audit.memory", "explain.memory"),
		sum("total.planned_slim", "control memory with carrier sets, without the texts and keys of services that the VM does not carry", "B", &limitMemory, true, garbageFactor,
			"carrier.memory", "members.memory", "catalog.memory", "audit.memory", "explain.memory"),
		sum("total.planned_bytes", "control bytes of a carrier with one object per service", "B/s", &limitBytes, true, 1,
			"carrier.bytes", "carrier.loan_bytes_low", "fleet.bytes"),
		sum("total.planned_most", "control bytes of the most loaded VM, a watch holder, if it also carried groups", "B/s", &limitBytes, true, 1,
			"carrier.bytes", "carrier.loan_bytes_low", "fleet.bytes_most"),
	}
}
