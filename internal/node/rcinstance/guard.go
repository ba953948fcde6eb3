package rcinstance

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
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
	// minClientConnections are accepted however few descriptors there are.
	minClientConnections = 32
	// limitedLogInterval is how often a line tells of clients that meet the limits.
	limitedLogInterval = 10 * time.Second
)

// clientGuard returns the limits of the clients' listener. A client's request may need a
// second descriptor, that of a connection to an upstream, so that clients get half of them.
func (i *Instance) clientGuard() rcguard.Config {
	cfg := rcmemory.Config{ConnBytes: rcguard.ConnBytes, Limit: i.memoryFraction(requestMemoryFraction)}
	if fds := i.settings.MaxFDs; fds > 0 {
		cfg.MaxConnections = max(minClientConnections, (fds-reservedFDs)/2)
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
