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
	// maxCommitTries bounds the work of one push while answers are lost.
	maxCommitTries = 8
	commitPause    = 200 * time.Millisecond
)

// ErrNotUpToDate says that peers hold a higher revision than this instance, which
// therefore cannot judge the operator's base.
var ErrNotUpToDate = errors.New("instance has not got the newest revision yet")

// ConflictError says that the base of a push is not the newest revision.
type ConflictError struct {
	Base    uint64
	Newest  uint64
	Changes []rcconfig.Change // From the base to the newest revision; empty if the base is not in the history.
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is not the newest one, which is %d", e.Base, e.Newest)
}

// PushRequest asks to commit a document on top of a base revision.
type PushRequest struct {
	Base   uint64
	Author string
	Note   string
	Text   string
}

// Push commits a document and brings it into force here. The error is a
// *ConflictError if Base is not the newest revision, and rcconfig.Errors if the
// document has faults. ErrUnknownOutcome in its chain means that the table
// service could not be asked whether the commit took effect.
func (k *Syncer) Push(ctx context.Context, req PushRequest) (info Info, err error) {
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
	if err := k.commit(ctx, &info); err != nil {
		return Info{}, err
	}
	asked := time.Now()
	k.adopt(ctx, info.Revision, info.Text)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current.Load().revision() == info.Revision {
		k.confirm(asked)
	}
	return info, nil
}

// commit writes the revision. After a lost answer it reads the row back: its
// own attempt there means success, another one a lost race, and no row that
// the same conditional write can be repeated.
func (k *Syncer) commit(ctx context.Context, info *Info) error {
	unknown := false
	for range maxCommitTries {
		tx, err := k.prepare(ctx, info)
		if errors.Is(err, errOwnAttempt) {
			return nil
		}
		if err != nil {
			return unsettled(err, unknown)
		}
		err = k.cfg.Table.Commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, radishcrank.ErrUnknownOutcome):
			unknown = true
		case !errors.Is(err, radishcrank.ErrConflict):
			return unsettled(err, unknown)
		}
		rcwait.Sleep(ctx, commitPause)
	}
	return unsettled(radishcrank.ErrConflict, unknown)
}

// unsettled keeps a failure after a lost answer from looking like a certain one.
func unsettled(err error, unknown bool) error {
	var conflict *ConflictError
	if !unknown || errors.As(err, &conflict) {
		return err
	}
	return errors.Join(radishcrank.ErrUnknownOutcome, err)
}

// errOwnAttempt says that the revision row holds this very push.
var errOwnAttempt = errors.New("push is already committed")

// prepare reads the newest state and returns the conditional write.
func (k *Syncer) prepare(ctx context.Context, info *Info) (tx radishcrank.Transaction, err error) {
	// What is heard after the head was read may have been written since.
	k.mu.Lock()
	heard := k.newest
	k.mu.Unlock()
	h, headVersion, err := k.getHead(ctx)
	if err != nil {
		return tx, err
	}
	if done, err := k.isCommitted(ctx, h, info); err != nil || done {
		if done {
			err = errOwnAttempt
		}
		return tx, err
	}
	v := k.current.Load()
	newest := max(h.Revision, v.revision())
	if heard > newest {
		return tx, ErrNotUpToDate
	}
	if info.Base != newest {
		return tx, k.conflict(ctx, info.Base, newest)
	}
	info.Revision = newest + 1
	// A row above the head can only be left from before the table was restored.
	rows, err := k.cfg.Table.Get(ctx, keyRev(info.Revision))
	if err != nil {
		return tx, err
	}
	d := delta{Revision: info.Revision, Hash: info.Hash}
	if v.revision() == newest && v != nil {
		d.BaseHash, d.Ops = v.hash, diffLines(v.text, info.Text)
	}
	return transaction(*info, d, headVersion, rows[0].Version)
}

// isCommitted reports whether an earlier try of the same push took effect,
// also if others have committed on top of it since.
func (k *Syncer) isCommitted(ctx context.Context, h head, info *Info) (bool, error) {
	if info.Revision == 0 || h.Revision < info.Revision {
		return false, nil
	}
	row, err := k.readInfo(ctx, info.Revision)
	if errors.Is(err, radishcrank.ErrNotFound) {
		return false, nil
	}
	return row.Attempt == info.Attempt, err
}

// transaction writes a revision, its delta and the head, and drops what is beyond the history.
func transaction(info Info, d delta, headVersion, revVersion uint64) (tx radishcrank.Transaction, err error) {
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

// conflict describes what happened since the operator's base.
func (k *Syncer) conflict(ctx context.Context, base, newest uint64) error {
	e := &ConflictError{Base: base, Newest: newest}
	a, errA := k.document(ctx, base)
	b, errB := k.document(ctx, newest)
	if errA == nil && errB == nil {
		e.Changes = rcconfig.Diff(a, b)
	}
	return e
}

func (k *Syncer) document(ctx context.Context, revision uint64) (*rcconfig.Document, error) {
	info, err := k.Show(ctx, revision)
	if err != nil {
		return nil, err
	}
	return rcconfig.Parse([]byte(info.Text))
}

// Show returns a revision with its text, or the one in force for 0.
func (k *Syncer) Show(ctx context.Context, revision uint64) (info Info, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "revision %d", revision)
		}
	}()
	v := k.current.Load()
	if revision == 0 {
		revision = v.revision()
	}
	info, err = k.readInfo(ctx, revision)
	// The document in force can be shown without the table service.
	if v != nil && revision == v.doc.Revision && (err != nil || info.Hash != v.hash) {
		return Info{Revision: revision, Hash: v.hash, Text: v.text}, nil
	}
	return info, err
}

// History returns up to limit revisions, the newest first, without their texts.
func (k *Syncer) History(ctx context.Context, limit int) (list []Info, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "history of the configuration")
		}
	}()
	h, _, err := k.getHead(ctx)
	if err != nil {
		return nil, err
	}
	limit = max(0, min(limit, historyLength))
	after := uint64(0)
	if h.Revision > uint64(limit) {
		after = h.Revision - uint64(limit)
	}
	rows, err := k.cfg.Table.Scan(ctx, prefixRev, keyRev(after), limit)
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

// Problems returns the instances that could not apply the newest revision.
func (k *Syncer) Problems(ctx context.Context) (list []Problem, err error) {
	const most = 1000
	h, _, err := k.getHead(ctx)
	if err != nil {
		return nil, trace.Wrap(err, "problems of the configuration")
	}
	rows, err := k.cfg.Table.Scan(ctx, prefixProblem, "", most)
	if err != nil {
		return nil, trace.Wrap(err, "problems of the configuration")
	}
	for _, row := range rows {
		var p Problem
		if err := decode(row.Value, &p); err != nil {
			return nil, err
		}
		// An instance that cannot apply the newest revision either has said so again.
		if p.Revision >= h.Revision {
			list = append(list, p)
		}
	}
	return list, nil
}
