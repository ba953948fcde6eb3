package rcguard

import (
	"time"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// Share is memory that belongs to no connection of a listener and counts for its budget.
type Share struct {
	cfg   Config
	share *rcmemory.Share
}

// NewShare returns a share of the budget of a listener.
func NewShare(cfg Config) *Share { return &Share{cfg: cfg, share: cfg.Budget.Share()} }

// Reserve reserves n bytes if they are free or can be taken from stalled connections.
func (s *Share) Reserve(n int64) bool {
	ok, evicted := s.share.Reserve(n, time.Now())
	s.cfg.closeAll(evicted)
	return ok
}

// Take reserves n bytes in any case.
func (s *Share) Take(n int64) { s.cfg.closeAll(s.share.Take(n, time.Now())) }

// Return gives n bytes back.
func (s *Share) Return(n int64) { s.share.Return(n) }

// closeAll closes the connections of evicted holders.
func (c *Config) closeAll(evicted []*rcmemory.Holder) {
	for _, h := range evicted {
		o := h.Owner.(*Conn)
		_ = o.SetLinger(0)    // The kernel must not keep what the client does not read. Fails only on a closed connection.
		_ = o.TCPConn.Close() // Fails only if it is closed. The server notices and closes o.
	}
	c.Metrics.Add(rcmetric.ConnectionsEvicted, int64(len(evicted)))
}
