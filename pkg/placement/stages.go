package placement

import (
	"fmt"
	"time"
)

// ScoredEngine is an engine that is evaluated for a request: its load, its estimated cached tokens and,
// after the Scorer, its cost.
type ScoredEngine struct {
	View *EngineView
	// Rank is 0 for the preferred engines that the demand needs, and counts up for the ones after
	// them; -1 for engines that are not preferred.
	Rank int
	// DispatchedTokens and DispatchedRequests are this node's own work that the engine's load
	// summary does not include yet.
	DispatchedTokens   int
	DispatchedRequests int
	// CachedTokens is the expected number of cached tokens of the prompt.
	CachedTokens float64
	// CachedPieces is the number of leading pieces that are probably cached.
	CachedPieces int
	// TotalTokens is the number of tokens of the prompt.
	TotalTokens int

	// Wait is the predicted time until the prefill starts.
	Wait time.Duration
	// TTFT is the predicted time to first token.
	TTFT time.Duration
	// Cost is the weighted sum of all costs, in milliseconds.
	Cost float64
	// ComputeCost is the part of Cost for the prefill of uncached tokens and its effect on other
	// requests.
	ComputeCost float64

	engine int32
}

// Filter removes engines that cannot run a request.
type Filter interface {
	Keep(r *Request, e *EngineView) bool
}

// Scorer sets Wait, TTFT and the costs of an engine.
type Scorer interface {
	Score(r *Request, s *ScoredEngine)
}

// Picker orders engines, best first, and returns those whose owners are queried.
type Picker interface {
	Pick(scored []ScoredEngine) []ScoredEngine
}

// DefaultFilter, DefaultScorer and DefaultPicker name the default stages.
const (
	DefaultFilter = "serving"
	DefaultScorer = "cost"
	DefaultPicker = "cheapest"
)

var filters = map[string]Filter{DefaultFilter: servingFilter{}}

var scorers = map[string]Scorer{
	DefaultScorer:  costScorer{},
	"least-loaded": loadScorer{},
}

var pickers = map[string]Picker{DefaultPicker: cheapestPicker{}}

func lookupStage[S any](stages map[string]S, name, fallback string) (S, error) {
	if name == "" {
		name = fallback
	}
	s, ok := stages[name]
	if !ok {
		return s, fmt.Errorf("no placement stage named %q", name)
	}
	return s, nil
}
