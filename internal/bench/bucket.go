package bench

import (
	"container/heap"
	"slices"
	"time"
)

// admission is one decision of the rate limit, made between from and to.
type admission struct {
	from, to time.Duration
	admitted bool
}

// bucket is an exact token bucket that starts full.
type bucket struct {
	rate, burst float64 // tokens per second, tokens
	tokens      float64
	at          time.Duration
}

func newBucket(rate, burst float64) *bucket { return &bucket{rate: rate, burst: burst, tokens: burst} }

// advance adds the tokens of the time up to now.
func (b *bucket) advance(now time.Duration) {
	if now > b.at {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// rounding absorbs the errors of floating-point sums of tokens.
const rounding = 1e-6

// take takes one token if there is one.
func (b *bucket) take(now time.Duration) bool {
	b.advance(now)
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}

// entitled returns how many requests that arrive at the given times one exact bucket admits.
func entitled(arrivals []time.Duration, rate, burst float64) int {
	b := newBucket(rate, burst)
	slices.Sort(arrivals)
	n := 0
	for _, at := range arrivals {
		if b.take(at) {
			n++
		}
	}
	return n
}

// refusedInside counts the refusals that one exact bucket would have admitted in addition to what
// the fleet admitted, separately for decisions before and after steady. A counted refusal takes its
// token, so that the count never exceeds what the rate and burst leave.
func refusedInside(decisions []admission, rate, burst float64, steady time.Duration) (before, after int) {
	b := newBucket(rate, burst)
	sorted := slices.Clone(decisions)
	slices.SortStableFunc(sorted, func(x, y admission) int { return int(x.to - y.to) })
	for _, d := range sorted {
		b.advance(d.to)
		switch {
		case d.admitted:
			b.tokens--
		case b.tokens >= 1-rounding && d.to < steady:
			b.tokens--
			before++
		case b.tokens >= 1-rounding:
			b.tokens--
			after++
		}
	}
	return before, after
}

// overAdmitted returns how many admissions exceed an exact bucket whatever the moment of each
// decision between its from and to was. It schedules the admissions by earliest deadline, which
// finds a feasible assignment of moments if there is one.
func overAdmitted(decisions []admission, rate, burst float64) int {
	var jobs []admission
	for _, d := range decisions {
		if d.admitted {
			jobs = append(jobs, d)
		}
	}
	slices.SortFunc(jobs, func(x, y admission) int { return int(x.from - y.from) })
	b := newBucket(rate, burst)
	var open deadlines
	over, next := 0, 0
	var now time.Duration
	for next < len(jobs) || len(open) > 0 {
		if len(open) == 0 {
			now = max(now, jobs[next].from)
		}
		for next < len(jobs) && jobs[next].from <= now {
			heap.Push(&open, jobs[next].to)
			next++
		}
		if open[0] < now {
			heap.Pop(&open)
			over++
			continue
		}
		if b.take(now) {
			heap.Pop(&open)
			continue
		}
		now = b.nextToken(now)
		if next < len(jobs) {
			now = min(now, max(jobs[next].from, b.at+1))
		}
	}
	return over
}

// nextToken returns the time at which the bucket holds a whole token.
func (b *bucket) nextToken(now time.Duration) time.Duration {
	wait := (1 - b.tokens) / b.rate
	return max(now+time.Duration(wait*float64(time.Second)), now+1)
}

// deadlines is a heap of times, the earliest first.
type deadlines []time.Duration

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i] < d[j] }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deadlines) Push(x any)        { *d = append(*d, x.(time.Duration)) }
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
