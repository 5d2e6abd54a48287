package placement

import (
	"time"

	"cassiawall.example/cassiawall/pkg/prefix"
)

// Observe takes the outcome of a prefill. After a success the engine holds all pieces.
func (p *Placer) Observe(now time.Time, f Feedback) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.observe(sharedKeys(f.Pieces))
	e := p.engine(f.Engine)
	if e == nil || f.Failed {
		return
	}
	if f.Incarnation != "" && f.Incarnation != e.Incarnation {
		return
	}
	if f.Direct {
		p.learn(now, e, f.Pieces, reusedPieces(f.Pieces, f.ReusedTokens))
	}
	p.remember(now, e, f.Pieces, len(f.Pieces))
}

// ObserveCachedPieces takes the number of cached pieces that an owner stated. Pieces beyond it are
// forgotten for this engine.
func (p *Placer) ObserveCachedPieces(now time.Time, engine, incarnation string, pieces []prefix.Piece, cached int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engine(engine)
	if e == nil || incarnation != "" && incarnation != e.Incarnation {
		return
	}
	cached = min(cached, len(pieces))
	p.learn(now, e, pieces, cached)
	p.remember(now, e, pieces, cached)
	for i := cached; i < len(pieces); i++ {
		if entry := p.soft.get(pieces[i].PrefixHash); entry != nil {
			entry.drop(e.number)
		}
	}
}

func (p *Placer) remember(now time.Time, e *engineState, pieces []prefix.Piece, depth int) {
	for i := range pieces[:depth] {
		p.soft.touch(pieces[i].PrefixHash).add(softPlace{
			engine:      e.number,
			depth:       int32(i + 1),
			incarnation: e.incarnationHash,
			seen:        now.UnixNano(),
		})
	}
}

// learn compares the pieces that were cached with what the evidence promised.
func (p *Placer) learn(now time.Time, e *engineState, pieces []prefix.Piece, cached int) {
	for i := len(pieces) - 1; i >= 0; i-- {
		place, ok := p.placeOf(pieces[i].PrefixHash, e)
		if !ok {
			continue
		}
		share := 0.0
		if cached > i {
			share = 1
		}
		p.beliefs.observeAge(time.Duration(max(0, now.UnixNano()-place.seen)), share)
		return
	}
	p.learnRank(e, pieces, cached)
}

func (p *Placer) placeOf(key uint64, e *engineState) (softPlace, bool) {
	entry := p.soft.get(key)
	if entry == nil {
		return softPlace{}, false
	}
	for _, place := range entry.list() {
		if place.engine == e.number && place.incarnation == e.incarnationHash {
			return place, true
		}
	}
	return softPlace{}, false
}

func (p *Placer) learnRank(e *engineState, pieces []prefix.Piece, cached int) {
	g := p.fleet.groupOf(e.Model, p.options.Region)
	if g == nil || len(pieces) == 0 {
		return
	}
	h := p.homesOf(g, pieces)
	for i := range h.count {
		if p.fleet.engines[h.order[i]].number != e.number {
			continue
		}
		rank := max(0, i-h.width+1)
		shared := firstPrivate(pieces)
		if shared > 0 {
			p.beliefs.observeRank(rank, false, float64(min(cached, shared))/float64(shared))
		}
		if private := len(pieces) - shared; private > 0 {
			p.beliefs.observeRank(rank, true, float64(max(0, cached-shared))/float64(private))
		}
		return
	}
}

// reusedPieces returns the number of leading pieces within the reused tokens. An engine computes
// the last token of a prompt even if all of it is cached.
func reusedPieces(pieces []prefix.Piece, tokens int) int {
	sum := 0
	for i := range pieces {
		sum += pieces[i].Tokens
		if sum > tokens+1 {
			return i
		}
	}
	return len(pieces)
}

func sharedKeys(pieces []prefix.Piece) []uint64 {
	var keys []uint64
	for i := range pieces {
		if isBoundary(pieces, i) {
			keys = append(keys, pieces[i].PrefixHash)
		}
	}
	return keys
}

// CopySource returns the engine other than except that was last seen to hold the most leading pieces
// of a chain, and their number. It returns "" if this node knows none. Owners use it to suggest
// the source of a copy.
func (p *Placer) CopySource(keys []uint64, except string) (engine string, pieces int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(keys) - 1; i >= 0; i-- {
		entry := p.soft.get(keys[i])
		if entry == nil {
			continue
		}
		var newest softPlace
		for _, place := range entry.list() {
			index := p.current(place)
			if index == noEngine || p.fleet.engines[index].ID == except || p.fleet.engines[index].Unusable {
				continue
			}
			if engine == "" || place.seen > newest.seen {
				newest = place
				engine = p.fleet.engines[index].ID
			}
		}
		if engine != "" {
			return engine, i + 1
		}
	}
	return "", 0
}

// CachedPrefixes returns up to limit entries of the soft map, the most recently used keys first.
func (p *Placer) CachedPrefixes(limit int) []CachedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []CachedPrefix
	p.soft.each(func(entry *softEntry) bool {
		for _, place := range entry.list() {
			i := p.current(place)
			if i == noEngine {
				continue
			}
			e := &p.fleet.engines[i]
			out = append(out, CachedPrefix{PrefixHash: entry.key, Engine: e.ID, Incarnation: e.Incarnation, Pieces: int(place.depth)})
		}
		return len(out) < limit
	})
	return out[:min(limit, len(out))]
}

// ImportPrefixes adds the entries of another node's soft map, in the order of SoftPrefixes. Entries of
// unknown engines or other incarnations are ignored. Own, newer entries are kept.
func (p *Placer) ImportPrefixes(now time.Time, entries []CachedPrefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(entries) - 1; i >= 0; i-- {
		s := &entries[i]
		e := p.engine(s.Engine)
		if e == nil || e.Incarnation != s.Incarnation {
			continue
		}
		if _, known := p.placeOf(s.PrefixHash, e); known {
			continue
		}
		p.soft.touch(s.PrefixHash).add(softPlace{
			engine:      e.number,
			depth:       int32(s.Pieces),
			incarnation: e.incarnationHash,
			seen:        now.UnixNano(),
		})
	}
}
