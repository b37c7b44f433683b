// Package usage counts the requests that servers run for each workspace, and decides which windows of these counts a
// fleet reports, when and under which conditions. It has no I/O, clock or goroutine. Its types are not safe for concurrent
// use.
package usage

import (
	"slices"
	"time"
)

const (
	// BucketWidth is the resolution of the edges of a range: with 20 ms, a window of 5 s is off by 0.4% at most.
	BucketWidth = 20 * time.Millisecond
	// minNames is the number of workspaces up to which the names of a Meter are never cleaned up.
	minNames = 256
)

// entry is the count of one workspace in a bucket.
type entry struct {
	name  uint32
	count int32
}

type bucket struct {
	index   int64 // number of the bucket since the start of the clock
	entries []entry
}

// Meter counts requests by workspace and time. Times are on the clock of the caller, which must not go back. A Meter
// covers a fixed time; its memory is bounded by the number of requests and workspaces within that time.
type Meter struct {
	since     time.Duration
	buckets   []bucket
	numbers   map[string]uint32 // of the workspaces
	names     []string          // by number
	cleanUpAt int
}

// NewMeter returns a meter that counts from now on and covers the given time.
func NewMeter(now, covers time.Duration) *Meter {
	return &Meter{since: now, buckets: make([]bucket, covers/BucketWidth+2), numbers: map[string]uint32{}, cleanUpAt: minNames}
}

// Since returns the time from which on the meter has counted.
func (m *Meter) Since() time.Duration { return m.since }

// Add adds n requests that were sent at a time. n is negative to take back earlier ones.
func (m *Meter) Add(workspace string, at time.Duration, n int) {
	index := int64(at / BucketWidth)
	b := &m.buckets[index%int64(len(m.buckets))]
	if b.index > index {
		return // older than what the meter covers
	}
	if b.index < index {
		b.index, b.entries = index, b.entries[:0]
	}
	name := m.number(workspace)
	for i := range b.entries {
		if b.entries[i].name == name {
			b.entries[i].count += int32(n)
			return
		}
	}
	b.entries = append(b.entries, entry{name, int32(n)})
}

// number returns the number of a workspace.
func (m *Meter) number(workspace string) uint32 {
	if n, ok := m.numbers[workspace]; ok {
		return n
	}
	if len(m.names) >= m.cleanUpAt {
		m.cleanUp()
	}
	n := uint32(len(m.names))
	m.names = append(m.names, workspace)
	m.numbers[workspace] = n
	return n
}

// cleanUp forgets the names of workspaces that are in no bucket.
func (m *Meter) cleanUp() {
	names, numbers := []string{}, map[string]uint32{}
	for i := range m.buckets {
		for j := range m.buckets[i].entries {
			e := &m.buckets[i].entries[j]
			workspace := m.names[e.name]
			n, ok := numbers[workspace]
			if !ok {
				n = uint32(len(names))
				names = append(names, workspace)
				numbers[workspace] = n
			}
			e.name = n
		}
	}
	m.names, m.numbers = names, numbers
	m.cleanUpAt = max(minNames, 2*len(names))
}

// Counts returns the requests sent from one time to another, by workspace. Adjacent ranges share no request.
func (m *Meter) Counts(from, to time.Duration) map[string]int {
	counts := map[string]int{}
	first, end := edge(from), edge(to)
	for i := range m.buckets {
		b := &m.buckets[i]
		if b.index < first || b.index >= end {
			continue
		}
		for _, e := range b.entries {
			counts[m.names[e.name]] += int(e.count)
		}
	}
	for workspace, n := range counts {
		if n <= 0 {
			delete(counts, workspace)
		}
	}
	return counts
}

// edge returns the first bucket of a range that begins at a time; it is that of the nearest bucket boundary.
func edge(at time.Duration) int64 { return int64((at + BucketWidth/2) / BucketWidth) }

// Span holds the counts of one bucket.
type Span struct {
	Age    time.Duration  `cbor:"1,keyasint,omitzero"` // of the middle of the bucket
	Counts map[string]int `cbor:"2,keyasint,omitzero"`
}

// Spans returns all buckets that the meter covers, oldest first.
func (m *Meter) Spans(now time.Duration) []Span {
	var spans []Span
	oldest := int64(now/BucketWidth) - int64(len(m.buckets))
	for _, b := range m.buckets {
		if len(b.entries) == 0 || b.index <= oldest {
			continue
		}
		s := Span{Age: now - time.Duration(b.index)*BucketWidth - BucketWidth/2, Counts: map[string]int{}}
		for _, e := range b.entries {
			s.Counts[m.names[e.name]] = int(e.count)
		}
		spans = append(spans, s)
	}
	slices.SortFunc(spans, func(a, b Span) int { return int(b.Age - a.Age) })
	return spans
}

// Merge adds the buckets of another VM's meter.
func (m *Meter) Merge(now time.Duration, spans []Span) {
	for _, s := range spans {
		at := min(now-s.Age, now)
		if at < 0 {
			continue // before the start of this VM's clock
		}
		for workspace, n := range s.Counts {
			m.Add(workspace, at, n)
		}
	}
}
