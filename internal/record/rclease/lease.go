// Package rclease implements leader election on a lease row in the table service.
// Each term has a fencing number that is higher than that of all earlier terms.
//
// The holder counts a renewal from the time before it was sent, and stops Margin
// before the lease expires. A candidate takes over only after it has seen the row
// unchanged for the whole lease duration on its own clock, or for longer if
// MinHandoverGap requires it. The candidate's clock starts after the renewal took
// effect, so the holder has stopped by then unless its process is paused. The
// fencing number protects against a paused holder that resumes without noticing.
// Clocks need not be synchronized, but their drift over one lease duration must not
// exceed Margin.
//
// The table may come back from an older copy, which may lack the row, name a former
// holder or hold fencing numbers that have been used. A row says in which era of the
// table it was written. One of an earlier era says nothing about who holds the lease:
// the holder may renew it, but a candidate waits as if it had just been written.
package rclease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/radishcrank/radishcrank"
)

const (
	defaultDuration = 10 * time.Second
	defaultMargin   = time.Second
	rowPrefix       = "lease/"
	nonceBytes      = 8

	// positionEraShift leaves room for the writes of the row in one era, and
	// fenceEraShift for its terms. Engines read fencing numbers as numbers of JSON,
	// which are exact up to 2^53.
	positionEraShift = 40
	fenceEraShift    = 20

	// renewalsPerDuration is the number of renewals per lease duration. With more
	// than one, a single lost renewal does not end the term.
	renewalsPerDuration = 4
)

// Config configures a Lease. Zero durations select the defaults.
type Config struct {
	Table    radishcrank.TableService
	Name     string // The row is lease/NAME.
	Instance radishcrank.InstanceID
	Duration time.Duration // Validity of a renewal; default 10 s.
	Margin   time.Duration // The holder stops this long before expiry; default 1 s.
	// MinHandoverGap is the minimum time between the last action of a holder and the
	// first action of a holder in another process. It is for receivers that do not
	// compare fencing numbers. A holder may act until Margin before its lease expires,
	// or until it releases the lease, so a candidate waits correspondingly longer.
	// Zero adds no delay.
	MinHandoverGap time.Duration

	// Era returns the newest known era of the table, which rises by one when the table
	// comes back from an older copy. It covers all answers that Table has returned. Nil
	// means that the table never loses a write.
	Era func() uint64

	// Process identifies a resource that only one running process can own, such as a
	// listening address. A lease held under the same value belongs to an earlier
	// process that has ended, and can be taken immediately. Empty disables this.
	Process string
	// HolderReport returns the last report of the holder and whether it is recent. While
	// it is, the candidate does not read the row from the table service. Nil means that
	// there are no reports.
	HolderReport func() (HolderReport, bool)
	// Lead does the holder's work. It must return promptly once ctx is done.
	Lead func(ctx context.Context, term *Term) error
}

// HolderReport is what the lease holder last reported to this instance.
type HolderReport struct {
	Position   uint64    // Term.Position of the holder; 0 if unknown.
	ReceivedAt time.Time // When that position was first reported.
}

// Lease is one candidate in the election.
type Lease struct {
	cfg          Config
	holder       string // Unique to this Lease, even if an instance ID is used twice.
	highestFence uint64 // Highest fencing number that was seen in the row.
}

// row is the value of the lease row. The row is never deleted, so that the fencing
// number never decreases.
type row struct {
	Holder   string // Empty after a release.
	Process  string // Config.Process of the holder; kept after a release.
	Fence    uint64
	Duration time.Duration
	Era      uint64 // Era of the table in which the row was written.
}

// New returns a Lease, which competes once Run is called.
func New(cfg Config) *Lease {
	if cfg.Duration <= 0 {
		cfg.Duration = defaultDuration
	}
	if cfg.Margin <= 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.Era == nil {
		cfg.Era = func() uint64 { return 0 }
	}
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return &Lease{cfg: cfg, holder: string(cfg.Instance) + "/" + hex.EncodeToString(nonce)}
}

// Term is one uninterrupted period as holder.
type Term struct {
	Fence uint64

	mu        sync.Mutex
	expiresAt clockReading
	position  uint64
}

// Valid reports whether the lease is still held. The holder must check it
// immediately before each action.
func (t *Term) Valid() bool { return t.remaining() > 0 }

func (t *Term) remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return -t.expiresAt.elapsed()
}

// Position returns the position of the row as the holder last wrote it. Positions
// increase with each write, across restores of the table too.
func (t *Term) Position() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position
}

func (t *Term) extend(expiresAt clockReading, position uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiresAt, t.position = expiresAt, position
}

// position orders the versions of the row of all eras.
func position(era, version uint64) uint64 { return era<<positionEraShift | version }

func (t *Term) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiresAt = clockReading{}
}

// clockReading is a point in time on the monotonic and the wall clock. The monotonic
// clock may stop while the machine is suspended, and the wall clock may be set back.
type clockReading struct {
	mono, wall time.Time
}

func readClocks() clockReading {
	t := time.Now()
	return clockReading{mono: t, wall: t.Round(0)}
}

func (c clockReading) add(d time.Duration) clockReading {
	return clockReading{mono: c.mono.Add(d), wall: c.wall.Add(d)}
}

// elapsed returns the time since c on the clock on which more time has passed. A
// holder that uses it stops too early rather than too late.
func (c clockReading) elapsed() time.Duration {
	t := time.Now()
	return max(t.Sub(c.mono), t.Round(0).Sub(c.wall))
}

// Run competes for the lease and calls Config.Lead whenever it holds it, until ctx is
// done.
func (l *Lease) Run(ctx context.Context) error {
	for {
		term, version, err := l.acquire(ctx)
		if err != nil {
			return err
		}
		l.runTerm(ctx, term, version)
		// Give other candidates a chance after a term that failed.
		if !l.sleep(ctx) {
			return ctx.Err()
		}
	}
}

// sleep waits for one renewal interval, with jitter that desynchronizes candidates.
func (l *Lease) sleep(ctx context.Context) bool { return l.sleepUpTo(ctx, l.cfg.Duration) }

// sleepUpTo waits for one renewal interval, or for limit plus jitter if that is shorter.
func (l *Lease) sleepUpTo(ctx context.Context, limit time.Duration) bool {
	interval := l.cfg.Duration / renewalsPerDuration
	return l.sleepFor(ctx, min(interval*3/4, max(0, limit))+mrand.N(interval/4))
}

func (l *Lease) sleepFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquire waits until the lease is free and acquires it.
func (l *Lease) acquire(ctx context.Context) (term *Term, version uint64, err error) {
	var lastPosition uint64   // Position of the row at the last read or report.
	var firstSeenAt time.Time // When it was first seen, compared by the monotonic clock.
	for observed := false; ; {
		if l.cfg.HolderReport != nil {
			if report, fresh := l.cfg.HolderReport(); fresh {
				// The holder reports a position only after writing it. If a later read finds
				// the same one, the row has been unchanged since the report.
				lastPosition, firstSeenAt, observed = report.Position, report.ReceivedAt, report.Position > 0
				if !l.sleep(ctx) {
					return nil, 0, ctx.Err()
				}
				continue
			}
		}
		wait := l.cfg.Duration
		era, version, current, err := l.read(ctx)
		if err == nil {
			if at := position(era, version); !observed || at != lastPosition {
				lastPosition, firstSeenAt, observed = at, time.Now(), true
			}
			wait = l.takeoverDelay(era, version, current) - time.Since(firstSeenAt)
			if version == 0 && wait > 0 {
				// Nobody renews a row that does not exist, so a look halfway is enough to
				// notice one that another candidate has written.
				if !l.sleepFor(ctx, min(wait, l.cfg.Duration/2)) {
					return nil, 0, ctx.Err()
				}
				continue
			}
			if wait <= 0 {
				wait = l.cfg.Duration // Wait this long if the write fails.
				next := l.newRow(era, l.nextFence(era, current))
				sent := readClocks()
				term := &Term{Fence: next.Fence, position: position(era, version+1), expiresAt: sent.add(l.cfg.Duration - l.cfg.Margin)}
				err := l.write(ctx, version, next)
				// If the process was paused, the term may already have expired. If the table
				// was restored meanwhile, the write may be lost.
				if err == nil && l.cfg.Era() == era && term.Valid() {
					return term, version + 1, nil
				}
			}
		}
		if !l.sleepUpTo(ctx, wait) {
			return nil, 0, ctx.Err()
		}
	}
}

// takeoverDelay returns how long the row must have been unchanged before this
// instance may take the lease.
func (l *Lease) takeoverDelay(era, version uint64, current row) time.Duration {
	unknownHolder := max(current.Duration, l.cfg.Duration) + max(0, l.cfg.MinHandoverGap-l.cfg.Margin)
	switch {
	case current.Era != era:
		return unknownHolder // Another instance may have taken the lease in writes that were lost.
	case version == 0:
		return 0
	case current.Holder == l.holder:
		return 0 // Left by an acquisition with an unknown outcome; no term began.
	case l.cfg.Process != "" && current.Process == l.cfg.Process:
		return 0
	case current.Holder == "":
		return l.cfg.MinHandoverGap
	}
	return unknownHolder
}

// nextFence returns a fencing number above all that have been used. Numbers that a
// restore of the table has lost belong to an earlier era.
func (l *Lease) nextFence(era uint64, current row) uint64 {
	l.highestFence = max(l.highestFence, current.Fence)
	return max(l.highestFence, era<<fenceEraShift) + 1
}

func (l *Lease) newRow(era, fence uint64) row {
	return row{Holder: l.holder, Process: l.cfg.Process, Fence: fence, Duration: l.cfg.Duration, Era: era}
}

// runTerm calls Lead and renews the lease until the term ends, then releases it.
func (l *Lease) runTerm(ctx context.Context, term *Term, version uint64) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timer ends the term even if a renewal hangs.
	expiry := time.AfterFunc(term.remaining(), cancel)
	defer expiry.Stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		_ = l.cfg.Lead(termCtx, term)
	}()
	lost := false
	for !lost && l.sleep(termCtx) {
		version, lost = l.renew(termCtx, term, version)
		expiry.Reset(max(0, term.remaining()))
	}
	cancel()
	<-done
	// Lead has returned, so no action of this term can follow and another term may
	// begin. A renewal that succeeded after the term expired must not make it valid
	// again. The release gets its own context, since ctx may be done already.
	term.expire()
	if lost {
		return // The row belongs to another holder.
	}
	releaseCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), l.cfg.Duration/renewalsPerDuration)
	defer stop()
	released := l.newRow(l.cfg.Era(), term.Fence)
	released.Holder = ""
	_ = l.write(releaseCtx, version, released)
}

// renew writes the row once. It returns the version that the next write must expect,
// or lost if the row no longer belongs to the term.
func (l *Lease) renew(ctx context.Context, term *Term, version uint64) (next uint64, lost bool) {
	sent, era := readClocks(), l.cfg.Era()
	err := l.write(ctx, version, l.newRow(era, term.Fence))
	if err == nil {
		term.extend(sent.add(l.cfg.Duration-l.cfg.Margin), position(era, version+1))
		return version + 1, false
	}
	if errors.Is(err, radishcrank.ErrUnavailable) {
		return version, false
	}
	// After a conflict or an unknown outcome, read the row to find out whether the term
	// continues. Only the next successful renewal extends it.
	_, found, current, err := l.read(ctx)
	if err != nil {
		return version, false
	}
	if current.Holder != l.holder || current.Fence != term.Fence {
		return 0, true
	}
	return found, false
}

// errRestored reports that the table was restored while it was read.
var errRestored = errors.New("the table was restored during the read")

// read returns the row, its version and the era to which both belong.
func (l *Lease) read(ctx context.Context) (era, version uint64, current row, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration/renewalsPerDuration)
	defer cancel()
	before := l.cfg.Era()
	rows, err := l.cfg.Table.Get(ctx, rowPrefix+l.cfg.Name)
	if era = l.cfg.Era(); err == nil && before != 0 && era != before {
		err = errRestored
	}
	if err != nil {
		return 0, 0, current, err
	}
	if rows[0].Version > 0 {
		err = msgpack.Unmarshal(rows[0].Value, &current)
	}
	return era, rows[0].Version, current, err
}

func (l *Lease) write(ctx context.Context, version uint64, next row) error {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration/renewalsPerDuration)
	defer cancel()
	key := rowPrefix + l.cfg.Name
	value, err := msgpack.Marshal(&next)
	if err != nil {
		return fmt.Errorf("encoding lease row: %w", err)
	}
	return l.cfg.Table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: key, Version: version}},
		Writes: []radishcrank.Write{{Key: key, Value: value}},
	})
}
