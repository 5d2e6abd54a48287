package node

import (
	"time"

	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/entry"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/service"
)

// requestRecorder records the outcomes of generation requests in the error-budget report (pkg/burn),
// the metrics and the error counts per weights version. It implements entry.Recorder.
type requestRecorder struct {
	burn     *burn.Recorder
	metrics  *metrics.Registry
	versions *versionCounts
}

// RecordGeneration implements entry.Recorder.
func (r *requestRecorder) RecordGeneration(now time.Time, outcome entry.Outcome) {
	r.metrics.Counter("generation_requests", "result", resultLabel(&outcome)).Inc(1)
	r.metrics.Counter("prompt_tokens", "source", "cache").Inc(int64(outcome.ReusedTokens))
	r.metrics.Counter("prompt_tokens", "source", "computed").Inc(int64(outcome.ComputedTokens))
	if outcome.TTFT > 0 {
		r.metrics.Histogram("ttft_ms").Update(outcome.TTFT.Milliseconds())
	}
	if isCallerFault(outcome.Cause) {
		return
	}
	r.versions.add(outcome.Model, outcome.WeightsVersion, !outcome.Complete && !outcome.Abandoned)
	r.burn.RequestDone(now, outcome.Workspace, burn.Outcome{
		TTFT: max(outcome.TTFT, outcome.WaitBeforeAbandon), MaxBetweenTokens: outcome.MaxBetweenTokens, Complete: outcome.Complete, Abandoned: outcome.Abandoned,
		NonIdempotent: outcome.NonIdempotent, OutcomeKnown: outcome.OutcomeKnown, Cause: string(outcome.Cause),
	})
}

func resultLabel(outcome *entry.Outcome) string {
	switch {
	case outcome.Complete:
		return "complete"
	case outcome.Abandoned:
		return "abandoned"
	}
	return string(outcome.Cause)
}

// isCallerFault reports whether a failure was caused by the caller or by the workspace's own limits.
// Such failures do not count against the service-level objectives.
func isCallerFault(k fault.Kind) bool {
	switch k {
	case fault.RateLimited, fault.BadRequest, fault.SlowReader, fault.Superseded:
		return true
	}
	return false
}

// recordServiceOutcome records the outcome of a request to a plain service in the error-budget report.
func (n *Node) recordServiceOutcome(r service.Result) {
	if o, counted := burn.ServiceOutcome(r.NonIdempotent, r.Err, r.Abandoned); counted {
		n.recorder.RequestDone(time.Now(), r.Workspace, o)
	}
}
