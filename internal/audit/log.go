package audit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"siskinrouter/internal/platform"
	"siskinrouter/internal/sleep"
)

// DefaultRecords is the number of records that the trail keeps, about 40 hours at 5,800 changes a
// day. All writers must use the same number.
const DefaultRecords = 10_000

// The platform cannot delete objects, so the trail reuses a fixed number of objects: the record with
// sequence number S is version (S-1)/size+1 of object (S-1)%size+1. A conditional update that
// expects the version before creates exactly one record with number S. There are no gaps, because a
// writer uses a number only after it saw that the one before is taken.
const (
	namePrefix = "audit/"
	nameFormat = namePrefix + "%05d"
	blockSize  = 100 // objects that share a name prefix, read by one call
	maxSlots   = 99_999
)

const (
	appendAttempts = 6
	collisionsSeek = 2 // collisions in a row after which the end of the trail is searched again
	retryBase      = 50 * time.Millisecond
	collisionBase  = 5 * time.Millisecond
	collisionMax   = 4 * time.Second
	maxDoublings   = 10
	retryMax       = 5 * time.Second
)

// errOverwritten means that the trail was filled once over before the outcome of an append was known.
var errOverwritten = errors.New("the place of the record was reused before it could be read back")

// Log is the trail in the platform. It is safe for concurrent use.
type Log struct {
	store platform.Store
	size  uint64

	mu   sync.Mutex
	next uint64 // first sequence number that may be free; 0 if not known
}

// NewLog returns the trail in store that keeps the given number of records, at most 99,999.
func NewLog(store platform.Store, records int) *Log {
	return &Log{store: store, size: uint64(min(max(records, 1), maxSlots))}
}

// Append writes a record and returns it with its sequence number. It fails after a few attempts;
// platform.ErrOutcomeUnknown then means that the record may have been written.
func (l *Log) Append(ctx context.Context, r Record) (Record, error) {
	e := &entry{record: r.complete()}
	wait := retryBase
	for attempt := 1; ; attempt++ {
		err := l.write(ctx, e)
		if err == nil || !transient(err) {
			return e.record, err
		}
		if attempt == appendAttempts || sleep.For(ctx, jitter(wait)) != nil {
			return e.record, e.unwritten(err)
		}
		wait = min(2*wait, retryMax)
	}
}

// entry is a record on its way into the trail. Its sequence number is 0 until a place is chosen, and
// stays the same while an attempt to write it there may have taken effect.
type entry struct {
	record     Record
	lost       bool // an answer was lost, so the record may have been written at its number
	collisions int
	contended  int // collisions in total
}

func (e *entry) unwritten(err error) error {
	if e.lost {
		return fmt.Errorf("audit record %q: %w: %w", e.record.ID, platform.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("audit record %q was not written: %w", e.record.ID, err)
}

// transient reports whether an append that failed with err should be repeated.
func transient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOverQuota)
}

// write puts the entry at the first free number. After a transient error it can be called again with
// the same entry, and does not write it twice.
func (l *Log) write(ctx context.Context, e *entry) error {
	for {
		if err := l.place(ctx, e); err != nil {
			return err
		}
		if e.lost {
			written, err := l.readBack(ctx, e)
			if written || err != nil {
				return err
			}
			if e.record.Sequence == 0 {
				continue
			}
		}
		err := l.put(ctx, e)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
		if e.lost {
			continue
		}
		l.collided(e)
		if err := sleep.For(ctx, jitter(e.collisionWait())); err != nil {
			return err
		}
	}
}

// collisionWait returns the time before the next attempt, which grows with the collisions so far.
// Without it, 233 writers at once made 182,668 platform calls instead of 20,003.
func (e *entry) collisionWait() time.Duration {
	return min(collisionBase<<min(e.contended, maxDoublings), collisionMax)
}

// place chooses a sequence number unless the entry has one.
func (l *Log) place(ctx context.Context, e *entry) error {
	if e.record.Sequence != 0 {
		return nil
	}
	l.mu.Lock()
	next := l.next
	l.mu.Unlock()
	if next == 0 || e.collisions >= collisionsSeek {
		var err error
		if next, err = l.end(ctx); err != nil {
			return fmt.Errorf("search the end of the audit trail: %w", err)
		}
		l.setNext(next)
		e.collisions = 0
	}
	e.record.Sequence = next
	return nil
}

func (l *Log) put(ctx context.Context, e *entry) error {
	value, err := json.Marshal(e.record)
	if err != nil {
		return fmt.Errorf("encode audit record: %w", err)
	}
	name, version := l.slot(e.record.Sequence)
	_, err = l.store.Put(ctx, name, version-1, value)
	if err == nil {
		l.setNext(e.record.Sequence + 1)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		e.lost = true
	}
	return err
}

// readBack looks whether the entry was written at its number. If another record is there, it gives
// the number up.
func (l *Log) readBack(ctx context.Context, e *entry) (bool, error) {
	name, version := l.slot(e.record.Sequence)
	o, err := getOrZero(ctx, l.store, name)
	switch {
	case err != nil:
		return false, err
	case o.Version == version-1:
		return false, nil
	case o.Version < version:
		// The store holds less than when the number was chosen, so the end is searched again.
		e.lost = false
		e.record.Sequence = 0
		e.collisions = collisionsSeek
		return false, nil
	case o.Version > version:
		return false, errOverwritten
	case decodeRecord(e.record.Sequence, o.Value).ID == e.record.ID:
		l.setNext(e.record.Sequence + 1)
		return true, nil
	default:
		e.lost = false
		l.collided(e)
		return false, nil
	}
}

// collided moves on after another record was found at the number of the entry.
func (l *Log) collided(e *entry) {
	l.setNext(e.record.Sequence + 1)
	e.collisions++
	e.contended++
	e.record.Sequence = 0
}

func (l *Log) setNext(next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = next
}

// slot returns the object and the version of a sequence number.
func (l *Log) slot(sequence uint64) (string, uint64) {
	return fmt.Sprintf(nameFormat, l.index(sequence)), (sequence-1)/l.size + 1
}

// index returns the number of the object of a sequence number, from 1 to size.
func (l *Log) index(sequence uint64) uint64 { return (sequence-1)%l.size + 1 }

// end returns the first free sequence number. Objects of the current lap have a higher version than
// the others and come first, so a binary search finds where they end.
func (l *Log) end(ctx context.Context) (uint64, error) {
	first, err := getOrZero(ctx, l.store, fmt.Sprintf(nameFormat, 1))
	if err != nil || first.Version == 0 {
		return 1, err
	}
	lap := first.Version
	taken := 1 + sort.Search(int(l.size)-1, func(i int) bool {
		if err != nil {
			return true
		}
		var o platform.Object
		o, err = getOrZero(ctx, l.store, fmt.Sprintf(nameFormat, i+2))
		return o.Version < lap
	})
	return (lap-1)*l.size + uint64(taken) + 1, err
}

// getOrZero returns an object, or one of version 0 if it does not exist.
func getOrZero(ctx context.Context, store platform.Store, name string) (platform.Object, error) {
	o, err := store.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Name: name}, nil
	}
	return o, err
}

// jitter returns a time between half of d and d, so that writers that met do not meet again.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }
