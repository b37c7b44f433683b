package scenario

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rogpeppe/go-internal/testscript"

	"siskinrouter/internal/cli"
)

const (
	// conditionLimit bounds the wait for a condition of a script. The goals say "within seconds".
	conditionLimit = 20 * time.Second
	conditionPause = 50 * time.Millisecond
	callTimeout    = 15 * time.Second
	// scriptsAtOnce bounds the fleets that run side by side, because each is about ten processes.
	scriptsAtOnce = 4
)

var scriptSlots = make(chan struct{}, scriptsAtOnce)

// TestMain makes the binary available to scripts as a process of its own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"siskinrouter": siskinrouter})
}

// siskinrouter is the main function of the binary.
func siskinrouter() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// world is what one script has started.
type world struct {
	dir  string
	path string // of the binary

	platform string // address for operators' commands

	mu     sync.Mutex
	procs  map[string]*process
	conns  map[string]*pgx.Conn
	loads  map[string]*load
	floods map[string]*flood
	remote map[string]chan outcome
	fleet  *scriptFleet
}

// op is a script command that can fail, which "!" expects, and that can be repeated by "eventually".
type op func(w *world, ts *testscript.TestScript, args []string) (string, error)

var ops = map[string]op{
	"fleet":      startFleetOp,
	"adopt":      adoptOp,
	"start":      startOp,
	"startvm":    startVMOp,
	"signal":     signalOp,
	"exited":     exitedOp,
	"connect":    connectOp,
	"close":      closeOp,
	"sql":        sqlOp,
	"sqlstart":   sqlStartOp,
	"sqlwait":    sqlWaitOp,
	"token":      tokenOp,
	"fault":      faultOp,
	"status":     targetStatusOp,
	"role":       roleOp,
	"quiet":      quietOp,
	"counted":    countedOp,
	"written":    writtenOp,
	"platform":   platformOp,
	"load":       loadOp,
	"unload":     unloadOp,
	"run":        runOp,
	"race":       raceOp,
	"flood":      floodOp,
	"admitted":   admittedOp,
	"raw":        rawOp,
	"refusal-id": refusalIDOp,
	"forbid":     forbidOp,
	"leaks":      leaksOp,
	"key":        keyOp,
}

// Guards the guarantees of the design page against failures of whole processes.
func TestScripts(t *testing.T) {
	t.Parallel()
	cmds := map[string]func(*testscript.TestScript, bool, []string){
		"ports":      portsCmd,
		"expand":     expandCmd,
		"eventually": eventuallyCmd,
		"always":     alwaysCmd,
		"pause":      pauseCmd,
	}
	for name, f := range ops {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			out, err := f(worldOf(ts), ts, args)
			report(ts, out, err)
			if err := expect(neg, err); err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", Cmds: cmds, RequireExplicitExec: true, RequireUniqueNames: true,
		Setup: setup,
	})
}

type worldKey struct{}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

func setup(env *testscript.Env) error {
	scriptSlots <- struct{}{}
	w := &world{
		dir: env.WorkDir, procs: make(map[string]*process), conns: make(map[string]*pgx.Conn),
		loads: make(map[string]*load), floods: make(map[string]*flood), remote: make(map[string]chan outcome),
	}
	env.Values[worldKey{}] = w
	env.Defer(func() {
		w.stop(env.T())
		<-scriptSlots
	})
	return nil
}

// stop ends everything and reports data races that a process found.
func (w *world) stop(t testscript.T) {
	for _, l := range w.loads {
		l.stop()
	}
	for _, f := range w.floods {
		f.stop()
	}
	for _, c := range w.conns {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = c.Close(ctx)
		cancel()
	}
	for _, name := range slices.Sorted(maps.Keys(w.procs)) {
		p := w.procs[name]
		p.kill()
		text, _ := os.ReadFile(p.log)
		if strings.Contains(string(text), "DATA RACE") || strings.Contains(string(text), "panic:") {
			t.Fatal(fmt.Sprintf("process %s failed:\n%s", name, text))
		}
		if f, ok := t.(interface{ Failed() bool }); t.Verbose() || ok && f.Failed() {
			t.Log(fmt.Sprintf("process %s:\n%s", name, lastBytes(text)))
		}
	}
}

// shownBytes of the output of each process are shown when a script fails.
const shownBytes = 20 << 10

func lastBytes(text []byte) []byte { return text[max(0, len(text)-shownBytes):] }

// report makes the result of an op available to the commands stdout and stderr.
func report(ts *testscript.TestScript, out string, err error) {
	fmt.Fprint(ts.Stdout(), out)
	if err != nil {
		fmt.Fprintln(ts.Stderr(), err)
	}
}

func expect(neg bool, err error) error {
	if neg && err == nil {
		return fmt.Errorf("unexpected success")
	}
	if !neg {
		return err
	}
	return nil
}

// parseOp splits the arguments of a command that repeats an op: [!] OP ARGS... [~ TEXT]. TEXT must be
// part of the result or of the error.
func parseOp(ts *testscript.TestScript, args []string) (run func() (string, error)) {
	neg := len(args) > 0 && args[0] == "!"
	if neg {
		args = args[1:]
	}
	want := ""
	if i := slices.Index(args, "~"); i >= 0 {
		want = strings.Join(args[i+1:], " ")
		args = args[:i]
	}
	if len(args) == 0 || ops[args[0]] == nil {
		ts.Fatalf("no such operation: %v", args)
	}
	f, w := ops[args[0]], worldOf(ts)
	return func() (string, error) {
		out, err := f(w, ts, args[1:])
		text := out
		if err != nil {
			text += err.Error()
		}
		if failed := expect(neg, err); failed != nil {
			return out, failed
		}
		if !strings.Contains(text, want) {
			return out, fmt.Errorf("%q is not in %q", want, text)
		}
		return out, nil
	}
}

// eventuallyCmd repeats an op until it ends as expected.
func eventuallyCmd(ts *testscript.TestScript, _ bool, args []string) {
	run := parseOp(ts, args)
	start := time.Now()
	for {
		out, err := run()
		if err == nil {
			ts.Logf("observed after %d ms", time.Since(start).Milliseconds())
			report(ts, out, nil)
			return
		}
		if time.Since(start) > conditionLimit {
			ts.Fatalf("not observed within %v: %v: %v", conditionLimit, args, err)
		}
		time.Sleep(conditionPause)
	}
}

// alwaysCmd repeats an op for the given time and fails the script as soon as the op does not end as
// expected: always DURATION [!] OP ARGS... [~ TEXT].
func alwaysCmd(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	run := parseOp(ts, args[1:])
	for start := time.Now(); time.Since(start) < d; time.Sleep(conditionPause) {
		if _, err := run(); err != nil {
			ts.Fatalf("%v after %v: %v", args, time.Since(start), err)
		}
	}
}

// pauseCmd waits for a time that belongs to the scenario itself, such as the length of an outage.
func pauseCmd(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// outcome is the result of an op that runs in the background.
type outcome struct {
	out string
	err error
}
