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

// store counts the traffic of an object store that takes some time.
type store struct {
	*rcfakeobject.Store
	delay time.Duration

	mu    sync.Mutex
	puts  int
	bytes int
}

func (s *store) Get(ctx context.Context, name string) ([]byte, error) {
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

func (s *store) Put(ctx context.Context, name string, data []byte) error {
	s.mu.Lock()
	s.puts++
	s.mu.Unlock()
	return s.Store.Put(ctx, name, data)
}

// zone is the instances of one availability zone, in a synctest bubble.
type zone struct {
	net     *rcfakepeer.Network
	objects *store
	keepers []*Snapshotter
	hosts   []*rcfakepeer.Host

	mu       sync.Mutex
	restored int
}

func newZone(size, entries int) *zone {
	z := &zone{net: rcfakepeer.New(), objects: &store{Store: rcfakeobject.New(), delay: 30 * time.Millisecond}}
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
	z.keepers = append(z.keepers, New(Config{
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
			s := sample(entries, 100)
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

// warmAll warms all instances at once and returns their sources and the longest time.
func (z *zone) warmAll(ctx context.Context) (sources map[Source]int, longest time.Duration) {
	sources = make(map[Source]int)
	begin := time.Now()
	var running sync.WaitGroup
	for _, k := range z.keepers {
		running.Go(func() {
			source := k.WarmUp(ctx)
			z.mu.Lock()
			defer z.mu.Unlock()
			sources[source]++
			longest = max(longest, time.Since(begin))
		})
	}
	running.Wait()
	return sources, longest
}

func (z *zone) putSnapshot(t *testing.T, age time.Duration, entries int) int {
	s := sample(entries, 100)
	s.TakenAt = time.Now().Add(-age)
	data := encoded(t, s)
	require.NoError(t, z.objects.Put(t.Context(), ObjectName("zone-1"), data))
	return len(data)
}

// Guards against a zone whose restart reads the object store once for each
// instance, or that stays cold although there is a snapshot.
func TestHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(34, 200)
		z.putSnapshot(t, time.Minute, 200)
		sources, longest := z.warmAll(t.Context())
		require.Zero(t, sources[SourceNone])
		require.Equal(t, 34, z.restored)
		require.LessOrEqual(t, z.objects.Reads(), 4)
		require.LessOrEqual(t, longest, warmUpTimeout)
	})
}

// Guards against instances that wait for a snapshot that cannot come, use a
// stale one, or hang with a silent store or peer.
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
			sources, longest := z.warmAll(t.Context())
			require.Equal(t, map[Source]int{SourceNone: 4}, sources, name)
			require.LessOrEqual(t, longest, warmUpTimeout, name)
			require.Zero(t, z.restored, name)
			require.LessOrEqual(t, z.objects.Reads(), 8, name)
		})
	}
}

// Guards against a restarted instance that loads the object store although its peers are warm.
func TestWarmPeerComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(4, 200)
		z.objects.delay = time.Second
		for _, k := range z.keepers[1:] {
			k.warm = true
		}
		require.Equal(t, SourcePeer, z.keepers[0].WarmUp(t.Context()))
		require.Zero(t, z.objects.Reads())
		// Instances that found nothing know enough after a while.
		cold := newZone(2, 10)
		cold.objects.SetDown(true)
		require.Equal(t, SourceNone, cold.keepers[0].WarmUp(t.Context()))
		time.Sleep(settledAfter)
		cold.keepers[1].warm = false
		require.Equal(t, SourcePeer, cold.keepers[0].WarmUp(t.Context()))
	})
}

// Guards against a snapshot pushed by every instance, and against none after a graceful shutdown.
func TestPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(5, 10)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, k := range z.keepers {
			running.Go(func() { k.Run(ctx) })
		}
		time.Sleep(time.Hour)
		cancel()
		running.Wait()
		require.InDelta(t, int(time.Hour/pushInterval), z.objects.puts, 5)
		z.objects.puts = 0
		for _, k := range z.keepers {
			require.NoError(t, k.PushFinal(t.Context()))
		}
		require.Equal(t, 1, z.objects.puts)
	})
}

// Guards against a restart of a whole zone that takes more of the object store than it can spare.
func TestBoundHerd(t *testing.T) {
	if os.Getenv("RADISHCRANK_BOUNDS") != "1" {
		t.Skip("set RADISHCRANK_BOUNDS=1 to check bounds")
	}
	synctest.Test(t, func(t *testing.T) {
		z := newZone(34, MaxEntries)
		size := z.putSnapshot(t, time.Minute, MaxEntries)
		sources, longest := z.warmAll(t.Context())
		busiest := 0
		for _, h := range z.hosts {
			busiest = max(busiest, h.SentBytes())
		}
		t.Logf("34 instances, snapshot of %d bytes: %d object reads, %d bytes from the store, busiest peer sent %d bytes, all warm after %v, %v",
			size, z.objects.Reads(), z.objects.bytes, busiest, longest, sources)
		require.LessOrEqual(t, z.objects.Reads(), 4)
		require.Zero(t, sources[SourceNone])
	})
}
