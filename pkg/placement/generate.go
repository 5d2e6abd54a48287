package placement

import (
	"time"

	"cassiawall.example/cassiawall/pkg/prefix"
)

// generateCandidates lists the engines to score: preferred engines, engines from the prefix index
// and, if those are fewer than maxCandidates or all have long waits, a few random ones. Its cost does
// not depend on the number of engines.
func (p *Placer) generateCandidates(now time.Time, g *group, r *Request) []ScoredEngine {
	scored := p.scratch[:0]
	total := prefix.Tokens(r.Pieces)
	preferred := p.preferredEnginesFor(g, r.Pieces)
	remaining := min(preferred.width+extraPreferred, maxPreferred)
	for i := 0; i < preferred.count && remaining > 0; i++ {
		before := len(scored)
		scored = p.addEngine(scored, r, preferred.order[i], max(0, i-preferred.width+1), total)
		remaining -= len(scored) - before
	}
	scored = p.addIndexed(scored, r, total)
	if len(scored) < maxCandidates || allOverloaded(r, scored) {
		scored = p.addSampled(scored, g, r, total)
	}
	p.estimateCached(now, r.Pieces, scored)
	return scored
}

func (p *Placer) addEngine(scored []ScoredEngine, r *Request, i int32, rank, total int) []ScoredEngine {
	if len(scored) == maxScored || indexOfEngine(scored, i) >= 0 {
		return scored
	}
	e := &p.fleet.engines[i]
	if !p.filter.Keep(r, &e.EngineView) {
		return scored
	}
	return append(scored, ScoredEngine{
		View:               &e.EngineView,
		Rank:               rank,
		DispatchedTokens:   e.dispatchedTokens,
		DispatchedRequests: e.dispatchedRequests,
		TotalTokens:        total,
		engine:             i,
	})
}

func indexOfEngine(scored []ScoredEngine, engine int32) int {
	for i := range scored {
		if scored[i].engine == engine {
			return i
		}
	}
	return -1
}

func (p *Placer) addIndexed(scored []ScoredEngine, r *Request, total int) []ScoredEngine {
	added := 0
	for i := len(r.Pieces) - 1; i >= 0 && added < maxIndexed; i-- {
		entry := p.index.get(r.Pieces[i].PrefixHash)
		if entry == nil {
			continue
		}
		for _, location := range entry.locations() {
			index := p.engineIndex(location)
			if index == noEngine {
				continue
			}
			before := len(scored)
			scored = p.addEngine(scored, r, index, -1, total)
			added += len(scored) - before
		}
	}
	return scored
}

// engineIndex returns the index of a location's engine in the fleet, or noEngine if the engine was
// removed or has restarted since.
func (p *Placer) engineIndex(location prefixLocation) int32 {
	if int(location.engine) >= len(p.fleet.byNumber) {
		return noEngine
	}
	i := p.fleet.byNumber[location.engine]
	if i == noEngine || p.fleet.engines[i].incarnationHash != location.incarnation {
		return noEngine
	}
	return i
}

// overloadFactor is the wait, in prefill times of the whole prompt, above which random engines are
// scored too. With shorter waits, they would only spread the prefix over more engines.
const overloadFactor = 2

// allOverloaded reports whether all scored engines have long waits.
func allOverloaded(r *Request, scored []ScoredEngine) bool {
	for i := range scored {
		s := &scored[i]
		rate := prefillRateOf(s.View)
		if predictWait(s, rate, r.MaxTokens) <= seconds(overloadFactor*float64(s.TotalTokens)/rate) {
			return false
		}
	}
	return true
}

func (p *Placer) addSampled(scored []ScoredEngine, g *group, r *Request, total int) []ScoredEngine {
	for range min(sampleSize, len(g.members)) {
		i := g.members[p.rng.IntN(len(g.members))]
		scored = p.addEngine(scored, r, i, -1, total)
	}
	return scored
}

// cachedThreshold is the probability above which a piece counts as cached.
const cachedThreshold = 0.5

// estimateCached sets the expected cached tokens of all scored engines. The probability that a piece
// is cached is the highest one that index entries of this piece or of a later one give, because a
// cached piece implies its predecessors; the hit rate of the engine's rank is the minimum.
func (p *Placer) estimateCached(now time.Time, pieces []prefix.Piece, scored []ScoredEngine) {
	var best [maxScored]float64
	nowNanos := now.UnixNano()
	for i := len(pieces) - 1; i >= 0; i-- {
		piece := &pieces[i]
		if entry := p.index.get(piece.PrefixHash); entry != nil {
			for _, location := range entry.locations() {
				p.raiseProbability(scored, &best, location, nowNanos)
			}
		}
		for j := range scored {
			s := &scored[j]
			probability := max(best[j], p.hitRates.forRank(s.Rank, !piece.Shared))
			s.CachedTokens += probability * float64(piece.Tokens)
			if s.CachedPieces == 0 && probability >= cachedThreshold {
				s.CachedPieces = i + 1
			}
		}
	}
}

// raiseProbability raises the probability of the location's engine to the hit rate for the location's
// age.
func (p *Placer) raiseProbability(scored []ScoredEngine, best *[maxScored]float64, location prefixLocation, nowNanos int64) {
	index := p.engineIndex(location)
	if index == noEngine {
		return
	}
	j := indexOfEngine(scored, index)
	if j < 0 {
		return
	}
	age := time.Duration(max(0, nowNanos-location.lastSeen))
	best[j] = max(best[j], p.hitRates.forAge(age))
}
