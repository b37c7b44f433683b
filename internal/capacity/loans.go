package capacity

import (
	"context"
	"fmt"
	mathrand "math/rand"
	"time"

	"siskinrouter/internal/grant"
	"siskinrouter/internal/platform"
)

// plannedManager returns the rate shares of a VM at the planned numbers of VMs and failure domains.
// It owns a slot if owner is set.
func plannedManager(vms []platform.VM, workspaces int, owner bool) *grant.Manager {
	run := func(v platform.VM) grant.VM { return grant.VM{Name: v.Name, Incarnation: 1} }
	self := vms[len(vms)-1]
	byDomain := map[string][]grant.VM{}
	for _, v := range vms {
		if v.Name != self.Name {
			byDomain[v.Domain] = append(byDomain[v.Domain], run(v))
		}
	}
	if owner {
		others := byDomain[self.Domain]
		byDomain[self.Domain] = append([]grant.VM{run(self)}, others[:min(len(others), grant.SlotsPerDomain-1)]...)
	}
	m := grant.NewManager(run(self), self.Domain, mathrand.New(mathrand.NewSource(1)))
	for i := range int(Default().Domains) {
		name := fmt.Sprintf("d%02d", i+1)
		o := grant.InitialOwners(name, int(Default().Domains), byDomain[name])
		o.Version = 1
		m.SetOwners(0, o)
	}
	m.SetPeers(peerList(vms))
	for i := range workspaces {
		m.SetWorkspace(0, workspaceName(i), 100, 100)
	}
	return m
}

func peerList(vms []platform.VM) []grant.Peer {
	var peers []grant.Peer
	for _, v := range vms {
		peers = append(peers, grant.Peer{VM: grant.VM{Name: v.Name, Incarnation: 1}, Domain: v.Domain})
	}
	return peers
}

// measureLoans measures accounts and the planning of loans. Borrow messages are not answered with a
// grant, so that the VM keeps asking, which is the state of a workspace above its rate.
func measureLoans(_ context.Context, r *run) error {
	vms := plannedVMs(r.count(int(Default().VMs)))
	n := r.count(manyWorkspaces)
	peers, _, _ := heldBy(func() (*grant.Manager, error) { return plannedManager(vms, 0, true), nil })
	r.set("peer.memory", peers/float64(len(vms)))
	var load float64
	bytes, m, err := heldBy(func() (m *grant.Manager, err error) {
		load, err = micros(float64(n), func() error {
			m = plannedManager(vms, n, true)
			return nil
		})
		return m, err
	})
	if err != nil {
		return err
	}
	r.set("account.load", load)
	r.set("account.memory", (bytes-peers)/float64(n))
	list := peerList(vms)
	const sets = 20
	perSet, err := micros(sets, func() error {
		for range sets {
			m.SetPeers(list)
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.set("peer.set", perSet)
	idle, err := pollCost(m, n)
	if err != nil {
		return err
	}
	r.set("account.poll_idle", idle)
	busy := plannedManager(vms, n, false)
	for i := range n {
		for range 10 {
			busy.Admit(0, workspaceName(i), 1)
		}
	}
	cost, err := pollCost(busy, n)
	if err != nil {
		return err
	}
	r.set("account.poll_busy", cost)
	few := plannedManager(vms[:int(Default().Carriers)], n, false)
	for i := range n {
		for range 10 {
			few.Admit(0, workspaceName(i), 1)
		}
	}
	if cost, err = pollCost(few, n); err != nil {
		return err
	}
	r.set("account.poll_carriers", cost)
	messages, _ := borrowing(vms, 50*time.Millisecond)
	_, refused := borrowing(vms, 1370*time.Millisecond)
	r.set("loan.messages", messages)
	r.set("loan.sparse_refused", 100*refused)
	return nil
}

// pollCost returns the processor time of Poll per workspace.
func pollCost(m *grant.Manager, workspaces int) (float64, error) {
	return micros(float64(polls*workspaces), func() error {
		for i := range polls {
			m.Poll(time.Duration(i+1) * grant.PollInterval)
		}
		return nil
	})
}

// borrowing returns the Borrow requests per second and the refused part of the requests of a VM that
// owns nothing and gets a request of one workspace at every interval. A request waits as in the
// daemon. Every lender is idle and answers at once.
func borrowing(vms []platform.VM, interval time.Duration) (messages, refused float64) {
	const (
		duration = 60 * time.Second
		start    = 2 * time.Second        // the goal holds for demand that has been steady for so long
		patience = 100 * time.Millisecond // as in the daemon
	)
	m := plannedManager(vms, 1, false)
	lenders := map[grant.VM]*grant.Manager{}
	sent, requests, failed := 0, 0, 0
	waiting := time.Duration(-1)
	for now := time.Duration(0); now < duration; now += grant.PollInterval {
		if now%interval < grant.PollInterval {
			if now >= start {
				requests++
			}
			if ok, _, _ := m.Admit(now, workspaceName(0), 1); !ok {
				waiting = now
			}
		} else if waiting >= 0 {
			if ok, _, _ := m.AdmitAgain(now, workspaceName(0), 1); ok {
				waiting = -1
			} else if now-waiting >= patience {
				waiting = -1
				if now >= start+patience {
					failed++
				}
			}
		}
		for _, req := range m.Poll(now) {
			sent++
			l := lenders[req.To]
			if l == nil {
				l = lenderOf(vms, req.To)
				lenders[req.To] = l
			}
			if reply, ok := l.HandleRequest(now, req); ok {
				m.HandleReply(now, reply)
			}
		}
	}
	return float64(sent) / duration.Seconds(), float64(failed) / float64(requests)
}

// lenderOf returns the shares of one owner.
func lenderOf(vms []platform.VM, self grant.VM) *grant.Manager {
	byDomain := map[string][]grant.VM{}
	domain := ""
	for _, v := range vms[:len(vms)-1] {
		byDomain[v.Domain] = append(byDomain[v.Domain], grant.VM{Name: v.Name, Incarnation: 1})
		if v.Name == self.Name {
			domain = v.Domain
		}
	}
	m := grant.NewManager(self, domain, mathrand.New(mathrand.NewSource(2)))
	o := grant.InitialOwners(domain, int(Default().Domains), byDomain[domain])
	o.Version = 1
	m.SetOwners(0, o)
	m.SetWorkspace(0, workspaceName(0), 100, 100)
	return m
}
