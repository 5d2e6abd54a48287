package entry

import (
	"context"
	"log/slog"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/wait"
)

const (
	// continuationTimeout is the time in which a begun response must find its next engine. It equals the time that a stream
	// may wait for its next chunk: a begun response cannot be refused any more, so an earlier end helps no caller.
	continuationTimeout = 30 * time.Second
	// continuationInterval is the pause between two attempts to find the next engine. It bounds the calls to owners.
	continuationInterval = 250 * time.Millisecond
)

// continuation is the search for the next engine of a begun response. It ends with the next chunk.
type continuation struct {
	// until is the end of the search. It is zero while there is none.
	until time.Time
	// failure is the error that began the search.
	failure error
	// inBudget is set once the retry budget has granted the move to a second engine.
	inBudget bool
}

func (c *continuation) isActive() bool { return !c.until.IsZero() }

// retryBegun implements Retry for a response of which the caller has a part. It is first resumed on its engine, which keeps
// the request running for a while, and then continued on another engine.
func (src *source) retryBegun(err error) bool {
	if !src.resumed && src.slot != nil && fault.Is(err, fault.StreamBroken) {
		src.resuming, src.resumed = true, true
		return true
	}
	refused, chosen := fault.As(err).Work == fault.NotRun, src.slot != nil
	if refused && src.continuation.isActive() {
		// An engine that refuses the response now may take it a moment later.
		src.releaseSlot(err)
	} else {
		src.excludeEngine(err)
	}
	now := src.server.opt.Now()
	switch {
	case !src.continuation.isActive():
		if src.movedEngine || src.lastFailedEngine == "" {
			return false
		}
		src.continuation.until, src.continuation.failure = now.Add(continuationTimeout), err
	case !refused || !now.Before(src.continuation.until):
		return false
	case chosen:
		src.refusals++
	}
	return src.refusals <= maxRefusals && src.hasUntriedEngine()
}

// hasUntriedEngine reports whether the model has an engine that has not failed this request, even if it takes no requests at
// the moment.
func (src *source) hasUntriedEngine() bool {
	for id, e := range src.server.opt.Board.Engines.Snapshot() {
		if e.Value.State.Model == src.g.model.Name && !src.failed[id] {
			return true
		}
	}
	return false
}

// awaitContinuation waits until the retry budget grants the move to a second engine, and between two attempts to find one.
func (src *source) awaitContinuation(ctx context.Context) error {
	if src.continuation.inBudget {
		return pauseRetry(ctx, continuationInterval)
	}
	for {
		now := src.server.opt.Now()
		if delay, ok := src.server.retries.retryDelay(now, false, 0); ok {
			src.continuation.inBudget = true
			event.StreamReplayed.Log(context.Background(), src.server.opt.Logger, slog.String("request", src.g.id),
				slog.String("engine", src.lastFailedEngine), slog.Any("error", src.continuation.failure))
			return pauseRetry(ctx, delay)
		}
		if !now.Before(src.continuation.until) {
			return src.continuation.failure
		}
		if err := pauseRetry(ctx, continuationInterval); err != nil {
			return err
		}
	}
}

// recordSend notes that a second engine may have run the request. It is never sent to a third.
func (src *source) recordSend(err error) {
	if src.continuation.isActive() && (err == nil || fault.As(err).Work != fault.NotRun) {
		src.movedEngine = true
	}
}

// pauseRetry waits for the delay before a retry. The error is of kind fault.Abandoned.
func pauseRetry(ctx context.Context, delay time.Duration) error {
	if !wait.Pause(ctx, delay) {
		return fault.Wrap(context.Cause(ctx), fault.Abandoned, "the caller left before a retry")
	}
	return nil
}
