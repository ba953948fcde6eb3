// Package rcfakelist implements a fake of the platform's instance list.
package rcfakelist

import (
	"context"
	"sync"

	"github.com/radishcrank/radishcrank"
)

// List is an instance list with settable contents. It implements
// radishcrank.InstanceLister.
type List struct {
	mu      sync.Mutex
	listing radishcrank.Listing
	down    bool
}

// New returns a List with the given contents.
func New(listing radishcrank.Listing) *List { return &List{listing: listing} }

// Set replaces the contents.
func (l *List) Set(listing radishcrank.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listing = listing
}

// SetDown sets whether the List method fails with ErrUnavailable.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// List implements radishcrank.InstanceLister.
func (l *List) List(context.Context) (radishcrank.Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return radishcrank.Listing{}, radishcrank.ErrUnavailable
	}
	return l.listing, nil
}
