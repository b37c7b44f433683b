package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devtarget"
)

const (
	idleCallers    = 1000
	busyCallers    = 16
	statementPhase = 1500 * time.Millisecond
	idlePhase      = 2 * time.Second
	probeDefault   = 100 * time.Millisecond
	probeSlow      = time.Second
	settle         = 300 * time.Millisecond
)

// served is a daemon in front of one group of stand-ins.
type served struct {
	d       devfleet.Deployment
	targets *devtarget.Group
	node    *node
}

func startServed() (*served, error) {
	d := deployment(1, 1)
	g, addresses, err := targets(d)
	if err != nil {
		return nil, err
	}
	n, err := startNode(d, addresses, newStore(), probeDefault)
	if err != nil {
		g.Close()
		return nil, err
	}
	s := &served{d: d, targets: g, node: n}
	if err := await(s.ready); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// ready succeeds once a write goes through, which needs the group, a share and the primary.
func (s *served) ready() error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := s.connect(ctx, "", "")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	return conn.Exec(ctx, "PUT k 1").Close()
}

func (s *served) stop() {
	s.node.stop()
	s.targets.Close()
}

// connect opens a caller connection; session is a startup parameter, empty for none.
func (s *served) connect(ctx context.Context, route, session string) (*pgconn.PgConn, error) {
	database := s.d.Service
	if route != "" {
		database += "." + route
	}
	return open(ctx, s.node.callers, workspaceName(0), callerSecret, database, session)
}

func open(ctx context.Context, address, user, password, database, session string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", user, password, address, database))
	if err != nil {
		return nil, err
	}
	if session != "" {
		cfg.RuntimeParams["siskinrouter.session"] = session
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

// bareConnection returns the memory of one side of a TCP connection without a reader.
func bareConnection(n int) (float64, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	before := live()
	var conns []net.Conn
	defer func() { closeAll(conns) }()
	for range n {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			return 0, err
		}
		conns = append(conns, c)
		a, err := ln.Accept()
		if err != nil {
			return 0, err
		}
		conns = append(conns, a)
	}
	return (live() - before) / float64(2*n), nil
}

// measureCallers measures idle caller connections: memory, sweeps and login.
func measureCallers(_ context.Context, r *run) error {
	n := r.count(idleCallers)
	bare, err := bareConnection(n)
	if err != nil {
		return err
	}
	s, err := startServed()
	if err != nil {
		return err
	}
	defer s.stop()
	idle, err := idleCPU(r)
	if err != nil {
		return err
	}
	before := live()
	var conns []net.Conn
	defer func() { closeAll(conns) }()
	perLogin, err := micros(float64(n), func() error {
		for range n {
			c, err := login(s.node.callers, workspaceName(0), s.d.Service)
			if err != nil {
				return err
			}
			conns = append(conns, c)
		}
		return nil
	})
	if err != nil {
		return err
	}
	time.Sleep(settle)
	r.set("caller.login", perLogin)
	r.set("caller.memory", (live()-before)/float64(n)-bare)
	with, err := idleCPU(r)
	r.set("caller.idle", (with-idle)/float64(n))
	return err
}

// idleCPU returns the processor time per second, in microseconds, while nothing is asked for.
func idleCPU(r *run) (float64, error) {
	d := r.time(idlePhase)
	return micros(d.Seconds(), func() error {
		time.Sleep(d)
		return nil
	})
}

// measureStatements measures the processor time of forwarded statements beyond that of the same
// statements over direct connections. Caller, proxy and targets share the process, so that the
// difference is the work of the proxy and, for writes and reads without token, of its control statements.
func measureStatements(_ context.Context, r *run) error {
	s, err := startServed()
	if err != nil {
		return err
	}
	defer s.stop()
	primary, replica := s.targets.Servers()[0].Address(), s.targets.Servers()[1].Address()
	direct := func(address string) dialer {
		return func(ctx context.Context) (*pgconn.PgConn, error) {
			return open(ctx, address, devtarget.DefaultUser, devtarget.DefaultPassword, s.d.Service, "")
		}
	}
	proxied := func(route, session string) dialer {
		return func(ctx context.Context) (*pgconn.PgConn, error) { return s.connect(ctx, route, session) }
	}
	read, err := r.statements(direct(replica), "GET k")
	if err != nil {
		return err
	}
	write, err := r.statements(direct(primary), "PUT k 1")
	if err != nil {
		return err
	}
	r.set("statement.direct_read", read)
	r.set("statement.direct_write", write)
	for _, c := range []struct {
		id, statement string
		dial          dialer
		base          float64
	}{
		{"statement.read_token", "GET k", proxied(devfleet.RouteLookup, "new"), read},
		{"statement.read_floor", "GET k", proxied(devfleet.RouteLookup, ""), read},
		{"statement.write", "PUT k 1", proxied(devfleet.RouteWrite, ""), write},
	} {
		total, err := r.statements(c.dial, c.statement)
		if err != nil {
			return fmt.Errorf("%s: %w", c.id, err)
		}
		r.set(c.id, total-c.base)
	}
	return nil
}

type dialer func(context.Context) (*pgconn.PgConn, error)

// statements runs a statement on several connections at once and returns its processor time.
func (r *run) statements(dial dialer, statement string) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var conns []*pgconn.PgConn
	defer func() {
		for _, c := range conns {
			_ = c.Close(ctx)
		}
	}()
	for range busyCallers {
		c, err := dial(ctx)
		if err != nil {
			return 0, err
		}
		conns = append(conns, c)
	}
	counts, errs := make([]int, busyCallers), make([]error, busyCallers)
	work := func(d time.Duration) error {
		var wg sync.WaitGroup
		end := time.Now().Add(d)
		for i, c := range conns {
			wg.Go(func() {
				for time.Now().Before(end) && errs[i] == nil {
					errs[i] = c.Exec(ctx, statement).Close()
					counts[i]++
				}
			})
		}
		wg.Wait()
		for _, err := range errs {
			if err != nil {
				return err
			}
		}
		return nil
	}
	// Links and views are set up before the measured phase.
	if err := work(settle); err != nil {
		return 0, err
	}
	clear(counts)
	total, err := micros(1, func() error { return work(r.time(statementPhase)) })
	n := 0
	for _, c := range counts {
		n += c
	}
	return total / float64(max(n, 1)), err
}
