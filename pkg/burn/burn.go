// Package burn measures how fast workspaces use their error budgets. It is pure: it does no I/O
// and takes the time as an argument. Each node records its own requests; sketches of all nodes are
// merged into one report.
package burn

import (
	"time"

	"cassiawall.example/cassiawall/pkg/config"
)

// Outcome is what happened to one request. Requests that were refused because of the workspace's
// own limits, or for a fault of the caller, are not recorded.
type Outcome struct {
	// TTFT is the time to the first token. For a caller who left before it, it is the time waited.
	// 0 means that there was no first token.
	TTFT time.Duration
	// MaxBetweenTokens is the longest time between two tokens. 0 means that there were not two.
	MaxBetweenTokens time.Duration
	// Complete says that the whole answer was delivered.
	Complete bool
	// Abandoned says that the caller left before the end.
	Abandoned bool
	// Plain marks a call of a plain service, which has no tokens.
	Plain bool
	// NonIdempotent marks a request that must run at most once.
	NonIdempotent bool
	// OutcomeKnown says that the caller was told whether a non-idempotent request ran.
	OutcomeKnown bool
	// Cause names why the request missed an objective, usually a fault kind. It must come from a
	// bounded set. Empty means that none is known.
	Cause string
}

// Objective is one service-level objective.
type Objective int

// The objectives of a workspace.
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
// of the error budget. Nodes have no disks, so the period is one that a node usually survives.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// windowCount is the number of windows.
const windowCount = len(Windows)

// Positions in Windows.
const (
	window5m = iota
	window30m
	window1h
	window6h
	window24h
)

// Tally counts requests against one objective.
type Tally struct {
	Bad   uint64
	Total uint64
}

func (t *Tally) add(other Tally) {
	t.Bad += other.Bad
	t.Total += other.Total
}

// tallies are the counts of all objectives.
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

// Causes of missed objectives for which the outcome names none.
const (
	causeNoFirstToken = "no_first_token"
	causeSlowStart    = "slow_first_token"
	causeSlowStream   = "slow_stream"
	causeCutStream    = "cut_stream"
	causeUnknown      = "outcome_unknown"
)

// evaluate compares an outcome with the objectives. It returns the counts and the default cause of a
// miss, the most harmful first.
func evaluate(o Outcome, levels config.Objectives) (counts tallies, cause string) {
	miss := func(objective Objective, bad bool, why string) {
		counts[objective].Total++
		if bad {
			counts[objective].Bad++
			cause = why
		}
	}
	if o.MaxBetweenTokens > 0 {
		miss(BetweenTokens, o.MaxBetweenTokens > levels.BetweenTokens.D(), causeSlowStream)
	}
	evaluateTTFT(o, levels, miss)
	if !o.Abandoned {
		miss(CompleteStreams, !o.Complete, causeCutStream)
	}
	if o.NonIdempotent {
		miss(KnownOutcomes, !o.OutcomeKnown, causeUnknown)
	}
	return counts, cause
}

// evaluateTTFT counts the time to first token. A caller who left early tells nothing about it.
func evaluateTTFT(o Outcome, levels config.Objectives, miss func(Objective, bool, string)) {
	late := o.TTFT > levels.TTFT.D()
	leftBefore := o.Abandoned && o.MaxBetweenTokens == 0
	switch {
	case o.Plain || leftBefore && !late:
	case o.TTFT == 0:
		miss(TTFT, true, causeNoFirstToken)
	default:
		miss(TTFT, late, causeSlowStart)
	}
}
