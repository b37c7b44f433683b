package devfleet

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// Guards against a cancel request that is lost because the balancer sends it to another VM.
func TestCancelRequestReachesTheVMOfItsCaller(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, small())
	conn := connect(t, f, f.VM(0), "w1", "")
	go func() {
		time.Sleep(200 * time.Millisecond)
		request := &pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}
		buf, err := request.Encode(nil)
		if err != nil {
			return
		}
		other, err := net.Dial("tcp", f.VM(1).Address)
		if err != nil {
			return
		}
		defer other.Close()
		_, _ = other.Write(buf)
		time.Sleep(time.Second) // until the VM has read the request
	}()
	start := time.Now()
	_, err := conn.Exec(context.Background(), "SLEEP 8000")
	is.True(err != nil)
	is.True(time.Since(start) < 5*time.Second)
}
