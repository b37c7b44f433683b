// Package quota enforces the rate and burst of workspaces with token buckets. For each workspace one VM, its
// allocator, holds the tokens, so that the whole rate can be used at any service. The VMs that admit requests get
// the tokens for them from it. While the allocator is unreachable, each of them admits an equal share of the rate.
//
// What a predecessor has handed out is not known to its successor unless it passed on the levels of its buckets.
// Therefore a bucket starts nearly empty and fills at the rate, in every change from one source of tokens to
// another: then the tokens of all sources together never exceed one burst and the rate by more than the time in
// which two sources overlap.
//
// The package performs no I/O and reads no clock. Its types are not safe for concurrent use.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrouter/internal/directory"
)

const (
	// initialFill is the share of the burst, and initialTokens the number of tokens, with which the bucket of a new
	// allocator starts.
	initialFill   = 0.05
	initialTokens = 1
	// fallbackFill is the share of the burst with which the fallback buckets of all VMs start together, and
	// fallbackTokens their number of tokens in addition, once in fallbackInterval.
	fallbackFill     = 0.1
	fallbackTokens   = 10
	fallbackInterval = 5 * time.Second
	// fullFallbackTime is the time in which a failed allocator is replaced. A VM that is cut off from an allocator
	// for longer admits lastingFallback of its share: the allocator then still serves the other VMs.
	fullFallbackTime = 1500 * time.Millisecond
	lastingFallback  = 0.1
	// minBurst allows single requests of a workspace with a small rate.
	minBurst = 1
)

// bucket is the token bucket of one workspace.
type bucket struct {
	tokens      float64 // negative after a debit
	initial     float64 // tokens at the start that no predecessor has passed on
	updated     time.Duration
	rate, burst float64
}

// refill adds the tokens since the last update at the rate that applied, and applies the given limits from now on.
func (b *bucket) refill(now time.Duration, rate, burst float64) {
	b.tokens += b.rate * max(now-b.updated, 0).Seconds()
	b.updated = max(b.updated, now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// take takes up to n tokens and returns how many it got.
func (b *bucket) take(n int) int {
	taken := max(min(n, int(b.tokens)), 0)
	b.tokens -= float64(taken)
	return taken
}

// Allocator holds the tokens of the workspaces for which this VM is the allocator, during one ownership.
type Allocator struct {
	started time.Duration
	buckets map[string]*bucket
	levels  map[string]float64 // passed on by the predecessor, by workspace
	debits  map[debitKey]debit // the latest one of each VM
}

// NewAllocator returns an allocator that has started at the given time.
func NewAllocator(started time.Duration) *Allocator {
	return &Allocator{started: started, buckets: map[string]*bucket{}, debits: map[debitKey]debit{}}
}

// bucket returns the bucket of a workspace at the given time. share is the share of the rate and burst that the VMs that
// can reach this one may use; the others use theirs without asking.
func (a *Allocator) bucket(now time.Duration, w directory.Workspace, share float64) *bucket {
	rate, burst := w.Rate*share, max(w.Burst*share, minBurst)
	b := a.buckets[w.Name]
	if b == nil {
		b = &bucket{updated: a.started, rate: rate}
		if level, ok := a.levels[w.Name]; ok {
			b.tokens = level
		} else {
			b.initial = initialFill*w.Burst + initialTokens
			b.tokens = b.initial
		}
		a.buckets[w.Name] = b
	}
	b.refill(now, rate, burst)
	return b
}

// Take takes up to n tokens of a workspace and returns how many it got.
func (a *Allocator) Take(now time.Duration, w directory.Workspace, share float64, n int) int {
	return a.bucket(now, w, share).take(n)
}

// Debit removes the tokens that a VM has admitted without asking since the start of an outage. A VM repeats a debit until
// it gets a response, so only what was not yet debited counts. The level does not fall below an empty burst.
func (a *Allocator) Debit(now time.Duration, w directory.Workspace, share float64, vm string, outage time.Duration, spent int) {
	key := debitKey{w.Name, vm}
	last := a.debits[key]
	if last.outage != outage {
		last = debit{outage: outage}
	}
	if spent <= last.spent {
		return
	}
	b := a.bucket(now, w, share)
	b.tokens = max(b.tokens-float64(spent-last.spent), -w.Burst)
	a.debits[key] = debit{outage, spent}
}

type debitKey struct{ workspace, vm string }

type debit struct {
	outage time.Duration
	spent  int
}

// Levels returns the levels of the buckets, to be passed on to the successor.
func (a *Allocator) Levels(now time.Duration) map[string]float64 {
	levels := make(map[string]float64, len(a.buckets))
	for name, b := range a.buckets {
		b.refill(now, b.rate, b.burst)
		levels[name] = b.tokens
	}
	return levels
}

// Inherit adds the levels passed on by the predecessor. It has an effect only once.
func (a *Allocator) Inherit(levels map[string]float64) {
	if a.levels != nil {
		return
	}
	a.levels = levels
	for name, b := range a.buckets {
		if level, ok := levels[name]; ok {
			b.tokens += level - b.initial
		}
	}
}

// Reassign drops the buckets of workspaces that have another allocator, and starts those of workspaces that it gets.
func (a *Allocator) Reassign(now time.Duration, mine func(workspace string) bool) {
	a.started = max(a.started, now)
	a.levels = map[string]float64{}
	for name := range a.buckets {
		if !mine(name) {
			delete(a.buckets, name)
		}
	}
}

// Source identifies an allocator: an ownership of the service whose owner allocates.
type Source struct {
	Service string
	Epoch   uint64
}

// Fallback admits requests of one workspace on one VM while its allocator is unreachable.
type Fallback struct {
	bucket
	source    Source
	lastGrant time.Duration // latest response of an allocator
	began     time.Duration // start of this outage, over changes of the source
	entered   time.Duration // start of this outage of source
	active    bool
	spent     int // tokens taken during this outage
}

// NewFallback returns the fallback of a VM that has just started.
func NewFallback(now time.Duration) *Fallback {
	return &Fallback{lastGrant: now, began: now - fallbackInterval}
}

// Granted records a response of an allocator and ends the outage.
func (f *Fallback) Granted(now time.Duration) {
	f.lastGrant = max(f.lastGrant, now)
	f.active = false
	f.spent = 0
}

// Take takes up to n tokens and returns how many it got. source is the allocator that cannot be reached, and vms the
// number of VMs that may admit requests.
func (f *Fallback) Take(now time.Duration, w directory.Workspace, source Source, vms, n int) int {
	share := 1 / float64(max(vms, 1))
	rate, burst := w.Rate*share, max(w.Burst*share, minBurst)
	if !f.active {
		f.active = true
		first := min(fallbackTokens*share, 1) * min(1, (now-f.began).Seconds()/fallbackInterval.Seconds())
		f.bucket = bucket{updated: now, rate: rate,
			tokens: min(rate*max(now-f.lastGrant, 0).Seconds(), fallbackFill*w.Burst*share) + first}
		f.source, f.began, f.entered, f.spent = source, now, now, 0
	}
	if f.source != source {
		f.source, f.entered, f.spent = source, now, 0
	}
	if now-f.began >= fullFallbackTime {
		rate *= lastingFallback
	}
	f.refill(now, rate, burst)
	taken := f.take(n)
	f.spent += taken
	return taken
}

// Outage returns the start of the current outage of a source and the tokens taken since, which the source does not know
// of. Both are 0 if there is none.
func (f *Fallback) Outage(source Source) (since time.Duration, spent int) {
	if !f.active || f.source != source {
		return 0, 0
	}
	return f.entered, f.spent
}

// AllocatorService returns the service whose owner is the token allocator of a workspace. The services must be
// sorted, so that all VMs that know the same services agree.
func AllocatorService(workspace string, services []string) string {
	if len(services) == 0 {
		return ""
	}
	return services[xxhash.Sum64String(workspace)%uint64(len(services))]
}
