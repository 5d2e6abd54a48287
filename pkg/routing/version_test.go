package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
)

// Guards against requests for a version that no engine serves yet during a rollout, and against a canary
// that gets all requests or none.
func TestVersionPickerFollowsEngines(t *testing.T) {
	board := boardWith("a", "b", "c", "d")
	model := &config.Model{Name: "lugha", WeightsVersion: "v2"}
	versions := NewVersionPicker(board, rand.New(rand.NewPCG(1, 2)))
	assert.Equal(t, "v1", versions.Pick(model, nil))

	e, _ := board.Engines.Get("d")
	e.Value.State.WeightsVersion = "v2"
	board.Engines.Put("d", e.Value, blackboard.Evidence{})
	picked := map[string]int{}
	for range 1000 {
		picked[versions.Pick(model, nil)]++
	}
	assert.InDelta(t, 250, picked["v2"], 60)
	assert.Equal(t, 1000, picked["v1"]+picked["v2"])
	assert.Equal(t, "v2", versions.Pick(&config.Model{Name: "unserved", WeightsVersion: "v2"}, nil))
	assert.Equal(t, "v2", versions.Pick(model, map[string]bool{"a": true, "b": true, "c": true}))
}
