package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/link"
	"siskinrouter/internal/retry"
	"siskinrouter/internal/session"
	"siskinrouter/internal/target"
	"siskinrouter/internal/verdict"
)

const (
	testKey       = "caller-key-5d1f"
	testWorkspace = "shop"
)

// fixture is a database group, and proxies in front of it that share a fleet key.
type fixture struct {
	t       testing.TB
	targets *devtarget.Group
	start   time.Time
	dial    func(ctx context.Context, network, address string) (net.Conn, error) // nil for the usual one
}

func newFixture(t testing.TB, change func(*devtarget.ServerConfig)) *fixture {
	t.Helper()
	base := devtarget.ServerConfig{ConnectTime: -1}
	if change != nil {
		change(&base)
	}
	g, err := devtarget.NewGroup(devtarget.Config{Servers: devtarget.Servers("s", 3, base, "d1", "d2", "d3")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return &fixture{t: t, targets: g, start: time.Now()}
}

func (f *fixture) clock() time.Duration { return time.Since(f.start) }

// vm is one proxy of the fixture.
type vm struct {
	policy *fakePolicy
	group  *target.Group
	server *Server
	addr   string
}

func (f *fixture) vm(name string) *vm {
	f.t.Helper()
	cg := fleetconfig.Group{Name: "g1", Service: "ledger"}
	for _, s := range f.targets.Servers() {
		cg.Servers = append(cg.Servers, fleetconfig.Server{Name: s.Name(), Address: s.Address(), Domain: s.Domain(), Slots: 3, Connections: 20})
	}
	g := target.NewGroup(target.Config{
		Group:          cg,
		Credentials:    link.Credentials{User: devtarget.DefaultUser, Password: devtarget.DefaultPassword, Database: "ledger", Client: name, Dial: f.dial},
		LocalDomain:    "d2",
		ProbeInterval:  50 * time.Millisecond,
		AnswerTimeout:  400 * time.Millisecond,
		ConnectTimeout: time.Second,
		Links:          func(fleetconfig.Server) int { return 4 },
		Clock:          f.clock,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		g.Run(ctx)
		close(done)
	}()
	p := &fakePolicy{group: g, name: name}
	srv := NewServer(Config{
		Policy: p, Sealer: session.NewSealer([]byte("fleet")), Metrics: NewMetrics(metrics.NewRegistry()),
		Log: log.New(io.Discard), MaxConnections: 100, MaxMessage: 1 << 20, MaxBatch: 4 << 20,
		LoginTimeout: 2 * time.Second, RequestTimeout: 5 * time.Second, ConfirmTimeout: 2 * time.Second,
		WriteTimeout: 5 * time.Second, CloseGrace: 200 * time.Millisecond, Clock: f.clock,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	f.t.Cleanup(func() {
		_ = ln.Close()
		dctx, dcancel := context.WithTimeout(context.Background(), time.Second)
		srv.Drain(dctx, verdict.Errorf(verdict.NotRun, verdict.StateAdminShutdown, "test ends"))
		dcancel()
		cancel()
		<-done
	})
	return &vm{policy: p, group: g, server: srv, addr: ln.Addr().String()}
}

// connect opens a caller connection. params are startup parameters.
func (f *fixture) connect(v *vm, database string, params map[string]string) *pgx.Conn {
	f.t.Helper()
	conn, err := f.tryConnect(v, database, testKey, params)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (f *fixture) tryConnect(v *vm, database, key string, params map[string]string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", testWorkspace, key, v.addr, database))
	if err != nil {
		return nil, err
	}
	for k, val := range params {
		cfg.RuntimeParams[k] = val
	}
	return pgx.ConnectConfig(context.Background(), cfg)
}

// fakePolicy admits one workspace with one key.
type fakePolicy struct {
	group     *target.Group
	name      string
	withdrawn atomic.Bool
	refuse    atomic.Bool // refuse admission
	ids       atomic.Int64
}

func (p *fakePolicy) NeedsKey(string) (bool, error) { return true, nil }

func (p *fakePolicy) Login(database, workspace, key string) (*Access, error) {
	if key != testKey || workspace != testWorkspace || p.withdrawn.Load() {
		return nil, verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth, "key is not valid for workspace %q", workspace)
	}
	a := &Access{Workspace: fleetconfig.Workspace{Name: workspace, Weight: 1}, Database: database, Service: "ledger", Group: p.group}
	switch database {
	case "ledger":
	case "ledger.lookup":
		a.Route = fleetconfig.Route{Name: "lookup", ReadOnly: true, MaxAge: time.Second}
	default:
		return nil, verdict.Errorf(verdict.NotRun, verdict.StateInvalidCatalog, "unknown database %q", database)
	}
	return a, nil
}

func (p *fakePolicy) Renew(a *Access) (*Access, error) {
	if p.withdrawn.Load() {
		return nil, verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth, "key was withdrawn")
	}
	return a, nil
}

func (p *fakePolicy) Admit(context.Context, *Access) error {
	if p.refuse.Load() {
		return verdict.Errorf(verdict.NotRun, verdict.StateRateExceeded, "rate exceeded")
	}
	return nil
}

func (p *fakePolicy) NewID() string             { return fmt.Sprintf("%s-%d", p.name, p.ids.Add(1)) }
func (p *fakePolicy) Explain(string, ...string) {}
func (p *fakePolicy) Retry(f retry.Failure) (retry.Decision, retry.Reason) {
	return retry.Decide(f, retry.NewBudget(1))
}
func (p *fakePolicy) CountRequest() {}

func exec(t testing.TB, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(context.Background(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func get(t testing.TB, conn *pgx.Conn, key string) string {
	t.Helper()
	var v string
	if err := conn.QueryRow(context.Background(), "GET $1", key).Scan(&v); err != nil {
		t.Fatalf("GET %s: %v", key, err)
	}
	return v
}

// Guards against a stale read after a caller moved to another VM, with and without a token.
func TestReadYourWritesOnAnotherVM(t *testing.T) {
	f := newFixture(t, func(s *devtarget.ServerConfig) { s.Lag = 50 * time.Millisecond })
	a, b := f.vm("a"), f.vm("b")
	writer := f.connect(a, "ledger", nil)
	plain := f.connect(b, "ledger.lookup", nil)
	for i := range 20 {
		want := fmt.Sprint(i)
		exec(t, writer, "PUT $1 $2", "k", want)
		if got := get(t, plain, "k"); got != want {
			t.Fatalf("read %q without a token, want %q", got, want)
		}
		token := writer.PgConn().ParameterStatus("siskinrouter.session")
		roamed := f.connect(b, "ledger.lookup", map[string]string{"siskinrouter.session": token})
		if got := get(t, roamed, "k"); got != want {
			t.Fatalf("read %q with a token, want %q", got, want)
		}
	}
}

// Guards against transactions of different callers sharing a link, and against lost rollbacks.
func TestTransactionsStayApart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	v := f.vm("a")
	first, second := f.connect(v, "ledger", nil), f.connect(v, "ledger", nil)
	exec(t, first, "PUT a 0")
	ctx := context.Background()
	tx, err := first.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "PUT a 1")
	is.NoErr(err)
	is.Equal(get(t, second, "a"), "0")
	is.NoErr(tx.Rollback(ctx))
	is.Equal(get(t, second, "a"), "0")
	tx, err = first.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "PUT a 2")
	is.NoErr(err)
	is.NoErr(tx.Commit(ctx))
	is.Equal(get(t, second, "a"), "2")
}

// Guards against an acknowledgment by a primary that cannot reach a majority.
func TestIsolatedPrimaryAcknowledgesNothing(t *testing.T) {
	f := newFixture(t, nil)
	v := f.vm("a")
	conn := f.connect(v, "ledger", nil)
	exec(t, conn, "PUT a 1")
	f.targets.Primary().IsolatePeers(true)
	_, err := conn.Exec(context.Background(), "PUT a 2")
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Code != verdict.StateUnknownResolution {
		t.Fatalf("write on an isolated primary ended with %v, want SQLSTATE %s", err, verdict.StateUnknownResolution)
	}
	if !strings.Contains(pgErr.Detail, "verdict=may have run") {
		t.Fatalf("detail %q does not say that the write may have run", pgErr.Detail)
	}
}

// Guards against a request with an id that takes effect twice when the caller repeats it on another VM.
func TestRepeatedRequestIDRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	a, b := f.vm("a"), f.vm("b")
	for _, v := range []*vm{a, b, a} {
		conn := f.connect(v, "ledger", nil)
		exec(t, conn, "SET siskinrouter.request_id = 'swap-17'")
		tag, err := conn.Exec(context.Background(), "ADD n 1")
		is.NoErr(err)
		is.True(strings.HasPrefix(tag.String(), "ADD"))
	}
	is.Equal(get(t, f.connect(b, "ledger", nil), "n"), "1")
}

// Guards against a key that reaches a target in any message.
func TestTargetsNeverSeeKeys(t *testing.T) {
	f := newFixture(t, nil)
	for _, s := range f.targets.Servers() {
		s.Forbid(testKey)
	}
	v := f.vm("a")
	conn := f.connect(v, "ledger", nil)
	exec(t, conn, "PUT a 1")
	get(t, f.connect(v, "ledger.lookup", nil), "a")
	for _, s := range f.targets.Servers() {
		if leaks := s.Leaks(); len(leaks) > 0 {
			t.Fatalf("server %s received %v", s.Name(), leaks)
		}
	}
}

// Guards against connected callers that go on working after their key was withdrawn.
func TestWithdrawnKeyEndsConnectedCallers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	v := f.vm("a")
	idle, open := f.connect(v, "ledger", nil), f.connect(v, "ledger", nil)
	ctx := context.Background()
	exec(t, idle, "PUT a 1")
	_, err := open.Begin(ctx)
	is.NoErr(err)
	v.policy.withdrawn.Store(true)
	v.server.Sweep()
	time.Sleep(400 * time.Millisecond)
	for _, conn := range []*pgx.Conn{idle, open} {
		_, err := conn.Exec(ctx, "PUT a 2")
		is.True(err != nil)
	}
	_, err = f.tryConnect(v, "ledger", testKey, nil)
	is.True(err != nil)
	is.Equal(f.targets.Primary().Counts()["PUT"], int64(1))
}

// Guards against memory proportional to the result and against rows lost in large results.
func TestLargeResultIsComplete(t *testing.T) {
	f := newFixture(t, nil)
	conn := f.connect(f.vm("a"), "ledger.lookup", nil)
	rows, err := conn.Query(context.Background(), "ROWS $1", "20000")
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for rows.Next() {
		n++
	}
	if rows.Err() != nil || n != 20000 {
		t.Fatalf("got %d rows, %v", n, rows.Err())
	}
}

// Guards against statements that a drain interrupts.
func TestDrainLetsStatementsFinish(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	v := f.vm("a")
	conn := f.connect(v, "ledger", nil)
	result := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SLEEP 300")
		result <- err
	}()
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	cut := v.server.Drain(ctx, verdict.Errorf(verdict.NotRun, verdict.StateAdminShutdown, "VM is shutting down"))
	is.Equal(cut, 0)
	is.NoErr(<-result)
	_, err := f.tryConnect(v, "ledger", testKey, nil)
	is.True(err != nil)
}

// Guards against a failover that is visible to writers that can wait for the new primary.
func TestWriteWaitsForNewPrimary(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	conn := f.connect(f.vm("a"), "ledger", nil)
	exec(t, conn, "PUT a 1")
	old := f.targets.Primary()
	old.Kill()
	go func() {
		time.Sleep(300 * time.Millisecond)
		f.promote(2, old.Name())
	}()
	exec(t, conn, "PUT a 2")
	is.Equal(get(t, conn, "a"), "2")
}

// promote makes another server than skip the primary at term, with plain control statements.
func (f *fixture) promote(term uint64, skip string) {
	ctx := context.Background()
	var best *devtarget.Server
	for _, s := range f.targets.Servers() {
		if s.Name() == skip {
			continue
		}
		f.control(ctx, s, fmt.Sprintf("SELECT group_fence(%d, 'test')", term))
		if best == nil || s.Status().LogEnd.Compare(best.Status().LogEnd) > 0 {
			best = s
		}
	}
	f.control(ctx, best, fmt.Sprintf("SELECT group_promote(%d, 'test')", term))
	for _, s := range f.targets.Servers() {
		if s.Name() != skip && s != best {
			f.control(ctx, s, fmt.Sprintf("SELECT group_follow(%d, '%s')", term, best.Address()))
		}
	}
}

func (f *fixture) control(ctx context.Context, s *devtarget.Server, sql string) {
	conn, err := link.Connect(ctx, s.Address(), link.Credentials{
		User: devtarget.DefaultUser, Password: devtarget.DefaultPassword, Database: "ledger", Client: "test"})
	if err != nil {
		f.t.Error(err)
		return
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, sql).ReadAll(); err != nil {
		f.t.Error(err)
	}
}

// Guards against a write that ends without a known outcome, or runs twice, when an isolated primary that
// executed it is replaced.
func TestLostWriteRunsOnceOnNewPrimary(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	conn := f.connect(f.vm("a"), "ledger", nil)
	exec(t, conn, "ADD n 1")
	old := f.targets.Primary()
	old.IsolatePeers(true)
	go func() {
		time.Sleep(200 * time.Millisecond)
		f.promote(2, old.Name())
	}()
	exec(t, conn, "ADD n 1")
	is.Equal(get(t, conn, "n"), "2")
	is.Equal(old.Counts()["ADD"], int64(2)) // the isolated primary had executed the lost write
}

// Guards against reads that cannot be served by the primary while the replicas lag: with a wrong term they
// were repeated until their time limit.
func TestLaggingReplicasLeaveReadsToThePrimary(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(s *devtarget.ServerConfig) { s.Lag = 10 * time.Second })
	v := f.vm("a")
	writer, reader := f.connect(v, "ledger", nil), f.connect(v, "ledger.lookup", nil)
	for i := range 20 {
		want := fmt.Sprint(i)
		exec(t, writer, "PUT k "+want)
		is.Equal(get(t, reader, "k"), want)
	}
	is.Equal(v.server.cfg.Metrics.Retries.Count(), int64(0))
	is.Equal(f.targets.Primary().Counts()["GET"], int64(20))
}

// Guards against requests that stay with a former primary that is cut off until their time limit, although
// its successor serves.
func TestRequestsLeaveASilentFormerPrimary(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	v := f.vm("a")
	conns := []*pgx.Conn{f.connect(v, "ledger", nil), f.connect(v, "ledger", nil)}
	exec(t, conns[0], "PUT a 1")
	old := f.targets.Primary()
	old.IsolatePeers(true)
	old.IsolateClient("a", true)
	go func() {
		time.Sleep(600 * time.Millisecond)
		f.promote(2, old.Name())
	}()
	start := time.Now()
	for i, conn := range conns {
		exec(t, conn, fmt.Sprintf("SET siskinrouter.request_id = 'request-%d'", i))
		exec(t, conn, "ADD n 1")
	}
	is.True(time.Since(start) < 2*time.Second) // the goal of the failover gap
	is.Equal(get(t, conns[0], "n"), "2")
}

// Guards against the rest of a lost transaction being executed statement by statement.
func TestLostTransactionEndsTheSession(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	conn := f.connect(f.vm("a"), "ledger", nil)
	exec(t, conn, "PUT a 0")
	exec(t, conn, "BEGIN")
	exec(t, conn, "PUT a 1")
	old := f.targets.Primary()
	old.Kill()
	ctx := context.Background()
	_, err := conn.Exec(ctx, "PUT b 1")
	var pgErr *pgconn.PgError
	is.True(errors.As(err, &pgErr))
	is.Equal(pgErr.Severity, "FATAL")
	_, err = conn.Exec(ctx, "PUT c 1")
	is.True(err != nil)
	is.NoErr(old.Restart())
	is.Equal(old.Counts()["PUT"], int64(2))
}

// closingConn is closed by its owner just before a write, when it is told to.
type closingConn struct {
	net.Conn
	close *atomic.Bool
}

func (c closingConn) Write(b []byte) (int, error) {
	if strings.Contains(string(b), "PUT") && c.close.CompareAndSwap(true, false) {
		_ = c.Conn.Close()
	}
	return c.Conn.Write(b)
}

// Guards against a write whose outcome counts as unknown although none of it was sent: its link was closed,
// as links to a silent server are, between its choice and the first byte.
func TestWriteOnClosedLinkIsSentAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	var closeNext atomic.Bool
	f.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return closingConn{c, &closeNext}, err
	}
	conn := f.connect(f.vm("a"), "ledger", nil)
	_, err := conn.Exec(context.Background(), "PUT a 1")
	is.NoErr(err)
	closeNext.Store(true)
	_, err = conn.Exec(context.Background(), "PUT a 2")
	is.NoErr(err)
	is.True(!closeNext.Load())
}
