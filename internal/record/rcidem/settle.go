package rcidem

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	settleRetryMin = 100 * time.Millisecond
	settleRetryMax = 5 * time.Second

	// maxStoreTries limits the tries to write a record if there are conflicts. These
	// are rare, because another instance must settle the row at the same time.
	maxStoreTries = 3

	scanPage  = 200
	sweepKey  = "idemsweep"
	sweepPage = 200 // Rows that one sweep step reads.
)

// settleEntry writes the entry's pending record and abandoned attempts to the table
// service. It returns when nothing is left to write, or when callers use the entry
// again.
func (r *Runner) settleEntry(e *entry) {
	for wait := settleRetryMin; ; wait = min(2*wait, settleRetryMax) {
		e.sem <- struct{}{}
		r.dropExpired(e)
		if e.pendingRecord != nil && r.writePendingRecord(e) {
			e.pendingRecord = nil
		}
		if len(e.abandoned) > 0 && r.settleAbandoned(e) {
			clear(e.abandoned)
		}
		done := r.removeIfDone(e)
		<-e.sem
		if done || !rcwait.Sleep(r.ctx, jitter(wait)) {
			return
		}
	}
}

// dropExpired drops pending writes that are older than the retention period. By then
// the row may have been deleted and inserted again, so that its version no longer
// distinguishes the two.
func (r *Runner) dropExpired(e *entry) {
	if time.Since(e.pendingSince) > r.cfg.Retention() {
		e.pendingRecord = nil
		clear(e.abandoned)
	}
}

// removeIfDone removes an entry with nothing left to write. It returns true if the
// caller, which holds e.sem, has no more work to do for the entry.
func (r *Runner) removeIfDone(e *entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.inFlight != nil {
		return true // The shared call settles the entry when it ends.
	}
	if e.pendingRecord != nil || len(e.abandoned) > 0 {
		return false
	}
	if r.entries[e.key] == e {
		delete(r.entries, e.key)
	}
	r.closeIdleIfDone()
	return true
}

// writePendingRecord writes the final record of this instance's attempt. It returns
// true if the row needs no more writes.
func (r *Runner) writePendingRecord(e *entry) bool {
	for range maxStoreTries {
		err := r.batch.commit(radishcrank.Check{Key: e.key, Version: e.pendingVersion},
			radishcrank.Write{Key: e.key, Value: e.pendingRecord.encode()},
			radishcrank.Write{Key: openCallKey(e.pendingRecord.Attempt), Delete: true})
		if err == nil {
			return true
		}
		if !errors.Is(err, radishcrank.ErrConflict) {
			return false
		}
		row, rec, err := r.readRecord(e.key)
		if err != nil {
			return false
		}
		// An earlier write of this record took effect, or another instance settled the
		// row, or the row expired.
		if row.Version == 0 || rec.Attempt != e.pendingRecord.Attempt || rec.State == stateDone || rec.State == e.pendingRecord.State {
			return true
		}
		e.pendingVersion = row.Version
	}
	return false
}

// settleAbandoned sets the row to NotRun if it belongs to an abandoned attempt, or if
// the write of an abandoned attempt could still take effect. Any write of the row,
// even of the same content, raises its version, so that the late write fails.
func (r *Runner) settleAbandoned(e *entry) bool {
	row, rec, err := r.readRecord(e.key)
	if err != nil {
		return false
	}
	attempts := slices.Sorted(maps.Keys(e.abandoned))
	mayTakeEffect := slices.ContainsFunc(attempts, func(a string) bool { return e.abandoned[a].baseVersion == row.Version })
	held := (rec.State == stateStarted || rec.State == stateMayHaveRun) && slices.Contains(attempts, rec.Attempt)
	if !held && !mayTakeEffect {
		return true
	}
	if row.Version == 0 {
		rec = e.abandoned[attempts[0]].rec
	}
	writes := []radishcrank.Write{{Key: e.key, Value: rec.withState(stateNotRun).encode()}}
	for _, a := range attempts {
		writes = append(writes, radishcrank.Write{Key: openCallKey(a), Delete: true})
	}
	return r.batch.commit(radishcrank.Check{Key: e.key, Version: row.Version}, writes...) == nil
}

// settleRow settles a Started row of an instance that is considered dead. The
// instance may only be paused and may still send the call, so a lookup that finds
// nothing does not prove that the call did not run.
func (r *Runner) settleRow(v versionedRecord) {
	next := v.rec.withState(stateMayHaveRun)
	if response, found, _ := r.lookup(v.rec); found {
		next = v.rec.withResponse(response)
	}
	// After a conflict or an outage the next reader of the row settles it.
	_ = r.batch.commit(radishcrank.Check{Key: v.key, Version: v.version},
		radishcrank.Write{Key: v.key, Value: next.encode()},
		radishcrank.Write{Key: openCallKey(v.rec.Attempt), Delete: true})
}

// settleIfRan settles a Started row if the upstream reports that the call ran. This
// is proof whether or not the attempt's owner is alive, so a repeat does not have to
// wait until an unresponsive owner is known to be dead. The only instance of an
// availability zone could never determine that, because it cannot distinguish a
// dead owner from its own disconnection.
func (r *Runner) settleIfRan(v versionedRecord) bool {
	response, found, _ := r.lookup(v.rec)
	if !found {
		return false
	}
	return r.batch.commit(radishcrank.Check{Key: v.key, Version: v.version},
		radishcrank.Write{Key: v.key, Value: v.rec.withResponse(response).encode()},
		radishcrank.Write{Key: openCallKey(v.rec.Attempt), Delete: true}) == nil
}

// RunSettlement settles rows of dead instances and deletes expired rows until ctx
// ends. All instances share the work, so the interval of each instance is
// proportional to the number of instances.
func (r *Runner) RunSettlement(ctx context.Context) error {
	for {
		instances := max(1, r.cfg.Board.Instances.Len())
		// jitter returns three quarters of its argument on average.
		if !rcwait.Sleep(ctx, jitter(r.cfg.SettleInterval*time.Duration(instances)*4/3)) {
			return ctx.Err()
		}
		r.settleDeadInstances(ctx)
		r.sweep(ctx)
	}
}

// settleDeadInstances scans the open-call rows and settles the calls of dead
// instances.
func (r *Runner) settleDeadInstances(ctx context.Context) {
	after := ""
	for ctx.Err() == nil {
		rows, err := r.scan(ctx, openCallPrefix, after, scanPage)
		if err != nil {
			return
		}
		for _, row := range rows {
			after = row.Key
			attempt := strings.TrimPrefix(row.Key, openCallPrefix)
			if r.ownerDead(attempt) {
				r.settleOpenCall(string(row.Value), attempt)
			}
		}
		if len(rows) < scanPage {
			return
		}
	}
}

func (r *Runner) settleOpenCall(key, attempt string) {
	row, rec, err := r.readRecord(key)
	if err != nil {
		return
	}
	if row.Version > 0 && rec.State == stateStarted && rec.Attempt == attempt {
		r.settleRow(versionedRecord{key: key, rec: rec, version: row.Version})
		return
	}
	_ = r.batch.commit(radishcrank.Check{Key: key, Version: row.Version},
		radishcrank.Write{Key: openCallKey(attempt), Delete: true})
}

func (r *Runner) scan(ctx context.Context, prefix, after string, limit int) ([]radishcrank.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CommitTimeout)
	defer cancel()
	return r.cfg.Table.Scan(ctx, prefix, after, limit)
}

// sweepState is the value of the row with which the instances share one pass over
// all records.
type sweepState struct {
	Cursor string
}

// sweep deletes the expired rows of the next page of records. The same transaction
// moves the cursor, so that two instances never delete the same page.
func (r *Runner) sweep(ctx context.Context) {
	row, state, err := r.readSweep()
	if err != nil {
		return
	}
	rows, err := r.scan(ctx, rowPrefix, state.Cursor, sweepPage)
	if err != nil {
		return
	}
	if len(rows) == 0 && state.Cursor == "" {
		return
	}
	state.Cursor = ""
	if len(rows) == sweepPage {
		state.Cursor = rows[len(rows)-1].Key
	}
	value, err := msgpack.Marshal(&state)
	if err != nil {
		return
	}
	tx := radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: sweepKey, Version: row.Version}},
		Writes: []radishcrank.Write{{Key: sweepKey, Value: value}},
	}
	oldest := time.Now().Add(-r.cfg.Retention()).UnixMilli()
	for _, row := range rows {
		rec, err := decode(row)
		if err != nil || rec.State == stateStarted || rec.UpdatedAt > oldest {
			continue
		}
		tx.Checks = append(tx.Checks, radishcrank.Check{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, radishcrank.Write{Key: row.Key, Delete: true})
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CommitTimeout)
	defer cancel()
	// After a conflict or an unknown outcome the next step starts from the stored cursor.
	_ = r.cfg.Table.Commit(ctx, tx)
}

func (r *Runner) readSweep() (row radishcrank.Row, state sweepState, err error) {
	ctx, cancel := context.WithTimeout(r.ctx, r.cfg.CommitTimeout)
	defer cancel()
	rows, err := r.cfg.Table.Get(ctx, sweepKey)
	if err != nil {
		return row, state, err
	}
	if rows[0].Version > 0 {
		err = msgpack.Unmarshal(rows[0].Value, &state)
	}
	return rows[0], state, err
}
