package broker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

// fakeServers is a group of in-memory servers.
type fakeServers struct {
	mu           sync.Mutex
	primary      string
	term         uint64
	offset       uint64
	serviceTime  time.Duration
	busy         map[string]int // running statements by server
	maxBusy      map[string]int // maximum number of concurrent statements by server
	open         map[string]int
	dials        int
	dialTime     time.Duration // time to open a connection
	full         bool          // no connection of a workspace is accepted
	syncReplicas int
	received     map[string]session.Position // of servers that receive nothing
	runs         []run
	inject       func(server string, c statement.Command) (code statement.Code, breaks bool)
}

// run is a statement executed by a server.
type run struct {
	server, workspace string
	command           statement.Command
	settings          string
}

func newFakeServers() *fakeServers {
	return &fakeServers{primary: "p", term: 1, busy: map[string]int{}, maxBusy: map[string]int{}, open: map[string]int{},
		inject: func(string, statement.Command) (statement.Code, bool) { return statement.OK, false }}
}

func (f *fakeServers) Dial(_ context.Context, s directory.Server, workspace string) (Conn, error) {
	time.Sleep(f.dialTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if workspace != statusWorkspace {
		f.dials++
		if f.full {
			return nil, &RefusedError{Code: statement.TooManyConnections}
		}
	}
	f.open[s.ID]++
	return &fakeConn{f: f, server: s.ID, workspace: workspace, settings: map[string]string{}}, nil
}

func (f *fakeServers) ParseStatus(response statement.Response) (Status, error) {
	busy := 0
	if len(response.Rows) > 0 {
		busy, _ = strconv.Atoi(response.Rows[0])
	}
	return Status{Primary: response.Detail == "primary", Term: response.Position.Term,
		Received: response.Position, Applied: response.Position, Busy: busy}, nil
}

type fakeConn struct {
	f                 *fakeServers
	server, workspace string
	settings          map[string]string
	tx, closed        bool
}

func (c *fakeConn) Close() error {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.f.open[c.server]--
	}
	return nil
}

var errBroken = errors.New("connection broke")

func (c *fakeConn) Do(commands []statement.Command, _ time.Time) ([]statement.Response, error) {
	var responses []statement.Response
	for _, command := range commands {
		response, err := c.run(command)
		if err != nil {
			return responses, err
		}
		responses = append(responses, response)
	}
	return responses, nil
}

func (c *fakeConn) run(command statement.Command) (statement.Response, error) {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if command.ID != "" {
		f.busy[c.server]++
		f.maxBusy[c.server] = max(f.maxBusy[c.server], f.busy[c.server])
		f.mu.Unlock()
		time.Sleep(f.serviceTime)
		f.mu.Lock()
		f.busy[c.server]--
	}
	code, breaks := f.inject(c.server, command)
	if code != statement.OK {
		return statement.Response{Code: code, State: c.state(), Position: f.position()}, nil
	}
	if command.ID != "" {
		f.runs = append(f.runs, run{c.server, c.workspace, command, fmt.Sprint(c.settings)})
	}
	response := statement.Response{Signature: "signed", Position: f.position()}
	switch command.Kind {
	case statement.Begin, statement.BeginReadOnly:
		c.tx = true
	case statement.Commit, statement.Rollback:
		c.tx = false
	case statement.Set:
		c.settings[command.Name] = command.Args
	case statement.Discard:
		clear(c.settings)
	case statement.Status:
		response.Rows = []string{strconv.Itoa(f.busy[c.server] + 1)} // the query takes a slot itself
		if c.server == f.primary {
			response.Detail = "primary"
		}
		if p, deaf := f.received[c.server]; deaf {
			response.Position = p
		}
	case statement.Write:
		f.offset++
		response.Position = f.position()
	}
	if breaks || c.closed {
		return statement.Response{}, errBroken
	}
	response.State = c.state()
	return response, nil
}

func (c *fakeConn) state() statement.State {
	if c.tx {
		return statement.InTransaction
	}
	return statement.Idle
}

func (f *fakeServers) position() session.Position {
	return session.Position{Term: f.term, Offset: f.offset}
}

// ran returns the statements executed by the servers.
func (f *fakeServers) ran() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

// fakeOwner is a lease that is valid unless it is switched off, and a rate limiter without limits.
type fakeOwner struct {
	mu      sync.Mutex
	invalid bool
	servers *fakeServers
	// promote replaces the outcome of the next promotions, if set. If it returns nil, the promotion takes effect.
	promote  func(server string) error
	promoted []string // servers that were to be promoted
	recorded string   // server that the owner record names
}

func (o *fakeOwner) Valid(string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.invalid
}

func (o *fakeOwner) Promote(_ context.Context, _ string, primary RecordedPrimary) error {
	server := primary.Server
	o.mu.Lock()
	o.recorded = server
	o.promoted = append(o.promoted, server)
	promote := o.promote
	o.mu.Unlock()
	if promote != nil {
		if err := promote(server); err != nil {
			return err
		}
	}
	o.servers.mu.Lock()
	defer o.servers.mu.Unlock()
	o.servers.primary = server
	o.servers.term++
	return nil
}

func (o *fakeOwner) RecordPrimary(_ context.Context, _ string, primary RecordedPrimary) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recorded = primary.Server
	return nil
}

func (o *fakeOwner) Admit(_ string, done func(bool)) { done(true) }

const testService = "ledger"

// newBroker returns a broker over three servers that knows its primary.
func newBroker(t *testing.T, f *fakeServers, connections int) (*Broker, *fakeOwner) {
	t.Helper()
	return newBrokerOf(t, f, f, connections)
}

// newBrokerOf is like newBroker with another dialer to the servers.
func newBrokerOf(t *testing.T, f *fakeServers, dialer Dialer, connections int) (*Broker, *fakeOwner) {
	t.Helper()
	o := &fakeOwner{servers: f}
	start := time.Now()
	b := New(Config{Service: testService, Dialer: dialer, Lease: o, RateLimiter: o, Log: log.New(io.Discard),
		Metrics: NewMetrics(metrics.NewRegistry()), Clock: func() time.Duration { return time.Since(start) },
		LeaseClock: func() time.Duration { return time.Since(start) }}, RecordedPrimary{})
	t.Cleanup(b.Close)
	d := directory.New()
	servers := directory.Listing{Kind: directory.Servers, Revision: 1}
	for _, id := range []string{"p", "r1", "r2"} {
		servers.Entries = append(servers.Entries, directory.Entry{Name: id, Revision: 1,
			Server: &directory.Server{ID: id, Service: testService, Slots: 2, Domain: id}})
	}
	d.Replace(0, servers)
	d.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 1, Entries: []directory.Entry{{Name: "main",
		Revision: 1, Configuration: &directory.Configuration{Version: 1,
			Services:   map[string]directory.Service{testService: {MaxConnections: connections, SyncReplicas: f.syncReplicas}},
			Workspaces: map[string]directory.Workspace{"ws": {Name: "ws", Rate: 1000}, "other": {Name: "other", Rate: 100}}}}}})
	b.ApplyView(d.View())
	end := time.Now().Add(5 * time.Second)
	for b.primaryID() == "" {
		if time.Now().After(end) {
			t.Fatal("no primary within 5 s")
		}
		time.Sleep(time.Millisecond)
	}
	return b, o
}

var streams struct {
	sync.Mutex
	n uint64
}

func nextStream() uint64 {
	streams.Lock()
	defer streams.Unlock()
	streams.n++
	return streams.n
}

// request returns a statement outside a transaction.
func request(kind statement.Kind, text string) Request {
	n := nextStream()
	return Request{Stream: n, Service: testService, Workspace: "ws", First: true, Timeout: time.Second,
		Statement: statement.Statement{ID: "q" + strconv.FormatUint(n, 10), Kind: kind, Text: text}}
}

func do(b *Broker, req Request) Result {
	results := make(chan Result, 1)
	b.Execute(StreamKey{Stream: req.Stream}, req, func(r Result) { results <- r })
	return <-results
}

// Guards against a write that runs twice or is reported as not run, when the connection breaks after it ran.
func TestWriteIsNotRepeated(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, _ := newBroker(t, f, 20)
	f.mu.Lock()
	f.inject = func(_ string, c statement.Command) (statement.Code, bool) { return 0, c.Kind == statement.Write }
	f.mu.Unlock()
	r := do(b, request(statement.Write, "WRITE a 1"))
	is.Equal(r.Response.Code, statement.OutcomeUnknown)
	is.Equal(len(f.ran()), 1)
}

// Guards against reads that fail because one server does not respond.
func TestReadMovesToAnotherServer(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, _ := newBroker(t, f, 20)
	// The response contains the position that replicas must have applied.
	is.Equal(do(b, request(statement.Write, "WRITE a 1")).Response.Code, statement.OK)
	time.Sleep(replicaStatusInterval)
	var once sync.Once
	f.mu.Lock()
	f.inject = func(_ string, c statement.Command) (code statement.Code, breaks bool) {
		if c.Kind == statement.Read {
			once.Do(func() { breaks = true })
		}
		return code, breaks
	}
	f.mu.Unlock()
	req := request(statement.Read, "READ a")
	req.Consistency, req.MaxStaleness = directory.BoundedStaleness, time.Second
	is.Equal(do(b, req).Response.Code, statement.OK)
	runs := f.ran()[1:]
	is.Equal(len(runs), 2)
	is.True(runs[0].server != runs[1].server)
}

// Guards against a statement that runs outside its transaction because the transaction could not begin.
func TestStatementWaitsForBegin(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, _ := newBroker(t, f, 20)
	f.mu.Lock()
	f.inject = func(_ string, c statement.Command) (statement.Code, bool) {
		if c.Kind == statement.Begin {
			return statement.ReadOnly, false
		}
		return 0, false
	}
	f.mu.Unlock()
	req := request(statement.Write, "WRITE a 1")
	req.Begin = statement.Begin
	r := do(b, req)
	is.True(r.Response.Code != statement.OK)
	is.Equal(len(f.ran()), 0)
}

// Guards against committing a transaction whose caller was told that it was rolled back.
func TestFailedTransactionIsRolledBack(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, _ := newBroker(t, f, 20)
	req := request(statement.Write, "WRITE a 1")
	req.Begin = statement.Begin
	is.True(do(b, req).TransactionOpen)
	f.mu.Lock()
	f.inject = func(_ string, c statement.Command) (statement.Code, bool) { return 0, c.Kind == statement.Read }
	f.mu.Unlock()
	next := request(statement.Read, "READ a")
	next.Stream, next.First = req.Stream, false
	is.Equal(do(b, next).Response.Code, statement.Aborted)
	commit := request(statement.Commit, "COMMIT")
	commit.Stream, commit.First = req.Stream, false
	is.Equal(do(b, commit).Response.Code, statement.Aborted)
	for _, r := range f.ran() {
		is.True(r.command.Kind != statement.Commit)
	}
}

// Guards against statements that run with the settings of another session of the same workspace.
func TestSettingsAreThoseOfTheSession(t *testing.T) {
	f := newFakeServers()
	b, _ := newBroker(t, f, 3) // one connection for statements
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := request(statement.Read, "READ a")
			if i%3 > 0 {
				req.Settings = []statement.Setting{{Name: "zone", Value: strconv.Itoa(i % 3)}}
			}
			req.Statement.Text = fmt.Sprint(i % 3)
			if r := do(b, req); r.Response.Code != statement.OK {
				t.Errorf("read: %v", r.Response)
			}
		}()
	}
	wg.Wait()
	for _, r := range f.ran() {
		want := "map[]"
		if r.command.Text != "0" {
			want = "map[zone:" + r.command.Text + "]"
		}
		if r.settings != want {
			t.Errorf("statement of a session with %s ran with %s", want, r.settings)
		}
	}
}

// Guards against connections that are shared between workspaces, and against more connections than the server
// accepts.
func TestConnectionsBelongToOneWorkspace(t *testing.T) {
	const connections = 4
	f := newFakeServers()
	f.serviceTime = time.Millisecond
	b, _ := newBroker(t, f, connections)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := request(statement.Read, "READ a")
			req.Workspace = []string{"ws", "other"}[i%2]
			req.Statement.Text = req.Workspace
			do(b, req)
		}()
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.runs {
		if r.workspace != r.command.Text {
			t.Errorf("a statement of %s ran on a connection of %s", r.command.Text, r.workspace)
		}
	}
	for server, n := range f.open {
		if n > connections {
			t.Errorf("%d connections to %s", n, server)
		}
	}
}

// Guards against an owner that uses the servers after its lease has ended, including for open transactions.
func TestNothingRunsWithoutLease(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, o := newBroker(t, f, 20)
	req := request(statement.Write, "WRITE a 1")
	req.Begin = statement.Begin
	is.True(do(b, req).TransactionOpen)
	o.mu.Lock()
	o.invalid = true
	o.mu.Unlock()
	is.True(do(b, request(statement.Write, "WRITE a 2")).NotOwner)
	commit := request(statement.Commit, "COMMIT")
	commit.Stream, commit.First = req.Stream, false
	is.Equal(do(b, commit).Response.Code, statement.Aborted)
	is.Equal(len(f.ran()), 1)
}

// Guards against three failures under overload: requests that wait until they time out instead of being refused at
// once, more statements at a server than it has slots, and a small workspace starved by a large one. The load is four
// times what the primary can serve.
func TestOverload(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	f.serviceTime = 10 * time.Millisecond
	b, _ := newBroker(t, f, 20)
	const timeout = 300 * time.Millisecond
	type outcome struct {
		workspace string
		code      statement.Code
		took      time.Duration
	}
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < time.Second; i++ {
		workspace := "ws"
		if i%50 == 0 {
			workspace = "other"
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := request(statement.Write, "WRITE a 1")
			req.Workspace, req.Timeout = workspace, timeout
			sent := time.Now()
			r := do(b, req)
			mu.Lock()
			outcomes = append(outcomes, outcome{workspace, r.Response.Code, time.Since(sent)})
			mu.Unlock()
		}()
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	var served, other, otherServed int
	for _, o := range outcomes {
		if o.code == statement.OK {
			served++
		}
		if o.workspace == "other" {
			other++
			if o.code == statement.OK {
				otherServed++
			}
		}
		if o.code != statement.OK && o.code != statement.Overloaded {
			t.Errorf("refused with %s", o.code)
		}
		if o.took > timeout+100*time.Millisecond {
			t.Errorf("responded after %s", o.took)
		}
	}
	is.True(served >= 150)             // 3 concurrent statements of 10 ms each make at most 300 in a second
	is.True(f.maxBusy["p"] <= 2+1)     // slots of the primary, and one statement in flight
	is.True(otherServed*10 >= other*8) // a small workspace within its share is served
}

// Guards against a standing queue under overload, in which every statement misses its latency objective: at twice the
// load that the primary can serve, most of the served statements have to be in time.
func TestOverloadServesInTime(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	f.serviceTime = 10 * time.Millisecond
	b, _ := newBroker(t, f, 20)
	const objective = 100 * time.Millisecond
	var mu sync.Mutex
	inTime, late := 0, 0
	var wg sync.WaitGroup
	began := time.Now()
	for time.Since(began) < 1500*time.Millisecond {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := request(statement.Write, "WRITE a 1")
			req.LatencyObjective, req.Timeout = objective, time.Second
			sent := time.Now()
			r := do(b, req)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.Response.Code != statement.OK:
			case time.Since(sent) <= objective:
				inTime++
			default:
				late++
			}
		}()
		time.Sleep(1700 * time.Microsecond)
	}
	wg.Wait()
	is.True(inTime >= 150)
	is.True(inTime >= 3*late)
}

// Guards against writes that fail during a switchover of the primary.
func TestPlannedChangeKeepsWrites(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, _ := newBroker(t, f, 20)
	d := directory.New()
	servers := directory.Listing{Kind: directory.Servers, Revision: 2}
	for _, id := range []string{"p", "r1", "r2"} {
		servers.Entries = append(servers.Entries, directory.Entry{Name: id, Revision: 2, Server: &directory.Server{
			ID: id, Service: testService, Slots: 2, Domain: id, Draining: id == "p"}})
	}
	d.Replace(0, servers)
	d.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 2, Entries: []directory.Entry{{Name: "main",
		Revision: 2, Configuration: &directory.Configuration{Version: 1,
			Services: map[string]directory.Service{testService: {MaxConnections: 20}}}}}})
	b.ApplyView(d.View())
	for range 20 {
		r := do(b, request(statement.Write, "WRITE a 1"))
		is.Equal(r.Response.Code, statement.OK)
	}
	runs := f.ran()
	is.True(!strings.HasPrefix(runs[len(runs)-1].server, "p"))
}

// Guards against writes that are sent too late for their response to arrive in time: with a standing queue their
// outcome would be unknown although they could have been refused.
func TestOverloadLeavesNoOutcomeUnknown(t *testing.T) {
	f := newFakeServers()
	f.serviceTime = 30 * time.Millisecond
	b, _ := newBroker(t, f, 20)
	for range 20 { // lets the broker measure the service time
		do(b, request(statement.Write, "WRITE a 1"))
	}
	var wg sync.WaitGroup
	for range 120 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			req := request(statement.Write, "WRITE a 1")
			req.LatencyObjective, req.Timeout = 100*time.Millisecond, 400*time.Millisecond
			sent := time.Now()
			r := do(b, req)
			if r.Response.Code == statement.OK && time.Since(sent) > 500*time.Millisecond {
				t.Errorf("responded after %s", time.Since(sent))
			}
			if r.Response.Code == statement.OutcomeUnknown {
				t.Error("a write was sent too late for its response")
			}
		}()
		time.Sleep(3 * time.Millisecond)
	}
	wg.Wait()
}

// Guards against a server that receives more than its warm-up rate after its failure domain has returned.
func TestWarmingUpServerGetsItsRate(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, _ := newBroker(t, f, 20)
	const perSecond = 20
	b.mu.Lock()
	for _, s := range b.servers {
		s.setWarmup(s.ID != "p", perSecond)
	}
	b.mu.Unlock()
	do(b, request(statement.Write, "WRITE a 1"))
	time.Sleep(replicaStatusInterval)
	began := time.Now()
	for time.Since(began) < time.Second {
		req := request(statement.Read, "READ a")
		req.Consistency, req.MaxStaleness = directory.BoundedStaleness, 2*time.Second
		is.Equal(do(b, req).Response.Code, statement.OK)
	}
	got := map[string]int{}
	for _, r := range f.ran() {
		got[r.server]++
	}
	limit := int(perSecond*time.Since(began).Seconds()) + 1
	is.True(got["r1"] <= limit && got["r2"] <= limit)
	is.True(got["p"] > limit)
}

// Guards against transactions that nobody can end, because the caller's VM failed or gave up while the first
// statement was running. Each held a connection and one of the server's few slots.
func TestTransactionOfLostVMIsRolledBack(t *testing.T) {
	for name, end := range map[string]func(b *Broker, key StreamKey){
		"link lost":    func(b *Broker, key StreamKey) { b.RollBackLink(key.Link) },
		"stream ended": func(b *Broker, key StreamKey) { b.RollBackStream(key) },
		"caller idle":  func(*Broker, StreamKey) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeServers()
			f.serviceTime = 50 * time.Millisecond
			b, _ := newBroker(t, f, 20)
			b.mu.Lock()
			b.txIdle = 100 * time.Millisecond
			b.mu.Unlock()
			req := request(statement.Write, "WRITE a 1")
			req.Begin = statement.Begin
			key := StreamKey{Link: 7, Stream: req.Stream}
			results := make(chan Result, 1)
			b.Execute(key, req, func(r Result) { results <- r })
			time.Sleep(f.serviceTime / 2)
			end(b, key)
			<-results
			limit := time.Now().Add(5 * time.Second)
			for b.ActiveStreams() > 0 {
				if time.Now().After(limit) {
					t.Fatal("the transaction stays open")
				}
				time.Sleep(time.Millisecond)
			}
			time.Sleep(2 * f.serviceTime)
			b.mu.Lock()
			defer b.mu.Unlock()
			p := b.servers["p"].pool
			is.Equal(p.open, p.idleCount()) // the connection is free again
		})
	}
}

// Guards against a statement that rolls back its successor: the caller leaves while the next statement of the transaction
// runs, before the first has returned from its reply.
func TestRollbackWaitsForTheNextStatement(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	f.serviceTime = 20 * time.Millisecond
	var order []statement.Kind
	f.inject = func(_ string, c statement.Command) (statement.Code, bool) {
		if c.Kind == statement.Write || c.Kind == statement.Rollback {
			order = append(order, c.Kind)
		}
		return statement.OK, false
	}
	b, _ := newBroker(t, f, 20)
	req := request(statement.Write, "WRITE a 1")
	req.Begin = statement.Begin
	key := StreamKey{Stream: req.Stream}
	next := make(chan Result, 1)
	b.Execute(key, req, func(Result) {
		b.Execute(key, Request{Stream: req.Stream, Service: testService, Workspace: "ws", Timeout: time.Second,
			Statement: statement.Statement{ID: "n", Kind: statement.Write, Text: "WRITE b 1"}}, func(r Result) { next <- r })
		b.RollBackStream(key)
	})
	is.Equal((<-next).Response.Code, statement.OK)
	time.Sleep(5 * f.serviceTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	is.Equal(order, []statement.Kind{statement.Write, statement.Write, statement.Rollback})
}

// Guards against a former owner that still runs statements at a primary that its successor may replace at once, and
// against transactions that a planned hand-over breaks off.
func TestFormerOwnerStops(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(*Broker)
		code statement.Code
	}{
		"taken over":  {(*Broker).Close, statement.Aborted},
		"handed over": {(*Broker).HandOver, statement.OK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeServers()
			b, owner := newBroker(t, f, 16)
			req := request(statement.Write, "WRITE a 1")
			req.Begin = statement.Begin
			is.True(do(b, req).TransactionOpen)
			owner.mu.Lock()
			owner.invalid = true
			owner.mu.Unlock()
			test.end(b)
			commit := Request{Stream: req.Stream, Service: testService, Workspace: "ws", Timeout: time.Second,
				Statement: statement.Statement{ID: "c", Kind: statement.Commit}}
			is.Equal(do(b, commit).Response.Code, test.code)
		})
	}
}
