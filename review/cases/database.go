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

const (
	// Figures of the small deployments.
	slots         = 3
	replicaLag    = 8 * time.Millisecond
	promoteTime   = 600 * time.Millisecond
	connectTime   = 12 * time.Millisecond
	statementTime = 6 * time.Millisecond
	// oldPrimaryTime is how long a replaced primary continues once it can reach the new one.
	oldPrimaryTime = time.Second
	groupTick      = 5 * time.Millisecond
)

// commit is one commit that writes.
type commit struct {
	term, number uint64
	ids          []string // of the writes
	items        map[string]string
	at           time.Time
}

// group is a database group: one primary and its replicas.
type group struct {
	service string
	rec     *record
	store   *standin.Store
	mu      sync.Mutex
	servers []*server
	lead    *server // the last server that took the lead; it may have stepped down
	// workTime returns how long a statement occupies a slot.
	workTime func(text string) time.Duration
	// run holds every statement of a client that a server ran: its text by id and server.
	run []ranStatement
	// staleCommits are the commits at a server that another one had replaced as the primary.
	staleCommits []staleCommit
	ledSince     time.Time // when the current primary took the lead
	stopped      chan struct{}
}

type ranStatement struct {
	id, text, server, tenant string
	at                       time.Time
}

type staleCommit struct {
	commit
	server string
	after  time.Duration // since the other server took the lead
}

// server is one server of a group. The group's mutex guards it.
type server struct {
	id, zone   string
	g          *group
	ln         net.Listener
	slots      chan struct{}
	primary    bool
	term       uint64
	log        []commit
	draining   bool
	dark       bool // no packet reaches or leaves the server
	darkEnded  *sync.Cond
	reachesNew time.Time // since when a replaced primary reaches the new one
}

func newGroup(rec *record, store *standin.Store, service string) *group {
	return &group{service: service, rec: rec, store: store, stopped: make(chan struct{}),
		workTime: func(string) time.Duration { return statementTime }}
}

// add starts a server. The first one is the primary.
func (g *group) add(id, zone string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &server{id: id, zone: zone, g: g, ln: ln, slots: make(chan struct{}, slots), primary: len(g.servers) == 0, term: 1}
	s.darkEnded = sync.NewCond(&g.mu)
	g.servers = append(g.servers, s)
	if g.lead == nil {
		g.lead = s
	}
	s.register()
	go s.serve()
	return nil
}

// register writes the server's entry to the store. The mutex must be held.
func (s *server) register() {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.g.store.Put("servers", s.id, map[string]any{
		"backend": s.g.service, "address": s.ln.Addr().String(), "zone": s.zone, "version": "v1", "capacity": slots,
		"state": state, "warmup_left_ms": 0, "reported_role": role, "sequence": 1, "born": 1,
	})
}

func (g *group) stop() {
	close(g.stopped)
	for _, s := range g.servers {
		_ = s.ln.Close()
	}
}

// leader returns the server that was the last to take the lead. The mutex must be held.
func (g *group) leader() *server { return g.lead }

// promote executes a promotion request: the server leads the next term some hundred milliseconds later.
func (g *group) promote(service, id string) bool {
	if service != g.service {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var s *server
	for _, candidate := range g.servers {
		if candidate.id == id {
			s = candidate
		}
	}
	if s == nil || s.dark {
		return false
	}
	if s == g.lead && s.primary {
		return true
	}
	g.rec.add("promotion of %s requested", id)
	time.AfterFunc(promoteTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if s == g.lead && s.primary {
			return
		}
		s.term = g.lead.term + 1
		s.primary = true
		g.lead = s
		g.ledSince = time.Now()
		g.rec.add("%s leads term %d with commits up to %s", s.id, s.term, s.position())
		s.register()
	})
	return true
}

// maintain replicates the log, and turns a replaced primary into a replica a second after it reaches the new one.
func (g *group) maintain() {
	tick := time.NewTicker(groupTick)
	defer tick.Stop()
	for {
		select {
		case <-g.stopped:
			return
		case <-tick.C:
		}
		g.mu.Lock()
		leader := g.leader()
		for _, s := range g.servers {
			switch {
			case s == leader || !leader.primary:
			case s.dark || leader.dark:
				s.reachesNew = time.Time{}
			case s.primary && s.reachesNew.IsZero():
				s.reachesNew = time.Now()
			case s.primary && time.Since(s.reachesNew) >= oldPrimaryTime:
				s.primary, s.reachesNew = false, time.Time{}
				g.rec.add("%s, replaced as the primary, follows %s", s.id, leader.id)
				s.replicate(leader)
				s.register()
			case !s.primary:
				s.replicate(leader)
			}
		}
		g.mu.Unlock()
	}
}

// replicate copies the commits of the primary that have arrived. The mutex must be held.
func (s *server) replicate(leader *server) {
	end := 0
	for end < len(leader.log) && time.Since(leader.log[end].at) >= replicaLag {
		end++
	}
	s.log = append([]commit(nil), leader.log[:end]...)
	s.term = leader.term
}

// setDark cuts a server off from everything, or ends that.
func (g *group) setDark(s *server, dark bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.dark = dark
	g.rec.add("%s dark: %t", s.id, dark)
	s.darkEnded.Broadcast()
}

// awaitLight blocks while the server is dark.
func (s *server) awaitLight() {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	for s.dark {
		s.darkEnded.Wait()
	}
}

// position returns the end of the log as TERM.NUMBER. The mutex must be held.
func (s *server) position() string {
	return strconv.FormatUint(s.term, 10) + "." + strconv.Itoa(len(s.log))
}

// covers reports whether the log contains a position. The mutex must be held.
func (s *server) covers(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.Atoi(number)
	return s.term >= t && len(s.log) >= n
}

func (s *server) serve() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.session(c)
	}
}

// readMessage returns one message. Only CR LF ends it.
func readMessage(r *bufio.Reader) (string, error) {
	var message strings.Builder
	for {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		message.WriteString(part)
		if text, ok := strings.CutSuffix(message.String(), "\r\n"); ok {
			return text, nil
		}
	}
}

// serverSession is one connection to a server.
type serverSession struct {
	s        *server
	tenant   string
	tx       bool
	readOnly bool
	failed   bool
	writes   commit
	prepared map[string]bool
}

func (s *server) session(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	line, err := readMessage(r)
	if err != nil {
		return
	}
	time.Sleep(connectTime)
	s.awaitLight()
	f := strings.Split(line, " ")
	if len(f) < 3 || f[0] != "STARTUP" || f[1] != s.g.service || len(f) > 3 && f[3] != s.id {
		fmt.Fprintf(c, "ERROR MOVED %s\r\n", s.id)
		return
	}
	s.g.mu.Lock()
	position := s.position()
	s.g.mu.Unlock()
	fmt.Fprintf(c, "READY I %s\r\n", position)
	x := &serverSession{s: s, tenant: f[2], prepared: map[string]bool{}}
	for {
		line, err := readMessage(r)
		if err != nil {
			return
		}
		s.awaitLight()
		parts := strings.SplitN(line, " ", 3)
		if len(parts) < 3 || parts[0] != "QUERY" {
			return
		}
		response := x.handle(parts[1], parts[2])
		s.awaitLight()
		if _, err := c.Write([]byte(response)); err != nil {
			return
		}
	}
}

// handle runs a statement and returns its response.
func (x *serverSession) handle(id, text string) string {
	s, after := x.s, ""
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, text, _ = strings.Cut(rest, " ")
	}
	verb, _, _ := strings.Cut(text, " ")
	switch verb {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
		s.slots <- struct{}{}
		time.Sleep(s.g.workTime(text))
		<-s.slots
	}
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	var body string
	switch {
	case after != "" && !s.covers(after):
		body = x.refuse("LAGGING")
	case x.failed && verb != "ROLLBACK" && verb != "COMMIT":
		body = x.refuse("MALFORMED")
	default:
		body = x.execute(id, verb, text)
	}
	if id != "-" {
		s.g.run = append(s.g.run, ranStatement{id, text, s.id, x.tenant, time.Now()})
		s.g.rec.add("server %s for tenant %s ran %s %q: %q", s.id, x.tenant, id, text, body)
	}
	x.failed = x.tx && (x.failed || strings.HasPrefix(body, "ERROR"))
	state := "I"
	if x.failed {
		state = "E"
	} else if x.tx {
		state = "T"
	}
	return body + "READY " + state + " " + s.position() + "\r\n"
}

func (x *serverSession) refuse(code string) string { return "ERROR " + code + " " + x.s.id + "\r\n" }

// execute runs a statement and returns its messages except the last. The mutex must be held.
func (x *serverSession) execute(id, verb, text string) string {
	s, f := x.s, strings.SplitN(text, " ", 4)
	done := "COMPLETE -\r\n"
	signed := "COMPLETE " + s.id + "." + id + "\r\n"
	switch verb {
	case "BEGIN":
		if len(f) == 1 && !s.primary {
			return x.refuse("READONLY")
		}
		x.tx, x.readOnly = true, len(f) > 1
	case "ROLLBACK":
		x.tx, x.failed, x.writes = false, false, commit{}
	case "COMMIT":
		writes, failed := x.writes, x.failed
		x.tx, x.failed, x.writes = false, false, commit{}
		switch {
		case failed:
			return x.refuse("FAILED")
		case len(writes.ids) > 0 && !s.primary:
			return x.refuse("READONLY")
		}
		s.commit(writes)
		return signed
	case "SET", "DEALLOC":
	case "DISCARD":
		clear(x.prepared)
	case "PREPARE":
		x.prepared[f[1]] = f[2] == "WRITE"
	case "STATUS", "STEPDOWN":
		return x.status(verb, f) + done
	case "READ":
		return "DATAROW " + s.read(f[1]) + "\r\n" + signed
	case "WRITE":
		return x.write(id, f[1], strings.TrimPrefix(text, "WRITE "+f[1]+" "), signed)
	case "EXECUTE":
		writes, ok := x.prepared[f[1]]
		switch {
		case !ok:
			return x.refuse("UNKSTMT")
		case writes:
			return x.write(id, f[2], f[3], signed)
		}
		return "DATAROW " + s.read(f[2]) + "\r\n" + signed
	default:
		return x.refuse("MALFORMED")
	}
	return done
}

func (x *serverSession) status(verb string, f []string) string {
	s, role := x.s, "replica"
	if verb == "STEPDOWN" {
		term, _ := strconv.ParseUint(f[1], 10, 64)
		s.primary = s.primary && s.term >= term
		s.g.rec.add("%s asked to step down for term %d, primary: %t", s.id, term, s.primary)
	}
	if s.primary {
		role = "primary"
	}
	return fmt.Sprintf("DATAROW %s %d %s %d %d 0 1\r\n", role, s.term, s.position(), s.term, replicaLag.Milliseconds())
}

func (x *serverSession) write(id, item, data, signed string) string {
	if !x.s.primary || x.tx && x.readOnly {
		return x.refuse("READONLY")
	}
	if x.writes.items == nil {
		x.writes.items = map[string]string{}
	}
	x.writes.ids = append(x.writes.ids, id)
	x.writes.items[item] = data
	if !x.tx {
		x.s.commit(x.writes)
		x.writes = commit{}
	}
	return signed
}

// commit appends to the log. The mutex must be held.
func (s *server) commit(c commit) {
	if len(c.ids) == 0 {
		return
	}
	c.term, c.number, c.at = s.term, uint64(len(s.log)+1), time.Now()
	s.log = append(s.log, c)
	if leader := s.g.leader(); leader != s {
		after := time.Since(s.g.ledSince)
		s.g.staleCommits = append(s.g.staleCommits, staleCommit{c, s.id, after})
		s.g.rec.add("%s committed %v %s after %s had taken the lead", s.id, c.ids, after, leader.id)
	}
}

// read returns the latest data of an item. The mutex must be held.
func (s *server) read(item string) string {
	for i := len(s.log) - 1; i >= 0; i-- {
		if data, ok := s.log[i].items[item]; ok {
			return data
		}
	}
	return "-"
}
