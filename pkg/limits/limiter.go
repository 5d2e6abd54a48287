package limits

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// workspaceState is the state of one workspace on this node.
type workspaceState struct {
	requests tokenBucket
	tokens   tokenBucket
	// offered and admitted measure requests at index 0 and tokens at index 1.
	offered  [2]meter
	admitted [2]meter
	// concurrencyRefusals measures the requests refused because of the concurrency limit.
	concurrencyRefusals meter
	running             int
	share               Share
	shareAt             time.Time
	usedAt              time.Time
}

// Limiter enforces the budgets of workspaces on one node. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	budgets   map[string]Budget
	states    map[string]*workspaceState
	liveNodes int
}

// NewLimiter returns a limiter without budgets, which admits all requests.
func NewLimiter() *Limiter {
	return &Limiter{states: map[string]*workspaceState{}, liveNodes: 1}
}

// SetBudgets replaces the budgets by workspace name.
func (l *Limiter) SetBudgets(budgets map[string]Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budgets = budgets
}

// SetLiveNodes sets the number of live nodes, by which a budget is divided while there is no valid
// share. Numbers below 1 count as 1.
func (l *Limiter) SetLiveNodes(nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.liveNodes = max(nodes, 1)
}

// LiveNodes returns the number of live nodes that was set last.
func (l *Limiter) LiveNodes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.liveNodes
}

// SetShare applies a share on which the workspace's allocator decided at now or later. It has no effect
// if the limiter has no state of the workspace.
func (l *Limiter) SetShare(now time.Time, workspace string, share Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.states[workspace]
	if !ok {
		return
	}
	s.share = share
	s.shareAt = now
	l.refill(now, s, l.budgets[workspace])
}

// Allow charges one request with the given number of tokens (prompt and expected output) to the
// workspace's rates. If it refuses the request, retryAfter is the time until a request would be
// admitted. A request with more tokens than are left is admitted, and the deficit delays the
// following requests.
func (l *Limiter) Allow(now time.Time, workspace string, tokens int) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.budgets[workspace]
	if budget.Requests == 0 && budget.Tokens == 0 {
		return true, 0
	}
	s := l.getOrCreateState(now, workspace)
	addRequest(&s.offered, now, tokens)
	l.refill(now, s, budget)
	if budget.Requests > 0 && s.requests.level < 1 {
		retryAfter = s.requests.timeUntil(1)
	}
	if budget.Tokens > 0 && s.tokens.level <= 0 {
		retryAfter = max(retryAfter, s.tokens.timeUntil(1))
	}
	if retryAfter > 0 {
		return false, retryAfter
	}
	s.requests.level--
	s.tokens.level -= float64(tokens)
	addRequest(&s.admitted, now, tokens)
	return true, 0
}

func addRequest(meters *[2]meter, now time.Time, tokens int) {
	meters[0].add(now, 1)
	meters[1].add(now, float64(tokens))
}

// AcquireConcurrency counts a request as in progress. It returns false if the concurrency limit of
// the workspace is reached. Each call that returns true needs one ReleaseConcurrency.
func (l *Limiter) AcquireConcurrency(now time.Time, workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.budgets[workspace]
	s := l.getOrCreateState(now, workspace)
	if budget.Concurrency > 0 && s.running >= l.concurrencyLimit(now, s, budget) {
		s.concurrencyRefusals.add(now, 1)
		return false
	}
	s.running++
	return true
}

// ReleaseConcurrency ends a request for which AcquireConcurrency returned true.
func (l *Limiter) ReleaseConcurrency(now time.Time, workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.states[workspace]
	if !ok {
		return
	}
	s.running = max(s.running-1, 0)
	s.usedAt = now
}

func (l *Limiter) getOrCreateState(now time.Time, workspace string) *workspaceState {
	s, ok := l.states[workspace]
	if !ok {
		s = &workspaceState{}
		l.states[workspace] = s
	}
	s.usedAt = now
	return s
}

func (s *workspaceState) hasValidShare(now time.Time) bool {
	return !s.shareAt.IsZero() && now.Sub(s.shareAt) < ShareTTL
}

// refill refills the token buckets and sets their rates to the share or, without a valid share, to an
// even part of the budget. The bucket of an unlimited rate is never read.
func (l *Limiter) refill(now time.Time, s *workspaceState, budget Budget) {
	requests := budget.Requests / float64(l.liveNodes)
	tokens := budget.Tokens / float64(l.liveNodes)
	if s.hasValidShare(now) {
		requests = s.share.Requests
		tokens = s.share.Tokens
	}
	s.requests.setRate(now, requests, minBurstRequests)
	s.tokens.setRate(now, tokens, 1)
}

// concurrencyLimit returns how many requests this node may run at a time. Without a valid share it is
// at least one: refusing the first request of a workspace on most nodes would be worse than exceeding
// a small limit until the first share arrives.
func (l *Limiter) concurrencyLimit(now time.Time, s *workspaceState, budget Budget) int {
	if s.hasValidShare(now) {
		return s.share.Concurrency
	}
	return max(1, budget.Concurrency/l.liveNodes)
}

// Report is the demand of one workspace on this node, to be sent to the workspace's allocator.
type Report struct {
	Workspace string
	Demand    Demand
	// pressure is the largest ratio of this node's demand to a limit of the budget.
	pressure float64
}

// Reports returns the demands that are large enough to report, at most MaxReports, those closest to
// their budget first. It discards the state of idle workspaces. The caller sends the reports to the
// workspaces' allocators every ReportInterval.
func (l *Limiter) Reports(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []Report
	for workspace, s := range l.states {
		if s.idle(now) {
			delete(l.states, workspace)
			continue
		}
		r := s.report(now, workspace, l.budgets[workspace])
		if r.pressure*float64(l.liveNodes) >= minReportFraction {
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.pressure, a.pressure), cmp.Compare(a.Workspace, b.Workspace))
	})
	return reports[:min(len(reports), MaxReports)]
}

// idle reports whether the state can be discarded. It is kept while the token bucket has a deficit,
// which a new state would not have.
func (s *workspaceState) idle(now time.Time) bool {
	return s.running == 0 && now.Sub(s.usedAt) >= idleTTL && s.tokens.level+s.tokens.rate*now.Sub(s.tokens.updatedAt).Seconds() >= 0
}

func (s *workspaceState) report(now time.Time, workspace string, budget Budget) Report {
	d := Demand{
		Requests:           s.offered[0].rate(now),
		Tokens:             s.offered[1].rate(now),
		AdmittedRequests:   s.admitted[0].rate(now),
		AdmittedTokens:     s.admitted[1].rate(now),
		Running:            s.running,
		DesiredConcurrency: s.running + int(s.concurrencyRefusals.rate(now)+0.5),
	}
	r := Report{Workspace: workspace, Demand: d}
	if budget.Requests > 0 {
		r.pressure = max(r.pressure, d.Requests/budget.Requests)
	}
	if budget.Tokens > 0 {
		r.pressure = max(r.pressure, d.Tokens/budget.Tokens)
	}
	if budget.Concurrency > 0 {
		r.pressure = max(r.pressure, float64(d.DesiredConcurrency)/float64(budget.Concurrency))
	}
	return r
}

// Len returns the number of workspaces of which the limiter has state.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.states)
}
