package devplatform

import (
	"slices"
	"sync"
	"time"
)

// AllAnswers as LoseAnswers loses the answer of every change until the faults are replaced.
const AllAnswers = -1

// Faults are the failures that the stand-in shows. The zero value shows none. The object is the
// body of /faults; durations there are in milliseconds.
type Faults struct {
	Down        bool     `json:"down,omitempty"`         // every call is answered 503, waiting watches too
	DelayMS     int      `json:"delay_ms,omitempty"`     // time before each call is carried out
	LoseAnswers int      `json:"lose_answers,omitempty"` // number of changes still to be applied without an answer
	CutWatches  bool     `json:"cut_watches,omitempty"`  // watches lose their connection, waiting ones too
	LateWatchMS int      `json:"late_watch_ms,omitempty"`
	OverQuota   bool     `json:"over_quota,omitempty"`  // every call is answered 429
	CutClients  []string `json:"cut_clients,omitempty"` // clients that get no answer and whose calls are not carried out
	CutHoldMS   int      `json:"cut_hold_ms,omitempty"` // time until the connection of a cut client closes
}

func (f Faults) cuts(client string) bool { return slices.Contains(f.CutClients, client) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// faultState holds the current faults and wakes waiting watches when they are replaced.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

// get returns the current faults and a channel that closes when they are replaced.
func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.CutClients = slices.Clone(f.CutClients)
	return f, s.changed
}

func (s *faultState) set(f Faults) {
	f.CutClients = slices.Clone(f.CutClients)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// takeLoss reports whether the answer of a change is to be lost, and counts it.
func (s *faultState) takeLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return true
	}
	return s.faults.LoseAnswers == AllAnswers
}
