// Package netopt sets the options of TCP connections by which a silent peer is noticed.
package netopt

import (
	"net"
	"time"
)

const (
	// keepAliveIdle and keepAliveInterval find a peer that has gone silent within about two seconds,
	// which is half of the shortest time after which a VM counts as in contact again.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

// KeepAlive is the configuration of the probes.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dialer returns a dialer whose connections notice silent peers.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive}
}

// ListenConfig returns the options of listeners.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: KeepAlive}
}
