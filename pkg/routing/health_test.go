package routing

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
)

func boardWith(ids ...string) *blackboard.Board {
	board := blackboard.New()
	for _, id := range ids {
		board.Engines.Put(id, blackboard.EngineEntry{ID: id, Address: id, HasState: true, Reachable: true,
			State: engine.State{Model: "lugha", WeightsVersion: "v1", Incarnation: id + "-1"}}, blackboard.Evidence{})
	}
	return board
}

func testRequest() *Request {
	return &Request{RequestID: "r", Workspace: &config.Workspace{Name: "shule"}, Model: &config.Model{Name: "lugha", WeightsVersion: "v1"}}
}

// route sends n requests and returns how many went to each engine. Requests to failing fail.
func route(t *testing.T, r Router, n int, failing string) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		slot, err := r.Route(context.Background(), testRequest())
		require.NoError(t, err)
		id := slot.Target().Engine
		got[id]++
		if id != failing {
			slot.FirstToken(Usage{})
		}
		slot.Done(Outcome{Failed: id == failing})
	}
	return got
}

func newTestHealthRouter(t *testing.T, now *time.Time, ids ...string) *HealthRouter {
	t.Helper()
	board := boardWith(ids...)
	next, err := NewBaseline(PolicyRoundRobin, board, NewInflight())
	require.NoError(t, err)
	return NewHealthRouter(next, board, func() time.Time { *now = now.Add(50 * time.Millisecond); return *now }, rand.New(rand.NewPCG(1, 2)))
}

// Guards against an engine that gets its full share of requests although it fails all of them.
func TestFailingEngineGetsFewRequests(t *testing.T) {
	now := time.Unix(0, 0)
	r := newTestHealthRouter(t, &now, "a", "b", "c", "d")
	route(t, r, 60, "b")
	got := route(t, r, 100, "b")
	assert.Less(t, got["b"], 10)
}

// Guards against requests without an engine when health excludes all engines.
func TestOnlyEngineStaysInUseWhileFailing(t *testing.T) {
	now := time.Unix(0, 0)
	r := newTestHealthRouter(t, &now, "a")
	got := route(t, r, 50, "a")
	assert.Equal(t, 50, got["a"])
}
