package directory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MissingServerGrace is how long a server is kept after its entry disappeared. Entries that lapse while the
// store is away return within two seconds.
const MissingServerGrace = 2500 * time.Millisecond

// View is an immutable state of the directory.
type View struct {
	Configuration *Configuration // nil before the first one is known
	services      []string       // names of the services, sorted
	Servers       map[string]Server
	byService     map[string][]string // ids of the servers
	// ServingVersion counts the changes of what owners serve by: configuration, servers and withdrawals.
	ServingVersion uint64
	// Missing says since when the entry of a server that is still in Servers has been missing.
	Missing   map[string]time.Duration
	Withdrawn map[string]bool // failure domains
	VMs       map[string]VM
	// ByCores holds the names of the VMs that do not leave, those with the most processor time first. VMs that
	// know the same fleet have the same order.
	ByCores      []string
	EndedRuns    map[RunID]bool // runs whose records were removed
	OwnerRecords map[string]OwnerRecordEntry
	Revisions    [KindCount]uint64
	// LastChanges holds for each kind the revision of its last known change, by which VMs compare their news.
	LastChanges [KindCount]uint64
}

// OwnerRecordEntry is a tenure and the revision of its record.
type OwnerRecordEntry struct {
	OwnerRecord
	Revision uint64 `cbor:"7,keyasint,omitzero"`
}

// Usable reports whether new work may be sent to a server.
func (v *View) Usable(id string) bool {
	s, ok := v.Servers[id]
	return ok && !s.Draining && !v.Withdrawn[s.Domain]
}

// AllServices returns the names of the services, sorted. The list is not to be changed.
func (v *View) AllServices() []string { return v.services }

// ServersOf returns the ids of the servers of a service. The list is not to be changed.
func (v *View) ServersOf(service string) []string { return v.byService[service] }

// FirstServices returns the first n services by name.
func (v *View) FirstServices(n int) []string { return v.services[:min(len(v.services), n)] }

// Ended reports whether a run of a VM is known to have ended, because another run has replaced it or its
// record was removed.
func (v *View) Ended(h RunID) bool {
	vm, ok := v.VMs[h.Name]
	return ok && vm.Incarnation != h.Incarnation || v.EndedRuns[h]
}

// Directory merges news. It is safe for concurrent use.
type Directory struct {
	view    atomic.Pointer[View]
	mu      sync.Mutex
	objects [KindCount]map[string]Entry
	// met holds the VMs that have introduced themselves, which is later news than the store's.
	met map[string]VM
	// left holds the runs of VMs whose records were removed.
	left    map[RunID]bool
	missing map[string]missingServer
	// deleted holds the latest deletions of each kind, in the order in which they were learned.
	deleted [KindCount][]Entry
	// complete is the revision from which on the deletions of a kind are known.
	complete [KindCount]uint64
	// bases holds the latest configurations, oldest first.
	bases   []Entry
	changed []func(old, new *View)
}

// maxDeleted bounds the deletions that are remembered for each kind. A VM that lacks older ones is sent
// the complete state.
const maxDeleted = 256

type missingServer struct {
	server Server
	since  time.Duration
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{met: map[string]VM{}, left: map[RunID]bool{}, missing: map[string]missingServer{}}
	for k := range d.objects {
		d.objects[k] = map[string]Entry{}
	}
	d.view.Store(&View{})
	return d
}

// OnChange registers a function that is called after each change, one at a time and in order. It must
// be called before the directory is used.
func (d *Directory) OnChange(f func(old, new *View)) { d.changed = append(d.changed, f) }

// View returns the present state.
func (d *Directory) View() *View { return d.view.Load() }

// Replace puts a complete listing into force unless the state of its kind is as late.
func (d *Directory) Replace(now time.Duration, l Listing) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l.Revision <= d.view.Load().Revisions[l.Kind] {
		return false
	}
	objects := make(map[string]Entry, len(l.Entries))
	for _, e := range l.Entries {
		objects[e.Name] = e
		d.keepBase(e)
	}
	for name, e := range d.objects[l.Kind] {
		if _, ok := objects[name]; !ok {
			d.forget(now, l.Kind, e)
		}
	}
	changed := d.view.Load().LastChanges[l.Kind]
	if !sameRevisions(d.objects[l.Kind], objects) {
		changed = latestRevision(objects, changed)
	}
	for name := range d.objects[l.Kind] {
		if _, ok := objects[name]; !ok {
			// The deletion happened at the listed revision at the latest.
			changed = l.Revision
			d.remember(l.Kind, Entry{Name: name, Revision: l.Revision, Deleted: true})
		}
	}
	if d.view.Load().Revisions[l.Kind] == 0 {
		d.complete[l.Kind] = changed
	}
	d.objects[l.Kind] = objects
	d.publish(now, l.Kind, l.Revision, changed)
	return true
}

// Update puts changes into force that follow the known state of their kind.
func (d *Directory) Update(now time.Duration, l Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view.Load()
	if l.Revision <= v.Revisions[l.Kind] {
		return
	}
	changed := v.LastChanges[l.Kind]
	for i := range l.Entries {
		var ok bool
		if l.Entries[i], ok = d.unpatch(l.Entries[i]); !ok {
			return
		}
	}
	for _, e := range l.Entries {
		if e.Deleted {
			// The store may name the revision before the deletion.
			e.Revision = max(e.Revision, l.Revision)
		}
		d.update(now, l.Kind, e)
		changed = max(changed, e.Revision)
	}
	d.publish(now, l.Kind, l.Revision, changed)
}

// MergeListing takes what another VM has sent and reports whether it was news. Changes are taken only if this VM
// knows everything up to their start.
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

// Changes returns the changes of a kind after a revision, for another VM. It is the complete state if not
// all deletions since are known.
func (d *Directory) Changes(k Kind, since uint64) Listing {
	if since == 0 {
		return d.Listing(k)
	}
	d.mu.Lock()
	known := since >= d.complete[k]
	l := Listing{Kind: k, Since: since, Revision: d.view.Load().Revisions[k]}
	for _, e := range d.objects[k] {
		if e.Revision > since {
			l.Entries = append(l.Entries, d.patched(e, since))
		}
	}
	for _, e := range d.deleted[k] {
		// A deletion and a new object of the same name can carry the same revision.
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

// remember keeps a deletion. The mutex is held.
func (d *Directory) remember(k Kind, e Entry) {
	d.deleted[k] = append(d.deleted[k], e)
	if extra := len(d.deleted[k]) - maxDeleted; extra > 0 {
		d.complete[k] = d.deleted[k][extra-1].Revision
		d.deleted[k] = slices.Clone(d.deleted[k][extra:])
	}
}

// sameRevisions reports whether two states of a kind hold the same objects.
func sameRevisions(a, b map[string]Entry) bool {
	return maps.EqualFunc(a, b, func(x, y Entry) bool { return x.Revision == y.Revision })
}

// latestRevision returns the highest revision of the objects and of the last change known before.
func latestRevision(objects map[string]Entry, before uint64) uint64 {
	latest := before
	for _, e := range objects {
		latest = max(latest, e.Revision)
	}
	return latest
}

// same publishes a kind again whose revisions have not changed. The mutex is held.
func (d *Directory) same(now time.Duration, k Kind) {
	v := d.view.Load()
	d.publish(now, k, v.Revisions[k], v.LastChanges[k])
}

// Put takes a single object that this VM has written or another one has sent. The revision of its kind
// stays, because other changes may lie between.
func (d *Directory) Put(now time.Duration, k Kind, e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.objects[k][e.Name]; ok && old.Revision >= e.Revision {
		return
	}
	d.update(now, k, e)
	d.same(now, k)
}

// MergeOwnerRecords takes the records of tenures from the VM that holds them. A service whose record is not known yet is
// left to the news.
func (d *Directory) MergeOwnerRecords(now time.Duration, tenures []OwnerRecordEntry) {
	later := map[string]OwnerRecordEntry{}
	v := d.View()
	for _, t := range tenures {
		if known, ok := v.OwnerRecords[t.Service]; ok && known.Revision < t.Revision {
			later[t.Service] = t
		}
	}
	if len(later) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, e := range d.objects[Fleet] {
		if e.OwnerRecord == nil {
			continue
		}
		if t, ok := later[e.OwnerRecord.Service]; ok && e.Revision < t.Revision {
			d.objects[Fleet][name] = Entry{Name: name, Revision: t.Revision, OwnerRecord: &t.OwnerRecord}
		}
	}
	d.same(now, Fleet)
}

// MergeVM takes the introduction of a VM.
func (d *Directory) MergeVM(now time.Duration, v VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.met[v.Name] == v || d.left[v.RunID()] {
		return
	}
	d.met[v.Name] = v
	if d.view.Load().VMs[v.Name] == v {
		return // as the store has it; each VM of a large fleet meets hundreds when it starts
	}
	d.same(now, Fleet)
}

// Expire drops servers whose entries have been missing for too long.
func (d *Directory) Expire(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	dropped := false
	for id, m := range d.missing {
		if now-m.since > MissingServerGrace {
			delete(d.missing, id)
			dropped = true
		}
	}
	if dropped {
		d.same(now, Servers)
	}
}

// Listing returns the complete state of a kind, for another VM.
func (d *Directory) Listing(k Kind) Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := Listing{Kind: k, Revision: d.view.Load().Revisions[k]}
	for _, e := range d.objects[k] {
		l.Entries = append(l.Entries, e)
	}
	return l
}

// update changes one object. The mutex is held.
func (d *Directory) update(now time.Duration, k Kind, e Entry) {
	old, known := d.objects[k][e.Name]
	if known && old.Revision > e.Revision {
		return
	}
	if e.Deleted {
		delete(d.objects[k], e.Name)
		d.remember(k, e)
		d.forget(now, k, old)
		return
	}
	if e.VM != nil {
		delete(d.left, e.VM.RunID())
	}
	d.objects[k][e.Name] = e
	d.keepBase(e)
}

// forget takes the removal of an object. A server whose entry is missing is kept for a while. The mutex is
// held.
func (d *Directory) forget(now time.Duration, k Kind, e Entry) {
	switch {
	case k == Servers && e.Server != nil:
		d.missing[e.Server.ID] = missingServer{server: *e.Server, since: now}
	case k == Fleet && e.VM != nil:
		d.left[e.VM.RunID()] = true
		if d.met[e.VM.Name].Incarnation == e.VM.Incarnation {
			delete(d.met, e.VM.Name)
		}
	}
}

// publish derives the view. The mutex is held.
func (d *Directory) publish(now time.Duration, k Kind, revision, changed uint64) {
	old := d.view.Load()
	next := *old
	next.Revisions[k] = revision
	next.LastChanges[k] = changed
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
		next.byService = map[string][]string{}
		for id, s := range next.Servers {
			next.byService[s.Service] = append(next.byService[s.Service], id)
		}
	case Withdrawals:
		next.Withdrawn = map[string]bool{}
		for name := range d.objects[Withdrawals] {
			next.Withdrawn[name] = true
		}
	case Fleet:
		next.VMs, next.OwnerRecords = d.fleet()
		if !maps.Equal(next.VMs, old.VMs) {
			next.ByCores = ByCores(next.VMs)
		}
		next.EndedRuns = maps.Clone(d.left)
	}
	d.view.Store(&next)
	for _, f := range d.changed {
		f(old, &next)
	}
}

// ByCores returns the names of the VMs that do not leave in the order of their processor time. VMs of the same
// size are ordered by a hash, so that the order does not follow their names, which tell failure domains.
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

// configuration returns the latest version; the previous one stays if an object cannot be understood.
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
	for _, e := range d.objects[Servers] {
		if e.Server != nil {
			servers[e.Server.ID] = *e.Server
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

func (d *Directory) fleet() (map[string]VM, map[string]OwnerRecordEntry) {
	vms := map[string]VM{}
	tenures := map[string]OwnerRecordEntry{}
	for _, e := range d.objects[Fleet] {
		switch {
		case e.VM != nil:
			vms[e.VM.Name] = *e.VM
		case e.OwnerRecord != nil:
			tenures[e.OwnerRecord.Service] = OwnerRecordEntry{*e.OwnerRecord, e.Revision}
		}
	}
	maps.Copy(vms, d.met)
	return vms, tenures
}
