package devtarget

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"siskinrouter/internal/promotion"
	"siskinrouter/internal/session"
	"siskinrouter/internal/sleep"
	"siskinrouter/internal/verdict"
)

// result is the outcome of a statement.
type result struct {
	rows [][][]byte
	tag  string
}

func row(values ...string) [][]byte {
	r := make([][]byte, len(values))
	for i, v := range values {
		r[i] = []byte(v)
	}
	return r
}

func one(tag string, values ...string) result {
	return result{rows: [][][]byte{row(values...)}, tag: tag}
}

// execute runs one bound statement.
func (c *conn) execute(stmt statement) (result, error) {
	c.s.count(string(stmt.kind))
	if c.failed && stmt.kind != kindCommit && stmt.kind != kindRollback {
		return result{}, refuse("25P02", "the transaction has failed; statements are ignored until it ends")
	}
	switch stmt.kind {
	case kindBegin:
		return result{tag: "BEGIN"}, c.begin(stmt)
	case kindCommit:
		return c.commit()
	case kindRollback:
		c.rollback()
		return result{tag: "ROLLBACK"}, nil
	case kindSet:
		c.set(stmt.setting)
		return result{tag: "SET"}, nil
	}
	ctx, cancel := c.startStatement()
	defer cancel()
	if stmt.kind.control() {
		return c.s.control(ctx, stmt)
	}
	if c.tx == nil {
		c.openTx(true)
	}
	return c.s.ledger(ctx, c.tx, stmt)
}

// startStatement returns a context that ends with the connection or by a cancel request.
func (c *conn) startStatement() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.s.mu.Lock()
	c.running = cancel
	c.s.mu.Unlock()
	return ctx, func() {
		c.s.mu.Lock()
		c.running = nil
		c.s.mu.Unlock()
		cancel(nil)
	}
}

func (c *conn) openTx(implicit bool) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.tx = &tx{implicit: implicit, readOnly: c.readOnly, written: map[string]string{}, commit: Commit{Client: c.app}}
	c.s.txs[c.tx] = struct{}{}
}

// set changes the mode of the transactions that start on this connection.
func (c *conn) set(setting string) {
	switch setting {
	case "default_transaction_read_only=on":
		c.readOnly = true
	case "default_transaction_read_only=off":
		c.readOnly = false
	}
}

func (c *conn) begin(stmt statement) error {
	switch {
	case c.tx == nil:
		c.openTx(false)
	case !c.tx.implicit:
		return refuse("25001", "a transaction is already open")
	}
	c.tx.implicit = false
	c.tx.readOnly = (c.readOnly && !stmt.readWrite) || stmt.readOnly
	return nil
}

func (c *conn) commit() (result, error) {
	if c.failed {
		c.rollback()
		return result{tag: "ROLLBACK"}, nil
	}
	if c.tx == nil {
		return result{tag: "COMMIT"}, nil
	}
	return result{tag: "COMMIT"}, c.commitTx()
}

func (c *conn) rollback() {
	c.failed = false
	if c.tx != nil {
		c.abort()
	}
}

// endImplicit commits the implicit transaction of a query or Sync.
func (c *conn) endImplicit() error {
	if c.tx == nil || !c.tx.implicit {
		return nil
	}
	return c.commitTx()
}

func (c *conn) commitTx() error {
	if err := c.s.lock(c.ctx); err != nil {
		return err
	}
	defer c.s.mu.Unlock()
	t := c.tx
	c.tx = nil
	at, err := c.s.commit(t)
	if err != nil {
		return refuse(verdict.StateReadOnly, "transaction rolled back: %v", err)
	}
	if at != (session.Position{}) {
		c.wrote = at.String()
	}
	return nil
}

// control runs a statement of the group protocol. It needs no slot.
func (s *Server) control(ctx context.Context, stmt statement) (result, error) {
	if stmt.kind == kindWait {
		return s.groupWait(ctx, stmt)
	}
	var term uint64
	if stmt.kind != kindStatus {
		t, err := number[uint64](stmt, 0)
		if err != nil {
			return result{}, err
		}
		term = t
	}
	if err := s.lock(ctx); err != nil {
		return result{}, err
	}
	defer s.mu.Unlock()
	granted := false
	switch stmt.kind {
	case kindStatus:
		return one("SHOW", s.status().Row()...), nil
	case kindFence:
		granted = s.member.Fence(term, stmt.args[1].text)
	case kindPromote:
		granted = s.promote(term, stmt.args[1].text)
	case kindFollow:
		granted = s.member.Follow(term, stmt.args[1].text)
	}
	s.notify()
	return one("SELECT 1", append([]string{strconv.FormatBool(granted)}, s.status().Row()...)...), nil
}

// groupWait waits until the server holds a position, has promised a higher term, or the time
// has elapsed.
func (s *Server) groupWait(ctx context.Context, stmt statement) (result, error) {
	var args [3]uint64
	for i := range args {
		n, err := number[uint64](stmt, i)
		if err != nil {
			return result{}, err
		}
		args[i] = n
	}
	pos := session.Position{Term: args[0], Offset: args[1]}
	limited, cancel := context.WithTimeoutCause(ctx, time.Duration(args[2])*time.Millisecond, errElapsed)
	defer cancel()
	err := s.lockWhen(limited, func() bool {
		return !s.faults.frozen && (s.member.Contains(pos) || s.member.Status().Promised > pos.Term)
	})
	if errors.Is(err, errElapsed) {
		err = s.lock(ctx)
	}
	if err != nil {
		return result{}, err
	}
	defer s.mu.Unlock()
	return one("SELECT 1", s.status().Row()...), nil
}

// errElapsed ends a group_wait whose time has elapsed.
var errElapsed = errors.New("wait time has elapsed")

// number returns an integer argument.
func number[T int64 | uint64](stmt statement, i int) (T, error) {
	n, err := strconv.ParseInt(stmt.args[i].text, 10, 64)
	if err != nil || (T(n) > 0) != (n > 0) {
		return 0, refuse("22P02", "argument %d of %s is not a valid number: %q", i+1, stmt.kind, stmt.args[i].text)
	}
	return T(n), nil
}

// ledger runs a statement of a transaction.
func (s *Server) ledger(ctx context.Context, t *tx, stmt statement) (result, error) {
	switch stmt.kind {
	case kindRequest:
		return s.request(ctx, t, stmt.args[0].text)
	case kindOutcome:
		return s.outcome(ctx, t, stmt)
	}
	if stmt.kind == kindPut || stmt.kind == kindAdd {
		if err := s.lockKey(ctx, t, "key "+stmt.args[0].text); err != nil {
			return result{}, err
		}
	}
	if err := s.slots.Acquire(ctx, 1); err != nil {
		return result{}, context.Cause(ctx)
	}
	defer s.slots.Release(1)
	if err := s.serviceTime(ctx, stmt); err != nil {
		return result{}, err
	}
	switch stmt.kind {
	case kindPut:
		return s.put(ctx, t, stmt)
	case kindAdd:
		return s.add(ctx, t, stmt)
	case kindGet:
		return s.get(ctx, t, stmt.args[0].text)
	case kindRows:
		return rows(stmt)
	case kindSleep:
		return result{tag: "SLEEP"}, nil
	case kindSelect1:
		return one("SELECT 1", "1"), nil
	}
	return result{}, refuse(verdict.StateInternal, "statement %s has no implementation", stmt.kind)
}

// serviceTime occupies the slot for the time that the statement takes.
func (s *Server) serviceTime(ctx context.Context, stmt statement) error {
	s.mu.Lock()
	d := s.faults.serviceTime
	s.mu.Unlock()
	if stmt.kind == kindSleep {
		ms, err := number[int64](stmt, 0)
		if err != nil {
			return err
		}
		d += time.Duration(ms) * time.Millisecond
	}
	return sleep.For(ctx, d)
}

// lockKey takes the exclusive lock that a transaction needs before it writes a key or looks up
// a request id.
func (s *Server) lockKey(ctx context.Context, t *tx, key string) error {
	if err := s.lock(ctx); err != nil {
		return err
	}
	if err := s.writable(t); err != nil {
		s.mu.Unlock()
		return err
	}
	ready := s.locks.acquire(key, t)
	s.mu.Unlock()
	if ready == nil {
		return nil
	}
	timer := time.NewTimer(lockTimeout)
	defer timer.Stop()
	var err error
	select {
	case <-ready:
		return nil
	case <-timer.C:
		err = refuse("55P03", "lock of %s was not available within %v", key, lockTimeout)
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.locks.abandon(key, t)
	return err
}

// writable checks that t may write, and binds t to the term of its first write. Another term in
// between means that the server may have taken over a log in which the values read by t have
// changed. The caller holds mu.
func (s *Server) writable(t *tx) error {
	st := s.member.Status()
	switch {
	case t.readOnly:
		return refuse(verdict.StateReadOnly, "cannot write in a read-only transaction")
	case st.Role != promotion.Primary:
		return refuse(verdict.StateReadOnly, "cannot write: server %s is %s in term %d", st.Server, st.Role, st.Promised)
	case t.term != 0 && t.term != st.Promised:
		return refuse(verdict.StateReadOnly, "transaction began in term %d, but the term is %d", t.term, st.Promised)
	}
	t.term = st.Promised
	return nil
}

func (s *Server) put(ctx context.Context, t *tx, stmt statement) (result, error) {
	if err := s.lock(ctx); err != nil {
		return result{}, err
	}
	defer s.mu.Unlock()
	if err := s.writable(t); err != nil {
		return result{}, err
	}
	t.set(stmt.args[0].text, stmt.args[1].text)
	return result{tag: "PUT 1"}, nil
}

func (s *Server) add(ctx context.Context, t *tx, stmt statement) (result, error) {
	n, err := number[int64](stmt, 1)
	if err != nil {
		return result{}, err
	}
	if err := s.lock(ctx); err != nil {
		return result{}, err
	}
	defer s.mu.Unlock()
	if err := s.writable(t); err != nil {
		return result{}, err
	}
	key := stmt.args[0].text
	old, exists := s.read(t, key)
	sum := n
	if exists {
		v, err := strconv.ParseInt(old, 10, 64)
		if err != nil {
			return result{}, refuse("22P02", "value of key %q is not a number: %q", key, old)
		}
		sum += v
	}
	value := strconv.FormatInt(sum, 10)
	t.set(key, value)
	return one("ADD 1", value), nil
}

func (s *Server) get(ctx context.Context, t *tx, key string) (result, error) {
	if err := s.lock(ctx); err != nil {
		return result{}, err
	}
	defer s.mu.Unlock()
	value, exists := s.read(t, key)
	if !exists {
		return result{tag: "GET 0"}, nil
	}
	return one("GET 1", value), nil
}

// read returns the value that t sees: its own write or the applied value. The caller holds mu.
func (s *Server) read(t *tx, key string) (string, bool) {
	if v, own := t.written[key]; own {
		return v, true
	}
	v, exists := s.store.values[key]
	return v, exists
}

func (t *tx) set(key, value string) {
	t.written[key] = value
	t.commit.Writes = append(t.commit.Writes, Write{Key: key, Value: value})
}

// maxRows bounds the result of one ROWS statement, which is built in memory.
const maxRows = 1_000_000

func rows(stmt statement) (result, error) {
	n, err := number[int64](stmt, 0)
	if err != nil {
		return result{}, err
	}
	if n < 0 || n > maxRows {
		return result{}, refuse("22003", "ROWS takes a number from 0 to %d", maxRows)
	}
	res := result{tag: fmt.Sprintf("ROWS %d", n), rows: make([][][]byte, n)}
	for i := range res.rows {
		res.rows[i] = row(strconv.Itoa(i+1), fmt.Sprintf("row %d of %d", i+1, n))
	}
	return res, nil
}

// request looks up a request id. It locks the id, so that concurrent transactions with the same
// id run one after the other.
func (s *Server) request(ctx context.Context, t *tx, id string) (result, error) {
	if err := s.lockKey(ctx, t, "request "+id); err != nil {
		return result{}, err
	}
	if err := s.lock(ctx); err != nil {
		return result{}, err
	}
	defer s.mu.Unlock()
	if err := s.writable(t); err != nil {
		return result{}, err
	}
	o, done := s.store.requests[id]
	if !done {
		return one("SELECT 1", "new", "", "0", "0"), nil
	}
	term, offset := strconv.FormatUint(o.at.Term, 10), strconv.FormatUint(o.at.Offset, 10)
	return one("SELECT 1", "done", o.tag, term, offset), nil
}

// outcome records a request id with its outcome tag in the transaction.
func (s *Server) outcome(ctx context.Context, t *tx, stmt statement) (result, error) {
	id, tag := stmt.args[0].text, stmt.args[1].text
	if err := s.lockKey(ctx, t, "request "+id); err != nil {
		return result{}, err
	}
	if err := s.lock(ctx); err != nil {
		return result{}, err
	}
	defer s.mu.Unlock()
	if err := s.writable(t); err != nil {
		return result{}, err
	}
	if _, done := s.store.requests[id]; done {
		return result{}, refuse(verdict.StateDuplicateRequest, "request %q has already been executed", id)
	}
	t.commit.Requests = append(t.commit.Requests, Request{ID: id, Tag: tag})
	return result{tag: "SELECT 1"}, nil
}
