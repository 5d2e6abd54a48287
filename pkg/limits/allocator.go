package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minReshareInterval is the least time between two computations of a workspace's shares.
	minReshareInterval = 200 * time.Millisecond
	// minGain and maxGain bound the gain of a rate. Demand varies from second to second, and the
	// part of a share that its node does not use is lost. The gain therefore raises the shares
	// until the admitted rate reaches the budget or the whole demand.
	minGain = 0.9
	maxGain = 2.5
	// gainRiseRate and gainFallRate are the changes of the gain per second at a relative error
	// of 1. The gain falls faster than it rises, because a surge of demand uses the raised
	// shares at once.
	gainRiseRate = 0.8
	gainFallRate = 1.5
	// partialLoadGain determines the least gain below the budget: at a demand of half of the
	// budget, the least gain is 1 plus a quarter of partialLoadGain, 1.7.
	partialLoadGain = 2.8
	// desiredSmoothing is the weight of a new report in the average of the desired slots. A slot
	// that moves from one node to another is unused for about two reports, so slots move only
	// for lasting changes.
	desiredSmoothing = 0.2
	// slotOvercommit is the fraction by which the allocated slots exceed the budget, to make up
	// for slots that are idle or in transit.
	slotOvercommit = 0.05
	// lowDemandFraction is the fraction of the budget below which each node gets at least one
	// slot, so that the first request at a node is not refused while slots are free.
	lowDemandFraction = 0.8
)

// nodeDemand is the last demand that a node reported for a workspace, and its share.
type nodeDemand struct {
	node       string
	demand     Demand
	reportedAt time.Time
	share      Share
	// desired is the smoothed number of slots that the node desires. targetSlots is the number
	// that it gets once other nodes have released them. A slot is the right to run one request.
	desired     float64
	targetSlots int
}

// workspaceAccount holds the demands and shares of one workspace.
type workspaceAccount struct {
	nodes    map[string]*nodeDemand
	sharedAt time.Time
	budget   Budget
	// requestGain and tokenGain are the gains of the two rates.
	requestGain gain
	tokenGain   gain
}

// gain is the ratio of the sum of all shares of a rate to the budget.
type gain float64

// adjust moves the gain towards the value at which the admitted rate is min(limit, demand).
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
	// While demand is below the budget, the unused part is shared out too, as a reserve for the
	// variation of demand. With little demand the shares are large enough without a gain.
	utilisation := min(demand/limit, 1)
	partialLoadMin := gain(1 + partialLoadGain*utilisation*(1-utilisation))
	*g = min(max(*g, minGain, partialLoadMin), maxGain)
}

// Allocator divides the budgets of the workspaces for which this node is responsible between the
// nodes that report demand. It keeps only demands of the last few seconds. It is not safe for
// concurrent use.
type Allocator struct {
	accounts map[string]*workspaceAccount
	sweptAt  time.Time
}

// NewAllocator returns an allocator without demands.
func NewAllocator() *Allocator { return &Allocator{accounts: map[string]*workspaceAccount{}} }

// Report records a node's demand of a workspace and returns the node's share of the budget. The
// rates shared out to all reporting nodes add up to the budget times a gain, which makes up for the
// parts of shares that nodes do not use.
func (a *Allocator) Report(now time.Time, node, workspace string, demand Demand, budget Budget) Share {
	a.sweep(now)
	account, ok := a.accounts[workspace]
	if !ok {
		account = &workspaceAccount{nodes: map[string]*nodeDemand{}}
		a.accounts[workspace] = account
	}
	entry, known := account.nodes[node]
	if !known {
		entry = &nodeDemand{node: node}
		account.nodes[node] = entry
	}
	entry.demand = demand
	entry.reportedAt = now
	entry.desired += desiredSmoothing * (float64(demand.DesiredConcurrency) - entry.desired)
	if !known {
		entry.desired = float64(demand.DesiredConcurrency)
	}
	if !known || account.budget != budget || now.Sub(account.sharedAt) >= minReshareInterval {
		account.reshare(now, budget)
	}
	account.grantSlots(entry)
	return entry.share
}

// Len returns the number of workspaces for which the allocator holds demands.
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
	for node, entry := range w.nodes {
		if now.Sub(entry.reportedAt) >= demandTTL {
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
	for _, entry := range w.nodes {
		nodes = append(nodes, entry)
	}
	slices.SortFunc(nodes, func(a, b *nodeDemand) int { return cmp.Compare(a.node, b.node) })
	requests := sumDemand(nodes, func(d Demand) float64 { return d.Requests })
	tokens := sumDemand(nodes, func(d Demand) float64 { return d.Tokens })
	w.requestGain.adjust(budget.Requests, requests, sumDemand(nodes, func(d Demand) float64 { return d.AdmittedRequests }), elapsed)
	w.tokenGain.adjust(budget.Tokens, tokens, sumDemand(nodes, func(d Demand) float64 { return d.AdmittedTokens }), elapsed)
	for _, entry := range nodes {
		entry.share.Requests = rateShare(float64(w.requestGain)*budget.Requests, entry.demand.Requests, requests, len(nodes))
		entry.share.Tokens = rateShare(float64(w.tokenGain)*budget.Tokens, entry.demand.Tokens, tokens, len(nodes))
	}
	setTargetSlots(nodes, w.slotCount())
}

func sumDemand(nodes []*nodeDemand, field func(Demand) float64) float64 {
	sum := 0.0
	for _, entry := range nodes {
		sum += field(entry.demand)
	}
	return sum
}

// rateShare returns a node's share of a rate: evenFraction of the limit is divided evenly, the rest in
// proportion to demand. Without any demand the whole limit is divided evenly.
func rateShare(limit, demand, total float64, nodes int) float64 {
	even := limit / float64(nodes)
	if total <= 0 {
		return even
	}
	return (1-evenFraction)*limit*demand/total + evenFraction*even
}

// slotCount returns the number of slots to allocate.
func (w *workspaceAccount) slotCount() int {
	return int((1 + slotOvercommit) * float64(w.budget.Concurrency))
}

// setTargetSlots computes each node's target by the largest remainder method: its proportion of the
// slots rounded down, and the remaining slots to the nodes with the largest remainders.
func setTargetSlots(nodes []*nodeDemand, slots int) {
	sum := 0.0
	for _, entry := range nodes {
		sum += entry.desired
	}
	remainders := make(map[*nodeDemand]float64, len(nodes))
	remaining := slots
	for _, entry := range nodes {
		exact := float64(slots) * slotFraction(entry.desired, sum, len(nodes))
		entry.targetSlots = int(exact)
		remainders[entry] = exact - math.Floor(exact)
		remaining -= entry.targetSlots
	}
	slices.SortStableFunc(nodes, func(a, b *nodeDemand) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; i < len(nodes) && remaining > 0; i++ {
		nodes[i].targetSlots++
		remaining--
	}
}

// grantSlots grants the entry its target as far as other nodes do not hold the slots. A slot that another node
// loses becomes free only once that node has been sent the smaller share and has reported that it
// no longer uses the slot, so that no slot is held by two nodes. Under low demand, a node for which
// no slot is free still gets one.
func (w *workspaceAccount) grantSlots(entry *nodeDemand) {
	free := w.slotCount()
	for _, other := range w.nodes {
		if other != entry {
			free -= max(other.share.Concurrency, other.demand.Running)
		}
	}
	entry.share.Concurrency = max(min(entry.targetSlots, free), 0)
	if entry.share.Concurrency == 0 && w.lowDemand() {
		entry.share.Concurrency = 1
	}
}

// lowDemand reports whether the desired concurrency of all nodes together is below
// lowDemandFraction of the budget.
func (w *workspaceAccount) lowDemand() bool {
	desired := 0
	for _, entry := range w.nodes {
		desired += entry.demand.DesiredConcurrency
	}
	return float64(desired) < lowDemandFraction*float64(w.budget.Concurrency)
}

func slotFraction(part, sum float64, count int) float64 {
	if sum <= 0 {
		return 1 / float64(count)
	}
	return part / sum
}
