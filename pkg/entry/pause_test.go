package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/routing"
)

const enginePause = 3 * time.Second

// pausedEngine refuses all requests and asks for a pause.
type pausedEngine struct{ fakeEngine }

func (p *pausedEngine) Generate(_ context.Context, r *engine.Request) (engine.Stream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, r)
	return nil, fault.New(fault.Overloaded, "busy").WithRetryAfter(enginePause)
}

// pauseServer returns a server whose engines at a1 and a2 are the given ones, and its board.
func pauseServer(t *testing.T, engines map[string]engine.Generator) (*Server, *blackboard.Board) {
	t.Helper()
	board := blackboard.New()
	board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: testConfig()}, blackboard.Evidence{})
	for address := range engines {
		putEngine(board, address, "i1", "v1")
	}
	next, err := routing.NewBaseline(routing.PolicyRoundRobin, board, routing.NewInflight())
	require.NoError(t, err)
	health := routing.NewHealthRouter(next, board, time.Now, rand.New(rand.NewPCG(1, 2)))
	pauses := routing.NewPauseRouter(health, board, slog.New(slog.DiscardHandler), metrics.New(), time.Now)
	versions := routing.NewVersionPicker(board, rand.New(rand.NewPCG(1, 2)))
	ids := 0
	s, err := New(Options{Board: board, Router: pauses,
		WeightsVersion: func(m *config.Model, failed map[string]bool) string { return versions.Pick(m, pauses.Exclude(failed)) },
		Engines:        func(address string) engine.Generator { return engines[address] },
		Logger:         slog.New(slog.DiscardHandler), Now: time.Now, RequestID: func() string { ids++; return fmt.Sprint("r", ids) }})
	require.NoError(t, err)
	return s, board
}

func putEngine(board *blackboard.Board, address, incarnation, version string) {
	board.Engines.Put("e"+address, blackboard.EngineEntry{ID: "e" + address, Address: address, HasState: true, Reachable: true,
		State: engine.State{Model: "lugha", WeightsVersion: version, Incarnation: incarnation}}, blackboard.Evidence{})
}

func complete(t *testing.T, s *Server) *httptest.ResponseRecorder {
	return post(t.Context(), s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?"}`)
}

// Guards against requests to an engine during the pause that it asked for, and against a pause that never ends.
func TestEngineGetsNoRequestsDuringThePauseThatItAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused, other := &pausedEngine{}, &fakeEngine{chunks: twoChunks()}
		s, _ := pauseServer(t, map[string]engine.Generator{"a1": paused, "a2": other})
		startedAt := time.Now()
		for time.Since(startedAt) < enginePause-100*time.Millisecond {
			require.Equal(t, http.StatusOK, complete(t, s).Code)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Len(t, paused.requests, 1)
		time.Sleep(enginePause)
		for range 20 {
			complete(t, s)
			time.Sleep(200 * time.Millisecond)
		}
		assert.Greater(t, len(paused.requests), 1)
	})
}

// Guards against requests that wait for engines which have all asked for a pause, or that are sent to them.
func TestRequestIsRefusedAtOnceWhileAllEnginesArePaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused := &pausedEngine{}
		s, board := pauseServer(t, map[string]engine.Generator{"a1": paused})
		complete(t, s)
		require.Len(t, paused.requests, 1)
		startedAt := time.Now()
		w := complete(t, s)
		assert.Equal(t, http.StatusServiceUnavailable, w.Code)
		assert.Contains(t, w.Body.String(), `"not_run"`)
		assert.Contains(t, []string{"3", "4", "5"}, w.Header().Get("Retry-After"))
		assert.Zero(t, time.Since(startedAt))
		assert.Len(t, paused.requests, 1)

		putEngine(board, "a1", "i2", "v1")
		complete(t, s)
		assert.Len(t, paused.requests, 2, "a new start of the engine ends its pause")
	})
}

// Guards against refusals in a rollout, while the engines of one version are paused and those of the other are not.
func TestPauseMovesRequestToOtherWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paused, other := &pausedEngine{}, &fakeEngine{chunks: twoChunks()}
		s, board := pauseServer(t, map[string]engine.Generator{"a1": paused, "a2": other})
		putEngine(board, "a2", "i1", "v2")
		for range 20 {
			require.Equal(t, http.StatusOK, complete(t, s).Code)
		}
		assert.Len(t, paused.requests, 1)
		assert.Len(t, other.requests, 20)

		putEngine(board, "a1", "i1", "v3")
		for range 20 {
			complete(t, s)
		}
		assert.Len(t, paused.requests, 2, "loading other weights ends the pause")
	})
}
