package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"siskinrouter/internal/devfleet"
)

const (
	sessionParameter = "siskinrouter.session"
	newSession       = "new"

	callTimeout    = 15 * time.Second // exceeds the statement timeout of the routes
	connectTimeout = 2 * time.Second
	maxAttempts    = 4  // of a request whose outcome is unknown
	maxMoves       = 24 // of a request that leaving VMs refuse
	roamMean       = 40 // requests on one VM before a caller moves on
)

// customer is one session of a customer: what it wrote last, which its reads must see.
type customer struct {
	tokens bool // it carries session tokens
	mu     sync.Mutex
	token  string
	key    string // of its last acknowledged write
}

func (s *customer) wrote(key, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.key, s.token = key, token
}

func (s *customer) last() (key, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key, s.token
}

// caller is one connection of a session, for writes or for reads. It serves one request at a time.
type caller struct {
	load    *load
	space   *workspaceLoad
	session *customer
	route   string
	random  *rand.Rand
	conn    *pgx.Conn
	uses    int    // requests left on this VM
	token   string // session token that the VM knows
}

// run serves arrivals until the channel closes.
func (c *caller) run(arrivals <-chan time.Duration) {
	c.roam()
	c.load.ready.Done()
	for due := range arrivals {
		s := sample{workspace: c.space.index, write: c.route == devfleet.RouteWrite, due: due}
		if s.write {
			c.write(&s)
		} else {
			c.read(&s)
		}
		s.done = c.load.now()
		c.load.recorder.add(s)
		c.roam()
	}
	c.drop()
}

// roam moves to another VM after a random number of requests, between two requests, so that the login
// does not count as latency. A failed login is left to the next request.
func (c *caller) roam() {
	if c.uses--; c.uses > 0 {
		return
	}
	c.drop()
	ctx, cancel := context.WithTimeout(c.load.ctx, connectTimeout)
	defer cancel()
	_, _ = c.connected(ctx)
}

func (c *caller) drop() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// connected returns a connection to a VM. A VM that left while the connection was idle has sent the
// reason, which the next request reads as its answer.
func (c *caller) connected(ctx context.Context) (*pgx.Conn, error) {
	if c.conn != nil && c.conn.IsClosed() {
		c.drop()
	}
	if c.conn != nil {
		return c.conn, nil
	}
	_, token := c.session.last()
	if token == "" {
		token = newSession
	}
	vm := c.load.pick(c.random)
	if vm == nil {
		return nil, fmt.Errorf("no VM is running")
	}
	config, err := pgx.ParseConfig(c.load.fleet.URL(vm, c.space.name, c.route))
	if err != nil {
		return nil, err
	}
	config.Password = c.space.secret()
	config.ConnectTimeout = connectTimeout
	if c.session.tokens {
		config.RuntimeParams[sessionParameter] = token
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	c.conn, c.token = conn, token
	c.uses = 1 + c.random.IntN(2*roamMean)
	return conn, nil
}

// stateStalled marks a request that the caller gave up after callTimeout.
const stateStalled = "stalled"

// attempts calls try until the request has an outcome that a caller would accept.
func (c *caller) attempts(s *sample, try func(context.Context, *pgx.Conn) error) {
	ctx, cancel := context.WithTimeout(c.load.ctx, callTimeout)
	defer cancel()
	s.sent = c.load.now()
	open := false // an earlier attempt may have run
	for {
		conn, err := c.connected(ctx)
		if err != nil {
			if c.again(ctx, s, connectFailure(err), &open) {
				continue
			}
			return
		}
		if err = try(ctx, conn); err == nil {
			s.outcome = acked
			return
		}
		f := classify(err)
		if ctx.Err() != nil {
			// The caller itself gave up; that is a stall and no cut.
			f.cut, f.state = false, stateStalled
		}
		if !c.again(ctx, s, f, &open) {
			return
		}
	}
}

// connectFailure returns the meaning of a failed login: the request was not sent.
func connectFailure(err error) failure {
	f := classify(err)
	f.cut = false
	f.outcome = notRun
	switch f.state {
	case "", "57P01", "57P03":
		f.move = true
	}
	return f
}

// again notes a failed attempt and reports whether the caller sends the request again. A request that
// did not run is repeated only when its VM is leaving; one that may have run is repeated under its
// request id.
func (c *caller) again(ctx context.Context, s *sample, f failure, open *bool) bool {
	s.state = f.state
	c.load.recorder.example(fmt.Sprintf("%s cut=%v move=%v", f.state, f.cut, f.move), f.text)
	switch {
	case f.ran:
		s.outcome = acked
		return false
	case f.move:
		s.moves++
		c.drop()
		s.outcome = notRun
		if s.moves > 1 {
			pause(ctx, movePause)
		}
		if s.moves < maxMoves && ctx.Err() == nil {
			return true
		}
	case f.cut:
		s.cuts++
		s.failures++
		c.drop()
		*open = true
	default:
		s.failures++
		*open = *open || f.outcome == unknown
		s.outcome = f.outcome
	}
	if *open {
		s.outcome = unknown
	}
	return (f.cut || f.outcome == unknown) && s.failures < maxAttempts && ctx.Err() == nil
}

// movePause is the time between attempts to reach a VM that serves.
const movePause = 20 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// write puts a unique key under a request id of the same text.
func (c *caller) write(s *sample) {
	s.key = c.space.nextKey()
	var conn *pgx.Conn
	c.attempts(s, func(ctx context.Context, on *pgx.Conn) error {
		conn = on
		if _, err := on.Exec(ctx, "SET siskinrouter.request_id = '"+s.key+"'"); err != nil {
			return err
		}
		_, err := on.Exec(ctx, "PUT "+s.key+" "+s.key)
		return err
	})
	if s.outcome != acked {
		return
	}
	token := conn.PgConn().ParameterStatus(sessionParameter)
	s.falseAck = !c.load.heldByMajority(c.space.group, token)
	c.session.wrote(s.key, token)
	c.space.remember(s.key)
}

// read gets a key whose write has been acknowledged. A session with tokens reads its own last write,
// another one any write of its workspace.
func (c *caller) read(s *sample) {
	key, token := c.session.last()
	if !c.session.tokens {
		key = c.space.recall(c.random)
	}
	value := ""
	c.attempts(s, func(ctx context.Context, on *pgx.Conn) (err error) {
		if c.session.tokens && token != "" && token != c.token {
			if _, err := on.Exec(ctx, "SET siskinrouter.session = '"+token+"'"); err != nil {
				return err
			}
			c.token = token
		}
		value, err = get(ctx, on, key)
		return err
	})
	if s.outcome == acked && key != "" && value != key {
		s.wrong = true
		c.load.recorder.example("wrong read", fmt.Sprintf("session tokens %v, key %s, value %q", c.session.tokens, key, value))
	}
}

// get returns the value of a key, or "" if it does not exist.
func get(ctx context.Context, conn *pgx.Conn, key string) (string, error) {
	if key == "" {
		key = "absent"
	}
	results, err := conn.PgConn().Exec(ctx, "GET "+key).ReadAll()
	if err != nil {
		return "", err
	}
	return firstValue(results), nil
}

func firstValue(results []*pgconn.Result) string {
	for _, r := range results {
		for _, row := range r.Rows {
			return string(row[0])
		}
	}
	return ""
}
