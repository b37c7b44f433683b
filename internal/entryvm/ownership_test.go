package entryvm

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
)

// blockingLease blocks the first broker that checks its lease, while that broker holds its mutex.
type blockingLease struct{ asked, proceed chan struct{} }

func (l blockingLease) Valid(string) bool {
	select {
	case l.asked <- struct{}{}:
		<-l.proceed
	default:
	}
	return false
}

func (blockingLease) Promote(context.Context, string, broker.RecordedPrimary) error { return nil }

func (blockingLease) RecordPrimary(context.Context, string, broker.RecordedPrimary) error { return nil }

// Guards against a deadlock when an owner record changes while a broker checks its lease: each side held its own
// mutex and waited for the other's.
func TestChangeOfRecordsDoesNotWaitForBrokers(t *testing.T) {
	logger := log.New(io.Discard)
	registry := metrics.NewRegistry()
	d := New(Settings{Name: "a"}, Dependencies{}, logger, registry)
	h := blockingLease{asked: make(chan struct{}), proceed: make(chan struct{})}
	b := broker.New(broker.Config{
		Service: "ledger", Lease: h, Log: logger, Metrics: broker.NewMetrics(registry), Clock: d.clock, LeaseClock: d.bootClock,
	}, broker.RecordedPrimary{})
	defer b.Close()
	d.ownership.draining = []*broker.Broker{b}
	<-h.asked
	applied := make(chan struct{})
	go func() {
		d.ownership.applyRecords(&directory.View{}, true)
		close(applied)
	}()
	time.Sleep(50 * time.Millisecond) // applyRecords reaches the broker
	checked := make(chan struct{})
	go func() {
		d.ownership.Valid("ledger")
		close(checked)
	}()
	select {
	case <-checked:
	case <-time.After(5 * time.Second):
		t.Fatal("the lease cannot be checked while a change of the records is applied")
	}
	close(h.proceed)
	<-applied
}

// Guards against a former owner that finishes transactions although its lease has ended before it learned of the hand-over:
// the response to its update of the record was lost, and the next owner may have replaced the primary meanwhile.
func TestOnlyValidLeaseFinishesTransactions(t *testing.T) {
	is := is.New(t)
	held := lease.New(0, directory.OwnerRecord{Service: "ledger", Epoch: 4})
	next := directory.OwnerRecord{Service: "ledger", Epoch: 5, HandedOver: true}
	is.True(mayFinish(held, next, true))
	is.True(!mayFinish(held, next, false))
	taken := next
	taken.HandedOver = false
	is.True(!mayFinish(held, taken, true))
	later := next
	later.Epoch = 6 // an owner in between
	is.True(!mayFinish(held, later, true))
}
