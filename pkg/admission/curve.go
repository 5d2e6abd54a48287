package admission

import (
	"math"
	"time"
)

// curveBuckets is the number of age buckets. Bucket i ends at 2^i × 50 ms, so the last one starts
// at about 27 minutes.
const curveBuckets = 16

// firstBucket is the width of the first age bucket.
const firstBucket = 50 * time.Millisecond

// curveDecay is applied to all counts after curveDecayEvery observations, so that a curve follows
// a change of behaviour.
const (
	curveDecay      = 0.5
	curveDecayEvery = 2000
)

// priorAtRisk is the weight of the initial assumption that callers stay.
const priorAtRisk = 20

// Curve is the survival curve of a workspace's callers over the age of a request, estimated from
// abandonment counts and counts at risk per age bucket (Kaplan-Meier).
type Curve struct {
	atRisk    [curveBuckets]float64
	abandoned [curveBuckets]float64
	seen      int
}

func bucketOf(age time.Duration) int {
	if age < firstBucket {
		return 0
	}
	b := int(math.Log2(float64(age)/float64(firstBucket))) + 1
	return min(b, curveBuckets-1)
}

func bucketStart(b int) time.Duration {
	if b == 0 {
		return 0
	}
	return firstBucket << (b - 1)
}

// Observe records that a request ended at an age, because its caller left or for other reasons.
func (c *Curve) Observe(age time.Duration, abandoned bool) {
	last := bucketOf(age)
	for b := 0; b <= last; b++ {
		c.atRisk[b]++
	}
	if abandoned {
		c.abandoned[last]++
	}
	c.seen++
	if c.seen%curveDecayEvery == 0 {
		for b := range c.atRisk {
			c.atRisk[b] *= curveDecay
			c.abandoned[b] *= curveDecay
		}
	}
}

// StillThere returns the probability that a caller who waits at an age is still there after a
// further time.
func (c *Curve) StillThere(age, further time.Duration) float64 {
	end := age + further
	p := 1.0
	for b := bucketOf(age); b <= bucketOf(end); b++ {
		from := max(age, bucketStart(b))
		to := end
		if b < curveBuckets-1 {
			to = min(end, bucketStart(b+1))
		}
		width := firstBucket
		if b > 0 {
			width = bucketStart(b)
		}
		share := min(1, float64(to-from)/float64(width))
		hazard := c.abandoned[b] / (c.atRisk[b] + priorAtRisk)
		p *= math.Pow(1-hazard, share)
	}
	return p
}
