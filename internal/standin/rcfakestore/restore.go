package rcfakestore

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxCopyAge is the age of the oldest copy that Restore can bring back.
	maxCopyAge = 15 * time.Second
	// firstRewriteDelay and rewriteInterval time the writes that operators and
	// upstreams repeat after a restore, in the order of the first ones. The last
	// of them come after one heartbeat of the upstreams.
	firstRewriteDelay = 150 * time.Millisecond
	rewriteInterval   = 60 * time.Millisecond
	heartbeat         = 1200 * time.Millisecond
	// lapseDelay is when the entry of an upstream that is gone is removed again.
	lapseDelay = 3 * heartbeat
)

// write is one row that was written or deleted.
type write struct {
	row      Row
	at       time.Time
	external bool // By an operator or an upstream, rather than through the HTTP API.
}

// copyLog holds what is needed to bring back an earlier state of the store.
type copyLog struct {
	base    map[string]Row // All rows before the first of writes.
	baseVer uint64
	writes  []write // Of the last maxCopyAge, in order.
}

func (c *copyLog) add(w write) {
	c.writes = append(c.writes, w)
	for len(c.writes) > 0 && w.at.Sub(c.writes[0].at) > maxCopyAge {
		old := c.writes[0].row
		applyTo(c.base, old)
		c.baseVer, c.writes = old.Ver, c.writes[1:]
	}
}

// at returns the rows and the version as of a point in time, and the later writes.
func (c *copyLog) at(t time.Time) (rows map[string]Row, ver uint64, lost []write) {
	rows, ver = maps.Clone(c.base), c.baseVer
	n, _ := slices.BinarySearchFunc(c.writes, t, func(w write, t time.Time) int {
		return cmp.Or(w.at.Compare(t), -1) // Writes at t itself are part of the copy.
	})
	for _, w := range c.writes[:n] {
		applyTo(rows, w.row)
		ver = w.row.Ver
	}
	return rows, ver, c.writes[n:]
}

func applyTo(rows map[string]Row, r Row) {
	if r.Tombstone {
		delete(rows, rowKey(r))
	} else {
		rows[rowKey(r)] = r
	}
}

// Restore takes the store away for the duration away, with the fault how, or
// Unresponsive if that is None. It comes back from a copy that is older than now by
// age, at most maxCopyAge: what was written through the HTTP API since then is gone,
// versions are given out again, and the era rises by one. What operators and upstreams
// wrote since then is written again shortly after the return. Restore waits until the
// store is back.
func (s *Store) Restore(age, away time.Duration, how Fault) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.mu.Lock()
	copiedAt := time.Now().Add(-age)
	if s.away = how; how == None {
		s.away = Unresponsive
	}
	s.notifyLocked()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, ver, lost := s.copies.at(copiedAt)
	s.rows, s.ver, s.era, s.away = rows, ver, s.era+1, None
	s.discardedVer = min(s.discardedVer, ver)
	s.history = slices.DeleteFunc(s.history, func(r Row) bool { return r.Ver > ver })
	s.copies.writes = s.copies.writes[:len(s.copies.writes)-len(lost)]
	for _, w := range lost {
		if w.external {
			s.unwritten[rowKey(w.row)] = w.row
		}
	}
	s.rewriteLocked()
	s.notifyLocked()
}

// rewriteLocked schedules the lost writes of operators and upstreams. Another restore
// schedules those that are still to be made once more.
func (s *Store) rewriteLocked() {
	era := s.era
	for n, key := range slices.Sorted(maps.Keys(s.unwritten)) {
		delay := min(firstRewriteDelay+time.Duration(n)*rewriteInterval, heartbeat)
		if s.unwritten[key].Tombstone {
			delay = lapseDelay
		}
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if row, ok := s.unwritten[key]; ok && s.era == era {
				s.writeLocked(row, true)
				s.notifyLocked()
			}
		})
	}
}

// RewriteTime is how long after a restore all that operators and live upstreams have
// written is there again.
const RewriteTime = heartbeat

// Era returns the era of the store, which counts the restores.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
