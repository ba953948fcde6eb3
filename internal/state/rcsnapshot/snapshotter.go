// Package rcsnapshot gives a restarted instance what its predecessor knew: it
// encodes snapshots, warms up from a peer of the availability zone or from the
// zone's snapshot object, and pushes that object.
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
	// warmUpTimeout is when an instance is ready without being warm.
	warmUpTimeout = 3 * time.Second
	// peerTimeout is for one chunk; a silent peer must leave time for others.
	peerTimeout = 500 * time.Millisecond
	// peerPause is between questions to peers. While a whole zone restarts, those
	// that are warm double in number with each round.
	peerPause = 200 * time.Millisecond
	// objectTimeout leaves time for a second read.
	objectTimeout = time.Second
	objectTries   = 2
	// Instances that are not among the first of their zone read the object only
	// if no peer has helped until then.
	objectDelay  = 1200 * time.Millisecond
	objectJitter = 1200 * time.Millisecond

	// pushInterval with snapshots of 300 KB is 2.5 KB/s for the one pusher of a zone.
	pushInterval = 2 * time.Minute
	pushTimeout  = 10 * time.Second
	// settledAfter is when an instance that found no snapshot has seen enough itself.
	settledAfter = 30 * time.Second
	// cacheTime lets a herd of restarted peers share one encoded snapshot.
	cacheTime = 5 * time.Second
)

var methodFetch = rcrpc.ChunkMethod("SnapshotFetch", peerTimeout)

// Source says where an instance warmed up from.
type Source string

// Sources.
const (
	SourcePeer   Source = "Peer"
	SourceObject Source = "Object"
	SourceNone   Source = "None"
)

// Config holds the parts that a Keeper works with.
type Config struct {
	Self     radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
	Objects  radishcrank.ObjectStore
	Caller   rcrpc.Caller
	Handlers *rcrpc.Handlers // Gets the handler of SnapshotFetch.
	Log      zerolog.Logger

	// Peers returns the addresses of the other instances of the zone.
	Peers func() []netip.AddrPort
	// IsEarlyReader reports whether this instance is among the few of its zone that read
	// the object at once.
	IsEarlyReader func() bool
	// IsPusher reports whether this instance pushes the zone's snapshot.
	IsPusher func() bool
	// MaxAge is the setting SnapshotMaxAge.
	MaxAge func() time.Duration

	// Collect returns what this instance knows.
	Collect func() Content
	// Restore takes in what another one knew.
	Restore func(Content)
}

// Snapshotter gives and takes snapshots.
type Snapshotter struct {
	cfg Config

	mu       sync.Mutex
	started  time.Time
	warm     bool // This instance's knowledge is worth passing on.
	pusher   bool // As of the last push interval.
	object   *rcrpc.Object
	cachedAt time.Time
}

// New returns a keeper of an instance that starts now.
func New(cfg Config) *Snapshotter {
	k := &Snapshotter{cfg: cfg, started: time.Now()}
	rcrpc.Handle(cfg.Handlers, methodFetch, k.answerFetch)
	return k
}

// ObjectName is the name of a zone's snapshot in the object store.
func ObjectName(zone radishcrank.AvailabilityZone) string { return "snapshot/" + string(zone) }

// WarmUp restores the first good snapshot of a peer or the object store. It
// returns SourceNone after 3 s, when the instance serves without one.
func (k *Snapshotter) WarmUp(ctx context.Context) Source {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	type find struct {
		content Content
		source  Source
	}
	found := make(chan find, 2)
	var searches sync.WaitGroup
	search := func(source Source, f func(context.Context) (Content, bool)) {
		searches.Go(func() {
			if content, ok := f(ctx); ok {
				found <- find{content, source}
				cancel()
			}
		})
	}
	search(SourcePeer, k.searchPeers)
	search(SourceObject, k.searchObject)
	searches.Wait()
	select {
	case f := <-found:
		k.cfg.Restore(f.content)
		k.mu.Lock()
		k.warm = true
		k.mu.Unlock()
		k.cfg.Log.Info().Str("Source", string(f.source)).Int("Prefixes", len(f.content.Prefixes)).Msg("warmed up")
		return f.source
	default:
		return SourceNone
	}
}

// searchPeers asks one random peer after the other.
func (k *Snapshotter) searchPeers(ctx context.Context) (Content, bool) {
	for ctx.Err() == nil {
		if peers := k.cfg.Peers(); len(peers) > 0 {
			content, err := k.fetchPeer(ctx, peers[rand.IntN(len(peers))])
			if err == nil {
				return content, true
			}
		}
		rcwait.Sleep(ctx, peerPause/2+rand.N(peerPause))
	}
	return Content{}, false
}

func (k *Snapshotter) fetchPeer(ctx context.Context, peer netip.AddrPort) (Content, error) {
	data, err := rcrpc.Fetch(ctx, k.cfg.Caller, peer, methodFetch, string(k.cfg.Zone), MaxBytes)
	if err != nil {
		return Content{}, err
	}
	s, err := Decode(data, k.cfg.Zone, time.Now(), k.cfg.MaxAge())
	return s.Content, err
}

// searchObject reads the zone's snapshot, at most twice.
func (k *Snapshotter) searchObject(ctx context.Context) (Content, bool) {
	if !k.cfg.IsEarlyReader() {
		rcwait.Sleep(ctx, objectDelay+rand.N(objectJitter))
	}
	for range objectTries {
		if ctx.Err() != nil {
			break
		}
		content, err := k.readObject(ctx)
		if err == nil {
			return content, true
		}
		k.cfg.Log.Debug().Err(err).Msg("snapshot object not usable")
		// Another read of an object that is missing, stale or damaged would not help.
		if !errors.Is(err, radishcrank.ErrUnavailable) && !errors.Is(err, context.DeadlineExceeded) {
			break
		}
		rcwait.Sleep(ctx, rand.N(peerPause))
	}
	return Content{}, false
}

func (k *Snapshotter) readObject(ctx context.Context) (content Content, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "object %s", ObjectName(k.cfg.Zone))
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	data, err := k.cfg.Objects.Get(ctx, ObjectName(k.cfg.Zone))
	if err != nil {
		return Content{}, err
	}
	s, err := Decode(data, k.cfg.Zone, time.Now(), k.cfg.MaxAge())
	return s.Content, err
}

// Run pushes the zone's snapshot from time to time while this instance is the
// pusher, until ctx ends.
func (k *Snapshotter) Run(ctx context.Context) error {
	for {
		// The jitter keeps the pushers of all zones apart after a common start.
		rcwait.Sleep(ctx, pushInterval*3/4+rand.N(pushInterval/2))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pusher := k.cfg.IsPusher()
		k.mu.Lock()
		k.pusher = pusher
		k.mu.Unlock()
		if !pusher || !k.settled() {
			continue
		}
		if err := k.push(ctx); err != nil {
			k.cfg.Log.Warn().Err(err).Msg("snapshot not pushed")
		}
	}
}

// PushFinal pushes a last snapshot in a graceful shutdown, if this instance was
// the pusher or has no peer that could still do it.
func (k *Snapshotter) PushFinal(ctx context.Context) error {
	k.mu.Lock()
	pusher := k.pusher
	k.mu.Unlock()
	if (pusher || len(k.cfg.Peers()) == 0) && k.settled() {
		return k.push(ctx)
	}
	return nil
}

// settled reports whether this instance knows enough to pass it on.
func (k *Snapshotter) settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.warm || time.Since(k.started) >= settledAfter
}

func (k *Snapshotter) push(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "push of %s", ObjectName(k.cfg.Zone))
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	data, err := k.encode()
	if err != nil {
		return err
	}
	return k.cfg.Objects.Put(ctx, ObjectName(k.cfg.Zone), data)
}

func (k *Snapshotter) encode() ([]byte, error) {
	return Encode(Snapshot{Instance: k.cfg.Self, Zone: k.cfg.Zone, TakenAt: time.Now(), Content: k.cfg.Collect()})
}

// answerFetch serves this instance's snapshot to a restarted peer.
func (k *Snapshotter) answerFetch(_ context.Context, _ rcrpc.Identity, q rcrpc.ChunkRequest) (rcrpc.Chunk, error) {
	if q.Name != string(k.cfg.Zone) || !k.settled() {
		return rcrpc.Chunk{}, &rcrpc.RemoteError{Code: rcrpc.CodeNotFound, Message: "no snapshot of this zone"}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	// A fetch that began with the cached snapshot goes on with it.
	if k.object == nil || q.Sum == "" && time.Since(k.cachedAt) > cacheTime {
		data, err := k.encode()
		if err != nil {
			return rcrpc.Chunk{}, err
		}
		k.object, k.cachedAt = rcrpc.NewObject(data), time.Now()
	}
	return k.object.Chunk(q)
}
