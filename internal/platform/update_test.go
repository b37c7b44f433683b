package platform_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/platform"
)

func add(line string) func([]byte) ([]byte, error) {
	return func(old []byte) ([]byte, error) { return append(old, line+"\n"...), nil }
}

// Guards against a change that is applied twice because the response to the first attempt was lost.
func TestUpdateAfterLostResponse(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, h := start(t, time.Second)
	for i, dropped := range []int{0, 1, 3} {
		s.SetFaults(devplatform.Faults{LoseAnswers: dropped})
		o, err := platform.Update(ctx, h, "a", add("line"))
		is.NoErr(err)
		is.Equal(o.Version, uint64(i+1))
		is.Equal(string(o.Value), strings.Repeat("line\n", i+1))
	}
}

// Guards against a retry that overtakes a slow first attempt, after which both are applied.
func TestUpdateWithLateFirstAttempt(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	const late = time.Second
	s, h := start(t, 100*time.Millisecond)
	began := time.Now()
	o, err := platform.Update(ctx, h, "a", func([]byte) ([]byte, error) {
		s.SetFaults(devplatform.Faults{DelayMS: int(late / time.Millisecond)})
		time.AfterFunc(50*time.Millisecond, func() { s.SetFaults(devplatform.Faults{}) })
		return []byte("line"), nil
	})
	is.NoErr(err)
	is.Equal(o.Version, uint64(1))
	is.True(time.Since(began) < late) // the first attempt is still in flight
	time.Sleep(late)
	o, err = h.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(o.Version, uint64(1))
}

// Guards against an operator's change that silently overwrites another one, and against a conflict
// error that does not show the other change.
func TestConflict(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, h := start(t, time.Second)
	_, err := platform.Update(ctx, h, "a", func([]byte) ([]byte, error) {
		_, err := platform.Update(ctx, h, "a", add("first"))
		return []byte("second\n"), err
	})
	var conflict *platform.ConflictError
	is.True(errors.As(err, &conflict))
	is.True(errors.Is(err, platform.ErrConflict))
	is.Equal(conflict.Base.Version, uint64(0))
	is.Equal(conflict.Other, platform.Object{Name: "a", Version: 1, Value: []byte("first\n")})
	is.True(!conflict.MayHaveApplied)
}

// overwritingStore is a store that loses the response to the first update, which another writer's update follows
// at once.
type overwritingStore struct {
	*platform.MemoryStore
	puts int
}

func (r *overwritingStore) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	v, err := r.MemoryStore.Put(ctx, name, version, value)
	if r.puts++; r.puts == 1 {
		_, _ = r.MemoryStore.Put(ctx, name, v, []byte("other"))
		err = platform.ErrUnavailable
	}
	return v, err
}

// Guards against reporting "not applied" for a change that took effect and was then replaced, and
// against a retry without reading the object back.
func TestLostResponseThenReplaced(t *testing.T) {
	is := is.New(t)
	r := &overwritingStore{MemoryStore: platform.NewMemoryStore(time.Second)}
	_, err := platform.Update(context.Background(), r, "a", add("mine"))
	var conflict *platform.ConflictError
	is.True(errors.As(err, &conflict))
	is.True(conflict.MayHaveApplied)
	is.Equal(conflict.Other.Version, uint64(2))
	is.Equal(r.puts, 1)
}

// Guards against an outage that is reported as a success, as "not applied", or not at all.
func TestUpdateDuringOutage(t *testing.T) {
	is := is.New(t)
	s, h := start(t, time.Second)
	s.SetFaults(devplatform.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := platform.Update(ctx, h, "a", add("line"))
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.True(!errors.Is(err, platform.ErrOutcomeUnknown)) // nothing was sent yet

	s.SetFaults(devplatform.Faults{})
	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err = platform.Update(ctx, h, "a", func([]byte) ([]byte, error) {
		s.SetFaults(devplatform.Faults{Down: true})
		return []byte("line"), nil
	})
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.True(errors.Is(err, platform.ErrOutcomeUnknown))
}

// Guards against an update that fails because the quota is exceeded for a short time.
func TestUpdateOverQuota(t *testing.T) {
	is := is.New(t)
	s, h := start(t, time.Second)
	o, err := platform.Update(context.Background(), h, "a", func([]byte) ([]byte, error) {
		s.SetFaults(devplatform.Faults{OverQuota: true})
		time.AfterFunc(100*time.Millisecond, func() { s.SetFaults(devplatform.Faults{}) })
		return []byte("line"), nil
	})
	is.NoErr(err)
	is.Equal(o.Version, uint64(1))
}

// Guards against lost or duplicate changes when operators update concurrently while responses are lost.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, h := start(t, time.Second)
	const operators, changes = 4, 10
	stop := time.NewTicker(5 * time.Millisecond)
	defer stop.Stop()
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-stop.C:
				s.SetFaults(devplatform.Faults{LoseAnswers: 2})
			}
		}
	}()
	var wg sync.WaitGroup
	for op := range operators {
		wg.Go(func() {
			for n := range changes {
				addUntilApplied(ctx, t, h, fmt.Sprintf("%d-%d", op, n))
			}
		})
	}
	wg.Wait()
	close(done)
	o, err := h.Get(ctx, "a")
	is.NoErr(err)
	lines := strings.Fields(string(o.Value))
	is.Equal(len(lines), operators*changes)
	slices.Sort(lines)
	is.Equal(len(slices.Compact(lines)), operators*changes)
}

// addUntilApplied adds a line. After a conflict it checks whether the line was added before it retries.
func addUntilApplied(ctx context.Context, t *testing.T, h *platform.HTTPStore, line string) {
	for {
		_, err := platform.Update(ctx, h, "a", add(line))
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return
		case !errors.As(err, &conflict):
			t.Error(err)
			return
		case conflict.MayHaveApplied && slices.Contains(strings.Fields(string(conflict.Other.Value)), line):
			return
		}
	}
}
