package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reshareInterval bounds how often a workspace's shares are computed again.
	minReshareInterval = 200 * time.Millisecond
	// Demand varies from second to second, and a share that its node does not use is lost. The
	// gain raises the shares until what is admitted reaches the budget or the whole demand.
	minGain = 0.9
	maxGain = 2.5
	// gainUp and gainDown are the changes of the gain per second at a relative error of 1. It
	// falls faster than it rises, because a flood meets the raised shares at once.
	gainRiseRate = 0.8
	gainFallRate = 1.5
	// idleGain is four times the rise of the gain at half of the budget.
	partialLoadGain = 2.8
	// wantedSmoothing is the weight of a new report of wanted slots. A slot on its way from one
	// node to another is unused for about two reports, so it moves only for lasting changes.
	desiredSmoothing = 0.2
	// slotExcess is the part by which the slots shared out exceed the budget, for those that
	// are idle or on their way.
	slotOvercommit = 0.05
	// quietShare is the part of the budget up to which each node gets at least one slot, so
	// that the first request at a quiet node is not refused while the budget is free.
	lowDemandFraction = 0.8
)

// reported is one node's last demand of a workspace.
type nodeDemand struct {
	node       string
	demand     Demand
	reportedAt time.Time
	share      Share
	// wanted is the smoothed number of slots that the node wants, and ideal its proportion.
	desired     float64
	targetSlots int
}

// account is one workspace on its allocator.
type workspaceAccount struct {
	nodes    map[string]*nodeDemand
	sharedAt time.Time
	budget   Budget
	// requests and tokens are the gains of the two rates.
	requestGain gain
	tokenGain   gain
}

// gain is the factor by which the shares of a rate exceed the budget.
type gain float64

// adjust moves the gain towards the one at which min(limit, demand) is admitted.
func (g *gain) adjust(limit, demand, admitted float64, elapsed time.Duration) {
	if *g == 0 {
		*g = 1
	}
	if limit <= 0 {
		return
	}
	relativeError := (min(limit, demand) - admitted) / limit
	rate := gainRiseRate
	if relativeError < 0 {
		rate = gainFallRate
	}
	*g += gain(rate * relativeError * elapsed.Seconds())
	// Below the budget, the unused part covers the variation of demand. With little demand the
	// shares are large enough without a gain.
	utilisation := min(demand/limit, 1)
	partialLoadMin := gain(1 + partialLoadGain*utilisation*(1-utilisation))
	*g = min(max(*g, minGain, partialLoadMin), maxGain)
}

// Allocator shares out the budgets of the workspaces that this node is responsible for. It is
// not safe for concurrent use. Its memory is bounded by the demands of the last few seconds.
type Allocator struct {
	accounts map[string]*workspaceAccount
	sweptAt  time.Time
}

// NewAllocator returns an allocator without demands.
func NewAllocator() *Allocator { return &Allocator{accounts: map[string]*workspaceAccount{}} }

// Report takes a node's demand of a workspace and returns the node's share of the budget. The
// shares of all reporting nodes add up to the budget times a gain for what they do not use.
func (a *Allocator) Report(now time.Time, node, workspace string, demand Demand, budget Budget) Share {
	a.sweep(now)
	account, ok := a.accounts[workspace]
	if !ok {
		account = &workspaceAccount{nodes: map[string]*nodeDemand{}}
		a.accounts[workspace] = account
	}
	r, known := account.nodes[node]
	if !known {
		r = &nodeDemand{node: node}
		account.nodes[node] = r
	}
	r.demand = demand
	r.reportedAt = now
	r.desired += desiredSmoothing * (float64(demand.DesiredConcurrency) - r.desired)
	if !known {
		r.desired = float64(demand.DesiredConcurrency)
	}
	if !known || account.budget != budget || now.Sub(account.sharedAt) >= minReshareInterval {
		account.reshare(now, budget)
	}
	account.grantSlots(r)
	return r.share
}

// Len returns the number of workspaces with fresh demands.
func (a *Allocator) Len() int { return len(a.accounts) }

func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < demandTTL {
		return
	}
	a.sweptAt = now
	for workspace, account := range a.accounts {
		account.dropExpired(now)
		if len(account.nodes) == 0 {
			delete(a.accounts, workspace)
		}
	}
}

func (w *workspaceAccount) dropExpired(now time.Time) {
	for node, r := range w.nodes {
		if now.Sub(r.reportedAt) >= demandTTL {
			delete(w.nodes, node)
		}
	}
}

func (w *workspaceAccount) reshare(now time.Time, budget Budget) {
	elapsed := min(now.Sub(w.sharedAt), ReportInterval)
	w.sharedAt = now
	w.budget = budget
	w.dropExpired(now)
	nodes := make([]*nodeDemand, 0, len(w.nodes))
	for _, r := range w.nodes {
		nodes = append(nodes, r)
	}
	slices.SortFunc(nodes, func(a, b *nodeDemand) int { return cmp.Compare(a.node, b.node) })
	requests := sumDemand(nodes, func(d Demand) float64 { return d.Requests })
	tokens := sumDemand(nodes, func(d Demand) float64 { return d.Tokens })
	w.requestGain.adjust(budget.Requests, requests, sumDemand(nodes, func(d Demand) float64 { return d.AdmittedRequests }), elapsed)
	w.tokenGain.adjust(budget.Tokens, tokens, sumDemand(nodes, func(d Demand) float64 { return d.AdmittedTokens }), elapsed)
	for _, r := range nodes {
		r.share.Requests = rateShare(float64(w.requestGain)*budget.Requests, r.demand.Requests, requests, len(nodes))
		r.share.Tokens = rateShare(float64(w.tokenGain)*budget.Tokens, r.demand.Tokens, tokens, len(nodes))
	}
	setTargetSlots(nodes, w.slotCount())
}

func sumDemand(nodes []*nodeDemand, field func(Demand) float64) float64 {
	sum := 0.0
	for _, r := range nodes {
		sum += field(r.demand)
	}
	return sum
}

// part returns a node's part of a rate: proportional to its demand above an even floor.
func rateShare(limit, demand, total float64, nodes int) float64 {
	even := limit / float64(nodes)
	if total <= 0 {
		return even
	}
	return (1-evenFraction)*limit*demand/total + evenFraction*even
}

// slotCount returns the slots to share out.
func (w *workspaceAccount) slotCount() int {
	return int((1 + slotOvercommit) * float64(w.budget.Concurrency))
}

// divide computes each node's proportion of the slots: the whole part, and the remaining slots to
// the largest remainders.
func setTargetSlots(nodes []*nodeDemand, slots int) {
	sum := 0.0
	for _, r := range nodes {
		sum += r.desired
	}
	remainders := make(map[*nodeDemand]float64, len(nodes))
	remaining := slots
	for _, r := range nodes {
		exact := float64(slots) * slotFraction(r.desired, sum, len(nodes))
		r.targetSlots = int(exact)
		remainders[r] = exact - math.Floor(exact)
		remaining -= r.targetSlots
	}
	slices.SortStableFunc(nodes, func(a, b *nodeDemand) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; i < len(nodes) && remaining > 0; i++ {
		nodes[i].targetSlots++
		remaining--
	}
}

// grantSlots gives r its proportion as far as the others do not hold the slots. What others lose
// becomes free only when they have been told and no longer run it, so that slots in transit are
// never held twice.
func (w *workspaceAccount) grantSlots(r *nodeDemand) {
	free := w.slotCount()
	for _, other := range w.nodes {
		if other != r {
			free -= max(other.share.Concurrency, other.demand.Running)
		}
	}
	r.share.Concurrency = max(min(r.targetSlots, free), 0)
	if r.share.Concurrency == 0 && w.lowDemand() {
		r.share.Concurrency = 1
	}
}

// quiet reports whether the nodes together want clearly less than the budget.
func (w *workspaceAccount) lowDemand() bool {
	desired := 0
	for _, r := range w.nodes {
		desired += r.demand.DesiredConcurrency
	}
	return float64(desired) < lowDemandFraction*float64(w.budget.Concurrency)
}

func slotFraction(part, sum float64, count int) float64 {
	if sum <= 0 {
		return 1 / float64(count)
	}
	return part / sum
}
