package rollout

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	leasectl "cassiawall.example/cassiawall/pkg/controller/lease"
	"cassiawall.example/cassiawall/pkg/engine"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
	"cassiawall.example/cassiawall/pkg/standin/objects"
	"cassiawall.example/cassiawall/pkg/standin/weights"
)

// handlerTransport calls a handler without a socket, so that the engine client runs with a fake clock.
// A panic of the handler becomes a closed connection.
type handlerTransport struct{ handler http.Handler }

func (t handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = fmt.Errorf("connection closed")
		}
	}()
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// Guards against orders that the engine client or the stand-in engine interprets differently from the
// rollout, and against more concurrent loads than the weight store supports. Runs with engines that
// check fencing tokens and with engines that ignore them; one engine crashes while it loads.
func TestRolloutWithStandInEngines(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignore fencing %v", ignore), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRolloutWithStandIns(t, ignore) })
		})
	}
}

// crashLoadingEngine waits up to 20 s until an engine is loading, crashes that engine for 3 s, and
// reports whether it found one.
func crashLoadingEngine(t *testing.T, pool map[string]*enginestandin.Engine, client func(string) EngineClient) bool {
	for range 200 {
		time.Sleep(100 * time.Millisecond)
		for id, e := range pool {
			if state, err := client(id).State(t.Context()); err == nil && state.Loading {
				e.CrashFor(3 * time.Second)
				return true
			}
		}
	}
	return false
}

func testRolloutWithStandIns(t *testing.T, ignoreFencing bool) {
	const limit, engines = 2, 6
	store, weightStore, board := objects.NewStore(1), weights.New(), blackboard.New()
	weightStore.SetFaults(weights.Faults{FetchesPerSecond: 2})
	loader := enginestandin.NewLoader(limit, enginestandin.LoadTime)
	pool := map[string]*enginestandin.Engine{}
	for i := range engines {
		id := fmt.Sprint("engine-", i)
		pool[id] = enginestandin.New(enginestandin.Config{ID: id, Model: "m", WeightsVersion: "v1", IgnoreFencing: ignoreFencing, Loader: loader,
			FetchWeights: func(ctx context.Context, model, version string) error {
				_, err := weightStore.Fetch(ctx, model, version)
				return err
			}})
		board.Engines.Put(id, blackboard.EngineEntry{ID: id, Address: id}, blackboard.Evidence{})
	}
	client := func(id string) EngineClient {
		return engine.NewClient("http://"+id, &http.Client{Transport: handlerTransport{pool[id].Handler()}})
	}
	board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Config: &config.Config{
		Models:  []config.Model{{Name: "m", WeightsVersion: "v2", MinServing: 3}},
		Rollout: config.Rollout{MaxConcurrentLoads: limit, CanaryEngines: 1, MaxErrorShare: 0.2},
	}}, blackboard.Evidence{})

	ctx, cancel := context.WithCancel(t.Context())
	log := slog.New(slog.DiscardHandler)
	var running sync.WaitGroup
	leases := leasectl.New(leasectl.Options{Node: "n", Board: board, Store: store, Logger: log})
	rollouts := New(Options{Board: board, Store: store, Weights: weightStore, Engines: client, Logger: log})
	running.Go(func() { _ = leases.Run(ctx) })
	running.Go(func() { _ = rollouts.Run(ctx) })

	time.Sleep(8 * time.Second)
	assert.True(t, crashLoadingEngine(t, pool, client))
	time.Sleep(3 * time.Minute)
	for id := range pool {
		state, err := client(id).State(ctx)
		assert.NoError(t, err)
		assert.Equal(t, "v2", state.WeightsVersion, id)
		assert.False(t, state.Loading, id)
		assert.Positive(t, state.FencingToken, id)
	}
	assert.LessOrEqual(t, loader.MaxConcurrent(), limit)
	cancel()
	running.Wait()
	for _, e := range pool {
		_ = e.Close()
	}
}
