package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/limits"
)

// Quotas decides on the requests of workspaces with a quota. It must be safe for concurrent use.
type Quotas interface {
	// Take waits for the tokens of a request, for up to maxWait or until ctx ends. The result has been decided.
	Take(ctx context.Context, workspace uint64, weight int64, maxWait time.Duration) *limits.Waiter
	// Valid reports whether a request may be sent now with a charge. Refund takes back the charge of a request that no backend
	// server has run.
	Valid(c limits.Charge) bool
	Refund(c limits.Charge)
}

const (
	// quotaWaitShare is the share of the latency objective for which a request waits for a decision, and maxQuotaWait the
	// longest such time.
	quotaWaitShare = 0.25
	maxQuotaWait   = 300 * time.Millisecond
	// quotaSpreadShare is the share of a Retry-After by which it is lengthened at random, within the bounds. Clients then do
	// not come back all at once.
	quotaSpreadShare = 0.25
	minQuotaSpread   = 50 * time.Millisecond
	maxQuotaSpread   = time.Second
)

// errChargeEnded is the cause of a send that did not happen because the request waited too long for its connection.
var errChargeEnded = errors.New("the charge of the request ended before it was sent")

// quotaCharge is what a request has been charged.
type quotaCharge struct {
	charge limits.Charge
	// held is set while the charge is neither used nor refunded.
	held bool
	// retryAfter is the time after which the client of a request over the quota should come back.
	retryAfter time.Duration
}

// weight returns what the request counts against the quota of its workspace. It is 0 if there is none.
func (a *activeRequest) weight() int64 {
	if a.router.opt.Quotas == nil || a.workspace == nil || a.workspace.Quota == nil {
		return 0
	}
	return a.workspace.Quota.Weight(a.request.PromptTokens, a.request.MaxOutputTokens, a.request.StatesTokens)
}

// takeCharge makes sure that the request has a charge for its next send. Each send that a backend server may have run uses
// one. It returns the cause if the request has none.
func (a *activeRequest) takeCharge() (cause string) {
	weight := a.weight()
	if weight <= 0 || a.quota.held && a.router.opt.Quotas.Valid(a.quota.charge) {
		return ""
	}
	maxWait := maxQuotaWait
	if a.route.LatencyObjective > 0 {
		maxWait = min(maxWait, time.Duration(quotaWaitShare*float64(a.route.LatencyObjective)))
	}
	began := time.Now()
	w := a.router.opt.Quotas.Take(a.req.Context(), a.workspace.Quota.Hash, weight, min(maxWait, max(a.remaining(began), 0)))
	waited := time.Since(began)
	outcome := quotaOutcome(w)
	a.router.count("quota_decisions", "outcome", outcome)
	if !w.Local {
		a.router.observe("quota_wait_ms", waited)
	}
	a.trace.Add(event.QuotaDecided, "workspace", a.workspace.Name, "weight", weight, "decision", outcome, "level", w.Level, "owner", w.Owner,
		"retry_ms", w.RetryAfter.Milliseconds(), "waited_ms", waited.Milliseconds(), "age_ms", time.Since(a.receivedAt).Milliseconds())
	switch w.Outcome {
	case limits.Granted:
		a.quota.charge, a.quota.held = w.Charge, true
		return ""
	case limits.Denied:
		a.quota.retryAfter = spreadQuotaRetry(w.RetryAfter)
		return causeOverQuota
	}
	return causeNoQuota
}

// quotaOutcome returns the outcome of a decision in metric labels and log lines.
func quotaOutcome(w *limits.Waiter) string {
	outcome := "unavailable"
	switch w.Outcome {
	case limits.Granted:
		outcome = "granted"
	case limits.Denied:
		outcome = "denied"
	}
	if w.Local && w.Outcome != limits.Unavailable {
		outcome += "_locally"
	}
	return outcome
}

// useCharge records that the request is being sent, if it has a charge, and makes the send fail if the charge has ended when
// the connection is open. returnCharge takes the record back if no backend server has run the request.
func (a *activeRequest) useCharge(request *exchange.Request) (returnCharge func()) {
	if !a.quota.held {
		return func() {}
	}
	a.quota.held = false
	request.BeforeWrite = func() error {
		if !a.router.opt.Quotas.Valid(a.quota.charge) {
			return errChargeEnded
		}
		return nil
	}
	return func() { a.quota.held = true }
}

// refundCharge returns the charge of a request that has ended without a further send.
func (a *activeRequest) refundCharge() {
	if !a.quota.held {
		return
	}
	a.quota.held = false
	a.router.count("quota_refunds")
	a.router.opt.Quotas.Refund(a.quota.charge)
}

func spreadQuotaRetry(d time.Duration) time.Duration {
	spread := min(max(time.Duration(quotaSpreadShare*float64(d)), minQuotaSpread), maxQuotaSpread)
	return d + rand.N(spread)
}
