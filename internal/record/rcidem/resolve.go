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
	// lookupInterval is the time between lookups at the upstream while another
	// attempt is running.
	lookupInterval = 2 * time.Second

	// maxClaimTries limits the number of conditional writes, with a read after each
	// failed one, so that a table service that loses every write causes a refusal
	// instead of an endless loop.
	maxClaimTries = 6

	pollMin = 50 * time.Millisecond
	pollMax = time.Second

	// waitSlack is the time, in addition to the call timeout, that a repeat waits for
	// another attempt. It covers the writes of the attempt's owner and the detection
	// of its failure.
	waitSlack = 30 * time.Second
)

// claim is the state of this instance's effort to claim the row for an attempt.
type claim struct {
	attempt      string
	started      time.Time // Time before the first write of the latest call of Runner.claim.
	baseVersion  uint64    // Row version that the next write expects.
	superseded   string    // Attempt whose open-call row the next write deletes.
	writePending bool      // A write that expects baseVersion had an unknown outcome.
}

// resolve determines the response of a shared call: it runs the call, waits for
// another attempt, or replays a record. The caller holds e.sem.
func (r *Runner) resolve(e *entry, sc *sharedCall) (response radishcrank.ServiceResponse, err error) {
	if e.pendingRecord != nil {
		return r.replay(e, sc, *e.pendingRecord, e.pendingVersion)
	}
	if len(r.services.list(r.cfg.Board, sc.call.Service)) == 0 {
		return response, refuseNoUpstream()
	}
	c := &claim{attempt: r.newAttempt()}
	needRead := len(e.abandoned) > 0
	deadline := time.Now().Add(r.cfg.CallTimeout + waitSlack)
	nextLookup := time.Now().Add(lookupInterval)
	for wait := pollMin; time.Now().Before(deadline); wait = min(2*wait, pollMax) {
		version, other, err := r.claim(e, sc, c, needRead)
		if errors.Is(err, errOtherRunning) {
			if !r.waitForPoll(sc, wait) {
				break
			}
			needRead = true
			continue
		}
		if errors.Is(err, errAccountLeaving) {
			return response, refuseAccountLeaving()
		}
		if err != nil {
			return response, r.refuseUnreadable(sc)
		}
		if other == nil {
			return r.dispatch(e, sc, c, version)
		}
		if !bytes.Equal(other.rec.BodyHash, sc.hash) {
			return response, refuseKeyReused()
		}
		if other.rec.State != stateStarted {
			return r.replay(e, sc, other.rec, other.version)
		}
		needRead = true
		if r.ownerDead(other.rec.Attempt) {
			r.settleRow(*other)
			continue
		}
		r.setOtherRunning(sc)
		if time.Now().After(nextLookup) {
			nextLookup = time.Now().Add(lookupInterval)
			if r.settleIfRan(*other) {
				continue
			}
		}
		if !r.waitForPoll(sc, wait) {
			break
		}
	}
	return response, refuseInProgress()
}

// refuseUnreadable refuses a call whose row can be neither read nor written. The
// call may be a repeat of one that ran, and a caller that gets the outcome NotRun
// may send the call again with another key, so the upstream is asked first. A
// response that the lookup finds is not returned, because without the row it is not
// known whether the content of the call is the same.
func (r *Runner) refuseUnreadable(sc *sharedCall) *radishcrank.Refusal {
	call := sc.call
	_, found, _ := r.lookup(record{Account: call.Account, Service: call.Service, Key: call.IdempotencyKey})
	if found {
		return refuseResponseUnavailable()
	}
	return refusePlatformUnavailable()
}

// jitter returns a random duration from d/2 to d, so that instances that wait for
// the same row do not read it at the same times.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// waitForPoll waits before the next read of another attempt's row. It returns false
// if no caller waits for the response any more or the Runner has stopped.
func (r *Runner) waitForPoll(sc *sharedCall, d time.Duration) bool {
	timer := time.NewTimer(jitter(d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.noCallersChan(sc):
	case <-r.ctx.Done():
	}
	return false
}

// versionedRecord is a record with the key and version of its row.
type versionedRecord struct {
	key     string
	rec     record
	version uint64
}

// errOtherRunning is returned if the table service failed while another attempt was
// known to be running, so that the wait for that attempt continues.
var errOtherRunning = errors.New("table service failed while another attempt is running")

// errAccountLeaving is returned if an attempt was not started because the client
// account is leaving.
var errAccountLeaving = errors.New("client account is leaving")

// claim sets the row to Started with the claim's attempt and returns the row's
// version, or returns the record that prevents this. After an error the attempt is
// not used again if its write may still take effect.
func (r *Runner) claim(e *entry, sc *sharedCall, c *claim, needRead bool) (version uint64, other *versionedRecord, err error) {
	c.started = time.Now()
	started := record{
		State:    stateStarted,
		Attempt:  c.attempt,
		BodyHash: sc.hash,
		Account:  sc.call.Account,
		Service:  sc.call.Service,
		Key:      sc.call.IdempotencyKey,
	}
	// A leaving account still gets the responses of calls that were accepted before.
	leaving := r.cfg.IsLeaving(sc.call.Account)
	needRead = needRead || leaving
	for range maxClaimTries {
		if needRead {
			version, other, err = r.readForClaim(e, sc, c)
			if err != nil || other != nil || version > 0 {
				break
			}
		}
		if leaving && !c.writePending {
			return 0, nil, errAccountLeaving
		}
		writes := []radishcrank.Write{
			{Key: e.key, Value: started.encode()},
			{Key: openCallKey(c.attempt), Value: []byte(e.key)},
		}
		if c.superseded != "" {
			writes = append(writes, radishcrank.Write{Key: openCallKey(c.superseded), Delete: true})
		}
		err = r.batch.commit(radishcrank.Check{Key: e.key, Version: c.baseVersion}, writes...)
		if err == nil {
			version = c.baseVersion + 1
			break
		}
		if errors.Is(err, radishcrank.ErrUnavailable) {
			break
		}
		// A conflict may be caused by an earlier write of this attempt that arrived late.
		if !errors.Is(err, radishcrank.ErrConflict) {
			c.writePending = true
		}
		needRead = true
	}
	switch {
	case version > 0:
		// The row's version is higher than those that the writes of abandoned attempts
		// expect.
		clear(e.abandoned)
		return version, nil, nil
	case other != nil:
		return 0, other, nil
	case err == nil:
		err = radishcrank.ErrUnknownOutcome
	}
	if c.writePending {
		e.abandon(started, c.baseVersion)
		// The next claim of this shared call must not reuse an abandoned attempt.
		c.attempt, c.writePending = r.newAttempt(), false
	}
	if sc.otherRunning && r.ctx.Err() == nil {
		return 0, nil, errOtherRunning
	}
	return 0, nil, err
}

// readForClaim reads the row and sets the version that the next write expects. It
// returns the row's version if the row holds the claim's attempt, or the record that
// prevents the claim.
func (r *Runner) readForClaim(e *entry, sc *sharedCall, c *claim) (version uint64, other *versionedRecord, err error) {
	row, rec, err := r.readRecord(e.key)
	if err != nil {
		return 0, nil, err
	}
	if row.Version != c.baseVersion {
		c.writePending = false // A write that expects the previous version can no longer take effect.
	}
	c.baseVersion, c.superseded = row.Version, ""
	if row.Version == 0 {
		return 0, nil, nil
	}
	// Other instances settle Started as MayHaveRun when they consider the owner dead.
	unsettled := rec.State == stateStarted || rec.State == stateMayHaveRun
	if unsettled && rec.Attempt == c.attempt {
		return row.Version, nil, nil
	}
	_, isAbandoned := e.abandoned[rec.Attempt]
	restartable := rec.State == stateNotRun || unsettled && isAbandoned
	if !restartable || !bytes.Equal(rec.BodyHash, sc.hash) {
		return 0, &versionedRecord{key: e.key, rec: rec, version: row.Version}, nil
	}
	c.superseded = rec.Attempt
	return 0, nil, nil
}

func (r *Runner) readRecord(key string) (row radishcrank.Row, rec record, err error) {
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

// dispatch sends the call after its row was claimed and determines the outcome of
// the attempt.
func (r *Runner) dispatch(e *entry, sc *sharedCall, c *claim, version uint64) (response radishcrank.ServiceResponse, err error) {
	rec := record{
		State:    stateStarted,
		Attempt:  c.attempt,
		BodyHash: sc.hash,
		Account:  sc.call.Account,
		Service:  sc.call.Service,
		Key:      sc.call.IdempotencyKey,
	}
	if time.Since(c.started) > maxDispatchDelay {
		e.abandon(rec, version-1)
		return response, refusePlatformUnavailable()
	}
	if !r.tryDispatch(sc) {
		e.abandon(rec, version-1)
		return response, refuseCancelled()
	}
	for _, up := range r.candidates(sc.call.Service) {
		response, err = r.callUpstream(r.ctx, up, sc.call, r.cfg.CallTimeout)
		if err == nil {
			e.setPending(rec.withResponse(response), version)
			return response, nil
		}
		if !didNotRun(err) {
			return r.resolveUnknownOutcome(e, rec, version)
		}
	}
	// Every upstream refused the call, so it did not run, and this attempt does not
	// send it again.
	e.abandon(rec, version-1)
	return radishcrank.ServiceResponse{}, refuseNoUpstream()
}

// resolveUnknownOutcome handles a call that was sent but got no response.
func (r *Runner) resolveUnknownOutcome(e *entry, rec record, version uint64) (response radishcrank.ServiceResponse, err error) {
	response, found, asked := r.lookup(rec)
	if found {
		e.setPending(rec.withResponse(response), version)
		return response, nil
	}
	e.setPending(rec.withState(stateMayHaveRun), version)
	return response, refuseOutcomeUnknown(asked)
}

// replay responds to a repeat from a record that is not Started. A response that a
// lookup finds for a record in state MayHaveRun is stored over the given version.
func (r *Runner) replay(e *entry, sc *sharedCall, rec record, version uint64) (response radishcrank.ServiceResponse, err error) {
	if !bytes.Equal(rec.BodyHash, sc.hash) {
		return response, refuseKeyReused()
	}
	if rec.replayable() {
		return rec.response(), nil
	}
	response, found, asked := r.lookup(rec)
	switch {
	case found && rec.State == stateDone:
		return response, nil
	case found:
		e.setPending(rec.withResponse(response), version)
		return response, nil
	case rec.State == stateDone:
		return response, refuseResponseNotStored()
	}
	return response, refuseOutcomeUnknown(asked)
}
