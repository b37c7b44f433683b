package entryvm

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/sleep"
)

const (
	// positionInterval is the time between two queries of the primary's position. The maximum staleness of a route is a
	// second or more, so several positions are within it.
	positionInterval = 250 * time.Millisecond
	// positionTimeout bounds a position query; a round trip takes a few milliseconds.
	positionTimeout = 200 * time.Millisecond
	// readerIdleTime is the time without a read after which positions are no longer queried, and readerCloseTime the time
	// after which the connections are closed as well.
	readerIdleTime  = 2 * time.Second
	readerCloseTime = 10 * time.Second
	// maxServersAge is the age of the known servers and withdrawals up to which replicas are used. The owners relist within
	// that time, and a withdrawal has to take effect within five seconds.
	maxServersAge = 3500 * time.Millisecond
)

// replicaReaders serves reads at the replicas of this VM's failure domain for the services that are owned by VMs of other
// domains. It needs no lease: a read names the position that the replica must have applied, and what a reader cannot
// serve is left to the owner.
type replicaReaders struct {
	d         *Daemon
	mu        sync.Mutex
	byService map[string]*replicaReader
	draining  []*broker.Broker
}

type replicaReader struct {
	*broker.Broker
	usedAt time.Duration
}

func newReplicaReaders(d *Daemon) *replicaReaders {
	return &replicaReaders{d: d, byService: map[string]*replicaReader{}}
}

// noLease is the lease of a broker that does not need one.
type noLease struct{}

func (noLease) Valid(string) bool { return true }

func (noLease) Promote(context.Context, string, broker.RecordedPrimary) error {
	return errors.New("a reader of replicas does not promote servers")
}

func (noLease) RecordPrimary(context.Context, string, broker.RecordedPrimary) error {
	return errors.New("a reader of replicas does not record primaries")
}

// broker returns the broker that serves a service at the replicas, or nil if this VM cannot serve there now.
func (r *replicaReaders) broker(service string) *broker.Broker {
	v := r.d.directory.View()
	if r.d.leaving.Load() || !hasReplica(v, service, r.d.self.Domain) || ownedIn(v, service, r.d.self.Domain) || !r.viewIsRecent() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reader := r.byService[service]
	if reader == nil {
		config := r.d.brokerConfig(service)
		config.ReplicasOnly = true
		config.Lease = noLease{}
		config.ReaderRank = func(v *directory.View) int { return readerRank(v, service, r.d.self) }
		// Positions must not seem more recent than they are after this VM was suspended.
		config.Clock = r.d.bootClock
		reader = &replicaReader{Broker: broker.New(config, broker.RecordedPrimary{})}
		reader.ApplyView(v)
		r.byService[service] = reader
		r.d.log.Info("serving reads at replicas", "service", service, "domain", r.d.self.Domain)
	}
	reader.usedAt = r.d.clock()
	return reader.Broker
}

// viewIsRecent reports whether this VM would know of servers that are draining or withdrawn.
func (r *replicaReaders) viewIsRecent() bool {
	now := r.d.clock()
	return now-r.d.confirmedAt(directory.Servers) < maxServersAge && now-r.d.confirmedAt(directory.Withdrawals) < maxServersAge
}

// brokers returns all brokers, including closed ones with open transactions.
func (r *replicaReaders) brokers() []*broker.Broker {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Clone(r.draining)
	for _, reader := range r.byService {
		all = append(all, reader.Broker)
	}
	return all
}

// applyView closes the brokers of services that a VM of this domain has come to own, and updates the others.
func (r *replicaReaders) applyView(v *directory.View, serving bool) {
	r.mu.Lock()
	var current []*broker.Broker
	closed := r.remove(func(service string, _ *replicaReader) bool { return ownedIn(v, service, r.d.self.Domain) })
	if serving {
		for _, reader := range r.byService {
			current = append(current, reader.Broker)
		}
	}
	r.mu.Unlock()
	closeBrokers(closed)
	for _, b := range current {
		b.ApplyView(v)
	}
}

// remove removes the readers for which cond holds. The mutex must be held; the caller closes the brokers.
func (r *replicaReaders) remove(cond func(service string, reader *replicaReader) bool) (closed []*broker.Broker) {
	for service, reader := range r.byService {
		if cond(service, reader) {
			closed = append(closed, reader.Broker)
			delete(r.byService, service)
		}
	}
	r.draining = append(r.draining, closed...)
	return closed
}

func closeBrokers(list []*broker.Broker) {
	for _, b := range list {
		b.Close()
	}
}

// run queries the owners for the positions of their primaries, and closes readers that are not used.
func (r *replicaReaders) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep.For(ctx, positionInterval)
		now := r.d.clock()
		r.mu.Lock()
		closed := r.remove(func(_ string, reader *replicaReader) bool { return now-reader.usedAt > readerCloseTime })
		r.draining = slices.DeleteFunc(r.draining, func(b *broker.Broker) bool { return b.ActiveStreams() == 0 })
		for service, reader := range r.byService {
			if now-reader.usedAt < readerIdleTime {
				go r.queryPosition(service, reader.Broker)
			}
		}
		r.mu.Unlock()
		closeBrokers(closed)
	}
	return nil
}

// queryPosition asks the owner of a service for the position of its primary.
func (r *replicaReaders) queryPosition(service string, b *broker.Broker) {
	v := r.d.directory.View()
	l := r.d.peers.LinkOrDial(v.VMs[v.OwnerRecords[service].Holder.Name].Address)
	if l == nil {
		return
	}
	requested := r.d.bootClock()
	m, err := l.Call(peer.Message{PositionQuery: &peer.PositionQuery{
		Service: service, Domain: r.d.self.Domain, Outstanding: b.Outstanding(),
	}}, positionTimeout)
	if err != nil || m.PositionReport == nil {
		r.d.log.Debug("position not received", "service", service, "owner", l.Remote().Name, "error", err)
		return
	}
	b.ObservePositionReport(requested, *m.PositionReport)
}

// positionReport records the load that a reader of replicas reports, and returns the position of the primary of a service
// that this VM owns.
func (o *ownership) positionReport(reader string, q peer.PositionQuery) broker.PositionReport {
	b := o.broker(q.Service)
	if b == nil {
		return broker.PositionReport{}
	}
	b.ObserveOutstanding(reader, q.Outstanding)
	return b.PositionReport(q.Domain, reader)
}
