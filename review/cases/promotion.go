package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// The disruptions end at these times after the owner has recorded the successor of the dark primary, which it does
	// just before it requests the promotion. Both are shorter than in the site files: 5.5 s for a cut from the store, 7 s
	// for a dark primary. The request to promote is given up after 2 s.
	darkEnd = 1600 * time.Millisecond
	cutEnd  = 2200 * time.Millisecond
	// darkDelay separates the two disruptions.
	darkDelay = 300 * time.Millisecond
	// settleTime is the time after the planned change until the owner has followed the primary to its zone.
	settleTime = 6 * time.Second
)

func init() { cases["late-promotion"] = latePromotion }

// latePromotion partitions the VM with the duty to promote from the platform while the primary of another service is
// dark for a while. The promotion request that the VM sent meanwhile takes effect after the cut.
func latePromotion(d *deployment, trouble bool) (broken bool, err error) {
	// A planned change of the primary before: it opens the connection to the promotion API.
	d.other.mu.Lock()
	first := d.other.leader()
	first.draining = true
	first.register()
	d.other.mu.Unlock()
	if !d.other.awaitLead(first, 10*time.Second) {
		return false, errors.New("the draining primary was not replaced")
	}
	time.Sleep(settleTime)
	coordinator := d.ownerName(service)
	d.rec.add("owner of %s, with the duty to promote: %s; owner of %s: %s", service, coordinator, otherService, d.ownerName(otherService))
	if coordinator == d.ownerName(otherService) {
		return false, errors.New("one VM owns both services")
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	acked := map[string]bool{}
	for i, v := range d.vms {
		if v.name == coordinator {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			writeUntil(d, stop, fmt.Sprintf("w%d", i), v, acked)
		}()
	}
	time.Sleep(time.Second)
	d.other.mu.Lock()
	primary := d.other.leader()
	d.other.mu.Unlock()
	if trouble {
		d.cutFromPlatform(coordinator, true)
		time.Sleep(darkDelay)
		d.other.setDark(primary, true)
		recorded := d.awaitRecorded(otherService, primary.id, maxDark)
		time.Sleep(darkEnd)
		d.other.setDark(primary, false)
		time.Sleep(cutEnd - darkEnd)
		d.cutFromPlatform(coordinator, false)
		if !recorded {
			return false, errors.New("the dark primary was not to be replaced")
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	d.other.mu.Lock()
	defer d.other.mu.Unlock()
	stale, lost := 0, 0
	for _, c := range d.other.staleCommits {
		if acked[c.ids[0]] {
			stale++
			if d.other.leader().read(c.ids[0]) == "-" {
				lost++
			}
		}
	}
	d.rec.add("acknowledged writes: %d; committed at a replaced primary and acknowledged: %d; of these not in the log of the primary: %d",
		len(acked), stale, lost)
	if !trouble && len(acked) == 0 {
		return false, errors.New("no write was acknowledged")
	}
	return stale > 0, nil
}

// writeInterval is the time between two writes of a client.
const writeInterval = 100 * time.Millisecond

var ackedMu sync.Mutex

// writeUntil writes single statements over sessions at a VM and records the ids of those that were acknowledged. A write
// is named by its id, so that the log shows whether it is kept.
func writeUntil(d *deployment, stop chan struct{}, name string, v *vm, acked map[string]bool) {
	var c *client
	for {
		select {
		case <-stop:
			return
		case <-time.After(writeInterval):
		}
		if c == nil {
			var err error
			if c, err = dial(d.rec, name, v.frontend, otherDB, key); err != nil {
				continue
			}
		}
		a := c.doWith(func(id string) string { return "WRITE " + id + " paid" })
		if a.ok() {
			ackedMu.Lock()
			acked[a.id] = true
			ackedMu.Unlock()
		}
		if a.err != nil {
			_ = c.Close()
			c = nil
		}
	}
}

// cutFromPlatform cuts a VM off from the store and the promotion API, or ends that.
func (d *deployment) cutFromPlatform(name string, cut bool) {
	d.rec.add("%s cut off from the platform: %t", name, cut)
	for _, l := range d.vm(name).platform {
		l.setCut(cut)
	}
}

// awaitRecorded waits until the owner record of a service names another primary and reports whether it does.
func (d *deployment) awaitRecorded(service, old string, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		if primary := d.ownerRecord(service).Primary; primary != "" && primary != old {
			return true
		}
		time.Sleep(groupTick)
	}
	return false
}
