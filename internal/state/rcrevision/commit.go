package rcrevision

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// maxCommitAttempts bounds the attempts of one push while responses are lost.
	maxCommitAttempts = 8
	commitRetryDelay  = 200 * time.Millisecond
)

// ErrNotUpToDate is returned when peers have reported a higher revision than this
// instance holds, so it cannot decide whether the operator's base is the newest one.
var ErrNotUpToDate = errors.New("instance has not got the newest revision yet")

// ConflictError is returned when the base of a push is not the newest revision.
type ConflictError struct {
	Base    uint64
	Newest  uint64
	Changes []rcconfig.Change // From Base to Newest; empty if the history no longer holds Base.
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is not the newest one, which is %d", e.Base, e.Newest)
}

// PushRequest is a request to commit a document on top of a base revision.
type PushRequest struct {
	Base   uint64
	Author string
	Note   string
	Text   string
}

// Push commits a document and applies it on this instance. The error is a
// *ConflictError if Base is not the newest revision, and rcconfig.Errors if the
// document is invalid. An error that wraps ErrUnknownOutcome means that the
// commit may have succeeded and the table service could not be read to find out.
func (s *Syncer) Push(ctx context.Context, req PushRequest) (info Info, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "push on revision %d", req.Base)
		}
	}()
	if _, err := rcconfig.Parse([]byte(req.Text)); err != nil {
		return Info{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	info = Info{
		Hash: hashText(req.Text), Base: req.Base, Author: req.Author, Note: req.Note,
		CommittedAt: time.Now().UTC(), Attempt: rand.Text(), Text: req.Text,
	}
	if err := s.commit(ctx, &info); err != nil {
		return Info{}, err
	}
	askedAt := time.Now()
	s.applyRevision(ctx, info.Revision, info.Text)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Load().revision() == info.Revision {
		s.confirm(askedAt)
	}
	return info, nil
}

// commit writes the revision. After a lost response it reads the row back: if the
// row has this push's attempt ID, the commit succeeded; if it has another one, a
// concurrent push won; if there is no row, the conditional write is repeated.
func (s *Syncer) commit(ctx context.Context, info *Info) error {
	unknown := false
	for range maxCommitAttempts {
		tx, err := s.prepareCommit(ctx, info)
		if errors.Is(err, errOwnAttempt) {
			return nil
		}
		if err != nil {
			return withUnknownOutcome(err, unknown)
		}
		err = s.cfg.Table.Commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, radishcrank.ErrUnknownOutcome):
			unknown = true
		case !errors.Is(err, radishcrank.ErrConflict):
			return withUnknownOutcome(err, unknown)
		}
		rcwait.Sleep(ctx, commitRetryDelay)
	}
	return withUnknownOutcome(radishcrank.ErrConflict, unknown)
}

// withUnknownOutcome adds ErrUnknownOutcome to an error that follows a lost
// response, because the commit may have succeeded. A conflict is definite and
// returned as it is.
func withUnknownOutcome(err error, unknown bool) error {
	var conflict *ConflictError
	if !unknown || errors.As(err, &conflict) {
		return err
	}
	return errors.Join(radishcrank.ErrUnknownOutcome, err)
}

// errOwnAttempt is returned when an earlier attempt of the same push was committed.
var errOwnAttempt = errors.New("push is already committed")

// prepareCommit reads the newest revision and returns the conditional write on top of it.
func (s *Syncer) prepareCommit(ctx context.Context, info *Info) (tx radishcrank.Transaction, err error) {
	// Load highestSeen before reading the head: a revision reported by a peer after
	// the read may have been committed after it.
	s.mu.Lock()
	highest := s.highestSeen
	s.mu.Unlock()
	h, headVersion, err := s.getHead(ctx)
	if err != nil {
		return tx, err
	}
	if done, err := s.isCommitted(ctx, h, info); err != nil || done {
		if done {
			err = errOwnAttempt
		}
		return tx, err
	}
	cur := s.current.Load()
	newest := max(h.Revision, cur.revision())
	if highest > newest {
		return tx, ErrNotUpToDate
	}
	if info.Base != newest {
		return tx, s.newConflictError(ctx, info.Base, newest)
	}
	info.Revision = newest + 1
	// A row above the head can exist only if it predates a restore of the table; the
	// write is conditional on its version.
	rows, err := s.cfg.Table.Get(ctx, keyRev(info.Revision))
	if err != nil {
		return tx, err
	}
	d := delta{Revision: info.Revision, Hash: info.Hash}
	if cur.revision() == newest && cur != nil {
		d.BaseHash, d.Ops = cur.hash, diffLines(cur.text, info.Text)
	}
	return newTransaction(*info, d, headVersion, rows[0].Version)
}

// isCommitted reports whether an earlier attempt of the same push was committed,
// even if later revisions have been committed on top of it.
func (s *Syncer) isCommitted(ctx context.Context, h head, info *Info) (bool, error) {
	if info.Revision == 0 || h.Revision < info.Revision {
		return false, nil
	}
	row, err := s.readInfo(ctx, info.Revision)
	if errors.Is(err, radishcrank.ErrNotFound) {
		return false, nil
	}
	return row.Attempt == info.Attempt, err
}

// newTransaction returns a transaction that writes a revision, its delta and the
// head, and deletes the revision that leaves the history.
func newTransaction(info Info, d delta, headVersion, revVersion uint64) (tx radishcrank.Transaction, err error) {
	headRow, err := encode(head{Revision: info.Revision, Hash: info.Hash})
	if err != nil {
		return tx, err
	}
	infoRow, err := encode(info)
	if err != nil {
		return tx, err
	}
	tx.Checks = []radishcrank.Check{{Key: keyHead, Version: headVersion}, {Key: keyRev(info.Revision), Version: revVersion}}
	tx.Writes = []radishcrank.Write{{Key: keyHead, Value: headRow}, {Key: keyRev(info.Revision), Value: infoRow}}
	if d.BaseHash != "" {
		deltaRow, err := encode(d)
		if err != nil {
			return tx, err
		}
		tx.Writes = append(tx.Writes, radishcrank.Write{Key: keyDelta(info.Revision), Value: deltaRow})
	}
	if info.Revision > historyLength {
		old := info.Revision - historyLength
		tx.Writes = append(tx.Writes, radishcrank.Write{Key: keyRev(old), Delete: true}, radishcrank.Write{Key: keyDelta(old), Delete: true})
	}
	return tx, nil
}

// newConflictError returns a ConflictError with the changes since the operator's base.
func (s *Syncer) newConflictError(ctx context.Context, base, newest uint64) error {
	e := &ConflictError{Base: base, Newest: newest}
	a, errA := s.readDocument(ctx, base)
	b, errB := s.readDocument(ctx, newest)
	if errA == nil && errB == nil {
		e.Changes = rcconfig.Diff(a, b)
	}
	return e
}

func (s *Syncer) readDocument(ctx context.Context, revision uint64) (*rcconfig.Document, error) {
	info, err := s.Show(ctx, revision)
	if err != nil {
		return nil, err
	}
	return rcconfig.Parse([]byte(info.Text))
}

// Show returns a revision with its text. Revision 0 selects the current one.
func (s *Syncer) Show(ctx context.Context, revision uint64) (info Info, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "revision %d", revision)
		}
	}()
	cur := s.current.Load()
	if revision == 0 {
		revision = cur.revision()
	}
	info, err = s.readInfo(ctx, revision)
	// The current document is available without the table service.
	if cur != nil && revision == cur.doc.Revision && (err != nil || info.Hash != cur.hash) {
		return Info{Revision: revision, Hash: cur.hash, Text: cur.text}, nil
	}
	return info, err
}

// History returns up to limit revisions without their texts, newest first.
func (s *Syncer) History(ctx context.Context, limit int) (list []Info, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "history of the configuration")
		}
	}()
	h, _, err := s.getHead(ctx)
	if err != nil {
		return nil, err
	}
	limit = max(0, min(limit, historyLength))
	after := uint64(0)
	if h.Revision > uint64(limit) {
		after = h.Revision - uint64(limit)
	}
	rows, err := s.cfg.Table.Scan(ctx, prefixRev, keyRev(after), limit)
	if err != nil {
		return nil, err
	}
	for _, row := range slices.Backward(rows) {
		var info Info
		if err := decode(row.Value, &info); err != nil {
			return nil, err
		}
		info.Text = ""
		list = append(list, info)
	}
	return list, nil
}

// Problems returns the reports of instances that cannot apply the newest revision.
func (s *Syncer) Problems(ctx context.Context) (list []Problem, err error) {
	const maxProblems = 1000
	h, _, err := s.getHead(ctx)
	if err != nil {
		return nil, trace.Wrap(err, "read configuration problems")
	}
	rows, err := s.cfg.Table.Scan(ctx, prefixProblem, "", maxProblems)
	if err != nil {
		return nil, trace.Wrap(err, "read configuration problems")
	}
	for _, row := range rows {
		var p Problem
		if err := decode(row.Value, &p); err != nil {
			return nil, err
		}
		// Reports on older revisions are outdated: an instance that cannot apply the
		// newest revision either has written a new report.
		if p.Revision >= h.Revision {
			list = append(list, p)
		}
	}
	return list, nil
}
