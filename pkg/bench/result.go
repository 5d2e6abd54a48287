package bench

import (
	"math"
	"time"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/loadgen"
)

// Result holds the results of a bench. It is written as JSON.
type Result struct {
	Profile  string                  `json:"profile"`
	Seed     uint64                  `json:"seed"`
	Duration string                  `json:"duration"`
	Load     float64                 `json:"load"`
	Faults   []string                `json:"faults"`
	Policies map[string]PolicyResult `json:"policies"`
	Limit    Limit                   `json:"limit"`
}

// PolicyResult holds the results of one policy, without the warm-up except for Samples. Shares are
// between 0 and 1.
type PolicyResult struct {
	Requests  int `json:"requests"`
	Complete  int `json:"complete"`
	Abandoned int `json:"abandoned"`
	// Refused counts requests that failed with the information that they were not run.
	Refused int `json:"refused"`
	// Errors counts all other failures.
	Errors int `json:"errors"`
	// Crossed counts complete responses with a text other than the one expected for the request,
	// such as the text of another request.
	Crossed    int                `json:"crossed"`
	ErrorKinds map[fault.Kind]int `json:"kinds,omitempty"`
	// TTFT is the time to first token over requests whose callers stay until the response ends.
	TTFT loadgen.Quantiles `json:"ttft_ms"`
	// PrefixHitRate is the share of prompt tokens that came from a cache.
	PrefixHitRate float64 `json:"prefix_hit_rate"`
	// WastedTokensShare is the share of computed and decoded tokens that were spent on requests
	// that were cancelled or lost in a crash.
	WastedTokensShare float64 `json:"wasted_tokens_share"`
	// WastedAbandonedShare is the share of prefill and decode work that was done after the caller
	// had disconnected.
	WastedAbandonedShare float64 `json:"wasted_abandoned_share"`
	// RecomputedShare is the share of prompt tokens that an engine computed although some
	// engine of the pool had computed them before.
	RecomputedShare float64 `json:"recomputed_share"`
	// EngineLoad is the mean load of the engines and EngineLoadCV its coefficient of variation.
	EngineLoad   float64 `json:"engine_load"`
	EngineLoadCV float64 `json:"engine_load_cv"`
	// EngineLoads is the load of each engine: its busy time as a share of the measured time.
	EngineLoads []float64 `json:"engine_loads"`
	// HitRateAfterFault is the ratio of the hit rate in the 5 s after the last momentary fault (a
	// crash or restart) to that in the 5 s before it, or 0 without such a fault.
	HitRateAfterFault float64 `json:"hit_rate_after_fault,omitempty"`
	// Samples are the figures over time, including the warm-up.
	Samples []Sample `json:"samples"`

	ttftBuckets []histogramBucket
}

// histogramBucket is one bucket of the TTFT histogram. share is its share of all requests in it.
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

// engineLoads returns the load of each engine: its busy time divided by the elapsed time.
func engineLoads(busySeconds []float64, elapsedSeconds float64) []float64 {
	loads := make([]float64, len(busySeconds))
	for i, busy := range busySeconds {
		loads[i] = loadgen.Ratio(busy, elapsedSeconds)
	}
	return loads
}

// meanAndCV returns the mean and the coefficient of variation, or zeros without values.
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

// faultWindow is the duration of the windows before and after a fault whose hit rates are compared.
const faultWindow = 5 * time.Second

// hitRateRatio returns the ratio of the hit rate in the window after a trace time to that in the
// window before it.
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

const (
	// bucketRatio is the ratio of the upper to the lower bound of a bucket of the TTFT histogram.
	bucketRatio = 1.25
	// firstBucketEnd is the upper bound of the first bucket, which starts at 0.
	firstBucketEnd = time.Millisecond
)

// ttftBuckets returns the TTFT histogram with logarithmic buckets.
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
