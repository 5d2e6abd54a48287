package forward

import (
	"sync"
	"time"
)

// RetryBudgetLimits limit the retries to each service, over all nodes: in a window at most Ratio times the
// number of requests, plus BaseRetries.
type RetryBudgetLimits struct {
	// Ratio is the number of retries per client request.
	Ratio float64
	// BaseRetries is the number of retries in a window that all nodes together may make in addition.
	BaseRetries float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// budgetFraction is the fraction of the budget that is used. The rest is a margin for observers
	// that count over windows which are not aligned with those of this node.
	budgetFraction = 0.8
	// budgetBuckets is the number of buckets of a sliding window.
	budgetBuckets = 20
)

// RetryBudget is this node's part of the retry budgets of all services. Nodes don't coordinate their
// use: each one applies the ratio to its own requests and takes an equal part of BaseRetries, once the
// number of nodes is known. It is safe for concurrent use.
type RetryBudget struct {
	limits RetryBudgetLimits

	mu sync.Mutex
	// nodes is the highest number of nodes in the last window, set at nodesAt, or 0 if none is known. Nodes
	// that are missing for a moment use their parts again when they return.
	nodes    int
	nodesAt  time.Time
	services map[string]*window
}

// window is a sliding window of the requests and retries of one service.
type window struct {
	// bucket is the number of the current bucket, counted from the Unix epoch.
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

// NewRetryBudget returns a budget from which no retries have been used.
func NewRetryBudget(limits RetryBudgetLimits) *RetryBudget {
	return &RetryBudget{limits: limits, services: map[string]*window{}}
}

// SetNodes sets the number of nodes that share BaseRetries, from 1. A lower number than before is used only
// after a window without a higher one.
func (b *RetryBudget) SetNodes(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= b.nodes || now.Sub(b.nodesAt) >= b.limits.Window {
		b.nodes, b.nodesAt = max(n, 1), now
	}
}

// RecordRequest counts a client's request for a service.
func (b *RetryBudget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	w.requests[w.bucket%budgetBuckets]++
}

// AllowRetry reports whether the budget allows one more retry to a service. If so, the retry is counted.
func (b *RetryBudget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	part := b.limits.Ratio * float64(requests)
	if b.nodes > 0 {
		part += b.limits.BaseRetries / float64(b.nodes)
	}
	allowed := budgetFraction * part
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.bucket%budgetBuckets]++
	return true
}

// Refund takes back a retry that was allowed and not made.
func (b *RetryBudget) Refund(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	for age := range int64(budgetBuckets) {
		if i := (w.bucket - age + budgetBuckets) % budgetBuckets; w.retries[i] > 0 {
			w.retries[i]--
			return
		}
	}
}

// windowLocked returns the window of a service after clearing its expired buckets. The caller holds mu.
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
