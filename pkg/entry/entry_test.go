package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/routing"
)

const testKey = "key-of-shule"

// fakeEngine responds with its chunks. If hold is not nil, the stream then blocks until hold is closed
// or the request is cancelled; ended receives the cause of the cancellation.
type fakeEngine struct {
	mu       sync.Mutex
	chunks   []engine.Chunk
	hold     chan struct{}
	requests []*engine.Request
	ended    chan error
}

func (f *fakeEngine) Generate(ctx context.Context, r *engine.Request) (engine.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	return &fakeStream{ctx: ctx, engine: f, id: r.ID}, nil
}

func (f *fakeEngine) Cancel(context.Context, string) error { return nil }

type fakeStream struct {
	ctx    context.Context
	engine *fakeEngine
	id     string
	next   int
}

func (s *fakeStream) Next() (engine.Chunk, error) {
	if s.next == len(s.engine.chunks) {
		if s.engine.hold == nil {
			return engine.Chunk{}, io.EOF
		}
		select {
		case <-s.engine.hold:
			return engine.Chunk{}, io.EOF
		case <-s.ctx.Done():
			s.engine.ended <- context.Cause(s.ctx)
			return engine.Chunk{}, s.ctx.Err()
		}
	}
	c := s.engine.chunks[s.next]
	c.RequestID, c.Seq = s.id, s.next
	s.next++
	return c, nil
}

func (s *fakeStream) Close() error { return nil }

func testConfig() *config.Config {
	hash := sha256.Sum256([]byte(testKey))
	return &config.Config{
		Models: []config.Model{{Name: "lugha", WeightsVersion: "v1", PieceTokens: 4, BytesPerToken: 1, MinServing: 1}},
		Workspaces: []config.Workspace{{
			Name: "shule", APIKeyHashes: []string{hex.EncodeToString(hash[:])}, Models: []string{"lugha"}, Weight: 1,
			Prompts: []config.Prompt{{Name: "slots", Levels: []config.Level{{Name: "school", Shared: true}}}},
			Limits:  config.Limits{BodyBytes: 1000, Deadline: config.Duration(time.Minute)}, Supersede: true,
		}},
	}
}

func testServer(t testing.TB, f *fakeEngine) *Server {
	t.Helper()
	board := blackboard.New()
	board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 1, Config: testConfig()}, blackboard.Evidence{})
	board.Engines.Put("e1", blackboard.EngineEntry{ID: "e1", Address: "a1", HasState: true, Reachable: true,
		State: engine.State{Model: "lugha", WeightsVersion: "v1"}}, blackboard.Evidence{})
	router, err := routing.NewBaseline(routing.PolicyRoundRobin, board, routing.NewInflight())
	require.NoError(t, err)
	ids := 0
	s, err := New(Options{Board: board, Router: router, Engines: func(string) engine.Generator { return f },
		Logger: slog.New(slog.DiscardHandler), Now: time.Now, RequestID: func() string { ids++; return fmt.Sprint("r", ids) }})
	require.NoError(t, err)
	return s
}

func post(ctx context.Context, s *Server, key, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Caller-Id", "mother")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func twoChunks() []engine.Chunk {
	return []engine.Chunk{{Text: "haba", Tokens: 1, ReusedTokens: 4, ComputedTokens: 2}, {Text: "ri", Tokens: 1, Final: true, FinishReason: "stop"}}
}

// Guards against responses that clients of the OpenAI API cannot parse.
func TestResponsesFollowOpenAIFormat(t *testing.T) {
	s := testServer(t, &fakeEngine{chunks: twoChunks()})
	chat := `{"model":"lugha","messages":[{"role":"system","content":"timetable"},{"role":"user","content":[{"type":"text","text":"slot?"}]}]%s}`

	complete := post(t.Context(), s, testKey, "/v1/chat/completions", fmt.Sprintf(chat, ""))
	require.Equal(t, http.StatusOK, complete.Code, complete.Body)
	assert.Contains(t, complete.Body.String(), `"message":{"role":"assistant","content":"habari"}`)
	assert.Contains(t, complete.Body.String(), `"cached_tokens":4`)

	streamed := post(t.Context(), s, testKey, "/v1/chat/completions", fmt.Sprintf(chat, `,"stream":true`))
	assert.Equal(t, "text/event-stream", streamed.Header().Get("Content-Type"))
	assert.Contains(t, streamed.Body.String(), `"delta":{"role":"assistant","content":"haba"}`)
	assert.True(t, strings.HasSuffix(streamed.Body.String(), "data: [DONE]\n\n"))

	completion := post(t.Context(), s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?"}`)
	assert.Contains(t, completion.Body.String(), `"text":"habari","finish_reason":"stop"`)
}

// Each case is a request that must be rejected before it reaches an engine. Guards against a response
// that states not_run although an engine ran the request.
func TestInvalidRequestsReachNoEngine(t *testing.T) {
	cases := []struct {
		name, key, body string
		kind            fault.Kind
		status          int
	}{
		{"unknown key", "other", `{}`, fault.Unauthenticated, http.StatusUnauthorized},
		{"no JSON", testKey, `{`, fault.BadRequest, http.StatusBadRequest},
		{"no messages", testKey, `{"model":"lugha"}`, fault.BadRequest, http.StatusBadRequest},
		{"unknown model", testKey, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, fault.NotFound, http.StatusNotFound},
		{"several choices", testKey, `{"model":"lugha","n":2,"messages":[{"role":"user","content":"a"}]}`, fault.BadRequest, http.StatusBadRequest},
		{"image part", testKey, `{"model":"lugha","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, fault.BadRequest, http.StatusBadRequest},
		{"long body", testKey, `{"model":"` + strings.Repeat("l", 2000) + `"}`, fault.BodyTooLarge, http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeEngine{chunks: twoChunks()}
			w := post(t.Context(), testServer(t, f), c.key, "/v1/chat/completions", c.body)
			var body fault.Body
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body), w.Body)
			assert.Equal(t, c.status, w.Code)
			assert.Equal(t, c.kind, body.Error.Kind)
			assert.Equal(t, fault.NotRun, body.Error.Work)
			assert.NotEmpty(t, body.Error.Remedy)
			assert.Empty(t, f.requests)
		})
	}
}

// Guards against a truncated response that a client takes for complete: the end marker must not follow
// the error.
func TestTruncatedStreamEndsWithTypedError(t *testing.T) {
	f := &fakeEngine{chunks: twoChunks()[:1]}
	w := post(t.Context(), testServer(t, f), testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?","stream":true}`)
	assert.NotContains(t, w.Body.String(), "[DONE]")
	assert.Contains(t, w.Body.String(), `"work":"run"`)
}

// Guards against engine requests that continue after the caller has disconnected.
func TestDisconnectCancelsEngineRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{chunks: twoChunks()[:1], hold: make(chan struct{}), ended: make(chan error, 1)}
		s := testServer(t, f)
		ctx, cancel := context.WithCancel(t.Context())
		go post(ctx, s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?","stream":true}`)
		synctest.Wait()
		cancel()
		assert.ErrorIs(t, <-f.ended, context.Canceled)
	})
}

// Guards against two responses to one caller if the workspace declares that a newer request
// supersedes the one in progress.
func TestNewerRequestSupersedesOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{chunks: twoChunks()[:1], hold: make(chan struct{}), ended: make(chan error, 2)}
		s := testServer(t, f)
		first := make(chan *httptest.ResponseRecorder)
		body := `{"model":"lugha","prompt":"slot?","stream":true}`
		go func() { first <- post(t.Context(), s, testKey, "/v1/completions", body) }()
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		go post(ctx, s, testKey, "/v1/completions", body)
		synctest.Wait()
		w := <-first
		assert.True(t, bytes.Contains(w.Body.Bytes(), []byte(`"kind":"superseded"`)), w.Body)
		cancel()
		synctest.Wait()
	})
}

// Guards against streams that end without an error event when the time limit of a shutdown has passed.
func TestStopEndsStreamsWithTypedError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngine{chunks: twoChunks()[:1], hold: make(chan struct{}), ended: make(chan error, 1)}
		s := testServer(t, f)
		response := make(chan *httptest.ResponseRecorder)
		go func() {
			response <- post(t.Context(), s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?","stream":true}`)
		}()
		synctest.Wait()
		s.Drain()
		s.Stop()
		w := <-response
		assert.Contains(t, w.Body.String(), `"kind":"draining"`)
		assert.Equal(t, 0, s.Running())
	})
}

// stalledWriter is a connection whose peer does not read: each write fails at its deadline.
type stalledWriter struct {
	httptest.ResponseRecorder
	deadline time.Time
}

func (w *stalledWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

func (w *stalledWriter) Write([]byte) (int, error) {
	if w.deadline.IsZero() {
		return 0, errors.New("write without a deadline can block forever")
	}
	return 0, os.ErrDeadlineExceeded
}

// Guards against a caller that reads nothing and so occupies an engine and a goroutine: each write has
// a deadline. When it expires, the engine request ends and the cause slow_reader is recorded.
func TestSlowReaderEndsTheRequest(t *testing.T) {
	f := &fakeEngine{chunks: twoChunks()}
	s := testServer(t, f)
	recorded := make(outcomes, 1)
	s.opt.Recorder = recorded
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"lugha","prompt":"slot?","stream":true}`))
	r.Header.Set("Authorization", "Bearer "+testKey)
	s.ServeHTTP(&stalledWriter{ResponseRecorder: *httptest.NewRecorder()}, r)
	require.Len(t, recorded, 1)
	o := <-recorded
	assert.Equal(t, fault.SlowReader, o.Cause)
	assert.False(t, o.Complete)
	assert.Len(t, f.requests, 1, "a request whose caller does not read must not be retried on another engine")
	assert.Zero(t, s.Running())
}
