package devtarget

import (
	"context"
	"maps"
	"slices"
	"time"

	"siskinrouter/internal/promotion"
	"siskinrouter/internal/session"
)

// faults are the injected faults and the settings that can change at run time.
type faults struct {
	frozen       bool
	noPeers      bool            // isolated from the other servers
	noClients    map[string]bool // application names that are cut off
	answerDelay  time.Duration
	lag          time.Duration
	replication  time.Duration
	serviceTime  time.Duration
	refuseLogins bool
	shutdown     bool
}

func newFaults(cfg ServerConfig) faults {
	return faults{
		noClients:   map[string]bool{},
		lag:         cfg.Lag,
		replication: cfg.ReplicationDelay,
		serviceTime: cfg.ServiceTime,
	}
}

// change applies a change of the faults and wakes everyone who waits.
func (s *Server) change(f func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
	s.notify()
}

// Kill closes the listener and all connections. Open transactions roll back; the log and the
// promises of the server survive.
func (s *Server) Kill() {
	s.life.Lock()
	defer s.life.Unlock()
	s.kill()
}

// kill stops all goroutines of the server. The caller holds life.
func (s *Server) kill() {
	s.mu.Lock()
	s.listener.Close()
	// Connections close before statements are cancelled, so that a killed server reports no errors.
	for c := range s.conns {
		c.nc.Close()
	}
	s.cancel()
	s.notify()
	s.mu.Unlock()
	s.duties.Wait()
}

// Shutdown ends the server in an orderly way: every connection finishes the message it is
// processing, receives 57P01 and is closed. Open transactions roll back.
func (s *Server) Shutdown() {
	s.life.Lock()
	defer s.life.Unlock()
	s.mu.Lock()
	s.faults.shutdown = true
	for c := range s.conns {
		c.nc.SetReadDeadline(time.Now()) // ends the wait for the next message
	}
	s.notify()
	ctx := s.ctx
	s.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, shutdownLimit)
	defer cancel()
	if s.lockWhen(limited, func() bool { return len(s.conns) == 0 }) == nil {
		s.mu.Unlock()
	}
	s.kill()
}

// Restart starts a killed or shut down server again under the same address.
func (s *Server) Restart() error {
	s.life.Lock()
	defer s.life.Unlock()
	s.change(func(f *faults) { f.shutdown = false })
	return s.start(s.address)
}

// Freeze stops (true) or resumes (false) all work of the server. Connections stay open and new
// ones are accepted by the operating system, but nothing is answered.
func (s *Server) Freeze(on bool) { s.change(func(f *faults) { f.frozen = on }) }

// IsolatePeers cuts (true) or restores (false) replication from and to the server.
func (s *Server) IsolatePeers(on bool) { s.change(func(f *faults) { f.noPeers = on }) }

// IsolateClient cuts (true) or restores (false) the server off from connections with the given
// application_name: their requests are not processed and their answers are not sent.
func (s *Server) IsolateClient(name string, on bool) {
	s.change(func(f *faults) {
		if on {
			f.noClients[name] = true
			return
		}
		delete(f.noClients, name)
	})
}

// SetAnswerDelay delays all answers.
func (s *Server) SetAnswerDelay(d time.Duration) { s.change(func(f *faults) { f.answerDelay = d }) }

// SetLag sets the time between the receipt of a log entry and its visibility to reads.
func (s *Server) SetLag(d time.Duration) { s.change(func(f *faults) { f.lag = d }) }

// SetReplicationDelay sets the network delay of log entries sent to this server.
func (s *Server) SetReplicationDelay(d time.Duration) {
	s.change(func(f *faults) { f.replication = d })
}

// SetServiceTime sets the time that a statement occupies its slot.
func (s *Server) SetServiceTime(d time.Duration) { s.change(func(f *faults) { f.serviceTime = d }) }

// RefuseLogins makes the server answer new connections with 57P01, as during its shutdown.
func (s *Server) RefuseLogins(on bool) { s.change(func(f *faults) { f.refuseLogins = on }) }

// Status returns the status row.
func (s *Server) Status() promotion.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

// Counts returns the number of statements executed by kind, for example "PUT" or
// "group_status", and of refused connections as "refused 53300" and "refused 28P01".
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

// Connections returns the number of connections that occupy the connection limit.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.occupied()
}

// Record is one transaction in the log of a server.
type Record struct {
	At session.Position
	Commit
}

// History returns the transactions in the log of the server in log order.
func (s *Server) History() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Record
	for at := uint64(1); at <= s.member.LogEnd().Offset; at++ {
		if e := s.member.Entry(at); !e.Start {
			all = append(all, Record{At: s.member.At(at), Commit: e.Data})
		}
	}
	return all
}

// Value returns the applied value of key.
func (s *Server) Value(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.store.values[key]
	return v, ok
}

// Logins returns what clients sent while connecting, oldest first. Only the last 10000 are kept.
func (s *Server) Logins() []Login {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.logins)
}

// Forbid registers a secret that must never reach the server. Leaks reports it if its bytes
// arrive on any connection afterwards.
func (s *Server) Forbid(secret string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.secrets = append(s.secrets, []byte(secret))
}

// Leaks returns the registered secrets that the server received.
func (s *Server) Leaks() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.leaks)
}
