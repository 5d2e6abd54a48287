package placement

import (
	"fmt"
	"time"
)

// ScoredEngine is a candidate in work: an engine with the evidence for its cached tokens.
type ScoredEngine struct {
	View *EngineView
	// Rank is the engine's place among the homes beyond the width that demand needs; -1 for
	// engines that are no home.
	Rank int
	// Dispatched is this node's own work that the engine's summary does not show yet.
	DispatchedTokens   int
	DispatchedRequests int
	// CachedTokens is the expected number of cached tokens of the prompt.
	CachedTokens float64
	// CachedPieces is the number of leading pieces that are probably cached.
	CachedPieces int
	TotalTokens  int

	Wait time.Duration
	TTFT time.Duration
	Cost float64
	// ComputeCost is the part of Cost for recomputed and evicted tokens.
	ComputeCost float64

	engine int32
}

// Filter removes engines that cannot run a request.
type Filter interface {
	Keep(r *Request, e *EngineView) bool
}

// Scorer sets Wait, TTFT and the costs of an option.
type Scorer interface {
	Score(r *Request, s *ScoredEngine)
}

// Picker orders options, best first, and returns those to ask.
type Picker interface {
	Pick(scored []ScoredEngine) []ScoredEngine
}

// Names of the default stages.
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
