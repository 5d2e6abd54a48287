package routing

import (
	"cmp"
	"slices"

	"cassiawall.example/cassiawall/pkg/blackboard"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/engine"
)

// Usable reports whether an engine can take new requests of the model version.
func Usable(e *blackboard.EngineEntry, model *config.Model) bool {
	return takesRequests(e) && e.State.Model == model.Name && e.State.WeightsVersion == model.WeightsVersion
}

// Serves reports whether an engine can take new requests of a model in any version.
func Serves(e *blackboard.EngineEntry, model string) bool {
	return takesRequests(e) && e.State.Model == model
}

// takesRequests reports whether an engine takes new requests. It does not if it has not reported yet,
// is leaving, unreachable or loading weights, or is a standby.
func takesRequests(e *blackboard.EngineEntry) bool {
	return e.HasState && !e.Leaving && e.Reachable && !e.State.Leaving && !e.State.Loading && e.State.Role != engine.RoleStandby
}

// Candidates returns the usable engines that have not failed the request, ordered by id.
func Candidates(board *blackboard.Board, req *Request) []blackboard.EngineEntry {
	var usable []blackboard.EngineEntry
	for _, entry := range board.Engines.Snapshot() {
		e := entry.Value
		if Usable(&e, req.Model) && !req.FailedEngines[e.ID] {
			usable = append(usable, e)
		}
	}
	slices.SortFunc(usable, func(a, b blackboard.EngineEntry) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}
