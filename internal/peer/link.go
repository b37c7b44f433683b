package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/limits"
)

const (
	// writeTimeout bounds the write of writeChunk bytes to a peer that does not read. A link of 10 Mbit/s transfers a
	// chunk in 50 ms.
	writeTimeout = time.Second
	writeChunk   = 64 << 10
	// maxKeptBuffer is the size of a message above which the buffer of the decoder is dropped afterwards.
	maxKeptBuffer = 64 << 10
)

// probeShare is the share, 1/4, of the time after which a silent link is given up, at which it is probed. A reader of
// replicas gets no reads after 100 ms of silence, so its link must be probed before.
const probeShare = 4

// ErrNotSent means that the link was down, so the request was not sent.
var ErrNotSent = errors.New("the link to the other VM is down")

// ErrNoResponse means that the link closed or the timeout expired before the response arrived. The request
// may have run.
var ErrNoResponse = errors.New("no response from the other VM")

// Link is a connection to another VM.
type Link struct {
	ID      uint64 // unique on this VM, never 0
	conn    net.Conn
	writeMu sync.Mutex
	mu      sync.Mutex
	pending map[uint64]pendingCall
	remote  directory.VM
	seq     uint64
	down    bool
	sent    *Metrics
	// receivedAt is when the last message arrived.
	receivedAt time.Time
	budget     *limits.Budget
	// remoteReserves is set if the other VM responds to Reserve.
	remoteReserves bool
	reservations   map[uint64]*reservation // by Seq of the Reserve
}

// pendingCall is a request that waits for its response.
type pendingCall struct {
	response chan Message
	// repeatable reports whether the request may be sent again although it may have run.
	repeatable bool
	sentAt     time.Time
}

func newLink(id uint64, conn net.Conn, sent *Metrics) *Link {
	return &Link{ID: id, conn: conn, sent: sent, pending: map[uint64]pendingCall{}, reservations: map[uint64]*reservation{}}
}

// Remote returns the VM at the other end, as announced in its Hello.
func (l *Link) Remote() directory.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remote
}

// Send sends a response, or a message that has none.
func (l *Link) Send(m Message) error {
	encoded, err := encode(&m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	l.sent.Bytes.Inc(int64(len(encoded)))
	if m.Changes != nil {
		l.sent.ChangesBytes.Inc(int64(len(encoded)))
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	for len(encoded) > 0 {
		if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		n, err := l.conn.Write(encoded[:min(len(encoded), writeChunk)])
		if err != nil {
			// After a partial write the receiver cannot find the start of the next message.
			_ = l.conn.Close()
			return err
		}
		encoded = encoded[n:]
	}
	return nil
}

// encode encodes a message.
func encode(m *Message) ([]byte, error) {
	if !IsLarge(m) {
		return encoding.Marshal(m)
	}
	// Marshal would grow its buffer step by step and copy it, which takes several times the size of the message.
	var buffer bytes.Buffer
	buffer.Grow(int(textBytes(m)))
	err := encoding.MarshalToBuffer(m, &buffer)
	return buffer.Bytes(), err
}

// Call sends a request and waits for its response.
func (l *Link) Call(m Message, timeout time.Duration) (Message, error) {
	return l.call(m, timeout, 0)
}

// call sends a request and waits for its response. If silence is not 0, it gives up when nothing has arrived on the link
// for that long.
func (l *Link) call(m Message, timeout, silence time.Duration) (Message, error) {
	response := make(chan Message, 1)
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return Message{}, ErrNotSent
	}
	l.seq++
	m.Seq = l.seq
	sent := time.Now()
	l.pending[m.Seq] = pendingCall{response, m.Run != nil && m.Run.Repeatable(), sent}
	l.mu.Unlock()
	defer l.removeCall(m.Seq)
	if err := l.Send(m); err != nil {
		return Message{}, ErrNoResponse
	}
	wait := timeout
	if silence > 0 {
		wait = min(timeout, silence/probeShare)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case r, ok := <-response:
			if !ok {
				return Message{}, ErrNoResponse
			}
			return r, nil
		case <-timer.C:
		}
		waited := time.Since(sent)
		quiet := min(waited, l.quiet())
		if waited >= timeout || quiet >= silence {
			return Message{}, ErrNoResponse
		}
		wait = silence/probeShare - quiet
		if wait <= 0 {
			l.probe()
			wait = min(silence/probeShare, silence-quiet)
		}
		timer.Reset(min(wait, timeout-waited))
	}
}

// quiet returns the time since the last message arrived.
func (l *Link) quiet() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.receivedAt)
}

// probe asks for any message. Every VM answers a position query, and an empty one needs no lookup.
func (l *Link) probe() {
	l.mu.Lock()
	l.seq++
	seq := l.seq
	l.mu.Unlock()
	// If this fails, the link remains silent.
	_ = l.Send(Message{Seq: seq, PositionQuery: &PositionQuery{}})
}

func (l *Link) removeCall(seq uint64) {
	l.mu.Lock()
	delete(l.pending, seq)
	l.mu.Unlock()
}

// Do runs a statement on the other VM.
func (l *Link) Do(req broker.Request, timeout time.Duration) (broker.Result, error) {
	return l.DoWhileAlive(req, timeout, 0)
}

// DoWhileAlive runs a statement on the other VM, but stops waiting when nothing has arrived on the link for the time
// silence, if that is not 0.
func (l *Link) DoWhileAlive(req broker.Request, timeout, silence time.Duration) (broker.Result, error) {
	m := Message{Run: &req}
	hold, err := l.announce(&m)
	defer hold.Release()
	if err != nil {
		return broker.Result{}, err
	}
	r, err := l.call(m, timeout, silence)
	if err != nil {
		return broker.Result{}, err
	}
	if r.Result == nil {
		return broker.Result{}, ErrNoResponse
	}
	return *r.Result, nil
}

// EndStream rolls back a stream on the other VM. The end of the link rolls it back as well.
func (l *Link) EndStream(stream uint64) { _ = l.Send(Message{EndStream: &EndStream{Stream: stream}}) }

// Close closes the connection of the link.
func (l *Link) Close() { _ = l.conn.Close() }

// read passes messages to handle until the connection ends. Responses go to the calls that wait for them.
func (l *Link) read(handle func(*Link, Message)) error {
	var source io.Reader = l.conn
	dec := decoding.NewDecoder(source)
	for {
		var m Message
		before := dec.NumBytesRead()
		if err := dec.Decode(&m); err != nil {
			return err
		}
		if dec.NumBytesRead()-before > maxKeptBuffer {
			// The decoder keeps its buffer, and a VM has hundreds of links.
			rest, err := io.ReadAll(dec.Buffered())
			if err != nil {
				return err
			}
			source = io.MultiReader(bytes.NewReader(rest), source)
			dec = decoding.NewDecoder(source)
		}
		if m.Hello != nil {
			l.mu.Lock()
			l.remote = m.Hello.VM
			l.remoteReserves = m.Hello.Reserves
			l.mu.Unlock()
		}
		l.mu.Lock()
		l.receivedAt = time.Now()
		l.mu.Unlock()
		l.assignHold(&m)
		if m.Reserve != nil && !m.IsResponse {
			if err := l.grant(m); err != nil {
				return err
			}
			continue
		}
		if !m.IsResponse {
			handle(l, m)
			continue
		}
		l.mu.Lock()
		c, ok := l.pending[m.Seq]
		delete(l.pending, m.Seq)
		l.mu.Unlock()
		if ok {
			c.response <- m
		} else if m.Result != nil {
			m.Result.Response.Held.Release()
		}
	}
}

// Silent reports whether a request has waited longer than the limit while nothing arrived on the link.
func (l *Link) Silent(limit time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.receivedAt) <= limit {
		return false
	}
	for _, c := range l.pending {
		if time.Since(c.sentAt) > limit {
			return true
		}
	}
	return false
}

// shutdown closes the connection and fails all pending calls.
func (l *Link) shutdown() {
	_ = l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	for seq, c := range l.pending {
		close(c.response)
		delete(l.pending, seq)
	}
	for seq, r := range l.reservations {
		r.release()
		delete(l.reservations, seq)
	}
}

// AbortRepeatable fails the pending calls of repeatable statements.
func (l *Link) AbortRepeatable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for seq, c := range l.pending {
		if c.repeatable {
			close(c.response)
			delete(l.pending, seq)
		}
	}
}
