package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
)

// Source is the origin of an observation of a backend.
type Source string

// Sources of observations.
const (
	// SourceVMList is the platform's VM list, which lags and may flap.
	SourceVMList Source = "vm_list"
	// SourceBackend is the backend's own announcement.
	SourceBackend Source = "backend"
)

// LeavingDetectorConfig configures a LeavingDetector. Zero values take the defaults stated at each
// field.
type LeavingDetectorConfig struct {
	// ReturnDelay is how long observations must steadily report that a leaving backend stays before
	// it returns. It doubles each time a returned backend leaves again, up to MaxReturnDelay.
	// Defaults 10 s and 2 min.
	ReturnDelay    time.Duration
	MaxReturnDelay time.Duration
	// FlapResetDuration is the time after a return from which on another leave does not count as a
	// flap, so that ReturnDelay starts at its first value again. Default 10 min.
	FlapResetDuration time.Duration
	// MinUsableShare is the share of a pool, rounded up, that the VM list alone cannot remove as
	// long as its backends respond. Default 0.2.
	MinUsableShare float64
	// LivenessTTL is how long a response counts as proof that a backend runs. Default 5 s.
	LivenessTTL time.Duration
}

func (c LeavingDetectorConfig) withDefaults() LeavingDetectorConfig {
	defaults.Set(&c.ReturnDelay, 10*time.Second)
	defaults.Set(&c.MaxReturnDelay, 2*time.Minute)
	defaults.Set(&c.FlapResetDuration, 10*time.Minute)
	defaults.Set(&c.MinUsableShare, 0.2)
	defaults.Set(&c.LivenessTTL, 5*time.Second)
	return c
}

// Evidence states why a backend counts as leaving.
type Evidence struct {
	Source Source
	// Since is the time of the first observation since the backend last counted as staying.
	Since time.Time
	// Last is the time of the latest observation that the backend leaves.
	Last time.Time
}

// LeavingDetector detects which backends are leaving. One observation is enough for a backend to
// count as leaving; a return requires steady observations. It is not safe for concurrent use.
type LeavingDetector struct {
	config   LeavingDetectorConfig
	backends map[string]*backendState
}

type backendState struct {
	// observations holds the latest observation of each source.
	observations map[Source]observation
	leaving      bool
	evidence     Evidence
	// stayingSince and lastStaying are the times of the first and the last of the steady
	// observations that support a return; zero if there are none. Time without observations after
	// lastStaying does not count.
	stayingSince time.Time
	lastStaying  time.Time
	// flaps counts the returns in a row that were followed by a new leave within FlapResetDuration.
	flaps       int
	returnedAt  time.Time
	lastSuccess time.Time
	lastFailure time.Time
}

type observation struct {
	leaving bool
	at      time.Time
}

// NewLeavingDetector returns a detector without observations.
func NewLeavingDetector(config LeavingDetectorConfig) *LeavingDetector {
	return &LeavingDetector{config: config.withDefaults(), backends: map[string]*backendState{}}
}

// Observe records whether a source reports a backend as leaving. observedAt is the time of the
// observation; an observation older than the latest one of its source is ignored.
func (l *LeavingDetector) Observe(observedAt time.Time, id string, source Source, leaving bool) {
	b := l.backend(id)
	if observedAt.Before(b.observations[source].at) {
		return
	}
	b.observations[source] = observation{leaving: leaving, at: observedAt}
	if leaving {
		l.markLeaving(observedAt, b, source)
		return
	}
	if !b.leaving || !b.allStaying() {
		return
	}
	if b.stayingSince.IsZero() {
		b.stayingSince = observedAt
	}
	b.lastStaying = observedAt
}

// RecordResult records whether a request or probe of a backend got a response.
func (l *LeavingDetector) RecordResult(now time.Time, id string, ok bool) {
	b := l.backend(id)
	if ok {
		b.lastSuccess = now
		return
	}
	b.lastFailure = now
}

// Remove discards a backend that is no longer a member.
func (l *LeavingDetector) Remove(id string) { delete(l.backends, id) }

func (l *LeavingDetector) backend(id string) *backendState {
	b := l.backends[id]
	if b == nil {
		b = &backendState{observations: map[Source]observation{}}
		l.backends[id] = b
	}
	return b
}

func (b *backendState) allStaying() bool {
	for _, o := range b.observations {
		if o.leaving {
			return false
		}
	}
	return true
}

func (l *LeavingDetector) markLeaving(observedAt time.Time, b *backendState, source Source) {
	b.stayingSince = time.Time{}
	b.evidence.Last = observedAt
	if b.leaving {
		if source == SourceBackend {
			b.evidence.Source = source
		}
		return
	}
	if !b.returnedAt.IsZero() {
		b.flaps++
		if observedAt.Sub(b.returnedAt) > l.config.FlapResetDuration {
			b.flaps = 0
		}
	}
	b.leaving = true
	b.evidence = Evidence{Source: source, Since: observedAt, Last: observedAt}
}

// IsLeaving reports whether a backend is leaving at now, and on what evidence. If the
// return delay of a leaving backend has passed, the call ends its leaving state.
func (l *LeavingDetector) IsLeaving(now time.Time, id string) (bool, Evidence) {
	b := l.backends[id]
	if b == nil || !b.leaving {
		return false, Evidence{}
	}
	if b.stayingSince.IsZero() || b.lastStaying.Sub(b.stayingSince) < l.returnDelay(b) {
		return true, b.evidence
	}
	b.leaving = false
	b.returnedAt = now
	b.stayingSince = time.Time{}
	return false, Evidence{}
}

func (l *LeavingDetector) returnDelay(b *backendState) time.Duration {
	return min(l.config.ReturnDelay<<min(b.flaps, 16), l.config.MaxReturnDelay)
}

// Usable returns the members of a pool that may get new requests, sorted by id. If the VM list
// removes so many that fewer than MinUsableShare are left, the list is ignored for the backends
// that responded most recently. A leaving backend that announced it itself, or that does not
// respond, is never included.
func (l *LeavingDetector) Usable(now time.Time, ids []string) []string {
	usable := make([]string, 0, len(ids))
	var suspect []string
	for _, id := range ids {
		leaving, evidence := l.IsLeaving(now, id)
		switch {
		case !leaving:
			usable = append(usable, id)
		case evidence.Source == SourceVMList && l.alive(now, id):
			suspect = append(suspect, id)
		}
	}
	missing := int(math.Ceil(float64(len(ids))*l.config.MinUsableShare)) - len(usable)
	if missing > 0 {
		slices.SortFunc(suspect, l.compareByLastSuccess)
		usable = append(usable, suspect[:min(missing, len(suspect))]...)
	}
	slices.Sort(usable)
	return usable
}

// alive reports whether the latest result of the backend is a response within LivenessTTL.
func (l *LeavingDetector) alive(now time.Time, id string) bool {
	b := l.backends[id]
	return now.Sub(b.lastSuccess) <= l.config.LivenessTTL && !b.lastFailure.After(b.lastSuccess)
}

func (l *LeavingDetector) compareByLastSuccess(a, b string) int {
	if c := l.backends[b].lastSuccess.Compare(l.backends[a].lastSuccess); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}
