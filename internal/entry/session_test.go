package entry

import (
	"errors"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	position "siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

// caller is a Conn whose statements a test sends.
type caller struct {
	database, key string
	statements    chan statement.Statement
	readErr       error // returned by Read after the end of statements; io.EOF if nil
	responses     chan statement.Response
	refusals      chan statement.Response

	mu     sync.Mutex
	wake   chan struct{} // closed when the read deadline changes
	limit  time.Time
	closed chan struct{}
	once   sync.Once
}

func newCaller(database, key string) *caller {
	return &caller{
		database: database, key: key, statements: make(chan statement.Statement), responses: make(chan statement.Response, 1),
		refusals: make(chan statement.Response, 1), wake: make(chan struct{}), closed: make(chan struct{}),
	}
}

func (c *caller) ReadStartup() (string, string, error) { return c.database, c.key, nil }

func (c *caller) Read() (statement.Statement, error) {
	for {
		c.mu.Lock()
		wake, limit := c.wake, c.limit
		c.mu.Unlock()
		var timer <-chan time.Time
		if !limit.IsZero() {
			timer = time.After(time.Until(limit))
		}
		select {
		case st, ok := <-c.statements:
			if !ok && c.readErr != nil {
				return st, c.readErr
			}
			if !ok {
				return st, io.EOF
			}
			return st, nil
		case <-timer:
			return statement.Statement{}, os.ErrDeadlineExceeded
		case <-wake:
		}
	}
}

func (c *caller) Buffered() bool     { return false }
func (c *caller) WriteReady() error  { return nil }
func (c *caller) SetAccount(Account) {}
func (c *caller) CloseGently()       {}

func (c *caller) WriteResponse(r statement.Response) error { c.responses <- r; return nil }
func (c *caller) WriteError(r statement.Response) error    { c.refusals <- r; return nil }

func (c *caller) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = t
	close(c.wake)
	c.wake = make(chan struct{})
	return nil
}

func (c *caller) SetWriteDeadline(time.Time) error { return nil }
func (c *caller) Close() error                     { c.once.Do(func() { close(c.closed) }); return nil }

// send sends a statement and returns its response.
func (c *caller) send(kind statement.Kind, text string) statement.Response {
	c.statements <- statement.Statement{ID: "1", Kind: kind, Text: text}
	return <-c.responses
}

// owner is a Router and Executor that owns all services.
type owner struct {
	mu      sync.Mutex
	view    *directory.View
	results map[string]broker.Result // by statement text
	errs    map[string]error
	block   map[string]func() // runs before the statement
	ran     []broker.Request
	ended   []uint64
	streams uint64
}

func newOwner() *owner {
	return &owner{
		view: &directory.View{Configuration: &directory.Configuration{
			Routes:     map[string]directory.Route{"db": {Name: "r", Database: "db", Service: "s"}, "open": {Service: "s", NoKey: true}},
			Workspaces: map[string]directory.Workspace{"w": {Name: "w"}},
			Keys:       map[string]string{"key": "w"},
		}},
		results: map[string]broker.Result{}, errs: map[string]error{},
	}
}

func (o *owner) View() *directory.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}

func (o *owner) NextStream() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.streams++
	return o.streams
}

func (o *owner) Run(req broker.Request) (broker.Result, Executor, error) {
	r, err := o.Do(req, 0)
	if errors.Is(err, peer.ErrNotSent) {
		return r, nil, err
	}
	return r, o, err
}

func (o *owner) Do(req broker.Request, _ time.Duration) (broker.Result, error) {
	if block := o.block[req.Statement.Text]; block != nil {
		block()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ran = append(o.ran, req)
	return o.results[req.Statement.Text], o.errs[req.Statement.Text]
}

func (o *owner) EndStream(stream uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = append(o.ended, stream)
}

func (o *owner) configure(change func(*directory.Configuration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := *o.view.Configuration
	change(&c)
	o.view = &directory.View{Configuration: &c}
}

func (o *owner) last() broker.Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ran[len(o.ran)-1]
}

func (o *owner) endedStreams() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ended)
}

// open starts a session.
func open(t *testing.T, o *owner, c *caller) *Server {
	t.Helper()
	s := NewServer(Config{Router: o, Log: log.New(io.Discard), Registry: metrics.NewRegistry()})
	s.accept(c)
	return s
}

func ended(c *caller) bool {
	select {
	case <-c.closed:
		return true
	case <-time.After(5 * time.Second):
		return false
	}
}

// Guards against accepting sessions with a key of no workspace or a database without a route.
func TestAccess(t *testing.T) {
	for _, test := range []struct {
		database, key string
		want          statement.Code
	}{
		{"db", "other", statement.AuthFailed},
		{"db", "", statement.AuthFailed},
		{"none", "key", statement.UnknownDatabase},
		{"open", "", statement.OK},
		{"db", "key", statement.OK},
	} {
		t.Run(test.database+"/"+test.key, func(t *testing.T) {
			is := is.New(t)
			c := newCaller(test.database, test.key)
			open(t, newOwner(), c)
			if test.want == statement.OK {
				is.Equal(c.send(statement.Read, "READ a").Code, statement.OK)
				close(c.statements)
				is.True(ended(c))
				return
			}
			is.Equal((<-c.refusals).Code, test.want)
			is.True(ended(c))
		})
	}
}

// Guards against reporting "not run" for a write or a commit whose response was lost, and against transactions
// left open on an owner after the session has stopped using it.
func TestAnswersOfLostOwner(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin bool
		kind  statement.Kind
		err   error
		want  statement.Code
		ends  int // streams that are rolled back
	}{
		{"write", false, statement.Write, peer.ErrNoResponse, statement.OutcomeUnknown, 0},
		{"read", false, statement.Read, peer.ErrNoResponse, statement.TimedOut, 0},
		{"write not sent", false, statement.Write, peer.ErrNotSent, statement.Overloaded, 0},
		{"write in a transaction", true, statement.Write, peer.ErrNoResponse, statement.Aborted, 1},
		{"read in a transaction", true, statement.Read, peer.ErrNoResponse, statement.Aborted, 1},
		{"commit", true, statement.Commit, peer.ErrNoResponse, statement.OutcomeUnknown, 0},
		{"commit not sent", true, statement.Commit, peer.ErrNotSent, statement.Aborted, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			o, c := newOwner(), newCaller("db", "key")
			open(t, o, c)
			o.results["WRITE first"] = broker.Result{TransactionOpen: true}
			o.errs["lost"] = test.err
			if test.begin {
				is.Equal(c.send(statement.Begin, "BEGIN").State, statement.InTransaction)
				is.Equal(c.send(statement.Write, "WRITE first").Code, statement.OK)
			}
			response := c.send(test.kind, "lost")
			is.Equal(response.Code, test.want)
			is.Equal(o.endedStreams(), test.ends)
			if test.begin && test.kind != statement.Commit {
				is.Equal(response.State, statement.FailedTransaction)
				is.Equal(c.send(statement.Read, "READ a").Code, statement.Malformed)
				is.Equal(c.send(statement.Commit, "COMMIT").Code, statement.Aborted)
			} else {
				is.Equal(response.State, statement.Idle)
			}
			is.Equal(c.send(statement.Read, "READ a").Code, statement.OK) // the session stays usable
		})
	}
}

// Guards against reads that do not require the position of the session's last write.
func TestMinPositionFollowsOwnWrites(t *testing.T) {
	is := is.New(t)
	o, c := newOwner(), newCaller("db", "key")
	open(t, o, c)
	first, second := position.Position{Term: 1, Offset: 5}, position.Position{Term: 1, Offset: 9}
	o.results["WRITE a"] = broker.Result{Response: statement.Response{Position: first}}
	o.results["READ a"] = broker.Result{Response: statement.Response{Position: position.Position{Term: 1, Offset: 7}}}
	o.results["WRITE b"] = broker.Result{TransactionOpen: true, Response: statement.Response{Position: second}}
	o.results["COMMIT"] = broker.Result{Response: statement.Response{Position: second}}
	c.send(statement.Write, "WRITE a")
	c.send(statement.Read, "READ a")
	is.Equal(o.last().MinPosition, first)
	c.send(statement.Read, "READ a")
	is.Equal(o.last().MinPosition, first) // a read does not raise it
	c.send(statement.Begin, "BEGIN")
	c.send(statement.Write, "WRITE b")
	is.Equal(o.last().Begin, statement.Begin)
	is.Equal(c.send(statement.Commit, "COMMIT").Code, statement.OK)
	c.send(statement.Read, "READ a")
	is.Equal(o.last().MinPosition, second)
}

// Guards against changing the settings of a statement that has already been forwarded.
func TestSettingsOfEarlierStatementsStay(t *testing.T) {
	is := is.New(t)
	o, c := newOwner(), newCaller("db", "key")
	open(t, o, c)
	set := func(value string) {
		c.statements <- statement.Statement{Kind: statement.Set, Name: "a", Args: value}
		<-c.responses
	}
	set("1")
	c.send(statement.Read, "READ a")
	earlier := o.last().Settings
	set("2")
	c.send(statement.Read, "READ a")
	is.Equal(earlier, []statement.Setting{{Name: "a", Value: "1"}})
	is.Equal(o.last().Settings, []statement.Setting{{Name: "a", Value: "2"}})
}

// Guards against sessions, idle or in a transaction, that continue after their key was revoked.
func TestRevokedKeyEndsSession(t *testing.T) {
	is := is.New(t)
	o, idle, busy := newOwner(), newCaller("db", "key"), newCaller("db", "key")
	s := open(t, o, idle)
	s.accept(busy)
	is.Equal(idle.send(statement.Read, "READ a").Code, statement.OK)
	busy.send(statement.Begin, "BEGIN")
	o.configure(func(c *directory.Configuration) { c.Keys = map[string]string{} })
	s.RecheckIdle()
	is.True(ended(idle))
	// An open transaction may end, but the session may not begin another one.
	is.Equal(busy.send(statement.Rollback, "ROLLBACK").Code, statement.OK)
	is.True(ended(busy))
}

// Guards against a transaction that was begun before its key was revoked, or its route dropped, and runs its first
// statement any time later: until then no server has heard of it.
func TestRevokedKeyRunsNoFirstStatement(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*directory.Configuration)
		code   statement.Code
	}{
		"key revoked":   {func(c *directory.Configuration) { c.Keys = map[string]string{} }, statement.AuthFailed},
		"route dropped": {func(c *directory.Configuration) { c.Routes = map[string]directory.Route{} }, statement.UnknownDatabase},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, c := newOwner(), newCaller("db", "key")
			open(t, o, c)
			is.Equal(c.send(statement.Begin, "BEGIN").Code, statement.OK)
			o.configure(test.change)
			is.Equal(c.send(statement.Write, "WRITE a").Code, test.code)
			is.Equal(len(o.ran), 0)
		})
	}
}

// Guards against a transaction that writes or commits with a key that was revoked or given to another workspace while the
// transaction was open. It is rolled back at once, also if the caller rests.
func TestRevokedKeyEndsOpenTransaction(t *testing.T) {
	for name, change := range map[string]func(*directory.Configuration){
		"key revoked":           func(c *directory.Configuration) { c.Keys = map[string]string{} },
		"key of another caller": func(c *directory.Configuration) { c.Keys = map[string]string{"key": "other"} },
	} {
		for _, rests := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				o, c := newOwner(), newCaller("db", "key")
				o.results["WRITE a"] = broker.Result{TransactionOpen: true}
				s := open(t, o, c)
				c.send(statement.Begin, "BEGIN")
				is.Equal(c.send(statement.Write, "WRITE a").Code, statement.OK)
				o.configure(change)
				for end := time.Now().Add(5 * time.Second); rests && o.endedStreams() == 0 && time.Now().Before(end); {
					s.RecheckIdle()
					time.Sleep(time.Millisecond)
				}
				is.Equal(c.send(statement.Commit, "COMMIT").Code, statement.Aborted)
				is.Equal(len(o.ran), 1) // the commit did not reach the owner
				is.Equal(o.endedStreams(), 1)
			})
		}
	}
}

// Guards against callers that hold a server connection by staying idle inside a transaction.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	is := is.New(t)
	o, c := newOwner(), newCaller("db", "key")
	o.configure(func(c *directory.Configuration) { c.TxIdleTimeout = 30 * time.Millisecond })
	o.results["WRITE a"] = broker.Result{TransactionOpen: true}
	open(t, o, c)
	c.send(statement.Begin, "BEGIN")
	c.send(statement.Write, "WRITE a")
	for end := time.Now().Add(5 * time.Second); o.endedStreams() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(o.endedStreams(), 1)
	response := c.send(statement.Commit, "COMMIT")
	is.Equal(response.Code, statement.Aborted)
	is.Equal(len(o.ran), 1) // the commit did not reach the owner
}

// Guards against undecodable messages that end a session without an error response.
func TestBrokenMessagesAreRefused(t *testing.T) {
	for err, want := range map[error]statement.Code{ErrMalformed: statement.Malformed, ErrTooLarge: statement.TooLarge} {
		is := is.New(t)
		c := newCaller("db", "key")
		open(t, newOwner(), c)
		c.readErr = err
		close(c.statements)
		is.Equal((<-c.refusals).Code, want)
		is.True(ended(c))
	}
}

// Guards against so many callers that no file descriptors are left for servers and other VMs.
func TestSessionsAreBounded(t *testing.T) {
	is := is.New(t)
	o, first, second, third := newOwner(), newCaller("db", "key"), newCaller("db", "key"), newCaller("db", "key")
	s := NewServer(Config{Router: o, Log: log.New(io.Discard), Registry: metrics.NewRegistry(), MaxSessions: 1})
	s.accept(first)
	is.Equal(first.send(statement.Read, "READ a").Code, statement.OK)
	s.accept(second)
	is.Equal((<-second.refusals).Code, statement.Overloaded)
	is.True(ended(second))
	close(first.statements)
	is.True(ended(first))
	for s.Sessions() > 0 {
		time.Sleep(time.Millisecond)
	}
	s.accept(third)
	is.Equal(third.send(statement.Read, "READ a").Code, statement.OK)
}

// Guards against a drain that closes a transaction before its timeout, or that waits for idle sessions.
func TestDrainWaitsForTransactions(t *testing.T) {
	is := is.New(t)
	o, idle, busy := newOwner(), newCaller("db", "key"), newCaller("db", "key")
	o.results["WRITE a"] = broker.Result{TransactionOpen: true}
	s := open(t, o, idle)
	s.accept(busy)
	is.Equal(idle.send(statement.Read, "READ a").Code, statement.OK)
	busy.send(statement.Begin, "BEGIN")
	busy.send(statement.Write, "WRITE a")
	closed := make(chan int)
	go func() { closed <- s.Drain(5*time.Second, 5*time.Second) }()
	is.True(ended(idle))
	is.Equal(busy.send(statement.Commit, "COMMIT").Code, statement.OK)
	is.Equal(<-closed, 0)
	is.True(ended(busy))
}

// Guards against a VM that exits beneath its callers: statements that are running when open transactions may no longer go on
// were cut, and resting transactions ended without a word.
func TestStatementsInHandAreAnsweredAtExit(t *testing.T) {
	is := is.New(t)
	o, resting, busy := newOwner(), newCaller("db", "key"), newCaller("db", "key")
	o.results["WRITE a"] = broker.Result{TransactionOpen: true}
	running, answer := make(chan struct{}), make(chan struct{})
	o.block = map[string]func(){"READ slow": func() { close(running); <-answer }}
	s := open(t, o, resting)
	s.accept(busy)
	resting.send(statement.Begin, "BEGIN")
	resting.send(statement.Write, "WRITE a")
	response := make(chan statement.Response)
	go func() { response <- busy.send(statement.Read, "READ slow") }()
	<-running
	const limit = 3 * time.Second
	left := make(chan int)
	go func() { left <- s.Drain(20*time.Millisecond, limit) }()
	for o.endedStreams() == 0 {
		time.Sleep(time.Millisecond) // until the resting transaction is rolled back
	}
	is.Equal(s.AwaitAnswers(10*time.Millisecond), 1)
	is.Equal(resting.send(statement.Commit, "COMMIT").Code, statement.Aborted)
	is.True(s.runtime(time.Minute) <= limit-ResponseMargin)
	close(answer)
	is.Equal((<-response).Code, statement.OK) // the session was not closed meanwhile
	close(resting.statements)
	is.Equal(<-left, 0)
	is.Equal(s.AwaitAnswers(0), 0)
}

// Guards against a session that is accepted during a drain and closed while its first statement is on the way.
func TestSessionAcceptedDuringDrainRunsItsStatement(t *testing.T) {
	is := is.New(t)
	o, c := newOwner(), newCaller("db", "key")
	s := NewServer(Config{Router: o, Log: log.New(io.Discard), Registry: metrics.NewRegistry()})
	s.draining.Store(true)
	s.accept(c)
	time.Sleep(20 * time.Millisecond) // the statement is on the way
	is.Equal(c.send(statement.Read, "READ a").Code, statement.OK)
	is.True(ended(c))
	late := newCaller("db", "key")
	s.accept(late) // sends nothing
	time.Sleep(firstStatementTime)
	s.RecheckIdle()
	is.True(ended(late))
}
