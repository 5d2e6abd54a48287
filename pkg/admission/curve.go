package admission

import (
	"math"
	"time"
)

// curveBuckets is the number of age buckets. Bucket i ends at 2^i × 50 ms, so the last one starts
// at about 27 minutes.
const curveBuckets = 16

// firstBucketWidth is the width of the first age bucket.
const firstBucketWidth = 50 * time.Millisecond

// curveDecayFactor is applied to all counts after curveDecayInterval observations, so that a curve follows
// a change of behaviour.
const (
	curveDecayFactor   = 0.5
	curveDecayInterval = 2000
)

// priorAtRisk is the weight of the initial assumption that callers stay.
const priorAtRisk = 20

// SurvivalCurve is the survival curve of a workspace's callers over the age of a request, estimated from
// abandonment counts and counts at risk per age bucket (Kaplan-Meier).
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

// Observe records that a request ended at an age, because its caller left or for other reasons.
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

// SurvivalProbability returns the probability that a caller who waits at an age is still there after a
// further time.
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
