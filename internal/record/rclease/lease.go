// Package rclease elects one instance at a time by a lease row in the table
// service and numbers its terms by a rising fencing number.
//
// The holder trusts a renewal only from the moment before it was sent, and
// stops Margin before its lease ends. A taker takes over only after it has seen
// the row unchanged for the lease's whole duration on its own clock, and for
// longer where Apart asks for it. As the
// taker's clock starts after the renewal took effect, the holder has stopped by
// then, unless it is paused; the fencing number covers a paused holder that
// goes on without noticing. Clocks need not agree, but over one duration they
// must not drift by more than Margin.
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

	// renewals is how often the holder renews in one duration, so that a single
	// lost renewal does not end the term.
	renewals = 4
)

// Config holds the parts that a Lease works with. Zero durations take the defaults.
type Config struct {
	Table    radishcrank.TableService
	Name     string // The row is lease/NAME.
	Instance radishcrank.InstanceID
	Duration time.Duration // How long a renewal lasts; default 10 s.
	Margin   time.Duration // How long before its end the holder stops; default 1 s.
	// MinHandoverGap is the least time between the last act of a holder and the first one of
	// another process's holder, where those who are acted upon do not compare fencing
	// numbers. A holder may act until Margin before its lease ends, or until it
	// releases it, so a taker waits for longer. Zero adds no wait.
	MinHandoverGap time.Duration

	// Process names what only one living process can have, such as its address. A
	// lease whose holder has the same name is one of an earlier process, so it is
	// free. Empty names nothing.
	Process string
	// HolderReport returns what was heard of the holder, and whether that was a moment ago,
	// so that the table service need not be asked. Nil is never.
	HolderReport func() (HolderReport, bool)
	// Lead does the holder's work. It must return soon after ctx ends.
	Lead func(ctx context.Context, term *Term) error
}

// HolderReport is what an instance was told by the holder.
type HolderReport struct {
	Version    uint64    // Of the row that the holder wrote last; 0 is unknown.
	ReceivedAt time.Time // When that version was first told.
}

// Lease takes part in the election.
type Lease struct {
	cfg    Config
	holder string // Unique to this Lease, also if an instance ID is used twice.
}

// row is the value of the lease row. It is never deleted, so that the fencing
// number always rises.
type row struct {
	Holder   string // Empty after a release.
	Process  string // Config.Process of the holder, also after a release.
	Fence    uint64
	Duration time.Duration
}

// New returns a Lease.
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

// Term is one time as holder.
type Term struct {
	Fence uint64

	mu      sync.Mutex
	until   instant
	version uint64
}

// Valid reports whether the lease still holds. A holder asks right before each act.
func (t *Term) Valid() bool { return t.left() > 0 }

func (t *Term) left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return -t.until.elapsed()
}

// Version returns the version of the row that the holder wrote last.
func (t *Term) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func (t *Term) renewed(until instant, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until, t.version = until, version
}

func (t *Term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = instant{}
}

// instant is a moment on both clocks of the process. The monotonic clock may
// stand still while the machine is suspended and the wall clock may be set back.
type instant struct {
	mono, wall time.Time
}

func now() instant {
	t := time.Now()
	return instant{mono: t, wall: t.Round(0)}
}

func (i instant) add(d time.Duration) instant {
	return instant{mono: i.mono.Add(d), wall: i.wall.Add(d)}
}

// elapsed returns the time since i on the clock that shows more. It serves the
// holder, which errs by stopping early.
func (i instant) elapsed() time.Duration {
	t := time.Now()
	return max(t.Sub(i.mono), t.Round(0).Sub(i.wall))
}

// Run competes for the lease and leads while it holds it, until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for {
		term, version, err := l.acquire(ctx)
		if err != nil {
			return err
		}
		l.hold(ctx, term, version)
		// Others get a turn after a term that failed.
		if !l.sleep(ctx) {
			return ctx.Err()
		}
	}
}

// sleep waits for one renewal interval, with jitter that keeps takers apart.
func (l *Lease) sleep(ctx context.Context) bool { return l.sleepUpTo(ctx, l.cfg.Duration) }

// sleepUpTo waits for one renewal interval, or for a shorter time with jitter.
func (l *Lease) sleepUpTo(ctx context.Context, most time.Duration) bool {
	interval := l.cfg.Duration / renewals
	timer := time.NewTimer(min(interval*3/4, max(0, most)) + mrand.N(interval/4))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquire waits until the lease is free and takes it.
func (l *Lease) acquire(ctx context.Context) (term *Term, version uint64, err error) {
	var seen uint64      // Version of the row that was seen last.
	var seenAt time.Time // When it was first seen; the monotonic reading counts.
	for known := false; ; {
		if l.cfg.HolderReport != nil {
			if heard, lately := l.cfg.HolderReport(); lately {
				// The holder had written that version when it told of it, so that the row
				// has been unchanged since then if it is still the one found later.
				seen, seenAt, known = heard.Version, heard.ReceivedAt, heard.Version > 0
				if !l.sleep(ctx) {
					return nil, 0, ctx.Err()
				}
				continue
			}
		}
		left := l.cfg.Duration
		version, current, err := l.read(ctx)
		if err == nil {
			if !known || version != seen {
				seen, seenAt, known = version, time.Now(), true
			}
			left = l.unchangedFor(version, current) - time.Since(seenAt)
			if left <= 0 {
				left = l.cfg.Duration // After a write that failed.
				next := l.row(current.Fence + 1)
				sent := now()
				term := &Term{Fence: next.Fence, version: version + 1, until: sent.add(l.cfg.Duration - l.cfg.Margin)}
				// A pause may have used up the term before it began.
				if l.write(ctx, version, next) == nil && term.Valid() {
					return term, version + 1, nil
				}
			}
		}
		if !l.sleepUpTo(ctx, left) {
			return nil, 0, ctx.Err()
		}
	}
}

// unchangedFor returns how long a row must have been unchanged before this
// instance may take the lease.
func (l *Lease) unchangedFor(version uint64, current row) time.Duration {
	switch {
	case version == 0:
		return 0
	case current.Holder == l.holder:
		return 0 // It comes from an acquisition whose outcome was unknown; no term began.
	case l.cfg.Process != "" && current.Process == l.cfg.Process:
		return 0
	case current.Holder == "":
		return l.cfg.MinHandoverGap
	}
	return max(current.Duration, l.cfg.Duration) + max(0, l.cfg.MinHandoverGap-l.cfg.Margin)
}

func (l *Lease) row(fence uint64) row {
	return row{Holder: l.holder, Process: l.cfg.Process, Fence: fence, Duration: l.cfg.Duration}
}

// hold leads and renews until the term ends, then frees the lease.
func (l *Lease) hold(ctx context.Context, term *Term, version uint64) {
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timer ends the term also while a renewal hangs.
	expiry := time.AfterFunc(term.left(), cancel)
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
		expiry.Reset(max(0, term.left()))
	}
	cancel()
	<-done
	// Only now can no act of this term follow, so another may begin. A renewal that
	// succeeded after the term's end must not make it valid again. If ctx has
	// ended, a fresh one gives the release its time.
	term.end()
	if lost {
		return // The row is another holder's.
	}
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), l.cfg.Duration/renewals)
	defer stop()
	_ = l.write(release, version, row{Process: l.cfg.Process, Fence: term.Fence, Duration: l.cfg.Duration})
}

// renew writes the row once. It returns the version that the next write
// expects, or lost if the row is not the term's any more.
func (l *Lease) renew(ctx context.Context, term *Term, version uint64) (next uint64, lost bool) {
	sent := now()
	err := l.write(ctx, version, l.row(term.Fence))
	if err == nil {
		term.renewed(sent.add(l.cfg.Duration-l.cfg.Margin), version+1)
		return version + 1, false
	}
	if errors.Is(err, radishcrank.ErrUnavailable) {
		return version, false
	}
	// After a conflict or an unknown outcome the row tells whether the term goes
	// on. Only the next renewal that succeeds extends it.
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
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration/renewals)
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
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Duration/renewals)
	defer cancel()
	key := rowPrefix + l.cfg.Name
	value, err := msgpack.Marshal(&next)
	if err != nil {
		return fmt.Errorf("lease row: %w", err)
	}
	return l.cfg.Table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: key, Version: version}},
		Writes: []radishcrank.Write{{Key: key, Value: value}},
	})
}
