package rcinstance

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
)

// methodNews carries what one instance tells the others.
const newsTimeout = 500 * time.Millisecond

// news is one message between instances.
type news struct {
	Engines []rcrollout.News
	Crashes []rcpoison.Record
}

// peers knows the other instances and tells them news.
type peers struct {
	i *Instance

	mu    sync.Mutex
	addrs map[string]netip.AddrPort
	queue []rcrollout.News
	wake  chan struct{}
}

func newPeers(i *Instance) *peers {
	return &peers{i: i, addrs: map[string]netip.AddrPort{}, wake: make(chan struct{}, 1)}
}

// count returns the number of instances, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(6, len(p.addrs)+1)
}

func (p *peers) announce(n rcrollout.News) {
	p.mu.Lock()
	p.queue = append(p.queue, n)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peers) run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
