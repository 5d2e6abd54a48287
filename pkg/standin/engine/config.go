// Package enginestandin is a stand-in for a model engine: continuous batching, a block cache in
// limited memory, cache events, load reports, orders and faults. It computes no model; an answer
// is a fixed function of the prompt and the sampling seed.
package enginestandin

import (
	"context"
	"log/slog"
	"time"

	"cassiawall.example/cassiawall/pkg/defaults"
)

// Config describes one engine. Zero values take the defaults stated at each field.
type Config struct {
	// ID names the engine. Default "engine".
	ID string
	// Model and WeightsVersion are what the engine serves at start. Defaults "model" and "v1".
	Model          string
	WeightsVersion string
	Adapters       []string
	// Role is the role at start. The stand-in serves in every role. Default "serve".
	Role string
	// Seed feeds the incarnation names and the choice of lost events.
	Seed uint64

	// CacheBlocks is the number of blocks that the cache holds and BlockTokens the size of a
	// block. A piece takes as many blocks, or such a part of one, as its tokens need.
	// Defaults 64 and 4,000.
	CacheBlocks int
	BlockTokens int
	// MaxBatch is the number of requests that run at once. Default 16.
	MaxBatch int
	// MaxQueue is the number of requests that may wait; more are refused. Default 1024.
	MaxQueue int
	// BytesPerToken sizes a prompt that comes without pieces. Default 4.
	BytesPerToken float64

	// StepTime is the fixed part of a batch step. Default 10 ms.
	StepTime time.Duration
	// PrefillTokensPerSecond is the rate of prefill. Default 20,000.
	PrefillTokensPerSecond float64
	// StepPrefillTokens bounds the prefill of one step. Default 512.
	StepPrefillTokens int
	// DecodeTime is what one decoding request adds to a step. Default 0.2 ms.
	DecodeTime time.Duration
	// ChunkTokens is the number of answer tokens per chunk after the first chunk, which has
	// one token. Default 8.
	ChunkTokens int

	// EventDelay is the age at which cache events become visible, EventInterval the period
	// of their batches. Defaults 200 ms and 100 ms.
	EventDelay    time.Duration
	EventInterval time.Duration
	// LoadLag is the age of load reports. Default 250 ms.
	LoadLag time.Duration
	// DetachGrace is how long a stream that the engine cut can be resumed. Default 2 s.
	DetachGrace time.Duration

	// IgnoreFencing makes the engine follow orders with old fencing numbers.
	IgnoreFencing bool
	// Loader is shared by the engines of a pool. Default: a loader of this engine alone.
	Loader *Loader
	// FetchWeights reads weights before a load, if set. Its error ends the load.
	FetchWeights func(ctx context.Context, model, version string) error
	// Ledger counts work over a pool, if set.
	Ledger *Ledger
	// Logger takes diagnostics. Default: none.
	Logger *slog.Logger
}

// eventPollLimit is the longest time that a read of events waits.
const maxEventPollDuration = 5 * time.Second

// defaultMaxTokens is the answer length of a request that states none.
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

// Faults are the faults that an engine shows. The zero value shows none. Positions of stream
// faults count the chunks of one response from 1; 0 means never.
type Faults struct {
	// CutAfter closes the connection after that many chunks.
	CutAfter int `json:"cut_after,omitempty"`
	// EndAfter ends the response in order, but without the end marker.
	EndAfter int `json:"end_after,omitempty"`
	// ForeignAfter inserts a chunk of another request.
	ForeignAfter int `json:"foreign_after,omitempty"`
	// RepeatAfter sends a chunk twice.
	RepeatAfter int `json:"repeat_after,omitempty"`
	// GapAt leaves a chunk out.
	GapAt int `json:"gap_at,omitempty"`
	// Streams is the number of streams that get the stream faults; 0 means all.
	MaxFaultyStreams int `json:"streams,omitempty"`
	// Refuse makes the engine answer every new request with 503.
	Refuse bool `json:"refuse,omitempty"`
	// BadVersion makes requests fail with 500 while the engine serves this weights version.
	BadVersion string `json:"bad_version,omitempty"`
	// SlowFactor multiplies the duration of steps; values up to 1 have no effect.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LostEvents is the share of cache events that readers never see, 0 to 1.
	LostEventShare float64 `json:"lost_events,omitempty"`
	// LoadLagMS replaces the age of load reports, in milliseconds; 0 leaves it.
	LoadLagMS int `json:"load_lag_ms,omitempty"`
}

// hasStreamFault reports whether any stream fault is set.
func (f *Faults) hasStreamFault() bool {
	return f.CutAfter > 0 || f.EndAfter > 0 || f.ForeignAfter > 0 || f.RepeatAfter > 0 || f.GapAt > 0
}
