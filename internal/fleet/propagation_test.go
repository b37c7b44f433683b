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

// The defaults keep the test short. docs/notes/propagation.md gives the commands at the planned size.
var (
	flagVMs      = flag.Int("propagation.vms", 200, "VMs")
	flagObjects  = flag.Int("propagation.objects", 400, "objects in the catalog")
	flagSize     = flag.Int("propagation.size", 32<<10, "size of the large changed objects in bytes")
	flagDuration = flag.Duration("propagation.duration", 90*time.Second, "driven time that is measured")
	flagWatchAll = flag.Bool("propagation.watchall", false, "every VM watches the platform and none pushes")
	flagSeed     = flag.Uint64("propagation.seed", 4, "seed of losses, failures and choices")
	flagTLS      = flag.Bool("propagation.tls", false, "count TLS handshakes")
)

const (
	simDomains    = 20
	simRegions    = 10
	simWarmup     = 40 * time.Second // membership and freshness settle; nothing is counted
	simChange     = 15 * time.Second // 5,800 changes per day
	simDead       = 30
	simLoss       = 0.01
	simListLag    = 60 * time.Second
	simPlatform   = 5 * time.Millisecond // one-way latency of the platform
	simWatchWait  = 30 * time.Second
	simCutDomain  = "d07"
	simCutOff     = 10 * time.Second // default of cut_off_after
	forceLimit    = 16 * time.Second
	bytesLimit    = 23000 // per VM and second, sent and received
	platformQuota = 2000  // calls per second
)

type event struct {
	at  time.Duration
	seq int
	do  func()
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

// sim drives the membership and version code of a fleet in one goroutine.
type sim struct {
	now    time.Duration
	seq    int
	queue  eventQueue
	rng    *rand.Rand
	nodes  map[string]*node
	list   []machine.VM // as the platform shows it
	cut    bool
	values map[string][]byte // by object name; versions differ only in number

	log      []machine.Version // changes; the store revision is the length
	waiting  map[*node]int     // watch calls in flight, with a number to end the right one
	watchSeq int
	changed  map[machine.Version]time.Duration

	platformCalls map[time.Duration]int // by second
	platformBytes int
	ages          []time.Duration
	cutOffAges    map[string]int // samples above the default of cut_off_after, by failure domain
}

type node struct {
	s        *sim
	vm       machine.VM
	members  *machine.Members
	versions *machine.Versions
	dead     bool
	watching bool
	revision int
	bytes    int // sent and received
	pushed   int // part of bytes that belongs to pushes
	platform int // part of bytes that belongs to platform calls
	calls    int
	called   map[string]time.Duration // latest call by peer
	inForce  map[machine.Version]time.Duration
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func newSim(vms, objects, size int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(*flagSeed, 2)), nodes: map[string]*node{}, values: map[string][]byte{},
		waiting: map[*node]int{}, changed: map[machine.Version]time.Duration{},
		platformCalls: map[time.Duration]int{}, cutOffAges: map[string]int{},
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
		s.list = append(s.list, vm)
		n := &node{
			s: s, vm: vm, versions: machine.NewVersions(), inForce: map[machine.Version]time.Duration{}, called: map[string]time.Duration{},
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
	return !a.dead && !b.dead && (!s.cut || (a.vm.Domain == simCutDomain) == (b.vm.Domain == simCutDomain))
}

func (n *node) reachesPlatform() bool {
	return !n.dead && (!n.s.cut || n.vm.Domain != simCutDomain)
}

// call runs serve at the peer and done at the caller, or reports the peer as unanswered when a message
// is lost or the peer cannot be reached. The functions return the sizes of the messages.
func (n *node) call(peer machine.VM, size int, serve func(*node) int, done func()) {
	s := n.s
	p := s.nodes[peer.Name]
	overhead := n.overhead(peer.Name)
	n.calls++
	n.bytes += size + overhead
	timeout := func() { n.members.CallFailed(s.now, peer) }
	if !s.reachable(n, p) || s.rng.Float64() < simLoss {
		s.after(CallTimeout, timeout)
		return
	}
	lost := s.rng.Float64() < simLoss
	s.after(s.latency(n, p), func() {
		if p.dead {
			return
		}
		answer := serve(p)
		p.calls++
		p.bytes += size + overhead + answer
		if lost || !s.reachable(n, p) {
			s.after(CallTimeout, timeout)
			return
		}
		s.after(s.latency(n, p), func() {
			if !n.dead {
				n.bytes += answer
				done()
			}
		})
	})
}

// overhead returns the bytes of a call beyond its messages, depending on whether the connection of an
// earlier call is still open.
func (n *node) overhead(peer string) int {
	last, called := n.called[peer]
	n.called[peer] = n.s.now
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
	if n.dead {
		return
	}
	n.act(n.members.Tick(n.s.now))
	n.s.after(100*time.Millisecond, n.tick)
}

func (n *node) act(actions []machine.Action) {
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
			n.confirm()
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
			n.inForce[machine.Version{Name: o.Name, Version: o.Version}] = n.s.now
		}
	}
	n.act(n.members.PushLearned(learned...))
}

func (n *node) sync(peer machine.VM, last *machine.Hello) {
	s := n.s
	req := n.members.Hello(s.now, n.versions, last)
	sent := s.now
	var answer SyncResult
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
		answer = SyncResult{Hello: h, Objects: objects, More: more}
		return proto.Size(&fleetpb.SyncResponse{Hello: helloToPB(h), Objects: mapped(objects, objectToPB)})
	}
	n.call(peer, proto.Size(&fleetpb.SyncRequest{Hello: helloToPB(req)}), serve, func() {
		n.store(answer.Objects)
		again, err := n.members.ApplyResponse(sent, s.now, req, answer.Hello, !answer.More)
		if err != nil {
			return
		}
		if len(answer.Hello.Wanted) > 0 {
			n.deliver(peer, answer.Hello.Wanted)
		}
		if again {
			n.sync(peer, &answer.Hello)
		}
	})
}

func (n *node) deliver(peer machine.VM, names []string) {
	objects := n.objects(names)
	inline, announced := splitPush(objects)
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
	size := proto.Size(&fleetpb.PushRequest{Objects: mapped(objects, objectToPB), Announced: mapped(announced, versionToPB)})
	before := n.bytes
	n.call(peer, size, func(p *node) int {
		start := p.bytes
		answer := serve(p)
		p.pushed += p.bytes - start + size + answer
		return answer
	}, done)
	n.pushed += n.bytes - before
}

// platformCall counts a call and runs done with the answer's size counted, unless the platform is out
// of reach.
func (n *node) platformCall(size int, done, failed func()) {
	s := n.s
	if !n.reachesPlatform() {
		s.after(time.Second, failed)
		return
	}
	s.platformCalls[s.now.Truncate(time.Second)]++
	s.platformBytes += size + callOverhead
	n.bytes += size + callOverhead
	n.platform += size + callOverhead
	s.after(2*simPlatform, func() {
		if n.reachesPlatform() {
			done()
			return
		}
		failed()
	})
}

func (n *node) listVMs() {
	started := n.s.now
	list := n.s.list
	n.platformCall(130*len(list), func() { n.members.Observe(started, n.s.now, list) }, func() {})
}

// confirm counts as a confirmation only while the watch is established.
func (n *node) confirm() {
	started := n.s.now
	n.platformCall(100, func() {
		if _, ok := n.s.waiting[n]; ok {
			n.members.Confirmed(started)
		}
	}, func() {})
}

// watch keeps one watch call in flight.
func (n *node) watch() {
	if !n.watching || n.dead {
		return
	}
	n.platformCall(100, func() {
		s := n.s
		if n.revision < len(s.log) {
			n.watched()
			return
		}
		s.watchSeq++
		number := s.watchSeq
		s.waiting[n] = number
		s.after(simWatchWait, func() {
			if s.waiting[n] == number {
				delete(s.waiting, n)
				n.watch()
			}
		})
	}, n.watch)
}

// watched receives the changes since the last revision and watches on.
func (n *node) watched() {
	s := n.s
	delete(s.waiting, n)
	if !n.reachesPlatform() {
		s.after(time.Second, n.watch)
		return
	}
	var list []platform.Object
	for _, change := range s.log[n.revision:] {
		list = append(list, platform.Object{Name: change.Name, Version: change.Version, Value: s.values[change.Name]})
	}
	n.revision = len(s.log)
	for _, o := range list {
		n.bytes += objectSize(o)
		n.platform += objectSize(o)
		s.platformBytes += objectSize(o)
	}
	n.store(list)
	n.watch()
}

// change accepts a new version of an object in the platform.
func (s *sim) change(name string) {
	version := uint64(2)
	for _, c := range s.log {
		if c.Name == name {
			version = c.Version + 1
		}
	}
	v := machine.Version{Name: name, Version: version}
	s.log = append(s.log, v)
	s.changed[v] = s.now
	for _, vm := range s.list {
		n := s.nodes[vm.Name]
		if _, ok := s.waiting[n]; ok {
			s.after(simPlatform, n.watched)
		}
	}
}

// fail kills 30 VMs, among them both watch holders of three failure domains, and cuts one failure
// domain off.
func (s *sim) fail() {
	s.cut = true
	any := s.nodes["vm0000"].members
	var dead []string
	for _, domain := range []string{"d01", "d02", "d03"} {
		for _, vm := range any.WatchHolders(domain) {
			dead = append(dead, vm.Name)
		}
	}
	for len(dead) < simDead {
		vm := s.list[s.rng.IntN(len(s.list))]
		if vm.Domain != simCutDomain && !slices.Contains(dead, vm.Name) {
			dead = append(dead, vm.Name)
		}
	}
	for _, name := range dead {
		s.nodes[name].dead = true
		delete(s.waiting, s.nodes[name])
	}
	s.after(simListLag, func() {
		s.list = slices.DeleteFunc(slices.Clone(s.list), func(v machine.VM) bool { return s.nodes[v.Name].dead })
	})
}

func (s *sim) sampleAges(end time.Duration) {
	for _, n := range s.nodes {
		if n.reachesPlatform() {
			age, _ := n.members.FreshAge(s.now)
			s.ages = append(s.ages, age)
			if age > simCutOff {
				s.cutOffAges[n.vm.Domain]++
			}
		}
	}
	if s.now < end {
		s.after(time.Second, func() { s.sampleAges(end) })
	}
}

// forceTimes returns for each change the time until the last VM accepted by keep held it or a later
// version; a change that has not arrived counts as a failure.
func (s *sim) forceTimes(t *testing.T, keep func(*node) bool) []time.Duration {
	t.Helper()
	var times []time.Duration
	for v, at := range s.changed {
		worst := time.Duration(0)
		for _, n := range s.nodes {
			if !keep(n) {
				continue
			}
			held := time.Duration(-1)
			for w, when := range n.inForce {
				if w.Name == v.Name && w.Version >= v.Version && (held < 0 || when < held) {
					held = when
				}
			}
			if held < 0 {
				t.Errorf("%s does not hold %s version %d", n.vm.Name, v.Name, v.Version)
				return nil
			}
			worst = max(worst, held-at)
		}
		times = append(times, worst)
	}
	slices.Sort(times)
	return times
}

// Guards against changes that are not in force everywhere within the goal, and against exceeding the
// budget of bytes per VM or the platform's quota, with lost messages, dead VMs and a failure domain
// that is cut off and returns.
func TestPropagation(t *testing.T) {
	is := is.New(t)
	s := newSim(*flagVMs, *flagObjects, *flagSize)
	if *flagWatchAll {
		for _, vm := range s.list {
			n := s.nodes[vm.Name]
			n.watching = true
			s.after(time.Duration(s.rng.Int64N(int64(simWatchWait))), n.watch)
		}
	}
	s.run(simWarmup)
	for _, n := range s.nodes {
		n.bytes, n.pushed, n.platform, n.calls = 0, 0, 0, 0
	}
	clear(s.platformCalls)
	s.platformBytes = 0
	s.fail()
	end := simWarmup + *flagDuration
	s.after(10*time.Second, func() { s.sampleAges(end) })
	kinds := []string{"keys", "contract", "groups/swap-ledger-0007"}
	for i := range int((*flagDuration - forceLimit) / simChange) {
		s.after(time.Duration(i)*simChange, func() { s.change(kinds[i%len(kinds)]) })
	}
	s.run(end)
	reachable := func(n *node) bool { return !n.dead && n.vm.Domain != simCutDomain }
	times := s.forceTimes(t, reachable)

	s.report(t, times)
	if !*flagWatchAll {
		is.True(times[len(times)-1] <= forceLimit)
	}

	healed := s.now
	s.cut = false
	s.run(healed + forceLimit)
	last := time.Duration(0)
	for _, n := range s.nodes {
		if n.vm.Domain == simCutDomain && !n.dead {
			for _, at := range n.inForce {
				last = max(last, at-healed)
			}
		}
	}
	is.True(len(s.forceTimes(t, func(n *node) bool { return !n.dead })) > 0)
	t.Logf("cut-off domain: all versions in force %v after it returned", last.Round(time.Millisecond))
}

func (s *sim) report(t *testing.T, times []time.Duration) {
	t.Helper()
	is := is.New(t)
	seconds := flagDuration.Seconds()
	var serving, cutOff []*node
	for _, n := range s.nodes {
		switch {
		case n.dead:
		case n.vm.Domain == simCutDomain:
			cutOff = append(cutOff, n)
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
	t.Logf("%d VMs, %d objects, changed objects of %d bytes, %d changes in %v", len(s.nodes), len(s.values), *flagSize, len(s.changed), *flagDuration)
	t.Logf("in force on every reachable VM: median %v, worst %v", times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
	most := max(load(t, "reachable VMs", serving, seconds), load(t, "cut-off VMs", cutOff, seconds))
	t.Logf("platform calls per second of the fleet: mean %.0f, peak %d; bytes per second %.0f", float64(calls)/seconds, peak, float64(s.platformBytes)/seconds)
	t.Logf("age of the configuration: p50 %v, p99 %v, p99.99 %v, most %v", s.age(0.5), s.age(0.99), s.age(0.9999), s.age(1))
	t.Logf("age above %v: %d of %d samples, by failure domain %v", simCutOff, total(s.cutOffAges), len(s.ages), s.cutOffAges)
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	t.Logf("heap of the driver divided by the VMs: %d KB", memory.HeapAlloc/uint64(len(s.nodes))/1024)
	if !*flagWatchAll {
		is.True(most <= bytesLimit)
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

// load logs the bytes and calls of VMs and returns the bytes per second of the most loaded one.
func load(t *testing.T, name string, nodes []*node, seconds float64) float64 {
	t.Helper()
	slices.SortFunc(nodes, func(a, b *node) int { return a.bytes - b.bytes })
	rate := func(q float64) float64 { return float64(nodes[int(q*float64(len(nodes)-1))].bytes) / seconds }
	calls, mostCalls, pushed, platform, all := 0, 0, 0, 0, 0
	for _, n := range nodes {
		calls += n.calls
		mostCalls = max(mostCalls, n.calls)
		pushed += n.pushed
		platform += n.platform
		all += n.bytes
	}
	percent := func(part, all int) float64 { return 100 * float64(part) / float64(all) }
	t.Logf("%s: bytes per VM and second, sent and received: median %.0f, p99 %.0f, most %.0f", name, rate(0.5), rate(0.99), rate(1))
	last := nodes[len(nodes)-1]
	t.Logf("%s: pushes %.0f%% and platform calls %.0f%% of the bytes; on the most loaded VM %.0f%% and %.0f%%",
		name, percent(pushed, all), percent(platform, all), percent(last.pushed, last.bytes), percent(last.platform, last.bytes))
	t.Logf("%s: calls made and served per VM and second: mean %.1f, most %.1f", name, float64(calls)/float64(len(nodes))/seconds, float64(mostCalls)/seconds)
	return rate(1)
}
