package bench

import (
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"cassiawall.example/cassiawall/pkg/prefix"
)

// Limit holds the figures that no policy can beat: those of an infinitely large cache that all
// engines share, and of an engine that is idle at each arrival.
type Limit struct {
	PrefixHitRate float64   `json:"prefix_hit_rate"`
	TTFT          Quantiles `json:"ttft_ms"`
}

// limitOf replays a trace. Arrivals before from warm the cache and do not count. A piece counts
// as cached from the arrival of the first request that has it, which no real cache reaches.
func limitOf(t *trace, from time.Duration) Limit {
	seen := map[uint64]bool{}
	times := newHistogram()
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
			record(times, idle.IdleTTFT(computed))
		}
	}
	return Limit{PrefixHitRate: ratio(reused, total), TTFT: quantilesOf(times)}
}

// missing returns the tokens of a request that no earlier request had, and all its tokens.
func (t *trace) missing(a *arrival, seen map[uint64]bool) (missing, all int) {
	for _, p := range t.pieces(a) {
		all += p.Tokens
		if !seen[p.Key] {
			seen[p.Key] = true
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
	return prefix.Chain(salt, prefix.Geometry{PieceTokens: pieceTokens, BytesPerToken: bytesPerToken}, segments)
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

const (
	// maxRecorded bounds the recorded latencies; longer ones count as this.
	maxRecorded = 5 * time.Minute
	// histogramDigits is the precision of recorded latencies in decimal digits.
	histogramDigits = 3
)

// newHistogram returns a histogram of microseconds.
func newHistogram() *hdr.Histogram {
	return hdr.New(1, maxRecorded.Microseconds(), histogramDigits)
}

func record(h *hdr.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so recording cannot fail.
	_ = h.RecordValue(min(max(d, time.Microsecond), maxRecorded).Microseconds())
}

func quantilesOf(h *hdr.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

func ratio[T int | int64 | float64](part, whole T) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
