package entryvm

import (
	"context"
	"slices"
	"time"

	"siskinrouter/internal/directory"
)

// followDelay is how long a primary has to lead in another failure domain before its service is handed over to a VM
// there. It spans the time after a change of the primary in which it is not changed again.
const followDelay = 3 * time.Second

// ownerDomains returns a function that names the failure domain in which a service should be owned, or returns an empty
// string for any: that of its primary, so that writes and the reads at the primary do not cross domains. A domain whose
// owners are all suspected may be lost as a whole. The mutex must be held.
func (o *ownership) ownerDomains(v *directory.View) func(service string) string {
	lost := o.lostDomains(v)
	return func(service string) string {
		domain := primaryDomain(v, service)
		if lost[domain] && domain != o.d.self.Domain {
			return ""
		}
		return domain
	}
}

// ownerRegions returns a function that reports whether a failure domain is preferred for a service that no VM of its
// primary's domain can own: those of the same region that still have an owner that is heard. The mutex must be held.
func (o *ownership) ownerRegions(v *directory.View) func(service, domain string) bool {
	regions := o.d.settings.Load().Regions
	lost := o.lostDomains(v)
	return func(service, domain string) bool {
		all, known := lost[domain]
		return known && !all && regions.Share(primaryDomain(v, service), domain)
	}
}

// lostDomains reports for each failure domain that has owners whether all of them are suspected. The mutex must be held.
func (o *ownership) lostDomains(v *directory.View) map[string]bool {
	lost := map[string]bool{}
	for _, record := range v.OwnerRecords {
		domain := v.VMs[record.Holder.Name].Domain
		if all, known := lost[domain]; all || !known {
			lost[domain] = record.Holder != o.d.self.RunID() && o.suspectedLocked(record.OwnerRecord)
		}
	}
	return lost
}

// primaryDomain returns the failure domain of the primary of a service, or an empty string if that is not known. A server
// that an owner has promoted comes before one that reports to be the primary, which may be cut off.
func primaryDomain(v *directory.View, service string) string {
	if promoted := v.OwnerRecords[service].Primary; v.Usable(promoted) {
		return v.Servers[promoted].Domain
	}
	for _, id := range v.ServersOf(service) {
		if s := v.Servers[id]; s.Primary && v.Usable(id) {
			return s.Domain
		}
	}
	return ""
}

// absence records since when the primary of a service has been in another failure domain than its owner.
type absence struct {
	domain string
	since  time.Duration
}

// absences holds the absent primaries by service.
type absences map[string]absence

// due records the failure domain of a service's primary, empty if it is not known, and reports whether the service should
// be handed over to a VM there.
func (a absences) due(now time.Duration, service, primary, owner string) bool {
	if primary == "" || primary == owner {
		delete(a, service)
		return false
	}
	if a[service].domain != primary {
		a[service] = absence{primary, now}
	}
	return now-a[service].since >= followDelay
}

// followPrimaries hands over services whose primary has led for a while in another failure domain to a VM there.
func (o *ownership) followPrimaries(ctx context.Context) {
	if o.d.leaving.Load() {
		return
	}
	v := o.d.directory.View()
	now := o.d.clock()
	for service, record := range v.OwnerRecords {
		if record.Holder != o.d.self.RunID() {
			delete(o.absences, service)
			continue
		}
		domain := primaryDomain(v, service)
		if !o.absences.due(now, service, domain, o.d.self.Domain) {
			continue
		}
		o.mu.Lock()
		candidates := slices.DeleteFunc(o.successors(v, service), func(name string) bool { return v.VMs[name].Domain != domain })
		o.mu.Unlock()
		delete(o.absences, service) // the next attempt waits as long
		if len(candidates) > 0 {
			go o.handOverTo(ctx, record, v.VMs[candidates[0]])
		}
	}
}
