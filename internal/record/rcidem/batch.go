package rcidem

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	maxGroupChanges = 64        // Maximum number of changes in one transaction.
	maxGroupBytes   = 512 << 10 // Maximum size of keys and values in one transaction.

	// A second commit may start while the first is in flight, so that one slow
	// commit does not delay all calls for its whole timeout.
	maxCommitsInFlight = 2
)

// change is one conditional write of a call's row and of its open-call row.
type change struct {
	check  radishcrank.Check
	writes []radishcrank.Write
	done   chan error
}

func (c *change) size() int {
	n := 0
	for _, w := range c.writes {
		n += len(w.Key) + len(w.Value)
	}
	return n
}

// batcher groups concurrent changes into transactions. Grouping only reduces the
// number of transactions; no change depends on being applied together with others.
type batcher struct {
	ctx     context.Context
	table   radishcrank.TableService
	timeout time.Duration

	mu      sync.Mutex
	queue   []*change
	workers int
}

// commit applies one change and returns the error of the transaction that
// contained it.
func (b *batcher) commit(check radishcrank.Check, writes ...radishcrank.Write) error {
	c := &change{check: check, writes: writes, done: make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, c)
	if b.workers < maxCommitsInFlight {
		b.workers++
		go b.runWorker()
	}
	b.mu.Unlock()
	return <-c.done
}

func (b *batcher) runWorker() {
	for {
		group := b.nextGroup()
		if group == nil {
			return
		}
		b.commitGroup(group)
	}
}

// nextGroup removes a group from the queue, or returns nil and ends the worker if
// the queue is empty. A second change of the same row stays queued, because its
// check depends on the outcome of the first.
func (b *batcher) nextGroup() []*change {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.workers--
		return nil
	}
	var group, rest []*change
	seen := make(map[string]bool)
	bytes := 0
	for _, c := range b.queue {
		full := len(group) == maxGroupChanges || len(group) > 0 && bytes+c.size() > maxGroupBytes
		if full || seen[c.check.Key] {
			rest = append(rest, c)
			continue
		}
		seen[c.check.Key] = true
		bytes += c.size()
		group = append(group, c)
	}
	b.queue = rest
	return group
}

// commitGroup commits a group. A transaction that conflicts writes nothing, so the
// group is bisected until each conflicting change is in a transaction of its own.
func (b *batcher) commitGroup(group []*change) {
	err := b.commitOnce(group)
	if len(group) > 1 && errors.Is(err, radishcrank.ErrConflict) {
		half := len(group) / 2
		b.commitGroup(group[:half])
		b.commitGroup(group[half:])
		return
	}
	for _, c := range group {
		c.done <- err
	}
}

func (b *batcher) commitOnce(group []*change) error {
	ctx, cancel := context.WithTimeout(b.ctx, b.timeout)
	defer cancel()
	var tx radishcrank.Transaction
	for _, c := range group {
		tx.Checks = append(tx.Checks, c.check)
		tx.Writes = append(tx.Writes, c.writes...)
	}
	return b.table.Commit(ctx, tx)
}
