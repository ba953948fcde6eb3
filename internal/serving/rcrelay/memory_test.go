package rcrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

type limitedMemory struct{ left int64 }

func (m *limitedMemory) Reserve(n int64) bool {
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

func (m *limitedMemory) Return(n int64) { m.left += n }

// TestReplayMemory guards against replay buffers that hold more than is reserved, streams that
// get no memory because ended ones hold it, and memory that is not given back.
func TestReplayMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 2 * reserveBytes
		memory := &limitedMemory{left: limit}
		r := newRelay(&fleet{weights: []radishcrank.WeightsVersion{"w1"}}, nil, Settings{})
		r.cfg.ReplayMemory = memory
		ids := []radishcrank.RequestID{"a", "b", "c"}
		for _, id := range ids {
			req := request
			req.ID = id
			require.NoError(t, r.Generate(context.Background(), req, &collectingSink{}))
		}
		require.Zero(t, memory.left)
		for n, id := range ids {
			err := r.Replay(context.Background(), request.Account, id, -1, &collectingSink{})
			require.Equal(t, n == 0, err != nil, "the oldest stream makes room, and no other")
		}
		memory.left = -1 // Nothing is free, nor when the ended streams have made room.
		s := newStream(request, Settings{}.withDefaults(), nil)
		const text = "01234567890123456789"
		for range 1000 {
			r.reserve(s, text)
			s.append(text)
		}
		require.Empty(t, r.ended)
		require.LessOrEqual(t, s.bytes, s.reserved)
		memory.Return(s.takeReserved() + 1)
		time.Sleep(2 * time.Minute)
		require.EqualValues(t, limit, memory.left)
	})
}
