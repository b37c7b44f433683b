package main

import (
	"net"
	"sync"
	"time"
)

// maxDialTime is how long an attempt to connect lasts at most. An attempt that began earlier before the end of a cut has
// been given up.
const maxDialTime = time.Second

// link forwards connections to a target and can be cut. While it is cut, nothing passes; what was sent meanwhile, also
// the end of a connection, arrives after the cut, as TCP delivers it after a partition.
type link struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	cut    bool
	healed *sync.Cond
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target}
	l.healed = sync.NewCond(&l.mu)
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) close() {
	_ = l.ln.Close()
	l.setCut(false)
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.healed.Broadcast()
}

func (l *link) awaitHealed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.healed.Wait()
	}
}

func (l *link) serve() {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			began := time.Now()
			l.awaitHealed()
			if time.Since(began) > maxDialTime {
				_ = in.Close()
				return
			}
			out, err := net.DialTimeout("tcp", l.target, time.Second)
			if err != nil {
				_ = in.Close()
				return
			}
			go l.forward(in, out)
			l.forward(out, in)
		}()
	}
}

// forward copies one direction until it ends, and then ends it at the other side.
func (l *link) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.awaitHealed()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
}
