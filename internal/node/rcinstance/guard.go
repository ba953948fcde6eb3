package rcinstance

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
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
	// socketMemoryFraction of the memory limit may be held by the kernel for clients until
	// each new connection gets less. It holds up to socketBytes for each.
	socketMemoryFraction = 0.15
	socketBytes          = 128 << 10
	// reservedFDs of the descriptors of a process are reserved for files.
	reservedFDs = 200
	// clientFDFraction of the rest may be connections of clients. Each of their requests may
	// need a second one, to an upstream.
	clientFDFraction = 0.5
	// idleFDFraction of the rest may be idle connections to upstreams, and half of it to other
	// instances. Both are closed after 4 s.
	idleFDFraction = 0.125
	// minClientConnections are accepted however few descriptors there are.
	minClientConnections = 32
	// limitedLogInterval is how often a line tells of clients that meet the limits.
	limitedLogInterval = 10 * time.Second
)

// clientGuard returns the limits of the clients' listener.
func (i *Instance) clientGuard() rcguard.Config {
	cfg := rcmemory.Config{ConnBytes: rcguard.ConnBytes, Limit: i.memoryFraction(requestMemoryFraction)}
	if i.settings.MaxFDs > 0 {
		cfg.MaxConnections = max(minClientConnections, fdFraction(i.settings, clientFDFraction))
	}
	i.clientMemory = rcmemory.New(cfg)
	return rcguard.Config{Budget: i.clientMemory, Metrics: i.metrics, CrowdedAt: int(i.memoryFraction(socketMemoryFraction) / socketBytes), MaxHeadBytes: func() int {
		if t := i.routes.Load(); t != nil {
			return t.Limits.HeaderBytes
		}
		return 0
	}}
}

// sideGuard returns the limits of a listener that is not for clients.
func (i *Instance) sideGuard() rcguard.Config {
	return rcguard.Config{Metrics: i.metrics, Budget: rcmemory.New(rcmemory.Config{
		ConnBytes: rcguard.ConnBytes, MaxConnections: maxSideConnections, Limit: i.memoryFraction(sideMemoryFraction),
	})}
}

// fdFraction returns a fraction of the descriptors that are not reserved, at least 1, or 0 if
// they have no limit.
func fdFraction(s platform.Settings, f float64) int {
	if s.MaxFDs <= 0 {
		return 0
	}
	return max(1, int(f*float64(s.MaxFDs-reservedFDs)))
}

func (i *Instance) memoryFraction(f float64) int64 {
	return int64(f * float64(i.settings.MemoryMB) * (1 << 20))
}

// logLimitedClients logs how many clients met the limits, in one line a period however large
// a crowd is.
func (i *Instance) logLimitedClients(ctx context.Context) error {
	names := []rcmetric.CounterName{rcmetric.ConnectionsRefused, rcmetric.ConnectionsEvicted, rcmetric.HeadsTooLong, rcmetric.RefusedForMemory}
	last := make([]int64, len(names))
	for rcwait.Sleep(ctx, limitedLogInterval) {
		line, changed := i.log.Warn().Str("Event", "ClientsLimited"), false
		for n, name := range names {
			v := i.metrics.Value(name)
			line, changed = line.Int64(string(name), v-last[n]), changed || v != last[n]
			last[n] = v
		}
		if !changed {
			continue
		}
		used, connections := i.clientMemory.Used()
		line.Int64("ReservedBytes", used).Int("Connections", connections).Send()
	}
	return ctx.Err()
}
