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

	"siskinrouter/internal/limits"
	"siskinrouter/internal/netopt"
	"siskinrouter/internal/sleep"
)

const (
	// dialTimeout bounds the dialing of a link. A round trip between failure domains takes milliseconds.
	dialTimeout = 600 * time.Millisecond
	// redialInterval is the minimum time between two attempts to dial a VM.
	redialInterval = 200 * time.Millisecond
	// maxDials bounds the attempts in progress to dial one VM: one that may hang and one after the VM announced itself.
	maxDials = 2
)

// Handler receives the messages and events of links.
type Handler interface {
	// Hello returns the announcement of this VM.
	Hello() Hello
	// Handle handles a message that is not a response. It must not block.
	Handle(l *Link, m Message)
	// Closed is called when a link has ended.
	Closed(l *Link)
	// ConnectionRefused is called when no process listens at the address of a VM.
	ConnectionRefused(address string)
}

// Peers manages the links between this VM and others.
type Peers struct {
	handler  Handler
	log      *log.Logger
	mu       sync.Mutex
	outgoing map[string]*outgoingLink // by address
	open     map[uint64]*Link         // all links, including those opened by other VMs
	nextID   uint64
	closed   bool
	sent     *Metrics
	// Budget is the memory for callers, which statements and answers on links are charged to; nil limits nothing. It must
	// be set before the first link.
	Budget *limits.Budget
}

// Metrics counts the bytes that a VM sends to other VMs.
type Metrics struct {
	Bytes        metrics.Counter
	ChangesBytes metrics.Counter // the part of Bytes that carries directory changes
}

// NewMetrics registers the counters.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		Bytes:        metrics.GetOrRegisterCounter("links.sent_bytes", r),
		ChangesBytes: metrics.GetOrRegisterCounter("links.sent_news_bytes", r),
	}
}

// outgoingLink is the state of a link that this VM dials.
type outgoingLink struct {
	link    *Link
	dialing int // attempts in progress
	retryAt time.Time
}

// New returns a Peers without links.
func New(h Handler, logger *log.Logger, sent *Metrics) *Peers {
	return &Peers{handler: h, log: logger, sent: sent, outgoing: map[string]*outgoingLink{}, open: map[uint64]*Link{}}
}

// LinkOrDial returns the link to a VM. Without a link it starts to dial the VM and returns nil.
func (p *Peers) LinkOrDial(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outgoing[address]
	if o == nil {
		o = &outgoingLink{}
		p.outgoing[address] = o
	}
	if o.link == nil && o.dialing == 0 && !p.closed && !time.Now().Before(o.retryAt) {
		o.dialing++
		go p.dial(address, o)
	}
	return o.link
}

// Announced dials a VM that has opened a link to this one, unless there is a link to it. A dial that began before the VM
// had power hangs until it times out, although the VM is reachable by now.
func (p *Peers) Announced(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outgoing[address]
	if o != nil && o.link == nil && o.dialing < maxDials && !p.closed {
		o.dialing++
		go p.dial(address, o)
	}
}

// OpenLink returns the link to a VM, or nil if none is open. It does not dial.
func (p *Peers) OpenLink(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.outgoing[address]; o != nil {
		return o.link
	}
	return nil
}

func (p *Peers) dial(address string, o *outgoingLink) {
	conn, err := netopt.Dialer(dialTimeout).Dial("tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.handler.ConnectionRefused(address)
	}
	var l *Link
	if err == nil {
		l = p.add(conn)
		hello := p.handler.Hello()
		if err = l.Send(Message{Hello: &hello}); err != nil {
			p.removeLink(l)
			l = nil
		}
	}
	p.mu.Lock()
	o.dialing--
	o.retryAt = time.Now().Add(redialInterval)
	redundant := l != nil && o.link != nil
	if l != nil && !redundant {
		o.link = l
	}
	p.mu.Unlock()
	if l == nil {
		p.log.Debug("failed to dial VM", "address", address, "error", err)
		return
	}
	if redundant {
		p.removeLink(l)
		return
	}
	p.log.Info("link established", "address", address)
	err = l.read(p.handler.Handle)
	p.mu.Lock()
	if o.link == l {
		o.link = nil
	}
	p.mu.Unlock()
	p.removeLink(l)
	p.log.Info("link closed", "address", address, "error", err)
}

func (p *Peers) add(conn net.Conn) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	l := newLink(p.nextID, conn, p.sent)
	l.budget = p.Budget
	p.open[l.ID] = l
	if p.closed {
		l.Close()
	}
	return l
}

// removeLink removes a link whose connection has ended.
func (p *Peers) removeLink(l *Link) {
	l.shutdown()
	p.mu.Lock()
	delete(p.open, l.ID)
	p.mu.Unlock()
	p.handler.Closed(l)
}

// Serve accepts links from other VMs until the listener is closed.
func (p *Peers) Serve(ln net.Listener) error {
	return netopt.Serve(ln, func(conn net.Conn) { go p.serveLink(conn) }, func(err error) {
		p.log.Warn("failed to accept link", "error", err)
	})
}

// serveLink serves a link opened by another VM.
func (p *Peers) serveLink(conn net.Conn) {
	l := p.add(conn)
	hello := p.handler.Hello()
	err := l.Send(Message{Hello: &hello})
	if err == nil {
		err = l.read(p.handler.Handle)
	}
	p.removeLink(l)
	p.log.Debug("incoming link closed", "vm", l.Remote().Name, "error", err)
}

// Close closes all links and prevents new ones.
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
		if sleep.For(ctx, linkCheckInterval) != nil {
			return nil
		}
	}
}

// linkCheckInterval is the time between two checks for a link that is being opened.
const linkCheckInterval = 10 * time.Millisecond
