package rcrevision

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
)

// Run keeps the configuration up to date until ctx ends. Peers are asked first,
// which spares the table service a document of 400 KB for each restart, and on
// their own, so that a table service that does not answer delays nothing.
func (k *Syncer) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { every(ctx, rand.N(firstPoll), k.askPeers) })
	running.Go(func() { every(ctx, firstPoll+rand.N(firstPoll), k.readTable) })
	running.Wait()
	return ctx.Err()
}

// every calls f each pollInterval from first on, until ctx ends.
func every(ctx context.Context, first time.Duration, f func(context.Context)) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		begin := time.Now()
		f(ctx)
		timer.Reset(max(0, pollInterval-time.Since(begin)))
	}
}

// askPeers asks peers for the newest revision, unless this instance reads it itself.
func (k *Syncer) askPeers(ctx context.Context) {
	if k.reached.Load() && k.cfg.IsReader() {
		return
	}
	var running sync.WaitGroup
	for _, addr := range k.cfg.SourcePeers() {
		running.Go(func() {
			if err := k.askPeer(ctx, addr); err != nil {
				k.cfg.Log.Debug().Err(err).Msg("no configuration from a peer")
			}
		})
	}
	running.Wait()
}

// readTable reads the newest revision from the table service if this instance
// is a reader, and now and then while peers do not help.
func (k *Syncer) readTable(ctx context.Context) {
	overdue := k.isStale() && time.Now().After(k.readAt)
	if overdue {
		k.readAt = time.Now().Add(jitter(k.aloneInterval()))
	}
	if !overdue && !k.cfg.IsReader() {
		return
	}
	err := k.readHead(ctx)
	if err != nil {
		k.cfg.Log.Debug().Err(err).Msg("configuration poll failed")
	}
	k.reached.Store(err == nil)
}

// isStale reports whether the configuration in force was not known to be the
// newest one for a while.
func (k *Syncer) isStale() bool {
	_, _, age := k.inForce()
	return age < 0 || age >= staleAfter
}

// aloneInterval returns the time between two reads of the table service by an
// instance that no peer helps.
func (k *Syncer) aloneInterval() time.Duration {
	if k.Current() == nil {
		return orphanPoll
	}
	return stalePoll
}

// readHead compares the table's newest revision with the one in force.
func (k *Syncer) readHead(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "read of %s", keyHead)
		}
	}()
	asked := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	h, headVersion, err := k.getHead(pollCtx)
	cancel()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v := k.current.Load()
	switch {
	case h.Revision > v.revision():
		return k.readRevision(ctx, h, v)
	case v == nil:
		return nil // Nothing was committed yet.
	case h.Revision < v.doc.Revision:
		return k.restore(ctx, v, headVersion)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compare(v, h.Hash, "the table service")
	if h.Hash == v.hash {
		k.confirm(asked)
	}
	return nil
}

func (k *Syncer) getHead(ctx context.Context) (h head, version uint64, err error) {
	rows, err := k.cfg.Table.Get(ctx, keyHead)
	if err != nil {
		return head{}, 0, err
	}
	if rows[0].Version == 0 {
		return head{}, 0, nil
	}
	return h, rows[0].Version, decode(rows[0].Value, &h)
}

// readRevision reads the document that the head names: as a delta if this
// instance holds the base, else whole.
func (k *Syncer) readRevision(ctx context.Context, h head, v *version) error {
	k.mu.Lock()
	until := k.rejected[h.Hash]
	k.mu.Unlock()
	if time.Now().Before(until) {
		return nil
	}
	asked := time.Now()
	text, err := k.readDelta(ctx, h, v)
	if err != nil {
		info, err := k.readInfo(ctx, h.Revision)
		if err != nil {
			return err
		}
		text = info.Text
		if hashText(text) != h.Hash {
			return errDelta
		}
	}
	k.adopt(ctx, h.Revision, text)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current.Load().revision() == h.Revision {
		k.confirm(asked)
	}
	return nil
}

func (k *Syncer) readDelta(ctx context.Context, h head, v *version) (string, error) {
	if v == nil || v.doc.Revision+1 != h.Revision {
		return "", errDelta
	}
	rows, err := k.cfg.Table.Get(ctx, keyDelta(h.Revision))
	if err != nil {
		return "", err
	}
	var d delta
	if rows[0].Version == 0 {
		return "", errDelta
	}
	if err := decode(rows[0].Value, &d); err != nil {
		return "", err
	}
	if d.Hash != h.Hash {
		return "", errDelta
	}
	return d.apply(v.hash, v.text)
}

func (k *Syncer) readInfo(ctx context.Context, revision uint64) (info Info, err error) {
	rows, err := k.cfg.Table.Get(ctx, keyRev(revision))
	if err != nil {
		return Info{}, err
	}
	if rows[0].Version == 0 {
		return Info{}, radishcrank.ErrNotFound
	}
	return info, decode(rows[0].Value, &info)
}

// restore writes the revision in force back to a table that lost it, as a table
// restored from a backup does. Otherwise the next restart of all instances
// would revert an accepted configuration.
func (k *Syncer) restore(ctx context.Context, v *version, headVersion uint64) error {
	info := Info{
		Revision: v.doc.Revision, Hash: v.hash, Author: string(k.cfg.Self),
		Note: "restored from the instances", CommittedAt: time.Now().UTC(), Text: v.text,
	}
	rows, err := k.cfg.Table.Get(ctx, keyRev(info.Revision))
	if err != nil {
		return err
	}
	tx, err := transaction(info, delta{}, headVersion, rows[0].Version)
	if err != nil {
		return err
	}
	k.cfg.Log.Warn().Uint64("Revision", info.Revision).Msg("table service lost the configuration in force; writing it back")
	return k.cfg.Table.Commit(ctx, tx)
}
