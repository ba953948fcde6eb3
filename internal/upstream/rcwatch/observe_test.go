package rcwatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

const (
	targetZones     = 11
	targetEngines   = 5500
	targetInstances = 370
)

func zoneOf(i int) radishcrank.AvailabilityZone {
	return radishcrank.AvailabilityZone(fmt.Sprintf("z%d", i%targetZones))
}

func newTargetBoard() *rcboard.Board {
	board := rcboard.New()
	for i := range targetInstances {
		id := radishcrank.InstanceID(fmt.Sprintf("i%d", i))
		board.Instances.Put(id, radishcrank.Instance{ID: id, Zone: zoneOf(i)})
	}
	return board
}

// Guards against engines that no instance observes, and against engines that more
// instances observe than the traffic limit allows.
func TestEachEngineHasTwoObservers(t *testing.T) {
	board := newTargetBoard()
	listing := newFleet(targetEngines, zoneOf).listing
	count := make(map[radishcrank.UpstreamID]int)
	for i := 3; i < targetInstances; i += targetZones { // Instances of zone z3.
		w := New(Config{Board: board, Instance: radishcrank.InstanceID(fmt.Sprintf("i%d", i)), Zone: "z3"})
		chosen := w.selectUpstreams(listing.Upstreams)
		require.Len(t, chosen, targetEngines/targetZones)
		observed := w.observedEngines(chosen)
		require.Less(t, len(observed), 60)
		for _, up := range observed {
			count[up.ID]++
		}
	}
	require.Len(t, count, targetEngines/targetZones)
	for id, n := range count {
		require.Equal(t, observers, n, "engine %s", id)
	}
}

// Guards against reports and events that exceed their share of 3 KB/s at the
// target size, and against engines that are never polled.
func TestPollingStaysInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(targetEngines/targetZones, func(int) radishcrank.AvailabilityZone { return "z0" })
		for _, e := range fleet.engines {
			e.report.EvictionsPerSecond = 51.0 / 2
		}
		start := time.Now()
		w := startWatcher(t, fleet, func(cfg *Config) {
			cfg.Instance, cfg.Zone = "i0", "z0"
			for id, row := range newTargetBoard().Instances.Snapshot() {
				cfg.Board.Instances.Put(id, row)
			}
		})
		for id, e := range fleet.engines {
			e.set(func() {
				require.Positive(t, e.reports, "engine %s was never polled", id)
				e.reports = 0
			})
		}
		const minutes = 7 // The first pass over all engines takes about 350 s: 471 + 534 reports at 2.86/s, as observed engines are preferred early on.
		time.Sleep(minutes*time.Minute - time.Since(start))
		w.stop()
		// The first report of each engine is not charged to the budget.
		bytes := -len(fleet.engines) * reportBytes
		for id, e := range fleet.engines {
			require.Positive(t, e.reports, "engine %s", id)
			bytes += e.bytes
		}
		perSecond := float64(bytes) / (minutes * 60)
		t.Logf("%.0f B/s", perSecond)
		require.LessOrEqual(t, perSecond, float64(defaultBytesPerSecond))
		require.Greater(t, perSecond, float64(defaultBytesPerSecond)*9/10, "budget not used")
	})
}
