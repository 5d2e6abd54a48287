// Package admission is the admission queue of one engine: it decides when each request may start
// there. It runs at the engine's owner, the one node that admits requests to the engine, and does
// no I/O: callers pass the time and act on the returned outcomes. A slot is the permission to run
// one request on the engine (a concurrency permit elsewhere).
package admission

import "time"

// Verdict is the decision on a ticket.
type Verdict int

// Verdicts.
const (
	// Queued means that the ticket waits until a later call grants or removes it.
	Queued Verdict = iota + 1
	Granted
	// Declined means that the predicted cost exceeds Ticket.DeclineOver.
	Declined
	// DeadlineMissed means that the first token cannot arrive in time.
	DeadlineMissed
	QueueFull
	// Superseded means that a newer request of the same caller replaced this one.
	Superseded
)

// Ticket is a request that waits for a slot.
type Ticket struct {
	ID        string
	Workspace string
	// Weight is the workspace's share in fair queueing; at least 1.
	Weight int
	// Caller names the end user within the workspace, for superseding. Empty if unknown.
	Caller string
	// Supersede removes older waiting tickets of the same caller.
	Supersede bool
	// Arrived is the time at which the request reached the entry node.
	Arrived time.Time
	// Deadline is the time after which the first token is of no use; zero for none.
	Deadline time.Time
	// DeclineOver is the highest acceptable cost: the predicted time to first token plus
	// RecomputeFactor times the time of the ticket's own prefill. 0 accepts any.
	DeclineOver     time.Duration
	RecomputeFactor float64
	// Patience is the age at which the caller is expected to leave; 0 if unknown.
	Patience time.Duration
	// MissingTokens is the number of prompt tokens that are neither cached nor in prefill.
	MissingTokens int
	// AddedTokens is the part of MissingTokens that no other waiting ticket computes. Predictions
	// use it, so that a burst of requests with one new prefix is not predicted to compute the
	// prefix many times.
	AddedTokens int
	// OutputTokens bounds the length of the response.
	OutputTokens int
	// HeldUntil delays the ticket until another request has prefilled the shared prefix; zero
	// for no delay.
	HeldUntil time.Time

	virtualStart float64
	seq          uint64
}

// Outcome is the decision on a ticket.
type Outcome struct {
	TicketID string
	Verdict  Verdict
	// Slot is set when the verdict is Granted.
	Slot uint64
	// PredictedTTFT is the predicted time to first token from now.
	PredictedTTFT time.Duration
}

// slot is a request that was granted and may run on the engine.
type slot struct {
	id        uint64
	ticket    Ticket
	grantedAt time.Time
	renewedAt time.Time
	// exclusivePrefill is set when no other prefill was running at the grant. Only then does the
	// prefill time reflect the engine's rate.
	exclusivePrefill bool
	prefillDone      bool
	firstTokenAt     time.Time
}
