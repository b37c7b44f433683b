package broker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"siskinrouter/internal/statement"
)

const (
	// maxPrepared bounds the prepared statements of one connection.
	maxPrepared = 64
)

// conn is a connection to a server and its session state.
type conn struct {
	Conn
	server     *server
	workspace  string
	settings   map[string]string
	prepared   map[statement.PreparedQuery]string // statement name by query
	usedAt     time.Duration
	givenUp    bool // closed because the read on it was given up
	unanswered bool // closed although its last command was not answered
	// unknownState is set if the connection has session state that is no longer known here. It is discarded first.
	unknownState bool
}

// pool holds the connections of one server. It is guarded by the broker's mutex.
type pool struct {
	limit connLimit
	open  int // connections, including those being opened
	idle  map[string][]*conn
	// perWorkspace holds the number of open connections by workspace.
	perWorkspace map[string]int
	// closing holds until when the server may count connections that were closed.
	closing []time.Duration
	// owed is the number of connections that workspaces with many will give back when they release them, because a
	// statement of another workspace found none.
	owed int
	// scarce is set if the server has so few connections that none are kept free for newcomers or while others are
	// being closed. What the server refuses then bounds the connections.
	scarce bool
	// waking is set while a timer will start waiting statements when a closed connection is no longer counted.
	waking bool
	// waiting holds statements that have a slot but no connection.
	waiting []*execution
}

// acquire returns an idle connection of a workspace, preferably one with matching settings. If c is nil and ok is
// true, a new connection has to be opened, after evicted has been closed if it is not nil. If ok is false, no connection
// can be had now; evicted has to be closed as well, so that one can be opened later.
func (p *pool) acquire(now time.Duration, e *execution) (c, evicted *conn, ok bool) {
	idle := p.idle[e.req.Workspace]
	if len(idle) > 0 {
		best := len(idle) - 1
		for i := len(idle) - 1; i >= 0; i-- {
			if idle[i].matches(e.req.Settings) {
				best = i
				break
			}
		}
		c = idle[best]
		p.idle[e.req.Workspace] = append(idle[:best], idle[best+1:]...)
		return c, nil, true
	}
	limit := p.limit.current(now)
	if p.counted(now) >= limit {
		if p.open >= limit {
			// A connection that is being closed makes room soon.
			evicted = p.evictFor(now, e.req.Workspace)
		}
		if !p.scarce && !p.hasMany(now, e.req.Workspace) {
			p.owed = min(p.owed+1, maxOwed)
		}
		return nil, evicted, false
	}
	if p.open >= p.limit.idleLimit(now) {
		evicted = p.evictFor(now, e.req.Workspace)
		if evicted == nil && p.hasMany(now, e.req.Workspace) {
			// The room is kept for workspaces that have few.
			return nil, nil, false
		}
	}
	p.opening(e.req.Workspace)
	return nil, evicted, true
}

// opening counts a connection that is about to be opened.
func (p *pool) opening(workspace string) {
	p.open++
	if p.perWorkspace == nil {
		p.perWorkspace = map[string]int{}
	}
	p.perWorkspace[workspace]++
}

// closed counts a connection as one that is being closed, and which the server counts until the given time.
func (p *pool) closed(workspace string, until time.Duration) {
	p.refused(workspace)
	if !p.scarce {
		p.closing = append(p.closing, until)
	}
}

// refused ends the count of a connection that the server does not have.
func (p *pool) refused(workspace string) {
	p.open--
	if p.perWorkspace[workspace] <= 1 {
		delete(p.perWorkspace, workspace)
		return
	}
	p.perWorkspace[workspace]--
}

// counted returns how many connections the server may count.
func (p *pool) counted(now time.Duration) int {
	p.closing = slices.DeleteFunc(p.closing, func(until time.Duration) bool { return until <= now })
	return p.open + len(p.closing)
}

// evictFor evicts an idle connection in favour of a workspace. A workspace that has many connections does not take the
// last one of another: it would take those of all others if it sends more than its rate.
func (p *pool) evictFor(now time.Duration, workspace string) *conn {
	victim := p.mostIdle()
	if victim == "" || len(p.idle[victim]) == 1 && p.hasMany(now, workspace) {
		return nil
	}
	return p.evictFrom(now, victim)
}

// hasMany reports whether a workspace has a large part of the connections.
func (p *pool) hasMany(now time.Duration, workspace string) bool {
	return p.perWorkspace[workspace] >= max(p.limit.share(now)/workspaceDivisor, minMany)
}

// shrink evicts idle connections until no more are open than the share allows.
func (p *pool) shrink(now time.Duration) (evicted []*conn) {
	for p.open > p.limit.share(now) {
		c := p.evict(now)
		if c == nil {
			return evicted
		}
		evicted = append(evicted, c)
	}
	return evicted
}

// available reports whether a workspace can get a connection now.
func (p *pool) available(now time.Duration, workspace string) bool {
	return len(p.idle[workspace]) > 0 || p.counted(now) < p.limit.current(now)
}

// mostIdle returns the workspace with the most idle connections, and of several the one whose connection was used least
// recently, so that each workspace keeps one as long as possible. It is empty if no connection is idle.
func (p *pool) mostIdle() string {
	most := ""
	for workspace, idle := range p.idle {
		if len(idle) == 0 {
			continue
		}
		if most == "" || cmp.Or(cmp.Compare(len(p.idle[most]), len(idle)), cmp.Compare(idle[0].usedAt, p.idle[most][0].usedAt),
			cmp.Compare(workspace, most)) < 0 {
			most = workspace
		}
	}
	return most
}

// evict removes the least recently used connection of the workspace with the most idle ones. It returns nil if no
// connection is idle.
func (p *pool) evict(now time.Duration) *conn {
	if victim := p.mostIdle(); victim != "" {
		return p.evictFrom(now, victim)
	}
	return nil
}

func (p *pool) evictFrom(now time.Duration, workspace string) *conn {
	idle := p.idle[workspace]
	c := idle[0]
	p.idle[workspace] = append(idle[:0], idle[1:]...)
	if len(p.idle[workspace]) == 0 {
		delete(p.idle, workspace)
	}
	p.closed(workspace, now+closedTime)
	return c
}

// release returns a connection to the pool. excess is a connection that has to be closed, nil if there is none.
func (p *pool) release(now time.Duration, c *conn) (excess *conn) {
	c.usedAt = now
	c.forgetLargeState()
	if p.owed > 0 && p.hasMany(now, c.workspace) {
		p.owed--
		p.closed(c.workspace, now+closedTime)
		return c
	}
	p.idle[c.workspace] = append(p.idle[c.workspace], c)
	if p.idleCount() <= p.limit.idleLimit(now) && p.open <= p.limit.share(now) {
		return nil
	}
	return p.evict(now)
}

func (p *pool) idleCount() int {
	n := 0
	for _, idle := range p.idle {
		n += len(idle)
	}
	return n
}

// drain removes all idle connections.
func (p *pool) drain(now time.Duration) (all []*conn) {
	for c := p.evict(now); c != nil; c = p.evict(now) {
		all = append(all, c)
	}
	return all
}

// matches reports whether the connection has exactly these settings.
func (c *conn) matches(settings []statement.Setting) bool {
	if c.unknownState || len(settings) != len(c.settings) {
		return false
	}
	for _, s := range settings {
		if value, ok := c.settings[s.Name]; !ok || value != s.Value {
			return false
		}
	}
	return true
}

// sessionCommands returns the commands that bring the connection to the session state of a request. All of them must
// succeed before the statement is sent.
func (c *conn) sessionCommands(req Request) []statement.Command {
	var commands []statement.Command
	if c.unknownState || c.hasOtherSettings(req.Settings) || len(c.prepared) >= maxPrepared {
		commands = append(commands, statement.Command{Kind: statement.Discard})
		c.unknownState = false
		clear(c.settings)
		clear(c.prepared)
	}
	for _, s := range req.Settings {
		if value, ok := c.settings[s.Name]; !ok || value != s.Value {
			commands = append(commands, statement.Command{Kind: statement.Set, Name: s.Name, Args: s.Value})
			c.settings[s.Name] = s.Value
		}
	}
	if req.Statement.Kind != statement.Execute {
		return commands
	}
	if _, ok := c.prepared[req.Prepared]; !ok {
		name := "p" + strconv.Itoa(len(c.prepared))
		c.prepared[req.Prepared] = name
		commands = append(commands, statement.Command{
			Kind: statement.Prepare, Name: name, Args: req.Prepared.Text, Writes: req.Prepared.Writes,
		})
	}
	return commands
}

// hasOtherSettings reports whether the connection has a setting that the session does not have.
func (c *conn) hasOtherSettings(settings []statement.Setting) bool {
	for name := range c.settings {
		found := false
		for _, s := range settings {
			found = found || s.Name == name
		}
		if !found {
			return true
		}
	}
	return false
}

// command returns the command that runs the statement of a request on the connection.
func (c *conn) command(req Request) statement.Command {
	s := req.Statement
	command := statement.Command{Kind: s.Kind, ID: s.ID, Text: s.Text}
	if s.Kind == statement.Execute {
		command.Name = c.prepared[req.Prepared]
		command.Args = s.Args
	}
	return command
}
