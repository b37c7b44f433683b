package grant

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// faultSimulation runs managers over a network that loses, duplicates and delays messages, while
// VMs pause and restart.
type faultSimulation struct {
	random   *rand.Rand
	now      time.Duration
	managers []*Manager
	paused   []time.Duration // end of the pause
	owners   Owners
	load     workspaceLoad
	messages []faultMessage
}

type faultMessage struct {
	at      time.Duration
	request *BorrowRequest
	reply   *BorrowReply
}

// receiver returns the run that the message is for.
func (m faultMessage) receiver() RunID {
	if m.request != nil {
		return m.request.To
	}
	return m.reply.To
}

const (
	faultVMs      = 5
	faultRate     = 400
	faultEnd      = 20 * time.Second // no injected faults from then on
	faultsSettled = faultEnd + 5*time.Second
	faultLength   = faultsSettled + 5*time.Second
)

func newFaultSimulation(seed int64) *faultSimulation {
	f := &faultSimulation{random: rand.New(rand.NewSource(seed)), paused: make([]time.Duration, faultVMs)}
	var vms []RunID
	for i := range faultVMs {
		vms = append(vms, simVM(i))
	}
	// The last VM owns nothing.
	f.owners = InitialOwners("d", 1, vms[:faultVMs-1])
	f.owners.Version = 1
	f.load = workspaceLoad{rate: faultRate * MicroTokensPerToken, burst: faultRate * MicroTokensPerToken, bucketLevel: faultRate * MicroTokensPerToken}
	for i := range faultVMs {
		f.managers = append(f.managers, nil)
		f.start(i, 1)
	}
	return f
}

// start begins a run of a VM.
func (f *faultSimulation) start(i int, incarnation uint64) {
	vm := RunID{simVM(i).Name, incarnation}
	m := NewManager(vm, "d", rand.New(rand.NewSource(f.random.Int63())))
	m.SetOwners(f.now, f.owners)
	m.SetWorkspace(f.now, "w0", faultRate, faultRate)
	f.managers[i] = m
	f.updatePeers()
}

// updatePeers sets the peers of all VMs to the running VMs.
func (f *faultSimulation) updatePeers() {
	var peers []Peer
	for i, m := range f.managers {
		if m != nil {
			domain := "d"
			if i%2 == 1 {
				domain = "e"
			}
			peers = append(peers, Peer{m.self, domain})
		}
	}
	for _, m := range f.managers {
		if m != nil {
			m.SetPeers(peers)
		}
	}
}

// restart replaces a VM and transfers the slots of its old run to any running VM, possibly to the
// new run.
func (f *faultSimulation) restart(i int) {
	old := f.managers[i].self
	f.start(i, old.Incarnation+1)
	f.paused[i] = 0
	next, changed := f.owners.ReassignSlots(func(vm RunID) bool { return vm != old }, []RunID{f.managers[f.random.Intn(faultVMs)].self})
	if changed {
		next.Version++
		f.owners = next
	}
}

// send puts a message on the network.
func (f *faultSimulation) send(m faultMessage) {
	copies := 1
	if f.now < faultEnd {
		copies = []int{0, 2, 1, 1, 1, 1, 1, 1, 1, 1}[f.random.Intn(10)]
	}
	for range copies {
		delay := time.Duration(f.random.Intn(4000)) * time.Microsecond
		if f.now < faultEnd && f.random.Intn(10) == 0 {
			delay = time.Duration(f.random.Int63n(int64(2 * LoanLifetime)))
		}
		m.at = f.now + delay
		f.messages = append(f.messages, m)
	}
}

// managerOf returns the manager of the current run of the VM.
func (f *faultSimulation) managerOf(vm RunID) (int, *Manager) {
	for i, m := range f.managers {
		if m.self.Name == vm.Name {
			return i, m
		}
	}
	return 0, nil
}

// deliverDue handles the messages that have arrived at VMs that are not paused.
func (f *faultSimulation) deliverDue() {
	waiting := f.messages
	f.messages = nil
	for _, m := range waiting {
		i, manager := f.managerOf(m.receiver())
		if m.at > f.now || f.now < f.paused[i] {
			f.messages = append(f.messages, m)
			continue
		}
		if m.reply != nil {
			manager.HandleReply(f.now, *m.reply)
		} else if reply, ok := manager.HandleRequest(f.now, *m.request); ok {
			f.send(faultMessage{reply: &reply})
		}
	}
}

// step advances the simulation by a millisecond.
func (f *faultSimulation) step() {
	f.now += time.Millisecond
	f.deliverDue()
	for i, m := range f.managers {
		if f.now < f.paused[i] {
			continue
		}
		event := f.random.Intn(4000)
		switch {
		case event < 1 && f.now < faultEnd:
			f.paused[i] = f.now + time.Duration(f.random.Int63n(int64(2*LoanLifetime)))
			continue
		case event < 2 && f.now < faultEnd:
			f.restart(i)
			continue
		case event < 6 || f.now == faultEnd:
			m.SetOwners(f.now, f.owners)
		}
		// Demand exceeds the rate and moves to another VM every 3 s.
		busy := int(f.now/(3*time.Second))%faultVMs == i
		for range f.random.Intn(2) {
			f.admit(m)
		}
		for n := f.random.Intn(4); busy && n > 0; n-- {
			f.admit(m)
		}
		for _, r := range m.Poll(f.now) {
			f.send(faultMessage{request: &r})
		}
	}
}

func (f *faultSimulation) admit(m *Manager) {
	f.load.sent++
	if ok, _, _ := m.Admit(f.now, "w0", 1); ok {
		f.load.recordAdmission(f.now)
	}
}

// activeShares returns the sum of the shares in use. It works on copies, so that the accounts of
// paused VMs are not advanced.
func (f *faultSimulation) activeShares() Share {
	var sum Share
	for _, m := range f.managers {
		sum += m.workspaces["w0"].account.clone().Share(f.now)
	}
	return sum
}

// BenchmarkManager measures one admission and one plan on a VM with 8 workspaces and 8 peers.
func BenchmarkManager(b *testing.B) {
	sim := newSimulation(1, 1)
	m := newLoanLimiter(sim, len(simDomains)).managers[0]
	now := 3 * time.Second
	b.Run("admit", func(b *testing.B) {
		for b.Loop() {
			now += 10 * time.Microsecond
			m.Admit(now, "w0", 1)
		}
	})
	b.Run("poll", func(b *testing.B) {
		for b.Loop() {
			now += PollInterval
			for workspace := range simRates {
				m.Admit(now, workspaceName(workspace), 1)
			}
			m.Poll(now)
		}
	})
}

// Guards against over-admission, and against a fleet that does not return to the full rate
// afterwards: messages are lost, duplicated, delayed and reordered while VMs pause and restart.
func TestManagersUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range int64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFaultSimulation(seed)
			before := 0
			for f.now < faultLength {
				f.step()
				is.True(f.activeShares() <= FullShare)
				if f.now == faultsSettled {
					before = f.load.admitted
				}
			}
			for _, m := range f.managers {
				is.True(len(m.workspaces["w0"].lenders) < faultVMs) // earlier runs are removed
			}
			is.Equal(f.load.overAdmitted, 0)
			used := float64(f.load.admitted-before) / (faultRate * (faultLength - faultsSettled).Seconds())
			t.Logf("%d admitted during and %d after the faults, %.1f%% of the rate after them", before, f.load.admitted-before, 100*used)
			is.True(used > 0.95)
		})
	}
}
