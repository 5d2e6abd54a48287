package backends

import (
	"math"
	"time"
)

const (
	// scoreHalfLife is the time in which the weight of past results halves, so that a backend server that
	// recovered gets requests again.
	scoreHalfLife = 3 * time.Second
	// initialLatencyMS is the assumed latency of a backend server without results.
	initialLatencyMS = 100
	// latencyWeight is the weight of one result in the average latency.
	latencyWeight = 0.2
)

// score summarizes the recent results of a backend server at this node.
type score struct {
	ok, failed float64
	// latencyMS is the moving average of the time to the first byte of a response.
	latencyMS float64
	updated   time.Time
}

func (s *score) decay(now time.Time) {
	if !s.updated.IsZero() {
		factor := math.Exp2(-float64(now.Sub(s.updated)) / float64(scoreHalfLife))
		s.ok *= factor
		s.failed *= factor
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
	if s.latencyMS == 0 {
		s.latencyMS = ms
	}
	s.latencyMS += latencyWeight * (ms - s.latencyMS)
}

// successRate is the share of successful results, smoothed towards 1 for few results.
func (s *score) successRate(now time.Time) float64 {
	s.decay(now)
	return (s.ok + 1) / (s.ok + s.failed + 1)
}

// hasLatency reports whether there is a result with a latency.
func (s *score) hasLatency() bool { return s.latencyMS > 0 }

func (s *score) expectedLatencyMS() float64 {
	if !s.hasLatency() {
		return initialLatencyMS
	}
	return s.latencyMS
}
