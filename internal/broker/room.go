package broker

import "time"

const (
	// firstRoomPause is the time after a refused connection in which a server gets one more. Each further
	// refusal doubles it up to lastRoomPause: servers keep the connections of a lost VM for three seconds.
	firstRoomPause = 100 * time.Millisecond
	lastRoomPause  = 800 * time.Millisecond
	// successorPart is the part of the bound, 1/4, that a successor finds free. It exceeds the slots of a server.
	successorPart = 4
)

// room decides how many connections a server is asked for. The configuration bounds those of all callers
// together; some may belong to an earlier owner that ends or was lost. It answers the load of a service that
// has just changed its owner: a connection that is refused costs a slot and time at a server that is full, and
// every statement would ask for one.
type room struct {
	limit     int // by the configuration, without the reserve
	bounded   bool
	learned   int // that the server has taken, while bounded
	refusedAt time.Duration
	pause     time.Duration
}

// size returns how many connections may be open, those being opened included.
func (r *room) size(now time.Duration) int {
	if !r.bounded {
		return r.limit
	}
	return min(r.limit, r.learned+int((now-r.refusedAt)/r.pause))
}

// refused records that the server refused a connection whose opening began at the given time. open is the
// number of those that remain.
func (r *room) refused(now, began time.Duration, open int) {
	switch {
	case !r.bounded:
		r.pause = firstRoomPause
	case began >= r.refusedAt:
		r.pause = min(2*r.pause, lastRoomPause)
	}
	r.bounded = true
	r.learned = open
	r.refusedAt = now
}

// accepted records that the server took a connection. It is asked for as many again at most, so that room
// that others have freed is taken within a few rounds.
func (r *room) accepted(open int) {
	if !r.bounded {
		return
	}
	r.pause = firstRoomPause
	r.learned = max(r.learned, 2*open)
	r.bounded = r.learned < r.limit
}

// idleLimit returns how many connections may rest. The others are left to a successor, which finds the
// connections of a lost owner still counted by the servers.
func (r *room) idleLimit() int { return max(r.limit-r.limit/successorPart, 1) }
