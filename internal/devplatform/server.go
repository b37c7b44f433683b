// Package devplatform is a stand-in for the platform in tests and trials. It serves the object API
// and the VM list from memory, with call quotas and faults that are set at run time.
package devplatform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"

	"siskinrouter/internal/platform"
)

// Defaults of a Config. The rates are those that the platform sustains.
const (
	DefaultReadsPerSecond  = 2000
	DefaultWritesPerSecond = 300
	DefaultVMExpiry        = 10 * time.Second
)

const (
	shutdownWait  = time.Second
	headerTimeout = 5 * time.Second
	maxAdminBody  = 64 << 10
	retryAfter    = "1" // seconds; the quota refills within one
)

// Unlimited as a rate of a Config turns the quota off.
const Unlimited = -1

// Config is the setting of a stand-in. The zero value has the quotas of the platform and no lag.
type Config struct {
	ReadsPerSecond  float64       // quota of reads, of which a watch counts as one
	WritesPerSecond float64       // quota of updates
	VMLag           time.Duration // between a change of a VM and its appearance in the list
	VMExpiry        time.Duration // a VM that does not renew for this long counts as stopped
	WatchWait       time.Duration // longest wait of a watch, platform.WatchWait if 0
	Log             *log.Logger   // changes of the faults; may be nil
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	log    *log.Logger
	store  *platform.MemoryStore
	vms    *vmList
	faults *faultState
	reads  *quota
	writes *quota
	mux    *http.ServeMux
}

// New returns a stand-in with an empty store.
func New(c Config) *Server {
	s := &Server{
		log:    c.Log,
		store:  platform.NewMemoryStore(cmp.Or(c.WatchWait, platform.WatchWait)),
		vms:    newVMList(c.VMLag, cmp.Or(c.VMExpiry, DefaultVMExpiry)),
		faults: newFaultState(),
		reads:  newQuota(rate(c.ReadsPerSecond, DefaultReadsPerSecond)),
		writes: newQuota(rate(c.WritesPerSecond, DefaultWritesPerSecond)),
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /objects/{name...}", s.guard(s.reads, s.getObject))
	s.mux.HandleFunc("PUT /objects/{name...}", s.guard(s.writes, s.putObject))
	s.mux.HandleFunc("GET /objects", s.guard(s.reads, s.listObjects))
	s.mux.HandleFunc("GET /watch", s.guard(s.reads, s.watch))
	s.mux.HandleFunc("GET /vms", s.guard(s.reads, s.listVMs))
	s.mux.HandleFunc("PUT /vms/{name}", s.putVM)
	s.mux.HandleFunc("DELETE /vms/{name}", s.deleteVM)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("PUT /faults", s.putFaults)
	return s
}

func rate(set, preset float64) float64 {
	if set == Unlimited {
		return 0
	}
	return cmp.Or(set, preset)
}

// Handler returns the HTTP handler of the stand-in.
func (s *Server) Handler() http.Handler { return s.mux }

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	f, _ := s.faults.get()
	return f
}

// SetFaults replaces the faults. Waiting watches are affected at once.
func (s *Server) SetFaults(f Faults) {
	s.faults.set(f)
	if s.log != nil {
		s.log.Info("faults replaced", "faults", fmt.Sprintf("%+v", f))
	}
}

// Serve answers requests on ln until ctx ends, and closes ln. It returns nil when ctx ended.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("platform stand-in: %w", err)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownWait)
	defer cancel()
	if server.Shutdown(stopCtx) != nil {
		_ = server.Close()
	}
	<-failed
	return nil
}

// guard applies the faults and the quota that concern every call.
func (s *Server) guard(q *quota, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, _ := s.faults.get()
		pause(r.Context(), milliseconds(f.DelayMS))
		f, _ = s.faults.get()
		if s.refused(w, r, f) {
			return
		}
		if f.OverQuota || !q.take(time.Now()) {
			w.Header().Set("Retry-After", retryAfter)
			http.Error(w, "call quota exceeded", http.StatusTooManyRequests)
			return
		}
		serve(w, r)
	}
}

// refused ends the call of a client that is cut off, or of any client during an outage.
func (s *Server) refused(w http.ResponseWriter, r *http.Request, f Faults) bool {
	switch {
	case f.cuts(r.Header.Get(platform.ClientHeader)):
		pause(r.Context(), milliseconds(f.CutHoldMS))
		dropConnection()
	case f.Down:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return true
	}
	return false
}

// dropConnection closes the connection of the current call without an answer.
func dropConnection() { panic(http.ErrAbortHandler) }

// pause waits for d or until the client has gone.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	o, err := s.store.Get(r.Context(), r.PathValue("name"))
	reply(w, o, err)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	objects, revision, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	reply(w, platform.Response{Revision: revision, Objects: objects}, err)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "parameter version: want a number", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueSize))
	if err != nil {
		http.Error(w, "read value: "+err.Error(), bodyStatus(err))
		return
	}
	// A slow platform applies a change also when the client has stopped waiting for the answer.
	version, err = s.store.Put(context.WithoutCancel(r.Context()), r.PathValue("name"), version, value)
	if err == nil && s.faults.takeLoss() {
		dropConnection()
	}
	reply(w, platform.Response{Version: version}, err)
}

func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// watch waits for a change, for the end of the wait or for a fault that ends it.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "parameter after: want a number", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go s.endWatchOnFault(ctx, cancel, r.Header.Get(platform.ClientHeader))
	objects, revision, err := s.store.Watch(ctx, r.URL.Query().Get("prefix"), after)
	f, _ := s.faults.get()
	if len(objects) > 0 {
		pause(ctx, milliseconds(f.LateWatchMS))
		f, _ = s.faults.get()
	}
	if s.refused(w, r, f) {
		return
	}
	if f.CutWatches {
		dropConnection()
	}
	reply(w, platform.Response{Revision: revision, Objects: objects}, err)
}

// endWatchOnFault cancels a watch when a fault concerns it.
func (s *Server) endWatchOnFault(ctx context.Context, cancel context.CancelFunc, client string) {
	for {
		f, changed := s.faults.get()
		if f.Down || f.CutWatches || f.cuts(client) {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	reply(w, s.vms.list(time.Now()), nil)
}

// putVM is not subject to faults: the platform runs the VMs, so it knows of a VM that cannot reach
// the object API.
func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if !readJSON(w, r, &vm) {
		return
	}
	vm.Name = r.PathValue("name")
	vm.State = cmp.Or(vm.State, platform.VMLive)
	if vm.Incarnation == "" || (vm.State != platform.VMLive && vm.State != platform.VMLeaving) {
		http.Error(w, `want an incarnation and the state "live" or "leaving"`, http.StatusBadRequest)
		return
	}
	reply(w, vm, s.vms.renew(time.Now(), vm))
}

func (s *Server) deleteVM(w http.ResponseWriter, r *http.Request) {
	s.vms.stop(time.Now(), r.PathValue("name"))
	reply(w, struct{}{}, nil)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { reply(w, s.Faults(), nil) }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if readJSON(w, r, &f) {
		s.SetFaults(f)
		reply(w, f, nil)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// reply sends body, or the status that corresponds to err.
func reply(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), status(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only when the client has gone
}

func status(err error) int {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, platform.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, platform.ErrStopped):
		return http.StatusGone
	case errors.Is(err, platform.ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}
