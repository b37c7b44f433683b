package broker

import "time"

const (
	// minConnBackoff is the time after a refused connection until one more may be opened. Each further refusal
	// doubles it up to maxConnBackoff: servers keep the connections of a failed VM for three seconds.
	minConnBackoff = 100 * time.Millisecond
	maxConnBackoff = 800 * time.Millisecond
	// newcomerDivisor sets the fraction of a server's connections, 1/8, that a VM gets at first in a new role, and ownerDivisor
	// the fraction, 1/4, of the owner at a replica where VMs of the replica's failure domain read.
	newcomerDivisor = 8
	ownerDivisor    = 4
	// roomDivisor sets the fraction of a share, 1/8, that is kept free of idle connections, so that another workspace can
	// open one at once.
	roomDivisor = 8
	// goneTime is how long servers count the connections of a VM that is gone. The VM that takes its place gets its share
	// after that time.
	goneTime = 3 * time.Second
	// handedOverTime is how long the connections of an owner that handed its service over are counted: it finishes open
	// transactions first.
	handedOverTime = handOverGrace + 300*time.Millisecond
	// closedTime covers the time until a server has seen that a connection was closed, and unansweredTime the same for a
	// connection whose command the server is still executing. Few commands take longer than a second.
	closedTime     = 15 * time.Millisecond
	unansweredTime = time.Second
	// minConnsPerSlot is the number of connections for each slot of a server from which on shares are kept. Below it, what they
	// leave free costs callers more than connections that the server refuses.
	minConnsPerSlot = 10
	// statusDivisor sets the fraction, 1/16, of a server's connections that is reserved for status queries. Owner, former
	// owner and two readers query at most.
	statusDivisor  = 16
	minStatusConns = 2
	maxStatusConns = 4
	// workspaceDivisor sets the fraction, 1/4, of a share above which a workspace gets no connection at the expense of
	// others. It exceeds the slots of a server for shares of the usual size.
	workspaceDivisor = 4
	// minMany is the same for small shares.
	minMany = 4
	// maxOwed bounds the connections that workspaces with many give back to others that found none.
	maxOwed = 4
)

// usableConns returns how many of a server's connections may be used for statements.
func usableConns(limit int) int {
	return max(limit-min(max(limit/statusDivisor, minStatusConns), maxStatusConns), 1)
}

// role is the role of a VM that uses a server.
type role int

const (
	soleOwner    role = iota // no other VM reads at the server
	sharingOwner             // of a replica at which VMs of its failure domain read
	firstReader
	secondReader
	noReader // a VM that has been a reader
)

// share returns how many of the usable connections of a server a VM may have in a role, and how many at most while the VM
// that had the role before may still be counted. The shares leave room for a newcomer, so that a VM may fail at any time.
func (r role) share(usable int) (share, atFirst int) {
	// Rounded down: at servers with few connections the reserve for newcomers costs more than it prevents.
	newcomer := max(usable/newcomerDivisor, 1)
	owner := max(usable/ownerDivisor, 1)
	switch r {
	case soleOwner:
		return max(usable-2*newcomer, 1), newcomer
	case sharingOwner:
		return owner, newcomer
	case firstReader:
		return max(usable-owner-2*newcomer, 1), newcomer
	case secondReader:
		return newcomer, 0
	}
	return 0, 0
}

// fullShare is share without room for newcomers, for servers with few connections.
func (r role) fullShare(usable int) int {
	owner := max(usable/ownerDivisor, 1)
	switch r {
	case soleOwner:
		return usable
	case sharingOwner:
		return owner
	}
	return max(usable-owner, 1)
}

// waitsForConn reports whether a statement can wait for a connection, given the number of statements that wait, of
// connections that become free, and the mean service time.
func waitsForConn(now, deadline time.Duration, waiting, conns int, service time.Duration) bool {
	wait := closedTime
	if conns > 0 {
		wait = min(wait, service)
	}
	wait += time.Duration(waiting) * service / time.Duration(max(conns, 1))
	return now+wait <= latestStart(deadline, service)
}

// latestStart returns the latest time at which a statement can be sent and be answered before its deadline.
func latestStart(deadline, service time.Duration) time.Duration { return deadline - service }

// connLimit is an adaptive limit on the connections to a server. The configured limit applies to the connections of
// all VMs together, of which some may belong to a previous owner that is draining or has failed. After an owner
// change, every statement would try to open a connection, and each refused connection costs a slot and time at a
// server that is already full.
type connLimit struct {
	configured int // share of this VM of what the configuration allows
	// before is the share in force until growsAt.
	before    int
	growsAt   time.Duration
	bounded   bool
	estimate  int // connections that the server has accepted, while bounded
	refusedAt time.Duration
	backoff   time.Duration
}

// current returns how many connections may be open, including those being opened.
func (l *connLimit) current(now time.Duration) int {
	share := l.share(now)
	if !l.bounded {
		return share
	}
	return min(share, l.estimate+int((now-l.refusedAt)/l.backoff))
}

// share returns the share of this VM.
func (l *connLimit) share(now time.Duration) int {
	if now < l.growsAt {
		return min(l.before, l.configured)
	}
	return l.configured
}

// setShare changes the share. A smaller one takes effect at once, a larger one after the time hold, when the VM that had
// it is no longer counted; until then it is atFirst, or the share before if that is more.
func (l *connLimit) setShare(now time.Duration, share, atFirst int, hold time.Duration) {
	if share == l.configured {
		return
	}
	if share > l.configured {
		l.before = max(l.share(now), atFirst)
		l.growsAt = now + hold
	}
	l.configured = share
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

// idleLimit returns how many connections may be idle.
func (l *connLimit) idleLimit(now time.Duration) int {
	share := l.share(now)
	if share <= 1 {
		return share
	}
	return share - max(share/roomDivisor, 1)
}
