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
	// primaryInterval and replicaInterval are the times between two status queries of a server; each takes
	// a slot and is priced. The loss of a primary has to be noticed sooner.
	primaryInterval = 300 * time.Millisecond
	replicaInterval = 700 * time.Millisecond
	// urgentInterval is used while a server does not answer, or while the primary is being replaced.
	urgentInterval = 100 * time.Millisecond
	// probeTimeout bounds a status query. It waits behind the statements in the server's own queue.
	probeTimeout = 500 * time.Millisecond
	// probeName is the name under which status queries connect.
	probeName = "siskinrouter"
	// watchInterval is the time between two looks at the group.
	watchInterval = 50 * time.Millisecond
)

// ApplyView takes the configuration and the servers of the service.
func (b *Broker) ApplyView(v *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || v.Configuration == nil {
		return
	}
	service := v.Configuration.Services[b.Service]
	for _, id := range v.ServersOf(b.Service) {
		b.updateServer(v, service, id, v.Servers[id])
	}
	for id, s := range b.servers {
		if _, ok := v.Servers[id]; !ok {
			b.Log.Info("server gone", "service", b.Service, "server", id)
			b.removeServer(s)
		}
	}
	b.txIdle = v.Configuration.TxIdleTimeout
	for name, w := range v.Configuration.Workspaces {
		b.weights[name] = int(w.Rate)
	}
}

// updateServer adds a server or changes what is known of it. The mutex is held.
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
		known.heardAt = b.Clock()
		b.servers[id] = known
		b.background.Add(1)
		go b.probe(known, d)
	}
	usable := v.Usable(id)
	if known.usable != usable {
		b.Log.Info("server usable", "service", b.Service, "server", id, "usable", usable, "draining", d.Draining,
			"withdrawn", v.Withdrawn[d.Domain], "revision", v.Revisions[directory.Servers])
	}
	leaves := known.usable && !usable
	known.usable = usable
	known.warm(d.WarmingUp, service.WarmupRate)
	known.slots = d.Slots
	known.pool.room.limit = max(service.MaxConnections-reservedConns, 1)
	known.queue.SetSlots(d.Slots)
	if leaves {
		b.move(known)
	}
}

// warm limits the statements for a server that is slow after its start.
func (s *server) warm(cold bool, perSecond float64) {
	if !cold || perSecond <= 0 {
		s.warmup = nil
		return
	}
	if s.warmup == nil {
		s.warmup = rate.NewLimiter(rate.Limit(perSecond), 1)
	}
	s.warmup.SetLimit(rate.Limit(perSecond))
}

// removeServer forgets a server. Statements that wait there are placed anew. The mutex is held.
func (b *Broker) removeServer(s *server) {
	close(s.stop)
	delete(b.servers, s.ID)
	idle := s.pool.drain()
	go closeAll(idle)
	b.move(s)
}

// move places the statements anew that wait for a slot of a server. The mutex is held.
func (b *Broker) move(s *server) {
	var moved []*work
	for id, w := range b.works {
		if w.server == s && w.tx == nil && s.queue.Cancel(id) {
			moved = append(moved, w)
		}
	}
	now := b.Clock()
	for _, w := range moved {
		start, replies := b.place(now, w)
		go b.after(start, replies)
	}
}

// probe asks a server for its status until it is removed.
func (b *Broker) probe(s *server, d directory.Server) {
	defer b.background.Done()
	var c Conn
	for {
		c = b.probeOnce(s, d, c)
		select {
		case <-s.stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(b.probePause(s)):
		}
	}
}

// probePause returns the time until the next status query of a server.
func (b *Broker) probePause(s *server) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.reachable || s.suspect || b.changing || b.primary == "" {
		return urgentInterval
	}
	if s.ID == b.primary {
		return primaryInterval
	}
	return replicaInterval
}

// probeOnce asks a server for its status over c, or over a new connection, and returns the connection.
func (b *Broker) probeOnce(s *server, d directory.Server, c Conn) Conn {
	sent := b.Clock()
	a, c, err := b.control(d, c, statement.Command{Kind: statement.Status})
	var st Status
	if err == nil && a.Code == statement.OK {
		st, err = b.Dialer.ParseStatus(a)
	}
	now := b.Clock()
	b.mu.Lock()
	if err != nil {
		defer b.mu.Unlock()
		if s.reachable {
			b.Log.Warn("server does not answer", "service", b.Service, "server", d.ID, "error", err,
				"last_answer", now-s.heardAt)
		}
		s.reachable = false
		b.distrust(s)
		return c
	}
	if !s.reachable {
		b.Log.Info("server answers", "service", b.Service, "server", d.ID, "primary", st.Primary, "term", st.Term,
			"received", st.Received, "lag", st.Lag)
	}
	s.reachable = true
	if a.Code == statement.OK {
		applied := s.status.Applied
		s.status = st
		s.polledAt = sent
		s.heard = true
		if applied.Compare(st.Applied) > 0 && applied.Term == st.Applied.Term {
			s.status.Applied = applied
		}
		b.observe(s, sent, a.Position)
	}
	start, replies := b.heard(now, s)
	b.mu.Unlock()
	b.after(start, replies)
	return c
}

// control runs a command over c, or over a new connection, and returns the connection if it can be
// used further.
func (b *Broker) control(d directory.Server, c Conn, command statement.Command) (statement.Response, Conn, error) {
	if c == nil {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		var err error
		if c, err = b.Dialer.Dial(ctx, d, probeName); err != nil {
			return statement.Response{}, nil, err
		}
	}
	answers, err := c.Do([]statement.Command{command}, time.Now().Add(probeTimeout))
	if err != nil {
		_ = c.Close()
		return statement.Response{}, nil, err
	}
	return answers[0], c, nil
}

// group describes the group for a decision on its primary. The mutex is held.
func (b *Broker) group(now time.Duration) placement.Group {
	g := placement.Group{Primary: b.primary, Recorded: b.recorded, Since: b.since, ChangedAt: b.changedAt}
	for _, s := range b.servers {
		g.Servers = append(g.Servers, placement.Candidate{
			ID: s.ID, Usable: s.usable, Heard: s.heard, Reachable: s.reachable, SilentFor: now - s.heardAt,
			Primary: s.status.Primary, Term: s.status.Term, Received: s.status.Received,
		})
	}
	return g
}

// primaryLost makes the role of a server be found out again, because it refused a write.
func (b *Broker) primaryLost(s *server) {
	if s.ID == b.primary && !b.changing {
		b.Log.Warn("primary refuses writes", "service", b.Service, "server", s.ID)
		s.status.Primary = false
	}
}
