package entryvm

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"siskinrouter/internal/directory"
)

func fleetView(vms, services int) *directory.View {
	v := &directory.View{
		VMs: map[string]directory.VM{}, Tenures: map[string]directory.TenureEntry{},
		Configuration: &directory.Configuration{Services: map[string]directory.Service{}},
	}
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i)
		v.VMs[name] = directory.VM{Name: name, Incarnation: uint64(i), Cores: 0.4}
	}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		v.Configuration.Services[name] = directory.Service{Name: name}
	}
	v.BySize = directory.BySize(v.VMs)
	return v
}

func anyVM(directory.VM) bool { return true }

// Guards against the loss of several services with one VM, because all were claimed at the same time.
func TestServicesStartOnDifferentVMs(t *testing.T) {
	is := is.New(t)
	v := fleetView(9, 3)
	first := map[string]bool{}
	for service := range v.Configuration.Services {
		first[preference(v, service, anyVM)[0]] = true
	}
	is.Equal(len(first), 3)
}

// Guards against services that gather on a few VMs of a fleet, and against small VMs that own services
// while larger ones are free.
func TestServicesGoToFreeAndLargeVMs(t *testing.T) {
	is := is.New(t)
	v := fleetView(4, 3)
	holder := v.VMs["vm-0"].Holder()
	v.Tenures["service-0"] = directory.TenureEntry{Tenure: directory.Tenure{Service: "service-0", Holder: holder}}
	is.Equal(preference(v, "service-1", anyVM)[3], "vm-0")
	large := v.VMs["vm-3"]
	large.Cores = 1.6
	v.VMs["vm-3"] = large
	v.BySize = directory.BySize(v.VMs)
	is.Equal(preference(v, "service-1", anyVM)[0], "vm-3")
}

// Guards against renewals that grow with the fleet, and against VMs that disagree on whose promises count.
func TestElectors(t *testing.T) {
	is := is.New(t)
	is.Equal(len(electors(fleetView(9, 3))), 9)
	large := fleetView(82, 8)
	names := electors(large)
	is.Equal(len(names), electorCount)
	holder := large.VMs["vm-7"].Holder()
	large.Tenures["service-0"] = directory.TenureEntry{Tenure: directory.Tenure{Service: "service-0", Holder: holder}}
	is.Equal(electors(large), names)
}
