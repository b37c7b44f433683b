package platform

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"siskinrouter/internal/sleep"
	"strconv"
	"strings"
	"time"
)

// ClientHeader is the request header that carries the name of the client.
const ClientHeader = "X-Client"

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = 1 * time.Second
	// A full store of audit records is about 10 MB. The limit keeps a faulty response from
	// exhausting the memory of a VM.
	maxResponseSize = 64 << 20
	maxErrorText    = 512 // bytes of an error response that are quoted
	maxIdleConns    = 16
)

// Reads are retried a few times to cover a lost packet or a restart of one platform server. Longer
// outages are left to the retry loops of the calling code.
const (
	readAttempts  = 3
	readRetryBase = 20 * time.Millisecond
)

// Options configures an HTTPStore. The zero value is usable.
type Options struct {
	Client    string            // name sent in ClientHeader; may be empty
	Timeout   time.Duration     // of one attempt, 2 s if 0; a watch adds it to WatchWait
	Transport http.RoundTripper // a new transport if nil
}

// HTTPStore is a Store that calls the HTTP/JSON API of the platform.
type HTTPStore struct {
	base    string
	client  string
	timeout time.Duration
	http    *http.Client
}

// Response is the body of responses of the object API. Each call uses some of the fields.
type Response struct {
	Version  uint64   `json:"version,omitempty"`
	Revision uint64   `json:"revision,omitempty"`
	Objects  []Object `json:"objects,omitempty"`
}

// NewHTTPStore returns the store at baseURL, such as http://127.0.0.1:7700.
func NewHTTPStore(baseURL string, o Options) (*HTTPStore, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, fmt.Errorf("platform URL: %w", err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("platform URL %q: want http://HOST:PORT or https://HOST:PORT", baseURL)
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return &HTTPStore{
		base:    strings.TrimRight(baseURL, "/"),
		client:  o.Client,
		timeout: cmp.Or(o.Timeout, defaultTimeout),
		http:    &http.Client{Transport: o.Transport, CheckRedirect: noRedirect},
	}, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (h *HTTPStore) Close() { h.http.CloseIdleConnections() }

// Get implements Store.
func (h *HTTPStore) Get(ctx context.Context, name string) (Object, error) {
	var o Object
	if err := CheckName(name); err != nil {
		return o, err
	}
	err := h.read(ctx, "/objects/"+name, &o)
	return o, err
}

// List implements Store.
func (h *HTTPStore) List(ctx context.Context, prefix string) ([]Object, uint64, error) {
	var response Response
	q := url.Values{"prefix": {prefix}}
	err := h.read(ctx, "/objects?"+q.Encode(), &response)
	return response.Objects, response.Revision, err
}

// Put implements Store. It makes one attempt; see Update for retries.
func (h *HTTPStore) Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error) {
	if err := CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueSize {
		return 0, fmt.Errorf("%q: %w", name, ErrTooLarge)
	}
	var response Response
	path := fmt.Sprintf("/objects/%s?version=%d", name, version)
	err := h.call(ctx, h.timeout, http.MethodPut, path, value, &response)
	return response.Version, err
}

// Watch implements Store.
func (h *HTTPStore) Watch(ctx context.Context, prefix string, after uint64) ([]Object, uint64, error) {
	var response Response
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	err := h.call(ctx, WatchWait+h.timeout, http.MethodGet, "/watch?"+q.Encode(), nil, &response)
	return response.Objects, response.Revision, err
}

// VMs implements Store.
func (h *HTTPStore) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := h.read(ctx, "/vms", &vms)
	return vms, err
}

// Register adds or renews a VM in the VM list of the stand-in platform. It returns ErrStopped if the
// platform has stopped this incarnation. A real platform knows the VMs that it runs.
func (h *HTTPStore) Register(ctx context.Context, vm VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("encode VM %q: %w", vm.Name, err)
	}
	return h.call(ctx, h.timeout, http.MethodPut, "/vms/"+url.PathEscape(vm.Name), body, nil)
}

// read makes a GET request and retries it a few times while the platform is unavailable.
func (h *HTTPStore) read(ctx context.Context, path string, result any) error {
	for attempt := 1; ; attempt++ {
		err := h.call(ctx, h.timeout, http.MethodGet, path, nil, result)
		if attempt == readAttempts || !errors.Is(err, ErrUnavailable) {
			return err
		}
		if sleep.For(ctx, jitter(readRetryBase<<attempt)) != nil {
			return err
		}
	}
}

// call makes one request and decodes the response into result unless that is nil.
func (h *HTTPStore) call(ctx context.Context, limit time.Duration, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform request: %w", err)
	}
	if h.client != "" {
		req.Header.Set(ClientHeader, h.client)
	}
	resp, err := h.http.Do(req)
	if err != nil {
		return unavailable(err)
	}
	defer closeBody(resp.Body)
	if err := statusError(resp); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if result == nil {
		return nil
	}
	// A response that cannot be read counts as lost.
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseSize)).Decode(result); err != nil {
		return unavailable(fmt.Errorf("%s %s: read response: %w", method, path, err))
	}
	return nil
}

// closeBody reads the short rest of a response before it closes the body, because the connection is
// not reused otherwise.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorText)
	_ = body.Close()
}

// statusError returns the error that corresponds to the status of a response.
func statusError(resp *http.Response) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrStopped
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return &QuotaError{RetryAfter: retryAfter(resp.Header)}
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	err := fmt.Errorf("platform answered %s: %s", resp.Status, bytes.TrimSpace(text))
	if resp.StatusCode >= http.StatusInternalServerError {
		return unavailable(err)
	}
	return err
}

// retryAfter returns the delay of a Retry-After header given in seconds, or 0.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }
