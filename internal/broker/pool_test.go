package broker

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/statement"
)

// maxRefusedDials is the number of connection attempts per day that a server may refuse at its limit.
const maxRefusedDials = 20

// Guards against a new owner that floods a server which still counts the connections of a failed owner: each
// statement requested another connection as soon as one was refused. The load is one statement per millisecond; the
// connections of the former owner end after three seconds.
func TestConnLimitAfterOwnerFailure(t *testing.T) {
	is := is.New(t)
	const serverTakes, lingering, linger = 60, 60, 3 * time.Second
	r := connLimit{configured: serverTakes}
	open, refused := 0, 0
	var full time.Duration // when all connections of the server were in use
	for now := time.Duration(0); now < 8*time.Second && full == 0; now += time.Millisecond {
		if open >= r.current(now) {
			continue
		}
		taken := open
		if now < linger {
			taken += lingering
		}
		if taken >= serverTakes {
			refused++
			r.refused(now, now, open)
			continue
		}
		open++
		r.accepted(open)
		if open == serverTakes {
			full = now
		}
	}
	t.Logf("%d connections refused, all open after %v", refused, full)
	is.True(refused < maxRefusedDials)
	is.True(full > 0 && full < linger+maxConnBackoff+time.Second)
}

// Guards against counting the refusals of one round several times: connections that were already being opened at the
// first refusal carry no new information.
func TestConnLimitCountsARoundOnce(t *testing.T) {
	is := is.New(t)
	r := connLimit{configured: 20}
	is.Equal(r.current(0), 20)
	for left := 4; left >= 0; left-- {
		r.refused(10*time.Millisecond, 0, left)
	}
	is.Equal(r.current(11*time.Millisecond), 0)
	is.Equal(r.current(11*time.Millisecond+minConnBackoff), 1)
}

// Guards against servers that refuse connections by the hundred while a service changes its owner, and against
// callers that are refused although a connection becomes free before their timeout. The load is 40 callers that each
// send a write; the servers are full for 600 ms.
func TestFullServersAreNotFlooded(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, _ := newBroker(t, f, 20)
	f.mu.Lock()
	f.full = true
	f.mu.Unlock()
	time.AfterFunc(600*time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.full = false
	})
	const callers = 40
	codes := make(chan statement.Code, callers)
	for range callers {
		go func() {
			req := request(statement.Write, "WRITE a 1")
			req.Timeout = 2 * time.Second
			codes <- do(b, req).Response.Code
		}()
	}
	served := 0
	for range callers {
		if <-codes == statement.OK {
			served++
		}
	}
	f.mu.Lock()
	dials := f.dials
	f.mu.Unlock()
	t.Logf("%d of %d served, %d connections requested", served, callers, dials)
	is.True(dials < maxRefusedDials+20)
	is.True(served >= callers*9/10)
}

// Guards against many small workspaces that each open a connection to every server for a few reads: opening one holds
// a slot for about as long as a read. The load is 40 workspaces with 15 reads each, four at a time.
func TestWorkspacesKeepToTheirConnections(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	f.serviceTime, f.dialTime = 6*time.Millisecond, 4*time.Millisecond
	b, _ := newBroker(t, f, 100)
	const workspaces, reads, atOnce = 40, 15, 4
	work := make(chan int)
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			for i := range work {
				req := request(statement.Read, "READ a")
				req.Workspace = fmt.Sprintf("ws-%d", i%workspaces)
				req.Consistency = directory.BoundedStaleness
				req.MaxStaleness = 10 * time.Second
				is.Equal(do(b, req).Response.Code, statement.OK)
			}
		})
	}
	for i := range workspaces * reads {
		work <- i
	}
	close(work)
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%d connections opened for %d workspaces", f.dials, workspaces)
	is.True(f.dials <= workspaces*3/2) // one for each, and half as many for concurrent reads
}

// Guards against a workspace that loses its only connection while another one keeps several, and against an owner
// whose idle connections leave no room for its successor.
func TestIdleConnections(t *testing.T) {
	is := is.New(t)
	p := pool{limit: connLimit{configured: 4}, idle: map[string][]*conn{}}
	var closed []string
	for i, workspace := range []string{"small", "large", "large", "large"} {
		p.open++
		if c := p.release(time.Duration(i), &conn{workspace: workspace}); c != nil {
			closed = append(closed, c.workspace)
		}
	}
	is.Equal(closed, []string{"large"})
	is.Equal(len(p.idle["small"]), 1)
	is.Equal(p.open, 3)
}
