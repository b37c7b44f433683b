package entryvm

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/usage"
)

// fakeUsagePlatform keeps a record and the reports that were sent.
type fakeUsagePlatform struct {
	UsagePlatform
	sent []UsageReport
	// connected is called when the platform can be reached, before the report is confirmed.
	connected func()
}

func (p *fakeUsagePlatform) ReportUsage(ctx context.Context, r UsageReport) error {
	if p.connected != nil {
		p.connected()
	}
	if err := r.Confirm(ctx); err != nil {
		return err
	}
	p.sent = append(p.sent, r)
	return nil
}

// usageOwner returns the promotion coordinator of a fleet of three, with a lease that is not confirmed yet.
func usageOwner(t *testing.T) (*Daemon, *fakeUsagePlatform) {
	t.Helper()
	d := isolatedOwner(t, "ledger", "stock")
	p := &fakeUsagePlatform{}
	d.deps.Usage = p
	d.usage = newUsageReports(d, UsageSettings{Window: 5 * time.Second, Late: 10 * time.Second, Hold: 3 * time.Second,
		Retry: time.Second})
	return d, p
}

func grantLeases(d *Daemon) {
	for _, name := range d.ownership.voters().Members() {
		d.ownership.recordAck(name, d.bootClock(), []string{"ledger", "stock"})
	}
}

// Guards against a VM that reports without the duty, counts the time to hold it from before its lease was valid, or goes
// on with the reporter of an earlier tenure.
func TestTenureOfUsageReports(t *testing.T) {
	is := is.New(t)
	d, _ := usageOwner(t)
	reporter, _ := d.usage.current()
	is.True(reporter == nil) // no valid lease
	grantLeases(d)
	reporter, duty := d.usage.current()
	is.True(reporter != nil)
	is.Equal(duty.Service, "ledger")
	is.Equal(duty.Epoch, uint64(1))
	same, _ := d.usage.current()
	is.True(same == reporter)

	again := directory.OwnerRecord{Service: "ledger", Epoch: 3, Holder: d.self.RunID()}
	d.directory.Put(0, directory.Fleet, directory.Entry{Name: "service.ledger", Revision: 5, OwnerRecord: &again})
	reporter, _ = d.usage.current()
	is.True(reporter == nil) // the lease of the new epoch is not confirmed
	grantLeases(d)
	reporter, duty = d.usage.current()
	is.True(reporter != nil && reporter != same)
	is.Equal(duty.Epoch, uint64(3))

	other := directory.OwnerRecord{Service: "ledger", Epoch: 4, Holder: directory.RunID{Name: "b", Incarnation: 1}}
	d.directory.Put(0, directory.Fleet, directory.Entry{Name: "service.ledger", Revision: 6, OwnerRecord: &other})
	reporter, _ = d.usage.current()
	is.True(reporter == nil)
}

// Guards against a report that is sent after the VM has lost the duty, or its lease, while it connected to the platform.
func TestUsageReportIsConfirmed(t *testing.T) {
	is := is.New(t)
	d, p := usageOwner(t)
	grantLeases(d)
	_, duty := d.usage.current()
	send := func() error {
		return d.usage.send(context.Background(), duty, usage.Send{Report: usage.Report{Window: 9}, Until: d.bootClock() + time.Second})
	}
	is.NoErr(send())
	is.Equal(len(p.sent), 1)
	is.Equal(p.sent[0].Holder, "a")
	is.Equal(p.sent[0].Token, uint64(1))
	p.connected = func() {
		other := directory.OwnerRecord{Service: "ledger", Epoch: 2, Holder: directory.RunID{Name: "b", Incarnation: 1}}
		d.directory.Put(0, directory.Fleet, directory.Entry{Name: "service.ledger", Revision: 5, OwnerRecord: &other})
	}
	is.True(send() != nil)
	is.Equal(len(p.sent), 1)

	d, p = usageOwner(t)
	grantLeases(d)
	p.connected = func() {
		// Another VM has become the coordinator, while the lease of this VM's service is still valid.
		other := directory.OwnerRecord{Service: "bonds", Epoch: 7, Holder: directory.RunID{Name: "b", Incarnation: 1}}
		d.directory.Put(0, directory.Fleet, directory.Entry{Name: "service.bonds", Revision: 5, OwnerRecord: &other})
	}
	is.True(send() != nil)
	is.Equal(len(p.sent), 0)

	d, p = usageOwner(t) // without a valid lease
	is.True(d.usage.send(context.Background(), duty, usage.Send{Report: usage.Report{Window: 9}, Until: d.bootClock() + time.Second}) != nil)
	is.Equal(len(p.sent), 0)
}

// recordingStore records the owner records that are written.
type recordingStore struct {
	directory.Store
	written chan directory.OwnerRecord
}

func (s recordingStore) PutOwnerRecord(_ context.Context, record directory.OwnerRecord, revision uint64) (directory.Entry, error) {
	s.written <- record
	return directory.Entry{Name: "service." + record.Service, Revision: revision + 100, OwnerRecord: &record}, nil
}

// Guards against reports that stop for good when the duty moves to a service with a lower epoch, and against a token that
// is raised while another VM takes the duty, or without a lease.
func TestTokenIsRaised(t *testing.T) {
	is := is.New(t)
	d, _ := usageOwner(t)
	store := recordingStore{written: make(chan directory.OwnerRecord, 1)}
	d.deps.Store = store
	d.usage.settings.Hold = 0
	duty, ok := d.ownership.duty()
	is.True(ok)
	ctx := context.Background()
	d.usage.raiseToken(ctx, duty, 12) // no valid lease
	grantLeases(d)
	d.usage.raiseAt = d.bootClock() + time.Hour // another VM may still take the duty
	d.usage.raiseToken(ctx, duty, 12)
	is.Equal(len(store.written), 0)
	d.usage.raiseAt = 0
	d.usage.raiseToken(ctx, duty, 12)
	record := <-store.written
	is.Equal(record.Epoch, uint64(13))
	is.Equal(record.Holder, d.self.RunID())
	// The ownership follows the directory's view a moment later.
	epoch := func() uint64 {
		d.ownership.mu.Lock()
		defer d.ownership.mu.Unlock()
		return d.ownership.leases["ledger"].Record.Epoch
	}
	for epoch() != 13 {
		time.Sleep(time.Millisecond)
	}
	d.usage.raiseToken(ctx, duty, 12) // already raised
	grantLeases(d)
	reporter, duty := d.usage.current()
	is.True(reporter != nil)
	is.Equal(duty.Epoch, uint64(13))
	is.Equal(len(store.written), 0)
}

// Guards against counts of a stopped VM that are lost, reported by two VMs, or given to a VM that stops as well.
func TestUsageCountsAreHandedOver(t *testing.T) {
	is := is.New(t)
	leaving, _ := usageOwner(t)
	heir, _ := usageOwner(t)
	now := leaving.bootClock()
	leaving.usage.Add("ws", now-2*time.Second, 3)
	heir.usage.Add("ws", now-2*time.Second, 4)
	all := peer.Message{UsageQuery: &peer.UsageQuery{From: 10 * time.Second}}
	is.Equal(leaving.usage.handle(all).Counts, map[string]int{"ws": 3})

	spans := leaving.usage.meter.Spans(leaving.bootClock())
	leaving.usage.handOver() // reaches no VM
	is.Equal(len(leaving.usage.handle(all).Counts), 0)
	message := peer.Message{UsageReport: &peer.UsageReport{Spans: spans}}
	is.True(leaving.usage.handle(message).Refused)
	is.True(!heir.usage.handle(message).Refused)
	is.Equal(heir.usage.handle(all).Counts, map[string]int{"ws": 7})

	var off *usageReports
	is.True(off.handle(message).Refused)
	is.Equal(len(off.handle(all).Counts), 0)
}

// usageRecorder is a usage record of one era.
type usageRecorder struct {
	UsagePlatform
	era    uint64
	record usage.Record
	number uint64
}

func (p *usageRecorder) UsageRecord(context.Context) (usage.Record, uint64, error) {
	return p.record, directory.MakeRevision(p.era, p.number), nil
}

// Guards against a holder that reports other counts of a window, or none, because its token was replaced after the store
// returned: it goes on with what it knows only if no other VM can have had the duty, and only in a later era.
func TestTenureContinuesAfterReturn(t *testing.T) {
	for name, test := range map[string]struct {
		change    func(d *Daemon)
		era       uint64 // of the new token
		continues bool
	}{
		"written again":       {func(*Daemon) {}, 2, true},
		"token of this era":   {func(d *Daemon) { d.usage.duty.Era = 2 }, 2, false},
		"claimed again":       {func(d *Daemon) { again := *d.ownership.leases["ledger"]; d.ownership.leases["ledger"] = &again }, 2, false},
		"duty of another VM":  {func(d *Daemon) { putOwner(d, "bonds", "b"); d.usage.current(); putOwner(d, "bonds", "") }, 2, false},
		"record not replaced": {func(d *Daemon) { d.observeEra(2); d.usage.current() }, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _ := usageOwner(t)
			d.deps.Store = &returnedStore{}
			grantLeases(d)
			before, duty := d.usage.current()
			is.True(before != nil)
			// It has recorded window 9.
			own := usage.Record{Epoch: duty.Epoch, Holder: d.self.Name, Last: 9, Reports: []usage.Report{{Window: 9}}}
			before.RecordRead(d.bootClock(), own, 1, nil)

			test.change(d)
			d.ownership.mu.Lock()
			held := d.ownership.leases["ledger"]
			next := held.Record
			next.Epoch, next.Era = directory.FirstEpoch(test.era)+7, test.era
			held.Continue(d.bootClock()-time.Hour, next)
			d.ownership.mu.Unlock()
			d.directory.Put(0, directory.Fleet, directory.Entry{Name: "service.ledger", Revision: directory.MakeRevision(test.era, 50), OwnerRecord: &next})
			grantLeases(d)
			after, duty := d.usage.current()
			is.True(after != nil && after != before)
			is.Equal(duty.Epoch, next.Epoch)
			p := &usageRecorder{era: test.era}
			record, revision, err := p.UsageRecord(t.Context())
			after.RecordRead(d.bootClock(), record, revision, err)
			// A reporter that goes on writes what the store has lost.
			wrote := false
			for _, action := range after.Next(d.bootClock(), []string{"a", "b", "c"}) {
				if w, ok := action.(usage.WriteRecord); ok {
					wrote = true
					is.Equal(w.Record.Last, int64(9))
				}
			}
			is.Equal(wrote, test.continues)
		})
	}
}

// putOwner writes an owner record, or removes it if the holder is empty.
func putOwner(d *Daemon, service, holder string) {
	e := directory.Entry{Name: "service." + service, Revision: d.directory.View().Revisions[directory.Fleet] + 1}
	if holder == "" {
		e.Deleted = true
		d.directory.Update(0, directory.Listing{Kind: directory.Fleet, Revision: e.Revision, Entries: []directory.Entry{e}})
		return
	}
	e.OwnerRecord = &directory.OwnerRecord{Service: service, Epoch: 7, Holder: directory.RunID{Name: holder, Incarnation: 1}}
	d.directory.Put(0, directory.Fleet, e)
}
