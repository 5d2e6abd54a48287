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

// fast is an engine whose steps take next to no time, so that tests wait for results only.
func fast() Config {
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

// start returns a listening engine and its adapter.
func start(t *testing.T, config Config) (*Engine, *engine.Client) {
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

// request returns a request of three pieces of 100 tokens; the last one depends on tail.
func request(id, tail string) *engine.Request {
	texts := []string{strings.Repeat("s", 100), strings.Repeat("t", 100), strings.Repeat(tail, 100)}
	r := &engine.Request{ID: id, Workspace: "w", Model: "m", WeightsVersion: "v1", MaxTokens: 60, Seed: 7}
	r.Prompt = strings.Join(texts, "")
	for i := range texts {
		r.Pieces = append(r.Pieces, engine.Piece{Key: uint64(i + 1), Tokens: 100, Bytes: 100})
	}
	r.Pieces[2].Key = uint64(tail[0])
	return r
}

// collect reads a stream to its end.
func collect(s engine.Stream) ([]engine.Chunk, error) {
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
	chunks, err := collect(s)
	require.NoError(t, err)
	return chunks
}

func text(chunks []engine.Chunk) string {
	var b strings.Builder
	for _, c := range chunks {
		b.WriteString(c.Text)
	}
	return b.String()
}

// Guards against incomplete or misnumbered answers and against wrong figures of reuse.
func TestGenerateStreamsWholeAnswer(t *testing.T) {
	_, c := start(t, fast())
	r := request("r1", "a")
	chunks := generate(t, c, r)
	assert.Equal(t, Answer(r.Prompt, r.Seed, r.MaxTokens), text(chunks))
	tokens := 0
	for i, chunk := range chunks {
		assert.Equal(t, i, chunk.Seq)
		assert.Equal(t, "r1", chunk.RequestID)
		assert.Equal(t, i == len(chunks)-1, chunk.Final)
		tokens += chunk.Tokens
	}
	assert.Len(t, text(chunks), tokens*tokenBytes)
	assert.Equal(t, 300, chunks[0].ComputedTokens)
	assert.NotEmpty(t, chunks[0].Incarnation)

	again := generate(t, c, request("r2", "b"))
	assert.Equal(t, 200, again[0].ReusedTokens)
	assert.Equal(t, 100, again[0].ComputedTokens)
}

// Guards against streams whose faults the adapter hides or mistypes.
func TestStreamFaults(t *testing.T) {
	whole := Answer(request("r", "a").Prompt, 7, 60)
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
			assert.Equal(t, foreignID, chunks[1].RequestID)
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
			assert.Equal(t, whole, text(chunks))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, c := start(t, fast())
			e.SetFaults(tc.faults)
			s, err := c.Generate(t.Context(), request("r", "a"))
			require.NoError(t, err)
			chunks, err := collect(s)
			tc.check(t, chunks, err)
		})
	}
}

// Guards against gaps or repeats when a cut answer goes on, on the same engine or elsewhere.
func TestResumeAndReplayContinueExactly(t *testing.T) {
	cases := []struct {
		name      string
		elsewhere bool
	}{{"resume on the same engine", false}, {"replay on another engine", true}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, c := start(t, fast())
			e.SetFaults(Faults{CutAfter: 3, Streams: 1})
			r := request("r", "a")
			s, err := c.Generate(t.Context(), r)
			require.NoError(t, err)
			before, err := collect(s)
			require.True(t, fault.Is(err, fault.StreamBroken))
			if tc.elsewhere {
				_, c = start(t, fast())
			}
			r.ResumeOffset = len(before)
			r.Replay = text(before)
			r.ReplayTokens = len(r.Replay) / tokenBytes
			after := generate(t, c, r)
			assert.Equal(t, len(before), after[0].Seq)
			assert.Equal(t, Answer(r.Prompt, r.Seed, r.MaxTokens), text(before)+text(after))
		})
	}
}

// Guards against refusals whose kind or "not run" is wrong.
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
			e, c := start(t, fast())
			e.SetFaults(tc.faults)
			r := request("r", "a")
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

// Guards against "not run" for a request that a lost connection leaves in doubt, and against
// "unknown" for one that never left.
func TestUnreachableEngineTellsWork(t *testing.T) {
	e, c := start(t, fast())
	e.CrashFor(time.Hour)
	_, err := c.Generate(t.Context(), request("r", "a"))
	assert.Equal(t, fault.Unknown, fault.As(err).Work)
	require.NoError(t, e.Close())
	_, err = c.Generate(t.Context(), request("r", "a"))
	assert.Equal(t, fault.NotRun, fault.As(err).Work)
}

// slow is an engine on which a request runs until the test ends it.
func slow() Config {
	config := fast()
	config.StepTime = time.Hour
	return config
}

// Guards against work that goes on after a cancel call or a closed connection.
func TestCancel(t *testing.T) {
	for _, byCall := range []bool{true, false} {
		e, c := start(t, slow())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s, err := c.Generate(ctx, request("r", "a"))
		require.NoError(t, err)
		if byCall {
			require.NoError(t, c.Cancel(t.Context(), "r"))
			require.NoError(t, c.Cancel(t.Context(), "r"))
		} else {
			cancel()
		}
		_, err = collect(s)
		assert.Error(t, err)
		for e.Executions("r")[0].Outcome == outcomeRunning {
			// The engine sees the closed connection a little later.
			_, err := c.State(t.Context())
			require.NoError(t, err)
		}
		assert.Equal(t, "cancelled", e.Executions("r")[0].Outcome)
	}
}

// Guards against state that survives a crash.
func TestCrashReturnsEmptyWithNewIncarnation(t *testing.T) {
	e, c := start(t, fast())
	generate(t, c, request("r1", "a"))
	before, err := c.State(t.Context())
	require.NoError(t, err)
	e.Crash()
	after := eventually(t, func() (engine.State, error) { return c.State(t.Context()) })
	assert.NotEqual(t, before.Incarnation, after.Incarnation)
	snapshot, err := c.Cache(t.Context())
	require.NoError(t, err)
	assert.Empty(t, snapshot.Keys)
	assert.Zero(t, generate(t, c, request("r2", "a"))[0].ReusedTokens)
}

// eventually repeats a call that may fail on a connection that a crash has cut.
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

// Guards against reuse by routing key: a collision must not reuse another prompt's blocks.
func TestCacheIgnoresRoutingKeys(t *testing.T) {
	_, c := start(t, fast())
	generate(t, c, request("r1", "a"))
	r := request("r2", "b")
	r.Prompt = strings.Repeat("x", 300)
	assert.Zero(t, generate(t, c, r)[0].ReusedTokens)
	other := request("r3", "a")
	other.Workspace = "other"
	assert.Zero(t, generate(t, c, other)[0].ReusedTokens)
}

// Guards against events that miss a change or come out of order.
func TestEventsFollowTheCache(t *testing.T) {
	config := fast()
	config.CacheBlocks = 3
	e, c := start(t, config)
	generate(t, c, request("r1", "a"))
	generate(t, c, request("r2", "b"))
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

	e.SetFaults(Faults{LostEvents: 1})
	generate(t, c, request("r3", "c"))
	snapshot, err := c.Cache(t.Context())
	require.NoError(t, err)
	assert.Equal(t, uint64(7), snapshot.Seq)
	assert.ElementsMatch(t, []uint64{1, 2, 'c'}, snapshot.Keys)
}

// Guards against exports that reach an engine with other weights or with changed data.
func TestKVTransfer(t *testing.T) {
	_, from := start(t, fast())
	r := request("r1", "a")
	generate(t, from, r)
	salt := prefix.Salt{Workspace: "w", Model: "m", WeightsVersion: "v1"}
	blocks, err := from.Export(t.Context(), engine.ContentKeys(salt, r.Prompt, r.Pieces))
	require.NoError(t, err)
	require.Len(t, blocks.Blocks, 3)

	_, to := start(t, fast())
	require.NoError(t, to.Import(t.Context(), blocks))
	assert.Equal(t, 299, generate(t, to, r)[0].ReusedTokens)

	old := blocks
	old.WeightsVersion = "v0"
	assert.True(t, fault.Is(to.Import(t.Context(), old), fault.EngineRefused))
	blocks.Blocks[0].Data[0]++
	assert.True(t, fault.Is(to.Import(t.Context(), blocks), fault.BadRequest))
}

// Guards against orders of a former lease holder that take effect, and against a cache that
// survives a change of weights.
func TestOrders(t *testing.T) {
	cases := []struct {
		name   string
		ignore bool
		role   string
	}{{"fencing enforced", false, "decode"}, {"fencing ignored", true, "prefill"}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			config := fast()
			config.IgnoreFencing = tc.ignore
			_, c := start(t, config)
			generate(t, c, request("r1", "a"))
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

// newHTTPClient returns a client with its own connections, which a test can close.
func newHTTPClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }
