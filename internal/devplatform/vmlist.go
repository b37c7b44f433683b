package devplatform

import (
	"slices"
	"strings"
	"sync"
	"time"

	"siskinrouter/internal/platform"
)

// vmList is the list of VMs as the platform shows it: the state of some time ago.
type vmList struct {
	lag    time.Duration // between a change and its appearance in the list
	expiry time.Duration // a VM that does not renew for this long counts as stopped

	mu  sync.Mutex
	vms map[string]*vmHistory
}

// vmHistory holds the changes of one VM that the list does not show yet, after the one it shows.
type vmHistory struct {
	renewed time.Time
	changes []vmChange
	stopped map[string]bool // incarnations that are gone
}

type vmChange struct {
	at   time.Time
	vm   platform.VM
	gone bool
}

func newVMList(lag, expiry time.Duration) *vmList {
	return &vmList{lag: lag, expiry: expiry, vms: map[string]*vmHistory{}}
}

// renew enters or updates a VM. It refuses incarnations that have been stopped or replaced.
func (l *vmList) renew(now time.Time, vm platform.VM) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.vms[vm.Name]
	if !ok {
		h = &vmHistory{stopped: map[string]bool{}}
		l.vms[vm.Name] = h
	}
	h.expire(now, l.expiry)
	if h.stopped[vm.Incarnation] {
		return platform.ErrStopped
	}
	h.renewed = now
	last, ok := h.last()
	if ok && !last.gone && last.vm == vm {
		return nil
	}
	if ok && last.vm.Incarnation != vm.Incarnation {
		h.stopped[last.vm.Incarnation] = true
	}
	h.changes = append(h.changes, vmChange{at: now, vm: vm})
	return nil
}

// stop ends the current incarnation of a VM.
func (l *vmList) stop(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.vms[name]; ok {
		h.expire(now, l.expiry)
		h.end(now)
	}
}

// list returns the VMs as they were one lag ago, sorted by name.
func (l *vmList) list(now time.Time) []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := []platform.VM{}
	for _, h := range l.vms {
		h.expire(now, l.expiry)
		if c, ok := h.shown(now.Add(-l.lag)); ok && !c.gone {
			vms = append(vms, c.vm)
		}
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms
}

func (h *vmHistory) last() (vmChange, bool) {
	if len(h.changes) == 0 {
		return vmChange{}, false
	}
	return h.changes[len(h.changes)-1], true
}

// expire ends the current incarnation if it was not renewed in time.
func (h *vmHistory) expire(now time.Time, expiry time.Duration) {
	if end := h.renewed.Add(expiry); now.After(end) {
		h.end(end)
	}
}

func (h *vmHistory) end(at time.Time) {
	last, ok := h.last()
	if !ok || last.gone {
		return
	}
	h.stopped[last.vm.Incarnation] = true
	h.changes = append(h.changes, vmChange{at: at, vm: last.vm, gone: true})
}

// shown returns the last change up to a time and forgets the changes before it.
func (h *vmHistory) shown(until time.Time) (vmChange, bool) {
	n := 0
	for n < len(h.changes) && !h.changes[n].at.After(until) {
		n++
	}
	if n == 0 {
		return vmChange{}, false
	}
	h.changes = slices.Delete(h.changes, 0, n-1)
	return h.changes[0], true
}
