package proxy

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/session"
	"siskinrouter/internal/target"
	"siskinrouter/internal/verdict"
)

// callerSession is one connection of a caller.
type callerSession struct {
	srv    *Server
	conn   net.Conn
	front  *pgproto3.Backend
	out    []byte // encoded messages that wait for flush
	pid    uint32
	secret []byte
	access atomic.Pointer[Access]

	readOnly     bool             // declared by the caller at login
	carriesToken bool             // the caller presents its position itself
	floor        session.Position // position of the session; valid if carriesToken
	requestID    string           // applies to the next transaction
	statements   map[string]*statement
	skipToSync   bool // an error ended the current series of extended messages
	lease        *target.Lease
	openStatus   byte   // transaction status while lease is held
	recording    string // request id recorded in the open transaction

	mu      sync.Mutex
	busy    bool  // a request is being served or a transaction is open
	ending  error // reason to send when the session may end
	current *target.Lease
}

func newCallerSession(s *Server, conn net.Conn) *callerSession {
	c := &callerSession{srv: s, statements: make(map[string]*statement)}
	c.setConn(conn)
	return c
}

func (c *callerSession) setConn(conn net.Conn) {
	c.conn = conn
	c.front = pgproto3.NewBackend(conn, conn)
	c.front.SetMaxBodyLen(c.srv.cfg.MaxMessage)
}

func (c *callerSession) currentAccess() *Access { return c.access.Load() }

func (c *callerSession) hasSecret(secret []byte) bool {
	return subtle.ConstantTimeCompare(secret, c.secret) == 1
}

// run serves requests until the caller leaves or its session is ended.
func (c *callerSession) run(ctx context.Context) {
	defer c.dropLease()
	for {
		b, err := c.readBatch()
		if err != nil {
			c.finish(err)
			return
		}
		if b.terminate {
			return
		}
		if err := c.serve(ctx, b); err != nil {
			c.finish(err)
			return
		}
		if !c.settle() {
			c.finish(nil)
			return
		}
	}
}

// settle marks the session idle unless a transaction is open, and reports whether it may go on.
func (c *callerSession) settle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = c.lease != nil
	if !c.busy && cap(c.out) > keepBuffer {
		c.out = nil
	}
	return c.ending == nil || c.busy
}

// finish tells the caller why the session ends, as far as it can still be reached.
func (c *callerSession) finish(err error) {
	var e *verdict.Error
	c.mu.Lock()
	// The verdict of a request that failed goes first: the reason for the end says "not run".
	if c.ending != nil && !errors.As(err, &e) {
		err = c.ending
	}
	c.mu.Unlock()
	if errors.As(err, &e) {
		_ = c.conn.SetReadDeadline(time.Time{})
		c.refuse("FATAL", e)
		_ = c.flush()
	}
}

// end closes the session with reason: at once when idle, otherwise after its transaction. A grace period
// above zero cuts a transaction that is still open after it.
func (c *callerSession) end(reason error, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending != nil {
		return
	}
	c.ending = reason
	if !c.busy {
		c.wake()
		return
	}
	if grace > 0 {
		time.AfterFunc(grace, c.cut)
	}
}

// wake ends the wait for the caller's next message.
func (c *callerSession) wake() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) }

// cut ends a transaction whose grace period is over.
func (c *callerSession) cut() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.cancelStatement(ctx)
	c.wake()
}

// cancelStatement cancels the running statement. The lock keeps the link from being passed to
// another caller before it is marked as cancelled.
func (c *callerSession) cancelStatement(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return
	}
	if err := c.current.Cancel(ctx); err != nil {
		c.srv.cfg.Log.Debug("cancel request failed", "err", err)
	}
}

func (c *callerSession) setLease(l *target.Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = l
	c.current = l
}

// releaseLease returns the link to its pool after a complete exchange.
func (c *callerSession) releaseLease() {
	l := c.lease
	if l == nil {
		return
	}
	c.setLease(nil)
	l.Release()
}

// dropLease closes the link, because its place in the protocol is not known or a transaction is open.
func (c *callerSession) dropLease() {
	if c.lease != nil {
		c.lease.Break()
		c.releaseLease()
	}
}

// send queues a message for the caller.
func (c *callerSession) send(msg pgproto3.BackendMessage) {
	out, err := msg.Encode(c.out)
	if err != nil {
		// Encoding fails only for messages above 1 GB, which the message limit rules out.
		c.srv.cfg.Log.Error("message to caller cannot be encoded", "err", err)
		return
	}
	c.out = out
}

func (c *callerSession) ready(status byte) { c.send(&pgproto3.ReadyForQuery{TxStatus: status}) }

func (c *callerSession) flush() error {
	if len(c.out) == 0 {
		return nil
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.srv.cfg.WriteTimeout))
	_, err := c.conn.Write(c.out)
	c.out = c.out[:0]
	return err
}

// keepBuffer is the largest output buffer that an idle session keeps, in bytes.
const keepBuffer = 16 << 10

// refuse queues an error response that names the verdict, and records its explanation.
func (c *callerSession) refuse(severity string, e *verdict.Error) {
	if e.RequestID == "" {
		copied := *e
		copied.RequestID = c.srv.cfg.Policy.NewID()
		e = &copied
	}
	workspace := ""
	if a := c.currentAccess(); a != nil {
		workspace = a.Workspace.Name
	}
	c.srv.cfg.Metrics.refused(e.SQLState, workspace)
	if e.Verdict == verdict.MayHaveRun {
		c.srv.cfg.Metrics.Unknown.Inc(1)
	}
	c.srv.cfg.Policy.Explain(e.RequestID, "workspace "+workspace, e.Error())
	c.send(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.SQLState,
		Message:             e.Reason,
		Detail:              e.Detail(),
	})
}

// asVerdict returns err as a *verdict.Error.
func asVerdict(err error, v verdict.Verdict, sqlState string) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return verdict.Errorf(v, sqlState, "%w", err)
}
