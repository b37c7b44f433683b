package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"time"

	"siskinrouter/internal/catalog"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/promotion"
)

const (
	manyKeys       = 10_000
	manyWorkspaces = 1000
	textGroups     = 600
	textParses     = 3
	manyRequests   = 4096
	liveCopies     = 500
	polls          = 30
	lostPrimaries  = 233 // of 4,667 in 20 failure domains
)

// heldBy returns the memory that the result of f holds.
func heldBy[T any](f func() (T, error)) (bytes float64, v T, err error) {
	before := live()
	v, err = f()
	bytes = live() - before
	runtime.KeepAlive(v)
	return bytes, v, err
}

// measureState measures what a VM keeps of the fleet and the platform.
func measureState(_ context.Context, r *run) error {
	p := Default()
	vms := plannedVMs(r.count(int(p.VMs)))
	size, err := listSize(addressed(vms))
	if err != nil {
		return err
	}
	r.set("list.entry", size/float64(len(vms)))
	bytes, members, _ := heldBy(func() (*machine.Members, error) { return membersOf(vms), nil })
	runtime.KeepAlive(vms)
	r.set("vm.memory", bytes/float64(len(vms)))
	n := r.count(liveCopies)
	copies, err := micros(float64(n), func() error {
		for range n {
			members.Live()
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.set("vm.live", copies)
	const ticks = 600
	tick, err := micros(ticks, func() error {
		for i := range ticks {
			members.Tick(time.Duration(i) * 100 * time.Millisecond)
		}
		return nil
	})
	r.set("vm.tick", tick)
	if err != nil {
		return err
	}
	if err := r.driverPeers(vms); err != nil {
		return err
	}
	return r.objects()
}

// driverPeers measures a driver that learns the live VMs, which it does twice a second for each group.
func (r *run) driverPeers(vms []platform.VM) error {
	var servers []promotion.Server
	for i := range 3 {
		servers = append(servers, promotion.Server{Name: fmt.Sprintf("s%d", i), Address: vmAddress, Domain: vms[i].Domain})
	}
	driver := promotion.NewDriver(promotion.Config{Group: "g", VM: vms[0].Name, Domain: vms[0].Domain, Driver: vms[0].Name, Servers: servers})
	const updates = 50
	cost, err := micros(updates, func() error {
		for i := range updates {
			live := make([]promotion.VM, 0, len(vms))
			for _, v := range vms {
				live = append(live, promotion.VM{Name: v.Name, Domain: v.Domain})
			}
			driver.Step(time.Duration(i)*time.Second/2, promotion.Peers{Live: live})
		}
		return nil
	})
	r.set("driver.peers", cost)
	return err
}

// addressed returns the VMs with addresses as long as those of a large fleet.
func addressed(vms []platform.VM) []platform.VM {
	all := slices.Clone(vms)
	for i := range all {
		all[i].Address = fmt.Sprintf("10.%d.%d.%d:7400", 100+i%20, 100+i/200, i%200)
	}
	return all
}

// membersOf returns a membership that knows a list of VMs.
func membersOf(vms []platform.VM) *machine.Members {
	m := machine.New(machine.Config{Self: machineVM(vms[0])}, rand.New(rand.NewPCG(1, 1)))
	list := make([]machine.VM, len(vms))
	for i, v := range vms {
		list[i] = machineVM(platform.VM{
			Name: strings.Clone(v.Name), Incarnation: strings.Clone(v.Incarnation), Domain: v.Domain,
			Address: strings.Clone(v.Address), State: v.State,
		})
	}
	m.Observe(0, 0, list)
	return m
}

// index is a catalog with the versions that a VM announces.
type index struct {
	catalog  *catalog.Catalog
	versions *machine.Versions
}

func (r *run) objects() error {
	n := r.count(int(Default().Groups()))
	bytes, _, err := heldBy(func() (index, error) {
		x := index{catalog.New(), machine.NewVersions()}
		for i := range n {
			o := catalog.Object{Name: fmt.Sprintf("%splan-g%d", catalog.PrefixGroups, i+1), Version: 1, Value: make([]byte, groupObject)}
			x.catalog.Apply([]catalog.Object{o})
			x.versions.Set(o.Name, o.Version)
		}
		return x, nil
	})
	r.set("object.memory", bytes/float64(n))
	return err
}

// measureKeys measures the object keys.
func measureKeys(_ context.Context, r *run) error {
	n := r.count(manyKeys)
	var keys catalog.Keys
	for i := range n {
		keys = append(keys, catalog.NewKey(fmt.Sprintf("%08x", i), workspaceName(i), callerSecret, []byte("salt-of-16-bytes")))
	}
	value, err := keys.Encode()
	if err != nil {
		return err
	}
	r.set("key.bytes", float64(len(value))/float64(n))
	bytes, decoded, err := heldBy(func() (catalog.Keys, error) { return catalog.DecodeKeys(value) })
	if err != nil {
		return err
	}
	// The collection of either would be counted against what was decoded.
	runtime.KeepAlive(keys)
	runtime.KeepAlive(value)
	r.set("key.memory", bytes/float64(n))
	const searches = 200
	perSearch, err := micros(searches, func() error {
		for range searches {
			decoded.Find("workspace-none", callerSecret)
		}
		return nil
	})
	r.set("key.scan", perSearch/float64(n)*1000)
	return err
}
