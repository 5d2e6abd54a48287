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
	// finishWait is the time that Finish waits for the journal before the caller gets its answer.
	finishWait = 250 * time.Millisecond
	// maxSettling bounds the outcomes that wait in memory for the object API.
	maxSettling = 10_000
	// Pauses between tries to record an outcome.
	minSettlePause = 100 * time.Millisecond
	maxSettlePause = 5 * time.Second
	// inProgressRetry is the pause that callers are told to make before they ask again.
	inProgressRetry = time.Second
	// fullRetry is the pause when a journal or a queue is full.
	fullRetry = 5 * time.Second
)

// Request is a non-idempotent request that asks to be sent.
type Request struct {
	Workspace string
	Key       claims.Key
	// BodyHash is the SHA-256 of the request body.
	BodyHash [sha256.Size]byte
	// Deadline is the time after which the request expects to have an outcome.
	Deadline time.Duration
}

// Permit is the right to send one request once. Exactly one of Finish and Abandon ends it. If
// neither is called, repeats of the request answer outcome_unknown.
type Permit struct {
	controller *Controller
	workspace  string
	attempt    *claims.Attempt
}

// Begin claims a request. It returns a permit to send, or the recorded outcome of an earlier
// request with the same key, or a typed error. Errors that say not_run are true: no permit was
// given, so this request is never sent.
func (c *Controller) Begin(ctx context.Context, r Request) (*Permit, *claims.Outcome, error) {
	op := claims.ClaimOp{
		Key:       r.Key,
		Attempt:   rand.Text(),
		BodyHash:  r.BodyHash,
		Retention: c.keep(r.Workspace),
		Deadline:  r.Deadline,
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	p := &Permit{controller: c, workspace: r.Workspace, attempt: claims.NewAttempt(op, time.Now())}
	if c.ask(ctx, p) == claims.SendOnce && ctx.Err() == nil {
		return p, nil, nil
	}
	reply := p.attempt.Reply()
	p.Abandon()
	if reply.Verdict == claims.Recorded && reply.Outcome.State == claims.Completed && reply.Outcome.BodyDigest == nil {
		return nil, &reply.Outcome, nil
	}
	return nil, nil, refusal(reply)
}

// ask asks the shard's usual writer and then, if that gives no verdict, this node's own writer.
func (c *Controller) ask(ctx context.Context, p *Permit) claims.AttemptStep {
	op := p.attempt.Op()
	writer := claims.PreferredWriter(op.Key.Shard(), c.writers())
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

// refusal returns the error for a verdict that does not allow to send. Work describes the
// piece of work that the key names, so a repeat of a request that may have run is not not_run.
func refusal(r claims.Reply) error {
	switch {
	case r.Verdict == claims.Recorded && r.Outcome.State == claims.Completed:
		return fault.New(fault.OutcomeUnknown, "the request ran with status %d; its answer of %d bytes (SHA-256 %x) was too large to record",
			r.Outcome.Status, r.Outcome.BodyBytes, r.Outcome.BodyDigest).WithWork(fault.Run)
	case r.Verdict == claims.Unknown, r.Verdict == claims.Recorded && r.Outcome.State == claims.UnknownResult:
		return fault.New(fault.OutcomeUnknown, "an earlier request with this key was sent and its answer was lost").WithWork(fault.Unknown)
	case r.Verdict == claims.InProgress:
		return fault.New(fault.InProgress, "an earlier request with this key is in progress").WithWork(fault.Unknown).WithRetryAfter(inProgressRetry)
	case r.Verdict == claims.BodyConflict:
		return fault.New(fault.IdempotencyConflict, "this key was used with another request body")
	case r.Verdict == claims.Full:
		return fault.New(fault.Overloaded, "the record of non-idempotent requests takes no more; this request was not sent").WithRetryAfter(fullRetry)
	default:
		return fault.New(fault.PlatformUnavailable, "the object API did not confirm the claim; this request was not sent").WithRetryAfter(inProgressRetry)
	}
}

// TakeSend allows to send once. A second call, or one too long after Begin, returns a typed
// error that says not_run; the caller then calls Abandon.
func (p *Permit) TakeSend() error {
	if p.attempt.AuthorizeSend(time.Now()) {
		return nil
	}
	return fault.New(fault.PlatformUnavailable, "the claim is older than %s; this request was not sent", claims.SendTimeout)
}

// Abandon ends a permit whose request was not sent. It does not wait.
func (p *Permit) Abandon() {
	if p.attempt.Abandon() {
		p.settle(claims.Outcome{State: claims.NotSent})
	}
}

// Finish records the outcome of a sent request. It waits a bounded time for the journal and
// goes on in the background. claims.NotSent is allowed only if no byte reached a backend or the
// backend itself refused.
func (p *Permit) Finish(ctx context.Context, o claims.Outcome) {
	p.attempt.Close()
	done := p.settle(o)
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// settle records an outcome in the background and closes done when it is recorded or given up.
func (p *Permit) settle(o claims.Outcome) (done <-chan struct{}) {
	c := p.controller
	ended := make(chan struct{})
	if !c.enterSettling() {
		p.logLost("too many outcomes wait for the object API")
		close(ended)
		return ended
	}
	started := c.startSettler(func() {
		defer close(ended)
		defer c.leaveSettling()
		p.record(claims.RecordOp{Key: p.attempt.Op().Key, Attempt: p.attempt.Op().Attempt, Outcome: o})
	})
	if !started {
		c.leaveSettling()
		p.logLost("the node is shutting down")
		close(ended)
	}
	return ended
}

// record tries until the outcome is recorded or the controller stops.
func (p *Permit) record(op claims.RecordOp) {
	c := p.controller
	for pause := minSettlePause; ; pause = min(2*pause, maxSettlePause) {
		if c.recordOnce(p.workspace, op) {
			return
		}
		select {
		case <-time.After(pause):
		case <-c.ctx.Done():
			p.logLost("the node shut down before the object API answered")
			return
		}
	}
}

// recordOnce reports whether a writer has stored the outcome, or holds another final one.
func (c *Controller) recordOnce(workspace string, op claims.RecordOp) bool {
	writer := claims.PreferredWriter(op.Key.Shard(), c.writers())
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

func (p *Permit) logLost(reason string) {
	event.OutcomeNotRecorded.Log(p.controller.ctx, p.controller.opt.Logger,
		slog.String("workspace", p.workspace), slog.String("key", p.attempt.Op().Key.String()), slog.String("reason", reason))
}

func (c *Controller) enterSettling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settling >= maxSettling {
		return false
	}
	c.settling++
	return true
}

func (c *Controller) leaveSettling() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settling--
}
