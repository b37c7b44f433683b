package broker

import "time"

const (
	// minConnBackoff is the time after a refused connection until one more may be opened. Each further refusal
	// doubles it up to maxConnBackoff: servers keep the connections of a failed VM for three seconds.
	minConnBackoff = 100 * time.Millisecond
	maxConnBackoff = 800 * time.Millisecond
	// successorDivisor sets the fraction of the limit, 1/4, that is kept free of idle connections for a successor. It
	// exceeds the slots of a server.
	successorDivisor = 4
)

// connLimit is an adaptive limit on the connections to a server. The configured limit applies to the connections of
// all VMs together, of which some may belong to a previous owner that is draining or has failed. After an owner
// change, every statement would try to open a connection, and each refused connection costs a slot and time at a
// server that is already full.
type connLimit struct {
	configured int // by the configuration, without the reserve
	bounded    bool
	estimate   int // connections that the server has accepted, while bounded
	refusedAt  time.Duration
	backoff    time.Duration
}

// current returns how many connections may be open, including those being opened.
func (l *connLimit) current(now time.Duration) int {
	if !l.bounded {
		return l.configured
	}
	return min(l.configured, l.estimate+int((now-l.refusedAt)/l.backoff))
}

// refused records that the server refused a connection whose opening began at the given time. open is the number of
// remaining connections.
func (l *connLimit) refused(now, began time.Duration, open int) {
	switch {
	case !l.bounded:
		l.backoff = minConnBackoff
	case began >= l.refusedAt:
		l.backoff = min(2*l.backoff, maxConnBackoff)
	}
	l.bounded = true
	l.estimate = open
	l.refusedAt = now
}

// accepted records that the server accepted a connection. The estimate becomes at most twice the open connections, so
// that connections freed by others are used within a few rounds.
func (l *connLimit) accepted(open int) {
	if !l.bounded {
		return
	}
	l.backoff = minConnBackoff
	l.estimate = max(l.estimate, 2*open)
	l.bounded = l.estimate < l.configured
}

// idleLimit returns how many connections may be idle. The rest is kept free for a successor, because the servers
// still count the connections of a failed owner.
func (l *connLimit) idleLimit() int { return max(l.configured-l.configured/successorDivisor, 1) }
