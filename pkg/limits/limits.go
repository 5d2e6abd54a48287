// Package limits enforces a workspace's rate, token and concurrency budgets on one node without
// a call per request. Each node reports its demand to the node that shares out the workspace's
// budget (Allocator) and works with the leased share that it gets back (Limiter). Without a
// fresh share a node uses the budget divided by the number of live nodes.
//
// The package does no I/O and reads no clock.
package limits

import (
	"math"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
)

// Budget bounds a workspace over all nodes. Zero fields are unlimited.
type Budget struct {
	// Requests and Tokens are rates per second.
	Requests    float64
	Tokens      float64
	Concurrency int
}

func (b Budget) unlimited() bool { return b == Budget{} }

// FromConfig returns the budgets of the workspaces that have any.
func FromConfig(c *config.Config) map[string]Budget {
	budgets := map[string]Budget{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		b := Budget{
			Requests:    w.Limits.RequestsPerSecond,
			Tokens:      w.Limits.TokensPerSecond,
			Concurrency: w.Limits.Concurrency,
		}
		if !b.unlimited() {
			budgets[w.Name] = b
		}
	}
	return budgets
}

// Demand is what one node wants of a workspace's budget, refused requests included.
type Demand struct {
	// Requests and Tokens are rates per second.
	Requests float64
	Tokens   float64
	// AdmittedRequests and AdmittedTokens are the parts of the rates that were admitted.
	AdmittedRequests float64
	AdmittedTokens   float64
	// Running is the number of requests in progress, and Wanted adds those refused for
	// concurrency in the last second.
	Running            int
	DesiredConcurrency int
}

// Share is the part of a budget that one node may use.
type Share struct {
	Requests    float64
	Tokens      float64
	Concurrency int
}

const (
	// ShareLease is how long a share is used after it was received. It covers three lost
	// exchanges.
	ShareTTL = 4 * time.Second
	// ReportInterval is the interval at which a node reports its demand.
	ReportInterval = time.Second
	// demandLease is how long a reported demand counts.
	demandTTL = 4 * time.Second
	// floorShare is the part of the budget that is spread evenly over the reporting nodes, so
	// that a node whose traffic grows is not refused until its next report.
	evenFraction = 0.05
	// burstTime is the time over which unused rate accumulates. It covers the variation of
	// arrivals and of the reported demand.
	burstDuration = time.Second
	// burstRequests is the least number of requests that accumulate, so that two requests
	// that arrive together at a quiet node pass.
	minBurstRequests = 2
	// meterTime is the time constant of the demand's average.
	meterTimeConstant = 2 * time.Second
	// idleTime is how long an unused workspace is kept.
	idleTTL = time.Minute
	// MaxReports bounds the workspaces in one report, those closest to their budget first.
	MaxReports = 32
	// reportFrom is the part of an even share from which on demand is reported. All demand
	// below it over all nodes is at most this part of the budget.
	minReportFraction = 0.02

	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// meter is an exponentially weighted rate per second.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) rate(now time.Time) float64 {
	if m.at.IsZero() || !now.After(m.at) {
		return m.value
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/meterTimeConstant.Seconds())
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.rate(now) + n/meterTimeConstant.Seconds()
	m.at = now
}

// bucket is a token bucket whose rate can change. Its level may be negative.
type tokenBucket struct {
	level    float64
	capacity float64
	rate     float64
	at       time.Time
}

// set refills the bucket up to now and then changes its rate. A new bucket holds one burst time,
// and at least one request.
func (b *tokenBucket) setRate(now time.Time, rate, minCapacity float64) {
	capacity := max(rate*burstDuration.Seconds(), minCapacity)
	if b.at.IsZero() {
		b.level = max(rate*burstDuration.Seconds(), 1)
		b.at = now
	}
	// A share can carry an earlier time than the last request.
	if now.After(b.at) {
		b.level += b.rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.rate = rate
	b.capacity = capacity
	b.level = min(b.level, capacity)
}

// wait returns the time until the level is at least want.
func (b *tokenBucket) timeUntil(level float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	// The margin covers rounding.
	seconds := (level-b.level)/b.rate + 0.001
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
