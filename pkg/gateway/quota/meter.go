package quota

import (
	"math"
	"time"
)

// meterTimeConstant is the time in which the weight of past requests falls to 1/e.
const meterTimeConstant = 2 * time.Second

// Meter measures the rate of requests as an exponentially weighted average. It is not safe for concurrent use.
type Meter struct {
	// weight is the weighted number of requests at the time at.
	weight float64
	at     time.Time
}

// Add counts a request.
func (m *Meter) Add(now time.Time) { m.weight, m.at = m.decayed(now)+1, now }

// Rate returns the rate in requests a second.
func (m *Meter) Rate(now time.Time) float64 { return m.decayed(now) / meterTimeConstant.Seconds() }

func (m *Meter) decayed(now time.Time) float64 {
	return m.weight * math.Exp(-now.Sub(m.at).Seconds()/meterTimeConstant.Seconds())
}
