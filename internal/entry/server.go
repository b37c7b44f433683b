// Package entry serves the sessions of callers on a VM. It keeps a session's values and prepared
// statements, checks keys and routes, and passes statements to the owner of their service.
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

// Errors of messages that cannot be understood. The session ends with them.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
)

// Conn is the connection of a caller.
type Conn interface {
	ReadStartup() (database, key string, err error)
	// Read returns the next statement, or io.EOF at the end of the session. A Read that a deadline
	// interrupts is continued by the next one.
	Read() (statement.Statement, error)
	// Buffered reports whether a part of a further message has arrived.
	Buffered() bool
	WriteReady() error
	WriteResponse(a statement.Response) error
	// WriteError refuses a session.
	WriteError(a statement.Response) error
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	Close() error
}

// Executor is where the statements of a stream run.
type Executor interface {
	Do(req broker.Request, timeout time.Duration) (broker.Result, error)
	EndStream(stream uint64)
}

// Router finds the owner of a service.
type Router interface {
	View() *directory.View
	// Run runs the first statement of a stream and returns where it ran. place is nil if it did not run.
	Run(req broker.Request) (r broker.Result, place Executor, err error)
	// NextStream returns a number that was not used before on this VM.
	NextStream() uint64
}

// Config of a server.
type Config struct {
	Router   Router
	NewConn  func(net.Conn) Conn
	Log      *log.Logger
	Registry metrics.Registry
	// MaxSessions bounds the sessions, 0 for no bound. More callers are refused at once.
	MaxSessions int
}

// Server accepts callers.
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

// latencySamples is the size of the reservoir of the latency histogram.
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
		s.Log.Warn("caller not accepted", "error", err, "sessions", s.Sessions())
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
			s.Log.Debug("refusal not delivered", "error", err)
		}
		return
	}
	defer s.remove(sess)
	sess.run()
}

// refusalTimeout bounds the time that a refused caller may leave its connection full.
const refusalTimeout = time.Second

// add reports whether there is room for a session.
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

// RecheckIdle makes resting sessions look at whether they may continue.
func (s *Server) RecheckIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.poke()
	}
}

// CloseIdle closes resting sessions, so that their callers connect again and reach another VM.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.leave.Store(true)
		sess.poke()
	}
}

// Drain lets sessions end: those that rest are closed at once, the others after their transaction. It
// returns when all have ended, at the latest after patience; transactions open then are cut off.
func (s *Server) Drain(patience time.Duration) (cut int) {
	s.draining.Store(true)
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		s.RecheckIdle()
		if s.Sessions() == 0 {
			return 0
		}
		time.Sleep(drainPoll)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		if !sess.busy.Load() {
			cut++
			_ = sess.conn.Close()
		}
	}
	return cut
}

// drainPoll is the time between two looks at the sessions that have yet to end.
const drainPoll = 50 * time.Millisecond

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
