package capacity

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskinrouter/internal/devtarget"
	"siskinrouter/internal/link"
	"siskinrouter/internal/promotion"
	"siskinrouter/internal/session"
)

const (
	manyGroups  = 100
	statusQuery = "SHOW group_status"
)

// lightServer answers logins and status queries with fixed bytes. Thousands of them fit into the
// process, and their own cost is measured and taken off.
type lightServer struct {
	ln     net.Listener
	answer []byte
	probes *atomic.Int64
}

// statusAnswer returns the bytes with which a stand-in answers a status query.
func statusAnswer() ([]byte, error) {
	s, err := devtarget.New(devtarget.ServerConfig{Name: "plan-g0001-s1", ConnectTime: -1, Primary: devtarget.Self})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	pg, err := link.Connect(ctx, s.Address(), link.Credentials{User: devtarget.DefaultUser, Password: devtarget.DefaultPassword})
	if err != nil {
		return nil, err
	}
	hijacked, err := pg.Hijack()
	if err != nil {
		return nil, err
	}
	defer hijacked.Conn.Close()
	if _, err := hijacked.Conn.Write(statusRequest()); err != nil {
		return nil, err
	}
	if err := hijacked.Conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	var answer []byte
	buf := make([]byte, 4096)
	for !bytes.HasSuffix(answer, []byte{'Z', 0, 0, 0, 5, 'I'}) {
		n, err := hijacked.Conn.Read(buf)
		if err != nil {
			return nil, err
		}
		answer = append(answer, buf[:n]...)
	}
	return answer, nil
}

// statusRequest returns the bytes of a status query.
func statusRequest() []byte {
	request, err := (&pgproto3.Query{String: statusQuery}).Encode(nil)
	if err != nil {
		panic(err) // a constant text has no encoding error
	}
	return request
}

// rowAnswer returns the answer to a status query with one status row.
func rowAnswer(st promotion.Status) ([]byte, error) {
	var fields []pgproto3.FieldDescription
	for _, name := range promotion.StatusColumns {
		fields = append(fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1})
	}
	var values [][]byte
	for _, v := range st.Row() {
		values = append(values, []byte(v))
	}
	return encodeAll(
		&pgproto3.RowDescription{Fields: fields}, &pgproto3.DataRow{Values: values},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	)
}

func encodeAll(messages ...pgproto3.BackendMessage) (out []byte, err error) {
	for _, m := range messages {
		if out, err = m.Encode(out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (s *lightServer) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *lightServer) serve(conn net.Conn) {
	defer conn.Close()
	if s.greet(conn) != nil {
		return
	}
	var header [5]byte
	body := make([]byte, 256)
	for {
		if _, err := io.ReadFull(conn, header[:]); err != nil {
			return
		}
		length := int(binary.BigEndian.Uint32(header[1:])) - 4
		if length < 0 || length > len(body) {
			return
		}
		if _, err := io.ReadFull(conn, body[:length]); err != nil {
			return
		}
		s.probes.Add(1)
		if _, err := conn.Write(s.answer); err != nil {
			return
		}
	}
}

// greet accepts any login.
func (s *lightServer) greet(conn net.Conn) error {
	if _, err := pgproto3.NewBackend(conn, conn).ReceiveStartupMessage(); err != nil {
		return err
	}
	out, err := encodeAll(&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err != nil {
		return err
	}
	_, err = conn.Write(out)
	return err
}

// lightServers starts n servers in groups of three, of which the first is the primary.
func lightServers(n int) ([]*lightServer, *atomic.Int64, error) {
	probes := new(atomic.Int64)
	var all []*lightServer
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stopServers(all)
			return nil, nil, err
		}
		s := &lightServer{ln: ln, probes: probes}
		all = append(all, s)
		at := session.Position{Term: 1, Offset: 1000}
		st := promotion.Status{
			Server: "plan-g0001-s1", Role: promotion.Replica, Promised: 1, Held: at, Applied: at,
			Primary: all[i-i%3].ln.Addr().String(),
		}
		if i%3 == 0 {
			st.Role = promotion.Primary
		}
		if s.answer, err = rowAnswer(st); err != nil {
			stopServers(all)
			return nil, nil, err
		}
		go s.accept()
	}
	return all, probes, nil
}

func stopServers(all []*lightServer) {
	for _, s := range all {
		_ = s.ln.Close()
	}
}

// usage is what a daemon uses while it watches servers.
type usage struct {
	memory float64 // bytes beyond the state before its start
	cpu    float64 // microseconds per second
	probes float64 // per second
}

// watch runs a daemon that watches n groups of light servers, and returns what the process uses.
func (r *run) watch(groups int, probe time.Duration) (usage, error) {
	d := deployment(groups, 1)
	servers, probes, err := lightServers(3 * groups)
	if err != nil {
		return usage{}, err
	}
	defer stopServers(servers)
	addresses := map[string]string{}
	for g := range groups {
		for i := range 3 {
			addresses[d.ServerName(g, i)] = servers[3*g+i].ln.Addr().String()
		}
	}
	before := live()
	n, err := startNode(d, addresses, newStore(), probe)
	if err != nil {
		return usage{}, err
	}
	defer n.stop()
	var u usage
	if err := await(func() error {
		if probes.Load() < int64(3*groups) {
			return errors.New("not every server has been probed")
		}
		return nil
	}); err != nil {
		return u, err
	}
	time.Sleep(settle)
	u.memory = live() - before
	count := probes.Load()
	u.cpu, err = idleCPU(r)
	u.probes = float64(probes.Load()-count) / r.time(idlePhase).Seconds()
	return u, err
}

// exchange measures the cost of light servers and bare clients that send status queries at the same
// times as a daemon: memory per server and processor time per query, both sides.
func (r *run) exchange(n int, interval time.Duration) (memory, perQuery float64, err error) {
	servers, probes, err := lightServers(n)
	if err != nil {
		return 0, 0, err
	}
	defer stopServers(servers)
	before := live()
	var conns []net.Conn
	defer func() { closeAll(conns) }()
	for _, s := range servers {
		c, err := login(s.ln.Addr().String(), "u", "d")
		if err != nil {
			return 0, 0, err
		}
		conns = append(conns, c)
	}
	time.Sleep(settle)
	memory = (live() - before) / float64(n)
	var wg sync.WaitGroup
	end := time.Now().Add(r.time(idlePhase))
	count := probes.Load()
	total, err := micros(1, func() error {
		for i, c := range conns {
			wg.Go(func() { ask(c, len(servers[i].answer), interval, end) })
		}
		wg.Wait()
		return nil
	})
	return memory, total / float64(max(probes.Load()-count, 1)), err
}

// ask sends status queries at an interval until a time.
func ask(c net.Conn, answer int, interval time.Duration, end time.Time) {
	buf, request := make([]byte, answer), statusRequest()
	for time.Now().Before(end) {
		if _, err := c.Write(request); err != nil {
			return
		}
		if _, err := io.ReadFull(c, buf); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// measureServers measures watched servers and their probes. Half of a bare exchange is the stand-in's.
func measureServers(_ context.Context, r *run) error {
	groups := r.count(manyGroups)
	one, err := r.watch(1, probeSlow)
	if err != nil {
		return err
	}
	fast, err := r.watch(groups, probeDefault)
	if err != nil {
		return err
	}
	slow, err := r.watch(groups, probeSlow)
	if err != nil {
		return err
	}
	bare, err := bareConnection(3 * groups)
	if err != nil {
		return err
	}
	standIn, query, err := r.exchange(3*groups, probeDefault)
	if err != nil {
		return err
	}
	servers := float64(3 * (groups - 1))
	perProbe := (fast.cpu - slow.cpu) / (fast.probes - slow.probes)
	r.set("daemon.memory", one.memory)
	r.set("daemon.idle", one.cpu)
	r.set("server.memory", (fast.memory-one.memory)/servers-(standIn-bare))
	r.set("probe.cpu", perProbe-query/2)
	r.set("server.idle", (slow.cpu-one.cpu-(slow.probes-one.probes)*perProbe)/servers)
	answer, err := statusAnswer()
	r.set("probe.bytes", float64(len(statusRequest())+len(answer)))
	return err
}
