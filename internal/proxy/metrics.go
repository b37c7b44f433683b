package proxy

import (
	"github.com/rcrowley/go-metrics"
)

// Metrics are the counters of the caller side.
type Metrics struct {
	Connections  metrics.Counter // open connections of callers
	Requests     metrics.Counter // transactions started
	ReplicaReads metrics.Counter // read transactions served by replicas
	PrimaryReads metrics.Counter // read transactions served by primaries
	Writes       metrics.Counter // transactions with a confirmed write
	Retries      metrics.Counter // requests sent again after a failure
	Unknown      metrics.Counter // requests that ended with the verdict "may have run"
	registry     metrics.Registry
}

// NewMetrics registers the counters in r.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		Connections:  metrics.GetOrRegisterCounter("caller.connections", r),
		Requests:     metrics.GetOrRegisterCounter("caller.requests", r),
		ReplicaReads: metrics.GetOrRegisterCounter("reads.replica", r),
		PrimaryReads: metrics.GetOrRegisterCounter("reads.primary", r),
		Writes:       metrics.GetOrRegisterCounter("writes.confirmed", r),
		Retries:      metrics.GetOrRegisterCounter("requests.retried", r),
		Unknown:      metrics.GetOrRegisterCounter("requests.outcome_unknown", r),
		registry:     r,
	}
}

// refused counts a refusal by SQLSTATE and workspace.
func (m *Metrics) refused(sqlState, workspace string) {
	metrics.GetOrRegisterCounter("refused."+sqlState, m.registry).Inc(1)
	if workspace != "" {
		metrics.GetOrRegisterCounter("refused.workspace."+workspace, m.registry).Inc(1)
	}
}
