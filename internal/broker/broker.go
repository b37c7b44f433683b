package broker

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"siskinrouter/internal/admission"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/hedge"
	"siskinrouter/internal/placement"
	"siskinrouter/internal/statement"
)

const (
	// idleTxMargin is added to the idle timeout of transactions, which the VM of the caller enforces first.
	idleTxMargin = time.Second
	// maxAttempts bounds how often a statement that did not run is routed to a server.
	maxAttempts = 4
)

// Config configures a Broker.
type Config struct {
	Service     string
	Dialer      Dialer
	Lease       Lease
	RateLimiter RateLimiter
	Log         *log.Logger
	Metrics     *Metrics
	Clock       func() time.Duration // monotonic, since the start of the process
	LeaseClock  func() time.Duration // like Clock, but also counts suspended time
	Domain      string               // failure domain of this VM
	Regions     placement.Regions    // of the failure domains; nil if there is only one
	// Random draws among servers that are equally good; nil means a source with a random seed.
	Random *rand.Rand
	// TakenOver is set if the previous owner has failed. Otherwise it handed the service over, and may finish
	// transactions.
	TakenOver bool
	// HandedOver is set if the previous owner has handed the service over.
	HandedOver bool
	// ReaderRank returns the position of this VM among the readers of its failure domain, from 0, or -1 if it is none of
	// them. Nil means 0.
	ReaderRank func(v *directory.View) int
	// ReplicasOnly makes a broker that serves reads at the replicas of Domain on behalf of the owner. What it cannot
	// serve at once it leaves to the owner.
	ReplicasOnly bool
	// Usage counts the statements sent to servers; nil if they are not counted.
	Usage UsageCounter
}

// Broker owns the connections to the servers of one service.
type Broker struct {
	Config
	mu         sync.Mutex
	ownerSince time.Duration
	servers    map[string]*server
	history    placement.History
	dialTime   time.Duration // moving average of the time that a server takes to open a connection
	// primary is the current primary; empty while it is unknown or being replaced.
	primary          string
	recorded         RecordedPrimary
	followedAt       time.Duration // when this broker began to use primary
	primaryChangedAt time.Duration
	changingPrimary  bool
	// promotionUnknown is set while a promotion may still take effect although it was not accepted. It then names the
	// server in recorded.
	promotionUnknown bool
	// unsettled is the server whose promotion was not answered the last time, at unsettledAt.
	unsettled   string
	unsettledAt time.Duration
	// recordOutdated is set if the owner record names a server that was not promoted.
	recordOutdated bool
	// fenced holds the servers that are no longer used as the primary, by id.
	fenced map[string]bool
	// leaseSince is when the lease was first seen to be valid, on LeaseClock.
	leaseSince time.Duration
	// quiescedAt is when the last statement at the old primary ended during a switchover.
	quiescedAt time.Duration
	txs        map[StreamKey]*tx
	nextID     uint64
	executions map[uint64]*execution
	// waitingForPrimary holds statements that need the primary while there is none.
	waitingForPrimary []*execution
	weights           map[string]int
	readerRank        int
	serviceTimes      hedge.Spreads
	txIdle            time.Duration // how long a caller may leave a transaction idle; 0 means no limit
	// leftReads counts the reads that a reader of replicas leaves to the owner.
	leftReads placement.LeftReads
	// byReport counts the choices that reports of other VMs changed since reportLoggedAt.
	byReport       int
	reportLoggedAt time.Duration
	durable        durability
	closed         bool
	graceEnd       time.Duration // until when a closed broker may finish transactions, on LeaseClock
	done           chan struct{}
	background     sync.WaitGroup
}

// server is one server of the group.
type server struct {
	directory.Server // as first listed; fields that change are kept below
	usable           bool
	shared           bool          // VMs of the server's failure domain read there if it is a replica
	maxConns         int           // connections that the server accepts, without the reserve
	warmup           *rate.Limiter // limits a server that is warming up, otherwise nil
	slots            int
	queue            *admission.Queue
	pool             pool
	running          int // including statements that bypass the queue
	unanswered       int // statements that were sent and not answered
	status           Status
	statusKnown      bool
	reachable        bool
	respondedAt      time.Duration
	statusAt         time.Duration // when the query that returned status was sent
	// reports holds the statements that other VMs have reported to have here, by VM, and othersBusy those of other VMs
	// among the busy slots of the last status.
	reports    map[string]placement.LoadReport
	othersBusy placement.LoadReport
	ledAt      time.Duration // when it last reported to be primary
	behindAt   time.Duration
	suspect    bool // a connection has failed and the server has not responded since
	stop       chan struct{}
}

// execution is a statement that is waiting or running.
type execution struct {
	id        uint64
	key       StreamKey
	req       Request
	reply     func(Result)
	arrived   time.Duration
	deadline  time.Duration
	attempts  int
	avoid     string // server that has just failed for this statement
	server    *server
	choice    placement.Choice
	holdsSlot bool // holds a slot of the server's queue
	abandoned bool // the caller no longer waits for the rest of the stream
	admitted  bool // counted against the workspace's rate limit
	tx        *tx
	conn      *conn // on which the statement is running
	watched   *watch
	givenUp   int  // how often the read was given up, here and by a reader of replicas
	counted   bool // as usage of its workspace
}

// tx is an open transaction.
type tx struct {
	key       StreamKey
	conn      *conn
	busy      bool
	readOnly  bool
	wrote     bool // a statement that changes data has run
	abandoned bool // the caller left while a statement was running
	usedAt    time.Duration
}

// New returns a broker that serves once its lease is valid.
func New(c Config, recorded RecordedPrimary) *Broker {
	b := &Broker{
		Config: c, ownerSince: c.Clock(), dialTime: initialDialTime, servers: map[string]*server{},
		txs: map[StreamKey]*tx{}, executions: map[uint64]*execution{}, recorded: recorded,
		weights: map[string]int{}, done: make(chan struct{}), fenced: map[string]bool{}, leaseSince: notYet,
	}
	if b.Random == nil {
		b.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	b.background.Add(1)
	go b.maintain()
	return b
}

// Close stops the broker when its service was taken over: waiting statements are refused, open transactions end with
// their next statement, and idle connections are closed.
func (b *Broker) Close() { b.close(0) }

// HandOver stops the broker like Close, but lets transactions continue for handOverGrace.
func (b *Broker) HandOver() { b.close(handOverGrace) }

func (b *Broker) close(grace time.Duration) {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	b.graceEnd = b.LeaseClock() + grace
	close(b.done)
	var refused []*execution
	for id, e := range b.executions {
		if e.server != nil && e.server.queue.Cancel(id) {
			refused = append(refused, e)
			delete(b.executions, id)
		}
	}
	refused = append(refused, b.waitingForPrimary...)
	b.waitingForPrimary = nil
	for _, s := range b.servers {
		close(s.stop)
		refused = append(refused, s.pool.waiting...)
		s.pool.waiting = nil
		closeAll(s.pool.drain(b.Clock()))
	}
	b.mu.Unlock()
	for _, e := range refused {
		e.reply(notOwnerResult(e))
	}
	if !b.ReplicasOnly {
		time.AfterFunc(grace, b.endTransactions)
	}
}

// endTransactions rolls back the transactions that an owner may no longer finish, so that they do not keep connections and
// locks at their servers until their callers go on.
func (b *Broker) endTransactions() {
	b.mu.Lock()
	keys := slices.Collect(maps.Keys(b.txs))
	b.mu.Unlock()
	for _, key := range keys {
		b.RollBackStream(key)
	}
}

// ActiveStreams returns the number of open transactions and of statements that are waiting or running.
func (b *Broker) ActiveStreams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.txs) + len(b.executions)
}

// OpenTransactions returns the transactions that are open.
func (b *Broker) OpenTransactions() []StreamKey {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.txs))
}

// RunningStatements returns the number of statements that are waiting or running.
func (b *Broker) RunningStatements() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.executions)
}

// Execute runs a statement and calls reply once, possibly before it returns.
func (b *Broker) Execute(key StreamKey, req Request, reply func(Result)) {
	now := b.Clock()
	e := &execution{key: key, req: req, reply: reply, arrived: now, deadline: now + req.Timeout, givenUp: req.GivenUp}
	b.mu.Lock()
	if t := b.txs[key]; t != nil {
		b.nextID++
		e.id = b.nextID
		b.executions[e.id] = e
		e.tx = t
		t.busy = true
		e.server = t.conn.server
		e.server.running++
		b.mu.Unlock()
		go b.run(e, t.conn)
		return
	}
	if !req.First && req.Begin == 0 {
		b.mu.Unlock()
		reply(RolledBackResult(req.Stream))
		return
	}
	if b.closed || !b.Lease.Valid(b.Service) {
		b.mu.Unlock()
		reply(Result{Stream: req.Stream, NotOwner: true})
		return
	}
	declined := ""
	if b.ReplicasOnly {
		declined = b.declines(now, e)
	}
	b.mu.Unlock()
	if declined != "" {
		b.Log.Debug("read left to the owner", "id", req.Statement.ID, "service", b.Service, "reason", declined)
		reply(Result{Stream: req.Stream, NotOwner: true, Admitted: req.Admitted, GivenUp: req.GivenUp})
		return
	}
	if !req.First || req.Admitted {
		e.admitted = req.Admitted
		b.admit(e)
		return
	}
	b.RateLimiter.Admit(req.Workspace, func(ok bool) {
		if ok {
			e.admitted = true
			b.admit(e)
			return
		}
		b.Metrics.RateLimited.Inc(1)
		b.Log.Info("refused", "id", req.Statement.ID, "service", b.Service, "workspace", req.Workspace, "reason", "rate")
		reply(refusedResult(e, "rate of the workspace exceeded"))
	})
}

// admit routes a statement that passed the rate limit.
func (b *Broker) admit(e *execution) {
	now := b.Clock()
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		e.reply(notOwnerResult(e))
		return
	}
	b.nextID++
	e.id = b.nextID
	b.executions[e.id] = e
	start, replies := b.route(now, e)
	b.mu.Unlock()
	b.startAndReply(start, replies)
}

// refusedResult is the result of a statement that did not run.
func refusedResult(e *execution, reason string) Result {
	return Result{Stream: e.req.Stream, Response: statement.Refusal(statement.Overloaded, reason)}
}

// notOwnerResult is the result of a statement that did not run and that the owner of the service may serve.
func notOwnerResult(e *execution) Result {
	return Result{Stream: e.req.Stream, NotOwner: true, Admitted: e.admitted, GivenUp: e.givenUp}
}

// pendingReply is a result to be sent once the mutex is released.
type pendingReply struct {
	execution *execution
	result    Result
}

// dispatched is a statement that has been given a slot, and either a connection or the right to open one.
type dispatched struct {
	execution *execution
	conn      *conn
	evicted   *conn
}

// startAndReply starts the statements and sends the replies that were determined while the mutex was held.
func (b *Broker) startAndReply(start []dispatched, replies []pendingReply) {
	for _, p := range replies {
		p.execution.reply(p.result)
	}
	for _, s := range start {
		go b.runOn(s)
	}
}

// route chooses a server and queues the statement there. The mutex must be held.
func (b *Broker) route(now time.Duration, e *execution) ([]dispatched, []pendingReply) {
	choice, ok := b.choose(now, e, 0)
	if !ok {
		if b.primaryExpected() {
			b.waitingForPrimary = append(b.waitingForPrimary, e)
			return nil, nil
		}
		if b.durable.held {
			return nil, b.refuse(e, placement.NoSafeSuccessor)
		}
		if b.promotionUnknown {
			return nil, b.refuse(e, "the outcome of a promotion is unknown")
		}
		return nil, b.refuse(e, "no server can serve the statement")
	}
	if choice.ByReport {
		b.recordChoiceByReport(now, "another server")
	}
	e.choice = choice
	e.server = b.servers[choice.Server]
	if e.server.warmup != nil {
		// Choose skips servers without a token.
		_ = e.server.warmup.Allow()
	}
	replies := b.refuseAll(e.server.queue.Enqueue(now, admission.Statement{
		ID: e.id, Workspace: e.req.Workspace, Weight: b.weights[e.req.Workspace],
		Arrived: e.arrived, LatencyObjective: e.req.LatencyObjective, Timeout: e.req.Timeout,
	}))
	start, more := b.dispatch(now, e.server)
	return start, append(replies, more...)
}

// choose chooses a server that is expected to answer a statement within maxLatency; 0 means no limit. The mutex must be
// held.
func (b *Broker) choose(now time.Duration, e *execution, maxLatency time.Duration) (placement.Choice, bool) {
	return placement.Choose(now, b.candidates(now, e.req.Workspace), &b.history, placement.Requirements{
		Consistency: e.req.Consistency, MaxStaleness: e.req.MaxStaleness, MinPosition: e.req.MinPosition,
		Writes: e.needsPrimary(), LatencyObjective: e.req.LatencyObjective, MaxLatency: maxLatency,
	}, e.avoid, b.Random)
}

// saturated reports whether a server that is warming up has reached its rate limit.
func (s *server) saturated() bool { return s.warmup != nil && s.warmup.Tokens() < 1 }

// refuseAll refuses the statements that a queue has rejected. The mutex must be held.
func (b *Broker) refuseAll(list []admission.Refusal) []pendingReply {
	var replies []pendingReply
	for _, r := range list {
		if e := b.executions[r.ID]; e != nil {
			replies = append(replies, b.refuse(e, r.Reason)...)
		}
	}
	return replies
}

// primaryExpected reports whether the group is about to have another primary. The mutex must be held.
func (b *Broker) primaryExpected() bool {
	if b.ReplicasOnly {
		return false
	}
	if b.promotionUnknown || b.durable.held {
		return false
	}
	if b.changingPrimary || b.primary == "" {
		return true
	}
	now := b.Clock()
	s := b.servers[b.primary]
	return s != nil && (s.suspect || s.saturated()) || placement.NextAction(now, b.group(now)).Promote != ""
}

// recordResponse records that a server has responded. The mutex must be held.
func (b *Broker) recordResponse(now time.Duration, s *server) (start []dispatched, replies []pendingReply) {
	s.respondedAt = now
	if !s.suspect {
		return nil, nil
	}
	s.suspect = false
	if s.ID == b.primary && !b.changingPrimary {
		return b.resumeWaiting(now)
	}
	return nil, nil
}

// markSuspect marks a server whose connection has failed and reroutes the statements that wait for it. The mutex must
// be held.
func (b *Broker) markSuspect(s *server) {
	if !s.suspect {
		s.suspect = true
		b.reroute(s)
	}
}

// needsPrimary reports whether only the primary can serve the stream.
func (e *execution) needsPrimary() bool {
	switch {
	case e.req.Begin == statement.Begin:
		return true
	case e.req.Begin == statement.BeginReadOnly:
		return false
	}
	return e.req.Writes()
}

// candidates describes the servers available to a statement of a workspace. The mutex must be held.
func (b *Broker) candidates(now time.Duration, workspace string) []placement.Server {
	all := make([]placement.Server, 0, len(b.servers))
	for _, s := range b.servers {
		all = append(all, b.candidate(now, s, workspace))
	}
	return all
}

// candidate describes a server to a statement of a workspace. The mutex must be held.
func (b *Broker) candidate(now time.Duration, s *server, workspace string) placement.Server {
	var dialTime time.Duration
	if len(s.pool.idle[workspace]) == 0 {
		dialTime = b.dialTime
	}
	return placement.Server{
		ID: s.ID, Slots: s.slots, Usable: s.usable && !s.saturated(), Primary: s.ID == b.primary && !b.changingPrimary,
		Applied: s.status.Applied, Lag: s.status.Lag, Load: s.outstanding(), Service: s.queue.ServiceTime(),
		Others:   placement.OtherLoad(now, maps.Values(s.reports), s.othersBusy),
		LaggedAt: s.behindAt, Suspect: s.suspect, ConnectDelay: dialTime, Near: s.Domain == b.Domain,
		Far: b.Regions.Differ(s.Domain, b.Domain),
	}
}

// refuse refuses a statement that did not run. The mutex must be held.
func (b *Broker) refuse(e *execution, reason string) []pendingReply {
	delete(b.executions, e.id)
	if b.ReplicasOnly {
		b.Log.Debug("read left to the owner", "id", e.req.Statement.ID, "service", b.Service, "reason", reason)
		return []pendingReply{{e, notOwnerResult(e)}}
	}
	b.Metrics.Refused.Inc(1)
	b.Log.Info("refused", "id", e.req.Statement.ID, "service", b.Service, "workspace", e.req.Workspace,
		"reason", reason, "waited", b.Clock()-e.arrived)
	return []pendingReply{{e, refusedResult(e, reason)}}
}

// dispatch starts the queued statements for which the server has free slots. The mutex must be held.
func (b *Broker) dispatch(now time.Duration, s *server) (start []dispatched, replies []pendingReply) {
	for {
		id, ok, refused := s.queue.Next(now)
		replies = append(replies, b.refuseAll(refused)...)
		if !ok {
			return start, replies
		}
		e := b.executions[id]
		if e == nil {
			s.queue.Done(now, id)
			continue
		}
		e.holdsSlot = true
		s.running++
		c, evicted, ok := s.pool.acquire(now, e)
		if !ok && b.ReplicasOnly {
			closeEvicted(evicted)
			e.holdsSlot = false
			s.running--
			s.queue.Abandon(id)
			replies = append(replies, b.refuse(e, "no connection is free")...)
			continue
		}
		if !ok {
			closeEvicted(evicted)
			if !waitsForConn(now, e.deadline, len(s.pool.waiting), s.pool.open, s.queue.ServiceTime()) {
				e.holdsSlot = false
				s.running--
				s.queue.Abandon(id)
				replies = append(replies, b.refuse(e, "no connection becomes free in time")...)
				continue
			}
			s.pool.waiting = append(s.pool.waiting, e)
			b.wakeWaiting(now, s)
			continue
		}
		start = append(start, dispatched{e, c, evicted})
	}
}

// RollBackStream rolls back a stream, because the caller has left or has requested it.
func (b *Broker) RollBackStream(key StreamKey) {
	b.mu.Lock()
	t := b.txs[key]
	if t == nil {
		// The first statement may still be running.
		for _, e := range b.executions {
			e.abandoned = e.abandoned || e.key == key
		}
		b.mu.Unlock()
		return
	}
	delete(b.txs, key)
	if t.busy {
		t.abandoned = true
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	go b.rollBack(t.conn)
}

// RollBackLink rolls back all streams of a lost link to another VM.
func (b *Broker) RollBackLink(link uint64) {
	b.mu.Lock()
	var keys []StreamKey
	for key := range b.txs {
		if key.Link == link {
			keys = append(keys, key)
		}
	}
	for _, e := range b.executions {
		e.abandoned = e.abandoned || e.key.Link == link
	}
	b.mu.Unlock()
	for _, key := range keys {
		b.RollBackStream(key)
	}
}

// endIdleTxs rolls back transactions that have been idle longer than any caller may leave them.
func (b *Broker) endIdleTxs(now time.Duration) {
	b.mu.Lock()
	var keys []StreamKey
	for key, t := range b.txs {
		if b.txIdle > 0 && !t.busy && now-t.usedAt > b.txIdle+idleTxMargin {
			keys = append(keys, key)
		}
	}
	b.mu.Unlock()
	for _, key := range keys {
		b.Log.Warn("transaction rolled back", "service", b.Service, "reason", "idle for too long",
			"link", key.Link, "stream", key.Stream)
		b.RollBackStream(key)
	}
}

// HasTransaction reports whether a transaction is open.
func (b *Broker) HasTransaction(key StreamKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.txs[key] != nil
}

// RolledBackResult is the result of a statement whose transaction is no longer open.
func RolledBackResult(stream uint64) Result {
	return Result{Stream: stream, Response: statement.Refusal(statement.Aborted, "the transaction was rolled back")}
}
