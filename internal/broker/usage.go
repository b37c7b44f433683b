package broker

import (
	"time"

	"siskinrouter/internal/statement"
)

// UsageCounter counts the requests that servers run for workspaces.
type UsageCounter interface {
	// Add adds n requests sent at a time on LeaseClock. n is negative to take back earlier ones.
	Add(workspace string, sent time.Duration, n int)
}

// countsAsUsage reports whether a statement counts as usage of its workspace. Usage is in requests, as the rates of
// workspaces are, so that only the first statement of a transaction counts.
func (e *execution) countsAsUsage() bool { return e.req.First }

// countUsage counts the request of a statement that is about to be sent, unless an earlier attempt was counted. The function that it
// returns takes the count back if the server did not run the statement.
func (b *Broker) countUsage(e *execution) (uncountIfNotRun func(statement.Code)) {
	if b.Usage == nil || e.counted || !e.countsAsUsage() {
		return func(statement.Code) {}
	}
	sent := b.LeaseClock()
	e.counted = true
	b.Usage.Add(e.req.Workspace, sent, 1)
	return func(code statement.Code) {
		if code.NotRun() {
			e.counted = false
			b.Usage.Add(e.req.Workspace, sent, -1)
		}
	}
}
