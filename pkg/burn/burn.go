// Package burn computes the burn rates of the workspaces' error budgets. A burn rate is the share of
// requests that miss an objective, divided by the share that the target allows. Each node records its
// own requests; compact summaries (sketches) of all nodes are merged into one report. The package does
// no I/O and takes the time as an argument.
package burn

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
)

// Outcome is the result of one request, as far as objectives depend on it. Requests that were refused
// because of the workspace's own limits, or for a fault of the caller, are not recorded.
type Outcome struct {
	// TTFT is the time to first token. If the caller disconnected before the first token, it is the
	// time until then. 0 means that there was no first token.
	TTFT time.Duration
	// MaxBetweenTokens is the longest time between two tokens. 0 means fewer than two tokens.
	MaxBetweenTokens time.Duration
	// Complete means that the whole response was delivered.
	Complete bool
	// Abandoned means that the caller disconnected before the end of the response.
	Abandoned bool
	// Plain marks a call of a plain service, which has no tokens.
	Plain bool
	// NonIdempotent marks a request that must run at most once.
	NonIdempotent bool
	// OutcomeKnown means that the response or error states whether a non-idempotent request ran.
	OutcomeKnown bool
	// Cause is the reason for which the request missed an objective, usually a fault kind. Values
	// must come from a bounded set. Empty selects the default cause of the missed objective.
	Cause string
}

// Objective is one service-level objective.
type Objective int

// The objectives of a workspace: time to first token, time between tokens, streams that are delivered
// completely, and non-idempotent requests whose response or error states whether they ran.
const (
	TTFT Objective = iota
	BetweenTokens
	CompleteStreams
	KnownOutcomes
	objectiveCount
)

var objectiveNames = [objectiveCount]string{"ttft", "between_tokens", "complete_streams", "known_outcomes"}

// String returns the objective's name in reports.
func (o Objective) String() string { return objectiveNames[o] }

// target returns the share of requests that must meet the objective.
func (o Objective) target(levels config.Objectives) float64 {
	switch o {
	case CompleteStreams:
		return levels.CompleteTarget
	case KnownOutcomes:
		return levels.OutcomeTarget
	}
	return levels.Target
}

// Windows are the spans over which burn rates are computed, shortest first. The last is the period
// of the error budget. Counts are lost when a node restarts, because nodes have no disks, so the
// period is one for which a node usually runs without a restart.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

const windowCount = len(Windows)

// Indexes into Windows.
const (
	window5m = iota
	window30m
	window1h
	window6h
	window24h
)

// Tally counts requests against one objective.
type Tally struct {
	// Bad is the number of requests that missed the objective.
	Bad uint64
	// Total is the number of requests to which the objective applies.
	Total uint64
}

func (t *Tally) add(other Tally) {
	t.Bad += other.Bad
	t.Total += other.Total
}

// tallies are the counts by objective.
type tallies [objectiveCount]Tally

func (t *tallies) add(other tallies) {
	for i := range t {
		t[i].add(other[i])
	}
}

func (t *tallies) bad() uint64 {
	var sum uint64
	for _, tally := range t {
		sum += tally.Bad
	}
	return sum
}

// Default causes, used if Outcome.Cause is empty.
const (
	causeNoFirstToken = "no_first_token"
	causeSlowStart    = "slow_first_token"
	causeSlowStream   = "slow_stream"
	causeCutStream    = "cut_stream"
	causeUnknown      = "outcome_unknown"
)

// evaluate compares an outcome with the objectives. It returns the counts of the request and the
// default cause of a miss. If several objectives are missed, it is the cause of the most harmful miss:
// unknown outcome, then cut stream, then missing or late first token, then slow stream.
func evaluate(o Outcome, levels config.Objectives) (counts tallies, cause string) {
	count := func(objective Objective, bad bool, badCause string) {
		counts[objective].Total++
		if bad {
			counts[objective].Bad++
			cause = badCause
		}
	}
	if o.MaxBetweenTokens > 0 {
		count(BetweenTokens, o.MaxBetweenTokens > levels.BetweenTokens.AsDuration(), causeSlowStream)
	}
	evaluateTTFT(o, levels, count)
	if !o.Abandoned {
		count(CompleteStreams, !o.Complete, causeCutStream)
	}
	if o.NonIdempotent {
		count(KnownOutcomes, !o.OutcomeKnown, causeUnknown)
	}
	return counts, cause
}

// evaluateTTFT counts the request against the objective for the time to first token. A plain call, or
// one whose caller disconnected before the first token was due, is not counted.
func evaluateTTFT(o Outcome, levels config.Objectives, count func(Objective, bool, string)) {
	late := o.TTFT > levels.TTFT.AsDuration()
	leftBefore := o.Abandoned && o.MaxBetweenTokens == 0
	switch {
	case o.Plain || leftBefore && !late:
	case o.TTFT == 0:
		count(TTFT, true, causeNoFirstToken)
	default:
		count(TTFT, late, causeSlowStart)
	}
}
