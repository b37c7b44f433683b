package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/verdict"
)

// inputConn is a connection that delivers fixed input and discards output.
type inputConn struct {
	net.Conn
	in *bytes.Reader
}

func (c inputConn) Read(b []byte) (int, error)       { return c.in.Read(b) }
func (c inputConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c inputConn) SetReadDeadline(time.Time) error  { return nil }
func (c inputConn) SetWriteDeadline(time.Time) error { return nil }

const fuzzMessageLimit = 4 << 10 // bytes

func fuzzSession(input []byte) *callerSession {
	s := NewServer(Config{Policy: &fakePolicy{}, Metrics: NewMetrics(metrics.NewRegistry()), MaxMessage: fuzzMessageLimit, MaxBatch: 4 * fuzzMessageLimit})
	c := newCallerSession(s, inputConn{in: bytes.NewReader(input)})
	c.access.Store(&Access{})
	return c
}

// FuzzReadBatch guards against callers that make the proxy panic, build a batch without bound, or forward a
// message whose length is wrong, by any sequence of bytes after the login.
func FuzzReadBatch(f *testing.F) {
	seed := func(messages ...pgproto3.FrontendMessage) {
		var b []byte
		for _, m := range messages {
			b, _ = m.Encode(b)
		}
		f.Add(b)
	}
	seed(&pgproto3.Query{String: "SET siskinrouter.request_id = 'a'"}, &pgproto3.Terminate{})
	seed(&pgproto3.Parse{Name: "s", Query: "GET $1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{},
		&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("k"), nil}}, &pgproto3.Execute{}, &pgproto3.Flush{})
	seed(&pgproto3.Close{ObjectType: 'P'}, &pgproto3.CopyDone{}, &pgproto3.FunctionCall{}, &pgproto3.Sync{})
	f.Add([]byte{'Q', 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		c := fuzzSession(input)
		for {
			b, err := c.readBatch()
			if err != nil {
				checkReadError(t, err)
				return
			}
			checkBatch(t, b)
			if b.terminate {
				return
			}
		}
	})
}

// checkReadError accepts the end of the input and refusals that say that nothing ran.
func checkReadError(t *testing.T, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	var e *verdict.Error
	if !errors.As(err, &e) || e.Verdict != verdict.NotRun {
		t.Fatalf("error without the verdict not run: %v", err)
	}
}

func checkBatch(t *testing.T, b *batch) {
	b.runs()
	b.text()
	end := 0
	for _, it := range b.items {
		if it.start != end || it.end-it.start < 5 {
			t.Fatalf("message at %d to %d after %d", it.start, it.end, end)
		}
		m := b.buf[it.start:it.end]
		length := int(m[1])<<24 | int(m[2])<<16 | int(m[3])<<8 | int(m[4])
		if length != len(m)-1 {
			t.Fatalf("message of %d bytes says that it has %d", len(m), length+1)
		}
		end = it.end
	}
}
