package broker

import (
	"maps"
	"time"

	"siskinrouter/internal/placement"
)

// busyShare is the share of a statement's latency objective, 1/2, within which a replica has to be expected to answer;
// otherwise the owner serves the statement, which knows all servers of the group.
const busyShare = 2

const (
	// ownerReport is the key of the owner's report at a reader of replicas.
	ownerReport = "owner"
	// reportLogInterval is the least time between two log lines about choices that reports have changed.
	reportLogInterval = 10 * time.Second
)

// declines returns why a reader of replicas leaves a read to the owner, or an empty string if a replica is expected to
// serve it in time. The mutex must be held.
func (b *Broker) declines(now time.Duration, e *execution) string {
	if !e.req.ReplicaCanServe() {
		return "only the owner may serve it"
	}
	choice, ok := b.choose(now, e, e.req.LatencyObjective/busyShare)
	if !ok {
		return "no replica serves it in time"
	}
	s := b.servers[choice.Server]
	if !s.pool.available(now, e.req.Workspace) {
		return "no connection is free"
	}
	if b.leftReads.Leave(now, b.candidate(now, s, e.req.Workspace)) {
		b.Metrics.LeftByReport.Inc(1)
		b.recordChoiceByReport(now, "the owner")
		return "the replica has no free slot and another server has"
	}
	return ""
}

// recordChoiceByReport counts a choice that the reports of other VMs have changed. The log gets the first one and a
// summary at intervals. The mutex must be held.
func (b *Broker) recordChoiceByReport(now time.Duration, chosen string) {
	b.Metrics.ChosenByReport.Inc(1)
	b.byReport++
	if b.reportLoggedAt > 0 && now-b.reportLoggedAt < reportLogInterval {
		return
	}
	b.Log.Info("reads placed by reported load", "service", b.Service, "domain", b.Domain, "count", b.byReport, "last", chosen)
	b.byReport, b.reportLoggedAt = 0, now
}

// outstanding returns the statements of this VM that are running at a server or wait for it. The mutex must be held.
func (s *server) outstanding() int {
	waiting, _ := s.queue.Len()
	return s.running + waiting
}

// Outstanding returns the statements of this VM that are running or waiting, by server. Servers without any are left
// out, so that an idle VM reports nothing.
func (b *Broker) Outstanding() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all map[string]int
	for id, s := range b.servers {
		if n := s.outstanding(); n > 0 {
			if all == nil {
				all = map[string]int{}
			}
			all[id] = n
		}
	}
	return all
}

// ObserveOutstanding records the statements that another VM has at the servers.
func (b *Broker) ObserveOutstanding(vm string, statements map[string]int) {
	now := b.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		s.observeReport(now, vm, placement.LoadReport{At: now, N: statements[id]})
	}
}

// observeReport replaces the report of a VM and removes those that have lost their weight. The mutex must be held.
func (s *server) observeReport(now time.Duration, vm string, r placement.LoadReport) {
	maps.DeleteFunc(s.reports, func(from string, old placement.LoadReport) bool { return from == vm || old.Expired(now) })
	if r.N <= 0 {
		return
	}
	if s.reports == nil {
		s.reports = map[string]placement.LoadReport{}
	}
	s.reports[vm] = r
}

// reportTo returns the statements of all VMs at a server but those of the VM that is told. Busy slots of the status are
// left out, as they contain the statements of that VM. The mutex must be held.
func (s *server) reportTo(now time.Duration, vm string) int {
	others := placement.OtherLoad(now, func(yield func(placement.LoadReport) bool) {
		for from, r := range s.reports {
			if from != vm && !yield(r) {
				return
			}
		}
	}, placement.LoadReport{})
	return s.outstanding() + int(others+0.5)
}

// freeElsewhere returns the free slots of the servers outside a failure domain that can serve reads. A server that is
// warming up has none: its rate is limited. A read that crosses regions gains nothing, so servers and owners in another
// region have none either. The mutex must be held.
func (b *Broker) freeElsewhere(now time.Duration, domain string) int {
	var servers []placement.Server
	for _, s := range b.servers {
		if s.Domain != domain && s.reachable && s.warmup == nil && !b.Regions.Differ(s.Domain, domain) &&
			!b.Regions.Differ(b.Domain, domain) {
			servers = append(servers, b.candidate(now, s, ""))
		}
	}
	return placement.FreeSlots(now, servers, &b.history)
}

// PositionReport returns what a VM that serves the replicas of a failure domain has to know. It is known only while
// this VM is the owner, because a successor may have promoted another primary.
func (b *Broker) PositionReport(domain, vm string) PositionReport {
	now := b.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	at, position, ok := b.history.Latest()
	if !ok || b.closed || b.changingPrimary || b.primary == "" || !b.Lease.Valid(b.Service) {
		return PositionReport{}
	}
	report := PositionReport{Position: position, Age: now - at, Replicas: map[string]ReplicaStatus{}, Known: true,
		FreeElsewhere: b.freeElsewhere(now, domain)}
	for id, s := range b.servers {
		if s.Domain == domain && s.statusKnown {
			report.Replicas[id] = ReplicaStatus{s.status.Applied, s.status.Lag, s.reportTo(now, vm)}
		}
	}
	return report
}

// ObservePositionReport records a report of the owner that was requested at the given time.
func (b *Broker) ObservePositionReport(requested time.Duration, report PositionReport) {
	if !report.Known {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// The owner received the request after it was sent, so the position is at most this old.
	b.history.Observe(requested-report.Age, report.Position)
	b.leftReads.Observe(placement.LoadReport{At: requested, N: report.FreeElsewhere})
	for id, replica := range report.Replicas {
		s := b.servers[id]
		if s == nil {
			continue
		}
		s.status.Lag = replica.Lag
		s.observeReport(requested, ownerReport, placement.LoadReport{At: requested, N: replica.Outstanding})
		if replica.Applied.Compare(s.status.Applied) > 0 {
			s.status.Applied = replica.Applied
		}
	}
}
