package bench

import (
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"siskinrouter/internal/verdict"
)

// outcome is how a request ended for its caller.
type outcome uint8

const (
	acked    outcome = iota // answered
	notRun                  // refused with the verdict "not run"
	unknown                 // no answer, or the verdict "may have run"
	rejected                // the target answered with an error of its own
)

// sample is one request. Times are since the start of the run.
type sample struct {
	workspace int
	write     bool
	due       time.Duration // arrival
	sent      time.Duration // first attempt
	done      time.Duration
	outcome   outcome
	state     string // SQLSTATE of the last failure
	key       string // of a write: its unique key and request id
	failures  int    // attempts that failed, without moves to another VM
	moves     int    // refusals of a leaving VM, repeated elsewhere
	cuts      int    // connections that ended without an answer
	wrong     bool   // a read returned something else than the write that it had to see
	falseAck  bool   // fewer than a majority held an acknowledged write
}

// latency includes the time that the request waited for a free caller.
func (s sample) latency() time.Duration { return s.done - s.due }

// failure describes an error that a caller received.
type failure struct {
	outcome outcome
	state   string
	cut     bool // the connection ended without an answer
	move    bool // the VM is leaving; the request did not run and belongs to another VM
	ran     bool // the request took effect earlier
	text    string
}

const verdictPrefix = "verdict="

// classify tells what an error of pgx means.
func classify(err error) failure {
	var refused *pgconn.PgError
	if !errors.As(err, &refused) {
		if pgconn.SafeToRetry(err) {
			return failure{outcome: notRun, move: true, text: err.Error()}
		}
		return failure{outcome: unknown, cut: true, text: err.Error()}
	}
	f := failure{outcome: rejected, state: refused.Code, text: refused.Message}
	detail, ok := strings.CutPrefix(refused.Detail, verdictPrefix)
	switch {
	case !ok:
	case strings.HasPrefix(detail, verdict.NotRun.String()):
		f.outcome = notRun
		f.move = refused.Code == verdict.StateAdminShutdown
	case strings.HasPrefix(detail, verdict.Ran.String()):
		f.outcome, f.ran = acked, true
	default:
		f.outcome = unknown
	}
	return f
}

// recorder collects the samples of a run.
type recorder struct {
	mu         sync.Mutex
	samples    []sample
	admissions [][]admission // by workspace
	examples   map[string]string
}

func newRecorder(workspaces int) *recorder {
	return &recorder{admissions: make([][]admission, workspaces), examples: make(map[string]string)}
}

func (r *recorder) add(s sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, s)
}

func (r *recorder) admission(workspace int, a admission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admissions[workspace] = append(r.admissions[workspace], a)
}

// example keeps the first text of each kind of event for the report.
func (r *recorder) example(kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.examples[kind]; !known {
		r.examples[kind] = text
	}
}

// progress returns the number of samples and of acknowledged ones.
func (r *recorder) progress() (all, good int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.samples {
		if s.outcome == acked {
			good++
		}
	}
	return len(r.samples), good
}
