package forward

import (
	"time"

	"cassiawall.example/cassiawall/pkg/wait"
)

// allowRetry reports whether the retry budget allows a retry.
func (a *activeRequest) allowRetry() bool {
	if a.takeRetries(1) {
		return true
	}
	a.router.count("further_sends", "budget", "spent")
	return false
}

// takeRetries makes sure that the request has n grants of the retry budget, and reports whether it has. Without them, it returns
// those that it has.
func (a *activeRequest) takeRetries(n int) bool {
	for a.retryGrants < n {
		if !a.router.opt.RetryBudget.AllowRetry(a.service, time.Now()) {
			a.refundRetries()
			return false
		}
		a.retryGrants++
	}
	return true
}

// useRetry records that a send has reached a backend server. It uses a grant of the retry budget unless it was the first one:
// only then are there grants.
func (a *activeRequest) useRetry() {
	if a.retryGrants > 0 {
		a.retryGrants--
		a.router.count("further_sends", "budget", "granted")
	}
}

// refundRetries returns the unused grants to the retry budget.
func (a *activeRequest) refundRetries() {
	for ; a.retryGrants > 0; a.retryGrants-- {
		a.router.opt.RetryBudget.Refund(a.service, time.Now())
	}
}

// mustContinue reports whether the request waits for a backend server until its timeout. A response that has begun can no
// longer be refused, and a stream that moved has left an engine that might have completed it.
func (a *activeRequest) mustContinue() bool { return a.headerWritten || a.moved }

// retryAfterRefusal returns the next step after a send that was not run. A request that must continue is sent further, at
// intervals, until the timeout.
func (a *activeRequest) retryAfterRefusal() sendOutcome {
	if len(a.tried) < maxRefusedSends+a.route.MaxAttempts {
		return a.retryIf(true)
	}
	return a.retryIf(a.mustContinue() && wait.Pause(a.ctx, refusedBackoff))
}

// retryAfterRun returns the next step after a send that may have run and has not produced a complete
// response. A trial of a quarantined part goes to one engine only, unless that has survived the part.
func (a *activeRequest) retryAfterRun() sendOutcome {
	return a.retryIf(a.route.Repeatable() && a.runs < a.route.MaxAttempts && (!a.trial || a.shownSound))
}

// retryIf returns outcomeRetry if a retry is allowed, the client still waits and enough time remains,
// and outcomeFail otherwise.
func (a *activeRequest) retryIf(allowed bool) sendOutcome {
	if !allowed || a.ctx.Err() != nil || a.req.Context().Err() != nil || a.remaining(time.Now()) < minRemaining {
		return outcomeFail
	}
	return outcomeRetry
}
