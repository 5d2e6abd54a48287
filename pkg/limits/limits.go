// Package limits enforces the request rate, token rate and concurrency budgets of workspaces across
// all nodes without a call per request. Each workspace has one node that allocates its budget
// (Allocator). The nodes report their demand to it periodically and get back a share of the budget, a
// quota lease that expires after ShareTTL. Each node enforces its share locally with token
// buckets and a concurrency limit (Limiter). A node without a valid share uses an even share: the
// budget divided by the number of live nodes.
//
// The package does no I/O and reads no clock.
package limits

import (
	"math"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
)

// Budget is the limits of a workspace over all nodes together. A zero field means no limit.
type Budget struct {
	// Requests and Tokens are rates per second.
	Requests float64
	Tokens   float64
	// Concurrency is the number of requests in progress at a time.
	Concurrency int
}

func (b Budget) unlimited() bool { return b == Budget{} }

// FromConfig returns the budgets by workspace name of those workspaces that have any limit.
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

// Demand is the load of one workspace on one node, refused requests included.
type Demand struct {
	// Requests and Tokens are rates per second.
	Requests float64
	Tokens   float64
	// AdmittedRequests and AdmittedTokens are the parts of these rates that were admitted.
	AdmittedRequests float64
	AdmittedTokens   float64
	// Running is the number of requests in progress. DesiredConcurrency adds the number of
	// requests per second that were refused because of the concurrency limit.
	Running            int
	DesiredConcurrency int
}

// Share is the part of a budget that one node may use, a quota lease elsewhere.
type Share struct {
	// Requests and Tokens are rates per second.
	Requests float64
	Tokens   float64
	// Concurrency is the number of requests in progress at a time.
	Concurrency int
}

const (
	// ShareTTL is how long a node uses a share after it was decided on. It tolerates three lost
	// exchanges with the allocator.
	ShareTTL = 4 * time.Second
	// ReportInterval is the interval at which a node reports its demand.
	ReportInterval = time.Second
	// demandTTL is how long the allocator counts a reported demand.
	demandTTL = 4 * time.Second
	// evenFraction is the fraction of the budget that is divided evenly between the reporting
	// nodes, so that a node whose traffic grows can admit requests before its next report.
	evenFraction = 0.05
	// burstDuration is the capacity of a token bucket, as the time in which it fills. It absorbs
	// the variation of arrivals and of the reported demand.
	burstDuration = time.Second
	// minBurstRequests is the least capacity of a request bucket, so that two requests that
	// arrive together at a node with little traffic are admitted.
	minBurstRequests = 2
	// meterTimeConstant is the time constant of the exponentially weighted demand.
	meterTimeConstant = 2 * time.Second
	// idleTTL is how long the limiter keeps the state of an unused workspace.
	idleTTL = time.Minute
	// MaxReports bounds the number of workspaces that Limiter.Reports returns.
	MaxReports = 32
	// minReportFraction is the fraction of an even share from which on demand is reported. The
	// unreported demand of all nodes together is at most this fraction of the budget.
	minReportFraction = 0.02

	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// meter is an exponentially weighted moving average of a rate per second.
type meter struct {
	value     float64
	updatedAt time.Time
}

func (m *meter) rate(now time.Time) float64 {
	if m.updatedAt.IsZero() || !now.After(m.updatedAt) {
		return m.value
	}
	return m.value * math.Exp(-now.Sub(m.updatedAt).Seconds()/meterTimeConstant.Seconds())
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.rate(now) + n/meterTimeConstant.Seconds()
	m.updatedAt = now
}

// tokenBucket is a token bucket whose rate can change. Its level can be negative, because a request
// larger than the level is admitted on credit.
type tokenBucket struct {
	level     float64
	capacity  float64
	rate      float64
	updatedAt time.Time
}

// setRate refills the bucket up to now and then changes its rate. A new bucket is filled for
// burstDuration, with at least one unit.
func (b *tokenBucket) setRate(now time.Time, rate, minCapacity float64) {
	capacity := max(rate*burstDuration.Seconds(), minCapacity)
	if b.updatedAt.IsZero() {
		b.level = max(rate*burstDuration.Seconds(), 1)
		b.updatedAt = now
	}
	// A share can have been received before the last request, for which now is earlier than b.at.
	if now.After(b.updatedAt) {
		b.level += b.rate * now.Sub(b.updatedAt).Seconds()
		b.updatedAt = now
	}
	b.rate = rate
	b.capacity = capacity
	b.level = min(b.level, capacity)
}

// timeUntil returns the time until the bucket reaches level, between minRetryAfter and maxRetryAfter.
func (b *tokenBucket) timeUntil(level float64) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	// The added millisecond compensates for rounding errors.
	seconds := (level-b.level)/b.rate + 0.001
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}
