package rcidem

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	maxGroupWrites = 64        // Row writes that share one transaction.
	maxGroupBytes  = 512 << 10 // Value bytes that share one transaction.

	// A second commit may start while the first is under way, so that one slow
	// commit does not hold up every booking for its whole timeout.
	maxCommitsInFlight = 2
)

// change is one conditional write of a call's row and its open-call entry.
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

// batcher groups concurrent changes into transactions. Changes never rely on
// being applied together: a group is only cheaper than its parts.
type batcher struct {
	ctx     context.Context
	table   radishcrank.TableService
	timeout time.Duration

	mu      sync.Mutex
	queue   []*change
	running int
}

// commit applies one change and returns the error that the table service gives for it.
func (b *batcher) commit(check radishcrank.Check, writes ...radishcrank.Write) error {
	c := &change{check: check, writes: writes, done: make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, c)
	if b.running < maxCommitsInFlight {
		b.running++
		go b.run()
	}
	b.mu.Unlock()
	return <-c.done
}

func (b *batcher) run() {
	for {
		group := b.next()
		if group == nil {
			return
		}
		b.apply(group)
	}
}

// next takes a group off the queue. A second change of the same row stays
// queued, because its check depends on the first.
func (b *batcher) next() []*change {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.running--
		return nil
	}
	var group, rest []*change
	seen := make(map[string]bool)
	bytes := 0
	for _, c := range b.queue {
		full := len(group) == maxGroupWrites || len(group) > 0 && bytes+c.size() > maxGroupBytes
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

// apply commits a group. A conflict wrote nothing, so the halves are tried
// apart until the changes that conflict stand alone.
func (b *batcher) apply(group []*change) {
	err := b.send(group)
	if len(group) > 1 && errors.Is(err, radishcrank.ErrConflict) {
		half := len(group) / 2
		b.apply(group[:half])
		b.apply(group[half:])
		return
	}
	for _, c := range group {
		c.done <- err
	}
}

func (b *batcher) send(group []*change) error {
	ctx, cancel := context.WithTimeout(b.ctx, b.timeout)
	defer cancel()
	var tx radishcrank.Transaction
	for _, c := range group {
		tx.Checks = append(tx.Checks, c.check)
		tx.Writes = append(tx.Writes, c.writes...)
	}
	return b.table.Commit(ctx, tx)
}
