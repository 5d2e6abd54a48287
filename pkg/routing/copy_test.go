package routing

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/prefix"
	enginestandin "cassiawall.example/cassiawall/pkg/standin/engine"
)

// Guards against a copy that the target does not use, and against copied pieces that serve requests of
// another workspace.
func TestCopyIsIsolatedByWorkspace(t *testing.T) {
	engines := map[string]*engine.Client{}
	for _, id := range []string{"a", "b"} {
		e := enginestandin.New(enginestandin.Config{ID: id, Model: "lugha", WeightsVersion: "v1", StepTime: time.Millisecond})
		require.NoError(t, e.Start())
		t.Cleanup(func() { assert.NoError(t, e.Close()) })
		engines[id] = engine.NewClient(e.URL(), nil)
	}
	req := testRequest()
	const text = "the timetable of the school"
	req.Prompt = func() string { return text }
	salt := prefix.Salt{Workspace: "shule", Model: "lugha", WeightsVersion: "v1"}
	req.Pieces = prefix.Split(salt, prefix.Geometry{PieceTokens: 8, BytesPerToken: 1}, []prefix.Segment{{Level: "school", Shared: true, Text: text}})

	computed := func(id, workspace string) int {
		s, err := engines[id].Generate(t.Context(), &engine.Request{ID: id + workspace, Workspace: workspace, Model: "lugha",
			WeightsVersion: "v1", Prompt: text, Pieces: engine.WirePieces(req.Pieces), MaxTokens: 1})
		require.NoError(t, err)
		defer s.Close()
		chunk, err := s.Next()
		require.NoError(t, err)
		return chunk.ComputedTokens
	}
	tokens := prefix.Tokens(req.Pieces)
	assert.Equal(t, tokens, computed("a", "shule"))
	copier := &Copier{Engines: func(id string) engine.KVTransfer { return engines[id] }, Logger: slog.New(slog.DiscardHandler)}
	copier.Copy(t.Context(), req, "a", "b")
	// An engine computes the last token of a cached prompt again to get the first output token.
	assert.Equal(t, 1, computed("b", "shule"))
	assert.Equal(t, tokens, computed("b", "other"))
}

// fakeKVTransfer returns its blocks on export and counts imports.
type fakeKVTransfer struct {
	blocks  engine.KVBlocks
	imports int
}

func (e *fakeKVTransfer) Export(context.Context, []string) (engine.KVBlocks, error) {
	return e.blocks, nil
}

func (e *fakeKVTransfer) Import(context.Context, engine.KVBlocks) error { e.imports++; return nil }

// Each case is an export of the source, most of which do not match the request. Guards against blocks
// of other weights, another workspace or another prompt in a target that does not check its imports.
func TestCopyRefusesForeignBlocks(t *testing.T) {
	req := testRequest()
	const text = "the timetable of the school"
	req.Prompt = func() string { return text }
	salt := prefix.Salt{Workspace: "shule", Model: "lugha", WeightsVersion: "v1"}
	req.Pieces = prefix.Split(salt, prefix.Geometry{PieceTokens: 8, BytesPerToken: 1}, []prefix.Segment{{Level: "school", Shared: true, Text: text}})
	keys := contentKeys(req)
	other := *req.Workspace
	other.Name = "other"
	foreign := *req
	foreign.Workspace = &other
	of := func(keys ...string) []engine.KVBlock {
		blocks := make([]engine.KVBlock, len(keys))
		for i, k := range keys {
			blocks[i].ContentKey = k
		}
		return blocks
	}
	cases := map[string]struct {
		blocks  engine.KVBlocks
		imports int
	}{
		"all blocks":          {engine.KVBlocks{Model: "lugha", WeightsVersion: "v1", Blocks: of(keys...)}, 1},
		"leading blocks":      {engine.KVBlocks{Model: "lugha", WeightsVersion: "v1", Blocks: of(keys[0])}, 1},
		"no blocks":           {engine.KVBlocks{Model: "lugha", WeightsVersion: "v1"}, 0},
		"older weights":       {engine.KVBlocks{Model: "lugha", WeightsVersion: "v0", Blocks: of(keys...)}, 0},
		"another model":       {engine.KVBlocks{Model: "draft", WeightsVersion: "v1", Blocks: of(keys...)}, 0},
		"an adapter":          {engine.KVBlocks{Model: "lugha", WeightsVersion: "v1", Adapter: "sw", Blocks: of(keys...)}, 0},
		"another workspace":   {engine.KVBlocks{Model: "lugha", WeightsVersion: "v1", Blocks: of(contentKeys(&foreign)...)}, 0},
		"reordered":           {engine.KVBlocks{Model: "lugha", WeightsVersion: "v1", Blocks: of(keys[1], keys[0])}, 0},
		"more than requested": {engine.KVBlocks{Model: "lugha", WeightsVersion: "v1", Blocks: of(append(keys, "ff")...)}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			source, target := &fakeKVTransfer{blocks: c.blocks}, &fakeKVTransfer{}
			copier := &Copier{Logger: slog.New(slog.DiscardHandler), Engines: func(id string) engine.KVTransfer {
				if id == "from" {
					return source
				}
				return target
			}}
			copier.Copy(t.Context(), req, "from", "to")
			assert.Equal(t, c.imports, target.imports)
		})
	}
}
