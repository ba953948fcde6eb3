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

	// loadSlots is how many weight loads run at a time in the whole fleet; loads
	// take longer while more than two run.
	loadSlots = 2

	tableTimeout = 2 * time.Second
	scanPage     = 500
)

// fenceRow holds the fencing number of the newest holder. Every write of a
// holder checks that the row is still its own, so nothing that an older holder
// sends, however late, changes an intent or a slot.
type fenceRow struct {
	Fence uint64
}

// intent is the last order to an upstream. It is written before the order is
// sent. There is one row for each upstream that ever got an order.
type intent struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation // Of the upstream when the order was sent.
	Order       radishcrank.Order
	Revision    uint64 // Configuration revision that the order derives from.
	Open        bool   // The load may be under way.
}

// slot is one of the fleet's weight loads.
type slot struct {
	Upstream radishcrank.UpstreamID // Empty when free.
}

func slotKey(n int) string { return fmt.Sprintf("%s%d", slotPrefix, n) }

func intentKey(id radishcrank.UpstreamID) string { return intentPrefix + url.PathEscape(string(id)) }

func encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

// errSuperseded says that a newer holder has written its fencing number.
var errSuperseded = errors.New("a newer holder gives orders")

// ledger is the holder's view of the rows. The holder is their only writer, so
// their versions follow from its own writes.
type ledger struct {
	table    radishcrank.TableService
	fence    uint64
	fenceAt  uint64 // Version of the fence row.
	versions map[string]uint64
	slots    [loadSlots]slot
	intents  map[radishcrank.UpstreamID]intent
}

// open makes fence the newest and reads all rows. Older holders can't change them any more.
func open(ctx context.Context, table radishcrank.TableService, fence uint64) (l *ledger, err error) {
	l = &ledger{table: table, fence: fence, versions: make(map[string]uint64), intents: make(map[radishcrank.UpstreamID]intent)}
	if err := l.takeFence(ctx); err != nil {
		return nil, err
	}
	return l, l.load(ctx)
}

func (l *ledger) takeFence(ctx context.Context) error {
	rows, err := l.get(ctx, fenceKey)
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
	case current.Fence > l.fence:
		return errSuperseded
	case current.Fence == l.fence:
		l.fenceAt = rows[0].Version // An earlier write of unknown outcome.
		return nil
	}
	value, err := encode(fenceRow{Fence: l.fence})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	err = l.table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: fenceKey, Version: rows[0].Version}},
		Writes: []radishcrank.Write{{Key: fenceKey, Value: value}},
	})
	l.fenceAt = rows[0].Version + 1
	return err
}

func (l *ledger) get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return l.table.Get(ctx, keys...)
}

// load reads slots and intents anew, as at the start and after a write of unknown outcome.
func (l *ledger) load(ctx context.Context) error {
	keys := make([]string, loadSlots)
	for n := range keys {
		keys[n] = slotKey(n)
	}
	rows, err := l.get(ctx, keys...)
	if err != nil {
		return err
	}
	for n, row := range rows {
		l.slots[n] = slot{}
		l.versions[row.Key] = row.Version
		if row.Version > 0 {
			if err := msgpack.Unmarshal(row.Value, &l.slots[n]); err != nil {
				return err
			}
		}
	}
	return l.loadIntents(ctx)
}

func (l *ledger) loadIntents(ctx context.Context) error {
	for after := ""; ; {
		scan, cancel := context.WithTimeout(ctx, tableTimeout)
		rows, err := l.table.Scan(scan, intentPrefix, after, scanPage)
		cancel()
		if err != nil {
			return err
		}
		for _, row := range rows {
			var in intent
			if err := msgpack.Unmarshal(row.Value, &in); err != nil {
				return fmt.Errorf("row %s: %w", row.Key, err)
			}
			l.versions[row.Key], l.intents[in.Upstream] = row.Version, in
			after = row.Key
		}
		if len(rows) < scanPage {
			return nil
		}
	}
}

// put writes a slot and an intent together. After any error the caller must
// load the ledger anew before it relies on it.
func (l *ledger) put(ctx context.Context, n int, s slot, in intent) error {
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
	err = l.table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{
			{Key: fenceKey, Version: l.fenceAt},
			{Key: sk, Version: l.versions[sk]},
			{Key: ik, Version: l.versions[ik]},
		},
		Writes: []radishcrank.Write{{Key: sk, Value: slotValue}, {Key: ik, Value: intentValue}},
	})
	if err != nil {
		return err
	}
	l.versions[sk]++
	l.versions[ik]++
	l.slots[n], l.intents[in.Upstream] = s, in
	return nil
}

// checkFence returns errSuperseded if a newer holder has begun.
func (l *ledger) checkFence(ctx context.Context) error {
	rows, err := l.get(ctx, fenceKey)
	if err != nil {
		return err
	}
	if rows[0].Version != l.fenceAt {
		return errSuperseded
	}
	return nil
}
