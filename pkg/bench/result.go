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
	Crossed    int                `json:"crossed"`
	ErrorKinds map[fault.Kind]int `json:"kinds,omitempty"`
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

	ttftBuckets []histogramBucket
}

// histogramBucket is one bar of the TTFT distribution.
type histogramBucket struct{ fromMS, toMS, share float64 }

func (r *policyRun) result(lastFault time.Duration) PolicyResult {
	now := r.engineTotals()
	f := now.sub(&r.warmUpTotals)
	spent := f.computed + f.decoded
	loads := engineLoads(f.busySeconds, r.measuredTime.Seconds())
	mean, cv := meanAndCV(loads)
	out := PolicyResult{
		Requests:             r.counts.requests,
		Complete:             r.counts.complete,
		Abandoned:            r.counts.abandoned,
		Refused:              r.counts.refused,
		Errors:               r.counts.errors,
		Crossed:              r.counts.crossed,
		ErrorKinds:           r.counts.errorKinds,
		TTFT:                 loadgen.QuantilesOf(r.ttft),
		PrefixHitRate:        loadgen.Ratio(f.reused, f.reused+f.computed),
		WastedTokensShare:    loadgen.Ratio(f.cancelled, spent),
		WastedAbandonedShare: loadgen.Ratio(f.ledger.AfterAbandonment, f.ledger.Total),
		RecomputedShare:      loadgen.Ratio(f.ledger.Recomputed, int64(f.reused+f.computed)),
		EngineLoad:           mean,
		EngineLoadCV:         cv,
		EngineLoads:          loads,
		Samples:              r.samples,
		ttftBuckets:          r.ttftBuckets(),
	}
	if lastFault > 0 {
		out.HitRateAfterFault = hitRateRatio(r.samples, lastFault)
	}
	return out
}

func (f *engineTotals) sub(earlier *engineTotals) engineTotals {
	difference := engineTotals{
		computed:  f.computed - earlier.computed,
		reused:    f.reused - earlier.reused,
		decoded:   f.decoded - earlier.decoded,
		cancelled: f.cancelled - earlier.cancelled,
	}
	difference.ledger.Total = f.ledger.Total - earlier.ledger.Total
	difference.ledger.Recomputed = f.ledger.Recomputed - earlier.ledger.Recomputed
	difference.ledger.AfterAbandonment = f.ledger.AfterAbandonment - earlier.ledger.AfterAbandonment
	for i, busy := range f.busySeconds {
		if i < len(earlier.busySeconds) {
			busy -= earlier.busySeconds[i]
		}
		difference.busySeconds = append(difference.busySeconds, busy)
	}
	return difference
}

// engineLoads returns the loads of engines that worked for some seconds out of a time.
func engineLoads(busySeconds []float64, elapsedSeconds float64) []float64 {
	loads := make([]float64, len(busySeconds))
	for i, busy := range busySeconds {
		loads[i] = loadgen.Ratio(busy, elapsedSeconds)
	}
	return loads
}

// meanAndCV returns the mean and the coefficient of variation.
func meanAndCV(values []float64) (mean, cv float64) {
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

// hitRateRatio returns the hit rate in the window after a time relative to the one before.
func hitRateRatio(samples []Sample, at time.Duration) float64 {
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

// bucketRatio is the ratio of the ends of a bar in the TTFT distribution, and firstBucketEnd the end of
// the first one.
const (
	bucketRatio    = 1.25
	firstBucketEnd = time.Millisecond
)

// ttftBuckets returns the TTFT distribution in logarithmic bars.
func (r *policyRun) ttftBuckets() []histogramBucket {
	var buckets []histogramBucket
	total := r.ttft.TotalCount()
	bucketEnd := float64(firstBucketEnd.Microseconds())
	bucket := histogramBucket{toMS: bucketEnd / 1000}
	for _, b := range r.ttft.Distribution() {
		for float64(b.From) >= bucketEnd {
			buckets = append(buckets, bucket)
			bucketEnd *= bucketRatio
			bucket = histogramBucket{fromMS: bucket.toMS, toMS: bucketEnd / 1000}
		}
		bucket.share += loadgen.Ratio(b.Count, total)
	}
	return append(buckets, bucket)
}
