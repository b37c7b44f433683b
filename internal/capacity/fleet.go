package capacity

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"siskinrouter/internal/catalog"
	"siskinrouter/internal/fleet"
	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
)

const (
	fleetCalls   = 2000
	appliedCalls = 300
	largeCalls   = 30
	smallObject  = 1 << 10   // bytes
	largeObject  = 256 << 10 // bytes
	groupObject  = 300       // bytes, about the size of an object groups/GROUP
	vmAddress    = "127.0.0.1:1"
)

// plannedVMs returns entries of a list of the planned size. Their address refuses connections.
func plannedVMs(n int) []platform.VM {
	var vms []platform.VM
	for i := range n {
		vms = append(vms, platform.VM{
			Name: fmt.Sprintf("vm-%04d", i+1), Incarnation: strconv.Itoa(1_780_000_000_000_000_000 + i),
			Domain: fmt.Sprintf("d%02d", i%int(Default().Domains)+1), Address: vmAddress, State: platform.VMLive,
		})
	}
	return vms
}

// elsewhere returns the VMs of other failure domains than that of the measured VM, which otherwise
// hands slots over to VMs that cannot be reached.
func elsewhere(vms []platform.VM) []platform.VM {
	return slices.DeleteFunc(vms, func(v platform.VM) bool { return v.Domain == vmDomain })
}

func machineVM(v platform.VM) machine.VM {
	return machine.VM{Name: v.Name, Incarnation: v.Incarnation, Domain: v.Domain, Address: v.Address, State: machine.Live}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// peerOf returns a client of a daemon and the counter of its bytes.
func peerOf(address string) (*fleet.Peer, *atomic.Int64, error) {
	n := new(atomic.Int64)
	peers, err := fleet.NewPeers(fleet.Options{
		Key: []byte(fleetKey),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, n}, err
		},
	})
	if err != nil {
		return nil, nil, err
	}
	return peers.Peer(address), n, nil
}

// calls makes n calls and returns processor time and bytes of each.
func calls(n int, bytes *atomic.Int64, f func() error) (perCall, perCallBytes float64, err error) {
	if err := f(); err != nil { // opens the connection
		return 0, 0, err
	}
	before := bytes.Load()
	perCall, err = micros(float64(n), func() error {
		for range n {
			if err := f(); err != nil {
				return err
			}
		}
		return nil
	})
	return perCall, float64(bytes.Load()-before) / float64(n), err
}

// measureFleet measures the calls between VMs against a daemon with the planned numbers of VMs and objects.
func measureFleet(ctx context.Context, r *run) error {
	p := Default()
	vms := elsewhere(plannedVMs(r.count(int(p.VMs))))
	st := newStore()
	versions := machine.NewVersions()
	for i := range r.count(int(p.Groups())) {
		name := fmt.Sprintf("%splan-g%d", catalog.PrefixGroups, i+1)
		version, err := st.Put(ctx, name, 0, make([]byte, groupObject))
		if err != nil {
			return err
		}
		versions.Set(name, version)
	}
	d := deployment(1, 1)
	group, addresses, err := targets(d)
	if err != nil {
		return err
	}
	defer group.Close()
	n, err := startNode(d, addresses, st, probeSlow)
	if err != nil {
		return err
	}
	defer n.stop()
	peer, bytes, err := peerOf(n.fleet)
	if err != nil {
		return err
	}
	if err := joined(ctx, peer, st, vms); err != nil {
		return err
	}
	members := machine.New(machine.Config{Self: machineVM(vms[0])}, rand.New(rand.NewPCG(1, 1)))
	var list []machine.VM
	for _, v := range vms {
		list = append(list, machineVM(v))
	}
	members.Observe(0, 0, list)
	if err := r.sync(ctx, peer, bytes, members, versions); err != nil {
		return err
	}
	if err := r.borrow(ctx, peer, bytes, vms[0]); err != nil {
		return err
	}
	return r.push(ctx)
}

// joined adds the VMs to the platform's list once the daemon holds the configuration, and waits until
// it knows them.
func joined(ctx context.Context, peer *fleet.Peer, st *store, vms []platform.VM) error {
	if err := await(func() error {
		status, err := peer.Status(ctx)
		if err == nil && len(status.Groups) == 0 {
			err = errors.New("the daemon has no configuration")
		}
		return err
	}); err != nil {
		return err
	}
	st.join(vms)
	return await(func() error {
		status, err := peer.Status(ctx)
		if err == nil && len(status.Members) <= len(vms) {
			err = fmt.Errorf("the daemon knows %d VMs", len(status.Members))
		}
		return err
	})
}

// sync measures Sync between two VMs that hold the same objects.
func (r *run) sync(ctx context.Context, peer *fleet.Peer, bytes *atomic.Int64, members *machine.Members, versions *machine.Versions) error {
	start := time.Now()
	once := func() error {
		req := members.Hello(time.Since(start), versions, nil)
		answer, err := peer.Sync(ctx, req)
		if err != nil {
			return err
		}
		if len(answer.Hello.Digests) > 0 || len(answer.Objects) > 0 {
			return errors.New("the daemon does not hold the same objects yet")
		}
		_, err = members.Answered(time.Since(start), time.Since(start), req, answer.Hello, true)
		return err
	}
	// The daemon adds its owners object to the platform; it is learned like any other object.
	if err := await(func() error {
		if err := once(); err == nil {
			return nil
		}
		status, err := peer.Status(ctx)
		for _, v := range status.Versions {
			versions.Set(v.Name, v.Version)
		}
		if err == nil {
			err = once()
		}
		return err
	}); err != nil {
		return err
	}
	perCall, size, err := calls(r.count(fleetCalls), bytes, once)
	r.set("sync.cpu", perCall)
	r.set("sync.bytes", size)
	return err
}

// borrow measures Borrow with an ask for one workspace.
func (r *run) borrow(ctx context.Context, peer *fleet.Peer, bytes *atomic.Int64, from platform.VM) error {
	status, err := peer.Status(ctx)
	if err != nil {
		return err
	}
	run := func(name, incarnation string) grant.VM {
		n, _ := strconv.ParseUint(incarnation, 10, 64)
		return grant.VM{Name: name, Incarnation: n}
	}
	req := grant.BorrowRequest{From: run(from.Name, from.Incarnation), To: run(status.VM.Name, status.VM.Incarnation)}
	seq := uint64(0)
	perCall, size, err := calls(r.count(fleetCalls), bytes, func() error {
		seq++
		req.Asks = []grant.Ask{{Workspace: workspaceName(0), Seq: seq, Want: 16, Need: 16}}
		_, err := peer.Borrow(ctx, req)
		return err
	})
	r.set("borrow.cpu", perCall)
	r.set("borrow.bytes", size)
	return err
}

// sink answers pushes without putting anything into force.
type sink struct{ fleet.Handler }

func (sink) Push(context.Context, []platform.Object, []machine.Version) ([]string, error) {
	return nil, nil
}

// push measures Push of small and large objects, and what it costs to put a change into force.
func (r *run) push(ctx context.Context) error {
	server, err := fleet.NewServer(sink{}, fleet.Options{Key: []byte(fleetKey)})
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	served := make(chan error, 1)
	go func() { served <- fleet.Serve(server, ln) }()
	defer func() {
		_ = server.Close()
		<-served
	}()
	peer, bytes, err := peerOf(ln.Addr().String())
	if err != nil {
		return err
	}
	send := func(size int) func() error {
		objects := []platform.Object{{Name: "keys", Version: 1, Value: make([]byte, size)}}
		return func() error {
			_, err := peer.Push(ctx, objects, nil)
			return err
		}
	}
	small, size, err := calls(r.count(fleetCalls), bytes, send(smallObject))
	if err != nil {
		return err
	}
	large, _, err := calls(r.count(largeCalls), bytes, send(largeObject))
	if err != nil {
		return err
	}
	r.set("push.cpu", small)
	r.set("push.bytes", size)
	r.set("push.large_cpu", (large-small)/((largeObject-smallObject)/1024))
	return r.apply(ctx)
}

// apply measures how the cost of a change grows with the groups of the text.
func (r *run) apply(ctx context.Context) error {
	groups := r.count(manyGroups)
	few, err := r.applied(ctx, 1)
	if err != nil {
		return err
	}
	many, err := r.applied(ctx, groups)
	r.set("apply.group", (many-few)/float64(groups-1))
	return err
}

// applied returns the processor time of a pushed object on a daemon with the given groups.
func (r *run) applied(ctx context.Context, groups int) (float64, error) {
	d := deployment(groups, 1)
	addresses := map[string]string{}
	for g := range groups {
		for s := range d.ServersPerGroup {
			addresses[d.ServerName(g, s)] = fmt.Sprintf("127.0.%d.%d:1", g/80+1, 3*(g%80)+s+1)
		}
	}
	n, err := startNode(d, addresses, newStore(), 10*probeSlow)
	if err != nil {
		return 0, err
	}
	defer n.stop()
	peer, bytes, err := peerOf(n.fleet)
	if err != nil {
		return 0, err
	}
	time.Sleep(settle)
	idle, err := idleCPU(r)
	if err != nil {
		return 0, err
	}
	version := uint64(0)
	begin := time.Now()
	perCall, _, err := calls(r.count(appliedCalls), bytes, func() error {
		version++
		_, err := peer.Push(ctx, []platform.Object{{Name: catalog.PrefixGroups + "plan-g1", Version: version, Value: make([]byte, groupObject)}}, nil)
		return err
	})
	return perCall - idle*time.Since(begin).Seconds()/float64(r.count(appliedCalls)), err
}
