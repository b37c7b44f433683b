package placement

import (
	"iter"
	"time"

	"siskinrouter/internal/directory"
)

const (
	// reportLifetime is the age at which a report of other VMs' statements has lost its weight. It spans four exchanges
	// of reports, so one lost message does not hide a load, and a VM that has failed is soon forgotten.
	reportLifetime = time.Second
	// primaryReserve is the share of the primary's slots, 1/3, that reads leave free while a replica can serve them: only
	// the primary runs writes, transactions and reads of the latest state.
	primaryReserve = 3
	// statusSlots is the number of slots that a status query takes itself.
	statusSlots = 1
	// idleStaleness is the staleness that a replica may have to count as able to take reads; the largest maximum
	// staleness of a route is a few seconds.
	idleStaleness = time.Second
)

// LoadReport is a number of statements, or of free slots, at a time in the past.
type LoadReport struct {
	At time.Duration
	N  int
}

// Weighted returns the number of the report, which falls linearly to zero with its age.
func (r LoadReport) Weighted(now time.Duration) float64 {
	age := max(now-r.At, 0)
	return float64(r.N) * float64(max(reportLifetime-age, 0)) / float64(reportLifetime)
}

// Expired reports whether the report has lost its weight.
func (r LoadReport) Expired(now time.Duration) bool { return now-r.At >= reportLifetime }

// OtherLoad estimates the statements that other VMs have at a server, from the reports of these VMs and from the slots
// that the server itself reported. Both count the same statements, so they are not added.
func OtherLoad(now time.Duration, reports iter.Seq[LoadReport], status LoadReport) float64 {
	sum := 0.0
	for r := range reports {
		sum += r.Weighted(now)
	}
	return max(sum, status.Weighted(now))
}

// OthersInStatus returns the statements of other VMs among the busy slots of a status response. own is the number of
// this VM's statements that the server may have been running when it answered.
func OthersInStatus(busy, own int) int { return max(busy-own-statusSlots, 0) }

// load returns the statements that a further one competes with at a server. For a read that a replica can serve, the
// primary's reserve counts as taken.
func load(s Server, replicas, others bool) float64 {
	n := float64(s.Load)
	if others {
		n += s.Others
	}
	if replicas && s.Primary {
		n += float64(s.Slots / primaryReserve)
	}
	return n
}

// FreeSlots returns the free slots of the servers that can serve reads now.
func FreeSlots(now time.Duration, servers []Server, h *History) int {
	position, at, replicas := minPosition(now, h, Requirements{
		Consistency: directory.BoundedStaleness, MaxStaleness: idleStaleness,
	})
	free := 0
	for _, s := range servers {
		if canServe(now, s, position, at, replicas) {
			free += max(int(float64(s.Slots)-load(s, true, true)), 0)
		}
	}
	return free
}

// LeftReads counts the reads that a reader of replicas leaves to the owner because another server has free slots.
type LeftReads struct {
	elsewhere LoadReport // free slots of other servers, as the owner reported
	running   float64    // estimate of the reads left since the report that still run
	at        time.Duration
}

// Observe records the free slots of other servers that the owner reported. They contain the effect of earlier reads.
func (l *LeftReads) Observe(elsewhere LoadReport) {
	*l = LeftReads{elsewhere: elsewhere, at: elsewhere.At}
}

// Leave reports whether a read should be left to the owner, and counts it: the replica has no free slot, and another
// server has one that no read left before still uses.
func (l *LeftReads) Leave(now time.Duration, replica Server) bool {
	free := l.elsewhere.Weighted(now)
	if replica.Service > 0 {
		l.running = max(l.running-free*float64(now-l.at)/float64(replica.Service), 0)
	}
	l.at = now
	if load(replica, true, true) < float64(replica.Slots) || l.running+1 > free {
		return false
	}
	l.running++
	return true
}
