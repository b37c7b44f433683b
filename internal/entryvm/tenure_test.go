package entryvm

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

// loneServer is the only server of a group, and its primary.
type loneServer struct {
	mu       sync.Mutex
	received []statement.Kind // without status queries
}

func (s *loneServer) Dial(context.Context, directory.Server, string) (broker.Conn, error) {
	return &loneConn{server: s}, nil
}

func (s *loneServer) ParseStatus(statement.Response) (broker.Status, error) {
	return broker.Status{Primary: true, Term: 1}, nil
}

func (s *loneServer) got(kind statement.Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.received, kind)
}

type loneConn struct {
	server *loneServer
	open   bool
}

func (c *loneConn) Close() error { return nil }

func (c *loneConn) Do(commands []statement.Command, _ time.Time) (responses []statement.Response, err error) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	for _, command := range commands {
		if command.Kind != statement.Status {
			c.server.received = append(c.server.received, command.Kind)
		}
		c.open = command.Kind == statement.Begin || c.open && command.Kind != statement.Commit && command.Kind != statement.Rollback
		response := statement.Response{Signature: "signed", Position: session.Position{Term: 1, Offset: 1}}
		if c.open {
			response.State = statement.InTransaction
		}
		responses = append(responses, response)
	}
	return responses, nil
}

// ownerOfServer returns a VM that owns a service of one server.
func ownerOfServer(t *testing.T, s *loneServer) *Daemon {
	t.Helper()
	d := isolatedOwner(t)
	d.deps.Dialer = s
	d.deps.Store = &returnedStore{}
	d.directory.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 2, Entries: []directory.Entry{{Name: "main",
		Revision: 2, Configuration: &directory.Configuration{Version: 2, Services: map[string]directory.Service{
			"ledger": {Name: "ledger", MaxConnections: 20}}}}}})
	d.directory.Replace(0, directory.Listing{Kind: directory.Servers, Revision: 2, Entries: []directory.Entry{{Name: "i-1", Revision: 2,
		Server: &directory.Server{ID: "i-1", Service: "ledger", Slots: 4}}}})
	recordOwner(t, d, directory.OwnerRecord{Epoch: 1, Holder: d.self.RunID()})
	return d
}

// recordOwner applies the record of an owner that took the service over or, for another VM, that got it handed over.
func recordOwner(t *testing.T, d *Daemon, record directory.OwnerRecord) {
	t.Helper()
	record.Service = "ledger"
	record.HandedOver = record.Holder != d.self.RunID()
	e := directory.Entry{Name: "service.ledger", Revision: 2 + record.Epoch, OwnerRecord: &record}
	d.deps.Store.(*returnedStore).stored = e
	d.directory.Put(d.clock(), directory.Fleet, e)
	for _, b := range d.ownership.ownedBrokers() {
		t.Cleanup(b.Close)
	}
	grantAll(d)
}

// grantAll acknowledges a renewal by all voters.
func grantAll(d *Daemon) {
	for _, name := range d.ownership.voters().Members() {
		d.ownership.recordAck(name, d.bootClock(), []string{"ledger"})
	}
}

// execute runs a statement of a stream at a broker.
func execute(b *broker.Broker, stream uint64, kind, begin statement.Kind) broker.Result {
	results := make(chan broker.Result, 1)
	b.Execute(broker.StreamKey{Stream: stream}, broker.Request{Stream: stream, Service: "ledger", Workspace: "shop", Begin: begin,
		Consistency: directory.Latest, Timeout: 2 * time.Second, Statement: statement.Statement{ID: "1", Kind: kind, Text: "1"}},
		func(r broker.Result) { results <- r })
	return <-results
}

// beginTransaction opens a transaction with a write once the primary is known.
func beginTransaction(t *testing.T, d *Daemon, b *broker.Broker, stream uint64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		grantAll(d)
		if execute(b, stream, statement.Write, statement.Begin).TransactionOpen {
			return
		}
	}
	t.Fatal("no transaction was begun")
}

// Guards against a commit at a primary that was replaced: the broker of a former ownership went on without limit once its VM
// owned the service again, beside the new broker, whose change of the primary covers its own connections only.
func TestFormerOwnershipDoesNotRunStatements(t *testing.T) {
	is := is.New(t)
	s := &loneServer{}
	d := ownerOfServer(t, s)
	former := d.ownership.broker("ledger")
	beginTransaction(t, d, former, 1)
	recordOwner(t, d, directory.OwnerRecord{Epoch: 2, Holder: directory.RunID{Name: "b", Incarnation: 1}})
	is.True(execute(former, 1, statement.Read, 0).TransactionOpen) // shortly after the hand-over
	recordOwner(t, d, directory.OwnerRecord{Epoch: 3, Holder: d.self.RunID()})
	is.True(d.ownership.broker("ledger") != former)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		grantAll(d)
	}
	is.True(d.ownership.Valid("ledger"))
	is.Equal(execute(former, 1, statement.Commit, 0).Response.Code, statement.Aborted)
	is.True(!s.got(statement.Commit))
	beginTransaction(t, d, d.ownership.broker("ledger"), 2)
	is.Equal(execute(d.ownership.broker("ledger"), 2, statement.Commit, 0).Response.Code, statement.OK)
}

// Guards against a promotion by the broker of a former ownership, which may name a server that the present owner of the
// service has replaced.
func TestFormerOwnershipDoesNotPromote(t *testing.T) {
	is := is.New(t)
	d := ownerOfServer(t, &loneServer{})
	p := &recordingPromoter{}
	d.deps.Promoter = p
	former := d.ownership.broker("ledger")
	promote := func(b *broker.Broker) error {
		return b.Lease.Promote(t.Context(), "ledger", broker.RecordedPrimary{Server: "i-1", Term: 2})
	}
	recordOwner(t, d, directory.OwnerRecord{Epoch: 2, Holder: directory.RunID{Name: "b", Incarnation: 1}})
	recordOwner(t, d, directory.OwnerRecord{Epoch: 3, Holder: d.self.RunID()})
	is.True(d.ownership.Valid("ledger"))
	is.True(errors.Is(promote(former), broker.ErrNotPromoted))
	is.Equal(len(p.sent), 0)
	is.NoErr(promote(d.ownership.broker("ledger")))
	is.Equal(len(p.sent), 1)
}

// Guards against a VM that ends the open transactions of its services at SIGTERM, by handing the services over at once, and
// against one that keeps the services for as long as transactions are open.
func TestHandOverWaitsForOpenTransactions(t *testing.T) {
	for name, commits := range map[string]bool{"commits": true, "rests": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := ownerOfServer(t, &loneServer{})
			b := d.ownership.broker("ledger")
			beginTransaction(t, d, b, 1)
			const limit = time.Second
			began, done := time.Now(), make(chan time.Duration)
			go func() {
				d.ownership.handOverAll(t.Context(), limit)
				done <- time.Since(began)
			}()
			for time.Since(began) < limit/2 {
				grantAll(d)
				is.True(execute(b, 1, statement.Read, 0).TransactionOpen)
				is.True(d.ownership.broker("ledger") == b)
				time.Sleep(20 * time.Millisecond)
			}
			if !commits {
				is.True(<-done >= limit)
				is.True(execute(b, 1, statement.Read, 0).TransactionOpen) // for a short time
				return
			}
			is.Equal(execute(b, 1, statement.Commit, 0).Response.Code, statement.OK)
			is.True(<-done < limit)
			is.Equal(d.directory.View().OwnerRecords["ledger"].HandedOver, true)
		})
	}
}

// Guards against a service that is handed over to a VM which is about to exit itself.
func TestLeavingVMGetsNoService(t *testing.T) {
	is := is.New(t)
	d := ownerOfServer(t, &loneServer{})
	o, b := d.ownership, directory.RunID{Name: "b", Incarnation: 1}
	successors := func() []string {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.successors(d.directory.View(), "ledger")
	}
	is.Equal(len(successors()), 2)
	o.recordLeaving(b, true)
	is.Equal(successors(), []string{"c"})
	o.recordLeaving(directory.RunID{Name: "b", Incarnation: 9}, false) // a new run
	is.Equal(len(successors()), 2)
}
