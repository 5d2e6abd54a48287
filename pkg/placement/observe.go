package placement

import (
	"time"

	"cassiawall.example/cassiawall/pkg/prefix"
)

// Observe records the outcome of a prefill. After a success, the engine has all pieces cached. An
// outcome of another incarnation counts as demand only.
func (p *Placer) Observe(now time.Time, f Feedback) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.demand.observe(sharedHashes(f.Pieces))
	e := p.engine(f.Engine)
	if e == nil || f.Failed {
		return
	}
	if f.Incarnation != "" && f.Incarnation != e.Incarnation {
		return
	}
	if f.Direct {
		p.updateHitRates(now, e, f.Pieces, reusedPieces(f.Pieces, f.ReusedTokens))
	}
	p.recordLocations(now, e, f.Pieces, len(f.Pieces))
}

// ObserveCachedPieces records the number of leading pieces that an engine has cached, as its owner
// reported it. Index entries of this engine for the pieces after them are removed.
func (p *Placer) ObserveCachedPieces(now time.Time, engine, incarnation string, pieces []prefix.Piece, cached int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.engine(engine)
	if e == nil || incarnation != "" && incarnation != e.Incarnation {
		return
	}
	cached = min(cached, len(pieces))
	p.updateHitRates(now, e, pieces, cached)
	p.recordLocations(now, e, pieces, cached)
	for i := cached; i < len(pieces); i++ {
		if entry := p.index.get(pieces[i].PrefixHash); entry != nil {
			entry.remove(e.number)
		}
	}
}

func (p *Placer) recordLocations(now time.Time, e *engineState, pieces []prefix.Piece, count int) {
	for i := range pieces[:count] {
		p.index.touch(pieces[i].PrefixHash).put(prefixLocation{
			engine:      e.number,
			pieces:      int32(i + 1),
			incarnation: e.incarnationHash,
			lastSeen:    now.UnixNano(),
		})
	}
}

// updateHitRates compares the cached pieces with the expectation: with the deepest index entry of the
// engine or, without one, with the engine's rank.
func (p *Placer) updateHitRates(now time.Time, e *engineState, pieces []prefix.Piece, cached int) {
	for i := len(pieces) - 1; i >= 0; i-- {
		location, ok := p.indexedLocation(pieces[i].PrefixHash, e)
		if !ok {
			continue
		}
		share := 0.0
		if cached > i {
			share = 1
		}
		p.hitRates.recordAge(time.Duration(max(0, now.UnixNano()-location.lastSeen)), share)
		return
	}
	p.updateRankHitRates(e, pieces, cached)
}

func (p *Placer) indexedLocation(hash uint64, e *engineState) (prefixLocation, bool) {
	entry := p.index.get(hash)
	if entry == nil {
		return prefixLocation{}, false
	}
	for _, location := range entry.locations() {
		if location.engine == e.number && location.incarnation == e.incarnationHash {
			return location, true
		}
	}
	return prefixLocation{}, false
}

func (p *Placer) updateRankHitRates(e *engineState, pieces []prefix.Piece, cached int) {
	g := p.fleet.groupFor(e.Model, p.options.Region)
	if g == nil || len(pieces) == 0 {
		return
	}
	preferred := p.preferredEnginesFor(g, pieces)
	for i := range preferred.count {
		if p.fleet.engines[preferred.order[i]].number != e.number {
			continue
		}
		rank := max(0, i-preferred.width+1)
		shared := firstPrivatePiece(pieces)
		if shared > 0 {
			p.hitRates.recordRank(rank, false, float64(min(cached, shared))/float64(shared))
		}
		if private := len(pieces) - shared; private > 0 {
			p.hitRates.recordRank(rank, true, float64(max(0, cached-shared))/float64(private))
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

func sharedHashes(pieces []prefix.Piece) []uint64 {
	var hashes []uint64
	for i := range pieces {
		if isLevelEnd(pieces, i) {
			hashes = append(hashes, pieces[i].PrefixHash)
		}
	}
	return hashes
}

// CopySource returns the engine other than exclude that was last seen to have the most leading pieces
// of a prompt cached, and their number. It returns "" if the prefix index has none. Owners use it to
// suggest the source of a copy.
func (p *Placer) CopySource(hashes []uint64, exclude string) (engine string, pieces int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(hashes) - 1; i >= 0; i-- {
		entry := p.index.get(hashes[i])
		if entry == nil {
			continue
		}
		var newest prefixLocation
		for _, location := range entry.locations() {
			index := p.engineIndex(location)
			if index == noEngine || p.fleet.engines[index].ID == exclude || p.fleet.engines[index].Unusable {
				continue
			}
			if engine == "" || location.lastSeen > newest.lastSeen {
				newest = location
				engine = p.fleet.engines[index].ID
			}
		}
		if engine != "" {
			return engine, i + 1
		}
	}
	return "", 0
}

// CachedPrefixes returns up to limit entries of the prefix index, the most recently used ones first.
func (p *Placer) CachedPrefixes(limit int) []CachedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []CachedPrefix
	p.index.each(func(entry *indexEntry) bool {
		for _, location := range entry.locations() {
			i := p.engineIndex(location)
			if i == noEngine {
				continue
			}
			e := &p.fleet.engines[i]
			out = append(out, CachedPrefix{PrefixHash: entry.prefixHash, Engine: e.ID, Incarnation: e.Incarnation, Pieces: int(location.pieces)})
		}
		return len(out) < limit
	})
	return out[:min(limit, len(out))]
}

// ImportPrefixes adds entries of another node's prefix index, in the order of CachedPrefixes. Entries
// of unknown engines or other incarnations are ignored. Entries that this node already has are kept, as
// they are newer.
func (p *Placer) ImportPrefixes(now time.Time, entries []CachedPrefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(entries) - 1; i >= 0; i-- {
		cached := &entries[i]
		e := p.engine(cached.Engine)
		if e == nil || e.Incarnation != cached.Incarnation {
			continue
		}
		if _, known := p.indexedLocation(cached.PrefixHash, e); known {
			continue
		}
		p.index.touch(cached.PrefixHash).put(prefixLocation{
			engine:      e.number,
			pieces:      int32(cached.Pieces),
			incarnation: e.incarnationHash,
			lastSeen:    now.UnixNano(),
		})
	}
}
