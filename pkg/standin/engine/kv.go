package enginestandin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// importTokensPerSecond is the rate of a KV import. It was chosen well above the prefill rate,
// because a transfer pays off only if it beats computing the blocks again.
const importTokensPerSecond = 400_000

// export returns the leading blocks of a prefix that are cached.
func (e *Engine) export(names []string) (engine.KVBlocks, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engine.KVBlocks{Model: e.weights.model, WeightsVersion: e.weights.version}
	for _, name := range names {
		key, err := parseContentKey(name)
		if err != nil {
			return engine.KVBlocks{}, err
		}
		b := e.batch.cache.blocks[key]
		if b == nil {
			break
		}
		out.Adapter = b.adapter
		out.Blocks = append(out.Blocks, engine.KVBlock{
			ContentKey: name,
			Key:        b.routing,
			Tokens:     b.tokens,
			Data:       blockData(key, e.weights, b.adapter),
		})
	}
	return out, nil
}

// importBlocks checks and stores blocks. Blocks for which no memory is left are dropped.
func (e *Engine) importBlocks(in engine.KVBlocks) error {
	tokens := 0
	for _, b := range in.Blocks {
		tokens += b.Tokens
	}
	e.sleep(time.Duration(float64(tokens) / importTokensPerSecond * float64(time.Second)))
	e.mu.Lock()
	defer e.mu.Unlock()
	if in.Model != e.weights.model || in.WeightsVersion != e.weights.version {
		return fault.New(fault.EngineRefused, "blocks of %s %s do not fit %s %s",
			in.Model, in.WeightsVersion, e.weights.model, e.weights.version)
	}
	var chain []*block
	defer func() { e.batch.cache.unpin(chain) }()
	for _, b := range in.Blocks {
		key, err := parseContentKey(b.ContentKey)
		if err != nil {
			return err
		}
		if !bytes.Equal(b.Data, blockData(key, e.weights, in.Adapter)) {
			return fault.New(fault.BadRequest, "data of block %s is not valid", b.ContentKey)
		}
		if b.Tokens <= 0 {
			return fault.New(fault.BadRequest, "block %s has no tokens", b.ContentKey)
		}
		if e.batch.cache.available() < b.Tokens {
			return nil
		}
		e.batch.cache.reserve(b.Tokens)
		p := piece{content: key, routing: b.Key, tokens: b.Tokens}
		chain = append(chain, e.batch.cache.store(&p, in.Adapter))
	}
	return nil
}

func parseContentKey(name string) (contentKey, error) {
	var key contentKey
	decoded, err := hex.DecodeString(name)
	if err != nil || len(decoded) != len(key) {
		return key, fault.New(fault.BadRequest, "content key %q is not 64 hex digits", name)
	}
	copy(key[:], decoded)
	return key, nil
}

// blockData stands for the KV data of a block. An import verifies it, so data of other content
// or weights cannot enter a cache.
func blockData(key contentKey, w weights, adapter string) []byte {
	h := sha256.New()
	h.Write(key[:])
	h.Write([]byte(w.model + "\x00" + w.version + "\x00" + adapter))
	return h.Sum(nil)
}
