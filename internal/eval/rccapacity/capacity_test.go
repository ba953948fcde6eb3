package rccapacity

import (
	"context"
	"encoding/json"
	"flag"
	"math"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcsnapshot"
)

var update = flag.Bool("update", false, "write generated pages")

// TestMeasure measures all series and writes measurements.json.
func TestMeasure(t *testing.T) {
	if os.Getenv("RADISHCRANK_MEASURE") != "1" {
		t.Skip("RADISHCRANK_MEASURE is not 1")
	}
	data, err := json.MarshalIndent(Measure(t), "", "  ")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile("measurements.json", append(data, '\n'), 0o644))
}

// TestPage guards against a page that does not show the figures of the committed run.
func TestPage(t *testing.T) {
	const file = "../../../docs/CAPACITY.md"
	m, err := Committed()
	require.NoError(t, err)
	if *update {
		require.NoError(t, os.WriteFile(file, Page(&m), 0o644))
	}
	page, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(Page(&m)), string(page), "run: go test ./internal/eval/rccapacity -run TestPage -update")
}

// TestCommittedSeries guards against a committed series that was not measured by
// this code, has too few sizes, or whose line does not follow from its points.
func TestCommittedSeries(t *testing.T) {
	m, err := Committed()
	require.NoError(t, err)
	all := benchmarks()
	require.Len(t, m.Series, len(all))
	for i, s := range m.Series {
		require.Equal(t, all[i].name, s.Name)
		require.Equal(t, all[i].operation, s.Operation, s.Name)
		require.Len(t, s.Points, len(all[i].sizes), s.Name)
		require.GreaterOrEqual(t, len(s.Points), 4, s.Name)
		for j, p := range s.Points {
			require.Equal(t, all[i].sizes[j], p.Size, s.Name)
			require.Positive(t, p.Value, s.Name)
		}
		refit := s
		refit.fit()
		require.InDelta(t, refit.Slope, s.Slope, 1e-9+1e-9*math.Abs(s.Slope), s.Name)
		require.InDelta(t, refit.Intercept, s.Intercept, 1e-6+1e-9*math.Abs(s.Intercept), s.Name)
		require.InDelta(t, refit.R2, s.R2, 1e-9, s.Name)
	}
}

// TestFit guards against a fit that is not the least-squares line.
func TestFit(t *testing.T) {
	s := Series{Points: []Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 3, Value: 9}, {Size: 4, Value: 11}}}
	s.fit()
	require.InDelta(t, 2, s.Slope, 1e-12)
	require.InDelta(t, 3, s.Intercept, 1e-12)
	require.InDelta(t, 1, s.R2, 1e-12)
	s.Points[3].Value = 15 // Calculated by hand: slope 16/5, intercept 1, R² 51.2/56.
	s.fit()
	require.InDelta(t, 3.2, s.Slope, 1e-12)
	require.InDelta(t, 1, s.Intercept, 1e-12)
	require.InDelta(t, 51.2/56, s.R2, 1e-12)
}

// TestCopiedConstants guards against copied constants that no longer match the
// packages that define them.
func TestCopiedConstants(t *testing.T) {
	require.Equal(t, snapshotEntries, rcsnapshot.MaxEntries)
	require.Equal(t, replayBytes, rcrelay.DefaultSettings().MaxReplayTotalBytes)
	require.InDelta(t, replayRetention, rcrelay.DefaultSettings().ReplayRetention.Seconds(), 0)
	require.Equal(t, maxFrameBytes, rcrpc.MaxMessageBytes)
	require.Equal(t, retention, rcconfig.DefaultSettings().RecordRetention)
	require.InDelta(t, leaseInterval, rcconfig.DefaultSettings().LeaseDuration.Seconds()/4*7/8, 1e-12)
	for file, lines := range map[string][]string{
		"upstream/rcwatch/observe.go":     {"observeAll = 64", "observers = 2", "defaultBytesPerSecond = 2000", "reportBytes = 700"},
		"upstream/rcwatch/poll.go":        {"observedWeight = 4"},
		"upstream/rcwatch/watch.go":       {"listInterval = time.Second", "defaultInterval = 250 * time.Millisecond"},
		"node/rcdaemon/usage.go":          {"maxUsagePeers = 15", "usageInterval = 2 * time.Second", "capacityAge = 250 * time.Millisecond"},
		"node/rcdaemon/poison.go":         {"verdictInterval = 5 * time.Minute"},
		"node/rcdaemon/snapshot.go":       {"Index().TopEntries(rcsnapshot.MaxEntries)"},
		"node/rcdaemon/orders.go":         {"candidatesPerZone = 1"},
		"node/rcdaemon/peers.go":          {"readersPerZone = 2"},
		"state/rcsnapshot/snapshotter.go": {"pushInterval = 2 * time.Minute", "warmUpTimeout = 3 * time.Second"},
		"state/rcrevision/syncer.go":      {"pollInterval = time.Second"},
		"record/rcidem/runner.go":         {"defaultSettleInterval = 5 * time.Second"},
		"record/rcidem/settle.go":         {"sweepPage = 200"},
		"serving/rcrelay/stream.go":       {"tokenOverhead = 32", "streamOverhead = 1024"},
		"state/rcrevision/syncer_test.go": {"require.LessOrEqual(t, reads, 10*size.zones)"},
	} {
		source, err := os.ReadFile("../../" + file)
		require.NoError(t, err)
		text := strings.Join(strings.Fields(string(source)), " ")
		for _, line := range lines {
			require.Contains(t, text, line, file)
		}
	}
}

// TestSweepRate guards against a stated sweep rate that differs from that of the code.
func TestSweepRate(t *testing.T) {
	const rows, span = 3000, 50 * time.Second
	synctest.Test(t, func(t *testing.T) {
		table := rcfaketable.New()
		settleBookings(t, table, 1, rows)
		time.Sleep(2 * retention)
		ctx, stop := context.WithTimeout(t.Context(), span)
		defer stop()
		require.ErrorIs(t, newRunner(table, 1).RunSettlement(ctx), context.DeadlineExceeded)
		left, err := table.Scan(t.Context(), "idem/", "", rows)
		require.NoError(t, err)
		swept := float64(rows-len(left)) / span.Seconds()
		t.Logf("%.1f rows/s swept", swept)
		require.InDelta(t, maxSweepRate, swept, maxSweepRate/3) // Rounds have jitter.
	})
}

// TestFormatNumber guards against numbers that are truncated or lose their magnitude.
func TestFormatNumber(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 0.00012345: "0.000123", -36.54: "-36.5", 9.999: "10.00", 123.4: "123", -1234: "-1,230", 2632345: "2,630,000", 1e-9: "0",
	} {
		require.Equal(t, want, formatNumber(v))
	}
}
