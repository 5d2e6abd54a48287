package backends

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
)

// An engine's weights can go back to an older version: it may restart under its ID, with its count of orders at 0, and
// then carry out an order of before the restart whose precondition holds again. So a lower version counts if the engine
// has stated it later than the higher one. Times are on the clock of clock.Now.

const (
	// confirmInterval is the time after which a version that the engine's listing does not state is checked again. A
	// listing follows a load within a heartbeat interval of the engine and the delay of the store.
	confirmInterval = 4 * time.Second
	// announcedLowerDelay is the time without a response or listing of the engine after which a lower version that the
	// leader announces counts. The leader learns of a load by then.
	announcedLowerDelay = 3 * time.Second
)

// knownVersion is the version of a model's weights that an engine has as far as this node knows.
type knownVersion struct {
	version int
	// at is the time at which the node last learned that the engine has it.
	at time.Time
	// listed is set if a listing has stated it, with a number of the heartbeat.
	listed bool
}

// version returns the version of a model's weights, or 0 if it is not known.
func (m *member) version(model string) int { return m.versions[model].version }

// applyListedVersions takes over the versions in the listing unless a newer listing is known. They replace higher ones
// that an earlier listing stated, but not those of responses, which may be newer than the listing.
func (m *member) applyListedVersions() {
	numbered := m.Heartbeat > 0
	if numbered && m.Heartbeat <= m.newestHeartbeat {
		return
	}
	m.newestHeartbeat = max(m.newestHeartbeat, m.Heartbeat)
	for _, model := range m.Models {
		known := m.versions[model.Name]
		if model.Version >= known.version || numbered && known.listed {
			m.versions[model.Name] = knownVersion{version: model.Version, at: clock.Now(), listed: numbered}
		}
	}
}

// observeVersion records a version that the engine has stated in a response to a request which was sent at sentAt.
func (m *member) observeVersion(model string, version int, sentAt time.Time) {
	known := m.versions[model]
	switch {
	case version == known.version:
		known.at = clock.Now()
	case version > known.version || sentAt.After(known.at):
		known = knownVersion{version: version, at: clock.Now()}
	}
	m.versions[model] = known
}

// observeAnnouncedVersion records a version that the leader announced at a time, when it had the listings up to revision.
func (m *member) observeAnnouncedVersion(model string, version int, revision int64, at time.Time) {
	known := m.versions[model]
	if version > known.version || m.Revision <= revision && version > 0 && version < known.version && at.Sub(known.at) >= announcedLowerDelay {
		m.versions[model] = knownVersion{version: version, at: at}
	}
}

// isUnconfirmed reports whether the engine has stated the known version only in responses, and not for confirmInterval.
func (m *member) isUnconfirmed(model string) bool {
	known := m.versions[model]
	return m.Backend.version(model) < known.version && clock.Since(known.at) >= confirmInterval
}

// ObserveVersion records a version of a model's weights that an engine's response has reported. A version that is older
// than the known one counts only if the request was sent later than the node learned of that; sentAt is on the clock of
// clock.Now. Versions of an engine that has restarted since are ignored. started is the Backend.Started of the engine that
// responded, or 0 if it is not known.
func (r *Registry) ObserveVersion(id string, started int64, model string, version int, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil && (started == 0 || m.Started == 0 || started == m.Started) {
		m.observeVersion(model, version, sentAt)
	}
}

// ApplyVersion records the version of a model's weights that the leader announced for an engine, when it had the listings
// up to revision. It is ignored if the engine has restarted since.
func (r *Registry) ApplyVersion(id, model string, version int, revision int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil && m.generationRevision <= revision {
		m.observeAnnouncedVersion(model, version, revision, clock.Now())
	}
}

// ObservedVersions returns, by engine ID, the versions of weights that neither the listings nor State have:
// those of further models.
func (r *Registry) ObservedVersions() map[string][]Model {
	r.mu.Lock()
	defer r.mu.Unlock()
	observed := map[string][]Model{}
	for id, m := range r.members {
		for model, known := range m.versions {
			if known.version > m.Backend.version(model) && (len(m.Models) == 0 || model != m.Models[0].Name) {
				observed[id] = append(observed[id], Model{Name: model, Version: known.version})
			}
		}
	}
	return observed
}
