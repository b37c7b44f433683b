package scenario

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/testscript"
)

// connectOp opens a named connection of a caller, which replaces an earlier one of that name:
// connect NAME VM WORKSPACE [route=R] [key=K] [token=T] [readonly] [address=A]
func connectOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	options := map[string]string{}
	for _, a := range args[3:] {
		name, value, _ := strings.Cut(a, "=")
		options[name] = value
	}
	conn, err := w.dial(w.fleet.url(args[1], args[2], options["route"]), func(c *pgx.ConnConfig) {
		if key, ok := options["key"]; ok {
			c.Password = key
		}
		if token, ok := options["token"]; ok {
			c.RuntimeParams["siskinrouter.session"] = token
		}
		if _, ok := options["readonly"]; ok {
			c.RuntimeParams["default_transaction_read_only"] = "on"
		}
	})
	if err != nil {
		return "", describe(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.conns[args[0]]; old != nil {
		closeConn(old)
	}
	w.conns[args[0]] = conn
	return "", nil
}

func (w *world) dial(url string, change func(*pgx.ConnConfig)) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	if change != nil {
		change(cfg)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, cfg)
}

func closeConn(c *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.Close(ctx)
}

func (w *world) conn(name string) (*pgx.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.conns[name]
	if c == nil {
		return nil, fmt.Errorf("no connection %q", name)
	}
	return c, nil
}

// closeOp closes a connection: close NAME
func closeOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	c, err := w.conn(args[0])
	if err == nil {
		closeConn(c)
	}
	return "", err
}

// sqlOp runs a statement: sql NAME STATEMENT
func sqlOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	c, err := w.conn(args[0])
	if err != nil {
		return "", err
	}
	return query(c, strings.Join(args[1:], " "))
}

// query returns the rows of a statement, one a line, and its command tag.
func query(c *pgx.Conn, statement string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rows, err := c.Query(ctx, statement)
	if err != nil {
		return "", describe(err)
	}
	defer rows.Close()
	var out strings.Builder
	for rows.Next() {
		for i, v := range rows.RawValues() {
			if i > 0 {
				out.WriteByte(' ')
			}
			out.Write(v)
		}
		out.WriteByte('\n')
	}
	if err := rows.Err(); err != nil {
		return out.String(), describe(err)
	}
	fmt.Fprintln(&out, rows.CommandTag())
	return out.String(), nil
}

// describe adds the SQLSTATE and the detail to an error of the proxy.
func describe(err error) error {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return fmt.Errorf("%s %s: %s [%s]: %w", e.Severity, e.Code, e.Message, e.Detail, err)
	}
	return err
}

// sqlStartOp runs a statement in the background, and sqlWaitOp returns its result:
// sqlstart NAME STATEMENT, sqlwait NAME
func sqlStartOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	c, err := w.conn(args[0])
	if err != nil {
		return "", err
	}
	done := make(chan outcome, 1)
	w.remote[args[0]] = done
	go func() {
		out, err := query(c, strings.Join(args[1:], " "))
		done <- outcome{out, err}
	}()
	return "", nil
}

func sqlWaitOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	done := w.remote[args[0]]
	if done == nil {
		return "", fmt.Errorf("no statement of connection %q runs", args[0])
	}
	delete(w.remote, args[0])
	o := <-done
	return o.out, o.err
}

// tokenOp sets a variable to the session token of a connection: token NAME VAR
func tokenOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	c, err := w.conn(args[0])
	if err != nil {
		return "", err
	}
	out, err := query(c, "SHOW siskinrouter.session")
	if err != nil {
		return "", err
	}
	token, _, _ := strings.Cut(out, "\n")
	ts.Setenv(args[1], token)
	return "", nil
}

var idPattern = regexp.MustCompile(`id=([^\]\s]+)`)

// refusalIDOp runs a statement that must be refused and sets a variable to the id of the refusal:
// refusal-id VAR NAME STATEMENT
func refusalIDOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	out, err := sqlOp(w, ts, args[1:])
	if err == nil {
		return out, fmt.Errorf("the statement was not refused: %s", out)
	}
	m := idPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return "", fmt.Errorf("the refusal names no id: %w", err)
	}
	ts.Setenv(args[0], m[1])
	return err.Error(), nil
}

// rawOp sends bytes to a VM as a caller and returns what comes back until the VM closes the connection,
// as text: raw VM BYTES..., where BYTES are hexadecimal, "startup" or "zeros:N". An error says that the
// connection is still open at the end of the time.
func rawOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	conn, err := net.DialTimeout("tcp", w.fleet.vms[args[0]].callers, callTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	for _, a := range args[1:] {
		b, err := rawBytes(a)
		if err != nil {
			return "", err
		}
		if _, err := conn.Write(b); err != nil {
			break // the VM may have closed the connection already
		}
	}
	answer, err := io.ReadAll(conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return string(answer), fmt.Errorf("the connection is still open")
	}
	return strings.ToValidUTF8(strings.ReplaceAll(string(answer), "\x00", " "), "?"), nil
}

func rawBytes(text string) ([]byte, error) {
	var n int
	if _, err := fmt.Sscanf(text, "zeros:%d", &n); err == nil {
		return make([]byte, n), nil
	}
	if text == "startup" {
		body := "\x00\x03\x00\x00user\x00w2\x00database\x00ledger.public\x00\x00"
		return append([]byte{0, 0, 0, byte(len(body) + 4)}, body...), nil
	}
	return hex.DecodeString(text)
}
