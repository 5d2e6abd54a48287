package forward

import (
	"sync"
	"time"
)

// RetryBudgetLimits bound the requests that are sent to a service beyond the first of each client's
// request, over all nodes.
type RetryBudgetLimits struct {
	// Ratio is the number of further sends per request.
	Ratio float64
	// BaseRetries is the number of further sends in a window that all nodes together may make beside
	// the ratio.
	BaseRetries float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// budgetFraction is the share of the budget that is used. The rest covers the difference
	// between this node's windows and those of other observers.
	budgetFraction = 0.8
	// budgetBuckets divides the window.
	budgetBuckets = 20
	// defaultNodes stands for the number of nodes until it is known.
	defaultNodes = 40
)

// RetryBudget is this node's part of the retry budgets of all services. No call between nodes is
// needed: each node uses the ratio of its own requests and an equal part of the extra sends. It is
// safe for concurrent use.
type RetryBudget struct {
	limits RetryBudgetLimits

	mu       sync.Mutex
	nodes    int
	services map[string]*window
}

// window counts requests and further sends of one service in buckets of time.
type window struct {
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(limits RetryBudgetLimits) *RetryBudget {
	return &RetryBudget{limits: limits, nodes: defaultNodes, services: map[string]*window{}}
}

// SetNodes sets the number of nodes that share the extra sends.
func (b *RetryBudget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// RecordRequest notes a client's request for a service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	w.requests[w.bucket%budgetBuckets]++
}

// AllowRetry reports whether a request may be sent once more to a service, and counts it.
func (b *RetryBudget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := budgetFraction * (b.limits.Ratio*float64(requests) + b.limits.BaseRetries/float64(b.nodes))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.bucket%budgetBuckets]++
	return true
}

// windowLocked returns a service's window with the buckets that are too old emptied.
func (b *RetryBudget) windowLocked(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	bucket := now.UnixNano() / int64(b.limits.Window/budgetBuckets)
	if bucket-w.bucket >= budgetBuckets || bucket < w.bucket {
		*w = window{bucket: bucket}
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.bucket%budgetBuckets] = 0
		w.retries[w.bucket%budgetBuckets] = 0
	}
	return w
}
