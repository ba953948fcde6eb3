package rcboard

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

// Guards against a copy maintained with ChangesSince that differs from the table.
// Reads at any distance and all ways to write rows are mixed.
func TestChangesKeepCopyEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable[int, int]("T", 1)
		copied, version := map[int]int{}, uint64(0)
		key := rapid.IntRange(0, 9)
		t.Repeat(map[string]func(*rapid.T){
			"put":    func(t *rapid.T) { table.Put(key.Draw(t, "key"), rapid.Int().Draw(t, "row")) },
			"delete": func(t *rapid.T) { table.Delete(key.Draw(t, "key")) },
			"update": func(t *rapid.T) {
				keep := rapid.Bool().Draw(t, "keep")
				table.Update(key.Draw(t, "key"), func(row int, _ bool) (int, bool) { return row + 1, keep })
			},
			"lock": func(t *rapid.T) {
				tx := &Tx{}
				defer tx.End()
				clear(table.Lock(tx))
			},
			"many": func(t *rapid.T) {
				for i := range changeLogLength + 1 {
					table.Put(i%10, i)
				}
			},
			"read": func(t *rapid.T) {
				version = table.ChangesSince(version, func() { clear(copied) }, func(key, row int, ok bool) {
					if copied[key] = row; !ok {
						delete(copied, key)
					}
				})
				require.Equal(t, table.Snapshot(), copied)
			},
		})
	})
}
