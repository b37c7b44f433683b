package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// darkAfterLead ends the darkness of the old primary shortly after the new one leads.
	darkAfterLead = 50 * time.Millisecond
	// maxDark is far below the longest darkness that the pages name, 7 s.
	maxDark = 3 * time.Second
	// afterDark is longer than unfreeze_slack_ms, 300 ms, and shorter than the second for which a replaced primary continues.
	afterDark = 400 * time.Millisecond
)

func init() { cases["open-transaction-at-old-primary"] = openTransactionAtOldPrimary }

// openTransactionAtOldPrimary opens a transaction, replaces the primary while the client rests, and commits.
func openTransactionAtOldPrimary(d *deployment, trouble bool) (broken bool, err error) {
	c, err := dial(d.rec, "a", d.notOwner().frontend, primaryDB, key)
	if err != nil {
		return false, err
	}
	defer c.Close()
	d.group.mu.Lock()
	old := d.group.leader()
	d.group.mu.Unlock()
	for _, text := range []string{"BEGIN", "WRITE order paid"} {
		if a := c.do(text); !a.ok() {
			return false, fmt.Errorf("%s: %s", text, a)
		}
	}
	rest := time.Now()
	if trouble {
		d.group.setDark(old, true)
		led := d.group.awaitLead(old, maxDark)
		time.Sleep(darkAfterLead)
		d.group.setDark(old, false)
		if !led {
			return false, errors.New("no other server was promoted")
		}
		time.Sleep(afterDark)
	} else {
		time.Sleep(2 * time.Second)
	}
	d.rec.add("the client has rested for %s of tx_idle_ms 3000", time.Since(rest).Round(time.Millisecond))
	a := c.do("COMMIT")
	time.Sleep(2 * time.Second) // the replaced primary follows the new one
	d.group.mu.Lock()
	stale, kept := len(d.group.staleCommits) > 0, d.group.leader().read("order") == "paid"
	d.group.mu.Unlock()
	d.rec.add("commit acknowledged: %t; committed at a replaced primary: %t; the write is in the log of the primary: %t",
		a.ok(), stale, kept)
	if !trouble && !a.ok() {
		return false, fmt.Errorf("commit without a disruption: %s", a)
	}
	return stale && a.ok(), nil
}

// awaitLead waits until another server leads and reports whether one does.
func (g *group) awaitLead(old *server, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		g.mu.Lock()
		led := g.leader() != old
		g.mu.Unlock()
		if led {
			return true
		}
		time.Sleep(groupTick)
	}
	return false
}
