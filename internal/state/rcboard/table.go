// Package rcboard holds the shared in-memory state of an instance: typed tables
// through which its controllers exchange data (the blackboard pattern). Each table
// has a lock rank; a goroutine that needs several tables at once locks them in
// ascending rank through Tx.
package rcboard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Rank is a position in the lock order.
type Rank int

// Table is a map guarded by a lock with a rank.
type Table[K cmp.Ordered, V any] struct {
	name string
	rank Rank

	mu   sync.RWMutex
	rows map[K]V
	log  changeLog[K]
}

// NewTable returns an empty table.
func NewTable[K cmp.Ordered, V any](name string, rank Rank) *Table[K, V] {
	return &Table[K, V]{name: name, rank: rank, rows: make(map[K]V)}
}

// Name returns the name of the table.
func (t *Table[K, V]) Name() string { return t.name }

// Rank returns the table's position in the lock order.
func (t *Table[K, V]) Rank() Rank { return t.rank }

// Get returns the row of a key.
func (t *Table[K, V]) Get(key K) (row V, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok = t.rows[key]
	return row, ok
}

// Put sets the row of a key.
func (t *Table[K, V]) Put(key K, row V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.add(key)
	t.rows[key] = row
}

// Delete removes the row of a key.
func (t *Table[K, V]) Delete(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.add(key)
	delete(t.rows, key)
}

// Update replaces the row of a key with the result of f, or removes it if keep is
// false. f must not access the board, because the table is locked.
func (t *Table[K, V]) Update(key K, f func(row V, ok bool) (next V, keep bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.log.add(key)
	row, ok := t.rows[key]
	next, keep := f(row, ok)
	if keep {
		t.rows[key] = next
		return
	}
	delete(t.rows, key)
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

// Snapshot returns a copy of all rows.
func (t *Table[K, V]) Snapshot() map[K]V {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return maps.Clone(t.rows)
}

// Values returns all rows in key order.
func (t *Table[K, V]) Values() []V {
	rows := t.Snapshot()
	keys := slices.Sorted(maps.Keys(rows))
	values := make([]V, 0, len(keys))
	for _, k := range keys {
		values = append(values, rows[k])
	}
	return values
}

// Tx is a set of tables that are locked together. The zero value is ready to use.
type Tx struct {
	rank    Rank
	unlocks []func()
}

// Lock locks the table within tx and returns its rows, which are valid until
// End. It panics if tx already holds a table of the same or a higher rank, because
// another goroutine could lock the two in the opposite order and deadlock.
func (t *Table[K, V]) Lock(tx *Tx) map[K]V {
	if len(tx.unlocks) > 0 && t.rank <= tx.rank {
		panic(fmt.Sprintf("rcboard: table %s of rank %d locked after rank %d", t.name, t.rank, tx.rank))
	}
	t.mu.Lock()
	t.log.invalidate()
	tx.rank = t.rank
	tx.unlocks = append(tx.unlocks, t.mu.Unlock)
	return t.rows
}

// End unlocks all tables of the transaction.
func (tx *Tx) End() {
	for _, unlock := range slices.Backward(tx.unlocks) {
		unlock()
	}
	tx.unlocks = nil
}
