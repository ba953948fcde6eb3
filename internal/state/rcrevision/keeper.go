// Package rcrevision keeps the newest revision of the configuration in force.
// Revisions are committed to the table service by compare-and-set. Two
// instances of each availability zone poll the newest number; the others learn
// it from heartbeats and fetch the document from whoever advertised it. An
// instance moves to higher revisions only.
package rcrevision

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

const (
	pollInterval = time.Second
	// pollTimeout leaves time for a second try within the 5 s for a revision to be in force.
	pollTimeout = 1500 * time.Millisecond
	// readTimeout is for the document, apart from pollTimeout: with one timeout
	// for both, a table service that takes 0.8 s a call never got a revision through.
	readTimeout = 3 * time.Second
	// pushTimeout covers several tries while answers are lost.
	pushTimeout = 20 * time.Second
	// firstPoll lets peers answer first when instances restart in herds.
	firstPoll = 2 * time.Second
	// orphanPoll is when an instance without a document asks the table itself.
	// By then its zone's readers have the document, if they can reach the table: a
	// restart of all instances would otherwise read it 370 times, 150 MB in all.
	orphanPoll = 4 * time.Second
	// rejectPause keeps an instance from fetching a document again and again that it cannot apply.
	rejectPause = 30 * time.Second
	// keptTexts bounds the older documents that deltas can start from.
	keptTexts = 8
	// maxSources bounds the advertisers that are remembered for one fetch.
	maxSources = 8
)

// Config holds the parts that a Keeper works with.
type Config struct {
	Self     radishcrank.InstanceID
	Table    radishcrank.TableService
	Caller   rcrpc.Caller
	Handlers *rcrpc.Handlers // Gets the handler of ConfigFetch.
	Log      zerolog.Logger

	// Reader reports whether this instance polls the table service for its zone.
	Reader func() bool
	// Advertise spreads this instance's revision at once. It may block for as
	// long as calls to peers take.
	Advertise func(ctx context.Context)
	// OnChange is called with each document that comes into force, one call at
	// a time and in order. Of the keeper it may use only Current and Advert.
	OnChange func(doc *rcconfig.Document)
}

// version is one document with its text.
type version struct {
	doc  *rcconfig.Document
	hash string
	text string
}

func (v *version) revision() uint64 {
	if v == nil {
		return 0
	}
	return v.doc.Revision
}

// Keeper holds the configuration in force.
type Keeper struct {
	cfg       Config
	current   atomic.Pointer[version]
	confirmed atomic.Pointer[time.Time] // When the current revision was last known to be the newest one.
	wake      chan struct{}
	changed   chan struct{} // Has an element while the current revision is not advertised yet.

	mu        sync.Mutex
	older     []*version // Newest first.
	sources   []source   // Advertisers of a higher revision.
	newest    uint64     // Highest revision heard of.
	rejected  map[string]time.Time
	problem   string
	conflicts int
	reported  bool // This instance has a problem row.
	objects   map[string]*rcrpc.Object
}

// source is a peer that advertised a revision.
type source struct {
	addr     netip.AddrPort
	revision uint64
	hash     string
}

// New returns a keeper without a document.
func New(cfg Config) *Keeper {
	k := &Keeper{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
		rejected: make(map[string]time.Time),
		objects:  make(map[string]*rcrpc.Object),
	}
	rcrpc.Handle(cfg.Handlers, methodFetch, k.answerFetch)
	return k
}

// Current returns the document in force, or nil before the first one. It takes no lock.
func (k *Keeper) Current() *rcconfig.Document {
	v := k.current.Load()
	if v == nil {
		return nil
	}
	return v.doc
}

// Status is the state of the configuration on this instance.
type Status struct {
	Revision  uint64
	Hash      string
	Age       time.Duration // Since the revision was last known to be the newest one; negative before the first time.
	Problem   string        // Why a newer document is not in force.
	Conflicts int           // Peers or tables seen with another document under the same number.
}

// Status returns the current status.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{Problem: k.problem, Conflicts: k.conflicts}
	s.Revision, s.Hash, s.Age = k.Advert()
	return s
}

// Advert returns what heartbeats say of the configuration in force. It takes no lock.
func (k *Keeper) Advert() (revision uint64, hash string, age time.Duration) {
	age = -1
	if at := k.confirmed.Load(); at != nil {
		age = time.Since(*at)
	}
	if v := k.current.Load(); v != nil {
		revision, hash = v.doc.Revision, v.hash
	}
	return revision, hash, age
}

// confirm notes when the current revision was known to be the newest one. The
// caller holds the lock.
func (k *Keeper) confirm(at time.Time) {
	if known := k.confirmed.Load(); known == nil || at.After(*known) {
		k.confirmed.Store(&at)
	}
}

// Heard takes in what a peer advertises: its revision, and how long ago that
// was known to be the newest one; a negative age says that it never was. It
// does not block.
func (k *Keeper) Heard(from netip.AddrPort, revision uint64, hash string, age time.Duration) {
	v := k.current.Load()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newest = max(k.newest, revision)
	switch {
	case revision == 0 || revision < v.revision():
	case v != nil && revision == v.doc.Revision:
		k.compare(v, hash, from.String())
		if hash == v.hash && age >= 0 {
			k.confirm(time.Now().Add(-age))
		}
	default:
		k.addSource(source{addr: from, revision: revision, hash: hash})
	}
}

// compare reports another document under the number of the one in force. The caller holds the lock.
func (k *Keeper) compare(v *version, hash, where string) {
	if hash == v.hash {
		return
	}
	k.conflicts++
	// Without the place, or two peers would be reported in turn with each heartbeat.
	problem := fmt.Sprintf("revision %d has hash %s here and %s elsewhere", v.doc.Revision, v.hash, hash)
	if k.problem != problem {
		k.problem = problem
		k.cfg.Log.Error().Str("Instance", string(k.cfg.Self)).Str("Where", where).Msg(problem)
	}
}

func (k *Keeper) addSource(s source) {
	if until, ok := k.rejected[s.hash]; ok && time.Now().Before(until) {
		return
	}
	for i := range k.sources {
		if k.sources[i].addr == s.addr {
			k.sources[i] = s
			return
		}
	}
	if len(k.sources) < maxSources {
		k.sources = append(k.sources, s)
	}
	notify(k.wake)
}

// Run keeps the configuration up to date until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { k.poll(ctx) })
	running.Go(func() { serve(ctx, k.changed, k.cfg.Advertise) })
	serve(ctx, k.wake, k.fetchNewest)
	return ctx.Err()
}

// serve calls f for each signal until ctx ends.
func serve(ctx context.Context, signal <-chan struct{}, f func(context.Context)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signal:
			f(ctx)
		}
	}
}

func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// adopt brings a document into force if its revision is higher than the
// current one. It reports whether the instance holds this revision or a higher one.
func (k *Keeper) adopt(ctx context.Context, revision uint64, text string) bool {
	if revision <= k.current.Load().revision() {
		return true
	}
	doc, err := rcconfig.Parse([]byte(text))
	if err != nil {
		k.reject(ctx, revision, hashOf(text), err)
		return false
	}
	doc.Revision = revision
	if !k.move(&version{doc: doc, hash: hashOf(text), text: text}) {
		return true
	}
	k.clearReport(ctx)
	notify(k.changed)
	return true
}

// move is the only place that replaces the document in force.
func (k *Keeper) move(next *version) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.current.Load()
	if next.doc.Revision <= old.revision() {
		return false
	}
	if old != nil {
		k.older = append([]*version{old}, k.older[:min(len(k.older), keptTexts-1)]...)
	}
	k.current.Store(next)
	k.newest = max(k.newest, next.doc.Revision)
	k.problem = ""
	clear(k.objects)
	k.cfg.Log.Info().Uint64("Revision", next.doc.Revision).Str("Hash", next.hash).Msg("configuration in force")
	if k.cfg.OnChange != nil {
		k.cfg.OnChange(next.doc)
	}
	return true
}

// reject notes a document that this instance cannot apply, for instance because
// it has a setting of a newer version, and reports the instance's name.
func (k *Keeper) reject(ctx context.Context, revision uint64, hash string, cause error) {
	now := time.Now()
	k.mu.Lock()
	for h, until := range k.rejected {
		if now.After(until) {
			delete(k.rejected, h)
		}
	}
	k.rejected[hash] = now.Add(rejectPause)
	k.problem = fmt.Sprintf("instance %s cannot apply revision %d: %v", k.cfg.Self, revision, cause)
	k.mu.Unlock()
	k.cfg.Log.Error().Err(cause).Str("Instance", string(k.cfg.Self)).Uint64("Revision", revision).Msg("configuration cannot be applied")
	row, err := encode(Problem{Instance: k.cfg.Self, Revision: revision, Error: cause.Error()})
	if err != nil {
		return
	}
	k.report(ctx, radishcrank.Write{Key: prefixProblem + string(k.cfg.Self), Value: row})
}

// clearReport removes the row of an earlier problem.
func (k *Keeper) clearReport(ctx context.Context) {
	k.mu.Lock()
	reported := k.reported
	k.mu.Unlock()
	if reported {
		k.report(ctx, radishcrank.Write{Key: prefixProblem + string(k.cfg.Self), Delete: true})
	}
}

func (k *Keeper) report(ctx context.Context, w radishcrank.Write) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := k.cfg.Table.Commit(ctx, radishcrank.Transaction{Writes: []radishcrank.Write{w}})
	if err != nil {
		k.cfg.Log.Warn().Err(err).Msg("configuration problem could not be reported")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reported = !w.Delete || err != nil
}

// jitter spreads d by up to a quarter.
func jitter(d time.Duration) time.Duration { return d + rand.N(d/4) }
