package placement

import (
	"cmp"
	"slices"
)

// maxCandidates is the maximum number of engines whose owners an entry node queries for one request.
const maxCandidates = 3

// cheapestPicker selects the engines with the lowest costs.
type cheapestPicker struct{}

// Pick implements Picker. Equal costs are ordered by engine id, so that all nodes agree.
func (cheapestPicker) Pick(scored []ScoredEngine) []ScoredEngine {
	slices.SortFunc(scored, func(a, b ScoredEngine) int {
		if c := cmp.Compare(a.Cost, b.Cost); c != 0 {
			return c
		}
		return cmp.Compare(a.View.ID, b.View.ID)
	})
	return scored[:min(maxCandidates, len(scored))]
}
