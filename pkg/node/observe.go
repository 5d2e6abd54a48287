package node

import (
	"time"

	"cassiawall.example/cassiawall/pkg/burn"
	"cassiawall.example/cassiawall/pkg/entry"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/metrics"
	"cassiawall.example/cassiawall/pkg/service"
)

// observer passes the outcomes of requests to the burn report and the metrics.
type observer struct {
	burn     *burn.Recorder
	metrics  *metrics.Registry
	versions *versionCounts
}

// GenerationDone implements entry.Recorder.
func (o *observer) GenerationDone(now time.Time, g entry.Outcome) {
	o.metrics.Counter("generation_requests", "result", resultOf(&g)).Inc(1)
	o.metrics.Counter("prompt_tokens", "source", "cache").Inc(int64(g.ReusedTokens))
	o.metrics.Counter("prompt_tokens", "source", "computed").Inc(int64(g.ComputedTokens))
	if g.TTFT > 0 {
		o.metrics.Histogram("ttft_ms").Update(g.TTFT.Milliseconds())
	}
	if callerFault(g.Cause) {
		return
	}
	o.versions.add(g.Model, g.WeightsVersion, !g.Complete && !g.Abandoned)
	o.burn.RequestDone(now, g.Workspace, burn.Outcome{
		TTFT: max(g.TTFT, g.Waited), MaxBetweenTokens: g.MaxBetweenTokens, Complete: g.Complete, Abandoned: g.Abandoned,
		NonIdempotent: g.NonIdempotent, OutcomeKnown: g.OutcomeKnown, Cause: string(g.Cause),
	})
}

func resultOf(g *entry.Outcome) string {
	switch {
	case g.Complete:
		return "complete"
	case g.Abandoned:
		return "abandoned"
	}
	return string(g.Cause)
}

// callerFault reports whether the caller or the workspace's own limits caused a failure, which
// does not count against the system's objectives.
func callerFault(k fault.Kind) bool {
	switch k {
	case fault.RateLimited, fault.BadRequest, fault.SlowReader, fault.Superseded:
		return true
	}
	return false
}

// serviceDone passes the outcome of a call of a plain service to the burn report.
func (n *Node) serviceDone(r service.Result) {
	if o, counted := burn.ServiceOutcome(r.NonIdempotent, r.Err, r.Abandoned); counted {
		n.recorder.RequestDone(time.Now(), r.Workspace, o)
	}
}
