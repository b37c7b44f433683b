package broker

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"siskinrouter/internal/admission"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/placement"
	"siskinrouter/internal/statement"
)

const (
	// primaryStatusInterval and replicaStatusInterval are the times between two status queries of a server; each
	// takes a slot and is billed. The failure of a primary has to be detected sooner.
	primaryStatusInterval = 300 * time.Millisecond
	replicaStatusInterval = 700 * time.Millisecond
	// urgentStatusInterval is used while a server does not respond, or while the primary is being replaced.
	urgentStatusInterval = 100 * time.Millisecond
	// statusTimeout bounds a status query, which waits behind the statements in the server's own queue.
	statusTimeout = 500 * time.Millisecond
	// discoveryDialTimeout bounds the opening of a connection while the primary is not known, so that two attempts fit
	// into the time after which an unreachable primary is replaced.
	discoveryDialTimeout = 200 * time.Millisecond
	// statusWorkspace is the workspace name of connections for status queries.
	statusWorkspace = "siskinrouter"
	// checkInterval is the time between two checks of the group.
	checkInterval = 50 * time.Millisecond
)

// ApplyView applies the configuration and the servers of the service from a directory view.
func (b *Broker) ApplyView(v *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || v.Configuration == nil {
		return
	}
	service := v.Configuration.Services[b.Service]
	for _, id := range v.ServersOf(b.Service) {
		if !b.ReplicasOnly || v.Servers[id].Domain == b.Domain {
			b.updateServer(v, service, id, v.Servers[id])
		}
	}
	b.readerRank = 0
	if b.ReaderRank != nil {
		b.readerRank = b.ReaderRank(v)
	}
	b.durable.syncReplicas, b.durable.departed = service.SyncReplicas, v.Departed[b.Service]
	b.setConnLimits()
	for id, s := range b.servers {
		if _, ok := v.Servers[id]; !ok {
			b.Log.Info("server removed", "service", b.Service, "server", id)
			b.removeServer(s)
		}
	}
	b.txIdle = v.Configuration.TxIdleTimeout
	for name, w := range v.Configuration.Workspaces {
		b.weights[name] = int(w.Rate)
	}
}

// updateServer adds a server or updates its state. The mutex must be held.
func (b *Broker) updateServer(v *directory.View, service directory.Service, id string, d directory.Server) {
	known := b.servers[id]
	if known != nil && (known.StartTime != d.StartTime || known.Address != d.Address) {
		b.Log.Info("server restarted", "service", b.Service, "server", id, "address", d.Address)
		b.removeServer(known)
		known = nil
	}
	if known == nil {
		known = &server{
			Server: d, stop: make(chan struct{}), queue: admission.New(d.Slots), pool: pool{idle: map[string][]*conn{}},
		}
		known.respondedAt = b.Clock()
		b.servers[id] = known
		b.background.Add(1)
		go b.pollStatus(known, d)
	}
	usable := v.Usable(id)
	if b.ReplicasOnly {
		// The owner alone uses the primary, and limits what a server gets while it is warming up.
		usable = usable && !d.Primary && !d.WarmingUp
	}
	if known.usable != usable {
		b.Log.Info("server usability changed", "service", b.Service, "server", id, "usable", usable, "draining", d.Draining,
			"withdrawn", v.Withdrawn[d.Domain], "revision", v.Revisions[directory.Servers])
	}
	leaves := known.usable && !usable
	known.usable = usable
	known.setWarmup(d.WarmingUp, service.WarmupRate)
	known.slots = d.Slots
	known.maxConns = usableConns(service.MaxConnections)
	known.pool.scarce = service.MaxConnections < minConnsPerSlot*d.Slots
	known.shared = d.Domain != b.Domain && len(v.VMsIn(d.Domain)) > 0
	known.queue.SetSlots(d.Slots)
	if leaves {
		b.reroute(known)
	}
	if leaves && b.ReplicasOnly {
		go closeAll(known.pool.drain(b.Clock()))
	}
}

// setConnLimits divides the connections to the replicas between the owner and the VMs that read there. The mutex must
// be held.
func (b *Broker) setConnLimits() {
	now := b.Clock()
	for _, s := range b.servers {
		share, atFirst := b.roleAt(s).share(s.maxConns)
		hold := b.shareHold(now, s)
		if s.pool.scarce {
			share = b.roleAt(s).fullShare(s.maxConns)
			atFirst, hold = share, 0
		}
		s.pool.limit.setShare(now, share, atFirst, hold)
		if excess := s.pool.shrink(now); len(excess) > 0 {
			b.Log.Info("connections closed", "service", b.Service, "server", s.ID, "connections", len(excess), "share", share,
				"reason", "the share of this VM has become smaller")
			go closeAll(excess)
		}
	}
}

// roleAt returns the role of this VM at a server. The mutex must be held.
func (b *Broker) roleAt(s *server) role {
	switch {
	case b.ReplicasOnly && !s.usable:
		return noReader
	case b.ReplicasOnly && b.readerRank == 0:
		return firstReader
	case b.ReplicasOnly && b.readerRank == 1:
		return secondReader
	case b.ReplicasOnly:
		return noReader
	case s.shared && s.ID != b.primary && (b.primary != "" || !s.Primary):
		return sharingOwner
	}
	return soleOwner
}

// shareHold returns for how long a larger share at a server does not take effect, because the VMs that had it are still
// counted. The mutex must be held.
func (b *Broker) shareHold(now time.Duration, s *server) time.Duration {
	switch {
	case b.ReplicasOnly || b.TakenOver || s.pool.limit.configured > 0:
		return goneTime
	case b.HandedOver:
		return handedOverTime
	}
	return 0
}

// setWarmup limits the statements sent to a server while it is warming up.
func (s *server) setWarmup(warmingUp bool, perSecond float64) {
	if !warmingUp || perSecond <= 0 {
		s.warmup = nil
		return
	}
	if s.warmup == nil {
		s.warmup = rate.NewLimiter(rate.Limit(perSecond), 1)
	}
	s.warmup.SetLimit(rate.Limit(perSecond))
}

// removeServer removes a server and reroutes the statements that wait for it. The mutex must be held.
func (b *Broker) removeServer(s *server) {
	close(s.stop)
	delete(b.servers, s.ID)
	idle := s.pool.drain(b.Clock())
	go closeAll(idle)
	b.reroute(s)
}

// reroute routes the statements that wait for a slot of a server again. The mutex must be held.
func (b *Broker) reroute(s *server) {
	var rerouted []*execution
	for id, e := range b.executions {
		if e.server == s && e.tx == nil && s.queue.Cancel(id) {
			rerouted = append(rerouted, e)
		}
	}
	now := b.Clock()
	for _, e := range rerouted {
		start, replies := b.route(now, e)
		go b.startAndReply(start, replies)
	}
}

// pollStatus queries the status of a server until it is removed.
func (b *Broker) pollStatus(s *server, d directory.Server) {
	defer b.background.Done()
	var c Conn
	for {
		if b.needsStatus(s) {
			c = b.queryStatus(s, d, c)
		}
		select {
		case <-s.stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(b.statusInterval(s)):
		}
	}
}

// needsStatus reports whether a server has to be queried. A broker of replicas learns their state from the statements
// and from the owner, so it only queries servers that have not responded.
func (b *Broker) needsStatus(s *server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.ReplicasOnly || !s.reachable || s.suspect
}

// statusInterval returns the time until the next status query of a server.
func (b *Broker) statusInterval(s *server) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.reachable || s.suspect || !b.ReplicasOnly && (b.changingPrimary || b.primary == "") {
		return urgentStatusInterval
	}
	if s.ID == b.primary {
		return primaryStatusInterval
	}
	if p := b.servers[b.primary]; p != nil && p.suspect && b.durable.syncReplicas > 0 {
		return urgentStatusInterval // the choice of a successor depends on recent positions
	}
	return replicaStatusInterval
}

// queryStatus queries the status of a server over c, or over a new connection, and returns the connection.
func (b *Broker) queryStatus(s *server, d directory.Server, c Conn) Conn {
	sent := b.Clock()
	b.mu.Lock()
	own := s.running
	b.mu.Unlock()
	response, c, err := b.control(d, c, statement.Command{Kind: statement.Status})
	var st Status
	if err == nil && response.Code == statement.OK {
		st, err = b.Dialer.ParseStatus(response)
	}
	now := b.Clock()
	b.mu.Lock()
	if err != nil {
		defer b.mu.Unlock()
		if s.reachable {
			b.Log.Warn("server does not respond", "service", b.Service, "server", d.ID, "error", err,
				"last_answer", now-s.respondedAt)
		}
		s.reachable = false
		b.markSuspect(s)
		return c
	}
	if !s.reachable {
		b.Log.Info("server responds", "service", b.Service, "server", d.ID, "primary", st.Primary, "term", st.Term,
			"received", st.Received, "lag", st.Lag)
	}
	s.reachable = true
	if response.Code == statement.OK {
		applied := s.status.Applied
		s.status = st
		s.statusAt = sent
		s.statusKnown = true
		s.othersBusy = placement.LoadReport{At: sent, N: placement.OthersInStatus(st.Busy, max(own, s.running))}
		if st.Primary {
			s.ledAt = now
		}
		if st.Primary && s.ID == b.primary {
			b.durable.observePrimary(sent, st.Received)
		}
		if applied.Compare(st.Applied) > 0 && applied.Term == st.Applied.Term {
			s.status.Applied = applied
		}
		b.recordPosition(s, sent, response.Position)
	}
	start, replies := b.recordResponse(now, s)
	b.mu.Unlock()
	b.startAndReply(start, replies)
	return c
}

// control runs a command over c, or over a new connection, and returns the connection if it is still usable.
func (b *Broker) control(d directory.Server, c Conn, command statement.Command) (statement.Response, Conn, error) {
	if c == nil {
		timeout := statusTimeout
		if b.primaryID() == "" {
			timeout = discoveryDialTimeout
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		var err error
		if c, err = b.Dialer.Dial(ctx, d, statusWorkspace); err != nil {
			return statement.Response{}, nil, err
		}
	}
	responses, err := c.Do([]statement.Command{command}, time.Now().Add(statusTimeout))
	if err != nil {
		_ = c.Close()
		return statement.Response{}, nil, err
	}
	return responses[0], c, nil
}

// group describes the group for the choice of its primary. The mutex must be held.
func (b *Broker) group(now time.Duration) placement.Group {
	g := placement.Group{Primary: b.primary, Recorded: b.recorded.Server, RecordedTerm: b.recorded.Term, Since: b.ownerSince,
		ChangedAt: b.primaryChangedAt, TakenOver: b.TakenOver, Unsettled: b.unsettled, UnsettledAt: b.unsettledAt,
		Durability: b.durable.placement()}
	for _, s := range b.servers {
		g.Servers = append(g.Servers, placement.Candidate{
			ID: s.ID, Usable: s.usable, Heard: s.statusKnown, Reachable: s.reachable, SilentFor: now - s.respondedAt,
			Primary: s.status.Primary, Term: s.status.Term, Received: s.status.Received, DemotedFor: now - max(s.ledAt, b.followedAt),
			Settled: b.settled(s),
		})
	}
	return g
}

// markNotPrimary clears the primary role of a server that refused a write; a status query determines it again.
func (b *Broker) markNotPrimary(s *server) {
	if s.ID == b.primary && !b.changingPrimary {
		b.Log.Warn("primary refuses writes", "service", b.Service, "server", s.ID)
		s.status.Primary = false
	}
}
