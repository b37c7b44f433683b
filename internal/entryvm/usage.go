package entryvm

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/lease"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/sleep"
	"siskinrouter/internal/usage"
)

const (
	// usageInterval is the time between two checks what the usage report requires, and idleUsageInterval the same on VMs
	// that do not have the duty: each check of a large fleet costs processor time.
	usageInterval     = 50 * time.Millisecond
	idleUsageInterval = 500 * time.Millisecond
	// usageSendTimeout bounds one request to the platform.
	usageSendTimeout = 2 * time.Second
	// usageHandOverTimeout bounds the hand-over of counts at shutdown.
	usageHandOverTimeout = 300 * time.Millisecond
)

// UsageSettings configures the usage report. It is off if Window is 0.
type UsageSettings struct {
	Window time.Duration // length of a window
	Late   time.Duration // after the end of a window, until its report is due
	Hold   time.Duration // time that a VM must have held the duty before it sends
	Retry  time.Duration // time between two requests to the platform
}

// UsageReport is the report of a window.
type UsageReport struct {
	usage.Report
	// Holder is the VM that sends the report, and Token its fencing token.
	Holder string
	Token  uint64
	// Confirm is called once the platform can be reached, immediately before the report is sent. If it returns an
	// error, the report must not be sent.
	Confirm func(ctx context.Context) error
}

// UsagePlatform accepts usage reports and keeps the usage record. Updates of the record are linearizable.
type UsagePlatform interface {
	ReportUsage(ctx context.Context, r UsageReport) error
	// UsageRecord reads the usage record; the number of its revision is 0 if there is none.
	UsageRecord(ctx context.Context) (usage.Record, uint64, error)
	// PutUsageRecord replaces the usage record if it has the given revision; the number 0 creates it. On
	// directory.ErrConflict it returns what is in the store.
	PutUsageRecord(ctx context.Context, record usage.Record, revision uint64) (usage.Record, uint64, error)
}

// usageReports counts the requests that this VM sends to servers and, on the promotion coordinator, reports the counts
// of the whole fleet. It implements broker.UsageCounter.
type usageReports struct {
	d        *Daemon
	settings UsageSettings

	meterMu    sync.Mutex
	meter      *usage.Meter
	handedOver bool // the counts are with another VM

	mu       sync.Mutex
	reporter *usage.Reporter
	duty     directory.OwnerRecord // under which reporter acts
	// previous is the reporter of the latest tenure, and heldBy the lease under which it acted, while no other VM is known to
	// have had the duty since.
	previous *usage.Reporter
	heldBy   *lease.Lease
	raiseAt  time.Duration // when the token may be raised; used by run only

	reported, repeated, missed, incomplete metrics.Counter
}

// newUsageReports returns nil if the usage report is off.
func newUsageReports(d *Daemon, s UsageSettings) *usageReports {
	if s.Window <= 0 || d.deps.Usage == nil {
		return nil
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, d.registry) }
	u := &usageReports{d: d, settings: s, reported: counter("usage.windows_reported"),
		repeated: counter("usage.windows_repeated"), missed: counter("usage.windows_missed"),
		incomplete: counter("usage.windows_incomplete")}
	u.meter = usage.NewMeter(d.bootClock(), u.config().Covers())
	return u
}

func (u *usageReports) config() usage.Config {
	c := usage.Config{Window: u.settings.Window, Late: u.settings.Late, Hold: u.settings.Hold, Retry: u.settings.Retry}
	if u.meter != nil {
		c.MeterSince = u.meter.Since()
	}
	return c
}

// Add counts requests.
func (u *usageReports) Add(workspace string, sent time.Duration, n int) {
	u.meterMu.Lock()
	defer u.meterMu.Unlock()
	u.meter.Add(workspace, sent, n)
}

// answer returns the counts of this VM, none if another VM has them.
func (u *usageReports) answer(q peer.UsageQuery) peer.UsageReport {
	now := u.d.bootClock()
	u.meterMu.Lock()
	defer u.meterMu.Unlock()
	r := peer.UsageReport{TimeOfDay: time.Duration(time.Now().UnixNano()), CountingFor: now - u.meter.Since()}
	if !u.handedOver {
		r.Counts = u.meter.Counts(now-q.From, now-q.To)
	}
	return r
}

// inherit adds the counts of a VM that is about to exit, unless this VM exits as well.
func (u *usageReports) inherit(r peer.UsageReport) peer.UsageReport {
	now := u.d.bootClock()
	u.meterMu.Lock()
	defer u.meterMu.Unlock()
	if u.handedOver {
		return peer.UsageReport{Refused: true}
	}
	u.meter.Merge(now, r.Spans)
	u.d.log.Info("usage counts taken over", "buckets", len(r.Spans))
	return peer.UsageReport{}
}

// handle returns the response to a message of another VM. u is nil if the usage report is off here.
func (u *usageReports) handle(m peer.Message) peer.UsageReport {
	switch {
	case u == nil:
		return peer.UsageReport{TimeOfDay: time.Duration(time.Now().UnixNano()), Refused: true}
	case m.UsageQuery != nil:
		return u.answer(*m.UsageQuery)
	}
	return u.inherit(*m.UsageReport)
}

// handOver sends the counts of this VM to another one, preferably the promotion coordinator.
func (u *usageReports) handOver() {
	if u == nil {
		return
	}
	now := u.d.bootClock()
	u.meterMu.Lock()
	u.handedOver = true
	spans := u.meter.Spans(now)
	u.meterMu.Unlock()
	if len(spans) == 0 {
		return
	}
	v := u.d.directory.View()
	names := slices.Clone(v.ByCores)
	if coordinator, ok := coordinatorRecord(v); ok {
		names = slices.Insert(names, 0, coordinator.Holder.Name)
	}
	for _, name := range names {
		l := u.d.peers.OpenLink(v.VMs[name].Address)
		if l == nil || name == u.d.self.Name {
			continue
		}
		m := peer.Message{UsageReport: &peer.UsageReport{Spans: spans}}
		response, err := l.Call(m, usageHandOverTimeout)
		if errors.Is(err, peer.ErrNotSent) || response.UsageReport != nil && response.UsageReport.Refused {
			continue
		}
		// Without a response, the counts may have arrived; a second VM would report them twice.
		u.d.log.Info("usage counts handed over", "to", name, "buckets", len(spans), "error", err)
		return
	}
	u.d.log.Warn("usage counts are lost: no other VM takes them", "buckets", len(spans))
}

// run reports the usage while this VM has the duty.
func (u *usageReports) run(ctx context.Context) error {
	if u == nil {
		<-ctx.Done()
		return nil
	}
	interval := usageInterval
	for ctx.Err() == nil {
		sleep.For(ctx, interval)
		reporter, duty := u.current()
		if reporter == nil {
			interval = idleUsageInterval
			continue
		}
		interval = usageInterval
		v := u.d.directory.View()
		vms := make([]string, 0, len(v.VMs))
		for name := range v.VMs {
			vms = append(vms, name)
		}
		u.mu.Lock()
		actions := reporter.Next(u.d.bootClock(), vms)
		u.mu.Unlock()
		u.logEvents(reporter)
		u.mu.Lock()
		token, superseded := reporter.Superseded()
		u.mu.Unlock()
		if superseded {
			u.raiseToken(ctx, duty, token)
			continue
		}
		for _, action := range actions {
			u.execute(ctx, reporter, duty, action)
		}
	}
	return nil
}

// current returns the reporter of the present tenure, nil if this VM does not have the duty. A tenure begins anew with
// each epoch of the owner record.
func (u *usageReports) current() (*usage.Reporter, directory.OwnerRecord) {
	duty, ok := u.d.ownership.duty()
	u.mu.Lock()
	defer u.mu.Unlock()
	if !ok {
		u.reporter = nil
		if duty.Holder != u.d.self.RunID() || duty.Service != u.duty.Service {
			u.previous = nil // another VM may have reported since
		}
		return nil, duty
	}
	if u.reporter == nil || u.duty.Service != duty.Service || u.duty.Epoch != duty.Epoch {
		if !u.d.ownership.holds(duty) {
			return nil, duty
		}
		held := u.d.ownership.leaseOf(duty.Service)
		// The record was written again after the store returned from an older copy, without a new claim.
		continued := u.previous != nil && held == u.heldBy && duty.Service == u.duty.Service && duty.Era > u.duty.Era
		u.reporter = usage.NewReporter(u.config(), u.d.bootClock(), u.d.self.Name, duty.Epoch)
		continued = continued && u.reporter.Continue(u.previous)
		u.d.log.Info("usage report: duty taken", "service", duty.Service, "token", duty.Epoch, "continued", continued)
		u.duty, u.raiseAt, u.previous, u.heldBy = duty, 0, u.reporter, held
	}
	return u.reporter, u.duty
}

// leaseOf returns the lease of a service, nil if this VM does not own it. A record that the owner writes again after a return
// of the store does not replace the lease; a claim does.
func (o *ownership) leaseOf(service string) *lease.Lease {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leases[service]
}

// raiseToken gives the owner record of this VM an epoch above the token of the usage record, unless another VM takes the
// duty meanwhile. The duty moves to another service, whose epoch may be lower, when the first service by name is new.
func (u *usageReports) raiseToken(ctx context.Context, duty directory.OwnerRecord, token uint64) {
	now := u.d.bootClock()
	if u.raiseAt == 0 {
		u.raiseAt = now + u.settings.Hold
	}
	record := u.d.directory.View().OwnerRecords[duty.Service]
	if now < u.raiseAt || record.Epoch != duty.Epoch || u.d.ownership.confirmDuty(duty) != nil {
		return
	}
	u.raiseAt = now + u.settings.Hold
	next := record.OwnerRecord
	next.Epoch, next.FirstEpoch = token+1, 0 // a new ownership, as far as its tokens are concerned
	next.HandedOver = true                   // by this VM to itself
	u.d.log.Warn("usage report: raising the token", "service", next.Service, "from", duty.Epoch, "to", next.Epoch)
	go func() { _ = u.d.ownership.writeRecord(ctx, next, record.Revision) }() // logs the error
}

// execute executes an action of the reporter in the background.
func (u *usageReports) execute(ctx context.Context, reporter *usage.Reporter, duty directory.OwnerRecord, action any) {
	switch a := action.(type) {
	case usage.Ask:
		for _, vm := range a.VMs {
			if vm == u.d.self.Name {
				u.askSelf(reporter, a)
			} else {
				go u.ask(reporter, a, vm)
			}
		}
	case usage.ReadRecord:
		go func() {
			record, revision, err := u.d.deps.Usage.UsageRecord(ctx)
			if err != nil {
				u.d.log.Warn("usage record not read", "error", err)
			}
			u.update(reporter, func(now time.Duration) { reporter.RecordRead(now, record, revision, err) })
		}()
	case usage.WriteRecord:
		go func() {
			record, revision, err := u.d.deps.Usage.PutUsageRecord(ctx, a.Record, a.Revision)
			conflict := errors.Is(err, directory.ErrConflict)
			if err != nil {
				u.d.log.Warn("usage record not written", "window", a.Record.Last, "error", err)
			}
			u.update(reporter, func(now time.Duration) { reporter.RecordWritten(now, record, revision, conflict, err) })
		}()
	case usage.Send:
		go func() {
			err := u.send(ctx, duty, a)
			u.update(reporter, func(now time.Duration) { reporter.Sent(now, a.Report.Window, err) })
			if err != nil {
				u.d.log.Warn("usage report not accepted", "window", a.Report.Window, "error", err)
			}
		}()
	default:
		panic(fmt.Sprintf("unknown action %T of the usage report", action))
	}
}

// update passes a result to the reporter, which may no longer be the current one, and logs what it has decided.
func (u *usageReports) update(reporter *usage.Reporter, f func(now time.Duration)) {
	u.mu.Lock()
	f(u.d.bootClock())
	u.mu.Unlock()
	u.logEvents(reporter)
}

func (u *usageReports) send(ctx context.Context, duty directory.OwnerRecord, a usage.Send) error {
	ctx, cancel := context.WithTimeout(ctx, min(usageSendTimeout, a.Until-u.d.bootClock()))
	defer cancel()
	return u.d.deps.Usage.ReportUsage(ctx, UsageReport{
		Report: a.Report, Holder: u.d.self.Name, Token: duty.Epoch,
		Confirm: func(context.Context) error { return u.d.ownership.confirmDuty(duty) },
	})
}

// askSelf passes the counts of this VM to the reporter.
func (u *usageReports) askSelf(reporter *usage.Reporter, a usage.Ask) {
	now := u.d.bootClock()
	report := u.answer(peer.UsageQuery{From: now - a.From, To: now - a.To})
	u.answered(reporter, a, u.d.self.Name, now, &report)
}

// ask asks another VM for its counts.
func (u *usageReports) ask(reporter *usage.Reporter, a usage.Ask, vm string) {
	l := u.d.peers.LinkOrDial(u.d.directory.View().VMs[vm].Address)
	if l == nil {
		return
	}
	sent := u.d.bootClock()
	m, err := l.Call(peer.Message{UsageQuery: &peer.UsageQuery{From: sent - a.From, To: sent - a.To}}, usage.QueryTimeout)
	if err != nil || m.UsageReport == nil {
		u.d.log.Debug("usage counts not received", "vm", vm, "window", a.Window, "error", err)
		return
	}
	u.answered(reporter, a, vm, sent, m.UsageReport)
}

func (u *usageReports) answered(reporter *usage.Reporter, a usage.Ask, vm string, sent time.Duration, r *peer.UsageReport) {
	u.update(reporter, func(now time.Duration) {
		reporter.Answered(usage.Answer{VM: vm, Window: a.Window, Sent: sent, Received: now, TimeOfDay: r.TimeOfDay,
			Counts: r.Counts, Age: r.CountingFor})
	})
}

// logEvents logs what the reporter has decided, and counts it.
func (u *usageReports) logEvents(reporter *usage.Reporter) {
	u.mu.Lock()
	events := reporter.Events()
	u.mu.Unlock()
	logger := u.d.log
	for _, e := range events {
		switch e.Outcome {
		case usage.Accepted:
			u.reported.Inc(1)
			logger.Info("usage report sent", "window", e.First, "requests", e.Requests)
		case usage.Repeated:
			u.reported.Inc(1)
			u.repeated.Inc(1)
			logger.Info("usage report repeated", "window", e.First, "requests", e.Requests, "attempts", e.Attempts)
		case usage.GivenUp:
			u.missed.Inc(e.Last - e.First + 1)
			logger.Warn("usage report given up", "window", e.First, "last_window", e.Last, "attempts", e.Attempts, "reason", e.Reason)
		case usage.Unconfirmed:
			logger.Info("usage report of an earlier holder not repeated in time", "window", e.First)
		case usage.Incomplete:
			u.incomplete.Inc(1)
			logger.Warn("usage report incomplete", "window", e.First, "silent", e.Silent, "started_later", e.Restarted)
		case usage.Skipped:
			u.missed.Inc(e.Last - e.First + 1)
			logger.Warn("usage windows skipped: the store may have lost their record", "window", e.First, "last_window", e.Last)
		case usage.Superseded:
			logger.Warn("usage report: duty lost", "reason", e.Reason)
		}
	}
}
