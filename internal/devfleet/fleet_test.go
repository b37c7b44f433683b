package devfleet

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// small is a deployment that starts quickly.
func small() Deployment {
	d := Queensland()
	d.Groups, d.VMs, d.Workspaces = 1, 4, d.Workspaces[:3]
	return d
}

func connect(t testing.TB, f *Fleet, vm *VM, workspace, route string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, f.URL(vm, workspace, route))
	if err != nil {
		t.Fatalf("connect to %s: %v", vm.Name, err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func startFleet(t testing.TB, d Deployment) *Fleet {
	t.Helper()
	f, err := Start(context.Background(), d, testWriter{t})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

type testWriter struct{ t testing.TB }

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Logf("%s", b)
	return len(b), nil
}

// Guards against a fleet in which a killed primary stops writes: they wait and then succeed on the new one.
func TestWritesGoOnAfterPrimaryDies(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, small())
	ctx := context.Background()
	conn := connect(t, f, f.VM(0), "w1", "")
	_, err := conn.Exec(ctx, "PUT a 1")
	is.NoErr(err)
	f.Groups[0].Primary().Kill()
	start := time.Now()
	_, err = conn.Exec(ctx, "PUT a 2")
	is.NoErr(err)
	gap := time.Since(start)
	t.Logf("failover gap %v", gap)
	is.True(gap < 2*time.Second)
	other := connect(t, f, f.VM(2), "w1", RouteLookup)
	var v string
	is.NoErr(other.QueryRow(ctx, "GET a").Scan(&v))
	is.Equal(v, "2")
}
