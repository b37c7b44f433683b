package directory

import "time"

// departedMemory is how long a server that is no longer listed counts. One that crashed is listed again soon after it is
// back; one that is not has left for good.
const departedMemory = time.Minute

// departedServer is a server that is no longer listed.
type departedServer struct {
	server Server
	since  time.Duration
}

// recordDeparted records the servers that are listed no longer, and forgets those whose log is with a listed server: the
// server itself, or one that has taken over its address and with that its log. The caller holds the mutex.
func (d *Directory) recordDeparted(now time.Duration, old, listed map[string]Server) {
	for id, s := range old {
		if _, ok := listed[id]; !ok {
			d.departed[id] = departedServer{s, now}
		}
	}
	if len(d.departed) == 0 {
		return
	}
	addresses := map[string]string{}
	for _, s := range listed {
		addresses[s.Address] = s.Service
	}
	for id, gone := range d.departed {
		_, again := listed[id]
		if again || addresses[gone.server.Address] == gone.server.Service {
			delete(d.departed, id)
		}
	}
}

// departedByService counts the servers that are no longer listed and whose logs no listed server has. The caller holds the
// mutex.
func (d *Directory) departedByService() map[string]int {
	counts := map[string]int{}
	for _, gone := range d.departed {
		counts[gone.server.Service]++
	}
	return counts
}

// expireDeparted forgets servers that left long ago and reports whether there were any. The caller holds the mutex.
func (d *Directory) expireDeparted(now time.Duration) (expired bool) {
	for id, gone := range d.departed {
		if now-gone.since > departedMemory {
			delete(d.departed, id)
			expired = true
		}
	}
	return expired
}
