package rcsnapshot

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcfakepeer"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeobject"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// slowStore is an object store with a read delay. It counts writes and bytes read.
type slowStore struct {
	*rcfakeobject.Store
	delay time.Duration

	mu    sync.Mutex
	puts  int
	bytes int
}

func (s *slowStore) Get(ctx context.Context, name string) ([]byte, error) {
	rcwait.Sleep(ctx, s.delay)
	if ctx.Err() != nil {
		return nil, radishcrank.ErrUnavailable
	}
	data, err := s.Store.Get(ctx, name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes += len(data)
	return data, err
}

func (s *slowStore) Put(ctx context.Context, name string, data []byte) error {
	s.mu.Lock()
	s.puts++
	s.mu.Unlock()
	return s.Store.Put(ctx, name, data)
}

// zone holds the instances of one availability zone, inside a synctest bubble.
type zone struct {
	net          *rcfakepeer.Network
	objects      *slowStore
	snapshotters []*Snapshotter
	hosts        []*rcfakepeer.Host

	mu       sync.Mutex
	restored int
}

func newZone(size, entries int) *zone {
	z := &zone{net: rcfakepeer.New(), objects: &slowStore{Store: rcfakeobject.New(), delay: 30 * time.Millisecond}}
	z.net.SetLinkFunc(func(_, _ *rcfakepeer.Host) rcfakepeer.Link { return rcfakepeer.Link{Latency: time.Millisecond} })
	for i := range size {
		z.add(i, size, entries)
	}
	return z
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func (z *zone) add(i, size, entries int) {
	handlers := rcrpc.NewHandlers()
	host := z.net.NewHost(rcrpc.Identity{Instance: radishcrank.InstanceID(fmt.Sprint(i)), Zone: "zone-1"}, addr(i), handlers)
	z.hosts = append(z.hosts, host)
	z.snapshotters = append(z.snapshotters, New(Config{
		Self: host.Identity.Instance, Zone: "zone-1", Objects: z.objects, Caller: host, Handlers: handlers, Log: zerolog.Nop(),
		Peers: func() []netip.AddrPort {
			var peers []netip.AddrPort
			for j := range size {
				if j != i {
					peers = append(peers, addr(j))
				}
			}
			return peers
		},
		IsEarlyReader: func() bool { return i < 2 },
		IsPusher:      func() bool { return i == 0 },
		MaxAge:        func() time.Duration { return maxAge },
		Collect: func() Content {
			s := testSnapshot(entries, 100)
			s.TakenAt = time.Now()
			return s.Content
		},
		Restore: func(c Content) {
			z.mu.Lock()
			defer z.mu.Unlock()
			if len(c.Prefixes) == entries {
				z.restored++
			}
		},
	}))
	host.Listen()
}

// warmUpAll calls WarmUp on all instances concurrently. It returns the number of
// instances by source and the longest duration.
func (z *zone) warmUpAll(ctx context.Context) (sources map[Source]int, longest time.Duration) {
	sources = make(map[Source]int)
	begin := time.Now()
	var wg sync.WaitGroup
	for _, s := range z.snapshotters {
		wg.Go(func() {
			source := s.WarmUp(ctx)
			z.mu.Lock()
			defer z.mu.Unlock()
			sources[source]++
			longest = max(longest, time.Since(begin))
		})
	}
	wg.Wait()
	return sources, longest
}

func (z *zone) putSnapshot(t *testing.T, age time.Duration, entries int) int {
	s := testSnapshot(entries, 100)
	s.TakenAt = time.Now().Add(-age)
	data := mustEncode(t, s)
	require.NoError(t, z.objects.Put(t.Context(), ObjectName("zone-1"), data))
	return len(data)
}

// Guards against a simultaneous restart of a zone that reads the object store once
// per instance, or leaves instances without the available snapshot.
func TestZoneRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(34, 200)
		z.putSnapshot(t, time.Minute, 200)
		sources, longest := z.warmUpAll(t.Context())
		require.Zero(t, sources[SourceNone])
		require.Equal(t, 34, z.restored)
		require.LessOrEqual(t, z.objects.Reads(), 4)
		require.LessOrEqual(t, longest, warmUpTimeout)
	})
}

// Guards against instances that start late because no snapshot is available or the
// store or peers do not respond, or that restore a stale snapshot.
func TestColdStart(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, z *zone){
		"no snapshot":    func(*testing.T, *zone) {},
		"stale snapshot": func(t *testing.T, z *zone) { z.putSnapshot(t, maxAge+time.Minute, 10) },
		"store down":     func(_ *testing.T, z *zone) { z.objects.SetDown(true) },
		"all silent": func(_ *testing.T, z *zone) {
			z.objects.delay = time.Hour
			z.net.SetLinkFunc(func(_, _ *rcfakepeer.Host) rcfakepeer.Link { return rcfakepeer.Link{Down: true} })
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			z := newZone(4, 10)
			prepare(t, z)
			sources, longest := z.warmUpAll(t.Context())
			require.Equal(t, map[Source]int{SourceNone: 4}, sources, name)
			require.LessOrEqual(t, longest, warmUpTimeout, name)
			require.Zero(t, z.restored, name)
			require.LessOrEqual(t, z.objects.Reads(), 8, name)
		})
	}
}

// Guards against a restarted instance that reads the object store although a peer
// has useful state.
func TestWarmPeerPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(4, 200)
		z.objects.delay = time.Second
		for _, s := range z.snapshotters[1:] {
			s.warmedUp = true
		}
		require.Equal(t, SourcePeer, z.snapshotters[0].WarmUp(t.Context()))
		require.Zero(t, z.objects.Reads())
		// Without a snapshot, an instance has useful state after usefulAfter.
		cold := newZone(2, 10)
		cold.objects.SetDown(true)
		require.Equal(t, SourceNone, cold.snapshotters[0].WarmUp(t.Context()))
		time.Sleep(usefulAfter)
		cold.snapshotters[1].warmedUp = false
		require.Equal(t, SourcePeer, cold.snapshotters[0].WarmUp(t.Context()))
	})
}

// Guards against pushes by every instance, and against a graceful shutdown without
// a final push.
func TestPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(5, 10)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, s := range z.snapshotters {
			wg.Go(func() { s.Run(ctx) })
		}
		time.Sleep(time.Hour)
		cancel()
		wg.Wait()
		require.InDelta(t, int(time.Hour/pushInterval), z.objects.puts, 5)
		z.objects.puts = 0
		for _, s := range z.snapshotters {
			require.NoError(t, s.PushFinal(t.Context()))
		}
		require.Equal(t, 1, z.objects.puts)
	})
}

// Guards against a restart of a whole zone that reads the object store too often.
func TestBoundZoneRestart(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("set RADISHCRANK_BOUNDS=1 to check bounds")
	}
	synctest.Test(t, func(t *testing.T) {
		z := newZone(34, MaxEntries)
		size := z.putSnapshot(t, time.Minute, MaxEntries)
		sources, longest := z.warmUpAll(t.Context())
		busiest := 0
		for _, h := range z.hosts {
			busiest = max(busiest, h.SentBytes())
		}
		t.Logf("34 instances, snapshot of %d bytes: %d object reads, %d bytes from the store, maximum of %d bytes sent by a peer, all warm after %v, %v",
			size, z.objects.Reads(), z.objects.bytes, busiest, longest, sources)
		require.LessOrEqual(t, z.objects.Reads(), 4)
		require.Zero(t, sources[SourceNone])
	})
}
