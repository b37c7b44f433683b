package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/promotion"
	"siskinrouter/internal/session"
)

const (
	writeShare     = 0.2  // of the requests
	remembered     = 256  // acknowledged writes of a workspace that reads choose from
	maxArrivals    = 8192 // requests that wait for a free caller
	sessionRate    = 2.0  // requests per second of one session
	greedyInFlight = 0.15 // seconds that a refused request occupies a caller, which includes its wait for tokens
)

// load drives the callers of all workspaces.
type load struct {
	ctx      context.Context
	fleet    *devfleet.Fleet
	start    time.Time
	recorder *recorder
	sealer   *session.Sealer
	spaces   []*workspaceLoad
	wg       sync.WaitGroup
	ready    sync.WaitGroup // callers that have not connected yet
}

// workspaceLoad is the demand of one workspace.
type workspaceLoad struct {
	index  int
	name   string
	group  int
	rate   float64 // requests per second that arrive
	writes chan time.Duration
	reads  chan time.Duration
	prefix string

	mu     sync.Mutex
	key    string // secret
	next   int
	recent []string // acknowledged writes, newest last
}

func (w *workspaceLoad) secret() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.key
}

func (w *workspaceLoad) setSecret(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.key = key
}

func (w *workspaceLoad) nextKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return fmt.Sprintf("%s-%d", w.prefix, w.next)
}

func (w *workspaceLoad) remember(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recent = append(w.recent, key)
	if len(w.recent) > remembered {
		w.recent = w.recent[1:]
	}
}

// recall returns the newest write in half of the calls, otherwise any of the remembered ones.
func (w *workspaceLoad) recall(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.recent)
	switch {
	case n == 0:
		return ""
	case r.IntN(2) == 0:
		return w.recent[n-1]
	}
	return w.recent[r.IntN(n)]
}

// newLoad prepares callers. factors holds the demand of each workspace relative to its rate.
func newLoad(ctx context.Context, f *devfleet.Fleet, rec *recorder, factors []float64) *load {
	l := &load{
		ctx: ctx, fleet: f, recorder: rec,
		sealer: session.NewSealer([]byte(f.FleetKey())),
	}
	for i, w := range f.Deployment.Workspaces {
		l.spaces = append(l.spaces, &workspaceLoad{
			index: i, name: w.Name, group: f.Deployment.GroupOf(i), rate: w.Rate * factors[i],
			key: f.Keys[w.Name], prefix: w.Name,
			writes: make(chan time.Duration, maxArrivals), reads: make(chan time.Duration, maxArrivals),
		})
	}
	return l
}

func (l *load) now() time.Duration { return time.Since(l.start) }

// carriesTokens reports whether a session carries tokens: those of the first group do, those of the
// second do not, and in the other groups every second one does. Targets count their reads, so this
// tells both kinds apart.
func carriesTokens(group, session int) bool {
	switch group {
	case 0:
		return true
	case 1:
		return false
	}
	return session%2 == 0
}

// connect starts the callers, which wait for arrivals.
func (l *load) connect(seed uint64) {
	for _, w := range l.spaces {
		entitled := l.fleet.Deployment.Workspaces[w.index].Rate
		sessions := int(min(w.rate, entitled)/sessionRate) + int(max(w.rate-entitled, 0)*greedyInFlight)
		l.startCallers(w, max(sessions, 1), seed)
	}
	l.ready.Wait()
}

// run generates load until the given time and waits for the answers.
func (l *load) run(until time.Duration, seed uint64) {
	for _, w := range l.spaces {
		l.wg.Go(func() { l.arrive(w, until, rand.New(rand.NewPCG(seed, uint64(w.index)))) })
	}
	l.wg.Wait()
}

// startCallers starts sessions, each with one connection that writes and one that reads.
func (l *load) startCallers(w *workspaceLoad, sessions int, seed uint64) {
	add := func(i int, s *customer, route string, arrivals <-chan time.Duration) {
		c := &caller{
			load: l, space: w, session: s, route: route,
			random: rand.New(rand.NewPCG(seed, uint64(10_000*(w.index+1)+i))),
		}
		l.ready.Add(1)
		l.wg.Go(func() { c.run(arrivals) })
	}
	for i := range sessions {
		s := &customer{tokens: carriesTokens(w.group, i)}
		add(2*i, s, devfleet.RouteWrite, w.writes)
		add(2*i+1, s, devfleet.RouteLookup, w.reads)
	}
}

// arrive creates requests at the times of a Poisson process, whether or not earlier ones are answered.
func (l *load) arrive(w *workspaceLoad, until time.Duration, r *rand.Rand) {
	defer close(w.writes)
	defer close(w.reads)
	var due time.Duration
	for {
		due += time.Duration(r.ExpFloat64() / w.rate * float64(time.Second))
		write := r.Float64() < writeShare
		if due >= until {
			return
		}
		pause(l.ctx, due-l.now())
		if l.ctx.Err() != nil {
			return
		}
		queue := w.reads
		if write {
			queue = w.writes
		}
		select {
		case queue <- due:
		default:
			l.recorder.add(sample{workspace: w.index, write: write, due: due, sent: due, done: l.now(), outcome: notRun, state: stateOverload})
		}
	}
}

// stateOverload marks a request that found no free caller and was not sent.
const stateOverload = "no caller"

// pick returns a random VM that serves.
func (l *load) pick(r *rand.Rand) *devfleet.VM {
	var serving []*devfleet.VM
	for _, vm := range l.fleet.VMs() {
		if vm != nil && vm.Serving() {
			serving = append(serving, vm)
		}
	}
	if len(serving) == 0 {
		return nil
	}
	return serving[r.IntN(len(serving))]
}

// heldByMajority reports whether a majority of a group holds the position in a session token.
func (l *load) heldByMajority(group int, token string) bool {
	t, err := l.sealer.Open(token)
	if err != nil {
		return false
	}
	servers := l.fleet.Groups[group].Servers()
	n := 0
	for _, s := range servers {
		if holds(s.Status(), t.Position) {
			n++
		}
	}
	return 2*n > len(servers)
}

// holds reports whether the log of a server contains p. A log with entries of a later term contains
// every acknowledged entry of earlier ones, which the check of the history verifies at the end.
func holds(st promotion.Status, p session.Position) bool {
	return st.LogEnd.Term > p.Term || st.LogEnd.Term == p.Term && st.LogEnd.Offset >= p.Offset
}
