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

// Guards against moves of cold blocks, to the leaving engine, to an engine that
// requests do not go to, of more blocks than asked for, or of an account that left.
func TestMovesFollowLoad(t *testing.T) {
	synctest.Test(t, testMovesFollowLoad)
}

func testMovesFollowLoad(t *testing.T) {
	c, board := testChooser(6, nil)
	shared := strings.Repeat("s", 2*blockBytes)
	for i := range 4 {
		req := testRequest(i, fmt.Sprint("own ", i))
		req.Prompt = shared + req.Prompt
		serve(t, c, req)
		time.Sleep(5 * time.Second) // A faster pace would call for a second replica.
	}
	req := testRequest(9, "x")
	req.Prompt = shared
	leaving := serve(t, c, req).Upstream
	leaving.Leaving = true
	board.Upstreams.Put(leaving.ID, leaving)
	moves := c.PlanMigrations(leaving.ID, 100)
	require.Len(t, moves, 1)
	require.Equal(t, rcprefix.Chain(moves[0].Scope, shared, blockBytes), moves[0].Chain)
	require.Equal(t, serve(t, c, req).Upstream.ID, moves[0].Destination.ID)
	require.Empty(t, c.PlanMigrations(leaving.ID, 1))
	require.Empty(t, c.PlanMigrations("unknown", 100))

	c.RemoveAccount("other")
	require.Len(t, c.PlanMigrations(leaving.ID, 100), 1)
	c.RemoveAccount("a")
	require.Empty(t, c.PlanMigrations(leaving.ID, 100))
	require.Zero(t, c.Index().Len())
}
