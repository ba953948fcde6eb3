package rcnode

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// TestLogDiagnostics guards against an instance that replaces an invalid setting with a
// default without logging it.
func TestLogDiagnostics(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	text := "NodeName = \"e\"\nZone = \"z\"\nIp = \"10.1.0.1\"\nPortRange = [1,2]\n[Listen]\nFront = \"10.1.0.1:3\"\n" +
		"Ready = \"10.1.0.1:4\"\n[Provider]\nAddress = \"10.2.0.1:5\"\nRowBytes = 0\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	var out bytes.Buffer
	logDiagnostics(path, zerolog.New(&out))
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `"Event":"SettingRefused","Field":"Provider.RowBytes","Line":10,"Expected":"a number above 0","UsedInstead":"65536"`)
}
