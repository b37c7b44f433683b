// Package entry serves the sessions of callers on a VM. It holds the settings and prepared statements
// of each session, checks keys and routes, and forwards statements to the owner of their service.
package entry

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/netopt"
	"siskinrouter/internal/statement"
)

// Errors of messages that cannot be decoded. They end the session.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
)

// Conn is the connection of a caller.
type Conn interface {
	ReadStartup() (database, key string, err error)
	// Read returns the next statement, or io.EOF at the end of the session. If a Read exceeds its
	// deadline, the next Read continues with the data received so far.
	Read() (statement.Statement, error)
	// Buffered reports whether part of another message has been received.
	Buffered() bool
	WriteReady() error
	WriteResponse(r statement.Response) error
	// WriteError sends an error that refuses or ends the session.
	WriteError(r statement.Response) error
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	Close() error
}

// Executor runs the statements of a stream, on this VM or over the link to the owner.
type Executor interface {
	Do(req broker.Request, timeout time.Duration) (broker.Result, error)
	EndStream(stream uint64)
}

// Router routes statements to the owner of their service.
type Router interface {
	View() *directory.View
	// Run runs the first statement of a stream and returns its executor, or nil if the statement did not run.
	Run(req broker.Request) (r broker.Result, executor Executor, err error)
	// NextStream returns a stream number that was not used before on this VM.
	NextStream() uint64
}

// Config configures a Server.
type Config struct {
	Router   Router
	NewConn  func(net.Conn) Conn
	Log      *log.Logger
	Registry metrics.Registry
	// MaxSessions limits the open sessions; 0 means no limit. Callers beyond it are refused at once.
	MaxSessions int
}

// Server accepts callers and serves their sessions.
type Server struct {
	Config
	mu       sync.Mutex
	sessions map[*session]struct{}
	draining atomic.Bool
	counters counters
}

type counters struct {
	sessions                    metrics.Gauge
	statements, refused, failed metrics.Counter
	latency                     metrics.Histogram
}

// latencySamples is the reservoir size of the latency histogram.
const latencySamples = 512

// NewServer returns a server without sessions.
func NewServer(c Config) *Server {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, c.Registry) }
	return &Server{Config: c, sessions: map[*session]struct{}{}, counters: counters{
		sessions:   metrics.GetOrRegisterGauge("entry.sessions", c.Registry),
		statements: counter("entry.statements"), refused: counter("entry.refused"), failed: counter("entry.failed"),
		latency: metrics.GetOrRegisterHistogram("entry.latency_us", c.Registry, metrics.NewUniformSample(latencySamples)),
	}}
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	return netopt.Serve(ln, func(c net.Conn) { go s.serve(s.NewConn(c)) }, func(err error) {
		s.Log.Warn("failed to accept caller connection", "error", err, "sessions", s.Sessions())
	})
}

func (s *Server) serve(c Conn) {
	defer c.Close()
	sess := &session{server: s, conn: c, prepared: map[string]statement.PreparedQuery{}}
	if !s.add(sess) {
		s.counters.refused.Inc(1)
		s.Log.Info("session refused", "code", statement.Overloaded, "reason", "too many sessions", "limit", s.MaxSessions)
		if err := c.SetWriteDeadline(time.Now().Add(refusalTimeout)); err != nil {
			return
		}
		if err := c.WriteError(statement.Refusal(statement.Overloaded, "this VM serves as many callers as it can")); err != nil {
			s.Log.Debug("failed to send refusal", "error", err)
		}
		return
	}
	defer s.remove(sess)
	sess.run()
}

// refusalTimeout bounds the write of a refusal to a caller that does not read.
const refusalTimeout = time.Second

// add registers a session. It returns false if MaxSessions is reached.
func (s *Server) add(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxSessions > 0 && len(s.sessions) >= s.MaxSessions {
		return false
	}
	s.sessions[sess] = struct{}{}
	s.counters.sessions.Update(int64(len(s.sessions)))
	return true
}

func (s *Server) remove(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
	s.counters.sessions.Update(int64(len(s.sessions)))
}

// RecheckIdle makes idle sessions check whether they may continue.
func (s *Server) RecheckIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.wake()
	}
}

// CloseIdle closes sessions as soon as they are idle, so that their callers reconnect and reach another VM.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.closeWhenIdle.Store(true)
		sess.wake()
	}
}

// Drain closes idle sessions at once and the others after their transaction. It returns when all sessions
// have ended. After timeout it closes those that are waiting in an open transaction and returns their number.
func (s *Server) Drain(timeout time.Duration) (closed int) {
	s.draining.Store(true)
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		s.RecheckIdle()
		if s.Sessions() == 0 {
			return 0
		}
		time.Sleep(drainCheckInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		if !sess.busy.Load() {
			closed++
			_ = sess.conn.Close()
		}
	}
	return closed
}

// drainCheckInterval is the time between two checks whether all sessions have ended.
const drainCheckInterval = 50 * time.Millisecond

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
