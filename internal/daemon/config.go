package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"siskinrouter/internal/catalog"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/zone"
)

// snapshot is the configuration in force. It is not changed after it was published.
type snapshot struct {
	generation uint64 // grows with each change
	contract   *fleetconfig.Config
	keys       catalog.Keys
	domains    versioned
	targets    versioned
}

// versioned is the value of an orders object with its version.
type versioned struct {
	version uint64
	orders  zone.Withdrawals
}

// config holds the platform objects that the VM knows and the configuration decoded from them.
type config struct {
	log     *log.Logger
	current atomic.Pointer[snapshot]

	applyMu sync.Mutex                        // orders whole updates
	changed func(names []string, s *snapshot) // puts s into force; called under applyMu before s is published

	mu       sync.Mutex
	catalog  *catalog.Catalog
	versions *machine.Versions
}

func newConfig(l *log.Logger) *config {
	c := &config{log: l, catalog: catalog.New(), versions: machine.NewVersions()}
	c.current.Store(&snapshot{contract: &fleetconfig.Config{}})
	return c
}

func (c *config) snapshot() *snapshot { return c.current.Load() }

// apply takes over newer objects and returns the names of those that changed. The new snapshot is
// published last: an access that carries its generation must find the groups that belong to it.
func (c *config) apply(objects []platform.Object) []string {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	names, next := c.merge(objects)
	if len(names) == 0 {
		return nil
	}
	c.changed(names, next)
	c.current.Store(next)
	return names
}

func (c *config) merge(objects []platform.Object) ([]string, *snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	converted := make([]catalog.Object, len(objects))
	for i, o := range objects {
		converted[i] = catalog.Object(o)
	}
	applied := c.catalog.Apply(converted)
	if len(applied) == 0 {
		return nil, nil
	}
	next := *c.current.Load()
	next.generation++
	names := make([]string, 0, len(applied))
	for _, o := range applied {
		c.versions.Set(o.Name, o.Version)
		names = append(names, o.Name)
		c.decode(&next, o)
	}
	return names, &next
}

// decode updates s by one object. A value that cannot be read leaves the configuration in force
// unchanged, so that a faulty object never takes down what runs.
func (c *config) decode(s *snapshot, o catalog.Object) {
	var err error
	switch o.Name {
	case catalog.NameContract:
		parsed, faults := fleetconfig.Parse(o.Value)
		if len(faults) > 0 {
			c.log.Error("operators' text in the platform is faulty; the earlier one stays in force",
				"version", o.Version, "faults", len(faults), "first", faults[0].Problem)
			return
		}
		s.contract = parsed
	case catalog.NameKeys:
		s.keys, err = keys(s.keys, o)
	case catalog.NameDomains:
		s.domains, err = orders(s.domains, o)
	case catalog.NameTargets:
		s.targets, err = orders(s.targets, o)
	}
	if err != nil {
		c.log.Error("platform object cannot be read; the earlier one stays in force",
			"object", o.Name, "version", o.Version, "err", err)
	}
}

// keys returns the decoded keys, or the earlier ones with the error.
func keys(earlier catalog.Keys, o catalog.Object) (catalog.Keys, error) {
	next, err := catalog.DecodeKeys(o.Value)
	if err != nil {
		return earlier, err
	}
	return next, nil
}

// orders returns the decoded orders, or the earlier ones with the error.
func orders(earlier versioned, o catalog.Object) (versioned, error) {
	next, err := zone.ParseWithdrawals(o.Value)
	if err != nil {
		return earlier, err
	}
	return versioned{version: o.Version, orders: next}, nil
}

// get returns the newest known version of an object.
func (c *config) get(name string) (catalog.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.catalog.Get(name)
}

// objects returns the named objects that the VM knows.
func (c *config) objects(names []string) []platform.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []platform.Object
	for _, name := range names {
		if o, ok := c.catalog.Get(name); ok {
			found = append(found, platform.Object(o))
		}
	}
	return found
}

// withVersions calls f with the version index while no other goroutine changes it.
func (c *config) withVersions(f func(*machine.Versions)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.versions)
}
