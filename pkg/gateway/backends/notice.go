package backends

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/quota"
	"cassiawall.example/cassiawall/pkg/retry"
)

// Notice is what a backend server states about itself in the header of a response.
type Notice struct {
	Limit quota.Statement
	// Leaving is set if the server will stop.
	Leaving bool
	// Pause is the time for which the server wants no requests from this node, or 0.
	Pause time.Duration
	// InvalidPause is the text of a pause that cannot be used, or "".
	InvalidPause string
}

// leavingGraceShare is the part of the time for requests to a leaving server in which it is still used if there is no
// other.
const leavingGraceShare = 0.5

// ObserveLimit records what a backend server has stated about its limit in a response to a request that was sent at
// sentAt, and reports whether that has changed. Like the other methods that observe, it ignores servers that have restarted
// since; started is the Backend.Started of the server that responded. Times are on the clock of clock.Now.
func (r *Registry) ObserveLimit(id string, started int64, statement quota.Statement, sentAt, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.respondedLocked(id, started)
	return m != nil && m.limit.Observe(statement, sentAt, now)
}

// ObserveLeaving records that a backend server has stated that it will stop, and reports whether that is new.
func (r *Registry) ObserveLeaving(id string, started int64) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.respondedLocked(id, started)
	if m == nil || !m.statedLeavingAt.IsZero() {
		return false
	}
	m.statedLeavingAt = clock.Now()
	return !m.Leaving
}

// ObservePause records that a backend server wants no requests from this node for a time, and returns the end of the pause.
// It never shortens a pause.
func (r *Registry) ObservePause(id string, started int64, pause time.Duration) (until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.respondedLocked(id, started)
	if m == nil || pause <= 0 {
		return time.Time{}
	}
	if until = clock.Now().Add(retry.SpreadPause(min(pause, retry.MaxPause))); until.After(m.statedPauseUntil) {
		m.statedPauseUntil = until
	}
	return m.statedPauseUntil
}

// respondedLocked returns the member that responded, or nil if it is gone or has restarted since.
func (r *Registry) respondedLocked(id string, started int64) *member {
	if m := r.members[id]; m != nil && m.Started == started {
		return m
	}
	return nil
}

// SetDrainLimit sets the time after a server's statement that it will stop from which it must get no request.
func (r *Registry) SetDrainLimit(limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainLimit = limit
}

// leavingState is whether a server that has stated that it will stop may get requests.
type leavingState int

const (
	// staying servers have not stated it. lastResort ones have stated it a moment ago: they get requests if there is no
	// other server. left ones get none.
	staying leavingState = iota
	lastResort
	left
)

func (r *Registry) statedLeaving(m *member, now time.Time) leavingState {
	switch {
	case m.statedLeavingAt.IsZero():
		return staying
	case now.Sub(m.statedLeavingAt) < time.Duration(leavingGraceShare*float64(r.drainLimit)):
		return lastResort
	}
	return left
}
