// Command check restarts a VM with SIGTERM, again and again, while callers open sessions of one read each, and checks that
// every read that was passed on to a server is answered.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"siskinrouter/platform/standin"
)

const (
	service = "ledger"
	hostDB  = "marks"
	// serviceTime is about the work of a statement on the read_your_writes route of Bordados Albornoz (9 ms).
	serviceTime = 9 * time.Millisecond
	// sessionGap is the mean time between two sessions at a VM, 200 a second. Callers come independently of each other, so the
	// gaps are exponentially distributed. A lower rate breaks the rule as well, but in fewer of the restarts.
	sessionGap = 5 * time.Millisecond
	// storeTime is the time of an answer of the platform's store (4 ms) and of the way to another zone and back.
	storeTime = 5 * time.Millisecond
	// restartsFor is the time in which VMs are restarted in turn.
	restartsFor = 85 * time.Second
	// Bounds of the pages.
	grace     = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	limit     = 110 * time.Second
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	dir, err := os.MkdirTemp("", "case13-")
	if err != nil {
		fmt.Println(err)
		os.Exit(failed)
	}
	code := failed
	if c, err := newCase(dir); err != nil {
		fmt.Println(err)
	} else {
		time.AfterFunc(limit, func() {
			c.note("time is up")
			c.stop()
			os.Exit(failed)
		})
		if code, err = c.run(); err != nil {
			c.note("could not run: %v", err)
			code = failed
		}
		c.stop()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// vm is a VM and its process.
type vm struct {
	name, settings, caller, ready string
	mu                            sync.Mutex
	cmd                           *exec.Cmd
	ended                         chan struct{}
	inRotation                    atomic.Bool
	termAt                        atomic.Int64 // time of the last SIGTERM, in nanoseconds since 1970; 0 if there was none
}

type testCase struct {
	dir    string
	store  *standin.Store
	web    *httptest.Server
	group  *standin.Group
	vms    []*vm
	record *os.File
	mu     sync.Mutex
	ids    atomic.Int64
	ok     atomic.Int64
	others atomic.Int64 // answered with an error
	lost   atomic.Int64
	done   chan struct{}
	wait   sync.WaitGroup
}

func newCase(dir string) (*testCase, error) {
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, fmt.Errorf("RECORD has to name the file for the record: %w", err)
	}
	c := &testCase{dir: dir, store: standin.NewStore(), record: record, done: make(chan struct{})}
	c.web = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeTime)
		c.store.ServeHTTP(w, r)
	}))
	c.group = standin.NewGroup(c.store, service)
	c.group.Slots = 5
	c.group.ServiceTime = serviceTime
	c.store.OnPromote(func(_, id string) bool { return c.group.Promote(id) })
	c.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-marks", "host": hostDB, "type": "read_your_writes", "timeout_ms": 1000,
			"target_latency_ms": 400, "priority": 2, "backend": service, "max_staleness_ms": 2500, "public": false}},
		"backends": []any{map[string]any{"name": service, "max_conns": 54, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
		"tenants":  []any{map[string]any{"name": "a", "api_keys": []string{"key-a"}, "rate_per_s": 1000, "burst": 1000}},
	})
	for i, zone := range []string{"bne", "tsv", "cns"} {
		if _, err := c.group.Add(fmt.Sprintf("i-%d", i), zone); err != nil {
			return nil, err
		}
	}
	for i, zone := range []string{"bne", "tsv", "bne", "tsv", "cns"} {
		v := &vm{name: fmt.Sprintf("edge-%s-%d", zone, i), caller: standin.FreeAddress(), ready: standin.FreeAddress()}
		v.settings = filepath.Join(dir, v.name+".conf")
		admin := standin.FreeAddress()
		ip, _, err := net.SplitHostPort(admin)
		if err != nil {
			return nil, err
		}
		store := strings.TrimPrefix(c.web.URL, "http://")
		text := fmt.Sprintf("node_name=%s\nzone=%s\nregion=qld\nip=%s\nlisten_addrs.frontend=%s\nlisten_addrs.readiness=%s\n"+
			"listen_addrs.admin=%s\nbootstrap=false\nlimits.cpu_quota=0.4\nlimits.cores=1\nlimits.memory_mb=284\n"+
			"limits.max_fds=4200\nbounds.grace_s=6\nbounds.config_apply_ms=3000\nplatform.address=%s\ncloud_api.address=%s\n",
			v.name, zone, ip, v.caller, v.ready, admin, store, store)
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		c.vms = append(c.vms, v)
	}
	return c, nil
}

func (c *testCase) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (c *testCase) start(v *vm) error {
	log, err := os.OpenFile(filepath.Join(c.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/siskinrouter", "edge")
	cmd.Env = append(os.Environ(), "SISKINROUTER_NODE_FILE="+v.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.ended = cmd, ended
	return nil
}

// stop ends all processes that the case has started.
func (c *testCase) stop() {
	for _, v := range c.vms {
		v.mu.Lock()
		cmd, ended := v.cmd, v.ended
		v.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-ended
		}
	}
}

// probe keeps a VM in rotation like the platform: it asks once a second, two misses take it out, and a 200 takes it in.
func (c *testCase) probe(v *vm) {
	defer c.wait.Done()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for c.running() {
		resp, err := client.Get("http://" + v.ready + "/-/readyz")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
			v.inRotation.Store(true)
		} else if misses++; misses >= 2 {
			v.inRotation.Store(false)
		}
		time.Sleep(time.Second)
	}
}

func (c *testCase) running() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// call opens a session for one read.
func (c *testCase) call(v *vm) {
	defer c.wait.Done()
	conn, err := net.DialTimeout("tcp", v.caller, time.Second)
	if err != nil {
		return // no connection, so no request
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	r := bufio.NewReader(conn)
	if _, err := fmt.Fprintf(conn, "STARTUP %s key-a\r\n", hostDB); err != nil {
		return
	}
	if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		return
	}
	id := fmt.Sprintf("q%d", c.ids.Add(1))
	if _, err := fmt.Fprintf(conn, "QUERY %s READ item\r\n", id); err != nil {
		return
	}
	sent := time.Now()
	outcome := ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			c.unanswered(v, id, sent, err)
			return
		}
		switch f := strings.Fields(line); f[0] {
		case "COMPLETE":
			outcome = "ok"
		case "ERROR":
			outcome = f[1]
		case "READY":
			if outcome == "ok" {
				c.ok.Add(1)
			} else {
				c.others.Add(1)
				c.note("%s %s: answered %s", v.name, id, outcome)
			}
			return
		}
	}
}

// unanswered judges a request whose connection has ended without a complete answer.
func (c *testCase) unanswered(v *vm, id string, sent time.Time, err error) {
	waited := time.Since(sent)
	term := time.Unix(0, v.termAt.Load())
	var timeout net.Error
	planned := v.termAt.Load() != 0 && time.Since(term) <= grace+time.Second && !(errors.As(err, &timeout) && timeout.Timeout())
	ran := c.group.Ran(id)
	c.note("%s %s: sent %s after SIGTERM, connection ended %s later without an answer (%v); a server has run it: %t",
		v.name, id, sent.Sub(term).Round(time.Millisecond), waited.Round(time.Millisecond), err, ran)
	if planned && (ran || waited > lossSlack) {
		c.lost.Add(1)
	}
}

// restart stops a VM with SIGTERM and starts it again, and waits until it is in rotation.
func (c *testCase) restart(v *vm) error {
	c.note("SIGTERM to %s", v.name)
	v.termAt.Store(time.Now().UnixNano())
	v.mu.Lock()
	cmd, ended := v.cmd, v.ended
	v.mu.Unlock()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-ended:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		<-ended
	}
	c.note("%s has ended after %s", v.name, time.Since(time.Unix(0, v.termAt.Load())).Round(time.Millisecond))
	time.Sleep(300 * time.Millisecond)
	if err := c.start(v); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	for began := time.Now(); !v.inRotation.Load(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			return fmt.Errorf("%s is not ready after its restart", v.name)
		}
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

func (c *testCase) run() (int, error) {
	trouble := os.Getenv("TROUBLE") != "0"
	for _, v := range c.vms {
		if err := c.start(v); err != nil {
			return failed, err
		}
		c.wait.Add(1)
		go c.probe(v)
	}
	// The service is handed over to the failure domain of its primary within some seconds.
	time.Sleep(9 * time.Second)
	targets := []*vm{c.vms[1], c.vms[3]}
	for _, v := range c.vms {
		if !v.inRotation.Load() {
			return failed, fmt.Errorf("%s is not ready", v.name)
		}
	}
	for _, v := range targets {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			for c.running() {
				if v.inRotation.Load() {
					c.wait.Add(1)
					go c.call(v)
				}
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(sessionGap)))
			}
		}()
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(restartsFor)
	for i := 0; time.Now().Before(end); i++ {
		if !trouble {
			time.Sleep(time.Second)
			continue
		}
		if err := c.restart(targets[i%len(targets)]); err != nil {
			return failed, err
		}
	}
	close(c.done)
	c.wait.Wait()
	c.note("answered with success: %d, with an error: %d, lost: %d", c.ok.Load(), c.others.Load(), c.lost.Load())
	switch {
	case c.ok.Load() == 0:
		return failed, errors.New("no read was served")
	case c.lost.Load() > 0:
		return broken, nil
	}
	return held, nil
}
