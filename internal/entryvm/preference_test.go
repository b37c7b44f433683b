package entryvm

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrouter/internal/directory"
)

// fleetView returns a view of a fleet of equal VMs without owners, modified by the given functions.
func fleetView(vms, services int,
	changes ...func(map[string]directory.VM, map[string]directory.OwnerRecord)) *directory.View {
	fleet, records := map[string]directory.VM{}, map[string]directory.OwnerRecord{}
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		fleet[name] = directory.VM{Name: name, Incarnation: uint64(i), Cores: 0.4}
	}
	for _, change := range changes {
		change(fleet, records)
	}
	l := directory.Listing{Kind: directory.Fleet, Revision: 1}
	for name, vm := range fleet {
		l.Entries = append(l.Entries, directory.Entry{Name: "vm." + name, Revision: 1, VM: &vm})
	}
	for name, record := range records {
		l.Entries = append(l.Entries, directory.Entry{Name: "service." + name, Revision: 1, OwnerRecord: &record})
	}
	c := &directory.Configuration{Version: 1, Services: map[string]directory.Service{}}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		c.Services[name] = directory.Service{Name: name}
	}
	d := directory.New()
	d.Replace(0, l)
	d.Replace(0, directory.Listing{Kind: directory.Configurations, Revision: 1, Entries: []directory.Entry{
		{Name: "main", Revision: 1, Configuration: c},
	}})
	return d.View()
}

// owns makes a VM the owner of a service.
func owns(vm, service string) func(map[string]directory.VM, map[string]directory.OwnerRecord) {
	return func(fleet map[string]directory.VM, records map[string]directory.OwnerRecord) {
		records[service] = directory.OwnerRecord{Service: service, Epoch: 1, Holder: fleet[vm].RunID()}
	}
}

// inDomains places the VMs of a fleet in the given failure domains in turn.
func inDomains(domains ...string) func(map[string]directory.VM, map[string]directory.OwnerRecord) {
	return func(fleet map[string]directory.VM, _ map[string]directory.OwnerRecord) {
		for i := range len(fleet) {
			name := fmt.Sprintf("vm-%d", i)
			vm := fleet[name]
			vm.Domain = domains[i%len(domains)]
			fleet[name] = vm
		}
	}
}

func anyVM(directory.VM) bool { return true }

func anyDomain(string) string { return "" }

// Guards against losing several services with one VM, because all were claimed at the same time.
func TestServicesStartOnDifferentVMs(t *testing.T) {
	is := is.New(t)
	v := fleetView(9, 3)
	first := map[string]bool{}
	for service := range v.Configuration.Services {
		first[preferredVMs(v, service, anyVM)[0]] = true
	}
	is.Equal(len(first), 3)
}

// Guards against services that concentrate on a few VMs, and against small VMs that own services while larger ones
// are free.
func TestServicesGoToFreeAndLargeVMs(t *testing.T) {
	is := is.New(t)
	v := fleetView(4, 3, owns("vm-0", "service-0"))
	is.Equal(preferredVMs(v, "service-1", anyVM)[3], "vm-0")
	v = fleetView(4, 3, owns("vm-0", "service-0"),
		func(fleet map[string]directory.VM, _ map[string]directory.OwnerRecord) {
			large := fleet["vm-3"]
			large.Cores = 1.6
			fleet["vm-3"] = large
		})
	is.Equal(preferredVMs(v, "service-1", anyVM)[0], "vm-3")
}

// Guards against two VMs that claim a service at the same time, because rank and preferredVMs disagree.
func TestRankIsPlaceInOrder(t *testing.T) {
	is := is.New(t)
	v := fleetView(9, 5, owns("vm-2", "service-0"), owns("vm-2", "service-3"), owns("vm-5", "service-4"))
	ranking := newLoadRanking(v)
	eligible := func(vm directory.VM) bool { return vm.Name != "vm-7" }
	var list []bool
	for _, name := range ranking.names {
		list = append(list, eligible(v.VMs[name]))
	}
	for service := range v.Configuration.Services {
		for rank, name := range preferredVMs(v, service, eligible) {
			is.Equal(ranking.rank(service, name, list), rank)
		}
	}
}

// Guards against renewals that grow with the fleet, and against VMs that disagree on the voters: whoever writes the first
// configuration chooses the same, whoever owns services.
func TestVoters(t *testing.T) {
	is := is.New(t)
	voters := func(self string, v *directory.View) []string {
		d := New(Settings{Name: self}, Dependencies{}, log.New(io.Discard), metrics.NewRegistry())
		change, due := d.members.next(v, d.bootClock())
		is.True(due)
		return change.Next.Voters
	}
	is.Equal(len(voters("vm-1", fleetView(9, 3))), 9)
	large := fleetView(82, 8)
	names := voters("vm-1", large)
	is.Equal(len(names), 9) // voterCount of membership
	large = fleetView(82, 8, owns(names[0], "service-0"), owns(names[1], "service-1"))
	is.Equal(voters("vm-2", large), names)
}

// Guards against a VM that starts slightly earlier and claims most services of a large fleet, and against owners on
// every small VM, whose renewals grow with their number. Simulates the start of 10 large and 90 small VMs with 300
// services; each checks every 100 ms, one of the large ones 300 ms before all others.
func TestStartingFleetSpreadsServices(t *testing.T) {
	is := is.New(t)
	const large, small, services = 10, 90, 300
	grow := func(fleet map[string]directory.VM, _ map[string]directory.OwnerRecord) {
		for i := range large {
			name := fmt.Sprintf("vm-%d", i)
			vm := fleet[name]
			vm.Cores = 1.6
			fleet[name] = vm
		}
	}
	owner := map[string]string{}
	first := fleetView(large+small, services, grow).ByCores[0]
	eligible := make([]bool, large+small)
	for i := range eligible {
		eligible[i] = true
	}
	for now := time.Duration(0); now < 10*time.Second && len(owner) < services; now += checkInterval {
		changes := []func(map[string]directory.VM, map[string]directory.OwnerRecord){grow}
		for service, vm := range owner {
			changes = append(changes, owns(vm, service))
		}
		v := fleetView(large+small, services, changes...)
		claims := map[string]string{}
		for _, vm := range v.ByCores {
			since := 300 * time.Millisecond
			if vm == first {
				since = 0
			}
			if now < since {
				continue
			}
			plan := &claimPlan{ranking: newLoadRanking(v), eligible: eligible, domains: make([]string, len(eligible))}
			var vacant []string
			for service := range v.Configuration.Services {
				if owner[service] == "" {
					vacant = append(vacant, service)
				}
			}
			slices.Sort(vacant)
			plan.assign(vacant, anyDomain)
			rank := plan.ranking.rank("", vm, eligible)
			for _, service := range vacant {
				if plan.due(service, vm, rank, now-since) {
					claims[service] = vm
				}
			}
		}
		for service, vm := range claims {
			owner[service] = vm
		}
	}
	is.Equal(len(owner), services)
	count := map[string]int{}
	for _, vm := range owner {
		count[vm]++
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	t.Logf("%d owners, the busiest has %d services", len(count), most)
	is.Equal(len(count), large)
	is.True(most <= 2*services/large)
}

// Guards against claim plans that exhaust the CPU of small VMs while a large fleet starts: comparing each VM for each
// service took 15 ms with 300 VMs and 1,000 services, ten times a second. The time may grow only with the depth of
// the heap; a comparison with each VM would grow tenfold here.
func TestPlanOfLargeFleetIsCheap(t *testing.T) {
	is := is.New(t)
	const services, plans = 1000, 20
	planTime := func(vms int) time.Duration {
		v := fleetView(vms, services)
		plan := &claimPlan{ranking: newLoadRanking(v), eligible: slices.Repeat([]bool{true}, vms), domains: make([]string, vms)}
		began := time.Now()
		for range plans {
			plan.assign(v.AllServices(), anyDomain)
		}
		is.Equal(len(plan.assigned), services)
		return time.Since(began) / plans
	}
	small, large := planTime(30), planTime(300)
	t.Logf("a plan takes %v with 30 VMs, %v with 300", small, large)
	is.True(large < 5*small)
}
