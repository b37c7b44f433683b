package broker

import (
	"strconv"
	"time"

	"siskinrouter/internal/statement"
)

const (
	// reservedConns of a server's connections are left for the status probe, and for connections that
	// the server has not yet seen closing.
	reservedConns = 2
	// maxPrepared bounds the prepared statements of one connection.
	maxPrepared = 64
)

// conn is a connection to a server and the session state that it carries.
type conn struct {
	Conn
	server    *server
	workspace string
	settings  map[string]string
	prepared  map[statement.PreparedQuery]string // name by shape
	usedAt    time.Duration
}

// pool holds the connections of one server. It is guarded by the broker's mutex.
type pool struct {
	room room
	open int // connections, including those being opened
	idle map[string][]*conn
	// waiting holds statements that have a slot but no connection.
	waiting []*work
}

// take returns an idle connection of a workspace, preferably one whose settings need no change. For a
// connection to be opened it returns nil and true; the caller then opens one. evicted is to be closed
// first. ok is false if all connections are busy.
func (p *pool) take(now time.Duration, w *work) (c, evicted *conn, ok bool) {
	idle := p.idle[w.req.Workspace]
	if len(idle) > 0 {
		best := len(idle) - 1
		for i := len(idle) - 1; i >= 0; i-- {
			if idle[i].matches(w.req.Settings) {
				best = i
				break
			}
		}
		c = idle[best]
		p.idle[w.req.Workspace] = append(idle[:best], idle[best+1:]...)
		return c, nil, true
	}
	if p.open < p.room.size(now) {
		p.open++
		return nil, nil, true
	}
	if evicted = p.oldest(); evicted != nil {
		return nil, evicted, true
	}
	return nil, nil, false
}

// oldest removes the idle connection that is missed least: of a workspace with several, the one that was used
// least recently, so that each workspace keeps one as long as possible.
func (p *pool) oldest() *conn {
	var oldest *conn
	spare := false // the workspace of oldest has others
	for _, idle := range p.idle {
		if len(idle) == 0 || spare && len(idle) == 1 {
			continue
		}
		if oldest == nil || !spare && len(idle) > 1 || idle[0].usedAt < oldest.usedAt {
			oldest = idle[0]
			spare = len(idle) > 1
		}
	}
	if oldest != nil {
		idle := p.idle[oldest.workspace]
		p.idle[oldest.workspace] = append(idle[:0], idle[1:]...)
	}
	return oldest
}

// put returns a connection after use. surplus is a connection to be closed, nil if none is.
func (p *pool) put(now time.Duration, c *conn) (surplus *conn) {
	c.usedAt = now
	p.idle[c.workspace] = append(p.idle[c.workspace], c)
	if p.idleCount() <= p.room.idleLimit() {
		return nil
	}
	p.open--
	return p.oldest()
}

// idleCount returns the number of idle connections.
func (p *pool) idleCount() int {
	n := 0
	for _, idle := range p.idle {
		n += len(idle)
	}
	return n
}

// drain removes all idle connections.
func (p *pool) drain() []*conn {
	var all []*conn
	for _, idle := range p.idle {
		all = append(all, idle...)
	}
	clear(p.idle)
	p.open -= len(all)
	return all
}

// matches reports whether the connection has exactly these settings.
func (c *conn) matches(settings []statement.Setting) bool {
	if len(settings) != len(c.settings) {
		return false
	}
	for _, s := range settings {
		if value, ok := c.settings[s.Name]; !ok || value != s.Value {
			return false
		}
	}
	return true
}

// prepare returns the commands that bring the connection to the session state of a request. They must
// all succeed before the statement is sent.
func (c *conn) prepare(req Request) []statement.Command {
	var commands []statement.Command
	if c.surplus(req.Settings) || len(c.prepared) >= maxPrepared {
		commands = append(commands, statement.Command{Kind: statement.Discard})
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

// surplus reports whether the connection has a value that the session does not have.
func (c *conn) surplus(settings []statement.Setting) bool {
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
