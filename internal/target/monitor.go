package target

import (
	"context"
	"errors"
	"fmt"
	"time"

	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/session"
	"siskinrouter/internal/verdict"
)

const (
	commandQueue  = 8                      // commands that wait for a monitor
	reconnectWait = 100 * time.Millisecond // between attempts to open a control connection
	waitLimit     = 2 * time.Millisecond   // longest group_wait; a status query may wait behind it
)

// errMonitorStopped means that the control connection is not there to run a command.
var errMonitorStopped = errors.New("no control connection")

// monitor owns the control connection to one server. It has one statement in flight at a time, so the
// demands of all requests that arrive meanwhile share the next one.
type monitor struct {
	group    *Group
	server   fleetconfig.Server
	wake     chan struct{}
	commands chan command
	conn     *control
	sentAt   time.Duration // start of the last answered query
	held     session.Position
}

type command struct {
	statement string
	reply     chan reply
}

type reply struct {
	answer Answer
	err    error
}

func newMonitor(g *Group, s fleetconfig.Server) *monitor {
	return &monitor{
		group:    g,
		server:   s,
		wake:     make(chan struct{}, 1),
		commands: make(chan command, commandQueue),
		sentAt:   -1,
	}
}

func (m *monitor) kick() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// command runs a statement on the control connection after those already queued.
func (m *monitor) command(ctx context.Context, statement string) (Answer, error) {
	c := command{statement: statement, reply: make(chan reply, 1)}
	select {
	case m.commands <- c:
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
	select {
	case r := <-c.reply:
		return r.answer, r.err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

func (m *monitor) run(ctx context.Context) {
	defer m.drop()
	for ctx.Err() == nil {
		if err := m.step(ctx); err != nil {
			m.drop()
			m.group.fail(m.server.Name, err)
			m.pause(ctx)
		}
	}
}

// pause waits before the next attempt to connect and refuses commands meanwhile.
func (m *monitor) pause(ctx context.Context) {
	timer := time.NewTimer(reconnectWait)
	defer timer.Stop()
	for {
		select {
		case c := <-m.commands:
			c.reply <- reply{err: fmt.Errorf("server %s: %w", m.server.Name, errMonitorStopped)}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (m *monitor) drop() {
	if m.conn != nil {
		m.conn.close()
		m.conn = nil
	}
}

// step runs one statement and waits until the next one is due.
func (m *monitor) step(ctx context.Context) error {
	if err := m.connect(ctx); err != nil {
		return err
	}
	if err := m.query(m.nextStatement()); err != nil {
		return err
	}
	for ctx.Err() == nil && !m.demanded() {
		timer := time.NewTimer(m.group.cfg.ProbeInterval)
		select {
		case <-m.wake:
			timer.Stop()
		case c := <-m.commands:
			timer.Stop()
			return m.execute(c)
		case <-timer.C:
			return nil
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

func (m *monitor) connect(ctx context.Context) error {
	if m.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.group.cfg.ConnectTimeout)
	defer cancel()
	conn, err := openControl(ctx, m.server.Name, m.server.Address, m.group.cfg.Credentials)
	if err != nil {
		return err
	}
	m.conn = conn
	return nil
}

func (m *monitor) query(statement string) error {
	sentAt := m.group.cfg.Clock()
	a, err := m.conn.do(time.Now().Add(m.group.cfg.AnswerTimeout), statement)
	if err != nil {
		return err
	}
	m.observe(sentAt, a)
	return nil
}

// execute runs a command. A failed command breaks the connection, because its answer may still come.
func (m *monitor) execute(c command) error {
	sentAt := m.group.cfg.Clock()
	a, err := m.conn.do(time.Now().Add(m.group.cfg.AnswerTimeout), c.statement)
	c.reply <- reply{answer: a, err: err}
	if err != nil {
		return err
	}
	m.observe(sentAt, a)
	return nil
}

func (m *monitor) observe(sentAt time.Duration, a Answer) {
	m.sentAt = sentAt
	m.held = a.Status.LogEnd
	m.group.observe(m.server.Name, sentAt, a)
}

// demanded reports whether waiting requests need another query of this server now.
func (m *monitor) demanded() bool {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.sentAt < g.wantSince || m.mustWait()
}

// mustWait reports whether a write waits for this server to hold it. The group's lock is held.
func (m *monitor) mustWait() bool {
	want := m.group.wantPosition
	return want.Term == m.held.Term && m.held.Offset < want.Offset && !m.group.view.Confirmed(want)
}

// nextStatement returns a group_wait when only confirmations are waited for, otherwise a status query.
func (m *monitor) nextStatement() string {
	g := m.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.sentAt >= g.wantSince && m.mustWait() {
		return fmt.Sprintf("SELECT group_wait(%d, %d, %d)",
			g.wantPosition.Term, g.wantPosition.Offset, waitLimit.Milliseconds())
	}
	return statusQuery
}

// isConnectError reports whether err says that a server refused or did not accept a connection.
func isConnectError(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Verdict == verdict.NotRun && e.Err != nil &&
		(e.SQLState == verdict.StateConnectionFailure || e.SQLState == verdict.StateTooManyConnections)
}
