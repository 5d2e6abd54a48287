package backends

import (
	"cmp"
	"slices"
	"time"
)

// longShare is the share of an engine's slots that long requests should fill. Beyond it the engine's
// steps slow down more than another engine with long requests would cost a rollout.
const longSlotShare = 0.9

// leastLongEngines is the least number of engines for long requests, so that one crash does not cut
// all of them.
const minLongEngines = 2

// downReports is the number of nodes that must fail to connect to a backend server before the others
// avoid it; a single node may itself be cut off.
const minDownReports = 2

// longTarget is the number of long requests that an engine should run.
func targetLongRequests(slots int) int { return max(1, int(longSlotShare*float64(slots))) }

// engineLoad is an engine with the running requests of all nodes.
type engineLoad struct {
	id      string
	version int
	slots   int
	long    int
}

// takersOfLong returns the engines that should get long requests: as few as hold them, those with the
// newest weights first and then those that run the most already. The others stay free of long
// requests, so that they can take new weights without waiting.
func enginesForLong(engines []engineLoad) map[string]bool {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b engineLoad) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(b.long, a.long), cmp.Compare(a.id, b.id))
	})
	total := 0
	for _, e := range engines {
		total += e.long
	}
	takers := map[string]bool{}
	room := 0
	for _, e := range engines {
		// One engine's room beyond what runs now leaves space until the next assignment.
		if room >= total+targetLongRequests(e.slots) && len(takers) >= minLongEngines {
			break
		}
		takers[e.id] = true
		room += targetLongRequests(e.slots)
	}
	return takers
}

// Assignments returns the assignments of all engines from the running requests of all nodes.
func (r *Registry) ComputeAssignments(total map[string]Load, now time.Time) map[string]Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := map[string][]engineLoad{}
	assignments := map[string]Assignment{}
	for _, m := range r.members {
		load := total[m.ID]
		down := load.Unreachable >= minDownReports
		if len(m.Models) == 0 {
			if down {
				assignments[m.ID] = Assignment{Down: true}
			}
			continue
		}
		loading := now.Before(m.loadingUntil)
		assignments[m.ID] = Assignment{Long: load.Long, Short: load.Short, Loading: loading, Down: down}
		if !loading && !down && !m.Leaving && m.suspectSince.IsZero() && now.After(m.pausedUntil) {
			groups[m.Service] = append(groups[m.Service], engineLoad{
				id: m.ID, version: m.version(m.Models[0].Name), slots: m.Slots, long: load.Long,
			})
		}
	}
	for _, group := range groups {
		for id := range enginesForLong(group) {
			a := assignments[id]
			a.TakesLong = true
			assignments[id] = a
		}
	}
	return assignments
}
