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
	// decisions is the number of placement decisions per measurement.
	decisions = 20_000
	// repeats is the number of measurements of which the median counts.
	repeats = 5
	// chainLength is the number of pieces for which the design page states its target.
	chainLength = 10
	// chains is the number of different prompts, of which several share their first half.
	chains = 1000
	// oddFactor spreads small numbers over 64 bits.
	oddFactor = 0x9e3779b97f4a7c15
)

// measurePlacement measures the time of a decision and the heap of a Placer with its soft map.
func measurePlacement(_ context.Context, engines int) (map[string]float64, error) {
	requests := placementRequests()
	before := heap()
	p, err := placement.New(placement.Options{})
	if err != nil {
		return nil, err
	}
	views := make([]placement.EngineView, engines)
	for i := range views {
		views[i] = placement.EngineView{ID: fmt.Sprintf("engine-%d", i), Incarnation: "1", Model: "m", WeightsVersion: "v1", MaxBatch: 16}
	}
	p.SetEngines(views)
	decide(p, requests)
	size := heap() - before
	time := medianOf(func() float64 { return decide(p, requests) })
	runtime.KeepAlive(p)
	return map[string]float64{"decision_us": time, "heap_mb": size / bytesPerMB}, nil
}

// bytesPerMB converts bytes to megabytes.
const bytesPerMB = 1e6

// decide returns the time of one decision in µs. One answer in four is reported back.
func decide(p *placement.Placer, requests []placement.Request) float64 {
	now := time.Unix(0, 0)
	begin := time.Now()
	for i := range decisions {
		r := &requests[i%len(requests)]
		c := p.Rank(now, r)
		if i%4 == 0 && len(c) > 0 {
			p.Observe(now, placement.Feedback{Pieces: r.Pieces, Engine: c[0].Engine, Incarnation: "1"})
		}
	}
	return float64(time.Since(begin).Microseconds()) / decisions
}

func placementRequests() []placement.Request {
	random := rand.New(rand.NewPCG(1, 1))
	requests := make([]placement.Request, chains)
	for i := range requests {
		r := &requests[i]
		r.Model, r.WeightsVersion, r.MaxTokens = "m", "v1", 100
		r.Policy = config.Policy{LatencyWeight: 1, RecomputeWeight: 1}
		for j := range chainLength {
			key := uint64(j+1) << 32
			if j >= chainLength/2 {
				key += random.Uint64N(200)
			}
			r.Pieces = append(r.Pieces, prefix.Piece{
				PrefixHash: key * oddFactor,
				Tokens:     config.DefaultPieceTokens,
				Level:      fmt.Sprintf("level-%d", j/2),
				Shared:     j < chainLength-1,
			})
		}
	}
	return requests
}

func medianOf(figure func() float64) float64 {
	values := make([]float64, repeats)
	for i := range values {
		values[i] = figure()
	}
	slices.Sort(values)
	return values[repeats/2]
}
