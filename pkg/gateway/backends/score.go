package backends

import (
	"math"
	"time"
)

const (
	// scoreHalfLife is the time in which half of what was learned from results is forgotten, so
	// that a backend server that recovered gets requests again.
	scoreHalfLife = 3 * time.Second
	// firstLatency stands for a backend server without results, in milliseconds.
	firstLatency = 100
	// latencyShare is the weight of one result in the average latency.
	latencyShare = 0.2
)

// score sums up the recent results of a backend server at this node.
type score struct {
	ok, failed float64
	// latency is the average time to the first byte of an answer, in milliseconds.
	latency float64
	updated time.Time
}

func (s *score) decay(now time.Time) {
	if !s.updated.IsZero() {
		f := math.Exp2(-float64(now.Sub(s.updated)) / float64(scoreHalfLife))
		s.ok *= f
		s.failed *= f
	}
	s.updated = now
}

func (s *score) add(now time.Time, ok bool, latency time.Duration) {
	s.decay(now)
	if !ok {
		s.failed++
		return
	}
	s.ok++
	ms := float64(latency) / float64(time.Millisecond)
	if s.latency == 0 {
		s.latency = ms
	}
	s.latency += latencyShare * (ms - s.latency)
}

// success is the share of good results, smoothed towards 1 for few results.
func (s *score) success(now time.Time) float64 {
	s.decay(now)
	return (s.ok + 1) / (s.ok + s.failed + 1)
}

func (s *score) expectedLatency() float64 {
	if s.latency == 0 {
		return firstLatency
	}
	return s.latency
}
