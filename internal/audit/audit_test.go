package audit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/platform"
)

// flakyStore simulates outages, and responses that are lost after the change was applied.
type flakyStore struct {
	*platform.MemoryStore
	down            atomic.Bool
	responsesToLose atomic.Int32 // number of further responses to lose
	afterLoss       func()       // runs before the lost response is reported; may be nil
}

func (f *flakyStore) Get(ctx context.Context, name string) (platform.Object, error) {
	if f.down.Load() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return f.MemoryStore.Get(ctx, name)
}

func (f *flakyStore) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	if f.down.Load() {
		return 0, platform.ErrUnavailable
	}
	v, err := f.MemoryStore.Put(ctx, name, version, value)
	if err == nil && f.responsesToLose.Load() > 0 {
		f.responsesToLose.Add(-1)
		if f.afterLoss != nil {
			f.afterLoss()
		}
		return 0, platform.ErrUnavailable
	}
	return v, err
}

func newFlaky() *flakyStore { return &flakyStore{MemoryStore: platform.NewMemoryStore(time.Second)} }

// Guards against overwritten records, gaps, and a history that mixes laps because a wrong sequence number is
// taken for the end of the trail after it has wrapped around.
func TestTrailWrapsAround(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	for _, size := range []int{1, 2, 5, 150} {
		store := newFlaky()
		for n := range 2*size + 3 {
			// A new log has to find the end, as a new VM does.
			r, err := NewLog(store, size).Append(ctx, Record{What: fmt.Sprint(n)})
			is.NoErr(err)
			is.Equal(r.Sequence, uint64(n+1))
		}
		records, err := NewLog(store, size).History(ctx, 0, nil)
		is.NoErr(err)
		is.Equal(len(records), size)
		for i, r := range records {
			is.Equal(r.Sequence, uint64(size+3+i+1))
			is.Equal(r.What, fmt.Sprint(size+3+i))
		}
		objects, _, err := store.List(ctx, "")
		is.NoErr(err)
		is.Equal(len(objects), size)
	}
}

// Guards against records that are lost, duplicated or out of a writer's order: writers race for sequence
// numbers while responses are lost and the platform has outages.
func TestRacingWriters(t *testing.T) {
	is := is.New(t)
	stand := devplatform.New(devplatform.Config{WritesPerSecond: devplatform.Unlimited, ReadsPerSecond: devplatform.Unlimited})
	server := httptest.NewServer(stand.Handler())
	defer server.Close()
	store, err := platform.NewHTTPStore(server.URL, platform.Options{})
	is.NoErr(err)
	defer store.Close()
	const writers, records = 4, 20
	var wg sync.WaitGroup
	for w := range writers {
		r := NewRecorder(NewLog(store, 1000), "test", records)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		wg.Go(func() { _ = r.Run(ctx) })
		wg.Go(func() {
			defer cancel()
			for n := range records {
				r.Record(Record{Who: fmt.Sprint(w), ToRevision: uint64(n)})
			}
			for r.Written() < records {
				stand.SetFaults(devplatform.Faults{LoseAnswers: 1, Down: rand.IntN(20) == 0})
				time.Sleep(3 * time.Millisecond)
				stand.SetFaults(devplatform.Faults{LoseAnswers: 1})
				time.Sleep(3 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	stand.SetFaults(devplatform.Faults{})
	got, err := NewLog(store, 1000).History(context.Background(), 0, nil)
	is.NoErr(err)
	is.Equal(len(got), writers*records)
	ids := map[string]bool{}
	next := map[string]uint64{}
	for i, r := range got {
		is.Equal(r.Sequence, uint64(i+1))
		is.Equal(r.ToRevision, next[r.Who])
		next[r.Who]++
		ids[r.ID] = true
	}
	is.Equal(len(ids), writers*records)
}

// Guards against an unbounded buffer, against records lost in an outage while the buffer has space, and
// against drops that are not reported in the trail.
func TestRecorderDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFlaky()
		store.down.Store(true)
		l := NewLog(store, 100)
		r := NewRecorder(l, "vm1", 3)
		for n := range 5 {
			is.Equal(r.Record(Record{What: fmt.Sprint(n)}), n < 3)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(time.Hour)
		is.Equal(r.Written(), int64(0))
		is.Equal(r.Dropped(), int64(2))
		store.down.Store(false)
		time.Sleep(time.Minute)
		cancel()
		is.NoErr(<-ended)
		records, err := l.History(context.Background(), 0, nil)
		is.NoErr(err)
		is.Equal(len(records), 4)
		is.Equal(records[2].What, "2")
		is.Equal(records[3].What, WhatDropped)
		is.Equal(records[3].Evidence, "2 records")
		is.True(records[0].When.Before(time.Now().Add(-time.Hour))) // the time of the change, not of the append
	})
}

// Guards against buffered records that are lost at a graceful shutdown, and against a shutdown that
// waits for the end of an outage.
func TestRecorderDrains(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := newFlaky()
			store.down.Store(down)
			r := NewRecorder(NewLog(store, 100), "vm1", 10)
			for range 10 {
				r.Record(Record{})
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			began := time.Now()
			is.NoErr(r.Run(ctx))
			is.True(time.Since(began) <= drainTimeout)
			is.Equal(r.Written() == 10, !down)
		})
	}
}

// Guards against a record that is written twice because its object was reused before the record could be read
// back.
func TestOverwrittenBeforeReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		store := newFlaky()
		store.responsesToLose.Store(1)
		store.afterLoss = func() {
			_, err := NewLog(store.MemoryStore, 1).Append(ctx, Record{What: "other"})
			is.NoErr(err)
		}
		l := NewLog(store, 1)
		_, err := l.Append(ctx, Record{What: "mine"})
		is.True(errors.Is(err, errOverwritten))
		records, err := l.History(ctx, 0, nil)
		is.NoErr(err)
		is.Equal(len(records), 1)
		is.Equal(records[0].What, "other")
	})
}

// Guards against an append that never returns when the store has lost its objects, and against an
// unknown outcome that is reported as "not written".
func TestAppendAfterLossOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		store := newFlaky()
		l := NewLog(store, 2)
		for range 5 {
			_, err := l.Append(ctx, Record{})
			is.NoErr(err)
		}
		store.responsesToLose.Store(1)
		store.afterLoss = func() { store.MemoryStore = platform.NewMemoryStore(time.Second) }
		r, err := l.Append(ctx, Record{What: "mine"})
		is.NoErr(err)
		is.Equal(r.Sequence, uint64(1))

		store.responsesToLose.Store(1)
		store.afterLoss = func() { store.down.Store(true) }
		_, err = l.Append(ctx, Record{})
		is.True(errors.Is(err, platform.ErrOutcomeUnknown))
		_, err = NewLog(store, 2).Append(ctx, Record{}) // nothing is sent before the end is known
		is.True(errors.Is(err, platform.ErrUnavailable))
		is.True(!errors.Is(err, platform.ErrOutcomeUnknown))
	})
}

// Guards against a history that ignores its limit or filter, or fails on one damaged record.
func TestHistory(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFlaky()
	l := NewLog(store, 300)
	for n := range 250 {
		_, err := l.Append(ctx, Record{Object: []string{"contract", "keys"}[n%2], Evidence: strings.Repeat("é", 4000)})
		is.NoErr(err)
	}
	_, err := store.Put(ctx, "audit/00251", 0, []byte("{"))
	is.NoErr(err)
	records, err := l.History(ctx, 3, nil)
	is.NoErr(err)
	is.Equal(len(records), 3)
	is.Equal(records[2].What, WhatUnreadable)
	is.Equal(records[2].Sequence, uint64(251))
	is.True(len(records[0].Evidence) <= maxLongText)
	records, err = l.History(ctx, 0, func(r Record) bool { return r.Object == "contract" })
	is.NoErr(err)
	is.Equal(len(records), 125)
	is.Equal(records[0].Sequence, uint64(1))
}

// Guards against explanations that grow without bound and against the loss of recent ones.
func TestExplanations(t *testing.T) {
	is := is.New(t)
	x := NewExplanations(2)
	x.Add("a", "one")
	x.Add("a", "two")
	x.Add("b")
	steps, ok := x.Get("a")
	is.True(ok)
	is.Equal(steps, []string{"one", "two"})
	x.Add("c", make([]string, 100)...)
	x.Add("c", strings.Repeat("x", 10_000))
	_, ok = x.Get("a")
	is.True(!ok)
	steps, ok = x.Get("b")
	is.True(ok)
	is.Equal(len(steps), 0)
	steps, _ = x.Get("c")
	is.Equal(len(steps), maxSteps)
	x.Add("d", strings.Repeat("x", 10_000))
	steps, _ = x.Get("d")
	is.Equal(len(steps[0]), maxStepText)
}
