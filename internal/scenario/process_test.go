package scenario

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// process is a process that a script started.
type process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	<-p.done
}

// Ports of the processes lie below the range from which the system takes the ports of outgoing
// connections, so that none of those occupies a port between its choice and its use.
const (
	firstPort = 18000
	lastPort  = 31000
)

var ports struct {
	sync.Mutex
	used map[int]bool
}

// freeAddress returns an address on loopback that nobody listens on.
func freeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	if ports.used == nil {
		ports.used = make(map[int]bool)
	}
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if ports.used[port] {
			continue
		}
		address := "127.0.0.1:" + strconv.Itoa(port)
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		ln.Close()
		ports.used[port] = true
		return address
	}
}

// portsCmd sets variables to free addresses: ports VAR...
func portsCmd(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, freeAddress())
	}
}

// expandCmd replaces ${VAR} in files: expand FILE...
func expandCmd(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

func binary(ts *testscript.TestScript) (string, error) {
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(dir, "siskinrouter")
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return path, nil
		}
	}
	return "", fmt.Errorf("the binary is not in PATH")
}

// startOp starts the binary as a process: start NAME ARGS...
func startOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	path, err := binary(ts)
	if err != nil {
		return "", err
	}
	return "", w.start(path, args[0], args[1:]...)
}

func (w *world) start(path, name string, args ...string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.path = path
	if old := w.procs[name]; old != nil {
		select {
		case <-old.done:
		default:
			return fmt.Errorf("process %s is running", name)
		}
	}
	log := filepath.Join(w.dir, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(path, args...)
	cmd.Dir = w.dir
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = cmd.Wait()
	}()
	w.procs[name] = p
	return nil
}

func (w *world) process(name string) (*process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.procs[name]
	if p == nil {
		return nil, fmt.Errorf("no process %q", name)
	}
	return p, nil
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT, "term": syscall.SIGTERM,
}

// signalOp sends a signal to a process: signal kill|stop|cont|term NAME
func signalOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	p, err := w.process(args[1])
	if err != nil {
		return "", err
	}
	if err := p.cmd.Process.Signal(signals[args[0]]); err != nil {
		return "", err
	}
	if args[0] == "kill" {
		<-p.done
	}
	return "", nil
}

// exitedOp checks that a process has ended with an exit code: exited NAME CODE
func exitedOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	p, err := w.process(args[0])
	if err != nil {
		return "", err
	}
	select {
	case <-p.done:
	default:
		return "", fmt.Errorf("process %s runs", args[0])
	}
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		return "", fmt.Errorf("process %s ended with code %s", args[0], got)
	}
	return "", nil
}

// runOp runs a command of the binary to its end: run ARGS...
func runOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	path, err := binary(ts)
	if err != nil {
		return "", err
	}
	w.platform = ts.Getenv("PLATFORM")
	return w.run(path, args...)
}

func (w *world) run(path string, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Dir = w.dir
	if w.platform != "" {
		cmd.Env = append(os.Environ(), "SISKINROUTER_PLATFORM=http://"+w.platform)
	}
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, errOut.String())
	}
	return out.String(), nil
}

// raceOp runs two commands of the binary at once and prints how many succeeded: race ARGS... -- ARGS...
func raceOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	path, err := binary(ts)
	if err != nil {
		return "", err
	}
	w.platform = ts.Getenv("PLATFORM")
	i := slices.Index(args, "--")
	results := make(chan error, 2)
	for _, a := range [][]string{args[:i], args[i+1:]} {
		go func() {
			_, err := w.run(path, a...)
			results <- err
		}()
	}
	succeeded, refusals := 0, ""
	for range 2 {
		if err := <-results; err != nil {
			refusals += err.Error() + "\n"
		} else {
			succeeded++
		}
	}
	return fmt.Sprintf("%d succeeded\n%s", succeeded, refusals), nil
}

// poll repeats f until it succeeds.
func poll(f func() error) error {
	start := time.Now()
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Since(start) > conditionLimit {
			return fmt.Errorf("not within %v: %w", conditionLimit, err)
		}
		time.Sleep(conditionPause)
	}
}
