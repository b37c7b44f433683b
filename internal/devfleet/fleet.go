package devfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"siskinrouter/internal/daemon"
	"siskinrouter/internal/devlink"
	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/operator"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/settings"
)

// Times of the platform stand-in.
const (
	vmLag    = 300 * time.Millisecond
	vmExpiry = 2500 * time.Millisecond
)

const (
	fleetKey    = "devfleet-key-0123456789abcdef0123456789"
	readyLimit  = 20 * time.Second
	readyPause  = 20 * time.Millisecond
	stopTimeout = 5 * time.Second
)

// Fleet is a running deployment.
type Fleet struct {
	Deployment Deployment
	Network    *devlink.Network
	Platform   *devplatform.Server
	Operator   *operator.Client
	Groups     []*devtarget.Group
	Keys       map[string]string // secret by workspace; SetKey replaces one while the fleet runs
	KeyIDs     map[string]string // key id by workspace

	log         *log.Logger
	platformURL string
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu  sync.Mutex
	vms []*VM
}

// VM is one daemon of the fleet.
type VM struct {
	Name    string
	Domain  string
	Address string // for callers
	Admin   string // for operators' tools

	drain   context.CancelFunc
	leaving atomic.Bool
	done    chan struct{}
	err     error
}

// Serving reports whether a load balancer would send new callers to the VM: it runs and is not draining.
func (v *VM) Serving() bool {
	select {
	case <-v.done:
		return false
	default:
		return !v.leaving.Load()
	}
}

// Start starts a deployment and waits until it serves. Output of the daemons goes to logTo, nil for none.
func Start(ctx context.Context, d Deployment, logTo io.Writer) (*Fleet, error) {
	if logTo == nil {
		logTo = io.Discard
	}
	f := &Fleet{
		Deployment: d, Network: devlink.NewNetwork(d.OneWay), Keys: make(map[string]string), KeyIDs: make(map[string]string),
		log: log.NewWithOptions(logTo, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000", Level: log.DebugLevel}),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startPlatform(); err != nil {
		return err
	}
	addresses, err := f.startTargets()
	if err != nil {
		return err
	}
	if _, err := f.Operator.ApplyConfig(ctx, []byte(f.Deployment.Text(addresses)), 0); err != nil {
		return fmt.Errorf("apply the operators' text: %w", err)
	}
	for _, w := range f.Deployment.Workspaces {
		id, secret, _, err := f.Operator.AddKey(ctx, w.Name)
		if err != nil {
			return err
		}
		f.Keys[w.Name], f.KeyIDs[w.Name] = secret, id
	}
	for i := range f.Deployment.VMs {
		if _, err := f.StartVM(i); err != nil {
			return err
		}
	}
	return f.Ready(ctx)
}

func (f *Fleet) startPlatform() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.Platform = devplatform.New(devplatform.Config{VMLag: vmLag, VMExpiry: vmExpiry})
	f.platformURL = "http://" + ln.Addr().String()
	f.wg.Go(func() { _ = f.Platform.Serve(f.ctx, ln) })
	store, err := platform.NewHTTPStore(f.platformURL, platform.Options{Client: "operator"})
	if err != nil {
		return err
	}
	f.Operator = operator.New(store, "devfleet")
	return nil
}

// startTargets starts the servers and returns their addresses by name.
func (f *Fleet) startTargets() (map[string]string, error) {
	d := f.Deployment
	addresses := make(map[string]string)
	for g := range d.Groups {
		var servers []devtarget.ServerConfig
		for s := range d.ServersPerGroup {
			servers = append(servers, devtarget.ServerConfig{
				Name: d.ServerName(g, s), Domain: d.ServerDomain(g, s), MaxConnections: d.Connections, Slots: d.Slots,
				ConnectTime: d.ConnectTime, ServiceTime: d.ServiceTime, ReplicationDelay: d.OneWay, Lag: d.Lag,
			})
		}
		group, err := devtarget.NewGroup(devtarget.Config{Servers: servers})
		if err != nil {
			return nil, err
		}
		f.Groups = append(f.Groups, group)
		for _, s := range group.Servers() {
			addresses[s.Name()] = s.Address()
			f.Network.Place(s.Address(), s.Domain())
		}
	}
	return addresses, nil
}

// StartVM starts the VM with the given index, which must not be running.
func (f *Fleet) StartVM(i int) (*VM, error) {
	domain := f.Deployment.Domains[i%len(f.Deployment.Domains)]
	name := fmt.Sprintf("vm%d-%s", i+1, domain)
	callerLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	fleetLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = callerLn.Close()
		return nil, err
	}
	f.Network.Place(fleetLn.Addr().String(), domain)
	s, err := f.vmSettings(name, domain, callerLn.Addr().String(), fleetLn.Addr().String())
	if err != nil {
		return nil, err
	}
	store, err := platform.NewHTTPStore(f.platformURL, platform.Options{Client: name})
	if err != nil {
		return nil, err
	}
	d, err := daemon.New(daemon.Options{
		Settings: s, Store: store, Log: f.log.With("vm", name), Register: store.Register,
		Dial: f.Network.Dialer(domain), CallerListener: callerLn, FleetListener: fleetLn,
		Experiment: f.Deployment.Experiment,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	vm := &VM{Name: name, Domain: domain, Address: callerLn.Addr().String(), drain: cancel, done: make(chan struct{})}
	f.wg.Go(func() {
		defer close(vm.done)
		vm.err = d.Run(ctx)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.vms) <= i {
		f.vms = append(f.vms, nil)
	}
	f.vms[i] = vm
	return vm, nil
}

func (f *Fleet) vmSettings(name, domain, callers, fleet string) (*settings.Settings, error) {
	text := fmt.Sprintf(`
[vm]
name = %q
domain = %q
[callers]
listen = %q
[fleet]
listen = %q
advertise = %q
key = %q
[platform]
url = %q
[target]
user = %q
password = %q
`, name, domain, callers, fleet, fleet, fleetKey, f.platformURL, devtarget.DefaultUser, devtarget.DefaultPassword)
	if f.Deployment.Suspicion > 0 {
		text += fmt.Sprintf("[timings]\nsuspicion = %q\n", f.Deployment.Suspicion)
	}
	s, faults := settings.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, fmt.Errorf("settings of VM %s: line %d: %s", name, faults[0].Line, faults[0].Problem)
	}
	return s, nil
}

// VM returns the VM with the given index.
func (f *Fleet) VM(i int) *VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i]
}

// VMs returns all VMs that were started last under their index.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// Drain shuts a VM down gracefully and waits for its end.
func (v *VM) Drain() error {
	v.leaving.Store(true)
	v.drain()
	<-v.done
	return v.err
}

// Done is closed when the VM has ended.
func (v *VM) Done() <-chan struct{} { return v.done }

// URL returns the connection string of a caller. An empty route selects the default route.
func (f *Fleet) URL(vm *VM, workspace, route string) string {
	database := f.Deployment.Service
	if route != "" {
		database += "." + route
	}
	f.mu.Lock()
	key := f.Keys[workspace]
	f.mu.Unlock()
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", workspace, key, vm.Address, database)
}

// SetKey replaces the key with which URL presents a workspace, and returns the id of the earlier one.
func (f *Fleet) SetKey(workspace, id, secret string) (earlier string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	earlier = f.KeyIDs[workspace]
	f.Keys[workspace], f.KeyIDs[workspace] = secret, id
	return earlier
}

// FleetKey returns the key that seals session tokens.
func (f *Fleet) FleetKey() string { return fleetKey }

// Close stops everything.
func (f *Fleet) Close() {
	f.cancel()
	done := make(chan struct{})
	go func() {
		f.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		f.log.Warn("some parts did not stop in time")
	}
	for _, g := range f.Groups {
		g.Close()
	}
}

// errNotReady means that a fleet did not serve in time.
var errNotReady = errors.New("the fleet does not serve")
