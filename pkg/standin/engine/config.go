// Package enginestandin emulates a model engine for tests, benchmarks and local runs. It models
// continuous batching, a KV cache of limited size, cache events, load reports, orders (commands
// that change the weights or the role) and injected faults. It computes no model; a completion is a
// fixed function of the prompt and the sampling seed.
package enginestandin

import (
	"context"
	"log/slog"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
)

// Config describes one engine. A zero value means the default stated at each field.
type Config struct {
	// ID names the engine. Default "engine".
	ID string
	// Model, WeightsVersion and Adapters are loaded at start. Defaults "model", "v1" and none.
	Model          string
	WeightsVersion string
	Adapters       []string
	// Role is the role reported at start. It has no effect on the requests that the stand-in
	// serves. Default "serve".
	Role string
	// Seed seeds the generator of incarnation names, request ids and lost events.
	Seed uint64

	// CacheBlocks is the number of blocks in the cache and BlockTokens the size of a block in
	// tokens. Only their product, the capacity in tokens, limits the cache: a piece occupies
	// exactly its tokens and is not rounded up to blocks. Defaults 64 and 4,000.
	CacheBlocks int
	BlockTokens int
	// MaxBatch is the maximum number of requests that run at once. Default 16.
	MaxBatch int
	// MaxQueue is the maximum number of waiting requests; further ones are refused. Default 1024.
	MaxQueue int
	// BytesPerToken converts bytes to tokens for prompt text whose token count the request does
	// not state. Default 4.
	BytesPerToken float64

	// StepTime is the fixed part of the duration of a batch step. Default 10 ms.
	StepTime time.Duration
	// PrefillTokensPerSecond is the prefill rate. Default 20,000.
	PrefillTokensPerSecond float64
	// StepPrefillTokens is the maximum number of prompt tokens computed in one step. Default 512.
	StepPrefillTokens int
	// DecodeTime is the time that each decoding request adds to a step. Default 0.2 ms.
	DecodeTime time.Duration
	// ChunkTokens is the number of generated tokens per chunk. The first chunk has one token,
	// the last may have fewer. Default 8.
	ChunkTokens int

	// EventDelay is the minimum age at which a cache event becomes visible; the visible time is
	// rounded up to a multiple of EventInterval, so that events appear in batches. Defaults
	// 200 ms and 100 ms.
	EventDelay    time.Duration
	EventInterval time.Duration
	// LoadLag is the age of load reports. Default 250 ms.
	LoadLag time.Duration
	// DetachGrace is the time for which a request whose stream a fault has cut continues to run
	// and can be resumed. Default 2 s.
	DetachGrace time.Duration

	// IgnoreFencing makes the engine accept orders with outdated fencing tokens.
	IgnoreFencing bool
	// Loader models the time of weight loads; engines of a pool share one. Default: a loader for
	// this engine alone, with a limit of 1 and LoadTime.
	Loader *Loader
	// FetchWeights, if set, fetches the weights before a load. After an error the engine retries.
	FetchWeights func(ctx context.Context, model, version string) error
	// Ledger counts the work of all engines of a pool. Nil counts nothing.
	Ledger *Ledger
	// Logger receives diagnostics. Default: none are logged.
	Logger *slog.Logger
}

// maxEventPollDuration is the time after which a long poll for events returns an empty batch.
const maxEventPollDuration = 5 * time.Second

// defaultMaxTokens is the token limit of a request that sets none.
const defaultMaxTokens = 128

func (c Config) withDefaults() Config {
	defaults.Set(&c.ID, "engine")
	defaults.Set(&c.Model, "model")
	defaults.Set(&c.WeightsVersion, "v1")
	defaults.Set(&c.Role, "serve")
	defaults.Set(&c.CacheBlocks, 64)
	defaults.Set(&c.BlockTokens, 4000)
	defaults.Set(&c.MaxBatch, 16)
	defaults.Set(&c.MaxQueue, 1024)
	defaults.Set(&c.BytesPerToken, 4)
	defaults.Set(&c.StepTime, 10*time.Millisecond)
	defaults.Set(&c.PrefillTokensPerSecond, 20_000)
	defaults.Set(&c.StepPrefillTokens, 512)
	defaults.Set(&c.DecodeTime, 200*time.Microsecond)
	defaults.Set(&c.ChunkTokens, 8)
	defaults.Set(&c.EventDelay, 200*time.Millisecond)
	defaults.Set(&c.EventInterval, 100*time.Millisecond)
	defaults.Set(&c.LoadLag, 250*time.Millisecond)
	defaults.Set(&c.DetachGrace, 2*time.Second)
	if c.Loader == nil {
		c.Loader = NewLoader(1, LoadTime)
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}

// Faults are the faults that an engine injects; the zero value injects none. CutAfter, EndAfter,
// ForeignAfter, RepeatAfter and GapAt are stream faults: each holds the number of a chunk within
// one response, counted from 1, and 0 turns the fault off.
type Faults struct {
	// CutAfter closes the connection after this chunk.
	CutAfter int `json:"cut_after,omitempty"`
	// EndAfter ends the HTTP response normally after this chunk, but without the end-of-stream
	// marker.
	EndAfter int `json:"end_after,omitempty"`
	// ForeignAfter inserts a chunk of another request after this chunk.
	ForeignAfter int `json:"foreign_after,omitempty"`
	// RepeatAfter sends this chunk twice.
	RepeatAfter int `json:"repeat_after,omitempty"`
	// GapAt omits this chunk.
	GapAt int `json:"gap_at,omitempty"`
	// MaxFaultyStreams is the number of streams that get the stream faults; 0 means all.
	MaxFaultyStreams int `json:"streams,omitempty"`
	// Refuse makes the engine refuse every new request with status 503.
	Refuse bool `json:"refuse,omitempty"`
	// BadVersion makes requests fail with status 500 while this weights version is loaded.
	BadVersion string `json:"bad_version,omitempty"`
	// SlowFactor multiplies the duration of batch steps; values up to 1 have no effect.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LostEventShare is the share of cache events that are not delivered, 0 to 1.
	LostEventShare float64 `json:"lost_events,omitempty"`
	// LoadLagMS overrides Config.LoadLag, in milliseconds; 0 leaves it unchanged.
	LoadLagMS int `json:"load_lag_ms,omitempty"`
}

// hasStreamFault reports whether any stream fault is set.
func (f *Faults) hasStreamFault() bool {
	return f.CutAfter > 0 || f.EndAfter > 0 || f.ForeignAfter > 0 || f.RepeatAfter > 0 || f.GapAt > 0
}
