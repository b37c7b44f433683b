// Package devtarget is the substitute for the servers of a database group in tests and trials.
// Each server speaks PostgreSQL protocol v3, follows the term rules of promotion.Member and
// replicates its log asynchronously to the servers that follow it. Faults are injected through
// methods of Server and through an HTTP admin address.
package devtarget

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"siskinrouter/internal/promotion"
	"siskinrouter/internal/session"
)

// Defaults of ServerConfig.
const (
	DefaultUser           = "siskinrouter"
	DefaultPassword       = "proxy-secret"
	DefaultMaxConnections = 20
	DefaultSlots          = 3
	DefaultConnectTime    = 10 * time.Millisecond
)

const (
	// lockTimeout ends deadlocks between transactions.
	lockTimeout = 1 * time.Second
	// shutdownLimit bounds the wait for running statements when the server shuts down.
	shutdownLimit = 2 * time.Second
	// maxLogins bounds the record of logins.
	maxLogins = 10000
)

// ServerConfig configures one server. The zero value of a field selects its default.
type ServerConfig struct {
	Name           string
	Domain         string // failure domain
	Listen         string // address of the PostgreSQL listener; default 127.0.0.1:0
	AdminListen    string // address of the HTTP admin listener; empty for none
	User           string // the proxy's own credentials
	Password       string
	MaxConnections int
	Slots          int           // statements executed concurrently
	ConnectTime    time.Duration // time to accept a connection; negative for none
	ServiceTime    time.Duration // time a statement occupies its slot
	// ReplicationDelay is the network delay between a log entry's transmission and its receipt.
	ReplicationDelay time.Duration
	// Lag is the time between the receipt of a log entry and its visibility to reads.
	Lag time.Duration
	// Primary is the address of the initial primary in term 1: "self" for this server, empty to
	// start fenced without a term.
	Primary string
}

// Self as ServerConfig.Primary makes the server the initial primary.
const Self = "self"

// Login is what a client sent while connecting.
type Login struct {
	Parameters map[string]string
	Password   string
	Accepted   bool
}

// Server is one server of a database group.
type Server struct {
	cfg   ServerConfig
	slots *semaphore.Weighted

	life sync.Mutex // serialises Kill, Shutdown and Restart

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced on every change that someone may wait for
	member   *promotion.Member[Commit]
	received []time.Time // time of receipt of the entry at offset i+1
	store    *store
	locks    lockTable
	txs      map[*tx]struct{}
	conns    map[*conn]struct{}
	logins   []Login
	secrets  [][]byte
	leaks    []string
	counts   map[string]int64
	faults   faults
	nextPID  uint32

	listener net.Listener
	admin    *http.Server
	adminLn  net.Listener
	address  string
	ctx      context.Context // ends when the server is killed or closed
	cancel   context.CancelFunc
	duties   sync.WaitGroup
}

// New starts a server. Close stops it.
func New(cfg ServerConfig) (*Server, error) {
	s := &Server{
		cfg:     cfg.withDefaults(),
		changed: make(chan struct{}),
		store:   newStore(),
		locks:   lockTable{},
		txs:     map[*tx]struct{}{},
		conns:   map[*conn]struct{}{},
		counts:  map[string]int64{},
		faults:  newFaults(cfg),
	}
	s.member = promotion.NewMember[Commit](s.cfg.Name)
	s.slots = semaphore.NewWeighted(int64(s.cfg.Slots))
	if err := s.start(s.cfg.Listen); err != nil {
		return nil, err
	}
	if cfg.Primary != "" {
		s.bootstrap(cfg.Primary)
	}
	if cfg.AdminListen != "" {
		if err := s.startAdmin(cfg.AdminListen); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (cfg ServerConfig) withDefaults() ServerConfig {
	setDefault(&cfg.Listen, "127.0.0.1:0")
	setDefault(&cfg.User, DefaultUser)
	setDefault(&cfg.Password, DefaultPassword)
	setDefault(&cfg.MaxConnections, DefaultMaxConnections)
	setDefault(&cfg.Slots, DefaultSlots)
	setDefault(&cfg.ConnectTime, DefaultConnectTime)
	return cfg
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// start opens the listener and starts the goroutines of the server.
func (s *Server) start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("target %s: %w", s.cfg.Name, err)
	}
	s.mu.Lock()
	s.listener, s.address = ln, ln.Addr().String()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	ctx := s.ctx
	s.mu.Unlock()
	s.duties.Go(func() { s.accept(ctx, ln) })
	s.duties.Go(func() { s.follow(ctx) })
	s.duties.Go(func() { s.applyLog(ctx) })
	return nil
}

// bootstrap puts the server into term 1 with the given primary.
func (s *Server) bootstrap(primary string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if primary != Self && primary != s.address {
		s.member.Follow(1, primary)
		s.notify()
		return
	}
	s.member.Fence(1, "bootstrap")
	s.promote(1, "bootstrap")
}

// promote promotes the member and makes its whole log visible. The caller holds mu.
func (s *Server) promote(term uint64, driver string) bool {
	granted := s.member.Promote(term, driver, s.address)
	if granted {
		s.applyUntil(s.member.LogEnd().Offset)
	}
	s.notify()
	return granted
}

// Name returns the name of the server.
func (s *Server) Name() string { return s.cfg.Name }

// Domain returns the failure domain of the server.
func (s *Server) Domain() string { return s.cfg.Domain }

// Address returns the address of the PostgreSQL listener. It survives Kill and Restart.
func (s *Server) Address() string { return s.address }

// AdminAddress returns the address of the HTTP admin listener, or "" if there is none.
func (s *Server) AdminAddress() string {
	if s.adminLn == nil {
		return ""
	}
	return s.adminLn.Addr().String()
}

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.Kill()
	if s.admin != nil {
		s.admin.Close()
	}
}

// notify wakes everyone who waits for a change. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lockWhen locks mu once ready reports true, or returns an error when ctx ends first. ready is
// called with mu held and again after every change.
func (s *Server) lockWhen(ctx context.Context, ready func() bool) error {
	s.mu.Lock()
	for !ready() {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		s.mu.Lock()
	}
	return nil
}

// lock locks mu once the server is not frozen. Every step of the server's own work takes it,
// so that a frozen server makes no progress.
func (s *Server) lock(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return context.Cause(ctx)
	}
	return s.lockWhen(ctx, func() bool { return !s.faults.frozen })
}

// status returns the status row. The caller holds mu.
func (s *Server) status() promotion.Status {
	st := s.member.Status()
	st.Applied = s.member.At(s.store.applied())
	st.Active = len(s.txs)
	st.Terms = s.terms()
	return st
}

// reportedTerms bounds the terms in a status row. A write whose outcome is still asked for is at most a
// few terms old.
const reportedTerms = 4

// terms returns the last positions of the latest terms in the log. The lock is held.
func (s *Server) terms() string {
	terms := s.member.TermBoundaries()
	return session.FormatPositions(terms[max(0, len(terms)-reportedTerms):])
}

// applyUntil applies the log up to offset. The caller holds mu.
func (s *Server) applyUntil(offset uint64) {
	for at := s.store.applied() + 1; at <= offset; at++ {
		s.store.apply(s.member.Entry(at).Data, s.member.At(at))
	}
}

// applyLog makes received entries visible after the configured lag.
func (s *Server) applyLog(ctx context.Context) {
	for {
		if s.lock(ctx) != nil {
			return
		}
		wait := s.applyDue(time.Now())
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// applyDue applies the entries that are due at now and returns the time until the next one.
// The caller holds mu.
func (s *Server) applyDue(now time.Time) time.Duration {
	const idle = time.Second
	s.markReceived(now)
	before := s.store.applied()
	wait := idle
	for at := before; at < s.member.LogEnd().Offset; at++ {
		if due := s.received[at].Add(s.faults.lag).Sub(now); due > 0 {
			wait = min(wait, due)
			break
		}
		s.applyUntil(at + 1)
	}
	if s.store.applied() != before {
		s.notify()
	}
	return wait
}

// markReceived sets the time of receipt of new entries. The caller holds mu.
func (s *Server) markReceived(now time.Time) {
	for uint64(len(s.received)) < s.member.LogEnd().Offset {
		s.received = append(s.received, now)
	}
}

// accepted adds entries received from the primary. The caller holds mu.
func (s *Server) accepted(a promotion.Append[Commit]) error {
	from, err := s.member.AppendEntries(a)
	if err != nil {
		return err
	}
	if from > 0 {
		s.store.takeBack(from)
		s.received = s.received[:min(uint64(len(s.received)), from-1)]
	}
	s.markReceived(time.Now())
	s.notify()
	return nil
}

// commit writes the transaction to the log. It returns the zero position if the transaction
// wrote nothing. The caller holds mu.
func (s *Server) commit(t *tx) (session.Position, error) {
	defer s.finish(t)
	if len(t.commit.Writes) == 0 && len(t.commit.Requests) == 0 {
		return session.Position{}, nil
	}
	if t.term != s.member.Status().Promised {
		return session.Position{}, promotion.ErrNotPrimary
	}
	at, err := s.member.Write(t.commit)
	if err != nil {
		return session.Position{}, err
	}
	s.markReceived(time.Now())
	s.applyUntil(at.Offset)
	s.notify()
	return at, nil
}

// finish releases everything that the transaction holds. The caller holds mu.
func (s *Server) finish(t *tx) {
	s.locks.release(t)
	delete(s.txs, t)
}

// recordLogin keeps what a client sent while connecting. The caller holds mu.
func (s *Server) recordLogin(l Login) {
	if len(s.logins) == maxLogins {
		s.logins = s.logins[1:]
	}
	s.logins = append(s.logins, l)
}

// sniffer searches the bytes received on a connection for the secrets registered with Forbid.
type sniffer struct {
	net.Conn
	s    *Server
	tail []byte
}

// Read reads from the connection and records every secret it sees.
func (r *sniffer) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	longest := 0
	window := append(r.tail, p[:n]...)
	for _, secret := range r.s.secrets {
		longest = max(longest, len(secret))
		if bytes.Contains(window, secret) {
			r.s.leaks = append(r.s.leaks, string(secret))
		}
	}
	// The last byte of a secret is always new, so keeping one byte less than the longest secret
	// finds secrets split between reads without counting them twice.
	keep := min(len(window), max(longest-1, 0))
	r.tail = append([]byte(nil), window[len(window)-keep:]...)
	return n, err
}
