// Package weights rolls out the weight versions that the operator sets. One node at a time, the leader,
// orders engines to load weights. The leader is elected by a lease in the platform's store.
package weights

import (
	"sync"
	"time"
)

const (
	// startMargin is the time before the platform's limit for starting requests on older weights from which
	// no more are sent. It allows for the time from sending a request until the engine starts it.
	startMargin = 1200 * time.Millisecond
	// startDeadlineMargin is the time between the deadline for starting a request and the platform's limit.
	startDeadlineMargin = 200 * time.Millisecond
	// maxVersionsPerModel bounds the history of a model; the oldest version is discarded first.
	maxVersionsPerModel = 64
)

// Versions holds the weight versions that the operator has set for each model, with the time from which
// each counts. Its times are on the clock of clock.Now, so that ages count the time for which the VM was suspended. It is
// safe for concurrent use.
type Versions struct {
	// oldVersionLimit is the time after a new version is set from which no request may start on an
	// older one.
	oldVersionLimit time.Duration
	// maxAssumedAge bounds the age that is assumed for a version that the node receives late. It is
	// oldVersionLimit less the time that the platform grants a node after it reconnects.
	maxAssumedAge time.Duration

	mu     sync.Mutex
	models map[string][]desiredVersion
	// changed is closed and replaced when a version is added.
	changed chan struct{}
}

type desiredVersion struct {
	version int
	since   time.Time
}

// NewVersions returns an empty set. oldVersionLimit is the platform's limit for starting requests on an
// older version, reconnectGrace the time that the platform grants a node after it reconnects.
func NewVersions(oldVersionLimit, reconnectGrace time.Duration) *Versions {
	return &Versions{oldVersionLimit: oldVersionLimit, maxAssumedAge: max(0, oldVersionLimit-reconnectGrace), models: map[string][]desiredVersion{}, changed: make(chan struct{})}
}

// Add records a version that was set at most maxAge before now. It counts as set as early as possible:
// maxAge ago, or maxAssumedAge ago if that is less. Add reports whether the version is newer than all
// others of the model; if not, it records nothing.
func (v *Versions) Add(model string, version int, maxAge time.Duration, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := v.models[model]
	if len(versions) > 0 && versions[len(versions)-1].version >= version {
		return false
	}
	since := now.Add(-min(maxAge, v.maxAssumedAge))
	if len(versions) >= maxVersionsPerModel {
		versions = versions[1:]
	}
	v.models[model] = append(versions, desiredVersion{version: version, since: since})
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// DesiredVersions returns the newest version of a model, the time from which it counts, and the lowest version
// that a request may still start on. All are zero if the model has no version.
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

// StartDeadline returns the time by which a request on a version must have started, or the zero time if
// no newer version is set.
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

// Newest returns the newest version of each model and a channel that is closed when a version is added.
func (v *Versions) Newest() (map[string]int, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := make(map[string]int, len(v.models))
	for m, versions := range v.models {
		newest[m] = versions[len(versions)-1].version
	}
	return newest, v.changed
}
