package forward

import (
	"time"

	"cassiawall.example/cassiawall/pkg/event"
	"cassiawall.example/cassiawall/pkg/gateway/backends"
)

// noteAdmitted notes the request and the beliefs on which its way rests, with their ages.
func (j *job) noteAdmitted() {
	tenant := ""
	if j.tenant != nil {
		tenant = j.tenant.Name
	}
	args := []any{
		"route", j.route.Name, "workspace", tenant, "service", j.service, "deadline_ms", j.request.Deadline.Milliseconds(),
		"limit_ms", j.limit.Milliseconds(), "body_bytes", len(j.body), "config", j.config.Version,
		"config_age_ms", j.arrived.Sub(j.config.Since).Milliseconds(),
	}
	if j.request.Model != "" {
		newest, since, lowest := j.router.opt.Weights.Wanted(j.request.Model, j.arrived)
		args = append(args, "model", j.request.Model, "weights", newest, "weights_age_ms", j.arrived.Sub(since).Milliseconds(),
			"weights_lowest", lowest, "shared_tokens", j.sharedTokens(), "long", j.isLong())
	}
	j.trace.Add(event.RequestAdmitted, args...)
}

// noteChosen notes a send and why it goes to this backend server.
func (j *job) noteChosen(c *backends.Choice, call Call) {
	x := c.Counts
	j.trace.Add(event.BackendChosen, "backend", c.ID, "address", c.Address, "version", c.Version, "running", x.Running,
		"told_age_ms", x.HeartbeatAge.Milliseconds(), "open", x.Available, "paused", x.Paused, "leaving", x.Leaving, "loading", x.Loading,
		"tried", x.Tried, "old_weights", x.OldWeights, "left_ms", call.Deadline.Milliseconds(), "fetch_from", call.FetchFrom,
		"save_to", call.SaveTo, "resume_after", call.ResumeAfter, "send", j.sends)
}

// noteNoBackend notes once why no backend server may take the request.
func (j *job) noteNoBackend(x backends.CandidateCounts) {
	if j.withoutBackend {
		return
	}
	j.withoutBackend = true
	j.trace.Add(event.NoBackend, "leaving", x.Leaving, "loading", x.Loading, "tried", x.Tried, "old_weights", x.OldWeights)
}

// log notes a send that brought no whole answer.
func (j *job) log(c *backends.Choice, reason string, status int) {
	j.router.count("sends_failed")
	j.trace.Add(event.SendFailed, "backend", c.ID, "status", status, "reason", reason, "sends", j.sends, "runs", j.runs,
		"version", c.Version, "age_ms", time.Since(j.arrived).Milliseconds())
}

// end closes the trace of an answered request. Lines of requests that were late or sent more than once
// are kept.
func (j *job) end() {
	now := time.Now()
	first := now
	if !j.firstByte.IsZero() {
		first = j.firstByte
	}
	waited := first.Sub(j.arrived)
	j.trace.Add(event.RequestAnswered, "first_ms", waited.Milliseconds(), "took_ms", now.Sub(j.arrived).Milliseconds(),
		"sends", j.sends, "runs", j.runs)
	j.router.observe("first_byte_ms", waited)
	j.router.observe("answer_ms", now.Sub(j.arrived))
	j.router.count("requests", "outcome", "answered")
	if j.sends > 1 {
		j.router.count("requests_sent_again")
	}
	j.trace.End(waited > j.route.Objective || j.sends > 1)
}

// endUnserved closes the trace of a request that got no answer of a backend server.
func (j *job) endUnserved(reason, outcome string) {
	j.trace.Add(event.RequestNotServed, "route", j.route.Name, "outcome", outcome, "reason", reason, "sends", j.sends,
		"runs", j.runs, "tried", j.tried, "age_ms", time.Since(j.arrived).Milliseconds())
	j.router.count("requests", "outcome", outcome)
	j.router.count("not_served", "cause", reason)
	j.trace.End(true)
}
