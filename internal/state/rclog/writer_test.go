package rclog

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// TestBlockedOutputDoesNotBlockCallers guards against requests that wait for the
// log, and against lines that are dropped without being counted.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := New(Config{Out: out, Instance: "edge-1"})
		start := time.Now()
		for range 3000 {
			w.Write([]byte("line\n"))
		}
		require.Zero(t, time.Since(start))
		close(out.release)
		require.NoError(t, w.Close())
		written := strings.Count(out.String(), "line\n")
		require.LessOrEqual(t, written, burstLines)
		require.Contains(t, out.String(), "LinesLeftOut")
		// These two fields tell on which instance and when lines were dropped.
		require.Contains(t, out.String(), `"Instance":"edge-1"`)
		require.Contains(t, out.String(), `"time":`)
	})
}

// TestVolumeIsBounded guards against a log volume that grows with the load.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(Config{Out: &out})
		for range 10 {
			for range 5000 {
				w.Write([]byte("line\n"))
				synctest.Wait()
			}
			time.Sleep(time.Second)
		}
		require.NoError(t, w.Close())
		require.LessOrEqual(t, strings.Count(out.String(), "line\n"), burstLines+10*linesPerSecond)
	})
}

// TestWarningsSurviveRequestLines guards against a warning that is dropped because
// lines about ordinary requests have used up the rate limit.
func TestWarningsSurviveRequestLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(Config{Out: &out})
		log := zerolog.New(w)
		for range 2 * burstLines {
			log.Info().Str("Event", "Placed").Send()
			synctest.Wait()
		}
		log.Warn().Str("Event", "BegunLate").Send()
		for range 2 * burstWarnings {
			log.Warn().Str("Event", "Dependency").Send()
			synctest.Wait()
		}
		require.NoError(t, w.Close())
		require.Contains(t, out.String(), "BegunLate")
		require.LessOrEqual(t, strings.Count(out.String(), "Dependency"), burstWarnings)
	})
}

// BenchmarkLine measures the cost of one Placed line: formatting, queueing and a
// write to the null device. The rate limit is disabled, because it would drop most
// lines.
func BenchmarkLine(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	require.NoError(b, err)
	defer out.Close()
	w := New(Config{Out: out, Instance: "edge-1"})
	w.limiter.SetLimit(rate.Inf)
	log := zerolog.New(w).With().Timestamp().Str("Instance", "edge-1").Logger()
	for b.Loop() {
		log.Info().Str("Event", "Placed").Str("Request", "e94cd0e7153dde1b").Str("Upstream", "i-e2c52f660a").
			Str("Route", "r-au5er3y").Str("Service", "yemi70a").Int("Arrival", 1).Int64("CostMS", 17).
			Int("Running", 4).Int("OthersRunning", 12).Int64("AgeMS", 3).Int64("LeftMS", 13157).
			Str("Weights", "1").Int64("ReplacedAgeMS", 0).Bool("Owner", true).Int("Missing", 574).
			Int("Prefilling", 4361).Int("OthersPrefilling", 841).Bool("Copied", true).
			Int("ReportedWaiting", 1).Int64("ReportAgeMS", 338).Send()
	}
	require.NoError(b, w.Close())
}
