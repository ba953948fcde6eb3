package rcboard

// Range calls f for each row in no particular order until f returns false. It
// copies no table, so f must be short and must not use the board.
func (t *Table[K, V]) Range(f func(key K, row V) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for k, row := range t.rows {
		if !f(k, row) {
			return
		}
	}
}
