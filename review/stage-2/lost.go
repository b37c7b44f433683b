package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// lostSessions hold one transaction each: 12 reads with pauses, the most that the pages name.
	lostSessions   = 40
	lostStatements = 12
	lostPause      = 500 * time.Millisecond
	lostSpread     = 600 * time.Millisecond // between the first and the last start
	lostWork       = 55 * time.Millisecond  // mean of pattern-cards
)

// lostAtSIGTERM stops one VM with SIGTERM while its callers are inside of read-only transactions.
func lostAtSIGTERM(r *record, root string, trouble bool) (bool, error) {
	d, err := newDeployment(r, root, lostWork)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startVMs(); err != nil {
		return false, err
	}
	target := d.named("edge-huon-1")
	var mu sync.Mutex
	var stopped time.Time
	served, lost := 0, 0
	var wg sync.WaitGroup
	session := func(n int) {
		defer wg.Done()
		time.Sleep(lostSpread * time.Duration(n) / lostSessions)
		name := fmt.Sprintf("c%02d", n)
		c, err := connect(name, target.caller, boundedDB)
		if err != nil {
			r.line("%s gets no session: %v", name, err)
			return
		}
		defer c.conn.Close()
		for i := range lostStatements + 2 {
			text := fmt.Sprintf("READ item%d", n)
			switch i {
			case 0:
				text = "BEGIN READ"
			case lostStatements + 1:
				text = "COMMIT"
			}
			a, err := c.query(text, boundedMS*time.Millisecond)
			sent := a.requested
			waited := time.Since(sent)
			if err != nil {
				reached, passedOn := d.reachedAt(a.id)
				mu.Lock()
				at := stopped
				counts := errors.Is(err, errCut) && passedOn && !at.IsZero() && sent.After(at) &&
					sent.Before(at.Add(grace+time.Second)) && sent.After(at.Add(grace/2))
				if counts {
					lost++
				}
				mu.Unlock()
				where := "not passed on"
				if passedOn {
					where = fmt.Sprintf("passed on after %.3f s", reached.Sub(sent).Seconds())
				}
				r.line("%s sent %q as %s, %.3f s after SIGTERM; %s; after %.3f s: %v; counts: %v", name,
					text, a.id, sent.Sub(at).Seconds(), where, waited.Seconds(), err, counts)
				return
			}
			r.line("%s sent %q as %s; after %.3f s: %q %s %s", name, text, a.id, waited.Seconds(), a.rows, a.code+a.complete, a.state)
			if a.code != "" {
				return
			}
			mu.Lock()
			served++
			mu.Unlock()
			if i > 0 {
				time.Sleep(lostPause)
			}
		}
	}
	for n := range lostSessions {
		wg.Add(1)
		go session(n)
	}
	time.Sleep(lostSpread + 200*time.Millisecond)
	if trouble {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		r.line("%s gets SIGTERM", target.name)
		_ = target.cmd.Process.Signal(syscall.SIGTERM)
	}
	wg.Wait()
	if trouble {
		select {
		case <-target.ended:
		case <-time.After(grace):
		}
	}
	r.line("%d statements answered, %d lost", served, lost)
	if served < lostSessions*lostStatements/2 {
		return false, errNotEnough
	}
	return lost > 0, nil
}
