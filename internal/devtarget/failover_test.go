package devtarget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"siskinrouter/internal/promotion"
)

// runDriver drives the group with a promotion.Driver over PostgreSQL connections until ctx ends.
// It is the only VM, so its own suspicion suffices.
func runDriver(ctx context.Context, g *Group, outcomes chan<- promotion.Outcome) {
	cfg := promotion.Config{Group: "g", VM: "vm", Domain: "a", CoordinatorID: "vm/1", Rand: rand.New(rand.NewPCG(1, 1))}
	for _, s := range g.Servers() {
		cfg.Servers = append(cfg.Servers, promotion.Server{Name: s.Name(), Address: s.Address(), Domain: s.Domain()})
	}
	driver := promotion.NewCoordinator(cfg)
	inputs := make(chan promotion.Input, 1000)
	start := time.Now()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		var in promotion.Input = promotion.Tick{}
		select {
		case in = <-inputs:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, a := range driver.Step(time.Since(start), in) {
			switch a := a.(type) {
			case promotion.Probe:
				go func() { inputs <- probe(ctx, g.Server(a.Server), a) }()
			case promotion.ControlRequest:
				go func() { inputs <- send(ctx, g.Server(a.Server), a) }()
			case promotion.Publish:
				outcomes <- a.Outcome
			}
		}
	}
}

func probe(ctx context.Context, s *Server, p promotion.Probe) promotion.Input {
	row, err := control(ctx, s, "SHOW group_status")
	if err != nil {
		return promotion.ProbeFailed{Server: p.Server, Reason: err.Error()}
	}
	st, err := promotion.ParseStatus(row)
	if err != nil {
		return promotion.ProbeFailed{Server: p.Server, Reason: err.Error()}
	}
	return promotion.StatusResponse{Server: p.Server, Status: st}
}

func send(ctx context.Context, s *Server, m promotion.ControlRequest) promotion.Input {
	argument := m.CoordinatorID
	if m.Op == promotion.Follow {
		argument = m.Primary
	}
	row, err := control(ctx, s, fmt.Sprintf("SELECT group_%s(%d, '%s')", m.Op, m.Term, argument))
	if err != nil {
		return promotion.ControlFailed{Server: m.Server, Op: m.Op, Term: m.Term, Reason: err.Error()}
	}
	st, err := promotion.ParseStatus(row)
	if err != nil {
		return promotion.ControlFailed{Server: m.Server, Op: m.Op, Term: m.Term, Reason: err.Error()}
	}
	return promotion.ControlResponse{Server: m.Server, Op: m.Op, Term: m.Term, Granted: row[0] == "true", Status: st}
}

// control runs one control statement on a connection of its own.
func control(ctx context.Context, s *Server, sql string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	c, err := pgx.Connect(ctx, dsn(s, "driver"))
	if err != nil {
		return nil, err
	}
	defer c.Close(ctx)
	results, err := c.PgConn().Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var values []string
	for _, v := range results[0].Rows[0] {
		values = append(values, string(v))
	}
	return values, nil
}

// Guards against a driver and servers that understand the control statements differently: a
// group must start, survive the loss of its primary and take it back as a replica.
func TestDriverRunsGroup(t *testing.T) {
	is := is.New(t)
	g, err := NewGroup(Config{Servers: Servers("s", 3, ServerConfig{}, "a", "b", "c"), Unstarted: true})
	is.NoErr(err)
	t.Cleanup(g.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	outcomes := make(chan promotion.Outcome, 100)
	go runDriver(ctx, g, outcomes)

	first := <-outcomes
	query(t, connect(t, g.Server(first.Primary), "c"), "PUT k 1")
	for _, s := range g.Servers() {
		eventually(t, s.Name()+" applied the write", applied(s, "k", "1"))
	}
	old := g.Server(first.Primary)
	old.Freeze(true)
	second := <-outcomes
	is.True(second.Primary != first.Primary && second.Term > first.Term)
	query(t, connect(t, g.Server(second.Primary), "c"), "PUT k 2")
	old.Freeze(false)
	eventually(t, "the old primary follows", applied(old, "k", "2"))
	is.Equal(old.Status().Role, promotion.Replica)
	is.Equal(old.Status().Primary, second.Address)
}
