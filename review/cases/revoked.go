package main

import (
	"fmt"
	"time"
)

const (
	// configApplyTime is config_apply_ms.
	configApplyTime = 3 * time.Second
	// afterApply makes the wait longer than revoke_ms, 5 s, as well.
	afterApply = 3 * time.Second
)

func init() { cases["revoked-key-in-transaction"] = revokedKeyInTransaction }

// revokedKeyInTransaction begins a transaction, takes its key away and writes after the change is in force.
func revokedKeyInTransaction(d *deployment, trouble bool) (broken bool, err error) {
	c, err := dial(d.rec, "a", d.notOwner().frontend, primaryDB, key)
	if err != nil {
		return false, err
	}
	defer c.Close()
	if a := c.do("BEGIN"); !a.ok() {
		return false, fmt.Errorf("begin: %s", a)
	}
	keys := []string{key, secondKey}
	if trouble {
		keys = []string{secondKey}
	}
	d.configure(2, keys)
	time.Sleep(configApplyTime + afterApply)
	write := c.do("WRITE order paid")
	commit := answer{code: "not sent"}
	if write.ok() {
		commit = c.do("COMMIT")
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	ran := 0
	for _, r := range d.group.run {
		if r.id == write.id || r.id == commit.id {
			ran++
		}
	}
	d.rec.add("statements run: %d; order is %q", ran, d.group.leader().read("order"))
	if !trouble && (!write.ok() || !commit.ok()) {
		return false, fmt.Errorf("transaction without a change: write %s, commit %s", write, commit)
	}
	return trouble && ran > 0, nil
}
