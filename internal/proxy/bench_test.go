package proxy

import (
	"context"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"

	"siskinrouter/internal/devtarget"
)

// BenchmarkRead compares a read over a direct connection with reads through the proxy.
func BenchmarkRead(b *testing.B) {
	f := newFixture(b, nil)
	v := f.vm("a")
	exec(b, f.connect(v, "ledger", nil), "PUT k 1")
	direct := fmt.Sprintf("postgres://%s:%s@%s/ledger?sslmode=disable", devtarget.DefaultUser, devtarget.DefaultPassword,
		f.targets.Servers()[1].Address())
	conn, err := pgx.Connect(context.Background(), direct)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close(context.Background())
	b.Run("direct", func(b *testing.B) { readLoop(b, conn) })
	token := map[string]string{"siskinrouter.session": "new"}
	b.Run("proxy-token", func(b *testing.B) { readLoop(b, f.connect(v, "ledger.lookup", token)) })
	b.Run("proxy-floor", func(b *testing.B) { readLoop(b, f.connect(v, "ledger.lookup", nil)) })
	b.Run("proxy-primary", func(b *testing.B) { readLoop(b, f.connect(v, "ledger", nil)) })
	b.Run("proxy-primary-token", func(b *testing.B) { readLoop(b, f.connect(v, "ledger", token)) })
}

func readLoop(b *testing.B, conn *pgx.Conn) {
	b.ReportAllocs()
	for b.Loop() {
		get(b, conn, "k")
	}
}

// BenchmarkFloor measures one query of the position that covers all acknowledged writes.
func BenchmarkFloor(b *testing.B) {
	f := newFixture(b, nil)
	v := f.vm("a")
	exec(b, f.connect(v, "ledger", nil), "PUT k 1")
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := v.group.Floor(ctx, v.group.Demand()); err != nil {
			b.Fatal(err)
		}
	}
}
