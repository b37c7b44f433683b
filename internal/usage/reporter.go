package usage

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"siskinrouter/internal/directory"
)

const (
	// collectDelay is the time after the end of a window at which the VMs are asked for their counts. Requests sent
	// in the window have been counted by then on VMs whose processor is short.
	collectDelay = time.Second
	// roundInterval is the time between two rounds of queries to the VMs that have not answered. Queries time out before.
	roundInterval = 500 * time.Millisecond
	// QueryTimeout bounds a query. The response is for a range that is late by the time of the query on its way, which
	// is therefore kept below 0.1 of a window of 5 s.
	QueryTimeout = 400 * time.Millisecond
	// sendReserveShare is the share of the time to the due date that is left for recording and sending: 3 s of 10 s.
	sendReserveShare = 0.3
	// sampleAge is the age up to which the time of day of a VM counts. Each window renews it.
	sampleAge = 30 * time.Second
	// minStoreBackoff and maxStoreBackoff bound the time between two failed calls to the store, which are billed.
	minStoreBackoff = 500 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
	// contiguous is the greatest difference between the end of a window and the start of the next that is taken for
	// an error of measurement. The windows then share the edge, so that no request is counted twice or left out.
	contiguous = 100 * time.Millisecond
)

// NoWindow is the window of an Ask that is only for the time of day.
const NoWindow = -1

// Config configures a Reporter.
type Config struct {
	Window time.Duration // length of a window
	Late   time.Duration // after the end of a window, until its report is due
	// Hold is the time that a VM must have held the duty before it sends.
	Hold time.Duration
	// Retry is the time between two requests to the platform.
	Retry time.Duration
	// MeterSince is when this VM began to count. At a store without eras and without a record, reports begin with that window.
	MeterSince time.Duration
}

// Covers returns the time that meters have to cover.
func (c Config) Covers() time.Duration { return max(20*time.Second, c.Window+c.Late+2*time.Second) }

// Report holds the counts of a window.
type Report struct {
	Window int64
	Counts map[string]int
}

// Record is kept in the store. It decides what is reported.
type Record struct {
	Epoch  uint64 // fencing token of the holder that wrote the record
	Holder string // its VM
	// Last is the last recorded window. No window up to it is collected again.
	Last int64
	// Reports are those that the platform had not accepted when the record was written.
	Reports []Report
	// Era is the era of the store that the writer knew. Later records may have been lost if the store has a later era.
	Era uint64 `json:"Era,omitzero"`
}

// Actions that the caller of a Reporter executes. Each is followed by a call that reports its result.
type (
	// ReadRecord reads the record; followed by RecordRead.
	ReadRecord struct{}
	// WriteRecord replaces the record if it has the given revision, whose number is 0 if there is none; followed by
	// RecordWritten.
	WriteRecord struct {
		Record   Record
		Revision uint64
	}
	// Ask asks VMs for their counts in a range on the clock of this VM; followed by a call of Answered for each response.
	// The range is empty for NoWindow.
	Ask struct {
		Window   int64
		From, To time.Duration
		VMs      []string
	}
	// Send sends a report to the platform until the given time; followed by Sent.
	Send struct {
		Report Report
		Until  time.Duration
	}
)

// Answer is the response of a VM to a query.
type Answer struct {
	VM             string
	Window         int64         // of the Ask
	Sent, Received time.Duration // of the query and the response, on the clock of this VM
	TimeOfDay      time.Duration // of the VM, since the start of 1970
	Counts         map[string]int
	// Age is the time for which the VM has counted before it answered.
	Age time.Duration
}

// Outcome is the outcome of a window.
type Outcome uint8

const (
	Incomplete  Outcome = iota // collected without all counts
	Accepted                   // the platform accepted the report at the first attempt
	Repeated                   // the platform accepted the report of an earlier holder, or after several attempts
	GivenUp                    // not reported in time
	Unconfirmed                // recorded by an earlier holder, which may have reported it, and not repeated in time
	Superseded                 // another holder has taken over; there is no window
	Skipped                    // a lost record may have covered the windows
)

// Event is something to be logged.
type Event struct {
	Outcome     Outcome
	First, Last int64 // windows
	Silent      []string
	Restarted   []string // VMs that began to count within the window
	Attempts    int
	Requests    int
	Reason      string
}

// pendingReport is a report that the platform has not accepted.
type pendingReport struct {
	Report
	recorded bool
	adopted  bool // found in the record
	attempts int
}

// collection gathers the counts of one window.
type collection struct {
	window    int64
	from, to  time.Duration
	started   time.Duration
	askAt     time.Duration
	counts    map[string]int
	answered  map[string]bool
	restarted []string
}

type sample struct {
	offset time.Duration // time of day minus the clock of this VM
	at     time.Duration
}

// Reporter decides what the holder of the duty does next. A Reporter serves one tenure: one VM and one fencing token.
type Reporter struct {
	Config
	began  time.Duration
	holder string
	epoch  uint64

	samples map[string]sample
	offset  time.Duration // of true time
	timeAt  time.Duration // of the next query for the time of day only
	timed   bool          // offset is known

	synced     bool // revision is that of the record
	revision   uint64
	storeBusy  bool
	storeAt    time.Duration // of the next call
	storeDelay time.Duration
	storeError string

	started    bool // next is known
	next       int64
	last       int64 // last recorded window
	collection *collection
	previousTo time.Duration // end of the window before next, on this VM's clock; 0 if unknown
	reports    []*pendingReport
	settled    map[int64]bool // windows that the platform has accepted, until they are due
	sending    bool
	sendAt     time.Duration
	sendError  string
	superseded bool
	supersedes uint64 // token in the record, if superseded
	events     []Event

	// outdated is set when the store has a later era than the token. The tenure then ends: the VM has to obtain a token
	// of that era, which it only does without a new claim if no other VM had the duty.
	outdated bool
	// firstEpoch is the token of the first tenure that this one continues.
	firstEpoch uint64
	// recordedOnce is set when the record has been written under a token since firstEpoch. An earlier holder can have
	// recorded nothing since then, so that all recorded windows are known, even if the store loses the record.
	recordedOnce bool
	writeAgain   bool  // the store lacks a record of the present era
	skipping     bool  // windows that ended before skipAt are not reported
	skipFirst    int64 // the first of them, NoWindow if unknown
	skipAt       time.Duration
}

// NewReporter returns the reporter of a VM that has just taken the duty with the given fencing token.
func NewReporter(c Config, now time.Duration, holder string, epoch uint64) *Reporter {
	return &Reporter{Config: c, began: now, holder: holder, epoch: epoch, firstEpoch: epoch, samples: map[string]sample{}, last: NoWindow,
		settled: map[int64]bool{}, storeDelay: minStoreBackoff}
}

// Continue takes over what a previous reporter of the same VM knows, and reports whether it did: only if that has recorded
// anything. The VM must have had the duty without interruption since; its token was replaced because the store returned from
// an older copy. It must be called before Next.
func (r *Reporter) Continue(previous *Reporter) bool {
	if !previous.recordedOnce || previous.superseded {
		return false // another holder may have recorded windows that this one has not seen
	}
	r.firstEpoch, r.recordedOnce = previous.firstEpoch, true
	r.samples, r.offset, r.timed = maps.Clone(previous.samples), previous.offset, previous.timed
	r.started, r.next, r.last, r.previousTo = previous.started, previous.next, previous.last, previous.previousTo
	r.settled = maps.Clone(previous.settled)
	for _, p := range previous.reports {
		copied := *p
		r.reports = append(r.reports, &copied)
	}
	return true
}

// Next returns what to do now. vms are the VMs of the fleet.
func (r *Reporter) Next(now time.Duration, vms []string) []any {
	if r.superseded || r.outdated {
		return nil
	}
	var actions []any
	actions = r.learnTime(actions, now, vms)
	r.giveUp(now)
	actions = r.collect(actions, now, vms)
	actions = r.record(actions, now)
	return r.send(actions, now)
}

// Superseded returns the token in the record if it is too high for this tenure. The reporter then does nothing more.
func (r *Reporter) Superseded() (token uint64, ok bool) { return r.supersedes, r.superseded }

// Events returns what has happened since the last call.
func (r *Reporter) Events() []Event {
	events := r.events
	r.events = nil
	return events
}

// learnTime asks for the times of day until most VMs have answered; those of windows renew them afterwards.
func (r *Reporter) learnTime(actions []any, now time.Duration, vms []string) []any {
	if r.timed {
		r.updateOffset(now)
		return actions
	}
	// Nothing is sent before Hold has passed, so that waiting for the majority until then delays no report.
	if 2*len(r.samples) > len(vms) || len(r.samples) > 0 && now >= r.began+r.Hold {
		r.timed = true
		r.updateOffset(now)
		return actions
	}
	if now < r.timeAt {
		return actions
	}
	r.timeAt = now + roundInterval
	silent := without(vms, func(vm string) bool { _, ok := r.samples[vm]; return ok })
	return append(actions, Ask{Window: NoWindow, From: now, To: now, VMs: silent})
}

// updateOffset sets the offset of true time to the median over the VMs, which does not follow a clock that is wrong.
func (r *Reporter) updateOffset(now time.Duration) {
	var offsets []time.Duration
	for _, s := range r.samples {
		if now-s.at <= sampleAge {
			offsets = append(offsets, s.offset)
		}
	}
	if len(offsets) == 0 {
		return
	}
	slices.Sort(offsets)
	r.offset = offsets[len(offsets)/2]
}

// start returns the start of a window on the clock of this VM.
func (r *Reporter) start(window int64) time.Duration {
	return time.Duration(window)*r.Window - r.offset
}

// due returns when the report of a window is due, on the clock of this VM.
func (r *Reporter) due(window int64) time.Duration { return r.start(window+1) + r.Late }

// windowAt returns the window that contains a time.
func (r *Reporter) windowAt(now time.Duration) int64 { return int64((now + r.offset) / r.Window) }

// giveUp drops the windows that are too old to be reported.
func (r *Reporter) giveUp(now time.Duration) {
	if !r.timed {
		return
	}
	r.reports = slices.DeleteFunc(r.reports, func(p *pendingReport) bool {
		if now < r.due(p.Window) {
			return false
		}
		if p.adopted && p.attempts == 0 {
			r.events = append(r.events, Event{Outcome: Unconfirmed, First: p.Window, Last: p.Window})
			return true
		}
		reason := "the platform has not accepted it: " + r.sendError
		if !p.recorded {
			reason = "it could not be recorded: " + r.storeError
		} else if p.attempts == 0 {
			reason = "it was not sent"
		}
		r.events = append(r.events, Event{Outcome: GivenUp, First: p.Window, Last: p.Window, Attempts: p.attempts, Reason: reason})
		return true
	})
	maps.DeleteFunc(r.settled, func(window int64, _ bool) bool { return now >= r.due(window) })
	if !r.started {
		if r.skipping {
			r.skip()
		} else if r.synced && directory.NumberOf(r.revision) == 0 {
			// The first holder of a deployment: no report of an earlier window is expected.
			r.started, r.next = true, max(r.windowAt(r.MeterSince), r.windowAt(now-r.Late))
		}
		return
	}
	first := r.next
	for now >= r.due(r.next) {
		r.next = max(r.next+1, r.windowAt(now-r.Late-r.Window))
	}
	if r.next > first {
		r.collection, r.previousTo = nil, 0
		r.events = append(r.events, Event{Outcome: GivenUp, First: first, Last: r.next - 1, Reason: "not collected in time"})
	}
}

// skip starts with the window that was in progress when the record was read: nobody had reported it.
func (r *Reporter) skip() {
	first := max(r.windowAt(r.MeterSince), r.windowAt(r.skipAt-r.Late))
	if r.skipFirst != NoWindow {
		first = r.skipFirst
	}
	r.skipping, r.writeAgain = false, true // so that a successor need not skip the following windows
	r.started, r.next = true, max(r.windowAt(r.skipAt), r.last+1)
	r.last = r.next - 1
	if first < r.next {
		r.events = append(r.events, Event{Outcome: Skipped, First: first, Last: r.last})
	}
}

// collect asks the VMs for the counts of the next window once it has ended.
func (r *Reporter) collect(actions []any, now time.Duration, vms []string) []any {
	if !r.timed || !r.started {
		return actions
	}
	if r.collection == nil {
		from, to := r.start(r.next), r.start(r.next+1)
		if now < to+collectDelay {
			return actions
		}
		if r.previousTo != 0 && (from-r.previousTo).Abs() < contiguous {
			from = r.previousTo
		}
		r.collection = &collection{window: r.next, from: from, to: to, started: now, askAt: now, counts: map[string]int{},
			answered: map[string]bool{}}
	}
	c := r.collection
	silent := without(vms, func(vm string) bool { return c.answered[vm] })
	lastAsk := c.to + r.Late - time.Duration(sendReserveShare*float64(r.Late))
	if len(silent) == 0 || now >= lastAsk && now >= c.started+roundInterval {
		r.finish(c, silent)
		return actions
	}
	if now < c.askAt {
		return actions
	}
	c.askAt = now + roundInterval
	return append(actions, Ask{Window: c.window, From: c.from, To: c.to, VMs: silent})
}

// finish ends the collection of a window.
func (r *Reporter) finish(c *collection, silent []string) {
	if len(silent) > 0 || len(c.restarted) > 0 {
		r.events = append(r.events, Event{Outcome: Incomplete, First: c.window, Last: c.window, Silent: silent, Restarted: c.restarted})
	}
	r.reports = append(r.reports, &pendingReport{Report: Report{c.window, c.counts}})
	r.collection, r.previousTo = nil, c.to
	r.next = c.window + 1
}

// Answered records the response of a VM.
func (r *Reporter) Answered(a Answer) {
	r.samples[a.VM] = sample{offset: a.TimeOfDay - (a.Sent+a.Received)/2, at: a.Received}
	c := r.collection
	if c == nil || c.window != a.Window || c.answered[a.VM] {
		return
	}
	c.answered[a.VM] = true
	if since := a.Received - a.Age; since > c.from {
		c.restarted = append(c.restarted, a.VM)
	}
	for workspace, n := range a.Counts {
		c.counts[workspace] += n
	}
}

// record reads the record, or writes it when there is a report that is not in it.
func (r *Reporter) record(actions []any, now time.Duration) []any {
	if r.storeBusy || now < r.storeAt {
		return actions
	}
	if !r.synced {
		r.storeBusy = true
		return append(actions, ReadRecord{})
	}
	next := Record{Epoch: r.epoch, Holder: r.holder, Last: r.last, Era: directory.EraOf(r.revision)}
	unrecorded := false
	for _, p := range r.reports {
		next.Reports = append(next.Reports, p.Report)
		unrecorded = unrecorded || !p.recorded
		next.Last = max(next.Last, p.Window)
	}
	if !unrecorded && !r.writeAgain {
		return actions
	}
	r.storeBusy = true
	return append(actions, WriteRecord{next, r.revision})
}

// RecordRead processes the response to ReadRecord. The number of the revision is 0 if there is no record.
func (r *Reporter) RecordRead(now time.Duration, record Record, revision uint64, err error) {
	r.storeBusy = false
	if err != nil {
		r.storeFailed(now, err)
		return
	}
	r.storeResponded(now)
	r.adopt(now, record, revision)
}

// RecordWritten processes the response to WriteRecord. After a conflict, record is what the store has. After any other
// error the record may have been written.
func (r *Reporter) RecordWritten(now time.Duration, record Record, revision uint64, conflict bool, err error) {
	r.storeBusy = false
	if err != nil && !conflict {
		r.synced = false // the record may also be gone, which is no conflict
		r.storeFailed(now, err)
		return
	}
	r.storeResponded(now)
	r.adopt(now, record, revision)
}

func (r *Reporter) storeFailed(now time.Duration, err error) {
	r.storeError = err.Error()
	r.storeAt = now + r.storeDelay
	r.storeDelay = min(2*r.storeDelay, maxStoreBackoff)
}

func (r *Reporter) storeResponded(now time.Duration) {
	r.storeAt, r.storeDelay = now, minStoreBackoff
}

// adopt takes over what is recorded. A report that is in the record is sent as it is there, whoever collected it, unless
// this VM has already seen another one recorded.
func (r *Reporter) adopt(now time.Duration, record Record, revision uint64) {
	r.synced, r.revision = true, revision
	era, missing := directory.EraOf(revision), directory.NumberOf(revision) == 0
	if r.epoch < directory.FirstEpoch(era) {
		r.outdated = true
		return
	}
	if missing && era == 0 {
		return
	}
	if missing {
		r.adoptOutdated(now, Record{Last: NoWindow})
		return
	}
	if record.Epoch > r.epoch || record.Epoch == r.epoch && record.Holder != r.holder {
		r.superseded, r.supersedes = true, record.Epoch
		r.events = append(r.events, Event{Outcome: Superseded,
			Reason: fmt.Sprintf("the record was written by %s with token %d", record.Holder, record.Epoch)})
		return
	}
	own := record.Holder == r.holder && record.Epoch >= r.firstEpoch
	r.recordedOnce = r.recordedOnce || own && record.Epoch == r.epoch
	if r.writeAgain = record.Era < era; r.writeAgain && !own {
		r.adoptOutdated(now, record)
		return
	}
	r.last = max(r.last, record.Last)
	for _, report := range record.Reports {
		i := slices.IndexFunc(r.reports, func(p *pendingReport) bool { return p.Window == report.Window })
		switch {
		case i >= 0 && !r.reports[i].recorded:
			r.reports[i].adopted = record.Epoch != r.epoch
			r.reports[i].Report, r.reports[i].recorded = report, true
		case i < 0 && !r.settled[report.Window] && !(r.started && now >= r.due(report.Window)):
			r.reports = append(r.reports, &pendingReport{Report: report, recorded: true, adopted: true})
		}
	}
	slices.SortFunc(r.reports, func(a, b *pendingReport) int { return int(a.Window - b.Window) })
	r.dropCompleted()
}

// dropCompleted drops what others have recorded and completed, which must not be reported again.
func (r *Reporter) dropCompleted() {
	r.reports = slices.DeleteFunc(r.reports, func(p *pendingReport) bool { return !p.recorded && p.Window <= r.last })
	if !r.started || r.next <= r.last {
		r.started, r.next, r.collection, r.previousTo = true, r.last+1, nil, 0
	}
}

// adoptOutdated takes over a record of another holder, written in an earlier era of the store, or a missing one. Later
// records may have been lost. A holder that has recorded before goes on with what it knows; any other one reports no window
// that ended before now. It does not repeat the reports of the record either: the record may be from a write that was
// executed after the return, and other counts may have been recorded, and reported, instead of it before.
func (r *Reporter) adoptOutdated(now time.Duration, record Record) {
	r.writeAgain = r.recordedOnce
	r.last = max(r.last, record.Last)
	if !r.started {
		if !r.skipping {
			r.skipping, r.skipFirst, r.skipAt = true, NoWindow, now
			if record.Last != NoWindow {
				r.skipFirst = record.Last + 1
			}
			for _, report := range record.Reports {
				r.events = append(r.events, Event{Outcome: Unconfirmed, First: report.Window, Last: report.Window})
			}
		}
		return
	}
	// The other holder may have sent what it has recorded, this one has not sent what it has not attempted.
	r.reports = slices.DeleteFunc(r.reports, func(p *pendingReport) bool {
		same := slices.ContainsFunc(record.Reports, func(o Report) bool { return o.Window == p.Window && maps.Equal(o.Counts, p.Counts) })
		return p.attempts == 0 && p.Window <= record.Last && !same
	})
	r.dropCompleted()
}

// send sends the oldest recorded report.
func (r *Reporter) send(actions []any, now time.Duration) []any {
	if r.sending || !r.timed || now < r.began+r.Hold || now < r.sendAt {
		return actions
	}
	for _, p := range r.reports {
		if p.recorded {
			r.sending = true
			p.attempts++
			return append(actions, Send{p.Report, r.due(p.Window)})
		}
	}
	return actions
}

// Sent processes the result of Send. After an error, the platform may have accepted the report.
func (r *Reporter) Sent(now time.Duration, window int64, err error) {
	r.sending = false
	i := slices.IndexFunc(r.reports, func(p *pendingReport) bool { return p.Window == window })
	if err != nil {
		r.sendAt = now + r.Retry
		r.sendError = err.Error()
		return
	}
	if i < 0 {
		return // given up
	}
	p := r.reports[i]
	e := Event{Outcome: Accepted, First: window, Last: window, Attempts: p.attempts}
	if p.adopted || p.attempts > 1 {
		e.Outcome = Repeated
	}
	for _, n := range p.Counts {
		e.Requests += n
	}
	r.events = append(r.events, e)
	r.reports = slices.Delete(r.reports, i, i+1)
	r.settled[window] = true
}

// without returns the names for which skip does not hold, sorted.
func without(names []string, skip func(string) bool) []string {
	left := slices.DeleteFunc(slices.Clone(names), skip)
	slices.Sort(left)
	return left
}
