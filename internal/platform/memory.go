package platform

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// WatchWait is the longest time that the platform keeps a watch open without a change.
const WatchWait = 30 * time.Second

// MemoryStore is an in-memory Store for tests and for the stand-in platform. It injects no
// failures and is safe for concurrent use.
type MemoryStore struct {
	wait time.Duration

	mu         sync.Mutex
	revision   uint64
	byName     map[string]*list.Element // values are *memoryObject
	byRevision *list.List               // ordered by the revision of the last update
	changed    chan struct{}            // closed and replaced by each update
	vms        []VM
}

type memoryObject struct {
	Object
	revision uint64
}

// NewMemoryStore returns an empty store that keeps a watch open for at most wait.
func NewMemoryStore(wait time.Duration) *MemoryStore {
	return &MemoryStore{
		wait:       wait,
		byName:     map[string]*list.Element{},
		byRevision: list.New(),
		changed:    make(chan struct{}),
	}
}

// Get implements Store.
func (m *MemoryStore) Get(ctx context.Context, name string) (Object, error) {
	if err := checkCall(ctx, name); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byName[name]
	if !ok {
		return Object{}, fmt.Errorf("%q: %w", name, ErrNotFound)
	}
	return e.Value.(*memoryObject).copy(), nil
}

// List implements Store. Objects are sorted by name.
func (m *MemoryStore) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	if err := unavailable(ctx.Err()); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	objects := m.objectsAfter(prefix, 0)
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return objects, m.revision, nil
}

// Put implements Store.
func (m *MemoryStore) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	if err := checkCall(ctx, name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueSize {
		return 0, fmt.Errorf("%q: %w", name, ErrTooLarge)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.byName[name]
	if !ok {
		e = m.byRevision.PushBack(&memoryObject{Object: Object{Name: name}})
	}
	o := e.Value.(*memoryObject)
	if o.Version != version {
		if !ok {
			m.byRevision.Remove(e)
		}
		return 0, fmt.Errorf("%q is at version %d, not %d: %w", name, o.Version, version, ErrConflict)
	}
	m.revision++
	o.Version++
	o.Value = bytes.Clone(value)
	o.revision = m.revision
	m.byName[name] = e
	m.byRevision.MoveToBack(e)
	close(m.changed)
	m.changed = make(chan struct{})
	return o.Version, nil
}

// Watch implements Store. A revision that the store has not reached yet comes from an earlier
// instance of the store, so the watch returns every object at once.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, after uint64) ([]Object, uint64, error) {
	timer := time.NewTimer(m.wait)
	defer timer.Stop()
	for {
		objects, revision, changed := m.changesAfter(prefix, after)
		if len(objects) > 0 || revision < after {
			return objects, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, unavailable(ctx.Err())
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// VMs implements Store.
func (m *MemoryStore) VMs(ctx context.Context) ([]VM, error) {
	if err := unavailable(ctx.Err()); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.vms), nil
}

// SetVMs replaces the list that VMs returns.
func (m *MemoryStore) SetVMs(vms []VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = slices.Clone(vms)
}

// changesAfter returns the objects changed after a revision, the current revision and a channel that
// the next update closes.
func (m *MemoryStore) changesAfter(prefix string, after uint64) ([]Object, uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after > m.revision {
		after = 0
	}
	return m.objectsAfter(prefix, after), m.revision, m.changed
}

// objectsAfter returns the objects with the prefix whose last update is after a revision, oldest first.
func (m *MemoryStore) objectsAfter(prefix string, after uint64) []Object {
	var objects []Object
	for e := m.byRevision.Back(); e != nil; e = e.Prev() {
		o := e.Value.(*memoryObject)
		if o.revision <= after {
			break
		}
		if strings.HasPrefix(o.Name, prefix) {
			objects = append(objects, o.copy())
		}
	}
	slices.Reverse(objects)
	return objects
}

func (o *memoryObject) copy() Object {
	return Object{Name: o.Name, Version: o.Version, Value: bytes.Clone(o.Value)}
}

func checkCall(ctx context.Context, name string) error {
	return errors.Join(unavailable(ctx.Err()), CheckName(name))
}

// unavailable wraps a non-nil err in ErrUnavailable. The result also matches the cause, such as
// context.DeadlineExceeded.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
