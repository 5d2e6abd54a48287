// Package routing chooses an engine for a generation request and holds a slot there. A slot is the
// right to run one request on an engine; the owner of an engine is the node that grants its slots.
package routing

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// Request is a generation request that needs an engine.
type Request struct {
	RequestID string
	Workspace *config.Workspace
	Model     *config.Model
	Policy    config.Policy
	// Caller identifies the caller within the workspace; it may be empty.
	Caller string
	Pieces []prefix.Piece
	// Prompt returns the text of the pieces.
	Prompt    func() string
	MaxTokens int
	Arrived   time.Time
	// Deadline is the time by which the first token must arrive to be of use.
	Deadline time.Time
	// FailedEngines contains the engines that have already failed this request.
	FailedEngines map[string]bool
}

// Target is the engine that runs a request.
type Target struct {
	Engine      string
	Address     string
	Incarnation string
}

// Usage is the cache usage that an engine reports with its first chunk.
type Usage struct {
	Incarnation    string
	ReusedTokens   int
	ComputedTokens int
	Prefill        time.Duration
}

// Outcome is how the use of a slot ended.
type Outcome struct {
	// Abandoned means that the caller disconnected.
	Abandoned bool
	// Failed means that the engine failed or rejected the request.
	Failed bool
	// Pause is the time for which the engine wants no requests from this node, or 0.
	Pause time.Duration
}

// Slot is the right to run one request on an engine. Calls after Done have no effect.
type Slot interface {
	Target() Target
	// FirstToken reports that the prefill is complete.
	FirstToken(u Usage)
	// Done releases the slot.
	Done(o Outcome)
}

// Router chooses engines. Its errors are those of package fault, with fault.NotRun.
type Router interface {
	// Route blocks while the request is queued. Cancelling ctx removes it from the queue.
	Route(ctx context.Context, req *Request) (Slot, error)
}
