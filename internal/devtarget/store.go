package devtarget

import (
	"siskinrouter/internal/session"
)

// Write is one key set by a commit. ADD is logged as the resulting value.
type Write struct {
	Key   string
	Value string
}

// Request is a request id recorded by a commit, with the outcome tag of the request.
type Request struct {
	ID  string
	Tag string
}

// Commit is the content of a log entry: the effect of one transaction.
type Commit struct {
	Client   string // application_name of the connection
	Writes   []Write
	Requests []Request
}

// outcome is a recorded request and the position of the transaction that recorded it.
type outcome struct {
	tag string
	at  session.Position
}

// store holds the state that results from applying the log up to an offset. Each applied
// entry keeps what it replaced, so that a divergent tail can be taken back.
type store struct {
	values   map[string]string
	requests map[string]outcome
	undo     [][]replaced // undo[i] takes back the entry at offset i+1
}

type replaced struct {
	key     string
	value   string
	existed bool
	request bool // key is a request id
}

func newStore() *store {
	return &store{values: map[string]string{}, requests: map[string]outcome{}}
}

// applied returns the offset of the last applied entry.
func (s *store) applied() uint64 { return uint64(len(s.undo)) }

// apply applies the entry that follows applied().
func (s *store) apply(c Commit, at session.Position) {
	var undo []replaced
	for _, w := range c.Writes {
		old, existed := s.values[w.Key]
		undo = append(undo, replaced{key: w.Key, value: old, existed: existed})
		s.values[w.Key] = w.Value
	}
	for _, r := range c.Requests {
		undo = append(undo, replaced{key: r.ID, request: true})
		s.requests[r.ID] = outcome{tag: r.Tag, at: at}
	}
	s.undo = append(s.undo, undo)
}

// takeBack undoes every applied entry at offset from and above.
func (s *store) takeBack(from uint64) {
	for s.applied() >= from && s.applied() > 0 {
		last := s.undo[len(s.undo)-1]
		s.undo = s.undo[:len(s.undo)-1]
		for i := len(last) - 1; i >= 0; i-- {
			r := last[i]
			switch {
			case r.request:
				delete(s.requests, r.key)
			case r.existed:
				s.values[r.key] = r.value
			default:
				delete(s.values, r.key)
			}
		}
	}
}

// tx is an open transaction.
type tx struct {
	implicit bool // ends with the query or Sync that started it
	readOnly bool
	term     uint64 // term in which the first write was made; 0 before it
	commit   Commit
	written  map[string]string
	locks    []string
}

// keyLock is the exclusive lock of a key. Waiters receive it in the order of arrival.
type keyLock struct {
	owner   *tx
	waiters []lockWaiter
}

type lockWaiter struct {
	tx    *tx
	ready chan struct{}
}

type lockTable map[string]*keyLock

// acquire takes the lock of key for t, or returns a channel that is closed once t holds it.
func (l lockTable) acquire(key string, t *tx) <-chan struct{} {
	k, held := l[key]
	if !held {
		l[key] = &keyLock{owner: t}
		t.locks = append(t.locks, key)
		return nil
	}
	if k.owner == t {
		return nil
	}
	w := lockWaiter{tx: t, ready: make(chan struct{})}
	k.waiters = append(k.waiters, w)
	return w.ready
}

// abandon removes the waiting request of t for key. A lock that was handed over in the
// meantime stays with t until release.
func (l lockTable) abandon(key string, t *tx) {
	k, held := l[key]
	if !held {
		return
	}
	for i, w := range k.waiters {
		if w.tx == t {
			k.waiters = append(k.waiters[:i], k.waiters[i+1:]...)
			return
		}
	}
}

// release gives every lock of t to its next waiter.
func (l lockTable) release(t *tx) {
	for _, key := range t.locks {
		k := l[key]
		if len(k.waiters) == 0 {
			delete(l, key)
			continue
		}
		next := k.waiters[0]
		k.waiters = k.waiters[1:]
		k.owner = next.tx
		next.tx.locks = append(next.tx.locks, key)
		close(next.ready)
	}
	t.locks = nil
}
