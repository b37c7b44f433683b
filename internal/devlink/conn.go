package devlink

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	chunkSize  = 64 << 10 // bytes read at once
	maxPending = 256      // chunks on the way
)

// Conn is a connection whose answers arrive after the round-trip time of its path. Both directions
// are charged on the reading side, which leaves the duration of an exchange as it would be.
type Conn struct {
	net.Conn
	delay  time.Duration
	closed func(*Conn)

	mu       sync.Mutex
	wake     *sync.Cond
	pending  []chunk
	err      error // of the underlying connection, after the pending chunks
	cut      bool
	shut     bool // closed by its user, who gets no more data
	deadline time.Time
	timer    *time.Timer
	once     sync.Once
}

type chunk struct {
	due  time.Time
	data []byte
}

func newConn(conn net.Conn, delay time.Duration, closed func(*Conn)) *Conn {
	c := &Conn{Conn: conn, delay: delay, closed: closed}
	c.wake = sync.NewCond(&c.mu)
	go c.receive()
	return c
}

// receive takes data from the network until the connection ends.
func (c *Conn) receive() {
	for {
		buf := make([]byte, chunkSize)
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		for len(c.pending) >= maxPending && c.err == nil {
			c.wake.Wait()
		}
		if n > 0 {
			c.pending = append(c.pending, chunk{due: time.Now().Add(c.delay), data: buf[:n]})
		}
		if err != nil && c.err == nil {
			c.err = err
		}
		c.wake.Broadcast()
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (c *Conn) setCut(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = on
	c.wake.Broadcast()
}

// Write implements net.Conn. While the path is cut, data is lost to the sender's knowledge: the call
// succeeds, and the data is delivered once the path is restored.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	for c.cut && c.err == nil {
		if c.expired() {
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		c.wake.Wait()
	}
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.expired() {
			return 0, os.ErrDeadlineExceeded
		}
		if c.shut || len(c.pending) == 0 && c.err != nil {
			return 0, c.err
		}
		if len(c.pending) > 0 && !c.cut {
			wait := time.Until(c.pending[0].due)
			if wait <= 0 {
				return c.take(b), nil
			}
			timer := time.AfterFunc(wait, c.broadcast)
			c.wake.Wait()
			timer.Stop()
			continue
		}
		c.wake.Wait()
	}
}

// SyscallConn implements syscall.Conn, by which a pool finds out that the peer closed an idle connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

func (c *Conn) broadcast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake.Broadcast()
}

// take copies the first pending data to b. The lock is held.
func (c *Conn) take(b []byte) int {
	first := &c.pending[0]
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		c.pending = c.pending[1:]
		c.wake.Broadcast()
	}
	return n
}

func (c *Conn) expired() bool { return !c.deadline.IsZero() && !time.Now().Before(c.deadline) }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if !t.IsZero() {
		c.timer = time.AfterFunc(max(time.Until(t), 0), c.broadcast)
	}
	c.wake.Broadcast()
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.closed(c)
		c.mu.Lock()
		c.shut = true
		if c.err == nil {
			c.err = net.ErrClosed
		}
		if c.timer != nil {
			c.timer.Stop()
		}
		c.wake.Broadcast()
		c.mu.Unlock()
	})
	return err
}
