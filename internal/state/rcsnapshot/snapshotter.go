// Package rcsnapshot restores routing state after a restart. It encodes snapshots of
// the prefix index, suspects and circuit breakers, loads one from a peer of the
// availability zone or from the zone's object in the object store, and pushes that
// object.
package rcsnapshot

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// warmUpTimeout is the time after which an instance becomes ready without a
	// snapshot.
	warmUpTimeout = 3 * time.Second
	// chunkTimeout bounds the fetch of one chunk, so that an unresponsive peer leaves
	// time to try others.
	chunkTimeout = 500 * time.Millisecond
	// peerRetryDelay is the mean delay between attempts to fetch from a peer. During
	// a restart of a whole zone, the number of warm instances doubles in each round.
	peerRetryDelay = 200 * time.Millisecond
	// objectTimeout bounds one read and leaves time for a second one.
	objectTimeout  = time.Second
	maxObjectReads = 2
	// An instance that is not an early reader reads the object only if it has not
	// loaded a snapshot from a peer after this delay plus jitter.
	objectReadDelay  = 1200 * time.Millisecond
	objectReadJitter = 1200 * time.Millisecond

	// pushInterval results in 2.5 KB/s for the one pusher of a zone with snapshots of
	// 300 KB.
	pushInterval = 2 * time.Minute
	pushTimeout  = 10 * time.Second
	// usefulAfter is the time after which an instance that restored no snapshot has
	// collected enough state of its own.
	usefulAfter = 30 * time.Second
	// cacheTTL lets peers that restart together share one encoded snapshot.
	cacheTTL = 5 * time.Second
)

var methodFetch = rcrpc.ChunkMethod("SnapshotFetch", chunkTimeout)

// Source is the origin of the snapshot that an instance restored.
type Source string

const (
	SourcePeer   Source = "Peer"
	SourceObject Source = "Object"
	SourceNone   Source = "None"
)

// Config holds the dependencies of a Snapshotter.
type Config struct {
	Self     radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
	Objects  radishcrank.ObjectStore
	Caller   rcrpc.Caller
	Handlers *rcrpc.Handlers // The handler of SnapshotFetch is registered here.
	Log      zerolog.Logger

	// Peers returns the addresses of the other instances of the zone.
	Peers func() []netip.AddrPort
	// IsEarlyReader reports whether this instance is among the few of its zone that
	// read the object immediately.
	IsEarlyReader func() bool
	// IsPusher reports whether this instance pushes the zone's snapshot.
	IsPusher func() bool
	// MaxAge is the setting SnapshotMaxAge.
	MaxAge func() time.Duration

	// Collect returns the state of this instance.
	Collect func() Content
	// Restore adds the state of another instance.
	Restore func(Content)
}

// Snapshotter restores, serves and pushes snapshots.
type Snapshotter struct {
	cfg Config

	mu       sync.Mutex
	started  time.Time
	warmedUp bool          // WarmUp has restored a snapshot.
	isPusher bool          // Result of IsPusher at the last push interval.
	cached   *rcrpc.Object // Last encoded snapshot that was served to a peer.
	cachedAt time.Time
}

// New returns a Snapshotter. The instance's own state counts as useful usefulAfter
// later.
func New(cfg Config) *Snapshotter {
	s := &Snapshotter{cfg: cfg, started: time.Now()}
	rcrpc.Handle(cfg.Handlers, methodFetch, s.answerFetch)
	return s
}

// ObjectName is the name of a zone's snapshot in the object store.
func ObjectName(zone radishcrank.AvailabilityZone) string { return "snapshot/" + string(zone) }

// WarmUp restores the first valid snapshot from a peer or the object store. It
// returns SourceNone if there is none within warmUpTimeout.
func (s *Snapshotter) WarmUp(ctx context.Context) Source {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	type result struct {
		content Content
		source  Source
	}
	results := make(chan result, 2)
	var wg sync.WaitGroup
	load := func(source Source, f func(context.Context) (Content, bool)) {
		wg.Go(func() {
			if content, ok := f(ctx); ok {
				results <- result{content, source}
				cancel()
			}
		})
	}
	load(SourcePeer, s.loadFromPeers)
	load(SourceObject, s.loadFromObject)
	wg.Wait()
	select {
	case res := <-results:
		s.cfg.Restore(res.content)
		s.mu.Lock()
		s.warmedUp = true
		s.mu.Unlock()
		s.cfg.Log.Info().Str("Source", string(res.source)).Int("Prefixes", len(res.content.Prefixes)).Msg("warmed up")
		return res.source
	default:
		return SourceNone
	}
}

// loadFromPeers fetches the snapshot of a random peer. It repeats this until it
// succeeds or ctx ends.
func (s *Snapshotter) loadFromPeers(ctx context.Context) (Content, bool) {
	for ctx.Err() == nil {
		if peers := s.cfg.Peers(); len(peers) > 0 {
			content, err := s.fetchFromPeer(ctx, peers[rand.IntN(len(peers))])
			if err == nil {
				return content, true
			}
		}
		rcwait.Sleep(ctx, peerRetryDelay/2+rand.N(peerRetryDelay))
	}
	return Content{}, false
}

func (s *Snapshotter) fetchFromPeer(ctx context.Context, peer netip.AddrPort) (Content, error) {
	data, err := rcrpc.Fetch(ctx, s.cfg.Caller, peer, methodFetch, string(s.cfg.Zone), MaxBytes)
	if err != nil {
		return Content{}, err
	}
	snapshot, err := Decode(data, s.cfg.Zone, time.Now(), s.cfg.MaxAge())
	return snapshot.Content, err
}

// loadFromObject reads the zone's snapshot object, at most maxObjectReads times.
func (s *Snapshotter) loadFromObject(ctx context.Context) (Content, bool) {
	if !s.cfg.IsEarlyReader() {
		rcwait.Sleep(ctx, objectReadDelay+rand.N(objectReadJitter))
	}
	for range maxObjectReads {
		if ctx.Err() != nil {
			break
		}
		content, err := s.readObject(ctx)
		if err == nil {
			return content, true
		}
		s.cfg.Log.Debug().Err(err).Msg("snapshot object could not be loaded")
		// A missing, stale or corrupt object would be the same at the next read.
		if !errors.Is(err, radishcrank.ErrUnavailable) && !errors.Is(err, context.DeadlineExceeded) {
			break
		}
		rcwait.Sleep(ctx, rand.N(peerRetryDelay))
	}
	return Content{}, false
}

func (s *Snapshotter) readObject(ctx context.Context) (content Content, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "object %s", ObjectName(s.cfg.Zone))
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	data, err := s.cfg.Objects.Get(ctx, ObjectName(s.cfg.Zone))
	if err != nil {
		return Content{}, err
	}
	snapshot, err := Decode(data, s.cfg.Zone, time.Now(), s.cfg.MaxAge())
	return snapshot.Content, err
}

// Run pushes the zone's snapshot every pushInterval while this instance is the
// pusher, until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	for {
		// The jitter spreads the pushes of the zones after a simultaneous start.
		rcwait.Sleep(ctx, pushInterval*3/4+rand.N(pushInterval/2))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		isPusher := s.cfg.IsPusher()
		s.mu.Lock()
		s.isPusher = isPusher
		s.mu.Unlock()
		if !isPusher || !s.hasUsefulState() {
			continue
		}
		if err := s.push(ctx); err != nil {
			s.cfg.Log.Warn().Err(err).Msg("snapshot not pushed")
		}
	}
}

// PushFinal pushes a final snapshot in a graceful shutdown if this instance was the
// pusher or has no peers that could push one later.
func (s *Snapshotter) PushFinal(ctx context.Context) error {
	s.mu.Lock()
	isPusher := s.isPusher
	s.mu.Unlock()
	if (isPusher || len(s.cfg.Peers()) == 0) && s.hasUsefulState() {
		return s.push(ctx)
	}
	return nil
}

// hasUsefulState reports whether this instance has enough state for a snapshot.
func (s *Snapshotter) hasUsefulState() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.warmedUp || time.Since(s.started) >= usefulAfter
}

func (s *Snapshotter) push(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "push of %s", ObjectName(s.cfg.Zone))
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	data, err := s.encode()
	if err != nil {
		return err
	}
	return s.cfg.Objects.Put(ctx, ObjectName(s.cfg.Zone), data)
}

func (s *Snapshotter) encode() ([]byte, error) {
	return Encode(Snapshot{Instance: s.cfg.Self, Zone: s.cfg.Zone, TakenAt: time.Now(), Content: s.cfg.Collect()})
}

// answerFetch serves a chunk of this instance's snapshot to a restarted peer.
func (s *Snapshotter) answerFetch(_ context.Context, _ rcrpc.Identity, q rcrpc.ChunkRequest) (rcrpc.Chunk, error) {
	if q.Name != string(s.cfg.Zone) || !s.hasUsefulState() {
		return rcrpc.Chunk{}, &rcrpc.RemoteError{Code: rcrpc.CodeNotFound, Message: "no snapshot of this zone"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A request with a sum continues a fetch of the cached snapshot, which therefore
	// is not replaced.
	if s.cached == nil || q.Sum == "" && time.Since(s.cachedAt) > cacheTTL {
		data, err := s.encode()
		if err != nil {
			return rcrpc.Chunk{}, err
		}
		s.cached, s.cachedAt = rcrpc.NewObject(data), time.Now()
	}
	return s.cached.Chunk(q)
}
