package fleet

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrouter/internal/fleet/fleetpb"
	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/verdict"
)

// recordingHandler is a Handler that returns fixed values and records its arguments.
type recordingHandler struct {
	hello      machine.Hello
	syncResult SyncResult
	syncErr    error
	pushed     []platform.Object
	wanted     []string
	borrow     grant.BorrowRequest
	loans      grant.BorrowReply
	link       uint64
	secret     []byte
	status     Status
	calls      int
	block      chan struct{} // if set, Explain blocks until it is closed
	started    chan struct{}
	remaining  time.Duration // time until the deadline of the Explain call
}

func (r *recordingHandler) Sync(_ context.Context, h machine.Hello) (SyncResult, error) {
	r.calls++
	r.hello = h
	return r.syncResult, r.syncErr
}

func (r *recordingHandler) Push(_ context.Context, objects []platform.Object, announced []machine.Version) ([]string, error) {
	r.pushed = append(r.pushed, objects...)
	var wanted []string
	for _, a := range announced {
		for _, w := range r.wanted {
			if a.Name == w {
				wanted = append(wanted, w)
			}
		}
	}
	return wanted, nil
}

func (r *recordingHandler) Borrow(_ context.Context, req grant.BorrowRequest) (grant.BorrowReply, error) {
	r.borrow = req
	return r.loans, nil
}

func (r *recordingHandler) Cancel(_ context.Context, link uint64, secret []byte) error {
	r.link, r.secret = link, secret
	return nil
}

func (r *recordingHandler) Explain(ctx context.Context, id string) ([]string, error) {
	if r.block != nil {
		deadline, _ := ctx.Deadline()
		r.remaining = time.Until(deadline)
		r.started <- struct{}{}
		<-r.block
	}
	return []string{"explained " + id}, nil
}

func (r *recordingHandler) Status(context.Context) (Status, error) { return r.status, nil }

// serve starts a server and returns a client for it.
func serve(t *testing.T, h Handler, serverOptions, clientOptions Options) *Client {
	t.Helper()
	s, err := NewServer(h, serverOptions)
	if err != nil {
		t.Fatal(err)
	}
	return serveHTTP(t, s, clientOptions)
}

func serveHTTP(t *testing.T, s *http.Server, clientOptions Options) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- Serve(s, listener) }()
	pool, err := NewClientPool(clientOptions)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		pool.Close()
		_ = s.Close()
		if err := <-done; err != nil {
			t.Errorf("server: %v", err)
		}
	})
	return pool.Client(listener.Addr().String())
}

var testOptions = Options{Key: []byte("fleet key")}

// Guards against fields that are lost or changed between the plain types and the protocol messages.
func TestCallsCarryAllFields(t *testing.T) {
	is := is.New(t)
	vm := machine.VM{Name: "a", Incarnation: "7", Domain: "bne", Address: "127.0.0.1:1", State: machine.Leaving}
	other := machine.VM{Name: "b", Incarnation: "3", Domain: "tsv", Address: "127.0.0.1:2", State: machine.Suspected}
	hello := machine.Hello{
		VM: vm, Sequence: 9, Digests: []uint64{1, 1 << 63}, Versions: []machine.Version{{Name: "keys", Version: 4}},
		Buckets: []uint32{0, 5}, Wanted: []string{"contract"},
		Reports: []machine.Report{{Server: "s1", Group: "g", Suspected: true, Reason: "no answer", Term: 8}},
		Members: []machine.VM{other}, MembersWanted: 3, Fresh: true, FreshAge: 1500 * time.Millisecond,
	}
	object := platform.Object{Name: "keys", Version: 5, Value: []byte{0, 1, 2}}
	h := &recordingHandler{
		syncResult: SyncResult{Hello: hello, Objects: []platform.Object{object}, More: true},
		loans: grant.BorrowReply{From: grant.RunID{Name: "b", Incarnation: 3}, To: grant.RunID{Name: "a", Incarnation: 7},
			Grants: []grant.Grant{{Workspace: "w", Seq: 4, Loan: 5, Amount: 77, Tokens: -5, SpareShare: 8}}},
		status: Status{
			VM: vm, Versions: hello.Versions, Members: []machine.VM{other},
			Groups: []GroupStatus{{
				Name: "g", Primary: "s1", Term: 8, Healthy: true, Detail: "d",
				Servers: []ServerStatus{{Name: "s1", Role: "primary", Healthy: true, Detail: "x"}},
			}},
			Domains:  []DomainStatus{{Name: "bne", State: "out", Detail: "withdrawn"}},
			Counters: map[string]int64{"proxy.refused": 12},
		},
	}
	client := serve(t, h, testOptions, testOptions)
	ctx := context.Background()

	result, err := client.Sync(ctx, hello)
	is.NoErr(err)
	is.Equal(h.hello, hello)
	is.Equal(result, h.syncResult)

	is.NoErr(client.PushObjects(ctx, []platform.Object{object}))
	is.Equal(h.pushed, []platform.Object{object})

	want := grant.BorrowRequest{From: grant.RunID{Name: "a", Incarnation: 7}, To: grant.RunID{Name: "b", Incarnation: 3},
		LoanRequests: []grant.LoanRequest{{Workspace: "w", Seq: 4, Loan: 5, RetainedShare: 6, ReturnedTokens: 7, RequestedShare: 8, OtherShare: 9, DemandShare: 10, TokensLow: true}},
		Recalls:      []string{"w"}}
	loans, err := client.Borrow(ctx, want)
	is.NoErr(err)
	is.Equal(h.borrow, want)
	is.Equal(loans, h.loans)

	is.NoErr(client.Cancel(ctx, 42, []byte{9, 8}))
	is.Equal(h.link, uint64(42))
	is.Equal(h.secret, []byte{9, 8})

	lines, err := client.Explain(ctx, "r1")
	is.NoErr(err)
	is.Equal(lines, []string{"explained r1"})

	status, err := client.Status(ctx)
	is.NoErr(err)
	is.Equal(status, h.status)
}

// Guards against access to state by a VM of another fleet or by any other client.
func TestWrongKeyIsRefused(t *testing.T) {
	for _, key := range []string{"fleet kez", "fleet key2", "f"} {
		is := is.New(t)
		h := &recordingHandler{}
		client := serve(t, h, testOptions, Options{Key: []byte(key)})
		_, err := client.Sync(context.Background(), machine.Hello{})
		is.True(errors.Is(err, ErrKeyRefused))
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.Equal(h.calls, 0)
	}
}

// Guards against an empty fleet key, which every client could present.
func TestEmptyKeyIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := NewServer(&recordingHandler{}, Options{})
	is.True(errors.Is(err, ErrNoKey))
	_, err = NewClientPool(Options{})
	is.True(errors.Is(err, ErrNoKey))
}

// Guards against reading a large body for a client without the fleet key.
func TestKeyIsCheckedBeforeTheBody(t *testing.T) {
	is := is.New(t)
	body := &countingReader{}
	r, err := http.NewRequest(http.MethodPost, fleetpb.FleetSyncProcedure, body)
	is.NoErr(err)
	r.Header.Set("Content-Type", "application/proto")
	w := &discardResponseWriter{header: http.Header{}}
	newHTTPHandler(&recordingHandler{}, testOptions.Key).ServeHTTP(w, r)
	is.Equal(w.code, http.StatusUnauthorized)
	is.Equal(body.n, 0)
}

type countingReader struct{ n int }

func (c *countingReader) Read(p []byte) (int, error) { c.n += len(p); return len(p), nil }

type discardResponseWriter struct {
	header http.Header
	code   int
}

func (d *discardResponseWriter) Header() http.Header         { return d.header }
func (d *discardResponseWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardResponseWriter) WriteHeader(code int)        { d.code = code }

// Guards against an old incarnation that does not learn that it was replaced.
func TestRefusedIncarnationIsReported(t *testing.T) {
	is := is.New(t)
	h := &recordingHandler{syncErr: machine.ErrOldIncarnation}
	client := serve(t, h, testOptions, testOptions)
	_, err := client.Sync(context.Background(), machine.Hello{})
	is.True(errors.Is(err, machine.ErrOldIncarnation))
	h.syncErr = machine.ErrGone
	_, err = client.Sync(context.Background(), machine.Hello{})
	is.True(errors.Is(err, machine.ErrGone))
}

// Guards against a call that accepts the response to another request.
func TestMismatchedAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	mux.HandleFunc(fleetpb.FleetExplainProcedure, func(w http.ResponseWriter, r *http.Request) {
		var req fleetpb.ExplainRequest
		body, _ := io.ReadAll(r.Body)
		_ = proto.Unmarshal(body, &req)
		response, _ := proto.Marshal(&fleetpb.ExplainResponse{RequestId: req.RequestId + 1, Lines: []string{"other"}})
		w.Header().Set("Content-Type", "application/proto")
		_, _ = w.Write(response)
	})
	server, err := NewServer(&recordingHandler{}, testOptions)
	is.NoErr(err)
	server.Handler = mux
	client := serveHTTP(t, server, testOptions)
	lines, err := client.Explain(context.Background(), "r1")
	is.True(errors.Is(err, ErrResponseMismatch))
	is.Equal(len(lines), 0)
	is.Equal(client.pool.DroppedResponses(), int64(1))
}

// Guards against a call that waits beyond its deadline, and against a server that works for a
// caller that no longer waits.
func TestLateAnswerIsDropped(t *testing.T) {
	is := is.New(t)
	h := &recordingHandler{block: make(chan struct{}), started: make(chan struct{}, 1)}
	client := serve(t, h, testOptions, testOptions)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	begin := time.Now()
	lines, err := client.Explain(ctx, "late")
	is.True(err != nil)
	is.Equal(len(lines), 0)
	is.True(time.Since(begin) < CallTimeout)
	<-h.started
	is.True(h.remaining <= 100*time.Millisecond)
	close(h.block)
	h.started = make(chan struct{}, 1)
	lines, err = client.Explain(context.Background(), "next")
	is.NoErr(err)
	is.Equal(lines, []string{"explained next"})
}

// Guards against an unbounded number of calls that wait for one slow peer.
func TestCallsPerPeerAreBounded(t *testing.T) {
	is := is.New(t)
	h := &blockingHandler{block: make(chan struct{}), started: make(chan struct{}, maxCallsPerClient)}
	client := serve(t, h, testOptions, testOptions)
	done := make(chan error, maxCallsPerClient)
	for range maxCallsPerClient {
		go func() {
			_, err := client.Explain(context.Background(), "r")
			done <- err
		}()
	}
	for range maxCallsPerClient {
		<-h.started
	}
	_, err := client.Explain(context.Background(), "one too many")
	is.True(errors.Is(err, ErrTooManyCalls))
	close(h.block)
	for range maxCallsPerClient {
		is.NoErr(<-done)
	}
}

type blockingHandler struct {
	recordingHandler
	block, started chan struct{}
}

func (b *blockingHandler) Explain(context.Context, string) ([]string, error) {
	b.started <- struct{}{}
	<-b.block
	return nil, nil
}

// Guards against messages that exhaust the memory of a VM.
func TestMessageSizeIsBounded(t *testing.T) {
	is := is.New(t)
	h := &recordingHandler{}
	client := serve(t, h, testOptions, testOptions)
	big := []platform.Object{{Name: "contract", Version: 1, Value: make([]byte, maxMessageBytes+1)}}
	_, err := client.Push(context.Background(), big, nil)
	is.True(errors.Is(err, ErrTooLarge))
	is.Equal(len(h.pushed), 0)

	// The server refuses a client without the size limit.
	raw := fleetpb.NewFleetClient(&http.Client{Transport: client.transport}, "http://"+client.address,
		connect.WithInterceptors(keyInterceptor(string(testOptions.Key))))
	_, err = raw.Push(context.Background(), connect.NewRequest(&fleetpb.PushRequest{Objects: convertAll(big, objectToPB)}))
	is.Equal(connect.CodeOf(err), connect.CodeResourceExhausted)
	is.Equal(len(h.pushed), 0)
}

// Guards against a response with the largest permitted objects that exceeds the message size limit.
func TestLargestObjectsFit(t *testing.T) {
	is := is.New(t)
	object := func(name string, size int) platform.Object {
		return platform.Object{Name: name, Version: 1, Value: bytes.Repeat([]byte{1}, size)}
	}
	objects := []platform.Object{
		object("a", platform.MaxValueSize), object("b", 100<<10), object("c", platform.MaxValueSize),
	}
	fit, more := LimitSyncObjects(objects)
	is.Equal(len(fit), 2)
	is.True(more)
	h := &recordingHandler{syncResult: SyncResult{Objects: fit, More: more}, wanted: []string{"a", "c"}}
	client := serve(t, h, testOptions, testOptions)
	result, err := client.Sync(context.Background(), machine.Hello{})
	is.NoErr(err)
	is.Equal(result.Objects, fit)

	// Objects above the inline limit are sent only when the peer requests them.
	small := object("small", machine.InlineLimit)
	is.NoErr(client.PushObjects(context.Background(), append(objects, small)))
	names := map[string]bool{}
	for _, o := range h.pushed {
		names[o.Name] = true
	}
	is.Equal(names, map[string]bool{"a": true, "c": true, "small": true})
}

// Guards against unbounded growth of the pool: a VM calls a random peer each second.
func TestPeersAreBounded(t *testing.T) {
	is := is.New(t)
	pool, err := NewClientPool(testOptions)
	is.NoErr(err)
	first := pool.Client("127.0.0.1:1")
	for port := range 3 * maxClients {
		is.True(pool.Client("127.0.0.1:1") == first) // in use, so it is kept
		pool.Client(net.JoinHostPort("127.0.0.2", big.NewInt(int64(port+1)).String()))
	}
	is.Equal(len(pool.clients), maxClients)
}

// Guards against cleartext or an unverified certificate when TLS is configured.
func TestTLS(t *testing.T) {
	is := is.New(t)
	server, client := testCertificate(t)
	h := &recordingHandler{}
	secure := Options{Key: testOptions.Key, TLS: server}
	trusting := serve(t, h, secure, Options{Key: testOptions.Key, TLS: client})
	lines, err := trusting.Explain(context.Background(), "r")
	is.NoErr(err)
	is.Equal(lines, []string{"explained r"})

	untrusting := serve(t, h, secure, Options{Key: testOptions.Key, TLS: &tls.Config{}})
	_, err = untrusting.Explain(context.Background(), "r")
	is.True(err != nil)

	cleartext := serve(t, h, secure, testOptions)
	_, err = cleartext.Explain(context.Background(), "r")
	is.True(err != nil)
}

func testCertificate(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}},
		&tls.Config{RootCAs: pool}
}

// Guards against a field of LoanRequest or Grant that the protocol messages do not carry.
func TestBorrowCarriesEveryField(t *testing.T) {
	is := is.New(t)
	request := grant.LoanRequest{Workspace: "w", Seq: 1, Loan: 2, RetainedShare: 3, ReturnedTokens: 4, RequestedShare: 5, OtherShare: 6, DemandShare: 7, TokensLow: true}
	g := grant.Grant{Workspace: "w", Seq: 1, Loan: 2, Amount: 3, Tokens: 4, SpareShare: 5}
	for _, v := range []reflect.Value{reflect.ValueOf(request), reflect.ValueOf(g)} {
		for i := range v.NumField() {
			is.True(!v.Field(i).IsZero()) // the sample must set every field
		}
	}
	is.Equal(loanRequestFromPB(loanRequestToPB(request)), request)
	is.Equal(grantFromPB(grantToPB(g)), g)
}
