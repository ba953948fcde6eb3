package rcmemory

import "time"

// Share is a part of a budget that belongs to no connection: to streams that are kept for
// clients that resume them, or to messages of other instances.
type Share struct {
	budget *Budget
}

// Share returns a share that holds nothing.
func (b *Budget) Share() *Share { return &Share{budget: b} }

// Reserve reserves n bytes where they leave the room that only small requests and responses
// may use. The caller closes the owners of what was evicted for them.
func (s *Share) Reserve(n int64, now time.Time) (ok bool, evicted []*Holder) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.cfg.Limit - b.cfg.Limit/smallReserve
	if b.cfg.Limit > 0 && b.used+n > limit {
		evicted = b.evictLocked(nil, b.used+n-limit, 0, now)
		if b.used+n > limit {
			return false, evicted
		}
	}
	b.used += n
	return true, evicted
}

// Take reserves n bytes in any case. Connections are evicted or get less for them.
func (s *Share) Take(n int64, now time.Time) (evicted []*Holder) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.Limit > 0 && b.used+n > b.cfg.Limit {
		evicted = b.evictLocked(nil, b.used+n-b.cfg.Limit, 0, now)
	}
	b.used += n
	return evicted
}

// Return gives n bytes back.
func (s *Share) Return(n int64) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.used -= n
}
