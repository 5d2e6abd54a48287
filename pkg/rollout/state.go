// Package rollout decides which engines load new weights and when: a rolling update with canary engines, a
// limit on engines that load at the same time, a minimum of serving engines, and a rollback after too many
// errors. Its state is one object in the object API and serves as a write-ahead record: an engine is
// ordered to load only after its load slot has been written there, so that the successor of a failed
// lease holder reads there every load that may be in progress.
package rollout

import (
	"encoding/json"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/lease"
)

// ObjectName is the name of the rollout state in the object API.
const ObjectName = "rollouts/current"

// Timing of rollouts.
const (
	// LoadTimeout is the time after which an unfinished load counts as an error. A load takes about
	// 0.5 s, and several times that when many engines load at the same time.
	LoadTimeout = time.Minute
	// CanaryDuration is the time for which the canary engines must serve before the others load.
	CanaryDuration = 10 * time.Second
	// MinErrorSample is the number of requests served with the target version from which their share
	// of errors can cause a rollback.
	MinErrorSample = 20
)

// Phase is the stage of a model's rollout.
type Phase string

// Phases. In Complete and RolledBack, an engine that returns with a different version is still ordered to
// load the desired one.
const (
	Canary      Phase = "canary"
	Rolling     Phase = "rolling"
	Complete    Phase = "complete"
	RollingBack Phase = "rolling_back"
	RolledBack  Phase = "rolled_back"
)

// Load is a load slot in use: the right of one engine to load. The number of slots limits the engines that
// load at the same time.
type Load struct {
	Model   string `json:"model"`
	Engine  string `json:"engine"`
	Version string `json:"version"`
	// StartedMS is the time from which LoadTimeout is measured, in Unix milliseconds: when the slot
	// was assigned, when its version last changed, or when LoadTimeout last expired during a load
	// that is still in progress.
	StartedMS int64 `json:"since_ms"`
	// HoldUntilMS is the time until which the slot is not released after a change of its version, in
	// Unix milliseconds. Until then, an order for the old version may still be in flight.
	HoldUntilMS int64 `json:"hold_until_ms,omitempty"`
	// Slow is set for a load that has been counted as an error and is still in progress.
	Slow bool `json:"slow,omitempty"`
}

// Model is the state of one model's rollout.
type Model struct {
	// FencingToken is the token of the lease holder that wrote the state. A new holder writes its own
	// before it sends an order; from then on the compare-and-swap of an older holder fails.
	FencingToken uint64 `json:"fencing"`
	Phase        Phase  `json:"phase"`
	Target       string `json:"target"`
	// Previous is the version to roll back to.
	Previous string `json:"previous"`
	// Loaded and Errors count the finished and the failed loads since the rollout or the rollback
	// started.
	Loaded int `json:"loaded"`
	Errors int `json:"errors"`
	// CanarySinceMS is the time since which all canary engines have served, in Unix milliseconds, or 0
	// if they do not all serve.
	CanarySinceMS int64 `json:"canary_since_ms,omitempty"`
}

// DesiredVersion returns the version that the engines should have: Target, or Previous during and after
// a rollback.
func (m Model) DesiredVersion() string {
	if m.Phase == RollingBack || m.Phase == RolledBack {
		return m.Previous
	}
	return m.Target
}

// State is the state of all rollouts, as stored.
type State struct {
	Models map[string]Model `json:"models"`
	Loads  []Load           `json:"loads"`
}

// Decode parses a stored state.
func Decode(value []byte) (State, error) {
	s := State{}
	if err := json.Unmarshal(value, &s); err != nil {
		return State{}, fault.Wrap(err, fault.Internal, "cannot parse stored rollout state")
	}
	return s, nil
}

// Encode returns the value to store.
func (s State) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode rollout state")
	}
	return value, nil
}

// withVersion returns the load slot with another version.
func (l Load) withVersion(version string, now time.Time) Load {
	l.Version = version
	l.StartedMS = now.UnixMilli()
	l.HoldUntilMS = now.Add(lease.MaxDeliveryDelay).UnixMilli()
	l.Slow = false
	return l
}

func (s State) clone() State {
	next := State{Models: map[string]Model{}, Loads: slices.Clone(s.Loads)}
	for name, m := range s.Models {
		next.Models[name] = m
	}
	return next
}

// loadIndex returns the index of the engine's load slot in Loads, or -1 if it has none.
func (s State) loadIndex(engine string) int {
	return slices.IndexFunc(s.Loads, func(l Load) bool { return l.Engine == engine })
}
