package forward

import (
	"math/rand/v2"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
	"cassiawall.example/cassiawall/pkg/gateway/popularity"
	"cassiawall.example/cassiawall/pkg/retry"
	"cassiawall.example/cassiawall/pkg/wait"
)

// pickBackend returns a backend server, or nil if none becomes available in time. It waits for up to
// half of the latency objective while engines load new weights, because they are soon available again.
// Otherwise it waits for an eighth only: after an early refusal the client still has time to try another
// node. A request that must continue waits until the timeout.
func (a *activeRequest) pickBackend() *backends.Choice {
	query := a.newQuery()
	for {
		now := time.Now()
		if a.ctx.Err() != nil || a.req.Context().Err() != nil || a.remaining(now) < minRemaining {
			return nil
		}
		if c := a.tryPick(query, now); c != nil {
			return c
		}
		a.traceNoBackend(a.excluded)
		if a.runs == 0 || a.mustContinue() {
			// A backend server that refused the request may accept it now.
			query.Exclude = nil
		}
		if a.mustContinue() {
			if !wait.Pause(a.ctx, pickInterval) {
				return nil
			}
			continue
		}
		maxWait := a.route.LatencyObjective / 8
		if a.router.opt.Backends.Loading(a.service, now) {
			maxWait = a.route.LatencyObjective / 2
		}
		if isPausedBeyond(a.excluded, maxWait-now.Sub(a.receivedAt)) {
			return nil
		}
		if now.Sub(a.receivedAt) > maxWait || !wait.Pause(a.ctx, pickInterval) {
			return nil
		}
	}
}

// newQuery returns the part of a query that stays the same while the request waits.
func (a *activeRequest) newQuery() backends.Query {
	return backends.Query{Service: a.service, Model: a.request.Model, Exclude: a.tried, Affinity: a.affinityKey(), HomeDataCentre: a.homeDataCentre(), Long: a.isDecodeHeavy()}
}

// tryPick returns a backend server that is available now, or nil. In that case, a.excluded tells why.
func (a *activeRequest) tryPick(query backends.Query, now time.Time) *backends.Choice {
	prefixVersion := 0
	if a.request.Model != "" {
		weightsNow := clock.Now()
		newest, since, lowest := a.router.opt.Weights.DesiredVersions(a.request.Model, weightsNow)
		query.MinVersion = lowest
		if query.AvailableOnly {
			// An engine with older weights must start the request soon, or not at all.
			query.MinVersion = newest
		}
		prefixVersion = newest
		if weightsNow.Sub(since) >= preferNewestDelay {
			query.PreferVersion = newest
		}
	}
	query.PrefixEngine = a.engineWithPrefix(prefixVersion, now)
	query.PrefixRate = a.router.opt.PrefixRates.Rate(popularity.Key(query.Affinity), now)
	c, considered := a.router.opt.Backends.Pick(query, now)
	if c == nil {
		a.excluded = considered
	}
	return c
}

// noBackendCause returns the cause of a request for which no backend server was available.
func (a *activeRequest) noBackendCause() string {
	switch {
	case a.excluded.Limited > 0:
		return causeLimited
	case a.excluded.Shedding > 0:
		return causeShedding
	}
	return causeNoBackend
}

// isPausedBeyond reports whether all backend servers that a request may use want no requests from this node until after a
// time.
func isPausedBeyond(counts backends.CandidateCounts, wait time.Duration) bool {
	return counts.Shedding > 0 && counts.Limited == 0 && counts.Loading == 0 && clock.Until(counts.SheddingUntil) > wait
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

// retryAfterPause returns the time until a pause ends, and up to a quarter or a second more, so that requests do not return all
// at once.
func retryAfterPause(until time.Time) time.Duration {
	return retry.SpreadPause(max(clock.Until(until), minPauseRetryAfter))
}

// minPauseRetryAfter is the shortest Retry-After of a request that pauses exclude.
const minPauseRetryAfter = 50 * time.Millisecond
