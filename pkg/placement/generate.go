package placement

import (
	"time"

	"cassiawall.example/cassiawall/pkg/prefix"
)

// generate lists the engines worth scoring: homes, engines from the soft map and, if those have
// long queues, a few random ones. Its cost does not depend on the number of engines.
func (p *Placer) generate(now time.Time, g *group, r *Request) []ScoredEngine {
	options := p.scratch[:0]
	total := prefix.Tokens(r.Pieces)
	h := p.homesOf(g, r.Pieces)
	wanted := min(h.width+spareHomes, maxHomes)
	for i := 0; i < h.count && wanted > 0; i++ {
		before := len(options)
		options = p.addOption(options, r, h.order[i], max(0, i-h.width+1), total)
		wanted -= len(options) - before
	}
	options = p.addSoft(options, r, total)
	if len(options) < maxAsked || overloaded(r, options) {
		options = p.addSampled(options, g, r, total)
	}
	p.believe(now, r.Pieces, options)
	return options
}

func (p *Placer) addOption(options []ScoredEngine, r *Request, i int32, rank, total int) []ScoredEngine {
	if len(options) == maxOptions || find(options, i) >= 0 {
		return options
	}
	e := &p.fleet.engines[i]
	if !p.filter.Keep(r, &e.EngineView) {
		return options
	}
	return append(options, ScoredEngine{
		View:               &e.EngineView,
		Rank:               rank,
		DispatchedTokens:   e.dispatchedTokens,
		DispatchedRequests: e.dispatchedRequests,
		TotalTokens:        total,
		engine:             i,
	})
}

func find(options []ScoredEngine, engine int32) int {
	for i := range options {
		if options[i].engine == engine {
			return i
		}
	}
	return -1
}

func (p *Placer) addSoft(options []ScoredEngine, r *Request, total int) []ScoredEngine {
	added := 0
	for i := len(r.Pieces) - 1; i >= 0 && added < maxSoft; i-- {
		entry := p.soft.get(r.Pieces[i].PrefixHash)
		if entry == nil {
			continue
		}
		for _, place := range entry.list() {
			index := p.current(place)
			if index == noEngine {
				continue
			}
			before := len(options)
			options = p.addOption(options, r, index, -1, total)
			added += len(options) - before
		}
	}
	return options
}

// current returns the index of a place's engine, or noEngine if the engine is gone or has
// restarted since.
func (p *Placer) current(place softPlace) int32 {
	if int(place.engine) >= len(p.fleet.byNumber) {
		return noEngine
	}
	i := p.fleet.byNumber[place.engine]
	if i == noEngine || p.fleet.engines[i].incarnationHash != place.incarnation {
		return noEngine
	}
	return i
}

// overloadFactor is the wait, in prefills of the whole prompt, above which engines without the
// prefix are considered. Below it they would only scatter the prefix.
const overloadFactor = 2

// overloaded reports whether every option has a long wait.
func overloaded(r *Request, options []ScoredEngine) bool {
	for i := range options {
		o := &options[i]
		rate := rateOf(o.View)
		if waitOf(o, rate, r.MaxTokens) <= seconds(overloadFactor*float64(o.TotalTokens)/rate) {
			return false
		}
	}
	return true
}

func (p *Placer) addSampled(options []ScoredEngine, g *group, r *Request, total int) []ScoredEngine {
	for range min(sampled, len(g.members)) {
		i := g.members[p.rng.IntN(len(g.members))]
		options = p.addOption(options, r, i, -1, total)
	}
	return options
}

// probablyCached is the probability above which a piece counts as cached.
const probablyCached = 0.5

// believe sets the expected cached tokens of all options. The probability that a piece is cached
// is the highest one that its own or a deeper piece's evidence gives, because a cached piece
// implies its predecessors.
func (p *Placer) believe(now time.Time, pieces []prefix.Piece, options []ScoredEngine) {
	var best [maxOptions]float64
	nanos := now.UnixNano()
	for i := len(pieces) - 1; i >= 0; i-- {
		piece := &pieces[i]
		if entry := p.soft.get(piece.PrefixHash); entry != nil {
			for _, place := range entry.list() {
				p.raise(options, &best, place, nanos)
			}
		}
		for j := range options {
			o := &options[j]
			probability := max(best[j], p.beliefs.rank(o.Rank, !piece.Shared))
			o.CachedTokens += probability * float64(piece.Tokens)
			if o.CachedPieces == 0 && probability >= probablyCached {
				o.CachedPieces = i + 1
			}
		}
	}
}

func (p *Placer) raise(options []ScoredEngine, best *[maxOptions]float64, place softPlace, nanos int64) {
	index := p.current(place)
	if index == noEngine {
		return
	}
	j := find(options, index)
	if j < 0 {
		return
	}
	age := time.Duration(max(0, nanos-place.seen))
	best[j] = max(best[j], p.beliefs.age(age))
}
