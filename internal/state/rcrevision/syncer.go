// Package rcrevision keeps the newest revision of the configuration in force.
// Revisions are committed to the table service by compare-and-set. Two
// instances of each availability zone poll the newest number; the others ask
// one of them, as do those that cannot reach the table service. An instance
// moves to higher revisions only.
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
	// firstPoll spreads the first questions of instances that restart in herds.
	firstPoll = 500 * time.Millisecond
	// orphanPoll is when an instance without a document asks the table itself.
	// By then its zone's readers have the document, if they can reach the table: a
	// restart of all instances would otherwise read it 370 times, 150 MB in all.
	orphanPoll = 4 * time.Second
	// rejectPause keeps an instance from fetching a document again and again that it cannot apply.
	rejectPause = 30 * time.Second
	// staleAfter is when an instance that learns from peers asks the table itself,
	// because the peers that it asks are gone or cut off.
	staleAfter = 3 * time.Second
	// stalePoll is how often it does so. While the table service is down, 370
	// instances then make fewer than a tenth of the 2,000 reads/s that it allows.
	stalePoll = 2 * time.Second
	// keptTexts bounds the older documents that deltas can start from.
	keptTexts = 8
)

// Config holds the parts that a Keeper works with.
type Config struct {
	Self     radishcrank.InstanceID
	Table    radishcrank.TableService
	Caller   rcrpc.Caller
	Handlers *rcrpc.Handlers // Gets the handler of ConfigFetch.
	Log      zerolog.Logger

	// IsReader reports whether this instance polls the table service for its zone.
	IsReader func() bool
	// SourcePeers returns peers to ask for the newest revision.
	SourcePeers func() []netip.AddrPort
	// OnChange is called with each document that comes into force, one call at
	// a time and in order. Of the keeper it may use only Current.
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

// Syncer holds the configuration in force.
type Syncer struct {
	cfg       Config
	current   atomic.Pointer[version]
	confirmed atomic.Pointer[time.Time] // When the current revision was last known to be the newest one.
	reached   atomic.Bool               // The last read of the table service succeeded.
	readAt    time.Time                 // When an instance that is no reader reads it next; of readTable alone.

	mu        sync.Mutex
	older     []*version // Newest first.
	newest    uint64     // Highest revision heard of.
	rejected  map[string]time.Time
	problem   string
	conflicts int
	reported  bool // This instance has a problem row.
	objects   map[string]*rcrpc.Object
}

// New returns a keeper without a document.
func New(cfg Config) *Syncer {
	k := &Syncer{
		cfg:      cfg,
		readAt:   time.Now().Add(jitter(orphanPoll)),
		rejected: make(map[string]time.Time),
		objects:  make(map[string]*rcrpc.Object),
	}
	rcrpc.Handle(cfg.Handlers, methodNewest, k.answerNewest)
	rcrpc.Handle(cfg.Handlers, methodFetch, k.answerFetch)
	return k
}

// Current returns the document in force, or nil before the first one. It takes no lock.
func (k *Syncer) Current() *rcconfig.Document {
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
func (k *Syncer) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{Problem: k.problem, Conflicts: k.conflicts}
	s.Revision, s.Hash, s.Age = k.inForce()
	return s
}

// inForce describes the configuration in force. It takes no lock.
func (k *Syncer) inForce() (revision uint64, hash string, age time.Duration) {
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
func (k *Syncer) confirm(at time.Time) {
	if known := k.confirmed.Load(); known == nil || at.After(*known) {
		k.confirmed.Store(&at)
	}
}

// compare reports another document under the number of the one in force. The caller holds the lock.
func (k *Syncer) compare(v *version, hash, where string) {
	if hash == v.hash {
		return
	}
	k.conflicts++
	// Without the place, or two peers would be reported in turn with each answer.
	problem := fmt.Sprintf("revision %d has hash %s here and %s elsewhere", v.doc.Revision, v.hash, hash)
	if k.problem != problem {
		k.problem = problem
		k.cfg.Log.Error().Str("Instance", string(k.cfg.Self)).Str("Where", where).Msg(problem)
	}
}

// adopt brings a document into force if its revision is higher than the
// current one. It reports whether the instance holds this revision or a higher one.
func (k *Syncer) adopt(ctx context.Context, revision uint64, text string) bool {
	if revision <= k.current.Load().revision() {
		return true
	}
	doc, err := rcconfig.Parse([]byte(text))
	if err != nil {
		k.reject(ctx, revision, hashText(text), err)
		return false
	}
	doc.Revision = revision
	if !k.move(&version{doc: doc, hash: hashText(text), text: text}) {
		return true
	}
	k.clearReport(ctx)
	return true
}

// move is the only place that replaces the document in force.
func (k *Syncer) move(next *version) bool {
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
func (k *Syncer) reject(ctx context.Context, revision uint64, hash string, cause error) {
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
func (k *Syncer) clearReport(ctx context.Context) {
	k.mu.Lock()
	reported := k.reported
	k.mu.Unlock()
	if reported {
		k.report(ctx, radishcrank.Write{Key: prefixProblem + string(k.cfg.Self), Delete: true})
	}
}

func (k *Syncer) report(ctx context.Context, w radishcrank.Write) {
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
