package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Constants of the code on which the sums depend. They are private in their packages.
const (
	probesPerSecond      = 10.0    // timings.probe_interval = 100 ms
	packetHeader         = 52.0    // bytes of the IP and TCP headers of a packet
	callHeaders          = 4 * 52. // bytes of the packet headers of a call between VMs on an open connection
	pollsPerSecond       = 100.0   // grant.PollInterval
	loanMessageRate      = 40.0    // grant.messageRate
	slotsPerDomain       = 12.0    // grant.SlotsPerDomain
	holdersPerDomain     = 2.0     // machine.watchHolders
	listRate             = 2000.0  // machine.otherListRate, bytes per second
	listEntryAssumed     = 130.0   // machine.listEntrySize, bytes
	listJitter           = 0.875   // mean of the jitter of machine.listWait
	peersPerSecond       = 2.0     // daemon.peersEvery = 500 ms
	reportsPerSecond     = 2.0     // machine.reportRepeat = 500 ms
	maxReportPeers       = 32.0    // machine.maxReportPeers
	maxReports           = 128.0   // machine.maxOwnReports
	reportBytes          = 100.0   // approximate size of a health report
	explanationsKept     = 4096.0  // daemon.explanationCount
	auditBuffer          = 1024.0  // daemon.auditBuffer
	auditKept            = 10000.0 // audit.DefaultRecords
	controlStatements    = 6.0     // of a change of primary: 3 fence, 1 promote, 2 follow
	defaultCallers       = 10000.0 // limits.max_connections
	base64Growth         = 4.0 / 3 // of values in the platform's JSON
	garbageFactor        = 2.0     // heap in use relative to the live heap with GOGC=100
	suspectAfter         = 0.4     // seconds, promotion.DefaultTiming.SuspectAfter
	reportDelay          = 0.5     // seconds, ReportEvery
	rankDelay            = 0.15    // seconds, RankDelay
	attemptLimit         = 0.5     // seconds, AttemptLimit of each of two phases
	carrierProbesPrimary = 2.0     // planned probes per second of a carrier to a primary
	carrierProbesReplica = 0.5     // planned probes per second of a carrier to a replica
	probingCarriers      = 3.0     // planned carriers per group that probe without demand
	carrierLoanRate      = 10.0    // planned Borrow requests per second of a VM
	readShare            = 0.9     // of statements; the design page gives no mix
	tokenShare           = 0.5     // of reads
	refusedShare         = 0.001   // of statements that are explained, the goal for refusals
)

// limit is a bound of the planned size.
type limit struct {
	name  string
	value func(Plan) float64
}

var (
	limitCPU         = limit{"control processor time", func(p Plan) float64 { return p.ControlCPU }}
	limitMemory      = limit{"control memory", func(p Plan) float64 { return p.ControlMemory }}
	limitBytes       = limit{"control bytes", func(p Plan) float64 { return p.ControlBytes }}
	limitReads       = limit{"platform reads", func(p Plan) float64 { return p.PlatformReads }}
	limitWrites      = limit{"platform writes", func(p Plan) float64 { return p.PlatformWrites }}
	limitValue       = limit{"platform value", func(p Plan) float64 { return p.PlatformValue }}
	limitConnections = limit{"smaller server", func(p Plan) float64 { return p.ConnectionsLow }}
	limitLarge       = limit{"larger server", func(p Plan) float64 { return p.ConnectionsHigh }}
	limitChange      = limit{"configuration change", func(p Plan) float64 { return p.ChangeLimit }}
	limitPrimary     = limit{"change of primary", func(p Plan) float64 { return p.PrimaryLimit }}
	limitCallers     = limit{"limits.max_connections", func(Plan) float64 { return defaultCallers }}
	limitRefusals    = limit{"refusals inside the rate", func(Plan) float64 { return 0.1 }}
	limitBuffer      = limit{"buffer of one VM", func(Plan) float64 { return auditBuffer }}
	limitLatency     = limit{"added latency", func(Plan) float64 { return 100 }}
)

// Figure is one sum of the page.
type Figure struct {
	ID      string
	Role    string
	What    string
	How     string // from which slopes and sizes
	Unit    string
	Value   float64
	Limit   float64 // 0 for none
	LimitOf string
	Planned bool   // of a mechanism that is not built
	Remedy  string // what would reach the planned size, for a figure of today that does not
}

// Exceeds reports whether the figure is above its limit.
func (f Figure) Exceeds() bool { return f.Limit > 0 && f.Value > f.Limit }

// Margin says how far the figure is from its limit.
func (f Figure) Margin() string {
	switch {
	case f.Limit == 0:
		return ""
	case f.Exceeds():
		return fmt.Sprintf("exceeds %s times", ratio(f.Value/f.Limit))
	case f.Value == 0:
		return "within"
	default:
		return fmt.Sprintf("within, %s times below", ratio(f.Limit/f.Value))
	}
}

// ratio rounds a margin so that it does not hide an excess of a few percent.
func ratio(r float64) string {
	if r < 10 {
		return fmt.Sprintf("%.2f", r)
	}
	return number(r)
}

// spec is how a figure is computed.
type spec struct {
	id, role, what, how, unit string
	limit                     *limit
	planned                   bool
	remedy                    string
	value                     func(*calc) float64
}

// calc gives the specs access to slopes, sizes and earlier figures.
type calc struct {
	Plan
	slopes  *Slopes
	figures map[string]Figure
	missing []string
}

func (c *calc) slope(id string) float64 {
	s, ok := c.slopes.Get(id)
	if !ok {
		c.missing = append(c.missing, "slope "+id)
	}
	return s.Value
}

func (c *calc) figure(id string) float64 {
	f, ok := c.figures[id]
	if !ok {
		c.missing = append(c.missing, "figure "+id)
	}
	return f.Value
}

// Model holds all figures.
type Model struct {
	Plan    Plan
	Slopes  *Slopes
	Figures []Figure
}

// NewModel computes the figures. It fails if a slope is missing.
func NewModel(p Plan, s *Slopes) (*Model, error) {
	c := &calc{Plan: p, slopes: s, figures: map[string]Figure{}}
	m := &Model{Plan: p, Slopes: s}
	for _, sp := range specs() {
		f := Figure{
			ID: sp.id, Role: sp.role, What: sp.what, How: sp.how, Unit: sp.unit, Planned: sp.planned, Remedy: sp.remedy,
			Value: sp.value(c),
		}
		if sp.limit != nil {
			f.Limit, f.LimitOf = sp.limit.value(p), sp.limit.name
		}
		if _, ok := c.figures[f.ID]; ok {
			return nil, fmt.Errorf("figure %s is computed twice", f.ID)
		}
		c.figures[f.ID] = f
		m.Figures = append(m.Figures, f)
	}
	if len(c.missing) > 0 {
		return nil, fmt.Errorf("not measured or not computed: %s", strings.Join(c.missing, ", "))
	}
	return m, nil
}

// Get returns a figure.
func (m *Model) Get(id string) (Figure, error) {
	for _, f := range m.Figures {
		if f.ID == id {
			return f, nil
		}
	}
	return Figure{}, fmt.Errorf("there is no figure %q", id)
}

// cores converts microseconds per second into cores.
func cores(microsPerSecond float64) float64 { return microsPerSecond / 1e6 }

// distinct returns how many of n equally likely values occur among draws.
func distinct(n, draws float64) float64 { return n * (1 - math.Pow(1-1/n, draws)) }
