package rcforward

import (
	"errors"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// An exchange must not begin on replaced weights once these are older than
// Config.OldWeightsTTL. It begins with its first event, which is up to seconds
// after it was sent, so the deadline is enforced twice: placement leaves room for
// the expected wait, and an attempt that has still not begun is canceled.
const (
	// oldWeightsMargin ends placement on replaced weights this long before an
	// exchange is expected to begin past their deadline.
	oldWeightsMargin = 1200 * time.Millisecond
	// weightsExpiryMargin cancels an attempt this long before the deadline. An
	// engine notices the closed connection between two steps, which take up to
	// 50 ms each, and the store's clock is known to some milliseconds.
	weightsExpiryMargin = 300 * time.Millisecond
	// maxMarginShare limits both margins to a part of a short deadline.
	maxMarginShare = 4
	// targetCheckInterval is how often a waiting attempt checks whether its
	// weights have been replaced.
	targetCheckInterval = 500 * time.Millisecond
)

// errWeightsExpired is the cancellation cause of an attempt that had not begun
// when its weights were about to expire.
var errWeightsExpired = errors.New("weights expired before the upstream began")

// oldWeightsLimit returns the age up to which replaced weights may be used, less a
// margin; 0 means no limit.
func (d *dispatch) oldWeightsLimit(margin time.Duration) time.Duration {
	ttl := d.f.cfg.OldWeightsTTL()
	return ttl - min(margin, ttl/maxMarginShare)
}

// weightsExpiry returns how long an attempt on these weights may still wait to
// begin. ok is false if nothing limits it.
func (d *dispatch) weightsExpiry(w radishcrank.WeightsVersion) (left time.Duration, ok bool) {
	at, replaced := d.f.cfg.Weights(d.x.Model).ReplacedAt(w)
	limit := d.oldWeightsLimit(weightsExpiryMargin)
	if !replaced || limit <= 0 {
		return 0, false
	}
	return limit - time.Since(at), true
}

// weightsWatch cancels an attempt whose weights expire before it begins.
type weightsWatch struct {
	d       *dispatch
	weights radishcrank.WeightsVersion
	cancel  func(cause error)

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchWeights starts a watch. It does nothing for exchanges without a model.
func (d *dispatch) watchWeights(w radishcrank.WeightsVersion, cancel func(cause error)) *weightsWatch {
	watch := &weightsWatch{d: d, weights: w, cancel: cancel, stopped: !d.x.Generates()}
	watch.check()
	return watch
}

// check cancels the attempt if its weights have expired, and otherwise schedules
// the next check. Newer weights may become the target at any time.
func (w *weightsWatch) check() {
	left, ok := w.d.weightsExpiry(w.weights)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case ok && left <= 0:
		w.cancel(errWeightsExpired)
	case ok:
		w.timer = time.AfterFunc(min(left, targetCheckInterval), w.check)
	default:
		w.timer = time.AfterFunc(targetCheckInterval, w.check)
	}
}

// stop ends the watch. The attempt has begun or ended.
func (w *weightsWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// recordBeginning records the age of replaced weights on which an upstream has
// just begun the exchange, and logs a beginning that is later than placement
// allows.
func (d *dispatch) recordBeginning(choice rcaffinity.Choice, reply *radishcrank.Reply) {
	if !d.x.Generates() {
		return
	}
	at, replaced := d.f.cfg.Weights(d.x.Model).ReplacedAt(choice.Weights)
	if !replaced {
		return
	}
	age := time.Since(at)
	d.f.cfg.Metrics.Record(rcmetric.ReplacedWeightsAge, age)
	if limit := d.oldWeightsLimit(oldWeightsMargin); limit <= 0 || age < limit {
		return
	}
	up := choice.Upstream.Upstream
	d.f.cfg.Log.Warn().Str("Event", "BegunLate").Str("Request", string(d.x.ID)).
		Str("Upstream", string(up.ID)).Str("UpstreamZone", string(up.Zone)).
		Str("Weights", string(choice.Weights)).Str("AnswerWeights", string(reply.Weights)).
		Int64("ReplacedAgeMS", age.Milliseconds()).Int64("PlacedAgeMS", choice.ReplacedFor.Milliseconds()).
		Int64("CostMS", choice.Cost.Milliseconds()).Int64("WaitedMS", time.Since(d.sentAt).Milliseconds()).Send()
}
