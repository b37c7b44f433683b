package peer

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
)

// writeTimeout bounds the time that a peer may leave the connection full.
const writeTimeout = time.Second

// ErrNotSent means that a request did not reach the other VM.
var ErrNotSent = errors.New("the link to the other VM is down")

// ErrNoResponse means that the link was lost, or the time ran out, before the answer arrived.
var ErrNoResponse = errors.New("no answer of the other VM")

// Link is a connection to another VM.
type Link struct {
	ID      uint64 // unique on this VM, never 0
	conn    net.Conn
	writeMu sync.Mutex
	mu      sync.Mutex
	waiting map[uint64]call
	remote  directory.VM
	seq     uint64
	down    bool
	sent    *Metrics
}

// call is a request that waits for its answer.
type call struct {
	answer chan Message
	// repeatable is set if the request may be sent again although it may have run.
	repeatable bool
}

func newLink(id uint64, conn net.Conn, sent *Metrics) *Link {
	return &Link{ID: id, conn: conn, sent: sent, waiting: map[uint64]call{}}
}

// Remote returns the VM at the other end as it introduced itself.
func (l *Link) Remote() directory.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remote
}

// Send sends a message that has no answer, or an answer.
func (l *Link) Send(m Message) error {
	encoded, err := encoding.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	l.sent.Bytes.Inc(int64(len(encoded)))
	if m.Changes != nil {
		l.sent.ChangesBytes.Inc(int64(len(encoded)))
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err = l.conn.Write(encoded); err != nil {
		// A message that was sent in part makes the connection useless.
		_ = l.conn.Close()
	}
	return err
}

// Call sends a request and waits for its answer.
func (l *Link) Call(m Message, timeout time.Duration) (Message, error) {
	answer := make(chan Message, 1)
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return Message{}, ErrNotSent
	}
	l.seq++
	m.Seq = l.seq
	l.waiting[m.Seq] = call{answer, m.Run != nil && m.Run.Repeatable()}
	l.mu.Unlock()
	defer l.forget(m.Seq)
	if err := l.Send(m); err != nil {
		return Message{}, ErrNoResponse
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case a, ok := <-answer:
		if !ok {
			return Message{}, ErrNoResponse
		}
		return a, nil
	case <-timer.C:
		return Message{}, ErrNoResponse
	}
}

func (l *Link) forget(seq uint64) {
	l.mu.Lock()
	delete(l.waiting, seq)
	l.mu.Unlock()
}

// Do runs a statement on the other VM.
func (l *Link) Do(req broker.Request, timeout time.Duration) (broker.Result, error) {
	m, err := l.Call(Message{Run: &req}, timeout)
	if err != nil {
		return broker.Result{}, err
	}
	if m.Result == nil {
		return broker.Result{}, ErrNoResponse
	}
	return *m.Result, nil
}

// EndStream rolls a stream back on the other VM. A lost link rolls it back, too.
func (l *Link) EndStream(stream uint64) { _ = l.Send(Message{EndStream: &EndStream{Stream: stream}}) }

// Close ends the link.
func (l *Link) Close() { _ = l.conn.Close() }

// read passes messages to handle until the connection ends. Answers go to those who wait for them.
func (l *Link) read(handle func(*Link, Message)) error {
	dec := decoding.NewDecoder(l.conn)
	for {
		var m Message
		if err := dec.Decode(&m); err != nil {
			return err
		}
		if m.Hello != nil {
			l.mu.Lock()
			l.remote = m.Hello.VM
			l.mu.Unlock()
		}
		if !m.IsResponse {
			handle(l, m)
			continue
		}
		l.mu.Lock()
		c, ok := l.waiting[m.Seq]
		delete(l.waiting, m.Seq)
		l.mu.Unlock()
		if ok {
			c.answer <- m
		}
	}
}

// end wakes all who wait for an answer.
func (l *Link) end() {
	_ = l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	for seq, c := range l.waiting {
		close(c.answer)
		delete(l.waiting, seq)
	}
}

// AbortRepeatable ends the wait for the answers to repeatable statements.
func (l *Link) AbortRepeatable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for seq, c := range l.waiting {
		if c.repeatable {
			close(c.answer)
			delete(l.waiting, seq)
		}
	}
}
