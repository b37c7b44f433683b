// Package quota enforces the rate and burst of workspaces with token buckets. For each workspace one VM, its
// allocator, holds the tokens, so that the whole rate can be used at any service. The owners of services
// request the tokens for their statements from it. While the allocator is unreachable, each owner admits an
// equal share of the rate.
//
// The package performs no I/O and reads no clock. Its types are not safe for concurrent use.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrouter/internal/directory"
)

// initialFill is the share of the burst with which a bucket starts. The previous allocator may have admitted
// the burst already; a full bucket would let it be used twice within a window.
const initialFill = 0.5

// bucket is the token bucket of one workspace.
type bucket struct {
	tokens      float64
	updated     time.Duration
	rate, burst float64
}

// Limiter holds the token buckets of workspaces.
type Limiter struct {
	share    float64 // of each rate and burst
	minBurst float64 // lower bound of the scaled burst
	buckets  map[string]*bucket
}

// NewLimiter returns a limiter that admits the given share of every rate and burst. minBurst is the lower bound
// of the scaled burst; with less than 1 a workspace could never send a request.
func NewLimiter(share, minBurst float64) *Limiter {
	return &Limiter{share: share, minBurst: minBurst, buckets: map[string]*bucket{}}
}

// SetShare changes the share of every rate and burst that the limiter admits.
func (l *Limiter) SetShare(share float64) { l.share = share }

// Take takes up to n tokens of a workspace and returns how many it got.
func (l *Limiter) Take(now time.Duration, w directory.Workspace, n int) int {
	rate := w.Rate * l.share
	burst := max(w.Burst*l.share, l.minBurst)
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{tokens: max(burst*initialFill, 1), updated: now, rate: rate, burst: burst}
		l.buckets[w.Name] = b
	}
	b.tokens += b.rate * max(now-b.updated, 0).Seconds()
	b.updated = max(b.updated, now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
	taken := min(n, int(b.tokens))
	b.tokens -= float64(taken)
	return taken
}

// AllocatorService returns the service whose owner is the token allocator of a workspace. The services must be
// sorted, so that all VMs that know the same services agree.
func AllocatorService(workspace string, services []string) string {
	if len(services) == 0 {
		return ""
	}
	return services[xxhash.Sum64String(workspace)%uint64(len(services))]
}
