package routing

import (
	"math/rand/v2"
	"sync"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
)

// VersionPicker chooses the weights version of a request while a rollout moves engines from one
// version to the next. It is safe for concurrent use.
type VersionPicker struct {
	board *blackboard.Board

	mu  sync.Mutex
	rng *rand.Rand
	// boardVersion is the version of the board's engines at the last refresh.
	boardVersion uint64
	initialized  bool
	// serving counts the engines that serve each version of a model.
	serving map[string][]versionCount
}

type versionCount struct {
	version string
	engines int
}

// NewVersionPicker returns a picker over the board's engines.
func NewVersionPicker(board *blackboard.Board, rng *rand.Rand) *VersionPicker {
	return &VersionPicker{board: board, rng: rng}
}

// Pick returns the version for a request. Each version has a probability in proportion to the engines
// that serve it, so that a canary gets its share. Engines in failed do not count: they rejected the
// request, usually because they are loading other weights. If no engine serves the model, Pick returns
// the configured version.
func (v *VersionPicker) Pick(model *config.Model, failed map[string]bool) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh()
	counts := v.serving[model.Name]
	if len(failed) > 0 {
		counts = v.countServing(failed)[model.Name]
	}
	if len(counts) == 0 {
		return model.WeightsVersion
	}
	if len(counts) == 1 {
		return counts[0].version
	}
	total := 0
	for _, c := range counts {
		total += c.engines
	}
	n := v.rng.IntN(total)
	for _, c := range counts {
		if n < c.engines {
			return c.version
		}
		n -= c.engines
	}
	return model.WeightsVersion
}

func (v *VersionPicker) refresh() {
	version := v.board.Engines.Version()
	if v.initialized && version == v.boardVersion {
		return
	}
	v.initialized, v.boardVersion = true, version
	v.serving = v.countServing(nil)
}

func (v *VersionPicker) countServing(failed map[string]bool) map[string][]versionCount {
	serving := map[string][]versionCount{}
	for id, e := range v.board.Engines.Snapshot() {
		if takesRequests(&e.Value) && !failed[id] {
			s := &e.Value.State
			serving[s.Model] = countVersion(serving[s.Model], s.WeightsVersion)
		}
	}
	return serving
}

func countVersion(counts []versionCount, version string) []versionCount {
	for i := range counts {
		if counts[i].version == version {
			counts[i].engines++
			return counts
		}
	}
	return append(counts, versionCount{version: version, engines: 1})
}
