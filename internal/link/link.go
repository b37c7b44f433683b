// Package link holds connections to targets: opening them with the proxy's own credentials,
// exchanging protocol messages, and pooling them per server.
package link

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/verdict"
)

// Credentials are the proxy's own login at the targets.
type Credentials struct {
	User     string
	Password string
	Database string
	Client   string // application_name, the name of the VM
	// Dial opens network connections; nil for the default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// KeepBroken keeps links in their pool after a failure; set only by tests.
	KeepBroken bool
}

// maxStatements bounds the prepared statements that a link keeps at its target.
const maxStatements = 256

// Link is one connection to a target. It is used by one goroutine at a time.
type Link struct {
	Server string
	conn   net.Conn
	front  *pgproto3.Frontend
	out    []byte
	pid    uint32
	secret []byte
	addr   string
	dial   func(ctx context.Context, network, address string) (net.Conn, error)

	statements map[string]struct{} // names of prepared statements that the target has
	order      []string            // the same names, oldest first
	keep       bool                // set only by tests
	broken     bool
	sent       atomic.Int64 // bytes that the connection has taken
	readOnly   bool         // mode of the transactions that start on the link
	idleSince  time.Time
	cancelled  atomic.Bool
}

// Dial opens a link. Every failure has the verdict NotRun, because no request has been sent.
func Dial(ctx context.Context, server, address string, cred Credentials) (*Link, error) {
	hijacked, err := dial(ctx, address, cred)
	if err != nil {
		return nil, verdict.Errorf(verdict.NotRun, dialState(err), "connect to target %s: %w", server, err)
	}
	return &Link{
		Server:     server,
		conn:       hijacked.Conn,
		front:      hijacked.Frontend,
		pid:        hijacked.PID,
		secret:     hijacked.SecretKey,
		dial:       cred.dialFunc(),
		addr:       address,
		keep:       cred.KeepBroken,
		statements: make(map[string]struct{}),
	}, nil
}

func dial(ctx context.Context, address string, cred Credentials) (*pgconn.HijackedConn, error) {
	conn, err := Connect(ctx, address, cred)
	if err != nil {
		return nil, err
	}
	return conn.Hijack()
}

// Connect opens a connection to a target with the proxy's own credentials.
func Connect(ctx context.Context, address string, cred Credentials) (*pgconn.PgConn, error) {
	host, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("target connection settings: %w", err)
	}
	cfg.Host = host
	cfg.Port = port
	cfg.User = cred.User
	cfg.Password = cred.Password
	cfg.Database = cred.Database
	cfg.RuntimeParams = map[string]string{"application_name": cred.Client}
	cfg.Fallbacks = nil
	cfg.DialFunc = cred.dialFunc()
	return pgconn.ConnectConfig(ctx, cfg)
}

// keepAlive is the interval of TCP keep-alive probes.
const keepAlive = 30 * time.Second

func (c Credentials) dialFunc() func(ctx context.Context, network, address string) (net.Conn, error) {
	if c.Dial != nil {
		return c.Dial
	}
	return (&net.Dialer{KeepAlive: keepAlive}).DialContext
}

// Send queues a message until Flush.
func (l *Link) Send(msg pgproto3.FrontendMessage) error {
	out, err := msg.Encode(l.out)
	if err != nil {
		return fmt.Errorf("encode message for target %s: %w", l.Server, err)
	}
	l.out = out
	return nil
}

// Sent returns the number of bytes that were passed to the connection. It is safe for concurrent use.
func (l *Link) Sent() int64 { return l.sent.Load() }

// Queued returns the number of bytes that wait for Flush.
func (l *Link) Queued() int { return len(l.out) }

// Flush writes the queued messages. A failure breaks the link.
func (l *Link) Flush() error {
	n, err := l.conn.Write(l.out)
	l.sent.Add(int64(n))
	l.out = l.out[:0]
	if err != nil {
		l.broken = true
		return fmt.Errorf("write to target %s: %w", l.Server, err)
	}
	return nil
}

// Receive returns the next message, which is valid until the next call. A failure breaks the link.
func (l *Link) Receive() (pgproto3.BackendMessage, error) {
	msg, err := l.front.Receive()
	if err != nil {
		l.broken = true
		return nil, fmt.Errorf("read from target %s: %w", l.Server, err)
	}
	return msg, nil
}

// Buffered returns how many bytes can be received without waiting for the target.
func (l *Link) Buffered() int { return l.front.ReadBufferLen() }

// SetDeadline bounds all reads and writes. The zero time removes the bound.
func (l *Link) SetDeadline(t time.Time) {
	// The connection reports a failed deadline by failing the next read or write.
	_ = l.conn.SetDeadline(t)
}

// Break marks the link as unusable, so that the pool closes it.
func (l *Link) Break() { l.broken = true }

// Broken reports whether the link may not be used again.
func (l *Link) Broken() bool { return !l.keep && (l.broken || l.cancelled.Load()) }

// Close closes the connection to the target.
func (l *Link) Close() { _ = l.conn.Close() }

// Cancel asks the target to cancel the running statement over a separate connection. The link is not
// reused afterwards, because the cancellation may reach a later statement.
func (l *Link) Cancel(ctx context.Context) error {
	l.cancelled.Store(true)
	conn, err := l.dial(ctx, "tcp", l.addr)
	if err != nil {
		return fmt.Errorf("cancel at target %s: %w", l.Server, err)
	}
	defer conn.Close()
	buf, err := (&pgproto3.CancelRequest{ProcessID: l.pid, SecretKey: l.secret}).Encode(nil)
	if err != nil {
		return fmt.Errorf("encode cancel request: %w", err)
	}
	if _, err := conn.Write(buf); err != nil {
		return fmt.Errorf("cancel at target %s: %w", l.Server, err)
	}
	return nil
}

// QueueMode queues the statement that makes the transactions that start from now on read-only, or not. It
// returns the statement, whose answer ReceiveSimple reads, or an empty string if the link has the mode.
func (l *Link) QueueMode(readOnly bool) (string, error) {
	if l.readOnly == readOnly {
		return "", nil
	}
	l.readOnly = readOnly
	statement := "SET default_transaction_read_only = off"
	if readOnly {
		statement = "SET default_transaction_read_only = on"
	}
	return statement, l.QueueSimple(statement)
}

// Has reports whether the target has a prepared statement of this name.
func (l *Link) Has(name string) bool {
	_, ok := l.statements[name]
	return ok
}

// Prepared records that the target has a prepared statement. It returns the name of a statement to
// close when the bound is reached, or an empty string.
func (l *Link) Prepared(name string) (evict string) {
	if l.Has(name) {
		return ""
	}
	l.statements[name] = struct{}{}
	l.order = append(l.order, name)
	if len(l.order) <= maxStatements {
		return ""
	}
	evict = l.order[0]
	l.order = l.order[1:]
	delete(l.statements, evict)
	return evict
}
