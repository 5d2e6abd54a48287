package weights

import (
	"cmp"
	"slices"
)

// loadShare is the share of a model's engines that load at once. More loads at once slow each of
// them down at the store of weights; an engine also finishes its requests meanwhile.
const loadShare = 5

// Candidate is an engine as the planner sees it.
type Candidate struct {
	ID      string
	Version int
	// Long and Short are the requests that the engine must finish first.
	Long, Short int
	// Down is set if the engine could not be reached.
	Down bool
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
		case e.Ordered && !e.Down:
			running++
		case e.Ordered:
		case e.Version < version:
			behind = append(behind, e)
		}
	}
	slices.SortStableFunc(behind, func(a, b Candidate) int {
		return cmp.Or(compareBool(a.Down, b.Down), cmp.Compare(a.work(), b.work()), cmp.Compare(a.Version, b.Version))
	})
	free := max(0, maxLoads(len(engines))-running)
	var next []string
	for _, e := range behind[:min(free, len(behind))] {
		next = append(next, e.ID)
	}
	return next
}

// longWork is the work of a long request in short ones.
const longWork = 5

// work estimates the time that the engine needs to finish its requests.
func (c Candidate) work() int { return longWork*c.Long + c.Short }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// maxLoads is the number of engines that may load at once.
func maxLoads(engines int) int { return (engines + loadShare - 1) / loadShare }
