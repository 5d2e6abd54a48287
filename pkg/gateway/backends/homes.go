package backends

import (
	"cmp"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/rendezvous"
)

// inDataCentre returns the candidates in a data centre.
func inDataCentre(candidates []*member, dataCentre string) []*member {
	local := make([]*member, 0, len(candidates))
	for _, m := range candidates {
		if m.DataCentre == dataCentre {
			local = append(local, m)
		}
	}
	return local
}

// maxRatePerHome is the rate of requests in requests a second up to which one engine is the home of a prefix.
// The prefill of what such requests do not share takes an engine some ten milliseconds each.
const maxRatePerHome = 20

// homesOf returns the engines that should have a prefix in memory: the one that is known to have it, or else the
// first in rendezvous order, so that all nodes agree without messages. A prefix with more requests than one
// engine can prefill has as many homes as it needs.
func homesOf(q Query, candidates []*member) []*member {
	count := min(1+q.PrefixRate/maxRatePerHome, len(candidates))
	if count == 1 && q.PrefixEngine != 0 {
		for _, m := range candidates {
			if m.idHash == q.PrefixEngine {
				return []*member{m}
			}
		}
	}
	type scored struct {
		*member
		score uint64
	}
	// homes are the best candidates so far, the best first.
	homes := make([]scored, 0, count+1)
	for _, m := range candidates {
		s := scored{m, rendezvous.Score(m.rendezvousHash, q.Affinity)}
		at, _ := slices.BinarySearchFunc(homes, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if at < count {
			homes = slices.Insert(homes, at, s)[:min(len(homes)+1, count)]
		}
	}
	members := make([]*member, len(homes))
	for i, h := range homes {
		members[i] = h.member
	}
	return members
}

// pickByAffinity picks an engine that should have the prefix in memory (its home), unless another is much
// cheaper. Engines of the home data centre are preferred, both as the home and in its place.
func (r *Registry) pickByAffinity(q Query, candidates []*member, now time.Time) *member {
	nearHome, otherDataCentre := candidates, r.dataCentre
	if q.HomeDataCentre != "" {
		if local := inDataCentre(candidates, q.HomeDataCentre); len(local) > 0 {
			nearHome, otherDataCentre = local, q.HomeDataCentre
		}
	}
	picked := r.pickCheapest(homesOf(q, nearHome), "", now)
	for _, others := range [][]*member{nearHome, candidates} {
		other := r.pickCheapest(others, otherDataCentre, now)
		if r.cost(picked, now) > affinityFactor*r.cost(other, now) {
			picked = other
		}
		otherDataCentre = r.dataCentre
	}
	return picked
}

// HomeDataCentre returns the data centre whose servers of a service should serve a prefix, or "" if the service has
// no servers. It stays the same while servers come and go, so that a store there keeps its use.
func (r *Registry) HomeDataCentre(service string, affinity uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	home, homeScore := "", uint64(0)
	for _, m := range r.byService[service] {
		if s := rendezvous.Score(m.dataCentreHash, affinity); home == "" || s > homeScore {
			home, homeScore = m.DataCentre, s
		}
	}
	return home
}
