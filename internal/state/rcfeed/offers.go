package rcfeed

import (
	"context"
	"time"
)

// awaitOffer waits for a batch from a relay. It reports false if the store must
// be read instead: the time for a batch is over, a batch leaves a gap after the
// known version, the store is known to have been restored, or this instance
// relies on no relay.
func (f *Follower) awaitOffer(ctx context.Context) bool {
	for {
		if !f.relies() {
			return false
		}
		era, restored := f.cfg.Eras.Current()
		if era != f.era {
			return false
		}
		wait := f.offerTimeout() - time.Since(f.lastOfferAt)
		if wait <= 0 {
			// A batch that has arrived in the meantime shows that the relay is
			// working again.
			select {
			case b := <-f.offered:
				return f.apply(b)
			default:
				return false
			}
		}
		timer := time.NewTimer(min(wait, roleCheckInterval))
		select {
		case b := <-f.offered:
			timer.Stop()
			return f.apply(b)
		case <-restored:
			timer.Stop()
			return false
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return true
		}
	}
}

// relies reports whether another instance reads the store for this one.
func (f *Follower) relies() bool {
	switch {
	case f.offered == nil:
		return false
	case f.cfg.ReliesOnRelay != nil:
		return f.cfg.ReliesOnRelay()
	}
	return !f.cfg.IsRelay()
}

// offerTimeout returns how long after a batch the next one is overdue.
func (f *Follower) offerTimeout() time.Duration {
	switch isRelay := f.isRelay(); {
	case !f.cfg.DelayTolerant && f.lastOfferAt.Equal(f.startedAt):
		return startTimeout
	case f.cfg.DelayTolerant && isRelay:
		return tolerantZoneRelayTimeout
	case f.cfg.DelayTolerant:
		return tolerantRelayTimeout
	case isRelay:
		return zoneRelayTimeout
	}
	return relayTimeout
}

// pauseAfterFailure waits before the next call, or until a batch arrives from a relay.
func (f *Follower) pauseAfterFailure(ctx context.Context, isRelay bool) {
	retry := retryDelay
	switch {
	case f.cfg.DelayTolerant:
		retry = tolerantRetryDelay
	case !isRelay && f.relies():
		retry = reliantRetryDelay
	}
	var offered chan Batch // Nil blocks.
	if f.relies() {
		offered = f.offered
	}
	timer := time.NewTimer(retry)
	defer timer.Stop()
	select {
	case b := <-offered:
		f.apply(b) // If changes are missing before it, the next call gets them.
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeFullOffer applies the first offered batch with the whole table, if there is
// one. An instance that does not reach the store itself depends on it.
func (f *Follower) takeFullOffer() bool {
	for {
		select {
		case b := <-f.offered:
			if b.Full && b.Era > f.era {
				f.apply(b)
				return f.synced
			}
		default:
			return false
		}
	}
}
