package rcrpc

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type countedMemory struct {
	mu         sync.Mutex
	used, most int64
}

func (m *countedMemory) Take(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += n
	m.most = max(m.most, m.used)
}

func (m *countedMemory) Return(n int64) { m.Take(-n) }

func (m *countedMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// TestMemoryOfMessages guards against messages that are not counted while they are handled, or
// are counted for ever.
func TestMemoryOfMessages(t *testing.T) {
	memory := &countedMemory{}
	var object []byte
	handlers := newHandlers(&object)
	handlers.SetMemory(memory)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(listener, Config{Identity: Identity{Instance: "server"}, Keys: FixedKeys(keysOld), Handlers: handlers})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	c := newClient(t, keysOld)
	const calls, size = 4, 50_000
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			_, err := Call(t.Context(), c, listener.Addr().(*net.TCPAddr).AddrPort(), stalling, testParams{Text: strings.Repeat("a", size)})
			require.Error(t, err)
		})
	}
	require.Eventually(t, func() bool { return memory.inUse() >= calls*size }, 20*time.Second, time.Millisecond)
	wg.Wait()
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.Eventually(t, func() bool { return memory.inUse() == 0 }, 20*time.Second, time.Millisecond)
}
