// Package devlink is a substitute for the network between failure domains in tests and trials: it
// delays connections by the distance of their ends and cuts domains off from each other.
package devlink

import (
	"context"
	"fmt"
	"net"
	"siskinrouter/internal/sleep"
	"sync"
	"time"
)

// Network knows which failure domain each address belongs to. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex
	oneWay  time.Duration // between failure domains
	domains map[string]string
	cut     map[pair]bool
	conns   map[*Conn]pair
}

// pair is two failure domains without an order.
type pair struct{ a, b string }

func newPair(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// NewNetwork returns a network with the given one-way latency between different failure domains.
func NewNetwork(oneWay time.Duration) *Network {
	return &Network{
		oneWay:  oneWay,
		domains: make(map[string]string),
		cut:     make(map[pair]bool),
		conns:   make(map[*Conn]pair),
	}
}

// Place says that an address belongs to a failure domain.
func (n *Network) Place(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// Cut cuts (true) or restores (false) the connection between two failure domains. Data sent while they
// are cut arrives after they are restored, as retransmissions would.
func (n *Network) Cut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := newPair(a, b)
	n.cut[p] = on
	for c, cp := range n.conns {
		if cp == p {
			c.setCut(on)
		}
	}
}

// dialRetry is how often an attempt to connect across a cut is repeated.
const dialRetry = 20 * time.Millisecond

// Dialer returns a dial function for a process in the given failure domain.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		p, delay := n.path(from, address)
		for n.isCut(p) {
			sleep.For(ctx, dialRetry)
			if ctx.Err() != nil {
				return nil, fmt.Errorf("failure domains %s and %s are cut off: %w", p.a, p.b, ctx.Err())
			}
		}
		sleep.For(ctx, delay)
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		if err != nil || p.a == p.b {
			return conn, err
		}
		c := newConn(conn, delay, func(c *Conn) { n.forget(c) })
		n.mu.Lock()
		n.conns[c] = p
		c.setCut(n.cut[p])
		n.mu.Unlock()
		return c, nil
	}
}

// path returns the ends of a connection and its round-trip time.
func (n *Network) path(from, address string) (pair, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, ok := n.domains[address]
	if !ok || to == from {
		return pair{from, from}, 0
	}
	return newPair(from, to), 2 * n.oneWay
}

func (n *Network) isCut(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[p]
}

func (n *Network) forget(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}
