// Package entryvm runs the daemon of an entry VM on the users' platform: sessions of callers, the owner's
// duties, the links between VMs and the news from the store.
package entryvm

import (
	"context"
	"net"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/entry"
)

// Settings of a daemon.
type Settings struct {
	Name             string
	Domain           string   // failure domain
	CallerAddress    string   // IP:port for callers
	ReadinessAddress string   // IP:port for the balancer's readiness probe
	PeerAddress      string   // IP:port for other VMs
	MetricsAddress   string   // IP:port; empty disables it
	Seeds            []string // addresses of other VMs, for a start while the store is down
	Bootstrap        bool     // the whole fleet starts for the first time
	Cores            float64
	MemoryBytes      int64
	MaxSockets       int           // that the process may have open; 0 if not limited
	GracePeriod      time.Duration // from SIGTERM to SIGKILL
	ConfigApplyLimit time.Duration // in which a new configuration has to be in force
}

// callerShare is the part of the sockets that callers may take. The others are for the connections to
// servers, of which a service takes some hundreds at most, and for the links between VMs.
const callerShare = 0.75

// maxSessions returns how many callers a VM serves at once, 0 for no limit.
func (s Settings) maxSessions() int { return int(callerShare * float64(s.MaxSockets)) }

// Dependencies is what the daemon needs of its surroundings.
type Dependencies struct {
	Store    directory.Store
	Dialer   broker.Dialer
	Promoter Promoter
	NewConn  func(net.Conn) entry.Conn
	// ServeReady serves the readiness probe until the listener is closed; ready is asked for each probe.
	ServeReady func(ln net.Listener, ready func() bool) error
	// Reload reads the settings file again.
	Reload func() (Settings, error)
}

// Promoter makes a server the primary of its service.
type Promoter interface {
	Promote(ctx context.Context, service, server, holder string, token uint64) error
}
