package entryvm

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against owners whose every statement crosses to a primary in another failure domain, and against services
// without an owner because the primary's domain has no VM.
func TestServicesAreOwnedBesideTheirPrimaries(t *testing.T) {
	is := is.New(t)
	v := fleetView(7, 5, inDomains("a", "b", "c"))
	plan := &claimPlan{ranking: newLoadRanking(v), eligible: slices.Repeat([]bool{true}, 7)}
	for _, name := range plan.ranking.names {
		plan.domains = append(plan.domains, v.VMs[name].Domain)
	}
	primaries := map[string]string{"service-0": "b", "service-1": "b", "service-2": "b", "service-3": "elsewhere"}
	plan.assign(v.AllServices(), func(service string) string { return primaries[service] })
	is.Equal(len(plan.assigned), 5)
	load := map[string]int{}
	for service, vm := range plan.assigned {
		load[vm]++
		if primaries[service] == "b" {
			is.Equal(v.VMs[vm].Domain, "b")
		}
	}
	for vm, n := range load {
		if v.VMs[vm].Domain != "b" {
			is.Equal(n, 1) // free VMs come first
		}
		is.True(n <= 2)
	}
}

// Guards against services that follow a primary back and forth while it is being replaced, and against owners that stay
// behind.
func TestServicesFollowPrimaries(t *testing.T) {
	is := is.New(t)
	a := absences{}
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	is.True(!a.due(at(1), "s", "b", "a"))
	is.True(!a.due(at(3), "s", "c", "a")) // replaced again
	is.True(!a.due(at(5), "s", "c", "a"))
	is.True(!a.due(at(5.5), "s", "", "a")) // the primary is not known
	is.True(!a.due(at(6), "s", "c", "a"))
	is.True(a.due(at(9), "s", "c", "a"))
	is.True(!a.due(at(9.5), "s", "a", "a"))
	is.True(!a.due(at(10), "s", "c", "a"))
}
