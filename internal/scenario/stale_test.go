package scenario

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/settings"
	"siskinrouter/internal/verdict"
)

// split is a fleet whose first primary is cut off together with the VM of its failure domain, which
// goes on to believe that it leads, while the others have a new primary.
type split struct {
	*history
	old  *devtarget.Server
	home *devfleet.VM // in the failure domain of the old primary
	away *devfleet.VM
	cut  func(on bool)
}

// newSplit starts a fleet. Its network is whole until cut is called.
func newSplit(t *testing.T, d devfleet.Deployment) *split {
	t.Helper()
	s := &split{history: newHistory(t, 0, d)}
	s.old = s.fleet.Groups[0].Primary()
	for _, vm := range s.fleet.VMs() {
		if vm.Domain == s.old.Domain() {
			s.home = vm
		} else {
			s.away = vm
		}
	}
	s.cut = func(on bool) {
		for _, other := range s.fleet.Deployment.Domains {
			if other != s.old.Domain() {
				s.fleet.Network.Cut(s.old.Domain(), other, on)
			}
		}
		s.old.IsolatePeers(on)
	}
	return s
}

// awaitNewPrimary waits until another server leads.
func (s *split) awaitNewPrimary(t *testing.T) {
	t.Helper()
	err := poll(func() error {
		if p := s.fleet.Groups[0].Primary(); p == nil || p == s.old {
			return fmt.Errorf("no new primary")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func (s *split) session(t *testing.T, vm *devfleet.VM, token string) *pgx.Conn {
	t.Helper()
	conn := s.connect(s.fleet.URL(vm, "w1", ""), func(cfg *pgx.ConnConfig) {
		if token != "" {
			cfg.RuntimeParams["siskinrouter.session"] = token
		}
	})
	if conn == nil {
		t.Fatalf("VM %s takes no caller", vm.Name)
	}
	t.Cleanup(func() { closeConn(conn) })
	return conn
}

// Guards against a session that reads data from before its own write: the write went to the new primary,
// and the VM that serves the read still believes in the old one.
func TestSessionDoesNotReadFromFormerPrimary(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSplit(t, deployment())
	first := s.session(t, s.away, "new")
	_, err := runSQL(first, "PUT claim 1")
	is.NoErr(err)
	s.cut(true)
	s.awaitNewPrimary(t)
	_, err = runSQL(first, "PUT claim 2")
	is.NoErr(err)
	token := first.PgConn().ParameterStatus("siskinrouter.session")
	second := s.session(t, s.home, token)
	values, err := runSQL(second, "GET claim")
	t.Logf("read %v, error %v", values, err)
	if err == nil {
		is.Equal(values, []string{"2"})
	} else {
		is.Equal(verdictOf(err), verdict.NotRun)
	}
	s.cut(false)
	is.NoErr(poll(func() error {
		values, err := runSQL(second, "GET claim")
		if err == nil && (len(values) != 1 || values[0] != "2") {
			t.Errorf("read %v", values)
		}
		return err
	}))
}

// Guards against the acknowledgment of a write that only a former primary holds: its request is repeated
// through a VM that still believes in that primary, which knows the request id.
func TestRepeatIsNotAnsweredByFormerPrimary(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSplit(t, deployment())
	conn := s.session(t, s.home, "")
	request := func() error {
		if _, err := runSQL(conn, "SET siskinrouter.request_id = 'swap-1'"); err != nil {
			return err
		}
		_, err := runSQL(conn, "ADD swap 1")
		return err
	}
	s.cut(true)
	err := request()
	// A VM without answers of the servers for a moment knows no primary and refuses the request before it runs.
	for verdictOf(err) == verdict.NotRun {
		_, ran := s.old.Value("swap")
		t.Logf("refusal: %v; the former primary has run the request: %v", err, ran)
		is.True(!ran)
		is.True(s.fleet.Groups[0].Primary() == s.old)
		err = request()
	}
	is.True(err != nil) // no majority can confirm the write
	is.Equal(verdictOf(err), verdict.MayHaveRun)
	s.awaitNewPrimary(t)

	// The VM learns the new term from the servers of the majority while the old primary stays apart.
	repeated := make(chan error, 1)
	go func() { repeated <- request() }()
	time.Sleep(200 * time.Millisecond)
	for _, other := range s.fleet.Deployment.Domains {
		if other != s.old.Domain() {
			s.fleet.Network.Cut(s.old.Domain(), other, false)
		}
	}
	err = <-repeated
	t.Logf("repeat: %v", err)
	if err == nil {
		count := 0
		for _, r := range s.primary(t).History() {
			for _, q := range r.Requests {
				if q.ID == "swap-1" {
					count++
				}
			}
		}
		is.Equal(count, 1) // an acknowledged request must be in the log of the new primary
	}
	s.old.IsolatePeers(false)
	is.NoErr(poll(request))
	values, err := runSQL(s.session(t, s.away, ""), "GET swap")
	is.NoErr(err)
	is.Equal(values, []string{"1"})
}

// Guards against a refusal that says "not run" although a part of the request has committed.
func TestRefusalAfterCommitInOneQuery(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHistory(t, 0, deployment())
	conn := h.connect(h.fleet.URL(h.fleet.VM(0), "w1", ""), nil)
	is.True(conn != nil)
	t.Cleanup(func() { closeConn(conn) })
	_, err := conn.PgConn().Exec(context.Background(), "BEGIN; PUT fold 1; COMMIT; ADD fold x").ReadAll()
	is.True(err != nil)
	values, readErr := runSQL(conn, "GET fold")
	is.NoErr(readErr)
	t.Logf("read %v after %v", values, err)
	if len(values) > 0 {
		is.True(verdictOf(err) != verdict.NotRun)
	}
}

// Guards against a write that runs on a route for reads, where it would be repeated and reported as not
// run when its outcome is not known.
func TestReadRouteRefusesWrites(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHistory(t, 0, deployment())
	for _, s := range h.fleet.Groups[0].Servers() {
		if s != h.fleet.Groups[0].Primary() {
			s.SetLag(time.Minute) // so that the primary serves reads
		}
	}
	writer := h.connect(h.fleet.URL(h.fleet.VM(0), "w1", ""), nil)
	is.True(writer != nil)
	t.Cleanup(func() { closeConn(writer) })
	_, err := runSQL(writer, "PUT claim 1")
	is.NoErr(err)
	conn := h.connect(h.fleet.URL(h.fleet.VM(0), "w1", devfleet.RouteLookup), nil)
	is.True(conn != nil)
	t.Cleanup(func() { closeConn(conn) })
	_, err = runSQL(conn, "PUT claim 2")
	values, readErr := runSQL(writer, "GET claim")
	is.NoErr(readErr)
	t.Logf("write on the read route: %v; read %v", err, values)
	is.True(err != nil)
	is.Equal(values, []string{"1"})
}

// Guards against a query with a request id that ends its transaction by itself: its outcome would not be
// recorded, so that a repeat would run again, or a part of it would be answered without having run.
func TestRequestIDWithSeveralStatements(t *testing.T) {
	t.Parallel()
	h := newHistory(t, 0, deployment())
	for i, queries := range [][]string{
		{"ADD K 1; COMMIT"}, {"ADD K 1; COMMIT; ADD other 1"}, {"BEGIN; ADD K 1; COMMIT"}, {"ADD K 1; ADD other 1"},
		{`PUT quote '"'; ADD K 1; COMMIT`}, {"BEGIN", "ADD K 1; COMMIT"}, {"ADD K 1"}, {"BEGIN", "ADD K 1", "COMMIT"},
	} {
		t.Run(strings.Join(queries, " / "), func(t *testing.T) {
			is := is.New(t)
			key := fmt.Sprintf("several%d", i)
			acknowledged := 0
			for vm := range 2 { // the same request through two VMs
				conn := h.connect(h.fleet.URL(h.fleet.VM(vm), "w1", ""), nil)
				is.True(conn != nil)
				_, err := runSQL(conn, "SET siskinrouter.request_id = '"+key+"'")
				is.NoErr(err)
				for _, q := range queries {
					_, err = conn.PgConn().Exec(context.Background(), strings.ReplaceAll(q, "K", key)).ReadAll()
					if err != nil {
						break
					}
				}
				t.Logf("answer: %v", err)
				if err == nil || verdictOf(err) == verdict.Ran {
					acknowledged++
				} else {
					is.Equal(verdictOf(err), verdict.NotRun)
				}
				closeConn(conn)
			}
			written := 0
			for _, r := range h.primary(t).History() {
				for _, w := range r.Writes {
					if w.Key == key {
						written++
					}
				}
			}
			t.Logf("acknowledged %d times, written %d times", acknowledged, written)
			is.True(acknowledged == 0 || acknowledged == 2)
			is.Equal(written, min(acknowledged, 1))
		})
	}
}

// patient is a deployment that keeps a primary whose answers are late: a promotion would answer the request
// whose answer is on the way.
func patient() devfleet.Deployment {
	d := deployment()
	d.Suspicion = settings.MaxSuspicion
	return d
}

// answerDelay is long enough to act before an answer arrives, and shorter than the time after which the
// primary is suspected.
const answerDelay = 250 * time.Millisecond

// awaitValue waits until a server has a value for key.
func awaitValue(s *devtarget.Server, key string) {
	for start := time.Now(); time.Since(start) < conditionLimit; time.Sleep(answerDelay / 50) {
		if _, ok := s.Value(key); ok {
			return
		}
	}
}

// Guards against "not run" for a request whose first attempt may have run: it is sent again because it has
// an id, and the last attempt finds no primary.
func TestOpenAttemptKeepsOutcomeOpen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSplit(t, patient())
	conn := s.session(t, s.home, "")
	_, err := runSQL(conn, "SET siskinrouter.request_id = 'swap-1'")
	is.NoErr(err)
	s.old.SetAnswerDelay(answerDelay)
	result := make(chan error, 1)
	go func() {
		_, err := runSQL(conn, "ADD swap 1")
		result <- err
	}()
	awaitValue(s.old, "swap") // the write has committed, and its answer is on the way
	for _, server := range s.fleet.Groups[0].Servers() {
		server.Kill()
	}
	err = <-result
	t.Logf("refusal: %v", err)
	is.True(err != nil)
	is.Equal(verdictOf(err), verdict.MayHaveRun)
	for _, server := range s.fleet.Groups[0].Servers() {
		is.NoErr(server.Restart())
	}
}

// Guards against a request id that a refused request leaves to the next one: the id would be recorded with
// the wrong request, and a repeat of the refused one would be answered although it never ran.
func TestRefusedRequestKeepsNoID(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHistory(t, 0, deployment())
	conn := h.connect(h.fleet.URL(h.fleet.VM(0), "hot", ""), nil)
	is.True(conn != nil)
	t.Cleanup(func() { closeConn(conn) })
	var others sync.WaitGroup
	for i := range 4 * hotCallers { // so that the rate is exceeded all the time
		others.Go(func() { h.sendHot(i) })
	}
	defer func() {
		close(h.stop)
		others.Wait()
	}()
	refused := false
	for n := 0; !refused && n < 100*hotBurst; n++ {
		_, err := runSQL(conn, fmt.Sprintf("SET siskinrouter.request_id = 'hot-%d'", n))
		is.NoErr(err)
		_, err = runSQL(conn, fmt.Sprintf("ADD hot-%d 1", n))
		if err != nil && verdictOf(err) == verdict.MayHaveRun {
			continue // a change of primary left the outcome open, which is no refusal
		}
		refused = err != nil
		if !refused {
			continue
		}
		is.Equal(verdictOf(err), verdict.NotRun)
		is.NoErr(poll(func() error { _, err := runSQL(conn, "ADD other 1"); return err }))
		for _, r := range h.primary(t).History() {
			for _, q := range r.Requests {
				is.True(q.ID != fmt.Sprintf("hot-%d", n)) // the id of the refused request
			}
		}
	}
	is.True(refused)
}

// Guards against "not run" for a commit with an open outcome, when its session ends because its VM is
// shutting down.
func TestDrainKeepsOutcomeOpen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSplit(t, patient())
	conn := s.session(t, s.home, "")
	for _, statement := range []string{"BEGIN", "PUT claim 1"} {
		_, err := runSQL(conn, statement)
		is.NoErr(err)
	}
	s.old.SetAnswerDelay(answerDelay)
	result := make(chan error, 1)
	go func() {
		_, err := runSQL(conn, "COMMIT")
		result <- err
	}()
	awaitValue(s.old, "claim") // the transaction has committed, and the answer is on the way
	drained := make(chan error, 1)
	go func() { drained <- s.home.Drain() }()
	time.Sleep(answerDelay / 5) // the drain has begun
	s.old.Kill()
	err := <-result
	t.Logf("refusal: %v", err)
	is.True(err != nil)
	is.Equal(verdictOf(err), verdict.MayHaveRun)
	is.NoErr(<-drained)
}
