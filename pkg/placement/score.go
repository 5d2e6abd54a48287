package placement

import (
	"math"
	"time"
)

const (
	// defaultPrefillRate, in tokens per second, is assumed until the engine's rate is known.
	defaultPrefillRate = 20_000.0
	// defaultMaxBatch is the batch size that is assumed until the engine reports its own.
	defaultMaxBatch = 16
	// defaultStepTime is the duration of a decode step that is assumed until the engine's own is
	// known.
	defaultStepTime = 20 * time.Millisecond
	// defaultOutputTokens is the assumed number of output tokens of a request. A lower MaxTokens
	// replaces it.
	defaultOutputTokens = 128
	// interferenceCost is the cost of a recomputed token to other requests, relative to its own
	// prefill: it evicts a cached block and delays the requests behind it. At 70% load each second
	// of work delays later requests by 1/(1-0.7) - 1 = 2.3 seconds in total.
	interferenceCost = 2
	// rankCostMS is added per rank, so that of equal engines the one of lower rank is used and a prefix
	// stops using additional engines when its demand falls.
	rankCostMS = 1.0
)

// costScorer adds the weighted time to first token and the weighted cost of the computation that the
// choice causes, both in milliseconds.
type costScorer struct{}

// Score implements Scorer.
func (costScorer) Score(r *Request, s *ScoredEngine) {
	rate := prefillRateOf(s.View)
	missing := max(0, float64(s.TotalTokens)-s.CachedTokens)
	s.Wait = predictWait(s, rate, r.MaxTokens)
	prefill := seconds(missing / rate)
	s.TTFT = s.View.NetworkTime + s.Wait + prefill
	s.ComputeCost = weightOrDefault(r.Policy.RecomputeWeight) * millis(prefill) * (1 + interferenceCost)
	s.Cost = weightOrDefault(r.Policy.LatencyWeight)*millis(s.TTFT) + s.ComputeCost
	if s.Rank > 0 {
		s.Cost += rankCostMS * float64(min(s.Rank, orderLength))
	}
}

func prefillRateOf(v *EngineView) float64 {
	if v.Load.PrefillRate > 0 {
		return v.Load.PrefillRate
	}
	return defaultPrefillRate
}

// predictWait predicts the time until the engine starts the prefill: until the prefill work ahead is done
// or until the batch has room, whichever takes longer.
func predictWait(s *ScoredEngine, rate float64, maxTokens int) time.Duration {
	load := &s.View.Load
	wait := seconds(float64(load.BacklogTokens+s.DispatchedTokens) / rate)
	batch := s.View.MaxBatch
	if batch <= 0 {
		batch = defaultMaxBatch
	}
	excess := load.Running + load.Queued + s.DispatchedRequests + 1 - batch
	if excess <= 0 {
		return wait
	}
	step := load.StepTime
	if step <= 0 {
		step = defaultStepTime
	}
	output := defaultOutputTokens
	if maxTokens > 0 {
		output = min(output, maxTokens)
	}
	batchWait := time.Duration(float64(step) * float64(output) * float64(excess) / float64(batch))
	return max(wait, batchWait)
}

// loadScorer ignores the cache and prefers the engine with the fewest requests.
type loadScorer struct{}

// Score implements Scorer.
func (loadScorer) Score(r *Request, s *ScoredEngine) {
	costScorer{}.Score(r, s)
	load := &s.View.Load
	s.Cost = float64(load.Running + load.Queued + s.DispatchedRequests)
}

// weightOrDefault returns w, or 1 if it is not set.
func weightOrDefault(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
