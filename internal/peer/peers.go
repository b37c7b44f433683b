package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/netopt"
	"siskinrouter/internal/sleep"
)

const (
	// dialTimeout bounds the opening of a link; a round trip between failure domains takes milliseconds.
	dialTimeout = 600 * time.Millisecond
	// redialPause is the time between two attempts to reach a VM.
	redialPause = 200 * time.Millisecond
)

// Handler receives what other VMs send.
type Handler interface {
	// Hello returns the introduction of this VM.
	Hello() Hello
	// Handle takes a message that is not an answer. It must not block.
	Handle(l *Link, m Message)
	// Closed is called when a link has ended.
	Closed(l *Link)
	// ConnectionRefused is called when no process listens at the address of a VM.
	ConnectionRefused(address string)
}

// Peers holds the links of a VM.
type Peers struct {
	handler Handler
	log     *log.Logger
	mu      sync.Mutex
	out     map[string]*outgoing // by address
	open    map[uint64]*Link     // all links, those of other VMs included
	nextID  uint64
	closed  bool
	sent    *Metrics
}

// Metrics count what a VM sends to others.
type Metrics struct {
	Bytes        metrics.Counter
	ChangesBytes metrics.Counter // the part of Bytes that are listings
}

// NewMetrics registers the counters.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		Bytes:        metrics.GetOrRegisterCounter("links.sent_bytes", r),
		ChangesBytes: metrics.GetOrRegisterCounter("links.sent_news_bytes", r),
	}
}

// outgoing is a link that this VM opens.
type outgoing struct {
	link    *Link
	dialing bool
	retryAt time.Time
}

// New returns a VM's links.
func New(h Handler, logger *log.Logger, sent *Metrics) *Peers {
	return &Peers{handler: h, log: logger, sent: sent, out: map[string]*outgoing{}, open: map[uint64]*Link{}}
}

// LinkOrDial returns the link to a VM, or nil while it is being opened.
func (p *Peers) LinkOrDial(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.out[address]
	if o == nil {
		o = &outgoing{}
		p.out[address] = o
	}
	if o.link == nil && !o.dialing && !p.closed && !time.Now().Before(o.retryAt) {
		o.dialing = true
		go p.dial(address, o)
	}
	return o.link
}

// OpenLink returns the link to a VM if it is open.
func (p *Peers) OpenLink(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.out[address]; o != nil {
		return o.link
	}
	return nil
}

func (p *Peers) dial(address string, o *outgoing) {
	conn, err := netopt.Dialer(dialTimeout).Dial("tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.handler.ConnectionRefused(address)
	}
	var l *Link
	if err == nil {
		l = p.add(conn)
		hello := p.handler.Hello()
		if err = l.Send(Message{Hello: &hello}); err != nil {
			p.ended(l)
			l = nil
		}
	}
	p.mu.Lock()
	o.dialing = false
	o.link = l
	o.retryAt = time.Now().Add(redialPause)
	p.mu.Unlock()
	if l == nil {
		p.log.Debug("VM not reached", "address", address, "error", err)
		return
	}
	p.log.Info("link up", "address", address)
	err = l.read(p.handler.Handle)
	p.mu.Lock()
	if o.link == l {
		o.link = nil
	}
	p.mu.Unlock()
	p.ended(l)
	p.log.Info("link down", "address", address, "error", err)
}

func (p *Peers) add(conn net.Conn) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	l := newLink(p.nextID, conn, p.sent)
	p.open[l.ID] = l
	if p.closed {
		l.Close()
	}
	return l
}

// ended forgets a link whose connection is closed.
func (p *Peers) ended(l *Link) {
	l.end()
	p.mu.Lock()
	delete(p.open, l.ID)
	p.mu.Unlock()
	p.handler.Closed(l)
}

// Serve accepts the links of other VMs until the listener is closed.
func (p *Peers) Serve(ln net.Listener) error {
	return netopt.Serve(ln, func(conn net.Conn) { go p.accepted(conn) }, func(err error) {
		p.log.Warn("link not accepted", "error", err)
	})
}

// accepted serves a link that another VM opened.
func (p *Peers) accepted(conn net.Conn) {
	l := p.add(conn)
	hello := p.handler.Hello()
	err := l.Send(Message{Hello: &hello})
	if err == nil {
		err = l.read(p.handler.Handle)
	}
	p.ended(l)
	p.log.Debug("link of another VM ended", "vm", l.Remote().Name, "error", err)
}

// Close ends all links.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.open {
		l.Close()
	}
}

// WaitForLink returns the link to a VM once it is open, or nil when ctx ends.
func (p *Peers) WaitForLink(ctx context.Context, address string) *Link {
	for {
		if l := p.LinkOrDial(address); l != nil {
			return l
		}
		if sleep.For(ctx, pollInterval) != nil {
			return nil
		}
	}
}

// pollInterval is the time between two looks for a link that is being opened.
const pollInterval = 10 * time.Millisecond
