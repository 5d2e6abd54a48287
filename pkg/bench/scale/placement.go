package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/placement"
	"cassiawall.example/cassiawall/pkg/prefix"
)

func init() {
	Register(Role{
		Name:       "placement",
		SizeUnit:   "engines",
		TargetSize: 790,
		Sizes:      []int{100, 200, 400, 790},
		Measure:    measurePlacement,
	})
}

const (
	// decisionsPerMeasurement is the number of placement decisions per measurement.
	decisionsPerMeasurement = 20_000
	// measurementCount is the number of measurements of which the median is taken.
	measurementCount = 5
	// piecesPerPrompt is the prompt length for which the design page states its target.
	piecesPerPrompt = 10
	// promptCount is the number of prompts. All have the first half of their pieces in common.
	promptCount = 1000
	// hashMultiplier is the odd 64-bit multiplier of Fibonacci hashing. It spreads small numbers
	// over 64 bits.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// measurePlacement measures the time of a placement decision and the heap of a Placer, including
// its prefix index.
func measurePlacement(_ context.Context, engines int) (map[string]float64, error) {
	requests := placementRequests()
	heapBefore := liveHeapBytes()
	placer, err := placement.New(placement.Options{})
	if err != nil {
		return nil, err
	}
	views := make([]placement.EngineView, engines)
	for i := range views {
		views[i] = placement.EngineView{ID: fmt.Sprintf("engine-%d", i), Incarnation: "1", Model: "m", WeightsVersion: "v1", MaxBatch: 16}
	}
	placer.SetEngines(views)
	timeDecision(placer, requests)
	heapBytes := liveHeapBytes() - heapBefore
	decisionTime := medianOf(func() float64 { return timeDecision(placer, requests) })
	runtime.KeepAlive(placer)
	return map[string]float64{"decision_us": decisionTime, "heap_mb": heapBytes / bytesPerMB}, nil
}

// bytesPerMB converts bytes to megabytes.
const bytesPerMB = 1e6

// timeDecision returns the mean time of a placement decision, in µs. After one decision in four it
// reports to the Placer that the chosen engine has cached the prompt.
func timeDecision(placer *placement.Placer, requests []placement.Request) float64 {
	now := time.Unix(0, 0)
	start := time.Now()
	for i := range decisionsPerMeasurement {
		r := &requests[i%len(requests)]
		candidates := placer.Rank(now, r)
		if i%4 == 0 && len(candidates) > 0 {
			placer.Observe(now, placement.Feedback{Pieces: r.Pieces, Engine: candidates[0].Engine, Incarnation: "1"})
		}
	}
	return float64(time.Since(start).Microseconds()) / decisionsPerMeasurement
}

// placementRequests returns the requests to place, the same at each call.
func placementRequests() []placement.Request {
	rng := rand.New(rand.NewPCG(1, 1))
	requests := make([]placement.Request, promptCount)
	for i := range requests {
		r := &requests[i]
		r.Model, r.WeightsVersion, r.MaxTokens = "m", "v1", 100
		r.Policy = config.Policy{LatencyWeight: 1, RecomputeWeight: 1}
		for j := range piecesPerPrompt {
			hash := uint64(j+1) << 32
			if j >= piecesPerPrompt/2 {
				hash += rng.Uint64N(200)
			}
			r.Pieces = append(r.Pieces, prefix.Piece{
				PrefixHash: hash * hashMultiplier,
				Tokens:     config.DefaultPieceTokens,
				Level:      fmt.Sprintf("level-%d", j/2),
				Shared:     j < piecesPerPrompt-1,
			})
		}
	}
	return requests
}

// medianOf returns the median of several measurements.
func medianOf(measure func() float64) float64 {
	values := make([]float64, measurementCount)
	for i := range values {
		values[i] = measure()
	}
	slices.Sort(values)
	return values[measurementCount/2]
}
