// Package rcdrain takes engines out of service while they load weights. It
// orders an engine into the standby role, in which the engine refuses new
// requests from all instances, and waits until the engine's load report shows no
// running and no waiting requests.
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
	idlePollInterval = 200 * time.Millisecond
	recoveryInterval = 2 * time.Second
	orderTimeout     = 5 * time.Second
)

// Config holds the dependencies and settings of a Drainer.
type Config struct {
	Board     *rcboard.Board
	Dialer    radishcrank.EngineDialer
	Fence     uint64      // Fencing number of the term.
	TermValid func() bool // Reports whether the term is still running; no order is sent after its end.
	// RecoverAfter is the delay, counted from the start of Run, after which engines
	// that an earlier lease holder left in standby are returned to service. It must
	// cover the rest of the earlier holder's lease and its last order.
	RecoverAfter time.Duration
	Log          zerolog.Logger
}

// Drainer implements rcorder.Drainer for one term of the lease holder.
type Drainer struct {
	cfg Config

	mu           sync.Mutex
	activeDrains map[radishcrank.UpstreamID]int // Number of drains per engine that have not been resumed.
}

func New(cfg Config) *Drainer {
	return &Drainer{cfg: cfg, activeDrains: make(map[radishcrank.UpstreamID]int)}
}

// Drain implements rcorder.Drainer. It takes the whole engine out of service,
// because all models of an engine share its batch.
func (d *Drainer) Drain(ctx context.Context, id radishcrank.UpstreamID, _ radishcrank.ModelID) (resume func(), err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "failed to drain upstream %s", id)
		}
	}()
	d.addActive(id, 1)
	var once sync.Once
	resume = func() { once.Do(func() { d.resume(id) }) }
	if err := d.sendOrder(ctx, id, radishcrank.RoleStandby); err != nil {
		return resume, err
	}
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		if idle, err := d.isIdle(ctx, id); err == nil && idle {
			return resume, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return resume, ctx.Err()
		}
	}
}

// Run returns engines that an earlier lease holder left in standby to service,
// until ctx ends.
func (d *Drainer) Run(ctx context.Context) error {
	startedAt := time.Now()
	ticker := time.NewTicker(recoveryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if time.Since(startedAt) < d.cfg.RecoverAfter {
			continue
		}
		for _, up := range d.cfg.Board.Upstreams.Values() {
			if up.Load.Role == radishcrank.RoleStandby && !d.isDraining(up.ID) {
				d.logOrderFailure(up.ID, d.sendOrder(ctx, up.ID, radishcrank.RoleServing))
			}
		}
	}
}

// resume returns the engine to service when its last active drain has ended. If
// the order fails, Run repeats it, in this term or in the next one.
func (d *Drainer) resume(id radishcrank.UpstreamID) {
	d.addActive(id, -1)
	if d.isDraining(id) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	d.logOrderFailure(id, d.sendOrder(ctx, id, radishcrank.RoleServing))
}

func (d *Drainer) logOrderFailure(id radishcrank.UpstreamID, err error) {
	if err != nil {
		d.cfg.Log.Warn().Err(err).Str("Upstream", string(id)).Msg("engine was not put back to use")
	}
}

func (d *Drainer) addActive(id radishcrank.UpstreamID, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeDrains[id] += n
	if d.activeDrains[id] <= 0 {
		delete(d.activeDrains, id)
	}
}

func (d *Drainer) isDraining(id radishcrank.UpstreamID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.activeDrains[id] > 0
}

func (d *Drainer) sendOrder(ctx context.Context, id radishcrank.UpstreamID, role string) error {
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

// isIdle reports whether the engine has no running and no waiting requests. It
// queries the engine itself, because the report on the board may be older than
// the order. An engine that has restarted has none of its earlier requests.
func (d *Drainer) isIdle(ctx context.Context, id radishcrank.UpstreamID) (bool, error) {
	up, ok := d.cfg.Board.Upstreams.Get(id)
	if !ok {
		return false, radishcrank.ErrNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := d.cfg.Dialer.Engine(up).Load(ctx)
	return report.Running == 0 && report.Waiting == 0, err
}
