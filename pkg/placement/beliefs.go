package placement

import (
	"math"
	"time"
)

// Beliefs are learned from answers: how often a prefix was still cached where this node expected
// it, by the age of the evidence or by the rank of the home.
type beliefs struct {
	byAge  [ageBuckets]float64
	byRank [rankBuckets]float64
	// byRankPrivate is byRank for the pieces that only one caller uses.
	byRankPrivate [rankBuckets]float64
}

const (
	// ageBuckets cover 62 ms, 125 ms, ... up to about 17 minutes.
	ageBuckets  = 15
	rankBuckets = 4
	// beliefGain is the weight of a new observation.
	beliefGain = 0.05
	// firstAgeBucket is the width of the first age bucket.
	firstAgeBucket = 62 * time.Millisecond
)

// initialRankBelief is assumed before any answer: other nodes use the same homes, so the first
// one is probably warm.
var initialRankBelief = [rankBuckets]float64{0.8, 0.3, 0.1, 0.05}

var initialPrivateBelief = [rankBuckets]float64{0.3, 0.05, 0.02, 0.01}

func newBeliefs() beliefs {
	b := beliefs{byRank: initialRankBelief, byRankPrivate: initialPrivateBelief}
	for i := range b.byAge {
		b.byAge[i] = math.Pow(0.97, float64(i))
	}
	return b
}

func ageBucket(age time.Duration) int {
	if age < firstAgeBucket {
		return 0
	}
	return min(ageBuckets-1, int(math.Log2(float64(age)/float64(firstAgeBucket)))+1)
}

func (b *beliefs) age(age time.Duration) float64 { return b.byAge[ageBucket(age)] }

func (b *beliefs) ofRank(private bool) *[rankBuckets]float64 {
	if private {
		return &b.byRankPrivate
	}
	return &b.byRank
}

func (b *beliefs) rank(rank int, private bool) float64 {
	if rank < 0 || rank >= rankBuckets {
		return 0
	}
	return b.ofRank(private)[rank]
}

func (b *beliefs) observeAge(age time.Duration, share float64) {
	p := &b.byAge[ageBucket(age)]
	*p += beliefGain * (share - *p)
}

func (b *beliefs) observeRank(rank int, private bool, share float64) {
	if rank < 0 || rank >= rankBuckets {
		return
	}
	p := &b.ofRank(private)[rank]
	*p += beliefGain * (share - *p)
}
