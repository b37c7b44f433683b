package broker

import "github.com/rcrowley/go-metrics"

// latencySamples is the size of the reservoir of the latency histogram.
const latencySamples = 512

// Metrics holds the counters of all brokers of a VM.
type Metrics struct {
	Refused, RateLimited, Failed, Retries, Connects, Promotions metrics.Counter
	// ConnectsReused counts the statements that found an idle connection, ConnectsRefused the connections that a server
	// refused because of their number. Connects counts the connections that were opened.
	ConnectsReused, ConnectsRefused metrics.Counter
	// PromotionsUnknown counts the promotions that were neither accepted nor certain to have no effect.
	PromotionsUnknown metrics.Counter
	// PromotionsHeld counts how often no server could be promoted because it might lack acknowledged commits.
	PromotionsHeld metrics.Counter
	// ReadsUnanswered counts the reads that were given up although their server answered others, ReadsSilent those at
	// servers that answered nobody.
	ReadsUnanswered, ReadsSilent metrics.Counter
	// ChosenByReport counts the statements for which the reported load of other VMs changed the choice of a server, and
	// LeftByReport those of them that a reader of replicas left to the owner.
	ChosenByReport, LeftByReport metrics.Counter
	// Latency is the time in microseconds from the receipt of a statement to its response.
	Latency metrics.Histogram
}

// NewMetrics registers the counters.
func NewMetrics(r metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &Metrics{
		Refused: counter("broker.refused"), RateLimited: counter("broker.refused_rate"),
		Failed: counter("broker.failed"), Retries: counter("broker.retries"),
		Connects: counter("broker.connects"), Promotions: counter("broker.promotions"),
		ConnectsReused: counter("broker.connects_reused"), ConnectsRefused: counter("broker.connects_refused"),
		PromotionsUnknown: counter("broker.promotions_unknown"), PromotionsHeld: counter("broker.promotions_held"),
		ReadsUnanswered: counter("broker.reads_unanswered"), ReadsSilent: counter("broker.reads_silent"),
		ChosenByReport: counter("broker.chosen_by_report"), LeftByReport: counter("broker.left_by_report"),
		Latency: metrics.GetOrRegisterHistogram("broker.latency_us", r, metrics.NewUniformSample(latencySamples)),
	}
}
