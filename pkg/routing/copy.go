package routing

import (
	"context"
	"log/slog"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// copyTimeout bounds a copy. A copy that takes longer than a prefill saves nothing.
const copyTimeout = 2 * time.Second

// Copier copies cached pieces between engines by export and import. The exported blocks are
// references into the platform's KV cache store, so the data does not pass through this node.
type Copier struct {
	// Engines returns the client of an engine, or nil if the engine is not known.
	Engines func(id string) engine.KVTransfer
	Logger  *slog.Logger
}

// Copy copies the leading shared pieces of a prompt between two engines. Blocks are identified by
// chained SHA-256 content keys, so that a collision of prefix hashes cannot copy data of another
// prompt. A failed copy does not fail the request: the target computes the pieces.
func (c *Copier) Copy(ctx context.Context, req *Request, from, to string) {
	source, target := c.Engines(from), c.Engines(to)
	if source == nil || target == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	keys := contentKeys(req)
	blocks, err := source.Export(ctx, keys)
	if err == nil {
		err = checkBlocks(req, keys, &blocks)
	}
	if err == nil && len(blocks.Blocks) > 0 {
		err = target.Import(ctx, blocks)
	}
	if err != nil && ctx.Err() == nil {
		event.CopyFailed.Log(ctx, c.Logger, slog.String("from", from), slog.String("to", to), slog.Any("error", err))
	}
}

// checkBlocks returns an error for blocks that were not requested. Not every engine checks what it
// imports, and the source may have loaded other weights since it was chosen.
func checkBlocks(req *Request, keys []string, blocks *engine.KVBlocks) error {
	if len(blocks.Blocks) == 0 {
		return nil
	}
	if blocks.Model != req.Model.Name || blocks.WeightsVersion != req.Model.WeightsVersion || blocks.Adapter != "" {
		return fault.New(fault.EngineFailed, "exported KV blocks are of model %s version %s, want model %s version %s", blocks.Model, blocks.WeightsVersion, req.Model.Name, req.Model.WeightsVersion)
	}
	for i, b := range blocks.Blocks {
		if i >= len(keys) || b.ContentKey != keys[i] {
			return fault.New(fault.EngineFailed, "exported KV block %s does not match piece %d of the prompt", b.ContentKey, i)
		}
	}
	return nil
}

// contentKeys returns the content keys of the shared pieces, as the engines compute them.
func contentKeys(req *Request) []string {
	shared := 0
	for i, p := range req.Pieces {
		if p.Shared {
			shared = i + 1
		}
	}
	salt := prefix.Salt{Workspace: req.Workspace.Name, Model: req.Model.Name, WeightsVersion: req.Model.WeightsVersion}
	return engine.ContentKeys(salt, req.Prompt(), engine.WirePieces(req.Pieces[:shared]))
}
