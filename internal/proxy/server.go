package proxy

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"siskinrouter/internal/netopt"
	"siskinrouter/internal/session"
)

// Config holds the limits and dependencies of a Server.
type Config struct {
	Policy         Policy
	Sealer         *session.Sealer
	Metrics        *Metrics
	Log            *log.Logger
	TLS            *tls.Config   // nil disables TLS
	MaxConnections int           // callers at once
	MaxMessage     int           // bytes of one message
	MaxBatch       int           // bytes of the messages up to a Sync
	LoginTimeout   time.Duration // from the connection to the end of the login
	RequestTimeout time.Duration // of one statement on routes without a timeout of their own
	ConfirmTimeout time.Duration // longest wait for a majority to confirm a write
	WriteTimeout   time.Duration // a caller that does not read for so long is disconnected
	CloseGrace     time.Duration // a caller whose access ended may finish its transaction for so long
	Clock          func() time.Duration
	// ForwardCancel passes a cancel request of an unknown caller to the other VMs; may be nil.
	ForwardCancel func(pid uint32, secret []byte)
	Without       Rules // rules switched off; set only by tests
}

// Server accepts callers.
type Server struct {
	cfg Config

	mu       sync.Mutex
	sessions map[uint32]*callerSession
	draining error         // reason sent to callers; nil while serving
	drained  chan struct{} // closed once draining and no session is left
}

// NewServer returns a server that starts with Serve.
func NewServer(cfg Config) *Server {
	return &Server{cfg: cfg, sessions: make(map[uint32]*callerSession), drained: make(chan struct{})}
}

// Serve accepts callers until ln is closed.
func (s *Server) Serve(ln net.Listener) error {
	return netopt.Serve(ln, func(c net.Conn) { go s.handle(c) }, func(err error) {
		s.cfg.Log.Warn("caller not accepted", "err", err)
	})
}

func (s *Server) handle(conn net.Conn) {
	defer conn.Close()
	c := newCallerSession(s, conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer s.unregister(c)
	if !c.login(ctx) {
		return
	}
	s.cfg.Metrics.Connections.Inc(1)
	defer s.cfg.Metrics.Connections.Dec(1)
	c.run(ctx)
}

// register gives c a process id that is unique among the open sessions.
func (s *Server) register(c *callerSession) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining != nil {
		return s.draining
	}
	if len(s.sessions) >= s.cfg.MaxConnections {
		return errTooManyCallers(s.cfg.MaxConnections)
	}
	for {
		pid := rand.Uint32()
		if _, used := s.sessions[pid]; pid != 0 && !used {
			c.pid = pid
			s.sessions[pid] = c
			return nil
		}
	}
}

func (s *Server) unregister(c *callerSession) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, c.pid)
	s.checkDrained()
}

// checkDrained closes drained when the last session has ended. The lock is held.
func (s *Server) checkDrained() {
	if s.draining == nil || len(s.sessions) > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// snapshot returns the open sessions.
func (s *Server) snapshot() []*callerSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*callerSession, 0, len(s.sessions))
	for _, c := range s.sessions {
		all = append(all, c)
	}
	return all
}

// Sweep ends the callers whose access ended: idle ones at once, the others at the end of their
// transaction and at the latest after the grace period.
func (s *Server) Sweep() {
	for _, c := range s.snapshot() {
		if _, err := s.cfg.Policy.Renew(c.currentAccess()); err != nil {
			c.end(err, s.cfg.CloseGrace)
		}
	}
}

// Drain refuses new callers with reason and ends the open ones as they become idle. It returns
// when none is left or ctx ends; then it cuts the rest and returns their number.
func (s *Server) Drain(ctx context.Context, reason error) int {
	s.mu.Lock()
	s.draining = reason
	s.checkDrained()
	s.mu.Unlock()
	for _, c := range s.snapshot() {
		c.end(reason, 0)
	}
	if !s.cfg.Without.GracefulDrain {
		select {
		case <-s.drained:
			return 0
		case <-ctx.Done():
		}
	}
	rest := s.snapshot()
	for _, c := range rest {
		c.conn.Close()
	}
	return len(rest)
}

// Cancel cancels the running statement of the caller with this key and reports whether it is known.
func (s *Server) Cancel(ctx context.Context, pid uint32, secret []byte) bool {
	s.mu.Lock()
	c := s.sessions[pid]
	s.mu.Unlock()
	if c == nil || !c.hasSecret(secret) {
		return false
	}
	c.cancelStatement(ctx)
	return true
}
