package forward

import (
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/metrics"
)

// Notices passes what backend servers state about themselves to a registry, and logs what changes by it. It is safe for
// concurrent use.
type Notices struct {
	registry *backends.Registry
	logger   *slog.Logger
	metrics  *metrics.Registry
	// logLimiter limits the rate of log lines about values that cannot be used.
	logLimiter *rate.Limiter
}

// NewNotices returns an observer of notices.
func NewNotices(registry *backends.Registry, logger *slog.Logger, m *metrics.Registry) *Notices {
	return &Notices{registry: registry, logger: logger, metrics: m, logLimiter: rate.NewLimiter(rejectionLogsPerSecond, rejectionLogsPerSecond)}
}

// Observe records the notice in a backend server's response. started is the server's Backend.Started, and sentAt the time on
// the clock of clock.Now at which the request was sent. request is its ID, for the log, or "".
func (n *Notices) Observe(id string, started int64, notice backends.Notice, sentAt time.Time, request string) {
	n.observeLimit(id, started, notice, sentAt, request)
	if notice.Leaving {
		n.ObserveLeaving(id, started, request)
	}
	if notice.InvalidPause != "" {
		n.metrics.Counter("pauses_invalid").Inc(1)
		n.logInvalid(event.PauseInvalid, "backend", id, "retry_after", notice.InvalidPause, "pause_ms", notice.Pause.Milliseconds(), "request", request)
	}
	if notice.Pause > 0 {
		n.metrics.Counter("backend_pauses").Inc(1)
		until := n.registry.ObservePause(id, started, notice.Pause)
		if n.logLimiter.Allow() {
			event.BackendPaused.Emit(n.logger, "backend", id, "pause_ms", notice.Pause.Milliseconds(), "left_ms", clock.Until(until).Milliseconds(), "request", request)
		}
	}
}

// ObserveLeaving records that a backend server has stated that it will stop.
func (n *Notices) ObserveLeaving(id string, started int64, request string) {
	if n.registry.ObserveLeaving(id, started) {
		event.BackendLeaves.Emit(n.logger, "backend", id, "request", request)
	}
}

func (n *Notices) observeLimit(id string, started int64, notice backends.Notice, sentAt time.Time, request string) {
	statement := notice.Limit
	if statement.Invalid != "" {
		n.metrics.Counter("limits_invalid").Inc(1)
		n.logInvalid(event.LimitInvalid, "backend", id, "limit", statement.Invalid, "request", request)
		return
	}
	if statement.Limited {
		n.metrics.Counter("responses_with_limit").Inc(1)
	}
	if !n.registry.ObserveLimit(id, started, statement, sentAt, clock.Now()) {
		return
	}
	if statement.Limited {
		event.LimitStated.Emit(n.logger, "backend", id, "limit_per_s", statement.Rate, "request", request)
	} else {
		event.LimitEnded.Emit(n.logger, "backend", id, "request", request)
	}
}

func (n *Notices) logInvalid(e event.Event, args ...any) {
	if n.logLimiter.Allow() {
		e.Emit(n.logger, args...)
	}
}
