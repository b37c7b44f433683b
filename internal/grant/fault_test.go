package grant

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// faultTrial runs managers over a network that loses, copies and delays messages, while VMs pause
// and restart.
type faultTrial struct {
	random   *rand.Rand
	now      time.Duration
	managers []*Manager
	paused   []time.Duration // until when
	owners   Owners
	tenant   tenant
	messages []faultMessage
}

type faultMessage struct {
	at      time.Duration
	request *BorrowRequest
	reply   *BorrowReply
}

// to returns the receiver.
func (m faultMessage) to() RunID {
	if m.request != nil {
		return m.request.To
	}
	return m.reply.To
}

const (
	faultVMs    = 5
	faultRate   = 400
	faultEnd    = 20 * time.Second // no faults from then on
	faultSettle = faultEnd + 5*time.Second
	faultLength = faultSettle + 5*time.Second
)

func newFaultTrial(seed int64) *faultTrial {
	f := &faultTrial{random: rand.New(rand.NewSource(seed)), paused: make([]time.Duration, faultVMs)}
	var vms []RunID
	for i := range faultVMs {
		vms = append(vms, trialVM(i))
	}
	// The last VM owns nothing.
	f.owners = InitialOwners("d", 1, vms[:faultVMs-1])
	f.owners.Version = 1
	f.tenant = tenant{rate: faultRate * MicroTokensPerToken, burst: faultRate * MicroTokensPerToken, level: faultRate * MicroTokensPerToken}
	for i := range faultVMs {
		f.managers = append(f.managers, nil)
		f.start(i, 1)
	}
	return f
}

// start begins a run of a VM.
func (f *faultTrial) start(i int, incarnation uint64) {
	vm := RunID{trialVM(i).Name, incarnation}
	m := NewManager(vm, "d", rand.New(rand.NewSource(f.random.Int63())))
	m.SetOwners(f.now, f.owners)
	m.SetWorkspace(f.now, "w0", faultRate, faultRate)
	f.managers[i] = m
	f.announce()
}

// announce tells all VMs that are not paused of the live VMs.
func (f *faultTrial) announce() {
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

// restart replaces a VM and gives the slots of its old run to any live VM, possibly itself.
func (f *faultTrial) restart(i int) {
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
func (f *faultTrial) send(m faultMessage) {
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

// find returns the manager of the VM's present run, or any run if there is no such.
func (f *faultTrial) find(vm RunID) (int, *Manager) {
	for i, m := range f.managers {
		if m.self.Name == vm.Name {
			return i, m
		}
	}
	return 0, nil
}

// deliver handles the messages that have arrived at VMs that are not paused.
func (f *faultTrial) deliver() {
	waiting := f.messages
	f.messages = nil
	for _, m := range waiting {
		i, manager := f.find(m.to())
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

// step advances the trial by a millisecond.
func (f *faultTrial) step() {
	f.now += time.Millisecond
	f.deliver()
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
		// Demand exceeds the rate and moves every 3 s.
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

func (f *faultTrial) admit(m *Manager) {
	f.tenant.sent++
	if ok, _, _ := m.Admit(f.now, "w0", 1); ok {
		f.tenant.take(f.now)
	}
}

// live returns the sum of the shares in use. It works on copies, so that paused VMs stay behind.
func (f *faultTrial) live() Share {
	var sum Share
	for _, m := range f.managers {
		sum += m.spaces["w0"].account.clone().Share(f.now)
	}
	return sum
}

// Measures an admission and a plan on a VM with 8 workspaces and 8 peers.
func BenchmarkManager(b *testing.B) {
	w := newTrial(1, 1)
	m := newBorrowing(w, len(trialDomains)).managers[0]
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
			for space := range trialRates {
				m.Admit(now, spaceName(space), 1)
			}
			m.Poll(now)
		}
	})
}

// Guards against over-admission by managers whose messages are lost, copied, delayed and
// reordered while VMs pause and restart, and against a fleet that does not return to the full rate
// after the faults have ended.
func TestManagersUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range int64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFaultTrial(seed)
			before := 0
			for f.now < faultLength {
				f.step()
				is.True(f.live() <= FullShare)
				if f.now == faultSettle {
					before = f.tenant.admitted
				}
			}
			for _, m := range f.managers {
				is.True(len(m.spaces["w0"].lenders) < faultVMs) // restarted VMs are forgotten
			}
			is.Equal(f.tenant.over, 0)
			used := float64(f.tenant.admitted-before) / (faultRate * (faultLength - faultSettle).Seconds())
			t.Logf("%d admitted during and %d after the faults, %.1f%% of the rate after them", before, f.tenant.admitted-before, 100*used)
			is.True(used > 0.95)
		})
	}
}
