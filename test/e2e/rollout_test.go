package e2e

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/localfleet"
)

// engineStates asks the engines themselves.
func engineStates(t *testing.T, f *localfleet.Fleet) []engine.State {
	t.Helper()
	var states []engine.State
	for _, e := range f.Engines {
		s, err := engine.NewClient(e.URL(), nil).State(t.Context())
		require.NoError(t, err)
		states = append(states, s)
	}
	return states
}

// Guards against a rollout that cuts or refuses requests, or that never reaches some engines.
func TestRolloutUnderLoad(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 3)
	load := startCallers(t.Context(), f, 4)
	c := fleetConfig()
	c.Models[0].WeightsVersion = "v2"
	_, err := f.ApplyConfig(t.Context(), c)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		for _, s := range engineStates(t, f) {
			if s.WeightsVersion != "v2" || s.Loading {
				return false
			}
		}
		return true
	}, 2*giveUp, 10*poll)
	load.stop(t)
	for _, s := range engineStates(t, f) {
		assert.Positive(t, s.FencingToken)
	}
}
