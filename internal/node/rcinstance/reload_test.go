package rcinstance

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/platform"
)

const settingsText = `
NodeName = "edge-1"
Ip = "127.0.0.1"
Zone = "z"
PortRange = [7340,7355]
[Listen]
Front = "127.0.0.1:%d"
Ready = "127.0.0.1:8789"
[Bounds]
VersionMs = 10000
RetryBudgetRatio = %v
[Provider]
Address = "127.0.0.1:8784"
`

// TestReload guards against a changed settings file that has no effect until the next
// start, and against an invalid one that changes something.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(fmt.Sprintf(settingsText, 8782, 0.2))
	s, err := platform.LoadSettings(path)
	require.NoError(t, err)
	i := New(s, zerolog.Nop())
	write(fmt.Sprintf(settingsText, 8782, 0.1))
	i.Reload(path)
	require.InDelta(t, 0.1, i.liveSettings.Load().RetryBudgetRatio, 1e-9)
	require.Equal(t, 10*time.Second, i.liveSettings.Load().OldWeightsTTL)
	require.False(t, i.needsRestart(*i.liveSettings.Load()))
	write("NodeName = 7")
	i.Reload(path)
	require.InDelta(t, 0.1, i.liveSettings.Load().RetryBudgetRatio, 1e-9)
	write(fmt.Sprintf(settingsText, 8783, 0.1))
	i.Reload(path)
	require.True(t, i.needsRestart(*i.liveSettings.Load()))
}
