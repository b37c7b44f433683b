package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// clientTimeout bounds the wait for a response; it is the deadline of the requests with the latest one.
const clientTimeout = 8 * time.Second

var requests atomic.Uint64

// client is a session of a client.
type client struct {
	net.Conn
	name string
	rec  *record
	r    *bufio.Reader
}

// answer is the response to one statement.
type answer struct {
	id        string
	rows      []string
	signature string
	code      string // of an error
	state     string
	err       error // the connection ended without a complete answer
}

func (a answer) ok() bool { return a.err == nil && a.code == "" }

func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no complete answer: " + a.err.Error()
	case a.code != "":
		return "ERROR " + a.code + ", state " + a.state
	}
	return fmt.Sprintf("rows %q, COMPLETE %s, state %s", a.rows, a.signature, a.state)
}

// dial opens a session.
func dial(rec *record, name, address, database, key string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn, name, rec, bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := c.r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = fmt.Errorf("startup answered with %q", line)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// do sends a statement with a new id and returns its response.
func (c *client) do(text string) answer { return c.doWith(func(string) string { return text }) }

// doWith sends a statement whose text depends on its id.
func (c *client) doWith(text func(id string) string) answer {
	id := newID()
	return c.send(id, text(id))
}

func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+requests.Add(1)) }

func (c *client) send(id, text string) answer {
	c.rec.add("client %s sends %s %q", c.name, id, text)
	_ = c.SetDeadline(time.Now().Add(clientTimeout))
	_, err := fmt.Fprintf(c, "QUERY %s %s\r\n", id, text)
	a := answer{id: id, err: err}
	if err == nil {
		a = c.readAnswer(id)
	}
	c.rec.add("client %s gets for %s: %s", c.name, id, a)
	return a
}

// readAnswer reads messages up to READY.
func (c *client) readAnswer(id string) answer {
	a := answer{id: id}
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			a.err = err
			return a
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}
