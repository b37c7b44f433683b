package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"siskinrouter/platform/standin"
)

// database is a group of servers that follows PROTOCOL.md with sync_replicas 1: a commit is answered once one replica has
// received it. The stand-in of the project has neither synchronous replicas nor replicas that receive nothing.
type database struct {
	record      *record
	store       *standin.Store
	service     string
	promoteTime time.Duration
	netDelay    time.Duration // between two servers
	work        time.Duration // of a read, write or commit

	mu       sync.Mutex
	servers  []*dbServer
	term     uint64
	received *sync.Cond // a replica has received a commit, or a role has changed
	// acked holds the commits that were answered with success, by the id of the statement.
	acked map[string]bool
	// lost holds the acknowledged commits that a promoted server did not have.
	lost []string
}

// dbServer is one server. Its fields are guarded by the mutex of the group.
type dbServer struct {
	db        *database
	id, zone  string
	ln        net.Listener
	primary   bool
	term      uint64
	log       []dbCommit
	deaf      bool // receives nothing
	down      bool
	conns     map[net.Conn]struct{}
	slots     chan struct{}
	appliedTo int // length of the part of the log that reads see
}

type dbCommit struct {
	term, number uint64
	ids          []string
	data         map[string]string
}

func newDatabase(r *record, store *standin.Store, work time.Duration) *database {
	db := &database{record: r, store: store, service: service, promoteTime: time.Second, netDelay: 500 * time.Microsecond,
		work: work, term: 1, acked: map[string]bool{}}
	db.received = sync.NewCond(&db.mu)
	return db
}

// add starts a server; the first one is the primary.
func (db *database) add(id, zone string) (*dbServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &dbServer{db: db, id: id, zone: zone, ln: ln, term: 1, conns: map[net.Conn]struct{}{}, slots: make(chan struct{}, slots)}
	db.mu.Lock()
	s.primary = len(db.servers) == 0
	db.servers = append(db.servers, s)
	db.mu.Unlock()
	s.register()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// register writes the entry of the server to the store.
func (s *dbServer) register() {
	s.db.mu.Lock()
	role := "replica"
	if s.primary {
		role = "primary"
	}
	s.db.mu.Unlock()
	s.db.store.Put("servers", s.id, map[string]any{"backend": s.db.service, "address": s.ln.Addr().String(), "zone": s.zone,
		"version": "v1", "capacity": slots, "state": "ready", "warmup_left_ms": 0, "reported_role": role, "sequence": 1, "born": 1})
}

// setDeaf lets a replica receive nothing, or catch up with the primary.
func (s *dbServer) setDeaf(deaf bool) {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	s.deaf = deaf
	s.db.replicate()
}

// crash ends the server's connections; its log stays.
func (s *dbServer) crash() {
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	s.down = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.db.received.Broadcast()
}

// restart brings a crashed server back with its log, as a replica if another one was promoted.
func (s *dbServer) restart() {
	s.db.mu.Lock()
	s.down = false
	s.primary = s.primary && s.term == s.db.term
	s.db.replicate()
	s.db.mu.Unlock()
	s.register()
}

// leader returns the primary of the latest term. The mutex must be held.
func (db *database) leader() *dbServer {
	for _, s := range db.servers {
		if s.primary && s.term == db.term {
			return s
		}
	}
	return nil
}

// replicate gives the replicas the log of the primary. The mutex must be held.
func (db *database) replicate() {
	p := db.leader()
	if p == nil || p.down {
		return
	}
	for _, s := range db.servers {
		if s == p || s.down || s.deaf {
			continue
		}
		s.primary = false
		s.term = p.term
		s.log = append([]dbCommit(nil), p.log...)
		s.appliedTo = len(s.log)
	}
	db.received.Broadcast()
}

// promote executes POST /failover: after some time the server leads the next term with what it had received.
func (db *database) promote(id string) bool {
	db.mu.Lock()
	defer db.mu.Unlock()
	var target *dbServer
	for _, s := range db.servers {
		if s.id == id && !s.down {
			target = s
		}
	}
	if target == nil {
		return false
	}
	if target == db.leader() {
		return true
	}
	db.record.line("the platform accepts the promotion of %s, which holds %s", id, target.position())
	time.AfterFunc(db.promoteTime, func() {
		db.mu.Lock()
		defer db.mu.Unlock()
		if target.down || target == db.leader() {
			return
		}
		has := map[string]bool{}
		for _, c := range target.log {
			for _, id := range c.ids {
				has[id] = true
			}
		}
		for id := range db.acked {
			if !has[id] {
				db.lost = append(db.lost, id)
			}
		}
		db.term++
		target.primary, target.term, target.deaf = true, db.term, false
		target.appliedTo = len(target.log)
		db.record.line("%s leads term %d with %d commits; %d acknowledged commits are not in its log", id, db.term, len(target.log),
			len(db.lost))
		db.replicate()
		go target.register()
	})
	return true
}

// position returns the log end as TERM.NUMBER. The mutex must be held.
func (s *dbServer) position() string {
	number := uint64(0)
	if n := len(s.log); n > 0 {
		number = s.log[n-1].number
	}
	return strconv.FormatUint(s.term, 10) + "." + strconv.FormatUint(number, 10)
}

// covers reports whether the log has a position. The mutex must be held.
func (s *dbServer) covers(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.ParseUint(number, 10, 64)
	last := uint64(0)
	if len(s.log) > 0 {
		last = s.log[len(s.log)-1].number
	}
	return s.term >= t && last >= n
}

// commit appends to the log of the primary and waits until a replica has received it. It reports whether the commit may be
// acknowledged. The mutex must be held; it is released while the commit is on its way.
func (s *dbServer) commit(ids []string, data map[string]string) bool {
	number := uint64(1)
	if n := len(s.log); n > 0 {
		number = s.log[n-1].number + 1
	}
	c := dbCommit{s.term, number, ids, data}
	s.log = append(s.log, c)
	s.appliedTo = len(s.log)
	time.AfterFunc(s.db.netDelay, func() {
		s.db.mu.Lock()
		defer s.db.mu.Unlock()
		if s.db.leader() == s {
			s.db.replicate()
		}
	})
	for {
		if s.down || !s.primary || s.term != s.db.term {
			return false
		}
		for _, other := range s.db.servers {
			if other != s && !other.down && other.term == c.term && len(other.log) > 0 && other.log[len(other.log)-1].number >= number {
				for _, id := range ids {
					s.db.acked[id] = true
				}
				return true
			}
		}
		s.db.received.Wait()
	}
}

// serve serves a connection.
func (s *dbServer) serve(c net.Conn) {
	defer c.Close()
	s.db.mu.Lock()
	if s.down {
		s.db.mu.Unlock()
		return
	}
	s.conns[c] = struct{}{}
	s.db.mu.Unlock()
	defer func() {
		s.db.mu.Lock()
		delete(s.conns, c)
		s.db.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" || f[1] != s.db.service || len(f) > 3 && f[3] != s.id {
		fmt.Fprintf(c, "ERROR MOVED %s\r\n", s.id)
		return
	}
	s.db.mu.Lock()
	ready := "READY I " + s.position() + "\r\n"
	s.db.mu.Unlock()
	if _, err := c.Write([]byte(ready)); err != nil {
		return
	}
	x := &dbSession{s: s}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		if _, err := c.Write([]byte(x.run(parts[1], parts[2]))); err != nil {
			return
		}
	}
}

// dbSession is one connection.
type dbSession struct {
	s        *dbServer
	tx       bool
	readOnly bool
	ids      []string
	data     map[string]string
}

// run runs a statement and returns its response.
func (x *dbSession) run(id, text string) string {
	s := x.s
	after := ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	f := strings.Fields(text)
	switch f[0] {
	case "READ", "WRITE", "COMMIT":
		s.slots <- struct{}{}
		time.Sleep(s.db.work)
		<-s.slots
	}
	s.db.mu.Lock()
	defer s.db.mu.Unlock()
	body := ""
	if after != "" && !s.covers(after) {
		body = "ERROR LAGGING " + s.id + "\r\n"
	} else {
		body = x.execute(id, f)
	}
	state := "I"
	if x.tx {
		state = "T"
		if strings.HasPrefix(body, "ERROR") {
			state = "E"
		}
	}
	return body + "READY " + state + " " + s.position() + "\r\n"
}

// execute runs a statement. The mutex must be held.
func (x *dbSession) execute(id string, f []string) string {
	s := x.s
	done, signed := "COMPLETE -\r\n", "COMPLETE "+s.id+"."+id+"\r\n"
	readOnly := "ERROR READONLY " + s.id + "\r\n"
	switch f[0] {
	case "BEGIN":
		x.readOnly = len(f) > 1
		if !x.readOnly && !s.primary {
			return readOnly
		}
		x.tx, x.ids, x.data = true, nil, map[string]string{}
		return done
	case "ROLLBACK":
		x.tx, x.ids, x.data = false, nil, nil
		return done
	case "COMMIT":
		ids, data := x.ids, x.data
		x.tx, x.ids, x.data = false, nil, nil
		if len(ids) == 0 {
			return signed
		}
		if !s.primary {
			return readOnly
		}
		if !s.commit(ids, data) {
			return "ERROR TIMEOUT " + s.id + "\r\n"
		}
		return signed
	case "READ":
		data := "-"
		for _, c := range s.log[:s.appliedTo] {
			if d, ok := c.data[f[1]]; ok {
				data = d
			}
		}
		return "DATAROW " + data + "\r\n" + signed
	case "WRITE":
		if !s.primary || x.tx && x.readOnly {
			return readOnly
		}
		if x.tx {
			x.ids = append(x.ids, id)
			x.data[f[1]] = strings.Join(f[2:], " ")
			return signed
		}
		if !s.commit([]string{id}, map[string]string{f[1]: strings.Join(f[2:], " ")}) {
			return "ERROR TIMEOUT " + s.id + "\r\n"
		}
		return signed
	case "STATUS", "STEPDOWN":
		if f[0] == "STEPDOWN" {
			s.primary = false
			s.db.received.Broadcast()
		}
		role := "replica"
		if s.primary {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s %d %s 0 1 1 %d\r\n", role, s.term, s.position(), len(s.conns)) + done
	case "SET", "DISCARD":
		return done
	}
	return "ERROR MALFORMED " + s.id + "\r\n"
}
