package rcorder

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/radishcrank/radishcrank"
)

const (
	fenceKey     = "order/fence"
	slotPrefix   = "order/slot/"
	intentPrefix = "order/intent/"

	// loadSlots is the maximum number of concurrent weight loads in the whole fleet.
	// Loads take longer when more than two run concurrently.
	loadSlots = 2

	tableTimeout = 2 * time.Second
	scanPage     = 500
)

// fenceRow holds the fencing number of the latest lease holder. Every write of a
// holder is conditional on the version of this row that the holder wrote, so no
// write of an earlier holder changes an intent or a slot, however late it arrives.
type fenceRow struct {
	Fence uint64
}

// intent is the last order to an upstream. It is written before the order is sent.
// There is one row for each upstream that has ever been ordered to load weights.
type intent struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation // Incarnation of the upstream when the order was created.
	Order       radishcrank.Order
	Revision    uint64 // Configuration revision that specified the weights.
	Open        bool   // The load may be in progress.
}

// slot is a permit for one weight load in the fleet.
type slot struct {
	Upstream radishcrank.UpstreamID // Empty when free.
}

func slotKey(n int) string { return fmt.Sprintf("%s%d", slotPrefix, n) }

func intentKey(id radishcrank.UpstreamID) string { return intentPrefix + url.PathEscape(string(id)) }

func encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

// errSuperseded is returned after a newer lease holder has written its fencing
// number.
var errSuperseded = errors.New("superseded by a newer lease holder")

// orderStore is the lease holder's copy of the fence, slot and intent rows. The
// holder is their only writer, so their versions follow from its own writes.
type orderStore struct {
	table        radishcrank.TableService
	fence        uint64
	fenceVersion uint64 // Version of the fence row.
	versions     map[string]uint64
	slots        [loadSlots]slot
	intents      map[radishcrank.UpstreamID]intent
}

// openOrderStore writes fence as the current fencing number and reads all rows.
// From then on writes of earlier lease holders fail.
func openOrderStore(ctx context.Context, table radishcrank.TableService, fence uint64) (o *orderStore, err error) {
	o = &orderStore{table: table, fence: fence, versions: make(map[string]uint64), intents: make(map[radishcrank.UpstreamID]intent)}
	if err := o.acquireFence(ctx); err != nil {
		return nil, err
	}
	return o, o.load(ctx)
}

func (o *orderStore) acquireFence(ctx context.Context) error {
	rows, err := o.get(ctx, fenceKey)
	if err != nil {
		return err
	}
	var current fenceRow
	if rows[0].Version > 0 {
		if err := msgpack.Unmarshal(rows[0].Value, &current); err != nil {
			return err
		}
	}
	switch {
	case current.Fence > o.fence:
		return errSuperseded
	case current.Fence == o.fence:
		o.fenceVersion = rows[0].Version // Written by an earlier call with an unknown outcome.
		return nil
	}
	value, err := encode(fenceRow{Fence: o.fence})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err = o.table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: fenceKey, Version: rows[0].Version}},
		Writes: []radishcrank.Write{{Key: fenceKey, Value: value}},
	})
	o.fenceVersion = rows[0].Version + 1
	return err
}

func (o *orderStore) get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return o.table.Get(ctx, keys...)
}

// load reads the slots and intents, at the start of a term and again after a write
// with an unknown outcome.
func (o *orderStore) load(ctx context.Context) error {
	keys := make([]string, loadSlots)
	for n := range keys {
		keys[n] = slotKey(n)
	}
	rows, err := o.get(ctx, keys...)
	if err != nil {
		return err
	}
	for n, row := range rows {
		o.slots[n] = slot{}
		o.versions[row.Key] = row.Version
		if row.Version > 0 {
			if err := msgpack.Unmarshal(row.Value, &o.slots[n]); err != nil {
				return err
			}
		}
	}
	return o.loadIntents(ctx)
}

func (o *orderStore) loadIntents(ctx context.Context) error {
	for after := ""; ; {
		scan, cancel := context.WithTimeout(ctx, tableTimeout)
		rows, err := o.table.Scan(scan, intentPrefix, after, scanPage)
		cancel()
		if err != nil {
			return err
		}
		for _, row := range rows {
			var in intent
			if err := msgpack.Unmarshal(row.Value, &in); err != nil {
				return fmt.Errorf("failed to decode row %s: %w", row.Key, err)
			}
			o.versions[row.Key], o.intents[in.Upstream] = row.Version, in
			after = row.Key
		}
		if len(rows) < scanPage {
			return nil
		}
	}
}

// put writes a slot and an intent in one transaction. After any error the caller
// must call load before it relies on the store again.
func (o *orderStore) put(ctx context.Context, n int, s slot, in intent) error {
	slotValue, err := encode(s)
	if err != nil {
		return err
	}
	intentValue, err := encode(in)
	if err != nil {
		return err
	}
	sk, ik := slotKey(n), intentKey(in.Upstream)
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err = o.table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{
			{Key: fenceKey, Version: o.fenceVersion},
			{Key: sk, Version: o.versions[sk]},
			{Key: ik, Version: o.versions[ik]},
		},
		Writes: []radishcrank.Write{{Key: sk, Value: slotValue}, {Key: ik, Value: intentValue}},
	})
	if err != nil {
		return err
	}
	o.versions[sk]++
	o.versions[ik]++
	o.slots[n], o.intents[in.Upstream] = s, in
	return nil
}

// checkFence returns errSuperseded if a newer lease holder has written its fencing
// number.
func (o *orderStore) checkFence(ctx context.Context) error {
	rows, err := o.get(ctx, fenceKey)
	if err != nil {
		return err
	}
	if rows[0].Version != o.fenceVersion {
		return errSuperseded
	}
	return nil
}
