package scenario

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"siskinrouter/internal/daemon"
	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/proxy"
	"siskinrouter/internal/verdict"
)

// trialsAtOnce bounds the fleets of this test that run side by side.
const trialsAtOnce = 8

var trialSlots = make(chan struct{}, trialsAtOnce)

// trial is one fleet on which a check looks for the violation of a guarantee.
type trial struct {
	*split
	t *testing.T
}

// rule is a rule of the product with a check that must find the violation when the rule is off.
type rule struct {
	guarantees string
	without    daemon.Rules
	check      func(r *trial) (violation string)
}

var rules = map[string]rule{
	"a majority confirms a write": {
		"2", daemon.Rules{Proxy: proxy.Rules{Confirmation: true}}, (*trial).writeToIsolatedPrimary},
	"a read waits for the last write": {
		"1", daemon.Rules{Proxy: proxy.Rules{ReadFloor: true}}, (*trial).readOnLaggingReplica},
	"a superseded primary answers no session": {
		"1 and 2", daemon.Rules{Proxy: proxy.Rules{PrimaryTerm: true}}, (*trial).readFromFormerPrimary},
	"a link belongs to one transaction": {
		"3", daemon.Rules{Proxy: proxy.Rules{OwnLink: true}}, (*trial).openTransactionOfAnother},
	"a key is compared at login": {
		"4", daemon.Rules{LoginKey: true}, (*trial).wrongKey},
	"a key is checked after login": {
		"6", daemon.Rules{KeyRecheck: true}, (*trial).withdrawnKey},
	"requests are charged": {
		"7", daemon.Rules{RateLimit: true}, (*trial).overRate},
	"a withdrawn failure domain is blocked": {
		"8", daemon.Rules{Blocking: true}, (*trial).workInWithdrawnDomain},
	"a failed link is closed": {
		"9", daemon.Rules{LinkClosing: true}, (*trial).answerOfAnother},
	"a missing answer is not called not run": {
		"10", daemon.Rules{Proxy: proxy.Rules{OpenOutcome: true}}, (*trial).lostAnswer},
	"a request id is recorded": {
		"11", daemon.Rules{Proxy: proxy.Rules{RequestIDs: true}}, (*trial).repeatedRequest},
	"a leaving target is blocked": {
		"12", daemon.Rules{Blocking: true}, (*trial).workAtLeavingTarget},
	"a shutdown lets transactions end": {
		"13", daemon.Rules{Proxy: proxy.Rules{GracefulDrain: true}}, (*trial).shutdown},
}

// Guards against checks that prove nothing: each finds no violation with its rule, and finds one without.
func TestRulesAreNeeded(t *testing.T) {
	t.Parallel()
	for name, r := range rules {
		for _, without := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%s/without=%t", r.guarantees, name, without), func(t *testing.T) {
				t.Parallel()
				trialSlots <- struct{}{}
				defer func() { <-trialSlots }()
				d := deployment()
				if without {
					d.Experiment.Without = r.without
				}
				violation := r.check(&trial{newSplit(t, d), t})
				t.Logf("violation: %q", violation)
				is.New(t).Equal(violation != "", without)
			})
		}
	}
}

// caller connects to a VM, with a session token if it is not empty.
func (r *trial) caller(vm *devfleet.VM, token string) *pgx.Conn { return r.session(r.t, vm, token) }

func (r *trial) must(conn *pgx.Conn, statement string) []string {
	r.t.Helper()
	values, err := runSQL(conn, statement)
	if err != nil {
		r.t.Fatalf("%s: %v", statement, err)
	}
	return values
}

func (r *trial) primary() *devtarget.Server { return r.fleet.Groups[0].Primary() }

// written returns how often a key is written in the log of the primary.
func (r *trial) written(key string) (n int) {
	for _, record := range r.primary().History() {
		for _, w := range record.Writes {
			if w.Key == key {
				n++
			}
		}
	}
	return n
}

func (r *trial) writeToIsolatedPrimary() string {
	conn := r.caller(r.home, "")
	r.cut(true)
	_, err := runSQL(conn, "PUT swap 1")
	r.awaitNewPrimary(r.t)
	r.cut(false)
	if err == nil && r.written("swap") == 0 {
		return "an acknowledged write is lost"
	}
	return ""
}

func (r *trial) readOnLaggingReplica() string {
	for _, s := range r.fleet.Groups[0].Servers() {
		s.SetLag(time.Second)
	}
	r.must(r.caller(r.home, ""), "PUT fold 1")
	conn := r.connect(r.fleet.URL(r.away, "w1", devfleet.RouteLookup), nil)
	if conn == nil {
		r.t.Fatal("no connection")
	}
	defer closeConn(conn)
	if values, err := runSQL(conn, "GET fold"); err == nil && len(values) == 0 {
		return "a read misses an acknowledged write"
	}
	return ""
}

func (r *trial) readFromFormerPrimary() string {
	first := r.caller(r.away, "new")
	r.must(first, "PUT claim 1")
	r.cut(true)
	r.awaitNewPrimary(r.t)
	if err := poll(func() error { _, err := runSQL(first, "PUT claim 2"); return err }); err != nil {
		r.t.Fatal(err)
	}
	second := r.caller(r.home, first.PgConn().ParameterStatus("siskinrouter.session"))
	if values, err := runSQL(second, "GET claim"); err == nil && (len(values) != 1 || values[0] != "2") {
		return fmt.Sprintf("a session that wrote 2 read %v", values)
	}
	return ""
}

func (r *trial) openTransactionOfAnother() string {
	a, b := r.caller(r.home, ""), r.caller(r.home, "")
	r.must(a, "BEGIN")
	r.must(a, "PUT swap 1")
	// Another caller takes the most recently used link.
	_, _ = runSQL(b, "PUT fold 1")
	_, _ = runSQL(a, "ROLLBACK")
	for _, record := range r.primary().History() {
		if f := mixed(record.Writes); f != "" {
			return f
		}
	}
	if r.written("swap") > 0 || r.written("fold") == 0 {
		return fmt.Sprintf("rolled back write %d times there, acknowledged write %d times", r.written("swap"), r.written("fold"))
	}
	return ""
}

func (r *trial) wrongKey() string {
	conn := r.connect(r.fleet.URL(r.home, "w1", ""), func(cfg *pgx.ConnConfig) { cfg.Password = r.fleet.Keys["w2"] })
	if conn == nil {
		return ""
	}
	defer closeConn(conn)
	return "the key of another workspace is accepted"
}

func (r *trial) keyAtTarget() string {
	r.must(r.caller(r.home, ""), "PUT swap 1")
	for _, s := range r.fleet.Groups[0].Servers() {
		if n := len(s.Leaks()); n > 0 {
			return fmt.Sprintf("server %s received a key %d times", s.Name(), n)
		}
	}
	return ""
}

// Guards against a key that reaches a target, and against a search of the targets' input that finds nothing:
// a caller that puts its key into a statement must be found.
func TestKeysAtTargetsAreFound(t *testing.T) {
	for _, exposed := range []bool{false, true} {
		t.Run(fmt.Sprintf("exposed=%t", exposed), func(t *testing.T) {
			trialSlots <- struct{}{}
			defer func() { <-trialSlots }()
			r := &trial{newSplit(t, deployment()), t}
			if exposed {
				workspace := r.fleet.Deployment.Workspaces[0].Name
				r.must(r.caller(r.home, ""), "PUT note "+r.fleet.Keys[workspace])
			}
			violation := r.keyAtTarget()
			t.Logf("violation: %q", violation)
			is.New(t).Equal(violation != "", exposed)
		})
	}
}

// changeLimit is how long a change of operators may take to be in force. The goals say "within
// seconds"; the planned size allows 16 s.
const changeLimit = 5 * time.Second

func (r *trial) withdrawnKey() string {
	conn := r.caller(r.home, "")
	r.must(conn, "SELECT 1")
	if _, err := r.fleet.Operator.WithdrawKey(context.Background(), r.fleet.KeyIDs["w1"]); err != nil {
		r.t.Fatal(err)
	}
	start := time.Now()
	for time.Since(start) < changeLimit {
		if _, err := runSQL(conn, "SELECT 1"); err != nil {
			return ""
		}
		time.Sleep(conditionPause)
	}
	return fmt.Sprintf("a connected caller works %v after its key was withdrawn", changeLimit)
}

func (r *trial) overRate() string {
	for i := range hotCallers {
		go r.sendHot(i)
	}
	time.Sleep(2 * time.Second)
	close(r.stop)
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(overAdmitted(r.admitted["hot"], hotRate, hotBurst), "")
}

// replica returns a server that is not the primary.
func (r *trial) replica() *devtarget.Server {
	for _, s := range r.fleet.Groups[0].Servers() {
		if s != r.primary() {
			return s
		}
	}
	return nil
}

func (r *trial) workInWithdrawnDomain() string {
	s := r.replica()
	return r.workAfter(s, func() error {
		_, err := r.fleet.Operator.WithdrawDomain(context.Background(), s.Domain(), "test", false)
		return err
	})
}

func (r *trial) workAtLeavingTarget() string {
	s := r.replica()
	return r.workAfter(s, func() error {
		_, err := r.fleet.Operator.LeaveTarget(context.Background(), s.Name(), "test", false)
		return err
	})
}

// workAfter returns whether a server still serves reads some seconds after a change.
func (r *trial) workAfter(s *devtarget.Server, change func() error) string {
	if err := change(); err != nil {
		r.t.Fatal(err)
	}
	time.Sleep(changeLimit)
	before := s.Counts()["GET"]
	served := 0
	for _, vm := range r.fleet.VMs() {
		conn := r.connect(r.fleet.URL(vm, "w1", devfleet.RouteLookup), nil)
		if conn == nil {
			continue // the VM of a withdrawn failure domain
		}
		for range 100 {
			if _, err := runSQL(conn, "GET ready"); err == nil {
				served++
			}
		}
		closeConn(conn)
	}
	if served == 0 {
		r.t.Fatal("no read was served")
	}
	if n := s.Counts()["GET"] - before; n > 0 {
		return fmt.Sprintf("server %s served %d of %d reads", s.Name(), n, served)
	}
	return ""
}

func (r *trial) answerOfAnother() string {
	slow := r.caller(r.home, "")
	// The answer arrives after the proxy has given up, when another caller waits for its own.
	if _, err := runSQL(slow, fmt.Sprintf("SLEEP %d", (statementLimit+statementLimit/4).Milliseconds())); err == nil {
		r.t.Fatal("the statement has no time limit")
	}
	for range 3 {
		other := r.caller(r.home, "")
		values, err := runSQL(other, "ROWS 5")
		if err == nil && len(values) != 5 {
			return fmt.Sprintf("a caller got %v instead of 5 rows", values)
		}
	}
	return ""
}

// lostAnswer kills the primary after a write has run and before its answer is sent.
func (r *trial) lostAnswer() string {
	conn := r.caller(r.home, "")
	r.must(conn, "PUT claim 1")
	r.old.SetAnswerDelay(answerDelay)
	result := make(chan error, 1)
	go func() {
		_, err := runSQL(conn, "PUT swap 1")
		result <- err
	}()
	for _, s := range r.fleet.Groups[0].Servers() { // the write is everywhere
		awaitValue(s, "swap")
	}
	r.old.Kill()
	err := <-result
	r.awaitNewPrimary(r.t)
	switch n := r.written("swap"); {
	case n == 0:
		r.t.Fatal("the write was not replicated before its primary died")
	case n > 1:
		return fmt.Sprintf("a request with an open outcome was sent again and ran %d times", n)
	case err != nil && verdictOf(err) == verdict.NotRun:
		return "a request that ran was reported as not run"
	}
	return ""
}

func (r *trial) repeatedRequest() string {
	for _, vm := range []*devfleet.VM{r.home, r.away} {
		conn := r.caller(vm, "")
		r.must(conn, "SET siskinrouter.request_id = 'swap-1'")
		r.must(conn, "ADD swap 1")
	}
	if n := r.written("swap"); n != 1 {
		return fmt.Sprintf("a request ran %d times", n)
	}
	return ""
}

func (r *trial) shutdown() string {
	conn := r.caller(r.home, "")
	r.must(conn, "BEGIN")
	r.must(conn, "PUT parcel 1")
	drained := make(chan error, 1)
	go func() { drained <- r.home.Drain() }()
	time.Sleep(200 * time.Millisecond) // the transaction is open while the shutdown begins
	_, err := runSQL(conn, "COMMIT")
	if failed := <-drained; failed != nil {
		r.t.Fatal(failed)
	}
	if err != nil {
		return fmt.Sprintf("a transaction was cut: %v", err)
	}
	return ""
}
