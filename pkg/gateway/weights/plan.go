package weights

import (
	"cmp"
	"slices"
)

// loadShare is the share of a model's engines that load at once. More loads at once slow each of
// them down at the store of weights; one in six is within what both deployments state.
const loadShare = 6

// Candidate is an engine as the planner sees it.
type Candidate struct {
	ID      string
	Version int
	// Long is the number of long requests that the engine must finish first.
	Long int
	// Ordered is set while an order to the engine is not complete.
	Ordered bool
}

// Plan returns the engines to order next to a version, so that no more than one engine in loadShare
// loads at once. Engines with the fewest long requests come first: an engine finishes its requests
// before it loads, and long ones would hold up the others.
func Plan(engines []Candidate, version int) []string {
	running := 0
	var behind []Candidate
	for _, e := range engines {
		switch {
		case e.Ordered:
			running++
		case e.Version < version:
			behind = append(behind, e)
		}
	}
	slices.SortStableFunc(behind, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Long, b.Long), cmp.Compare(a.Version, b.Version))
	})
	free := max(0, maxLoads(len(engines))-running)
	var next []string
	for _, e := range behind[:min(free, len(behind))] {
		next = append(next, e.ID)
	}
	return next
}

// maxLoads is the number of engines that may load at once.
func maxLoads(engines int) int { return (engines + loadShare - 1) / loadShare }
