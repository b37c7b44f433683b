package fleet

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrouter/internal/fleet/fleetpb"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
)

// The defaults keep the test short. docs/notes/propagation.md gives the commands at the planned
// size.
var (
	flagVMs      = flag.Int("propagation.vms", 200, "VMs")
	flagObjects  = flag.Int("propagation.objects", 400, "objects in the catalog")
	flagSize     = flag.Int("propagation.size", 32<<10, "size of the large changed objects in bytes")
	flagDuration = flag.Duration("propagation.duration", 90*time.Second, "simulated time that is measured")
	flagWatchAll = flag.Bool("propagation.watchall", false, "all VMs watch the platform and none pushes changes")
	flagSeed     = flag.Uint64("propagation.seed", 4, "seed of message loss, failures and random choices")
	flagTLS      = flag.Bool("propagation.tls", false, "count TLS handshakes")
)

const (
	simDomains         = 20
	simRegions         = 10
	simWarmup          = 40 * time.Second // membership and configuration ages settle; nothing is counted
	simChangeInterval  = 15 * time.Second // 5,800 changes per day
	simStoppedVMs      = 30
	simLoss            = 0.01
	simListLag         = 60 * time.Second
	simPlatformLatency = 5 * time.Millisecond // one-way latency of the platform
	simWatchWait       = 30 * time.Second
	simIsolatedDomain  = "d07"
	simStaleLimit      = 10 * time.Second // default of cut_off_after
	applyLimit         = 16 * time.Second
	bandwidthLimit     = 23000 // per VM and second, sent and received
	platformQuota      = 2000  // calls per second
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim simulates the membership and version code of a fleet in one goroutine.
type sim struct {
	now       time.Duration
	seq       int
	queue     eventQueue
	rng       *rand.Rand
	nodes     map[string]*node
	listedVMs []machine.VM // as the platform lists them
	isolated  bool
	values    map[string][]byte // by object name; all versions of an object have the same value

	changes        []machine.Version // the store revision is the length
	pendingWatches map[*node]int     // watch calls in flight, with the number of the call that a timeout must match
	watchSeq       int
	changedAt      map[machine.Version]time.Duration

	platformCalls map[time.Duration]int // by second
	platformBytes int
	ages          []time.Duration
	staleSamples  map[string]int // samples above the default of cut_off_after, by failure domain
}

type node struct {
	s             *sim
	vm            machine.VM
	members       *machine.Members
	versions      *machine.Versions
	stopped       bool
	watching      bool
	revision      int
	totalBytes    int // sent and received
	pushBytes     int // part of totalBytes that belongs to pushes
	platformBytes int // part of totalBytes that belongs to platform calls
	calls         int
	lastCall      map[string]time.Duration // latest call by peer
	appliedAt     map[machine.Version]time.Duration
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

func newSim(vms, objects, size int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(*flagSeed, 2)), nodes: map[string]*node{}, values: map[string][]byte{},
		pendingWatches: map[*node]int{}, changedAt: map[machine.Version]time.Duration{},
		platformCalls: map[time.Duration]int{}, staleSamples: map[string]int{},
	}
	for _, name := range []string{"contract", "keys"} {
		s.values[name] = make([]byte, size)
	}
	for i := range objects {
		s.values[fmt.Sprintf("groups/swap-ledger-%04d", i)] = make([]byte, 200)
	}
	for i := range vms {
		name := fmt.Sprintf("vm%04d", i)
		vm := machine.VM{
			Name: name, Incarnation: "01890a5d-ac96-774b-bcce-b302099a8057", Domain: fmt.Sprintf("d%02d", i%simDomains),
			Address: fmt.Sprintf("10.%d.%d.%d:7400", i%simDomains, i/250, i%250),
		}
		s.listedVMs = append(s.listedVMs, vm)
		n := &node{
			s: s, vm: vm, versions: machine.NewVersions(), appliedAt: map[machine.Version]time.Duration{}, lastCall: map[string]time.Duration{},
			members: machine.New(machine.Config{Self: vm}, rand.New(rand.NewPCG(uint64(i), *flagSeed))),
		}
		for object := range s.values {
			n.versions.Set(object, 1)
		}
		s.nodes[name] = n
		s.after(time.Duration(s.rng.Int64N(int64(100*time.Millisecond))), n.tick)
	}
	return s
}

func region(domain string) int {
	var d int
	_, _ = fmt.Sscanf(domain, "d%d", &d)
	return d % simRegions
}

func (s *sim) latency(a, b *node) time.Duration {
	if region(a.vm.Domain) == region(b.vm.Domain) {
		return time.Millisecond
	}
	return 50 * time.Millisecond
}

func (s *sim) reachable(a, b *node) bool {
	return !a.stopped && !b.stopped && (!s.isolated || (a.vm.Domain == simIsolatedDomain) == (b.vm.Domain == simIsolatedDomain))
}

func (n *node) reachesPlatform() bool {
	return !n.stopped && (!n.s.isolated || n.vm.Domain != simIsolatedDomain)
}

// call runs serve at the peer and done at the caller, or reports the call as unanswered when a
// message is lost or the peer cannot be reached. serve returns the size of the response.
func (n *node) call(peer machine.VM, size int, serve func(*node) int, done func()) {
	s := n.s
	p := s.nodes[peer.Name]
	overhead := n.callOverheadTo(peer.Name)
	n.calls++
	n.totalBytes += size + overhead
	timeout := func() { n.members.CallFailed(s.now, peer) }
	if !s.reachable(n, p) || s.rng.Float64() < simLoss {
		s.after(CallTimeout, timeout)
		return
	}
	lost := s.rng.Float64() < simLoss
	s.after(s.latency(n, p), func() {
		if p.stopped {
			return
		}
		responseSize := serve(p)
		p.calls++
		p.totalBytes += size + overhead + responseSize
		if lost || !s.reachable(n, p) {
			s.after(CallTimeout, timeout)
			return
		}
		s.after(s.latency(n, p), func() {
			if !n.stopped {
				n.totalBytes += responseSize
				done()
			}
		})
	})
}

// callOverheadTo returns the bytes of a call beyond its messages, depending on whether the
// connection of an earlier call is still open.
func (n *node) callOverheadTo(peer string) int {
	last, called := n.lastCall[peer]
	n.lastCall[peer] = n.s.now
	switch {
	case called && n.s.now-last < clientIdleTimeout:
		return reusedOverhead + reusedPacketOverhead
	case *flagTLS:
		return callOverheadTLS + packetOverhead
	default:
		return callOverhead + packetOverhead
	}
}

func (n *node) tick() {
	if n.stopped {
		return
	}
	n.execute(n.members.Tick(n.s.now))
	n.s.after(100*time.Millisecond, n.tick)
}

func (n *node) execute(actions []machine.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case machine.SyncWith:
			n.sync(a.Peer, nil)
		case machine.PushTo:
			if *flagWatchAll {
				continue
			}
			for _, p := range a.Peers {
				n.deliver(p, a.Names)
			}
		case machine.ListVMs:
			n.listVMs()
		case machine.ConfirmFresh:
			n.confirmConfiguration()
		case machine.StartWatch:
			if !*flagWatchAll {
				n.watching = true
				n.watch()
			}
		case machine.StopWatch:
			n.watching = *flagWatchAll
		}
	}
}

func (n *node) objects(names []string) []platform.Object {
	var list []platform.Object
	for _, name := range names {
		list = append(list, platform.Object{Name: name, Version: n.versions.Get(name), Value: n.s.values[name]})
	}
	return list
}

func (n *node) store(list []platform.Object) {
	var learned []string
	for _, o := range list {
		if n.versions.Set(o.Name, o.Version) {
			learned = append(learned, o.Name)
			n.appliedAt[machine.Version{Name: o.Name, Version: o.Version}] = n.s.now
		}
	}
	n.execute(n.members.PushLearned(learned...))
}

func (n *node) sync(peer machine.VM, lastHello *machine.Hello) {
	s := n.s
	req := n.members.Hello(s.now, n.versions, lastHello)
	sent := s.now
	var result SyncResult
	serve := func(p *node) int {
		if err := p.members.Heartbeat(s.now, req); err != nil {
			return 50
		}
		h, lacks := p.members.Respond(s.now, p.versions, req)
		var names []string
		for _, o := range lacks {
			names = append(names, o.Name)
		}
		objects, more := LimitSyncObjects(p.objects(names))
		result = SyncResult{Hello: h, Objects: objects, More: more}
		return proto.Size(&fleetpb.SyncResponse{Hello: helloToPB(h), Objects: convertAll(objects, objectToPB)})
	}
	n.call(peer, proto.Size(&fleetpb.SyncRequest{Hello: helloToPB(req)}), serve, func() {
		n.store(result.Objects)
		again, err := n.members.ApplyResponse(sent, s.now, req, result.Hello, !result.More)
		if err != nil {
			return
		}
		if len(result.Hello.Wanted) > 0 {
			n.deliver(peer, result.Hello.Wanted)
		}
		if again {
			n.sync(peer, &result.Hello)
		}
	})
}

func (n *node) deliver(peer machine.VM, names []string) {
	objects := n.objects(names)
	inline, announced := splitBySize(objects)
	var wanted []string
	serve := func(p *node) int {
		p.store(inline)
		wanted = p.members.Wanted(n.s.now, p.versions, announced)
		return proto.Size(&fleetpb.PushResponse{Wanted: wanted})
	}
	n.push(peer, inline, announced, serve, func() {
		if len(wanted) == 0 {
			return
		}
		large := n.objects(wanted)
		n.push(peer, large, nil, func(p *node) int { p.store(large); return 0 }, func() {})
	})
}

func (n *node) push(peer machine.VM, objects []platform.Object, announced []machine.Version, serve func(*node) int, done func()) {
	size := proto.Size(&fleetpb.PushRequest{Objects: convertAll(objects, objectToPB), Announced: convertAll(announced, versionToPB)})
	before := n.totalBytes
	n.call(peer, size, func(p *node) int {
		start := p.totalBytes
		responseSize := serve(p)
		p.pushBytes += p.totalBytes - start + size + responseSize
		return responseSize
	}, done)
	n.pushBytes += n.totalBytes - before
}

// platformCall counts a call with the size of its response and runs done. It runs failed instead if
// the platform cannot be reached.
func (n *node) platformCall(size int, done, failed func()) {
	s := n.s
	if !n.reachesPlatform() {
		s.after(time.Second, failed)
		return
	}
	s.platformCalls[s.now.Truncate(time.Second)]++
	s.platformBytes += size + callOverhead
	n.totalBytes += size + callOverhead
	n.platformBytes += size + callOverhead
	s.after(2*simPlatformLatency, func() {
		if n.reachesPlatform() {
			done()
			return
		}
		failed()
	})
}

func (n *node) listVMs() {
	started := n.s.now
	list := n.s.listedVMs
	n.platformCall(130*len(list), func() { n.members.Observe(started, n.s.now, list) }, func() {})
}

// confirmConfiguration asks the platform to confirm the configuration. The confirmation counts only
// while the watch is established.
func (n *node) confirmConfiguration() {
	started := n.s.now
	n.platformCall(100, func() {
		if _, ok := n.s.pendingWatches[n]; ok {
			n.members.Confirmed(started)
		}
	}, func() {})
}

// watch keeps one watch call in flight.
func (n *node) watch() {
	if !n.watching || n.stopped {
		return
	}
	n.platformCall(100, func() {
		s := n.s
		if n.revision < len(s.changes) {
			n.receiveChanges()
			return
		}
		s.watchSeq++
		number := s.watchSeq
		s.pendingWatches[n] = number
		s.after(simWatchWait, func() {
			if s.pendingWatches[n] == number {
				delete(s.pendingWatches, n)
				n.watch()
			}
		})
	}, n.watch)
}

// receiveChanges receives the changes since the last revision and renews the watch.
func (n *node) receiveChanges() {
	s := n.s
	delete(s.pendingWatches, n)
	if !n.reachesPlatform() {
		s.after(time.Second, n.watch)
		return
	}
	var list []platform.Object
	for _, change := range s.changes[n.revision:] {
		list = append(list, platform.Object{Name: change.Name, Version: change.Version, Value: s.values[change.Name]})
	}
	n.revision = len(s.changes)
	for _, o := range list {
		n.totalBytes += objectSize(o)
		n.platformBytes += objectSize(o)
		s.platformBytes += objectSize(o)
	}
	n.store(list)
	n.watch()
}

// publishChange publishes a new version of an object in the platform.
func (s *sim) publishChange(name string) {
	version := uint64(2)
	for _, c := range s.changes {
		if c.Name == name {
			version = c.Version + 1
		}
	}
	published := machine.Version{Name: name, Version: version}
	s.changes = append(s.changes, published)
	s.changedAt[published] = s.now
	for _, vm := range s.listedVMs {
		n := s.nodes[vm.Name]
		if _, ok := s.pendingWatches[n]; ok {
			s.after(simPlatformLatency, n.receiveChanges)
		}
	}
}

// injectFailures stops 30 VMs, among them both watch holders of three failure domains, and isolates
// another failure domain.
func (s *sim) injectFailures() {
	s.isolated = true
	any := s.nodes["vm0000"].members
	var stopped []string
	for _, domain := range []string{"d01", "d02", "d03"} {
		for _, vm := range any.WatchHolders(domain) {
			stopped = append(stopped, vm.Name)
		}
	}
	for len(stopped) < simStoppedVMs {
		vm := s.listedVMs[s.rng.IntN(len(s.listedVMs))]
		if vm.Domain != simIsolatedDomain && !slices.Contains(stopped, vm.Name) {
			stopped = append(stopped, vm.Name)
		}
	}
	for _, name := range stopped {
		s.nodes[name].stopped = true
		delete(s.pendingWatches, s.nodes[name])
	}
	s.after(simListLag, func() {
		s.listedVMs = slices.DeleteFunc(slices.Clone(s.listedVMs), func(v machine.VM) bool { return s.nodes[v.Name].stopped })
	})
}

func (s *sim) sampleAges(end time.Duration) {
	for _, n := range s.nodes {
		if n.reachesPlatform() {
			age, _ := n.members.FreshAge(s.now)
			s.ages = append(s.ages, age)
			if age > simStaleLimit {
				s.staleSamples[n.vm.Domain]++
			}
		}
	}
	if s.now < end {
		s.after(time.Second, func() { s.sampleAges(end) })
	}
}

// applyTimes returns for each change the time until the last VM selected by keep held that version
// or a later one. A change that did not arrive fails the test.
func (s *sim) applyTimes(t *testing.T, keep func(*node) bool) []time.Duration {
	t.Helper()
	var times []time.Duration
	for v, at := range s.changedAt {
		slowest := time.Duration(0)
		for _, n := range s.nodes {
			if !keep(n) {
				continue
			}
			held := time.Duration(-1)
			for w, when := range n.appliedAt {
				if w.Name == v.Name && w.Version >= v.Version && (held < 0 || when < held) {
					held = when
				}
			}
			if held < 0 {
				t.Errorf("%s lacks %s version %d", n.vm.Name, v.Name, v.Version)
				return nil
			}
			slowest = max(slowest, held-at)
		}
		times = append(times, slowest)
	}
	slices.Sort(times)
	return times
}

// Guards against changes that do not reach every VM within the limit, and against exceeding the
// limit of bytes per VM or the platform's quota: messages are lost, VMs stop, and a failure domain
// is isolated and returns.
func TestPropagation(t *testing.T) {
	is := is.New(t)
	s := newSim(*flagVMs, *flagObjects, *flagSize)
	if *flagWatchAll {
		for _, vm := range s.listedVMs {
			n := s.nodes[vm.Name]
			n.watching = true
			s.after(time.Duration(s.rng.Int64N(int64(simWatchWait))), n.watch)
		}
	}
	s.run(simWarmup)
	for _, n := range s.nodes {
		n.totalBytes, n.pushBytes, n.platformBytes, n.calls = 0, 0, 0, 0
	}
	clear(s.platformCalls)
	s.platformBytes = 0
	s.injectFailures()
	end := simWarmup + *flagDuration
	s.after(10*time.Second, func() { s.sampleAges(end) })
	kinds := []string{"keys", "contract", "groups/swap-ledger-0007"}
	for i := range int((*flagDuration - applyLimit) / simChangeInterval) {
		s.after(time.Duration(i)*simChangeInterval, func() { s.publishChange(kinds[i%len(kinds)]) })
	}
	s.run(end)
	reachable := func(n *node) bool { return !n.stopped && n.vm.Domain != simIsolatedDomain }
	times := s.applyTimes(t, reachable)

	s.report(t, times)
	if !*flagWatchAll {
		is.True(times[len(times)-1] <= applyLimit)
	}

	restored := s.now
	s.isolated = false
	s.run(restored + applyLimit)
	slowest := time.Duration(0)
	for _, n := range s.nodes {
		if n.vm.Domain == simIsolatedDomain && !n.stopped {
			for _, at := range n.appliedAt {
				slowest = max(slowest, at-restored)
			}
		}
	}
	is.True(len(s.applyTimes(t, func(n *node) bool { return !n.stopped })) > 0)
	t.Logf("isolated domain: all versions applied %v after it returned", slowest.Round(time.Millisecond))
}

func (s *sim) report(t *testing.T, times []time.Duration) {
	t.Helper()
	is := is.New(t)
	seconds := flagDuration.Seconds()
	var serving, isolated []*node
	for _, n := range s.nodes {
		switch {
		case n.stopped:
		case n.vm.Domain == simIsolatedDomain:
			isolated = append(isolated, n)
		default:
			serving = append(serving, n)
		}
	}
	calls, peak := 0, 0
	for _, c := range s.platformCalls {
		calls += c
		peak = max(peak, c)
	}
	slices.Sort(s.ages)
	t.Logf("%d VMs, %d objects, changed objects of %d bytes, %d changes in %v", len(s.nodes), len(s.values), *flagSize, len(s.changedAt), *flagDuration)
	t.Logf("applied on every reachable VM: median %v, worst %v", times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	maxLoad := max(reportLoad(t, "reachable VMs", serving, seconds), reportLoad(t, "isolated VMs", isolated, seconds))
	t.Logf("platform calls per second of the fleet: mean %.0f, peak %d; bytes per second %.0f", float64(calls)/seconds, peak, float64(s.platformBytes)/seconds)
	t.Logf("age of the configuration: p50 %v, p99 %v, p99.99 %v, max %v", s.age(0.5), s.age(0.99), s.age(0.9999), s.age(1))
	t.Logf("age above %v: %d of %d samples, by failure domain %v", simStaleLimit, total(s.staleSamples), len(s.ages), s.staleSamples)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	t.Logf("heap of the simulation divided by the VMs: %d KB", memory.HeapAlloc/uint64(len(s.nodes))/1024)
	if !*flagWatchAll {
		is.True(maxLoad <= bandwidthLimit)
		is.True(peak <= platformQuota)
	}
}

func total(counts map[string]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}

func (s *sim) age(q float64) time.Duration {
	return s.ages[int(q*float64(len(s.ages)-1))].Round(time.Millisecond)
}

// reportLoad logs the bytes and calls of VMs and returns the bytes per second of the most loaded
// one.
func reportLoad(t *testing.T, name string, nodes []*node, seconds float64) float64 {
	t.Helper()
	slices.SortFunc(nodes, func(a, b *node) int { return a.totalBytes - b.totalBytes })
	rate := func(q float64) float64 { return float64(nodes[int(q*float64(len(nodes)-1))].totalBytes) / seconds }
	calls, maxCalls, pushed, platform, all := 0, 0, 0, 0, 0
	for _, n := range nodes {
		calls += n.calls
		maxCalls = max(maxCalls, n.calls)
		pushed += n.pushBytes
		platform += n.platformBytes
		all += n.totalBytes
	}
	percent := func(part, all int) float64 { return 100 * float64(part) / float64(all) }
	t.Logf("%s: bytes per VM and second, sent and received: median %.0f, p99 %.0f, max %.0f", name, rate(0.5), rate(0.99), rate(1))
	last := nodes[len(nodes)-1]
	t.Logf("%s: pushes %.0f%% and platform calls %.0f%% of the bytes; on the most loaded VM %.0f%% and %.0f%%",
		name, percent(pushed, all), percent(platform, all), percent(last.pushBytes, last.totalBytes), percent(last.platformBytes, last.totalBytes))
	t.Logf("%s: calls made and served per VM and second: mean %.1f, max %.1f", name, float64(calls)/float64(len(nodes))/seconds, float64(maxCalls)/seconds)
	return rate(1)
}
