package rcinstance

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/platform"
)

// TestClientTimeouts guards against timeouts of the configuration that are not applied on the
// clients' listener, also when they change, and against missing ones that close connections.
func TestClientTimeouts(t *testing.T) {
	i := New(platform.Settings{}, zerolog.Nop())
	timeouts := i.clientGuard().Timeouts
	usual := rcguard.Timeouts{Header: readHeaderTimeout, Idle: idleTimeout}
	require.Equal(t, usual, timeouts())
	for _, c := range []struct {
		limits rcroute.Limits
		want   rcguard.Timeouts
	}{
		{rcroute.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, rcguard.Timeouts{Header: 3 * time.Second, Idle: 15 * time.Second}},
		{rcroute.Limits{HeaderTimeout: time.Second, IdleTimeout: 2 * time.Minute}, rcguard.Timeouts{Header: time.Second, Idle: 2 * time.Minute}},
		{rcroute.Limits{HeaderTimeout: -1, IdleTimeout: -1}, usual},
		{rcroute.Limits{}, usual},
	} {
		i.routes.Store(&rcroute.Table{Limits: c.limits})
		require.Equal(t, c.want, timeouts())
	}
}
