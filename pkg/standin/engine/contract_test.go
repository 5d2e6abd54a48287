package enginestandin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/prefix"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fastConfig describes an engine whose steps, reports and loads take almost no time.
func fastConfig() Config {
	return Config{
		ID:                     "e1",
		Model:                  "m",
		WeightsVersion:         "v1",
		CacheBlocks:            8,
		BlockTokens:            100,
		StepTime:               time.Microsecond,
		DecodeTime:             time.Nanosecond,
		PrefillTokensPerSecond: 1e12,
		EventDelay:             time.Nanosecond,
		EventInterval:          time.Nanosecond,
		LoadLag:                time.Nanosecond,
		Loader:                 NewLoader(1, time.Microsecond),
	}
}

// startEngine returns a listening engine and a client for it.
func startEngine(t *testing.T, config Config) (*Engine, *engine.Client) {
	t.Helper()
	e := New(config)
	require.NoError(t, e.Start())
	client := newHTTPClient()
	t.Cleanup(func() {
		client.CloseIdleConnections()
		require.NoError(t, e.Close())
	})
	return e, engine.NewClient(e.URL(), client)
}

// newRequest returns a request with three pieces of 100 tokens. The first two are the same in all
// requests; the third repeats tail, a single letter, which is also its routing key.
func newRequest(id, tail string) *engine.Request {
	texts := []string{strings.Repeat("s", 100), strings.Repeat("t", 100), strings.Repeat(tail, 100)}
	r := &engine.Request{ID: id, Workspace: "w", Model: "m", WeightsVersion: "v1", MaxTokens: 60, Seed: 7}
	r.Prompt = strings.Join(texts, "")
	for i := range texts {
		r.Pieces = append(r.Pieces, engine.Piece{Key: uint64(i + 1), Tokens: 100, Bytes: 100})
	}
	r.Pieces[2].Key = uint64(tail[0])
	return r
}

// readAll reads a stream to its end.
func readAll(s engine.Stream) ([]engine.Chunk, error) {
	defer func() { _ = s.Close() }()
	var chunks []engine.Chunk
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return chunks, nil
		}
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, c)
	}
}

func generate(t *testing.T, c *engine.Client, r *engine.Request) []engine.Chunk {
	t.Helper()
	s, err := c.Generate(t.Context(), r)
	require.NoError(t, err)
	chunks, err := readAll(s)
	require.NoError(t, err)
	return chunks
}

func joinText(chunks []engine.Chunk) string {
	var b strings.Builder
	for _, c := range chunks {
		b.WriteString(c.Text)
	}
	return b.String()
}

// Guards against incomplete completions, wrong sequence numbers and wrong counts of reused tokens.
func TestGenerateStreamsCompleteResponse(t *testing.T) {
	_, c := startEngine(t, fastConfig())
	r := newRequest("r1", "a")
	chunks := generate(t, c, r)
	assert.Equal(t, Completion(r.Prompt, r.Seed, r.MaxTokens), joinText(chunks))
	tokens := 0
	for i, chunk := range chunks {
		assert.Equal(t, i, chunk.Seq)
		assert.Equal(t, "r1", chunk.RequestID)
		assert.Equal(t, i == len(chunks)-1, chunk.Final)
		tokens += chunk.Tokens
	}
	assert.Len(t, joinText(chunks), tokens*tokenBytes)
	assert.Equal(t, 300, chunks[0].ComputedTokens)
	assert.NotEmpty(t, chunks[0].Incarnation)

	again := generate(t, c, newRequest("r2", "b"))
	assert.Equal(t, 200, again[0].ReusedTokens)
	assert.Equal(t, 100, again[0].ComputedTokens)
}

// Guards against a client that hides a stream fault or reports it with the wrong error kind.
func TestStreamFaults(t *testing.T) {
	expected := Completion(newRequest("r", "a").Prompt, 7, 60)
	cases := []struct {
		name   string
		faults Faults
		check  func(t *testing.T, chunks []engine.Chunk, err error)
	}{
		{"cut", Faults{CutAfter: 2}, func(t *testing.T, chunks []engine.Chunk, err error) {
			assert.True(t, fault.Is(err, fault.StreamBroken), "%v", err)
			assert.Len(t, chunks, 2)
		}},
		{"early end without marker", Faults{EndAfter: 2}, func(t *testing.T, chunks []engine.Chunk, err error) {
			assert.True(t, fault.Is(err, fault.StreamBroken), "%v", err)
			assert.Len(t, chunks, 2)
		}},
		{"chunk of another request", Faults{ForeignAfter: 1}, func(t *testing.T, chunks []engine.Chunk, err error) {
			require.NoError(t, err)
			assert.Equal(t, foreignRequestID, chunks[1].RequestID)
		}},
		{"repeated chunk", Faults{RepeatAfter: 1}, func(t *testing.T, chunks []engine.Chunk, err error) {
			require.NoError(t, err)
			assert.Equal(t, 0, chunks[1].Seq)
		}},
		{"gap", Faults{GapAt: 2}, func(t *testing.T, chunks []engine.Chunk, err error) {
			require.NoError(t, err)
			assert.Equal(t, 2, chunks[1].Seq)
		}},
		{"slow", Faults{SlowFactor: 1.5}, func(t *testing.T, chunks []engine.Chunk, err error) {
			require.NoError(t, err)
			assert.Equal(t, expected, joinText(chunks))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, c := startEngine(t, fastConfig())
			e.SetFaults(tc.faults)
			s, err := c.Generate(t.Context(), newRequest("r", "a"))
			require.NoError(t, err)
			chunks, err := readAll(s)
			tc.check(t, chunks, err)
		})
	}
}

// Guards against gaps or duplicates when a cut stream continues on the same or another engine.
func TestResumeAndReplayContinueWithoutGaps(t *testing.T) {
	cases := []struct {
		name      string
		elsewhere bool
	}{{"resume on the same engine", false}, {"replay on another engine", true}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, c := startEngine(t, fastConfig())
			e.SetFaults(Faults{CutAfter: 3, MaxFaultyStreams: 1})
			r := newRequest("r", "a")
			s, err := c.Generate(t.Context(), r)
			require.NoError(t, err)
			before, err := readAll(s)
			require.True(t, fault.Is(err, fault.StreamBroken))
			if tc.elsewhere {
				_, c = startEngine(t, fastConfig())
			}
			r.ResumeOffset = len(before)
			r.Replay = joinText(before)
			r.ReplayTokens = len(r.Replay) / tokenBytes
			after := generate(t, c, r)
			assert.Equal(t, len(before), after[0].Seq)
			assert.Equal(t, Completion(r.Prompt, r.Seed, r.MaxTokens), joinText(before)+joinText(after))
		})
	}
}

// Guards against refusals with the wrong error kind or the wrong report of whether the request ran.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *engine.Request)
		faults Faults
		kind   fault.Kind
	}{
		{"other incarnation", func(r *engine.Request) { r.Incarnation = "old" }, Faults{}, fault.EngineRefused},
		{"other weights", func(r *engine.Request) { r.WeightsVersion = "v0" }, Faults{}, fault.EngineRefused},
		{"other model", func(r *engine.Request) { r.Model = "other" }, Faults{}, fault.EngineRefused},
		{"unknown adapter", func(r *engine.Request) { r.Adapter = "x" }, Faults{}, fault.EngineRefused},
		{"refusing", func(*engine.Request) {}, Faults{Refuse: true}, fault.Overloaded},
		{"failing weights", func(*engine.Request) {}, Faults{BadVersion: "v1"}, fault.EngineFailed},
		{"empty prompt", func(r *engine.Request) { r.Prompt, r.Pieces = "", nil }, Faults{}, fault.BadRequest},
		{"pieces beyond the prompt", func(r *engine.Request) { r.Pieces[0].Bytes = 1000 }, Faults{}, fault.BadRequest},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, c := startEngine(t, fastConfig())
			e.SetFaults(tc.faults)
			r := newRequest("r", "a")
			tc.change(r)
			_, err := c.Generate(t.Context(), r)
			require.Error(t, err)
			assert.Equal(t, tc.kind, fault.As(err).Kind)
			want := fault.NotRun
			if tc.kind == fault.EngineFailed {
				want = fault.Unknown
			}
			assert.Equal(t, want, fault.As(err).Work)
			assert.Empty(t, e.Executions("r"))
		})
	}
}

// Guards against the report "not run" for a request that may have run, because the connection was
// lost after it was sent, and against "unknown" for a request that was never sent.
func TestUnreachableEngineReportsWork(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	e.CrashFor(time.Hour)
	_, err := c.Generate(t.Context(), newRequest("r", "a"))
	assert.Equal(t, fault.Unknown, fault.As(err).Work)
	require.NoError(t, e.Close())
	_, err = c.Generate(t.Context(), newRequest("r", "a"))
	assert.Equal(t, fault.NotRun, fault.As(err).Work)
}

// slowConfig describes an engine with steps of one hour, on which a request runs until it is cancelled.
func slowConfig() Config {
	config := fastConfig()
	config.StepTime = time.Hour
	return config
}

// Guards against work that continues after a cancel call or after the client has disconnected.
func TestCancel(t *testing.T) {
	for _, byCall := range []bool{true, false} {
		e, c := startEngine(t, slowConfig())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, err := c.Generate(ctx, newRequest("r", "a"))
		require.NoError(t, err)
		if byCall {
			require.NoError(t, c.Cancel(t.Context(), "r"))
			require.NoError(t, c.Cancel(t.Context(), "r"))
		} else {
			cancel()
		}
		_, err = readAll(s)
		assert.Error(t, err)
		for e.Executions("r")[0].Outcome == outcomeRunning {
			// The engine detects the closed connection with a delay.
			_, err := c.State(t.Context())
			require.NoError(t, err)
		}
		assert.Equal(t, "cancelled", e.Executions("r")[0].Outcome)
	}
}

// Guards against a cache or an incarnation that survives a crash.
func TestCrashClearsCacheAndChangesIncarnation(t *testing.T) {
	e, c := startEngine(t, fastConfig())
	generate(t, c, newRequest("r1", "a"))
	before, err := c.State(t.Context())
	require.NoError(t, err)
	e.Crash()
	after := eventually(t, func() (engine.State, error) { return c.State(t.Context()) })
	assert.NotEqual(t, before.Incarnation, after.Incarnation)
	snapshot, err := c.Cache(t.Context())
	require.NoError(t, err)
	assert.Empty(t, snapshot.Keys)
	assert.Zero(t, generate(t, c, newRequest("r2", "a"))[0].ReusedTokens)
}

// eventually repeats a call until it succeeds. The call may fail with EngineFailed while it uses a
// connection that the crash has closed.
func eventually[T any](t *testing.T, call func() (T, error)) T {
	t.Helper()
	for {
		value, err := call()
		if err == nil {
			return value
		}
		require.Equal(t, fault.EngineFailed, fault.As(err).Kind)
	}
}

// Guards against cache hits by routing key: if the keys of two prompts collide, or two workspaces send
// the same prompt, neither may reuse the blocks of the other.
func TestCacheIgnoresRoutingKeys(t *testing.T) {
	_, c := startEngine(t, fastConfig())
	generate(t, c, newRequest("r1", "a"))
	r := newRequest("r2", "b")
	r.Prompt = strings.Repeat("x", 300)
	assert.Zero(t, generate(t, c, r)[0].ReusedTokens)
	other := newRequest("r3", "a")
	other.Workspace = "other"
	assert.Zero(t, generate(t, c, other)[0].ReusedTokens)
}

// Guards against cache events that are missing or out of order.
func TestEventsReportCacheChanges(t *testing.T) {
	config := fastConfig()
	config.CacheBlocks = 3
	e, c := startEngine(t, config)
	generate(t, c, newRequest("r1", "a"))
	generate(t, c, newRequest("r2", "b"))
	batch, err := c.Events(t.Context(), 0)
	require.NoError(t, err)
	var got []engine.CacheEvent
	for _, ev := range batch.Events {
		got = append(got, engine.CacheEvent{Kind: ev.Kind, Key: ev.Key})
	}
	stored, evicted := engine.EventStored, engine.EventEvicted
	assert.Equal(t, []engine.CacheEvent{
		{Kind: stored, Key: 1}, {Kind: stored, Key: 2}, {Kind: stored, Key: 'a'},
		{Kind: evicted, Key: 'a'}, {Kind: stored, Key: 'b'},
	}, got)
	assert.Equal(t, uint64(5), batch.Last)

	e.SetFaults(Faults{LostEventShare: 1})
	generate(t, c, newRequest("r3", "c"))
	snapshot, err := c.Cache(t.Context())
	require.NoError(t, err)
	assert.Equal(t, uint64(7), snapshot.Seq)
	assert.ElementsMatch(t, []uint64{1, 2, 'c'}, snapshot.Keys)
}

// Guards against the import of blocks that are corrupted or belong to other weights.
func TestKVTransfer(t *testing.T) {
	_, from := startEngine(t, fastConfig())
	r := newRequest("r1", "a")
	generate(t, from, r)
	salt := prefix.Salt{Workspace: "w", Model: "m", WeightsVersion: "v1"}
	blocks, err := from.Export(t.Context(), engine.ContentKeys(salt, r.Prompt, r.Pieces))
	require.NoError(t, err)
	require.Len(t, blocks.Blocks, 3)

	_, to := startEngine(t, fastConfig())
	require.NoError(t, to.Import(t.Context(), blocks))
	assert.Equal(t, 299, generate(t, to, r)[0].ReusedTokens)

	old := blocks
	old.WeightsVersion = "v0"
	assert.True(t, fault.Is(to.Import(t.Context(), old), fault.EngineRefused))
	blocks.Blocks[0].Data[0]++
	assert.True(t, fault.Is(to.Import(t.Context(), blocks), fault.BadRequest))
}

// Guards against orders of a former lease holder (an outdated fencing token) that take effect, and
// against a cache that survives a change of weights.
func TestOrders(t *testing.T) {
	cases := []struct {
		name   string
		ignore bool
		role   string
	}{{"fencing enforced", false, "decode"}, {"fencing ignored", true, "prefill"}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			config := fastConfig()
			config.IgnoreFencing = tc.ignore
			_, c := startEngine(t, config)
			generate(t, c, newRequest("r1", "a"))
			o := engine.Order{FencingToken: 5, Model: "m", WeightsVersion: "v2", Role: "decode"}
			require.NoError(t, c.Order(t.Context(), o))
			for {
				s, err := c.State(t.Context())
				require.NoError(t, err)
				if s.WeightsVersion == "v2" {
					break
				}
			}
			snapshot, err := c.Cache(t.Context())
			require.NoError(t, err)
			assert.Empty(t, snapshot.Keys)
			err = c.Order(t.Context(), engine.Order{FencingToken: 4, Role: "prefill"})
			assert.Equal(t, !tc.ignore, fault.Is(err, fault.EngineRefused))
			s, err := c.State(t.Context())
			require.NoError(t, err)
			assert.Equal(t, tc.role, s.Role)
		})
	}
}

// newHTTPClient returns a client with its own connection pool, which the test can close.
func newHTTPClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }
