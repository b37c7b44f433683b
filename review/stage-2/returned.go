package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	returnWork    = 11 * time.Millisecond // mean of stockist-orders
	returnPromote = time.Second           // "1,000 ms a promote"
	returnPause   = 250 * time.Millisecond
	// returnCut is how long the primary is cut off; returnDown how long the killed machines are away.
	returnCut  = 1300 * time.Millisecond
	returnDown = 2 * time.Second
	// returnAttempts is the time in which another fleet is started if the first one takes another course; one takes 12 s.
	returnAttempts = 75 * time.Second
	// returnWait bounds the wait for a change of the primary or of the owner.
	returnWait = 6 * time.Second
)

// waitUntil polls a condition.
func waitUntil(limit time.Duration, reached func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return false
}

// returnedOwner plays returnOnce with new fleets until the service comes back to its first owner.
func returnedOwner(r *record, root string, trouble bool) (brokenRule bool, err error) {
	for began := time.Now(); time.Since(began) < returnAttempts; {
		if brokenRule, err = returnOnce(r, root, trouble); err == nil {
			return brokenRule, nil
		}
		r.line("%v; once more with a new fleet", err)
	}
	return false, err
}

// returnOnce keeps a transaction open while its service is handed over to another VM and comes back, and commits it
// after the primary was replaced.
func returnOnce(r *record, root string, trouble bool) (bool, error) {
	d, err := newDeployment(r, root, returnWork, "devonport", "hobart", "launceston")
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.store.OnPromote(func(_, id string) bool {
		r.line("the platform accepts the promotion of %s", id)
		time.AfterFunc(returnPromote, func() {
			r.line("%s leads: %v", id, d.group.Promote(id))
		})
		return true
	})
	if err := d.startVMs(); err != nil {
		return false, err
	}
	var first *vm
	if !waitUntil(returnWait, func() bool { first = d.owner(); return first != nil && first.zone == "devonport" }) {
		return false, fmt.Errorf("the service is not owned in the zone of its primary")
	}
	r.line("%s owns the service", first.name)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	served := d.readSteadily(stop, &wg)
	defer wg.Wait()
	defer close(stop)

	if trouble {
		r.line("devonport is evacuated")
		d.store.Put("evacuations", "devonport", map[string]any{})
		if !waitUntil(returnWait, func() bool { p := d.group.Primary(); return p != nil && p.Domain != "devonport" }) {
			return false, fmt.Errorf("the primary was not replaced")
		}
		time.Sleep(500 * time.Millisecond)
		r.line("the evacuation is taken back")
		d.store.Delete("evacuations", "devonport")
	}
	primary := d.group.Primary()
	c, err := connect("tx", d.named("edge-huon-1").caller, latestDB)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	write := ""
	run := func(text string) bool {
		a, err := c.query(text, 2*time.Second)
		r.line("the transaction sends %q as %s: %s %s %v", text, a.id, a.code+a.complete, a.state, err)
		if text == "WRITE item data" {
			write = a.id
		}
		return err == nil && a.code == ""
	}
	for _, text := range []string{"BEGIN", "WRITE item data"} {
		if !run(text) {
			return false, fmt.Errorf("the transaction did not begin")
		}
	}
	if !trouble {
		for range 4 {
			time.Sleep(returnPause)
			if !run("READ item") {
				return false, errNotEnough
			}
		}
		ok := run("COMMIT")
		if !ok || served() < 20 {
			return false, errNotEnough
		}
		return d.group.Stale(write), nil
	}

	for reads := 0; d.owner() == first; reads++ {
		if reads == 7 {
			return false, fmt.Errorf("the service was not handed over")
		}
		if !run("READ item") {
			return false, fmt.Errorf("the transaction ended before the service was handed over")
		}
		waitUntil(returnPause, func() bool { return d.owner() != first })
	}
	next := d.owner()
	r.line("the service was handed over to %s; all VMs of %s are killed", next.name, next.zone)
	for _, v := range d.vms {
		if v.zone == next.zone {
			_ = v.cmd.Process.Signal(syscall.SIGKILL)
			time.AfterFunc(returnDown, func() {
				<-v.ended
				if err := v.start(root); err != nil {
					r.line("%s is not started again: %v", v.name, err)
				}
			})
		}
	}
	if !waitUntil(returnWait, func() bool { return d.owner() != next }) {
		return false, fmt.Errorf("the service has no new owner")
	}
	r.line("%s owns the service", d.owner().name)
	if d.owner() != first {
		return false, fmt.Errorf("the service came back to another VM")
	}
	time.Sleep(200 * time.Millisecond)
	if !run("READ item") {
		return false, nil // the transaction ended with the first ownership
	}
	var release func()
	for _, w := range d.servers {
		if w.Server == primary {
			r.line("the primary %s is cut off from the VMs", w.ID)
			release = w.hold()
		}
	}
	time.Sleep(returnCut)
	r.line("the VMs reach %s again", primary.ID)
	release()
	if !waitUntil(time.Second, func() bool { p := d.group.Primary(); return p != nil && p != primary }) {
		r.line("no other server was promoted")
		return false, nil
	}
	time.Sleep(300 * time.Millisecond)
	acknowledged := run("COMMIT")
	stale := d.group.Stale(write)
	r.line("commit acknowledged: %v; committed at the old primary after the promotion: %v; reads served meanwhile: %d",
		acknowledged, stale, served())
	return acknowledged && stale, nil
}

// readSteadily sends reads to all VMs and returns how many were answered.
func (d *deployment) readSteadily(stop chan struct{}, wg *sync.WaitGroup) func() int {
	var mu sync.Mutex
	n := 0
	for _, v := range d.vms {
		name := v.name
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				c, err := connect(fmt.Sprintf("%s.%d", name, i), d.named(name).caller, latestDB)
				for err == nil {
					select {
					case <-stop:
						c.conn.Close()
						return
					case <-time.After(50 * time.Millisecond):
					}
					var a answer
					if a, err = c.query("READ other", 2*time.Second); err == nil && a.code == "" {
						mu.Lock()
						n++
						mu.Unlock()
					}
				}
				if c != nil {
					c.conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}
