package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"siskinrouter/internal/sleep"
	"time"
)

// With these limits an update fails after about 4 s of outage, so that an operator's command ends
// with a clear error.
const (
	updateAttempts  = 6
	updateRetryBase = 50 * time.Millisecond
	updateRetryMax  = time.Second
)

// ConflictError reports that an object no longer had the version that an update was based on. It
// matches ErrConflict. The caller may call Update again to build on the other version.
type ConflictError struct {
	Name  string
	Base  Object // what the update was based on; version 0 if the object did not exist
	Other Object // the object as it is now
	// MayHaveApplied means that a response was lost and several versions followed the base, so the
	// change may have taken effect before the other one replaced it.
	MayHaveApplied bool
}

// Error names the object and both versions.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%q was changed from version %d to %d by someone else", e.Name, e.Base.Version, e.Other.Version)
	if e.MayHaveApplied {
		text += "; this change may have taken effect in between"
	}
	return text
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Update changes an object by a conditional update and returns its new state. The function change
// receives the current value, nil if the object does not exist, and returns the new value; it is
// called once. A value equal to the current one is not written.
//
// After a lost response Update reads the object back and retries the change only if the object is
// still at the version that the change was based on. The next version with the same value is taken for
// this change, so a value that must be distinguishable from another writer's needs a unique part.
//
// Errors are ConflictError, the error of change, and the errors of a Store, together with
// ErrOutcomeUnknown if a response was lost. Only ErrOutcomeUnknown and ConflictError with MayHaveApplied
// leave open whether the change took effect.
func Update(ctx context.Context, store Store, name string, change func(old []byte) ([]byte, error)) (Object, error) {
	base, err := getOrZero(ctx, store, name)
	if err != nil {
		return Object{}, fmt.Errorf("read %q before its update: %w", name, err)
	}
	value, err := change(base.Value)
	if err != nil {
		return Object{}, err
	}
	if base.Version > 0 && bytes.Equal(base.Value, value) {
		return base, nil
	}
	u := update{store: store, base: base, value: value}
	return u.run(ctx)
}

// update is one conditional update that is retried until its outcome is known.
type update struct {
	store        Store
	base         Object
	value        []byte
	responseLost bool // the response to an attempt was lost, so the change may have taken effect
}

func (u *update) run(ctx context.Context) (Object, error) {
	wait := updateRetryBase
	for attempt := 1; ; attempt++ {
		done, o, err := u.attempt(ctx)
		if done {
			return o, err
		}
		if attempt == updateAttempts || sleep.For(ctx, max(jitter(wait), requestedDelay(err))) != nil {
			return Object{}, u.finalError(err)
		}
		wait = min(2*wait, updateRetryMax)
	}
}

// attempt sends the change once. It reports whether the outcome is known or final.
func (u *update) attempt(ctx context.Context) (bool, Object, error) {
	if u.responseLost {
		done, o, err := u.checkOutcome(ctx)
		if done || err != nil {
			return done, o, err
		}
	}
	version, err := u.store.Put(ctx, u.base.Name, u.base.Version, u.value)
	switch {
	case err == nil:
		return true, Object{Name: u.base.Name, Version: version, Value: u.value}, nil
	case errors.Is(err, ErrUnavailable):
		u.responseLost = true
		return false, Object{}, err
	case errors.Is(err, ErrConflict):
		return u.resolveConflict(ctx, err)
	case errors.Is(err, ErrOverQuota):
		return false, Object{}, err
	default:
		return true, Object{}, u.finalError(err)
	}
}

// resolveConflict reads the conflicting version, which may be the effect of an earlier attempt.
func (u *update) resolveConflict(ctx context.Context, conflict error) (bool, Object, error) {
	done, o, err := u.checkOutcome(ctx)
	switch {
	case done:
		return true, o, err
	case err != nil && u.responseLost:
		return false, Object{}, err
	case err != nil:
		return true, Object{}, fmt.Errorf("%w; the other version could not be read: %w", conflict, err)
	default:
		// The read returned the base although a conflict was reported, so the read was stale.
		return false, Object{}, conflict
	}
}

// checkOutcome reads the object back. It reports whether the outcome is known: the next version with
// the value of this change is this change, and any other version than the base is a conflict.
func (u *update) checkOutcome(ctx context.Context) (bool, Object, error) {
	now, err := getOrZero(ctx, u.store, u.base.Name)
	switch {
	case err != nil:
		return false, Object{}, err
	case now.Version == u.base.Version:
		return false, Object{}, nil
	case u.responseLost && now.Version == u.base.Version+1 && bytes.Equal(now.Value, u.value):
		return true, now, nil
	default:
		several := now.Version > u.base.Version+1
		return true, Object{}, &ConflictError{Name: u.base.Name, Base: u.base, Other: now, MayHaveApplied: u.responseLost && several}
	}
}

func (u *update) finalError(err error) error {
	if !u.responseLost {
		return fmt.Errorf("update of %q from version %d was not applied: %w", u.base.Name, u.base.Version, err)
	}
	return fmt.Errorf("update of %q from version %d: %w: %w", u.base.Name, u.base.Version, ErrOutcomeUnknown, err)
}

// requestedDelay returns the retry delay that the platform requested, at most updateRetryMax.
func requestedDelay(err error) time.Duration {
	var q *QuotaError
	if !errors.As(err, &q) {
		return 0
	}
	return min(q.RetryAfter, updateRetryMax)
}

// getOrZero returns an object, or one of version 0 if it does not exist.
func getOrZero(ctx context.Context, store Store, name string) (Object, error) {
	o, err := store.Get(ctx, name)
	if errors.Is(err, ErrNotFound) {
		return Object{Name: name}, nil
	}
	return o, err
}
