package capacity

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"siskinrouter/internal/audit"
	"siskinrouter/internal/catalog"
	"siskinrouter/internal/contract"
	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/promotion"
)

const (
	manyKeys       = 10_000
	manyWorkspaces = 1000
	textGroups     = 600
	textParses     = 3
	manyRequests   = 4096
	liveCopies     = 500
	polls          = 30
	lostPrimaries  = 233 // of 4,667 in 20 failure domains
)

// heldBy returns the memory that the result of f holds.
func heldBy[T any](f func() (T, error)) (bytes float64, v T, err error) {
	before := live()
	v, err = f()
	bytes = live() - before
	runtime.KeepAlive(v)
	return bytes, v, err
}

// measureState measures what a VM keeps of the fleet and the platform.
func measureState(_ context.Context, r *run) error {
	p := Default()
	vms := plannedVMs(r.count(int(p.VMs)))
	size, err := listSize(addressed(vms))
	if err != nil {
		return err
	}
	r.set("list.entry", size/float64(len(vms)))
	bytes, members, _ := heldBy(func() (*machine.Members, error) { return membersOf(vms), nil })
	runtime.KeepAlive(vms)
	r.set("vm.memory", bytes/float64(len(vms)))
	n := r.count(liveCopies)
	copies, err := micros(float64(n), func() error {
		for range n {
			members.Live()
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.set("vm.live", copies)
	const ticks = 600
	tick, err := micros(ticks, func() error {
		for i := range ticks {
			members.Tick(time.Duration(i) * 100 * time.Millisecond)
		}
		return nil
	})
	r.set("vm.tick", tick)
	if err != nil {
		return err
	}
	if err := r.driverPeers(vms); err != nil {
		return err
	}
	return r.objects()
}

// driverPeers measures a driver that learns the live VMs, which it does twice a second for each group.
func (r *run) driverPeers(vms []platform.VM) error {
	var servers []promotion.Server
	for i := range 3 {
		servers = append(servers, promotion.Server{Name: fmt.Sprintf("s%d", i), Address: vmAddress, Domain: vms[i].Domain})
	}
	driver := promotion.NewDriver(promotion.Config{Group: "g", VM: vms[0].Name, Domain: vms[0].Domain, Driver: vms[0].Name, Servers: servers})
	const updates = 50
	cost, err := micros(updates, func() error {
		for i := range updates {
			live := make([]promotion.VM, 0, len(vms))
			for _, v := range vms {
				live = append(live, promotion.VM{Name: v.Name, Domain: v.Domain})
			}
			driver.Step(time.Duration(i)*time.Second/2, promotion.Peers{Live: live})
		}
		return nil
	})
	r.set("driver.peers", cost)
	return err
}

// addressed returns the VMs with addresses as long as those of a large fleet.
func addressed(vms []platform.VM) []platform.VM {
	all := slices.Clone(vms)
	for i := range all {
		all[i].Address = fmt.Sprintf("10.%d.%d.%d:7400", 100+i%20, 100+i/200, i%200)
	}
	return all
}

// membersOf returns a membership that knows a list of VMs.
func membersOf(vms []platform.VM) *machine.Members {
	m := machine.New(machine.Config{Self: machineVM(vms[0])}, rand.New(rand.NewPCG(1, 1)))
	list := make([]machine.VM, len(vms))
	for i, v := range vms {
		list[i] = machineVM(platform.VM{
			Name: strings.Clone(v.Name), Incarnation: strings.Clone(v.Incarnation), Domain: v.Domain,
			Address: strings.Clone(v.Address), State: v.State,
		})
	}
	m.Observe(0, 0, list)
	return m
}

// index is a catalog with the versions that a VM announces.
type index struct {
	catalog  *catalog.Catalog
	versions *machine.Versions
}

func (r *run) objects() error {
	n := r.count(int(Default().Groups()))
	bytes, _, err := heldBy(func() (index, error) {
		x := index{catalog.New(), machine.NewVersions()}
		for i := range n {
			o := catalog.Object{Name: fmt.Sprintf("%splan-g%d", catalog.PrefixGroups, i+1), Version: 1, Value: make([]byte, groupObject)}
			x.catalog.Apply([]catalog.Object{o})
			x.versions.Set(o.Name, o.Version)
		}
		return x, nil
	})
	r.set("object.memory", bytes/float64(n))
	return err
}

// measureKeys measures the object keys.
func measureKeys(_ context.Context, r *run) error {
	n := r.count(manyKeys)
	var keys catalog.Keys
	for i := range n {
		keys = append(keys, catalog.NewKey(fmt.Sprintf("%08x", i), workspaceName(i), callerSecret, []byte("salt-of-16-bytes")))
	}
	value, err := keys.Encode()
	if err != nil {
		return err
	}
	r.set("key.bytes", float64(len(value))/float64(n))
	bytes, decoded, err := heldBy(func() (catalog.Keys, error) { return catalog.DecodeKeys(value) })
	if err != nil {
		return err
	}
	runtime.KeepAlive(keys) // or its collection would be counted against what was decoded
	r.set("key.memory", bytes/float64(n))
	const searches = 200
	perSearch, err := micros(searches, func() error {
		for range searches {
			decoded.Find("workspace-none", callerSecret)
		}
		return nil
	})
	r.set("key.scan", perSearch/float64(n)*1000)
	return err
}

// plannedManager returns the rate shares of a VM at the planned numbers of VMs and failure domains.
// It owns a slot if owner is set.
func plannedManager(vms []platform.VM, workspaces int, owner bool) *grant.Manager {
	run := func(v platform.VM) grant.VM { return grant.VM{Name: v.Name, Incarnation: 1} }
	self := vms[len(vms)-1]
	byDomain := map[string][]grant.VM{}
	for _, v := range vms {
		if v.Name != self.Name {
			byDomain[v.Domain] = append(byDomain[v.Domain], run(v))
		}
	}
	if owner {
		others := byDomain[self.Domain]
		byDomain[self.Domain] = append([]grant.VM{run(self)}, others[:min(len(others), grant.SlotsPerDomain-1)]...)
	}
	m := grant.NewManager(run(self), self.Domain, mathrand.New(mathrand.NewSource(1)))
	for i := range int(Default().Domains) {
		name := fmt.Sprintf("d%02d", i+1)
		o := grant.InitialOwners(name, int(Default().Domains), byDomain[name])
		o.Version = 1
		m.SetOwners(0, o)
	}
	m.SetPeers(peerList(vms))
	for i := range workspaces {
		m.SetWorkspace(0, workspaceName(i), 100, 100)
	}
	return m
}

func peerList(vms []platform.VM) []grant.Peer {
	var peers []grant.Peer
	for _, v := range vms {
		peers = append(peers, grant.Peer{VM: grant.VM{Name: v.Name, Incarnation: 1}, Domain: v.Domain})
	}
	return peers
}

// measureLoans measures accounts and the planning of loans. Borrow messages are not answered with a
// grant, so that the VM keeps asking, which is the state of a workspace above its rate.
func measureLoans(_ context.Context, r *run) error {
	vms := plannedVMs(r.count(int(Default().VMs)))
	n := r.count(manyWorkspaces)
	peers, _, _ := heldBy(func() (*grant.Manager, error) { return plannedManager(vms, 0, true), nil })
	r.set("peer.memory", peers/float64(len(vms)))
	var load float64
	bytes, m, err := heldBy(func() (m *grant.Manager, err error) {
		load, err = micros(float64(n)*float64(n)/1000, func() error {
			m = plannedManager(vms, n, true)
			return nil
		})
		return m, err
	})
	if err != nil {
		return err
	}
	r.set("account.load", load)
	r.set("account.memory", (bytes-peers)/float64(n))
	list := peerList(vms)
	const sets = 20
	perSet, err := micros(sets, func() error {
		for range sets {
			m.SetPeers(list)
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.set("peer.set", perSet)
	idle, err := pollCost(m, n)
	if err != nil {
		return err
	}
	r.set("account.poll_idle", idle)
	busy := plannedManager(vms, n, false)
	for i := range n {
		for range 10 {
			busy.Admit(0, workspaceName(i), 1)
		}
	}
	cost, err := pollCost(busy, n)
	if err != nil {
		return err
	}
	r.set("account.poll_busy", cost)
	few := plannedManager(vms[:int(Default().Carriers)], n, false)
	for i := range n {
		for range 10 {
			few.Admit(0, workspaceName(i), 1)
		}
	}
	if cost, err = pollCost(few, n); err != nil {
		return err
	}
	r.set("account.poll_carriers", cost)
	messages, _ := borrowing(vms, 50*time.Millisecond)
	_, refused := borrowing(vms, 1370*time.Millisecond)
	r.set("loan.messages", messages)
	r.set("loan.sparse_refused", 100*refused)
	return nil
}

// pollCost returns the processor time of Poll per workspace.
func pollCost(m *grant.Manager, workspaces int) (float64, error) {
	return micros(float64(polls*workspaces), func() error {
		for i := range polls {
			m.Poll(time.Duration(i+1) * grant.PollInterval)
		}
		return nil
	})
}

// borrowing returns the Borrow requests per second and the refused part of the requests of a VM that
// owns nothing and gets a request of one workspace at every interval. A request waits as in the
// daemon. Every lender is idle and answers at once.
func borrowing(vms []platform.VM, interval time.Duration) (messages, refused float64) {
	const (
		duration = 60 * time.Second
		start    = 2 * time.Second        // the goal holds for demand that has been steady for so long
		patience = 100 * time.Millisecond // as in the daemon
	)
	m := plannedManager(vms, 1, false)
	lenders := map[grant.VM]*grant.Manager{}
	sent, requests, failed := 0, 0, 0
	waiting := time.Duration(-1)
	for now := time.Duration(0); now < duration; now += grant.PollInterval {
		if now%interval < grant.PollInterval {
			if now >= start {
				requests++
			}
			if ok, _, _ := m.Admit(now, workspaceName(0), 1); !ok {
				waiting = now
			}
		} else if waiting >= 0 {
			if ok, _, _ := m.AdmitAgain(now, workspaceName(0), 1); ok {
				waiting = -1
			} else if now-waiting >= patience {
				waiting = -1
				if now >= start+patience {
					failed++
				}
			}
		}
		for _, req := range m.Poll(now) {
			sent++
			l := lenders[req.To]
			if l == nil {
				l = lenderOf(vms, req.To)
				lenders[req.To] = l
			}
			if reply, ok := l.HandleRequest(now, req); ok {
				m.HandleReply(now, reply)
			}
		}
	}
	return float64(sent) / duration.Seconds(), float64(failed) / float64(requests)
}

// lenderOf returns the shares of one owner.
func lenderOf(vms []platform.VM, self grant.VM) *grant.Manager {
	byDomain := map[string][]grant.VM{}
	domain := ""
	for _, v := range vms[:len(vms)-1] {
		byDomain[v.Domain] = append(byDomain[v.Domain], grant.VM{Name: v.Name, Incarnation: 1})
		if v.Name == self.Name {
			domain = v.Domain
		}
	}
	m := grant.NewManager(self, domain, mathrand.New(mathrand.NewSource(2)))
	o := grant.InitialOwners(domain, int(Default().Domains), byDomain[domain])
	o.Version = 1
	m.SetOwners(0, o)
	m.SetWorkspace(0, workspaceName(0), 100, 100)
	return m
}

// textOf returns an operators' text of services with 3 groups and 8 workspaces each.
func textOf(services int, groups, workspaces int) string {
	d := devfleet.Deployment{ServersPerGroup: 3, Slots: 20, Connections: 50, Service: "ledger-service-0000", Groups: groups}
	for i := range int(Default().Domains) {
		d.Domains = append(d.Domains, fmt.Sprintf("d%02d", i+1))
	}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, devfleet.Workspace{Name: fmt.Sprintf("workspace-%05d", i), Rate: 100, Burst: 100, Weight: 1})
	}
	var head, rest strings.Builder
	for s := range services {
		d.Name, d.Service = fmt.Sprintf("region-%04d", s), fmt.Sprintf("ledger-service-%04d", s)
		addresses := map[string]string{}
		for g := range groups {
			for i := range d.ServersPerGroup {
				n := (s*groups+g)*3 + i
				addresses[d.ServerName(g, i)] = fmt.Sprintf("10.%d.%d.%d:5432", 100+n/40000, n/200%200, n%200+1)
			}
		}
		for i := range d.Workspaces {
			d.Workspaces[i].Name = fmt.Sprintf("workspace-%05d", s*workspaces+i)
		}
		text := d.Text(addresses)
		at := strings.Index(text, "[[service]]")
		if s == 0 {
			head.WriteString(text[:at])
		}
		rest.WriteString(text[at:])
	}
	return head.String() + rest.String()
}

// measureText measures the operators' text.
func measureText(_ context.Context, r *run) error {
	p := Default()
	services := r.count(textGroups) / int(p.GroupsPerService)
	groups, workspaces := int(p.GroupsPerService), int(p.WorkspacesService)
	text := textOf(services, groups, workspaces)
	size := func(g, w int) float64 { return float64(len(textOf(services, g, w))) / float64(services) }
	perGroup := (float64(len(text))/float64(services) - size(1, workspaces)) / float64(groups-1)
	perWorkspace := (float64(len(text))/float64(services) - size(groups, 1)) / float64(workspaces-1)
	head := float64(len(textOf(1, groups, workspaces))) - float64(len(textOf(2, groups, workspaces))-len(textOf(1, groups, workspaces)))
	r.set("text.server", perGroup/p.ServersPerGroup)
	r.set("text.workspace", perWorkspace)
	r.set("text.service", (float64(len(text))-head)/float64(services)-perGroup*float64(groups)-perWorkspace*float64(workspaces))
	bytes, _, err := heldBy(func() (*contract.Contract, error) { return parse(text) })
	if err != nil {
		return err
	}
	kilobytes := float64(len(text)) / 1024
	r.set("text.memory", bytes/kilobytes)
	perParse, err := micros(textParses*kilobytes, func() error {
		for range textParses {
			if _, err := parse(text); err != nil {
				return err
			}
		}
		return nil
	})
	r.set("text.parse", perParse)
	return err
}

func parse(text string) (*contract.Contract, error) {
	c, faults := contract.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, fmt.Errorf("operators' text: line %d: %s", faults[0].Line, faults[0].Problem)
	}
	return c, nil
}

// measureAudit measures audit records and explanations.
func measureAudit(ctx context.Context, r *run) error {
	st := newStore()
	trail := audit.NewLog(st, r.count(audit.DefaultRecords))
	record := audit.Record{
		Who: "vm-0001/1780000000000000000", What: "primary changed", Object: "groups/region-0001-g1", ToRevision: 12,
		Cause:    "the primary region-0001-g1-s1 was suspected by VMs of two failure domains",
		Evidence: "primary region-0001-g1-s2 at 12/345678; no answer for 400 ms reported by vm-0001 in d01 and vm-0002 in d02",
	}
	for range r.count(audit.DefaultRecords) {
		if _, err := trail.Append(ctx, record); err != nil {
			return err
		}
	}
	o, err := st.Memory.Get(ctx, "audit/00001")
	if err != nil {
		return err
	}
	r.set("audit.bytes", float64(len(o.Value)))
	const known = 100
	before := st.calls.Load()
	for range known {
		if _, err := trail.Append(ctx, record); err != nil {
			return err
		}
	}
	r.set("audit.calls", float64(st.calls.Load()-before)/known)
	before = st.calls.Load()
	if _, err := audit.NewLog(st, r.count(audit.DefaultRecords)).Append(ctx, record); err != nil {
		return err
	}
	r.set("audit.first_calls", float64(st.calls.Load()-before))
	if err := r.burst(ctx, st, record); err != nil {
		return err
	}
	return r.explanations()
}

// slowStore answers after a few milliseconds, as the platform does, so that writers race as they
// would there.
type slowStore struct{ *store }

const platformLatency = 3 * time.Millisecond

func (s slowStore) Get(ctx context.Context, name string) (platform.Object, error) {
	time.Sleep(platformLatency)
	return s.store.Get(ctx, name)
}

func (s slowStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	time.Sleep(platformLatency)
	return s.store.List(ctx, prefix)
}

func (s slowStore) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	time.Sleep(platformLatency)
	return s.store.Put(ctx, name, version, value)
}

// burst measures the calls of VMs that append their first record at the same time, as after the loss
// of a failure domain.
func (r *run) burst(ctx context.Context, st *store, record audit.Record) error {
	writers := r.count(lostPrimaries)
	errs := make([]error, writers)
	before := st.calls.Load()
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() { _, errs[i] = audit.NewLog(slowStore{st}, r.count(audit.DefaultRecords)).Append(ctx, record) })
	}
	wg.Wait()
	r.set("audit.burst_calls", float64(st.calls.Load()-before))
	return errors.Join(errs...)
}

func (r *run) explanations() error {
	n := r.count(manyRequests)
	steps := []string{"2026-01-01T00:00:00.000000000Z", "read with floor 12/345678 sent to region-0001-g1-s2", "refused: target is too busy (53300)"}
	var perRequest float64
	bytes, _, err := heldBy(func() (x *audit.Explanations, err error) {
		x = audit.NewExplanations(n)
		perRequest, err = micros(float64(n), func() error {
			for i := range n {
				x.Add(fmt.Sprintf("vm-0001-%x", i), strings.Clone(steps[0]), strings.Clone(steps[1]), strings.Clone(steps[2]))
			}
			return nil
		})
		return x, err
	})
	r.set("explain.cpu", perRequest)
	r.set("explain.memory", bytes/float64(n))
	return err
}

const platformPhase = 10 * time.Second

// measurePlatform counts the platform calls of a watch holder. A VM alone in its failure domain is one.
func measurePlatform(ctx context.Context, r *run) error {
	calls, err := r.platformCalls(ctx, elsewhere(plannedVMs(r.count(int(Default().VMs)))))
	r.set("platform.holder", calls)
	return err
}

// platformCalls returns the calls per second of a daemon after its start.
func (r *run) platformCalls(ctx context.Context, vms []platform.VM) (float64, error) {
	d := deployment(1, 1)
	g, addresses, err := targets(d)
	if err != nil {
		return 0, err
	}
	defer g.Close()
	st := newStore()
	n, err := startNode(d, addresses, st, probeSlow)
	if err != nil {
		return 0, err
	}
	defer n.stop()
	peer, _, err := peerOf(n.fleet)
	if err != nil {
		return 0, err
	}
	if err := joined(ctx, peer, st, vms); err != nil {
		return 0, err
	}
	before := st.calls.Load()
	time.Sleep(r.time(platformPhase))
	return float64(st.calls.Load()-before) / r.time(platformPhase).Seconds(), nil
}
