package claims

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"log/slog"
	"time"

	"cassiawall.example/cassiawall/pkg/claims"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
)

const (
	// finishTimeout is the time for which Finish waits for the journal, and thereby delays the
	// response to the caller.
	finishTimeout = 250 * time.Millisecond
	// maxPendingOutcomes bounds the outcomes that are held in memory until the object API stores
	// them.
	maxPendingOutcomes = 10_000
	// minRecordBackoff and maxRecordBackoff bound the pause between attempts to record an outcome.
	minRecordBackoff = 100 * time.Millisecond
	maxRecordBackoff = 5 * time.Second
	// inProgressRetryAfter is the Retry-After time for a request that is in progress or whose claim
	// was not confirmed.
	inProgressRetryAfter = time.Second
	// fullRetryAfter is the Retry-After time if a journal or a writer's queue is full.
	fullRetryAfter = 5 * time.Second
)

// Request is a non-idempotent request for which a permit to send is requested.
type Request struct {
	Workspace string
	Key       claims.Key
	// BodyHash is the SHA-256 of the request body.
	BodyHash [sha256.Size]byte
	// Deadline is the time within which an outcome is expected. Until it has passed, repeats of the
	// request are refused as in progress.
	Deadline time.Duration
}

// Permit allows one request to be sent once. The caller ends it by exactly one call of Finish or
// Abandon. If neither is called, repeats of the request fail with outcome_unknown.
type Permit struct {
	controller *Controller
	workspace  string
	attempt    *claims.Attempt
}

// Begin claims a request. It returns a permit to send, or the recorded outcome of an earlier request
// with the same key, or a typed error. An error that states not_run is reliable: no permit was
// issued, so this request is never sent.
func (c *Controller) Begin(ctx context.Context, r Request) (*Permit, *claims.Outcome, error) {
	op := claims.ClaimOp{
		Key:       r.Key,
		Attempt:   rand.Text(),
		BodyHash:  r.BodyHash,
		Retention: c.retryWindow(r.Workspace),
		Deadline:  r.Deadline,
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	p := &Permit{controller: c, workspace: r.Workspace, attempt: claims.NewAttempt(op, time.Now())}
	if c.claim(ctx, p) == claims.SendOnce && ctx.Err() == nil {
		return p, nil, nil
	}
	reply := p.attempt.Reply()
	p.Abandon()
	if reply.Verdict == claims.Recorded && reply.Outcome.State == claims.Completed && reply.Outcome.BodyDigest == nil {
		return nil, &reply.Outcome, nil
	}
	return nil, nil, refusalError(reply)
}

// claim submits the permit's claim to the shard's preferred writer and, if that returns no verdict, to
// this node's own writer.
func (c *Controller) claim(ctx context.Context, p *Permit) claims.AttemptStep {
	op := p.attempt.Op()
	writer := claims.PreferredWriter(op.Key.Shard(), c.eligibleWriters())
	step := p.attempt.FirstStep(writer == c.opt.Node || c.opt.Peer == nil)
	if step == claims.ClaimAtPreferredWriter {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := c.opt.Peer.Claim(callCtx, writer, claimToWire(p.workspace, op))
		cancel()
		step = p.attempt.PreferredWriterDone(replyFromWire(reply), err != nil)
	}
	if step == claims.ClaimAtLocalWriter {
		step = p.attempt.LocalWriterDone(c.submit(ctx, op.Key, claims.Op{Claim: &op}))
	}
	return step
}

// refusalError returns the error for a verdict that does not permit sending. Its field Work describes
// the work that the key identifies, not this attempt: a repeat of a request that may have run is not
// reported as not_run.
func refusalError(r claims.Reply) error {
	switch {
	case r.Verdict == claims.Recorded && r.Outcome.State == claims.Completed:
		return fault.New(fault.OutcomeUnknown, "the request ran with status %d; its answer of %d bytes (SHA-256 %x) was too large to record",
			r.Outcome.Status, r.Outcome.BodyBytes, r.Outcome.BodyDigest).WithWork(fault.Run)
	case r.Verdict == claims.Unknown, r.Verdict == claims.Recorded && r.Outcome.State == claims.UnknownResult:
		return fault.New(fault.OutcomeUnknown, "an earlier request with this key was sent and its answer was lost").WithWork(fault.Unknown)
	case r.Verdict == claims.InProgress:
		return fault.New(fault.InProgress, "an earlier request with this key is in progress").WithWork(fault.Unknown).WithRetryAfter(inProgressRetryAfter)
	case r.Verdict == claims.BodyConflict:
		return fault.New(fault.IdempotencyConflict, "this key was used with another request body")
	case r.Verdict == claims.Full:
		return fault.New(fault.Overloaded, "the record of non-idempotent requests takes no more; this request was not sent").WithRetryAfter(fullRetryAfter)
	default:
		return fault.New(fault.PlatformUnavailable, "the object API did not confirm the claim; this request was not sent").WithRetryAfter(inProgressRetryAfter)
	}
}

// AuthorizeSend uses up the permission to send and returns nil. A second call, or one more than
// claims.SendTimeout after Begin, returns a typed error that states not_run; the caller must then call
// Abandon.
func (p *Permit) AuthorizeSend() error {
	if p.attempt.AuthorizeSend(time.Now()) {
		return nil
	}
	return fault.New(fault.PlatformUnavailable, "the claim is older than %s; this request was not sent", claims.SendTimeout)
}

// Abandon ends a permit whose request was not sent. It records that in the background, so that the
// request can be repeated.
func (p *Permit) Abandon() {
	if p.attempt.Abandon() {
		p.recordInBackground(claims.Outcome{State: claims.NotSent})
	}
}

// Finish records the outcome of a sent request. It waits for the journal for a bounded time; after
// that, recording continues in the background. claims.NotSent is allowed only if no byte reached a
// backend or the backend itself refused the request.
func (p *Permit) Finish(ctx context.Context, outcome claims.Outcome) {
	p.attempt.Close()
	done := p.recordInBackground(outcome)
	timer := time.NewTimer(finishTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordInBackground records an outcome in the background. It closes done when the outcome is
// recorded or, after a log record, discarded.
func (p *Permit) recordInBackground(outcome claims.Outcome) (done <-chan struct{}) {
	c := p.controller
	ended := make(chan struct{})
	if !c.reservePendingOutcome() {
		p.logNotRecorded("too many outcomes are waiting to be written to the object API")
		close(ended)
		return ended
	}
	started := c.startOutcomeRecorder(func() {
		defer close(ended)
		defer c.releasePendingOutcome()
		p.recordWithRetries(claims.RecordOp{Key: p.attempt.Op().Key, Attempt: p.attempt.Op().Attempt, Outcome: outcome})
	})
	if !started {
		c.releasePendingOutcome()
		p.logNotRecorded("the node is shutting down")
		close(ended)
	}
	return ended
}

// recordWithRetries retries with backoff until the outcome is recorded or the controller stops.
func (p *Permit) recordWithRetries(op claims.RecordOp) {
	c := p.controller
	for pause := minRecordBackoff; ; pause = min(2*pause, maxRecordBackoff) {
		if c.recordOnce(p.workspace, op) {
			return
		}
		select {
		case <-time.After(pause):
		case <-c.ctx.Done():
			p.logNotRecorded("the node shut down before the object API confirmed the write")
			return
		}
	}
}

// recordOnce reports whether the outcome needs no further attempt: a writer has stored it, or has
// already stored another final outcome.
func (c *Controller) recordOnce(workspace string, op claims.RecordOp) bool {
	writer := claims.PreferredWriter(op.Key.Shard(), c.eligibleWriters())
	if writer != c.opt.Node && c.opt.Peer != nil {
		ctx, cancel := context.WithTimeout(c.ctx, peerTimeout)
		reply, err := c.opt.Peer.RecordOutcome(ctx, writer, recordToWire(workspace, op))
		cancel()
		if err == nil && reply.GetRecorded() {
			return true
		}
	}
	ctx, cancel := context.WithTimeout(c.ctx, 2*storeTimeout)
	defer cancel()
	return c.submit(ctx, op.Key, claims.Op{Record: &op}).Verdict != claims.Unavailable
}

func (p *Permit) logNotRecorded(reason string) {
	event.OutcomeNotRecorded.Log(p.controller.ctx, p.controller.opt.Logger,
		slog.String("workspace", p.workspace), slog.String("key", p.attempt.Op().Key.String()), slog.String("reason", reason))
}

// reservePendingOutcome counts an outcome as pending and returns true, or returns false if
// maxPendingOutcomes is reached.
func (c *Controller) reservePendingOutcome() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingOutcomes >= maxPendingOutcomes {
		return false
	}
	c.pendingOutcomes++
	return true
}

func (c *Controller) releasePendingOutcome() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingOutcomes--
}
