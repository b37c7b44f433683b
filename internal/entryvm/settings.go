// Package entryvm implements the daemon of an entry VM on the users' platform: caller sessions, service ownership,
// links between VMs and synchronization with the store.
package entryvm

import (
	"context"
	"net"
	"time"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/entry"
	"siskinrouter/internal/limits"
	"siskinrouter/internal/placement"
)

// Settings configures a Daemon.
type Settings struct {
	Name             string
	Domain           string            // failure domain
	Regions          placement.Regions // of the failure domains; nil if there is only one
	CallerAddress    string            // IP:port for callers
	ReadinessAddress string            // IP:port for the balancer's readiness probe
	PeerAddress      string            // IP:port for other VMs
	MetricsAddress   string            // IP:port; empty disables it
	Seeds            []string          // addresses of other VMs, for startup while the store is down
	Bootstrap        bool              // the whole fleet starts for the first time
	Cores            float64
	MemoryBytes      int64
	MaxSockets       int           // limit on the open sockets of the process; 0 if there is none
	GracePeriod      time.Duration // from SIGTERM to SIGKILL
	ConfigApplyLimit time.Duration // time within which a new configuration must take effect
	Usage            UsageSettings // read at the start only
	Callers          CallerLimits  // fixed at the start of the process
}

// CallerLimits limits what callers may occupy. WithDefaults derives values that are 0.
type CallerLimits struct {
	Memory          limits.Config // messages, answers and session state
	Sessions        int           // open sessions; 0 means no limit
	Unstarted       int           // connections without a startup message; 0 means no limit
	ReservedSockets int           // sockets kept for servers, other VMs and the platform
	Probes          int           // connections to the readiness address, and to the metrics address
	// StartupTimeout is the time to send the startup message, MessageTimeout the time to finish a message that was begun,
	// and AnswerTimeout the time to read an answer.
	StartupTimeout, MessageTimeout, AnswerTimeout time.Duration
}

const (
	// callerMemoryParts is the part of the machine's memory for messages, answers and session state. With half of the
	// machine's memory as the limit of the garbage collector, as much is left for the rest of the program.
	callerMemoryParts = 4
	// sessionMemoryParts and sessionBytes bound the sessions by memory: an idle session takes 12 to 16 KB with its stack
	// and its buffer, measured with 1,200 sessions.
	sessionMemoryParts = 4
	sessionBytes       = 16 << 10
	// callerShare is the fraction of the sockets available to callers. The rest, at least minReservedSockets, is for
	// connections to servers, a few hundred per service at most, and for the links between VMs.
	callerShare        = 0.75
	minReservedSockets = 96
	// unstartedParts is the part of the sessions that may wait for their startup message.
	unstartedParts = 4
	// defaultProbes fits the balancers that probe a VM at a time.
	defaultProbes = 8
)

// WithDefaults returns the settings with the derived limits for callers.
func (s Settings) WithDefaults() Settings {
	c := &s.Callers
	if c.Memory.Bytes == 0 {
		c.Memory.Bytes = s.MemoryBytes / callerMemoryParts
	}
	c.Memory = c.Memory.WithDefaults()
	if c.ReservedSockets == 0 {
		c.ReservedSockets = max(minReservedSockets, s.MaxSockets-int(callerShare*float64(s.MaxSockets)))
	}
	if c.Sessions == 0 && s.MaxSockets > 0 {
		c.Sessions = max(1, s.MaxSockets-c.ReservedSockets)
	}
	if c.Sessions > 0 && s.MemoryBytes > 0 {
		c.Sessions = min(c.Sessions, int(s.MemoryBytes/sessionMemoryParts/sessionBytes))
	}
	if c.Unstarted == 0 && c.Sessions > 0 {
		c.Unstarted = max(1, c.Sessions/unstartedParts)
	}
	if c.Probes == 0 {
		c.Probes = defaultProbes
	}
	if c.StartupTimeout == 0 {
		c.StartupTimeout = entry.DefaultStartupTimeout
	}
	if c.MessageTimeout == 0 {
		c.MessageTimeout = entry.DefaultMessageTimeout
	}
	if c.AnswerTimeout == 0 {
		c.AnswerTimeout = entry.DefaultAnswerTimeout
	}
	return s
}

// Dependencies holds the external services that the daemon uses.
type Dependencies struct {
	Store    directory.Store
	Dialer   broker.Dialer
	Promoter Promoter
	Usage    UsagePlatform // nil if the platform takes no usage reports
	NewConn  func(net.Conn) entry.Conn
	// Budget is the memory for callers, which the Dialer charges answers to as well; nil limits nothing.
	Budget *limits.Budget
	// ServeReady serves the readiness probe until the listener is closed; it calls ready for each probe.
	ServeReady func(ln net.Listener, ready func() bool) error
	// Reload reads the settings file again.
	Reload func() (Settings, error)
}

// Promotion is a request to make a server the primary of its service.
type Promotion struct {
	Service, Server string
	// Holder is the VM that sends the request, and Token its fencing token.
	Holder string
	Token  uint64
	// Confirm is called once the platform can be reached, immediately before the request is sent. If it returns an
	// error, the request must not be sent.
	Confirm func(ctx context.Context) error
}

// Promoter sends promotions to the platform. An error wraps broker.ErrNotPromoted only if the promotion has no effect,
// neither now nor later.
type Promoter interface {
	Promote(ctx context.Context, p Promotion) error
}
