package peer

import (
	"fmt"
	"time"

	"siskinrouter/internal/limits"
	"siskinrouter/internal/statement"
)

const (
	// announceBytes is the size above which a statement or an answer is announced before it is sent. Below it, the
	// round trip would cost more than the memory is worth.
	announceBytes = 16 << 10
	// announceTimeout bounds the wait for the response to a Reserve.
	announceTimeout = time.Second
	// reservationTimeout is how long memory is kept for a message that was announced. A message of 1 MiB at 10 Mbit/s
	// takes a second.
	reservationTimeout = 10 * time.Second
	// answerWait is how long an answer waits for memory, here and at the other VM, and answerPoll the time between two
	// attempts.
	answerWait = time.Second
	answerPoll = 50 * time.Millisecond
	// freeRunBytes and freeResultBytes are the sizes up to which statements and answers that arrive are not charged. The
	// queues for the servers bound the number of statements, the sessions the number of answers.
	freeRunBytes    = 1 << 10
	freeResultBytes = 4 << 10
	// decodeFactor is the memory for a message until it is decoded, relative to its size: the decoder doubles its buffer
	// when it is full, and the decoded texts are copies.
	decodeFactor = 3
	// fieldBytes is an estimate of the encoded size of the other fields of a message, rowBytes of the header of a text.
	fieldBytes = 256
	rowBytes   = 8
)

// ErrNoMemory means that a statement was not sent, because this VM or the other one has no memory for it.
var ErrNoMemory = fmt.Errorf("%w at the owner of the service or on the way to it: %w", limits.ErrShort, ErrNotSent)

// reservation is memory for a message that the other VM has announced.
type reservation struct {
	hold    *limits.Hold
	expires *time.Timer
}

func (r *reservation) release() {
	r.expires.Stop()
	r.hold.Release()
}

// textBytes returns the approximate size of a statement or an answer, 0 for other messages.
func textBytes(m *Message) int64 {
	switch {
	case m.Run != nil:
		st := m.Run.Statement
		n := fieldBytes + len(st.ID) + len(st.Text) + len(st.Name) + len(st.Args) + len(m.Run.Prepared.Text)
		for _, s := range m.Run.Settings {
			n += len(s.Name) + len(s.Value) + 2*rowBytes
		}
		return int64(n)
	case m.Result != nil:
		n := fieldBytes + len(m.Result.Response.Detail) + len(m.Result.Response.Signature)
		for _, row := range m.Result.Response.Rows {
			n += len(row) + rowBytes
		}
		return int64(n)
	}
	return 0
}

// IsLarge reports whether a message is announced before it is sent.
func IsLarge(m *Message) bool { return textBytes(m) > announceBytes }

// announce reserves memory for a large message on this VM, for its encoding, and on the other one. The caller releases
// hold after the message was sent.
func (l *Link) announce(m *Message) (hold *limits.Hold, err error) {
	if !IsLarge(m) {
		return nil, nil
	}
	size := textBytes(m)
	if hold, err = l.budget.Hold(size); err != nil {
		return nil, ErrNoMemory
	}
	l.mu.Lock()
	reserves := l.remoteReserves
	l.mu.Unlock()
	if !reserves {
		return hold, nil
	}
	request := Message{Reserve: &Reserve{Bytes: size}}
	r, err := l.Call(request, announceTimeout)
	if err != nil {
		return hold, ErrNotSent
	}
	if r.Reserve == nil || !r.Reserve.Granted {
		return hold, ErrNoMemory
	}
	m.Reserved = r.Seq
	return hold, nil
}

// grant responds to a Reserve of the other VM.
func (l *Link) grant(m Message) error {
	hold, err := l.budget.Hold(decodeFactor * m.Reserve.Bytes)
	if err == nil {
		r := &reservation{hold: hold}
		l.mu.Lock()
		r.expires = time.AfterFunc(reservationTimeout, func() { l.takeReservation(m.Seq).Release() })
		l.reservations[m.Seq] = r
		l.mu.Unlock()
	}
	return l.Send(Message{Seq: m.Seq, IsResponse: true, Reserve: &Reserve{Bytes: m.Reserve.Bytes, Granted: err == nil}})
}

// takeReservation removes a reservation and returns what it holds.
func (l *Link) takeReservation(seq uint64) *limits.Hold {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.reservations[seq]
	if r == nil {
		return nil
	}
	delete(l.reservations, seq)
	r.expires.Stop()
	return r.hold
}

// assignHold charges a statement or an answer that has arrived. A statement without memory is marked as refused.
func (l *Link) assignHold(m *Message) {
	if m.Run == nil && m.Result == nil {
		return
	}
	size := textBytes(m)
	if m.Reserved == 0 && (size <= freeRunBytes || m.Result != nil && size <= freeResultBytes) {
		return
	}
	hold := l.takeReservation(m.Reserved)
	hold.Shrink(size)
	if hold == nil {
		var err error
		hold, err = l.budget.Hold(size)
		if err != nil && m.Run != nil {
			m.Run.Refused = true
		}
	}
	if m.Run != nil {
		m.Run.Held = hold
	} else {
		m.Result.Response.Held = hold
	}
}

// Reply sends the result of a statement. A large answer waits for memory at the other VM; if there is none, the caller is
// told that the answer is lost.
func (l *Link) Reply(m Message, repeatable bool) error {
	defer m.Result.Response.Held.Release()
	if !IsLarge(&m) {
		return l.Send(m)
	}
	for began := time.Now(); ; time.Sleep(answerPoll) {
		hold, err := l.announce(&m)
		if err == nil {
			defer hold.Release()
			return l.Send(m)
		}
		hold.Release()
		if time.Since(began) >= answerWait {
			break
		}
	}
	result := *m.Result
	result.Response = AnswerDropped(result.Response, repeatable)
	m.Result = &result
	return l.Send(m)
}

// AnswerDropped returns the response to a statement whose answer could not be kept. The statement has run.
func AnswerDropped(r statement.Response, repeatable bool) statement.Response {
	dropped := statement.Refusal(statement.OutcomeUnknown, "the answer is too large for the free memory")
	if repeatable {
		dropped.Code = statement.TimedOut
	}
	dropped.State, dropped.Position = r.State, r.Position
	return dropped
}
