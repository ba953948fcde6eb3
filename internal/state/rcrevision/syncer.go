// Package rcrevision replicates the configuration to all instances. Revisions are
// committed to the table service by compare-and-set. Two instances of each
// availability zone poll the newest revision number there; the others poll one of
// these, as do instances that cannot reach the table service. An instance only
// moves to higher revisions.
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
	// pollTimeout leaves time for a second attempt within the 5 s in which a revision
	// must be in force everywhere.
	pollTimeout = 1500 * time.Millisecond
	// readTimeout covers the read of the document. It is separate from pollTimeout:
	// with one timeout for both reads, no revision was ever read from a table service
	// that took 0.8 s per call.
	readTimeout = 3 * time.Second
	// pushTimeout covers several attempts while responses are lost.
	pushTimeout = 20 * time.Second
	// startupJitter spreads the first polls of instances that restart together.
	startupJitter = 500 * time.Millisecond
	// emptyPollInterval is the interval at which an instance without a document reads
	// the table service itself. It also delays the first such read until the readers
	// of its zone have the document, if they can reach the table service: otherwise a
	// restart of all instances would read it 370 times, 150 MB in total.
	emptyPollInterval = 4 * time.Second
	// rejectRetryDelay limits how often an instance fetches a document that it cannot
	// apply.
	rejectRetryDelay = 30 * time.Second
	// staleAfter is the time without confirmation after which an instance that polls
	// peers reads the table service itself, because those peers may be gone or
	// isolated.
	staleAfter = 3 * time.Second
	// stalePollInterval is the interval of these reads. With it, 370 instances make
	// less than a tenth of the 2,000 reads/s that the table service allows, even when
	// all of them are stale while it is down.
	stalePollInterval = 2 * time.Second
	// maxPreviousDocs bounds the previous documents that are kept as bases of deltas.
	maxPreviousDocs = 8
)

// Config holds the dependencies of a Syncer.
type Config struct {
	Self     radishcrank.InstanceID
	Table    radishcrank.TableService
	Caller   rcrpc.Caller
	Handlers *rcrpc.Handlers // The handlers of ConfigNewest and ConfigFetch are registered here.
	Log      zerolog.Logger

	// IsReader reports whether this instance polls the table service for its zone.
	IsReader func() bool
	// SourcePeers returns the peers to poll for the newest revision.
	SourcePeers func() []netip.AddrPort
	// OnChange is called with each document that is applied, one call at a time and
	// in order. The Syncer holds its lock meanwhile, so OnChange may call only Current.
	OnChange func(doc *rcconfig.Document)
}

// document is a parsed document with its text.
type document struct {
	doc  *rcconfig.Document
	hash string
	text string
}

func (d *document) revision() uint64 {
	if d == nil {
		return 0
	}
	return d.doc.Revision
}

// Syncer holds the current configuration and keeps it up to date.
type Syncer struct {
	cfg            Config
	current        atomic.Pointer[document]
	confirmedAt    atomic.Pointer[time.Time] // When the current revision was last confirmed to be the newest one.
	tableReachable atomic.Bool               // The last read of the table service succeeded.
	nextTableRead  time.Time                 // When an instance that is not a reader may read it next; used only by pollTable.

	mu              sync.Mutex
	previous        []*document          // Newest first.
	highestSeen     uint64               // Highest revision reported by a peer or applied here.
	rejectedUntil   map[string]time.Time // By document hash.
	problem         string
	conflicts       int
	problemReported bool                     // The table may hold a problem row of this instance.
	deltaObjects    map[string]*rcrpc.Object // Encoded deltas to the current document, by hash of the base.
}

// New returns a Syncer without a document.
func New(cfg Config) *Syncer {
	s := &Syncer{
		cfg:           cfg,
		nextTableRead: time.Now().Add(addJitter(emptyPollInterval)),
		rejectedUntil: make(map[string]time.Time),
		deltaObjects:  make(map[string]*rcrpc.Object),
	}
	rcrpc.Handle(cfg.Handlers, methodNewest, s.answerNewest)
	rcrpc.Handle(cfg.Handlers, methodFetch, s.answerFetch)
	return s
}

// Current returns the current document, or nil if there is none yet. It takes no lock.
func (s *Syncer) Current() *rcconfig.Document {
	cur := s.current.Load()
	if cur == nil {
		return nil
	}
	return cur.doc
}

// Status is the state of the configuration on this instance.
type Status struct {
	Revision  uint64
	Hash      string
	Age       time.Duration // Since the revision was last confirmed to be the newest one; negative if it never was.
	Problem   string        // Why a newer document was not applied, or a hash conflict.
	Conflicts int           // How often a peer or the table had another document with the same revision number.
}

func (s *Syncer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Problem: s.problem, Conflicts: s.conflicts}
	status.Revision, status.Hash, status.Age = s.currentRevision()
	return status
}

// currentRevision returns the current revision, its hash and the time since it was
// last confirmed, which is negative if it never was. It takes no lock.
func (s *Syncer) currentRevision() (revision uint64, hash string, age time.Duration) {
	age = -1
	if at := s.confirmedAt.Load(); at != nil {
		age = time.Since(*at)
	}
	if cur := s.current.Load(); cur != nil {
		revision, hash = cur.doc.Revision, cur.hash
	}
	return revision, hash, age
}

// confirm records that the current revision was the newest one at the given time.
// The caller must hold s.mu.
func (s *Syncer) confirm(at time.Time) {
	if known := s.confirmedAt.Load(); known == nil || at.After(*known) {
		s.confirmedAt.Store(&at)
	}
}

// checkHash reports a conflict if a peer or the table has a document with another
// hash under the current revision number. The caller must hold s.mu.
func (s *Syncer) checkHash(cur *document, hash, where string) {
	if hash == cur.hash {
		return
	}
	s.conflicts++
	// The text does not name the place: otherwise two conflicting peers would be
	// logged alternately with every answer.
	problem := fmt.Sprintf("revision %d has hash %s here and %s elsewhere", cur.doc.Revision, cur.hash, hash)
	if s.problem != problem {
		s.problem = problem
		s.cfg.Log.Error().Str("Instance", string(s.cfg.Self)).Str("Where", where).Msg(problem)
	}
}

// applyRevision parses a document and makes it the current one if its revision is
// higher. It reports whether the instance then has this revision or a higher one.
func (s *Syncer) applyRevision(ctx context.Context, revision uint64, text string) bool {
	if revision <= s.current.Load().revision() {
		return true
	}
	doc, err := rcconfig.Parse([]byte(text))
	if err != nil {
		s.reject(ctx, revision, hashText(text), err)
		return false
	}
	doc.Revision = revision
	if !s.replaceCurrent(&document{doc: doc, hash: hashText(text), text: text}) {
		return true
	}
	s.clearProblem(ctx)
	return true
}

// replaceCurrent sets the current document unless its revision is not higher. No
// other function sets it.
func (s *Syncer) replaceCurrent(next *document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if next.doc.Revision <= old.revision() {
		return false
	}
	if old != nil {
		s.previous = append([]*document{old}, s.previous[:min(len(s.previous), maxPreviousDocs-1)]...)
	}
	s.current.Store(next)
	s.highestSeen = max(s.highestSeen, next.doc.Revision)
	s.problem = ""
	clear(s.deltaObjects)
	s.cfg.Log.Info().Uint64("Revision", next.doc.Revision).Str("Hash", next.hash).Msg("configuration in force")
	if s.cfg.OnChange != nil {
		s.cfg.OnChange(next.doc)
	}
	return true
}

// reject records that this instance cannot apply a document, for instance because
// it has a setting of a newer program version, and writes a problem row with the
// instance's name.
func (s *Syncer) reject(ctx context.Context, revision uint64, hash string, cause error) {
	now := time.Now()
	s.mu.Lock()
	for h, until := range s.rejectedUntil {
		if now.After(until) {
			delete(s.rejectedUntil, h)
		}
	}
	s.rejectedUntil[hash] = now.Add(rejectRetryDelay)
	s.problem = fmt.Sprintf("instance %s cannot apply revision %d: %v", s.cfg.Self, revision, cause)
	s.mu.Unlock()
	s.cfg.Log.Error().Err(cause).Str("Instance", string(s.cfg.Self)).Uint64("Revision", revision).Msg("configuration cannot be applied")
	row, err := encode(Problem{Instance: s.cfg.Self, Revision: revision, Error: cause.Error()})
	if err != nil {
		return
	}
	s.writeProblem(ctx, radishcrank.Write{Key: prefixProblem + string(s.cfg.Self), Value: row})
}

// clearProblem deletes this instance's problem row, if there may be one.
func (s *Syncer) clearProblem(ctx context.Context) {
	s.mu.Lock()
	problemReported := s.problemReported
	s.mu.Unlock()
	if problemReported {
		s.writeProblem(ctx, radishcrank.Write{Key: prefixProblem + string(s.cfg.Self), Delete: true})
	}
}

// writeProblem writes or deletes this instance's problem row.
func (s *Syncer) writeProblem(ctx context.Context, w radishcrank.Write) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := s.cfg.Table.Commit(ctx, radishcrank.Transaction{Writes: []radishcrank.Write{w}})
	if err != nil {
		s.cfg.Log.Warn().Err(err).Msg("update of the configuration problem row failed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problemReported = !w.Delete || err != nil
}

// addJitter returns d plus a random duration of up to a quarter of d.
func addJitter(d time.Duration) time.Duration { return d + rand.N(d/4) }
