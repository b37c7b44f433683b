package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/session"
	"siskinrouter/internal/statement"
)

// Guards against the loss of acknowledged commits of a service with a synchronous replica: the only server that can be
// promoted has not received them. Writes are refused at once until a server that has them answers again.
func TestFailoverKeepsAcknowledgedCommits(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	f.syncReplicas = 1
	f.received = map[string]session.Position{"r2": {Term: 1}} // r2 receives nothing
	b, o := newBroker(t, f, 20)
	is.Equal(do(b, request(statement.Write, "WRITE a 1")).Response.Code, statement.OK)
	f.mu.Lock()
	f.inject = func(server string, c statement.Command) (statement.Code, bool) { return statement.OK, server != "r2" }
	f.mu.Unlock()
	var last time.Duration
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		sent := time.Now()
		is.True(do(b, request(statement.Write, "WRITE b 1")).Response.Code != statement.OK)
		last = time.Since(sent)
	}
	is.True(last < 100*time.Millisecond)
	o.mu.Lock()
	is.Equal(len(o.promoted), 0)
	o.mu.Unlock()
	f.silence("p")
	awaitOtherPrimary(t, b)
	is.Equal(b.primaryID(), "r1")
}
