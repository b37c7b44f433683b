package scenario

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/verdict"
)

var long = flag.Bool("long", false, "run the histories with more seeds and for a longer time")

const (
	historyTime     = 7 * time.Second
	longHistoryTime = 30 * time.Second
	statementLimit  = 2 * time.Second // of the deployments, so that callers get on during faults
	hotRate         = 60              // requests per second of the workspace that sends more
	hotBurst        = 20
)

// Seeds of the histories that every test run plays.
var seeds = []uint64{1, 2, 3}

// Guards the guarantees about acknowledged, refused and repeated requests, reads, rates and keys while
// faults of all kinds overlap.
func TestHistories(t *testing.T) {
	t.Parallel()
	d := historyTime
	all := seeds
	if *long {
		d = longHistoryTime
		for s := uint64(4); s <= 20; s++ {
			all = append(all, s)
		}
	}
	for _, seed := range all {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			h := newHistory(t, seed, deployment())
			h.play(t, d, h.schedule(seed))
			h.check(t)
		})
	}
}

// deployment is one group of three servers and a VM in each of four failure domains.
func deployment() devfleet.Deployment {
	d := devfleet.Queensland()
	d.Groups, d.VMs, d.StatementTimeout, d.Lag = 1, 4, statementLimit, 5*time.Millisecond
	d.Workspaces = []devfleet.Workspace{
		{Name: "w1", Rate: 5000, Burst: 5000, Weight: 1},
		{Name: "w2", Rate: 5000, Burst: 5000, Weight: 1},
		{Name: "hot", Rate: hotRate, Burst: hotBurst, Weight: 1},
	}
	return d
}

// write is one write of a caller. No two writes have the same key and value.
type write struct {
	key     string
	value   int
	outcome verdict.Verdict
	err     error
}

// register is a key that one caller writes, with values that increase.
type register struct {
	key          string
	sent         int // highest value of a request
	acknowledged int // highest acknowledged value
	refused      map[int]error
}

// span is the time from the start of an admitted request to its end, in which it was admitted.
type span struct{ start, end time.Time }

// history is a run against one fleet.
type history struct {
	fleet  *devfleet.Fleet
	stop   chan struct{}
	played []string // faults in the order of their injection

	mu        sync.Mutex
	writes    []write
	registers map[int]register // by caller, the one it writes at present
	admitted  map[string][]span
	faults    []string // violations seen during the run
	reads     int
}

// testLog passes the log of the daemons to a test.
type testLog struct{ t testing.TB }

func (l testLog) Write(b []byte) (int, error) {
	l.t.Logf("%s", b)
	return len(b), nil
}

// lastLines keeps the latest output of the daemons and passes it to a test that has failed.
type lastLines struct {
	mu    sync.Mutex
	lines []string
	next  int
}

// keptLines covers some seconds before the failure of a fleet of four VMs.
const keptLines = 600

func newLastLines(t testing.TB) *lastLines {
	l := &lastLines{lines: make([]string, keptLines)}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		t.Logf("last output of the daemons:\n%s%s", strings.Join(l.lines[l.next:], ""), strings.Join(l.lines[:l.next], ""))
	})
	return l
}

func (l *lastLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines[l.next] = string(b)
	l.next = (l.next + 1) % len(l.lines)
	return len(b), nil
}

func newHistory(t testing.TB, seed uint64, d devfleet.Deployment) *history {
	t.Helper()
	t.Logf("seed %d", seed)
	var log io.Writer = newLastLines(t)
	if *long {
		log = testLog{t}
	}
	f, err := devfleet.Start(context.Background(), d, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for _, g := range f.Groups {
		for _, s := range g.Servers() {
			for _, key := range f.Keys {
				s.Forbid(key)
			}
		}
	}
	return &history{
		fleet: f, stop: make(chan struct{}), registers: make(map[int]register), admitted: make(map[string][]span),
	}
}

const (
	callersPerHistory = 6
	hotCallers        = 4
)

// play runs callers and faults for d, heals everything and waits until a write succeeds.
func (h *history) play(t testing.TB, d time.Duration, faults func(ctx context.Context)) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range callersPerHistory {
		wg.Go(func() { (&caller{h: h, id: i, rand: rand.New(rand.NewPCG(uint64(i), 1))}).run() })
	}
	for i := range hotCallers {
		wg.Go(func() { h.sendHot(i) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), d)
	faults(ctx)
	<-ctx.Done()
	cancel()
	close(h.stop)
	wg.Wait()
	if err := poll(func() error { return h.fleet.Ready(context.Background()) }); err != nil {
		for _, s := range h.fleet.Groups[0].Servers() {
			t.Logf("server %s: %+v, %d connections", s.Name(), s.Status(), s.Connections())
		}
		t.Fatalf("the fleet does not serve after all faults were healed: %v; faults: %s", err, strings.Join(h.played, ", "))
	}
}

// primary waits until a server leads.
func (h *history) primary(t testing.TB) *devtarget.Server {
	t.Helper()
	var p *devtarget.Server
	err := poll(func() error {
		if p = h.fleet.Groups[0].Primary(); p == nil {
			return errors.New("no server leads")
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func (h *history) stopped() bool {
	select {
	case <-h.stop:
		return true
	default:
		return false
	}
}

func (h *history) violation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, fmt.Sprintf(format, args...))
}

func (h *history) record(w write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writes = append(h.writes, w)
}

func (h *history) admit(workspace string, s span) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.admitted[workspace] = append(h.admitted[workspace], s)
}

// sendHot sends more than the rate of its workspace allows.
func (h *history) sendHot(caller int) {
	for n := caller; !h.stopped(); n++ {
		vms := h.fleet.VMs()
		conn := h.connect(h.fleet.URL(vms[n%len(vms)], "hot", ""), nil)
		for range 50 {
			if conn == nil || h.stopped() {
				break
			}
			start := time.Now()
			if _, err := runSQL(conn, "SELECT 1"); err == nil {
				h.admit("hot", span{start, time.Now()})
			}
			if conn.IsClosed() {
				break
			}
		}
		if conn == nil {
			time.Sleep(conditionPause)
			continue
		}
		closeConn(conn)
	}
}

// connect returns nil if the VM does not take the caller.
func (h *history) connect(url string, change func(*pgx.ConnConfig)) *pgx.Conn {
	cfg, err := pgx.ParseConfig(url)
	if err != nil {
		return nil
	}
	cfg.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	if change != nil {
		change(cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), statementLimit)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil
	}
	return conn
}

// runSQL runs a statement and returns its first column of all rows.
func runSQL(conn *pgx.Conn, statement string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rows, err := conn.Query(ctx, statement)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	var values []string
	for rows.Next() {
		values = append(values, string(rows.RawValues()[0]))
	}
	return values, rows.Err()
}

// caller is one session that roams between VMs. Half of the callers carry tokens.
type caller struct {
	h       *history
	id      int
	rand    *rand.Rand
	conn    *pgx.Conn
	token   string
	reg     register
	renewed int // number of registers used before
	lookup  bool
}

func (c *caller) carriesToken() bool { return c.id%2 == 0 }

// workspace alternates, so that a withdrawn key concerns half of the callers.
func (c *caller) workspace() string { return fmt.Sprintf("w%d", c.id%2+1) }

func (c *caller) run() {
	c.newRegister()
	for !c.h.stopped() {
		if !c.connected() {
			time.Sleep(conditionPause)
			continue
		}
		switch n := c.rand.IntN(10); {
		case n == 0:
			c.leave()
		case n < 4 && !c.lookup:
			c.put(false)
		case n < 6 && !c.lookup:
			c.put(true)
		case n < 7 && !c.lookup:
			c.transaction()
		case n < 8:
			c.rows()
		default:
			c.read()
		}
	}
	c.leave()
}

// newRegister goes on with a fresh key. It is used after a write with an open outcome, which could
// still take effect after a later one.
func (c *caller) newRegister() {
	c.renewed++
	c.reg = register{key: fmt.Sprintf("r%d-%d", c.id, c.renewed), refused: make(map[int]error)}
	c.publish()
}

func (c *caller) publish() {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	c.h.registers[c.id] = c.reg
}

// connected opens a connection to any VM, a third of the time for lookups.
func (c *caller) connected() bool {
	if c.conn != nil && !c.conn.IsClosed() {
		return true
	}
	c.lookup = c.rand.IntN(3) == 0
	route := ""
	if c.lookup {
		route = devfleet.RouteLookup
	}
	vms := c.h.fleet.VMs()
	url := c.h.fleet.URL(vms[c.rand.IntN(len(vms))], c.workspace(), route)
	c.conn = c.h.connect(url, func(cfg *pgx.ConnConfig) {
		if c.carriesToken() {
			cfg.RuntimeParams["siskinrouter.session"] = c.tokenOrNew()
		}
	})
	return c.conn != nil
}

func (c *caller) tokenOrNew() string {
	if c.token == "" {
		return "new"
	}
	return c.token
}

// leave ends the connection, so that the next request reaches any VM.
func (c *caller) leave() {
	if c.conn == nil {
		return
	}
	closeConn(c.conn)
	c.conn = nil
}

// keepToken takes over the position that the proxy reported with the last write.
func (c *caller) keepToken() {
	if c.conn == nil {
		return
	}
	if token := c.conn.PgConn().ParameterStatus("siskinrouter.session"); token != "" {
		c.token = token
	}
}

// put writes the next value, with a request id if withID is set.
func (c *caller) put(withID bool) {
	c.reg.sent++
	c.publish()
	value := c.reg.sent
	id := ""
	if withID {
		id = fmt.Sprintf("%s-%d", c.reg.key, value)
	}
	statement := fmt.Sprintf("PUT %s %d", c.reg.key, value)
	err := c.once(id, statement)
	if id != "" && err != nil && verdictOf(err) == verdict.MayHaveRun {
		err = c.repeat(id, statement, err)
	}
	c.settle(write{key: c.reg.key, value: value, err: err})
}

// settle records the outcome of a write of the register.
func (c *caller) settle(w write) {
	w.outcome = outcomeOf(w.err)
	c.h.record(w)
	switch w.outcome {
	case verdict.Ran:
		c.reg.acknowledged = w.value
		c.keepToken()
		c.publish()
	case verdict.NotRun:
		c.reg.refused[w.value] = w.err
	default:
		c.newRegister()
	}
}

func outcomeOf(err error) verdict.Verdict {
	var unsent errNotSent
	switch {
	case err == nil:
		return verdict.Ran
	case errors.As(err, &unsent):
		return verdict.NotRun
	}
	return verdictOf(err)
}

func (c *caller) once(id, statement string) error {
	if id != "" {
		if _, err := runSQL(c.conn, "SET siskinrouter.request_id = '"+id+"'"); err != nil {
			return notSent(err)
		}
	}
	_, err := runSQL(c.conn, statement)
	return err
}

// repeat sends a request with an open outcome again through any VM until the outcome is known.
func (c *caller) repeat(id, statement string, err error) error {
	for start := time.Now(); time.Since(start) < 2*statementLimit; time.Sleep(conditionPause) {
		c.leave()
		if !c.connected() || c.lookup {
			continue
		}
		again := c.once(id, statement)
		if again == nil {
			return nil
		}
	}
	return err
}

// transaction writes the register and a key shared by all callers in one transaction.
func (c *caller) transaction() {
	c.reg.sent++
	c.publish()
	w := write{key: c.reg.key, value: c.reg.sent}
	statements := []string{"BEGIN", fmt.Sprintf("PUT shared %s-%d", c.reg.key, w.value),
		fmt.Sprintf("PUT %s %d", c.reg.key, w.value), "COMMIT"}
	for i, s := range statements {
		if _, w.err = runSQL(c.conn, s); w.err == nil {
			continue
		}
		if i < len(statements)-1 {
			w.err = notSent(w.err) // without COMMIT there is no effect
		}
		break
	}
	c.settle(w)
	if w.err != nil {
		c.leave()
	}
}

// read reads the own register, or that of another caller if no token is carried.
func (c *caller) read() {
	reg := c.reg
	if !c.carriesToken() {
		c.h.mu.Lock()
		reg = c.h.registers[c.rand.IntN(callersPerHistory)]
		c.h.mu.Unlock()
	}
	if reg.key == "" {
		return
	}
	values, err := runSQL(c.conn, "GET "+reg.key)
	if err != nil {
		return
	}
	got := 0
	if len(values) > 0 {
		got, _ = strconv.Atoi(values[0])
	}
	c.h.mu.Lock()
	c.h.reads++
	c.h.mu.Unlock()
	if got < reg.acknowledged {
		c.h.violation("caller %d (token %t, lookup %t) read %s = %d after %d was acknowledged",
			c.id, c.carriesToken(), c.lookup, reg.key, got, reg.acknowledged)
	}
	if refusal := c.reg.refused[got]; reg.key == c.reg.key && refusal != nil {
		c.h.violation("caller %d (lookup %t) read %s = %d, which was refused as not run: %v", c.id, c.lookup, reg.key, got, refusal)
	}
}

// rows asks for a number of rows that differs between callers, and checks that all of them and no
// others arrive.
func (c *caller) rows() {
	n := 100*(c.id+1) + c.rand.IntN(100)
	values, err := runSQL(c.conn, fmt.Sprintf("ROWS %d", n))
	if err != nil {
		return
	}
	for i, v := range values {
		if v != strconv.Itoa(i+1) {
			c.h.violation("caller %d got row %q as row %d of %d", c.id, v, i+1, n)
			return
		}
	}
	if len(values) != n {
		c.h.violation("caller %d got %d rows instead of %d", c.id, len(values), n)
	}
}

// check compares what the callers know with the log of the primary.
func (h *history) check(t testing.TB) {
	t.Helper()
	counts := make(map[verdict.Verdict]int)
	for _, w := range h.writes {
		counts[w.outcome]++
	}
	t.Logf("faults: %s", strings.Join(h.played, ", "))
	t.Logf("writes: %d acknowledged, %d not run, %d open; %d reads; %d admitted of the workspace with a low rate",
		counts[verdict.Ran], counts[verdict.NotRun], counts[verdict.MayHaveRun], h.reads, len(h.admitted["hot"]))
	for _, f := range h.violations() {
		t.Error(f)
	}
}

// violations returns every violation of a guarantee that the run shows.
func (h *history) violations() []string {
	all := append([]string(nil), h.faults...)
	primary := h.fleet.Groups[0].Primary()
	written := make(map[string]int)
	for _, r := range primary.History() {
		for _, w := range r.Writes {
			written[w.Key+"="+w.Value]++
		}
		if f := mixed(r.Writes); f != "" {
			all = append(all, f)
		}
	}
	acknowledged := 0
	for _, w := range h.writes {
		n := written[fmt.Sprintf("%s=%d", w.key, w.value)]
		switch {
		case n > 1:
			all = append(all, fmt.Sprintf("write %s = %d ran %d times", w.key, w.value, n))
		case w.outcome == verdict.Ran && n == 0:
			all = append(all, fmt.Sprintf("acknowledged write %s = %d is lost", w.key, w.value))
		case w.outcome == verdict.NotRun && n > 0:
			all = append(all, fmt.Sprintf("write %s = %d was refused as not run, but it ran: %v", w.key, w.value, w.err))
		}
		if w.outcome == verdict.Ran {
			acknowledged++
		}
	}
	if acknowledged == 0 || h.reads == 0 {
		all = append(all, fmt.Sprintf("%d writes were acknowledged and %d reads answered", acknowledged, h.reads))
	}
	all = append(all, overAdmitted(h.admitted["hot"], hotRate, hotBurst)...)
	for _, s := range h.fleet.Groups[0].Servers() {
		if n := len(s.Leaks()); n > 0 {
			all = append(all, fmt.Sprintf("server %s received keys of callers %d times", s.Name(), n))
		}
	}
	return all
}

// mixed reports a transaction that does not hold exactly the changes of one caller's transaction.
func mixed(writes []devtarget.Write) string {
	if len(writes) == 1 && writes[0].Key != "shared" {
		return ""
	}
	if len(writes) == 2 && writes[0].Key == "shared" && writes[0].Value == writes[1].Key+"-"+writes[1].Value {
		return ""
	}
	return fmt.Sprintf("a transaction holds %v", writes)
}

// overAdmitted returns the first window in which more requests were admitted than burst + rate x window.
// Each request was admitted between its start and its end, so those that lie inside a window count.
func overAdmitted(spans []span, rate, burst float64) []string {
	byEnd := slices.Clone(spans)
	slices.SortFunc(byEnd, func(a, b span) int { return a.end.Compare(b.end) })
	for _, from := range spans {
		n := 0
		for _, to := range byEnd {
			if to.start.Before(from.start) {
				continue
			}
			n++
			window := to.end.Sub(from.start).Seconds()
			if float64(n) > burst+rate*window {
				return []string{fmt.Sprintf("%d requests were admitted within %.3f s at rate %g with burst %g", n, window, rate, burst)}
			}
		}
	}
	return nil
}
