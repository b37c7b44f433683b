package broker

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"siskinrouter/internal/admission"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/placement"
	"siskinrouter/internal/statement"
)

const (
	// restMargin is added to the time that a caller may rest, which its VM enforces.
	restMargin = time.Second
	// maxAttempts bounds how often a statement that did not run is placed.
	maxAttempts = 4
)

// Config holds what a broker needs.
type Config struct {
	Service     string
	Dialer      Dialer
	Lease       Lease
	RateLimiter RateLimiter
	Log         *log.Logger
	Metrics     *Metrics
	Clock       func() time.Duration // steady, since the start of the process
}

// Broker owns the connections to the servers of one service.
type Broker struct {
	Config
	mu      sync.Mutex
	since   time.Duration
	servers map[string]*server
	history placement.History
	opening time.Duration // running mean of the time that a server takes to open a connection
	// primary is the server that leads; empty while it is not known or being replaced.
	primary   string
	recorded  string
	changedAt time.Duration
	changing  bool
	// quietAt is when the last statement at the old primary ended during a planned change.
	quietAt time.Duration
	txs     map[StreamKey]*tx
	nextID  uint64
	works   map[uint64]*work
	// parked holds statements that need the primary while there is none.
	parked     []*work
	weights    map[string]int
	txIdle     time.Duration // how long a caller may rest in a transaction; 0 means without limit
	closed     bool
	closedAt   time.Duration
	done       chan struct{}
	background sync.WaitGroup
}

// server is one server of the group.
type server struct {
	directory.Server // as it was first listed; fields that change are kept below
	usable           bool
	warmup           *rate.Limiter // of a cold server, nil for a warm one
	slots            int
	queue            *admission.Queue
	pool             pool
	running          int // statements that bypass the queue included
	status           Status
	heard            bool
	reachable        bool
	heardAt          time.Duration
	polledAt         time.Duration // when the query was sent that brought status
	behindAt         time.Duration
	suspect          bool // a connection has failed and nothing was heard since
	stop             chan struct{}
}

// work is a statement that waits or runs.
type work struct {
	id       uint64
	key      StreamKey
	req      Request
	reply    func(Result)
	arrived  time.Duration
	deadline time.Duration
	attempts int
	avoid    string // server that has just failed for this statement
	server   *server
	choice   placement.Choice
	queued   bool // holds a slot of the server's queue
	gone     bool // nobody waits for the rest of the stream
	tx       *tx
}

// tx is an open transaction.
type tx struct {
	key    StreamKey
	conn   *conn
	busy   bool
	ended  bool // the caller left while a statement was running
	usedAt time.Duration
}

// New returns a broker that serves once its tenure is valid.
func New(c Config, recorded string) *Broker {
	b := &Broker{
		Config: c, since: c.Clock(), opening: firstOpening, servers: map[string]*server{}, txs: map[StreamKey]*tx{},
		works: map[uint64]*work{}, recorded: recorded, weights: map[string]int{}, done: make(chan struct{}),
	}
	b.background.Add(1)
	go b.watchOver()
	return b
}

// Close ends the tenure: statements that wait are refused, open transactions end with their next
// statement, and idle connections are closed.
func (b *Broker) Close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.closed = true
	b.closedAt = b.Clock()
	close(b.done)
	var refused []*work
	for id, w := range b.works {
		if w.server != nil && w.server.queue.Cancel(id) {
			refused = append(refused, w)
			delete(b.works, id)
		}
	}
	refused = append(refused, b.parked...)
	b.parked = nil
	for _, s := range b.servers {
		close(s.stop)
		refused = append(refused, s.pool.waiting...)
		s.pool.waiting = nil
		closeAll(s.pool.drain())
	}
	b.mu.Unlock()
	for _, w := range refused {
		w.reply(Result{Stream: w.req.Stream, NotOwner: true})
	}
}

// ActiveStreams returns the number of open transactions and of statements that wait or run.
func (b *Broker) ActiveStreams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.txs) + len(b.works)
}

// Execute runs a statement and calls reply once, possibly before it returns.
func (b *Broker) Execute(key StreamKey, req Request, reply func(Result)) {
	now := b.Clock()
	w := &work{key: key, req: req, reply: reply, arrived: now, deadline: now + req.Timeout}
	b.mu.Lock()
	if t := b.txs[key]; t != nil {
		b.nextID++
		w.id = b.nextID
		b.works[w.id] = w
		w.tx = t
		t.busy = true
		w.server = t.conn.server
		w.server.running++
		b.mu.Unlock()
		go b.run(w, t.conn)
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
	b.mu.Unlock()
	if !req.First {
		b.enter(w)
		return
	}
	b.RateLimiter.Admit(req.Workspace, func(ok bool) {
		if ok {
			b.enter(w)
			return
		}
		b.Metrics.RateLimited.Inc(1)
		b.Log.Info("refused", "id", req.Statement.ID, "service", b.Service, "workspace", req.Workspace, "reason", "rate")
		reply(refusal(w, "rate of the workspace exceeded"))
	})
}

// enter places a statement that was admitted.
func (b *Broker) enter(w *work) {
	now := b.Clock()
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		w.reply(Result{Stream: w.req.Stream, NotOwner: true})
		return
	}
	b.nextID++
	w.id = b.nextID
	b.works[w.id] = w
	start, replies := b.place(now, w)
	b.mu.Unlock()
	b.after(start, replies)
}

// refusal answers a statement that did not run.
func refusal(w *work, reason string) Result {
	return Result{Stream: w.req.Stream, Response: statement.Refusal(statement.Overloaded, reason)}
}

// answered pairs a result with the statement that it answers.
type answered struct {
	w *work
	r Result
}

// started is a statement that was given a slot and a connection, or the right to open one.
type started struct {
	w       *work
	c       *conn
	evicted *conn
}

// after carries out what was decided under the mutex.
func (b *Broker) after(start []started, replies []answered) {
	for _, a := range replies {
		a.w.reply(a.r)
	}
	for _, s := range start {
		go b.runOn(s)
	}
}

// place chooses a server and queues the statement there. The mutex is held.
func (b *Broker) place(now time.Duration, w *work) ([]started, []answered) {
	need := placement.Requirements{
		Consistency: w.req.Consistency, MaxStaleness: w.req.MaxStaleness, MinPosition: w.req.MinPosition, Writes: w.writes(),
	}
	choice, ok := placement.Choose(now, b.candidates(w.req.Workspace), &b.history, need, w.avoid)
	if !ok {
		if b.awaitsPrimary() {
			b.parked = append(b.parked, w)
			return nil, nil
		}
		return nil, b.refuse(w, "no server can serve the statement")
	}
	w.choice = choice
	w.server = b.servers[choice.Server]
	if w.server.warmup != nil {
		// Choose leaves servers without a token out.
		_ = w.server.warmup.Allow()
	}
	replies := b.refuseAll(w.server.queue.Enqueue(now, admission.Statement{
		ID: w.id, Workspace: w.req.Workspace, Weight: b.weights[w.req.Workspace],
		Arrived: w.arrived, LatencyObjective: w.req.LatencyObjective, Timeout: w.req.Timeout,
	}))
	start, more := b.dispatch(now, w.server)
	return start, append(replies, more...)
}

// saturated reports whether a cold server has had what it may get.
func (s *server) saturated() bool { return s.warmup != nil && s.warmup.Tokens() < 1 }

// refuseAll answers the statements that a queue has refused. The mutex is held.
func (b *Broker) refuseAll(list []admission.Refusal) []answered {
	var replies []answered
	for _, r := range list {
		if w := b.works[r.ID]; w != nil {
			replies = append(replies, b.refuse(w, r.Reason)...)
		}
	}
	return replies
}

// awaitsPrimary reports whether the group is about to have another primary. The mutex is held.
func (b *Broker) awaitsPrimary() bool {
	if b.changing || b.primary == "" {
		return true
	}
	now := b.Clock()
	s := b.servers[b.primary]
	return s != nil && (s.suspect || s.saturated()) || placement.NextAction(now, b.group(now)).Promote != ""
}

// heard records that a server has answered. The mutex is held.
func (b *Broker) heard(now time.Duration, s *server) (start []started, replies []answered) {
	s.heardAt = now
	if !s.suspect {
		return nil, nil
	}
	s.suspect = false
	if s.ID == b.primary && !b.changing {
		return b.unpark(now)
	}
	return nil, nil
}

// distrust places the statements anew that wait for a server whose connection has failed. The mutex is
// held.
func (b *Broker) distrust(s *server) {
	if !s.suspect {
		s.suspect = true
		b.move(s)
	}
}

// writes reports whether only the primary can serve the stream.
func (w *work) writes() bool {
	switch {
	case w.req.Begin == statement.Begin:
		return true
	case w.req.Begin == statement.BeginReadOnly:
		return false
	}
	return w.req.Writes()
}

// candidates describes the servers for a statement of a workspace. The mutex is held.
func (b *Broker) candidates(workspace string) []placement.Server {
	all := make([]placement.Server, 0, len(b.servers))
	for _, s := range b.servers {
		waiting, _ := s.queue.Len()
		var opening time.Duration
		if len(s.pool.idle[workspace]) == 0 {
			opening = b.opening
		}
		all = append(all, placement.Server{
			ID: s.ID, Slots: s.slots, Usable: s.usable && !s.saturated(), Primary: s.ID == b.primary && !b.changing,
			Applied: s.status.Applied, Lag: s.status.Lag, Load: s.running + waiting, Service: s.queue.ServiceTime(),
			LaggedAt: s.behindAt, Suspect: s.suspect, ConnectDelay: opening,
		})
	}
	return all
}

// refuse answers a statement that did not run. The mutex is held.
func (b *Broker) refuse(w *work, reason string) []answered {
	delete(b.works, w.id)
	b.Metrics.Refused.Inc(1)
	b.Log.Info("refused", "id", w.req.Statement.ID, "service", b.Service, "workspace", w.req.Workspace,
		"reason", reason, "waited", b.Clock()-w.arrived)
	return []answered{{w, refusal(w, reason)}}
}

// dispatch starts the statements that are entitled to the free slots of a server. The mutex is held.
func (b *Broker) dispatch(now time.Duration, s *server) (start []started, replies []answered) {
	for {
		id, ok, refused := s.queue.Next(now)
		replies = append(replies, b.refuseAll(refused)...)
		if !ok {
			return start, replies
		}
		w := b.works[id]
		if w == nil {
			s.queue.Done(now, id)
			continue
		}
		w.queued = true
		s.running++
		c, evicted, ok := s.pool.take(now, w)
		if !ok {
			s.pool.waiting = append(s.pool.waiting, w)
			continue
		}
		start = append(start, started{w, c, evicted})
	}
}

// RollBackStream rolls a stream back, because the caller has left or has asked for it.
func (b *Broker) RollBackStream(key StreamKey) {
	b.mu.Lock()
	t := b.txs[key]
	if t == nil {
		// The first statement may still run.
		for _, w := range b.works {
			w.gone = w.gone || w.key == key
		}
		b.mu.Unlock()
		return
	}
	delete(b.txs, key)
	if t.busy {
		t.ended = true
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	go b.rollBack(t.conn)
}

// RollBackLink rolls back all streams of a connection between VMs that was lost.
func (b *Broker) RollBackLink(link uint64) {
	b.mu.Lock()
	var keys []StreamKey
	for key := range b.txs {
		if key.Link == link {
			keys = append(keys, key)
		}
	}
	for _, w := range b.works {
		w.gone = w.gone || w.key.Link == link
	}
	b.mu.Unlock()
	for _, key := range keys {
		b.RollBackStream(key)
	}
}

// endResting rolls back the transactions that nobody has used for longer than any caller may rest.
func (b *Broker) endResting(now time.Duration) {
	b.mu.Lock()
	var keys []StreamKey
	for key, t := range b.txs {
		if b.txIdle > 0 && !t.busy && now-t.usedAt > b.txIdle+restMargin {
			keys = append(keys, key)
		}
	}
	b.mu.Unlock()
	for _, key := range keys {
		b.Log.Warn("transaction ended", "service", b.Service, "reason", "nobody used it", "link", key.Link, "stream", key.Stream)
		b.RollBackStream(key)
	}
}

// HasTransaction reports whether a transaction is open.
func (b *Broker) HasTransaction(key StreamKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.txs[key] != nil
}

// RolledBackResult is the answer to a statement of a transaction that is no longer open.
func RolledBackResult(stream uint64) Result {
	return Result{Stream: stream, Response: statement.Refusal(statement.Aborted, "the transaction was rolled back")}
}
