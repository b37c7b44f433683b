package entryvm

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"siskinrouter/internal/directory"
)

// maxRemovals bounds the removals that a VM remembers for the list of members.
const maxRemovals = 64

// MemberList is what a VM knows of the members of its fleet. Times are in seconds.
type MemberList struct {
	VM          string    `json:"vm"` // that answers
	Coordinator string    `json:"coordinator"`
	Number      uint64    `json:"number"` // of the configuration of the voters
	Joint       bool      `json:"joint"`  // whether a change of the voters is under way
	Members     []Member  `json:"members"`
	Removals    []Removal `json:"removals"`
}

// Member is one VM of the fleet.
type Member struct {
	Name     string  `json:"name"`
	Domain   string  `json:"domain"`
	Address  string  `json:"address"`
	KnownFor float64 `json:"known_for_s"` // of this run, by the VM that answers
	Voter    bool    `json:"voter"`
	Services int     `json:"services"`
	// HeardAgo is the time since the VM that answers last heard from the member; negative if it has not. Only owners hear
	// from all voters, and only the coordinator from all VMs.
	HeardAgo float64 `json:"heard_ago_s"`
	// Number is the latest configuration of the voters that the member has reported, 0 if it has not.
	Number uint64 `json:"number"`
}

// Removal is a voter that this VM has replaced, or a VM whose record it has removed.
type Removal struct {
	VM     string    `json:"vm"`
	At     time.Time `json:"at"`
	Reason string    `json:"reason"`
}

// firstSeen is when this VM first saw a run of another one.
type firstSeen struct {
	run directory.RunID
	at  time.Duration
}

// vmsChanged records which runs of VMs this VM has begun to see.
func (m *members) vmsChanged(old, v *directory.View) {
	now := m.d.bootClock()
	at := make(map[string]string, len(v.VMs))
	for name, vm := range v.VMs {
		// A VM that was replaced at its address keeps its record until it counts as gone.
		if other := at[vm.Address]; vm.Address != "" && other != "" && (old.VMs[name] != vm || old.VMs[other] != v.VMs[other]) {
			m.d.log.Warn("two VMs have the same address", "address", vm.Address, "vm", name, "other", other)
		}
		at[vm.Address] = name
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]firstSeen, len(v.VMs))
	for name, vm := range v.VMs {
		first, ok := m.seen[name]
		if !ok || first.run != vm.RunID() {
			first = firstSeen{vm.RunID(), now}
		}
		seen[name] = first
	}
	m.seen = seen
}

// recordRemoval keeps a removal for the list of members. The mutex must be held.
func (m *members) recordRemoval(vm, reason string) {
	m.removals = append(m.removals, Removal{VM: vm, At: time.Now(), Reason: reason})
	if extra := len(m.removals) - maxRemovals; extra > 0 {
		m.removals = slices.Delete(m.removals, 0, extra)
	}
}

// list returns the members of the fleet, ordered by name.
func (m *members) list() MemberList {
	v, now := m.d.directory.View(), m.d.bootClock()
	coordinator, _ := coordinatorRecord(v)
	services := map[directory.RunID]int{}
	for _, record := range v.OwnerRecords {
		services[record.Holder]++
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := MemberList{VM: m.d.self.Name, Coordinator: coordinator.Holder.Name, Number: v.Voters.Number, Joint: v.Voters.Joint(),
		Members: []Member{}, Removals: append([]Removal{}, m.removals...)}
	for name, vm := range v.VMs {
		member := Member{Name: name, Domain: vm.Domain, Address: vm.Address, KnownFor: (now - m.seen[name].at).Seconds(),
			Voter: v.Voters.Votes(name), Services: services[vm.RunID()], HeardAgo: -1}
		if at, number := m.presence.LastHeard(name); at > 0 {
			member.HeardAgo, member.Number = (now - at).Seconds(), number
		}
		l.Members = append(l.Members, member)
	}
	slices.SortFunc(l.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// serveList answers a request for the list of members.
func (m *members) serveList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(m.list()); err != nil {
		m.d.log.Debug("list of members not sent", "error", err)
	}
}
