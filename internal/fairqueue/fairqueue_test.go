package fairqueue

import (
	"container/heap"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrouter/internal/verdict"
)

const ms = time.Millisecond

func request(id uint64, workspace string) Request {
	return Request{ID: id, Workspace: workspace, Weight: 1, Deadline: time.Hour}
}

// Guards against a workspace with many waiting requests that delays the first request of another one.
func TestNewcomerIsNotBehindBacklog(t *testing.T) {
	is := is.New(t)
	q := New(Limits{Slots: 1, Waiting: 100, PerWorkspace: 100})
	for id := range uint64(50) {
		is.Equal(len(q.Enqueue(0, request(id, "large"))), 0)
	}
	first, ok, _ := q.Next(0)
	is.True(ok)
	is.Equal(len(q.Enqueue(0, request(100, "small"))), 0)
	is.True(q.Done(ms, first))
	id, ok, _ := q.Next(ms)
	is.True(ok)
	is.Equal(id, uint64(100))
}

// Guards against running more requests than there are slots, and against leaking slots.
func TestSlots(t *testing.T) {
	is := is.New(t)
	q := New(Limits{Slots: 2, Waiting: 10, PerWorkspace: 10})
	for id := range uint64(3) {
		q.Enqueue(0, request(id, "w"))
	}
	for range 2 {
		_, ok, _ := q.Next(0)
		is.True(ok)
	}
	_, ok, _ := q.Next(0)
	is.True(!ok)
	is.True(q.Done(ms, 0))
	is.True(!q.Done(ms, 0))
	id, ok, _ := q.Next(ms)
	is.True(ok)
	is.Equal(id, uint64(2))
}

// Guards against rejections without the reason or without the verdict "not run".
func TestRefusals(t *testing.T) {
	is := is.New(t)
	q := New(Limits{Slots: 1, Waiting: 4, PerWorkspace: 3})
	q.Enqueue(0, request(0, "a"))
	_, _, _ = q.Next(0)
	for id := range uint64(3) {
		is.Equal(len(q.Enqueue(0, request(id+1, "a"))), 0)
	}
	check := func(refused []Refusal, id uint64, kind Kind) {
		t.Helper()
		is.Equal(len(refused), 1)
		is.Equal(refused[0].ID, id)
		is.Equal(refused[0].Kind, kind)
		is.Equal(refused[0].Err.Verdict, verdict.NotRun)
	}
	check(q.Enqueue(0, request(4, "a")), 4, WorkspaceFull)
	check(q.Enqueue(0, request(1, "a")), 1, Duplicate)
	is.Equal(len(q.Enqueue(0, request(5, "b"))), 0)
	// The queue is full, so the last request of the workspace that occupies most of it is rejected.
	check(q.Enqueue(0, request(6, "c")), 3, QueueFull)
	late := request(7, "d")
	late.Deadline = -1
	check(q.Enqueue(0, late), 7, TooLate)
	waiting, running := q.Len()
	is.Equal(waiting, 4)
	is.Equal(running, 1)
}

// Guards against queueing requests that cannot start in time, and against rejecting those that can.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	q := New(Limits{Slots: 1, Waiting: 100, PerWorkspace: 100})
	for id := range uint64(40) {
		q.Enqueue(0, request(id, "w"))
		_, ok, _ := q.Next(0)
		is.True(ok)
		is.True(q.Done(0, id)) // the service time estimate decreases
	}
	for id := range uint64(40) {
		q.Enqueue(0, request(id, "w"))
		_, _, _ = q.Next(0)
		is.True(q.Done(10*ms, id)) // the estimate increases to 10 ms
	}
	now := 10 * ms
	for id := range uint64(5) {
		r := request(id, "w")
		r.Deadline = now + 45*ms
		is.Equal(len(q.Enqueue(now, r)), 0)
	}
	r := request(9, "w")
	r.Deadline = now + 45*ms
	refused := q.Enqueue(now, r)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Kind, TooLate)
	// Nothing starts for 20 ms, so the last two can no longer start in time.
	refused = q.Expire(now + 20*ms)
	is.Equal(len(refused), 2)
	_, ok, refused := q.Next(now + 46*ms)
	is.True(!ok)
	is.Equal(len(refused), 3)
}

// Guards against starting a cancelled request, and against freeing the slot of a running one on cancellation.
func TestCancel(t *testing.T) {
	is := is.New(t)
	q := New(Limits{Slots: 1, Waiting: 10, PerWorkspace: 10})
	for id := range uint64(3) {
		q.Enqueue(0, request(id, "w"))
	}
	_, _, _ = q.Next(0)
	is.True(!q.Cancel(0))
	is.True(q.Cancel(1))
	is.True(!q.Cancel(1))
	q.Done(ms, 0)
	id, ok, _ := q.Next(ms)
	is.True(ok)
	is.Equal(id, uint64(2))
}

// Guards against exceeded bounds, requests that are lost or finished twice, and state that remains when the
// queue is empty.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Waiting: 8, PerWorkspace: 5}
		q := New(limits)
		state := map[uint64]string{}
		now := time.Duration(0)
		var id uint64
		drop := func(refused []Refusal, from string) {
			for _, r := range refused {
				if state[r.ID] != "waiting" {
					t.Fatalf("%s refuses request %d, which is %q", from, r.ID, state[r.ID])
				}
				state[r.ID] = "refused"
			}
		}
		step := func(t *rapid.T) {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "time")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				id++
				state[id] = "waiting"
				drop(q.Enqueue(now, Request{
					ID: id, Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
					Weight:   rapid.IntRange(0, 4).Draw(t, "weight"),
					Deadline: now + time.Duration(rapid.IntRange(0, 30).Draw(t, "deadline"))*ms,
				}), "Enqueue")
			case 2, 3:
				got, ok, refused := q.Next(now)
				drop(refused, "Next")
				if ok && state[got] != "waiting" {
					t.Fatalf("request %d starts, which is %q", got, state[got])
				}
				if ok {
					state[got] = "running"
				}
			case 4:
				drop(q.Expire(now), "Expire")
			case 5:
				if id == 0 {
					return
				}
				n := rapid.Uint64Range(1, id).Draw(t, "id")
				if q.Cancel(n) != (state[n] == "waiting") || q.Done(now, n) != (state[n] == "running") {
					t.Fatalf("request %d is %q", n, state[n])
				}
				if state[n] == "waiting" || state[n] == "running" {
					state[n] = "ended"
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){"step": step, "": func(t *rapid.T) {
			count := map[string]int{}
			for _, s := range state {
				count[s]++
			}
			waiting, running := q.Len()
			if waiting != count["waiting"] || running != count["running"] || running > limits.Slots || waiting > limits.Waiting {
				t.Fatalf("%d waiting and %d running, want %v", waiting, running, count)
			}
			if waiting+running == 0 && (len(q.flows) > 0 || q.weights != 0) {
				t.Fatalf("%d workspaces with weight %d stay behind", len(q.flows), q.weights)
			}
		}})
	})
}

// The simulation has 3 slots and 8 workspaces of different weights, one of which sends 5 times its share.
const (
	simSlots    = 3
	simService  = 2 * ms // mean service time
	simDuration = 60 * time.Second
	simDeadline = 500 * ms // deadline of a request, from its arrival
)

var (
	simWeights           = []int{8, 4, 4, 2, 2, 1, 1, 2}
	overloadingWorkspace = len(simWeights) - 1
)

// scheduler is a queue in the simulation.
type scheduler interface {
	Enqueue(now time.Duration, r Request) []Refusal
	Next(now time.Duration) (uint64, bool, []Refusal)
	Done(now time.Duration, id uint64) bool
}

// fifo serves requests in the order of their arrival, within the same bounds.
type fifo struct {
	limit   int
	queue   []Request
	running int
}

func (f *fifo) Enqueue(_ time.Duration, r Request) []Refusal {
	if len(f.queue) >= f.limit {
		return []Refusal{{ID: r.ID}}
	}
	f.queue = append(f.queue, r)
	return nil
}

func (f *fifo) Next(now time.Duration) (id uint64, ok bool, refused []Refusal) {
	for f.running < simSlots && len(f.queue) > 0 {
		r := f.queue[0]
		f.queue = f.queue[1:]
		if r.Deadline < now {
			refused = append(refused, Refusal{ID: r.ID})
			continue
		}
		f.running++
		return r.ID, true, refused
	}
	return 0, false, refused
}

func (f *fifo) Done(time.Duration, uint64) bool {
	f.running--
	return true
}

type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// result holds the measurements of one workspace.
type result struct {
	sent, served int
	service      time.Duration
	demanded     time.Duration // service time of all requests sent
	waits        []time.Duration
}

// p99 returns the 99th percentile of the time from arrival to start.
func (r *result) p99() time.Duration {
	if len(r.waits) == 0 {
		return simDeadline
	}
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

// simulate lets every workspace send load times its weighted share of the slots, except for the overloading
// one, which sends 5 times its share. The service times of the overloading workspace are longer by the given
// factor.
func simulate(q scheduler, seed int64, load, serviceFactor float64) []*result {
	random := rand.New(rand.NewSource(seed))
	var events simEvents
	var now time.Duration
	after := func(d time.Duration, run func()) { heap.Push(&events, simEvent{now + d, run}) }
	results := make([]*result, len(simWeights))
	type job struct {
		owner   int
		arrived time.Duration
		service time.Duration
	}
	jobs := map[uint64]job{}
	var id uint64
	var dispatch func()
	dispatch = func() {
		for {
			n, ok, refused := q.Next(now)
			for _, r := range refused {
				delete(jobs, r.ID)
			}
			if !ok {
				return
			}
			j := jobs[n]
			results[j.owner].waits = append(results[j.owner].waits, now-j.arrived)
			after(j.service, func() {
				q.Done(now, n)
				results[j.owner].served++
				results[j.owner].service += j.service
				delete(jobs, n)
				dispatch()
			})
		}
	}
	sum := 0
	for _, w := range simWeights {
		sum += w
	}
	for i, w := range simWeights {
		results[i] = &result{}
		mean := float64(simService)
		share := load
		if i == overloadingWorkspace {
			mean *= serviceFactor
			share = 5
		}
		gap := mean / (simSlots * float64(w) / float64(sum) * share)
		var arrive func()
		arrive = func() {
			id++
			j := job{i, now, time.Duration(random.ExpFloat64() * mean)}
			jobs[id] = j
			results[i].sent++
			results[i].demanded += j.service
			for _, r := range q.Enqueue(now, Request{ID: id, Workspace: fmt.Sprint(i), Weight: w, Deadline: now + simDeadline}) {
				delete(jobs, r.ID)
			}
			dispatch()
			after(time.Duration(random.ExpFloat64()*gap), arrive)
		}
		after(0, arrive)
	}
	for now < simDuration {
		e := heap.Pop(&events).(simEvent)
		now = e.at
		e.run()
	}
	return results
}

// worst returns the smallest fraction of its entitlement that a workspace within its rate received, and the
// maximum and the median of the workspaces' p99 waiting times. The entitlement is the smaller of what the
// workspace sent and its weighted share of the slots.
func worst(results []*result) (fraction float64, p99, median time.Duration) {
	sum := 0
	for _, w := range simWeights {
		sum += w
	}
	fraction = 1
	var tails []time.Duration
	for i, r := range results {
		if i == overloadingWorkspace {
			continue
		}
		entitled := min(float64(r.demanded), float64(simDuration)*simSlots*float64(simWeights[i])/float64(sum))
		fraction = min(fraction, float64(r.service)/entitled)
		tails = append(tails, r.p99())
	}
	slices.Sort(tails)
	return fraction, tails[len(tails)-1], tails[len(tails)/2]
}

var simLimits = Limits{Slots: simSlots, Waiting: 256, PerWorkspace: 64}

// Guards against a tenant at 5x its rate that takes the service of others: the worst-served workspace must
// receive at least 95% of its entitlement.
func TestWorstServedWorkspace(t *testing.T) {
	is := is.New(t)
	for _, serviceFactor := range []float64{1, 4} {
		fraction, _, _ := worst(simulate(New(simLimits), 1, 0.9, serviceFactor))
		is.True(fraction >= 0.95)
		fraction, _, _ = worst(simulate(&fifo{limit: simLimits.Waiting}, 1, 0.9, serviceFactor))
		is.True(fraction < 0.95) // otherwise the load is too small to tell schedulers apart
	}
}

// Logs the table of docs/notes/fair-queue.md when FAIRQUEUE_REPORT is set.
func TestSimulationReport(t *testing.T) {
	if os.Getenv("FAIRQUEUE_REPORT") == "" {
		t.Skip("set FAIRQUEUE_REPORT=1 to run the comparison")
	}
	var rows []string
	for _, load := range []float64{0.7, 0.9, 1.0} {
		for _, serviceFactor := range []float64{1, 4} {
			for _, name := range []string{"fair", "FIFO"} {
				var q scheduler = New(simLimits)
				if name == "FIFO" {
					q = &fifo{limit: simLimits.Waiting}
				}
				results := simulate(q, 1, load, serviceFactor)
				fraction, p99, median := worst(results)
				overloading := results[overloadingWorkspace]
				rows = append(rows, fmt.Sprintf("| %s | %.0f%% | %.0fx | %.1f%% | %v | %v | %.1f%% |", name, 100*load, serviceFactor, 100*fraction,
					p99.Round(100*time.Microsecond), median.Round(100*time.Microsecond), 100*float64(overloading.service)/float64(overloading.demanded)))
			}
		}
	}
	t.Logf("\n%s", strings.Join(rows, "\n"))
}

// Measures one request through a queue with 8 workspaces: enqueue, start and finish.
func BenchmarkQueue(b *testing.B) {
	q := New(simLimits)
	now := time.Duration(0)
	var id uint64
	for b.Loop() {
		now += time.Microsecond
		id++
		i := id % uint64(len(simWeights))
		q.Enqueue(now, Request{ID: id, Workspace: string(rune('a' + i)), Weight: simWeights[i], Deadline: now + time.Second})
		if n, ok, _ := q.Next(now); ok {
			q.Done(now, n)
		}
	}
}
