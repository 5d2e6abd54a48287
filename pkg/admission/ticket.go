// Package admission decides when a request may start on one engine. It runs at the engine's owner
// and does no I/O: callers pass the time and act on the returned grants.
package admission

import "time"

// Verdict is the answer to a request for a slot.
type Verdict int

// Verdicts.
const (
	// Queued means that a later Grant or Drop tells the outcome.
	Queued Verdict = iota + 1
	Granted
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
	// Supersede ends older waiting tickets of the same caller.
	Supersede bool
	// Arrived is the time at which the caller's request reached the entry.
	Arrived time.Time
	// Deadline is the time after which the first token is worthless.
	Deadline time.Time
	// DeclineOver is the highest acceptable cost: the predicted time to first token plus the
	// time of the ticket's own prefill times RecomputeFactor. 0 accepts any.
	DeclineOver     time.Duration
	RecomputeFactor float64
	// Patience is the age at which the caller is expected to leave; 0 if unknown.
	Patience time.Duration
	// MissingTokens are neither cached nor in prefill.
	MissingTokens int
	// AddedTokens is the part of MissingTokens that no other waiting ticket computes. It counts
	// for predictions, so that a burst on one new prefix is not predicted to compute it many
	// times.
	AddedTokens int
	// OutputTokens bounds the answer.
	OutputTokens int
	// HeldUntil delays the ticket until another request has prefilled the shared prefix; zero
	// for no delay.
	HeldUntil time.Time

	virtualStart float64
	seq          uint64
}

// Outcome is the end of a ticket's wait.
type Outcome struct {
	TicketID string
	Verdict  Verdict
	// Slot is set when the verdict is Granted.
	Slot uint64
	// PredictedTTFT is the predicted time to first token from now.
	PredictedTTFT time.Duration
}

// slot is a request that may run on the engine.
type slot struct {
	id        uint64
	ticket    Ticket
	grantedAt time.Time
	renewedAt time.Time
	// exclusivePrefill is set when no other prefill was under way; only then does the prefill time tell
	// the engine's rate.
	exclusivePrefill bool
	// prefillDone is set when prefill is done.
	prefillDone  bool
	firstTokenAt time.Time
}
