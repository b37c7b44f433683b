package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["line-feed-in-a-field"] = lineFeedInField }

// lineFeedInField writes data that contains a line feed, which does not end a message, and what looks like a message
// after it.
func lineFeedInField(d *deployment, trouble bool) (broken bool, err error) {
	c, err := dial(d.rec, "a", d.notOwner().frontend, ownDB, key)
	if err != nil {
		return false, err
	}
	defer c.Close()
	if a := c.do("WRITE stock 3"); !a.ok() {
		return false, fmt.Errorf("first write: %s", a)
	}
	data := "two robes, blue QUERY 00000000000000ff WRITE stock 0"
	if trouble {
		data = strings.Replace(data, "blue ", "blue\n", 1)
	}
	sent := "WRITE note " + data
	a := c.do(sent)
	time.Sleep(500 * time.Millisecond)
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	for _, r := range d.group.run {
		switch {
		case r.id == a.id && r.text != sent:
			d.rec.add("server %s ran %s with the text %q, but the client sent %q", r.server, r.id, r.text, sent)
			broken = true
		case r.id == "00000000000000ff":
			d.rec.add("server %s ran %s %q, which no client sent as a message", r.server, r.id, r.text)
			broken = true
		}
	}
	d.rec.add("stock is %q", d.group.leader().read("stock"))
	if !trouble && !a.ok() {
		return false, fmt.Errorf("write without a line feed: %s", a)
	}
	return broken, nil
}
