package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	syncClients = 6
	syncPause   = 40 * time.Millisecond
	syncWork    = 11 * time.Millisecond
	// deafFor is how long a replica receives nothing, and crashAfter when the primary crashes meanwhile.
	deafFor    = 6500 * time.Millisecond
	crashAfter = 2 * time.Second
	crashFor   = 7 * time.Second
	syncLength = 16 * time.Second
)

// syncLost lets the primary crash while one replica receives nothing and the zone of the other one is evacuated.
func syncLost(r *record, root string, trouble bool) (bool, error) {
	d, err := newDeployment(r, root, syncWork)
	if err != nil {
		return false, err
	}
	defer d.stop()
	db := newDatabase(r, d.store, syncWork)
	d.store.OnPromote(func(_, id string) bool { return db.promote(id) })
	for _, s := range d.servers {
		d.store.Delete("servers", s.ID)
		s.ln.Close()
	}
	var servers []*dbServer
	for i, zone := range zones[:3] {
		s, err := db.add(fmt.Sprintf("d-%d", i), zone)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	d.store.Put("config", "main", syncConfiguration())
	if err := d.startVMs(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	answered, refused := 0, map[string]int{}
	end := time.Now().Add(syncLength)
	var wg sync.WaitGroup
	for n := range syncClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for session := 0; time.Now().Before(end); session++ {
				name := fmt.Sprintf("c%d-%d", n, session)
				c, err := connect(name, d.vms[(n+session)%len(d.vms)].caller, latestDB)
				if err != nil {
					time.Sleep(syncPause)
					continue
				}
				for time.Now().Before(end) {
					a, err := c.query(fmt.Sprintf("WRITE item%d %s", n, name), 2*time.Second)
					r.line("%s WRITE %s: %s %v", name, a.id, a.code+a.complete, err)
					mu.Lock()
					if err == nil && a.code == "" {
						answered++
					} else {
						refused[a.code]++
					}
					mu.Unlock()
					if err != nil || a.code != "" {
						break
					}
					time.Sleep(syncPause)
				}
				c.conn.Close()
				time.Sleep(syncPause)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		r.line("the zone %s of %s is evacuated", servers[1].zone, servers[1].id)
		d.store.Put("evacuations", servers[1].zone, map[string]any{})
		time.Sleep(time.Second)
		r.line("%s receives nothing", servers[2].id)
		servers[2].setDeaf(true)
		time.Sleep(crashAfter)
		r.line("the primary %s crashes", servers[0].id)
		servers[0].crash()
		time.AfterFunc(deafFor-crashAfter, func() { servers[2].setDeaf(false) })
		time.AfterFunc(crashFor, func() {
			r.line("%s is back", servers[0].id)
			servers[0].restart()
		})
	}
	wg.Wait()
	db.mu.Lock()
	defer db.mu.Unlock()
	r.line("%d writes answered, not answered with success: %v, acknowledged commits not in the log of the promoted server: %d",
		answered, refused, len(db.lost))
	if answered < 100 {
		return false, errNotEnough
	}
	return len(db.lost) > 0, nil
}

// syncConfiguration is the configuration with one synchronous replica.
func syncConfiguration() map[string]any {
	c := configuration()
	c["version"] = 8
	c["backends"] = []any{map[string]any{"name": service, "max_conns": maxConns, "warmup_per_s": 0, "sync_replicas": 1}}
	return c
}
