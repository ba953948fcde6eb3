// Package rcdrain takes engines out of use while they load weights. It orders
// an engine to the standby role, in which the engine refuses new requests from
// all instances, and waits until its load report shows that none is left.
package rcdrain

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

const (
	pollInterval    = 200 * time.Millisecond
	recoverInterval = 2 * time.Second
	orderTimeout    = 5 * time.Second
)

// Config holds the parts that a Drainer works with.
type Config struct {
	Board     *rcboard.Board
	Dialer    radishcrank.EngineDialer
	Fence     uint64      // Of the term.
	TermValid func() bool // Reports whether the term still runs; no order is sent after it.
	// RecoverAfter is how long after the start of the term engines that an older
	// holder left in standby are put back to use. It covers the older holder's
	// lease and its last order.
	RecoverAfter time.Duration
	Log          zerolog.Logger
}

// Drainer implements rcorder.Drainer for one term.
type Drainer struct {
	cfg Config

	mu     sync.Mutex
	active map[radishcrank.UpstreamID]int // Drains that have not been resumed.
}

// New returns a Drainer.
func New(cfg Config) *Drainer {
	return &Drainer{cfg: cfg, active: make(map[radishcrank.UpstreamID]int)}
}

// Drain implements rcorder.Drainer. The whole engine is taken out of use, since
// its batch is shared by all its models.
func (d *Drainer) Drain(ctx context.Context, id radishcrank.UpstreamID, _ radishcrank.ModelID) (resume func(), err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "drain of %s", id)
		}
	}()
	d.count(id, 1)
	var once sync.Once
	resume = func() { once.Do(func() { d.resume(id) }) }
	if err := d.order(ctx, id, radishcrank.RoleStandby); err != nil {
		return resume, err
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if idle, err := d.idle(ctx, id); err == nil && idle {
			return resume, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return resume, ctx.Err()
		}
	}
}

// Run puts engines back to use that an older holder left in standby, until ctx ends.
func (d *Drainer) Run(ctx context.Context) error {
	began := time.Now()
	ticker := time.NewTicker(recoverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if time.Since(began) < d.cfg.RecoverAfter {
			continue
		}
		for _, up := range d.cfg.Board.Upstreams.Values() {
			if up.Load.Role == radishcrank.RoleStandby && !d.isActive(up.ID) {
				d.logFailure(up.ID, d.order(ctx, up.ID, radishcrank.RoleServing))
			}
		}
	}
}

// resume puts the engine back to use once no drain of it is left. If the order
// fails, Run repeats it, in this term or the next one.
func (d *Drainer) resume(id radishcrank.UpstreamID) {
	d.count(id, -1)
	if d.isActive(id) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	d.logFailure(id, d.order(ctx, id, radishcrank.RoleServing))
}

func (d *Drainer) logFailure(id radishcrank.UpstreamID, err error) {
	if err != nil {
		d.cfg.Log.Warn().Err(err).Str("Upstream", string(id)).Msg("engine was not put back to use")
	}
}

func (d *Drainer) count(id radishcrank.UpstreamID, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[id] += n
	if d.active[id] <= 0 {
		delete(d.active, id)
	}
}

func (d *Drainer) isActive(id radishcrank.UpstreamID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active[id] > 0
}

func (d *Drainer) order(ctx context.Context, id radishcrank.UpstreamID, role string) error {
	up, ok := d.cfg.Board.Upstreams.Get(id)
	if !ok {
		return radishcrank.ErrNotFound
	}
	if !d.cfg.TermValid() {
		return radishcrank.ErrStaleFence
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return d.cfg.Dialer.Engine(up).Order(ctx, radishcrank.Order{Fence: d.cfg.Fence, Kind: radishcrank.OrderChangeRole, Role: role})
}

// idle asks the engine itself, since the board's report may be older than the
// order. An engine that has restarted has no requests of before.
func (d *Drainer) idle(ctx context.Context, id radishcrank.UpstreamID) (bool, error) {
	up, ok := d.cfg.Board.Upstreams.Get(id)
	if !ok {
		return false, radishcrank.ErrNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := d.cfg.Dialer.Engine(up).Load(ctx)
	return report.Running == 0 && report.Waiting == 0, err
}
