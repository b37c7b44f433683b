package devlink

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a reader that waits forever on a connection that was closed during a cut with data on its
// way: no restored cut reaches a closed connection any more.
func TestCloseEndsReadDuringCut(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	n := NewNetwork(time.Millisecond)
	n.Place(ln.Addr().String(), "b")
	conn, err := n.Dialer("a")(context.Background(), "tcp", ln.Addr().String())
	is.NoErr(err)
	peer, err := ln.Accept()
	is.NoErr(err)
	defer peer.Close()
	n.Cut("a", "b", true)
	_, err = peer.Write([]byte("late"))
	is.NoErr(err)
	c := conn.(*Conn)
	for held := 0; held == 0; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		held = len(c.pending)
		c.mu.Unlock()
	}
	done := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 10))
		done <- err
	}()
	conn.Close()
	select {
	case err := <-done:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the reader still waits")
	}
}
