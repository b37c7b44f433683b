package broker

import "time"

// busyShare is the share of a statement's latency objective, 1/2, within which a replica has to be expected to answer;
// otherwise the owner serves the statement, which knows all servers of the group.
const busyShare = 2

// servesNow reports whether a replica is expected to serve a read in time. The mutex must be held.
func (b *Broker) servesNow(now time.Duration, e *execution) bool {
	if !e.req.ReplicaCanServe() {
		return false
	}
	choice, ok := b.choose(now, e, e.req.LatencyObjective/busyShare)
	return ok && b.servers[choice.Server].pool.available(now, e.req.Workspace)
}

// PositionReport returns what a VM that serves the replicas of a failure domain has to know. It is known only while
// this VM is the owner, because a successor may have promoted another primary.
func (b *Broker) PositionReport(domain string) PositionReport {
	now := b.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	at, position, ok := b.history.Latest()
	if !ok || b.closed || b.changingPrimary || b.primary == "" || !b.Lease.Valid(b.Service) {
		return PositionReport{}
	}
	report := PositionReport{Position: position, Age: now - at, Replicas: map[string]ReplicaStatus{}, Known: true}
	for id, s := range b.servers {
		if s.Domain == domain && s.statusKnown {
			report.Replicas[id] = ReplicaStatus{s.status.Applied, s.status.Lag}
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
	for id, replica := range report.Replicas {
		s := b.servers[id]
		if s == nil {
			continue
		}
		s.status.Lag = replica.Lag
		if replica.Applied.Compare(s.status.Applied) > 0 {
			s.status.Applied = replica.Applied
		}
	}
}
