package daemon

import (
	"time"

	"siskinrouter/internal/fairqueue"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/link"
)

const (
	maxWaiting      = 2048 // requests that wait for one server
	maxPerWorkspace = 512  // of them, of one workspace
)

// fairQueue orders the requests that wait for the links of one server by weighted fair queueing.
type fairQueue struct {
	queue   *fairqueue.Queue
	clock   func() time.Duration
	start   time.Time // wall time of the clock's zero
	nextID  uint64
	waiters map[uint64]*link.Waiter
	ids     map[*link.Waiter]uint64
	shed    []*link.Waiter
}

func (d *Daemon) newQueue(s fleetconfig.Server) link.Queue {
	return &fairQueue{
		queue:   fairqueue.New(fairqueue.Limits{Slots: d.linkBudget(s), Waiting: maxWaiting, PerWorkspace: maxPerWorkspace}),
		clock:   d.now,
		start:   d.start,
		waiters: make(map[uint64]*link.Waiter),
		ids:     make(map[*link.Waiter]uint64),
	}
}

// Push implements link.Queue.
func (q *fairQueue) Push(_ time.Time, w *link.Waiter) error {
	q.nextID++
	id := q.nextID
	r := fairqueue.Request{ID: id, Workspace: w.Workspace, Weight: w.Weight, Deadline: w.Deadline.Sub(q.start)}
	q.waiters[id] = w
	q.ids[w] = id
	for _, refused := range q.queue.Enqueue(q.clock(), r) {
		if refused.ID == id {
			q.forget(w)
			return refused.Err
		}
		q.shed = append(q.shed, q.waiters[refused.ID])
	}
	return nil
}

// Pop implements link.Queue.
func (q *fairQueue) Pop(time.Time) (*link.Waiter, []*link.Waiter) {
	id, ok, refused := q.queue.Next(q.clock())
	for _, r := range refused {
		q.shed = append(q.shed, q.waiters[r.ID])
	}
	shed := q.shed
	q.shed = nil
	for _, w := range shed {
		q.forget(w)
	}
	if !ok {
		return nil, shed
	}
	return q.waiters[id], shed
}

// Remove implements link.Queue.
func (q *fairQueue) Remove(w *link.Waiter) {
	if id, ok := q.ids[w]; ok && q.queue.Cancel(id) {
		q.forget(w)
	}
}

// Clear implements link.Queue.
func (q *fairQueue) Clear() []*link.Waiter {
	all := q.shed
	q.shed = nil
	for id, w := range q.waiters {
		if q.queue.Cancel(id) {
			all = append(all, w)
		}
	}
	for _, w := range all {
		q.forget(w)
	}
	return all
}

// Resize implements link.Queue.
func (q *fairQueue) Resize(links int) { q.queue.SetSlots(links) }

// Release implements link.Queue.
func (q *fairQueue) Release(_ time.Time, w *link.Waiter, _ time.Duration) {
	if id, ok := q.ids[w]; ok {
		q.queue.Done(q.clock(), id)
		q.forget(w)
	}
}

func (q *fairQueue) forget(w *link.Waiter) {
	delete(q.waiters, q.ids[w])
	delete(q.ids, w)
}
