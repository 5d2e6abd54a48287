package e2e

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/localfleet"
)

// engineStates reads the states from the engines, not from a node's view of them.
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

// Guards against a rollout of a weights version that cuts or refuses requests, or that some engines never load.
func TestRolloutUnderLoad(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 3)
	load := startLoad(t.Context(), f, 4)
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
	}, 2*testTimeout, 10*pollInterval)
	load.stop(t)
	for _, s := range engineStates(t, f) {
		assert.Positive(t, s.FencingToken)
	}
}
