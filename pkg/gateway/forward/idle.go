package forward

import (
	"fmt"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
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
	// lastReadTime is the time in which a stream is read once more before it moves: events may have arrived while this
	// process stood still, or while its client blocked a write.
	lastReadTime = 5 * time.Millisecond
	// retriesOfMove is the number of retries that the retry budget must allow for a move: one for the next engine, and one
	// for the next send if that engine refuses the stream.
	retriesOfMove = 2
)

// errStreamIdle is the error of a stream that moves because its engine is silent.
var errStreamIdle = fmt.Errorf("no complete event for %v", streamIdleTimeout)

// moveObstacle is the reason why an idle stream stays at its engine, in log lines and metric labels.
type moveObstacle string

const (
	// noObstacle is the value for a stream that moves.
	noObstacle          moveObstacle = ""
	obstacleAttempts    moveObstacle = "attempts"
	obstacleTime        moveObstacle = "time"
	obstacleQuarantined moveObstacle = "quarantined"
	obstacleNoBackend   moveObstacle = "no backend"
	obstacleBudget      moveObstacle = "retry budget"
	obstacleUnreachable moveObstacle = "unreachable"
)

// idleWatch reads from a stream and decides when it moves. Other bytes than events do not count.
type idleWatch struct {
	a       *activeRequest
	backend string
	// lastEventAt is the time of the last complete event, or of the response header before the first one.
	lastEventAt time.Time
	// moveAt is the time of the next try to move the stream.
	moveAt time.Time
	// readOnce is set once the stream has been read for lastReadTime after moveAt.
	readOnce bool
	// obstacle is why the last try since lastEventAt did not move the stream.
	obstacle moveObstacle
}

func newIdleWatch(a *activeRequest, backend string) *idleWatch {
	now := time.Now()
	return &idleWatch{a: a, backend: backend, lastEventAt: now, moveAt: now.Add(streamIdleTimeout)}
}

// eventArrived records that a complete event has arrived.
func (w *idleWatch) eventArrived() {
	now := time.Now()
	if w.obstacle != noObstacle {
		w.a.trace.Add(event.StreamResumed, "backend", w.backend, "idle_ms", now.Sub(w.lastEventAt).Milliseconds(), "obstacle", w.obstacle)
		w.a.router.count("idle_streams", "result", "resumed")
		w.obstacle = noObstacle
	}
	w.lastEventAt, w.moveAt, w.readOnce = now, now.Add(streamIdleTimeout), false
}

// idleTime returns the time since the last complete event.
func (w *idleWatch) idleTime() time.Duration { return time.Since(w.lastEventAt) }

// ended records that the stream ends while it is idle, without having moved.
func (w *idleWatch) ended() {
	if w.obstacle != noObstacle {
		w.a.router.count("idle_streams", "result", "ended")
	}
}

// read reads from the stream. It fails with errStreamIdle once the stream is idle and another engine is reserved for it.
// Streams that are not resumable cannot move.
func (w *idleWatch) read(response *exchange.Response, buffer []byte) (int, error) {
	if !w.a.route.Resumable {
		return response.Read(buffer)
	}
	left := time.Until(w.moveAt)
	if left <= 0 {
		var err error
		if left, err = w.timedOut(); err != nil {
			return 0, err
		}
	}
	if err := response.SetReadTimeout(left, w.timedOut); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	return response.Read(buffer)
}

// timedOut is called when the time to move has come. It returns the time for the next read, or errStreamIdle.
func (w *idleWatch) timedOut() (next time.Duration, err error) {
	w.readOnce = !w.readOnce
	if w.readOnce {
		return lastReadTime, nil
	}
	return w.tryMove()
}

// tryMove returns errStreamIdle if another engine is reserved for the stream, and the time until the next try otherwise.
func (w *idleWatch) tryMove() (next time.Duration, err error) {
	obstacle := w.a.reserveBackend()
	if obstacle == noObstacle {
		w.obstacle = noObstacle
		w.a.router.count("idle_streams", "result", "moved")
		return 0, errStreamIdle
	}
	if w.obstacle != obstacle {
		w.a.traceIdle(w.backend, w.idleTime(), obstacle)
	}
	w.obstacle = obstacle
	w.moveAt = time.Now().Add(moveInterval)
	return moveInterval, nil
}

// reserveBackend reserves a backend server for the next send, if the route, the retry budget and the servers allow one
// now and the server can be connected to. Otherwise it returns the reason why not. The server must be one that is likely to
// take the stream, and in time for its next event: the stream leaves an engine that may still complete it.
func (a *activeRequest) reserveBackend() moveObstacle {
	switch {
	case a.runs >= a.route.MaxAttempts:
		return obstacleAttempts
	case a.trial, a.hasQuarantinedPart():
		return obstacleQuarantined
	case a.retryAfterRun() != outcomeRetry, a.remaining(time.Now()) < a.route.LatencyObjective:
		return obstacleTime
	case !a.takeRetries(retriesOfMove):
		return obstacleBudget
	}
	query := a.newQuery()
	query.AvailableOnly = true
	choice := a.tryPick(query, time.Now())
	if choice == nil {
		a.refundRetries()
		return obstacleNoBackend
	}
	if err := choice.Pool.Connect(a.ctx, a.request.ID); err != nil {
		choice.Done(backends.Failure, 0)
		a.markUnreachable(choice)
		a.refundRetries()
		return obstacleUnreachable
	}
	a.reserved, a.moved = choice, true
	return noObstacle
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
