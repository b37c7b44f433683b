package entryvm

import (
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
)

// Guards against a workspace that gets more than its rate while the allocator of its tokens is unreachable: the shares of
// all VMs that admit requests, owners and readers of replicas, must add up to the rate. Plays 200 requests at once on each
// of nine VMs in three failure domains; the burst is 60.
func TestFallbackSharesAddUpToTheRate(t *testing.T) {
	is := is.New(t)
	const burst, requests = 60, 200
	v := fleetView(9, 3, inDomains("a", "b", "c"), owns("vm-0", "service-0"), owns("vm-3", "service-1"), owns("vm-1", "service-2"))
	configuration := *v.Configuration
	configuration.Workspaces = map[string]directory.Workspace{"ws": {Name: "ws", Rate: 0.1, Burst: burst}}
	servers := directory.Listing{Kind: directory.Servers, Revision: 1}
	for service := range v.Configuration.Services {
		for _, domain := range []string{"a", "b", "c"} {
			id := fmt.Sprintf("%s-%s", service, domain)
			servers.Entries = append(servers.Entries, directory.Entry{Name: id, Revision: 1,
				Server: &directory.Server{ID: id, Service: service, Domain: domain, Primary: domain == "a"}})
		}
	}
	var mu sync.Mutex
	var decided sync.WaitGroup
	admitted := map[string]int{}
	total := 0
	for name, vm := range v.VMs {
		d := New(Settings{Name: "self", Domain: vm.Domain}, Dependencies{}, log.New(io.Discard), metrics.NewRegistry())
		d.directory.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 1, Entries: []directory.Entry{{
			Name: "main", Revision: 1, Configuration: &configuration,
		}}})
		d.directory.Replace(0, servers)
		d.directory.Replace(0, directory.Listing{Kind: directory.Fleet, Revision: 1, Entries: fleetEntries(v)})
		d.peers.Close() // no link to the allocator can be opened
		if !admittingVMs(d.directory.View())[name] {
			continue
		}
		for range requests {
			decided.Add(1)
			d.rateLimiter.Admit("ws", func(ok bool) {
				defer decided.Done()
				mu.Lock()
				defer mu.Unlock()
				if ok {
					admitted[name]++
					total++
				}
			})
		}
	}
	decided.Wait()
	t.Logf("%d admitted: %v", total, admitted)
	is.True(len(admitted) > 3) // owners and readers
	is.True(total <= burst)
}

// Guards against a VM that allocates tokens although its lease has ended, also for the requests of its own brokers: the
// next allocator hands out the whole rate already.
func TestOnlyValidLeaseAllocates(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	configuration := *d.directory.View().Configuration
	configuration.Version = 2
	configuration.Workspaces = map[string]directory.Workspace{"ws": {Name: "ws", Rate: 1, Burst: 1000}}
	d.directory.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 2, Entries: []directory.Entry{{
		Name: "main", Revision: 2, Configuration: &configuration,
	}}})
	r := d.rateLimiter
	_, ok := r.allocate(peer.TokenRequest{Workspace: "ws", Count: 1})
	is.True(!ok)
	admit := func(n int) (admitted int) {
		for range n {
			r.Admit("ws", func(ok bool) {
				if ok {
					admitted++
				}
			})
		}
		return admitted
	}
	is.Equal(admit(100), 1) // on its own account
	for _, name := range d.ownership.voters().Members() {
		d.ownership.recordAck(name, d.bootClock(), []string{"ledger"})
	}
	is.True(admit(100) > 30) // a new allocator starts with a twentieth of the burst
	granted, ok := r.allocate(peer.TokenRequest{Workspace: "ws", Count: 1000})
	is.True(ok)
	is.True(granted < 50)
}

// Guards against a hand-over in which the tokens of a workspace are lost, or are there twice.
func TestTokensAreHandedOver(t *testing.T) {
	is := is.New(t)
	d := isolatedOwner(t, "ledger")
	r := d.rateLimiter
	self := d.self.RunID()
	record := directory.OwnerRecordEntry{OwnerRecord: directory.OwnerRecord{Service: "ledger", Epoch: 7, Holder: self}}
	r.inherit(peer.Release{Service: "ledger", Epoch: 6, Successor: &record, Tokens: map[string]float64{"ws": 300}})
	r.inherit(peer.Release{Service: "ledger", Epoch: 6, Successor: &record, Tokens: map[string]float64{"ws": 300}}) // again
	w := directory.Workspace{Name: "ws", Rate: 1, Burst: 1000}
	is.Equal(r.tenures["ledger"].Take(d.bootClock(), w, 1, 1000), 300)
	is.Equal(r.release(directory.OwnerRecord{Service: "ledger", Epoch: 6}), nil) // another ownership
	is.True(r.release(record.OwnerRecord)["ws"] < 10)
	is.Equal(r.release(record.OwnerRecord), nil)
	other := record
	other.Holder = directory.RunID{Name: "b", Incarnation: 1}
	r.inherit(peer.Release{Service: "ledger", Epoch: 6, Successor: &other, Tokens: map[string]float64{"ws": 300}})
	is.Equal(r.tenures["ledger"], nil) // meant for another VM
}
