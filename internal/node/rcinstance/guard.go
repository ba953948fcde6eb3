package rcinstance

import (
	"context"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/platform"
)

const (
	// requestMemoryFraction is the fraction of the process's memory limit that the
	// requests and responses of clients may hold. The heap grows to about twice of what it
	// holds, up to memoryLimitFraction; the rest is for the program itself and for what
	// the kernel holds.
	requestMemoryFraction = 0.4
	// sideMemoryFraction is the same for each of the listeners for readiness and metrics.
	sideMemoryFraction = 0.03
	// maxSideConnections bounds the connections to each of these listeners. The load
	// balancer and operators need a few.
	maxSideConnections = 48
	// idleFDFraction of the descriptors may be idle connections to upstreams, and half of it
	// to other instances. Both are closed after 4 s.
	idleFDFraction = 0.125
)

// machine returns what the settings allow the process to use.
func machine(s platform.Settings) rcguard.Machine {
	return rcguard.Machine{MemoryBytes: int64(s.MemoryMB) << 20, MaxFDs: s.MaxFDs}
}

// clientGuard returns the limits of the clients' listener.
func (i *Instance) clientGuard() rcguard.Config {
	cfg := machine(i.settings).ClientConfig(requestMemoryFraction, i.metrics)
	i.clientMemory = cfg.Budget
	cfg.MaxHeadBytes = func() int {
		if t := i.routes.Load(); t != nil {
			return t.Limits.HeaderBytes
		}
		return 0
	}
	cfg.Timeouts = i.clientTimeouts
	return cfg
}

// clientTimeouts returns how long clients may take for a request header and keep a connection
// without a request.
func (i *Instance) clientTimeouts() rcguard.Timeouts {
	timeouts := rcguard.Timeouts{Header: readHeaderTimeout, Idle: idleTimeout}
	t := i.routes.Load()
	if t != nil && t.Limits.HeaderTimeout > 0 {
		timeouts.Header = t.Limits.HeaderTimeout
	}
	if t != nil && t.Limits.IdleTimeout > 0 {
		timeouts.Idle = t.Limits.IdleTimeout
	}
	return timeouts
}

// sideGuard returns the limits of a listener that is not for clients.
func (i *Instance) sideGuard() rcguard.Config {
	return rcguard.Config{Metrics: i.metrics, Budget: rcmemory.New(rcmemory.Config{
		ConnBytes: rcguard.ConnBytes, MaxConnections: maxSideConnections, Limit: machine(i.settings).Memory(sideMemoryFraction),
	})}
}

// logLimitedClients logs how many clients met the limits.
func (i *Instance) logLimitedClients(ctx context.Context) error {
	return rcguard.LogLimited(ctx, i.log, i.metrics, i.clientMemory)
}
