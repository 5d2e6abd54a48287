package placement

import (
	"cmp"
	"slices"
)

// maxCandidates is the number of owners that an entry asks at most.
const maxCandidates = 3

// cheapestPicker takes the options with the lowest costs.
type cheapestPicker struct{}

// Pick implements Picker. Equal costs are decided by the engine id, so that all nodes agree.
func (cheapestPicker) Pick(scored []ScoredEngine) []ScoredEngine {
	slices.SortFunc(scored, func(a, b ScoredEngine) int {
		if c := cmp.Compare(a.Cost, b.Cost); c != 0 {
			return c
		}
		return cmp.Compare(a.View.ID, b.View.ID)
	})
	return scored[:min(maxCandidates, len(scored))]
}
