package fleet

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"siskinrouter/internal/fleet/fleetpb"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
)

const (
	// keyHeader carries the fleet key.
	keyHeader = "Siskinrouter-Fleet-Key"
	// MaxSyncBytes limits the size of the objects in one Sync response. It exceeds the largest
	// object.
	MaxSyncBytes = platform.MaxValueSize + 512<<10
	// maxMessageBytes limits the size of every message: the objects plus versions, reports and
	// members.
	maxMessageBytes = MaxSyncBytes + 512<<10
	// maxServerCalls limits the calls that a VM serves at the same time. Each may hold one message.
	maxServerCalls = 64
	// maxCallTime limits the time of a call at the server, whatever deadline its caller set.
	maxCallTime = 5 * time.Second
	// maxStreams limits the calls on one connection; a client sends at most maxCallsPerClient.
	maxStreams = 32
	// readHeaderTimeout and idleTimeout close stalled and idle connections.
	readHeaderTimeout = 2 * time.Second
	idleTimeout       = 90 * time.Second
)

// Options are common to servers and clients.
type Options struct {
	Key []byte // fleet key
	// TLS is the certificate configuration of a server, or the verification of a client. Nil means
	// cleartext HTTP/2.
	TLS *tls.Config
	// Dial opens connections to other VMs; nil for the default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// ErrNoKey means that no fleet key is configured.
var ErrNoKey = errors.New("the fleet key is empty")

// NewServer returns an HTTP server for the fleet service. It is started with Serve.
func NewServer(h Handler, opts Options) (*http.Server, error) {
	if len(opts.Key) == 0 {
		return nil, ErrNoKey
	}
	server := &http.Server{
		Handler:           newHTTPHandler(h, opts.Key),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       maxCallTime,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    16 << 10,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		Protocols:         new(http.Protocols),
	}
	if opts.TLS != nil {
		server.TLSConfig = opts.TLS.Clone()
		server.Protocols.SetHTTP2(true)
		return server, nil
	}
	server.Protocols.SetUnencryptedHTTP2(true)
	return server, nil
}

// Serve serves the listener until the server is shut down. A shutdown is not an error.
func Serve(server *http.Server, listener net.Listener) error {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func newHTTPHandler(h Handler, key []byte) http.Handler {
	_, rpcHandler := fleetpb.NewFleetHandler(&handlerAdapter{h},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendMaxBytes(maxMessageBytes),
	)
	return checkKeyAndLimit(rpcHandler, sha256.Sum256(key))
}

// checkKeyAndLimit refuses calls without the fleet key before their body is read, and calls beyond
// maxServerCalls.
func checkKeyAndLimit(next http.Handler, keyDigest [sha256.Size]byte) http.Handler {
	errorWriter := connect.NewErrorWriter()
	calls := make(chan struct{}, maxServerCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Both digests have the same length, so the time of the comparison depends on neither key.
		digest := sha256.Sum256([]byte(r.Header.Get(keyHeader)))
		if subtle.ConstantTimeCompare(digest[:], keyDigest[:]) != 1 {
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnauthenticated, ErrKeyRefused))
			return
		}
		select {
		case calls <- struct{}{}:
			defer func() { <-calls }()
		default:
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeAborted, ErrTooManyCalls))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), maxCallTime)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// handlerAdapter adapts a Handler to the generated interface.
type handlerAdapter struct{ h Handler }

// toConnectError maps the errors that the calling VM handles to codes of their own.
func toConnectError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, machine.ErrOldIncarnation):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, machine.ErrGone):
		return connect.NewError(connect.CodeNotFound, err)
	default:
		return err
	}
}

func (s *handlerAdapter) Sync(ctx context.Context, req *connect.Request[fleetpb.SyncRequest]) (*connect.Response[fleetpb.SyncResponse], error) {
	result, err := s.h.Sync(ctx, helloFromPB(req.Msg.GetHello()))
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&fleetpb.SyncResponse{
		RequestId: req.Msg.GetRequestId(),
		Hello:     helloToPB(result.Hello),
		Objects:   convertAll(result.Objects, objectToPB),
		More:      result.More,
	}), nil
}

func (s *handlerAdapter) Push(ctx context.Context, req *connect.Request[fleetpb.PushRequest]) (*connect.Response[fleetpb.PushResponse], error) {
	objects := convertAll(req.Msg.GetObjects(), objectFromPB)
	announced := convertAll(req.Msg.GetAnnounced(), versionFromPB)
	wanted, err := s.h.Push(ctx, objects, announced)
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&fleetpb.PushResponse{RequestId: req.Msg.GetRequestId(), Wanted: wanted}), nil
}

func (s *handlerAdapter) Borrow(ctx context.Context, req *connect.Request[fleetpb.BorrowRequest]) (*connect.Response[fleetpb.BorrowResponse], error) {
	reply, err := s.h.Borrow(ctx, borrowRequestFromPB(req.Msg))
	if err != nil {
		return nil, toConnectError(err)
	}
	res := borrowReplyToPB(reply)
	res.RequestId = req.Msg.GetRequestId()
	return connect.NewResponse(res), nil
}

func (s *handlerAdapter) Cancel(ctx context.Context, req *connect.Request[fleetpb.CancelRequest]) (*connect.Response[fleetpb.CancelResponse], error) {
	if err := s.h.Cancel(ctx, req.Msg.GetLink(), req.Msg.GetSecret()); err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&fleetpb.CancelResponse{RequestId: req.Msg.GetRequestId()}), nil
}

func (s *handlerAdapter) Explain(ctx context.Context, req *connect.Request[fleetpb.ExplainRequest]) (*connect.Response[fleetpb.ExplainResponse], error) {
	lines, err := s.h.Explain(ctx, req.Msg.GetId())
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&fleetpb.ExplainResponse{RequestId: req.Msg.GetRequestId(), Lines: lines}), nil
}

func (s *handlerAdapter) Status(ctx context.Context, req *connect.Request[fleetpb.StatusRequest]) (*connect.Response[fleetpb.StatusResponse], error) {
	status, err := s.h.Status(ctx)
	if err != nil {
		return nil, toConnectError(err)
	}
	response := statusToPB(status)
	response.RequestId = req.Msg.GetRequestId()
	return connect.NewResponse(response), nil
}
