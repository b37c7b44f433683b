package entryvm

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
)

// Guards against a workspace that gets more than its rate while the allocator of its tokens is unreachable: the rate is
// then divided among the services, whose owners admit requests. Readers, of which there are more than services, leave
// the decision to them. Plays 200 requests at once on each of three owners and six readers; the burst is 60.
func TestReadersAdmitNothingWithoutAllocator(t *testing.T) {
	is := is.New(t)
	const burst, owners, readers, requests = 60, 3, 6, 200
	vm := func() *Daemon {
		d := New(Settings{Name: "a"}, Dependencies{}, log.New(io.Discard), metrics.NewRegistry())
		c := &directory.Configuration{Version: 1, Services: map[string]directory.Service{},
			Workspaces: map[string]directory.Workspace{"ws": {Name: "ws", Rate: 0.1, Burst: burst}}}
		for _, service := range []string{"s1", "s2", "s3"} {
			c.Services[service] = directory.Service{Name: service}
		}
		d.directory.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 1, Entries: []directory.Entry{{
			Name: "main", Revision: 1, Configuration: c,
		}}})
		d.peers.Close() // no link to the allocator can be opened
		return d
	}
	admitted := 0
	for range owners {
		d := vm()
		for range requests {
			d.rateLimiter.Admit("ws", func(a broker.Admission) {
				is.True(a != broker.RateUnknown)
				if a == broker.Admitted {
					admitted++
				}
			})
		}
	}
	is.True(admitted > 0)
	for range readers {
		d := vm()
		for range requests {
			replicaRateLimiter{d.rateLimiter}.Admit("ws", func(a broker.Admission) { is.Equal(a, broker.RateUnknown) })
		}
	}
	t.Logf("%d admitted", admitted)
	is.True(admitted <= burst)
}
