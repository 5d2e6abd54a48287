package limits

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reshareInterval bounds how often a workspace's shares are computed again.
	reshareInterval = 200 * time.Millisecond
	// Demand varies from second to second, and a share that its node does not use is lost. The
	// gain raises the shares until what is admitted reaches the budget or the whole demand.
	minGain = 0.9
	maxGain = 2.5
	// gainUp and gainDown are the changes of the gain per second at a relative error of 1. It
	// falls faster than it rises, because a flood meets the raised shares at once.
	gainUp   = 0.8
	gainDown = 1.5
	// idleGain is four times the rise of the gain at half of the budget.
	idleGain = 2.8
	// wantedSmoothing is the weight of a new report of wanted slots. A slot on its way from one
	// node to another is unused for about two reports, so it moves only for lasting changes.
	wantedSmoothing = 0.2
	// slotExcess is the part by which the slots shared out exceed the budget, for those that
	// are idle or on their way.
	slotExcess = 0.05
	// quietShare is the part of the budget up to which each node gets at least one slot, so
	// that the first request at a quiet node is not refused while the budget is free.
	quietShare = 0.8
)

// reported is one node's last demand of a workspace.
type reported struct {
	node   string
	demand Demand
	at     time.Time
	share  Share
	// wanted is the smoothed number of slots that the node wants, and ideal its proportion.
	wanted float64
	ideal  int
}

// account is one workspace on its allocator.
type account struct {
	nodes    map[string]*reported
	sharedAt time.Time
	budget   Budget
	// requests and tokens are the gains of the two rates.
	requests gain
	tokens   gain
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
	off := (min(limit, demand) - admitted) / limit
	speed := gainUp
	if off < 0 {
		speed = gainDown
	}
	*g += gain(speed * off * elapsed.Seconds())
	// Below the budget, the unused part covers the variation of demand. With little demand the
	// shares are large enough without a gain.
	used := min(demand/limit, 1)
	idle := gain(1 + idleGain*used*(1-used))
	*g = min(max(*g, minGain, idle), maxGain)
}

// Allocator shares out the budgets of the workspaces that this node is responsible for. It is
// not safe for concurrent use. Its memory is bounded by the demands of the last few seconds.
type Allocator struct {
	accounts map[string]*account
	sweptAt  time.Time
}

// NewAllocator returns an allocator without demands.
func NewAllocator() *Allocator { return &Allocator{accounts: map[string]*account{}} }

// Report takes a node's demand of a workspace and returns the node's share of the budget. The
// shares of all reporting nodes add up to the budget times a gain for what they do not use.
func (a *Allocator) Report(now time.Time, node, workspace string, demand Demand, budget Budget) Share {
	a.sweep(now)
	x, ok := a.accounts[workspace]
	if !ok {
		x = &account{nodes: map[string]*reported{}}
		a.accounts[workspace] = x
	}
	r, known := x.nodes[node]
	if !known {
		r = &reported{node: node}
		x.nodes[node] = r
	}
	r.demand = demand
	r.at = now
	r.wanted += wantedSmoothing * (float64(demand.Wanted) - r.wanted)
	if !known {
		r.wanted = float64(demand.Wanted)
	}
	if !known || x.budget != budget || now.Sub(x.sharedAt) >= reshareInterval {
		x.reshare(now, budget)
	}
	x.grantSlots(r)
	return r.share
}

// Len returns the number of workspaces with fresh demands.
func (a *Allocator) Len() int { return len(a.accounts) }

func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < demandLease {
		return
	}
	a.sweptAt = now
	for workspace, x := range a.accounts {
		x.dropOld(now)
		if len(x.nodes) == 0 {
			delete(a.accounts, workspace)
		}
	}
}

func (x *account) dropOld(now time.Time) {
	for node, r := range x.nodes {
		if now.Sub(r.at) >= demandLease {
			delete(x.nodes, node)
		}
	}
}

func (x *account) reshare(now time.Time, budget Budget) {
	elapsed := min(now.Sub(x.sharedAt), ReportInterval)
	x.sharedAt = now
	x.budget = budget
	x.dropOld(now)
	nodes := make([]*reported, 0, len(x.nodes))
	for _, r := range x.nodes {
		nodes = append(nodes, r)
	}
	slices.SortFunc(nodes, func(a, b *reported) int { return cmp.Compare(a.node, b.node) })
	requests := total(nodes, func(d Demand) float64 { return d.Requests })
	tokens := total(nodes, func(d Demand) float64 { return d.Tokens })
	x.requests.adjust(budget.Requests, requests, total(nodes, func(d Demand) float64 { return d.AdmittedRequests }), elapsed)
	x.tokens.adjust(budget.Tokens, tokens, total(nodes, func(d Demand) float64 { return d.AdmittedTokens }), elapsed)
	for _, r := range nodes {
		r.share.Requests = part(float64(x.requests)*budget.Requests, r.demand.Requests, requests, len(nodes))
		r.share.Tokens = part(float64(x.tokens)*budget.Tokens, r.demand.Tokens, tokens, len(nodes))
	}
	divide(nodes, x.slotCount())
}

func total(nodes []*reported, of func(Demand) float64) float64 {
	sum := 0.0
	for _, r := range nodes {
		sum += of(r.demand)
	}
	return sum
}

// part returns a node's part of a rate: proportional to its demand above an even floor.
func part(limit, demand, total float64, nodes int) float64 {
	even := limit / float64(nodes)
	if total <= 0 {
		return even
	}
	return (1-floorShare)*limit*demand/total + floorShare*even
}

// slotCount returns the slots to share out.
func (x *account) slotCount() int {
	return int((1 + slotExcess) * float64(x.budget.Concurrency))
}

// divide computes each node's proportion of the slots: the whole part, and the remaining slots to
// the largest remainders.
func divide(nodes []*reported, slots int) {
	sum := 0.0
	for _, r := range nodes {
		sum += r.wanted
	}
	remainders := make(map[*reported]float64, len(nodes))
	left := slots
	for _, r := range nodes {
		exact := float64(slots) * ratio(r.wanted, sum, len(nodes))
		r.ideal = int(exact)
		remainders[r] = exact - math.Floor(exact)
		left -= r.ideal
	}
	slices.SortStableFunc(nodes, func(a, b *reported) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; i < len(nodes) && left > 0; i++ {
		nodes[i].ideal++
		left--
	}
}

// grantSlots gives r its proportion as far as the others do not hold the slots. What others lose
// becomes free only when they have been told and no longer run it, so that slots in transit are
// never held twice.
func (x *account) grantSlots(r *reported) {
	free := x.slotCount()
	for _, other := range x.nodes {
		if other != r {
			free -= max(other.share.Concurrency, other.demand.Running)
		}
	}
	r.share.Concurrency = max(min(r.ideal, free), 0)
	if r.share.Concurrency == 0 && x.quiet() {
		r.share.Concurrency = 1
	}
}

// quiet reports whether the nodes together want clearly less than the budget.
func (x *account) quiet() bool {
	wanted := 0
	for _, r := range x.nodes {
		wanted += r.demand.Wanted
	}
	return float64(wanted) < quietShare*float64(x.budget.Concurrency)
}

func ratio(part, sum float64, count int) float64 {
	if sum <= 0 {
		return 1 / float64(count)
	}
	return part / sum
}
