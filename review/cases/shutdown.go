package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	txClients = 9
	// txStatements and txPause make a transaction of 12 statements that lasts longer than grace_s.
	txStatements = 12
	txPause      = 350 * time.Millisecond
	// slowStatement is the work of a read in the tail of the distribution; the pages allow up to 220 ms.
	slowStatement = 150 * time.Millisecond
	shutdownAfter = 500 * time.Millisecond
	runTime       = time.Second
)

func init() { cases["statement-cut-at-shutdown"] = statementCutAtShutdown }

// statementCutAtShutdown stops a VM with SIGTERM while its clients run transactions.
func statementCutAtShutdown(d *deployment, trouble bool) (broken bool, err error) {
	d.group.mu.Lock()
	d.group.workTime = func(string) time.Duration { return slowStatement }
	d.group.mu.Unlock()
	v := d.notOwner()
	d.rec.add("the clients are connected to %s", v.name)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var cut []string
	begun := 0
	for i := range txClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * (txPause + slowStatement) / txClients)
			c, err := dial(d.rec, fmt.Sprintf("c%d", i), v.frontend, boundedDB, key)
			if err != nil {
				d.rec.add("client c%d: %v", i, err)
				return
			}
			defer c.Close()
			id := c.transaction()
			mu.Lock()
			defer mu.Unlock()
			begun++
			if id != "" {
				cut = append(cut, id)
			}
		}()
	}
	if trouble {
		time.Sleep(shutdownAfter)
		d.rec.add("SIGTERM to %s", v.name)
		_ = v.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-v.ended:
			d.rec.add("%s has ended: %s", v.name, v.cmd.ProcessState)
		case <-time.After(10 * time.Second):
			d.rec.add("%s has not ended", v.name)
		}
	}
	wg.Wait()
	if begun < txClients {
		return false, fmt.Errorf("%d of %d clients began", begun, txClients)
	}
	time.Sleep(runTime) // a server records a statement once it has run
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for _, id := range cut {
		for _, r := range d.group.run {
			if r.id == id {
				d.rec.add("%s was passed on to server %s and the connection ended without an answer", id, r.server)
				broken = true
			}
		}
	}
	return broken, nil
}

// transaction runs a transaction and returns the id of a statement whose connection ended without a complete answer.
func (c *client) transaction() (cut string) {
	if a := c.do("BEGIN READ"); !a.ok() {
		return ""
	}
	for range txStatements - 2 {
		time.Sleep(txPause)
		if a := c.do("READ order"); a.err != nil {
			return a.id
		} else if !a.ok() {
			return ""
		}
	}
	c.do("COMMIT")
	return ""
}
