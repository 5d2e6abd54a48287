// Package weights brings the engines to the versions of weights that the operator names. One node
// at a time gives orders, under a lease in the platform's store.
package weights

import (
	"sync"
	"time"
)

const (
	// startMargin is subtracted from the platform's limit for requests on older weights. It
	// covers the time from a send to the start of the request in the engine's queue.
	startMargin = 1200 * time.Millisecond
	// startDeadlineMargin is left between the last moment to begin and the platform's limit.
	startDeadlineMargin = 200 * time.Millisecond
	// maxVersionsPerModel bounds the remembered versions of a model.
	maxVersionsPerModel = 64
)

// Versions holds the versions that the operator has named and since when this node knows them. It is
// safe for concurrent use.
type Versions struct {
	// oldVersionLimit is the time after which no request may begin on an older version.
	oldVersionLimit time.Duration
	// maxAssumedAge is the highest age that a version is taken to have when the node learns of it late:
	// the rules excuse a node that was cut off for the rest of the limit.
	maxAssumedAge time.Duration

	mu     sync.Mutex
	models map[string][]desiredVersion
	// changed is closed and replaced when a version is named.
	changed chan struct{}
}

type desiredVersion struct {
	version int
	since   time.Time
}

// NewVersions returns an empty set. contact is the time for which the platform's rules excuse a node
// that was out of touch.
func NewVersions(oldVersionLimit, reconnectGrace time.Duration) *Versions {
	return &Versions{oldVersionLimit: oldVersionLimit, maxAssumedAge: max(0, oldVersionLimit-reconnectGrace), models: map[string][]desiredVersion{}, changed: make(chan struct{})}
}

// Add notes a version that was named at most unseen before now. It reports whether the version is
// newer than all others.
func (v *Versions) Add(model string, version int, maxAge time.Duration, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := v.models[model]
	if len(versions) > 0 && versions[len(versions)-1].version >= version {
		return false
	}
	now = now.Add(-min(maxAge, v.maxAssumedAge))
	if len(versions) >= maxVersionsPerModel {
		versions = versions[1:]
	}
	v.models[model] = append(versions, desiredVersion{version: version, since: now})
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// DesiredVersions returns the newest version of a model, since when the node knows it, and the lowest version
// that a request may still begin on.
func (v *Versions) DesiredVersions(model string, now time.Time) (newest int, since time.Time, lowest int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := v.models[model]
	if len(versions) == 0 {
		return 0, time.Time{}, 0
	}
	for _, n := range versions {
		if now.Sub(n.since) >= v.oldVersionLimit-startMargin {
			lowest = n.version
		}
	}
	last := versions[len(versions)-1]
	return last.version, last.since, lowest
}

// StartDeadline returns the time before which a request must have begun on a version, or zero while no
// newer version is named.
func (v *Versions) StartDeadline(model string, version int) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range v.models[model] {
		if n.version > version {
			return n.since.Add(v.oldVersionLimit - startDeadlineMargin)
		}
	}
	return time.Time{}
}

// Newest returns the newest version of each model and a channel that is closed when one is added.
func (v *Versions) Newest() (map[string]int, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := make(map[string]int, len(v.models))
	for m, versions := range v.models {
		newest[m] = versions[len(versions)-1].version
	}
	return newest, v.changed
}
