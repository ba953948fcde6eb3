package rcboard

// logLength is the number of changes that a table remembers. A reader that is
// further behind reads the whole table.
const logLength = 512

// changeLog remembers the keys that changed last.
type changeLog[K comparable] struct {
	version uint64 // Counts changes.
	known   uint64 // Changes up to this version are not in the log.
	keys    []K    // Ring by version.
}

func (l *changeLog[K]) add(key K) {
	if l.keys == nil {
		l.keys = make([]K, logLength)
	}
	l.keys[l.version%logLength] = key
	l.version++
	if l.version > logLength {
		l.known = max(l.known, l.version-logLength)
	}
}

// addUnknown notes that any row may have changed.
func (l *changeLog[K]) addUnknown() {
	l.version++
	l.known = l.version
}

// ChangesSince calls f for each row that changed after a version, with ok false for
// a removed one, and returns the version that it has read up to. If the changes
// are not known, it calls reset and then f for every row. A row may be named
// more than once. Version 0 is before all changes. The callbacks must not use
// the board.
func (t *Table[K, V]) ChangesSince(version uint64, reset func(), f func(key K, row V, ok bool)) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if version >= t.log.known {
		for v := version; v < t.log.version; v++ {
			key := t.log.keys[v%logLength]
			row, ok := t.rows[key]
			f(key, row, ok)
		}
		return t.log.version
	}
	reset()
	for key, row := range t.rows {
		f(key, row, true)
	}
	return t.log.version
}
