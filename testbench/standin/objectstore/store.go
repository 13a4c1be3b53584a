// Package objectstore is a stand-in for the platform's object API: versioned
// objects with conditional writes and watches. Only packages of the testbench
// import it.
package objectstore

import (
	"context"
	"sync"
	"time"

	"hawthornstream/testbench/standin"
)

// RequestCounts holds the number of requests that the store has received, by kind.
// Refused requests count as well.
type RequestCounts struct {
	Reads   int
	Writes  int
	Watches int
}

// Store is one running object store. Its objects are kept in memory.
type Store struct {
	*standin.Server

	mu                 sync.Mutex
	objects            map[string]object
	lastVersion        uint64
	changed            chan struct{}
	counts             RequestCounts
	latency            time.Duration
	down               bool
	silent             bool
	writeAnswersToLose int
}

type object struct {
	version uint64
	value   []byte
}

// Start starts an empty store on a free loopback port.
func Start() (*Store, error) {
	store := &Store{
		objects: make(map[string]object),
		changed: make(chan struct{}),
	}
	server, err := standin.Start(store)
	if err != nil {
		return nil, err
	}
	store.Server = server
	return store, nil
}

// SetLatency sets the time by which each answer is delayed.
func (s *Store) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

// SetDown sets whether the store answers 503 to every request. Either way, it
// makes waiting watches check the state again: they end when the store goes down.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// SetSilent sets whether the store accepts requests without answering or executing
// them.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notifyWatches()
}

// LoseWriteAnswers makes the store reset the connections of the next n successful
// writes after they have taken effect.
func (s *Store) LoseWriteAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeAnswersToLose = n
}

// Counts returns the number of requests so far.
func (s *Store) Counts() RequestCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Names returns the names of all objects in no particular order.
func (s *Store) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects))
	for name := range s.objects {
		names = append(names, name)
	}
	return names
}

// Get returns the value and version of an object; version 0 when it does not
// exist.
func (s *Store) Get(name string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.objects[name]
	return found.value, found.version
}

// Put writes an object unconditionally and returns its new version.
func (s *Store) Put(name string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(name, value)
}

// set writes an object and wakes the watches. The caller holds s.mu.
func (s *Store) set(name string, value []byte) uint64 {
	s.lastVersion++
	s.objects[name] = object{version: s.lastVersion, value: value}
	s.notifyWatches()
	return s.lastVersion
}

// notifyWatches makes the waiting watches check their object again. The caller
// holds s.mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// waitForVersion waits until the object has a version above after, and returns it.
// It returns false when ctx ends or the store is down or silent.
func (s *Store) waitForVersion(ctx context.Context, name string, after uint64) (object, bool) {
	for {
		s.mu.Lock()
		found := s.objects[name]
		changed := s.changed
		unavailable := s.down || s.silent
		s.mu.Unlock()
		if unavailable {
			return object{}, false
		}
		if found.version > after {
			return found, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return object{}, false
		}
	}
}
