package backends

import (
	"cmp"
	"slices"
	"time"
)

// longSlotShare is the share of an engine's slots that long requests should fill. A smaller share spreads them
// over more engines, each of which delays a rollout until they end. Above this share, slower decode steps cost
// more than the delay by one more such engine.
const longSlotShare = 0.9

// minLongEngines is the minimum number of engines for long requests, so that one crash does not interrupt all
// of them.
const minLongEngines = 2

// minDownReports is the number of nodes that must fail to connect to a backend server before all nodes avoid
// it: a single node may itself have lost its network connection.
const minDownReports = 2

// targetLongRequests is the number of long requests that an engine with that many slots should run.
func targetLongRequests(slots int) int { return max(1, int(longSlotShare*float64(slots))) }

// engineLoad is an engine with the long requests of all nodes.
type engineLoad struct {
	id      string
	version int
	slots   int
	long    int
}

// enginesForLong returns the engines that should get long requests: as few as have the capacity for them, those
// with the newest weights first and then those that run the most long requests already. The others stay free of
// long requests, so that they can load new weights without waiting.
func enginesForLong(engines []engineLoad) map[string]bool {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b engineLoad) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(b.long, a.long), cmp.Compare(a.id, b.id))
	})
	total := 0
	for _, e := range engines {
		total += e.long
	}
	selected := map[string]bool{}
	capacity := 0
	for _, e := range engines {
		// The spare capacity of one engine is for long requests that start before the next assignment.
		if capacity >= total+targetLongRequests(e.slots) && len(selected) >= minLongEngines {
			break
		}
		selected[e.id] = true
		capacity += targetLongRequests(e.slots)
	}
	return selected
}

// ComputeAssignments returns the assignments of all engines, and of the servers of plain services that are
// down, from the loads of all nodes by backend server ID.
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
