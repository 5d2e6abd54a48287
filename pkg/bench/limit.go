package bench

import (
	"time"

	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// Limit holds the bounds that no policy can beat: the hit rate of an infinitely large cache that
// all engines share, and the TTFT (time to first token) with that cache at an engine that is idle
// at each arrival.
type Limit struct {
	PrefixHitRate float64           `json:"prefix_hit_rate"`
	TTFT          loadgen.Quantiles `json:"ttft_ms"`
}

// computeLimit computes the limit of a trace. Arrivals before measureFrom fill the cache and do not
// count. A piece counts as cached from the arrival of the first request that contains it, whereas a
// real cache has it only after its computation.
func computeLimit(trace *requestTrace, measureFrom time.Duration) Limit {
	cached := map[uint64]bool{}
	ttfts := loadgen.NewHistogram()
	reused, total := 0, 0
	idle := trace.profile.engineConfig(0)
	for i := range trace.arrivals {
		a := &trace.arrivals[i]
		computed, all := trace.countUncached(a, cached)
		if a.at < measureFrom {
			continue
		}
		reused += all - computed
		total += all
		if a.cancelAfter == 0 {
			loadgen.Record(ttfts, idle.IdleTTFT(computed))
		}
	}
	return Limit{PrefixHitRate: loadgen.Ratio(reused, total), TTFT: loadgen.QuantilesOf(ttfts)}
}

// countUncached returns the number of tokens of a request whose pieces are not in cached, and the
// number of all its tokens. It adds the pieces to cached.
func (t *requestTrace) countUncached(a *arrival, cached map[uint64]bool) (uncached, all int) {
	for _, p := range t.pieces(a) {
		all += p.Tokens
		if !cached[p.PrefixHash] {
			cached[p.PrefixHash] = true
			uncached += p.Tokens
		}
	}
	return uncached, all
}

// pieces splits a request into pieces as an entry node does.
func (t *requestTrace) pieces(a *arrival) []prefix.Piece {
	var segments []prefix.Segment
	for i, m := range t.messages(a) {
		s := prefix.Segment{Text: m.Text()}
		if i < levels {
			s.Level = t.profile.Levels[i].Name
			s.Shared = t.profile.Levels[i].Shared
		}
		segments = append(segments, s)
	}
	salt := prefix.Salt{Workspace: workspaceName(a.workspace), Model: t.profile.Model, WeightsVersion: weightsVersion}
	return prefix.Split(salt, prefix.Geometry{PieceTokens: pieceTokens, BytesPerToken: bytesPerToken}, segments)
}
