package promotion

import (
	"crypto/sha256"
	"encoding/binary"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrouter/internal/session"
)

// The exploration runs the real Member and Driver code of three servers and two drivers through
// every order of events up to a number of steps. A message that stays undelivered stands for a
// lost, a delayed or a reordered message, and a driver whose messages stay undelivered is paused.
// Time stands still; a driver may start an attempt or run into a time limit at any moment, which
// covers every timing of the failure detection.

// extraSteps deepens the exploration without violations, for longer runs outside CI.
var extraSteps = flag.Int("explore.extra", 0, "additional steps of TestExplorationFindsNoViolation")

// limits bounds an exploration.
type limits struct {
	steps   int
	starts  int  // attempts per driver
	writes  int  // writes in total
	appends bool // replication takes place
	// ahead lets the second driver begin one term above the first, as after a refusal.
	ahead bool
	// pipelined lets a primary send entries before the preceding ones have arrived.
	pipelined bool
	withdrawn []string // failure domains that operators have withdrawn
	without   rule     // rule switched off
}

// message is a message under way. Exactly one of the pointers is set.
type message struct {
	driver int // sender of send, receiver of answer
	send   *ControlRequest
	answer *ControlResponse
	to     int // receiver of append
	append *Append[int]
	text   string // identifies the message
}

// describe returns m with its text.
func (m message) describe() message {
	m.text = m.String()
	return m
}

func (m message) String() string {
	switch {
	case m.send != nil:
		return fmt.Sprintf("d%d %s %d to %s", m.driver+1, m.send.Op, m.send.Term, m.send.Server)
	case m.answer != nil:
		return fmt.Sprintf("%s answers %s %d %t %s to d%d", m.answer.Server, m.answer.Op, m.answer.Term,
			m.answer.Granted, m.answer.Status.LogEnd, m.driver+1)
	default:
		return fmt.Sprintf("append %d after %s %v to s%d", m.append.Term, m.append.Prev, m.append.Entries, m.to+1)
	}
}

// madeWrite is a write accepted by a primary. Its id is its index plus one.
type madeWrite struct {
	at    session.Position
	seen  [3]bool // servers that have confirmed the write
	acked bool
}

// world is the state of servers, drivers and network.
type world struct {
	limits
	members   [3]*Member[int]
	drivers   [2]*Coordinator
	starts    [2]int
	net       []message
	writes    []madeWrite
	primaries map[uint64]string // primary of each term
	violation string
}

var groupServers = []Server{
	{Name: "s1", Address: "s1", Domain: "a"}, {Name: "s2", Address: "s2", Domain: "b"},
	{Name: "s3", Address: "s3", Domain: "c"},
}

// newWorld returns a group whose server s1 is the primary of term 1.
func newWorld(l limits) *world {
	w := &world{limits: l, primaries: map[uint64]string{1: "s1"}}
	for i, s := range groupServers {
		w.members[i] = NewMember[int](s.Name)
		w.members[i].without = l.without
		if i == 0 {
			w.members[0].Fence(1, "setup")
			w.members[0].Promote(1, "setup", "s1")
			continue
		}
		w.members[i].Follow(1, "s1")
		first, _ := w.members[0].EntriesAfter(1, session.Position{}, 1)
		w.members[i].AppendEntries(first)
	}
	for i := range w.drivers {
		name := fmt.Sprintf("d%d", i+1)
		w.drivers[i] = NewCoordinator(Config{Group: "g", VM: name, CoordinatorID: name, Domain: "a", Servers: groupServers})
		w.drivers[i].without = l.without
		w.drivers[i].Step(0, Placement{Withdrawn: l.withdrawn})
		if i == 1 && l.ahead {
			w.drivers[i].highest = 2
		}
		for _, m := range w.members {
			w.drivers[i].Step(0, StatusResponse{Server: m.name, Status: m.Status()})
		}
	}
	return w
}

func (w *world) clone() *world {
	c := *w
	for i, m := range w.members {
		copied := *m
		copied.log = slices.Clone(m.log)
		c.members[i] = &copied
	}
	for i, d := range w.drivers {
		copied := *d
		copied.peers = slices.Clone(d.peers)
		copied.reports = slices.Clone(d.reports)
		copied.attempt.grants = slices.Clone(d.attempt.grants)
		c.drivers[i] = &copied
	}
	c.net = slices.Clone(w.net)
	c.writes = slices.Clone(w.writes)
	c.primaries = make(map[uint64]string, len(w.primaries))
	for t, s := range w.primaries {
		c.primaries[t] = s
	}
	return &c
}

// key identifies the state. It contains everything that the rules and the checks depend on.
func (w *world) key() [16]byte {
	var k keyBuilder
	for _, m := range w.members {
		k.text(m.driver, m.primary)
		k.number(m.promised, uint64(m.role), uint64(len(m.log)))
		for _, e := range m.log {
			k.number(e.Term, uint64(e.Data))
		}
	}
	for i, d := range w.drivers {
		a := d.attempt
		grants := slices.Clone(a.grants)
		slices.SortFunc(grants, func(x, y grant) int { return strings.Compare(x.server, y.server) })
		k.number(uint64(w.starts[i]), d.highest, d.primaryTerm, uint64(a.phase), a.term, uint64(a.refused),
			d.unpublished.term, uint64(len(grants)))
		k.text(a.chosen)
		for _, g := range grants {
			k.text(g.server)
			k.number(g.held.Term, g.held.Offset)
		}
		for _, p := range d.peers {
			k.number(uint64(p.status.Role), p.status.Promised, p.status.LogEnd.Term, p.status.LogEnd.Offset)
			k.flag(p.followed)
		}
	}
	net := make([]string, len(w.net))
	for i, m := range w.net {
		net[i] = m.text
	}
	slices.Sort(net)
	k.text(net...)
	for _, made := range w.writes {
		k.number(made.at.Term, made.at.Offset)
		k.flag(made.seen[0], made.seen[1], made.seen[2], made.acked)
	}
	for term := range uint64(8) {
		k.text(w.primaries[term])
	}
	sum := sha256.Sum256(k)
	return [16]byte(sum[:16])
}

// keyBuilder collects the bytes that identify a state.
type keyBuilder []byte

func (k *keyBuilder) number(all ...uint64) {
	for _, n := range all {
		*k = binary.AppendUvarint(*k, n)
	}
}

func (k *keyBuilder) text(all ...string) {
	for _, s := range all {
		*k = append(binary.AppendUvarint(*k, uint64(len(s))), s...)
	}
}

func (k *keyBuilder) flag(all ...bool) {
	for _, f := range all {
		*k = append(*k, map[bool]byte{true: 1}[f])
	}
}

// event is one possible step.
type event struct {
	name  string
	apply func(*world)
}

// events returns every step that is possible in w.
func (w *world) events() []event {
	var all []event
	for i, m := range w.net {
		if slices.ContainsFunc(w.net[:i], func(x message) bool { return x.text == m.text }) {
			continue
		}
		all = append(all, event{"deliver " + m.text, func(w *world) { w.deliver(i) }})
	}
	for i, d := range w.drivers {
		name := fmt.Sprintf("d%d ", i+1)
		switch {
		case d.attempt.phase == idle && w.starts[i] < w.limits.starts:
			all = append(all, event{name + "starts", func(w *world) { w.start(i) }})
		case d.attempt.phase == fencing && len(d.attempt.grants) >= d.majorityOfGrants():
			all = append(all, event{name + "stops waiting for grants", func(w *world) { w.stopWaiting(i) }})
		case d.attempt.phase == fencing && w.starts[i] < w.limits.starts:
			all = append(all, event{name + "gives up", func(w *world) { w.drivers[i].giveUp(0, "time limit") }})
		case d.attempt.phase == promoting && (w.starts[i] < w.limits.starts || d.without.has(ruleOnePromotion)):
			all = append(all, event{name + "misses the answer", func(w *world) { w.missAnswer(i) }})
		}
	}
	for i, m := range w.members {
		writable := m.role == Primary || w.without.has(ruleWriteUnfenced)
		if writable && len(w.writes) < w.limits.writes {
			all = append(all, event{"write on " + m.name, func(w *world) { w.write(i) }})
		}
		for j := range w.members {
			for _, sent := range w.replication(i, j) {
				all = append(all, event{"send " + sent.text, func(w *world) { w.net = append(w.net, sent) }})
			}
		}
	}
	return all
}

// replication returns the messages that server i could send to server j and that are not
// under way.
func (w *world) replication(i, j int) []message {
	from, to := w.members[i], w.members[j]
	if !w.appends || i == j || from.role != Primary && !w.without.has(ruleWriteUnfenced) {
		return nil
	}
	var all []message
	for prev := from.LastCommonPosition(to.TermBoundaries()).Offset; prev < from.LogEnd().Offset; prev++ {
		a, ok := from.EntriesAfter(from.promised, from.At(prev), 8)
		if !ok { // a fenced server that writes without the rule
			a = Append[int]{Term: from.LogEnd().Term, Prev: from.At(prev), Entries: slices.Clone(from.log[prev:])}
		}
		m := message{to: j, append: &a}.describe()
		if !slices.ContainsFunc(w.net, func(x message) bool { return x.text == m.text }) {
			all = append(all, m)
		}
		if !w.pipelined {
			break
		}
	}
	return all
}

func (w *world) start(i int) {
	w.starts[i]++
	d := w.drivers[i]
	d.actions = nil
	d.start(0, "exploration")
	w.perform(i, d.actions)
}

func (w *world) stopWaiting(i int) {
	d := w.drivers[i]
	d.attempt.majority = -d.timing.GrantWait
	w.perform(i, d.Step(0, Tick{}))
}

func (w *world) missAnswer(i int) {
	a := w.drivers[i].attempt
	w.perform(i, w.drivers[i].Step(0, ControlFailed{Server: a.chosen, Op: Promote, Term: a.term, Reason: "time limit"}))
}

func (w *world) write(i int) {
	at, err := w.members[i].Write(len(w.writes) + 1)
	if err == nil {
		w.writes = append(w.writes, madeWrite{at: at})
	}
}

func (w *world) perform(i int, actions []Action) {
	for _, a := range actions {
		if s, ok := a.(ControlRequest); ok {
			w.net = append(w.net, message{driver: i, send: &s}.describe())
		}
	}
}

func (w *world) deliver(i int) {
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	switch {
	case m.append != nil:
		w.members[m.to].AppendEntries(*m.append)
	case m.answer != nil:
		w.perform(m.driver, w.drivers[m.driver].Step(0, *m.answer))
	default:
		answer := w.serve(*m.send)
		w.net = append(w.net, message{driver: m.driver, answer: &answer}.describe())
	}
}

// serve runs a control statement on its server.
func (w *world) serve(s ControlRequest) ControlResponse {
	m := w.members[slices.IndexFunc(w.members[:], func(m *Member[int]) bool { return m.name == s.Server })]
	a := ControlResponse{Server: s.Server, Op: s.Op, Term: s.Term}
	switch s.Op {
	case Fence:
		a.Granted = m.Fence(s.Term, s.CoordinatorID)
	case Promote:
		a.Granted = m.Promote(s.Term, s.CoordinatorID, s.Server)
	case Follow:
		a.Granted = m.Follow(s.Term, s.Primary)
	}
	a.Status = m.Status()
	return a
}

// contains reports whether the log of m contains write id at its position.
func (w *world) contains(m *Member[int], id int) bool {
	at := w.writes[id-1].at
	return m.Contains(at) && m.Entry(at.Offset).Data == id
}

// check confirms writes the way a proxy does and records the first violation.
func (w *world) check() {
	for id := range w.writes {
		w.confirm(id)
	}
	for _, m := range w.members {
		if m.role != Primary {
			continue
		}
		if known, exists := w.primaries[m.promised]; exists && known != m.name {
			w.violation = fmt.Sprintf("term %d has the primaries %s and %s", m.promised, known, m.name)
		}
		w.primaries[m.promised] = m.name
		for id, made := range w.writes {
			if made.acked && m.promised > made.at.Term && !w.contains(m, id+1) {
				w.violation = fmt.Sprintf("primary %s of term %d lacks acknowledged write %d", m.name, m.promised, id+1)
			}
		}
	}
}

func (w *world) confirm(index int) {
	made := &w.writes[index]
	seen, held := 0, 0
	for i, m := range w.members {
		confirms := m.Status().Confirms(made.at)
		if w.without.has(ruleConfirmTerm) {
			confirms = m.LogEnd().Covers(made.at)
		}
		made.seen[i] = made.seen[i] || confirms
		if made.seen[i] {
			seen++
		}
		if w.contains(m, index+1) {
			held++
		}
	}
	if made.acked || seen < Majority(len(w.members)) {
		return
	}
	made.acked = true
	if held < Majority(len(w.members)) {
		w.violation = fmt.Sprintf("write %d was acknowledged while %d servers held it", index+1, held)
	}
}

// run applies the events with the given names in order.
func (w *world) run(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		all := w.events()
		i := slices.IndexFunc(all, func(e event) bool { return strings.HasPrefix(e.name, name) })
		if i < 0 {
			t.Fatalf("event %q is not possible; possible are:\n%s", name, eventNames(all))
		}
		all[i].apply(w)
		w.check()
	}
}

func eventNames(all []event) string {
	var b strings.Builder
	for _, e := range all {
		fmt.Fprintln(&b, e.name)
	}
	return b.String()
}

// node is an explored state with the way to it.
type node struct {
	w      *world
	parent *node
	name   string
}

func (n *node) trace() string {
	if n.parent == nil {
		return ""
	}
	return n.parent.trace() + n.name + "\n"
}

// reach counts the states of an exploration, so that a test notices one that never gets to the
// interesting states.
type reach struct {
	states    int
	acked     int // with an acknowledged write
	survived  int // with an acknowledged write and a primary of a later term
	promoted2 int // with two promotions after the initial one
}

func (r *reach) count(w *world) {
	r.states++
	acked := slices.IndexFunc(w.writes, func(made madeWrite) bool { return made.acked })
	if acked >= 0 {
		r.acked++
	}
	later := func(m *Member[int]) bool { return m.role == Primary && m.promised > w.writes[acked].at.Term }
	if acked >= 0 && slices.ContainsFunc(w.members[:], later) {
		r.survived++
	}
	if len(w.primaries) >= 3 {
		r.promoted2++
	}
}

// explore visits every state within the step limit in breadth-first order. It returns the first
// state with a violation, or nil, and what it reached.
func explore(start *world) (*node, reach) {
	var r reach
	r.count(start)
	seen := map[[16]byte]struct{}{start.key(): {}}
	level := []*node{{w: start}}
	for range start.steps {
		var next []*node
		for _, n := range level {
			for _, e := range n.w.events() {
				w := n.w.clone()
				e.apply(w)
				w.check()
				reached := &node{w: w, parent: n, name: e.name}
				if w.violation != "" {
					return reached, r
				}
				key := w.key()
				if _, known := seen[key]; known {
					continue
				}
				seen[key] = struct{}{}
				r.count(w)
				next = append(next, reached)
			}
		}
		for _, n := range level {
			n.w = nil
		}
		level = next
	}
	return nil, r
}

// Guards against every sequence of lost, delayed and reordered messages, competing drivers and
// paused drivers that leads to two primaries in a term or to the loss of an acknowledged write.
func TestExplorationFindsNoViolation(t *testing.T) {
	for name, e := range explorations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e.limits.steps += *extraSteps
			start := newWorld(e.limits)
			start.run(t, e.prefix...)
			found, r := explore(start)
			if found != nil {
				t.Fatalf("%s after:\n%s", found.w.violation, found.trace())
			}
			t.Logf("%d steps: %+v", e.limits.steps, r)
			if e.changes && r.promoted2 == 0 || e.limits.appends && r.survived == 0 {
				t.Fatalf("exploration is too short to prove anything: %+v", r)
			}
		})
	}
}

// exploration is an exploration that must find no violation.
type exploration struct {
	limits  limits
	prefix  []string // events before the exploration starts
	changes bool     // two promotions must be within reach
}

var explorations = map[string]exploration{
	"same term":         {limits: limits{steps: 26, starts: 1}},
	"different terms":   {limits: limits{steps: 15, starts: 1, ahead: true}, changes: true},
	"repeated attempts": {limits: limits{steps: 11, starts: 2}},
	"writes":            {limits: limits{steps: 12, starts: 1, writes: 1, appends: true, ahead: true}},
	"writes and a withdrawn domain": {
		limits: limits{steps: 11, starts: 1, writes: 1, appends: true, ahead: true, withdrawn: []string{"a", "b"}},
	},
	"pipelined writes": {limits: limits{steps: 11, starts: 1, writes: 2, appends: true, pipelined: true}},
	"second change": {
		limits: limits{steps: 10, starts: 1, writes: 1, appends: true, ahead: true},
		prefix: slices.Concat([]string{"d1 starts"}, granted("d1", 2, "s2", "s3"), []string{
			"d1 stops waiting", "deliver d1 promote 2 to s2", "deliver s2 answers promote 2 true",
			"deliver d1 follow 2 to s3", "d2 starts"}),
		changes: true,
	},
	"second change with a divergent log": {
		limits: limits{steps: 10, starts: 1, writes: 2, appends: true, ahead: true},
		prefix: slices.Concat([]string{"write on s1", "d1 starts"}, granted("d1", 2, "s2", "s3"), []string{
			"d1 stops waiting", "deliver d1 promote 2 to s2", "deliver s2 answers promote 2 true",
			"deliver d1 follow 2 to s1", "d2 starts"}),
		changes: true,
	},
}

// unsafe describes how an exploration shows that a rule is needed. prefix leads to the state
// where the exploration starts.
type unsafe struct {
	rule   rule
	limits limits
	prefix []string
}

// Guards against an exploration that proves nothing: without any one of the rules it must find
// a violation, and with all rules the same exploration must find none.
func TestEveryRuleIsNeeded(t *testing.T) {
	for name, u := range unsafeRules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			safe := newWorld(u.limits)
			safe.run(t, u.prefix...)
			found, r := explore(safe)
			if found != nil {
				t.Fatalf("violation with all rules: %s after:\n%s", found.w.violation, found.trace())
			}
			u.limits.without = u.rule
			broken := newWorld(u.limits)
			broken.run(t, u.prefix...)
			found, _ = explore(broken)
			is.True(found != nil) // the exploration must find a violation without the rule
			t.Logf("%d states; without the rule: %s after:\n%s", r.states, found.w.violation, found.trace())
		})
	}
}

// granted lists the events by which driver d obtains the promises of servers for term.
func granted(d string, term int, servers ...string) []string {
	var all []string
	for _, s := range servers {
		all = append(all, fmt.Sprintf("deliver %s fence %d to %s", d, term, s),
			fmt.Sprintf("deliver %s answers fence %d true", s, term))
	}
	return all
}

var unsafeRules = map[string]unsafe{
	"a term is promised at most once": {rule: ruleFenceOnce, limits: limits{steps: 14, starts: 1}},
	"promotion needs the promised term": {
		rule: rulePromoteGranted, limits: limits{steps: 7, starts: 2, writes: 1, appends: true},
		prefix: slices.Concat([]string{"d1 starts"}, granted("d1", 2, "s1", "s3"),
			[]string{"d1 stops waiting", "d2 starts", "d2 gives up", "d2 starts"},
			granted("d2", 3, "s2", "s1"), []string{"d2 stops waiting"}),
	},
	"a fenced server does not write": {
		rule: ruleWriteUnfenced, limits: limits{steps: 6, starts: 1, writes: 1, appends: true},
		prefix: slices.Concat([]string{"d1 starts"}, granted("d1", 2, "s3", "s1")),
	},
	"entries of another term are refused": {
		rule: ruleAppendTerm, limits: limits{steps: 6, starts: 1, writes: 1, appends: true},
		prefix: slices.Concat([]string{"d1 starts"}, granted("d1", 2, "s3", "s2")),
	},
	"entries continue the log": {
		rule: ruleLogMatch, limits: limits{steps: 6, writes: 2, appends: true, pipelined: true},
	},
	"a divergent tail is replaced": {
		rule: ruleDiscardTail, limits: limits{steps: 6, starts: 1, writes: 4, appends: true},
		prefix: slices.Concat([]string{"write on s1", "write on s1", "d1 starts"}, granted("d1", 2, "s2", "s3"),
			[]string{"d1 stops waiting", "deliver d1 promote 2 to s2", "deliver s2 answers promote 2 true"}),
	},
	"no server follows below its promise": {
		rule: ruleFollowTerm, limits: limits{steps: 6, starts: 2, writes: 1, appends: true},
		prefix: slices.Concat([]string{"d1 starts"}, granted("d1", 2, "s3", "s1"),
			[]string{"d1 stops waiting", "deliver d1 promote 2 to s3", "deliver s3 answers promote 2 true",
				"d2 starts", "d2 gives up", "d2 starts"}, granted("d2", 3, "s2", "s1")),
	},
	"promotion needs a majority": {
		rule: ruleMajority, limits: limits{steps: 8, starts: 1, writes: 1, appends: true},
	},
	"the promoted server covers a majority": {
		rule: ruleMostAdvanced, limits: limits{steps: 6, starts: 1, writes: 1, appends: true, withdrawn: []string{"b"}},
		prefix: slices.Concat([]string{"write on s1", "send append 1 after 1/1 [{1 false 1}] to s2",
			"deliver append 1", "d1 starts"}, granted("d1", 2, "s2")),
	},
	"one promotion per term and driver": {
		rule: ruleOnePromotion, limits: limits{steps: 8, starts: 1},
		prefix: slices.Concat([]string{"d1 starts"}, granted("d1", 2, "s1", "s2")),
	},
	"answers of earlier terms do not count": {
		rule: ruleAnswerTerm, limits: limits{steps: 6, starts: 2},
		prefix: slices.Concat([]string{"d1 starts", "deliver d1 fence 2 to s1", "d1 gives up", "d1 starts"},
			granted("d1", 3, "s2"), []string{"d2 starts", "d2 gives up", "d2 starts"}, granted("d2", 3, "s1", "s3")),
	},
	"only the log term of a write confirms it": {
		rule: ruleConfirmTerm, limits: limits{steps: 9, starts: 1, writes: 1, appends: true},
	},
}
