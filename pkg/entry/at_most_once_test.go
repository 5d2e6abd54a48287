package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	claimsctl "cassiawall.example/cassiawall/pkg/controller/claims"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/standin/objects"
)

// failingEngine fails its first request with err, or ends the stream after its chunks if err is nil.
// Later requests succeed.
type failingEngine struct {
	fakeEngine
	err error
}

func (f *failingEngine) Generate(ctx context.Context, r *engine.Request) (engine.Stream, error) {
	s, _ := f.fakeEngine.Generate(ctx, r)
	if len(f.requests) > 1 {
		return &fakeStream{ctx: ctx, engine: &fakeEngine{chunks: twoChunks()}, id: r.ID}, nil
	}
	return s, f.err
}

func withGuard(t *testing.T, s *Server) {
	guard := claimsctl.New(claimsctl.Options{Node: "n", Board: s.opt.Board, Store: objects.NewStore(1), Metrics: metrics.New(), Logger: s.opt.Logger})
	t.Cleanup(func() { guard.Close(context.Background()) })
	s.opt.Guard = guard
}

func postOnce(ctx context.Context, s *Server) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"lugha","prompt":"book it"}`))
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set(fault.HeaderIdempotencyKey, "k")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func failureOf(t *testing.T, w *httptest.ResponseRecorder) fault.BodyError {
	t.Helper()
	var body fault.Body
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body), w.Body)
	return body.Error
}

// Each case is a way in which the first attempt at a generation that must run at most once ends. If an
// engine may have run it, neither the router's retry nor the caller's repeat may run it again, and the
// error must state that it may have run. If no engine ran it, a repeat must succeed.
func TestGenerationRunsAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		chunks []engine.Chunk
		err    error
		kind   fault.Kind
		work   fault.Work
		// requests is the number of engine requests for the request and its repeat.
		requests int
		repeat   fault.Kind
	}{
		"complete":                {twoChunks(), nil, "", "", 1, ""},
		"cut after a chunk":       {twoChunks()[:1], nil, fault.StreamBroken, fault.Run, 1, fault.OutcomeUnknown},
		"cut before a chunk":      {nil, nil, fault.StreamBroken, fault.Run, 1, fault.OutcomeUnknown},
		"connection broken":       {nil, fault.New(fault.EngineFailed, "reset").WithWork(fault.Unknown), fault.EngineFailed, fault.Unknown, 1, fault.OutcomeUnknown},
		"engine refused":          {nil, fault.New(fault.EngineRefused, "loading"), fault.EngineRefused, fault.NotRun, 2, ""},
		"engine cannot be dialed": {nil, fault.New(fault.EngineFailed, "refused"), fault.EngineFailed, fault.NotRun, 2, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := &failingEngine{fakeEngine: fakeEngine{chunks: c.chunks}, err: c.err}
			s := testServer(t, &f.fakeEngine)
			s.opt.Engines = func(string) engine.Generator { return f }
			withGuard(t, s)
			first := postOnce(t.Context(), s)
			if c.kind == "" {
				assert.Equal(t, http.StatusOK, first.Code, first.Body)
			} else {
				assert.Equal(t, c.kind, failureOf(t, first).Kind)
				assert.Equal(t, c.work, failureOf(t, first).Work)
			}
			repeat := postOnce(t.Context(), s)
			if c.repeat == "" {
				assert.Equal(t, http.StatusOK, repeat.Code, repeat.Body)
				assert.Contains(t, repeat.Body.String(), `"text":"habari"`)
			} else {
				assert.Equal(t, c.repeat, failureOf(t, repeat).Kind)
				assert.NotEqual(t, fault.NotRun, failureOf(t, repeat).Work)
			}
			assert.Len(t, f.requests, c.requests)
		})
	}
}

// Guards against a missing or untyped error when the time limit of a shutdown has passed. A request
// that runs at most once is detached from the caller's context, so Stop must cancel it separately.
func TestStopEndsAtMostOnceRequestsWithTypedError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{chunks: twoChunks()[:1], hold: make(chan struct{}), ended: make(chan error, 1)}
		s := testServer(t, f)
		s.opt.Logger = slog.New(slog.DiscardHandler)
		withGuard(t, s)
		response := make(chan *httptest.ResponseRecorder)
		go func() { response <- postOnce(t.Context(), s) }()
		synctest.Wait()
		s.Stop()
		failure := failureOf(t, <-response)
		assert.Equal(t, fault.Draining, failure.Kind)
		assert.Equal(t, fault.Run, failure.Work)
	})
}
