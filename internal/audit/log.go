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

// DefaultRecords is the default capacity of the trail in records, about 40 hours at 5,800 changes a
// day. All writers must use the same number.
const DefaultRecords = 10_000

// The platform cannot delete objects, so the trail reuses a fixed number of objects: the record with
// sequence number S is version (S-1)/size+1 of object (S-1)%size+1. A conditional update that
// expects the previous version creates exactly one record with number S. There are no gaps, because a
// writer uses a number only after it has seen that the previous one is taken.
const (
	namePrefix = "audit/"
	nameFormat = namePrefix + "%05d"
	blockSize  = 100 // objects that share a name prefix, read by one call
	maxObjects = 99_999
)

const (
	appendAttempts         = 6
	collisionsBeforeSearch = 2 // consecutive collisions after which the end of the trail is searched again
	retryBase              = 50 * time.Millisecond
	collisionBase          = 5 * time.Millisecond
	collisionMax           = 4 * time.Second
	maxDoublings           = 10
	retryMax               = 5 * time.Second
)

// errOverwritten means that the trail wrapped around before the outcome of an append was known.
var errOverwritten = errors.New("the place of the record was reused before it could be read back")

// Log is the audit trail, stored as platform objects. It is safe for concurrent use.
type Log struct {
	store platform.Store
	size  uint64

	mu   sync.Mutex
	next uint64 // first sequence number that may be free; 0 if not known
}

// NewLog returns the trail in store that keeps the given number of records, at most 99,999.
func NewLog(store platform.Store, records int) *Log {
	return &Log{store: store, size: uint64(min(max(records, 1), maxObjects))}
}

// Append writes a record and returns it with its sequence number. It fails after a few attempts;
// platform.ErrOutcomeUnknown then means that the record may have been written.
func (l *Log) Append(ctx context.Context, r Record) (Record, error) {
	e := &pendingRecord{record: r.complete()}
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

// pendingRecord is a record that is not yet known to be in the trail. Its sequence number is 0 until one is
// chosen, and does not change while an attempt to write the record there may have taken effect.
type pendingRecord struct {
	record                Record
	outcomeUnknown        bool // a response was lost, so the record may have been written at its number
	consecutiveCollisions int
	totalCollisions       int
}

func (e *pendingRecord) unwritten(err error) error {
	if e.outcomeUnknown {
		return fmt.Errorf("audit record %q: %w: %w", e.record.ID, platform.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("audit record %q was not written: %w", e.record.ID, err)
}

// transient reports whether an append that failed with err should be retried.
func transient(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOverQuota)
}

// write stores e at the first free number. After a transient error it can be called again with the same
// pendingRecord, and does not write it twice.
func (l *Log) write(ctx context.Context, e *pendingRecord) error {
	for {
		if err := l.chooseSequence(ctx, e); err != nil {
			return err
		}
		if e.outcomeUnknown {
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
		if e.outcomeUnknown {
			continue
		}
		l.skipTaken(e)
		if err := sleep.For(ctx, jitter(e.collisionWait())); err != nil {
			return err
		}
	}
}

// collisionWait returns the backoff before the next attempt, which grows with the number of collisions.
// Without it, 233 concurrent writers made 182,668 platform calls instead of 20,003.
func (e *pendingRecord) collisionWait() time.Duration {
	return min(collisionBase<<min(e.totalCollisions, maxDoublings), collisionMax)
}

// chooseSequence chooses a sequence number unless e has one.
func (l *Log) chooseSequence(ctx context.Context, e *pendingRecord) error {
	if e.record.Sequence != 0 {
		return nil
	}
	l.mu.Lock()
	next := l.next
	l.mu.Unlock()
	if next == 0 || e.consecutiveCollisions >= collisionsBeforeSearch {
		var err error
		if next, err = l.findEnd(ctx); err != nil {
			return fmt.Errorf("search the end of the audit trail: %w", err)
		}
		l.setNext(next)
		e.consecutiveCollisions = 0
	}
	e.record.Sequence = next
	return nil
}

func (l *Log) put(ctx context.Context, e *pendingRecord) error {
	value, err := json.Marshal(e.record)
	if err != nil {
		return fmt.Errorf("encode audit record: %w", err)
	}
	name, version := l.objectVersion(e.record.Sequence)
	_, err = l.store.Put(ctx, name, version-1, value)
	if err == nil {
		l.setNext(e.record.Sequence + 1)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		e.outcomeUnknown = true
	}
	return err
}

// readBack checks whether e was written at its number. If another record is there, it releases the
// number.
func (l *Log) readBack(ctx context.Context, e *pendingRecord) (bool, error) {
	name, version := l.objectVersion(e.record.Sequence)
	o, err := getOrZero(ctx, l.store, name)
	switch {
	case err != nil:
		return false, err
	case o.Version == version-1:
		return false, nil
	case o.Version < version:
		// The store has lost objects since the number was chosen, so the end is searched again.
		e.outcomeUnknown = false
		e.record.Sequence = 0
		e.consecutiveCollisions = collisionsBeforeSearch
		return false, nil
	case o.Version > version:
		return false, errOverwritten
	case decodeRecord(e.record.Sequence, o.Value).ID == e.record.ID:
		l.setNext(e.record.Sequence + 1)
		return true, nil
	default:
		e.outcomeUnknown = false
		l.skipTaken(e)
		return false, nil
	}
}

// skipTaken advances past the number of e, at which another record was found.
func (l *Log) skipTaken(e *pendingRecord) {
	l.setNext(e.record.Sequence + 1)
	e.consecutiveCollisions++
	e.totalCollisions++
	e.record.Sequence = 0
}

func (l *Log) setNext(next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = next
}

// objectVersion returns the object name and version at which a sequence number is stored.
func (l *Log) objectVersion(sequence uint64) (string, uint64) {
	return fmt.Sprintf(nameFormat, l.objectIndex(sequence)), (sequence-1)/l.size + 1
}

// objectIndex returns the number, from 1 to size, of the object that stores a sequence number.
func (l *Log) objectIndex(sequence uint64) uint64 { return (sequence-1)%l.size + 1 }

// findEnd returns the first free sequence number. Objects of the current lap have a higher version than
// the others and come first, so a binary search finds where they end.
func (l *Log) findEnd(ctx context.Context) (uint64, error) {
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

// jitter returns a time between half of d and d, so that writers that collided do not collide again.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }
