// Package rcfeed keeps copies of the tables of a versioned store up to date,
// through outages, lost history and slow answers. In large fleets one instance
// of a zone reads the store and passes on what it read, and the others take
// that over as long as it comes.
package rcfeed

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// feedRetry is the pause after a call that failed. A store that is down costs
	// a few calls a second at most, and its return is noticed in good time.
	feedRetry = 250 * time.Millisecond
	// firstRead is the pause between attempts to read a table for the first time,
	// when an instance can serve nothing yet.
	firstRead = 100 * time.Millisecond
	// feedWait is the longest that the store holds a call for changes open. A store
	// that falls silent drops the call, and no news arrives until the wait has
	// ended. With feedMargin it stays within the 3 s that an instance has to recover
	// contact.
	feedWait = 2 * time.Second
	// feedMargin is how much later than feedWait an answer may come.
	feedMargin = 700 * time.Millisecond
	// probeWait and probeMargin replace them after a failure, until a call succeeds.
	probeWait   time.Duration = 0
	probeMargin               = 500 * time.Millisecond
	// relayLife is how long an instance goes without a batch of its relay before it
	// reads the store itself. With a call it stays within the bounds for changes.
	relayLife = 1400 * time.Millisecond
	// relayWait is feedWait of an instance whose batches are passed on: each one,
	// even an empty one, shows the others that the store can be reached.
	relayWait   = 700 * time.Millisecond
	relayMargin = 400 * time.Millisecond
	// awaitedLeast is how long a call must have waited for its news to be as new as
	// the answer. The store answers in 4 ms, so a sooner one may tell of what was
	// written before the call, while the process was frozen or paused.
	awaitedLeast = 50 * time.Millisecond
	// patientWait is feedWait of a table whose news may be late by as much.
	patientWait = 20 * time.Second
	// startTime is how long the instances of a fleet that starts take to find each
	// other and their relays.
	startTime = 5 * time.Second
	// patientRetry replaces feedRetry where news may be late.
	patientRetry = 2 * time.Second
	// offers is the number of batches that may wait to be applied; one that finds
	// no room is read from the store.
	offers = 16
)

// ErrHistoryGone says that a store no longer has the changes since a version.
var ErrHistoryGone = errors.New("history of the store is gone")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64 // Number of the transaction that wrote the row, over all tables.
	Removed bool
}

// Batch is what one call to the store told of a table: all changes after one
// version up to another.
type Batch struct {
	Table          string
	After, Version uint64
	Rows           []Row
	// At and Since are the answer's time and Sight.Since, in Unix milliseconds of
	// the store's clock.
	At, Since int64
}

// Response is what the store told of a table.
type Response struct {
	Rows    []Row
	Version uint64    // Newest of the store.
	At      time.Time // On the store's clock.
}

// Provenance says how rows were learned.
type Provenance struct {
	// Since is from when news counts, on the store's clock: the time of the answer
	// that told it to a follower that was waiting for it, or, where that one may
	// have missed its arrival, of the last answer before. It is zero for a process
	// that has just started: then news may be of any age.
	Since time.Time
	// Relayed says that another instance read the rows.
	Relayed bool
}

// Source reads tables. Implementations are safe for concurrent use.
type Source interface {
	// Read returns all rows of a table and the newest version of the store. Changes
	// since that version may or may not be among the rows.
	Read(ctx context.Context, table string) (Response, error)
	// Changes waits for rows that changed after a version, and answers without any
	// after wait. It fails once that is overdue by margin. ErrHistoryGone asks for
	// a new Read.
	Changes(ctx context.Context, table string, after uint64, wait, margin time.Duration) (Response, error)
}

// Config says what is followed and who is told.
type Config struct {
	Source Source
	Table  string
	// MinInterval is the least time between two calls, so that changes in a row cost one
	// call rather than one each. For startTime after Run begins it is StartupMinInterval, if
	// that is set.
	MinInterval, StartupMinInterval time.Duration
	DelayTolerant                   bool                           // News may be late.
	OnReset                         func(rows []Row, s Provenance) // Takes in the whole table.
	OnChange                        func(row Row, s Provenance)
	OnReachability                  func(ok bool) // Told whenever a call succeeds or fails. May be nil.
	// IsRelay reports whether other instances rely on what this one reads, and
	// Publish passes a batch on to them. Both are nil where each reads for itself.
	IsRelay func() bool
	Publish func(b Batch)
	Log     zerolog.Logger
}

// Follower keeps a copy of a table up to date.
type Follower struct {
	cfg       Config
	offered   chan Batch // What a relay has read. Nil if there are no relays.
	version   uint64
	known     bool
	reachable bool
	answerAt  time.Time // Of the newest answer, on the store's clock.
	waiting   bool      // The last call succeeded, so that the next one misses nothing.
	offeredAt time.Time
	startedAt time.Time
}

// New returns a Follower.
func New(cfg Config) *Follower {
	f := &Follower{cfg: cfg}
	if cfg.IsRelay != nil {
		f.offered = make(chan Batch, offers)
	}
	return f
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.reachable, f.startedAt = true, time.Now()
	for ctx.Err() == nil {
		if f.known && f.takeOffer(ctx) {
			continue
		}
		f.read(ctx)
	}
	return ctx.Err()
}

// takeOffer waits for a relay's batch. It reports false if the store must be
// read: no relay has been heard of for long, or a batch does not follow on from
// what is known.
func (f *Follower) takeOffer(ctx context.Context) bool {
	if f.offered == nil || f.cfg.IsRelay() {
		return false
	}
	wait := relayLife - time.Since(f.offeredAt)
	if wait <= 0 {
		// A batch that has arrived meanwhile shows that the relay is back.
		select {
		case b := <-f.offered:
			return f.apply(b)
		default:
			return false
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case b := <-f.offered:
		return f.apply(b)
	case <-timer.C:
		return false
	case <-ctx.Done():
		return true
	}
}

func (f *Follower) apply(b Batch) bool {
	if b.After > f.version {
		return false
	}
	f.offeredAt = time.Now()
	f.tell(nil)
	f.take(Response{Rows: b.Rows, Version: b.Version, At: time.UnixMilli(b.At)}, Provenance{Since: time.UnixMilli(b.Since), Relayed: true})
	f.waiting = false
	return true
}

func (f *Follower) take(a Response, s Provenance) {
	for _, row := range a.Rows {
		if row.Version > f.version || row.Version == 0 {
			f.cfg.OnChange(row, s)
		}
	}
	f.version, f.answerAt = max(f.version, a.Version), a.At
}

// Offer hands over what a relay has read. It does nothing where there are no relays.
func (f *Follower) Offer(b Batch) {
	select {
	case f.offered <- b:
	default:
	}
}

func (f *Follower) tell(err error) {
	ok := err == nil || errors.Is(err, ErrHistoryGone)
	if ok != f.reachable {
		f.cfg.Log.Warn().Str("Event", "Dependency").Str("Table", f.cfg.Table).Bool("Reachable", ok).AnErr("Cause", err).Send()
	}
	f.reachable = ok
	if f.cfg.OnReachability != nil {
		f.cfg.OnReachability(ok)
	}
}

// read makes one call to the store.
func (f *Follower) read(ctx context.Context) {
	begun := time.Now()
	if !f.known {
		a, err := f.cfg.Source.Read(ctx, f.cfg.Table)
		f.tell(err)
		if err != nil {
			rcwait.For(ctx, firstRead)
			return
		}
		f.cfg.OnReset(a.Rows, Provenance{Since: f.answerAt})
		f.version, f.known, f.answerAt, f.waiting = max(f.version, a.Version), true, a.At, true
	}
	relaying := f.cfg.IsRelay != nil && f.cfg.IsRelay()
	wait, margin := feedWait, feedMargin
	if f.cfg.DelayTolerant {
		wait = patientWait
	}
	switch {
	case !f.reachable:
		wait, margin = probeWait, probeMargin
	case relaying:
		wait, margin = relayWait, relayMargin
	}
	after, asked := f.version, time.Now()
	a, err := f.cfg.Source.Changes(ctx, f.cfg.Table, after, wait, margin)
	if ctx.Err() != nil {
		return
	}
	f.tell(err)
	since := a.At
	if !f.waiting || time.Since(asked) < awaitedLeast {
		since = f.answerAt
	}
	f.waiting = err == nil
	switch {
	case errors.Is(err, ErrHistoryGone):
		f.cfg.Log.Warn().Str("Event", "HistoryGone").Str("Table", f.cfg.Table).Uint64("Version", f.version).Send()
		f.known = false
		return
	case err != nil:
		retry := feedRetry
		if f.cfg.DelayTolerant {
			retry = patientRetry
		}
		rcwait.For(ctx, retry)
		return
	}
	f.take(a, Provenance{Since: since})
	if relaying {
		f.cfg.Publish(Batch{
			Table: f.cfg.Table, After: after, Version: max(after, a.Version), Rows: a.Rows,
			At: a.At.UnixMilli(), Since: since.UnixMilli(),
		})
	}
	if len(a.Rows) > 0 {
		pace := f.cfg.MinInterval
		if f.cfg.StartupMinInterval > 0 && time.Since(f.startedAt) < startTime {
			pace = f.cfg.StartupMinInterval
		}
		rcwait.For(ctx, pace-time.Since(begun))
	}
}
