package rcrevision

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
)

// Run keeps the configuration up to date until ctx ends. Peers are polled first,
// which saves the table service the read of a 400 KB document per restart. They
// are polled in a goroutine of their own, so that a table service that does not
// respond delays nothing.
func (s *Syncer) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { runPeriodically(ctx, rand.N(startupJitter), s.pollPeers) })
	wg.Go(func() { runPeriodically(ctx, startupJitter+rand.N(startupJitter), s.pollTable) })
	wg.Wait()
	return ctx.Err()
}

// runPeriodically calls f after first and then every pollInterval, until ctx ends.
func runPeriodically(ctx context.Context, first time.Duration, f func(context.Context)) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		start := time.Now()
		f(ctx)
		timer.Reset(max(0, pollInterval-time.Since(start)))
	}
}

// pollPeers polls peers for the newest revision, unless this instance reads it from
// the table service itself.
func (s *Syncer) pollPeers(ctx context.Context) {
	if s.tableReachable.Load() && s.cfg.IsReader() {
		return
	}
	var wg sync.WaitGroup
	for _, addr := range s.cfg.SourcePeers() {
		wg.Go(func() {
			if err := s.pollPeer(ctx, addr); err != nil {
				s.cfg.Log.Debug().Err(err).Msg("configuration poll of a peer failed")
			}
		})
	}
	wg.Wait()
}

// pollTable reads the newest revision from the table service if this instance is a
// reader. Other instances read it every tableReadInterval while the current
// revision is stale.
func (s *Syncer) pollTable(ctx context.Context) {
	overdue := s.isStale() && time.Now().After(s.nextTableRead)
	if overdue {
		s.nextTableRead = time.Now().Add(addJitter(s.tableReadInterval()))
	}
	if !overdue && !s.cfg.IsReader() {
		return
	}
	err := s.readHead(ctx)
	if err != nil {
		s.cfg.Log.Debug().Err(err).Msg("configuration poll of the table service failed")
	}
	s.tableReachable.Store(err == nil)
}

// isStale reports whether the current revision has not been confirmed to be the
// newest one for at least staleAfter.
func (s *Syncer) isStale() bool {
	_, _, age := s.currentRevision()
	return age < 0 || age >= staleAfter
}

// tableReadInterval returns the interval at which an instance reads the table
// service while its peers do not confirm its revision.
func (s *Syncer) tableReadInterval() time.Duration {
	if s.Current() == nil {
		return emptyPollInterval
	}
	return stalePollInterval
}

// readHead reads the newest revision number from the table and applies that
// revision if it is higher than the current one.
func (s *Syncer) readHead(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "read %s", keyHead)
		}
	}()
	askedAt := time.Now()
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	h, headVersion, err := s.getHead(pollCtx)
	cancel()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(ctx, readTimeout)
	defer cancel()
	cur := s.current.Load()
	switch {
	case h.Revision > cur.revision():
		return s.readRevision(ctx, h, cur)
	case cur == nil:
		return nil // No revision has been committed yet.
	case h.Revision < cur.doc.Revision:
		return s.restore(ctx, cur, headVersion)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkHash(cur, h.Hash, "the table service")
	if h.Hash == cur.hash {
		s.confirm(askedAt)
	}
	return nil
}

func (s *Syncer) getHead(ctx context.Context) (h head, version uint64, err error) {
	rows, err := s.cfg.Table.Get(ctx, keyHead)
	if err != nil {
		return head{}, 0, err
	}
	if rows[0].Version == 0 {
		return head{}, 0, nil
	}
	return h, rows[0].Version, decode(rows[0].Value, &h)
}

// readRevision reads the revision of the head and applies it. It reads the delta if
// this instance holds the base, and the whole document otherwise.
func (s *Syncer) readRevision(ctx context.Context, h head, cur *document) error {
	s.mu.Lock()
	until := s.rejectedUntil[h.Hash]
	s.mu.Unlock()
	if time.Now().Before(until) {
		return nil
	}
	askedAt := time.Now()
	text, err := s.readDelta(ctx, h, cur)
	if err != nil {
		info, err := s.readInfo(ctx, h.Revision)
		if err != nil {
			return err
		}
		text = info.Text
		if hashText(text) != h.Hash {
			return errDeltaMismatch
		}
	}
	s.applyRevision(ctx, h.Revision, text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Load().revision() == h.Revision {
		s.confirm(askedAt)
	}
	return nil
}

func (s *Syncer) readDelta(ctx context.Context, h head, cur *document) (string, error) {
	if cur == nil || cur.doc.Revision+1 != h.Revision {
		return "", errDeltaMismatch
	}
	rows, err := s.cfg.Table.Get(ctx, keyDelta(h.Revision))
	if err != nil {
		return "", err
	}
	var d delta
	if rows[0].Version == 0 {
		return "", errDeltaMismatch
	}
	if err := decode(rows[0].Value, &d); err != nil {
		return "", err
	}
	if d.Hash != h.Hash {
		return "", errDeltaMismatch
	}
	return d.apply(cur.hash, cur.text)
}

func (s *Syncer) readInfo(ctx context.Context, revision uint64) (info Info, err error) {
	rows, err := s.cfg.Table.Get(ctx, keyRev(revision))
	if err != nil {
		return Info{}, err
	}
	if rows[0].Version == 0 {
		return Info{}, radishcrank.ErrNotFound
	}
	return info, decode(rows[0].Value, &info)
}

// restore writes the current revision back to a table that lost it, for instance
// by a restore from a backup. Otherwise the next restart of all instances would
// revert an accepted configuration.
func (s *Syncer) restore(ctx context.Context, cur *document, headVersion uint64) error {
	info := Info{
		Revision: cur.doc.Revision, Hash: cur.hash, Author: string(s.cfg.Self),
		Note: "restored from the instances", CommittedAt: time.Now().UTC(), Text: cur.text,
	}
	rows, err := s.cfg.Table.Get(ctx, keyRev(info.Revision))
	if err != nil {
		return err
	}
	tx, err := newTransaction(info, delta{}, headVersion, rows[0].Version)
	if err != nil {
		return err
	}
	s.cfg.Log.Warn().Uint64("Revision", info.Revision).Msg("table service lost the current configuration revision; writing it back")
	return s.cfg.Table.Commit(ctx, tx)
}
