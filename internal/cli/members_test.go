package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a table that leaves out why a VM is missing, and against an error page that is taken for a fleet without VMs.
func TestMembers(t *testing.T) {
	is, status := is.New(t), http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, `{"vm":"a","coordinator":"b","number":7,"joint":true,"members":[{"name":"a","domain":"bne","address":"10.0.0.1:7",`+
			`"known_for_s":61.2,"voter":true,"services":3,"heard_ago_s":0.25,"number":7}],"removals":[{"vm":"c","at":"2026-12-07T05:00:00Z","reason":"silent"}]}`)
	}))
	defer server.Close()
	var out, errOut bytes.Buffer
	address := server.Listener.Addr().String()
	is.Equal(Run(context.Background(), []string{"members", address}, &out, &errOut), exitOK)
	is.Equal(out.String(), "seen by a; coordinator b; voters 7 (change under way)\n"+
		"NAME  DOMAIN  ADDRESS     KNOWN FOR  VOTER  SERVICES  HEARD      VOTERS KNOWN\n"+
		"a     bne     10.0.0.1:7  61 s       yes    3         0.2 s ago  7\n"+
		"removed c at 2026-12-07T05:00:00Z: silent\n")
	status = http.StatusNotFound
	is.Equal(Run(context.Background(), []string{"members", address}, &out, &errOut), exitFail)
}
