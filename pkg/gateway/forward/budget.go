package forward

import (
	"sync"
	"time"
)

// BudgetLimits bound the requests that are sent to a service beyond the first of each client's
// request, over all nodes.
type BudgetLimits struct {
	// Ratio is the number of further sends per request.
	Ratio float64
	// Extra is the number of further sends in a window that all nodes together may make beside
	// the ratio.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// budgetSafety is the share of the budget that is used. The rest covers the difference
	// between this node's windows and those of other observers.
	budgetSafety = 0.8
	// budgetBuckets divides the window.
	budgetBuckets = 20
	// unknownNodes stands for the number of nodes until it is known.
	unknownNodes = 40
)

// Budget is this node's part of the retry budgets of all services. No call between nodes is
// needed: each node uses the ratio of its own requests and an equal part of the extra sends. It is
// safe for concurrent use.
type Budget struct {
	limits BudgetLimits

	mu       sync.Mutex
	nodes    int
	services map[string]*window
}

// window counts requests and further sends of one service in buckets of time.
type window struct {
	bucket int64
	first  [budgetBuckets]int
	extra  [budgetBuckets]int
}

// NewBudget returns an unused budget.
func NewBudget(l BudgetLimits) *Budget {
	return &Budget{limits: l, nodes: unknownNodes, services: map[string]*window{}}
}

// SetNodes sets the number of nodes that share the extra sends.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// First notes a client's request for a service.
func (b *Budget) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	w.first[w.bucket%budgetBuckets]++
}

// Take reports whether a request may be sent once more to a service, and counts it.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(service, now)
	first, extra := 0, 0
	for i := range budgetBuckets {
		first += w.first[i]
		extra += w.extra[i]
	}
	allowed := budgetSafety * (b.limits.Ratio*float64(first) + b.limits.Extra/float64(b.nodes))
	if float64(extra+1) > allowed {
		return false
	}
	w.extra[w.bucket%budgetBuckets]++
	return true
}

// windowLocked returns a service's window with the buckets that are too old emptied.
func (b *Budget) windowLocked(service string, now time.Time) *window {
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
		w.first[w.bucket%budgetBuckets] = 0
		w.extra[w.bucket%budgetBuckets] = 0
	}
	return w
}
