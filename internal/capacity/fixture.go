package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/catalog"
	"siskinrouter/internal/daemon"
	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/settings"
)

const (
	fleetKey     = "capacity-key-0123456789abcdef0123456789"
	callerSecret = "capacity-caller"
	vmDomain     = "d01"
	readyLimit   = 20 * time.Second
	readyPause   = 20 * time.Millisecond
)

// highRate admits more than a test machine sends. A text writes it without an exponent.
const highRate = 999_999

// deployment returns a deployment of n groups. Three failure domains leave a third of the rate to the
// one VM that runs.
func deployment(groups, workspaces int) devfleet.Deployment {
	d := devfleet.Deployment{
		Name: "plan", Service: "ledger-service", Groups: groups, ServersPerGroup: 3, Slots: 64, Connections: 200,
	}
	for i := range d.ServersPerGroup {
		d.Domains = append(d.Domains, fmt.Sprintf("d%02d", i+1))
	}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, devfleet.Workspace{
			Name: workspaceName(i), Rate: highRate, Burst: highRate, Weight: 1,
		})
	}
	return d
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%05d", i+1) }

// store is a platform in memory that counts calls and shows the daemon in its list of VMs.
type store struct {
	*platform.Memory
	mu    sync.Mutex
	self  platform.VM // the daemon, once it has registered
	vms   []platform.VM
	calls atomic.Int64 // without calls for the list of VMs
}

func newStore() *store { return &store{Memory: platform.NewMemory(platform.WatchWait)} }

// join adds other VMs to the list. They are added after the daemon has learned the configuration,
// because their addresses refuse connections and none of them could pass it on.
func (s *store) join(vms []platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
	s.SetVMs(append([]platform.VM{s.self}, vms...))
}

func (s *store) Get(ctx context.Context, name string) (platform.Object, error) {
	s.calls.Add(1)
	return s.Memory.Get(ctx, name)
}

func (s *store) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	s.calls.Add(1)
	return s.Memory.List(ctx, prefix)
}

func (s *store) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	s.calls.Add(1)
	return s.Memory.Put(ctx, name, version, value)
}

func (s *store) Watch(ctx context.Context, prefix string, after uint64) ([]platform.Object, uint64, error) {
	s.calls.Add(1)
	return s.Memory.Watch(ctx, prefix, after)
}

// register enters the daemon into the list, as the platform does for a VM that it started.
func (s *store) register(_ context.Context, vm platform.VM) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self = vm
	s.SetVMs(append([]platform.VM{vm}, s.vms...))
	return nil
}

// node is a running daemon.
type node struct {
	store   *store
	callers string // address
	fleet   string // address
	cancel  context.CancelFunc
	done    chan error
}

// startNode starts a daemon with an operators' text and one key for every workspace of d.
func startNode(d devfleet.Deployment, addresses map[string]string, st *store, probe time.Duration) (*node, error) {
	ctx := context.Background()
	if _, err := st.Put(ctx, catalog.NameContract, 0, []byte(d.Text(addresses))); err != nil {
		return nil, err
	}
	var keys catalog.Keys
	for i, w := range d.Workspaces {
		keys = append(keys, catalog.NewKey(fmt.Sprintf("k%05d", i), w.Name, callerSecret, []byte("salt-of-16-bytes")))
	}
	value, err := keys.Encode()
	if err != nil {
		return nil, err
	}
	if _, err := st.Put(ctx, catalog.NameKeys, 0, value); err != nil {
		return nil, err
	}
	return runNode(st, probe)
}

func runNode(st *store, probe time.Duration) (*node, error) {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	between, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	s, err := nodeSettings(callers.Addr().String(), between.Addr().String(), probe)
	if err != nil {
		return nil, err
	}
	dm, err := daemon.New(daemon.Options{
		Settings: s, Store: st, Log: log.New(io.Discard), Register: st.register,
		CallerListener: callers, FleetListener: between,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		store: st, callers: callers.Addr().String(), fleet: between.Addr().String(), cancel: cancel, done: make(chan error, 1),
	}
	go func() { n.done <- dm.Run(ctx) }()
	return n, nil
}

func nodeSettings(callers, between string, probe time.Duration) (*settings.Settings, error) {
	text := fmt.Sprintf(`
vm = { name = "vm-measured", domain = %q }
callers = { listen = %q }
fleet = { listen = %q, advertise = %q, key = %q }
platform = { url = "http://127.0.0.1:1" }
target = { user = %q, password = %q }
limits = { max_connections = 20000, statement_timeout = "1s" }
timings = { probe_interval = %q, suspicion = %q, drain_timeout = "1s" }
`, vmDomain, callers, between, between, fleetKey, devtarget.DefaultUser, devtarget.DefaultPassword, probe, 3*max(probe, time.Second))
	s, faults := settings.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, fmt.Errorf("settings of the measured VM: line %d: %s", faults[0].Line, faults[0].Problem)
	}
	return s, nil
}

// stop drains the daemon and waits for its end.
func (n *node) stop() {
	n.cancel()
	<-n.done
}

// await repeats f until it succeeds or the time is over.
func await(f func() error) error {
	deadline := time.Now().Add(readyLimit)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(readyPause)
	}
}

// targets starts the stand-ins of a deployment with one group and returns their addresses.
func targets(d devfleet.Deployment) (*devtarget.Group, map[string]string, error) {
	var servers []devtarget.ServerConfig
	for s := range d.ServersPerGroup {
		servers = append(servers, devtarget.ServerConfig{
			Name: d.ServerName(0, s), Domain: d.ServerDomain(0, s), MaxConnections: d.Connections, Slots: d.Slots, ConnectTime: -1,
		})
	}
	g, err := devtarget.NewGroup(devtarget.Config{Servers: servers})
	if err != nil {
		return nil, nil, err
	}
	addresses := map[string]string{}
	for _, s := range g.Servers() {
		addresses[s.Name()] = s.Address()
	}
	return g, addresses, nil
}

var errRefused = errors.New("login refused")

// login opens a caller connection without the buffers and goroutines of a client library, so that
// the memory of the caller's side is that of a bare connection.
func login(address, user, database string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	front := pgproto3.NewFrontend(conn, conn)
	front.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": user, "database": database},
	})
	if err := front.Flush(); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	for {
		msg, err := front.Receive()
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		switch m := msg.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			front.Send(&pgproto3.PasswordMessage{Password: callerSecret})
			err = front.Flush()
		case *pgproto3.ErrorResponse:
			err = fmt.Errorf("%w: %s", errRefused, m.Message)
		case *pgproto3.ReadyForQuery:
			return conn, nil
		}
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
	}
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// listSize returns the bytes of a list of VMs as the platform sends it.
func listSize(vms []platform.VM) (float64, error) {
	text, err := json.Marshal(vms)
	return float64(len(text)), err
}
