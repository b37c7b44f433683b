package devtarget

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// startAdmin serves the HTTP admin address:
//
//	GET  /status                     status row, counters, connections
//	GET  /history                    transactions in the log
//	GET  /logins                     what clients sent while connecting
//	POST /kill                       also /shutdown and /restart
//	POST /freeze?on=BOOL             also /isolate-peers and /refuse-logins
//	POST /isolate-client?name=NAME&on=BOOL
//	POST /forbid?secret=TEXT         counts the secret as leaked if it arrives on a connection
//	POST /lag?d=DURATION             also /answer-delay, /service-time and /replication-delay
func (s *Server) startAdmin(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("target %s admin: %w", s.cfg.Name, err)
	}
	s.adminLn = ln
	s.admin = &http.Server{Handler: s.AdminHandler(), ReadHeaderTimeout: 5 * time.Second}
	go s.admin.Serve(ln)
	return nil
}

// AdminHandler returns the handler of the admin address.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		st := s.Status()
		writeJSON(w, map[string]any{
			"server": st.Server, "role": st.Role.String(), "promised_term": st.Promised,
			"held": st.LogEnd.String(), "applied": st.Applied.String(), "active": st.Active,
			"primary": st.Primary, "address": s.Address(), "connections": s.Connections(),
			"counts": s.Counts(), "leaks": len(s.Leaks()),
		})
	})
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.History()) })
	mux.HandleFunc("GET /logins", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Logins()) })
	mux.HandleFunc("POST /kill", func(http.ResponseWriter, *http.Request) { s.Kill() })
	mux.HandleFunc("POST /shutdown", func(http.ResponseWriter, *http.Request) { s.Shutdown() })
	mux.HandleFunc("POST /restart", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Restart(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
	for path, set := range map[string]func(bool){
		"/freeze": s.Freeze, "/isolate-peers": s.IsolatePeers, "/refuse-logins": s.RefuseLogins,
	} {
		mux.HandleFunc("POST "+path, withSwitch(func(_ *http.Request, on bool) { set(on) }))
	}
	mux.HandleFunc("POST /isolate-client", withSwitch(func(r *http.Request, on bool) {
		s.IsolateClient(r.FormValue("name"), on)
	}))
	mux.HandleFunc("POST /forbid", func(w http.ResponseWriter, r *http.Request) {
		secret := r.FormValue("secret")
		if secret == "" {
			http.Error(w, "parameter secret is empty", http.StatusBadRequest)
			return
		}
		s.Forbid(secret)
	})
	for path, set := range map[string]func(time.Duration){
		"/lag": s.SetLag, "/answer-delay": s.SetAnswerDelay, "/service-time": s.SetServiceTime,
		"/replication-delay": s.SetReplicationDelay,
	} {
		mux.HandleFunc("POST "+path, withDuration(set))
	}
	return mux
}

func withSwitch(set func(*http.Request, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		on, err := strconv.ParseBool(r.FormValue("on"))
		if err != nil {
			http.Error(w, fmt.Sprintf("parameter on=%q is neither true nor false", r.FormValue("on")), http.StatusBadRequest)
			return
		}
		set(r, on)
	}
}

func withDuration(set func(time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		d, err := time.ParseDuration(r.FormValue("d"))
		if err != nil || d < 0 {
			http.Error(w, fmt.Sprintf("parameter d=%q is not a duration such as 100ms", r.FormValue("d")), http.StatusBadRequest)
			return
		}
		set(d)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
