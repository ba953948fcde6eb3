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

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestStuckOutputDelaysNothing guards against requests that wait for the log, and
// against lines that vanish without a count.
func TestStuckOutputDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		w := New(Config{Out: out, Instance: "edge-1"})
		begun := time.Now()
		for range 3000 {
			w.Write([]byte("line\n"))
		}
		require.Zero(t, time.Since(begun))
		close(out.release)
		require.NoError(t, w.Close())
		written := strings.Count(out.String(), "line\n")
		require.LessOrEqual(t, written, burst)
		require.Contains(t, out.String(), "LinesLeftOut")
		// Without the two, nobody can tell where and when lines are missing.
		require.Contains(t, out.String(), `"Instance":"edge-1"`)
		require.Contains(t, out.String(), `"time":`)
	})
}

// TestVolumeIsBounded guards against logs that grow with the load.
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
		require.LessOrEqual(t, strings.Count(out.String(), "line\n"), burst+10*linesPerSecond)
	})
}

// BenchmarkLine measures what a line of a placement costs: its formatting, its way
// through the queue and one write of the output, which is the null device. The
// limit of the rate is lifted, as it would leave out most lines.
func BenchmarkLine(b *testing.B) {
	out, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	require.NoError(b, err)
	defer out.Close()
	w := New(Config{Out: out, Instance: "edge-1"})
	w.limit.SetLimit(rate.Inf)
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
