package bench

import (
	"time"

	"cassiawall.example/cassiawall/pkg/loadgen"
	"cassiawall.example/cassiawall/pkg/prefix"
)

// Limit holds the figures that no policy can beat: those of an infinitely large cache that all
// engines share, and of an engine that is idle at each arrival.
type Limit struct {
	PrefixHitRate float64           `json:"prefix_hit_rate"`
	TTFT          loadgen.Quantiles `json:"ttft_ms"`
}

// limitOf replays a trace. Arrivals before from warm the cache and do not count. A piece counts
// as cached from the arrival of the first request that has it, which no real cache reaches.
func limitOf(t *trace, from time.Duration) Limit {
	seen := map[uint64]bool{}
	times := loadgen.NewHistogram()
	reused, total := 0, 0
	idle := t.profile.engineConfig(0)
	for i := range t.arrivals {
		a := &t.arrivals[i]
		computed, all := t.missing(a, seen)
		if a.at < from {
			continue
		}
		reused += all - computed
		total += all
		if a.patience == 0 {
			loadgen.Record(times, idle.IdleTTFT(computed))
		}
	}
	return Limit{PrefixHitRate: loadgen.Ratio(reused, total), TTFT: loadgen.QuantilesOf(times)}
}

// missing returns the tokens of a request that no earlier request had, and all its tokens.
func (t *trace) missing(a *arrival, seen map[uint64]bool) (missing, all int) {
	for _, p := range t.pieces(a) {
		all += p.Tokens
		if !seen[p.PrefixHash] {
			seen[p.PrefixHash] = true
			missing += p.Tokens
		}
	}
	return missing, all
}

// pieces cuts a request as an entry node does.
func (t *trace) pieces(a *arrival) []prefix.Piece {
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
