package backends

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/gateway/speed"
)

// Guards against a factor of the process before a restart, and against factors of servers that are no engines.
func TestSpeedFactors(t *testing.T) {
	r := NewRegistry("dc")
	engine := Backend{ID: "e", Service: "s", Address: "a:1", Started: 1, Models: []Model{{Name: "m", Version: 1}}}
	r.Put(engine)
	r.Put(Backend{ID: "plain", Service: "p", Address: "a:2", Started: 1})
	assert.Equal(t, 1.0, r.members["e"].speedFactor)
	key := speed.Key("e", 1)
	assert.Equal(t, map[uint32]string{key: "s"}, r.SpeedServices())
	assert.Equal(t, "e", r.SpeedEngine(key))
	r.SetSpeedFactors(func(uint32) float64 { return 2 })
	assert.Equal(t, 2.0, r.members["e"].speedFactor)
	assert.Equal(t, 1.0, r.members["plain"].speedFactor)
	assert.Equal(t, 1, r.CountSlow())
	engine.Started = 2
	r.Put(engine)
	r.SetSpeedFactor("e", 1, 3)
	assert.Equal(t, 1.0, r.members["e"].speedFactor, "the engine has restarted")
	assert.Empty(t, r.SpeedEngine(key))
	r.SetSpeedFactor("e", 2, 1.2)
	assert.Equal(t, 1.2, r.members["e"].speedFactor)
	assert.Zero(t, r.CountSlow())
}
