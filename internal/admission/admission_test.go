package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/fairqueue"
)

// scheduler is a queue under test.
type scheduler interface {
	Enqueue(now time.Duration, s Statement) []Refusal
	Next(now time.Duration) (id uint64, ok bool, refused []Refusal)
	Done(now time.Duration, id uint64)
	Expire(now time.Duration) []Refusal
}

// firstCome serves statements in the order of their arrival until their timeout, as the queue did that this
// package replaced.
type firstCome struct{ *fairqueue.Queue }

func (f firstCome) Enqueue(now time.Duration, s Statement) []Refusal {
	return reasons(f.Queue.Enqueue(now, fairqueue.Request{
		ID: s.ID, Workspace: s.Workspace, Weight: s.Weight, Deadline: s.Arrived + s.Timeout,
	}))
}

func (f firstCome) Next(now time.Duration) (uint64, bool, []Refusal) {
	id, ok, refused := f.Queue.Next(now)
	return id, ok, reasons(refused)
}

func (f firstCome) Done(now time.Duration, id uint64)  { f.Queue.Done(now, id) }
func (f firstCome) Expire(now time.Duration) []Refusal { return reasons(f.Queue.Expire(now)) }

func reasons(list []fairqueue.Refusal) (refused []Refusal) {
	for _, r := range list {
		refused = append(refused, Refusal{r.ID, r.Err.Reason})
	}
	return refused
}

// load is a simulated load on one server.
type load struct {
	slots     int
	service   time.Duration // of one statement
	length    time.Duration
	objective time.Duration
	timeout   time.Duration
	rate      func(at time.Duration) float64 // arrivals per second
	workspace func(n int) string
}

// result counts the outcomes of statements.
type result struct {
	asked, inTime, late, refused map[string]int // by workspace
	longestRefusal               time.Duration  // from arrival to rejection
	heldRefusals                 int            // rejected after more than a quarter of the objective
}

func (r result) sum(m map[string]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

type completion struct {
	at time.Duration
	id uint64
}

type completions []completion

func (e completions) Len() int           { return len(e) }
func (e completions) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completions) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completions) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completions) Pop() any          { l := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return l }

// simulate runs a load in simulated time against a server with exactly the given number of slots.
func (l load) simulate(t *testing.T, q scheduler, measure func(time.Duration)) result {
	t.Helper()
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	r := result{asked: map[string]int{}, inTime: map[string]int{}, late: map[string]int{}, refused: map[string]int{}}
	open := map[uint64]Statement{}
	var running completions
	free := make([]time.Duration, l.slots) // when each slot of the server becomes free
	next, n := uint64(0), 0
	refuse := func(now time.Duration, list []Refusal) {
		for _, x := range list {
			s, ok := open[x.ID]
			if !ok {
				t.Fatalf("statement %d refused twice or after its end", x.ID)
			}
			delete(open, x.ID)
			r.refused[s.Workspace]++
			r.longestRefusal = max(r.longestRefusal, now-s.Arrived)
			if now-s.Arrived > l.objective/4 {
				r.heldRefusals++
			}
		}
	}
	start := func(now time.Duration) {
		for {
			id, ok, refused := q.Next(now)
			refuse(now, refused)
			if !ok {
				return
			}
			slot := 0
			for i := range free {
				if free[i] < free[slot] {
					slot = i
				}
			}
			// The server queues statements in excess of its slots.
			free[slot] = max(free[slot], now) + time.Duration(float64(l.service)*(0.7+0.6*random.Float64()))
			measure(free[slot] - now)
			heap.Push(&running, completion{free[slot], id})
		}
	}
	for now := time.Duration(0); now < l.length+l.timeout; now += step {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(completion)
			s := open[e.id]
			delete(open, e.id)
			q.Done(now, e.id)
			if now-s.Arrived <= l.objective {
				r.inTime[s.Workspace]++
			} else if now-s.Arrived <= l.timeout {
				r.late[s.Workspace]++
			}
		}
		if now < l.length && random.Float64() < l.rate(now)*step.Seconds() {
			next++
			s := Statement{
				ID: next, Workspace: l.workspace(n), Weight: 1, Arrived: now, LatencyObjective: l.objective, Timeout: l.timeout,
			}
			n++
			open[next] = s
			r.asked[s.Workspace]++
			refuse(now, q.Enqueue(now, s))
		}
		if now%(50*step) == 0 {
			refuse(now, q.Expire(now))
		}
		start(now)
	}
	if len(open) > 0 {
		t.Errorf("%d statements have no outcome", len(open))
	}
	return r
}

func singleWorkspace(int) string { return "w" }

// capacity returns how many statements the slots can serve under the load.
func (l load) capacity() int { return int(float64(l.slots) * l.length.Seconds() / l.service.Seconds()) }

// Guards against a standing queue under overload: at twice the load that a server can serve, callers wait for
// longer than their objective, and the completed work is useless to them. Most of what the slots can serve must
// be in time, and in total no fewer statements may be served than by a first-in, first-out queue.
func TestTwiceTheCapacity(t *testing.T) {
	is := is.New(t)
	l := load{
		slots: 3, service: 18 * time.Millisecond, length: 20 * time.Second, objective: 250 * time.Millisecond,
		timeout: 2500 * time.Millisecond, rate: func(time.Duration) float64 { return 333 }, workspace: singleWorkspace,
	}
	q := New(l.slots)
	got := l.simulate(t, q, q.ObserveServiceTime)
	before := l.simulate(t, firstCome{fairqueue.New(fairqueue.Limits{
		Slots: l.slots + extraInFlight, Waiting: maxWaiting, PerWorkspace: maxWaitingPerWorkspace,
	})}, func(time.Duration) {})
	t.Logf("capacity %d; in time %d, late %d, refused late %d of %d; first come: in time %d, late %d", l.capacity(),
		got.inTime["w"], got.late["w"], got.heldRefusals, got.refused["w"], before.inTime["w"], before.late["w"])
	is.True(got.inTime["w"]*10 >= l.capacity()*8)
	is.True(got.inTime["w"] > 2*before.inTime["w"])
	is.True((got.inTime["w"]+got.late["w"])*100 >= (before.inTime["w"]+before.late["w"])*95)
}

// Guards against rejecting statements of a short burst that can still be served late: a statement that waits
// beyond its objective is answered as long as its timeout allows.
func TestBurstIsServedLate(t *testing.T) {
	is := is.New(t)
	l := load{
		slots: 3, service: 18 * time.Millisecond, length: 6 * time.Second, objective: 150 * time.Millisecond,
		timeout: 2500 * time.Millisecond, workspace: singleWorkspace,
		rate: func(at time.Duration) float64 {
			if at > time.Second && at < 1600*time.Millisecond {
				return 300
			}
			return 60
		},
	}
	q := New(l.slots)
	got := l.simulate(t, q, q.ObserveServiceTime)
	t.Logf("asked %d, in time %d, late %d, refused %d", got.asked["w"], got.inTime["w"], got.late["w"], got.refused["w"])
	is.True(got.refused["w"]*100 <= got.asked["w"]*2)
	is.True(got.late["w"] > 0)
}

// Guards against rejecting statements only after their timeout although it was known on arrival that no slot
// would become free.
func TestHopelessStatementsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	l := load{
		slots: 1, service: 50 * time.Millisecond, length: 5 * time.Second, objective: 100 * time.Millisecond,
		timeout: 400 * time.Millisecond, rate: func(time.Duration) float64 { return 200 }, workspace: singleWorkspace,
	}
	q := New(l.slots)
	got := l.simulate(t, q, q.ObserveServiceTime)
	t.Logf("refused %d, %d of them late, the last after %v", got.refused["w"], got.heldRefusals, got.longestRefusal)
	is.True(got.longestRefusal < l.timeout)
	is.True(got.inTime["w"]+got.late["w"] >= l.capacity()*8/10)
}

// Guards against a large workspace that takes the slots of a small one under overload.
func TestSmallWorkspaceKeepsItsShare(t *testing.T) {
	is := is.New(t)
	l := load{
		slots: 3, service: 18 * time.Millisecond, length: 10 * time.Second, objective: 250 * time.Millisecond,
		timeout: 2500 * time.Millisecond, rate: func(time.Duration) float64 { return 500 },
		workspace: func(n int) string {
			if n%20 == 0 {
				return "small"
			}
			return "large"
		},
	}
	q := New(l.slots)
	got := l.simulate(t, q, q.ObserveServiceTime)
	t.Logf("small: %d of %d in time; large: %d of %d", got.inTime["small"], got.asked["small"], got.inTime["large"], got.asked["large"])
	is.True(got.inTime["small"]*100 >= got.asked["small"]*95)
	is.True(got.sum(got.inTime)*10 >= l.capacity()*8)
}

// Guards against statements that get no outcome or more than one, for any order of calls.
func TestEveryStatementHasOneOutcome(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			q := New(1 + random.IntN(4))
			waiting, running := map[uint64]bool{}, map[uint64]bool{}
			drop := func(list []Refusal) {
				for _, r := range list {
					if !waiting[r.ID] {
						t.Fatalf("statement %d was refused and does not wait", r.ID)
					}
					delete(waiting, r.ID)
				}
			}
			now, next := time.Duration(0), uint64(0)
			for range 3000 {
				now += time.Duration(random.IntN(8)) * time.Millisecond
				switch random.IntN(6) {
				case 0, 1:
					next++
					waiting[next] = true
					drop(q.Enqueue(now, Statement{
						ID: next, Workspace: fmt.Sprint(random.IntN(3)), Weight: 1 + random.IntN(5), Arrived: now,
						LatencyObjective: time.Duration(random.IntN(3)*20) * time.Millisecond, Timeout: 200 * time.Millisecond,
					}))
				case 2:
					for id := range running {
						delete(running, id)
						q.Done(now, id)
						q.ObserveServiceTime(time.Duration(random.IntN(40)) * time.Millisecond)
						break
					}
				case 3:
					drop(q.Expire(now))
				case 4:
					for id := range waiting {
						if !q.Cancel(id) {
							t.Fatalf("statement %d waits and cannot be cancelled", id)
						}
						delete(waiting, id)
						break
					}
				case 5:
					id, ok, refused := q.Next(now)
					drop(refused)
					if ok && !waiting[id] {
						t.Fatalf("statement %d starts and does not wait", id)
					}
					if ok {
						delete(waiting, id)
						running[id] = true
					}
				}
			}
			for id := range running {
				q.Done(now, id)
			}
			drop(q.Expire(now + time.Hour))
			if len(waiting) > 0 || len(q.waiting) > 0 || len(q.requeued) > 0 || len(q.overdue) > 0 {
				t.Fatalf("%d statements are left, %d in the queue", len(waiting), len(q.waiting)+len(q.overdue))
			}
		})
	}
}
