// Package weights brings the engines to the versions of weights that the operator names. One node
// at a time gives orders, under a lease in the platform's store.
package weights

import (
	"sync"
	"time"
)

const (
	// beginMargin is subtracted from the platform's limit for requests on older weights. It
	// covers the time from a send to the start of the request in the engine's queue.
	beginMargin = 1200 * time.Millisecond
	// beginSlack is left between the last moment to begin and the platform's limit.
	beginSlack = 200 * time.Millisecond
	// keptVersions bounds the remembered versions of a model.
	keptVersions = 64
)

// Wanted holds the versions that the operator has named and since when this node knows them. It is
// safe for concurrent use.
type Wanted struct {
	// limit is the time after which no request may begin on an older version.
	limit time.Duration
	// unseen is the highest age that a version is taken to have when the node learns of it late:
	// the rules excuse a node that was cut off for the rest of the limit.
	unseen time.Duration

	mu     sync.Mutex
	models map[string][]namedVersion
	// changed is closed and replaced when a version is named.
	changed chan struct{}
}

type namedVersion struct {
	version int
	since   time.Time
}

// NewWanted returns an empty set. contact is the time for which the platform's rules excuse a node
// that was out of touch.
func NewWanted(limit, contact time.Duration) *Wanted {
	return &Wanted{limit: limit, unseen: max(0, limit-contact), models: map[string][]namedVersion{}, changed: make(chan struct{})}
}

// Name notes a version that was named at most unseen before now. It reports whether the version is
// newer than all others.
func (w *Wanted) Name(model string, version int, unseen time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	named := w.models[model]
	if len(named) > 0 && named[len(named)-1].version >= version {
		return false
	}
	now = now.Add(-min(unseen, w.unseen))
	if len(named) >= keptVersions {
		named = named[1:]
	}
	w.models[model] = append(named, namedVersion{version: version, since: now})
	close(w.changed)
	w.changed = make(chan struct{})
	return true
}

// DesiredVersions returns the newest version of a model, since when the node knows it, and the lowest version
// that a request may still begin on.
func (w *Wanted) DesiredVersions(model string, now time.Time) (newest int, since time.Time, lowest int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	named := w.models[model]
	if len(named) == 0 {
		return 0, time.Time{}, 0
	}
	for _, n := range named {
		if now.Sub(n.since) >= w.limit-beginMargin {
			lowest = n.version
		}
	}
	last := named[len(named)-1]
	return last.version, last.since, lowest
}

// StartDeadline returns the time before which a request must have begun on a version, or zero while no
// newer version is named.
func (w *Wanted) StartDeadline(model string, version int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.models[model] {
		if n.version > version {
			return n.since.Add(w.limit - beginSlack)
		}
	}
	return time.Time{}
}

// Newest returns the newest version of each model and a channel that is closed when one is added.
func (w *Wanted) Newest() (map[string]int, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := make(map[string]int, len(w.models))
	for m, named := range w.models {
		newest[m] = named[len(named)-1].version
	}
	return newest, w.changed
}
