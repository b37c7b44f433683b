package broker

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/statement"
)

// awaitPromotion waits until the broker has asked for a promotion and returns the server.
func awaitPromotion(t *testing.T, o *fakeOwner) string {
	t.Helper()
	end := time.Now().Add(10 * time.Second)
	for {
		o.mu.Lock()
		if len(o.promoted) > 0 {
			defer o.mu.Unlock()
			return o.promoted[0]
		}
		o.mu.Unlock()
		if time.Now().After(end) {
			t.Fatal("no server was promoted")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against writes at the former primary that are lost when a promotion takes effect after the owner has given it
// up: until its outcome is known, nothing may be written there, and callers are refused at once. The promotion takes effect
// on its own, or its repetition is accepted.
func TestUnknownPromotionMayTakeEffect(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprintf("late %t", late), func(t *testing.T) {
			is := is.New(t)
			f := newFakeServers()
			b, o := newBroker(t, f, 20)
			unknown := errors.New("no response")
			o.mu.Lock()
			o.promote = func(string) error { return unknown }
			o.mu.Unlock()
			f.silence("p")
			next := awaitPromotion(t, o)
			f.silence("") // p answers again and still leads
			end := time.Now().Add(time.Second)
			for time.Now().Before(end) {
				sent := time.Now()
				r := do(b, request(statement.Write, "WRITE a 1"))
				is.Equal(r.Response.Code, statement.Overloaded)
				is.True(time.Since(sent) < 500*time.Millisecond)
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(len(f.ran()), 0)
			if late {
				f.mu.Lock()
				f.primary = next
				f.term++
				f.mu.Unlock()
			} else {
				o.mu.Lock()
				o.promote = nil
				o.mu.Unlock()
			}
			end = time.Now().Add(5 * time.Second)
			for do(b, request(statement.Write, "WRITE b 1")).Response.Code != statement.OK {
				is.True(time.Now().Before(end))
				time.Sleep(20 * time.Millisecond)
			}
			for _, r := range f.ran() {
				is.Equal(r.server, next)
			}
		})
	}
}

// Guards against an outage that lasts for as long as no server can be promoted although the primary is back: a promotion
// that has no effect leaves the primary in use. The owner record is corrected, so that no later owner repeats it.
func TestRefusedPromotionLeavesPrimary(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, o := newBroker(t, f, 20)
	o.mu.Lock()
	o.promote = func(string) error { return fmt.Errorf("%w: not sent", ErrNotPromoted) }
	o.mu.Unlock()
	f.silence("p")
	awaitPromotion(t, o)
	f.silence("")
	is.Equal(do(b, request(statement.Write, "WRITE a 1")).Response.Code, statement.OK)
	is.Equal(f.ran()[0].server, "p")
	end := time.Now().Add(time.Second)
	for {
		o.mu.Lock()
		recorded := o.recorded
		o.mu.Unlock()
		if recorded == "p" {
			return
		}
		is.True(time.Now().Before(end))
		time.Sleep(time.Millisecond)
	}
}

// Guards against a group without a primary after a late order to step down.
func TestServiceOutlivesLateStepDown(t *testing.T) {
	is := is.New(t)
	f := newFakeServers()
	b, o := newBroker(t, f, 20)
	f.mu.Lock()
	f.primary = "" // p is a replica now
	f.inject = func(server string, c statement.Command) (statement.Code, bool) {
		if c.Kind == statement.Write && server != f.primary {
			return statement.ReadOnly, false
		}
		return statement.OK, false
	}
	f.mu.Unlock()
	is.Equal(awaitPromotion(t, o), "p")
	end := time.Now().Add(5 * time.Second)
	for do(b, request(statement.Write, "WRITE a 1")).Response.Code != statement.OK {
		is.True(time.Now().Before(end))
		time.Sleep(20 * time.Millisecond)
	}
}
