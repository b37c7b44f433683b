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
	// maxCallsPerPeer bounds the calls to one peer that wait for an answer.
	maxCallsPerPeer = 16
	// maxPeers bounds the clients kept. A VM changes its peers over time, so that clients of earlier
	// peers are dropped, least recently used first.
	maxPeers = 64
	// pingAfter and pingTimeout end a connection whose peer stopped without closing it.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	// clientIdleTimeout exceeds the usual time between two calls to one of the 16 peers of a VM. It is
	// below the server's limit, so that no call meets a connection that the server is closing.
	clientIdleTimeout = 60 * time.Second
)

// Errors of calls. Each is checked with errors.Is.
var (
	// ErrKeyRefused means that the fleet keys of the two VMs differ.
	ErrKeyRefused = errors.New("the fleet key was refused")
	// ErrTooManyCalls means that a limit on concurrent calls was reached.
	ErrTooManyCalls = errors.New("too many calls between VMs at the same time")
	// ErrTooLarge means that a message exceeds the size bound.
	ErrTooLarge = errors.New("message between VMs is too large")
	// ErrResponseMismatch means that an answer belongs to another request and was dropped.
	ErrResponseMismatch = errors.New("the answer belongs to another request")
)

// ClientPool holds one client per peer. It is safe for concurrent use.
type ClientPool struct {
	opts      Options
	requestID atomic.Uint64
	dropped   atomic.Int64

	mu    sync.Mutex
	turn  uint64
	peers map[string]*Client // by address
}

// NewClientPool returns an empty set of clients.
func NewClientPool(opts Options) (*ClientPool, error) {
	if len(opts.Key) == 0 {
		return nil, ErrNoKey
	}
	return &ClientPool{opts: opts, peers: make(map[string]*Client)}, nil
}

// DroppedResponses returns the number of answers that were dropped because they belonged to another request.
func (p *ClientPool) DroppedResponses() int64 { return p.dropped.Load() }

// Client returns the client of an address (host:port).
func (p *ClientPool) Client(address string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	peer := p.peers[address]
	if peer == nil {
		p.makeRoom()
		peer = newPeer(address, p)
		p.peers[address] = peer
	}
	peer.used = p.turn
	return peer
}

// makeRoom drops the least recently used client when there are too many. Its running calls end
// normally.
func (p *ClientPool) makeRoom() {
	if len(p.peers) < maxPeers {
		return
	}
	var oldest *Client
	for _, peer := range p.peers {
		if oldest == nil || peer.used < oldest.used {
			oldest = peer
		}
	}
	delete(p.peers, oldest.address)
	oldest.transport.CloseIdleConnections()
}

// Close closes the idle connections of all clients.
func (p *ClientPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		peer.transport.CloseIdleConnections()
	}
	clear(p.peers)
}

// Client is the client of one VM. It is safe for concurrent use. Calls return *verdict.Error.
type Client struct {
	address   string
	peers     *ClientPool
	transport *http.Transport
	client    fleetpb.FleetClient
	places    chan struct{}
	used      uint64 // guarded by Peers.mu
}

func newPeer(address string, peers *ClientPool) *Client {
	dial := peers.opts.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: CallTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         dial,
		TLSHandshakeTimeout: CallTimeout,
		IdleConnTimeout:     clientIdleTimeout,
		MaxConnsPerHost:     1,
		Protocols:           new(http.Protocols),
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	scheme := "http://"
	if peers.opts.TLS != nil {
		scheme = "https://"
		transport.TLSClientConfig = peers.opts.TLS.Clone()
		transport.Protocols.SetHTTP2(true)
	} else {
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	client := fleetpb.NewFleetClient(
		&http.Client{Transport: transport},
		scheme+address,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithInterceptors(keyInterceptor(string(peers.opts.Key))),
	)
	return &Client{
		address:   address,
		peers:     peers,
		transport: transport,
		client:    client,
		places:    make(chan struct{}, maxCallsPerPeer),
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

// answer is implemented by all response messages.
type answer interface{ GetRequestId() uint64 }

// call makes one call within its bounds. The answer is returned only if it carries the request's id
// and arrived before the deadline.
func call[Q any, A any, PA interface {
	*A
	answer
}](ctx context.Context, p *Client, name string, id uint64, v verdict.Verdict, req *Q,
	do func(context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	select {
	case p.places <- struct{}{}:
		defer func() { <-p.places }()
	default:
		return nil, p.fail(verdict.NotRun, name, ErrTooManyCalls)
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	res, err := do(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, p.fail(v, name, errorOf(err))
	}
	if got := PA(res.Msg).GetRequestId(); got != id {
		p.peers.dropped.Add(1)
		return nil, p.fail(v, name, fmt.Errorf("%w: got id %d, want %d", ErrResponseMismatch, got, id))
	}
	if err := ctx.Err(); err != nil {
		p.peers.dropped.Add(1)
		return nil, p.fail(v, name, err)
	}
	return res.Msg, nil
}

func (p *Client) fail(v verdict.Verdict, name string, err error) error {
	state := verdict.StateCannotConnectNow
	if errors.Is(err, ErrKeyRefused) {
		state = verdict.StateInvalidAuth
	}
	return verdict.Errorf(v, state, "%s call to VM at %s: %w", name, p.address, err)
}

// errorOf restores the errors that a calling VM acts on.
func errorOf(err error) error {
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

func (p *Client) nextID() uint64 { return p.peers.requestID.Add(1) }

// Sync sends a heartbeat and returns the peer's answer.
func (p *Client) Sync(ctx context.Context, hello machine.Hello) (SyncResult, error) {
	id := p.nextID()
	req := &fleetpb.SyncRequest{RequestId: id, Hello: helloToPB(hello)}
	res, err := call(ctx, p, "Sync", id, verdict.NotRun, req, p.client.Sync)
	if err != nil {
		return SyncResult{}, err
	}
	return SyncResult{
		Hello:   helloFromPB(res.GetHello()),
		Objects: mapped(res.GetObjects(), objectFromPB),
		More:    res.GetMore(),
	}, nil
}

// Push sends objects and announces others. It returns the announced objects that the peer lacks.
func (p *Client) Push(ctx context.Context, objects []platform.Object, announced []machine.Version) ([]string, error) {
	id := p.nextID()
	req := &fleetpb.PushRequest{
		RequestId: id,
		Objects:   mapped(objects, objectToPB),
		Announced: mapped(announced, versionToPB),
	}
	res, err := call(ctx, p, "Push", id, verdict.NotRun, req, p.client.Push)
	if err != nil {
		return nil, err
	}
	return res.GetWanted(), nil
}

// PushObjects brings objects to the peer: small ones at once, large ones only if the peer lacks them.
func (p *Client) PushObjects(ctx context.Context, objects []platform.Object) error {
	for len(objects) > 0 {
		n := prefixWithin(objects, MaxSyncBytes)
		if err := p.deliver(ctx, objects[:n]); err != nil {
			return err
		}
		objects = objects[n:]
	}
	return nil
}

func (p *Client) deliver(ctx context.Context, objects []platform.Object) error {
	inline, announced := splitPush(objects)
	wanted, err := p.Push(ctx, inline, announced)
	if err != nil || len(wanted) == 0 {
		return err
	}
	asked := make(map[string]bool, len(wanted))
	for _, name := range wanted {
		asked[name] = true
	}
	var large []platform.Object
	for _, o := range objects {
		if asked[o.Name] {
			large = append(large, o)
		}
	}
	_, err = p.Push(ctx, large, nil)
	return err
}

// splitPush separates the objects that a push carries from those that it announces.
func splitPush(objects []platform.Object) (inline []platform.Object, announced []machine.Version) {
	for _, o := range objects {
		if len(o.Value) <= machine.InlineLimit {
			inline = append(inline, o)
		} else {
			announced = append(announced, machine.Version{Name: o.Name, Version: o.Version})
		}
	}
	return inline, announced
}

// prefixWithin returns the number of leading objects whose values fit into limit, at least one.
func prefixWithin(objects []platform.Object, limit int) int {
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

// LimitSyncObjects returns the leading objects that fit into one Sync answer, and whether objects were
// left out.
func LimitSyncObjects(objects []platform.Object) (fit []platform.Object, more bool) {
	n := prefixWithin(objects, MaxSyncBytes)
	return objects[:n], n < len(objects)
}

// Borrow asks the peer for loans. The lifetime of a loan counts from before this call.
func (p *Client) Borrow(ctx context.Context, req grant.BorrowRequest) (grant.BorrowReply, error) {
	id := p.nextID()
	msg := borrowToPB(req)
	msg.RequestId = id
	res, err := call(ctx, p, "Borrow", id, verdict.NotRun, msg, p.client.Borrow)
	if err != nil {
		return grant.BorrowReply{}, err
	}
	return borrowedFromPB(res), nil
}

// Cancel asks the peer to cancel the statement on a caller connection.
func (p *Client) Cancel(ctx context.Context, link uint64, secret []byte) error {
	id := p.nextID()
	req := &fleetpb.CancelRequest{RequestId: id, Link: link, Secret: secret}
	_, err := call(ctx, p, "Cancel", id, verdict.MayHaveRun, req, p.client.Cancel)
	return err
}

// Explain asks the peer what it knows about a request.
func (p *Client) Explain(ctx context.Context, requestID string) ([]string, error) {
	id := p.nextID()
	req := &fleetpb.ExplainRequest{RequestId: id, Id: requestID}
	res, err := call(ctx, p, "Explain", id, verdict.NotRun, req, p.client.Explain)
	if err != nil {
		return nil, err
	}
	return res.GetLines(), nil
}

// Status asks for the peer's view of the fleet.
func (p *Client) Status(ctx context.Context) (Status, error) {
	id := p.nextID()
	res, err := call(ctx, p, "Status", id, verdict.NotRun, &fleetpb.StatusRequest{RequestId: id}, p.client.Status)
	if err != nil {
		return Status{}, err
	}
	return statusFromPB(res), nil
}
