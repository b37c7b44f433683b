package netopt

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// exhausted is a listener that lacks file descriptors at first and has one connection after that.
type exhausted struct {
	net.Listener
	failures int
	conn     net.Conn
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	if l.conn != nil {
		conn := l.conn
		l.conn = nil
		return conn, nil
	}
	return nil, net.ErrClosed
}

// Guards against a daemon that ends when a flood of connections takes all file descriptors.
func TestServeOutlivesLackOfDescriptors(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	var accepted []net.Conn
	var failures []error
	err := Serve(&exhausted{failures: 2, conn: near},
		func(c net.Conn) { accepted = append(accepted, c) }, func(err error) { failures = append(failures, err) })
	is.NoErr(err)
	is.Equal(accepted, []net.Conn{near})
	is.Equal(len(failures), 2)
}
