// Package blackboard is the typed, versioned, in-process store through which the controllers of a
// node exchange data. Controllers read and write it and never call each other.
package blackboard

import (
	"maps"
	"sync"
	"time"
)

// Evidence is the provenance of an entry: who wrote it, from which source, and when the source was
// observed.
type Evidence struct {
	Writer     string
	Source     string
	ObservedAt time.Time
}

// Age returns the time from the observation until now.
func (e Evidence) Age(now time.Time) time.Duration { return now.Sub(e.ObservedAt) }

// Entry is a value with its evidence and the section's version after it was written.
type Entry[V any] struct {
	Value    V
	Version  uint64
	Evidence Evidence
}

// Section is a table of entries of one type. It is safe for concurrent use.
type Section[K comparable, V any] struct {
	mu          sync.RWMutex
	version     uint64
	entries     map[K]Entry[V]
	subscribers map[chan struct{}]struct{}
}

// NewSection returns an empty section.
func NewSection[K comparable, V any]() *Section[K, V] {
	return &Section[K, V]{entries: map[K]Entry[V]{}, subscribers: map[chan struct{}]struct{}{}}
}

// Put stores v under k and returns the section's new version.
func (s *Section[K, V]) Put(k K, v V, ev Evidence) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(k, v, ev)
}

// Update calls change with the current entry, or the zero Entry and false, and stores the result
// under k if change returns true. It returns what change returned. The section's lock is held during
// the call, so change must not use the section.
func (s *Section[K, V]) Update(k K, ev Evidence, change func(old Entry[V], ok bool) (V, bool)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.entries[k]
	v, changed := change(old, ok)
	if changed {
		s.putLocked(k, v, ev)
	}
	return changed
}

func (s *Section[K, V]) putLocked(k K, v V, ev Evidence) uint64 {
	s.version++
	s.entries[k] = Entry[V]{Value: v, Version: s.version, Evidence: ev}
	s.notifyLocked()
	return s.version
}

// Delete removes k and reports whether it was there.
func (s *Section[K, V]) Delete(k K) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[k]; !ok {
		return false
	}
	s.version++
	delete(s.entries, k)
	s.notifyLocked()
	return true
}

// Get returns the entry of k, or false if there is none.
func (s *Section[K, V]) Get(k K) (Entry[V], bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.entries[k]
	return e, ok
}

// Version returns the number of changes of the section since it was created.
func (s *Section[K, V]) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Len returns the number of entries.
func (s *Section[K, V]) Len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries)
}

// Snapshot returns a copy of all entries.
func (s *Section[K, V]) Snapshot() map[K]Entry[V] {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.entries)
}

// Subscribe returns a channel that receives a signal after changes; several changes may share one
// signal. The caller must call cancel to end the subscription. The channel is never closed.
func (s *Section[K, V]) Subscribe() (changes <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	s.mu.Lock()
	s.subscribers[ch] = struct{}{}
	s.mu.Unlock()
	return ch, func() {
		s.mu.Lock()
		delete(s.subscribers, ch)
		s.mu.Unlock()
	}
}

func (s *Section[K, V]) notifyLocked() {
	for ch := range s.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
