package peer

import (
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

func newTestMetrics() *Metrics { return NewMetrics(metrics.NewRegistry()) }

func sampleRun() *broker.Request {
	return &broker.Request{
		Stream: 991, Service: "ledger", Workspace: "w7", First: true, Begin: statement.BeginReadOnly, Consistency: directory.ReadYourWrites,
		MaxStaleness: 2500 * time.Millisecond, MinPosition: session.Position{Term: 3, Offset: 1207}, Priority: 2,
		LatencyObjective: 250 * time.Millisecond, Timeout: 800 * time.Millisecond,
		Statement: statement.Statement{ID: "5c0e", Kind: statement.Execute, Text: "EXECUTE s1 \xff\xfe", Name: "s1", Args: "\xff\xfe"},
		Prepared:  statement.PreparedQuery{Text: "q2c", Writes: true},
		Settings:  []statement.Setting{{Name: "a", Value: "1"}, {Name: "b", Value: ""}}, AtReplicas: true, Admitted: true, GivenUp: 1,
	}
}

// Guards against message fields that are lost between VMs, and against statements that are altered because they
// are not valid UTF-8.
func TestMessagesKeepTheirContent(t *testing.T) {
	run := directory.RunID{Name: "vm", Incarnation: 1 << 63}
	record := directory.OwnerRecord{Service: "s", Epoch: 7, Holder: run, Predecessors: []directory.RunID{run}, HandedOver: true, Primary: "i-1",
		PrimaryTerm: 4}
	vm := directory.VM{Name: "vm", Incarnation: 1 << 63, Address: "10.0.0.1:1", Domain: "d", Cores: 0.192, Leaving: true}
	counts := [directory.KindCount]uint64{1, 2, 3, 1 << 40}
	for _, m := range []Message{
		{Hello: &Hello{VM: vm, LastChanges: counts}},
		{Seq: 1, Run: sampleRun()},
		{Seq: 1, IsResponse: true, Result: &broker.Result{Stream: 1, TransactionOpen: true, NotOwner: true, Response: statement.Response{
			Rows: []string{"a b", "\xff"}, Signature: "7.1f", Code: statement.Failed, Detail: "d", State: statement.InTransaction,
			Position: session.Position{Term: 1, Offset: 2},
		}}},
		{EndStream: &EndStream{Stream: 5}},
		{Renewal: &Renewal{Sent: time.Hour, OwnerRecords: []directory.OwnerRecordEntry{{OwnerRecord: record, Revision: 9}}, LastChanges: counts,
			ConfirmedAge: [directory.KindCount]time.Duration{time.Second, 0, -1, 5}, Isolated: true}},
		{RenewalAck: &RenewalAck{Sent: 1, Services: []string{"s"}, LastChanges: counts, Leaving: true}},
		{ChangesRequest: &ChangesRequest{Kind: directory.Fleet, Since: 12}},
		{FailureQuery: &FailureQuery{OwnerRecord: record}},
		{Seq: 2, IsResponse: true, FailureVote: &FailureVote{Suspected: true}},
		{Release: &Release{Service: "s", Epoch: 3, Successor: &directory.OwnerRecordEntry{OwnerRecord: record, Revision: 9}}},
		{Seq: 3, PositionQuery: &PositionQuery{Service: "s", Domain: "d", Outstanding: map[string]int{"i": 4}}},
		{Seq: 3, IsResponse: true, PositionReport: &broker.PositionReport{Position: session.Position{Term: 1, Offset: 2}, Age: time.Second,
			Replicas: map[string]broker.ReplicaStatus{"i": {Applied: session.Position{Term: 1, Offset: 1}, Lag: 60, Outstanding: 7}},
			Known:    true, FreeElsewhere: 12}},
		{Seq: 1, IsResponse: true, Result: &broker.Result{Stream: 1, NotOwner: true, Admitted: true, GivenUp: 1}},
		{Promote: &Promote{Service: "s", Server: "i", Attempt: 1 << 63}},
		{PromoteResult: &PromoteResult{Error: "e", NotPromoted: true}},
		{PromotionConfirm: &PromotionConfirm{Attempt: 1 << 63, Wanted: true}},
		{TokenRequest: &TokenRequest{Workspace: "w", Count: 3, IsAllocator: true, VM: "vm", Outage: time.Hour, Spent: 2, Forward: true}},
		{Release: &Release{Service: "s", Tokens: map[string]float64{"w": -0.5}}},
		{Changes: &directory.Listing{Kind: directory.Fleet, Since: 4, Revision: 9, Entries: []directory.Entry{
			{Name: "main", Revision: 1, Configuration: &directory.Configuration{
				Version: 3, TxIdleTimeout: time.Second, Keys: map[string]string{"k": "w"},
				Routes:     map[string]directory.Route{"db": {Name: "r", Database: "db", Service: "s", MaxStaleness: 1, Timeout: 2, LatencyObjective: 3, Priority: 4, NoKey: true, Consistency: directory.BoundedStaleness}},
				Services:   map[string]directory.Service{"s": {Name: "s", MaxConnections: 22, WarmupRate: 0.1, SyncReplicas: 1}},
				Workspaces: map[string]directory.Workspace{"w": {Name: "w", Priority: 1, Rate: 12.34, Burst: 1e9}},
			}},
			{Name: "i", Server: &directory.Server{ID: "i", Service: "s", Address: "a", Domain: "d", Slots: 3, Draining: true, Primary: true, StartTime: 1e12, WarmingUp: true}},
			{Name: "vm", VM: &vm}, {Name: "t", OwnerRecord: &record}, {Name: "gone", Deleted: true, Revision: 8},
		}}},
	} {
		is := is.New(t)
		encoded, err := encoding.Marshal(m)
		is.NoErr(err)
		var got Message
		is.NoErr(decoding.Unmarshal(encoded, &got))
		is.Equal(got, m)
	}
}

// Guards against links so expensive that a fleet of some hundred VMs cannot start in time: the first message of
// a link must cost about as much as any other.
func TestFirstMessageIsCheap(t *testing.T) {
	is := is.New(t)
	message := Message{Seq: 1, Run: sampleRun()}
	if _, err := encoding.Marshal(message); err != nil { // compiles the types
		t.Fatal(err)
	}
	allocated := testing.AllocsPerRun(100, func() {
		near, far := net.Pipe()
		out, in := newLink(1, near, newTestMetrics()), newLink(2, far, newTestMetrics())
		got := make(chan struct{})
		go func() { _ = in.read(func(*Link, Message) { close(got) }) }()
		is.NoErr(out.Send(message))
		<-got
		out.Close()
		in.Close()
	})
	t.Logf("%.0f allocations for a link and a message", allocated)
	is.True(allocated < 200) // with gob 1,200
}

// connect connects two links and returns one of them. Both pass their messages to handle.
func connect(t *testing.T, handle func(*Link, Message)) *Link {
	t.Helper()
	near, far := net.Pipe()
	out, in := newLink(1, near, newTestMetrics()), newLink(2, far, newTestMetrics())
	for _, l := range []*Link{out, in} {
		go func() {
			_ = l.read(handle)
			l.shutdown()
		}()
	}
	t.Cleanup(func() { out.Close(); in.Close() })
	return out
}

// Guards against responses that reach the wrong request when they arrive out of order.
func TestAnswersInAnyOrder(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var requests []Message
	l := connect(t, func(l *Link, m Message) {
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, m)
		if len(requests) < 3 {
			return
		}
		for i := len(requests) - 1; i >= 0; i-- {
			response := Message{Seq: requests[i].Seq, IsResponse: true, Result: &broker.Result{Stream: requests[i].Run.Stream}}
			go func() { _ = l.Send(response) }()
		}
	})
	var wg sync.WaitGroup
	for stream := range uint64(3) {
		wg.Go(func() {
			r, err := l.Do(broker.Request{Stream: stream + 1}, 5*time.Second)
			is.NoErr(err)
			is.Equal(r.Stream, stream+1)
		})
	}
	wg.Wait()
}

// Guards against requests that keep waiting after their link has closed, and against a lost response that is
// reported as a request that was not sent.
func TestEndOfLinkEndsRequests(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	l := connect(t, func(*Link, Message) { close(arrived) })
	result := make(chan error)
	go func() {
		_, err := l.Do(broker.Request{Stream: 1}, time.Minute)
		result <- err
	}()
	<-arrived
	l.Close()
	is.True(errors.Is(<-result, ErrNoResponse))
	for {
		if _, err := l.Do(broker.Request{Stream: 2}, time.Second); errors.Is(err, ErrNotSent) {
			return
		}
	}
}

// Guards against callers that wait for an unreachable owner although the statement may be repeated, and against
// aborting a write whose response may still arrive.
func TestAbortRepeatable(t *testing.T) {
	is := is.New(t)
	var arrived sync.WaitGroup
	arrived.Add(2)
	l := connect(t, func(*Link, Message) { arrived.Done() })
	read, write := make(chan error), make(chan error)
	go func() {
		_, err := l.Do(broker.Request{First: true, Statement: statement.Statement{Kind: statement.Read}}, time.Minute)
		read <- err
	}()
	go func() {
		_, err := l.Do(broker.Request{First: true, Statement: statement.Statement{Kind: statement.Write}}, time.Minute)
		write <- err
	}()
	arrived.Wait()
	l.AbortRepeatable()
	is.True(errors.Is(<-read, ErrNoResponse))
	select {
	case <-write:
		t.Error("the write was aborted")
	case <-time.After(20 * time.Millisecond):
	}
	l.Close()
	<-write
}
