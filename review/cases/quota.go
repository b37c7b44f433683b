package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// bounds of the rule
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// rollGap is the gap_s of roll_term in the site files.
	rollGap = 1300 * time.Millisecond
	// quotaClients ask for some 600 requests a second together. The rate is 1.6 times what the tenant usually asks for, so
	// this is 7 times as much; hot_tenant goes up to 7.5 times.
	quotaClients  = 40
	clientPause   = 60 * time.Millisecond
	clientRunTime = 9 * time.Second
	// idleTime fills the tenant's bucket.
	idleTime  = 3 * time.Second
	rollDelay = 500 * time.Millisecond
)

func init() { cases["quota-in-rolling-restart"] = quotaInRollingRestart }

// quotaInRollingRestart restarts the VMs in turn while a tenant asks for more than its rate.
func quotaInRollingRestart(d *deployment, trouble bool) (broken bool, err error) {
	time.Sleep(idleTime)
	sent := &sentTimes{at: map[string]time.Time{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range quotaClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			readUntil(d, stop, fmt.Sprintf("c%d", i), []string{boundedDB, primaryDB, otherDB}[i%3], sent)
		}()
	}
	began := time.Now()
	if trouble {
		time.Sleep(rollDelay)
		for _, v := range d.rollOrder() {
			at := time.Now()
			if err := d.restart(v); err != nil {
				return false, err
			}
			time.Sleep(rollGap - time.Since(at))
		}
	}
	time.Sleep(clientRunTime - time.Since(began))
	close(stop)
	wg.Wait()
	var runs []operation
	for _, g := range []*group{d.group, d.other} {
		g.mu.Lock()
		for _, r := range g.run {
			if at, ok := sent.at[r.id]; ok {
				runs = append(runs, operation{at, r.at})
			}
		}
		g.mu.Unlock()
	}
	if len(runs) == 0 {
		return false, errors.New("no request was run")
	}
	most, from := mostInWindow(runs)
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOver) + quotaSlack
	d.rec.add("requests run: %d; most in a window of %s: %d, from %.3f s; allowed: %.0f", len(runs), quotaWindow, most,
		from.Sub(d.rec.start).Seconds(), allowed)
	return float64(most) > allowed, nil
}

// operation is a request that a server ran.
type operation struct{ sent, ran time.Time }

// mostInWindow returns the largest number of requests that were both sent and run in a window, and its start.
func mostInWindow(runs []operation) (most int, from time.Time) {
	for _, first := range runs {
		n := 0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && r.ran.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}

// sentTimes holds when each request was sent, by id.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

// readUntil sends reads to VMs that are ready, one after the other.
func readUntil(d *deployment, stop chan struct{}, name, database string, sent *sentTimes) {
	var c *client
	for {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		if c == nil {
			c = d.dialReady(name, database)
			continue
		}
		id := newID()
		sent.mu.Lock()
		sent.at[id] = time.Now()
		sent.mu.Unlock()
		if a := c.send(id, "READ stock"); a.err != nil {
			_ = c.Close()
			c = nil
		}
	}
}

// dialReady opens a session at one of the VMs that report to be ready, as the platform does, or returns nil.
func (d *deployment) dialReady(name, database string) *client {
	vms := slices.Clone(d.vms)
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, v := range vms {
		response, err := http.Get("http://" + v.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			continue
		}
		if c, err := dial(d.rec, name, v.frontend, database, key); err == nil {
			return c
		}
	}
	return nil
}

// rollOrder returns the VMs zone by zone, beginning with the zone and the VM that owns otherService.
func (d *deployment) rollOrder() []*vm {
	owner := d.vm(d.ownerName(otherService))
	order := []*vm{owner}
	for _, v := range d.vms {
		if v != owner && v.zone == owner.zone {
			order = append(order, v)
		}
	}
	for _, v := range d.vms {
		if v.zone != owner.zone {
			order = append(order, v)
		}
	}
	return order
}
