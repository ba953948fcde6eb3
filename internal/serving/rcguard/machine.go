package rcguard

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// socketMemoryFraction of the memory limit may be held by the kernel for clients until
	// each new connection gets less. It holds up to socketBytes for each.
	socketMemoryFraction = 0.15
	socketBytes          = 128 << 10
	// reservedFDs of the descriptors of a process are reserved for files.
	reservedFDs = 200
	// clientFDFraction of the rest may be connections of clients. Each of their requests may
	// need a second one, to an upstream.
	clientFDFraction = 0.5
	// minClientConnections are accepted however few descriptors there are.
	minClientConnections = 32
	// limitedLogInterval is how often a line tells of clients that meet the limits.
	limitedLogInterval = 10 * time.Second
)

// Machine is what a process may use. 0 means no limit.
type Machine struct {
	MemoryBytes int64
	MaxFDs      int
}

// Memory returns a fraction of the memory, or 0 if it has no limit.
func (m Machine) Memory(fraction float64) int64 { return int64(fraction * float64(m.MemoryBytes)) }

// FDs returns a fraction of the descriptors that are not reserved, at least 1, or 0 if they
// have no limit.
func (m Machine) FDs(fraction float64) int {
	if m.MaxFDs <= 0 {
		return 0
	}
	return max(1, int(fraction*float64(m.MaxFDs-reservedFDs)))
}

// ClientConfig returns the limits of a listener for clients whose requests and responses may
// hold a fraction of the memory.
func (m Machine) ClientConfig(fraction float64, metrics *rcmetric.Set) Config {
	cfg := rcmemory.Config{ConnBytes: ConnBytes, Limit: m.Memory(fraction)}
	if m.MaxFDs > 0 {
		cfg.MaxConnections = max(minClientConnections, m.FDs(clientFDFraction))
	}
	return Config{Budget: rcmemory.New(cfg), Metrics: metrics, CrowdedAt: int(m.Memory(socketMemoryFraction) / socketBytes)}
}

// MaxFDs returns how many descriptors the process may have open, or 0 if there is no limit.
func MaxFDs() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// LogLimited logs how many clients met the limits, in one line a period however large a crowd
// is, until ctx is done.
func LogLimited(ctx context.Context, log zerolog.Logger, metrics *rcmetric.Set, budget *rcmemory.Budget) error {
	names := []rcmetric.CounterName{rcmetric.ConnectionsRefused, rcmetric.ConnectionsEvicted, rcmetric.HeadsTooLong, rcmetric.HeadsTooSlow, rcmetric.RefusedForMemory}
	last := make([]int64, len(names))
	for rcwait.Sleep(ctx, limitedLogInterval) {
		line, changed := log.Warn().Str("Event", "ClientsLimited"), false
		for n, name := range names {
			v := metrics.Value(name)
			line, changed = line.Int64(string(name), v-last[n]), changed || v != last[n]
			last[n] = v
		}
		if !changed {
			continue
		}
		used, connections := budget.Used()
		line.Int64("ReservedBytes", used).Int("Connections", connections).Send()
	}
	return ctx.Err()
}
