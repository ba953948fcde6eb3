package rcfeed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// confirmTimeout bounds a call that reads the newest changes.
const confirmTimeout = 300 * time.Millisecond

// ErrNotConfirmed reports that a table could not be compared with the store.
var ErrNotConfirmed = errors.New("table is not read yet, or the store was restored")

// position is up to where changes have been passed on.
type position struct{ version, era uint64 }

// confirmation is one call for the newest changes, which several callers share.
type confirmation struct {
	done chan struct{}
	rows []Row
	err  error
}

// confirmations are the calls that run and that wait for it.
type confirmations struct {
	mu            sync.Mutex
	running, next *confirmation
}

// Confirm returns the rows that the store has changed and that have not been passed on, as of
// a time after the call. A follower alone cannot tell how old its copy is: the store may have
// fallen silent, or this process may have stood still.
func (f *Follower) Confirm(ctx context.Context) (rows []Row, err error) {
	f.confirms.mu.Lock()
	c := f.confirms.next
	if c == nil {
		c = &confirmation{done: make(chan struct{})}
		f.confirms.next = c
		if f.confirms.running == nil {
			f.startConfirmLocked()
		}
	}
	f.confirms.mu.Unlock()
	select {
	case <-c.done:
		return c.rows, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *Follower) startConfirmLocked() {
	c := f.confirms.next
	f.confirms.running, f.confirms.next = c, nil
	go func() {
		c.rows, c.err = f.readNewest()
		close(c.done)
		f.confirms.mu.Lock()
		defer f.confirms.mu.Unlock()
		if f.confirms.running = nil; f.confirms.next != nil {
			f.startConfirmLocked()
		}
	}()
}

func (f *Follower) readNewest() (rows []Row, err error) {
	at := f.applied.Load()
	if at == nil {
		return nil, ErrNotConfirmed
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	resp, err := f.cfg.Source.Changes(ctx, f.cfg.Table, at.version, 0, confirmTimeout)
	if err != nil {
		return nil, err
	}
	f.cfg.Eras.Observe(resp.Era)
	if resp.Era != 0 && resp.Era != at.era {
		return nil, ErrNotConfirmed
	}
	return slices.DeleteFunc(resp.Rows, func(r Row) bool { return r.Version != 0 && r.Version <= at.version }), nil
}
