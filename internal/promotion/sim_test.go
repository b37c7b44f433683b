package promotion

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Delays and intervals of the simulation.
const (
	simLatency = 2 * time.Millisecond  // one way, between any two processes
	simTick    = 25 * time.Millisecond // of the coordinators
	simStep    = 10 * time.Millisecond // of replication and of the writing client
	simTimeout = 300 * time.Millisecond
)

// sim runs coordinators and servers in virtual time. The VMs are distributed over the failure domains
// a, b and c in turn; server s1 is in a, s2 in b and s3 in c.
type sim struct {
	*modelState
	now            time.Duration
	queue          simQueue
	order          int
	vms            []*simVM
	down           map[string]bool // servers that neither respond nor replicate
	notReplicating map[string]bool // servers that do not replicate
	isolated       map[string]bool // failure domains that are isolated from the others
	active         map[string]int  // open transactions of a server
	writesStopped  bool

	outcomes []Outcome
	ackedAt  []time.Duration // time of each acknowledgment
}

type simVM struct {
	*Coordinator
	name          string
	domain        string
	paused        bool
	backlog       []Input
	writePauses   []PauseWrites
	writePausedAt []time.Duration
	stateChanges  []StateChange
	suspects      bool
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int      { return len(q) }
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q *simQueue) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSim returns a simulation with n VMs and server s1 as primary of term 1.
func newSim(n int, seed uint64) *sim {
	s := &sim{
		modelState: newModelState(limits{}), down: map[string]bool{}, notReplicating: map[string]bool{},
		isolated: map[string]bool{}, active: map[string]int{},
	}
	var live []VM
	for i := range n {
		live = append(live, VM{Name: fmt.Sprintf("vm%d", i+1), Domain: groupServers[i%3].Domain})
	}
	for i, vm := range live {
		c := NewCoordinator(Config{
			Group: "g", VM: vm.Name, Domain: vm.Domain, CoordinatorID: vm.Name, Servers: groupServers,
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		v := &simVM{Coordinator: c, name: vm.Name, domain: vm.Domain}
		s.vms = append(s.vms, v)
		s.input(v, LiveVMs{Live: live})
		s.tick(v)
	}
	s.background()
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, simEvent{at: s.now + d, order: s.order, run: run})
}

// run advances the virtual time.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) tick(v *simVM) {
	if !v.paused {
		s.input(v, Tick{})
	}
	s.after(simTick, func() { s.tick(v) })
}

func (s *sim) input(v *simVM, in Input) {
	if v.paused {
		v.backlog = append(v.backlog, in)
		return
	}
	for _, a := range v.Step(s.now, in) {
		s.execute(v, a)
	}
}

func (s *sim) pause(v *simVM) { v.paused = true }

// resume continues a paused coordinator, which processes the inputs that arrived in the meantime.
func (s *sim) resume(v *simVM) {
	v.paused = false
	backlog := v.backlog
	v.backlog = nil
	for _, in := range backlog {
		s.input(v, in)
	}
}

func (s *sim) execute(v *simVM, a Action) {
	switch a := a.(type) {
	case Probe:
		s.call(v, a.Server, func(m *Member[int]) Input {
			return StatusResponse{Server: a.Server, Status: s.status(m)}
		}, ProbeFailed{Server: a.Server, Reason: "time limit"})
	case ControlRequest:
		s.call(v, a.Server, func(*Member[int]) Input { return s.handleControl(a) },
			ControlFailed{Server: a.Server, Op: a.Op, Term: a.Term, Reason: "time limit"})
	case SuspicionReport:
		v.suspects = a.Suspected
		for _, other := range s.vms {
			if other != v && s.connected(v.domain, other.domain) {
				r := PeerSuspicion{VM: v.name, Domain: v.domain, Term: a.Term, Suspected: a.Suspected, Reason: a.Reason}
				s.after(simLatency, func() { s.input(other, r) })
			}
		}
	case Publish:
		s.outcomes = append(s.outcomes, a.Outcome)
	case PauseWrites:
		v.writePauses, v.writePausedAt = append(v.writePauses, a), append(v.writePausedAt, s.now)
	case StateChange:
		v.stateChanges = append(v.stateChanges, a)
	}
}

func (s *sim) status(m *Member[int]) Status {
	st := m.Status()
	st.Active = s.active[m.name]
	return st
}

func (s *sim) connected(x, y string) bool { return x == y || !s.isolated[x] && !s.isolated[y] }

// call sends a request to a server. The response is lost if either direction fails.
func (s *sim) call(v *simVM, server string, run func(*Member[int]) Input, lost Input) {
	i := slices.IndexFunc(groupServers, func(x Server) bool { return x.Name == server })
	arrives := func() bool { return s.connected(v.domain, groupServers[i].Domain) && !s.down[server] }
	responded := false
	s.after(simLatency, func() {
		if !arrives() {
			return
		}
		response := run(s.members[i])
		s.after(simLatency, func() {
			if arrives() {
				responded = true
				s.input(v, response)
			}
		})
	})
	s.after(simTimeout, func() {
		if !responded {
			s.input(v, lost)
		}
	})
}

// background periodically replicates, writes on every primary and confirms writes.
func (s *sim) background() {
	for i, m := range s.members {
		for j, r := range s.members {
			s.replicate(i, m, j, r)
		}
		if m.role == Primary && !s.down[m.name] && !s.writesStopped {
			s.write(i)
		}
	}
	before := s.acked()
	s.check()
	for range s.acked() - before {
		s.ackedAt = append(s.ackedAt, s.now)
	}
	s.after(simStep, s.background)
}

// recentWrites is the number of latest writes that may still be confirmed.
const recentWrites = 50

// acked returns the number of acknowledged writes among the recent ones.
func (s *sim) acked() int {
	n := 0
	for _, w := range s.writes[max(0, len(s.writes)-recentWrites):] {
		if w.acked {
			n++
		}
	}
	return n
}

func (s *sim) replicate(i int, from *Member[int], j int, to *Member[int]) {
	linked := s.connected(groupServers[i].Domain, groupServers[j].Domain) && !s.down[from.name] && !s.down[to.name] &&
		!s.notReplicating[from.name] && !s.notReplicating[to.name]
	if i == j || !linked || to.role != Replica || to.primary != from.name {
		return
	}
	if a, ok := from.EntriesAfter(to.promised, from.LastCommonPosition(to.TermBoundaries()), 1000); ok {
		to.AppendEntries(a)
	}
}

// check confirms recent writes and verifies the invariants.
func (s *sim) check() {
	for i := max(0, len(s.writes)-recentWrites); i < len(s.writes); i++ {
		s.confirm(i)
	}
	for _, m := range s.members {
		if m.role == Primary {
			s.checkPrimary(m)
		}
	}
}

// checkPrimary verifies a primary once per term against all acknowledged writes.
func (s *sim) checkPrimary(m *Member[int]) {
	known, exists := s.primaries[m.promised]
	if exists && known != m.name {
		s.violation = fmt.Sprintf("term %d has the primaries %s and %s", m.promised, known, m.name)
	}
	s.primaries[m.promised] = m.name
	if exists {
		return
	}
	for id, made := range s.writes {
		if made.acked && m.promised > made.position.Term && !s.contains(m, id+1) {
			s.violation = fmt.Sprintf("primary %s of term %d lacks acknowledged write %d", m.name, m.promised, id+1)
		}
	}
}

// longestGap returns the longest time without an acknowledgment since from.
func (s *sim) longestGap(from time.Duration) time.Duration {
	last, longest := from, time.Duration(0)
	for _, at := range append(slices.Clone(s.ackedAt), s.now) {
		if at < from {
			continue
		}
		longest = max(longest, at-last)
		last = at
	}
	return longest
}

// converged reports whether all servers follow the primary of the highest term.
func (s *sim) converged() bool {
	var primary *Member[int]
	for _, m := range s.members {
		if m.role == Primary && (primary == nil || m.promised > primary.promised) {
			primary = m
		}
	}
	if primary == nil {
		return false
	}
	for _, m := range s.members {
		if m != primary && (m.role != Replica || m.primary != primary.name || m.promised != primary.promised) {
			return false
		}
	}
	return true
}

// verify fails the test on a violation.
func (s *sim) verify(t testing.TB) {
	t.Helper()
	if s.violation != "" {
		t.Fatalf("%s at %v", s.violation, s.now)
	}
}

func (s *sim) member(name string) *Member[int] {
	return s.members[slices.IndexFunc(groupServers, func(x Server) bool { return x.Name == name })]
}

func (s *sim) eachVM(f func(*simVM)) {
	for _, v := range s.vms {
		f(v)
	}
}

func (s *sim) term() uint64 {
	term := uint64(0)
	for _, m := range s.members {
		term = max(term, m.promised)
	}
	return term
}
