package bench

import (
	"math"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/loadgen"
)

// Result is the outcome of a bench.
type Result struct {
	Profile  string                  `json:"profile"`
	Seed     uint64                  `json:"seed"`
	Duration string                  `json:"duration"`
	Load     float64                 `json:"load"`
	Faults   []string                `json:"faults"`
	Policies map[string]PolicyResult `json:"policies"`
	Limit    Limit                   `json:"limit"`
}

// PolicyResult holds the figures of one policy. Shares are between 0 and 1.
type PolicyResult struct {
	Requests  int `json:"requests"`
	Complete  int `json:"complete"`
	Abandoned int `json:"abandoned"`
	// Refused counts requests that were refused and not run, Errors other failures.
	Refused int `json:"refused"`
	Errors  int `json:"errors"`
	// Crossed counts complete answers with the text of another request.
	Crossed int                `json:"crossed"`
	Kinds   map[fault.Kind]int `json:"kinds,omitempty"`
	// TTFT is over the callers who stay until the answer ends.
	TTFT loadgen.Quantiles `json:"ttft_ms"`
	// PrefixHitRate is the share of prompt tokens that came from a cache.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// WastedTokensShare is the share of engine tokens spent on requests that did not end whole.
	WastedTokensShare float64 `json:"wasted_tokens_share"`
	// WastedAbandonedShare is the share spent after the caller had left.
	WastedAbandonedShare float64 `json:"wasted_abandoned_share"`
	// RecomputedShare is the share of prompt tokens that an engine computed although some
	// engine of the pool had computed them before.
	RecomputedShare float64 `json:"recomputed_share"`
	// EngineLoad is the mean load of the engines and EngineLoadCV its coefficient of variation.
	EngineLoad   float64   `json:"engine_load"`
	EngineLoadCV float64   `json:"engine_load_cv"`
	EngineLoads  []float64 `json:"engine_loads"`
	// HitRateAfterFault is the hit rate in the 5 s after the last fault relative to the 5 s
	// before it, or 0 without a fault at a point in time.
	HitRateAfterFault float64  `json:"hit_rate_after_fault,omitempty"`
	Samples           []Sample `json:"samples"`

	bars []histogramBar
}

// histogramBar is one bar of the TTFT distribution.
type histogramBar struct{ fromMS, toMS, share float64 }

func (r *policyRun) result(faultAt time.Duration) PolicyResult {
	now := r.figures()
	f := now.minus(&r.before)
	spent := f.computed + f.decoded
	loads := loadsOf(f.work, r.active.Seconds())
	mean, cv := spread(loads)
	out := PolicyResult{
		Requests:             r.counts.requests,
		Complete:             r.counts.complete,
		Abandoned:            r.counts.abandoned,
		Refused:              r.counts.refused,
		Errors:               r.counts.errors,
		Crossed:              r.counts.crossed,
		Kinds:                r.counts.kinds,
		TTFT:                 loadgen.QuantilesOf(r.ttft),
		PrefixHitRate:        loadgen.Ratio(f.reused, f.reused+f.computed),
		WastedTokensShare:    loadgen.Ratio(f.cancelled, spent),
		WastedAbandonedShare: loadgen.Ratio(f.ledger.AfterAbandonment, f.ledger.Total),
		RecomputedShare:      loadgen.Ratio(f.ledger.Recomputed, int64(f.reused+f.computed)),
		EngineLoad:           mean,
		EngineLoadCV:         cv,
		EngineLoads:          loads,
		Samples:              r.samples,
		bars:                 r.bars(),
	}
	if faultAt > 0 {
		out.HitRateAfterFault = hitRateChange(r.samples, faultAt)
	}
	return out
}

func (f *figures) minus(earlier *figures) figures {
	out := figures{
		computed:  f.computed - earlier.computed,
		reused:    f.reused - earlier.reused,
		decoded:   f.decoded - earlier.decoded,
		cancelled: f.cancelled - earlier.cancelled,
	}
	out.ledger.Total = f.ledger.Total - earlier.ledger.Total
	out.ledger.Recomputed = f.ledger.Recomputed - earlier.ledger.Recomputed
	out.ledger.AfterAbandonment = f.ledger.AfterAbandonment - earlier.ledger.AfterAbandonment
	for i, w := range f.work {
		if i < len(earlier.work) {
			w -= earlier.work[i]
		}
		out.work = append(out.work, w)
	}
	return out
}

// loadsOf returns the loads of engines that worked for some seconds out of a time.
func loadsOf(work []float64, seconds float64) []float64 {
	loads := make([]float64, len(work))
	for i, w := range work {
		loads[i] = loadgen.Ratio(w, seconds)
	}
	return loads
}

// spread returns the mean and the coefficient of variation.
func spread(values []float64) (mean, cv float64) {
	if len(values) == 0 {
		return 0, 0
	}
	for _, v := range values {
		mean += v / float64(len(values))
	}
	squares := 0.0
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	return mean, loadgen.Ratio(math.Sqrt(squares/float64(len(values))), mean)
}

// faultWindow is the time before and after a fault over which hit rates are compared.
const faultWindow = 5 * time.Second

// hitRateChange returns the hit rate in the window after a time relative to the one before.
func hitRateChange(samples []Sample, at time.Duration) float64 {
	var before, after Sample
	for i := range samples {
		s := &samples[i]
		switch {
		case s.At > at-faultWindow && s.At <= at:
			before.Reused += s.Reused
			before.Computed += s.Computed
		case s.At > at && s.At <= at+faultWindow:
			after.Reused += s.Reused
			after.Computed += s.Computed
		}
	}
	return loadgen.Ratio(after.HitRate(), before.HitRate())
}

// barRatio is the ratio of the ends of a bar in the TTFT distribution, and firstBar the end of
// the first one.
const (
	barRatio = 1.25
	firstBar = time.Millisecond
)

// bars returns the TTFT distribution in logarithmic bars.
func (r *policyRun) bars() []histogramBar {
	var bars []histogramBar
	total := r.ttft.TotalCount()
	limit := float64(firstBar.Microseconds())
	bar := histogramBar{toMS: limit / 1000}
	for _, b := range r.ttft.Distribution() {
		for float64(b.From) >= limit {
			bars = append(bars, bar)
			limit *= barRatio
			bar = histogramBar{fromMS: bar.toMS, toMS: limit / 1000}
		}
		bar.share += loadgen.Ratio(b.Count, total)
	}
	return append(bars, bar)
}
