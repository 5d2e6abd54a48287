package backends

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/retry"
)

func plain(id string, started int64) Backend {
	return Backend{ID: id, Service: "s", Address: "127.0.0.1:1", DataCentre: "dc", Started: started}
}

// picked returns the ID of a server that is picked, or "".
func picked(r *Registry) string {
	c, _ := r.Pick(Query{Service: "s"}, time.Now())
	if c == nil {
		return ""
	}
	return c.ID
}

// Guards against requests to a server that has stated that it will stop: beside others, after its time, and again because of
// an older listing. A new start under the same ID ends it.
func TestServerThatStatesItsDepartureGetsNoRequests(t *testing.T) {
	r := NewRegistry("dc")
	r.SetDrainLimit(2 * time.Second)
	r.Put(plain("e", 1))
	r.Put(plain("f", 1))
	assert.True(t, r.ObserveLeaving("e", 1))
	assert.False(t, r.ObserveLeaving("e", 1), "known")
	for range 50 {
		assert.Equal(t, "f", picked(r))
	}
	r.Remove("f")
	assert.Equal(t, "e", picked(r), "for a moment it is used if there is no other")
	r.members["e"].statedLeavingAt = clock.Now().Add(-time.Second)
	assert.Empty(t, picked(r))
	r.Put(plain("e", 1))
	assert.Empty(t, picked(r), "a listing that still says ready")
	assert.True(t, r.States(nil, time.Now())[0].Leaving, "the leader tells the other nodes")
	r.Remove("e")
	r.Put(plain("e", 1))
	assert.Empty(t, picked(r), "a listing of before")
	assert.False(t, r.ObserveLeaving("e", 1))
	r.Put(plain("e", 2))
	assert.Equal(t, "e", picked(r))
	assert.False(t, r.ObserveLeaving("e", 1), "a response of the former start")
	assert.Equal(t, "e", picked(r))
}

// Guards against requests to a server during the pause that it has asked for, even if there is no other, and against a server
// that is lost for good.
func TestServerGetsNoRequestsDuringThePauseThatItAskedFor(t *testing.T) {
	r := NewRegistry("dc")
	r.Put(plain("e", 1))
	until := r.ObservePause("e", 1, 2*time.Second)
	assert.WithinRange(t, until, clock.Now().Add(1900*time.Millisecond), clock.Now().Add(2*time.Second+time.Second))
	assert.Equal(t, until, r.ObservePause("e", 1, time.Millisecond), "a shorter pause does not end the longer one")
	c, counts := r.Pick(Query{Service: "s"}, time.Now())
	require.Nil(t, c)
	assert.Equal(t, 1, counts.Shedding)
	assert.Equal(t, until, counts.SheddingUntil)
	r.members["e"].statedPauseUntil = clock.Now()
	assert.Equal(t, "e", picked(r))
	assert.WithinRange(t, r.ObservePause("e", 1, time.Hour), clock.Now(), clock.Now().Add(retry.MaxPause+time.Second))
	assert.Zero(t, r.ObservePause("e", 7, time.Second), "a response of another start")
	assert.Zero(t, r.ObservePause("other", 1, time.Second))
}

// Guards against requests of all nodes at once at the end of a pause: nodes that a server has paused at the same moment return one after the other.
func TestPausesOfNodesEndAtDifferentTimes(t *testing.T) {
	const nodes, pause = 100, 2 * time.Second
	begin := clock.Now()
	ends := map[int64]int{}
	for range nodes {
		r := NewRegistry("dc")
		r.Put(plain("e", 1))
		ends[int64(r.ObservePause("e", 1, pause).Sub(begin.Add(pause))/(50*time.Millisecond))]++
	}
	for _, n := range ends {
		assert.Less(t, n, nodes/3)
	}
	assert.Greater(t, len(ends), 5)
}
