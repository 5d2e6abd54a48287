package node

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/controller/engineview"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/placement"
)

// Guards against a node that serves requests before all its engines have reported their state, and so
// computes prefixes again that those engines have cached.
func TestNotReadyBeforeEnginesReported(t *testing.T) {
	placer, err := placement.New(placement.Options{})
	require.NoError(t, err)
	board := blackboard.New()
	n := &Node{board: board, feeder: engineview.New(engineview.Options{Board: board}, placer)}
	c := &config.Config{Models: []config.Model{{Name: "lugha", WeightsVersion: "v1"}}}
	put := func(id string, hasState, reachable bool) {
		board.Engines.Put(id, blackboard.EngineEntry{ID: id, HasState: hasState, Reachable: reachable,
			State: engine.State{Model: "lugha", WeightsVersion: "v1"}}, blackboard.Evidence{})
	}
	assert.False(t, n.allModelsServed(c), "without engines")
	put("a", true, true)
	put("b", false, true)
	assert.False(t, n.allModelsServed(c), "b has not reported")
	put("b", false, false)
	assert.True(t, n.allModelsServed(c), "b is not reachable")
	put("b", true, true)
	assert.True(t, n.allModelsServed(c))
}
