package netopt

import (
	"container/list"
	"net"
	"sync"
)

// Limit returns a listener of which at most n connections are open. If all are open when another one is accepted, the
// oldest is closed, so that connections which are kept open do not block new ones.
func Limit(ln net.Listener, n int) net.Listener {
	return &limited{Listener: ln, n: n, open: list.New()}
}

type limited struct {
	net.Listener
	n    int
	mu   sync.Mutex
	open *list.List // of *limitedConn, oldest first
}

type limitedConn struct {
	net.Conn
	l       *limited
	element *list.Element
	once    sync.Once
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &limitedConn{Conn: c, l: l}
	l.mu.Lock()
	var oldest *limitedConn
	if l.open.Len() >= l.n {
		oldest = l.open.Remove(l.open.Front()).(*limitedConn)
	}
	conn.element = l.open.PushBack(conn)
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
	return conn, nil
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		c.l.open.Remove(c.element)
	})
	return c.Conn.Close()
}
