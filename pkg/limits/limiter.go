package limits

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// state is one workspace on one node.
type workspaceState struct {
	requests tokenBucket
	tokens   tokenBucket
	// offered and admitted count requests and tokens.
	offered  [2]meter
	admitted [2]meter
	// blocked counts the requests refused for concurrency.
	concurrencyRefusals meter
	running             int
	share               Share
	shareAt             time.Time
	usedAt              time.Time
}

// Limiter enforces budgets on one node. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	budgets   map[string]Budget
	states    map[string]*workspaceState
	liveNodes int
}

// NewLimiter returns a limiter without budgets, which allows everything.
func NewLimiter() *Limiter {
	return &Limiter{states: map[string]*workspaceState{}, liveNodes: 1}
}

// SetBudgets replaces the budgets.
func (l *Limiter) SetBudgets(budgets map[string]Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budgets = budgets
}

// SetLiveNodes sets the number of live nodes, by which a budget is divided without a fresh share.
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

// SetShare takes the share that the workspace's allocator granted at now.
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

// Allow takes one request with the given tokens (prompt and expected output) from the
// workspace's budgets. If it refuses, retryAfter is the time until a request would be allowed.
// A request larger than what is left is allowed and paid for by the following ones.
func (l *Limiter) Allow(now time.Time, workspace string, tokens int) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.budgets[workspace]
	if budget.Requests == 0 && budget.Tokens == 0 {
		return true, 0
	}
	s := l.touch(now, workspace)
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

// Start counts a request in progress, or refuses it because of the workspace's concurrency.
// Each Start that returns true needs one Done.
func (l *Limiter) Start(now time.Time, workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	budget := l.budgets[workspace]
	s := l.touch(now, workspace)
	if budget.Concurrency > 0 && s.running >= l.concurrencyLimit(now, s, budget) {
		s.concurrencyRefusals.add(now, 1)
		return false
	}
	s.running++
	return true
}

// Done ends a request that Start counted.
func (l *Limiter) Done(now time.Time, workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.states[workspace]
	if !ok {
		return
	}
	s.running = max(s.running-1, 0)
	s.usedAt = now
}

func (l *Limiter) touch(now time.Time, workspace string) *workspaceState {
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

// refill applies the share, or the even part of the budget if there is no fresh one. A rate
// that is not limited keeps its bucket at zero, which nothing reads.
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

// concurrency returns how many requests this node may run. Without a share it is at least one:
// refusing the first request of a quiet workspace on most nodes would be worse than exceeding
// a small limit until the first share arrives.
func (l *Limiter) concurrencyLimit(now time.Time, s *workspaceState, budget Budget) int {
	if s.hasValidShare(now) {
		return s.share.Concurrency
	}
	return max(1, budget.Concurrency/l.liveNodes)
}

// Report is the demand of one workspace on this node.
type Report struct {
	Workspace string
	Demand    Demand
	// pressure is the largest part of a budget that this node's demand takes.
	pressure float64
}

// Reports returns the demands worth reporting, those closest to their budget first, and forgets
// idle workspaces. The caller sends them to the workspaces' allocators every ReportInterval.
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

// idle reports whether the workspace can be forgotten. One that owes tokens is kept.
func (s *workspaceState) idle(now time.Time) bool {
	return s.running == 0 && now.Sub(s.usedAt) >= idleTTL && s.tokens.level+s.tokens.rate*now.Sub(s.tokens.at).Seconds() >= 0
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

// Len returns the number of workspaces held in memory.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.states)
}
