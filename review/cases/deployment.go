package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"siskinrouter/platform/standin"
)

const (
	// service is the first one by name: its owner holds the duty to promote. otherService has an owner of its own.
	service      = "huvo11a"
	otherService = "kafi81c"
	tenant       = "nypu920"
	key          = "u6wsjnbanfqasnmgkcuy"
	secondKey    = "j8pjbvk9m68k7b2ex5wa"
	tenantRate   = 135 // rate_per_s
	tenantBurst  = 135
	// databases, by the type of their route
	primaryDB = "lepu270"
	boundedDB = "xapu221ny95"
	ownDB     = "fiti832ti23"
	// otherDB is the primary database of otherService
	otherDB = "levo940"
	// startTimeout bounds the start; traffic starts 10 s after the machines do.
	startTimeout = 20 * time.Second
	vmCount      = 5
)

var zones = []string{"bne", "tsv", "cns"}

// deployment is a fleet of processes of the program with stand-ins of the platform and the servers.
type deployment struct {
	rec     *record
	program string
	dir     string
	web     *httptest.Server
	store   *standin.Store
	group   *group // of service
	other   *group // of otherService
	mu      sync.Mutex
	vms     []*vm
}

// vm is one process of the program.
type vm struct {
	name, zone, frontend, readiness string
	settings                        string // path of the settings file
	cmd                             *exec.Cmd
	// platform are the links to the platform's store and to its promotion API.
	platform []*link
	ended    chan struct{}
}

func newDeployment(rec *record, program string) (*deployment, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "siskinrouter-case-")
	if err != nil {
		return nil, err
	}
	store := standin.NewStore()
	d := &deployment{rec: rec, program: path, dir: dir, store: store, web: httptest.NewServer(store)}
	d.group = newGroup(rec, store, service)
	d.other = newGroup(rec, store, otherService)
	store.OnPromote(func(service, id string) bool { return d.group.promote(service, id) || d.other.promote(service, id) })
	return d, nil
}

// start starts the servers and the VMs and waits until all VMs serve.
func (d *deployment) start() error {
	d.configure(1, []string{key, secondKey})
	for i := range zones {
		if err := d.group.add(fmt.Sprintf("i-%d", i+1), zones[i]); err != nil {
			return err
		}
		if err := d.other.add(fmt.Sprintf("j-%d", i+1), zones[(i+1)%len(zones)]); err != nil {
			return err
		}
	}
	go d.group.maintain()
	go d.other.maintain()
	for i := range vmCount {
		if err := d.startVM(i); err != nil {
			return err
		}
	}
	end := time.Now().Add(startTimeout)
	for _, v := range d.vms {
		for !d.serves(v) {
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve within %s", v.name, startTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.rec.add("all VMs serve; owner of %s: %s, of %s: %s", service, d.ownerName(service), otherService, d.ownerName(otherService))
	return nil
}

// configure writes a version of the configuration with the given keys of the tenant.
func (d *deployment) configure(version int, keys []string) {
	route := func(name, host, kind, backend string, timeout, objective, staleness int) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": timeout,
			"target_latency_ms": objective, "priority": 1, "backend": backend, "attempts": 2,
			"max_staleness_ms": staleness, "public": false}
	}
	backend := func(name string) map[string]any {
		return map[string]any{"name": name, "health_check": "/healthz", "max_conns": 22, "warmup_s": 0.0,
			"warmup_per_s": 0.0, "sync_replicas": 0}
	}
	d.store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("r-8p4gv8e", boundedDB, "bounded_stale", service, 2000, 500, 1500),
			route("r-e9itfrz", primaryDB, "primary", service, 800, 150, 0),
			route("r-jmxwjnj", ownDB, "read_your_writes", service, 800, 250, 2500),
			route("r-8wvnc2k", otherDB, "primary", otherService, 800, 150, 0),
		},
		"backends": []any{backend(service), backend(otherService)},
		"limits":   map[string]any{"tx_idle_ms": 3000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": keys, "priority": 1, "rate_per_s": tenantRate, "burst": tenantBurst}},
	})
	d.rec.add("configuration %d acknowledged, keys of tenant %s: %v", version, tenant, keys)
}

func (d *deployment) startVM(i int) error {
	v := &vm{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)],
		frontend: freeAddress(), readiness: freeAddress(), ended: make(chan struct{})}
	address := strings.TrimPrefix(d.web.URL, "http://")
	for range 2 {
		l, err := newLink(address)
		if err != nil {
			return err
		}
		v.platform = append(v.platform, l)
	}
	settings := fmt.Sprintf(`node_name=%s
role=edge
machine_class=edge
serves=edge,control_plane
ip=127.0.0.1
zone=%s
region=qld
listen_addrs.frontend=%s
listen_addrs.readiness=%s
listen_addrs.admin=%s
bootstrap=true
limits.cpu_quota=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4200
heartbeat_ms=1200
bounds.contact_ms=4000
bounds.drain_timeout_ms=7000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.unfreeze_slack_ms=300
platform.address=%s
platform.form=objects
cloud_api.address=%s
cloud_api.duties=failover
`, v.name, v.zone, v.frontend, v.readiness, freeAddress(), v.platform[0].address(), v.platform[1].address())
	v.settings = filepath.Join(d.dir, v.name+".conf")
	if err := os.WriteFile(v.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	if err := d.launch(v); err != nil {
		return err
	}
	d.mu.Lock()
	d.vms = append(d.vms, v)
	d.mu.Unlock()
	return nil
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() string {
	for {
		address := standin.FreeAddress()
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue // another process uses it
		}
		_ = ln.Close()
		return address
	}
}

// launch starts the process of a VM.
func (d *deployment) launch(v *vm) error {
	out, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd, ended := exec.Command(d.program, "edge"), make(chan struct{})
	cmd.Env = append(os.Environ(), "SISKINROUTER_NODE_FILE="+v.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	v.cmd, v.ended = cmd, ended
	return nil
}

// gracePeriod is grace_s.
const gracePeriod = 6 * time.Second

// restart stops a VM's process with SIGTERM, with SIGKILL after the grace period, and starts it again.
func (d *deployment) restart(v *vm) error {
	d.rec.add("SIGTERM to %s", v.name)
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(gracePeriod):
		_ = v.cmd.Process.Signal(syscall.SIGKILL)
		<-v.ended
	}
	d.rec.add("%s has ended and starts again", v.name)
	return d.launch(v)
}

// stop ends all processes.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.vms {
		_ = v.cmd.Process.Signal(syscall.SIGKILL)
		<-v.ended
		for _, l := range v.platform {
			l.close()
		}
	}
	d.vms = nil
	d.web.CloseClientConnections()
	d.group.stop()
	d.other.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// serves reports whether a VM is ready and serves a read at the primary.
func (d *deployment) serves(v *vm) bool {
	response, err := http.Get("http://" + v.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return false
	}
	for _, database := range []string{primaryDB, otherDB} {
		c, err := dial(d.rec, "probe", v.frontend, database, key)
		if err != nil {
			return false
		}
		a := c.do("READ probe")
		c.Close()
		if !a.ok() {
			return false
		}
	}
	return true
}

// ownerRecord is the part of siskinrouter's owner record by which a case selects the VM to disrupt.
type ownerRecord struct {
	Holder  struct{ Name string }
	Primary string
}

func (d *deployment) ownerRecord(service string) (r ownerRecord) {
	_ = json.Unmarshal(d.store.Spec("fleet", "service."+service), &r)
	return r
}

// ownerName returns the name of the VM that owns a service.
func (d *deployment) ownerName(service string) string { return d.ownerRecord(service).Holder.Name }

// notOwner returns a VM that does not own the service.
func (d *deployment) notOwner() *vm {
	owner := d.ownerName(service)
	for _, v := range d.vms {
		if v.name != owner {
			return v
		}
	}
	return nil
}

// vm returns the VM of the given name.
func (d *deployment) vm(name string) *vm {
	for _, v := range d.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}
