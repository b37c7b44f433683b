package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	openSessions = 8
	openPause    = 300 * time.Millisecond
	openWork     = 11 * time.Millisecond // mean of stockist-orders
)

// owner returns the VM that the owner record of the service names.
func (d *deployment) owner() *vm {
	var record struct{ Holder struct{ Name string } }
	if json.Unmarshal(d.store.Spec("fleet", "service."+service), &record) != nil {
		return nil
	}
	return d.named(record.Holder.Name)
}

// openAtSIGTERM stops the VM that runs the service with SIGTERM while its own callers are inside of transactions, and
// counts those that are ended within the first half of the grace period.
func openAtSIGTERM(r *record, root string, trouble bool) (bool, error) {
	d, err := newDeployment(r, root, openWork)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startVMs(); err != nil {
		return false, err
	}
	target := d.owner()
	if target == nil {
		return false, fmt.Errorf("the service has no owner")
	}
	var mu sync.Mutex
	var stopped time.Time
	committed, ended := 0, 0
	var begun, done sync.WaitGroup
	session := func(n int) {
		defer done.Done()
		first := sync.OnceFunc(begun.Done)
		defer first()
		name := fmt.Sprintf("c%02d", n)
		c, err := connect(name, target.caller, latestDB)
		if err != nil {
			r.line("%s gets no session: %v", name, err)
			return
		}
		defer c.conn.Close()
		// BEGIN, a write, six reads with pauses, COMMIT: about 2.2 s after the first pause.
		for i := range 9 {
			text := fmt.Sprintf("READ item%d", n)
			switch i {
			case 0:
				text = "BEGIN"
			case 1:
				text = fmt.Sprintf("WRITE item%d data%d", n, n)
			case 8:
				text = "COMMIT"
			}
			a, err := c.query(text, latestMS*time.Millisecond)
			mu.Lock()
			at := stopped
			mu.Unlock()
			after := "before SIGTERM"
			if !at.IsZero() {
				after = fmt.Sprintf("%.3f s after SIGTERM", time.Since(at).Seconds())
			}
			r.line("%s %q as %s, answered %s: %s %s %v", name, text, a.id, after, a.code+a.complete, a.state, err)
			if err != nil || a.code != "" {
				mu.Lock()
				if !at.IsZero() && time.Since(at) < grace/2 {
					ended++
				}
				mu.Unlock()
				return
			}
			if i == 1 {
				first()
			}
			if i > 0 {
				time.Sleep(openPause)
			}
		}
		mu.Lock()
		committed++
		mu.Unlock()
	}
	for n := range openSessions {
		begun.Add(1)
		done.Add(1)
		go session(n)
	}
	begun.Wait()
	if trouble {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		r.line("%s, the owner of %s, gets SIGTERM", target.name, service)
		_ = target.cmd.Process.Signal(syscall.SIGTERM)
	}
	done.Wait()
	r.line("%d transactions committed, %d ended within the first half of grace_s", committed, ended)
	if !trouble && committed < openSessions {
		return false, errNotEnough
	}
	return ended > 0, nil
}
