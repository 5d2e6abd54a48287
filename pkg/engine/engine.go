// Package engine defines the interface to engines, the processes that serve models, and its HTTP
// client. The incarnation of an engine identifies its process since the last restart; its cached
// blocks are valid for that incarnation only.
package engine

import (
	"context"
	"time"
)

// Engine is the set of operations that the router uses on an engine. Errors are of package fault; an
// error with fault.NotRun means that the engine has not started the request.
type Engine interface {
	Generator
	Reporter
	KVTransfer
	OrderReceiver
}

// Generator runs requests.
type Generator interface {
	// Generate starts a request and returns its stream. Cancelling ctx cancels the work.
	Generate(ctx context.Context, r *Request) (Stream, error)
	// Cancel stops a request. Cancelling an unknown request is no error.
	Cancel(ctx context.Context, requestID string) error
}

// Reporter reports the state, load and cache contents of an engine.
type Reporter interface {
	State(ctx context.Context) (State, error)
	Load(ctx context.Context) (Load, error)
	// Events waits until there are cache events with sequence numbers above after, or ctx ends. A
	// batch can be empty.
	Events(ctx context.Context, after uint64) (EventBatch, error)
	// Cache returns a snapshot of the cached blocks.
	Cache(ctx context.Context) (CacheSnapshot, error)
}

// KVTransfer copies cached KV blocks between engines.
type KVTransfer interface {
	// Export returns the blocks of a prefix. keys are the hex content keys of its blocks, see
	// ContentKeys.
	Export(ctx context.Context, keys []string) (KVBlocks, error)
	Import(ctx context.Context, blocks KVBlocks) error
}

// OrderReceiver receives the desired state of an engine.
type OrderReceiver interface {
	Order(ctx context.Context, o Order) error
}

// Stream yields the chunks of one response.
type Stream interface {
	// Next returns the next chunk. After the final chunk it returns io.EOF; an end before that is
	// an error of kind fault.StreamBroken.
	Next() (Chunk, error)
	Close() error
}

// Piece is the wire form of a prompt piece, a run of tokens that is cached as a unit (a KV block
// elsewhere).
type Piece struct {
	// Key is the prefix hash of the piece, by which requests are routed.
	Key uint64 `json:"key"`
	// ContentKey is the hex SHA-256 prefix hash of the piece. It is set if the engine may export the
	// piece.
	ContentKey string `json:"content_key,omitempty"`
	Tokens     int    `json:"tokens"`
	Bytes      int    `json:"bytes"`
}

// Request is one generation request.
type Request struct {
	ID             string
	Workspace      string
	Model          string
	WeightsVersion string
	Adapter        string
	// Prompt is the text of all pieces.
	Prompt    string
	Pieces    []Piece
	MaxTokens int
	Seed      int64
	// Temperature is passed through unchanged. Nil means the engine's default.
	Temperature *float64
	// Priority orders the requests in the engine. Higher values run first.
	Priority int
	// ResumeOffset is the sequence number of the first chunk to send when a truncated stream is
	// resumed.
	ResumeOffset int
	// Replay is the text that was already delivered to the caller. The engine continues after it.
	Replay string
	// ReplayTokens is the number of tokens in Replay.
	ReplayTokens int
	// Incarnation, if not empty, makes the engine refuse the request when it has restarted since.
	Incarnation string
}

// Chunk is one part of a streamed response.
type Chunk struct {
	RequestID string `json:"id"`
	// Seq numbers the chunks of the response from 0. A resumed response continues the numbering.
	Seq    int    `json:"seq"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Final marks the last chunk. FinishReason is why the response ended.
	Final        bool   `json:"final,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// Incarnation, ReusedTokens, ComputedTokens and PrefillMS are set in the first chunk of a stream.
	// ReusedTokens are the prompt tokens read from the cache, ComputedTokens those that were
	// prefilled.
	Incarnation    string `json:"incarnation,omitempty"`
	ReusedTokens   int    `json:"reused_tokens,omitempty"`
	ComputedTokens int    `json:"computed_tokens,omitempty"`
	// PrefillMS is the duration of prefill in the engine, in milliseconds.
	PrefillMS int `json:"prefill_ms,omitempty"`
}

// RoleStandby is the role of an engine that receives no requests. Engines in all other roles do.
const RoleStandby = "standby"

// State is the state that an engine reports about itself.
type State struct {
	ID             string   `json:"id"`
	Incarnation    string   `json:"incarnation"`
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters,omitempty"`
	Role           string   `json:"role"`
	// FencingToken is the highest fencing token of the orders that the engine has accepted.
	FencingToken uint64 `json:"fencing"`
	Loading      bool   `json:"loading"`
	Leaving      bool   `json:"leaving"`
	// CacheBlocks is the capacity of the block cache.
	CacheBlocks int `json:"cache_blocks"`
	// MaxBatch is the maximum number of requests that run at once.
	MaxBatch int `json:"max_batch"`
}

// Load is a load report. It describes the engine at ObservedAt, which is in the past when the report
// arrives.
type Load struct {
	Incarnation   string    `json:"incarnation"`
	ObservedAt    time.Time `json:"observed_at"`
	Running       int       `json:"running"`
	Queued        int       `json:"queued"`
	BacklogTokens int       `json:"backlog_tokens"`
	UsedBlocks    int       `json:"used_blocks"`
	CacheBlocks   int       `json:"cache_blocks"`
}

// EventKind is the kind of a cache event.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "stored"
	EventEvicted EventKind = "evicted"
	EventCleared EventKind = "cleared"
)

// CacheEvent reports one change of an engine's block cache.
type CacheEvent struct {
	Seq  uint64    `json:"seq"`
	Kind EventKind `json:"kind"`
	Key  uint64    `json:"key"`
}

// EventBatch is a batch of cache events in order of their sequence numbers, which can have gaps.
type EventBatch struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Last is the highest sequence number that the engine has assigned.
	Last uint64 `json:"last"`
}

// CacheSnapshot lists the prefix hashes of the cached blocks as of the event with sequence number Seq.
type CacheSnapshot struct {
	Incarnation string   `json:"incarnation"`
	Seq         uint64   `json:"seq"`
	Keys        []uint64 `json:"keys"`
}

// KVBlocks are exported blocks. The importing engine checks that model, weights version and adapter
// match its own.
type KVBlocks struct {
	Model          string    `json:"model"`
	WeightsVersion string    `json:"weights_version"`
	Adapter        string    `json:"adapter,omitempty"`
	Blocks         []KVBlock `json:"blocks"`
}

// KVBlock is one exported block.
type KVBlock struct {
	ContentKey string `json:"content_key"`
	Key        uint64 `json:"key"`
	Tokens     int    `json:"tokens"`
	Data       []byte `json:"data"`
}

// Order is the desired state of an engine. Repeating it has no further effect.
type Order struct {
	// FencingToken is the fencing token of the sender's lease. An engine refuses an order whose token
	// is lower than the highest it has accepted.
	FencingToken   uint64   `json:"fencing"`
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters,omitempty"`
	Role           string   `json:"role"`
}
