package devtarget

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"siskinrouter/internal/promotion"
	"siskinrouter/internal/session"
)

// waitLimit bounds every wait of a test.
const waitLimit = 10 * time.Second

func newGroup(t *testing.T, base ServerConfig) *Group {
	t.Helper()
	g, err := NewGroup(Config{Servers: Servers("s", 3, base, "a", "b", "c")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func dsn(s *Server, app string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/ledger?sslmode=disable&application_name=%s",
		DefaultUser, DefaultPassword, s.Address(), app)
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

func connect(t *testing.T, s *Server, app string) *pgx.Conn {
	t.Helper()
	ctx := testContext(t)
	c, err := pgx.Connect(ctx, dsn(s, app))
	if err != nil {
		t.Fatalf("connect to %s: %v", s.Name(), err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// query runs a simple query and returns the first row of its last result.
func query(t *testing.T, c *pgx.Conn, sql string) []string {
	t.Helper()
	values, err := tryQuery(t, c, sql)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return values
}

func tryQuery(t *testing.T, c *pgx.Conn, sql string) ([]string, error) {
	t.Helper()
	results, err := c.PgConn().Exec(testContext(t), sql).ReadAll()
	if err != nil || len(results) == 0 || len(results[len(results)-1].Rows) == 0 {
		return nil, err
	}
	var values []string
	for _, v := range results[len(results)-1].Rows[0] {
		values = append(values, string(v))
	}
	return values, nil
}

func sqlState(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Code
	}
	return ""
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached within %v: %s", waitLimit, what)
}

func applied(s *Server, key, want string) func() bool {
	return func() bool {
		got, _ := s.Value(key)
		return got == want
	}
}

// Guards against a stand-in that clients of either protocol flavour cannot use.
func TestLedgerOverBothProtocols(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, ServerConfig{})
	c := connect(t, g.Primary(), "t")
	ctx := testContext(t)

	query(t, c, "PUT k one")
	is.Equal(query(t, c, "GET k"), []string{"one"})
	var got string
	is.NoErr(c.QueryRow(ctx, "ADD $1 $2", "n", "5").Scan(&got))
	is.NoErr(c.QueryRow(ctx, "ADD $1 $2", "n", "-2").Scan(&got))
	is.Equal(got, "3")
	is.NoErr(c.QueryRow(ctx, "SELECT 1").Scan(&got))
	is.Equal(got, "1")
	is.Equal(c.PgConn().ParameterStatus("group_position"), "1/4")

	for _, s := range g.Servers() {
		eventually(t, s.Name()+" applied the writes", applied(s, "n", "3"))
		is.Equal(s.Status().LogEnd, session.Position{Term: 1, Offset: 4})
	}
	_, err := tryQuery(t, connect(t, g.Servers()[1], "t"), "PUT k two")
	is.Equal(sqlState(err), "25006")
}

// Guards against dirty reads, lost rollbacks and interleaved writers of one key.
func TestTransactionsAreIsolated(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, ServerConfig{})
	a, b := connect(t, g.Primary(), "a"), connect(t, g.Primary(), "b")

	query(t, a, "BEGIN")
	query(t, a, "PUT k 1")
	is.Equal(a.PgConn().TxStatus(), byte('T'))
	is.Equal(query(t, a, "GET k"), []string{"1"})
	is.Equal(query(t, b, "GET k"), nil)
	_, err := tryQuery(t, b, "ADD k 1")
	is.Equal(sqlState(err), "55P03")
	query(t, a, "ROLLBACK")
	is.Equal(query(t, b, "ADD k 7"), []string{"7"})

	query(t, a, "BEGIN")
	_, err = tryQuery(t, a, "NONSENSE")
	is.Equal(sqlState(err), "42601")
	is.Equal(a.PgConn().TxStatus(), byte('E'))
	_, err = tryQuery(t, a, "GET k")
	is.Equal(sqlState(err), "25P02")
	query(t, a, "COMMIT")
	is.Equal(a.PgConn().TxStatus(), byte('I'))
}

// Guards against a group that loses confirmed writes or keeps the writes of a superseded
// primary after a promotion.
func TestPromotionDiscardsDivergentTail(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, ServerConfig{})
	s := g.Servers()
	old, next, third := connect(t, s[0], "c"), connect(t, s[1], "c"), connect(t, s[2], "c")

	query(t, old, "PUT k confirmed")
	is.Equal(query(t, next, "SELECT group_wait(1, 2, 5000)")[3], "1/2")
	s[0].IsolatePeers(true)
	query(t, old, "PUT k unconfirmed")
	is.Equal(query(t, next, "SELECT group_wait(1, 3, 50)")[3], "1/2")

	is.Equal(query(t, next, "SELECT group_fence(2, 'vm-1')")[0], "true")
	is.Equal(query(t, third, "SELECT group_fence(2, 'vm-2')")[0], "true")
	is.Equal(query(t, third, "SELECT group_fence(2, 'vm-1')")[0], "false")
	is.Equal(query(t, next, "SELECT group_promote(2, 'vm-2')")[0], "false")
	is.Equal(query(t, next, "SELECT group_promote(2, 'vm-1')")[0], "true")
	is.Equal(query(t, third, fmt.Sprintf("SELECT group_follow(2, '%s')", s[1].Address()))[0], "true")
	is.Equal(query(t, next, "GET k"), []string{"confirmed"})
	query(t, next, "PUT k newer")

	is.Equal(query(t, old, "SHOW group_status")[1], "primary")
	s[0].IsolatePeers(false)
	query(t, old, fmt.Sprintf("SELECT group_follow(2, '%s')", s[1].Address()))
	for _, each := range s {
		eventually(t, each.Name()+" applied the write of term 2", applied(each, "k", "newer"))
		is.Equal(each.Status().LogEnd, session.Position{Term: 2, Offset: 4})
	}
	is.Equal(s[0].Status().Role, promotion.Replica)
	is.Equal(g.Primary(), s[1])
}
