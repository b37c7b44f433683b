package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/statement"
)

// silence makes a server stop answering status queries.
func (f *fakeServers) silence(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inject = func(server string, c statement.Command) (statement.Code, bool) {
		return statement.OK, server == id && c.Kind == statement.Status
	}
}

// openTransaction begins a transaction that has written.
func openTransaction(t *testing.T, b *Broker) Request {
	t.Helper()
	req := request(statement.Write, "WRITE a 1")
	req.Begin = statement.Begin
	if r := do(b, req); !r.TransactionOpen {
		t.Fatalf("transaction not open: %+v", r.Response)
	}
	return req
}

// commitOf returns the commit of a transaction.
func commitOf(begin Request) Request {
	return Request{Stream: begin.Stream, Service: testService, Workspace: "ws", Timeout: 10 * time.Second,
		Statement: statement.Statement{ID: "commit", Kind: statement.Commit}}
}

// awaitOtherPrimary waits until the broker uses another primary than p.
func awaitOtherPrimary(t *testing.T, b *Broker) {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for b.primaryID() == "p" || b.primaryID() == "" {
		if time.Now().After(end) {
			t.Fatal("the primary was not replaced")
		}
		time.Sleep(time.Millisecond)
	}
}

// replacements are the ways in which p is replaced as the primary.
var replacements = map[string]func(*fakeServers, *Broker){
	"silent": func(f *fakeServers, _ *Broker) { f.silence("p") },
	"no longer listed": func(_ *fakeServers, b *Broker) {
		d := directory.New()
		servers := directory.Listing{Kind: directory.Servers, Revision: 2}
		for _, id := range []string{"r1", "r2"} {
			servers.Entries = append(servers.Entries, directory.Entry{Name: id, Revision: 2, Server: &directory.Server{
				ID: id, Service: testService, Slots: 2, Domain: id}})
		}
		d.Replace(0, servers)
		d.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 2, Entries: []directory.Entry{{Name: "main",
			Revision: 2, Configuration: &directory.Configuration{Version: 1,
				Services: map[string]directory.Service{testService: {MaxConnections: 20}}}}}})
		b.ApplyView(d.View())
	},
	"another server leads": func(f *fakeServers, _ *Broker) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.primary, f.term = "r1", 2
	},
}

// Guards against a commit that is acknowledged by a primary after another server was promoted, and is then lost: the
// transaction was opened before the primary was replaced.
func TestReplacedPrimaryGetsNoCommit(t *testing.T) {
	for name, replace := range replacements {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeServers()
			b, _ := newBroker(t, f, 20)
			begin := openTransaction(t, b)
			replace(f, b)
			awaitOtherPrimary(t, b)
			is.Equal(do(b, commitOf(begin)).Response.Code, statement.Aborted)
			for _, r := range f.ran() {
				is.True(r.command.Kind != statement.Commit)
			}
		})
	}
}

// Guards against the same for a commit and a single write that are already running when the primary is replaced: whether
// the new primary has them is unknown.
func TestRunningWriteAtReplacedPrimaryIsUnknown(t *testing.T) {
	for name, replace := range replacements {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeServers()
			b, _ := newBroker(t, f, 20)
			begin := openTransaction(t, b)
			f.mu.Lock()
			f.serviceTime = 2 * time.Second
			f.mu.Unlock()
			results := make(chan Result, 2)
			commit, write := commitOf(begin), request(statement.Write, "WRITE b 1")
			write.Timeout = commit.Timeout
			for _, req := range []Request{commit, write} {
				b.Execute(StreamKey{Stream: req.Stream}, req, func(r Result) { results <- r })
			}
			time.Sleep(50 * time.Millisecond)
			replace(f, b)
			for range 2 {
				is.Equal((<-results).Response.Code, statement.OutcomeUnknown)
			}
			is.True(b.primaryID() != "p")
		})
	}
}

// Guards against a write that is acknowledged after the lease has ended, when another owner may have replaced the
// primary.
func TestWriteThatOutlivesTheLeaseIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, owner := newBroker(t, f, 20)
	begin := openTransaction(t, b)
	f.mu.Lock()
	f.serviceTime = 200 * time.Millisecond
	f.mu.Unlock()
	results := make(chan Result, 2)
	for _, req := range []Request{commitOf(begin), request(statement.Write, "WRITE b 1")} {
		b.Execute(StreamKey{Stream: req.Stream}, req, func(r Result) { results <- r })
	}
	time.Sleep(50 * time.Millisecond)
	owner.mu.Lock()
	owner.invalid = true
	owner.mu.Unlock()
	for range 2 {
		is.Equal((<-results).Response.Code, statement.OutcomeUnknown)
	}
}
