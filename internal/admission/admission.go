// Package admission decides which statement runs next at a server, which one waits and which one is refused.
// It answers a load above what the slots of the server can serve: a first-come queue would let every statement
// wait for longer than its objective, and those that gave up would still be served.
//
// Statements that can start in time for their objective share the slots by weighted fair queueing. One that
// misses its objective waits behind all of these, as long as it can be answered within its time limit. One
// that cannot is refused at once, before it has run.
//
// A Queue is not safe for concurrent use. Time is a duration since an arbitrary start.
package admission

import (
	"time"

	"siskinrouter/internal/fairqueue"
)

const (
	// slotSurplus statements are sent to a server beyond its slots, so that a slot is not idle while an
	// answer and the next statement are on their way.
	slotSurplus = 1
	// maxWaiting and maxWaitingPerWorkspace bound a queue. With a service time of some ten milliseconds and a
	// few slots, more cannot be served within a usual time limit.
	maxWaiting             = 256
	maxWaitingPerWorkspace = 128
	// maxLate bounds the statements that wait although they miss their objective.
	maxLate = 64
	// serviceReserve mean service times are kept free of an objective for the run of the statement.
	serviceReserve = 2
	// firstService is the estimate of a service time before any was measured.
	firstService = 20 * time.Millisecond
	// meanShift sets the weight of a new measurement in the mean service time to 1/8.
	meanShift = 3
)

// Statement asks for a slot.
type Statement struct {
	ID               uint64 // unique among the statements that wait or run
	Workspace        string
	Weight           int           // of the workspace, relative to the others
	Arrived          time.Duration // at this VM
	LatencyObjective time.Duration // after its arrival; 0 if there is none
	Timeout          time.Duration // after its arrival, its time limit
}

// Refusal says that a statement does not run, and why.
type Refusal struct {
	ID     uint64
	Reason string
}

// Queue schedules the slots of one server.
type Queue struct {
	slots   int
	fair    *fairqueue.Queue
	waiting map[uint64]Statement // statements in fair that have not started
	late    []Statement          // miss their objective; in the order of their arrival here
	second  map[uint64]bool      // statements in fair that come from late
	// pressed is set while all slots go to statements that meet their objective: a late one has waited in vain,
	// and others still wait. Further ones are refused at once.
	pressed bool
	service time.Duration // running mean of the time from sending a statement to its answer
}

// New returns an empty queue of a server.
func New(slots int) *Queue {
	return &Queue{
		slots: slots, waiting: map[uint64]Statement{}, second: map[uint64]bool{}, service: firstService,
		fair: fairqueue.New(fairqueue.Limits{
			Slots: slots + slotSurplus, Waiting: maxWaiting, PerWorkspace: maxWaitingPerWorkspace,
		}),
	}
}

// SetSlots changes the number of slots. Running statements are not affected.
func (q *Queue) SetSlots(slots int) {
	q.slots = slots
	q.fair.SetSlots(slots + slotSurplus)
}

// Enqueue adds a statement. The result lists the statements that are refused as a consequence.
func (q *Queue) Enqueue(now time.Duration, s Statement) []Refusal {
	return q.enqueue(now, s, q.latestStart(s))
}

// Next starts the statement that is entitled to a free slot. ok is false if no slot is free or nothing waits.
func (q *Queue) Next(now time.Duration) (id uint64, ok bool, refused []Refusal) {
	for {
		id, ok, dropped := q.fair.Next(now)
		refused = append(refused, q.dropped(now, dropped)...)
		if ok {
			delete(q.waiting, id)
			delete(q.second, id)
			return id, true, refused
		}
		waiting, running := q.fair.Len()
		if len(q.late) == 0 {
			q.pressed = q.pressed && waiting > 0
			return 0, false, refused
		}
		if waiting > 0 || running >= q.slots+slotSurplus {
			return 0, false, refused
		}
		s := q.late[0]
		q.late = q.late[1:]
		q.pressed = false
		q.second[s.ID] = true
		refused = append(refused, q.enqueue(now, s, q.lastStart(s))...)
	}
}

// Done frees the slot of a statement that was answered, Abandon that of one without an answer, whose time
// says nothing of the service time.
func (q *Queue) Done(now time.Duration, id uint64) { q.fair.Done(now, id) }

// Abandon frees the slot of a statement that was not answered.
func (q *Queue) Abandon(id uint64) { q.fair.Abandon(id) }

// Cancel removes a statement that has not started and reports whether there was one.
func (q *Queue) Cancel(id uint64) bool {
	if q.fair.Cancel(id) {
		delete(q.waiting, id)
		delete(q.second, id)
		return true
	}
	for i, s := range q.late {
		if s.ID == id {
			q.late = append(q.late[:i], q.late[i+1:]...)
			return true
		}
	}
	return false
}

// Expire refuses the statements that can no longer start in time.
func (q *Queue) Expire(now time.Duration) []Refusal {
	refused := q.dropped(now, q.fair.Expire(now))
	kept := q.late[:0]
	for _, s := range q.late {
		if now < q.lastStart(s) {
			kept = append(kept, s)
			continue
		}
		q.pressed = true
		refused = append(refused, Refusal{s.ID, "no slot became free"})
	}
	q.late = kept
	return refused
}

// ObserveServiceTime records the time from sending a statement to its answer.
func (q *Queue) ObserveServiceTime(took time.Duration) { q.service += (took - q.service) >> meanShift }

// ServiceTime returns the mean time from sending a statement to its answer.
func (q *Queue) ServiceTime() time.Duration { return q.service }

// Len returns the number of statements that wait, the late ones left out, and of those that run.
func (q *Queue) Len() (waiting, running int) { return q.fair.Len() }

// latestStart returns until when a statement has to start to meet its objective, or its time limit if it has
// no objective.
func (q *Queue) latestStart(s Statement) time.Duration {
	if s.LatencyObjective <= 0 {
		return q.lastStart(s)
	}
	reserve := min(serviceReserve*q.service, s.LatencyObjective/2)
	return min(s.Arrived+s.LatencyObjective-reserve, q.lastStart(s))
}

// lastStart returns until when a statement has to start to be answered within its time limit. A write that
// starts later ends with an outcome that nobody knows.
func (q *Queue) lastStart(s Statement) time.Duration {
	return s.Arrived + s.Timeout - min(serviceReserve*q.service, s.Timeout/4)
}

func (q *Queue) enqueue(now time.Duration, s Statement, latest time.Duration) []Refusal {
	q.waiting[s.ID] = s
	return q.dropped(now, q.fair.Enqueue(now, fairqueue.Request{
		ID: s.ID, Workspace: s.Workspace, Weight: s.Weight, Deadline: latest,
	}))
}

// dropped keeps the statements that only miss their objective and refuses the others.
func (q *Queue) dropped(now time.Duration, list []fairqueue.Refusal) []Refusal {
	var refused []Refusal
	for _, r := range list {
		s := q.waiting[r.ID]
		delete(q.waiting, r.ID)
		late := q.second[r.ID]
		delete(q.second, r.ID)
		if r.Kind == fairqueue.TooLate && !late && q.keepLate(now, s) {
			continue
		}
		refused = append(refused, Refusal{r.ID, r.Err.Reason})
	}
	return refused
}

// keepLate reports whether a statement that misses its objective can be answered within its time limit behind
// all others, and keeps it if so.
func (q *Queue) keepLate(now time.Duration, s Statement) bool {
	waiting, _ := q.fair.Len()
	ahead := time.Duration(len(q.late)+1+waiting) * q.service / time.Duration(max(q.slots, 1))
	if q.pressed || len(q.late) >= maxLate || now+ahead > q.lastStart(s) {
		return false
	}
	q.late = append(q.late, s)
	return true
}
