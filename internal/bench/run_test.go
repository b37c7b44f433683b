package bench

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/session"
	"siskinrouter/internal/verdict"
)

// startSmall starts a run of a small deployment without its load.
func startSmall(t *testing.T, scenarioName string, duration time.Duration) *run {
	t.Helper()
	c := Config{Scenario: scenarioName, Deployment: "queensland", Duration: duration, Repeat: 1, Seed: 1}
	r, err := newRun(c, 0)
	if err != nil {
		t.Fatal(err)
	}
	r.deployment.Groups, r.deployment.VMs = 1, 4
	r.deployment.Workspaces = r.deployment.Workspaces[2:5]
	r.recorder = newRecorder(len(r.deployment.Workspaces))
	if err := r.startFleet(context.Background(), c); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.fleet.Close)
	return r
}

// Guards against a run that misses a doubled, a lost, a falsely acknowledged or a wrongly refused
// write, a wrong read or a refusal inside the rate: each is fabricated in a real run.
func TestRunFindsFabricatedFaults(t *testing.T) {
	is := is.New(t)
	r := startSmall(t, "steady", 3*time.Second)
	is.NoErr(r.drive(context.Background()))
	clean, err := r.result()
	is.NoErr(err)
	is.Equal(clean.Correctness.Violations(), 0)
	is.True(clean.Answered > 0)
	is.True(clean.ReplicaShare > 0)

	var done string
	for _, s := range r.recorder.samples {
		if s.write && s.outcome == acked {
			done = s.key
		}
	}
	put(t, r.fleet, done) // a second commit of an acknowledged write
	put(t, r.fleet, "ran-anyway")
	r.recorder.add(sample{write: true, key: "ran-anyway", outcome: notRun})
	r.recorder.add(sample{write: true, key: "never-stored", outcome: acked})
	r.recorder.add(sample{write: true, key: done + "x", outcome: unknown, falseAck: true})
	r.recorder.add(sample{outcome: acked, wrong: true})
	calm := time.Hour // the bucket is full by then
	r.recorder.add(sample{outcome: notRun, state: verdict.StateRateExceeded, due: calm, sent: calm, done: calm})
	got, err := r.result()
	is.NoErr(err)
	is.Equal(got.Correctness.DoubledWrites, 1)
	is.Equal(got.Correctness.NotRunYetRan, 1)
	is.Equal(got.Correctness.LostWrites, 1)
	is.Equal(got.Correctness.FalselyAcked, 1)
	is.Equal(got.Correctness.WrongReads, 1)
	is.Equal(got.Inside.Count, clean.Inside.Count+1)
}

// put commits a write at the primary without the proxy.
func put(t *testing.T, f *devfleet.Fleet, key string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	url := "postgres://" + devtarget.DefaultUser + ":" + devtarget.DefaultPassword + "@" + f.Groups[0].Primary().Address() + "/x?sslmode=disable"
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "PUT "+key+" other"); err != nil {
		t.Fatal(err)
	}
}

// Guards against a majority check that accepts positions which no server holds.
func TestHeldByMajority(t *testing.T) {
	is := is.New(t)
	r := startSmall(t, "steady", 3*time.Second)
	at := r.fleet.Groups[0].Primary().Status().LogEnd
	token := func(offset uint64) string {
		return r.load.sealer.Seal(tokenAt(r.deployment.GroupName(0), at.Term, offset))
	}
	is.True(r.load.heldByMajority(0, token(1)))
	is.True(!r.load.heldByMajority(0, token(at.Offset+1000)))
	is.True(!r.load.heldByMajority(0, ""))
}

// Guards against a primary failure that leaves no gap in the report, and against plots and reports
// that cannot be written and read again.
func TestFailoverRunAndReport(t *testing.T) {
	is := is.New(t)
	r := startSmall(t, "primary-killed", 6*time.Second)
	is.NoErr(r.drive(context.Background()))
	res, err := r.result()
	is.NoErr(err)
	is.Equal(res.Correctness.Violations(), 0)
	is.True(len(res.Gaps) >= 1)
	is.True(res.Gaps[0].Millis > 0)
	is.True(!res.Gaps[0].Open)

	report := newReport(Config{Scenario: "primary-killed", Deployment: "queensland", Seed: 1, Duration: 6 * time.Second})
	report.Runs = []*Result{res}
	report.summarise()
	dir, err := report.Write(t.TempDir())
	is.NoErr(err)
	for _, name := range []string{"success.png", "p99.png", "gaps.png"} {
		info, err := os.Stat(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(info.Size() > 0)
	}
	again, err := Load(dir)
	is.NoErr(err)
	is.Equal(again.Gaps, report.Gaps)
	is.Equal(again.Runs[0].Correctness, res.Correctness)
}

// Guards against a run whose configuration is not what was asked for.
func TestConfigIsChecked(t *testing.T) {
	is := is.New(t)
	valid := Config{Scenario: "steady", Deployment: "tasmania", Duration: DefaultDuration, Repeat: 1}
	is.NoErr(valid.check())
	for _, change := range []func(*Config){
		func(c *Config) { c.Scenario = "calm" },
		func(c *Config) { c.Duration = time.Second },
		func(c *Config) { c.Repeat = 0 },
	} {
		c := valid
		change(&c)
		is.True(c.check() != nil)
	}
	_, err := Config{Deployment: "victoria"}.deployment()
	is.True(err != nil)
	_, err = Config{Deployment: "tasmania", Policy: "lucky"}.deployment()
	is.True(err != nil)
}

func tokenAt(group string, term, offset uint64) session.Token {
	return session.Token{Group: group, Position: session.Position{Term: term, Offset: offset}}
}
