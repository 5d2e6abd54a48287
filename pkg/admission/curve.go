package admission

import (
	"math"
	"time"
)

// curveBuckets is the number of age buckets. Bucket 0 covers ages below 50 ms, and bucket i > 0
// covers ages from 2^(i-1) × 50 ms to 2^i × 50 ms. The last bucket starts at about 14 minutes and
// has no upper end.
const curveBuckets = 16

const firstBucketWidth = 50 * time.Millisecond

// curveDecayFactor scales all counts down after every curveDecayInterval observations, so that the
// curve follows changes in the behaviour of callers.
const (
	curveDecayFactor   = 0.5
	curveDecayInterval = 2000
)

// priorAtRisk is the weight, in requests per bucket, of the prior assumption that callers do not
// leave.
const priorAtRisk = 20

// SurvivalCurve estimates the probability that a caller still waits for a request of a given age.
// It is a Kaplan-Meier estimate from the abandoned requests and the requests at risk per age
// bucket. The zero value has no observations and assumes that no caller leaves. It is not safe for
// concurrent use.
type SurvivalCurve struct {
	atRisk       [curveBuckets]float64
	abandoned    [curveBuckets]float64
	observations int
}

func bucketOf(age time.Duration) int {
	if age < firstBucketWidth {
		return 0
	}
	b := int(math.Log2(float64(age)/float64(firstBucketWidth))) + 1
	return min(b, curveBuckets-1)
}

func bucketStart(b int) time.Duration {
	if b == 0 {
		return 0
	}
	return firstBucketWidth << (b - 1)
}

// Observe records a request that ended at an age. abandoned is set if it ended because its
// caller left.
func (c *SurvivalCurve) Observe(age time.Duration, abandoned bool) {
	last := bucketOf(age)
	for b := 0; b <= last; b++ {
		c.atRisk[b]++
	}
	if abandoned {
		c.abandoned[last]++
	}
	c.observations++
	if c.observations%curveDecayInterval == 0 {
		for b := range c.atRisk {
			c.atRisk[b] *= curveDecayFactor
			c.abandoned[b] *= curveDecayFactor
		}
	}
}

// SurvivalProbability returns the probability that a caller whose request has the given age is
// still waiting once the horizon has passed.
func (c *SurvivalCurve) SurvivalProbability(age, horizon time.Duration) float64 {
	end := age + horizon
	survival := 1.0
	for b := bucketOf(age); b <= bucketOf(end); b++ {
		from := max(age, bucketStart(b))
		to := end
		if b < curveBuckets-1 {
			to = min(end, bucketStart(b+1))
		}
		width := firstBucketWidth
		if b > 0 {
			width = bucketStart(b)
		}
		fraction := min(1, float64(to-from)/float64(width))
		hazard := c.abandoned[b] / (c.atRisk[b] + priorAtRisk)
		survival *= math.Pow(1-hazard, fraction)
	}
	return survival
}
