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
	Version    uint64    // Version of the row that the holder wrote last; 0 if unknown.
	ReceivedAt time.Time // When that version was first reported.
}

// Lease is one candidate in the election.
type Lease struct {
	cfg    Config
	holder string // Unique to this Lease, even if an instance ID is used twice.
}

// row is the value of the lease row. The row is never deleted, so that the fencing
// number never decreases.
type row struct {
	Holder   string // Empty after a release.
	Process  string // Config.Process of the holder; kept after a release.
	Fence    uint64
	Duration time.Duration
}

// New returns a Lease, which competes once Run is called.
func New(cfg Config) *Lease {
	if cfg.Duration <= 0 {
		cfg.Duration = defaultDuration
	}
	if cfg.Margin <= 0 {
		cfg.Margin = defaultMargin
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
	version   uint64
}

// Valid reports whether the lease is still held. The holder must check it
// immediately before each action.
func (t *Term) Valid() bool { return t.remaining() > 0 }

func (t *Term) remaining() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return -t.expiresAt.elapsed()
}

// Version returns the version of the row as the holder last wrote it.
func (t *Term) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func (t *Term) extend(expiresAt clockReading, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expiresAt, t.version = expiresAt, version
}

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
	timer := time.NewTimer(min(interval*3/4, max(0, limit)) + mrand.N(interval/4))
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
	var lastVersion uint64    // Row version at the last read or report.
	var firstSeenAt time.Time // When it was first seen, compared by the monotonic clock.
	for observed := false; ; {
		if l.cfg.HolderReport != nil {
			if report, fresh := l.cfg.HolderReport(); fresh {
				// The holder reports a version only after writing it. If a later read finds
				// the same version, the row has been unchanged since the report.
				lastVersion, firstSeenAt, observed = report.Version, report.ReceivedAt, report.Version > 0
				if !l.sleep(ctx) {
					return nil, 0, ctx.Err()
				}
				continue
			}
		}
		wait := l.cfg.Duration
		version, current, err := l.read(ctx)
		if err == nil {
			if !observed || version != lastVersion {
				lastVersion, firstSeenAt, observed = version, time.Now(), true
			}
			wait = l.takeoverDelay(version, current) - time.Since(firstSeenAt)
			if wait <= 0 {
				wait = l.cfg.Duration // Wait this long if the write fails.
				next := l.newRow(current.Fence + 1)
				sent := readClocks()
				term := &Term{Fence: next.Fence, version: version + 1, expiresAt: sent.add(l.cfg.Duration - l.cfg.Margin)}
				// If the process was paused, the term may already have expired.
				if l.write(ctx, version, next) == nil && term.Valid() {
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
func (l *Lease) takeoverDelay(version uint64, current row) time.Duration {
	switch {
	case version == 0:
		return 0
	case current.Holder == l.holder:
		return 0 // Left by an acquisition with an unknown outcome; no term began.
	case l.cfg.Process != "" && current.Process == l.cfg.Process:
		return 0
	case current.Holder == "":
		return l.cfg.MinHandoverGap
	}
	return max(current.Duration, l.cfg.Duration) + max(0, l.cfg.MinHandoverGap-l.cfg.Margin)
}

func (l *Lease) newRow(fence uint64) row {
	return row{Holder: l.holder, Process: l.cfg.Process, Fence: fence, Duration: l.cfg.Duration}
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
	_ = l.write(releaseCtx, version, row{Process: l.cfg.Process, Fence: term.Fence, Duration: l.cfg.Duration})
}

// renew writes the row once. It returns the version that the next write must expect,
// or lost if the row no longer belongs to the term.
func (l *Lease) renew(ctx context.Context, term *Term, version uint64) (next uint64, lost bool) {
	sent := readClocks()
	err := l.write(ctx, version, l.newRow(term.Fence))
	if err == nil {
		term.extend(sent.add(l.cfg.Duration-l.cfg.Margin), version+1)
		return version + 1, false
	}
	if errors.Is(err, radishcrank.ErrUnavailable) {
		return version, false
	}
	// After a conflict or an unknown outcome, read the row to find out whether the term
	// continues. Only the next successful renewal extends it.
	found, current, err := l.read(ctx)
	if err != nil {
		return version, false
	}
	if current.Holder != l.holder || current.Fence != term.Fence {
		return 0, true
	}
	return found, false
}

func (l *Lease) read(ctx context.Context) (version uint64, current row, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration/renewalsPerDuration)
	defer cancel()
	rows, err := l.cfg.Table.Get(ctx, rowPrefix+l.cfg.Name)
	if err != nil {
		return 0, current, err
	}
	if rows[0].Version > 0 {
		err = msgpack.Unmarshal(rows[0].Value, &current)
	}
	return rows[0].Version, current, err
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
