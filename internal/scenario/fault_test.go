package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"siskinrouter/internal/devtarget"
)

var client = &http.Client{Timeout: callTimeout}

func call(method, address string, body string) (string, error) {
	req, err := http.NewRequest(method, address, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", method, address, resp.StatusCode, text)
	}
	return string(text), err
}

// faultOp injects a fault into a target: fault SERVER PATH, with the paths of devtarget's admin address.
func faultOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	return call(http.MethodPost, "http://"+w.fleet.servers[args[0]].admin+"/"+args[1], "")
}

// platformOp replaces the faults of the platform: platform JSON
func platformOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	return call(http.MethodPut, "http://"+w.fleet.platform+"/faults", strings.Join(args, " "))
}

type targetStatus struct {
	Role     string           `json:"role"`
	Promised uint64           `json:"promised_term"`
	Held     string           `json:"held"`
	Active   int              `json:"active"`
	Counts   map[string]int64 `json:"counts"`
	Leaks    int              `json:"leaks"`
}

func (w *world) targetStatus(server string) (targetStatus, error) {
	var s targetStatus
	text, err := call(http.MethodGet, "http://"+w.fleet.servers[server].admin+"/status", "")
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	return s, err
}

// targetStatusOp prints the status of a target: status SERVER
func targetStatusOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	return call(http.MethodGet, "http://"+w.fleet.servers[args[0]].admin+"/status", "")
}

// roleOp checks the role of a target: role SERVER ROLE
func roleOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	s, err := w.targetStatus(args[0])
	if err != nil {
		return "", err
	}
	if s.Role != args[1] {
		return "", fmt.Errorf("server %s is %s in term %d", args[0], s.Role, s.Promised)
	}
	return "", nil
}

// work returns how many statements of callers a target has executed.
func work(s targetStatus) (n int64) {
	for _, kind := range []string{"PUT", "ADD", "GET", "ROWS", "SLEEP", "SELECT 1", "BEGIN"} {
		n += s.Counts[kind]
	}
	return n
}

// quietOp checks that a target executes no statement of callers for a time: quiet SERVER DURATION
func quietOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return "", err
	}
	before, err := w.targetStatus(args[0])
	if err != nil {
		return "", err
	}
	time.Sleep(d)
	after, err := w.targetStatus(args[0])
	if err != nil {
		return "", err
	}
	if n := work(after) - work(before); n != 0 {
		return "", fmt.Errorf("server %s executed %d statements in %v", args[0], n, d)
	}
	return "", nil
}

// countedOp prints how many statements of a kind a target has executed, and fails if the number is not
// as given: counted SERVER KIND [=N|>N]
func countedOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	s, err := w.targetStatus(args[0])
	if err != nil {
		return "", err
	}
	got := s.Counts[args[1]]
	if len(args) > 2 {
		want, err := strconv.ParseInt(args[2][1:], 10, 64)
		if err != nil {
			return "", err
		}
		if args[2][0] == '=' && got != want || args[2][0] == '>' && got <= want {
			return "", fmt.Errorf("server %s executed %s %d times, want %s", args[0], args[1], got, args[2])
		}
	}
	return fmt.Sprintln(got), nil
}

func (w *world) history(server string) ([]devtarget.Record, error) {
	var records []devtarget.Record
	text, err := call(http.MethodGet, "http://"+w.fleet.servers[server].admin+"/history", "")
	if err == nil {
		err = json.Unmarshal([]byte(text), &records)
	}
	return records, err
}

// primaryHistory returns the log of the primary of the highest term.
func (w *world) primaryHistory() ([]devtarget.Record, error) {
	best, term := "", uint64(0)
	for name := range w.fleet.servers {
		if s, err := w.targetStatus(name); err == nil && s.Role == "primary" && s.Promised > term {
			best, term = name, s.Promised
		}
	}
	if best == "" {
		return nil, fmt.Errorf("the group has no primary")
	}
	return w.history(best)
}

// writtenOp checks how often a key was written in the log of the primary: written KEY N
func writtenOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	records, err := w.primaryHistory()
	if err != nil {
		return "", err
	}
	n := 0
	for _, r := range records {
		for _, write := range r.Writes {
			if write.Key == args[0] {
				n++
			}
		}
	}
	if strconv.Itoa(n) != args[1] {
		return "", fmt.Errorf("key %s was written %d times, want %s", args[0], n, args[1])
	}
	return "", nil
}

// forbidOp makes all targets look for a secret in what they receive: forbid SECRET
func forbidOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	for _, s := range w.fleet.servers {
		if _, err := call(http.MethodPost, "http://"+s.admin+"/forbid?secret="+url.QueryEscape(args[0]), ""); err != nil {
			return "", err
		}
	}
	return "", nil
}

// leaksOp checks how many secrets the targets have received in all, and that none is part of a login:
// leaks N
func leaksOp(w *world, _ *testscript.TestScript, args []string) (string, error) {
	n := 0
	for name, s := range w.fleet.servers {
		st, err := w.targetStatus(name)
		if err != nil {
			return "", err
		}
		n += st.Leaks
		logins, err := call(http.MethodGet, "http://"+s.admin+"/logins", "")
		if err != nil {
			return "", err
		}
		for _, key := range w.fleet.keys {
			if strings.Contains(logins, key) {
				return "", fmt.Errorf("a key of a caller is part of a login at server %s", name)
			}
		}
	}
	if strconv.Itoa(n) != args[0] {
		return "", fmt.Errorf("the targets received %d secrets, want %s", n, args[0])
	}
	return "", nil
}
