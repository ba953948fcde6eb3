// Package rcfakeobject implements an in-memory fake of the platform's object store.
package rcfakeobject

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/radishcrank/radishcrank"
)

// Store is an in-memory object store. It implements radishcrank.ObjectStore.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
	reads   int
}

// New returns an empty store.
func New() *Store { return &Store{objects: make(map[string][]byte)} }

// SetDown sets whether all operations fail with ErrUnavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Reads returns the number of Get and List calls served so far.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Put implements radishcrank.ObjectStore.
func (s *Store) Put(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return radishcrank.ErrUnavailable
	}
	s.objects[name] = slices.Clone(data)
	return nil
}

// Get implements radishcrank.ObjectStore.
func (s *Store) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, radishcrank.ErrUnavailable
	}
	s.reads++
	data, ok := s.objects[name]
	if !ok {
		return nil, radishcrank.ErrNotFound
	}
	return slices.Clone(data), nil
}

// List implements radishcrank.ObjectStore.
func (s *Store) List(_ context.Context, prefix string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, radishcrank.ErrUnavailable
	}
	s.reads++
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names, nil
}
