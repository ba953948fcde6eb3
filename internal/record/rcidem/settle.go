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

	// maxStoreTries bounds the tries after a conflict, which is rare: it takes
	// another instance that settles the row at the same moment.
	maxStoreTries = 3

	scanPage  = 200
	sweepKey  = "idemsweep"
	sweepPage = 200 // Rows that one sweep step looks at.
)

// settleEntry writes what the table service does not hold yet, until nothing
// is left or callers work on the entry again.
func (r *Runner) settleEntry(e *entry) {
	for wait := settleRetryMin; ; wait = min(2*wait, settleRetryMax) {
		e.sem <- struct{}{}
		r.dropExpired(e)
		if e.stored != nil && r.writeStored(e) {
			e.stored = nil
		}
		if len(e.voids) > 0 && r.settleVoids(e) {
			clear(e.voids)
		}
		done := r.release(e)
		<-e.sem
		if done || !rcwait.Sleep(r.ctx, jittered(wait)) {
			return
		}
	}
}

// dropExpired forgets records older than the retention. Their row may have been
// deleted and inserted anew by then, with a version that no longer tells it apart.
func (r *Runner) dropExpired(e *entry) {
	if time.Since(e.since) > r.cfg.Retention() {
		e.stored = nil
		clear(e.voids)
	}
}

// release forgets an entry with nothing left to do. It returns true if the
// entry needs no more work from the caller, who holds e.sem.
func (r *Runner) release(e *entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.flight != nil {
		return true // The flight settles the entry when it ends.
	}
	if e.stored != nil || len(e.voids) > 0 {
		return false
	}
	if r.entries[e.key] == e {
		delete(r.entries, e.key)
	}
	r.closeIdle()
	return true
}

// writeStored writes the final record of an own attempt and returns true once
// the row needs no more writes.
func (r *Runner) writeStored(e *entry) bool {
	for range maxStoreTries {
		err := r.batch.commit(radishcrank.Check{Key: e.key, Version: e.version},
			radishcrank.Write{Key: e.key, Value: e.stored.encode()},
			radishcrank.Write{Key: openKey(e.stored.Attempt), Delete: true})
		if err == nil {
			return true
		}
		if !errors.Is(err, radishcrank.ErrConflict) {
			return false
		}
		row, rec, err := r.read(e.key)
		if err != nil {
			return false
		}
		// Either the own write landed before, or others settled the row, or it expired.
		if row.Version == 0 || rec.Attempt != e.stored.Attempt || rec.State == stateDone || rec.State == e.stored.State {
			return true
		}
		e.version = row.Version
	}
	return false
}

// settleVoids makes the row say NotRun if it belongs to a void attempt, or if a
// void attempt's write could still take effect: a write of the row, even of the
// same content, raises the version that the late one expects.
func (r *Runner) settleVoids(e *entry) bool {
	row, rec, err := r.read(e.key)
	if err != nil {
		return false
	}
	attempts := slices.Sorted(maps.Keys(e.voids))
	mayLand := slices.ContainsFunc(attempts, func(a string) bool { return e.voids[a].base == row.Version })
	held := (rec.State == stateStarted || rec.State == stateMayHaveRun) && slices.Contains(attempts, rec.Attempt)
	if !held && !mayLand {
		return true
	}
	if row.Version == 0 {
		rec = e.voids[attempts[0]].rec
	}
	writes := []radishcrank.Write{{Key: e.key, Value: rec.withState(stateNotRun).encode()}}
	for _, a := range attempts {
		writes = append(writes, radishcrank.Write{Key: openKey(a), Delete: true})
	}
	return r.batch.commit(radishcrank.Check{Key: e.key, Version: row.Version}, writes...) == nil
}

// settleRow settles a Started row of a dead instance. The holder may only be
// paused and may still send, so a lookup that finds nothing proves nothing.
func (r *Runner) settleRow(v versioned) {
	next := v.rec.withState(stateMayHaveRun)
	if answer, found, _ := r.lookup(v.rec); found {
		next = v.rec.withAnswer(answer)
	}
	// A lost race or an outage leaves the row to the next reader.
	_ = r.batch.commit(radishcrank.Check{Key: v.key, Version: v.version},
		radishcrank.Write{Key: v.key, Value: next.encode()},
		radishcrank.Write{Key: openKey(v.rec.Attempt), Delete: true})
}

// settleFound settles a Started row whose call the upstream knows to have run.
// That is proof whether or not the holder lives, so a repeat does not have to
// wait until a silent holder is known dead, which a lone instance of a zone can
// never tell from being cut off.
func (r *Runner) settleFound(v versioned) bool {
	answer, found, _ := r.lookup(v.rec)
	if !found {
		return false
	}
	return r.batch.commit(radishcrank.Check{Key: v.key, Version: v.version},
		radishcrank.Write{Key: v.key, Value: v.rec.withAnswer(answer).encode()},
		radishcrank.Write{Key: openKey(v.rec.Attempt), Delete: true}) == nil
}

// RunSettlement settles rows of dead instances and deletes expired ones until
// ctx ends. All instances share the work, so each waits longer the more there are.
func (r *Runner) RunSettlement(ctx context.Context) error {
	for {
		instances := max(1, r.cfg.Board.Instances.Len())
		// sleep takes three quarters of its argument on average.
		if !rcwait.Sleep(ctx, jittered(r.cfg.SettleInterval*time.Duration(instances)*4/3)) {
			return ctx.Err()
		}
		r.settleDead(ctx)
		r.sweep(ctx)
	}
}

// settleDead goes through the open calls and settles those of dead instances.
func (r *Runner) settleDead(ctx context.Context) {
	after := ""
	for ctx.Err() == nil {
		rows, err := r.scan(ctx, openPrefix, after, scanPage)
		if err != nil {
			return
		}
		for _, row := range rows {
			after = row.Key
			attempt := strings.TrimPrefix(row.Key, openPrefix)
			if r.isDead(attempt) {
				r.settleOpen(string(row.Value), attempt)
			}
		}
		if len(rows) < scanPage {
			return
		}
	}
}

func (r *Runner) settleOpen(key, attempt string) {
	row, rec, err := r.read(key)
	if err != nil {
		return
	}
	if row.Version > 0 && rec.State == stateStarted && rec.Attempt == attempt {
		r.settleRow(versioned{key: key, rec: rec, version: row.Version})
		return
	}
	_ = r.batch.commit(radishcrank.Check{Key: key, Version: row.Version},
		radishcrank.Write{Key: openKey(attempt), Delete: true})
}

func (r *Runner) scan(ctx context.Context, prefix, after string, limit int) ([]radishcrank.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CommitTimeout)
	defer cancel()
	return r.cfg.Table.Scan(ctx, prefix, after, limit)
}

// sweepState is the row that lets the instances share one pass over all records.
type sweepState struct {
	Cursor string
}

// sweep deletes expired rows among the next page of records. The cursor moves
// in the same transaction, so two instances never delete the same page twice.
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
	// After a conflict or an unknown outcome the next step starts from the cursor in the table.
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
