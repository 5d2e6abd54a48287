package forward

import (
	"fmt"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
)

// An engine may be silent for a second or two and go on: it is paused, preempts requests, or computes long prompts. Its
// stream moves to another engine only if that one can take it now. Otherwise the end of the connection would lose a
// response that the engine may still complete.

const (
	// streamIdleTimeout is the time without a complete event after which a resumable stream may continue at another
	// engine. Engines send an event at least every few hundred milliseconds, and clients time out after two seconds or
	// more.
	streamIdleTimeout = 1500 * time.Millisecond
	// moveInterval is the time between two tries to move a stream that is idle for longer.
	moveInterval = 250 * time.Millisecond
)

// errStreamIdle is the error of a stream that moves because its engine is silent.
var errStreamIdle = fmt.Errorf("no complete event for %v", streamIdleTimeout)

// idleWatch reads from a stream and decides when it moves. Other bytes than events do not count.
type idleWatch struct {
	a *activeRequest
	// moveAt is the time of the next try to move the stream.
	moveAt time.Time
}

func newIdleWatch(a *activeRequest) *idleWatch {
	return &idleWatch{a: a, moveAt: time.Now().Add(streamIdleTimeout)}
}

// eventArrived records that a complete event has arrived.
func (w *idleWatch) eventArrived() { w.moveAt = time.Now().Add(streamIdleTimeout) }

// read reads from the stream. It fails with errStreamIdle once the stream is idle and another engine is reserved for it.
// Streams that are not resumable cannot move.
func (w *idleWatch) read(response *exchange.Response, buffer []byte) (int, error) {
	if !w.a.route.Resumable {
		return response.Read(buffer)
	}
	left := time.Until(w.moveAt)
	if left <= 0 {
		var err error
		if left, err = w.tryMove(); err != nil {
			return 0, err
		}
	}
	if err := response.SetReadTimeout(left, w.tryMove); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	return response.Read(buffer)
}

// tryMove returns errStreamIdle if another engine is reserved for the stream, and the time until the next try otherwise.
func (w *idleWatch) tryMove() (next time.Duration, err error) {
	if w.a.reserveBackend() {
		return 0, errStreamIdle
	}
	w.moveAt = time.Now().Add(moveInterval)
	return moveInterval, nil
}

// reserveBackend reserves a backend server for the next send, if the route, the retry budget and the servers allow one
// now. It reports whether it has.
func (a *activeRequest) reserveBackend() bool {
	if a.retryAfterRun() != outcomeRetry || a.hasQuarantinedPart() {
		return false
	}
	choice := a.tryPick(a.newQuery(), time.Now())
	if choice == nil {
		return false
	}
	if !a.allowRetry() {
		choice.Done(backends.Neutral, 0)
		return false
	}
	a.reserved = choice
	return true
}

// takeReserved returns the reserved backend server, or nil if there is none.
func (a *activeRequest) takeReserved() *backends.Choice {
	choice := a.reserved
	a.reserved = nil
	return choice
}

// releaseReserved releases the reserved backend server if the request ends without a further send.
func (a *activeRequest) releaseReserved() {
	if choice := a.takeReserved(); choice != nil {
		choice.Done(backends.Neutral, 0)
	}
}
