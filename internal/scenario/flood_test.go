package scenario

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rogpeppe/go-internal/testscript"
)

const floodCallers = 2 // for each VM

// flood is callers of workspace w2 that send as fast as they are answered.
type flood struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	spans []span
}

// floodOp starts callers of workspace w2 at the given VMs: flood NAME VM...
func floodOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	f := &flood{}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for _, vm := range args[1:] {
		url := w.fleet.url(vm, "w2", "")
		for range floodCallers {
			f.wg.Go(func() { f.run(url) })
		}
	}
	w.floods[args[0]] = f
	return "", nil
}

func (f *flood) stop() {
	f.cancel()
	f.wg.Wait()
}

func (f *flood) run(url string) {
	for f.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
		conn, err := pgx.Connect(ctx, url)
		cancel()
		if err != nil {
			time.Sleep(conditionPause)
			continue
		}
		for f.ctx.Err() == nil && !conn.IsClosed() {
			start := time.Now()
			if _, err := query(conn, "SELECT 1"); err == nil {
				f.mu.Lock()
				f.spans = append(f.spans, span{start, time.Now()})
				f.mu.Unlock()
			}
		}
		closeConn(conn)
	}
}

// admittedOp ends a flood and checks that in no window more than burst + rate x window requests were
// admitted: admitted NAME RATE BURST
func admittedOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	f := w.floods[args[0]]
	if f == nil {
		return "", fmt.Errorf("no flood %q", args[0])
	}
	delete(w.floods, args[0])
	f.stop()
	rate, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return "", err
	}
	burst, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return "", err
	}
	if v := overAdmitted(f.spans, rate, burst); len(v) > 0 {
		return "", fmt.Errorf("%s", v[0])
	}
	return fmt.Sprintf("%d admitted\n", len(f.spans)), nil
}
