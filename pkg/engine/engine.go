// Package engine defines the interface to model engines and its HTTP adapter.
package engine

import (
	"context"
	"time"
)

// Engine is what the system needs of a model engine. Errors are of package fault; an error with
// fault.NotRun means that the engine has not started the request.
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
	// Cancel ends the work of a request. Cancelling an unknown request is no error.
	Cancel(ctx context.Context, requestID string) error
}

// Reporter tells the state of an engine.
type Reporter interface {
	State(ctx context.Context) (State, error)
	Load(ctx context.Context) (Load, error)
	// Events waits for cache events after a sequence number, until ctx ends or some arrive.
	Events(ctx context.Context, after uint64) (EventBatch, error)
	// Cache returns a snapshot of the cached blocks.
	Cache(ctx context.Context) (CacheSnapshot, error)
}

// KVTransfer copies cached blocks between engines.
type KVTransfer interface {
	// Export returns the blocks of a prefix, named by its content keys in hex.
	Export(ctx context.Context, keys []string) (KVBlocks, error)
	Import(ctx context.Context, blocks KVBlocks) error
}

// OrderReceiver takes orders.
type OrderReceiver interface {
	Order(ctx context.Context, o Order) error
}

// Stream yields the chunks of one answer.
type Stream interface {
	// Next returns the next chunk. After the last chunk it returns io.EOF; an end before the
	// engine's end marker is an error of kind fault.StreamBroken.
	Next() (Chunk, error)
	Close() error
}

// Piece is the wire form of a prompt piece: its routing key and size.
type Piece struct {
	Key uint64 `json:"key"`
	// ContentKey is the hex SHA-256 chain key, set when the engine may export the piece.
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
	// Temperature is passed through unchanged; nil leaves the engine's default.
	Temperature *float64
	// Priority orders requests in the engine, higher first.
	Priority int
	// ResumeOffset is the sequence number of the next wanted chunk after a cut stream.
	ResumeOffset int
	// Replay is the text already delivered to the caller; the engine continues after it.
	Replay string
	// ReplayTokens is the number of tokens in Replay.
	ReplayTokens int
	// Incarnation, if set, makes the engine refuse when it has restarted since.
	Incarnation string
}

// Chunk is one part of an answer.
type Chunk struct {
	RequestID string `json:"id"`
	// Seq counts chunks of the answer from 0, over replays.
	Seq    int    `json:"seq"`
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	// Final marks the last chunk; FinishReason tells why the answer ended.
	Final        bool   `json:"final,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	// The first chunk of a stream carries the engine's view of the work done.
	Incarnation    string `json:"incarnation,omitempty"`
	ReusedTokens   int    `json:"reused_tokens,omitempty"`
	ComputedTokens int    `json:"computed_tokens,omitempty"`
	// PrefillMS is the time of prefill in the engine, in milliseconds.
	PrefillMS int `json:"prefill_ms,omitempty"`
}

// RoleStandby is the role of an engine that takes no requests. Engines in all other roles do.
const RoleStandby = "standby"

// State is an engine's own word about itself.
type State struct {
	ID             string   `json:"id"`
	Incarnation    string   `json:"incarnation"`
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters,omitempty"`
	Role           string   `json:"role"`
	FencingToken   uint64   `json:"fencing"`
	Loading        bool     `json:"loading"`
	Leaving        bool     `json:"leaving"`
	// CacheBlocks is the capacity of the block cache.
	CacheBlocks int `json:"cache_blocks"`
	// MaxBatch is the number of requests that run at once.
	MaxBatch int `json:"max_batch"`
}

// Load is a load report. It describes the engine at ObservedAt, which lags.
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

// CacheEvent reports a change of an engine's cache.
type CacheEvent struct {
	Seq  uint64    `json:"seq"`
	Kind EventKind `json:"kind"`
	Key  uint64    `json:"key"`
}

// EventBatch is a batch of cache events in order of their sequence numbers. Gaps are possible.
type EventBatch struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Last is the engine's highest sequence number so far.
	Last uint64 `json:"last"`
}

// CacheSnapshot lists the cached blocks as of a sequence number.
type CacheSnapshot struct {
	Incarnation string   `json:"incarnation"`
	Seq         uint64   `json:"seq"`
	Keys        []uint64 `json:"keys"`
}

// KVBlocks are exported blocks with what an importing engine must check.
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

// Order states a wanted condition of an engine. Repeating it has no further effect.
type Order struct {
	// FencingToken is the number of the holder's lease.
	FencingToken   uint64   `json:"fencing"`
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters,omitempty"`
	Role           string   `json:"role"`
}
