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

// The exploration runs the production code of Member and Coordinator, with three servers s1 to s3 and
// two coordinators d1 and d2, through every order of events up to a number of steps. An undelivered
// message models a lost, delayed or reordered message; a coordinator whose messages stay undelivered
// models a paused one. The clock does not advance. Instead, a coordinator may start an attempt or reach a
// timeout at any step, which covers every timing of the failure detection.

// extraSteps increases the depth of TestExplorationFindsNoViolation for longer runs outside CI.
var extraSteps = flag.Int("explore.extra", 0, "additional steps of TestExplorationFindsNoViolation")

// limits bounds an exploration.
type limits struct {
	steps   int
	starts  int  // maximum number of attempts per coordinator
	writes  int  // maximum number of writes
	appends bool // primaries send log entries to replicas
	// ahead makes the second coordinator begin one term above the first, as after a refusal.
	ahead bool
	// pipelined allows a primary to send entries before the preceding ones have been delivered.
	pipelined     bool
	withdrawn     []string // failure domains that operators have withdrawn
	disabledRules rule     // rules switched off
}

// message is a message in flight. Exactly one of the pointers is set.
type message struct {
	coordinator int // sender of request, receiver of response
	request     *ControlRequest
	response    *ControlResponse
	receiver    int // receiver of append
	append      *Append[int]
	text        string // identifies the message
}

// describe returns m with its text.
func (m message) describe() message {
	m.text = m.String()
	return m
}

func (m message) String() string {
	switch {
	case m.request != nil:
		return fmt.Sprintf("d%d %s %d to %s", m.coordinator+1, m.request.Op, m.request.Term, m.request.Server)
	case m.response != nil:
		return fmt.Sprintf("%s responds to %s %d %t %s to d%d", m.response.Server, m.response.Op, m.response.Term,
			m.response.Granted, m.response.Status.LogEnd, m.coordinator+1)
	default:
		return fmt.Sprintf("append %d after %s %v to s%d", m.append.Term, m.append.Prev, m.append.Entries, m.receiver+1)
	}
}

// modelWrite is a write accepted by a primary. Its ID is its index plus one.
type modelWrite struct {
	position    session.Position
	confirmedBy [3]bool // servers that have confirmed the write
	acked       bool
}

// modelState is the state of the servers, the coordinators and the network.
type modelState struct {
	limits
	members      [3]*Member[int]
	coordinators [2]*Coordinator
	starts       [2]int
	inFlight     []message
	writes       []modelWrite
	primaries    map[uint64]string // primary of each term
	violation    string
}

var groupServers = []Server{
	{Name: "s1", Address: "s1", Domain: "a"}, {Name: "s2", Address: "s2", Domain: "b"},
	{Name: "s3", Address: "s3", Domain: "c"},
}

// newModelState returns a group whose server s1 is the primary of term 1.
func newModelState(l limits) *modelState {
	st := &modelState{limits: l, primaries: map[uint64]string{1: "s1"}}
	for i, s := range groupServers {
		st.members[i] = NewMember[int](s.Name)
		st.members[i].disabledRules = l.disabledRules
		if i == 0 {
			st.members[0].Fence(1, "setup")
			st.members[0].Promote(1, "setup", "s1")
			continue
		}
		st.members[i].Follow(1, "s1")
		first, _ := st.members[0].EntriesAfter(1, session.Position{}, 1)
		st.members[i].AppendEntries(first)
	}
	for i := range st.coordinators {
		name := fmt.Sprintf("d%d", i+1)
		st.coordinators[i] = NewCoordinator(Config{Group: "g", VM: name, CoordinatorID: name, Domain: "a", Servers: groupServers})
		st.coordinators[i].disabledRules = l.disabledRules
		st.coordinators[i].Step(0, Placement{Withdrawn: l.withdrawn})
		if i == 1 && l.ahead {
			st.coordinators[i].highestTerm = 2
		}
		for _, m := range st.members {
			st.coordinators[i].Step(0, StatusResponse{Server: m.name, Status: m.Status()})
		}
	}
	return st
}

func (st *modelState) clone() *modelState {
	cloned := *st
	for i, m := range st.members {
		copied := *m
		copied.log = slices.Clone(m.log)
		cloned.members[i] = &copied
	}
	for i, c := range st.coordinators {
		copied := *c
		copied.servers = slices.Clone(c.servers)
		copied.suspicions = slices.Clone(c.suspicions)
		copied.attempt.grants = slices.Clone(c.attempt.grants)
		cloned.coordinators[i] = &copied
	}
	cloned.inFlight = slices.Clone(st.inFlight)
	cloned.writes = slices.Clone(st.writes)
	cloned.primaries = make(map[uint64]string, len(st.primaries))
	for t, s := range st.primaries {
		cloned.primaries[t] = s
	}
	return &cloned
}

// key returns a hash of everything that the rules and the checks depend on.
func (st *modelState) key() [16]byte {
	var k keyBuilder
	for _, m := range st.members {
		k.text(m.coordinator, m.primary)
		k.number(m.promised, uint64(m.role), uint64(len(m.log)))
		for _, e := range m.log {
			k.number(e.Term, uint64(e.Data))
		}
	}
	for i, c := range st.coordinators {
		a := c.attempt
		grants := slices.Clone(a.grants)
		slices.SortFunc(grants, func(x, y grant) int { return strings.Compare(x.server, y.server) })
		k.number(uint64(st.starts[i]), c.highestTerm, c.primaryTerm, uint64(a.phase), a.term, uint64(a.refusals),
			c.unconfirmed.term, uint64(len(grants)))
		k.text(a.candidate)
		for _, g := range grants {
			k.text(g.server)
			k.number(g.logEnd.Term, g.logEnd.Offset)
		}
		for _, s := range c.servers {
			k.number(uint64(s.status.Role), s.status.Promised, s.status.LogEnd.Term, s.status.LogEnd.Offset)
			k.flag(s.followSent)
		}
	}
	net := make([]string, len(st.inFlight))
	for i, m := range st.inFlight {
		net[i] = m.text
	}
	slices.Sort(net)
	k.text(net...)
	for _, made := range st.writes {
		k.number(made.position.Term, made.position.Offset)
		k.flag(made.confirmedBy[0], made.confirmedBy[1], made.confirmedBy[2], made.acked)
	}
	for term := range uint64(8) {
		k.text(st.primaries[term])
	}
	sum := sha256.Sum256(k)
	return [16]byte(sum[:16])
}

// keyBuilder encodes the contents of a state for key.
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

// event is one step of the exploration.
type event struct {
	name  string
	apply func(*modelState)
}

// events returns every step that is possible in st.
func (st *modelState) events() []event {
	var all []event
	for i, m := range st.inFlight {
		if slices.ContainsFunc(st.inFlight[:i], func(x message) bool { return x.text == m.text }) {
			continue
		}
		all = append(all, event{"deliver " + m.text, func(st *modelState) { st.deliver(i) }})
	}
	for i, c := range st.coordinators {
		name := fmt.Sprintf("d%d ", i+1)
		switch {
		case c.attempt.phase == idle && st.starts[i] < st.limits.starts:
			all = append(all, event{name + "starts", func(st *modelState) { st.start(i) }})
		case c.attempt.phase == fencing && len(c.attempt.grants) >= c.grantsNeeded():
			all = append(all, event{name + "stops waiting for grants", func(st *modelState) { st.stopWaiting(i) }})
		case c.attempt.phase == fencing && st.starts[i] < st.limits.starts:
			all = append(all, event{name + "aborts", func(st *modelState) { st.coordinators[i].abortAttempt(0, "time limit") }})
		case c.attempt.phase == promoting && (st.starts[i] < st.limits.starts || c.disabledRules.has(ruleOnePromotion)):
			all = append(all, event{name + "misses the response", func(st *modelState) { st.missResponse(i) }})
		}
	}
	for i, m := range st.members {
		writable := m.role == Primary || st.disabledRules.has(ruleWriteUnfenced)
		if writable && len(st.writes) < st.limits.writes {
			all = append(all, event{"write on " + m.name, func(st *modelState) { st.write(i) }})
		}
		for j := range st.members {
			for _, sent := range st.replication(i, j) {
				all = append(all, event{"send " + sent.text, func(st *modelState) { st.inFlight = append(st.inFlight, sent) }})
			}
		}
	}
	return all
}

// replication returns the log entries that server i could send to server j and that are not in flight.
func (st *modelState) replication(i, j int) []message {
	from, to := st.members[i], st.members[j]
	if !st.appends || i == j || from.role != Primary && !st.disabledRules.has(ruleWriteUnfenced) {
		return nil
	}
	var all []message
	for prev := from.LastCommonPosition(to.TermBoundaries()).Offset; prev < from.LogEnd().Offset; prev++ {
		a, ok := from.EntriesAfter(from.promised, from.At(prev), 8)
		if !ok { // a fenced server that accepts writes because ruleWriteUnfenced is disabled
			a = Append[int]{Term: from.LogEnd().Term, Prev: from.At(prev), Entries: slices.Clone(from.log[prev:])}
		}
		m := message{receiver: j, append: &a}.describe()
		if !slices.ContainsFunc(st.inFlight, func(x message) bool { return x.text == m.text }) {
			all = append(all, m)
		}
		if !st.pipelined {
			break
		}
	}
	return all
}

func (st *modelState) start(i int) {
	st.starts[i]++
	c := st.coordinators[i]
	c.actions = nil
	c.startAttempt(0, "exploration")
	st.perform(i, c.actions)
}

func (st *modelState) stopWaiting(i int) {
	c := st.coordinators[i]
	c.attempt.majorityAt = -c.timing.GrantWait
	st.perform(i, c.Step(0, Tick{}))
}

func (st *modelState) missResponse(i int) {
	a := st.coordinators[i].attempt
	st.perform(i, st.coordinators[i].Step(0, ControlFailed{Server: a.candidate, Op: Promote, Term: a.term, Reason: "time limit"}))
}

func (st *modelState) write(i int) {
	at, err := st.members[i].Write(len(st.writes) + 1)
	if err == nil {
		st.writes = append(st.writes, modelWrite{position: at})
	}
}

func (st *modelState) perform(i int, actions []Action) {
	for _, a := range actions {
		if s, ok := a.(ControlRequest); ok {
			st.inFlight = append(st.inFlight, message{coordinator: i, request: &s}.describe())
		}
	}
}

func (st *modelState) deliver(i int) {
	m := st.inFlight[i]
	st.inFlight = slices.Delete(st.inFlight, i, i+1)
	switch {
	case m.append != nil:
		st.members[m.receiver].AppendEntries(*m.append)
	case m.response != nil:
		st.perform(m.coordinator, st.coordinators[m.coordinator].Step(0, *m.response))
	default:
		response := st.handleControl(*m.request)
		st.inFlight = append(st.inFlight, message{coordinator: m.coordinator, response: &response}.describe())
	}
}

// handleControl executes a control statement on its server.
func (st *modelState) handleControl(s ControlRequest) ControlResponse {
	m := st.members[slices.IndexFunc(st.members[:], func(m *Member[int]) bool { return m.name == s.Server })]
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

// contains reports whether the log of m contains the write with the given ID at its position.
func (st *modelState) contains(m *Member[int], id int) bool {
	at := st.writes[id-1].position
	return m.Contains(at) && m.Entry(at.Offset).Data == id
}

// check confirms writes as the proxy does and records violations of the invariants.
func (st *modelState) check() {
	for id := range st.writes {
		st.confirm(id)
	}
	for _, m := range st.members {
		if m.role != Primary {
			continue
		}
		if known, exists := st.primaries[m.promised]; exists && known != m.name {
			st.violation = fmt.Sprintf("term %d has the primaries %s and %s", m.promised, known, m.name)
		}
		st.primaries[m.promised] = m.name
		for id, made := range st.writes {
			if made.acked && m.promised > made.position.Term && !st.contains(m, id+1) {
				st.violation = fmt.Sprintf("primary %s of term %d lacks acknowledged write %d", m.name, m.promised, id+1)
			}
		}
	}
}

func (st *modelState) confirm(index int) {
	made := &st.writes[index]
	seen, stored := 0, 0
	for i, m := range st.members {
		confirms := m.Status().Confirms(made.position)
		if st.disabledRules.has(ruleConfirmTerm) {
			confirms = m.LogEnd().Covers(made.position)
		}
		made.confirmedBy[i] = made.confirmedBy[i] || confirms
		if made.confirmedBy[i] {
			seen++
		}
		if st.contains(m, index+1) {
			stored++
		}
	}
	if made.acked || seen < Majority(len(st.members)) {
		return
	}
	made.acked = true
	if stored < Majority(len(st.members)) {
		st.violation = fmt.Sprintf("write %d was acknowledged while %d servers stored it", index+1, stored)
	}
}

// run applies the events whose names begin with the given texts, in order.
func (st *modelState) run(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		all := st.events()
		i := slices.IndexFunc(all, func(e event) bool { return strings.HasPrefix(e.name, name) })
		if i < 0 {
			t.Fatalf("event %q is not possible; possible are:\n%s", name, eventNames(all))
		}
		all[i].apply(st)
		st.check()
	}
}

func eventNames(all []event) string {
	var b strings.Builder
	for _, e := range all {
		fmt.Fprintln(&b, e.name)
	}
	return b.String()
}

// node is an explored state with the events that lead to it.
type node struct {
	state  *modelState
	parent *node
	name   string
}

func (n *node) trace() string {
	if n.parent == nil {
		return ""
	}
	return n.parent.trace() + n.name + "\n"
}

// coverage counts the states of an exploration by what happened in them, so that a test can detect an
// exploration that is too short.
type coverage struct {
	states    int
	acked     int // with an acknowledged write
	survived  int // with an acknowledged write and a primary of a later term
	promoted2 int // with two promotions after the initial one
}

func (r *coverage) count(st *modelState) {
	r.states++
	acked := slices.IndexFunc(st.writes, func(made modelWrite) bool { return made.acked })
	if acked >= 0 {
		r.acked++
	}
	later := func(m *Member[int]) bool { return m.role == Primary && m.promised > st.writes[acked].position.Term }
	if acked >= 0 && slices.ContainsFunc(st.members[:], later) {
		r.survived++
	}
	if len(st.primaries) >= 3 {
		r.promoted2++
	}
}

// explore visits every state within the step limit in breadth-first order. It returns the first
// state with a violation, or nil, and the coverage.
func explore(start *modelState) (*node, coverage) {
	var r coverage
	r.count(start)
	seen := map[[16]byte]struct{}{start.key(): {}}
	level := []*node{{state: start}}
	for range start.steps {
		var next []*node
		for _, n := range level {
			for _, e := range n.state.events() {
				st := n.state.clone()
				e.apply(st)
				st.check()
				reached := &node{state: st, parent: n, name: e.name}
				if st.violation != "" {
					return reached, r
				}
				key := st.key()
				if _, known := seen[key]; known {
					continue
				}
				seen[key] = struct{}{}
				r.count(st)
				next = append(next, reached)
			}
		}
		for _, n := range level {
			n.state = nil
		}
		level = next
	}
	return nil, r
}

// Guards against two primaries in one term and against the loss of an acknowledged write, for every
// sequence of lost, delayed and reordered messages, competing coordinators and paused coordinators.
func TestExplorationFindsNoViolation(t *testing.T) {
	for name, e := range explorations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e.limits.steps += *extraSteps
			start := newModelState(e.limits)
			start.run(t, e.prefix...)
			found, r := explore(start)
			if found != nil {
				t.Fatalf("%s after:\n%s", found.state.violation, found.trace())
			}
			t.Logf("%d steps: %+v", e.limits.steps, r)
			if e.changes && r.promoted2 == 0 || e.limits.appends && r.survived == 0 {
				t.Fatalf("exploration is too short to prove anything: %+v", r)
			}
		})
	}
}

// exploration is the setup of an exploration that must find no violation.
type exploration struct {
	limits  limits
	prefix  []string // events before the exploration starts
	changes bool     // a state with two promotions must be reached
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
		prefix: slices.Concat([]string{"d1 starts"}, grantEvents("d1", 2, "s2", "s3"), []string{
			"d1 stops waiting", "deliver d1 promote 2 to s2", "deliver s2 responds to promote 2 true",
			"deliver d1 follow 2 to s3", "d2 starts"}),
		changes: true,
	},
	"second change with a divergent log": {
		limits: limits{steps: 10, starts: 1, writes: 2, appends: true, ahead: true},
		prefix: slices.Concat([]string{"write on s1", "d1 starts"}, grantEvents("d1", 2, "s2", "s3"), []string{
			"d1 stops waiting", "deliver d1 promote 2 to s2", "deliver s2 responds to promote 2 true",
			"deliver d1 follow 2 to s1", "d2 starts"}),
		changes: true,
	},
}

// ruleCase is the setup of an exploration that shows that a rule is needed. The events of prefix lead
// to the state where the exploration starts.
type ruleCase struct {
	rule   rule
	limits limits
	prefix []string
}

// Guards against an exploration that cannot detect violations: it must find one if any single rule is
// disabled, and none with all rules enabled.
func TestEveryRuleIsNeeded(t *testing.T) {
	for name, u := range ruleCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			safe := newModelState(u.limits)
			safe.run(t, u.prefix...)
			found, r := explore(safe)
			if found != nil {
				t.Fatalf("violation with all rules: %s after:\n%s", found.state.violation, found.trace())
			}
			u.limits.disabledRules = u.rule
			broken := newModelState(u.limits)
			broken.run(t, u.prefix...)
			found, _ = explore(broken)
			is.True(found != nil) // the exploration must find a violation without the rule
			t.Logf("%d states; without the rule: %s after:\n%s", r.states, found.state.violation, found.trace())
		})
	}
}

// grantEvents returns the events by which a coordinator obtains grants of the servers for term.
func grantEvents(coordinator string, term int, servers ...string) []string {
	var all []string
	for _, s := range servers {
		all = append(all, fmt.Sprintf("deliver %s fence %d to %s", coordinator, term, s),
			fmt.Sprintf("deliver %s responds to fence %d true", s, term))
	}
	return all
}

var ruleCases = map[string]ruleCase{
	"a term is promised at most once": {rule: ruleFenceOnce, limits: limits{steps: 14, starts: 1}},
	"promotion needs the promised term": {
		rule: rulePromoteGranted, limits: limits{steps: 7, starts: 2, writes: 1, appends: true},
		prefix: slices.Concat([]string{"d1 starts"}, grantEvents("d1", 2, "s1", "s3"),
			[]string{"d1 stops waiting", "d2 starts", "d2 aborts", "d2 starts"},
			grantEvents("d2", 3, "s2", "s1"), []string{"d2 stops waiting"}),
	},
	"a fenced server does not write": {
		rule: ruleWriteUnfenced, limits: limits{steps: 6, starts: 1, writes: 1, appends: true},
		prefix: slices.Concat([]string{"d1 starts"}, grantEvents("d1", 2, "s3", "s1")),
	},
	"entries of another term are refused": {
		rule: ruleAppendTerm, limits: limits{steps: 6, starts: 1, writes: 1, appends: true},
		prefix: slices.Concat([]string{"d1 starts"}, grantEvents("d1", 2, "s3", "s2")),
	},
	"entries continue the log": {
		rule: ruleLogMatch, limits: limits{steps: 6, writes: 2, appends: true, pipelined: true},
	},
	"a divergent tail is replaced": {
		rule: ruleDiscardTail, limits: limits{steps: 6, starts: 1, writes: 4, appends: true},
		prefix: slices.Concat([]string{"write on s1", "write on s1", "d1 starts"}, grantEvents("d1", 2, "s2", "s3"),
			[]string{"d1 stops waiting", "deliver d1 promote 2 to s2", "deliver s2 responds to promote 2 true"}),
	},
	"no server follows below its promise": {
		rule: ruleFollowTerm, limits: limits{steps: 6, starts: 2, writes: 1, appends: true},
		prefix: slices.Concat([]string{"d1 starts"}, grantEvents("d1", 2, "s3", "s1"),
			[]string{"d1 stops waiting", "deliver d1 promote 2 to s3", "deliver s3 responds to promote 2 true",
				"d2 starts", "d2 aborts", "d2 starts"}, grantEvents("d2", 3, "s2", "s1")),
	},
	"promotion needs a majority": {
		rule: ruleMajority, limits: limits{steps: 8, starts: 1, writes: 1, appends: true},
	},
	"the promoted server covers a majority": {
		rule: ruleMostAdvanced, limits: limits{steps: 6, starts: 1, writes: 1, appends: true, withdrawn: []string{"b"}},
		prefix: slices.Concat([]string{"write on s1", "send append 1 after 1/1 [{1 false 1}] to s2",
			"deliver append 1", "d1 starts"}, grantEvents("d1", 2, "s2")),
	},
	"one promotion per term and coordinator": {
		rule: ruleOnePromotion, limits: limits{steps: 8, starts: 1},
		prefix: slices.Concat([]string{"d1 starts"}, grantEvents("d1", 2, "s1", "s2")),
	},
	"responses of earlier terms do not count": {
		rule: ruleResponseTerm, limits: limits{steps: 6, starts: 2},
		prefix: slices.Concat([]string{"d1 starts", "deliver d1 fence 2 to s1", "d1 aborts", "d1 starts"},
			grantEvents("d1", 3, "s2"), []string{"d2 starts", "d2 aborts", "d2 starts"}, grantEvents("d2", 3, "s1", "s3")),
	},
	"only the log term of a write confirms it": {
		rule: ruleConfirmTerm, limits: limits{steps: 9, starts: 1, writes: 1, appends: true},
	},
}
