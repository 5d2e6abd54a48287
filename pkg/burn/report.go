package burn

import (
	"cmp"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
)

// Report is the state of all error budgets over the fleet.
type Report struct {
	At time.Time `json:"at"`
	// Since is the start time of the node that has run for the longest time. The counts go back no
	// further, nor further than the budget period.
	Since time.Time `json:"since"`
	// Nodes is the number of nodes in the report.
	Nodes int `json:"nodes"`
	// MissingNodes are live nodes that did not answer.
	MissingNodes []string `json:"missing_nodes"`
	// TruncatedNodes is the number of nodes whose sketches left out workspaces with few misses. A
	// workspace can have up to UncountedMisses misses more than reported.
	TruncatedNodes  int               `json:"truncated_nodes"`
	UncountedMisses uint64            `json:"uncounted_misses"`
	TTFT            Quantiles         `json:"ttft_ms"`
	BetweenTokens   Quantiles         `json:"between_tokens_ms"`
	Workspaces      []WorkspaceReport `json:"workspaces"`
}

// Quantiles are quantiles of a time in milliseconds over the current and the previous clock hour, and
// the number of requests that they cover.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
}

// WorkspaceReport is the state of one workspace's budgets.
type WorkspaceReport struct {
	Name          string            `json:"name"`
	Alert         Alert             `json:"alert"`
	Objectives    []ObjectiveReport `json:"objectives"`
	Causes        []CauseReport     `json:"top_causes"`
	WorstNode     string            `json:"worst_node,omitempty"`
	TTFT          Quantiles         `json:"ttft_ms"`
	BetweenTokens Quantiles         `json:"between_tokens_ms"`
}

// ObjectiveReport is the state of one error budget.
type ObjectiveReport struct {
	Objective string  `json:"objective"`
	Target    float64 `json:"target"`
	// Bound is the time in milliseconds that a request must not exceed. 0 means that the objective
	// has no time limit.
	Bound int64 `json:"bound_ms,omitempty"`
	// Requests and Bad are the numbers of all requests and of those that missed the objective in the
	// budget period.
	Requests uint64 `json:"requests"`
	Bad      uint64 `json:"bad"`
	// BudgetLeft is the unused share of the error budget, at most 1. It is negative when the
	// objective is missed.
	BudgetLeft float64 `json:"budget_left"`
	// Burn lists the burn rate in each window. A constant rate of 1 uses up the budget exactly in
	// the budget period.
	Burn  []BurnRate `json:"burn"`
	Alert Alert      `json:"alert"`
}

// BurnRate is the burn rate in one window.
type BurnRate struct {
	WindowSeconds int64   `json:"window_s"`
	Rate          float64 `json:"rate"`
}

// CauseReport is a cause of missed objectives with its count in the current and the previous clock
// hour.
type CauseReport struct {
	Cause string `json:"cause"`
	Count uint64 `json:"count"`
}

// Alert is the suggested reaction to a burn rate.
type Alert string

// Alerts, from none to the most urgent.
const (
	AlertNone Alert = "none"
	// AlertTicket means that an operator should investigate within a working day.
	AlertTicket Alert = "ticket"
	// AlertPage means that an operator should investigate at once.
	AlertPage Alert = "page"
)

func (a Alert) severity() int { return slices.Index([]Alert{AlertNone, AlertTicket, AlertPage}, a) }

// Burn rates that raise an alert. Both a long and a short window must reach the rate: the long one
// shows that the loss is significant, the short one that it continues. The rates are the usual
// ones for a budget period of 30 days, in which PageRate uses 2% of the budget in an hour and
// TicketRate 5% in six hours.
const (
	PageRate   = 14.4
	TicketRate = 6
)

// Shares of bad requests that raise an alert even if the burn rate is below the rates above, which a
// low target makes unreachable: at a target of 0.9, the burn rate is at most 10.
const (
	PageShare   = 0.5
	TicketShare = 0.25
)

// minRequests is the number of requests in a window below which it raises no alert, so that a single
// bad request among a few does not.
const minRequests = 10

// topCauses is the maximum number of causes per workspace in a report.
const topCauses = 5

// Report returns the report over the sketches added so far, the workspaces with the most urgent alert
// and then the smallest budget left first. missing are the live nodes without a sketch.
func (m *Merger) Report(now time.Time, missing []string) Report {
	r := Report{
		At: now.UTC(), Since: m.since.UTC(), Nodes: m.nodes, MissingNodes: append([]string{}, missing...),
		TruncatedNodes: m.omittedNodes, UncountedMisses: m.omittedBad,
		TTFT: quantiles(&m.ttft), BetweenTokens: quantiles(&m.gap), Workspaces: []WorkspaceReport{},
	}
	for i := range m.config.Workspaces {
		w := &m.config.Workspaces[i]
		if sum, ok := m.workspaces[w.Name]; ok {
			r.Workspaces = append(r.Workspaces, sum.report(w))
		}
	}
	slices.SortStableFunc(r.Workspaces, func(a, b WorkspaceReport) int {
		return cmp.Or(b.Alert.severity()-a.Alert.severity(), cmp.Compare(a.minBudgetLeft(), b.minBudgetLeft()))
	})
	return r
}

func (w *WorkspaceReport) minBudgetLeft() float64 {
	minLeft := 1.0
	for _, o := range w.Objectives {
		minLeft = min(minLeft, o.BudgetLeft)
	}
	return minLeft
}

func quantiles(t *histogramSum) Quantiles {
	h := t.histogram()
	return Quantiles{Count: h.Count(), P50: h.Quantile(0.5), P95: h.Quantile(0.95), P99: h.Quantile(0.99)}
}

func (s *workspaceSum) report(w *config.Workspace) WorkspaceReport {
	r := WorkspaceReport{
		Name: w.Name, Alert: AlertNone, Causes: s.topCauses(), WorstNode: s.worst.name,
		TTFT: quantiles(&s.ttft), BetweenTokens: quantiles(&s.gap),
	}
	for o := range objectiveCount {
		if s.counts[window24h][o].Total == 0 {
			continue
		}
		objective := s.objective(o, w.Objectives)
		if objective.Alert.severity() > r.Alert.severity() {
			r.Alert = objective.Alert
		}
		r.Objectives = append(r.Objectives, objective)
	}
	return r
}

func (s *workspaceSum) objective(o Objective, levels config.Objectives) ObjectiveReport {
	budget := s.counts[window24h][o]
	r := ObjectiveReport{Objective: o.String(), Target: o.target(levels), Requests: budget.Total, Bad: budget.Bad}
	switch o {
	case TTFT:
		r.Bound = levels.TTFT.AsDuration().Milliseconds()
	case BetweenTokens:
		r.Bound = levels.BetweenTokens.AsDuration().Milliseconds()
	}
	r.BudgetLeft = 1 - burnRate(budget, r.Target)
	for i, window := range Windows {
		r.Burn = append(r.Burn, BurnRate{WindowSeconds: int64(window / time.Second), Rate: burnRate(s.counts[i][o], r.Target)})
	}
	r.Alert = s.alert(o, r.Target)
	return r
}

// burnRate is the share of bad requests divided by the share that the target allows. It is 0 without
// requests and for a target of 1, which allows none.
func burnRate(t Tally, target float64) float64 {
	if t.Total == 0 || target >= 1 {
		return 0
	}
	return float64(t.Bad) / float64(t.Total) / (1 - target)
}

func (s *workspaceSum) alert(o Objective, target float64) Alert {
	exceeds := func(window int, limit, share float64) bool {
		t := s.counts[window][o]
		return t.Total >= minRequests && burnRate(t, target) >= min(limit, share/(1-target))
	}
	switch {
	case exceeds(window1h, PageRate, PageShare) && exceeds(window5m, PageRate, PageShare):
		return AlertPage
	case exceeds(window6h, TicketRate, TicketShare) && exceeds(window30m, TicketRate, TicketShare):
		return AlertTicket
	}
	return AlertNone
}

func (s *workspaceSum) topCauses() []CauseReport {
	list := make([]CauseReport, 0, len(s.causes))
	for cause, count := range s.causes {
		list = append(list, CauseReport{Cause: cause, Count: count})
	}
	slices.SortFunc(list, func(a, b CauseReport) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return list[:min(len(list), topCauses)]
}
