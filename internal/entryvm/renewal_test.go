package entryvm

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
)

// countingStore counts the listings and record reads.
type countingStore struct {
	directory.Store
	listing      directory.Listing
	lists, reads atomic.Int64
}

func (s *countingStore) List(context.Context, directory.Kind) (directory.Listing, error) {
	s.lists.Add(1)
	return s.listing, nil
}

func (s *countingStore) OwnerRecord(context.Context, string) (directory.Entry, error) {
	s.reads.Add(1)
	return s.listing.Entries[0], nil
}

// Guards against an owner of many services that reads each record from the store while the voters do not renew its
// leases: 230 services made some 1,500 calls a second.
func TestManyRecordsAreReadTogether(t *testing.T) {
	is := is.New(t)
	store := &countingStore{}
	logger := log.New(io.Discard)
	d := New(Settings{Name: "a"}, Dependencies{Store: store}, logger, metrics.NewRegistry())
	const services = 40
	for i := range services {
		record := directory.OwnerRecord{Service: fmt.Sprint(i), Epoch: 1, Holder: d.self.RunID()}
		d.ownership.leases[record.Service] = lease.New(d.bootClock(), record)
		store.listing.Entries = append(store.listing.Entries,
			directory.Entry{Name: record.Service, Revision: 1, OwnerRecord: &record})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*recordReadInterval)
	defer cancel()
	is.NoErr(d.ownership.extendByReads(ctx))
	is.True(store.lists.Load() >= 1)
	is.True(store.lists.Load() <= 4)
	is.Equal(store.reads.Load(), int64(0))
}

// Guards against a VM that suspects an owner whose renewals come without records, and against one that still trusts a
// run that has ended.
func TestRenewalWithoutRecords(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Name: "a"}, Dependencies{}, log.New(io.Discard), metrics.NewRegistry())
	record := directory.OwnerRecord{Service: "s", Epoch: 3, Holder: directory.RunID{Name: "b", Incarnation: 7}}
	d.ownership.firstSeen["s"] = firstSeenRecord{epoch: 3, at: d.bootClock() - time.Minute}
	is.True(d.ownership.suspected(record))
	d.ownership.recordRunRenewal(directory.RunID{Name: "b", Incarnation: 6})
	is.True(d.ownership.suspected(record))
	is.True(!d.ownership.heardWithin(record, maxOwnerSilence))
	d.ownership.recordRunRenewal(record.Holder)
	is.True(!d.ownership.suspected(record))
	is.True(d.ownership.heardWithin(record, maxOwnerSilence))
}
