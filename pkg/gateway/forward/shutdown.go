package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/routes"
)

// errShutdown is the cause of the end of a request that is unfinished when the node stops.
var errShutdown = errors.New("this node stopped before the response was complete")

// Shutdown is the state of a node's shutdown. Requests that are unfinished at its end are answered then, because a client
// whose connection is closed without a response does not know whether its request may have run. It is safe for concurrent
// use.
type Shutdown struct {
	ctx context.Context
	end context.CancelCauseFunc

	mu sync.Mutex
	// endsAt is the time at which unfinished requests end, or the zero time before the shutdown.
	endsAt time.Time
}

// NewShutdown returns the state of a node that is not shutting down.
func NewShutdown() *Shutdown {
	s := &Shutdown{}
	s.ctx, s.end = context.WithCancelCause(context.Background())
	return s
}

// Begin begins the shutdown. Requests that are unfinished at endsAt end then.
func (s *Shutdown) Begin(endsAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsAt = endsAt
	time.AfterFunc(time.Until(endsAt), func() { s.end(errShutdown) })
}

// Began reports whether the shutdown has begun.
func (s *Shutdown) Began() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.endsAt.IsZero()
}

// endsBefore reports whether the shutdown ends before a time.
func (s *Shutdown) endsBefore(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.endsAt.IsZero() && s.endsAt.Before(t)
}

// withEnd returns a context that also ends with the shutdown. stop must be called.
func (s *Shutdown) withEnd(parent context.Context) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stopWaiting := context.AfterFunc(s.ctx, func() { cancel(errShutdown) })
	return ctx, func() {
		stopWaiting()
		cancel(nil)
	}
}

// exceedsShutdown reports whether the request must not be sent because the node may stop before its response is complete.
// A request that may run only once is then better sent to another node.
func (a *activeRequest) exceedsShutdown() bool {
	return a.route.Kind == routes.Unsafe && a.runs == 0 && a.router.opt.Shutdown.endsBefore(a.receivedAt.Add(a.timeout))
}
