package backends

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cassiawall.example/cassiawall/pkg/clock"
	"cassiawall.example/cassiawall/pkg/gateway/exchange"
)

const (
	// remoteFactor is the factor by which a backend server of another data centre costs more than one in the
	// node's own, because traffic between data centres is billed.
	remoteFactor = 1.25
	// affinityFactor is how many times more than another engine the preferred engine of a prefix must cost
	// before the other is picked: fetching or recomputing the prefix delays all requests of an engine.
	affinityFactor = 8.0
	// longEngineFactor is how many times more an engine without long requests must cost before one with long
	// requests is picked for a short request.
	longEngineFactor = 30.0
)

// Query describes a request that needs a backend server.
type Query struct {
	Service string
	// Model limits the choice to engines that serve it.
	Model string
	// MinVersion is the lowest version of the model's weights that may serve the request.
	MinVersion int
	// PreferVersion is the lowest version that is preferred to older ones if enough engines have it.
	PreferVersion int
	// Affinity is the key of the request's shared prefix, or 0.
	Affinity uint64
	// PrefixRate is the rate of requests with the shared prefix over all nodes, in requests a second, or 0 if
	// the prefix is not frequent.
	PrefixRate int
	// HomeDataCentre is the data centre whose engines should serve the shared prefix, or "" for any; see
	// Registry.HomeDataCentre.
	HomeDataCentre string
	// PrefixEngine is the cachemap.EngineHash of the engine that is assumed to have the prefix in memory, or
	// 0.
	PrefixEngine uint32
	// Long is set for requests that are expected to run for long.
	Long bool
	// AvailableOnly leaves out the backend servers that are used only if there is no other: those that have just refused a
	// request, cannot be connected to, or may be gone.
	AvailableOnly bool
	// Exclude lists the backend servers that have already failed this request.
	Exclude []string
}

// Choice is a picked backend server. Done must be called once.
type Choice struct {
	Backend
	// Version is the version of the model's weights that the engine is assumed to have.
	Version int
	Pool    *exchange.Pool
	// Limited is set if the server is known to state a limit.
	Limited bool

	// Counts describes the backend servers that were considered.
	Counts CandidateCounts

	registry *Registry
	member   *member
	long     bool
}

// CandidateCounts counts the backend servers of a service by their eligibility for a request: available,
// or the reason why not.
type CandidateCounts struct {
	Available, Paused, Leaving, Loading, Tried, OldWeights, Limited, Shedding int
	// SheddingUntil is the earliest end of a pause that a server has asked for, on the clock of clock.Now, or zero.
	SheddingUntil time.Time
	// Running is the number of requests known to be running on the picked server.
	Running int
	// HeartbeatAge is the age of the leader heartbeat with the picked one's assignment, or 0 if there is none
	// or it has expired.
	HeartbeatAge time.Duration
}

// Done ends the request at the backend server and records its result. The latency counts only for Success.
func (c *Choice) Done(result Result, latency time.Duration) {
	c.registry.mu.Lock()
	defer c.registry.mu.Unlock()
	if c.long {
		c.member.ownLong--
	} else {
		c.member.ownShort--
	}
	now := time.Now()
	switch result {
	case Success:
		c.member.score.add(now, true, latency)
	case Failure:
		c.member.score.add(now, false, latency)
	}
}

// Result is the outcome of a request, as it counts in the score of its backend server.
type Result int

// Results of a request.
const (
	// Neutral results, such as that of a client that disconnected, do not count for or against the backend
	// server.
	Neutral Result = iota
	Success
	Failure
)

// Pick picks a backend server. The choice is nil if none is eligible for the request.
func (r *Registry) Pick(q Query, now time.Time) (*Choice, CandidateCounts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates, counts := r.candidates(q, now)
	if len(candidates) == 0 {
		return nil, counts
	}
	candidates = filterPreferred(q, candidates)
	var best *member
	var longEngines []*member
	if q.Model != "" && !q.Long {
		candidates, longEngines = separateLong(candidates, now)
	}
	if q.Long && q.Model != "" {
		best = r.pickForLong(q, candidates, now)
	} else if q.Affinity != 0 {
		best = r.pickByAffinity(q, candidates, now)
	} else {
		best = r.pickCheapest(candidates, r.dataCentre, now)
	}
	if len(longEngines) > 0 {
		if other := r.pickCheapest(longEngines, r.dataCentre, now); r.cost(best, now) > longEngineFactor*r.cost(other, now) {
			best = other
		}
	}
	best.limit.Take(clock.Now())
	if q.Long {
		best.ownLong++
	} else {
		best.ownShort++
	}
	counts.Running = best.running(now)
	if now.Before(best.assignmentExpiry) {
		counts.HeartbeatAge = assignmentTTL - best.assignmentExpiry.Sub(now)
	}
	return &Choice{
		Backend: best.Backend, Version: best.version(q.Model), Pool: best.pool, Limited: best.limit.Limited(), Counts: counts,
		registry: r, member: best, long: q.Long,
	}, counts
}

// currentAssignment returns the assignment of the last leader heartbeat, or a zero value if it has expired.
func (m *member) currentAssignment(now time.Time) Assignment {
	if now.Before(m.assignmentExpiry) {
		return m.assignment
	}
	return Assignment{}
}

// isLeaving reports whether the listing of the backend server, or the leader, states that it will stop.
func (m *member) isLeaving(now time.Time) bool {
	return m.Leaving || m.currentAssignment(now).Leaving
}

// isLoading reports whether the engine loads new weights.
func (m *member) isLoading(now time.Time) bool {
	return now.Before(m.loadingUntil) || m.currentAssignment(now).Loading
}

// isDown reports whether several nodes, or this one, cannot connect to the backend server.
func (m *member) isDown(now time.Time) bool {
	return now.Before(m.unreachableUntil) || m.currentAssignment(now).Down
}

// isPaused reports whether requests should go to other backend servers if there are any.
func (m *member) isPaused(now time.Time) bool {
	return now.Before(m.pausedUntil) || !m.suspectSince.IsZero() || m.isDown(now)
}

// running returns the number of requests known to be running: this node's own or, if they are more, those of
// all nodes in the leader's assignment.
func (m *member) running(now time.Time) int {
	assignment := m.currentAssignment(now)
	return max(m.ownLong+m.ownShort, assignment.Long+assignment.Short)
}

// runningLong is like running for long requests only.
func (m *member) runningLong(now time.Time) int { return max(m.ownLong, m.currentAssignment(now).Long) }

// hasLongCapacity reports whether the engine runs fewer long requests than it should.
func (m *member) hasLongCapacity(now time.Time) bool {
	return m.runningLong(now) < targetLongRequests(m.Slots)
}

// pickForLong picks an engine that is assigned to long requests. Those with the newest weights are filled
// first: long requests keep an engine from loading newer weights.
func (r *Registry) pickForLong(q Query, candidates []*member, now time.Time) *member {
	var assigned []*member
	newestVersion := 0
	for _, m := range candidates {
		if m.currentAssignment(now).TakesLong {
			assigned = append(assigned, m)
			newestVersion = max(newestVersion, m.version(q.Model))
		}
	}
	var open []*member
	for _, m := range assigned {
		if m.version(q.Model) == newestVersion && m.hasLongCapacity(now) {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return r.pickCheapest(withoutFullLong(candidates, now), r.dataCentre, now)
	}
	i, j := rand.IntN(len(open)), rand.IntN(len(open))
	if open[j].runningLong(now) < open[i].runningLong(now) {
		i = j
	}
	return open[i]
}

// withoutFullLong leaves out the assigned engines that run as many long requests as they should: any other engine
// starts one more sooner. It returns all candidates if there is no other.
func withoutFullLong(candidates []*member, now time.Time) []*member {
	var others []*member
	for _, m := range candidates {
		if !m.currentAssignment(now).TakesLong || m.hasLongCapacity(now) {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return candidates
	}
	return others
}

// separateLong separates the engines that are assigned to long requests from the others, if there are others.
// A prefill delays the decode steps of the other requests on the engine, and several prefills in a row cause a
// pause in a long stream.
func separateLong(candidates []*member, now time.Time) (others, longEngines []*member) {
	for _, m := range candidates {
		if m.currentAssignment(now).TakesLong {
			longEngines = append(longEngines, m)
		} else {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return candidates, nil
	}
	return others, longEngines
}

// candidates returns the backend servers that are eligible for the request now. Paused ones are returned only
// if there is no other, and the query allows them.
func (r *Registry) candidates(q Query, now time.Time) ([]*member, CandidateCounts) {
	var available, paused []*member
	var counts CandidateCounts
	noticeNow := clock.Now()
	for _, m := range r.byService[q.Service] {
		leaving := r.statedLeaving(m, noticeNow)
		switch {
		case m.isLeaving(now), leaving == left, !m.suspectUntil.IsZero() && !now.Before(m.suspectUntil):
			counts.Leaving++
		case m.isLoading(now):
			counts.Loading++
		case slices.Contains(q.Exclude, m.ID):
			counts.Tried++
		case q.Model != "" && (m.version(q.Model) == 0 || m.version(q.Model) < q.MinVersion):
			counts.OldWeights++
		case noticeNow.Before(m.statedPauseUntil):
			counts.Shedding++
			if counts.SheddingUntil.IsZero() || m.statedPauseUntil.Before(counts.SheddingUntil) {
				counts.SheddingUntil = m.statedPauseUntil
			}
		case !r.hasPermit(m, noticeNow):
			counts.Limited++
		case m.isPaused(now), leaving == lastResort:
			counts.Paused++
			paused = append(paused, m)
		default:
			counts.Available++
			available = append(available, m)
		}
	}
	if len(available) == 0 && !q.AvailableOnly {
		return paused, counts
	}
	return available, counts
}

// minPreferredShare is the share of the candidates that must have the preferred version before the others are
// left out, so that the first engines of a rollout are not overloaded.
const minPreferredShare = 0.85

func filterPreferred(q Query, candidates []*member) []*member {
	if q.PreferVersion == 0 {
		return candidates
	}
	var newest []*member
	for _, m := range candidates {
		if m.version(q.Model) >= q.PreferVersion {
			newest = append(newest, m)
		}
	}
	if float64(len(newest)) < minPreferredShare*float64(len(candidates)) {
		return candidates
	}
	return newest
}

// longRequestLoad is the load of a long request as a fraction of a short one's: it takes part in each decode
// step, but needs no prefill.
const longRequestLoad = 0.15

// cost estimates the time of one more request in milliseconds, weighted by failures and by the data centre.
func (r *Registry) cost(m *member, now time.Time) float64 {
	return r.costAtLatency(m, m.score.expectedLatencyMS(), now)
}

func (r *Registry) costAtLatency(m *member, latencyMS float64, now time.Time) float64 {
	long := m.runningLong(now)
	cost := (float64(m.running(now)-long) + longRequestLoad*float64(long) + 1) * latencyMS
	success := m.score.successRate(now)
	cost /= success * success
	if m.DataCentre != r.dataCentre {
		cost *= remoteFactor
	}
	return cost
}

// pickCheapest compares two candidates drawn at random, which spreads the requests of many nodes better than
// if all of them picked the same minimum. Up to three candidates are all compared. Candidates in the node's
// preferred data centre come first if there are several.
func (r *Registry) pickCheapest(candidates []*member, preferredDataCentre string, now time.Time) *member {
	if len(candidates) > 2 {
		if local := inDataCentre(candidates, preferredDataCentre); len(local) > 1 {
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
	// A server without results is assumed to be as fast as the fastest of the others. With a higher latency it would get no
	// request that could show its own.
	initialLatency := float64(initialLatencyMS)
	for _, m := range candidates {
		initialLatency = min(initialLatency, m.score.expectedLatencyMS())
	}
	start := rand.IntN(len(candidates))
	var best *member
	lowest := math.Inf(1)
	for k := range candidates {
		m := candidates[(start+k)%len(candidates)]
		latency := m.score.expectedLatencyMS()
		if !m.score.hasLatency() {
			latency = initialLatency
		}
		if c := r.costAtLatency(m, latency, now); best == nil || c < lowest {
			best, lowest = m, c
		}
	}
	return best
}

// CacheSource returns the address of the engine with that idHash, or "" if other engines cannot fetch cached
// prompts of that version of a model's weights from it.
func (r *Registry) CacheSource(idHash uint32, model string, version int, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.byHash[idHash]
	if m == nil || m.version(model) != version || m.isLeaving(now) || m.isLoading(now) || m.isPaused(now) {
		return ""
	}
	return m.Address
}
