package devplatform_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/platform"
)

func start(t *testing.T, c devplatform.Config) (*devplatform.Server, string) {
	t.Helper()
	s := devplatform.New(c)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server.URL
}

func client(t *testing.T, url, name string) *platform.HTTPStore {
	t.Helper()
	h, err := platform.NewHTTPStore(url, platform.Options{Client: name, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// promptly is well below the wait of a watch without faults.
const promptly = 5 * time.Second

// result returns the result of a watch, which must end long before its wait.
func result(t *testing.T, c <-chan watched) watched {
	t.Helper()
	select {
	case w := <-c:
		return w
	case <-time.After(promptly):
		t.Fatal("the watch is still waiting")
		return watched{}
	}
}

type watched struct {
	objects  []platform.Object
	revision uint64
	err      error
}

func watchFrom(ctx context.Context, h *platform.HTTPStore, after uint64) <-chan watched {
	c := make(chan watched, 1)
	go func() {
		objects, revision, err := h.Watch(ctx, "", after)
		c <- watched{objects, revision, err}
	}()
	return c
}

// Guards against versions, revisions and prefixes that differ from the published object API.
func TestObjectAPI(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, url := start(t, devplatform.Config{WatchWait: 20 * time.Millisecond})
	h := client(t, url, "a")

	_, err := h.Get(ctx, "owners/bne")
	is.True(errors.Is(err, platform.ErrNotFound))
	v, err := h.Put(ctx, "owners/bne", 0, []byte("one"))
	is.NoErr(err)
	is.Equal(v, uint64(1))
	_, err = h.Put(ctx, "owners/bne", 0, []byte("two"))
	is.True(errors.Is(err, platform.ErrConflict))
	_, err = h.Put(ctx, "keys", 0, []byte("k"))
	is.NoErr(err)
	v, err = h.Put(ctx, "owners/bne", 1, []byte("two"))
	is.NoErr(err)
	is.Equal(v, uint64(2))

	o, err := h.Get(ctx, "owners/bne")
	is.NoErr(err)
	is.Equal(o, platform.Object{Name: "owners/bne", Version: 2, Value: []byte("two")})
	objects, revision, err := h.List(ctx, "owners/")
	is.NoErr(err)
	is.Equal(objects, []platform.Object{o})
	is.Equal(revision, uint64(3))
	objects, revision, err = h.Watch(ctx, "", 2)
	is.NoErr(err)
	is.Equal(objects, []platform.Object{o})
	is.Equal(revision, uint64(3))
	objects, revision, err = h.Watch(ctx, "", 3)
	is.NoErr(err)
	is.Equal(len(objects), 0)
	is.Equal(revision, uint64(3))
	_, err = h.Put(ctx, "large", 0, make([]byte, platform.MaxValueSize+1))
	is.True(errors.Is(err, platform.ErrTooLarge))
}

// Guards against a server that relies on the client for the size limit.
func TestServerRefusesLargeValue(t *testing.T) {
	is := is.New(t)
	_, url := start(t, devplatform.Config{})
	body := strings.NewReader(strings.Repeat("x", platform.MaxValueSize+1))
	req, err := http.NewRequest(http.MethodPut, url+"/objects/a?version=0", body)
	is.NoErr(err)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// Guards against calls that bypass the quota, watches included, and against one quota for both kinds.
func TestQuotaPerKind(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	const exhausted = 0.001 // calls/s, less than one call at the start
	_, url := start(t, devplatform.Config{ReadsPerSecond: exhausted})
	h := client(t, url, "a")
	_, _, err := h.Watch(ctx, "", 0)
	is.True(errors.Is(err, platform.ErrOverQuota))
	_, _, err = h.List(ctx, "")
	is.True(errors.Is(err, platform.ErrOverQuota))
	_, err = h.VMs(ctx)
	is.True(errors.Is(err, platform.ErrOverQuota))
	_, err = h.Put(ctx, "a", 0, nil)
	is.NoErr(err)

	_, url = start(t, devplatform.Config{WritesPerSecond: exhausted})
	h = client(t, url, "a")
	_, err = h.VMs(ctx)
	is.NoErr(err)
	_, err = h.Put(ctx, "a", 0, nil)
	var q *platform.QuotaError
	is.True(errors.As(err, &q))
	is.Equal(q.RetryAfter, time.Second)
}

// Guards against an outage that leaves waiting watches or some calls working.
func TestDown(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, url := start(t, devplatform.Config{})
	h := client(t, url, "a")
	waiting := watchFrom(ctx, h, 0)
	time.Sleep(20 * time.Millisecond)
	s.SetFaults(devplatform.Faults{Down: true})
	is.True(errors.Is(result(t, waiting).err, platform.ErrUnavailable))
	_, err := h.Get(ctx, "a")
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = h.VMs(ctx)
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.NoErr(h.Register(ctx, platform.VM{Name: "vm1", Incarnation: "1"})) // the VM still runs
	s.SetFaults(devplatform.Faults{})
	_, err = h.VMs(ctx)
	is.NoErr(err)
}

// Guards against a cut that reaches other clients, that applies changes, or that spares a waiting watch.
func TestCutClients(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, url := start(t, devplatform.Config{})
	cut, other := client(t, url, "vm1"), client(t, url, "vm2")
	waiting := watchFrom(ctx, cut, 0)
	time.Sleep(20 * time.Millisecond)
	s.SetFaults(devplatform.Faults{CutClients: []string{"vm1"}, CutHoldMS: 10})
	is.True(errors.Is(result(t, waiting).err, platform.ErrUnavailable))
	_, err := cut.Put(ctx, "a", 0, nil)
	is.True(errors.Is(err, platform.ErrUnavailable))
	_, err = other.Put(ctx, "a", 0, nil)
	is.NoErr(err)
}

// Guards against changes that a client misses because its watch was cut or answered late.
func TestWatchCutAndLate(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, url := start(t, devplatform.Config{})
	h := client(t, url, "a")
	waiting := watchFrom(ctx, h, 0)
	time.Sleep(20 * time.Millisecond)
	s.SetFaults(devplatform.Faults{CutWatches: true})
	is.True(errors.Is(result(t, waiting).err, platform.ErrUnavailable))
	_, err := h.Put(ctx, "a", 0, []byte("x"))
	is.NoErr(err)

	const late = 60
	s.SetFaults(devplatform.Faults{LateWatchMS: late})
	began := time.Now()
	got := result(t, watchFrom(ctx, h, 0))
	is.NoErr(got.err)
	is.Equal(len(got.objects), 1)
	is.True(time.Since(began) >= late*time.Millisecond)
}

// Guards against faults that are ignored because of a misspelt name.
func TestFaultsPath(t *testing.T) {
	is := is.New(t)
	s, url := start(t, devplatform.Config{})
	put := func(body string) int {
		req, err := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.StatusCode
	}
	is.Equal(put(`{"lose_answer":1}`), http.StatusBadRequest)
	is.Equal(put(`{"lose_answers":1,"cut_clients":["vm1"]}`), http.StatusOK)
	is.Equal(s.Faults(), devplatform.Faults{LoseAnswers: 1, CutClients: []string{"vm1"}})
}

// Guards against a server that outlives its context because a watch is waiting.
func TestServeEnds(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- devplatform.New(devplatform.Config{}).Serve(ctx, ln) }()
	h := client(t, fmt.Sprintf("http://%s", ln.Addr()), "a")
	waiting := watchFrom(context.Background(), h, 0)
	time.Sleep(20 * time.Millisecond)
	cancel()
	is.NoErr(<-ended)
	is.True(errors.Is(result(t, waiting).err, platform.ErrUnavailable))
}
