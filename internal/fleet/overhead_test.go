package fleet

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrouter/internal/fleet/fleetpb"
	"siskinrouter/internal/machine"
)

// Bytes of one call in both directions beyond the encoded messages, on a new connection and on an
// existing one. Without the headers of TCP and IP, a call takes 406 and 80 bytes in cleartext,
// 3,853 and 168 with TLS and one P-256 certificate.
const (
	callOverhead    = 600
	callOverheadTLS = 4200
	reusedOverhead  = 200
	// Packets with 52 bytes of IP and TCP headers each.
	packetOverhead       = 12 * 52
	reusedPacketOverhead = 4 * 52
)

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// Guards against a propagation test that counts fewer bytes than real calls take.
func TestCallOverhead(t *testing.T) {
	server, client := testCertificate(t)
	for _, c := range []struct {
		name           string
		server, client *tls.Config
		limit          int
	}{{"cleartext", nil, nil, callOverhead}, {"tls", server, client, callOverheadTLS}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &recordingHandler{}
			caller := serve(t, h, Options{Key: testOptions.Key, TLS: c.server}, Options{Key: testOptions.Key, TLS: c.client})
			var n atomic.Int64
			caller.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{conn, &n}, err
			}
			req := machine.Hello{VM: machine.VM{Name: "vm", Incarnation: "1"}}
			messages := proto.Size(&fleetpb.SyncRequest{RequestId: 1, Hello: helloToPB(req)}) +
				proto.Size(&fleetpb.SyncResponse{RequestId: 1, Hello: helloToPB(machine.Hello{})})
			_, err := caller.Sync(context.Background(), req)
			is.NoErr(err)
			first := n.Load()
			_, err = caller.Sync(context.Background(), req)
			is.NoErr(err)
			t.Logf("overhead in addition to %d bytes of messages: first call %d, second call %d", messages, int(first)-messages, int(n.Load()-first)-messages)
			is.True(int(first)-messages <= c.limit)
			is.True(int(n.Load()-first)-messages <= reusedOverhead)
		})
	}
}
