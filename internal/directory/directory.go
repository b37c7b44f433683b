package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrouter/internal/membership"
)

// MissingServerGrace is how long a server is kept after its entry has disappeared. Entries that expire during
// an outage of the store come back within two seconds.
const MissingServerGrace = 2500 * time.Millisecond

// View is an immutable snapshot of the directory.
type View struct {
	Configuration *Configuration // nil until the first one is known
	services      []string       // sorted names
	Servers       map[string]Server
	byService     map[string][]string // server ids by service
	// ServingVersion increases with every change of the data by which owners serve: configuration, servers and
	// withdrawals.
	ServingVersion uint64
	// Missing holds, for each server that is still in Servers although its entry has disappeared, when that
	// happened.
	Missing map[string]time.Duration
	// Departed counts, by service, the servers that have disappeared and whose logs no listed server has taken over.
	Departed  map[string]int
	Withdrawn map[string]bool // failure domains
	VMs       map[string]VM
	// ByCores holds the names of the VMs that are not leaving, in descending order of processor cores. VMs that
	// know the same fleet compute the same order.
	ByCores      []string
	byDomain     map[string][]string // ByCores by failure domain
	EndedRuns    map[RunID]bool      // VM runs whose records were removed
	OwnerRecords map[string]OwnerRecordEntry
	Revisions    [KindCount]uint64
	// LastChanges holds the revision of the last known change of each kind. VMs compare it to decide whether
	// they need updates from each other.
	LastChanges [KindCount]uint64
	// Voters is the latest known configuration of the voters.
	Voters VotersEntry
	// Era is the latest known era of the store.
	Era          uint64
	unregistered map[string]bool
	restoredRuns map[RunID]bool // runs of VMs in an older copy of the store; it is unknown whether they have ended
}

// OwnerRecordEntry is an owner record and its revision.
type OwnerRecordEntry struct {
	OwnerRecord
	Revision uint64 `cbor:"7,keyasint,omitzero"`
}

// Usable reports whether new work may be sent to a server.
func (v *View) Usable(id string) bool {
	s, ok := v.Servers[id]
	return ok && !s.Draining && !v.Withdrawn[s.Domain]
}

// AllServices returns the sorted names of the services. The caller must not modify the slice.
func (v *View) AllServices() []string { return v.services }

// ServersOf returns the ids of the servers of a service. The caller must not modify the slice.
func (v *View) ServersOf(service string) []string { return v.byService[service] }

// VMsIn returns the names of the VMs of a failure domain in the order of ByCores. The caller must not modify the slice.
func (v *View) VMsIn(domain string) []string { return v.byDomain[domain] }

// SameDomains reports whether two views have VMs in the same failure domains.
func (v *View) SameDomains(other *View) bool {
	return maps.EqualFunc(v.byDomain, other.byDomain, func(_, _ []string) bool { return true })
}

// FirstServices returns the first n services by name.
func (v *View) FirstServices(n int) []string { return v.services[:min(len(v.services), n)] }

// Ended reports whether a run of a VM is known to have ended, because another run has replaced it or its record
// was removed.
func (v *View) Ended(run RunID) bool {
	vm, ok := v.VMs[run.Name]
	return ok && vm.Incarnation != run.Incarnation && !v.restoredRuns[run] || v.EndedRuns[run]
}

// Directory merges updates from the store and from other VMs into views. It is safe for concurrent use.
type Directory struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	objects [KindCount]map[string]Entry
	// announced holds the VMs as they announced themselves, which is more recent than the store's records.
	announced map[string]VM
	// ended holds the runs of VMs whose records were removed.
	ended   map[RunID]bool
	missing map[string]missingServer
	// departed holds the servers that are no longer kept, by id.
	departed map[string]departedServer
	// tombstones holds the latest deletions of each kind, in the order in which they were learned.
	tombstones [KindCount][]Entry
	// tombstonesSince is, for each kind, the revision after which all deletions are in tombstones.
	tombstonesSince [KindCount]uint64
	// patchBases holds the latest configurations, oldest first.
	patchBases []Entry
	era        uint64
	// firstListed is, for each kind, the revision of the first listing of the present era. Objects up to it may be of an
	// older copy of the store.
	firstListed [KindCount]uint64
	// What was known before the store returned from an older copy, by the name of the object.
	keptServers     map[string]keptEntry
	keptWithdrawals map[string]time.Duration // time of the return
	keptVMs         map[string]time.Duration
	restoredRuns    map[string]RunID
	listedVMs       map[string]Entry // other runs of kept VMs, as the store lists them
	listeners       []func(old, new *View)
}

// maxTombstones bounds the deletions kept for each kind. A VM that lacks older ones is sent the complete state.
const maxTombstones = 256

type missingServer struct {
	server Server
	since  time.Duration
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{
		announced: map[string]VM{}, ended: map[RunID]bool{}, missing: map[string]missingServer{},
		departed:    map[string]departedServer{},
		keptServers: map[string]keptEntry{}, keptWithdrawals: map[string]time.Duration{},
		keptVMs: map[string]time.Duration{}, restoredRuns: map[string]RunID{}, listedVMs: map[string]Entry{},
	}
	for k := range d.objects {
		d.objects[k] = map[string]Entry{}
	}
	d.view.Store(&View{})
	return d
}

// OnChange registers a function that is called after each change, in order and never concurrently. It must be
// called before the directory is used.
func (d *Directory) OnChange(f func(old, new *View)) { d.listeners = append(d.listeners, f) }

// View returns the current snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// Replace applies a complete listing of a kind unless the known state is at least as recent, and reports
// whether it applied it.
func (d *Directory) Replace(now time.Duration, l Listing) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Revision <= d.view.Load().Revisions[l.Kind] {
		return false
	}
	objects := make(map[string]Entry, len(l.Entries))
	for _, e := range l.Entries {
		objects[e.Name] = e
		d.addPatchBase(e)
	}
	known := d.view.Load().Revisions[l.Kind]
	returned := known > 0 && EraOf(known) < EraOf(l.Revision)
	d.keepKnown(now, l, objects, returned)
	for name, e := range d.objects[l.Kind] {
		if _, ok := objects[name]; !ok {
			d.recordRemoval(now, l.Kind, e)
		}
	}
	if returned {
		// The numbers of earlier changes are assigned again, so the state of the copy counts as a change as a whole.
		d.tombstones[l.Kind], d.tombstonesSince[l.Kind] = nil, l.Revision
		d.objects[l.Kind] = objects
		d.publish(now, l.Kind, l.Revision, l.Revision)
		return true
	}
	// Objects that were known alone before, such as a record that this VM has written, count as changes from here on.
	changed := latestRevision(objects, d.view.Load().LastChanges[l.Kind])
	for name := range d.objects[l.Kind] {
		if _, ok := objects[name]; !ok {
			// The deletion happened at the listed revision at the latest.
			changed = l.Revision
			d.addTombstone(l.Kind, Entry{Name: name, Revision: l.Revision, Deleted: true})
		}
	}
	if d.view.Load().Revisions[l.Kind] == 0 {
		d.tombstonesSince[l.Kind] = changed
	}
	d.objects[l.Kind] = objects
	d.publish(now, l.Kind, l.Revision, changed)
	return true
}

// Update applies changes that follow the known state of their kind.
func (d *Directory) Update(now time.Duration, l Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view.Load()
	if l.Revision <= v.Revisions[l.Kind] || EraOf(l.Revision) != EraOf(v.Revisions[l.Kind]) {
		return
	}
	changed := v.LastChanges[l.Kind]
	for i := range l.Entries {
		var ok bool
		if l.Entries[i], ok = d.resolvePatch(l.Entries[i]); !ok {
			return
		}
	}
	for _, e := range l.Entries {
		if e.Deleted {
			// The store may report the revision before the deletion.
			e.Revision = max(e.Revision, l.Revision)
		}
		d.update(now, l.Kind, e)
		changed = max(changed, e.Revision)
	}
	d.publish(now, l.Kind, l.Revision, changed)
}

// MergeListing applies a listing sent by another VM and reports whether it was more recent than the known
// state. Changes are applied only if this VM knows everything up to their start.
func (d *Directory) MergeListing(now time.Duration, l Listing) bool {
	if l.Since == 0 {
		return d.Replace(now, l)
	}
	before := d.View().Revisions[l.Kind]
	if l.Since > before || l.Revision <= before {
		return false
	}
	d.Update(now, l)
	return d.View().Revisions[l.Kind] > before
}

// Changes returns the changes of a kind after a revision, to be sent to another VM. It returns the complete
// state if some of the deletions since then are no longer known.
func (d *Directory) Changes(k Kind, since uint64) Listing {
	if since == 0 {
		return d.Listing(k)
	}
	d.mu.Lock()
	known := since >= d.tombstonesSince[k] && EraOf(since) == EraOf(d.view.Load().Revisions[k])
	l := Listing{Kind: k, Since: since, Revision: d.view.Load().Revisions[k]}
	for _, e := range d.objects[k] {
		if e.Revision > since {
			l.Entries = append(l.Entries, d.asPatch(e, since))
		}
	}
	for _, e := range d.tombstones[k] {
		// A deletion and a new object of the same name can have the same revision.
		if _, again := d.objects[k][e.Name]; e.Revision > since && !again {
			l.Entries = append(l.Entries, e)
		}
	}
	d.mu.Unlock()
	if !known {
		return d.Listing(k)
	}
	return l
}

// addTombstone records a deletion. The caller holds the mutex.
func (d *Directory) addTombstone(k Kind, e Entry) {
	d.tombstones[k] = append(d.tombstones[k], e)
	if extra := len(d.tombstones[k]) - maxTombstones; extra > 0 {
		d.tombstonesSince[k] = d.tombstones[k][extra-1].Revision
		d.tombstones[k] = slices.Clone(d.tombstones[k][extra:])
	}
}

// latestRevision returns the highest revision among the objects and the last known change.
func latestRevision(objects map[string]Entry, before uint64) uint64 {
	latest := before
	for _, e := range objects {
		latest = max(latest, e.Revision)
	}
	return latest
}

// republish publishes a kind again under its current revisions. The caller holds the mutex.
func (d *Directory) republish(now time.Duration, k Kind) {
	v := d.view.Load()
	d.publish(now, k, v.Revisions[k], v.LastChanges[k])
}

// Put applies a single object that this VM has written or another one has sent. The revision of its kind stays
// the same, because there may be other changes before the object's.
func (d *Directory) Put(now time.Duration, k Kind, e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.objects[k][e.Name]; ok && old.Revision >= e.Revision {
		return
	}
	d.update(now, k, e)
	d.republish(now, k)
}

// MergeOwnerRecords applies owner records received from the VM that they name as holder. A service whose record is not
// known yet is skipped; its record arrives with a listing.
func (d *Directory) MergeOwnerRecords(now time.Duration, records []OwnerRecordEntry) {
	// After a return of the store a delayed write of an earlier era can get the revision of a record of the present one.
	later := func(revision uint64, known OwnerRecord, record OwnerRecordEntry) bool {
		return revision < record.Revision || revision == record.Revision && known.Era < record.Era
	}
	merged := map[string]OwnerRecordEntry{}
	v := d.View()
	for _, record := range records {
		if known, ok := v.OwnerRecords[record.Service]; ok && later(known.Revision, known.OwnerRecord, record) {
			merged[record.Service] = record
		}
	}
	if len(merged) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, e := range d.objects[Fleet] {
		if e.OwnerRecord == nil {
			continue
		}
		if record, ok := merged[e.OwnerRecord.Service]; ok && later(e.Revision, *e.OwnerRecord, record) {
			d.era = max(d.era, EraOf(record.Revision))
			d.objects[Fleet][name] = laterContent(e, Entry{Name: name, Revision: record.Revision, OwnerRecord: &record.OwnerRecord})
		}
	}
	d.republish(now, Fleet)
}

// MergeVM applies the record by which a VM announces itself.
func (d *Directory) MergeVM(now time.Duration, v VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.announced[v.Name] == v || d.ended[v.RunID()] {
		return
	}
	d.announced[v.Name] = v
	d.announcedListed(v)
	if d.view.Load().VMs[v.Name] == v {
		return // already known from the store; a starting VM of a large fleet receives hundreds of announcements
	}
	d.republish(now, Fleet)
}

// Expire removes servers whose entries have been missing for longer than MissingServerGrace.
func (d *Directory) Expire(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireKept(now)
	dropped := d.expireDeparted(now)
	for id, m := range d.missing {
		if now-m.since > MissingServerGrace {
			delete(d.missing, id)
			dropped = true
		}
	}
	if dropped {
		d.republish(now, Servers)
	}
}

// Listing returns the complete state of a kind, to be sent to another VM.
func (d *Directory) Listing(k Kind) Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := Listing{Kind: k, Revision: d.view.Load().Revisions[k]}
	for _, e := range d.objects[k] {
		l.Entries = append(l.Entries, e)
	}
	return l
}

// update applies a change of one object. The caller holds the mutex.
func (d *Directory) update(now time.Duration, k Kind, e Entry) {
	old, known := d.objects[k][e.Name]
	if known && old.Revision > e.Revision {
		return
	}
	d.era = max(d.era, EraOf(e.Revision))
	if e.Deleted && old.OwnerRecord != nil && EraOf(e.Revision) > EraOf(old.Revision) {
		old.Revision = e.Revision // the copy of the store lacks the record
		d.objects[k][e.Name] = old
		return
	}
	if k != Servers || !e.Deleted {
		d.confirmed(k, e.Name)
	}
	if e.Deleted {
		delete(d.objects[k], e.Name)
		d.addTombstone(k, e)
		d.recordRemoval(now, k, old)
		return
	}
	e = laterContent(old, e)
	if e.VM != nil {
		delete(d.ended, e.VM.RunID())
	}
	d.objects[k][e.Name] = e
	d.addPatchBase(e)
}

// recordRemoval handles the removal of an object. A server whose entry is missing is kept for
// MissingServerGrace. The caller holds the mutex.
func (d *Directory) recordRemoval(now time.Duration, k Kind, e Entry) {
	switch {
	case k == Servers && e.Server != nil:
		d.missing[e.Server.ID] = missingServer{server: d.withKnown(e.Name, e), since: now}
	case k == Fleet && e.VM != nil:
		d.ended[e.VM.RunID()] = true
		if d.announced[e.VM.Name].Incarnation == e.VM.Incarnation {
			delete(d.announced, e.VM.Name)
		}
	}
}

// publish derives and stores the next view. The caller holds the mutex.
func (d *Directory) publish(now time.Duration, k Kind, revision, changed uint64) {
	old := d.view.Load()
	next := *old
	next.Revisions[k] = revision
	next.LastChanges[k] = changed
	d.era = max(d.era, EraOf(revision))
	next.Era = d.era
	if k != Fleet {
		next.ServingVersion++
	}
	switch k {
	case Configurations:
		next.Configuration = d.configuration()
		if next.Configuration != nil {
			next.services = slices.Sorted(maps.Keys(next.Configuration.Services))
		}
	case Servers:
		next.Servers, next.Missing = d.servers(now)
		d.recordDeparted(now, old.Servers, next.Servers)
		next.Departed = d.departedByService()
		next.byService = map[string][]string{}
		for id, s := range next.Servers {
			next.byService[s.Service] = append(next.byService[s.Service], id)
		}
	case Withdrawals:
		next.Withdrawn = map[string]bool{}
		for name := range d.objects[Withdrawals] {
			next.Withdrawn[name] = true
		}
		for name := range d.keptWithdrawals {
			next.Withdrawn[name] = true
		}
	case Fleet:
		next.VMs, next.OwnerRecords = d.fleet()
		next.Voters = d.latestVoters(old.Voters, revision)
		if !maps.Equal(next.VMs, old.VMs) {
			next.ByCores = ByCores(next.VMs)
			next.byDomain = byDomain(next.ByCores, next.VMs)
		}
		next.EndedRuns = maps.Clone(d.ended)
		next.unregistered, next.restoredRuns = d.restoredVMs()
	}
	d.view.Store(&next)
	for _, f := range d.listeners {
		f(old, &next)
	}
}

// ByCores returns the names of the VMs that are not leaving, in descending order of processor cores. VMs with
// the same number of cores are ordered by a hash, so that the order does not follow their names, which contain
// the failure domain.
func ByCores(fleet map[string]VM) []string {
	type ranked struct {
		VM
		hash uint64
	}
	vms := make([]ranked, 0, len(fleet))
	for _, vm := range fleet {
		if !vm.Leaving {
			vms = append(vms, ranked{vm, xxhash.Sum64String(vm.Name)})
		}
	}
	slices.SortFunc(vms, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

// byDomain groups the names of VMs by failure domain.
func byDomain(names []string, fleet map[string]VM) map[string][]string {
	domains := map[string][]string{}
	for _, name := range names {
		domain := fleet[name].Domain
		domains[domain] = append(domains[domain], name)
	}
	return domains
}

// configuration returns the latest version. The previous one stays if an object cannot be decoded.
func (d *Directory) configuration() *Configuration {
	latest := d.view.Load().Configuration
	for _, e := range d.objects[Configurations] {
		if e.Configuration != nil && (latest == nil || e.Configuration.Version > latest.Version) {
			latest = e.Configuration
		}
	}
	return latest
}

func (d *Directory) servers(now time.Duration) (map[string]Server, map[string]time.Duration) {
	servers := map[string]Server{}
	missing := map[string]time.Duration{}
	for name, e := range d.objects[Servers] {
		if e.Server != nil {
			servers[e.Server.ID] = d.withKnown(name, e)
			delete(d.missing, e.Server.ID)
		}
	}
	for id, m := range d.missing {
		if now-m.since <= MissingServerGrace {
			servers[id] = m.server
			missing[id] = m.since
		}
	}
	return servers, missing
}

// VotersEntry is a configuration of the voters and the revision that its next change replaces.
type VotersEntry struct {
	membership.Configuration
	Revision uint64 `cbor:"7,keyasint,omitzero"`
}

// latestVoters returns the latest configuration of the voters at a revision of the fleet. One that completes a change counts
// only with all objects before it. A store that returns from an older copy, or empty, may hold an earlier configuration or
// none; the known one then stays in force, and is written again. The caller holds the mutex.
func (d *Directory) latestVoters(known VotersEntry, revision uint64) VotersEntry {
	latest := VotersEntry{Configuration: known.Configuration}
	for _, e := range d.objects[Fleet] {
		if e.Voters == nil {
			continue
		}
		switch {
		case e.Voters.Number <= known.Number:
			latest.Revision = e.Revision
		case e.Voters.First() || revision >= e.Revision:
			latest = VotersEntry{*e.Voters, e.Revision}
		default:
			latest.Revision = known.Revision
		}
	}
	return latest
}

// MergeVoters applies a configuration of the voters sent by another VM.
func (d *Directory) MergeVoters(now time.Duration, voters VotersEntry) {
	if voters.Number > d.View().Voters.Number && voters.Validate() == nil {
		d.Put(now, Fleet, Entry{Name: VotersName, Revision: voters.Revision, Voters: &voters.Configuration})
	}
}

func (d *Directory) fleet() (map[string]VM, map[string]OwnerRecordEntry) {
	vms := map[string]VM{}
	records := map[string]OwnerRecordEntry{}
	for _, e := range d.objects[Fleet] {
		switch {
		case e.VM != nil:
			vms[e.VM.Name] = *e.VM
		case e.OwnerRecord != nil:
			records[e.OwnerRecord.Service] = OwnerRecordEntry{*e.OwnerRecord, e.Revision}
		}
	}
	maps.Copy(vms, d.announced)
	return vms, records
}
