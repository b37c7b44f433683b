package capacity

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"siskinrouter/internal/audit"
	"siskinrouter/internal/platform"
)

// measureAudit measures audit records and explanations.
func measureAudit(ctx context.Context, r *run) error {
	st := newStore()
	trail := audit.NewLog(st, r.count(audit.DefaultRecords))
	record := audit.Record{
		Who: "vm-0001/1780000000000000000", What: "primary changed", Object: "groups/region-0001-g1", ToRevision: 12,
		Cause:    "the primary region-0001-g1-s1 was suspected by VMs of two failure domains",
		Evidence: "primary region-0001-g1-s2 at 12/345678; no answer for 400 ms reported by vm-0001 in d01 and vm-0002 in d02",
	}
	for range r.count(audit.DefaultRecords) {
		if _, err := trail.Append(ctx, record); err != nil {
			return err
		}
	}
	o, err := st.Memory.Get(ctx, "audit/00001")
	if err != nil {
		return err
	}
	r.set("audit.bytes", float64(len(o.Value)))
	const known = 100
	before := st.calls.Load()
	for range known {
		if _, err := trail.Append(ctx, record); err != nil {
			return err
		}
	}
	r.set("audit.calls", float64(st.calls.Load()-before)/known)
	before = st.calls.Load()
	if _, err := audit.NewLog(st, r.count(audit.DefaultRecords)).Append(ctx, record); err != nil {
		return err
	}
	r.set("audit.first_calls", float64(st.calls.Load()-before))
	if err := r.burst(ctx, st, record); err != nil {
		return err
	}
	return r.explanations()
}

// slowStore answers after a few milliseconds, as the platform does, so that writers race as they
// would there.
type slowStore struct{ *store }

const platformLatency = 3 * time.Millisecond

func (s slowStore) Get(ctx context.Context, name string) (platform.Object, error) {
	time.Sleep(platformLatency)
	return s.store.Get(ctx, name)
}

func (s slowStore) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	time.Sleep(platformLatency)
	return s.store.List(ctx, prefix)
}

func (s slowStore) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	time.Sleep(platformLatency)
	return s.store.Put(ctx, name, version, value)
}

// burst measures the calls of VMs that append their first record at the same time, as after the loss
// of a failure domain.
func (r *run) burst(ctx context.Context, st *store, record audit.Record) error {
	writers := r.count(lostPrimaries)
	errs := make([]error, writers)
	before := st.calls.Load()
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() { _, errs[i] = audit.NewLog(slowStore{st}, r.count(audit.DefaultRecords)).Append(ctx, record) })
	}
	wg.Wait()
	r.set("audit.burst_calls", float64(st.calls.Load()-before))
	return errors.Join(errs...)
}

func (r *run) explanations() error {
	n := r.count(manyRequests)
	steps := []string{"2026-01-01T00:00:00.000000000Z", "read with floor 12/345678 sent to region-0001-g1-s2", "refused: target is too busy (53300)"}
	var perRequest float64
	bytes, _, err := heldBy(func() (x *audit.Explanations, err error) {
		x = audit.NewExplanations(n)
		perRequest, err = micros(float64(n), func() error {
			for i := range n {
				x.Add(fmt.Sprintf("vm-0001-%x", i), strings.Clone(steps[0]), strings.Clone(steps[1]), strings.Clone(steps[2]))
			}
			return nil
		})
		return x, err
	})
	r.set("explain.cpu", perRequest)
	r.set("explain.memory", bytes/float64(n))
	return err
}
