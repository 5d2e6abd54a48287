package placement

import (
	"math"
	"time"
)

// hitRates estimates how often a prefix is still cached on the engine where this node expects it.
// An engine from the prefix index is rated by the age of its entry, any other preferred engine by its
// rank. The rates are moving averages over the cache hits that owners and engines report.
type hitRates struct {
	byAge  [ageBuckets]float64
	byRank [rankBuckets]float64
	// byRankPrivate is byRank for the pieces that only one caller uses.
	byRankPrivate [rankBuckets]float64
}

const (
	// ageBuckets is the number of age buckets, whose upper bounds are 62 ms, 125 ms, ... and about
	// 17 minutes. The last one also covers greater ages.
	ageBuckets  = 15
	rankBuckets = 4
	// hitRateGain is the weight of a new observation in the moving average.
	hitRateGain = 0.05
	// firstAgeBucketWidth is the width of the first age bucket.
	firstAgeBucketWidth = 62 * time.Millisecond
)

// initialSharedHitRates are the hit rates of shared pieces by rank before any observation. All nodes
// prefer the same engines, so the first one probably has the prefix cached.
var initialSharedHitRates = [rankBuckets]float64{0.8, 0.3, 0.1, 0.05}

// initialPrivateHitRates are the hit rates of pieces that only one caller uses, before any
// observation.
var initialPrivateHitRates = [rankBuckets]float64{0.3, 0.05, 0.02, 0.01}

func newHitRates() hitRates {
	h := hitRates{byRank: initialSharedHitRates, byRankPrivate: initialPrivateHitRates}
	for i := range h.byAge {
		h.byAge[i] = math.Pow(0.97, float64(i))
	}
	return h
}

func ageBucket(age time.Duration) int {
	if age < firstAgeBucketWidth {
		return 0
	}
	return min(ageBuckets-1, int(math.Log2(float64(age)/float64(firstAgeBucketWidth)))+1)
}

func (h *hitRates) forAge(age time.Duration) float64 { return h.byAge[ageBucket(age)] }

func (h *hitRates) rankTable(private bool) *[rankBuckets]float64 {
	if private {
		return &h.byRankPrivate
	}
	return &h.byRank
}

func (h *hitRates) forRank(rank int, private bool) float64 {
	if rank < 0 || rank >= rankBuckets {
		return 0
	}
	return h.rankTable(private)[rank]
}

func (h *hitRates) recordAge(age time.Duration, share float64) {
	rate := &h.byAge[ageBucket(age)]
	*rate += hitRateGain * (share - *rate)
}

func (h *hitRates) recordRank(rank int, private bool, share float64) {
	if rank < 0 || rank >= rankBuckets {
		return
	}
	rate := &h.rankTable(private)[rank]
	*rate += hitRateGain * (share - *rate)
}
