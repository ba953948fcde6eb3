package rcrevision

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Guards against racing operators who both believe to have won, and a loser who is not told what changed.
func TestRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 4)
		defer f.close()
		time.Sleep(settle)
		_, err := f.processes[0].Push(f.ctx, PushRequest{Text: text(2, 1)})
		require.NoError(t, err)
		_, ok := f.wait(1, inForceWithin)
		require.True(t, ok)
		_, err = f.processes[5].Push(f.ctx, PushRequest{Base: 1, Author: "a", Text: text(2, 2)})
		require.NoError(t, err)
		_, err = f.processes[1].Push(f.ctx, PushRequest{Base: 1, Author: "b", Text: text(2, 3)})
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, []rcconfig.Change{{Section: "Defaults", Key: "MaxTokens", Old: "1", New: "2"}}, conflict.Changes)
		_, err = f.processes[1].Push(f.ctx, PushRequest{Base: 2, Text: "[Defaults]\nMaxTokens = 0\n"})
		var faults rcconfig.Errors
		require.ErrorAs(t, err, &faults)
		list, err := f.processes[1].History(f.ctx, 10)
		require.NoError(t, err)
		require.Len(t, list, 2)
		require.Equal(t, "a", list[0].Author)
		require.Empty(t, list[0].Text)
	})
}

// newsAfterRead lets something happen right after the head was read.
type newsAfterRead struct {
	radishcrank.TableService
	happen func()
}

func (n *newsAfterRead) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	rows, err := n.TableService.Get(ctx, keys...)
	if happen := n.happen; happen != nil && keys[0] == keyHead {
		n.happen = nil
		happen()
	}
	return rows, err
}

// Guards against a lost race that is answered as if this instance lagged behind,
// when the winner's revision is heard of between the read and the write.
func TestRaceHeardOfAfterTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2)
		defer f.close()
		time.Sleep(settle)
		loser, winner := f.processes[0], f.processes[1]
		_, err := loser.Push(f.ctx, PushRequest{Text: text(2, 1)})
		require.NoError(t, err)
		_, ok := f.wait(1, inForceWithin)
		require.True(t, ok)
		// Its own loops would read the table, too.
		loser.cancel()
		synctest.Wait()
		loser.cfg.Table = &newsAfterRead{TableService: loser.cfg.Table, happen: func() {
			info, err := winner.Push(f.ctx, PushRequest{Base: 1, Text: text(2, 2)})
			require.NoError(t, err)
			news := newestAnswer{Revision: info.Revision, Hash: info.Hash}
			require.True(t, loser.heard(winner.self.Peer, loser.Status().Hash, news, time.Now()))
		}}
		_, err = loser.Push(f.ctx, PushRequest{Base: 1, Text: text(2, 3)})
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.EqualValues(t, 2, conflict.Newest)
	})
}
