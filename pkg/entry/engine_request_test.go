package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
)

// cutEngine truncates the streams of the first requests after one chunk.
type cutEngine struct {
	fakeEngine
	// cuts is the number of truncated streams.
	cuts int
}

func (f *cutEngine) Generate(ctx context.Context, r *engine.Request) (engine.Stream, error) {
	f.requests = append(f.requests, r)
	complete := twoChunks()
	stub := &fakeEngine{chunks: complete[:1]}
	s := &fakeStream{ctx: ctx, engine: stub, id: r.ID}
	if len(f.requests) > f.cuts {
		stub.chunks, s.next = complete, r.ResumeOffset
	}
	return s, nil
}

func keysOf(r *engine.Request) []uint64 {
	keys := make([]uint64, len(r.Pieces))
	for i, p := range r.Pieces {
		keys[i] = p.Key
	}
	return keys
}

// Guards against an engine that runs a request for another incarnation or weights version, or reuses
// the cache of another workspace or version: the request carries the incarnation and the version, and
// the keys of its pieces depend on the version and the workspace.
func TestEngineRequestCarriesIncarnationVersionAndKeys(t *testing.T) {
	const otherKey = "key-of-tuul"
	hash := sha256.Sum256([]byte(otherKey))
	f := &fakeEngine{chunks: twoChunks()}
	s := testServer(t, f)
	c := testConfig()
	other := c.Workspaces[0]
	other.Name, other.APIKeyHashes = "tuul", []string{hex.EncodeToString(hash[:])}
	c.Workspaces = append(c.Workspaces, other)
	s.opt.Board.Config.Put(blackboard.ConfigKey, blackboard.ConfigEntry{Version: 2, Config: c}, blackboard.Evidence{})
	e, _ := s.opt.Board.Engines.Get("e1")
	e.Value.State.Incarnation = "e1-3"
	s.opt.Board.Engines.Put("e1", e.Value, blackboard.Evidence{})
	version := "v1"
	s.opt.WeightsVersion = func(*config.Model, map[string]bool) string { return version }
	send := func(key string) *engine.Request {
		w := post(t.Context(), s, key, "/v1/completions", `{"model":"lugha","prompt":"timetable and slot"}`)
		require.Equal(t, http.StatusOK, w.Code, w.Body)
		return f.requests[len(f.requests)-1]
	}
	first, foreign := send(testKey), send(otherKey)
	version = "v2"
	e.Value.State.WeightsVersion = "v2"
	s.opt.Board.Engines.Put("e1", e.Value, blackboard.Evidence{})
	reloaded := send(testKey)
	assert.Equal(t, "e1-3", first.Incarnation)
	assert.Equal(t, "v1", first.WeightsVersion)
	assert.Equal(t, "v2", reloaded.WeightsVersion)
	for _, key := range keysOf(first) {
		assert.NotContains(t, keysOf(foreign), key)
		assert.NotContains(t, keysOf(reloaded), key)
	}
}

// Guards against a continuation that restarts the generation: with sampling, its tokens would not match
// those that the caller has received. Retries send the delivered text and the next sequence number.
func TestTruncatedResponseResumesAfterDeliveredTokens(t *testing.T) {
	f := &cutEngine{cuts: 2}
	s := testServer(t, &f.fakeEngine)
	s.opt.Engines = func(string) engine.Generator { return f }
	e, _ := s.opt.Board.Engines.Get("e1")
	e.Value.ID = "e2"
	s.opt.Board.Engines.Put("e2", e.Value, blackboard.Evidence{})
	w := post(t.Context(), s, testKey, "/v1/completions", `{"model":"lugha","prompt":"slot?"}`)
	assert.Contains(t, w.Body.String(), `"text":"habari"`)
	require.Len(t, f.requests, 3, "the first attempt, a resume on its engine and a replay on another one")
	assert.Zero(t, f.requests[0].ResumeOffset)
	for _, r := range f.requests[1:] {
		assert.Equal(t, f.requests[0].ID, r.ID)
		assert.Equal(t, 1, r.ResumeOffset)
		assert.Equal(t, "haba", r.Replay)
		assert.Equal(t, 1, r.ReplayTokens)
	}
}
