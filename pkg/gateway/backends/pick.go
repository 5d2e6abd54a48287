package backends

import (
	"math/rand/v2"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/gateway/exchange"
	"cassiawall.example/cassiawall/pkg/rendezvous"
)

const (
	// remoteFactor makes a backend server of another data centre cost more than one of the
	// node's own, because bytes between data centres are paid for.
	remoteFactor = 1.25
	// affinityFactor is how much dearer the engine with the prefix must be before another is
	// taken: an engine that fetches or reads the prefix again delays all its requests.
	affinityFactor = 8.0
	// longEngineFactor is how much dearer an engine without long requests must be before one with
	// them is taken for a short request.
	longEngineFactor = 30.0
)

// Query describes a request that needs a backend server.
type Query struct {
	Service string
	// Model limits the choice to engines that serve it.
	Model string
	// MinVersion is the lowest version of the model's weights that may answer.
	MinVersion int
	// PreferVersion is taken before lower versions if enough engines have it.
	PreferVersion int
	// Affinity is the key of the request's shared prefix, or 0.
	Affinity uint64
	// Holder is the short form of the engine that is believed to hold the prefix, or 0.
	Holder uint32
	// Long is set for requests that are expected to run for long.
	Long bool
	// Exclude lists backend servers that have failed this request.
	Exclude []string
}

// Choice is a chosen backend server. Done must be called once.
type Choice struct {
	Backend
	// Version is the version of the model's weights that the engine is believed to have.
	Version int
	Pool    *exchange.Pool

	// Considered tells from what the choice was made.
	Considered Considered

	registry *Registry
	member   *member
	long     bool
}

// Considered counts the backend servers of a service by what kept them from a request.
type Considered struct {
	Open, Paused, Leaving, Loading, Tried, OldWeights int
	// Running is the number of running requests that the node knows of at the chosen one.
	Running int
	// ToldAge is the age of the holder's word on the chosen one, or 0 if there is none.
	ToldAge time.Duration
}

// Done gives the choice back with the result.
func (c *Choice) Done(result Result, latency time.Duration) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.long {
		c.member.long--
	} else {
		c.member.short--
	}
	now := time.Now()
	switch result {
	case Good:
		c.member.score.add(now, true, latency)
	case Bad:
		c.member.score.add(now, false, latency)
	}
}

// Result is what a request showed about its backend server.
type Result int

// Results.
const (
	// Neutral results, such as a caller that left, say nothing.
	Neutral Result = iota
	Good
	Bad
)

// Pick chooses a backend server. The choice is nil if none may take the request.
func (r *Registry) Pick(q Query, now time.Time) (*Choice, Considered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates, considered := r.candidates(q, now)
	if len(candidates) == 0 {
		return nil, considered
	}
	candidates = preferred(q, candidates)
	var best *member
	var takers []*member
	if q.Model != "" && !q.Long {
		candidates, takers = apartFromLong(candidates, now)
	}
	if q.Long && q.Model != "" {
		best = r.forLong(q, candidates, now)
	} else if q.Affinity != 0 {
		best = r.byAffinity(q, candidates, now)
	} else {
		best = r.cheapest(candidates, now)
	}
	if len(takers) > 0 {
		if other := r.cheapest(takers, now); r.cost(best, now) > longEngineFactor*r.cost(other, now) {
			best = other
		}
	}
	if q.Long {
		best.long++
	} else {
		best.short++
	}
	considered.Running = best.running(now)
	if now.Before(best.assignedUntil) {
		considered.ToldAge = assignmentLife - best.assignedUntil.Sub(now)
	}
	return &Choice{
		Backend: best.Backend, Version: best.version(q.Model), Pool: best.pool, Considered: considered,
		registry: r, member: best, long: q.Long,
	}, considered
}

// told returns the last word of the holder of the lease, or a zero value if it is too old.
func (m *member) told(now time.Time) Assignment {
	if now.Before(m.assignedUntil) {
		return m.assigned
	}
	return Assignment{}
}

// isLoading reports whether the engine takes new weights.
func (m *member) isLoading(now time.Time) bool {
	return now.Before(m.loadingUntil) || m.told(now).Loading
}

// isDown reports whether other nodes, or this one, cannot connect to the backend server.
func (m *member) isDown(now time.Time) bool {
	return now.Before(m.unreachableUntil) || m.told(now).Down
}

// isPaused reports whether requests should go elsewhere if they can.
func (m *member) isPaused(now time.Time) bool {
	return now.Before(m.pausedUntil) || !m.doubtedAt.IsZero() || m.isDown(now)
}

// running returns the number of running requests that this node knows of.
func (m *member) running(now time.Time) int {
	told := m.told(now)
	return max(m.long+m.short, told.Long+told.Short)
}

// runningLong returns the number of long requests that this node knows of.
func (m *member) runningLong(now time.Time) int { return max(m.long, m.told(now).Long) }

// forLong takes an engine that is assigned to long requests. Those with the newest weights are filled
// first: long requests keep an engine from taking newer weights.
func (r *Registry) forLong(q Query, candidates []*member, now time.Time) *member {
	var assigned []*member
	newest := 0
	for _, m := range candidates {
		if m.told(now).TakesLong {
			assigned = append(assigned, m)
			newest = max(newest, m.version(q.Model))
		}
	}
	var open []*member
	for _, m := range assigned {
		if m.version(q.Model) == newest && m.runningLong(now) < longTarget(m.Slots) {
			open = append(open, m)
		}
	}
	switch {
	case len(open) > 0:
		assigned = open
	case len(assigned) == 0:
		assigned = candidates
	}
	i, j := rand.IntN(len(assigned)), rand.IntN(len(assigned))
	if assigned[j].runningLong(now) < assigned[i].runningLong(now) {
		i = j
	}
	return assigned[i]
}

// apartFromLong sorts out the engines that are assigned to long requests, as long as others are there.
// Reading a prompt delays each step of the answers that the engine makes meanwhile, and several
// prompts in a row make a pause in a long stream.
func apartFromLong(candidates []*member, now time.Time) (apart, takers []*member) {
	for _, m := range candidates {
		if m.told(now).TakesLong {
			takers = append(takers, m)
		} else {
			apart = append(apart, m)
		}
	}
	if len(apart) == 0 {
		return candidates, nil
	}
	return apart, takers
}

// candidates returns the backend servers that may take the request now. Paused ones are used only
// if there is no other.
func (r *Registry) candidates(q Query, now time.Time) ([]*member, Considered) {
	var open, paused []*member
	var c Considered
	for _, m := range r.service[q.Service] {
		switch {
		case m.Leaving:
			c.Leaving++
		case m.isLoading(now):
			c.Loading++
		case slices.Contains(q.Exclude, m.ID):
			c.Tried++
		case q.Model != "" && (m.version(q.Model) == 0 || m.version(q.Model) < q.MinVersion):
			c.OldWeights++
		case m.isPaused(now):
			c.Paused++
			paused = append(paused, m)
		default:
			c.Open++
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return paused, c
	}
	return open, c
}

// preferredShare is the share of the candidates that must have the preferred version before the
// others are left out, so that the first engines of a rollout are not overloaded.
const preferredShare = 0.85

func preferred(q Query, candidates []*member) []*member {
	if q.PreferVersion == 0 {
		return candidates
	}
	var newest []*member
	for _, m := range candidates {
		if m.version(q.Model) >= q.PreferVersion {
			newest = append(newest, m)
		}
	}
	if float64(len(newest)) < preferredShare*float64(len(candidates)) {
		return candidates
	}
	return newest
}

// longLoad is the load of a long request in short ones: it takes a place in each step, but no time to
// read a prompt.
const longLoad = 0.15

// cost estimates the time of one more request, in milliseconds.
func (r *Registry) cost(m *member, now time.Time) float64 {
	long := m.runningLong(now)
	c := (float64(m.running(now)-long) + longLoad*float64(long) + 1) * m.score.expectedLatency()
	success := m.score.success(now)
	c /= success * success
	if m.DataCentre != r.dataCentre {
		c *= remoteFactor
	}
	return c
}

// cheapest compares two candidates drawn at random, which spreads the requests of many nodes
// better than all of them choosing the same minimum. Few candidates are all compared.
func (r *Registry) cheapest(candidates []*member, now time.Time) *member {
	if len(candidates) > 2 {
		local := make([]*member, 0, len(candidates))
		for _, m := range candidates {
			if m.DataCentre == r.dataCentre {
				local = append(local, m)
			}
		}
		if len(local) > 1 {
			candidates = local
		}
	}
	if len(candidates) > 3 {
		i := rand.IntN(len(candidates))
		j := rand.IntN(len(candidates) - 1)
		if j >= i {
			j++
		}
		candidates = []*member{candidates[i], candidates[j]}
	}
	start := rand.IntN(len(candidates))
	best, least := candidates[start], r.cost(candidates[start], now)
	for k := 1; k < len(candidates); k++ {
		m := candidates[(start+k)%len(candidates)]
		if c := r.cost(m, now); c < least {
			best, least = m, c
		}
	}
	return best
}

// byAffinity takes the engine that holds the prefix, or else the first in rendezvous order, unless
// another is much cheaper.
func (r *Registry) byAffinity(q Query, candidates []*member, now time.Time) *member {
	var first *member
	var firstScore uint64
	for _, m := range candidates {
		if q.Holder != 0 && m.short32 == q.Holder {
			first = m
			break
		}
		if s := rendezvous.Score(m.hash, q.Affinity); first == nil || s > firstScore {
			first, firstScore = m, s
		}
	}
	other := r.cheapest(candidates, now)
	if r.cost(first, now) > affinityFactor*r.cost(other, now) {
		return other
	}
	return first
}

// CacheSource returns the address of the engine with a short form of its ID, if it can be a source of
// cached prompts that a version of a model's weights made, or "".
func (r *Registry) CacheSource(short uint32, model string, version int, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if m.short32 == short && m.version(model) == version && !m.Leaving && !m.isLoading(now) && !m.isPaused(now) {
			return m.Address
		}
	}
	return ""
}
