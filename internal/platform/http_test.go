package platform_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/platform"
)

func start(t *testing.T, timeout time.Duration) (*devplatform.Server, *platform.HTTPStore) {
	t.Helper()
	s := devplatform.New(devplatform.Config{WritesPerSecond: devplatform.Unlimited})
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	h, err := platform.NewHTTPStore(server.URL, platform.Options{Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return s, h
}

// Guards against retried updates, whose first attempt may have taken effect, and against reads
// that are retried without limit or although the quota is exceeded.
func TestOnlyReadsAreRepeated(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var calls atomic.Int32
	var code atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(int(code.Load()))
	}))
	defer server.Close()
	h, err := platform.NewHTTPStore(server.URL, platform.Options{})
	is.NoErr(err)
	defer h.Close()
	for _, test := range []struct {
		code  int
		err   error
		reads int32
	}{
		{http.StatusServiceUnavailable, platform.ErrUnavailable, 3},
		{http.StatusTooManyRequests, platform.ErrOverQuota, 1},
		{http.StatusNotFound, platform.ErrNotFound, 1},
		{http.StatusConflict, platform.ErrConflict, 1},
		{http.StatusOK, platform.ErrUnavailable, 3}, // the body is missing
	} {
		code.Store(int32(test.code))
		calls.Store(0)
		_, err = h.Get(ctx, "a")
		is.True(errors.Is(err, test.err))
		is.Equal(calls.Load(), test.reads)
		calls.Store(0)
		_, err = h.Put(ctx, "a", 0, nil)
		is.True(errors.Is(err, test.err))
		is.Equal(calls.Load(), int32(1))
	}
	code.Store(http.StatusTeapot)
	_, err = h.Put(ctx, "a", 0, nil)
	is.True(err != nil)
	is.True(!errors.Is(err, platform.ErrUnavailable)) // the platform refused it, so it has no effect
}

// Guards against calls that outlive their context or their own timeout.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	s, h := start(t, 50*time.Millisecond)
	s.SetFaults(devplatform.Faults{DelayMS: 2000})
	began := time.Now()
	_, err := h.Put(context.Background(), "a", 0, nil)
	is.True(errors.Is(err, platform.ErrUnavailable))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = h.Get(ctx, "a")
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(time.Since(began) < time.Second)
}

// Guards against object names that a URL path would alter.
func TestNames(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"keys", "owners/bne", "audit/00001", "groups/swap-ledger.1"} {
		is.NoErr(platform.CheckName(name))
	}
	for _, name := range []string{"", "/a", "a/", "a//b", "a/../b", ".", "a?b", "a b", "a%2fb", "ä"} {
		is.True(platform.CheckName(name) != nil)
	}
	for _, u := range []string{"", "127.0.0.1:7700", "ftp://127.0.0.1", "http://"} {
		_, err := platform.NewHTTPStore(u, platform.Options{})
		is.True(err != nil)
	}
}
