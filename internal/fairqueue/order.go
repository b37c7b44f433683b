package fairqueue

import (
	"cmp"
	"slices"

	"siskinrouter/internal/verdict"
)

// flowHeap orders the flows with waiting requests by start tag and then by arrival.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].order < h[j].order
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}

// sortedFlows returns the flows with waiting requests, sorted by workspace.
func (q *Queue) sortedFlows() []*flow {
	flows := slices.Clone(q.ready)
	slices.SortFunc(flows, func(a, b *flow) int { return cmp.Compare(a.workspace, b.workspace) })
	return flows
}

// refuse counts the rejection of r and appends it to list.
func (q *Queue) refuse(list []Refusal, r Request, k Kind) []Refusal {
	q.stats.Refused[k]++
	return append(list, Refusal{ID: r.ID, Workspace: r.Workspace, Kind: k, Err: q.refusalError(r, k)})
}

// refusalError returns the error for the caller.
func (q *Queue) refusalError(r Request, k Kind) *verdict.Error {
	switch k {
	case QueueFull:
		return verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow,
			"the queue of the target is full (%d requests waiting)", len(q.waiting))
	case WorkspaceFull:
		return verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow,
			"workspace %q already has %d requests waiting for the target, the most it may have", r.Workspace, q.limits.PerWorkspace)
	case Duplicate:
		return verdict.Errorf(verdict.NotRun, verdict.StateInternal,
			"request number %d is already waiting or running", r.ID)
	default:
		return verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow,
			"the request cannot start before its deadline (%d requests waiting, %v per request)", len(q.waiting), q.service)
	}
}
