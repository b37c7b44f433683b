// Package quota keeps the rate and burst of workspaces. For each workspace one VM is the keeper of its
// tokens, so that the whole rate can be used at any service; the owners of services ask it for the tokens
// of their requests. While the keeper cannot be reached, an owner admits an equal part of the rate.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrouter/internal/directory"
)

// initialShare is the part of a burst with which a bucket starts. The keeper before may have spent the
// burst; a full bucket would let it be spent twice within a window.
const initialShare = 0.5

// bucket holds the tokens of one workspace.
type bucket struct {
	tokens      float64
	at          time.Duration
	rate, burst float64
}

// Limiter holds the buckets of workspaces.
type Limiter struct {
	part    float64 // of each rate and burst
	least   float64 // least burst
	buckets map[string]*bucket
}

// NewLimiter returns a book that admits the given part of every rate. least is the least burst; below 1 a
// workspace could never send a request.
func NewLimiter(part, least float64) *Limiter {
	return &Limiter{part: part, least: least, buckets: map[string]*bucket{}}
}

// SetShare changes the part of every rate that the book admits.
func (b *Limiter) SetShare(part float64) { b.part = part }

// Take takes up to n tokens of a workspace and returns how many there were.
func (b *Limiter) Take(now time.Duration, w directory.Workspace, n int) int {
	rate := w.Rate * b.part
	burst := max(w.Burst*b.part, b.least)
	k := b.buckets[w.Name]
	if k == nil {
		k = &bucket{tokens: max(burst*initialShare, 1), at: now, rate: rate, burst: burst}
		b.buckets[w.Name] = k
	}
	k.tokens += k.rate * max(now-k.at, 0).Seconds()
	k.at = max(k.at, now)
	k.rate, k.burst = rate, burst
	k.tokens = min(k.tokens, burst)
	taken := min(n, int(k.tokens))
	k.tokens -= float64(taken)
	return taken
}

// AllocatorService returns the service whose owner keeps the tokens of a workspace. The names are sorted, so that all
// VMs that know the same services agree.
func AllocatorService(workspace string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return names[xxhash.Sum64String(workspace)%uint64(len(names))]
}
