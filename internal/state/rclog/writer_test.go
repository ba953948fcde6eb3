package rclog

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
		w := New(out)
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
	})
}

// TestVolumeIsBounded guards against logs that grow with the load.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := New(&out)
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
