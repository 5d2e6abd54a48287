package backends

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minLongEngines is the minimum number of engines for long requests, so that one crash does not interrupt
	// all of them.
	minLongEngines = 2
	// minLongShare is the minimum share of the engines for long requests, and longGrowthPerSecond the share by
	// which they may increase in a second. They answer the load of a large fleet, whose loads are old: with two
	// engines for all of its first long requests, hundreds would start there before the next assignment.
	minLongShare        = 0.1
	longGrowthPerSecond = 0.4
)

// minDownReports is the number of nodes that must fail to connect to a backend server before all nodes avoid
// it: a single node may itself have lost its network connection.
const minDownReports = 2

// targetLongRequests is the number of long requests that an engine with that many slots should run. Fewer
// requests an engine occupy more engines, each of which delays a rollout until they end. The free slots are for
// requests that start before the next heartbeat, whose number varies by about the square root of all.
func targetLongRequests(slots int) int {
	return max(1, slots-int(math.Ceil(math.Sqrt(float64(slots)))))
}

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
func enginesForLong(engines []engineLoad, loadAge time.Duration) map[string]bool {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b engineLoad) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(b.long, a.long), cmp.Compare(a.id, b.id))
	})
	total := 0
	for _, e := range engines {
		total += e.long
	}
	minEngines := max(minLongEngines, int(minLongShare*float64(len(engines))))
	selected := map[string]bool{}
	capacity := 0
	for _, e := range engines {
		// The spare capacity is for long requests that start before the next assignment.
		spare := max(targetLongRequests(e.slots), int(longGrowthPerSecond*loadAge.Seconds()*float64(total)))
		if capacity >= total+spare && len(selected) >= minEngines {
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
		if !loading && !down && !m.leaves() && m.suspectSince.IsZero() && now.After(m.pausedUntil) {
			groups[m.Service] = append(groups[m.Service], engineLoad{
				id: m.ID, version: m.version(m.Models[0].Name), slots: m.Slots, long: load.Long,
			})
		}
	}
	for _, group := range groups {
		for id := range enginesForLong(group, r.loadAge) {
			a := assignments[id]
			a.TakesLong = true
			assignments[id] = a
		}
	}
	return assignments
}
