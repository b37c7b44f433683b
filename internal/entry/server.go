// Package entry serves the sessions of callers on a VM. It holds the settings and prepared statements
// of each session, checks keys and routes, and forwards statements to the owner of their service.
package entry

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/limits"
	"siskinrouter/internal/netopt"
	"siskinrouter/internal/statement"
)

// Errors of messages that cannot be decoded. They end the session.
var (
	ErrMalformed = errors.New("malformed message")
	ErrTooLarge  = errors.New("message too large")
	// ErrNoMemory means that there is no memory for the rest of a message.
	ErrNoMemory = errors.New("no memory for the message")
)

// Conn is the connection of a caller.
type Conn interface {
	ReadStartup() (database, key string, err error)
	// Read returns the next statement, or io.EOF at the end of the session. If a Read exceeds its
	// deadline, the next Read continues with the data received so far.
	Read() (statement.Statement, error)
	// Buffered reports whether part of another message has been received.
	Buffered() bool
	// SetAccount sets the account that messages are charged to and which knows when an unfinished one was begun.
	SetAccount(a Account)
	// CloseGently ends the sending side and discards what the caller still sends, so that an error which was sent
	// reaches it: a close with unread input resets the connection. It stops after a limited time and amount.
	CloseGently()
	WriteReady() error
	WriteResponse(r statement.Response) error
	// WriteError sends an error that refuses or ends the session.
	WriteError(r statement.Response) error
	SetReadDeadline(t time.Time) error
	SetWriteDeadline(t time.Time) error
	Close() error
}

// Account is charged for the memory of messages.
type Account interface {
	// Charge charges for more bytes of a message. It may wait for a short time. An error wraps ErrNoMemory.
	Charge(n int64) error
	Release(n int64)
	// Begun records that part of a message has arrived, Finished that it is complete.
	Begun()
	Finished()
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
	// MaxUnstarted limits the connections that have not sent their startup message; 0 means no limit. Beyond it, the one
	// that has waited longest is closed.
	MaxUnstarted int
	// Budget is the memory for callers; nil limits nothing.
	Budget *limits.Budget
	// StartupTimeout bounds the wait for the startup message, MessageTimeout the time to finish a message that was begun,
	// and AnswerTimeout the time to read an answer. Defaults apply to values that are 0.
	StartupTimeout, MessageTimeout, AnswerTimeout time.Duration
}

const (
	// DefaultStartupTimeout is the time to send the startup message. Callers wait at most 2 s for the answer to it.
	DefaultStartupTimeout = 5 * time.Second
	// DefaultMessageTimeout lets a caller send a message of 1 MiB at 0.3 Mbit/s.
	DefaultMessageTimeout = 30 * time.Second
	// DefaultAnswerTimeout is the time for the write of a response to a caller that does not read.
	DefaultAnswerTimeout = 10 * time.Second
	// sweepInterval is the time between two checks for messages that take too long.
	sweepInterval = 500 * time.Millisecond
	// maxRefusals bounds the connections that are being refused; others beyond MaxSessions are closed without an answer.
	maxRefusals = 8
	// freeSessionParts is the part of MaxSessions that is kept free by closing idle sessions, idleClosesPerSecond how
	// many are closed at most. A search takes less than 0.1 ms with a few thousand sessions.
	freeSessionParts    = 32
	idleClosesPerSecond = 200
	// limitLinesPerSecond and limitLinesBurst bound the log lines about callers that reach a limit; counters have all.
	limitLinesPerSecond = 5
	limitLinesBurst     = 20
)

// Server accepts callers and serves their sessions.
type Server struct {
	Config
	mu       sync.Mutex
	sessions map[*session]struct{}
	// unstarted holds the sessions that wait for the startup message, oldest first.
	unstarted *list.List
	// workspaces counts the started sessions by workspace. crowded limits the search for an idle session to close.
	workspaces map[string]int
	crowded    *rate.Limiter
	refusals   chan struct{} // one element for each connection that is being refused
	draining   atomic.Bool
	// stopping is set when transactions may no longer go on; no statement runs beyond stopsAt, in nanoseconds since 1970.
	stopping atomic.Bool
	stopsAt  atomic.Int64
	counters counters
	limitLog *rate.Limiter
}

type counters struct {
	sessions                    metrics.Gauge
	statements, refused, failed metrics.Counter
	latency                     metrics.Histogram
	// Callers that reached a limit: by memory, evicted, messages over the size limit or not finished in time, answers not
	// read in time, sessions over the limit, connections closed without a startup message, and idle sessions closed to
	// make room for others.
	noMemory, evicted, tooLarge, slowMessages, slowReaders, tooMany, unstarted, idleClosed metrics.Counter
}

// latencySamples is the reservoir size of the latency histogram.
const latencySamples = 512

// NewServer returns a server without sessions.
func NewServer(c Config) *Server {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, c.Registry) }
	if c.StartupTimeout == 0 {
		c.StartupTimeout = DefaultStartupTimeout
	}
	if c.MessageTimeout == 0 {
		c.MessageTimeout = DefaultMessageTimeout
	}
	if c.AnswerTimeout == 0 {
		c.AnswerTimeout = DefaultAnswerTimeout
	}
	s := &Server{Config: c, sessions: map[*session]struct{}{}, unstarted: list.New(), workspaces: map[string]int{}, counters: counters{
		sessions:   metrics.GetOrRegisterGauge("entry.sessions", c.Registry),
		statements: counter("entry.statements"), refused: counter("entry.refused"), failed: counter("entry.failed"),
		latency:  metrics.GetOrRegisterHistogram("entry.latency_us", c.Registry, metrics.NewUniformSample(latencySamples)),
		noMemory: counter("limits.no_memory"), evicted: counter("limits.evicted"), tooLarge: counter("limits.too_large"),
		slowMessages: counter("limits.slow_messages"), slowReaders: counter("limits.slow_readers"),
		tooMany: counter("limits.too_many_sessions"), unstarted: counter("limits.unstarted_closed"),
		idleClosed: counter("limits.idle_closed"),
	}, refusals: make(chan struct{}, maxRefusals), limitLog: rate.NewLimiter(limitLinesPerSecond, limitLinesBurst),
		crowded: rate.NewLimiter(idleClosesPerSecond, 1)}
	return s
}

// Serve accepts callers until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	stop := make(chan struct{})
	defer close(stop)
	go s.sweep(stop)
	return netopt.Serve(ln, func(c net.Conn) { s.accept(s.NewConn(c)) }, func(err error) {
		s.Log.Warn("failed to accept caller connection", "error", err, "sessions", s.Sessions())
	})
}

// accept starts the session of a connection, or refuses it. It does not block, and the connections that it leaves open are
// bounded.
func (s *Server) accept(c Conn) {
	sess := s.newSession(c)
	if s.add(sess) {
		go s.serve(sess)
		return
	}
	s.counters.refused.Inc(1)
	s.counters.tooMany.Inc(1)
	s.logLimit("session refused", "code", statement.Overloaded, "reason", "too many sessions", "limit", s.MaxSessions)
	select {
	case s.refusals <- struct{}{}:
		go s.refuse(c)
	default:
		_ = c.Close()
	}
}

// serve runs a registered session.
func (s *Server) serve(sess *session) {
	defer s.remove(sess)
	defer sess.conn.Close()
	sess.run()
}

// refuse tells a caller that there are too many sessions.
func (s *Server) refuse(c Conn) {
	defer func() { <-s.refusals }()
	defer c.Close()
	if err := c.SetWriteDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return
	}
	if err := c.WriteError(statement.Refusal(statement.Overloaded, "this VM serves as many callers as it can")); err != nil {
		s.Log.Debug("failed to send refusal", "error", err)
		return
	}
	c.CloseGently()
}

// refusalTimeout bounds the write of a refusal to a caller that does not read.
const refusalTimeout = time.Second

// logLimit logs that a caller has reached a limit, unless there were too many such lines.
func (s *Server) logLimit(message string, fields ...any) {
	if s.limitLog.Allow() {
		s.Log.Info(message, fields...)
	}
}

// add registers a session that waits for its startup message. It returns false if MaxSessions is reached.
func (s *Server) add(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxSessions > 0 && len(s.sessions) >= s.MaxSessions {
		if s.crowded.Allow() {
			s.closeIdlest()
		}
		return false
	}
	if s.MaxSessions > 0 && len(s.sessions) >= s.MaxSessions-s.MaxSessions/freeSessionParts && s.crowded.Allow() {
		s.closeIdlest()
	}
	if oldest := s.unstarted.Front(); s.MaxUnstarted > 0 && s.unstarted.Len() >= s.MaxUnstarted {
		s.unstarted.Remove(oldest)
		s.counters.unstarted.Inc(1)
		other := oldest.Value.(*session)
		other.waiting = nil
		other.interrupt(endUnstarted)
	}
	s.sessions[sess] = struct{}{}
	sess.waiting = s.unstarted.PushBack(sess)
	s.counters.sessions.Update(int64(len(s.sessions)))
	return true
}

// closeIdlest closes the session that has been idle for the longest time, of the workspace that has most sessions. A
// workspace that fills the VM with idle sessions then only closes its own. The mutex must be held.
func (s *Server) closeIdlest() {
	largest, most := "", 0
	for workspace, n := range s.workspaces {
		if n > most {
			largest, most = workspace, n
		}
	}
	var idlest *session
	since := time.Now().Add(-evictAfter).UnixNano()
	for sess := range s.sessions {
		if sess.counted == nil || *sess.counted != largest || sess.ending.Load() != 0 {
			continue
		}
		if idle := sess.idleSince.Load(); idle != 0 && idle < since {
			idlest, since = sess, idle
		}
	}
	if idlest != nil {
		s.counters.idleClosed.Inc(1)
		idlest.interrupt(endCrowded)
	}
}

// started records that a session has been accepted.
func (s *Server) started(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeUnstarted(sess)
	workspace := sess.workspace
	sess.counted = &workspace
	s.workspaces[workspace]++
}

// removeUnstarted removes a session from those that wait for their startup message. The mutex must be held.
func (s *Server) removeUnstarted(sess *session) {
	if sess.waiting != nil {
		s.unstarted.Remove(sess.waiting)
		sess.waiting = nil
	}
}

func (s *Server) remove(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeUnstarted(sess)
	if sess.counted != nil {
		if s.workspaces[*sess.counted]--; s.workspaces[*sess.counted] == 0 {
			delete(s.workspaces, *sess.counted)
		}
	}
	delete(s.sessions, sess)
	s.counters.sessions.Update(int64(len(s.sessions)))
}

// sweep ends sessions whose message is not finished in time.
func (s *Server) sweep(stop chan struct{}) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		begunBefore := time.Now().Add(-s.MessageTimeout)
		s.mu.Lock()
		for sess := range s.sessions {
			if began := sess.account.begunAt(); !began.IsZero() && began.Before(begunBefore) {
				sess.interrupt(endSlowMessage)
			}
		}
		s.mu.Unlock()
	}
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

// Drain ends the sessions: idle ones at once, the others after their transaction. Transactions that are still open after
// the time transactions are rolled back, and their next statement is told so. No statement runs beyond the time statements.
// Drain returns when all sessions have ended, or then, with the number of those that are left.
func (s *Server) Drain(transactions, statements time.Duration) (left int) {
	began := time.Now()
	s.stopsAt.Store(began.Add(statements).UnixNano())
	s.draining.Store(true)
	for time.Since(began) < statements {
		s.stopping.Store(time.Since(began) >= transactions)
		s.RecheckIdle()
		if s.Sessions() == 0 {
			return 0
		}
		time.Sleep(drainCheckInterval)
	}
	return s.Sessions()
}

// AwaitAnswers waits until no session runs a statement or writes its response, for a limited time. It returns the number of
// sessions that still do.
func (s *Server) AwaitAnswers(limit time.Duration) (busy int) {
	for end := time.Now().Add(limit); ; time.Sleep(answerCheckInterval) {
		if busy = s.busySessions(); busy == 0 || time.Now().After(end) {
			return busy
		}
	}
}

func (s *Server) busySessions() (busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		if sess.busy.Load() {
			busy++
		}
	}
	return busy
}

// answerCheckInterval is the time between two checks whether all statements have been answered.
const answerCheckInterval = 5 * time.Millisecond

// runtime returns how long a statement may still run on this VM, at most its timeout.
func (s *Server) runtime(timeout time.Duration) time.Duration {
	if at := s.stopsAt.Load(); at != 0 {
		return min(timeout, time.Until(time.Unix(0, at))-ResponseMargin)
	}
	return timeout
}

// drainCheckInterval is the time between two checks whether all sessions have ended.
const drainCheckInterval = 50 * time.Millisecond

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
