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

// firstCome serves everything in turn until its time limit, as the queue did that this package replaced.
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

// day is a load on one server.
type day struct {
	slots     int
	service   time.Duration // of one statement
	length    time.Duration
	objective time.Duration
	limit     time.Duration
	rate      func(at time.Duration) float64 // arrivals per second
	workspace func(n int) string
}

// result is what callers got.
type result struct {
	asked, inTime, late, refused map[string]int // by workspace
	longestRefusal               time.Duration  // from arrival to refusal
	heldRefusals                 int            // refused after more than a quarter of the objective
}

func (r result) sum(m map[string]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

type ending struct {
	at time.Duration
	id uint64
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any          { l := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return l }

// play runs a day in simulated time against a server with exactly the given slots.
func (d day) play(t *testing.T, q scheduler, measure func(time.Duration)) result {
	t.Helper()
	const step = time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	r := result{asked: map[string]int{}, inTime: map[string]int{}, late: map[string]int{}, refused: map[string]int{}}
	open := map[uint64]Statement{}
	var running endings
	free := make([]time.Duration, d.slots) // when each slot of the server becomes free
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
			if now-s.Arrived > d.objective/4 {
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
			// The server queues what exceeds its slots.
			free[slot] = max(free[slot], now) + time.Duration(float64(d.service)*(0.7+0.6*random.Float64()))
			measure(free[slot] - now)
			heap.Push(&running, ending{free[slot], id})
		}
	}
	for now := time.Duration(0); now < d.length+d.limit; now += step {
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(ending)
			s := open[e.id]
			delete(open, e.id)
			q.Done(now, e.id)
			if now-s.Arrived <= d.objective {
				r.inTime[s.Workspace]++
			} else if now-s.Arrived <= d.limit {
				r.late[s.Workspace]++
			}
		}
		if now < d.length && random.Float64() < d.rate(now)*step.Seconds() {
			next++
			s := Statement{
				ID: next, Workspace: d.workspace(n), Weight: 1, Arrived: now, LatencyObjective: d.objective, Timeout: d.limit,
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

func one(int) string { return "w" }

// capacity returns how many statements the slots can serve in a day.
func (d day) capacity() int { return int(float64(d.slots) * d.length.Seconds() / d.service.Seconds()) }

// Guards against a standing queue on the heaviest days: at twice the load that a server can serve, callers wait
// for longer than their objective, and what is served helps nobody. Most of what the slots can serve has to
// be in time, and in all no fewer callers may be served than first come, first served does.
func TestTwiceTheCapacity(t *testing.T) {
	is := is.New(t)
	d := day{
		slots: 3, service: 18 * time.Millisecond, length: 20 * time.Second, objective: 250 * time.Millisecond,
		limit: 2500 * time.Millisecond, rate: func(time.Duration) float64 { return 333 }, workspace: one,
	}
	q := New(d.slots)
	got := d.play(t, q, q.ObserveServiceTime)
	before := d.play(t, firstCome{fairqueue.New(fairqueue.Limits{
		Slots: d.slots + slotSurplus, Waiting: maxWaiting, PerWorkspace: maxWaitingPerWorkspace,
	})}, func(time.Duration) {})
	t.Logf("capacity %d; in time %d, late %d, refused late %d of %d; first come: in time %d, late %d", d.capacity(),
		got.inTime["w"], got.late["w"], got.heldRefusals, got.refused["w"], before.inTime["w"], before.late["w"])
	is.True(got.inTime["w"]*10 >= d.capacity()*8)
	is.True(got.inTime["w"] > 2*before.inTime["w"])
	is.True((got.inTime["w"]+got.late["w"])*100 >= (before.inTime["w"]+before.late["w"])*95)
}

// Guards against refusals while a short burst can still be served late: a caller that waits beyond its
// objective gets its answer as long as the time limit allows.
func TestBurstIsServedLate(t *testing.T) {
	is := is.New(t)
	d := day{
		slots: 3, service: 18 * time.Millisecond, length: 6 * time.Second, objective: 150 * time.Millisecond,
		limit: 2500 * time.Millisecond, workspace: one,
		rate: func(at time.Duration) float64 {
			if at > time.Second && at < 1600*time.Millisecond {
				return 300
			}
			return 60
		},
	}
	q := New(d.slots)
	got := d.play(t, q, q.ObserveServiceTime)
	t.Logf("asked %d, in time %d, late %d, refused %d", got.asked["w"], got.inTime["w"], got.late["w"], got.refused["w"])
	is.True(got.refused["w"]*100 <= got.asked["w"]*2)
	is.True(got.late["w"] > 0)
}

// Guards against statements that are refused only when their time limit has passed, although it was known on
// arrival that no slot would become free.
func TestHopelessStatementsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := day{
		slots: 1, service: 50 * time.Millisecond, length: 5 * time.Second, objective: 100 * time.Millisecond,
		limit: 400 * time.Millisecond, rate: func(time.Duration) float64 { return 200 }, workspace: one,
	}
	q := New(d.slots)
	got := d.play(t, q, q.ObserveServiceTime)
	t.Logf("refused %d, %d of them late, the last after %v", got.refused["w"], got.heldRefusals, got.longestRefusal)
	is.True(got.longestRefusal < d.limit)
	is.True(got.inTime["w"]+got.late["w"] >= d.capacity()*8/10)
}

// Guards against a large workspace that takes the slots of a small one on a heavy day.
func TestSmallWorkspaceKeepsItsPart(t *testing.T) {
	is := is.New(t)
	d := day{
		slots: 3, service: 18 * time.Millisecond, length: 10 * time.Second, objective: 250 * time.Millisecond,
		limit: 2500 * time.Millisecond, rate: func(time.Duration) float64 { return 500 },
		workspace: func(n int) string {
			if n%20 == 0 {
				return "small"
			}
			return "large"
		},
	}
	q := New(d.slots)
	got := d.play(t, q, q.ObserveServiceTime)
	t.Logf("small: %d of %d in time; large: %d of %d", got.inTime["small"], got.asked["small"], got.inTime["large"], got.asked["large"])
	is.True(got.inTime["small"]*100 >= got.asked["small"]*95)
	is.True(got.sum(got.inTime)*10 >= d.capacity()*8)
}

// Guards against statements that have no outcome or two, for any order of calls.
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
			if len(waiting) > 0 || len(q.waiting) > 0 || len(q.second) > 0 || len(q.late) > 0 {
				t.Fatalf("%d statements are left, %d in the queue", len(waiting), len(q.waiting)+len(q.late))
			}
		})
	}
}
