// Package admission implements admission control for the slots of one server: it decides which statement runs
// next, which one waits and which one is rejected. Above the capacity of the slots, a first-in, first-out queue
// would let every statement wait for longer than its objective, and would still run statements whose callers
// have given up.
//
// Statements that can start in time for their objective share the slots by weighted fair queueing. A statement
// that misses its objective waits behind all of these as long as it can be answered within its timeout.
// Otherwise it is rejected at once, before it has run.
//
// A Queue is not safe for concurrent use. Time is a duration since an arbitrary start.
package admission

import (
	"time"

	"siskinrouter/internal/fairqueue"
)

const (
	// extraInFlight is the number of statements sent to a server beyond its slots, so that no slot is idle
	// while a response and the next statement are in transit.
	extraInFlight = 1
	// maxWaiting and maxWaitingPerWorkspace bound a queue. With a service time of some ten milliseconds and a
	// few slots, more statements cannot be served within a usual timeout.
	maxWaiting             = 256
	maxWaitingPerWorkspace = 128
	// maxOverdue bounds the statements that wait although they miss their objective.
	maxOverdue = 64
	// serviceTimeReserve is the number of mean service times that are reserved for running a statement within
	// its objective.
	serviceTimeReserve = 2
	// initialServiceTime is the estimate of the service time until one has been measured.
	initialServiceTime = 20 * time.Millisecond
	// meanShift sets the weight of a new measurement in the mean service time to 1/8.
	meanShift = 3
)

// Statement is a request for a slot.
type Statement struct {
	ID               uint64 // unique among the waiting and running statements
	Workspace        string
	Weight           int           // of the workspace, relative to the others
	Arrived          time.Duration // at this VM
	LatencyObjective time.Duration // counted from the arrival; 0 if there is none
	Timeout          time.Duration // counted from the arrival
}

// Refusal reports that a statement is rejected before it runs, and why.
type Refusal struct {
	ID     uint64
	Reason string
}

// Queue schedules the slots of one server.
type Queue struct {
	slots    int
	fair     *fairqueue.Queue
	waiting  map[uint64]Statement // statements in fair that have not started
	overdue  []Statement          // miss their objective; in the order in which they were deferred
	requeued map[uint64]bool      // statements in fair that come from overdue
	// saturated is set while statements that meet their objective use all slots: an overdue one has expired and
	// others still wait. Further overdue ones are rejected at once.
	saturated bool
	service   time.Duration // moving average of the time from sending a statement to its response
}

// New returns an empty queue for a server.
func New(slots int) *Queue {
	return &Queue{
		slots: slots, waiting: map[uint64]Statement{}, requeued: map[uint64]bool{}, service: initialServiceTime,
		fair: fairqueue.New(fairqueue.Limits{
			Slots: slots + extraInFlight, Waiting: maxWaiting, PerWorkspace: maxWaitingPerWorkspace,
		}),
	}
}

// SetSlots changes the number of slots. Running statements are not affected.
func (q *Queue) SetSlots(slots int) {
	q.slots = slots
	q.fair.SetSlots(slots + extraInFlight)
}

// Enqueue adds a statement and returns the statements that are rejected as a consequence.
func (q *Queue) Enqueue(now time.Duration, s Statement) []Refusal {
	return q.enqueue(now, s, q.objectiveStart(s))
}

// Next starts the statement that is entitled to a free slot. ok is false if no slot is free or no statement
// waits.
func (q *Queue) Next(now time.Duration) (id uint64, ok bool, refused []Refusal) {
	for {
		id, ok, dropped := q.fair.Next(now)
		refused = append(refused, q.deferOrRefuse(now, dropped)...)
		if ok {
			delete(q.waiting, id)
			delete(q.requeued, id)
			return id, true, refused
		}
		waiting, running := q.fair.Len()
		if len(q.overdue) == 0 {
			q.saturated = q.saturated && waiting > 0
			return 0, false, refused
		}
		if waiting > 0 || running >= q.slots+extraInFlight {
			return 0, false, refused
		}
		s := q.overdue[0]
		q.overdue = q.overdue[1:]
		q.saturated = false
		q.requeued[s.ID] = true
		refused = append(refused, q.enqueue(now, s, q.timeoutStart(s))...)
	}
}

// Done frees the slot of a statement that was answered.
func (q *Queue) Done(now time.Duration, id uint64) { q.fair.Done(now, id) }

// Abandon frees the slot of a statement that was not answered. Its duration does not count towards the service
// time.
func (q *Queue) Abandon(id uint64) { q.fair.Abandon(id) }

// Cancel removes a statement that has not started and reports whether there was one.
func (q *Queue) Cancel(id uint64) bool {
	if q.fair.Cancel(id) {
		delete(q.waiting, id)
		delete(q.requeued, id)
		return true
	}
	for i, s := range q.overdue {
		if s.ID == id {
			q.overdue = append(q.overdue[:i], q.overdue[i+1:]...)
			return true
		}
	}
	return false
}

// Expire rejects the statements that can no longer start in time.
func (q *Queue) Expire(now time.Duration) []Refusal {
	refused := q.deferOrRefuse(now, q.fair.Expire(now))
	kept := q.overdue[:0]
	for _, s := range q.overdue {
		if now < q.timeoutStart(s) {
			kept = append(kept, s)
			continue
		}
		q.saturated = true
		refused = append(refused, Refusal{s.ID, "no slot became free"})
	}
	q.overdue = kept
	return refused
}

// ObserveServiceTime records the time from sending a statement to its response.
func (q *Queue) ObserveServiceTime(took time.Duration) { q.service += (took - q.service) >> meanShift }

// ServiceTime returns the average time from sending a statement to its response.
func (q *Queue) ServiceTime() time.Duration { return q.service }

// Len returns the number of waiting statements, without the overdue ones, and of running ones.
func (q *Queue) Len() (waiting, running int) { return q.fair.Len() }

// objectiveStart returns the latest time at which a statement can start and meet its objective, or its timeout
// if it has no objective.
func (q *Queue) objectiveStart(s Statement) time.Duration {
	if s.LatencyObjective <= 0 {
		return q.timeoutStart(s)
	}
	reserve := min(serviceTimeReserve*q.service, s.LatencyObjective/2)
	return min(s.Arrived+s.LatencyObjective-reserve, q.timeoutStart(s))
}

// timeoutStart returns the latest time at which a statement can start and be answered within its timeout. The
// outcome of a write that starts later would be unknown.
func (q *Queue) timeoutStart(s Statement) time.Duration {
	return s.Arrived + s.Timeout - min(serviceTimeReserve*q.service, s.Timeout/4)
}

func (q *Queue) enqueue(now time.Duration, s Statement, latest time.Duration) []Refusal {
	q.waiting[s.ID] = s
	return q.deferOrRefuse(now, q.fair.Enqueue(now, fairqueue.Request{
		ID: s.ID, Workspace: s.Workspace, Weight: s.Weight, Deadline: latest,
	}))
}

// deferOrRefuse defers the statements that only miss their objective and rejects the others.
func (q *Queue) deferOrRefuse(now time.Duration, list []fairqueue.Refusal) []Refusal {
	var refused []Refusal
	for _, r := range list {
		s := q.waiting[r.ID]
		delete(q.waiting, r.ID)
		requeued := q.requeued[r.ID]
		delete(q.requeued, r.ID)
		if r.Kind == fairqueue.TooLate && !requeued && q.deferOverdue(now, s) {
			continue
		}
		refused = append(refused, Refusal{r.ID, r.Err.Reason})
	}
	return refused
}

// deferOverdue queues a statement that misses its objective behind all others if it can be answered within its
// timeout there, and reports whether it did.
func (q *Queue) deferOverdue(now time.Duration, s Statement) bool {
	waiting, _ := q.fair.Len()
	ahead := time.Duration(len(q.overdue)+1+waiting) * q.service / time.Duration(max(q.slots, 1))
	if q.saturated || len(q.overdue) >= maxOverdue || now+ahead > q.timeoutStart(s) {
		return false
	}
	q.overdue = append(q.overdue, s)
	return true
}
