package burn

import "cassiawall.example/cassiawall/pkg/fault"

// ServiceOutcome returns the outcome of a call of a plain service. err is the typed error that was
// returned to the caller, or nil for a complete response. The second result is false for calls that
// must not be recorded because they do not show how the system performs: those refused because of the
// caller's own fault or limits, and repeats of a call that is still running.
func ServiceOutcome(nonIdempotent bool, err error, abandoned bool) (Outcome, bool) {
	o := Outcome{Plain: true, Complete: err == nil, Abandoned: abandoned, NonIdempotent: nonIdempotent, OutcomeKnown: true}
	if err == nil {
		return o, true
	}
	typed := fault.As(err)
	switch typed.Kind {
	case fault.BadRequest, fault.BodyTooLarge, fault.RequestTimeout, fault.RateLimited, fault.NotFound,
		fault.IdempotencyKeyMissing, fault.IdempotencyConflict, fault.InProgress:
		return Outcome{}, false
	}
	o.OutcomeKnown = typed.Work != fault.Unknown
	o.Cause = string(typed.Kind)
	return o, true
}
