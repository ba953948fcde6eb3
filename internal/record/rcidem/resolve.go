package rcidem

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// followLookup is the time between questions to the upstream while another
	// instance runs the call.
	followLookup = 2 * time.Second

	// maxClaimTries bounds the tries of one insert with read-back, so that a table
	// service that loses every write leads to a refusal at once.
	maxClaimTries = 6

	pollMin = 50 * time.Millisecond
	pollMax = time.Second

	// followSlack is how much longer than a call takes at most a repeat waits for
	// another attempt: time for the holder's writes and for others to find it dead.
	followSlack = 30 * time.Second
)

// claim is the state of one attempt to own the row.
type claim struct {
	attempt string
	started time.Time // Before the first write of the last claim.
	base    uint64    // Version that the next write expects.
	old     string    // Void attempt whose open-call entry the write replaces.
	pending bool      // A write that expects base had an unknown outcome.
}

// resolve brings the call of a flight to its answer. The caller holds e.sem.
func (r *Runner) resolve(e *entry, f *flight) (answer radishcrank.ServiceResponse, err error) {
	if e.stored != nil {
		return r.replay(e, f, *e.stored, e.version)
	}
	if len(r.services.list(r.cfg.Board, f.call.Service)) == 0 {
		return answer, refuseUpstream()
	}
	c := &claim{attempt: r.newAttempt()}
	needRead := len(e.voids) > 0
	giveUp := time.Now().Add(r.cfg.CallTimeout + followSlack)
	lookAt := time.Now().Add(followLookup)
	for wait := pollMin; time.Now().Before(giveUp); wait = min(2*wait, pollMax) {
		version, other, err := r.claim(e, f, c, needRead)
		if errors.Is(err, errFollowed) {
			if !r.pause(f, wait) {
				break
			}
			needRead = true
			continue
		}
		if errors.Is(err, errLeaving) {
			return answer, refuseLeaving()
		}
		if err != nil {
			return answer, r.refuseUnread(f)
		}
		if other == nil {
			return r.dispatch(e, f, c, version)
		}
		if !bytes.Equal(other.rec.BodyHash, f.hash) {
			return answer, refuseReuse()
		}
		if other.rec.State != stateStarted {
			return r.replay(e, f, other.rec, other.version)
		}
		needRead = true
		if r.isDead(other.rec.Attempt) {
			r.settleRow(*other)
			continue
		}
		r.setFollowing(f)
		if time.Now().After(lookAt) {
			lookAt = time.Now().Add(followLookup)
			if r.settleFound(*other) {
				continue
			}
		}
		if !r.pause(f, wait) {
			break
		}
	}
	return answer, refuseRunning()
}

// refuseUnread refuses a call whose row can be neither read nor written. The
// call may be the repeat of one that ran, and a caller that is told NotRun may
// book again under another key, so the upstream is asked first. A positive
// answer is not passed on: without the row nobody knows whether the content is
// the same.
func (r *Runner) refuseUnread(f *flight) *radishcrank.Refusal {
	call := f.call
	_, found, _ := r.lookup(record{Account: call.Account, Service: call.Service, Key: call.IdempotencyKey})
	if found {
		return refuseUnavailableAnswer()
	}
	return refusePlatform()
}

// jittered spreads waits of about d, so that the instances that wait for one row
// do not read in step.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// pause waits before the next look at another attempt's row. It returns false
// when nobody waits for the answer any more.
func (r *Runner) pause(f *flight, d time.Duration) bool {
	timer := time.NewTimer(jittered(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.goneOf(f):
	case <-r.ctx.Done():
	}
	return false
}

// versioned is a record with the version of its row.
type versioned struct {
	key     string
	rec     record
	version uint64
}

// errFollowed says that the table service failed while another attempt was
// known to run, so the wait for that attempt goes on.
var errFollowed = errors.New("table service failed while another attempt runs")

// errLeaving says that a new attempt of a leaving account was not begun.
var errLeaving = errors.New("client account is leaving")

// claim makes the row Started with the own attempt and returns its version, or
// returns the record that stands in the way. After an error the attempt is void.
func (r *Runner) claim(e *entry, f *flight, c *claim, needRead bool) (version uint64, other *versioned, err error) {
	c.started = time.Now()
	started := record{
		State:    stateStarted,
		Attempt:  c.attempt,
		BodyHash: f.hash,
		Account:  f.call.Account,
		Service:  f.call.Service,
		Key:      f.call.IdempotencyKey,
	}
	// A leaving account gets the answers of calls that were accepted before.
	leaving := r.cfg.IsLeaving(f.call.Account)
	needRead = needRead || leaving
	for range maxClaimTries {
		if needRead {
			version, other, err = r.look(e, f, c)
			if err != nil || other != nil || version > 0 {
				break
			}
		}
		if leaving && !c.pending {
			return 0, nil, errLeaving
		}
		writes := []radishcrank.Write{
			{Key: e.key, Value: started.encode()},
			{Key: openKey(c.attempt), Value: []byte(e.key)},
		}
		if c.old != "" {
			writes = append(writes, radishcrank.Write{Key: openKey(c.old), Delete: true})
		}
		err = r.batch.commit(radishcrank.Check{Key: e.key, Version: c.base}, writes...)
		if err == nil {
			version = c.base + 1
			break
		}
		if errors.Is(err, radishcrank.ErrUnavailable) {
			break
		}
		// A conflict may come from the attempt's own earlier write that arrived late.
		if !errors.Is(err, radishcrank.ErrConflict) {
			c.pending = true
		}
		needRead = true
	}
	switch {
	case version > 0:
		// The row has moved on from what the writes of older attempts expect.
		clear(e.voids)
		return version, nil, nil
	case other != nil:
		return 0, other, nil
	case err == nil:
		err = radishcrank.ErrUnknownOutcome
	}
	if c.pending {
		e.avoid(started, c.base)
		// The next claim of this flight must not revive a void attempt.
		c.attempt, c.pending = r.newAttempt(), false
	}
	if f.following && r.ctx.Err() == nil {
		return 0, nil, errFollowed
	}
	return 0, nil, err
}

// look reads the row and sets the version that a write must expect. It returns
// the row's version if the row holds the own attempt, or the record that stands
// in the way.
func (r *Runner) look(e *entry, f *flight, c *claim) (version uint64, other *versioned, err error) {
	row, rec, err := r.read(e.key)
	if err != nil {
		return 0, nil, err
	}
	if row.Version != c.base {
		c.pending = false // A write that expected the old version can't take effect any more.
	}
	c.base, c.old = row.Version, ""
	if row.Version == 0 {
		return 0, nil, nil
	}
	// Others settle Started to MayHaveRun when they believe the holder dead.
	open := rec.State == stateStarted || rec.State == stateMayHaveRun
	if open && rec.Attempt == c.attempt {
		return row.Version, nil, nil
	}
	_, isVoid := e.voids[rec.Attempt]
	restartable := rec.State == stateNotRun || open && isVoid
	if !restartable || !bytes.Equal(rec.BodyHash, f.hash) {
		return 0, &versioned{key: e.key, rec: rec, version: row.Version}, nil
	}
	c.old = rec.Attempt
	return 0, nil, nil
}

func (r *Runner) read(key string) (row radishcrank.Row, rec record, err error) {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.CommitTimeout)
	defer cancel()
	rows, err := r.cfg.Table.Get(ctx, key)
	if err != nil {
		return row, rec, err
	}
	row = rows[0]
	if row.Version == 0 {
		return row, rec, nil
	}
	rec, err = decode(row)
	return row, rec, err
}

// dispatch sends the call under the claimed row and decides the attempt's outcome.
func (r *Runner) dispatch(e *entry, f *flight, c *claim, version uint64) (answer radishcrank.ServiceResponse, err error) {
	rec := record{
		State:    stateStarted,
		Attempt:  c.attempt,
		BodyHash: f.hash,
		Account:  f.call.Account,
		Service:  f.call.Service,
		Key:      f.call.IdempotencyKey,
	}
	if time.Since(c.started) > dispatchLimit {
		e.avoid(rec, version-1)
		return answer, refusePlatform()
	}
	if !r.mayDispatch(f) {
		e.avoid(rec, version-1)
		return answer, refuseLeft()
	}
	for _, up := range r.candidates(f.call.Service) {
		answer, err = r.callUpstream(r.ctx, up, f.call, r.cfg.CallTimeout)
		if err == nil {
			e.store(rec.withAnswer(answer), version)
			return answer, nil
		}
		if !didNotRun(err) {
			return r.dispatchOpen(e, rec, version)
		}
	}
	// Every upstream refused, so the call did not run, and nothing sends it from here on.
	e.avoid(rec, version-1)
	return radishcrank.ServiceResponse{}, refuseUpstream()
}

// dispatchOpen handles a call that was sent and brought no answer.
func (r *Runner) dispatchOpen(e *entry, rec record, version uint64) (answer radishcrank.ServiceResponse, err error) {
	answer, found, asked := r.lookup(rec)
	if found {
		e.store(rec.withAnswer(answer), version)
		return answer, nil
	}
	e.store(rec.withState(stateMayHaveRun), version)
	return answer, refuseUnknown(asked)
}

// replay answers a repeat from a record that is not Started. An answer that a
// lookup brings is stored over the record's version.
func (r *Runner) replay(e *entry, f *flight, rec record, version uint64) (answer radishcrank.ServiceResponse, err error) {
	if !bytes.Equal(rec.BodyHash, f.hash) {
		return answer, refuseReuse()
	}
	if rec.State == stateDone && !rec.Oversize {
		return rec.answer(), nil
	}
	answer, found, asked := r.lookup(rec)
	switch {
	case found && rec.State == stateDone:
		return answer, nil
	case found:
		e.store(rec.withAnswer(answer), version)
		return answer, nil
	case rec.State == stateDone:
		return answer, refuseOversize()
	}
	return answer, refuseUnknown(asked)
}
