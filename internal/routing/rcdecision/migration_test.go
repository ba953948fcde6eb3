package rcdecision

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/routing/rcprefix"
)

// Guards against migrations of blocks that are not hot, to the leaving engine, to
// an engine that does not get the requests, of more blocks than the limit, or of a
// removed account.
func TestMigrationsFollowLoad(t *testing.T) {
	synctest.Test(t, testMigrationsFollowLoad)
}

func testMigrationsFollowLoad(t *testing.T) {
	c, board := testChooser(6, nil)
	shared := strings.Repeat("s", 2*blockBytes)
	for i := range 4 {
		req := testRequest(i, fmt.Sprint("own ", i))
		req.Prompt = shared + req.Prompt
		serveRequest(t, c, req)
		time.Sleep(5 * time.Second) // A higher rate would require a second replica.
	}
	req := testRequest(9, "x")
	req.Prompt = shared
	leaving := serveRequest(t, c, req).Upstream
	leaving.Leaving = true
	board.Upstreams.Put(leaving.ID, leaving)
	migrations := c.PlanMigrations(leaving.ID, 100)
	require.Len(t, migrations, 1)
	require.Equal(t, rcprefix.Chain(migrations[0].Scope, shared, blockBytes), migrations[0].Chain)
	require.Equal(t, serveRequest(t, c, req).Upstream.ID, migrations[0].Destination.ID)
	require.Empty(t, c.PlanMigrations(leaving.ID, 1))
	require.Empty(t, c.PlanMigrations("unknown", 100))

	c.RemoveAccount("other")
	require.Len(t, c.PlanMigrations(leaving.ID, 100), 1)
	c.RemoveAccount("a")
	require.Empty(t, c.PlanMigrations(leaving.ID, 100))
	require.Zero(t, c.Index().Len())
}
