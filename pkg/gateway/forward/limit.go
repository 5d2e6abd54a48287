package forward

import (
	"math/rand/v2"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/quota"
)

// noBackendCause returns the cause of a request for which no backend server was available.
func (a *activeRequest) noBackendCause() string {
	if a.limited {
		return causeLimited
	}
	return causeNoBackend
}

// spreadRetryAfter returns a time from refusalRetryAfter to a quarter of the remaining time. Requests that the limits of
// backend servers exclude then return as a rate that the permits of the next seconds can serve, and not all at once.
func spreadRetryAfter(remaining time.Duration) time.Duration {
	latest := remaining / 4
	if latest <= refusalRetryAfter {
		return max(latest, 0)
	}
	return refusalRetryAfter + rand.N(latest-refusalRetryAfter)
}

// observeLimit passes what a backend server states about its limit to the registry, and logs when a limit begins, changes
// or ends. sentAt is the time on the clock of clock.Now at which the request was sent.
func (a *activeRequest) observeLimit(c *backends.Choice, statement quota.Statement, sentAt time.Time) {
	r := a.router
	if statement.Invalid != "" {
		r.count("limits_invalid")
		if r.rejectionLogLimiter.Allow() {
			event.LimitInvalid.Emit(r.opt.Logger, "backend", c.ID, "limit", statement.Invalid, "request", a.request.ID)
		}
		return
	}
	if statement.Limited {
		r.count("responses_with_limit")
	}
	if !r.opt.Backends.ObserveLimit(c.ID, c.Started, statement, sentAt, clock.Now()) {
		return
	}
	if statement.Limited {
		event.LimitStated.Emit(r.opt.Logger, "backend", c.ID, "limit_per_s", statement.Rate, "request", a.request.ID)
	} else {
		event.LimitEnded.Emit(r.opt.Logger, "backend", c.ID, "request", a.request.ID)
	}
}
