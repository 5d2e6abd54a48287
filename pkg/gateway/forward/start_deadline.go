package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
)

// startCheckInterval is the longest time between two checks of a request's start deadline. Newer weights may become
// known, or the deadline may pass faster than a timer shows, while the request waits at an engine.
const startCheckInterval = 200 * time.Millisecond

// errStartDeadline is the cause of a cancelled send whose request was queued at an engine until its
// weights were too old to start on.
var errStartDeadline = errors.New("request did not start before the deadline for requests on older weights")

// startDeadlinePassed reports whether the request must not start any more on the weights of the chosen engine. They were
// checked when the engine was chosen, and the process may have been paused since.
func (a *activeRequest) startDeadlinePassed(c *backends.Choice) bool {
	if a.request.Model == "" {
		return false
	}
	deadline := a.router.opt.Weights.StartDeadline(a.request.Model, c.Version)
	return !deadline.IsZero() && clock.Until(deadline) <= 0
}

// withStartDeadline returns a context that is cancelled at the latest time at which the request may
// start on the weights of the chosen engine. Unless the response has begun, its end closes the connection, and
// the engine then drops a request that is still in its queue. stopTimer must be called once the engine has
// responded.
func (a *activeRequest) withStartDeadline(parent context.Context, c *backends.Choice) (ctx context.Context, stopTimer func()) {
	if a.request.Model == "" {
		return parent, func() {}
	}
	ctx, cancel := context.WithCancelCause(parent)
	w := &startWatch{
		deadline: func() time.Time { return a.router.opt.Weights.StartDeadline(a.request.Model, c.Version) },
		expire:   func() { cancel(errStartDeadline) }, now: clock.Now,
	}
	w.start()
	return ctx, w.stop
}

// startWatch calls expire at a deadline, unless it is stopped before.
type startWatch struct {
	// deadline returns the deadline as it is known now, or the zero time if there is none. The earliest one counts.
	deadline func() time.Time
	expire   func()
	// now is clock.Now. A timer alone would be late by the time for which the VM was suspended.
	now func() time.Time

	mu       sync.Mutex
	earliest time.Time
	timer    *time.Timer
	stopped  bool
}

func (w *startWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.leftLocked(), w.check)
}

// leftLocked returns the time until the deadline, or startCheckInterval if that is less or there is no deadline yet.
func (w *startWatch) leftLocked() time.Duration {
	if d := w.deadline(); w.earliest.IsZero() || !d.IsZero() && d.Before(w.earliest) {
		w.earliest = d
	}
	if w.earliest.IsZero() {
		return startCheckInterval
	}
	return min(w.earliest.Sub(w.now()), startCheckInterval)
}

func (w *startWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	left := w.leftLocked()
	if left <= 0 {
		w.expire()
		return
	}
	w.timer.Reset(left)
}

func (w *startWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
