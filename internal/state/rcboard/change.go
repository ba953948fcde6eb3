package rcboard

// changeLogLength is the number of changes that a table keeps in its log. A reader
// that is further behind reads the whole table.
const changeLogLength = 512

// changeLog is a ring buffer of the most recently changed keys.
type changeLog[K comparable] struct {
	version uint64 // Number of changes so far.
	oldest  uint64 // The log holds the changes after this version.
	keys    []K    // Indexed by version modulo changeLogLength.
}

func (l *changeLog[K]) add(key K) {
	if l.keys == nil {
		l.keys = make([]K, changeLogLength)
	}
	l.keys[l.version%changeLogLength] = key
	l.version++
	if l.version > changeLogLength {
		l.oldest = max(l.oldest, l.version-changeLogLength)
	}
}

// invalidate discards the log, because any row may have changed.
func (l *changeLog[K]) invalidate() {
	l.version++
	l.oldest = l.version
}

// ChangesSince calls f for each row that changed after a version, with ok false
// for a removed row, and returns the current version. If the log no longer holds
// all of these changes, it calls reset and then f for every row. f may be called
// more than once for a row. Version 0 precedes all changes. The callbacks must not
// access the board, because the table is locked.
func (t *Table[K, V]) ChangesSince(version uint64, reset func(), f func(key K, row V, ok bool)) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if version >= t.log.oldest {
		for v := version; v < t.log.version; v++ {
			key := t.log.keys[v%changeLogLength]
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
