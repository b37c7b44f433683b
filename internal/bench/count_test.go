package bench

import (
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"siskinrouter/internal/devtarget"
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// at returns a decision made at one moment.
func at(s float64, admitted bool) admission {
	return admission{from: seconds(s), to: seconds(s), admitted: admitted}
}

func repeat(n int, a admission) []admission {
	all := make([]admission, n)
	for i := range all {
		all[i] = a
	}
	return all
}

// Guards against a report that misses refusals inside the rate, or blames refusals outside of it.
func TestRefusalsInsideTheRate(t *testing.T) {
	is := is.New(t)
	// 10 tokens at the start and 10 per second: after 8 admissions two more requests are inside.
	decisions := append(repeat(8, at(1, true)), repeat(5, at(1, false))...)
	before, after := refusedInside(decisions, 10, 10, 0)
	is.Equal(before, 0)
	is.Equal(after, 2)
	before, after = refusedInside(decisions, 10, 10, seconds(2))
	is.Equal(before, 2) // the same refusals before the demand is steady
	is.Equal(after, 0)
	_, after = refusedInside(append(repeat(10, at(1, true)), repeat(5, at(1, false))...), 10, 10, 0)
	is.Equal(after, 0)
}

// Guards against a report that misses over-admission, or invents it from imprecise times.
func TestOverAdmission(t *testing.T) {
	is := is.New(t)
	is.Equal(overAdmitted(repeat(10, at(1, true)), 10, 10), 0)
	is.Equal(overAdmitted(repeat(13, at(1, true)), 10, 10), 3)
	// The last three decisions may have been made at any time up to 1.3 s, when there are tokens for them.
	late := admission{from: seconds(1), to: seconds(1.31), admitted: true}
	is.Equal(overAdmitted(append(repeat(10, at(1, true)), repeat(3, late)...), 10, 10), 0)
	is.Equal(overAdmitted(append(repeat(10, at(1, true)), repeat(4, late)...), 10, 10), 1)
	// A steady stream above the rate exceeds the bucket in the long run only.
	var stream []admission
	for i := range 220 {
		stream = append(stream, at(1+float64(i)/20, true)) // 20 per second, 11 s
	}
	over := overAdmitted(stream, 10, 10)
	is.True(over >= 95 && over <= 105)
}

// Guards against an entitlement that is not that of one exact bucket.
func TestEntitled(t *testing.T) {
	is := is.New(t)
	arrivals := make([]time.Duration, 50)
	is.Equal(entitled(arrivals, 10, 20), 20)
	arrivals = append(arrivals, seconds(1), seconds(1), seconds(5))
	is.Equal(entitled(arrivals, 10, 20), 23)
}

// Guards against violations that the check of the history does not find.
func TestCheckWrites(t *testing.T) {
	is := is.New(t)
	log := []devtarget.Record{
		{Commit: devtarget.Commit{Writes: []devtarget.Write{{Key: "good"}, {Key: "ready"}}}},
		{Commit: devtarget.Commit{Writes: []devtarget.Write{{Key: "twice"}, {Key: "ready"}}}},
		{Commit: devtarget.Commit{Writes: []devtarget.Write{{Key: "twice"}, {Key: "refused"}, {Key: "late"}}}},
	}
	samples := []sample{
		{write: true, key: "good", outcome: acked},
		{write: true, key: "twice", outcome: acked},
		{write: true, key: "refused", outcome: notRun},
		{write: true, key: "gone", outcome: acked},
		{write: true, key: "absent", outcome: notRun},
		{write: true, key: "late", outcome: unknown},
		{write: true, key: "lost trace", outcome: unknown},
	}
	var c Correctness
	checkWrites(samples, written(log), &c)
	is.Equal(c, Correctness{LostWrites: 1, DoubledWrites: 1, NotRunYetRan: 1, UnknownFoundLate: 1})
	is.Equal(c.Violations(), 3)
}

// Guards against answers whose faults are not counted.
func TestCheckAnswers(t *testing.T) {
	is := is.New(t)
	var c Correctness
	checkAnswers([]sample{
		{wrong: true}, {write: true, falseAck: true}, {cuts: 2}, {state: stateStalled},
		{due: 0, sent: seconds(5), done: seconds(6.9)}, {sent: seconds(5), done: seconds(7.1)},
		{write: true, outcome: unknown},
	}, &c)
	is.Equal(c, Correctness{WrongReads: 1, FalselyAcked: 1, RequestsCut: 2, StalledRequests: 2, UnknownOutcomes: 1})
}

// Guards against a verdict that the caller side reads wrongly; the check of "not run" depends on it.
func TestClassify(t *testing.T) {
	is := is.New(t)
	refusal := func(code, detail string) failure { return classify(&pgconn.PgError{Code: code, Detail: detail}) }
	is.Equal(refusal("53400", "verdict=not run id=vm1-7").outcome, notRun)
	is.True(!refusal("53400", "verdict=not run id=vm1-7").move)
	is.True(refusal("57P01", "verdict=not run").move)
	is.Equal(refusal("08007", "verdict=may have run id=x").outcome, unknown)
	is.True(refusal("23505", "verdict=ran id=x").ran)
	is.Equal(refusal("22P02", "").outcome, rejected)
	broken := classify(errors.New("unexpected EOF"))
	is.True(broken.cut)
	is.Equal(broken.outcome, unknown)
}

// Guards against gaps that start too late, end with a write of the old primary, or stay hidden.
func TestGap(t *testing.T) {
	is := is.New(t)
	f := fault{at: seconds(10), effective: seconds(10.01)}
	ok := func(sent, done float64) sample {
		return sample{write: true, sent: seconds(sent), done: seconds(done), outcome: acked}
	}
	writes := []sample{ok(9.9, 9.95), ok(9.98, 10.005), ok(9.99, 10.9), ok(10.2, 10.8), ok(10.95, 10.97)}
	millis, end := gapOf(writes, f, seconds(20))
	is.Equal(millis, 810.0) // from 9.99 s, the first stalled write, to 10.8 s
	is.Equal(end, seconds(10.8))

	failed := sample{write: true, sent: seconds(10.1), done: seconds(10.12), outcome: notRun}
	millis, end = gapOf([]sample{failed}, f, seconds(20))
	is.Equal(millis, 9900.0)
	is.True(end < 0)

	millis, _ = gapOf([]sample{ok(9.9, 9.95), ok(10.1, 10.12)}, f, seconds(20))
	is.Equal(millis, 0.0)
}

// Guards against a worst workspace that is not the worst, and against one that had no key.
func TestWorst(t *testing.T) {
	is := is.New(t)
	w := worst([]WorkspaceResult{
		{Name: "a", Share: 1, P99: 10}, {Name: "b", Share: 0.9, P99: 20}, {Name: "c", Share: 1, P99: 60},
		{Name: "d", Share: 0.1, P99: 1, Excluded: true},
	})
	is.Equal(w, Worst{Workspace: "b", Share: 0.9, SlowName: "c", P99: 60, MedianP99: 20, P99Ratio: 3})
}

// Guards against seconds that lose requests or mix up answered and refused ones.
func TestBySecond(t *testing.T) {
	is := is.New(t)
	samples := []sample{
		{due: seconds(0.5), done: seconds(0.6)},
		{due: seconds(1.5), done: seconds(1.6), outcome: notRun},
		{due: seconds(1.9), done: seconds(2.1)},
	}
	got := bySecond(samples, seconds(2))
	is.Equal(len(got), 2)
	is.Equal(got[0].Success, 1.0)
	is.Equal(got[1].Offered, 2)
	is.Equal(got[1].Success, 0.5)
	c := changeService(samples, got, []Event{{Seconds: 1.2}, {Seconds: 1.3}})
	is.Equal(c.Success, 0.5)
	is.Equal(c.WorstSecond, 0.5)
}

// Guards against a withdrawn key or failure domain that is still used without the report saying so.
func TestDelaysOfWithdrawals(t *testing.T) {
	is := is.New(t)
	r := &run{withdrawal: &withdrawal{workspace: 1, from: seconds(2), to: seconds(5)}, recorder: newRecorder(2)}
	for _, s := range []sample{
		{workspace: 1, sent: seconds(1.9)}, {workspace: 1, sent: seconds(2.25)}, {workspace: 1, sent: seconds(5.1)},
		{workspace: 0, sent: seconds(4)}, {workspace: 1, sent: seconds(4), outcome: notRun},
	} {
		r.recorder.add(s)
	}
	r.watchDomain("bne", seconds(2))
	r.watch.note(10, seconds(2.1))
	r.watch.note(11, seconds(2.5))
	r.watch.note(11, seconds(2.6))
	r.stopWatch(seconds(3))
	r.watch.note(12, seconds(3.1)) // after the return of the failure domain
	var res Result
	r.delays(&res)
	is.Equal(res.KeyAcceptedMS, 250.0)
	is.Equal(res.DomainWorkMS, 500.0)
}
