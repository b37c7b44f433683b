package scenario

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"

	"siskinrouter/internal/verdict"
)

// verdictOf returns what a caller knows about a request that ended with err. An error without a verdict
// leaves the outcome open.
func verdictOf(err error) verdict.Verdict {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		switch {
		case strings.Contains(e.Detail, "verdict="+verdict.NotRun.String()):
			return verdict.NotRun
		case strings.Contains(e.Detail, "verdict="+verdict.Ran.String()):
			return verdict.Ran
		}
	}
	return verdict.MayHaveRun
}

// load is a number of callers that write until they are stopped. Each request adds 1 to a key of its
// own, so that the log of the primary shows how often it ran.
type load struct {
	urls    []string
	options loadOptions
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu       sync.Mutex
	requests []request
	cut      []error // requests that ended without an answer of the proxy
}

type loadOptions struct {
	name    string
	callers int
	ids     bool // with request ids, repeated while the outcome is open
	tx      bool // inside an explicit transaction with a slow statement
}

// request is one request of a load and what its caller knows of it.
type request struct {
	key     string
	outcome verdict.Verdict
	err     error
}

// loadOp starts callers that write through the given VMs in turn:
// load [-callers N] [-ids] [-tx] NAME VM...
func loadOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	var o loadOptions
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	fs.IntVar(&o.callers, "callers", 4, "")
	fs.BoolVar(&o.ids, "ids", false, "")
	fs.BoolVar(&o.tx, "tx", false, "")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	o.name = fs.Arg(0)
	var urls []string
	for _, vm := range fs.Args()[1:] {
		urls = append(urls, w.fleet.url(vm, "w1", ""))
	}
	w.loads[o.name] = startLoad(urls, o)
	return "", nil
}

func startLoad(urls []string, o loadOptions) *load {
	l := &load{urls: urls, options: o}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for i := range o.callers {
		l.wg.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// run is one caller. It stays with a VM until its connection ends.
func (l *load) run(caller int) {
	var conn *pgx.Conn
	defer func() {
		if conn != nil {
			closeConn(conn)
		}
	}()
	for n := 0; l.ctx.Err() == nil; {
		if conn == nil || conn.IsClosed() {
			if conn = l.connect(caller); conn == nil {
				time.Sleep(conditionPause)
				continue
			}
		}
		key := fmt.Sprintf("%s-%d-%d", l.options.name, caller, n)
		n++
		err := l.write(conn, key)
		if err != nil && l.options.ids && verdictOf(err) == verdict.MayHaveRun {
			err = l.repeat(caller, key, err)
		}
		l.record(key, err)
	}
}

func (l *load) connect(caller int) *pgx.Conn {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, l.urls[(caller+rand.IntN(len(l.urls)))%len(l.urls)])
	if err != nil {
		return nil
	}
	return conn
}

// write sends one request. Statements are not interrupted when the load ends, so that each has an outcome.
func (l *load) write(conn *pgx.Conn, key string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if l.options.ids {
		if _, err := conn.Exec(ctx, "SET siskinrouter.request_id = '"+key+"'", pgx.QueryExecModeSimpleProtocol); err != nil {
			return notSent(err)
		}
	}
	if !l.options.tx {
		_, err := conn.Exec(ctx, "ADD "+key+" 1", pgx.QueryExecModeSimpleProtocol)
		return err
	}
	for _, statement := range []string{"BEGIN", "SLEEP 20", "ADD " + key + " 1", "COMMIT"} {
		if _, err := conn.Exec(ctx, statement, pgx.QueryExecModeSimpleProtocol); err != nil {
			if statement == "BEGIN" {
				return notSent(err)
			}
			return err
		}
	}
	return nil
}

// errNotSent marks errors that ended a request before its effect was asked for.
type errNotSent struct{ error }

func (e errNotSent) Unwrap() error { return e.error }

func notSent(err error) error { return errNotSent{err} }

// repeat sends a request with an open outcome again, as the same request, through any VM.
func (l *load) repeat(caller int, key string, err error) error {
	for start := time.Now(); time.Since(start) < conditionLimit; time.Sleep(conditionPause) {
		conn := l.connect(caller)
		if conn == nil {
			continue
		}
		again := l.write(conn, key)
		closeConn(conn)
		if again == nil {
			return nil
		}
		if verdictOf(again) == verdict.Ran {
			return again
		}
	}
	return err
}

func (l *load) record(key string, err error) {
	r := request{key: key, outcome: verdict.Ran, err: err}
	var unsent errNotSent
	switch {
	case errors.As(err, &unsent):
		r.outcome = verdict.NotRun
	case err != nil:
		r.outcome = verdictOf(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	if err != nil && r.outcome == verdict.MayHaveRun {
		l.cut = append(l.cut, fmt.Errorf("%s: %w", key, err))
	}
}

// unloadOp stops a load and checks every request against the log of the primary: an acknowledged one is
// there exactly once, one that was refused as not run is absent, and any other is there at most once.
// With -uncut every request must have had an answer that settles it: unload [-uncut] NAME
func unloadOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	fs := flag.NewFlagSet("unload", flag.ContinueOnError)
	uncut := fs.Bool("uncut", false, "")
	least := fs.Int("least", 1, "")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	l := w.loads[fs.Arg(0)]
	if l == nil {
		return "", fmt.Errorf("no load %q", fs.Arg(0))
	}
	delete(w.loads, fs.Arg(0))
	l.stop()
	if *uncut && len(l.cut) > 0 {
		return "", fmt.Errorf("%d requests have an open outcome; the first: %w", len(l.cut), l.cut[0])
	}
	records, err := w.primaryHistory()
	if err != nil {
		return "", err
	}
	counts := make(map[string]int)
	for _, r := range records {
		for _, write := range r.Writes {
			counts[write.Key]++
		}
	}
	acknowledged, err := checkRequests(l.requests, counts)
	if err == nil && acknowledged < *least {
		err = fmt.Errorf("only %d of %d requests were acknowledged", acknowledged, len(l.requests))
	}
	return fmt.Sprintf("%d requests, %d acknowledged, %d open\n", len(l.requests), acknowledged, len(l.cut)), err
}

// checkRequests compares what callers know with how often each key was written.
func checkRequests(requests []request, written map[string]int) (acknowledged int, err error) {
	for _, r := range requests {
		n := written[r.key]
		switch {
		case n > 1:
			return acknowledged, fmt.Errorf("request %s ran %d times", r.key, n)
		case r.outcome == verdict.Ran && n == 0:
			return acknowledged, fmt.Errorf("request %s was acknowledged, but its write is lost", r.key)
		case r.outcome == verdict.NotRun && n > 0:
			return acknowledged, fmt.Errorf("request %s was refused as not run, but it ran: %w", r.key, r.err)
		}
		if r.outcome == verdict.Ran {
			acknowledged++
		}
	}
	return acknowledged, nil
}
