package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// evacuateTime is evacuate_ms.
	evacuateTime = 5 * time.Second
	// evacStatements and evacPause make a transaction of at most 12 statements, each pause far below tx_idle_ms.
	evacStatements = 9
	evacPause      = 900 * time.Millisecond
	// A VM uses the replicas of its zone once it knows the position of the primary.
	replicaAttempts = 30
	replicaPause    = 100 * time.Millisecond
)

func init() { cases["statement-in-evacuated-zone"] = statementInEvacuatedZone }

// statementInEvacuatedZone evacuates the zone of the server at which a client's transaction runs.
func statementInEvacuatedZone(d *deployment, trouble bool) (broken bool, err error) {
	var v *vm
	for _, candidate := range d.vms {
		if candidate.zone != d.vm(d.ownerName(service)).zone {
			v = candidate
		}
	}
	c, err := dial(d.rec, "a", v.frontend, boundedDB, key)
	if err != nil {
		return false, err
	}
	defer c.Close()
	at, err := c.beginAtReplica(d.group)
	if err != nil {
		return false, err
	}
	if trouble {
		d.store.Put("evacuations", at.zone, map[string]any{})
		d.rec.add("evacuation of %s acknowledged", at.zone)
	}
	evacuated := time.Now()
	for range evacStatements {
		time.Sleep(evacPause)
		sent := time.Since(evacuated)
		a := c.do("READ order")
		if !a.ok() {
			break
		}
		if s := d.group.serverOf(a.id); trouble && sent > evacuateTime && s != nil && s.zone == at.zone {
			d.rec.add("%s, sent %s after the evacuation, reached %s in %s", a.id, sent.Round(time.Millisecond), s.id, s.zone)
			broken = true
		}
	}
	return broken, nil
}

// beginAtReplica begins a read-only transaction whose first statement runs at a replica, and returns the replica.
func (c *client) beginAtReplica(g *group) (*server, error) {
	for range replicaAttempts {
		if a := c.do("BEGIN READ"); !a.ok() {
			return nil, fmt.Errorf("begin: %s", a)
		}
		first := c.do("READ order")
		if !first.ok() {
			return nil, fmt.Errorf("first read: %s", first)
		}
		if s := g.serverOf(first.id); s != nil && s != g.lead {
			return s, nil
		}
		if a := c.do("ROLLBACK"); !a.ok() {
			return nil, fmt.Errorf("rollback: %s", a)
		}
		time.Sleep(replicaPause)
	}
	return nil, errors.New("no read was placed at a replica")
}

// serverOf returns the server that ran a statement, or nil.
func (g *group) serverOf(id string) *server {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.run {
		for _, s := range g.servers {
			if r.id == id && s.id == r.server {
				return s
			}
		}
	}
	return nil
}
