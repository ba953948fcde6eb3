package rcinstance

import "context"

// followRestores writes again what this instance has recorded in the store whenever the
// store comes back from an older copy, until ctx is done. Followers of tables and the
// lease notice a restore by themselves.
func (i *Instance) followRestores(ctx context.Context) error {
	for era, changed := i.storeEras.Current(); ; {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		before := era
		era, changed = i.storeEras.Current()
		if before != 0 { // Otherwise it is the first answer of this process.
			i.recordAgain()
		}
	}
}

// recordAgain writes again what is known to this instance and may be lost. In large
// fleets only relays do, which learn of the changes first.
func (i *Instance) recordAgain() {
	if i.peers.usesRelays() && !i.peers.isRelay() {
		return
	}
	i.weights.Resync()
	i.poisonTracker.StoreAgain()
}
