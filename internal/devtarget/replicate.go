package devtarget

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/promotion"
	"siskinrouter/internal/session"
	"siskinrouter/internal/sleep"
)

const (
	// replicaRetry is the pause before a replica connects to its primary again.
	replicaRetry = 20 * time.Millisecond
	// replicaDialTimeout bounds the connection attempt of a replica.
	replicaDialTimeout = 500 * time.Millisecond
	// entriesPerMessage bounds one replication message.
	entriesPerMessage = 256
	// messagesInFlight bounds the messages that wait for the replication delay.
	messagesInFlight = 1024
)

// hello is the first message of a replica on a replication connection.
type hello struct {
	Term       uint64
	Boundaries []session.Position
}

// follow replicates from the primary whenever the server is a replica.
func (s *Server) follow(ctx context.Context) {
	for {
		err := s.lockWhen(ctx, func() bool {
			return !s.faults.frozen && !s.faults.noPeers && s.member.Status().Role == promotion.Replica
		})
		if err != nil {
			return
		}
		st := s.member.Status()
		h := hello{Term: st.Promised, Boundaries: s.member.TermBoundaries()}
		s.mu.Unlock()
		s.replicateFrom(ctx, st.Primary, h)
		if sleep.For(ctx, replicaRetry) != nil {
			return
		}
	}
}

// replicateFrom receives log entries from the primary until the connection ends or the server
// follows another term.
func (s *Server) replicateFrom(ctx context.Context, address string, h hello) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nc, err := s.dialPrimary(ctx, address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	defer nc.Close()
	if gob.NewEncoder(nc).Encode(h) != nil {
		return
	}
	messages := make(chan delayed, messagesInFlight)
	go func() {
		defer cancel()
		s.watchTerm(ctx, h.Term)
	}()
	go receive(ctx, nc, messages)
	s.acceptAll(ctx, messages)
}

// delayed is a replication message and the time at which it arrived.
type delayed struct {
	append  promotion.Append[Commit]
	arrived time.Time
}

// receive reads replication messages until the connection ends.
func receive(ctx context.Context, nc net.Conn, messages chan<- delayed) {
	defer close(messages)
	decoder := gob.NewDecoder(nc)
	for {
		var m delayed
		if decoder.Decode(&m.append) != nil {
			return
		}
		m.arrived = time.Now()
		select {
		case messages <- m:
		case <-ctx.Done():
			return
		}
	}
}

// acceptAll adds messages to the log after the replication delay.
func (s *Server) acceptAll(ctx context.Context, messages <-chan delayed) {
	for m := range messages {
		s.mu.Lock()
		delay := s.faults.replication
		s.mu.Unlock()
		if sleep.For(ctx, time.Until(m.arrived.Add(delay))) != nil {
			return
		}
		if s.lockWhen(ctx, func() bool { return !s.faults.frozen && !s.faults.noPeers }) != nil {
			return
		}
		err := s.accepted(m.append)
		s.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// watchTerm returns when the server no longer follows term or is isolated from its peers.
func (s *Server) watchTerm(ctx context.Context, term uint64) {
	err := s.lockWhen(ctx, func() bool {
		st := s.member.Status()
		return s.faults.noPeers || st.Role != promotion.Replica || st.Promised != term
	})
	if err == nil {
		s.mu.Unlock()
	}
}

// dialPrimary logs in to the primary as a replica.
func (s *Server) dialPrimary(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: replicaDialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	nc.SetDeadline(time.Now().Add(replicaDialTimeout))
	if err := s.login(nc); err != nil {
		nc.Close()
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	return nc, nil
}

// login performs the client side of the PostgreSQL login.
func (s *Server) login(nc net.Conn) error {
	frontend := pgproto3.NewFrontend(nc, nc)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": s.cfg.User, replicationParameter: s.cfg.Name},
	})
	if err := frontend.Flush(); err != nil {
		return err
	}
	for {
		msg, err := frontend.Receive()
		if err != nil {
			return err
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			frontend.Send(&pgproto3.PasswordMessage{Password: s.cfg.Password})
			if err := frontend.Flush(); err != nil {
				return err
			}
		case *pgproto3.ErrorResponse:
			return fmt.Errorf("primary refused the replica: %s", m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// serveReplica sends the log to a replica for as long as the server is the primary of the
// replica's term and not isolated from its peers.
func (s *Server) serveReplica(ctx context.Context, nc net.Conn) {
	var h hello
	if gob.NewDecoder(nc).Decode(&h) != nil {
		return
	}
	s.mu.Lock()
	prev := s.member.LastCommonPosition(h.Boundaries)
	s.mu.Unlock()
	encoder := gob.NewEncoder(nc)
	for {
		var next promotion.Append[Commit]
		leading := true
		err := s.lockWhen(ctx, func() bool {
			if s.faults.frozen {
				return false
			}
			next, leading = s.member.EntriesAfter(h.Term, prev, entriesPerMessage)
			return !leading || s.faults.noPeers || len(next.Entries) > 0
		})
		if err != nil {
			return
		}
		stop := !leading || s.faults.noPeers
		s.mu.Unlock()
		if stop || encoder.Encode(next) != nil {
			return
		}
		last := len(next.Entries) - 1
		prev = session.Position{Term: next.Entries[last].Term, Offset: prev.Offset + uint64(last) + 1}
	}
}
