package enginestandin

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"cassiawall.example/cassiawall/pkg/engine"
	"cassiawall.example/cassiawall/pkg/fault"
)

// importTokensPerSecond is the rate of a KV import. It is well above the prefill rate, because a
// transfer pays off only if it is faster than computing the blocks again.
const importTokensPerSecond = 400_000

// exportBlocks returns the blocks of a prefix, up to the first one that is not cached. The keys are
// in hex and in the order of the prompt.
func (e *Engine) exportBlocks(contentKeys []string) (engine.KVBlocks, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	exported := engine.KVBlocks{Model: e.weights.model, WeightsVersion: e.weights.version}
	for _, contentKey := range contentKeys {
		key, err := parseContentKey(contentKey)
		if err != nil {
			return engine.KVBlocks{}, err
		}
		b := e.batch.cache.blocks[key]
		if b == nil {
			break
		}
		exported.Adapter = b.adapter
		exported.Blocks = append(exported.Blocks, engine.KVBlock{
			ContentKey: contentKey,
			Key:        b.routingKey,
			Tokens:     b.tokens,
			Data:       blockData(key, e.weights, b.adapter),
		})
	}
	return exported, nil
}

// importBlocks verifies and caches blocks. It stops without an error at the first block that does
// not fit into the available memory.
func (e *Engine) importBlocks(imported engine.KVBlocks) error {
	tokens := 0
	for _, b := range imported.Blocks {
		tokens += b.Tokens
	}
	e.sleep(time.Duration(float64(tokens) / importTokensPerSecond * float64(time.Second)))
	e.mu.Lock()
	defer e.mu.Unlock()
	if imported.Model != e.weights.model || imported.WeightsVersion != e.weights.version {
		return fault.New(fault.EngineRefused, "blocks of %s %s do not fit %s %s",
			imported.Model, imported.WeightsVersion, e.weights.model, e.weights.version)
	}
	var pinned []*block
	defer func() { e.batch.cache.unpin(pinned) }()
	for _, b := range imported.Blocks {
		key, err := parseContentKey(b.ContentKey)
		if err != nil {
			return err
		}
		if !bytes.Equal(b.Data, blockData(key, e.weights, imported.Adapter)) {
			return fault.New(fault.BadRequest, "data of block %s is not valid", b.ContentKey)
		}
		if b.Tokens <= 0 {
			return fault.New(fault.BadRequest, "block %s has no tokens", b.ContentKey)
		}
		if e.batch.cache.available() < b.Tokens {
			return nil
		}
		e.batch.cache.reserve(b.Tokens)
		p := piece{contentKey: key, routingKey: b.Key, tokens: b.Tokens}
		pinned = append(pinned, e.batch.cache.store(&p, imported.Adapter))
	}
	return nil
}

func parseContentKey(text string) (contentKey, error) {
	var key contentKey
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(key) {
		return key, fault.New(fault.BadRequest, "content key %q is not 64 hex digits", text)
	}
	copy(key[:], decoded)
	return key, nil
}

// blockData returns the data that represents the KV tensors of a block: a hash of its content key and
// weights. An import compares it, so that data of other content or weights is rejected.
func blockData(key contentKey, w weights, adapter string) []byte {
	h := sha256.New()
	h.Write(key[:])
	h.Write([]byte(w.model + "\x00" + w.version + "\x00" + adapter))
	return h.Sum(nil)
}
