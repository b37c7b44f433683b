package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devtarget"
)

// latencyScenario compares a read through a proxy with a direct one.
const latencyScenario = "latency"

const (
	latencyBlock = 50      // reads of one kind before the next kind
	latencyRate  = 500_000 // requests per second; the limit shall not delay reads
	latencyKey   = "k"
)

// path is one way to read.
type path struct {
	name string
	conn *pgx.Conn
	hist *hdrhistogram.Histogram // ns
}

// latencyDeployment has no distance between its parts and statements that take no time.
func latencyDeployment(d devfleet.Deployment) devfleet.Deployment {
	d.OneWay, d.ServiceTime, d.Groups, d.VMs = 0, 0, 1, len(d.Domains)
	d.Workspaces = []devfleet.Workspace{{Name: "w1", Rate: latencyRate, Burst: latencyRate, Weight: 1}}
	return d
}

// runLatency measures one repeat and adds its figures to the report.
func runLatency(ctx context.Context, c Config, report *Report) error {
	d, err := c.deployment()
	if err != nil {
		return err
	}
	f, err := devfleet.Start(ctx, latencyDeployment(d), c.Log)
	if err != nil {
		return err
	}
	defer f.Close()
	paths, err := latencyPaths(ctx, f)
	if err != nil {
		return err
	}
	defer func() {
		for _, p := range paths {
			_ = p.conn.Close(context.Background())
		}
	}()
	for start := time.Now(); time.Since(start) < c.Duration; {
		for _, p := range paths {
			if err := p.block(ctx); err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
		}
	}
	report.addLatency(paths)
	return nil
}

func latencyPaths(ctx context.Context, f *devfleet.Fleet) ([]*path, error) {
	direct := fmt.Sprintf("postgres://%s:%s@%s/x?sslmode=disable",
		devtarget.DefaultUser, devtarget.DefaultPassword, f.Groups[0].Servers()[1].Address())
	proxied := f.URL(f.VM(1), "w1", devfleet.RouteLookup)
	writer, err := pgx.Connect(ctx, f.URL(f.VM(1), "w1", devfleet.RouteWrite))
	if err != nil {
		return nil, err
	}
	defer writer.Close(ctx)
	if _, err := writer.Exec(ctx, "PUT "+latencyKey+" v"); err != nil {
		return nil, err
	}
	var paths []*path
	for _, way := range []struct{ name, url, token string }{
		{"direct", direct, ""},
		{"tokens", proxied, writer.PgConn().ParameterStatus(sessionParameter)},
		{"no tokens", proxied, ""},
	} {
		config, err := pgx.ParseConfig(way.url)
		if err != nil {
			return nil, err
		}
		if way.token != "" {
			config.RuntimeParams[sessionParameter] = way.token
		}
		conn, err := pgx.ConnectConfig(ctx, config)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", way.name, err)
		}
		paths = append(paths, &path{
			name: way.name, conn: conn, hist: hdrhistogram.New(1, int64(time.Minute), histogramDigits),
		})
	}
	return paths, nil
}

// block reads latencyBlock times.
func (p *path) block(ctx context.Context) error {
	for range latencyBlock {
		start := time.Now()
		var value string
		if err := p.conn.QueryRow(ctx, "GET $1", latencyKey).Scan(&value); err != nil {
			return err
		}
		if err := p.hist.RecordValue(int64(time.Since(start))); err != nil {
			return err
		}
	}
	return nil
}

// addLatency adds the figures of one repeat in microseconds. The first path is the direct one.
func (r *Report) addLatency(paths []*path) {
	if r.Measures == nil {
		r.Measures = make(map[string][]float64)
	}
	micros := func(p *path, q float64) float64 { return float64(p.hist.ValueAtQuantile(q)) / 1e3 }
	for _, q := range []float64{50, 99} {
		for i, p := range paths {
			name := fmt.Sprintf("p%.0f us, %s", q, p.name)
			r.Measures[name] = append(r.Measures[name], micros(p, q))
			if i > 0 {
				added := fmt.Sprintf("added p%.0f us, %s", q, p.name)
				r.Measures[added] = append(r.Measures[added], micros(p, q)-micros(paths[0], q))
			}
		}
	}
}
