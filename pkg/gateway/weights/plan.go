package weights

import (
	"cmp"
	"slices"
)

// enginesPerLoad is the share of a model's engines that load at once. More loads at once slow each of
// them down at the store of weights; an engine also finishes its requests meanwhile.
const enginesPerLoad = 5

// Candidate is an engine as the planner sees it.
type Candidate struct {
	ID      string
	Version int
	// LongRequests and ShortRequests are the requests that the engine must finish first.
	LongRequests, ShortRequests int
	// Unreachable is set if the engine could not be reached.
	Unreachable bool
	// OrderPending is set while an order to the engine is not complete.
	OrderPending bool
}

// Plan returns the engines to order next to a version, so that no more than one engine in loadShare
// loads at once. Engines with the fewest long requests come first: an engine finishes its requests
// before it loads, and long ones would hold up the others.
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
		return cmp.Or(compareBool(a.Unreachable, b.Unreachable), cmp.Compare(a.remainingWork(), b.remainingWork()), cmp.Compare(a.Version, b.Version))
	})
	capacity := max(0, maxConcurrentLoads(len(engines))-loading)
	var next []string
	for _, e := range outdated[:min(capacity, len(outdated))] {
		next = append(next, e.ID)
	}
	return next
}

// longRequestWeight is the work of a long request in short ones.
const longRequestWeight = 5

// remainingWork estimates the time that the engine needs to finish its requests.
func (c Candidate) remainingWork() int { return longRequestWeight*c.LongRequests + c.ShortRequests }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// maxConcurrentLoads is the number of engines that may load at once.
func maxConcurrentLoads(engines int) int { return (engines + enginesPerLoad - 1) / enginesPerLoad }
