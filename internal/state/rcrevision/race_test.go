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

// Guards against two pushes on the same base that both succeed, and a conflict
// error without the changes.
func TestConcurrentPushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 4)
		defer f.close()
		time.Sleep(startupTime)
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

// tableWithHook calls afterHeadRead once, right after the head row was read.
type tableWithHook struct {
	radishcrank.TableService
	afterHeadRead func()
}

func (t *tableWithHook) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	rows, err := t.TableService.Get(ctx, keys...)
	if afterHeadRead := t.afterHeadRead; afterHeadRead != nil && keys[0] == keyHead {
		t.afterHeadRead = nil
		afterHeadRead()
	}
	return rows, err
}

// Guards against a push that returns ErrNotUpToDate instead of a conflict when a
// concurrent push is committed and reported by a peer after the head was read.
func TestConflictReportedAfterHeadRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 2)
		defer f.close()
		time.Sleep(startupTime)
		loser, winner := f.processes[0], f.processes[1]
		_, err := loser.Push(f.ctx, PushRequest{Text: text(2, 1)})
		require.NoError(t, err)
		_, ok := f.wait(1, inForceWithin)
		require.True(t, ok)
		// Stop its polls, which would also read the table.
		loser.cancel()
		synctest.Wait()
		loser.cfg.Table = &tableWithHook{TableService: loser.cfg.Table, afterHeadRead: func() {
			info, err := winner.Push(f.ctx, PushRequest{Base: 1, Text: text(2, 2)})
			require.NoError(t, err)
			answer := newestAnswer{Revision: info.Revision, Hash: info.Hash}
			require.True(t, loser.handleNewest(winner.self.Peer, loser.Status().Hash, answer, time.Now()))
		}}
		_, err = loser.Push(f.ctx, PushRequest{Base: 1, Text: text(2, 3)})
		var conflict *ConflictError
		require.ErrorAs(t, err, &conflict)
		require.EqualValues(t, 2, conflict.Newest)
	})
}
