package membership

import "time"

// maxPollGap is the time between two polls above which this VM counts as suspended itself: answers may wait to be read.
const maxPollGap = time.Second

// Presence holds which VMs answer.
type Presence struct {
	contacts map[string]*contact
	polledAt time.Duration
}

// contact is what is known of one VM.
type contact struct {
	unanswered  time.Duration // when the first poll without an answer was sent; 0 if there is none
	heardAt     time.Duration
	incarnation uint64
	number      uint64        // latest configuration that the run knows
	since       time.Duration // when the run first reported that number
	confirmed   bool
	refusedAt   time.Duration // when no process listened at its address, since the configuration was learned; 0 if one may run
}

// Report is what a run of a VM states in an answer.
type Report struct {
	Incarnation uint64
	Number      uint64 // latest configuration that it knows
	Confirmed   bool   // whether it votes
}

// NewPresence returns a Presence that has heard of no VM.
func NewPresence() *Presence { return &Presence{contacts: map[string]*contact{}} }

func (p *Presence) contact(vm string) *contact {
	c := p.contacts[vm]
	if c == nil {
		c = &contact{}
		p.contacts[vm] = c
	}
	return c
}

// BeginPoll records that a round of polls begins.
func (p *Presence) BeginPoll(now time.Duration) {
	if now-p.polledAt > maxPollGap {
		for _, c := range p.contacts {
			c.unanswered = 0
		}
	}
	p.polledAt = now
}

// Polled records that a VM was sent a message that it has to answer.
func (p *Presence) Polled(now time.Duration, vm string) {
	if c := p.contact(vm); c.unanswered == 0 {
		c.unanswered = now
	}
}

// Heard records a message of a VM that is not an answer.
func (p *Presence) Heard(now time.Duration, vm string) {
	c := p.contact(vm)
	c.unanswered, c.heardAt, c.refusedAt = 0, now, 0
}

// Answered records the answer of a VM.
func (p *Presence) Answered(now time.Duration, vm string, r Report) {
	p.Heard(now, vm)
	c := p.contact(vm)
	if c.incarnation != r.Incarnation || c.number != r.Number {
		c.incarnation, c.number, c.since = r.Incarnation, r.Number, now
	}
	c.confirmed = r.Confirmed
}

// Refused records that no process listens at the address of a VM.
func (p *Presence) Refused(now time.Duration, vm string) {
	if c := p.contact(vm); c.refusedAt == 0 {
		c.refusedAt = now
	}
}

// ConfigurationChanged drops the refused connections: a run that has started since then may have read the configuration
// before, and vote under it.
func (p *Presence) ConfigurationChanged() {
	for _, c := range p.contacts {
		c.refusedAt = 0
	}
}

// goneFor reports whether a VM has not voted under an earlier configuration for the given time.
func (p *Presence) goneFor(now time.Duration, vm string, d time.Duration) bool {
	c := p.contacts[vm]
	refused := c != nil && c.refusedAt > 0 && now-c.refusedAt >= d
	return refused || p.Silence(now, vm) > GoneAfter
}

// Silence returns for how long a VM has left polls unanswered.
func (p *Presence) Silence(now time.Duration, vm string) time.Duration {
	if c := p.contacts[vm]; c != nil && c.unanswered > 0 {
		return now - c.unanswered
	}
	return 0
}

// LastHeard returns when a VM was last heard from, 0 if it was not, and the configuration that it then knew.
func (p *Presence) LastHeard(vm string) (at time.Duration, number uint64) {
	if c := p.contacts[vm]; c != nil {
		return c.heardAt, c.number
	}
	return 0, 0
}

// HeardWithin reports whether a VM was heard from within the given time.
func (p *Presence) HeardWithin(now time.Duration, vm string, within time.Duration) bool {
	c := p.contacts[vm]
	return c != nil && c.heardAt > 0 && now-c.heardAt <= within
}

// knows returns since when the present run of a VM has known a configuration; ok is false if it does not know it, or was not
// heard from recently.
func (p *Presence) knows(now time.Duration, vm string, number uint64) (since time.Duration, ok bool) {
	c := p.contacts[vm]
	if c == nil || c.number < number || !p.HeardWithin(now, vm, recent) {
		return 0, false
	}
	return c.since, true
}

// Forget drops what is known of a VM that was removed.
func (p *Presence) Forget(vm string) { delete(p.contacts, vm) }
