package weights

import (
	"cmp"
	"slices"

	"cassiawall.example/cassiawall/pkg/compare"
)

// enginesPerLoad is the number of a model's engines per concurrent load: with 5, one engine in five
// loads at a time. More concurrent loads slow each other down at the weight store. An engine also
// finishes its running requests before it loads, and refuses new ones meanwhile.
const enginesPerLoad = 5

// Candidate is the state of an engine that Plan considers.
type Candidate struct {
	ID      string
	Version int
	// LongRequests and ShortRequests are the numbers of running requests, which the engine finishes
	// before it loads.
	LongRequests, ShortRequests int
	// Unreachable is set if the engine could not be reached or its last order failed a moment ago.
	Unreachable bool
	// OrderPending is set from the time an order is sent until the engine has loaded the version or the
	// order has failed.
	OrderPending bool
}

// Plan returns the IDs of the engines to order next to load a version, so that no more than one engine
// in enginesPerLoad, and at least one, loads at a time. Unreachable engines come last. Engines with the
// least remaining work come first: an engine finishes its requests before it loads, and long requests
// would delay the loads of the other engines.
func Plan(engines []Candidate, version int) []string {
	loading := 0
	var outdated []Candidate
	for _, e := range engines {
		switch {
		case e.OrderPending && !e.Unreachable:
			loading++
		case e.OrderPending:
		case e.Version < version:
			outdated = append(outdated, e)
		}
	}
	slices.SortStableFunc(outdated, func(a, b Candidate) int {
		return cmp.Or(compare.Bool(a.Unreachable, b.Unreachable), cmp.Compare(a.remainingWork(), b.remainingWork()), cmp.Compare(a.Version, b.Version))
	})
	capacity := max(0, maxConcurrentLoads(len(engines))-loading)
	var next []string
	for _, e := range outdated[:min(capacity, len(outdated))] {
		next = append(next, e.ID)
	}
	return next
}

// longRequestWeight is the number of short requests whose work equals that of a long one.
const longRequestWeight = 5

// remainingWork estimates the work of the engine's running requests, in short requests.
func (c Candidate) remainingWork() int { return longRequestWeight*c.LongRequests + c.ShortRequests }

// maxConcurrentLoads returns the number of engines that may load at a time.
func maxConcurrentLoads(engines int) int { return (engines + enginesPerLoad - 1) / enginesPerLoad }
