package forward

import (
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
)

// traceAdmitted records the request and the configuration and weights version that its routing is based
// on, with their ages.
func (a *activeRequest) traceAdmitted() {
	workspace := ""
	if a.workspace != nil {
		workspace = a.workspace.Name
	}
	args := []any{
		"route", a.route.Name, "workspace", workspace, "service", a.service, "deadline_ms", a.request.Timeout.Milliseconds(),
		"limit_ms", a.timeout.Milliseconds(), "body_bytes", a.body.Len(), "config", a.config.Version,
		"config_age_ms", a.receivedAt.Sub(a.config.AppliedAt).Milliseconds(),
	}
	if a.request.Model != "" {
		now := clock.Now()
		newest, since, lowest := a.router.opt.Weights.DesiredVersions(a.request.Model, now)
		args = append(args, "model", a.request.Model, "weights", newest, "weights_age_ms", now.Sub(since).Milliseconds(),
			"weights_lowest", lowest, "prompt_tokens", a.request.PromptTokens, "output_tokens", a.request.MaxOutputTokens, "shared_tokens", a.sharedTokens(), "long", a.isDecodeHeavy())
	}
	a.trace.Add(event.RequestAdmitted, args...)
}

// traceBackendChosen records a send and the state that the choice of its backend server was based on.
func (a *activeRequest) traceBackendChosen(c *backends.Choice, backendReq BackendRequest) {
	counts := c.Counts
	a.trace.Add(event.BackendChosen, "backend", c.ID, "address", c.Address, "version", c.Version, "running", counts.Running,
		"heartbeat_age_ms", counts.HeartbeatAge.Milliseconds(), "available", counts.Available, "paused", counts.Paused, "leaving", counts.Leaving, "loading", counts.Loading,
		"tried", counts.Tried, "old_weights", counts.OldWeights, "left_ms", backendReq.Timeout.Milliseconds(), "fetch_from", backendReq.FetchFrom,
		"save_to", backendReq.SaveTo, "salt", backendReq.CacheSalt, "prefix", partSizes(a.sharedParts()), "resume_after", backendReq.LastEventID, "send", a.sends,
		"tokens_to_read", a.tokensToRead, "expected_first_ms", a.speedSample.expected.Milliseconds())
}

// traceNoBackend records, once for a request, why no backend server is available.
func (a *activeRequest) traceNoBackend(counts backends.CandidateCounts) {
	if a.noBackendTraced {
		return
	}
	a.noBackendTraced = true
	a.trace.Add(event.NoBackend, "leaving", counts.Leaving, "loading", counts.Loading, "tried", counts.Tried, "old_weights", counts.OldWeights, "limited", counts.Limited, "shedding", counts.Shedding)
}

// sendPhase is how far a failed send had come, in log lines and metric labels.
type sendPhase string

const (
	// phaseConnect is a send without a connection, and phaseRefused one that the backend server did not run.
	phaseConnect sendPhase = "connect"
	phaseRefused sendPhase = "refused"
	// phaseNoResponse is a send without a response, and phaseNoEvent a stream without a complete event.
	phaseNoResponse sendPhase = "no response"
	phaseNoEvent    sendPhase = "no event"
	// phaseStream is a stream that had delivered an event, and phaseResponse any other response.
	phaseStream   sendPhase = "stream"
	phaseResponse sendPhase = "response"
)

// traceIdle records that a stream has been idle for a time and why it does not move to another engine.
func (a *activeRequest) traceIdle(backend string, idle time.Duration, obstacle moveObstacle) {
	a.wasIdle = true
	args := []any{"backend", backend, "idle_ms", idle.Milliseconds(), "obstacle", obstacle, "begun", a.headerWritten, "runs", a.runs,
		"age_ms", time.Since(a.receivedAt).Milliseconds()}
	if obstacle == obstacleNoBackend {
		args = append(args, "paused", a.excluded.Paused, "leaving", a.excluded.Leaving, "loading", a.excluded.Loading, "tried", a.excluded.Tried,
			"old_weights", a.excluded.OldWeights, "limited", a.excluded.Limited, "shedding", a.excluded.Shedding)
	}
	a.trace.Add(event.StreamIdle, args...)
}

// recordSendFailed records a send that did not return a complete response. details are further attributes of the log line.
func (a *activeRequest) recordSendFailed(c *backends.Choice, phase sendPhase, reason string, status int, details ...any) {
	a.router.count("sends_failed", "phase", string(phase))
	args := []any{"backend", c.ID, "started", c.Started, "status", status, "phase", string(phase), "reason", reason,
		"sends", a.sends, "runs", a.runs, "version", c.Version, "parts", a.leadingPartIDs(), "age_ms", time.Since(a.receivedAt).Milliseconds()}
	a.trace.Add(event.SendFailed, append(args, details...)...)
}

// recordAnswered records metrics of a request with a response and ends its trace. The trace is always
// written if the response was late, its stream was idle or the request was sent more than once; others are sampled.
func (a *activeRequest) recordAnswered() {
	now := time.Now()
	firstByteAt := now
	if !a.firstByteAt.IsZero() {
		firstByteAt = a.firstByteAt
	}
	timeToFirstByte := firstByteAt.Sub(a.receivedAt)
	a.trace.Add(event.RequestAnswered, "first_ms", timeToFirstByte.Milliseconds(), "took_ms", now.Sub(a.receivedAt).Milliseconds(),
		"sends", a.sends, "runs", a.runs)
	a.router.observe("first_byte_ms", timeToFirstByte)
	a.router.observe("answer_ms", now.Sub(a.receivedAt))
	a.router.count("requests", "outcome", "answered")
	if a.sends > 1 {
		a.router.count("requests_sent_again")
	}
	a.trace.End(timeToFirstByte > a.route.LatencyObjective || a.sends > 1 || a.wasIdle)
}

// recordNotServed records a request without a successful response and writes its trace.
func (a *activeRequest) recordNotServed(reason, outcome string) {
	a.trace.Add(event.RequestNotServed, "route", a.route.Name, "outcome", outcome, "reason", reason, "sends", a.sends,
		"runs", a.runs, "tried", a.tried, "age_ms", time.Since(a.receivedAt).Milliseconds())
	a.router.count("requests", "outcome", outcome)
	a.router.count("not_served", "cause", reason)
	// A workspace far over its quota would fill the log.
	a.trace.End(reason != causeOverQuota || a.router.rejectionLogLimiter.Allow())
}
