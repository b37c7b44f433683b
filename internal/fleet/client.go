package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"siskinrouter/internal/fleet/fleetpb"
	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/verdict"
)

const (
	// CallTimeout is the deadline of a call whose context has no earlier one.
	CallTimeout = time.Second
	// maxCallsPerClient limits the calls in flight to one peer.
	maxCallsPerClient = 16
	// maxClients limits the pool. A VM changes its peers over time, so the least recently used
	// clients are evicted.
	maxClients = 64
	// pingInterval and pingTimeout end a connection whose peer stopped without closing it.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second
	// clientIdleTimeout exceeds the usual time between two calls to one of the 16 peers of a VM. It is
	// below the server's limit, so that no call meets a connection that the server is closing.
	clientIdleTimeout = 60 * time.Second
)

// Errors of calls. Each is checked with errors.Is.
var (
	// ErrKeyRefused means that the fleet keys of the two VMs differ.
	ErrKeyRefused = errors.New("the fleet key was refused")
	// ErrTooManyCalls means that the limit on concurrent calls was reached.
	ErrTooManyCalls = errors.New("too many calls between VMs at the same time")
	// ErrTooLarge means that a message exceeds the size limit.
	ErrTooLarge = errors.New("message between VMs is too large")
	// ErrResponseMismatch means that a response belongs to another request and was dropped.
	ErrResponseMismatch = errors.New("the answer belongs to another request")
)

// ClientPool holds one client per peer. It is safe for concurrent use.
type ClientPool struct {
	opts             Options
	requestID        atomic.Uint64
	droppedResponses atomic.Int64

	mu       sync.Mutex
	useCount uint64
	clients  map[string]*Client // by address
}

// NewClientPool returns an empty pool of clients.
func NewClientPool(opts Options) (*ClientPool, error) {
	if len(opts.Key) == 0 {
		return nil, ErrNoKey
	}
	return &ClientPool{opts: opts, clients: make(map[string]*Client)}, nil
}

// DroppedResponses returns the number of responses that were dropped because they belonged to
// another request or arrived after the deadline.
func (p *ClientPool) DroppedResponses() int64 { return p.droppedResponses.Load() }

// Client returns the client for an address (host:port).
func (p *ClientPool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.useCount++
	client := p.clients[address]
	if client == nil {
		p.evictLeastRecentlyUsed()
		client = newClient(address, p)
		p.clients[address] = client
	}
	client.lastUsed = p.useCount
	return client
}

// evictLeastRecentlyUsed evicts the least recently used client when the pool is full. Its running
// calls end normally.
func (p *ClientPool) evictLeastRecentlyUsed() {
	if len(p.clients) < maxClients {
		return
	}
	var leastRecent *Client
	for _, client := range p.clients {
		if leastRecent == nil || client.lastUsed < leastRecent.lastUsed {
			leastRecent = client
		}
	}
	delete(p.clients, leastRecent.address)
	leastRecent.transport.CloseIdleConnections()
}

// Close closes the idle connections of all clients.
func (p *ClientPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		client.transport.CloseIdleConnections()
	}
	clear(p.clients)
}

// Client calls the fleet service of one VM. It is safe for concurrent use. Calls return
// *verdict.Error.
type Client struct {
	address   string
	pool      *ClientPool
	transport *http.Transport
	rpc       fleetpb.FleetClient
	calls     chan struct{}
	lastUsed  uint64 // ClientPool.useCount at the latest use; guarded by ClientPool.mu
}

func newClient(address string, pool *ClientPool) *Client {
	dial := pool.opts.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: CallTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		TLSHandshakeTimeout: CallTimeout,
		IdleConnTimeout:     clientIdleTimeout,
		MaxConnsPerHost:     1,
		Protocols:           new(http.Protocols),
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	scheme := "http://"
	if pool.opts.TLS != nil {
		scheme = "https://"
		transport.TLSClientConfig = pool.opts.TLS.Clone()
		transport.Protocols.SetHTTP2(true)
	} else {
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	rpc := fleetpb.NewFleetClient(
		&http.Client{Transport: transport},
		scheme+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithInterceptors(keyInterceptor(string(pool.opts.Key))),
	)
	return &Client{
		address:   address,
		pool:      pool,
		transport: transport,
		rpc:       rpc,
		calls:     make(chan struct{}, maxCallsPerClient),
	}
}

func keyInterceptor(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set(keyHeader, key)
			return next(ctx, req)
		}
	}
}

// response is implemented by all response messages.
type response interface{ GetRequestId() uint64 }

// call makes one call within the limits on concurrency and time. The response is returned only if
// it carries the request's id and arrived before the deadline.
func call[Q any, A any, PA interface {
	*A
	response
}](ctx context.Context, c *Client, name string, id uint64, v verdict.Verdict, req *Q,
	do func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	select {
	case c.calls <- struct{}{}:
		defer func() { <-c.calls }()
	default:
		return nil, c.callError(verdict.NotRun, name, ErrTooManyCalls)
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	res, err := do(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, c.callError(v, name, fromConnectError(err))
	}
	if got := PA(res.Msg).GetRequestId(); got != id {
		c.pool.droppedResponses.Add(1)
		return nil, c.callError(v, name, fmt.Errorf("%w: got id %d, want %d", ErrResponseMismatch, got, id))
	}
	if err := ctx.Err(); err != nil {
		c.pool.droppedResponses.Add(1)
		return nil, c.callError(v, name, err)
	}
	return res.Msg, nil
}

func (c *Client) callError(v verdict.Verdict, name string, err error) error {
	state := verdict.StateCannotConnectNow
	if errors.Is(err, ErrKeyRefused) {
		state = verdict.StateInvalidAuth
	}
	return verdict.Errorf(v, state, "%s call to VM at %s: %w", name, c.address, err)
}

// fromConnectError restores the errors that the calling VM handles; see toConnectError.
func fromConnectError(err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated:
		return ErrKeyRefused
	case connect.CodeFailedPrecondition:
		return machine.ErrOldIncarnation
	case connect.CodeNotFound:
		return machine.ErrGone
	case connect.CodeAborted:
		return ErrTooManyCalls
	case connect.CodeResourceExhausted:
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	default:
		return err
	}
}

func (c *Client) nextID() uint64 { return c.pool.requestID.Add(1) }

// Sync sends a heartbeat and returns the peer's response.
func (c *Client) Sync(ctx context.Context, hello machine.Hello) (SyncResult, error) {
	id := c.nextID()
	req := &fleetpb.SyncRequest{RequestId: id, Hello: helloToPB(hello)}
	res, err := call(ctx, c, "Sync", id, verdict.NotRun, req, c.rpc.Sync)
	if err != nil {
		return SyncResult{}, err
	}
	return SyncResult{
		Hello:   helloFromPB(res.GetHello()),
		Objects: convertAll(res.GetObjects(), objectFromPB),
		More:    res.GetMore(),
	}, nil
}

// Push sends objects and announces others. It returns the announced objects that the peer lacks.
func (c *Client) Push(ctx context.Context, objects []platform.Object, announced []machine.Version) ([]string, error) {
	id := c.nextID()
	req := &fleetpb.PushRequest{
		RequestId: id,
		Objects:   convertAll(objects, objectToPB),
		Announced: convertAll(announced, versionToPB),
	}
	res, err := call(ctx, c, "Push", id, verdict.NotRun, req, c.rpc.Push)
	if err != nil {
		return nil, err
	}
	return res.GetWanted(), nil
}

// PushObjects sends objects to the peer: small ones at once, large ones only if the peer lacks
// them.
func (c *Client) PushObjects(ctx context.Context, objects []platform.Object) error {
	for len(objects) > 0 {
		n := countWithin(objects, MaxSyncBytes)
		if err := c.pushBatch(ctx, objects[:n]); err != nil {
			return err
		}
		objects = objects[n:]
	}
	return nil
}

func (c *Client) pushBatch(ctx context.Context, objects []platform.Object) error {
	inline, announced := splitBySize(objects)
	wanted, err := c.Push(ctx, inline, announced)
	if err != nil || len(wanted) == 0 {
		return err
	}
	isWanted := make(map[string]bool, len(wanted))
	for _, name := range wanted {
		isWanted[name] = true
	}
	var large []platform.Object
	for _, o := range objects {
		if isWanted[o.Name] {
			large = append(large, o)
		}
	}
	_, err = c.Push(ctx, large, nil)
	return err
}

// splitBySize separates the objects that a push carries from the larger ones that it announces.
func splitBySize(objects []platform.Object) (inline []platform.Object, announced []machine.Version) {
	for _, o := range objects {
		if len(o.Value) <= machine.InlineLimit {
			inline = append(inline, o)
		} else {
			announced = append(announced, machine.Version{Name: o.Name, Version: o.Version})
		}
	}
	return inline, announced
}

// countWithin returns the number of leading objects whose values fit into limit, at least one.
func countWithin(objects []platform.Object, limit int) int {
	size := 0
	for i, o := range objects {
		size += objectSize(o)
		if size > limit && i > 0 {
			return i
		}
	}
	return len(objects)
}

func objectSize(o platform.Object) int {
	const overhead = 32 // tags, lengths and version
	return len(o.Name) + len(o.Value) + overhead
}

// LimitSyncObjects returns the leading objects that fit into one Sync response, and whether objects
// were omitted.
func LimitSyncObjects(objects []platform.Object) (fit []platform.Object, more bool) {
	n := countWithin(objects, MaxSyncBytes)
	return objects[:n], n < len(objects)
}

// Borrow requests loans from the peer. The lifetime of a loan counts from before this call.
func (c *Client) Borrow(ctx context.Context, req grant.BorrowRequest) (grant.BorrowReply, error) {
	id := c.nextID()
	msg := borrowRequestToPB(req)
	msg.RequestId = id
	res, err := call(ctx, c, "Borrow", id, verdict.NotRun, msg, c.rpc.Borrow)
	if err != nil {
		return grant.BorrowReply{}, err
	}
	return borrowReplyFromPB(res), nil
}

// Cancel requests that the peer cancel the statement on a caller connection.
func (c *Client) Cancel(ctx context.Context, link uint64, secret []byte) error {
	id := c.nextID()
	req := &fleetpb.CancelRequest{RequestId: id, Link: link, Secret: secret}
	_, err := call(ctx, c, "Cancel", id, verdict.MayHaveRun, req, c.rpc.Cancel)
	return err
}

// Explain returns what the peer knows about a request.
func (c *Client) Explain(ctx context.Context, requestID string) ([]string, error) {
	id := c.nextID()
	req := &fleetpb.ExplainRequest{RequestId: id, Id: requestID}
	res, err := call(ctx, c, "Explain", id, verdict.NotRun, req, c.rpc.Explain)
	if err != nil {
		return nil, err
	}
	return res.GetLines(), nil
}

// Status returns the peer's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	id := c.nextID()
	res, err := call(ctx, c, "Status", id, verdict.NotRun, &fleetpb.StatusRequest{RequestId: id}, c.rpc.Status)
	if err != nil {
		return Status{}, err
	}
	return statusFromPB(res), nil
}
