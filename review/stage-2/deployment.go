// Command stage-2 plays the scripts of the cases 6 to 10: it starts the program of the deploy file as separate processes on
// loopback addresses, with stand-ins of the platform, the servers and the clients.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinrouter/platform/standin"
)

// Values of the site kingsbury-fold.
const (
	service       = "fold-ledger-1"
	workspace     = "stockists"
	key           = "k1stockists"
	latestDB      = "orders"
	boundedDB     = "cards"
	ownDB         = "marks"
	slots         = 5
	replicaLag    = 60 * time.Millisecond
	grace         = 6 * time.Second
	lossSlack     = 200 * time.Millisecond
	startTimeout  = 30 * time.Second
	settleTime    = 3 * time.Second
	maxConns      = 54
	txIdleMS      = 3000
	boundedMS     = 3000
	latestMS      = 1000
	latestAimMS   = 200
	boundedAimMS  = 800
	ownAimMS      = 400
	staleBounded  = 1500
	staleOwn      = 2500
	ratePerSecond = 10000
)

// zones of the VMs; the first three have servers.
var zones = []string{"hobart", "launceston", "devonport", "huon"}

// vmsIn is the number of VMs in each zone.
var vmsIn = []int{3, 2, 2, 2}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small fleet with its stand-ins.
type deployment struct {
	record  *record
	root    string // of the repository
	dir     string // temporary folder
	store   *standin.Store
	storeAt string
	group   *standin.Group
	servers []*watchedServer
	vms     []*vm
}

// processes holds the processes that this program has started and that may still run.
var processes struct {
	sync.Mutex
	running map[*os.Process]struct{}
}

// endProcesses ends all processes that this program has started.
func endProcesses() {
	processes.Lock()
	defer processes.Unlock()
	for p := range processes.running {
		_ = p.Kill()
	}
}

// vm is one process of the program.
type vm struct {
	name, zone, caller, ready, settings string
	log                                 *os.File
	cmd                                 *exec.Cmd
	ended                               chan struct{}
}

// watchedServer is a server behind a relay that records the statements that reach it.
type watchedServer struct {
	*standin.Server
	ln      net.Listener
	mu      sync.Mutex
	reached map[string]time.Time // by the id of the statement
	cut     chan struct{}        // closed at the end of a cut; nil if there is none
}

// hold stops what passes between the server and the VMs, both ways, until the returned function is called.
func (w *watchedServer) hold() (release func()) {
	ended := make(chan struct{})
	w.mu.Lock()
	w.cut = ended
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		w.cut = nil
		w.mu.Unlock()
		close(ended)
	}
}

// pass waits for the end of a cut.
func (w *watchedServer) pass() {
	w.mu.Lock()
	cut := w.cut
	w.mu.Unlock()
	if cut != nil {
		<-cut
	}
}

// newDeployment starts the stand-ins. The first of the given zones has the primary.
func newDeployment(r *record, root string, serviceTime time.Duration, serverZones ...string) (*deployment, error) {
	if serverZones == nil {
		serverZones = zones[:3]
	}
	dir, err := os.MkdirTemp("", "stage-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, root: root, dir: dir, store: standin.NewStore()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAt = ln.Addr().String()
	go func() { _ = http.Serve(ln, d.store) }()
	d.group = standin.NewGroup(d.store, service)
	d.group.Slots, d.group.ServiceTime, d.group.Lag = slots, serviceTime, replicaLag
	d.group.Continues = time.Second
	d.store.OnPromote(func(_, id string) bool { return d.group.Promote(id) })
	d.store.Put("config", "main", configuration())
	for i, zone := range serverZones {
		s, err := d.group.Add(fmt.Sprintf("i-%d", i), zone)
		if err != nil {
			return nil, err
		}
		if err := d.watch(s); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func configuration() map[string]any {
	route := func(host, kind string, timeout, aim, stale int) map[string]any {
		return map[string]any{"name": "r-" + host, "host": host, "type": kind, "timeout_ms": timeout, "backend": service,
			"target_latency_ms": aim, "max_staleness_ms": stale, "priority": 1, "public": false}
	}
	return map[string]any{"version": 7,
		"routes": []any{route(latestDB, "primary", latestMS, latestAimMS, 0),
			route(boundedDB, "bounded_stale", boundedMS, boundedAimMS, staleBounded),
			route(ownDB, "read_your_writes", latestMS, ownAimMS, staleOwn)},
		"backends": []any{map[string]any{"name": service, "max_conns": maxConns, "warmup_per_s": 0, "sync_replicas": 0}},
		"limits":   map[string]any{"tx_idle_ms": txIdleMS},
		"tenants": []any{map[string]any{"name": workspace, "api_keys": []string{key}, "priority": 1,
			"rate_per_s": ratePerSecond, "burst": ratePerSecond}}}
}

// watch puts a relay before a server.
func (d *deployment) watch(s *standin.Server) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &watchedServer{Server: s, ln: ln, reached: map[string]time.Time{}}
	d.servers = append(d.servers, w)
	s.Advertise(ln.Addr().String())
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.relay(d.record, c)
		}
	}()
	return nil
}

// relay passes a connection on line by line and records the statements of callers.
func (w *watchedServer) relay(r *record, from net.Conn) {
	defer from.Close()
	w.pass()
	to, err := net.Dial("tcp", w.Address())
	if err != nil {
		return
	}
	defer to.Close()
	go func() {
		defer from.Close()
		buffer := make([]byte, 32<<10)
		for {
			n, err := to.Read(buffer)
			w.pass()
			if n > 0 {
				if _, err := from.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadString('\n')
		w.pass()
		if err != nil {
			return
		}
		if f := strings.Fields(line); len(f) > 2 && f[0] == "QUERY" && f[1] != "-" {
			w.mu.Lock()
			w.reached[f[1]] = time.Now()
			w.mu.Unlock()
			r.line("server %s receives %s", w.ID, strings.TrimSpace(line))
		}
		if _, err := io.WriteString(to, line); err != nil {
			return
		}
	}
}

// reachedAt returns when a statement reached any server.
func (d *deployment) reachedAt(id string) (at time.Time, ok bool) {
	for _, w := range d.servers {
		w.mu.Lock()
		at, ok = w.reached[id]
		w.mu.Unlock()
		if ok {
			return at, true
		}
	}
	return at, false
}

// startVMs starts the fleet and waits until all VMs are ready.
func (d *deployment) startVMs() error {
	var peers []string
	for range 9 {
		peers = append(peers, standin.FreeAddress())
	}
	for i, zone := range zones {
		for n := range vmsIn[i] {
			if err := d.addVM(fmt.Sprintf("edge-%s-%d", zone, n+1), zone, peers[len(d.vms)], peers[:3]); err != nil {
				return err
			}
		}
	}
	end := time.Now().Add(startTimeout)
	for _, v := range d.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func (d *deployment) addVM(name, zone, peer string, seeds []string) error {
	v := &vm{name: name, zone: zone, caller: standin.FreeAddress(), ready: standin.FreeAddress(),
		settings: filepath.Join(d.dir, name+".conf")}
	ip, _, err := net.SplitHostPort(v.caller)
	if err != nil {
		return err
	}
	var b strings.Builder
	for _, line := range []string{
		"node_name=" + name, "role=edge", "machine_class=edge", "serves=edge,control_plane", "ip=" + ip, "zone=" + zone,
		"region=tas", "listen_addrs.frontend=" + v.caller, "listen_addrs.readiness=" + v.ready, "listen_addrs.admin=" + peer,
		"port_range=7560,7575", "seeds=" + strings.Join(seeds, ","), "bootstrap=true", "limits.cpu_quota=0.4",
		"limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4200", "heartbeat_ms=1200", "bounds.contact_ms=4000",
		"bounds.drain_timeout_ms=7000", fmt.Sprintf("bounds.grace_s=%d", int(grace.Seconds())),
		fmt.Sprintf("bounds.loss_slack_ms=%d", lossSlack.Milliseconds()), "bounds.config_apply_ms=3000",
		"bounds.require_fencing=false", "platform.address=" + d.storeAt, "platform.form=objects",
		"cloud_api.address=" + d.storeAt, "cloud_api.duties=failover", "cloud_api.duty_per_s=50.0",
	} {
		b.WriteString(line + "\n")
	}
	for _, z := range zones {
		b.WriteString("zones." + z + "=tas\n")
	}
	if err := os.WriteFile(v.settings, []byte(b.String()), 0o600); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		return err
	}
	d.vms = append(d.vms, v)
	return v.start(d.root)
}

func (v *vm) start(root string) error {
	v.cmd = exec.Command(filepath.Join(root, "target", "siskinrouter"), "edge")
	v.cmd.Dir = root
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"SISKINROUTER_NODE_FILE=" + v.settings}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	ended, cmd := make(chan struct{}), v.cmd
	v.ended = ended
	processes.Lock()
	if processes.running == nil {
		processes.running = map[*os.Process]struct{}{}
	}
	processes.running[cmd.Process] = struct{}{}
	processes.Unlock()
	go func() {
		_ = cmd.Wait()
		processes.Lock()
		delete(processes.running, cmd.Process)
		processes.Unlock()
		close(ended)
	}()
	return nil
}

// isReady asks a VM as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + "/-/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// named returns a VM by its name.
func (d *deployment) named(name string) *vm {
	for _, v := range d.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

// stop ends all processes that the deployment has started and removes its folder unless STAGE_KEEP is set.
func (d *deployment) stop() {
	for _, v := range d.vms {
		if v.cmd == nil || v.cmd.Process == nil {
			continue
		}
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
		<-v.ended
		_ = v.log.Close()
	}
	if os.Getenv("STAGE_KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}
