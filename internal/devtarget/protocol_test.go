package devtarget

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

func newServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	cfg.Name, cfg.Primary = "s", Self
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// rawConn is a logged-in connection on which a test sends single protocol messages.
func rawConn(t *testing.T, s *Server) *pgproto3.Frontend {
	t.Helper()
	c, err := pgconn.Connect(testContext(t), dsn(s, "raw"))
	if err != nil {
		t.Fatal(err)
	}
	hijacked, err := c.Hijack()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { hijacked.Conn.Close() })
	hijacked.Conn.SetDeadline(time.Now().Add(waitLimit))
	return hijacked.Frontend
}

// exchange sends messages and returns the answers up to ReadyForQuery in a short notation.
func exchange(t *testing.T, f *pgproto3.Frontend, messages ...pgproto3.FrontendMessage) string {
	t.Helper()
	for _, m := range messages {
		f.Send(m)
	}
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	var answers []string
	for {
		msg, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := msg.(type) {
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(answers, "Z"+string(m.TxStatus)), " ")
		case *pgproto3.ErrorResponse:
			answers = append(answers, "E"+m.Code)
		case *pgproto3.CommandComplete:
			answers = append(answers, "C"+strings.ReplaceAll(string(m.CommandTag), " ", "_"))
		case *pgproto3.DataRow:
			answers = append(answers, "D"+string(m.Values[0]))
		case *pgproto3.ParameterStatus:
			answers = append(answers, m.Name+"="+m.Value)
		case *pgproto3.ParameterDescription:
			answers = append(answers, fmt.Sprintf("t%d", len(m.ParameterOIDs)))
		default:
			answers = append(answers, strings.TrimPrefix(fmt.Sprintf("%T", msg), "*pgproto3."))
		}
	}
}

// Guards against deviations from the message flow of the protocol on which a proxy relies.
func TestMessageFlow(t *testing.T) {
	s := newServer(t, ServerConfig{})
	f := rawConn(t, s)
	bind := func(portal, statement string, values ...string) *pgproto3.Bind {
		b := &pgproto3.Bind{DestinationPortal: portal, PreparedStatement: statement}
		for _, v := range values {
			b.Parameters = append(b.Parameters, []byte(v))
		}
		return b
	}
	sync, exec := &pgproto3.Sync{}, &pgproto3.Execute{}
	for _, c := range []struct {
		name string
		send []pgproto3.FrontendMessage
		want string
	}{
		{"several statements form one transaction",
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "PUT a 1; PUT a 2; GET a"}},
			"CPUT_1 CPUT_1 RowDescription D2 CGET_1 group_position=1/2 ZI"},
		{"an error rolls back the statements before it",
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "PUT a 3; NONSENSE; PUT a 4"}}, "CPUT_1 E42601 ZI"},
		{"empty query", []pgproto3.FrontendMessage{&pgproto3.Query{String: " ; "}}, "EmptyQueryResponse ZI"},
		{"prepare", []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "add", Query: "ADD $1 $2"},
			&pgproto3.Describe{ObjectType: 'S', Name: "add"}, sync}, "ParseComplete t2 RowDescription ZI"},
		{"execute a prepared statement twice in one transaction",
			[]pgproto3.FrontendMessage{bind("", "add", "n", "1"), exec, bind("", "add", "n", "1"), exec, sync},
			"BindComplete D1 CADD_1 BindComplete D2 CADD_1 group_position=1/3 ZI"},
		{"messages after an error are skipped until Sync",
			[]pgproto3.FrontendMessage{bind("", "add", "a", "x"), exec, bind("", "add", "n", "1"), exec, sync},
			"BindComplete E22P02 ZI"},
		{"the connection is usable after the error",
			[]pgproto3.FrontendMessage{bind("", "add", "n", "1"), exec, sync}, "BindComplete D3 CADD_1 group_position=1/4 ZI"},
		{"a portal is fetched in parts",
			[]pgproto3.FrontendMessage{&pgproto3.Parse{Query: "ROWS 3"}, bind("p", ""),
				&pgproto3.Execute{Portal: "p", MaxRows: 2}, &pgproto3.Execute{Portal: "p", MaxRows: 2}, sync},
			"ParseComplete BindComplete D1 D2 PortalSuspended D3 CROWS_3 ZI"},
		{"unknown statement", []pgproto3.FrontendMessage{bind("", "missing"), sync}, "E26000 ZI"},
		{"unknown portal", []pgproto3.FrontendMessage{&pgproto3.Execute{Portal: "p"}, sync}, "E34000 ZI"},
		{"begin", []pgproto3.FrontendMessage{&pgproto3.Query{String: "BEGIN"}}, "CBEGIN ZT"},
		{"an error fails the explicit transaction",
			[]pgproto3.FrontendMessage{bind("", "add", "a", "x"), exec, sync}, "BindComplete E22P02 ZE"},
		{"a failed transaction ignores statements",
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "GET n"}}, "E25P02 ZE"},
		{"a failed transaction is rolled back by COMMIT",
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "COMMIT"}}, "CROLLBACK ZI"},
		{"closing a statement", []pgproto3.FrontendMessage{&pgproto3.Close{ObjectType: 'S', Name: "add"}, sync}, "CloseComplete ZI"},
		{"control statements need the simple protocol",
			[]pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SHOW group_status"}, sync}, "E0A000 ZI"},
		{"read-only transactions do not write",
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "BEGIN READ ONLY; PUT a 1"}}, "CBEGIN E25006 ZE"},
	} {
		if got := exchange(t, f, c.send...); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against a request that takes effect twice when it is repeated, also on another server
// after a promotion.
func TestRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, ServerConfig{})
	s := g.Servers()
	a, b := connect(t, s[0], "a"), connect(t, s[0], "b")

	query(t, a, "BEGIN")
	is.Equal(query(t, a, "SELECT group_request('it''s 1, (x)')")[0], "new")
	query(t, a, "ADD n 1")
	query(t, a, "SELECT group_outcome('it''s 1, (x)', 'ADD 1')")
	second := make(chan []string)
	go func() {
		row, _ := tryQuery(t, b, "SELECT group_request('it''s 1, (x)')")
		second <- row
	}()
	query(t, a, "COMMIT")
	is.Equal(<-second, []string{"done", "ADD 1", "1", "2"}) // waits for the first transaction
	_, err := tryQuery(t, b, "SELECT group_outcome('it''s 1, (x)', 'other')")
	is.Equal(sqlState(err), "23505")

	query(t, a, "BEGIN; SELECT group_request('rolled back'); SELECT group_outcome('rolled back', 't')")
	query(t, a, "ROLLBACK")
	is.Equal(query(t, b, "SELECT group_request('rolled back')")[0], "new")

	next, third := connect(t, s[1], "a"), connect(t, s[2], "a")
	query(t, next, "SELECT group_wait(1, 2, 5000)")
	query(t, next, "SELECT group_fence(2, 'd')")
	query(t, third, "SELECT group_fence(2, 'd')")
	query(t, next, "SELECT group_promote(2, 'd')")
	is.Equal(query(t, next, "SELECT group_request('it''s 1, (x)')"), []string{"done", "ADD 1", "1", "2"})
}

// Guards against a login with anything but the proxy's credentials and against a caller's key
// that reaches a target unnoticed.
func TestForeignCredentialsAreRefusedAndRecorded(t *testing.T) {
	is := is.New(t)
	s := newServer(t, ServerConfig{})
	s.Forbid("key-of-a-caller")
	for _, login := range []string{"workspace-1:key-of-a-caller", DefaultUser + ":wrong", "workspace-1:" + DefaultPassword} {
		_, err := pgx.Connect(testContext(t), fmt.Sprintf("postgres://%s@%s/ledger?sslmode=disable", login, s.Address()))
		is.Equal(sqlState(err), "28P01")
	}
	is.Equal(s.Leaks(), []string{"key-of-a-caller"})
	is.Equal(s.Logins()[0].Password, "key-of-a-caller")
	is.Equal(s.Logins()[0].Parameters["user"], "workspace-1")
	is.True(!s.Logins()[0].Accepted)

	c := connect(t, s, "t")
	query(t, c, "PUT note 'has key-of-a-caller inside'")
	is.Equal(len(s.Leaks()), 2)
	is.Equal(s.Counts()["refused 28P01"], int64(3))
}

// Guards against a stand-in with unlimited capacity, on which overload would not show.
func TestConnectionsAndSlotsAreLimited(t *testing.T) {
	is := is.New(t)
	const service = 50 * time.Millisecond
	s := newServer(t, ServerConfig{MaxConnections: 5, Slots: 2, ServiceTime: service, ConnectTime: 30 * time.Millisecond})
	start := time.Now()
	conns := []*pgx.Conn{connect(t, s, "0")}
	is.True(time.Since(start) >= 30*time.Millisecond)
	for i := range 4 {
		conns = append(conns, connect(t, s, fmt.Sprint(i+1)))
	}
	_, err := pgx.Connect(testContext(t), dsn(s, "sixth"))
	is.Equal(sqlState(err), "53300")
	is.Equal(s.Connections(), 5)

	start = time.Now()
	var wg sync.WaitGroup
	for _, c := range conns[:4] {
		wg.Go(func() { tryQuery(t, c, "SELECT 1") })
	}
	eventually(t, "statements are running", func() bool { return s.Status().Active == 4 })
	query(t, conns[4], "SHOW group_status")
	is.True(time.Since(start) < 2*service) // control statements need no slot
	wg.Wait()
	is.True(time.Since(start) >= 2*service) // four statements on two slots
}

// Guards against cancel requests that do not end a statement or end that of another client.
func TestCancel(t *testing.T) {
	is := is.New(t)
	s := newServer(t, ServerConfig{})
	a, b := connect(t, s, "a"), connect(t, s, "b")
	errs := make(chan error, 2)
	go func() { _, err := tryQuery(t, a, "SLEEP 60000"); errs <- err }()
	other := make(chan error, 1)
	go func() { _, err := tryQuery(t, b, "SLEEP 300"); other <- err }()
	eventually(t, "statements are running", func() bool { return s.Status().Active == 2 })
	is.NoErr(a.PgConn().CancelRequest(testContext(t)))
	is.Equal(sqlState(<-errs), "57014")
	is.NoErr(<-other)
	is.Equal(query(t, a, "SELECT 1"), []string{"1"})
}

// within returns the error of a query that has at most d to answer.
func within(c *pgx.Conn, d time.Duration, sql string) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	_, err := c.PgConn().Exec(ctx, sql).ReadAll()
	return err
}

// Guards against a frozen server that still commits, or that loses its connections.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	s := newServer(t, ServerConfig{})
	a, watcher := connect(t, s, "a"), connect(t, s, "w")
	query(t, a, "PUT k before")
	s.Freeze(true)
	done := make(chan error, 1)
	go func() { _, err := tryQuery(t, a, "PUT k after"); done <- err }()
	is.True(within(watcher, 100*time.Millisecond, "SHOW group_status") != nil)
	_, err := pgx.Connect(shortContext(t), dsn(s, "new"))
	is.True(err != nil)
	value, _ := s.Value("k")
	is.Equal(value, "before")
	s.Freeze(false)
	is.NoErr(<-done)
	value, _ = s.Value("k")
	is.Equal(value, "after")
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a client isolation that also cuts other clients off.
func TestIsolateClientAndDelayAnswers(t *testing.T) {
	is := is.New(t)
	s := newServer(t, ServerConfig{})
	a, b := connect(t, s, "a"), connect(t, s, "b")
	s.IsolateClient("a", true)
	is.True(within(a, 100*time.Millisecond, "SELECT 1") != nil)
	_, err := pgx.Connect(shortContext(t), dsn(s, "a"))
	is.True(err != nil)
	query(t, b, "SELECT 1")
	s.IsolateClient("a", false)
	query(t, connect(t, s, "a"), "SELECT 1")

	s.SetAnswerDelay(80 * time.Millisecond)
	start := time.Now()
	query(t, b, "PUT k late")
	is.True(time.Since(start) >= 80*time.Millisecond)
}

// Guards against a kill that leaves transactions or locks behind, or a restart that forgets the
// log or the promised term.
func TestKillAndRestart(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, ServerConfig{})
	s := g.Servers()[0]
	a := connect(t, s, "a")
	query(t, a, "PUT k kept")
	query(t, a, "BEGIN; PUT k lost")
	s.Kill()
	is.True(within(a, time.Second, "COMMIT") != nil)
	_, err := pgx.Connect(testContext(t), dsn(s, "a"))
	is.True(err != nil)
	is.NoErr(s.Restart())
	b := connect(t, s, "b")
	is.Equal(query(t, b, "GET k"), []string{"kept"})
	query(t, b, "PUT k again")
	is.Equal(s.Status().Promised, uint64(1))
	eventually(t, "replication resumes", applied(g.Servers()[2], "k", "again"))
	is.Equal(len(g.Servers()[2].History()), 2)
}

// Guards against an orderly shutdown that cuts a running statement off or gives no reason.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	s := newServer(t, ServerConfig{})
	idle, busy := rawConn(t, s), connect(t, s, "busy")
	done := make(chan error, 1)
	go func() { _, err := tryQuery(t, busy, "SLEEP 100"); done <- err }()
	eventually(t, "statement is running", func() bool { return s.Status().Active == 1 })
	var down sync.WaitGroup
	down.Go(s.Shutdown)
	is.NoErr(<-done)
	msg, err := idle.Receive()
	is.NoErr(err)
	is.Equal(msg.(*pgproto3.ErrorResponse).Code, "57P01")
	_, err = tryQuery(t, busy, "SELECT 1")
	is.True(err != nil)
	down.Wait()
	is.NoErr(s.Restart())
	query(t, connect(t, s, "a"), "SELECT 1")
}

// Guards against a lag that also delays the held position, and the reverse.
func TestHeldAndAppliedPositions(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, ServerConfig{})
	replica := g.Servers()[1]
	c, r := connect(t, g.Primary(), "c"), connect(t, replica, "c")
	eventually(t, "replica holds the start of the term", func() bool { return replica.Status().Applied.Offset == 1 })
	replica.SetLag(time.Hour)
	query(t, c, "PUT k 1")
	is.Equal(query(t, r, "SELECT group_wait(1, 2, 5000)")[3:5], []string{"1/2", "1/1"})
	is.Equal(query(t, r, "GET k"), nil)
	replica.SetLag(0)
	eventually(t, "entry is applied", applied(replica, "k", "1"))

	replica.SetReplicationDelay(100 * time.Millisecond)
	start := time.Now()
	query(t, c, "PUT k 2")
	query(t, r, "SELECT group_wait(1, 3, 5000)")
	is.True(time.Since(start) >= 100*time.Millisecond)
}

// Guards against a transaction that commits values read before the server lost and regained the
// primary role.
func TestTransactionDoesNotOutliveItsTerm(t *testing.T) {
	is := is.New(t)
	s := newServer(t, ServerConfig{})
	a, control := connect(t, s, "a"), connect(t, s, "d")
	query(t, a, "BEGIN; ADD n 1")
	query(t, control, "SELECT group_fence(2, 'd')")
	query(t, control, "SELECT group_promote(2, 'd')")
	_, err := tryQuery(t, a, "COMMIT")
	is.Equal(sqlState(err), "25006")
	is.Equal(query(t, a, "GET n"), nil)
}

// Guards against an admin address that does not reach the fault injection.
func TestAdmin(t *testing.T) {
	is := is.New(t)
	s := newServer(t, ServerConfig{AdminListen: "127.0.0.1:0"})
	post := func(path string) int {
		resp, err := http.Post("http://"+s.AdminAddress()+path, "", nil)
		is.NoErr(err)
		resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(post("/answer-delay?d=1ms"), http.StatusOK)
	is.Equal(post("/answer-delay?d=soon"), http.StatusBadRequest)
	is.Equal(post("/freeze?on=maybe"), http.StatusBadRequest)
	is.Equal(post("/freeze?on=true"), http.StatusOK)
	is.Equal(post("/freeze?on=false"), http.StatusOK)
	is.Equal(post("/kill"), http.StatusOK)
	is.Equal(post("/restart"), http.StatusOK)
	is.Equal(post("/isolate-client?name=x&on=true"), http.StatusOK)
	query(t, connect(t, s, "a"), "PUT k v")
	for path, want := range map[string]string{"/status": `"PUT":1`, "/history": `"Key":"k"`, "/logins": DefaultUser} {
		resp, err := http.Get("http://" + s.AdminAddress() + path)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		is.True(strings.Contains(string(body), want))
	}
}
