package audit

import (
	"slices"
	"sync"
)

// Bounds of one explanation.
const (
	maxSteps    = 32
	maxStepText = 512 // bytes
)

// Explanations keeps the steps that led to the outcome of recent requests. A new request replaces
// the oldest one. It is safe for concurrent use.
type Explanations struct {
	mu    sync.Mutex
	slots []explanation // ring
	next  int
	byID  map[string]int // index into slots
}

type explanation struct {
	id    string
	steps []string
}

// NewExplanations returns a store for the given number of requests.
func NewExplanations(requests int) *Explanations {
	return &Explanations{slots: make([]explanation, max(requests, 1)), byID: map[string]int{}}
}

// Add appends steps to the explanation of a request. It drops steps beyond maxSteps and truncates each
// step to maxStepText bytes.
func (x *Explanations) Add(id string, steps ...string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	i, ok := x.byID[id]
	if !ok {
		i = x.replaceOldest(id)
	}
	e := &x.slots[i]
	for _, step := range steps[:min(len(steps), maxSteps-len(e.steps))] {
		e.steps = append(e.steps, truncate(step, maxStepText))
	}
}

// Get returns the steps of a request, and false if the request is unknown or was replaced.
func (x *Explanations) Get(id string) ([]string, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	i, ok := x.byID[id]
	if !ok {
		return nil, false
	}
	return slices.Clone(x.slots[i].steps), true
}

// replaceOldest replaces the oldest explanation.
func (x *Explanations) replaceOldest(id string) int {
	i := x.next
	x.next = (x.next + 1) % len(x.slots)
	if old := x.slots[i]; old.steps != nil {
		delete(x.byID, old.id)
	}
	x.slots[i] = explanation{id: id, steps: []string{}}
	x.byID[id] = i
	return i
}
