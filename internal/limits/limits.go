// Package limits accounts for the memory that callers occupy on a VM. A Budget bounds the bytes of the whole process, an
// Account the bytes of one connection. The package has no clock and starts no goroutine. A nil Budget and what it opens
// limit nothing.
package limits

import (
	"errors"
	"sync"
	"time"
)

const (
	// SmallBytes is the amount up to which a connection or a reservation may use the reserve, so that ordinary
	// requests go on while large ones are refused. A message of 4 KiB takes twice its size while it arrives.
	SmallBytes = 8 << 10
	// reserveParts, shareParts, stateParts and answerParts divide the budget: a quarter is the reserve, a connection may
	// use a quarter, and session state half. The receiver of an answer needs three times its size until it is decoded,
	// which has to fit beside the reserve.
	reserveParts = 4
	shareParts   = 4
	stateParts   = 2
	answerParts  = 6
	// minShare and minAnswer allow a message of 1 MiB, and an answer to it, on the smallest VM.
	minShare  = 4 << 20
	minAnswer = 2 << 20
)

// Errors of charges. Nothing has been charged.
var (
	// ErrShort means that the budget of the process is used up.
	ErrShort = errors.New("the memory for callers is short")
	// ErrShare means that a connection would exceed its share.
	ErrShare = errors.New("the connection exceeds its share of the memory for callers")
)

// Config configures a Budget. Values that are 0 are derived from Bytes.
type Config struct {
	Bytes  int64 // all charges together
	Share  int64 // charges of one account
	Answer int64 // rows of one answer
}

// WithDefaults returns the configuration with the derived values.
func (c Config) WithDefaults() Config {
	if c.Share == 0 {
		c.Share = max(c.Bytes/shareParts, minShare)
	}
	if c.Answer == 0 {
		c.Answer = max(c.Bytes/answerParts, minAnswer)
	}
	return c
}

// Budget is the memory for callers of a process.
type Budget struct {
	config Config
	mu     sync.Mutex
	used   int64
	state  int64 // the part of used that is session state
	// ending is what evicted accounts still hold.
	ending  int64
	evicted int64 // accounts
	refused int64 // charges
	large   map[*Account]struct{}
}

// New returns an unused budget.
func New(c Config) *Budget {
	return &Budget{config: c.WithDefaults(), large: map[*Account]struct{}{}}
}

// Stats is the state of a budget.
type Stats struct{ Used, State, Refused, Evicted int64 }

// Stats returns the current state.
func (b *Budget) Stats() Stats {
	if b == nil {
		return Stats{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Used: b.used, State: b.state, Refused: b.refused, Evicted: b.evicted}
}

// MaxAnswer returns the limit on the rows of one answer; 0 means no limit.
func (b *Budget) MaxAnswer() int64 {
	if b == nil {
		return 0
	}
	return b.config.Answer
}

// fits reports whether n more bytes may be charged by a holder that then has total bytes. The mutex must be held.
func (b *Budget) fits(n, total int64) bool {
	limit := b.config.Bytes
	if total > SmallBytes {
		limit -= limit / reserveParts
	}
	return b.used+n <= limit
}

// Account holds the charges of one connection.
type Account struct {
	b           *Budget
	evict       func()
	used, state int64
	// since is when the connection began to wait for its caller; it is evicted only while it waits.
	since   time.Time
	ending  int64 // part of Budget.ending
	evicted bool
	closed  bool
}

// Open returns an account without charges. evict is called at most once, if the account has to give up its memory. It must
// not block or use the budget.
func (b *Budget) Open(evict func()) *Account {
	if b == nil {
		return nil
	}
	return &Account{b: b, evict: evict}
}

// Charge charges the bytes of a message.
func (a *Account) Charge(n int64) error { return a.charge(n, 0) }

// Release returns bytes that were charged.
func (a *Account) Release(n int64) { _ = a.charge(-n, 0) }

// ChargeState charges a change of the session's state, which may be negative.
func (a *Account) ChargeState(n int64) error { return a.charge(n, n) }

func (a *Account) charge(n, state int64) error {
	if a == nil || n == 0 {
		return nil
	}
	b := a.b
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case a.closed:
		return ErrShort
	case n <= 0:
	case a.used+n > b.config.Share:
		b.refused++
		return ErrShare
	case !b.fits(n, a.used+n) || state > 0 && a.state+state > SmallBytes && b.state+state > b.config.Bytes/stateParts:
		b.refused++
		return ErrShort
	}
	a.used += n
	a.state += state
	b.used += n
	b.state += state
	if a.used > SmallBytes {
		b.large[a] = struct{}{}
	} else {
		delete(b.large, a)
	}
	return nil
}

// Wait records that the connection has waited for its caller since a time; the zero time means that it does not wait. A
// connection that waits may be evicted.
func (a *Account) Wait(since time.Time) {
	if a == nil {
		return
	}
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.since = since
}

// Close returns all charges.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	b.used -= a.used
	b.state -= a.state
	b.ending -= a.ending
	delete(b.large, a)
	a.used, a.state, a.ending = 0, 0, 0
}

// Relieve evicts the largest accounts that have waited for their callers since before a time, until need bytes are about
// to become free.
func (b *Budget) Relieve(need int64, before time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	var victims []*Account
	for b.ending < need {
		var largest *Account
		for a := range b.large {
			if a.evicted || a.since.IsZero() || !a.since.Before(before) {
				continue
			}
			if largest == nil || a.used > largest.used {
				largest = a
			}
		}
		if largest == nil {
			break
		}
		largest.evicted = true
		largest.ending = largest.used
		b.ending += largest.ending
		b.evicted++
		victims = append(victims, largest)
	}
	b.mu.Unlock()
	for _, a := range victims {
		a.evict()
	}
}

// Relieve evicts other accounts if that can make room for a charge.
func (a *Account) Relieve(need int64, before time.Time) {
	if a != nil {
		a.b.Relieve(need, before)
	}
}
