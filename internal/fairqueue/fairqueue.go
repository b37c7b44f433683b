// Package fairqueue schedules waiting requests on the slots of a target. It divides the slots among workspaces
// in proportion to their weights by start-time fair queueing: each workspace has a start tag in virtual time,
// the request of the workspace with the lowest tag runs next, and the tag then advances by the service time
// used divided by the weight.
//
// The queue is bounded in total and per workspace. A request that cannot start before its deadline is rejected
// as soon as this can be predicted. Every rejection has the verdict "not run".
//
// A Queue is not safe for concurrent use. Time is a duration since an arbitrary start.
package fairqueue

import (
	"container/heap"
	"math"
	"time"

	"siskinrouter/internal/verdict"
)

const (
	// initialServiceTime is the service time estimate until a request has finished.
	initialServiceTime = time.Millisecond
	// estimateShift sets the weight of a new measurement in the service time estimates to 1/8.
	estimateShift = 3
	// tagScale is the number of tag units per nanosecond at weight 1. It keeps the rounding error of the
	// division by a weight small.
	tagScale = 1 << 8
	// maxService bounds the service time that is charged, so that tags cannot overflow.
	maxService = time.Hour
	// maxWeight bounds weights for the same reason.
	maxWeight = 1 << 20
)

type Limits struct {
	Slots        int // concurrently running requests
	Waiting      int // waiting requests in total
	PerWorkspace int // waiting requests of one workspace
}

// Request is a request for a slot.
type Request struct {
	ID        uint64 // unique among the waiting and running requests
	Workspace string
	Weight    int           // share of the slots relative to other workspaces; below 1 counts as 1
	Deadline  time.Duration // latest start time
}

// Kind is the reason for which a request was rejected.
type Kind uint8

const (
	QueueFull     Kind = iota // the bound of the whole queue is reached
	WorkspaceFull             // the bound of the workspace is reached
	TooLate                   // the request cannot start before its deadline
	Duplicate                 // the ID is in use
)

// Refusal reports that a request is rejected before it runs. Err has the verdict "not run".
type Refusal struct {
	ID        uint64
	Workspace string
	Kind      Kind
	Err       *verdict.Error
}

// Queue schedules the slots of one target.
type Queue struct {
	limits  Limits
	virtual int64 // virtual time: start tag of the request that started last
	maxTag  int64 // highest tag assigned so far
	arrival uint64
	flows   map[string]*flow
	ready   flowHeap
	waiting map[uint64]*entry
	running map[uint64]*entry
	service time.Duration // estimate over all workspaces
	weights int64         // total weight of the workspaces with waiting or running requests
	stats   Stats
}

// Stats holds counters since the creation of the queue.
type Stats struct {
	Started, Finished, Cancelled int64
	Refused                      [Duplicate + 1]int64 // by Kind
}

// flow holds the requests of one workspace.
type flow struct {
	workspace string
	weight    int64
	start     int64 // start tag of the first waiting request, or of the next one to arrive
	queue     []*entry
	running   int
	service   time.Duration // estimate
	order     uint64        // arrival number of the first waiting request, which breaks ties between equal tags
	index     int           // in the heap, -1 if no request waits
}

// entry is a waiting or running request.
type entry struct {
	Request
	arrival uint64
	flow    *flow
	charged time.Duration // service time charged when the request started
	started time.Duration
}

// New returns an empty queue. Limits below 1 count as 1.
func New(limits Limits) *Queue {
	limits.Slots = max(limits.Slots, 1)
	limits.Waiting = max(limits.Waiting, 1)
	limits.PerWorkspace = max(limits.PerWorkspace, 1)
	return &Queue{
		limits:  limits,
		flows:   map[string]*flow{},
		waiting: map[uint64]*entry{},
		running: map[uint64]*entry{},
		service: initialServiceTime,
	}
}

// SetSlots changes the number of slots. Running requests are not affected.
func (q *Queue) SetSlots(n int) { q.limits.Slots = max(n, 1) }

// Enqueue adds a request and returns the requests that are rejected as a consequence: the new one, or one of a
// workspace that occupies more of a full queue than its weight entitles it to.
func (q *Queue) Enqueue(now time.Duration, r Request) []Refusal {
	if q.inUse(r.ID) {
		return q.refuse(nil, r, Duplicate)
	}
	f := q.flowOf(r)
	if len(f.queue) >= q.limits.PerWorkspace {
		return q.refuse(nil, r, WorkspaceFull)
	}
	if q.startEstimate(now, f, len(f.queue)) > r.Deadline {
		refused := q.refuse(nil, r, TooLate)
		q.release(f)
		return refused
	}
	if len(q.waiting) < q.limits.Waiting {
		q.push(f, r)
		return nil
	}
	evicted := q.largestOccupant(f)
	if evicted == f {
		refused := q.refuse(nil, r, QueueFull)
		q.release(f)
		return refused
	}
	last := evicted.queue[len(evicted.queue)-1]
	q.remove(last)
	refused := q.refuse(nil, last.Request, QueueFull)
	q.push(f, r)
	q.release(evicted)
	return refused
}

// Next starts the request that is entitled to a free slot. ok is false if no slot is free or no request waits.
// refused lists requests whose deadline has passed.
func (q *Queue) Next(now time.Duration) (id uint64, ok bool, refused []Refusal) {
	for len(q.running) < q.limits.Slots && len(q.ready) > 0 {
		e := q.ready[0].queue[0]
		if e.Deadline < now {
			q.remove(e)
			refused = q.refuse(refused, e.Request, TooLate)
			q.release(e.flow)
			continue
		}
		q.start(now, e)
		return e.ID, true, refused
	}
	return 0, false, refused
}

// Done frees the slot of a request that has finished and adjusts the charge of its workspace to the service
// time actually used. It reports whether the request was running.
func (q *Queue) Done(now time.Duration, id uint64) bool {
	e := q.running[id]
	if e == nil {
		return false
	}
	delete(q.running, id)
	f := e.flow
	f.running--
	used := min(max(now-e.started, 0), maxService)
	q.service += (used - q.service) >> estimateShift
	f.service += (used - f.service) >> estimateShift
	q.shift(f, f.tagsFor(used)-f.tagsFor(e.charged))
	q.stats.Finished++
	q.release(f)
	return true
}

// Abandon frees the slot of a request that its target did not answer. Its duration says nothing about the
// service time, so the estimates and the charge stay. It reports whether the request was running.
func (q *Queue) Abandon(id uint64) bool {
	e := q.running[id]
	if e == nil {
		return false
	}
	delete(q.running, id)
	e.flow.running--
	q.stats.Finished++
	q.release(e.flow)
	return true
}

// Cancel removes a waiting request. It returns false if the request is not waiting; a running request keeps its
// slot until Done.
func (q *Queue) Cancel(id uint64) bool {
	e := q.waiting[id]
	if e == nil {
		return false
	}
	q.remove(e)
	q.release(e.flow)
	q.stats.Cancelled++
	return true
}

// Expire rejects all waiting requests that cannot start before their deadline.
func (q *Queue) Expire(now time.Duration) (refused []Refusal) {
	for _, f := range q.sortedFlows() {
		position := 0
		for _, e := range append([]*entry(nil), f.queue...) {
			if e.Deadline >= now && q.startEstimate(now, f, position) <= e.Deadline {
				position++
				continue
			}
			q.remove(e)
			refused = q.refuse(refused, e.Request, TooLate)
		}
		q.release(f)
	}
	return refused
}

// Len returns the numbers of waiting and running requests.
func (q *Queue) Len() (waiting, running int) { return len(q.waiting), len(q.running) }

// ServiceTime returns the estimated time that a request holds a slot.
func (q *Queue) ServiceTime() time.Duration { return q.service }

// Stats returns the counters.
func (q *Queue) Stats() Stats { return q.stats }

// inUse reports whether a request with this ID is waiting or running.
func (q *Queue) inUse(id uint64) bool {
	return q.waiting[id] != nil || q.running[id] != nil
}

// flowOf returns the flow of the request's workspace and sets its weight to the request's.
func (q *Queue) flowOf(r Request) *flow {
	f := q.flows[r.Workspace]
	weight := int64(min(max(r.Weight, 1), maxWeight))
	if f == nil {
		f = &flow{workspace: r.Workspace, service: q.service, index: -1}
		q.flows[r.Workspace] = f
	}
	q.weights += weight - f.weight
	f.weight = weight
	return f
}

// release removes a flow that has no waiting or running requests and no service charged in advance.
func (q *Queue) release(f *flow) {
	if len(q.waiting) == 0 && len(q.running) == 0 {
		q.virtual = q.maxTag
	}
	if len(f.queue) > 0 || f.running > 0 || q.flows[f.workspace] != f {
		return
	}
	q.weights -= f.weight
	f.weight = 0
	if f.start <= q.virtual {
		delete(q.flows, f.workspace)
	}
	if len(q.waiting) == 0 && len(q.running) == 0 {
		clear(q.flows)
		q.weights = 0
	}
}

// push appends a request to its flow.
func (q *Queue) push(f *flow, r Request) {
	q.arrival++
	e := &entry{Request: r, arrival: q.arrival, flow: f}
	q.waiting[r.ID] = e
	f.queue = append(f.queue, e)
	if len(f.queue) > 1 {
		return
	}
	f.start = max(f.start, q.virtual)
	f.order = e.arrival
	heap.Push(&q.ready, f)
}

// start assigns a slot to the first request of a flow and charges the expected service time.
func (q *Queue) start(now time.Duration, e *entry) {
	f := e.flow
	q.virtual = max(q.virtual, f.start)
	q.remove(e)
	e.started = now
	e.charged = min(f.service, maxService)
	f.running++
	q.running[e.ID] = e
	q.shift(f, f.tagsFor(e.charged))
	q.stats.Started++
}

// remove removes a waiting request from its flow.
func (q *Queue) remove(e *entry) {
	delete(q.waiting, e.ID)
	f := e.flow
	for i, other := range f.queue {
		if other == e {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			break
		}
	}
	if len(f.queue) == 0 {
		heap.Remove(&q.ready, f.index)
		return
	}
	f.order = f.queue[0].arrival
	heap.Fix(&q.ready, f.index)
}

// shift moves the start tag of a flow; by is negative if less service was used than charged.
func (q *Queue) shift(f *flow, by int64) {
	f.start += by
	q.maxTag = max(q.maxTag, f.start)
	if f.index >= 0 {
		heap.Fix(&q.ready, f.index)
	}
}

// tagsFor converts a service time into virtual time at the weight of f.
func (f *flow) tagsFor(service time.Duration) int64 {
	return int64(service) * tagScale / max(f.weight, 1)
}

// startEstimate returns the expected start time of the request at the given position of a flow. The flow gets
// its weighted share of the slots, and all of them once no other request waits.
func (q *Queue) startEstimate(now time.Duration, f *flow, position int) time.Duration {
	free := q.limits.Slots - len(q.running)
	if free > 0 && len(q.waiting) == 0 {
		return now
	}
	slots := float64(q.limits.Slots)
	entitled := slots * float64(f.weight) / float64(max(q.weights, f.weight))
	own := float64(position) * float64(f.service) / entitled
	all := float64(len(q.waiting)) * float64(q.service) / slots
	wait := min(own, all)
	if wait >= math.MaxInt64/4 {
		return math.MaxInt64
	}
	return now + time.Duration(wait)
}

// largestOccupant returns the flow that occupies the largest part of the queue relative to its weight. f counts
// with the request that is about to be added.
func (q *Queue) largestOccupant(f *flow) *flow {
	largest := f
	most := float64(len(f.queue)+1) / float64(f.weight)
	for _, other := range q.ready {
		occupied := float64(len(other.queue)) / float64(other.weight)
		if other != f && (occupied > most || occupied == most && largest != f && other.workspace < largest.workspace) {
			largest = other
			most = occupied
		}
	}
	return largest
}
