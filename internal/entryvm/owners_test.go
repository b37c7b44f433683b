package entryvm

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
)

// heldTenure blocks the first broker that asks for its lease, which holds its mutex then.
type heldTenure struct{ asked, goOn chan struct{} }

func (h heldTenure) Valid(string) bool {
	select {
	case h.asked <- struct{}{}:
		<-h.goOn
	default:
	}
	return false
}

func (heldTenure) Promote(context.Context, string, string) error { return nil }

// Guards against a VM that stops for good when a record changes while a broker asks for its lease: each held
// its own mutex and waited for the other's.
func TestChangeOfRecordsDoesNotWaitForBrokers(t *testing.T) {
	logger := log.New(io.Discard)
	registry := metrics.NewRegistry()
	d := New(Settings{Name: "a"}, Dependencies{}, logger, registry)
	h := heldTenure{asked: make(chan struct{}), goOn: make(chan struct{})}
	b := broker.New(broker.Config{
		Service: "ledger", Lease: h, Log: logger, Metrics: broker.NewMetrics(registry), Clock: d.clock,
	}, "")
	defer b.Close()
	d.owners.ending = []*broker.Broker{b}
	<-h.asked
	applied := make(chan struct{})
	go func() {
		d.owners.apply(&directory.View{}, true)
		close(applied)
	}()
	time.Sleep(50 * time.Millisecond) // apply reaches the broker
	checked := make(chan struct{})
	go func() {
		d.owners.Valid("ledger")
		close(checked)
	}()
	select {
	case <-checked:
	case <-time.After(5 * time.Second):
		t.Fatal("the lease cannot be checked while a change of the records is applied")
	}
	close(h.goOn)
	<-applied
}
