// Package rollout decides which engines load new weights and when. Its state is one object in the
// object API: an engine is ordered to load only after its place has been written there, so a
// successor of a lost controller knows every load that may be under way.
package rollout

import (
	"encoding/json"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/lease"
)

// ObjectName is the name of the state in the object API.
const ObjectName = "rollouts/current"

// Timing of rollouts.
const (
	// LoadTimeout is the time after which a load without result counts as an error. Loading
	// takes about 0.5 s, and several times that when many engines load.
	LoadTimeout = time.Minute
	// CanaryDuration is the time for which the canary engines serve before the others load.
	CanaryDuration = 10 * time.Second
	// MinErrorSample is the number of requests on new weights from which their error share counts.
	MinErrorSample = 20
)

// Phase is the stage of a model's rollout.
type Phase string

// Phases. In Complete and RolledBack, engines that return with other weights are still corrected.
const (
	Canary      Phase = "canary"
	Rolling     Phase = "rolling"
	Complete    Phase = "complete"
	RollingBack Phase = "rolling_back"
	RolledBack  Phase = "rolled_back"
)

// Load is an engine's place among the engines that load at the same time.
type Load struct {
	Model   string `json:"model"`
	Engine  string `json:"engine"`
	Version string `json:"version"`
	// StartedMS is the time at which the place was taken, in Unix milliseconds.
	StartedMS int64 `json:"since_ms"`
	// HoldUntilMS keeps the place after a change of the version, in Unix milliseconds: an order
	// for the old version may still be on its way.
	HoldUntilMS int64 `json:"hold_until_ms,omitempty"`
	// Slow marks a load that has been counted as an error and still runs.
	Slow bool `json:"slow,omitempty"`
}

// Model is the state of one model's rollout.
type Model struct {
	// FencingToken is the number of the lease holder that decides. A new holder writes its own
	// before it sends an order, so that no write of an older holder succeeds after that.
	FencingToken uint64 `json:"fencing"`
	Phase        Phase  `json:"phase"`
	Target       string `json:"target"`
	// Previous is the version to roll back to.
	Previous string `json:"previous"`
	Loaded   int    `json:"loaded"`
	Errors   int    `json:"errors"`
	// CanarySinceMS is the time at which all canary engines served, in Unix milliseconds.
	CanarySinceMS int64 `json:"canary_since_ms,omitempty"`
}

// DesiredVersion is the version that the engines should have.
func (m Model) DesiredVersion() string {
	if m.Phase == RollingBack || m.Phase == RolledBack {
		return m.Previous
	}
	return m.Target
}

// State is the state of all rollouts.
type State struct {
	Models map[string]Model `json:"models"`
	Loads  []Load           `json:"loads"`
}

// Decode parses a stored state.
func Decode(value []byte) (State, error) {
	s := State{}
	if err := json.Unmarshal(value, &s); err != nil {
		return State{}, fault.Wrap(err, fault.Internal, "rollout state does not parse")
	}
	return s, nil
}

// Encode returns the value to store.
func (s State) Encode() ([]byte, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "rollout state does not encode")
	}
	return value, nil
}

// withVersion returns the place with another version.
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

func (s State) loadIndex(engine string) int {
	return slices.IndexFunc(s.Loads, func(l Load) bool { return l.Engine == engine })
}
