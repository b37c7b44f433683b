package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"siskinrouter/internal/limits"
	"siskinrouter/internal/statement"
)

const (
	// memoryWait is how long a message waits for memory before it is refused, and memoryPoll the time between two
	// attempts. A burst of large messages passes within this time.
	memoryWait = time.Second
	memoryPoll = 50 * time.Millisecond
	// evictAfter is how long a caller may rest, in a message or with large session state, before its memory is given to
	// others that need it. A message of 1 MiB at 10 Mbit/s takes less than a second.
	evictAfter = 2 * time.Second
)

// account charges the messages and the state of a session. It implements Account.
type account struct {
	limits *limits.Account
	began  atomic.Int64 // when the unfinished message was begun, in nanoseconds since 1970; 0 if there is none
}

// newSession returns a session that is not registered yet.
func (s *Server) newSession(c Conn) *session {
	sess := &session{server: s, conn: c, prepared: map[string]statement.PreparedQuery{}}
	sess.account = &account{limits: s.Budget.Open(func() {
		s.counters.evicted.Inc(1)
		sess.interrupt(endNoMemory)
	})}
	c.SetAccount(sess.account)
	return sess
}

// Charge implements Account.
func (a *account) Charge(n int64) error {
	var err error
	for began := time.Now(); ; time.Sleep(memoryPoll) {
		if err = a.limits.Charge(n); err == nil {
			return nil
		}
		if err == limits.ErrShare || time.Since(began) >= memoryWait {
			return fmt.Errorf("%w: %w", ErrNoMemory, err)
		}
		a.limits.Relieve(n, time.Now().Add(-evictAfter))
	}
}

// Release implements Account.
func (a *account) Release(n int64) { a.limits.Release(n) }

// ChargeState charges a change of the session state. An error wraps ErrNoMemory.
func (a *account) ChargeState(n int64) error {
	err := a.limits.ChargeState(n)
	if err == limits.ErrShort {
		a.limits.Relieve(n, time.Now().Add(-evictAfter))
		err = a.limits.ChargeState(n)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoMemory, err)
	}
	return nil
}

// Begun implements Account.
func (a *account) Begun() {
	now := time.Now()
	a.began.Store(now.UnixNano())
	a.limits.Wait(now)
}

// Finished implements Account.
func (a *account) Finished() {
	a.began.Store(0)
	a.limits.Wait(time.Time{})
}

// idle records that the session waits for the next message outside of a transaction. In a transaction it keeps its memory.
func (a *account) idle(now time.Time) { a.limits.Wait(now) }

// running records that a statement has arrived.
func (a *account) running() { a.limits.Wait(time.Time{}) }

// begunAt returns when the unfinished message was begun, or the zero time.
func (a *account) begunAt() time.Time {
	if began := a.began.Load(); began != 0 {
		return time.Unix(0, began)
	}
	return time.Time{}
}

func (a *account) close() { a.limits.Close() }

// endReason is why the VM ends a session that waits for its caller.
type endReason int32

const (
	endUnstarted endReason = iota + 1
	endNoMemory
	endSlowMessage
	endCrowded
)

func (r endReason) err() error {
	switch r {
	case endUnstarted:
		return fmt.Errorf("too many callers have not sent their startup message")
	case endNoMemory:
		return limits.ErrShort
	case endCrowded:
		return fmt.Errorf("the session was idle while other callers found no free one")
	}
	return fmt.Errorf("the message was not finished in time")
}

// interrupt ends the session when it waits for its caller. It does not block.
func (s *session) interrupt(reason endReason) {
	if s.ending.CompareAndSwap(0, int32(reason)) && reason == endSlowMessage {
		s.server.counters.slowMessages.Inc(1)
	}
	if !s.busy.Load() {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}
