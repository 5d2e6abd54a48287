// Package routing chooses an engine for a generation request and holds a slot there.
package routing

import (
	"context"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// Request is one generation request that needs an engine.
type Request struct {
	RequestID string
	Workspace *config.Workspace
	Model     *config.Model
	Policy    config.Policy
	// Caller names the caller inside the workspace; it may be empty.
	Caller string
	Pieces []prefix.Piece
	// Prompt returns the text of the pieces.
	Prompt    func() string
	MaxTokens int
	Arrived   time.Time
	// Deadline is the time after which the first token is worthless.
	Deadline time.Time
	// FailedEngines holds the engines that failed this request already.
	FailedEngines map[string]bool
}

// Target is the engine that runs a request.
type Target struct {
	Engine      string
	Address     string
	Incarnation string
}

// Usage is what an engine reported with its first chunk.
type Usage struct {
	Incarnation    string
	ReusedTokens   int
	ComputedTokens int
	Prefill        time.Duration
}

// Outcome tells how the use of a slot ended.
type Outcome struct {
	// Abandoned means that the caller went away.
	Abandoned bool
	// Failed means that the engine failed or refused.
	Failed bool
}

// Slot is the right to run one request on an engine. Calls after Done have no effect.
type Slot interface {
	Target() Target
	// FirstToken reports that prefill is done.
	FirstToken(u Usage)
	// Done frees the slot.
	Done(o Outcome)
}

// Router chooses engines. Errors are of package fault, with fault.NotRun.
type Router interface {
	// Route blocks while the request is queued. Cancelling ctx removes it from the queue.
	Route(ctx context.Context, w *Request) (Slot, error)
}
